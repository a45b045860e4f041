//! Whether a worker that the list calls ready responds at all.

use super::Worker;
use dispatch_api::{Micros, Outcome};

/// Progress notices missed in a row, or longest runs where there are no notices, after which a worker is unresponsive.
pub(super) const UNRESPONSIVE_INTERVALS: f64 = 1.5;
/// Connections in a row that failed, or probes without a response, after which a worker is unresponsive.
const UNREACHABLE_FAILURES: u32 = 2;

/// Whether a worker responds.
#[derive(Debug, Default)]
pub(crate) struct Responsiveness {
    /// Since when a response is due on some job; a response on any job counts.
    pub since: Option<Micros>,
    /// Connections to it, or probes, that failed in a row.
    failed_connections: u32,
}

impl Worker {
    /// It accepts work without responding, or can't be reached, though the list calls it ready.
    pub(super) fn is_unresponsive(&self, now: Micros, response_timeout: Micros) -> bool {
        self.responsiveness.failed_connections >= UNREACHABLE_FAILURES
            || self
                .responsiveness
                .since
                .is_some_and(|t| now > t + response_timeout)
    }

    /// It responded; jobs still in flight there may be due another response.
    pub(super) fn record_response(&mut self, now: Micros) {
        let since = (!self.in_flight.is_empty()).then_some(now);
        self.responsiveness = Responsiveness {
            since,
            failed_connections: 0,
        };
    }

    /// An attempt there ended. One that was cancelled, or that nobody waited for, is no response: a worker that was
    /// unresponsive stays so, and one that was sent nothing for long owes nothing.
    pub(super) fn record_outcome(
        &mut self,
        outcome: Outcome,
        now: Micros,
        response_timeout: Micros,
    ) {
        match outcome {
            Outcome::Done | Outcome::Error | Outcome::Rejected => return self.record_response(now),
            Outcome::ConnectFailed => self.responsiveness.failed_connections += 1,
            _ => {}
        }
        if self.in_flight.is_empty() && !self.is_unresponsive(now, response_timeout) {
            self.responsiveness.since = None;
        }
    }

    /// A probe ended.
    pub(super) fn record_probe_outcome(&mut self, outcome: Outcome, now: Micros) {
        match outcome {
            Outcome::Done | Outcome::Error | Outcome::Rejected => self.record_response(now),
            Outcome::ConnectFailed | Outcome::TimedOut => {
                self.responsiveness.failed_connections += 1
            }
            _ => {}
        }
    }
}
