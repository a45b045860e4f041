//! Where the lines go.

use crate::line::line;
use slog::{Drain, Level, Never, OwnedKVList, Record};
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// Writes a line for each event. What can't be written is dropped: a log is no reason to stop.
pub struct LineDrain<W> {
    to: Mutex<W>,
    started: Instant,
    level: Level,
}

impl<W: Write> LineDrain<W> {
    /// Writes lines of this level and above; the time in them counts from now.
    pub fn new(to: W, level: Level) -> Self {
        LineDrain {
            to: Mutex::new(to),
            started: Instant::now(),
            level,
        }
    }
}

impl<W: Write> Drain for LineDrain<W> {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if !record.level().is_at_least(self.level) {
            return Ok(());
        }
        let line = line(self.started.elapsed(), record, values);
        // A thread that panicked while it wrote leaves at worst half a line.
        let mut to = self.to.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = to.write_all(line.as_bytes());
        Ok(())
    }

    fn is_enabled(&self, level: Level) -> bool {
        level.is_at_least(self.level)
    }
}
