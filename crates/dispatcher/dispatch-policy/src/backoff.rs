//! Adaptive back-off: the spacing of attempts at one worker.

use super::{span, unit, BackoffConfig, Micros, Pcg64Mcg};

/// The AutoSleeper of "Responsive exponential backoff": an interval grows with each failure and shrinks after a run of
/// successes, each time with jitter. Intervals are in the unit of the caller's clock.
#[derive(Debug, Clone, Default)]
pub struct AdaptiveBackoff {
    /// The current interval; zero while attempts are not spaced.
    pub interval: f64,
    pub(crate) successes: u32,
    /// When the next attempt may be sent.
    pub open_at: Micros,
}

impl AdaptiveBackoff {
    fn jittered(value: f64, config: &BackoffConfig, rng: &mut Pcg64Mcg) -> f64 {
        let delta = (config.jitter * value).min(config.max_jitter);
        value - delta + 2.0 * delta * unit(rng)
    }

    /// Goes up: a push was refused, didn't reach the worker or accepted_at back unstarted.
    pub fn record_failure(&mut self, now: Micros, config: &BackoffConfig, rng: &mut Pcg64Mcg) {
        let higher =
            Self::jittered(self.interval * config.increase_factor, config, rng).min(config.max);
        self.interval = if self.interval == 0.0 {
            config.initial
        } else {
            higher
        };
        self.restart_interval(now);
    }

    /// Counts a success, and decreases the interval after enough of them.
    pub fn record_success(&mut self, config: &BackoffConfig, rng: &mut Pcg64Mcg) {
        self.successes += u32::from(self.interval > 0.0);
        if self.successes >= config.successes_to_decrease {
            self.successes = 0;
            let lower = Self::jittered(self.interval * config.decrease_factor, config, rng);
            self.interval = if lower < config.initial { 0.0 } else { lower };
        }
    }

    /// Starts the interval anew, as an attempt is sent.
    pub fn restart_interval(&mut self, now: Micros) {
        self.open_at = now + span(self.interval);
    }

    /// Whether an attempt may be sent.
    pub fn is_open(&self, now: Micros) -> bool {
        self.interval == 0.0 || now >= self.open_at
    }
}
