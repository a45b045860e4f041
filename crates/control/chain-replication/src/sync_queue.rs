//! What follows once a record is on disk, in the order of the records.

use std::collections::VecDeque;

/// What a record's sync makes true.
#[derive(Debug)]
pub(crate) enum OnSync {
    /// All entries up to this number are on disk, if the state was not replaced since.
    Entries { epoch: u64, number: u64 },
    /// The replica is in sync in this view.
    InSync { view: u64 },
    /// Nothing of its own: later records wait for it by order.
    View,
    /// As [`OnSync::View`]: bytes of a snapshot that is not complete.
    SnapshotChunk,
}

#[derive(Debug)]
struct Unsynced {
    ticket: u64,
    on_sync: OnSync,
}

/// The records that were given out and are not reported as synced.
#[derive(Debug, Default)]
pub(crate) struct SyncQueue {
    last_ticket: u64,
    unsynced: VecDeque<Unsynced>,
}

impl SyncQueue {
    /// Queues a record; its ticket, one above the last.
    pub fn push(&mut self, on_sync: OnSync) -> u64 {
        self.last_ticket += 1;
        self.unsynced.push_back(Unsynced {
            ticket: self.last_ticket,
            on_sync,
        });
        self.last_ticket
    }

    /// The next record that a sync up to this ticket covers.
    pub fn pop_synced(&mut self, ticket: u64) -> Option<OnSync> {
        if self.unsynced.front()?.ticket > ticket {
            return None;
        }
        self.unsynced.pop_front().map(|record| record.on_sync)
    }
}
