//! A controller's disk: who founded the tier, what it promised, and its copy of the control state. A controller without
//! a disk has a journal in name only: it is never a member of the chain nor an acceptor, so nothing that it "keeps" counts.

use crate::begin::{Found, Kind};
use crate::owner::{Owner, Told};
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
    /// Nowhere: each counts as kept at once. The newest ticket.
    Nothing(watch::Sender<u64>),
}

impl Backing {
    fn append(&self, record: Record) -> Result<u64, LogError> {
        match self {
            Backing::Disk(ring) => ring.append(record),
            Backing::Nothing(newest) => {
                newest.send_modify(|ticket| *ticket += 1);
                Ok(*newest.borrow())
            }
        }
    }

    fn synced(&self) -> watch::Receiver<u64> {
        match self {
            Backing::Disk(ring) => ring.synced_lsn(),
            Backing::Nothing(newest) => newest.subscribe(),
        }
    }

    /// Bytes used, and there.
    fn room(&self) -> (u64, u64) {
        match self {
            Backing::Disk(ring) => (ring.used_bytes(), ring.capacity_bytes()),
            Backing::Nothing(_) => (0, 0),
        }
    }
}

/// Bytes of records that may wait beside the ring's own queue; beyond it nothing more is agreed to.
const BACKLOG_BYTES: usize = 16 << 20;

/// A record that the ring hasn't taken yet.
struct Queued {
    /// Rises by one a record.
    number: u64,
    kind: Kind,
    body: Bytes,
    told: Option<Told>,
    since: Millis,
}

/// A record that is on its way to the disk.
struct Waiting {
    ticket: u64,
    told: Option<Told>,
    since: Millis,
}

/// The records of a compaction on their way to the disk, behind all that was written before.
struct Compaction {
    /// Numbers of the first and the last of its records.
    first: u64,
    last: u64,
    /// The ticket of the first, once the ring has taken it.
    first_ticket: u64,
    /// The ticket of the last, once the ring has taken it and so what stands before the first is released.
    last_ticket: Option<u64>,
}

/// The disk, and what waits for it, in order. A disk that refuses ends nothing: what was written waits here.
pub struct Journal {
    backing: Backing,
    queue: VecDeque<Queued>,
    backlog: usize,
    waiting: VecDeque<Waiting>,
    /// When something was last synced.
    progress: Millis,
    founders: Bytes,
    /// Records that were ever queued.
    queued: u64,
    /// A compaction that isn't on disk in full.
    compaction: Option<Compaction>,
}

impl Journal {
    /// A journal over a disk that was opened, and what stood there.
    pub fn new(ring: WriteAheadLog, records: Vec<(u64, Record)>) -> (Self, Found) {
        let mut found = Found::default();
        for (_, record) in records {
            found.take(record.kind, record.body);
        }
        let founders = encode_addresses(&found.founders);
        (
            Journal {
                founders,
                ..Journal::over(Backing::Disk(ring))
            },
            found,
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
            backlog: 0,
            waiting: VecDeque::new(),
            progress: 0,
            founders: Bytes::new(),
            queued: 0,
            compaction: None,
        }
    }

    /// The first act on an empty disk of a founder.
    pub fn found(&mut self, now: Millis, founders: Bytes) {
        self.founders = founders.clone();
        self.put(now, Kind::Founding, founders, None);
        self.flush();
    }

    /// Writes; [`Journal::synced`] says when it is on disk.
    pub fn write(&mut self, now: Millis, told: Told, body: Bytes) {
        let kind = match told {
            Told::View(_) => Kind::View,
            Told::Chain(_) => Kind::Chain,
            Told::FirstView(_) => Kind::FirstView,
        };
        self.put(now, kind, body, Some(told));
        self.flush();
    }

    fn put(&mut self, since: Millis, kind: Kind, body: Bytes, told: Option<Told>) {
        self.backlog += body.len();
        self.queued += 1;
        self.queue.push_back(Queued {
            number: self.queued,
            kind,
            body,
            told,
            since,
        });
    }

    /// Hands over to the ring what it takes.
    fn flush(&mut self) {
        while let Some(queued) = self.queue.front() {
            let record = Record {
                kind: queued.kind as u8,
                group: 0,
                number: 0,
                body: queued.body.clone(),
            };
            // Full: goes on with the next sync, or once the ring has grown.
            let Ok(ticket) = self.backing.append(record) else {
                return;
            };
            let Some(Queued {
                number,
                body,
                told,
                since,
                ..
            }) = self.queue.pop_front()
            else {
                return;
            };
            self.backlog = self.backlog.saturating_sub(body.len());
            self.waiting.push_back(Waiting {
                ticket,
                told,
                since,
            });
            self.note_compacted(number, ticket);
        }
    }

    /// Once the ring has taken the last record of a compaction, what stands before the first is released. Not before: after
    /// a crash nothing may be missing of what the new records replace. The ring writes in order, and syncs all before it
    /// writes over a file that was released.
    fn note_compacted(&mut self, number: u64, ticket: u64) {
        let Some(compaction) = &mut self.compaction else {
            return;
        };
        if number == compaction.first {
            compaction.first_ticket = ticket;
        }
        if number == compaction.last {
            compaction.last_ticket = Some(ticket);
            if let Backing::Disk(ring) = &self.backing {
                ring.release_before(compaction.first_ticket);
            }
        }
    }

    /// All up to this ticket is on disk: whose writes these were. While a compaction is not on disk in full, nobody hears of
    /// a write: its snapshot voids the entries that stand before it, so one of them that is synced, and not applied, would be
    /// gone if the power went between the snapshot and the entry's second copy.
    pub fn synced(&mut self, now: Millis, ticket: u64) -> Vec<Told> {
        self.progress = now;
        let mut told = Vec::new();
        if self
            .compaction
            .as_ref()
            .is_some_and(|c| c.last_ticket.is_none_or(|last| last > ticket))
        {
            self.flush();
            return told;
        }
        while self
            .waiting
            .front()
            .is_some_and(|waiting| waiting.ticket <= ticket)
        {
            told.extend(self.waiting.pop_front().and_then(|waiting| waiting.told));
        }
        self.flush();
        told
    }

    /// How the disk stands; to be asked now and then, which also hands over what the ring didn't take before.
    pub fn state(&mut self) -> DiskStatus {
        self.flush();
        let oldest = self.waiting.front().map(|waiting| waiting.since);
        let oldest = oldest.or(self.queue.front().map(|queued| queued.since));
        let (refuses, prepared) = match &self.backing {
            Backing::Disk(ring) => (
                ring.fault().is_some(),
                ring.is_preallocated() && *ring.synced_lsn().borrow() > 0,
            ),
            // It never counts as able.
            Backing::Nothing(_) => (false, false),
        };
        DiskStatus {
            pending_since: oldest.map(|since| since.max(self.progress)),
            failing: refuses,
            preallocated: prepared,
            backlogged: self.backlog >= BACKLOG_BYTES,
        }
    }

    /// Writes all that counts once more when half of the ring is used, and gives up what stands before. What is still on
    /// its way to the disk stands before it in the ring, and is part of what is whole: the owner has said all that it wants
    /// written. So this needs no pause in the writes, and no disk that takes them now.
    pub fn compact(&mut self, now: Millis, owner: &Owner) {
        let Backing::Disk(ring) = &self.backing else {
            return;
        };
        let newest = *ring.synced_lsn().borrow();
        let is_done = |c: &mut Compaction| c.last_ticket.is_some_and(|last| last <= newest);
        self.compaction.take_if(is_done);
        if self.compaction.is_some() || ring.used_bytes() * 2 < ring.capacity_bytes() {
            return;
        }
        let first = self.queued + 1;
        self.put(now, Kind::Founding, self.founders.clone(), None);
        for record in owner.whole_founding() {
            self.put(now, Kind::FirstView, record, None);
        }
        let (views, writes) = owner.whole();
        for record in views {
            self.put(now, Kind::View, record, None);
        }
        for record in writes {
            self.put(now, Kind::Chain, record, None);
        }
        self.compaction = Some(Compaction {
            first,
            last: self.queued,
            first_ticket: 0,
            last_ticket: None,
        });
        self.flush();
    }

    /// Tells which ticket is the newest on disk.
    pub fn watch(&self) -> watch::Receiver<u64> {
        self.backing.synced()
    }

    /// Bytes used, and there.
    pub fn room(&self) -> (u64, u64) {
        self.backing.room()
    }
}
