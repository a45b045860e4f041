//! The one clock: monotonic, and aligned with Unix time once, at the start.

use dispatch_api::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A clock in microseconds that starts at Unix time and never goes back or jumps.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the system's clocks. Unix time is read here alone.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            base: unix.unwrap_or_default().as_micros() as Micros,
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }

    /// What a time in Unix milliseconds is on this clock.
    pub fn at_unix_ms(&self, ms: f64) -> Micros {
        (ms * 1000.0) as Micros
    }
}
