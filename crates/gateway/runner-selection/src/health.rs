//! Trouble at single runners: strikes, avoidance that grows, and one trial before it ends.

use crate::constants::{
    AVOID_FIRST_MS, AVOID_FORGET, AVOID_JITTER, AVOID_MOST_MS, AVOID_UP, TRIAL_GRACE, WAIT_MOST_MS,
};
use crate::Ms;
use dispatch_policy::{Sleeper, SleeperTerms};
use rand_pcg::Pcg64Mcg;

/// Whether a runner gets anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fit {
    Yes,
    /// One repeatable request or item, to see.
    Trial,
    /// Not before then.
    Avoid(Ms),
}

/// The avoidance is a sleeper of its own kind: a strike is a failure, an answer a success.
#[derive(Debug, Default)]
pub(crate) struct Health {
    avoid: Sleeper,
    /// When the last strike came; what was sent before says no more.
    pub(crate) struck: Option<Ms>,
    pub(crate) errors: u32,
    /// The sending that tries it, or a report asked for: then, without a sending's number.
    pub(crate) trial: Option<u64>,
}

fn terms() -> SleeperTerms {
    SleeperTerms {
        initial: AVOID_FIRST_MS,
        max: AVOID_MOST_MS,
        up: AVOID_UP,
        down: 0.0,
        successes_down: 1,
        randomization: AVOID_JITTER,
        max_randomization: AVOID_MOST_MS,
    }
}

impl Health {
    pub(crate) fn fit(&self, now: Ms) -> Fit {
        let forgotten = self.avoid.open_at as f64 + self.avoid.interval * AVOID_FORGET;
        if self.avoid.interval == 0.0 || now as f64 >= forgotten {
            Fit::Yes
        } else if !self.avoid.open(now) {
            Fit::Avoid(self.avoid.open_at)
        } else if self.trial.is_none() {
            Fit::Trial
        } else {
            Fit::Avoid(now + WAIT_MOST_MS)
        }
    }

    /// Whether a live request may be the trial: a report is cheaper and goes first.
    pub(crate) fn live_trial(&self, now: Ms) -> bool {
        now as f64 >= self.avoid.open_at as f64 + self.avoid.interval * TRIAL_GRACE
    }

    pub(crate) fn avoided_until(&self) -> Ms {
        self.avoid.open_at
    }

    /// Requests that were under way together fail together: that is one strike.
    pub(crate) fn strike(&mut self, now: Ms, least: f64, rng: &mut Pcg64Mcg) {
        self.trial = None;
        if self.avoid.interval == 0.0 || self.avoid.open(now) {
            self.struck = Some(now);
            self.avoid.failure(now, &terms(), rng);
        }
        self.avoid.interval = self.avoid.interval.max(least);
        self.avoid.open_at = self.avoid.open_at.max(now + least as Ms);
    }

    /// It has answered.
    pub(crate) fn well(&mut self, rng: &mut Pcg64Mcg) {
        (self.trial, self.errors) = (None, 0);
        self.avoid.success(&terms(), rng);
    }
}
