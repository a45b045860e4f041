//! The spacing of pushes to one worker.

use super::*;

/// The paper's AutoSleeper.
#[derive(Debug, Clone, Default)]
pub(crate) struct Backoff {
    pub(crate) interval: f64,
    pub(crate) successes: u32,
    pub(crate) open_at: Micros,
}

impl Backoff {
    fn jittered(value: f64, unit_span: f64, rng: &mut Pcg64Mcg) -> f64 {
        let delta = (RANDOMIZATION * value).min(MAX_RANDOMIZATION * unit_span);
        value - delta + 2.0 * delta * unit(rng)
    }

    pub(crate) fn failure(&mut self, now: Micros, unit_span: f64, rng: &mut Pcg64Mcg) {
        let higher = Self::jittered(self.interval * UP, unit_span, rng).min(MAX * unit_span);
        self.interval = if self.interval == 0.0 { INITIAL * unit_span } else { higher };
        self.pushed(now);
    }

    pub(crate) fn success(&mut self, unit_span: f64, rng: &mut Pcg64Mcg) {
        self.successes += u32::from(self.interval > 0.0);
        if self.successes >= SUCCESSES_DOWN {
            self.successes = 0;
            let lower = Self::jittered(self.interval * DOWN, unit_span, rng);
            self.interval = if lower < INITIAL * unit_span { 0.0 } else { lower };
        }
    }

    pub(crate) fn pushed(&mut self, now: Micros) {
        self.open_at = now + span(self.interval);
    }

    pub(crate) fn open(&self, now: Micros) -> bool {
        self.interval == 0.0 || now >= self.open_at
    }
}
