//! What follows from what is on disk: being in sync, and the commit.
//!
//! An entry is committed once the disks of all members of a view hold it. The tail finds that out,
//! as entries reach it last; the others learn it from their successor.

use crate::effect::Effect;
use crate::record::LogRecord;
use crate::replica::{Replica, Role};
use crate::state_machine::StateMachine;
use crate::sync_queue::OnSync;

impl<M: StateMachine> Replica<M> {
    /// Records that the replica is in sync once it is, and commits at the tail what its disk holds.
    pub(crate) fn commit_acknowledged(&mut self) {
        let number = self.view_number();
        let is_member = matches!(self.role, Role::Member { .. });
        let has_caught_up = self.log_matches_predecessor && self.synced >= self.catch_up_target;
        if is_member && has_caught_up && self.in_sync_requested < number {
            self.in_sync_requested = number;
            self.write(
                LogRecord::InSync { view: number },
                OnSync::InSync { view: number },
            );
        }
        if self.is_tail() && self.is_active() {
            self.learn_replicated_to_all(self.synced);
        }
    }

    /// All entries up to this one are on the disks of all members of this view; true if that is
    /// new.
    pub(crate) fn learn_replicated_to_all(&mut self, number: u64) -> bool {
        let number = number.min(self.log.last());
        if number <= self.replicated_to_all {
            return false;
        }
        self.replicated_to_all = number;
        let members = self.view.as_ref().map_or(0, |view| view.members.len());
        let is_new_for_chain_len = match self.replicated_by_chain_len.get_mut(members) {
            Some(replicated) if *replicated < number => {
                *replicated = number;
                true
            }
            _ => false,
        };
        if number > self.committed || is_new_for_chain_len {
            self.committed = self.committed.max(number);
            self.effects.push(Effect::Committed {
                number: self.committed,
            });
        }
        true
    }

    /// All entries up to this one are committed, in this view or before it.
    pub(crate) fn learn_committed(&mut self, number: u64) {
        let number = number.min(self.log.last());
        if number > self.committed {
            self.committed = number;
            self.effects.push(Effect::Committed { number });
        }
    }
}
