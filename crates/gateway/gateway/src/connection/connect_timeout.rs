//! How long a connection to a runner is waited for: what connections took lately, with a margin for their spread.
//!
//! Owns two moving figures and no clock. A runner that takes no connection within this has taken no request either, so the
//! sooner that is noticed, the sooner another runner gets it.

use std::cell::Cell;
use std::time::Duration;

/// The longest wait, and the one before any connection came up: an opening that was dropped is sent again only after a second.
const MOST: Duration = Duration::from_millis(300);
/// The shortest: a process that stands still for a moment must not take its runners for gone.
const LEAST: Duration = Duration::from_millis(60);
/// Mean deviations beyond the mean, as for the retransmission timer of TCP (RFC 6298); its weights of a new sample, too.
const DEVIATIONS: f64 = 4.0;
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// Mean and mean deviation, in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Times {
    mean: f64,
    deviation: f64,
}

/// What connections took lately.
#[derive(Debug, Default)]
pub struct ConnectTimeout(Cell<Option<Times>>);

impl ConnectTimeout {
    /// A connection came up after so long.
    pub fn record_connected(&self, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        self.0.set(Some(match self.0.get() {
            None => Times {
                mean: took,
                deviation: took / 2.0,
            },
            Some(Times { mean, deviation }) => Times {
                mean: mean + (took - mean) * MEAN_WEIGHT,
                deviation: deviation + ((took - mean).abs() - deviation) * DEVIATION_WEIGHT,
            },
        }));
    }

    /// For how long a connection is waited for.
    pub fn most(&self) -> Duration {
        let Some(times) = self.0.get() else {
            return MOST;
        };
        let ms = (times.mean + DEVIATIONS * times.deviation).min(MOST.as_secs_f64() * 1_000.0);
        Duration::from_secs_f64(ms / 1_000.0).clamp(LEAST, MOST)
    }
}
