//! Outlier ejection of single runners: ejections that grow, and one probe before they end.
//!
//! Envoy's term; the growth is that of the adaptive backoff of `dispatch-policy`.

use crate::attempt::FirstToken;
use crate::constants::{
    AVOID_FIRST_MS, AVOID_FORGET, AVOID_JITTER, AVOID_MOST_MS, AVOID_UP, AVOID_WRONG_MS, ERRORS,
    TRIAL_GRACE, WAIT_MOST_MS,
};
use crate::{Millis, Outcome};
use dispatch_policy::{AdaptiveBackoff, BackoffConfig};
use rand_pcg::Pcg64Mcg;

/// Whether a runner gets anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    Healthy,
    /// One repeatable request or item, to see.
    Probe,
    /// Not before then.
    Ejected(Millis),
}

/// The avoidance is a backoff of its own kind: a strike is a failure, an answer a success.
#[derive(Debug, Default)]
pub(crate) struct Health {
    backoff: AdaptiveBackoff,
    /// When the last strike came; what was sent before says no more.
    pub(crate) ejected_at: Option<Millis>,
    pub(crate) consecutive_errors: u32,
    /// The sending that tries it, or a report asked for: then, without a sending's number.
    pub(crate) probe: Option<u64>,
}

fn terms() -> BackoffConfig {
    BackoffConfig {
        initial: AVOID_FIRST_MS,
        max: AVOID_MOST_MS,
        increase_factor: AVOID_UP,
        decrease_factor: 0.0,
        successes_to_decrease: 1,
        jitter: AVOID_JITTER,
        max_jitter: AVOID_MOST_MS,
    }
}

impl Health {
    pub(crate) fn availability(&self, now: Millis) -> Availability {
        let forgotten = self.backoff.open_at as f64 + self.backoff.interval * AVOID_FORGET;
        if self.backoff.interval == 0.0 || now as f64 >= forgotten {
            Availability::Healthy
        } else if !self.backoff.is_open(now) {
            Availability::Ejected(self.backoff.open_at)
        } else if self.probe.is_none() {
            Availability::Probe
        } else {
            Availability::Ejected(now + WAIT_MOST_MS)
        }
    }

    /// Whether a live request may be the trial: a report is cheaper and goes first.
    pub(crate) fn allows_live_probe(&self, now: Millis) -> bool {
        now as f64 >= self.backoff.open_at as f64 + self.backoff.interval * TRIAL_GRACE
    }

    pub(crate) fn ejected_until(&self) -> Millis {
        self.backoff.open_at
    }

    /// Requests that were under way together fail together: that is one strike.
    pub(crate) fn eject(&mut self, now: Millis, least: f64, rng: &mut Pcg64Mcg) {
        self.probe = None;
        if self.backoff.interval == 0.0 || self.backoff.is_open(now) {
            self.ejected_at = Some(now);
            self.backoff.record_failure(now, &terms(), rng);
        }
        self.backoff.interval = self.backoff.interval.max(least);
        self.backoff.open_at = self.backoff.open_at.max(now + least as Millis);
    }

    /// It has answered.
    pub(crate) fn recover(&mut self, rng: &mut Pcg64Mcg) {
        (self.probe, self.consecutive_errors) = (None, 0);
        self.backoff.record_success(&terms(), rng);
    }

    /// Counts how an attempt ended; for how long its runner is ejected at least, if it is.
    pub(crate) fn note_outcome(
        &mut self,
        outcome: Outcome,
        first_token: FirstToken,
    ) -> Option<f64> {
        match outcome {
            Outcome::Completed => {
                self.consecutive_errors = 0;
                None
            }
            Outcome::ConnectFailed => Some(0.0),
            Outcome::ConnectionLost | Outcome::TimedOut if first_token != FirstToken::Received => {
                Some(0.0)
            }
            Outcome::ConnectionLost | Outcome::ServerError => {
                self.consecutive_errors += 1;
                (self.consecutive_errors >= ERRORS).then_some(0.0)
            }
            Outcome::Misdirected => Some(AVOID_WRONG_MS),
            Outcome::ClientDisconnected if first_token == FirstToken::Overdue => Some(0.0),
            Outcome::Rejected
            | Outcome::NotRun
            | Outcome::TimedOut
            | Outcome::ClientDisconnected => None,
        }
    }
}
