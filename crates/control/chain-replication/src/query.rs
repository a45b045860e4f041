//! What a member says of itself: its table, its place, what it holds and knows, and all of it as records.

use bytes::Bytes;

use crate::node::{Place, Replica};
use crate::types::{LogRecord, ReplicaStatus, StateMachine, View};

impl<M: StateMachine> Replica<M> {
    /// The table. At the head it has all that was proposed, elsewhere all that the own disk holds; a tail's table is
    /// committed (read it only while [`Replica::is_active`]).
    pub fn state_machine(&self) -> &M {
        &self.machine
    }

    /// Whether it numbers commands: the first of its view, and nobody spoke of a newer one.
    pub fn is_head(&self) -> bool {
        self.place == Place::Member(0) && self.newer_seen <= self.view_number()
    }

    /// Whether it is the last of its view.
    pub fn is_tail(&self) -> bool {
        let last = self
            .view
            .as_ref()
            .map_or(0, |v| v.members.len().saturating_sub(1));
        self.place == Place::Member(last)
    }

    /// The newest view it has entered.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Its number, 0 if there is none.
    pub(crate) fn view_number(&self) -> u64 {
        self.view.as_ref().map_or(0, |v| v.number)
    }

    /// The newest view that a peer spoke of: above its own, the owner should ask for it.
    pub fn newest_view_observed(&self) -> u64 {
        self.newer_seen
    }

    /// Words that were passed over since the start: of another view, of no neighbour in it, or for another identity.
    pub fn ignored_messages(&self) -> u64 {
        self.passed_over
    }

    /// The newest entry held.
    pub fn last_received(&self) -> u64 {
        self.log.last()
    }

    /// All up to this is committed, as far as is known here.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// All up to this was committed in a view of so many members or more, as far as is known here: what an owner may
    /// acknowledge. It can lag behind [`Replica::committed`] where the chain had shrunk, and catches up with an
    /// `Out::Committed` of a longer view.
    pub fn committed_with_members(&self, members: usize) -> u64 {
        self.on_so_many
            .get(members..)
            .and_then(|most| most.iter().max().copied())
            .unwrap_or(0)
    }

    /// All up to this is in the table.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// What it says of itself.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            id: self.me.id,
            view: self.view_number(),
            in_sync_view: self.in_sync_view,
            last_received: self.log.last(),
            caught_up: self.caught_up(),
        }
    }

    /// A member in sync in its view, by its disk: it passes on and acknowledges.
    pub fn is_active(&self) -> bool {
        let view = self.view_number();
        matches!(self.place, Place::Member(_)) && view > 0 && self.in_sync_view == view
    }

    /// It and all after it are in sync in this view: at the head, that commits can happen.
    pub fn is_ready(&self) -> bool {
        self.is_active() && self.downs.iter().all(|d| d.joining || d.in_sync)
    }

    /// Records that hold all that this node has, for a file begun anew: view, in sync, state, entries after it.
    pub fn snapshot_records(&self) -> Vec<LogRecord> {
        let mut records = Vec::new();
        if let Some(view) = &self.view {
            records.push(LogRecord::View { view: view.clone() });
        }
        if let Some(view) = self.log.view_at(self.applied) {
            let body = Bytes::from(self.machine.snapshot());
            records.push(LogRecord::Snapshot {
                view,
                number: self.applied,
                body,
            });
        }
        for number in self.applied + 1..=self.log.last() {
            if let Some(entry) = self.log.get(number) {
                records.push(LogRecord::Entry {
                    view: entry.view,
                    number,
                    command: entry.command.clone(),
                });
            }
        }
        if self.in_sync_view > 0 {
            records.push(LogRecord::InSync {
                view: self.in_sync_view,
            });
        }
        records
    }
}
