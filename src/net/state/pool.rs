//! The accounts of the connections to targets: which there are, what each carries and when its time is up.

use super::ConnId;
use crate::api::{JobId, Micros, Outcome, WorkerId};
use std::collections::{BTreeSet, HashMap};

/// What a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Load {
    /// An attempt of a flow.
    Attempt(JobId, u32),
    /// A probe.
    Probe,
}

/// How far a connection is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// Being opened for this.
    Opening(Load),
    /// Carrying this.
    Busy(Load),
    /// Its exchange has its outcome; the last bytes are still to come.
    Settling,
    /// Open and unused.
    Idle,
    /// To be closed; what it carried ends like this once it is.
    Closing(Option<(Load, Outcome)>),
}

#[derive(Debug)]
pub(super) struct Conn {
    pub target: WorkerId,
    pub stage: Stage,
    until: Option<Micros>,
}

/// All connections to targets.
#[derive(Debug, Default)]
pub(super) struct Pool {
    conns: HashMap<ConnId, Conn>,
    /// By target and the time since which they are idle: the last used are taken first.
    idle: BTreeSet<(WorkerId, Micros, ConnId)>,
    deadlines: BTreeSet<(Micros, ConnId)>,
    opened: u64,
}

impl Pool {
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    pub fn get(&self, id: ConnId) -> Option<&Conn> {
        self.conns.get(&id)
    }

    /// A new connection, in stage `Opening`.
    pub fn open(&mut self, target: WorkerId, load: Load, until: Micros) -> ConnId {
        self.opened += 1;
        let id = ConnId(self.opened);
        self.conns.insert(id, Conn { target, stage: Stage::Opening(load), until: None });
        self.set(id, Stage::Opening(load), Some(until));
        id
    }

    /// Moves a connection on; `until` is when its time in this stage is up.
    pub fn set(&mut self, id: ConnId, stage: Stage, until: Option<Micros>) {
        let Some(conn) = self.conns.get_mut(&id) else { return };
        if let Some(old) = std::mem::replace(&mut conn.until, until) {
            self.deadlines.remove(&(old, id));
            if conn.stage == Stage::Idle {
                self.idle.remove(&(conn.target, old, id));
            }
        }
        conn.stage = stage;
        if let Some(until) = until {
            self.deadlines.insert((until, id));
            if stage == Stage::Idle {
                self.idle.insert((conn.target, until, id));
            }
        }
    }

    pub fn remove(&mut self, id: ConnId) -> Option<Conn> {
        let stage = self.conns.get(&id)?.stage;
        self.set(id, stage, None);
        self.conns.remove(&id)
    }

    /// The target's idle connection that was used last.
    pub fn idle_at(&self, target: WorkerId) -> Option<ConnId> {
        let all = (target, 0, ConnId(0))..=(target, Micros::MAX, ConnId(u64::MAX));
        self.idle.range(all).next_back().map(|(_, _, id)| *id)
    }

    /// The idle connection, of any target, that was used longest ago.
    pub fn idle_longest(&self) -> Option<ConnId> {
        self.idle.iter().min_by_key(|(_, until, id)| (*until, *id)).map(|(_, _, id)| *id)
    }

    /// All idle connections to a target.
    pub fn all_idle_at(&self, target: WorkerId) -> Vec<ConnId> {
        self.idle.iter().filter(|(t, _, _)| *t == target).map(|(_, _, id)| *id).collect()
    }

    /// The connection whose time was up first, if it is up by now.
    pub fn due(&self, now: Micros) -> Option<ConnId> {
        self.deadlines.first().filter(|(until, _)| *until <= now).map(|(_, id)| *id)
    }

    pub fn next_deadline(&self) -> Option<Micros> {
        self.deadlines.first().map(|(until, _)| *until)
    }
}
