//! Exchanges with targets: what is reported of a job or probe between its request and its outcome.

use super::Turn;
use crate::connection_pool::{Attempt, ConnState, Exchange};
use crate::{Answer, ConnId};
use bytes::Bytes;
use dispatch_api::{Event, LoadReport, LoadReporting, Micros, Outcome, WorkerId};
use tracing::debug;

/// How long a connection may take, microseconds, for the last bytes after the target's final word.
const FINISH_TIMEOUT: Micros = 1_000_000;

impl Turn<'_> {
    /// Counts an attempt that has been sent completely, also if nobody waits for it any more.
    pub(super) fn request_sent(&mut self, conn: ConnId) {
        let exchange = match self.state.pool.get(conn).map(|c| c.state) {
            Some(ConnState::Busy(exchange) | ConnState::Closing(Some((exchange, _)))) => exchange,
            _ => return,
        };
        if let Exchange::Attempt(Attempt { job, .. }) = exchange {
            if let Some(class) = self.state.flows.get(job).map(|f| f.class) {
                self.state.counters.count_sent(class);
            }
        }
    }

    pub(super) fn job_started(&mut self, conn: ConnId) {
        if let Some((Attempt { job, number }, worker)) = self.attempt_on(conn) {
            let (flow, target) = (job.0, worker.0);
            debug!(flow, attempt = number, target, "job started");
            self.events.push_back(Event::JobStarted {
                job,
                attempt: number,
                worker,
            });
        }
    }

    pub(super) fn job_progress(&mut self, conn: ConnId, done: f64) {
        if let Some((Attempt { job, number }, worker)) = self.attempt_on(conn) {
            self.events.push_back(Event::JobProgress {
                job,
                attempt: number,
                worker,
                done,
            });
        }
    }

    pub(super) fn request_unusable(&mut self, conn: ConnId, report: Option<LoadReport>) {
        if let Some((Attempt { job, .. }, _)) = self.attempt_on(conn) {
            self.answer(job, Answer::Unprocessable);
        }
        // It says nothing of the target's health.
        self.exchange_ended(conn, Outcome::Unknown, None, report);
    }

    /// The target's final word. One that crosses the closing of its connection still counts: it says
    /// more than that nobody waited for it.
    pub(super) fn exchange_ended(
        &mut self,
        conn: ConnId,
        outcome: Outcome,
        result: Option<Bytes>,
        report: Option<LoadReport>,
    ) {
        let Some((target, state)) = self.state.pool.get(conn).map(|c| (c.target, c.state)) else {
            return;
        };
        let exchange = match state {
            ConnState::Busy(exchange) => {
                self.state.pool.record_success(conn);
                let deadline = self.now + FINISH_TIMEOUT;
                self.state
                    .pool
                    .set(conn, ConnState::Finishing, Some(deadline));
                exchange
            }
            ConnState::Closing(Some((exchange, _))) => {
                self.state.pool.set(conn, ConnState::Closing(None), None);
                exchange
            }
            ConnState::Opening(_)
            | ConnState::Finishing
            | ConnState::Idle
            | ConnState::Closing(None) => return,
        };
        let outcome = match (exchange, result) {
            (Exchange::Attempt(Attempt { job, .. }), Some(result)) => {
                self.answer(job, Answer::Served(result));
                Outcome::Done
            }
            // Done without a result leaves nothing to give to the client.
            (Exchange::Attempt(_), None) if outcome == Outcome::Done => Outcome::Error,
            _ => outcome,
        };
        self.exchange_over(target, exchange, outcome, report);
    }

    /// Tells the policy the outcome of an exchange. A report from where the site gives none is
    /// dropped.
    pub(super) fn exchange_over(
        &mut self,
        worker: WorkerId,
        exchange: Exchange,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        let reports = self.state.config.settings.reports;
        match exchange {
            Exchange::Attempt(Attempt { job, number }) => {
                let (flow, target) = (job.0, worker.0);
                debug!(flow, attempt = number, target, ?outcome, "attempt ended");
                let finished = !self.state.flows.is_waiting(job);
                self.state.flows.attempt_ended(job);
                self.events.push_back(Event::AttemptEnded {
                    job,
                    attempt: number,
                    worker,
                    outcome,
                    finished,
                    report: report.filter(|_| reports == LoadReporting::Outcomes),
                });
            }
            Exchange::Probe => {
                let report = report.filter(|_| reports != LoadReporting::None);
                debug!(target = worker.0, ?outcome, ?report, "probe ended");
                self.events.push_back(Event::ProbeEnded {
                    worker,
                    outcome,
                    report,
                });
            }
        }
    }

    /// The attempt that a connection carries, and the worker that it goes to.
    fn attempt_on(&self, conn: ConnId) -> Option<(Attempt, WorkerId)> {
        let connection = self.state.pool.get(conn)?;
        match connection.state {
            ConnState::Busy(Exchange::Attempt(attempt)) => Some((attempt, connection.target)),
            _ => None,
        }
    }
}
