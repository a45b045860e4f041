//! The spacing of pushes to one worker.

use super::{span, unit, Micros, Pcg64Mcg, SleeperTerms};

/// The paper's AutoSleeper; its intervals are in the unit of the caller's clock.
#[derive(Debug, Clone, Default)]
pub struct Sleeper {
    /// The current interval; zero while pushes are not spaced.
    pub interval: f64,
    pub(crate) successes: u32,
    /// When the next push may go.
    pub open_at: Micros,
}

impl Sleeper {
    fn jittered(value: f64, terms: &SleeperTerms, rng: &mut Pcg64Mcg) -> f64 {
        let delta = (terms.randomization * value).min(terms.max_randomization);
        value - delta + 2.0 * delta * unit(rng)
    }

    /// Goes up: a push was refused, didn't reach the worker or came back unstarted.
    pub fn failure(&mut self, now: Micros, terms: &SleeperTerms, rng: &mut Pcg64Mcg) {
        let higher = Self::jittered(self.interval * terms.up, terms, rng).min(terms.max);
        self.interval = if self.interval == 0.0 {
            terms.initial
        } else {
            higher
        };
        self.pushed(now);
    }

    /// Counts a success, and goes down after enough of them.
    pub fn success(&mut self, terms: &SleeperTerms, rng: &mut Pcg64Mcg) {
        self.successes += u32::from(self.interval > 0.0);
        if self.successes >= terms.successes_down {
            self.successes = 0;
            let lower = Self::jittered(self.interval * terms.down, terms, rng);
            self.interval = if lower < terms.initial { 0.0 } else { lower };
        }
    }

    /// The interval starts anew.
    pub fn pushed(&mut self, now: Micros) {
        self.open_at = now + span(self.interval);
    }

    /// Whether a push may go.
    pub fn open(&self, now: Micros) -> bool {
        self.interval == 0.0 || now >= self.open_at
    }
}
