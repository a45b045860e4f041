//! The partition's role in its chain, and what begins and ends with it.

use super::waits::Wait;
use super::{Context, Partition};
use crate::responder::Responder;
use batch::PartitionLeader;
use slog::{debug, info};

/// What only the head of a chain has.
pub(super) struct Head {
    pub leader: PartitionLeader,
    /// Items are leased once all up to this entry is committed: what the view began with.
    pub open_from: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Role {
    is_head: bool,
    is_tail: bool,
    is_active: bool,
}

impl<R: Responder> Partition<R> {
    /// Whether it is the head and in sync.
    pub fn is_head(&self) -> bool {
        self.head.is_some()
    }

    /// Whether it is the tail and in sync.
    pub fn is_tail(&self) -> bool {
        self.role.is_tail
    }

    pub(super) fn update_role(&mut self, context: Context) {
        let replica = &self.replica;
        let is_active = replica.is_active();
        let role = Role {
            // One that was the head stays so while the next view begins: its log is what the others
            // follow.
            is_head: replica.is_head() && (is_active || self.role.is_head),
            is_tail: is_active && replica.is_tail(),
            is_active,
        };
        let is_caught_up = replica.status().caught_up;
        if is_caught_up && !self.is_caught_up {
            info!(self.shared.log, "replica caught up"; "partition" => self.number,
                "received" => replica.last_received());
        }
        self.is_caught_up = is_caught_up;
        if role == self.role {
            return;
        }
        let before = std::mem::replace(&mut self.role, role);
        if role.is_head && !before.is_head {
            self.log_role("became head");
            self.become_head(context);
        }
        if role.is_tail && !before.is_tail {
            self.log_role("became tail");
        }
        if before.is_head && !role.is_head {
            self.head = None;
            self.uncommitted.clear();
            self.uncommitted_bytes = 0;
            self.reservations.refuse_all();
            self.refuse_waiting(|wait| !matches!(wait, Wait::Read { .. } | Wait::Body { .. }));
        }
        if before.is_tail && !role.is_tail {
            self.refuse_reads();
        }
    }

    fn log_role(&self, role: &'static str) {
        let view = self.replica.view().map_or(0, |view| view.number);
        let batch_jobs = self.replica.state_machine().len();
        let log = &self.shared.log;
        if batch_jobs == 0 {
            debug!(log, "{}", role; "partition" => self.number, "view" => view);
        } else {
            info!(log, "{}", role; "partition" => self.number, "view" => view,
                "lots" => batch_jobs);
        }
    }

    /// Builds the head's state from the table: at the start of a view, and when a command was not
    /// taken.
    pub(super) fn become_head(&mut self, context: Context) {
        let view = self.replica.view().map_or(0, |view| view.number);
        let table = self.replica.state_machine();
        let leader = PartitionLeader::new(context.now, view, table, context.poll_ms);
        self.quota.reset();
        self.head = Some(Head {
            leader,
            open_from: self.replica.last_received(),
        });
    }
}
