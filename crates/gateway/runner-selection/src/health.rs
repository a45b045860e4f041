//! Outlier ejection of single runners: ejections that grow, and one probe before they end.
//!
//! Envoy's term; the growth is that of the adaptive backoff of `dispatch-policy`.

use crate::attempt::FirstToken;
use crate::constants::{
    EJECTION_FIRST_MS, EJECTION_FORGET, EJECTION_JITTER, EJECTION_MAX_MS, EJECTION_MISDIRECTED_MS,
    EJECTION_UP, ERRORS_TO_EJECT, LIVE_PROBE_GRACE, MAX_WAIT_MS,
};
use crate::{Millis, Outcome};
use dispatch_policy::{AdaptiveBackoff, BackoffConfig};
use rand_pcg::Pcg64Mcg;

/// Whether a runner may get attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    Healthy,
    /// One retryable request or item, as a probe.
    Probe,
    /// None before then.
    Ejected(Millis),
}

/// The ejection of a runner is a backoff: an ejection is a failure, an answer a success.
#[derive(Debug, Default)]
pub(crate) struct Health {
    backoff: AdaptiveBackoff,
    /// When it was last ejected; attempts started before say nothing new.
    pub(crate) ejected_at: Option<Millis>,
    pub(crate) consecutive_errors: u32,
    /// The attempt that probes it; `u64::MAX` stands for a probe by `/-/report`.
    pub(crate) probe: Option<u64>,
}

fn terms() -> BackoffConfig {
    BackoffConfig {
        initial: EJECTION_FIRST_MS,
        max: EJECTION_MAX_MS,
        increase_factor: EJECTION_UP,
        decrease_factor: 0.0,
        successes_to_decrease: 1,
        jitter: EJECTION_JITTER,
        max_jitter: EJECTION_MAX_MS,
    }
}

impl Health {
    pub(crate) fn availability(&self, now: Millis) -> Availability {
        let forgotten = self.backoff.open_at as f64 + self.backoff.interval * EJECTION_FORGET;
        if self.backoff.interval == 0.0 || now as f64 >= forgotten {
            Availability::Healthy
        } else if !self.backoff.is_open(now) {
            Availability::Ejected(self.backoff.open_at)
        } else if self.probe.is_none() {
            Availability::Probe
        } else {
            Availability::Ejected(now + MAX_WAIT_MS)
        }
    }

    /// Whether a live request may be the probe: a report is cheaper and goes first.
    pub(crate) fn allows_live_probe(&self, now: Millis) -> bool {
        now as f64 >= self.backoff.open_at as f64 + self.backoff.interval * LIVE_PROBE_GRACE
    }

    pub(crate) fn ejected_until(&self) -> Millis {
        self.backoff.open_at
    }

    /// Ejects the runner for `min_ms` at least. Requests in flight together fail together: that is
    /// one ejection.
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
                (self.consecutive_errors >= ERRORS_TO_EJECT).then_some(0.0)
            }
            Outcome::Misdirected => Some(EJECTION_MISDIRECTED_MS),
            Outcome::ClientDisconnected if first_token == FirstToken::Overdue => Some(0.0),
            Outcome::Rejected
            | Outcome::NotRun
            | Outcome::TimedOut
            | Outcome::ClientDisconnected => None,
        }
    }
}
