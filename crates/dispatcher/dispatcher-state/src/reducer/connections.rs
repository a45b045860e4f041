//! Connections to targets: found or opened for an exchange, reused, and closed.

use super::Turn;
use crate::connection_pool::{Attempt, ConnState, Exchange};
use crate::{ConnId, Effect};
use dispatch_api::{JobId, Outcome, WorkerId};
use tracing::debug;

/// What a connection carries ends like this once it is closed.
type Ending = Option<(Exchange, Outcome)>;

impl Turn<'_> {
    /// Finds a connection for an exchange: the idle one that was used last, or a new one if the limit
    /// allows it.
    pub(super) fn start_exchange(&mut self, target: WorkerId, exchange: Exchange) {
        let Some(addr) = self.state.targets.get(target).map(|t| t.addr) else {
            return self.exchange_over(target, exchange, Outcome::NotSent, None);
        };
        let repeat = self.repeat(exchange);
        if let Some(conn) = self.state.pool.reusable(target, repeat, self.now) {
            return self.send(conn, exchange);
        }
        if self.state.pool.len() >= self.state.config.connections {
            // The limit holds on the sockets, too: the slot is free once the idle one is closed.
            if let Some(oldest) = self.state.pool.least_recently_used() {
                self.close(oldest, None);
            }
            return self.exchange_over(target, exchange, Outcome::NotSent, None);
        }
        let connect_deadline = self.now + self.state.config.connect_timeout;
        let deadline = self.deadline_of(exchange).min(connect_deadline);
        let conn = self.state.pool.open(target, exchange, deadline);
        if let Exchange::Attempt(Attempt { job, .. }) = exchange {
            self.state.flows.attempt_sent(job, conn);
        }
        self.effects.push(Effect::OpenConnection { conn, addr });
    }

    fn send(&mut self, conn: ConnId, exchange: Exchange) {
        let deadline = self.deadline_of(exchange);
        self.state.pool.set_busy(conn, exchange, self.now, deadline);
        self.effects.push(match exchange {
            Exchange::Attempt(Attempt { job: flow, .. }) => {
                self.state.flows.attempt_sent(flow, conn);
                let wait = deadline.saturating_sub(self.now);
                Effect::SendRequest { conn, flow, wait }
            }
            Exchange::Probe => Effect::SendProbe(conn),
        });
    }

    /// While the connection was being opened the list may have changed, the flow ended, or the time
    /// in which it may be repeated passed: so it is checked again.
    pub(super) fn connection_up(&mut self, conn: ConnId) {
        let Some((target, state)) = self.state.pool.get(conn).map(|c| (c.target, c.state)) else {
            return;
        };
        let ConnState::Opening(exchange) = state else {
            return;
        };
        let wanted = match exchange {
            Exchange::Attempt(Attempt { job, .. }) => {
                self.state.flows.is_waiting(job)
                    && self.state.policy.may_start(self.now, job, target)
            }
            Exchange::Probe => true,
        };
        if wanted && self.state.targets.is_ready(target) {
            return self.send(conn, exchange);
        }
        self.connection_free(conn);
        self.exchange_over(target, exchange, Outcome::NotSent, None);
    }

    pub(super) fn connection_free(&mut self, conn: ConnId) {
        let Some((target, state)) = self.state.pool.get(conn).map(|c| (c.target, c.state)) else {
            return;
        };
        match state {
            ConnState::Opening(_) | ConnState::Finishing if self.state.targets.is_ready(target) => {
                self.state.pool.set_idle(conn, self.now);
            }
            ConnState::Opening(_) | ConnState::Finishing => self.close(conn, None),
            ConnState::Busy(_) | ConnState::Idle | ConnState::Closing(_) => {}
        }
    }

    pub(super) fn connection_closed(&mut self, conn: ConnId, unsent: bool) {
        let Some(closed) = self.state.pool.remove(conn) else {
            return;
        };
        let (target, state) = (closed.target, closed.state);
        debug!(
            conn = conn.0,
            target = target.0,
            ?state,
            unsent,
            "connection closed"
        );
        if matches!(state, ConnState::Busy(_)) {
            self.state.pool.record_break(&closed, self.now);
        }
        let (exchange, outcome) = match state {
            ConnState::Opening(exchange) => (exchange, Outcome::ConnectFailed),
            ConnState::Busy(exchange) if unsent => (exchange, Outcome::ConnectFailed),
            ConnState::Busy(exchange) => (exchange, Outcome::Reset),
            ConnState::Closing(Some(ending)) => ending,
            ConnState::Closing(None) | ConnState::Finishing | ConnState::Idle => return,
        };
        self.exchange_over(target, exchange, outcome, None);
    }

    fn close(&mut self, conn: ConnId, ending: Ending) {
        self.state.pool.set(conn, ConnState::Closing(ending), None);
        self.effects.push(Effect::CloseConnection(conn));
    }

    pub(super) fn close_idle(&mut self, target: WorkerId) {
        for conn in self.state.pool.idle_to(target) {
            self.close(conn, None);
        }
    }

    /// The next attempt may follow only once this one's connection is closed: its outcome waits for
    /// that.
    pub(super) fn cancel_attempt(&mut self, job: JobId, number: u32) {
        let Some(conn) = self.state.flows.get(job).and_then(|f| f.in_flight) else {
            return;
        };
        let attempt = Exchange::Attempt(Attempt { job, number });
        match self.state.pool.get(conn).map(|c| c.state) {
            Some(ConnState::Opening(exchange)) if exchange == attempt => {
                self.close(conn, Some((exchange, Outcome::NotSent)));
            }
            Some(ConnState::Busy(exchange)) if exchange == attempt => {
                self.close(conn, Some((exchange, Outcome::Cancelled)));
            }
            _ => {}
        }
    }

    pub(super) fn deadline_passed(&mut self, conn: ConnId) {
        let Some(state) = self.state.pool.get(conn).map(|c| c.state) else {
            return;
        };
        match state {
            ConnState::Opening(exchange) => {
                self.close(conn, Some((exchange, Outcome::ConnectFailed)));
            }
            ConnState::Busy(exchange) => self.close(conn, Some((exchange, Outcome::TimedOut))),
            ConnState::Finishing | ConnState::Idle => self.close(conn, None),
            ConnState::Closing(_) => self.state.pool.set(conn, state, None),
        }
    }

    /// Closes idle connections over a lower limit, the least recently used first.
    pub(super) fn set_connection_limit(&mut self, limit: usize) {
        self.state.config.connections = limit;
        for _ in limit..self.state.pool.len() {
            let Some(oldest) = self.state.pool.least_recently_used() else {
                break;
            };
            self.close(oldest, None);
        }
    }
}
