//! A controller's records on disk: the initial members, what it promised, and its replica of the
//! control state.
//!
//! It guarantees the order of the records, and that a write counts as synced only when it can't be
//! lost any more. A controller without a disk has a journal in name only: it is never a member of
//! the chain nor an acceptor, so nothing that it "writes" counts.

use crate::core::{ControllerCore, WriteTicket};
use crate::startup::{RecordKind, RecoveredState};
use bytes::Bytes;
use chain_replication::Millis;
use replicated_state::encode_addresses;
use std::collections::VecDeque;
use tokio::sync::watch;
use write_ahead_log::{DiskStatus, LogError, Record, WriteAheadLog};

/// Where records go.
enum Backing {
    /// To a disk.
    Disk(WriteAheadLog),
    /// Nowhere: each counts as synced at once. The newest LSN.
    Nothing(watch::Sender<u64>),
}

impl Backing {
    fn append(&self, record: Record) -> Result<u64, LogError> {
        match self {
            Backing::Disk(log) => log.append(record),
            Backing::Nothing(newest) => {
                newest.send_modify(|lsn| *lsn += 1);
                Ok(*newest.borrow())
            }
        }
    }

    fn synced(&self) -> watch::Receiver<u64> {
        match self {
            Backing::Disk(log) => log.synced_lsn(),
            Backing::Nothing(newest) => newest.subscribe(),
        }
    }
}

/// Bytes of records that may wait beside the log's own queue; beyond it nothing more is agreed to.
const MAX_BACKLOG_BYTES: usize = 16 << 20;

/// How much of the disk is used. Both 0 where there is none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DiskUsage {
    /// Bytes that hold records which are needed.
    pub used_bytes: u64,
    /// Bytes that may hold records.
    pub capacity_bytes: u64,
}

/// A record that the log hasn't taken yet.
struct QueuedRecord {
    /// Rises by one a record.
    number: u64,
    kind: RecordKind,
    body: Bytes,
    ticket: Option<WriteTicket>,
    since: Millis,
}

/// A record that is on its way to the disk.
struct UnsyncedRecord {
    /// Its log sequence number (LSN).
    lsn: u64,
    ticket: Option<WriteTicket>,
    since: Millis,
}

/// The records of a compaction on their way to the disk, behind all that was written before.
struct Compaction {
    /// Numbers of the first and the last of its records.
    first: u64,
    last: u64,
    /// The LSN of the first, once the log has taken it.
    first_lsn: u64,
    /// The LSN of the last, once the log has taken it and so what stands before the
    /// first is released.
    last_lsn: Option<u64>,
    /// Writes that the log had not taken when the compaction began: its records cover them, so they
    /// are synced with the last of these.
    superseded: Vec<SupersededWrite>,
}

/// A write that a compaction replaces.
struct SupersededWrite {
    ticket: WriteTicket,
    since: Millis,
}

/// The disk, and what waits for it, in order. A disk that refuses ends nothing: what was written
/// waits here.
pub struct Journal {
    backing: Backing,
    queue: VecDeque<QueuedRecord>,
    backlog_bytes: usize,
    unsynced: VecDeque<UnsyncedRecord>,
    /// When something was last synced.
    last_progress_at: Millis,
    /// The encoded initial members.
    initial_members: Bytes,
    /// Records that were ever queued.
    queued: u64,
    /// A compaction that isn't on disk completely.
    compaction: Option<Compaction>,
    /// Bytes of the records of the last compaction.
    compacted_bytes: u64,
    /// Bytes of other records that the log has taken since.
    written_bytes: u64,
}

impl Journal {
    /// A journal over a disk that was opened, and what was on it.
    pub fn new(log: WriteAheadLog, records: Vec<(u64, Record)>) -> (Self, RecoveredState) {
        let mut recovered = RecoveredState::default();
        let mut written_bytes = 0;
        for (_, record) in records {
            written_bytes += record.body.len() as u64;
            recovered.replay(record.kind, record.body);
        }
        let initial_members = encode_addresses(&recovered.initial_members);
        (
            Journal {
                initial_members,
                written_bytes,
                ..Journal::over(Backing::Disk(log))
            },
            recovered,
        )
    }

    /// The journal of a controller without a disk.
    pub fn without_disk() -> Self {
        Journal::over(Backing::Nothing(watch::Sender::new(0)))
    }

    fn over(backing: Backing) -> Self {
        Journal {
            backing,
            queue: VecDeque::new(),
            backlog_bytes: 0,
            unsynced: VecDeque::new(),
            last_progress_at: 0,
            initial_members: Bytes::new(),
            queued: 0,
            compaction: None,
            compacted_bytes: 0,
            written_bytes: 0,
        }
    }

    /// Writes the first record of all on the empty disk of an initial member.
    pub fn write_initial_members(&mut self, now: Millis, record: Bytes) {
        self.initial_members = record.clone();
        self.enqueue(now, RecordKind::InitialMembers, record, None);
        self.flush();
    }

    /// Writes a record; [`Journal::synced`] tells when it is on disk.
    pub fn write(&mut self, now: Millis, ticket: WriteTicket, record: Bytes) {
        self.enqueue(now, ticket.into(), record, Some(ticket));
        self.flush();
    }

    fn enqueue(
        &mut self,
        since: Millis,
        kind: RecordKind,
        body: Bytes,
        ticket: Option<WriteTicket>,
    ) {
        self.backlog_bytes += body.len();
        self.queued += 1;
        self.queue.push_back(QueuedRecord {
            number: self.queued,
            kind,
            body,
            ticket,
            since,
        });
    }

    /// Hands over to the log what it takes.
    fn flush(&mut self) {
        while let Some(queued) = self.queue.front() {
            if !self.has_space(queued) {
                return;
            }
            let body = queued.body.clone();
            let record = Record {
                kind: queued.kind as u8,
                group: 0,
                number: 0,
                body,
            };
            // Full: goes on with the next sync, or once the log has grown.
            let Ok(lsn) = self.backing.append(record) else {
                return;
            };
            let Some(queued) = self.queue.pop_front() else {
                return;
            };
            let QueuedRecord {
                number,
                body,
                ticket,
                since,
                ..
            } = queued;
            self.backlog_bytes = self.backlog_bytes.saturating_sub(body.len());
            if self.is_of_compaction(number) {
                self.compacted_bytes += body.len() as u64;
            } else {
                self.written_bytes += body.len() as u64;
            }
            self.unsynced
                .push_back(UnsyncedRecord { lsn, ticket, since });
            self.advance_compaction(number, lsn);
        }
    }

    fn is_of_compaction(&self, number: u64) -> bool {
        let within = |c: &Compaction| (c.first..=c.last).contains(&number);
        self.compaction.as_ref().is_some_and(within)
    }

    /// Whether the log may take this record. One that is no part of a compaction must leave space
    /// for the next compaction, which alone makes space again: without it, a log that fills up
    /// while the disk refuses would stay full for good. Half of the log is always enough.
    fn has_space(&self, queued: &QueuedRecord) -> bool {
        let Backing::Disk(log) = &self.backing else {
            return true;
        };
        let (used, capacity) = (log.used_bytes(), log.capacity_bytes());
        let leaves_reserve = || {
            let free = capacity.saturating_sub(used);
            free >= queued.body.len() as u64 + self.compaction_reserve(log)
        };
        self.is_of_compaction(queued.number) || used * 2 < capacity || leaves_reserve()
    }

    /// Bytes that a compaction may need. Its records are at most as large as those of the last one
    /// with all that was written since; and a segment may end before the next of them, with as much
    /// left as the longest record needs.
    fn compaction_reserve(&self, log: &WriteAheadLog) -> u64 {
        self.compacted_bytes + self.written_bytes + log.max_body_bytes()
    }

    /// Once the log has taken the last record of a compaction, what stands before the first is
    /// released. Not before: after a crash nothing may be missing of what the new records replace.
    /// The log writes in order, and syncs all before it overwrites a file that was released.
    fn advance_compaction(&mut self, number: u64, lsn: u64) {
        let Some(compaction) = &mut self.compaction else {
            return;
        };
        if number == compaction.first {
            compaction.first_lsn = lsn;
        }
        if number == compaction.last {
            compaction.last_lsn = Some(lsn);
            let superseded = std::mem::take(&mut compaction.superseded);
            let synced_with_last = |write: SupersededWrite| UnsyncedRecord {
                lsn,
                ticket: Some(write.ticket),
                since: write.since,
            };
            self.unsynced
                .extend(superseded.into_iter().map(synced_with_last));
            if let Backing::Disk(log) = &self.backing {
                log.release_before(compaction.first_lsn);
            }
        }
    }

    /// All up to this LSN is on disk: whose writes these were. While a compaction is
    /// not on disk completely, no write counts as synced: its snapshot voids the entries that stand
    /// before it, so one of them that is synced, and not applied, would be gone if the power went
    /// between the snapshot and the entry's second copy.
    pub fn synced(&mut self, now: Millis, lsn: u64) -> Vec<WriteTicket> {
        self.last_progress_at = now;
        let mut tickets = Vec::new();
        let is_open = |c: &Compaction| c.last_lsn.is_none_or(|last| last > lsn);
        if self.compaction.as_ref().is_some_and(is_open) {
            self.flush();
            return tickets;
        }
        while self
            .unsynced
            .front()
            .is_some_and(|record| record.lsn <= lsn)
        {
            tickets.extend(self.unsynced.pop_front().and_then(|record| record.ticket));
        }
        self.flush();
        tickets
    }

    /// How the disk is; to be called now and then, which also hands over what the log didn't take
    /// before.
    pub fn state(&mut self) -> DiskStatus {
        self.flush();
        let oldest = self.unsynced.front().map(|record| record.since);
        let oldest = oldest.or(self.queue.front().map(|queued| queued.since));
        let (failing, preallocated) = match &self.backing {
            Backing::Disk(log) => (
                log.fault().is_some(),
                log.is_preallocated() && *log.synced_lsn().borrow() > 0,
            ),
            // It never counts as able.
            Backing::Nothing(_) => (false, false),
        };
        DiskStatus {
            pending_since: oldest.map(|since| since.max(self.last_progress_at)),
            failing,
            preallocated,
            backlogged: self.backlog_bytes >= MAX_BACKLOG_BYTES,
        }
    }

    /// Once half of the capacity is used, or what is left is needed for this, writes all that counts
    /// once more, and gives up what stands before. What is still on its way to the disk is part of
    /// what is written: the core has emitted all that it wants written. Of that, what the log has
    /// taken stands before it; what the log has not taken is left out, and counts as synced with
    /// it. So this needs no pause in the writes, and no disk that takes them now.
    pub fn compact_if_needed(&mut self, now: Millis, core: &ControllerCore) {
        let Backing::Disk(log) = &self.backing else {
            return;
        };
        let newest = *log.synced_lsn().borrow();
        let is_done = |c: &mut Compaction| c.last_lsn.is_some_and(|last| last <= newest);
        self.compaction.take_if(is_done);
        let is_half_full = log.used_bytes() * 2 >= log.capacity_bytes();
        let is_held_back = self.queue.front().is_some_and(|next| !self.has_space(next));
        if self.compaction.is_some() || !(is_half_full || is_held_back) {
            return;
        }
        let superseded = self.supersede_queue();
        self.compacted_bytes = 0;
        self.written_bytes = 0;
        let first = self.queued + 1;
        self.enqueue(
            now,
            RecordKind::InitialMembers,
            self.initial_members.clone(),
            None,
        );
        for (kind, record) in core.snapshot_records() {
            self.enqueue(now, kind, record, None);
        }
        let last = self.queued;
        self.compaction = Some(Compaction {
            first,
            last,
            first_lsn: 0,
            last_lsn: None,
            superseded,
        });
        self.flush();
    }

    /// Drops what the log has not taken, and returns whose writes these were.
    fn supersede_queue(&mut self) -> Vec<SupersededWrite> {
        self.backlog_bytes = 0;
        let superseded = |queued: QueuedRecord| {
            let since = queued.since;
            queued
                .ticket
                .map(|ticket| SupersededWrite { ticket, since })
        };
        self.queue.drain(..).filter_map(superseded).collect()
    }

    /// Tells the newest LSN that is on disk.
    pub fn subscribe_synced(&self) -> watch::Receiver<u64> {
        self.backing.synced()
    }

    /// How much of the disk is used.
    pub fn usage(&self) -> DiskUsage {
        match &self.backing {
            Backing::Disk(log) => DiskUsage {
                used_bytes: log.used_bytes(),
                capacity_bytes: log.capacity_bytes(),
            },
            Backing::Nothing(_) => DiskUsage::default(),
        }
    }
}
