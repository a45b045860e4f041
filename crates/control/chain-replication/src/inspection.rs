//! What a replica tells of itself: its state, its role, what it has, and all of it as records.

use bytes::Bytes;

use crate::record::LogRecord;
use crate::replica::{Replica, Role};
use crate::state_machine::StateMachine;
use crate::status::ReplicaStatus;
use crate::view::View;

/// Bytes of a record that holds a part of a snapshot which is being received: far below the longest
/// that a log on disk takes.
const PARTIAL_RECORD_BYTES: usize = 1 << 20;

impl<M: StateMachine> Replica<M> {
    /// The state machine. At the head it has all that was proposed, elsewhere all that the own disk
    /// holds; a tail's state is committed (read it only while [`Replica::is_active`]).
    pub fn state_machine(&self) -> &M {
        &self.state_machine
    }

    /// Whether it numbers commands: the first of its view, and no newer view was observed.
    pub fn is_head(&self) -> bool {
        self.role == Role::Member { position: 0 } && self.newest_view_observed <= self.view_number()
    }

    /// Whether it is the last member of its view.
    pub fn is_tail(&self) -> bool {
        let last = self
            .view
            .as_ref()
            .map_or(0, |view| view.members.len().saturating_sub(1));
        self.role == Role::Member { position: last }
    }

    /// The newest view it has installed.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// Its number, 0 if there is none.
    pub(crate) fn view_number(&self) -> u64 {
        self.view.as_ref().map_or(0, |view| view.number)
    }

    /// The newest view that a peer's message was sent in: if it is above its own, the owner should
    /// request it.
    pub fn newest_view_observed(&self) -> u64 {
        self.newest_view_observed
    }

    /// Messages ignored since the start: of another view, of no neighbour in it, or for another
    /// identity.
    pub fn ignored_messages(&self) -> u64 {
        self.ignored_messages
    }

    /// The number of the newest entry it has received.
    pub fn last_received(&self) -> u64 {
        self.log.last()
    }

    /// All entries up to this one are committed, as far as is known here.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// All entries up to this one were committed in a view of so many members or more, as far as is
    /// known here: what an owner may acknowledge. It can lag behind [`Replica::committed`] where
    /// the chain had shrunk, and catches up with an `Effect::Committed` of a longer view.
    pub fn committed_with_members(&self, members: usize) -> u64 {
        let longer = self.replicated_by_chain_len.get(members..);
        longer
            .and_then(|replicated| replicated.iter().max().copied())
            .unwrap_or(0)
    }

    /// All entries up to this one are applied to the state machine.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// What it reports of itself.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            id: self.me.id,
            view: self.view_number(),
            in_sync_view: self.in_sync_view,
            last_received: self.log.last(),
            caught_up: self.has_caught_up(),
        }
    }

    /// A member in sync in its view, by its disk: it forwards and acknowledges.
    pub fn is_active(&self) -> bool {
        let view = self.view_number();
        matches!(self.role, Role::Member { .. }) && view > 0 && self.in_sync_view == view
    }

    /// It and all members after it are in sync in this view: at the head, commits can happen.
    pub fn is_ready(&self) -> bool {
        self.is_active()
            && self
                .successors
                .iter()
                .all(|successor| successor.joining || successor.in_sync)
    }

    /// Bytes that have come of a snapshot, and are not part of the state yet.
    pub fn incoming_snapshot_bytes(&self) -> u64 {
        let incoming = self.incoming_snapshot.as_ref();
        incoming.map_or(0, |snapshot| u64::from(snapshot.offset()))
    }

    fn partial_snapshot_records(&self) -> Vec<LogRecord> {
        let Some(incoming) = self.incoming_snapshot.as_ref() else {
            return Vec::new();
        };
        let (id, received) = (incoming.id(), incoming.received_since(0));
        let record = |at: usize| {
            let end = received.len().min(at + PARTIAL_RECORD_BYTES);
            let offset = u32::try_from(at).unwrap_or(u32::MAX);
            let bytes = received.slice(at..end);
            LogRecord::SnapshotChunk { id, offset, bytes }
        };
        let starts = (0..received.len()).step_by(PARTIAL_RECORD_BYTES);
        starts.map(record).collect()
    }

    /// Records that hold all that this replica has, for a log that is begun anew: view, state,
    /// entries after it, in sync, and what has come of a snapshot. That it is in sync is among them
    /// as soon as it was given to the disk: the record of it that is on its way stands before
    /// these, and goes with what stands there.
    pub fn snapshot_records(&self) -> Vec<LogRecord> {
        let mut records = Vec::new();
        if let Some(view) = &self.view {
            records.push(LogRecord::View { view: view.clone() });
        }
        if let Some(view) = self.log.view_at(self.applied) {
            let body = Bytes::from(self.state_machine.snapshot());
            records.push(LogRecord::Snapshot {
                view,
                number: self.applied,
                body,
            });
        }
        for number in self.applied + 1..=self.log.last() {
            if let Some(entry) = self.log.get(number) {
                let command = entry.command.clone();
                records.push(LogRecord::Entry {
                    view: entry.view,
                    number,
                    command,
                });
            }
        }
        if self.in_sync_requested > 0 {
            records.push(LogRecord::InSync {
                view: self.in_sync_requested,
            });
        }
        records.extend(self.partial_snapshot_records());
        records
    }
}
