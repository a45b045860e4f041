//! The accounts of the connections to targets: which there are, what each carries, and when its
//! deadline passes. The pool opens and closes nothing itself.

use crate::idle_trust::{IdleTrust, MIN_TRUSTED_IDLE};
use crate::ConnId;
use dispatch_api::{JobId, Micros, Outcome, WorkerId};
use std::collections::{BTreeSet, HashMap};

/// One attempt of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Attempt {
    pub job: JobId,
    /// Counted from 0.
    pub number: u32,
}

/// What a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exchange {
    /// An attempt of a flow.
    Attempt(Attempt),
    /// A probe for the target's load.
    Probe,
}

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ConnState {
    /// Being opened for this.
    Opening(Exchange),
    /// Carrying this.
    Busy(Exchange),
    /// Its exchange has its outcome; the last bytes are still to come.
    Finishing,
    /// Open and unused.
    Idle,
    /// Being closed; what it carried ends like this once it is.
    Closing(Option<(Exchange, Outcome)>),
}

/// Whether what is sent may be repeated if it is lost on a connection that was dead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// A repeat is harmless.
    Allowed,
    /// It must never run twice.
    Forbidden,
}

/// The last use of a connection.
#[derive(Debug, Clone, Copy, Default)]
struct LastUse {
    at: Micros,
    /// How long it had been idle before; none for its first exchange.
    idled: Option<Micros>,
}

/// One connection.
#[derive(Debug)]
pub(crate) struct Connection {
    pub target: WorkerId,
    pub state: ConnState,
    deadline: Option<Micros>,
    idle_since: Micros,
    last_use: LastUse,
}

/// All connections to targets.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    trust: IdleTrust,
    connections: HashMap<ConnId, Connection>,
    /// By target and the deadline of being idle: the one used last comes last.
    idle: BTreeSet<(WorkerId, Micros, ConnId)>,
    deadlines: BTreeSet<(Micros, ConnId)>,
    opened: u64,
}

impl ConnectionPool {
    /// A pool whose connections are closed after `idle` microseconds without use at the latest.
    pub fn new(idle: Micros) -> Self {
        ConnectionPool {
            trust: IdleTrust::new(idle),
            connections: HashMap::new(),
            idle: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            opened: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn get(&self, id: ConnId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    /// Adds a connection in state [`ConnState::Opening`].
    pub fn open(&mut self, target: WorkerId, exchange: Exchange, deadline: Micros) -> ConnId {
        self.opened += 1;
        let id = ConnId(self.opened);
        let connection = Connection {
            target,
            state: ConnState::Opening(exchange),
            deadline: None,
            idle_since: 0,
            last_use: LastUse::default(),
        };
        self.connections.insert(id, connection);
        self.set(id, ConnState::Opening(exchange), Some(deadline));
        id
    }

    /// Moves a connection to a state that it may stay in until the deadline.
    pub fn set(&mut self, id: ConnId, state: ConnState, deadline: Option<Micros>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if let Some(old) = std::mem::replace(&mut connection.deadline, deadline) {
            self.deadlines.remove(&(old, id));
            if connection.state == ConnState::Idle {
                self.idle.remove(&(connection.target, old, id));
            }
        }
        connection.state = state;
        if let Some(deadline) = deadline {
            self.deadlines.insert((deadline, id));
            if state == ConnState::Idle {
                self.idle.insert((connection.target, deadline, id));
            }
        }
    }

    pub fn remove(&mut self, id: ConnId) -> Option<Connection> {
        let state = self.connections.get(&id)?.state;
        self.set(id, state, None);
        self.connections.remove(&id)
    }

    /// The connection is unused from now on and may be reused.
    pub fn set_idle(&mut self, id: ConnId, now: Micros) {
        let deadline = now + self.trust.span();
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.idle_since = now;
        }
        self.set(id, ConnState::Idle, Some(deadline));
    }

    /// The connection carries this from now on.
    pub fn set_busy(&mut self, id: ConnId, exchange: Exchange, now: Micros, deadline: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            let reused = connection.state == ConnState::Idle;
            connection.last_use = LastUse {
                at: now,
                idled: reused.then(|| now.saturating_sub(connection.idle_since)),
            };
        }
        self.set(id, ConnState::Busy(exchange), Some(deadline));
    }

    /// The exchange on the connection has come to its end.
    pub fn record_success(&mut self, id: ConnId) {
        if self.get(id).is_some_and(|c| c.last_use.idled.is_some()) {
            self.trust.record_success();
        }
    }

    /// The connection, which is no longer in the pool, broke with an exchange on it.
    pub fn record_break(&mut self, connection: &Connection, now: Micros) {
        let LastUse { at, idled } = connection.last_use;
        if let Some(idled) = idled {
            self.trust.record_break(idled, now.saturating_sub(at));
        }
    }

    /// The target's idle connection that was used last, if it can be trusted with this. What must not
    /// be repeated is not sent on one that has been idle for a moment: a new connection costs less
    /// than the loss of one such request.
    pub fn reusable(&self, target: WorkerId, repeat: Repeat, now: Micros) -> Option<ConnId> {
        let all = (target, 0, ConnId(0))..=(target, Micros::MAX, ConnId(u64::MAX));
        let (_, _, id) = self.idle.range(all).next_back()?;
        let trusted = match repeat {
            Repeat::Allowed => self.trust.span(),
            Repeat::Forbidden => MIN_TRUSTED_IDLE,
        };
        let idled = now.saturating_sub(self.get(*id)?.idle_since);
        (idled <= trusted).then_some(*id)
    }

    /// The idle connection, of any target, that was used longest ago.
    pub fn least_recently_used(&self) -> Option<ConnId> {
        let by_deadline = |(_, deadline, id): &&(WorkerId, Micros, ConnId)| (*deadline, *id);
        self.idle
            .iter()
            .min_by_key(by_deadline)
            .map(|entry| entry.2)
    }

    /// All idle connections to a target.
    pub fn idle_to(&self, target: WorkerId) -> Vec<ConnId> {
        let idle = self.idle.iter().filter(|entry| entry.0 == target);
        idle.map(|entry| entry.2).collect()
    }

    /// Whether an attempt is in flight to the target, or a connection is being opened for one.
    pub fn has_attempt(&self, target: WorkerId) -> bool {
        let carries = |state: ConnState| {
            matches!(
                state,
                ConnState::Opening(Exchange::Attempt(_)) | ConnState::Busy(Exchange::Attempt(_))
            )
        };
        let mut connections = self.connections.values();
        connections.any(|c| c.target == target && carries(c.state))
    }

    /// The connection whose deadline passed first, if it has passed by now.
    pub fn overdue(&self, now: Micros) -> Option<ConnId> {
        let first = self.deadlines.first();
        first.filter(|(at, _)| *at <= now).map(|(_, id)| *id)
    }

    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(at, _)| *at)
    }
}
