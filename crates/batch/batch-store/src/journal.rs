//! The journal of a store: the records of all partitions' chains in one write-ahead log. Written in
//! order, read back at the start, and compacted when too much of the log is of no use.
//!
//! It owns the log and what waits for it. It guarantees that [`Journal::synced`] reports a ticket
//! of a chain only once all records up to it survive a crash, also while the log is being
//! compacted.

mod compaction;
mod queue;
mod record;
mod recovery;

use crate::store::DiskUsage;
use bytes::Bytes;
use chain_replication::{LogRecord, Millis};
use compaction::Compaction;
use queue::{Queue, Queued, Retained, WriteEnd};
use record::VOID;
use std::collections::VecDeque;
use write_ahead_log::{DiskStatus, Lsn, WriteAheadLog};

pub use recovery::{recover, Recovery, RecoveryError};

/// The end of a write that was handed to the log and is not known to be on disk.
struct PendingSync {
    /// The log sequence number of its last record.
    lsn: Lsn,
    partition: u16,
    end: WriteEnd,
    since: Millis,
}

/// All up to a ticket of a partition's chain is on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncedTicket {
    /// The partition.
    pub partition: u16,
    /// The ticket of its chain.
    pub ticket: u64,
}

/// The journal and what waits for it.
pub struct Journal {
    log: WriteAheadLog,
    /// What the chains write.
    queue: Queue,
    /// What a compaction writes, and what declares a partition void: it goes first, and may use the
    /// space that is reserved.
    priority: Queue,
    pending: VecDeque<PendingSync>,
    /// When something was last synced.
    last_synced: Millis,
    compaction: Option<Compaction>,
    /// Bytes of the log that are reserved for a compaction: a log that is full could never be
    /// emptied otherwise.
    reserved: u64,
    /// Bytes written since the last compaction began.
    written: u64,
    /// Bytes that the last compaction wrote: what the log held of use then.
    live: u64,
    now: Millis,
}

impl Journal {
    /// A journal on an opened log, of which `found` bytes were read back and `live` bytes are of
    /// use.
    pub fn new(log: WriteAheadLog, found: u64, live: u64) -> Self {
        Self {
            log,
            queue: Queue::default(),
            priority: Queue::default(),
            pending: VecDeque::new(),
            last_synced: 0,
            compaction: None,
            reserved: compaction::reserve_for(live),
            written: found.saturating_sub(live),
            live,
            now: 0,
        }
    }

    /// Reports the newest LSN of the log that is on disk.
    pub fn watch(&self) -> tokio::sync::watch::Receiver<Lsn> {
        self.log.synced_lsn()
    }

    /// Sets the time of what is written from now on.
    pub fn set_now(&mut self, now: Millis) {
        self.now = now;
    }

    /// Whether what is written gets to the disk.
    pub fn status(&self) -> DiskStatus {
        let oldest = self.pending.front().map(|pending| pending.since);
        let oldest = oldest.or(self.queue.records.front().map(|queued| queued.since));
        DiskStatus {
            pending_since: oldest.map(|since| since.max(self.last_synced)),
            failing: self.log.fault().is_some(),
            preallocated: self.log.is_preallocated() && *self.log.synced_lsn().borrow() > 0,
            // Bounded by the chains: a snapshot each, and what may be uncommitted.
            backlogged: false,
        }
    }

    /// The use of the disk.
    pub fn disk(&self) -> DiskUsage {
        DiskUsage {
            used: self.log.used_bytes(),
            size: self.log.capacity_bytes(),
            is_behind: !self.queue.is_empty() || !self.priority.is_empty(),
            sync_ms: u64::try_from(self.log.last_sync_duration().as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Writes a record of a partition's chain; [`Journal::synced`] reports when it is on disk.
    pub fn write(&mut self, partition: u16, ticket: u64, record: &LogRecord) {
        let retained = match record {
            LogRecord::View { .. } | LogRecord::Entry { .. } | LogRecord::SnapshotChunk { .. } => {
                Retained::ByState
            }
            LogRecord::InSync { .. } => Retained::Rewrite(record.encode()),
            LogRecord::Snapshot { .. } | LogRecord::SnapshotComplete { .. } => Retained::Replaces,
        };
        let body = record.encode();
        self.written += body.len() as u64;
        let end = Some(WriteEnd { ticket, retained });
        self.queue.write_chunks(self.now, partition, &body, end);
        self.flush();
    }

    /// All that a partition has on disk is void.
    pub fn discard(&mut self, partition: u16) {
        // What waits of it is of no use, and its tickets may be given again.
        self.pending
            .retain(|pending| pending.partition != partition);
        self.queue.remove_partition(partition);
        self.priority.remove_partition(partition);
        self.priority.records.push_back(Queued {
            record: record::record(VOID, partition, Bytes::new()),
            end: None,
            total: 0,
            since: self.now,
        });
        self.flush();
    }

    /// Hands the log as many records as it takes.
    fn flush(&mut self) {
        while let Some(next) = self.next_queue() {
            let queue = match next {
                Next::Priority => &mut self.priority,
                Next::Regular => &mut self.queue,
            };
            let Some(queued) = queue.records.front() else {
                return;
            };
            // If too much waits, or the log is full, it goes on with the next sync or release.
            let Ok(lsn) = self.log.append(queued.record.clone()) else {
                return;
            };
            queue.is_within = queued.is_continued();
            let partition = u16::try_from(queued.record.group).unwrap_or(u16::MAX);
            let Some(Queued { end, since, .. }) = queue.records.pop_front() else {
                return;
            };
            if let Some(end) = end {
                self.pending.push_back(PendingSync {
                    lsn,
                    partition,
                    end,
                    since,
                });
            }
        }
    }

    /// From which queue the next record is to be taken: a write that was begun is ended before
    /// another one begins. `None`: nothing waits, or nothing that there is space for.
    fn next_queue(&self) -> Option<Next> {
        if !self.queue.is_within && !self.priority.is_empty() {
            return Some(Next::Priority);
        }
        let next = self.queue.records.front()?;
        let free = self
            .log
            .capacity_bytes()
            .saturating_sub(self.log.used_bytes());
        let has_space = self.queue.is_within || free >= self.reserved + next.total;
        has_space.then_some(Next::Regular)
    }

    /// All up to this LSN of the log is on disk. Returns the partitions' newest tickets among
    /// it.
    pub fn synced(&mut self, lsn: Lsn) -> Vec<SyncedTicket> {
        let mut synced: Vec<SyncedTicket> = Vec::new();
        self.last_synced = self.now;
        while self
            .pending
            .front()
            .is_some_and(|pending| pending.lsn <= lsn)
        {
            let Some(pending) = self.pending.pop_front() else {
                break;
            };
            let PendingSync { partition, end, .. } = pending;
            // The newest of a partition stands for those before it.
            match synced.iter_mut().find(|found| found.partition == partition) {
                Some(found) => found.ticket = end.ticket,
                None => synced.push(SyncedTicket {
                    partition,
                    ticket: end.ticket,
                }),
            }
        }
        self.flush();
        synced
    }

    /// Has everything written and synced.
    pub fn close(mut self) {
        self.flush();
        self.log.close();
    }
}

/// The queue that is next.
enum Next {
    Priority,
    Regular,
}
