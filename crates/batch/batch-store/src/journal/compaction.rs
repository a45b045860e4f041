//! Compaction: writes the full state of each partition to the log again, one partition a tick, and
//! then releases all that was written before.
//!
//! What of a partition is not on disk yet when its state is written counts as synced with the last
//! record of that state: the state that is read back replaces all records before it.

use super::queue::{Retained, WriteEnd};
use super::record::{self, FIRST};
use super::Journal;
use batch::BatchJobTable;
use bytes::Bytes;
use chain_replication::{LogRecord, Replica};
use write_ahead_log::Lsn;

/// The log is compacted when so many bytes were written beside twice what it held of use.
const SLACK_BYTES: u64 = 8 << 20;
/// Beside what is of use, so many bytes of the log are reserved for a compaction: the ends of files
/// that stay empty (one chunk each) and what was handed over since the need was last measured.
const RESERVE_BYTES: u64 = 3 << 20;
/// Of what is of use, so many per cent more are reserved: the ends of files, and the headers of
/// records.
const RESERVE_PERCENT: u64 = 5;
/// The log is also compacted when so many per cent of it are in use, unless most of that is of use.
const MAX_USED_PERCENT: u64 = 60;

/// A compaction under way.
#[derive(Clone, Copy)]
pub(super) struct Compaction {
    /// All before this LSN is released at the end.
    first: Lsn,
    next_partition: u16,
    bytes: u64,
}

/// How many bytes of the log are to be free, so that it can be compacted with so many bytes of use.
pub(super) fn reserve_for(live: u64) -> u64 {
    live + live * RESERVE_PERCENT / 100 + RESERVE_BYTES
}

impl Journal {
    /// Time passes: compacts the log where that is due, one partition a tick.
    pub fn tick<'a>(&mut self, nodes: impl Iterator<Item = (u16, &'a Replica<BatchJobTable>)>) {
        let nodes: Vec<(u16, &Replica<BatchJobTable>)> = nodes.collect();
        let live = nodes
            .iter()
            .map(|(_, node)| node.state_machine().bytes() as u64 + node.incoming_snapshot_bytes())
            .sum();
        self.reserved = reserve_for(live);
        self.flush();
        let is_wanted = self.compaction.is_some() || self.is_compaction_due(live);
        if !is_wanted || !self.priority.is_empty() || self.queue.is_within {
            return;
        }
        // A state that replaces another is on disk as a whole before the one before it is released.
        let mut pending = self.pending.iter();
        if pending.any(|pending| matches!(pending.end.retained, Retained::Replaces)) {
            return;
        }
        let Some(compaction) = self.compaction.or_else(|| self.start_compaction()) else {
            return;
        };
        let next = nodes
            .into_iter()
            .find(|(partition, _)| *partition >= compaction.next_partition);
        match next {
            Some((partition, node)) => {
                let bytes = compaction.bytes + self.rewrite_partition(partition, node);
                self.compaction = Some(Compaction {
                    next_partition: partition + 1,
                    bytes,
                    ..compaction
                });
            }
            None => {
                self.log.release_before(compaction.first);
                self.compaction = None;
                self.live = compaction.bytes;
            }
        }
        self.flush();
    }

    /// Appends a marker: everything of use is written after its LSN.
    fn start_compaction(&mut self) -> Option<Compaction> {
        let marker = record::record(FIRST, 0, Bytes::new());
        let first = self.log.append(marker).ok()?;
        self.written = 0;
        Some(Compaction {
            first,
            next_partition: 0,
            bytes: 0,
        })
    }

    fn is_compaction_due(&self, live: u64) -> bool {
        let (used, capacity) = (self.log.used_bytes(), self.log.capacity_bytes());
        // The state of a partition that was left is of no use at once.
        let live = live.min(self.live);
        let is_much = self.written >= SLACK_BYTES + 2 * live;
        let is_filled = used * 100 >= capacity * MAX_USED_PERCENT
            && self.written >= self.live / 2 + SLACK_BYTES / 8;
        let is_held_back = !self.queue.is_empty() && self.next_queue().is_none();
        is_much || is_filled || is_held_back
    }

    /// Queues the full state of a partition, in place of what of it was not handed over yet;
    /// returns its bytes.
    fn rewrite_partition(&mut self, partition: u16, node: &Replica<BatchJobTable>) -> u64 {
        let mut writes: Vec<Bytes> = node
            .snapshot_records()
            .iter()
            .map(LogRecord::encode)
            .collect();
        let state_len = writes.len();
        // The full state covers what was held back, too. The tickets of that, and those of records
        // on their way to the disk, are synced with the last record of the state: what was written
        // again after the state may be missing while its first copy is there.
        let mut ticket = None;
        for pending in &self.pending {
            if pending.partition != partition {
                continue;
            }
            ticket = ticket.max(Some(pending.end.ticket));
            if let Retained::Rewrite(write) = &pending.end.retained {
                writes.push(write.clone());
            }
        }
        self.pending
            .retain(|pending| pending.partition != partition);
        for queued in self.queue.remove_partition(partition) {
            if let Some(end) = queued.end {
                ticket = Some(end.ticket);
                if let Retained::Rewrite(write) = end.retained {
                    writes.push(write);
                }
            }
        }
        let last = writes.len().saturating_sub(1);
        let mut bytes = 0;
        for (at, body) in writes.into_iter().enumerate() {
            let retained = if at >= state_len {
                Retained::Rewrite(body.clone())
            } else {
                Retained::ByState
            };
            let end = ticket
                .filter(|_| at == last)
                .map(|ticket| WriteEnd { ticket, retained });
            bytes += body.len() as u64;
            self.priority.write_chunks(self.now, partition, &body, end);
        }
        bytes
    }
}
