//! The form of a line.

use slog::{Key, Level, OwnedKVList, Record, Serializer, KV};
use std::fmt::{self, Write};
use std::time::Duration;

/// Most bytes of a line, its end included; a longer one is truncated, and two dots say so. Fits
/// what an event needs (a few names, addresses and counts) and keeps a storm of long ones cheap.
pub const MAX_LINE_BYTES: usize = 1_024;
/// Reserved for the two dots and the line's end.
const TAIL_BYTES: usize = 4;

/// A complete line, its end included.
pub(crate) fn line(since_start: Duration, record: &Record<'_>, values: &OwnedKVList) -> String {
    let mut text = Bounded {
        text: String::with_capacity(256),
        truncated: false,
    };
    let _ = write!(
        text,
        "t={:.3} lvl={}",
        since_start.as_secs_f64(),
        level(record.level())
    );
    // slog hands the pairs over last first; a reader expects them as they were written.
    let mut pairs = Pairs::default();
    let _ = values.serialize(record, &mut pairs);
    pairs.write_to(&mut text);
    let _ = text.write_str(" msg=");
    let _ = write_value(&mut text, record.msg());
    pairs.clear();
    let _ = record.kv().serialize(record, &mut pairs);
    pairs.write_to(&mut text);
    let Bounded {
        mut text,
        truncated,
    } = text;
    text.push_str(if truncated { "..\n" } else { "\n" });
    text
}

fn level(level: Level) -> &'static str {
    match level {
        Level::Critical => "crit",
        Level::Error => "error",
        Level::Warning => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

/// Writes a value: in quotes, with what would end it escaped, unless it is a single plain word.
///
/// # Errors
/// Those of what it is written to.
pub fn write_value(to: &mut dyn Write, value: &fmt::Arguments<'_>) -> fmt::Result {
    let mut bounded = Bounded {
        text: String::new(),
        truncated: false,
    };
    // What is beyond the length of a line is never read.
    let _ = bounded.write_fmt(*value);
    let text = bounded.text;
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    if !text.is_empty() && text.chars().all(plain) {
        return to.write_str(&text);
    }
    to.write_char('"')?;
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                to.write_char('\\')?;
                to.write_char(c)?;
            }
            '\n' => to.write_str("\\n")?,
            c if c.is_control() => write!(to, "\\u{{{:x}}}", u32::from(c))?,
            c => to.write_char(c)?,
        }
    }
    to.write_char('"')
}

/// Text that takes no more than a line holds.
struct Bounded {
    text: String,
    truncated: bool,
}

impl Write for Bounded {
    fn write_str(&mut self, part: &str) -> fmt::Result {
        if self.truncated {
            return Err(fmt::Error);
        }
        let left = (MAX_LINE_BYTES - TAIL_BYTES).saturating_sub(self.text.len());
        if part.len() <= left {
            self.text.push_str(part);
            return Ok(());
        }
        let fits = (0..=left)
            .rev()
            .find(|&at| part.is_char_boundary(at))
            .unwrap_or(0);
        self.text.push_str(part.get(..fits).unwrap_or(""));
        self.truncated = true;
        Err(fmt::Error)
    }
}

/// Pairs as they come, with where each ends.
#[derive(Default)]
struct Pairs {
    text: String,
    ends: Vec<usize>,
}

impl Pairs {
    fn clear(&mut self) {
        self.text.clear();
        self.ends.clear();
    }

    /// Writes the pairs, the last first.
    fn write_to(&self, to: &mut Bounded) {
        let mut end = self.text.len();
        for start in self
            .ends
            .iter()
            .rev()
            .skip(1)
            .copied()
            .chain(self.ends.first().map(|_| 0))
        {
            let _ = to.write_str(self.text.get(start..end).unwrap_or(""));
            end = start;
        }
    }
}

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        if self.text.len() < MAX_LINE_BYTES {
            let _ = write!(self.text, " {key}=");
            let _ = write_value(&mut self.text, value);
            self.ends.push(self.text.len());
        }
        Ok(())
    }
}
