//! The records of all partitions on one ring of files: written together, read back, and written once more when too
//! much of the ring is of no use.

use batch::wire::MAX_PARTITIONS;
use batch::BatchJobTable;
use bytes::Bytes;
use chain_replication::{LogRecord, Millis, RecoveredLog, Replica, StateMachine};
use std::collections::VecDeque;
use write_ahead_log::{DiskStatus, Record, WriteAheadLog};

/// A whole write of a partition's chain.
const WHOLE: u8 = 1;
/// The first piece of one, one more, and the last.
const FIRST: u8 = 2;
const MORE: u8 = 3;
const LAST: u8 = 4;
/// Everything of the partition that was written before is void.
const VOID: u8 = 5;

/// A write is cut into pieces of so many bytes. No piece goes over the end of a file of the ring (4 MiB), so the end of
/// each file stays empty by up to one piece: with 128 KiB that is a thirty-second part, with 1 MiB it was a quarter.
const PIECE: usize = 128 << 10;
/// The ring is written anew when so many bytes were written beside twice what it held at the last time.
const SLACK: u64 = 8 << 20;
/// Beside what is of use, so many bytes of the ring are kept free for writing it anew: the ends of files that stay empty
/// (one piece each) and what was handed over since the need was last measured.
const ANEW_MARGIN: u64 = 3 << 20;
/// Of what is of use, so many hundredths more are kept free: the ends of files, and records' own heads.
const ANEW_MARGIN_PERCENT: u64 = 5;
/// Or when so many hundredths of it are in use, unless most of that is still of use.
const USED_PERCENT: u64 = 60;

/// The disk holds something that can't be read, though it was synced.
#[derive(Debug, thiserror::Error)]
pub enum BadRecord {
    /// A record of a chain.
    #[error("record {ticket} of partition {part}: {why}")]
    Write {
        /// The ring's ticket.
        ticket: u64,
        /// The partition.
        part: u32,
        /// What is wrong.
        why: chain_replication::DecodeError,
    },
    /// A record of no known kind.
    #[error("record {ticket} has kind {kind}, partition {part}")]
    Kind {
        /// The ring's ticket.
        ticket: u64,
        /// The kind.
        kind: u8,
        /// The partition.
        part: u32,
    },
    /// A partition's whole state.
    #[error("partition {part}: {why}")]
    Snapshot {
        /// The partition.
        part: u16,
        /// What is wrong.
        why: chain_replication::SnapshotError,
    },
}

/// What a write that is not on disk yet means for writing the ring anew.
enum Kept {
    /// The whole state covers it.
    Covered,
    /// It is to be written again after the whole state.
    Again(Bytes),
    /// It replaces the state: nothing is written anew before it is on disk.
    Replaces,
}

struct Queued {
    record: Record,
    /// The last piece of a write, with its chain's ticket.
    ends: Option<(u64, Kept)>,
    /// At the first piece of a write: the bytes of all its pieces.
    total: u64,
    /// When it was put here.
    since: Millis,
}

impl Queued {
    /// Whether more pieces of the same write follow: nothing of its partition may come between them.
    fn goes_on(&self) -> bool {
        matches!(self.record.kind, FIRST | MORE)
    }
}

/// Records that wait to be handed over to the ring, in order.
#[derive(Default)]
struct Queue {
    records: VecDeque<Queued>,
    /// Some pieces of a write were handed over, and not yet all.
    is_within: bool,
}

impl Queue {
    fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Cuts a write into pieces.
    fn put(&mut self, now: Millis, part: u16, body: &Bytes, mut ends: Option<(u64, Kept)>) {
        let mut at = 0;
        loop {
            let end = body.len().min(at + PIECE);
            let last = end == body.len();
            let kind = match (at == 0, last) {
                (true, true) => WHOLE,
                (true, false) => FIRST,
                (false, false) => MORE,
                (false, true) => LAST,
            };
            let record = Record {
                kind,
                group: part.into(),
                number: 0,
                body: body.slice(at..end),
            };
            let ends = if last { ends.take() } else { None };
            let total = if at == 0 { body.len() as u64 } else { 0 };
            self.records.push_back(Queued {
                record,
                ends,
                total,
                since: now,
            });
            at = end;
            if last {
                return;
            }
        }
    }

    /// Takes out what belongs to this partition.
    fn drop_part(&mut self, part: u16) -> Vec<Queued> {
        let group = u32::from(part);
        // Pieces without an end are void by what follows.
        self.is_within &= self
            .records
            .front()
            .is_some_and(|queued| queued.record.group != group);
        let all = std::mem::take(&mut self.records);
        let (dropped, kept): (Vec<Queued>, Vec<Queued>) = all
            .into_iter()
            .partition(|queued| queued.record.group == group);
        self.records = kept.into();
        dropped
    }
}

struct Waiting {
    at: u64,
    part: u16,
    ticket: u64,
    kept: Kept,
    since: Millis,
}

/// Writing the ring anew, one partition a turn.
struct Anew {
    /// All before this ticket is released at the end.
    first: u64,
    next: u16,
    bytes: u64,
}

/// The disk, and what waits for it.
pub struct Journal {
    ring: WriteAheadLog,
    /// What the chains write.
    queue: Queue,
    /// What writing the ring anew needs, and what declares a partition void: it goes first, and may use what is kept free.
    first: Queue,
    waiting: VecDeque<Waiting>,
    /// When something was last synced.
    progress: Millis,
    anew: Option<Anew>,
    /// So many bytes are kept free for writing the ring anew: else a ring that is full could never be emptied.
    kept_free: u64,
    /// Bytes written since the ring was written anew, and what it held then.
    since: u64,
    live: u64,
    now: Millis,
}

/// How many bytes of the ring are to be free, so that it can be written anew with so many bytes of use.
fn need_anew(live: u64) -> u64 {
    live + live * ANEW_MARGIN_PERCENT / 100 + ANEW_MARGIN
}

/// Bytes of entries that are in memory at most while the ring is read back, over all partitions: what is older goes into
/// the partition's state at once. A ring of 500 MB may hold that much in entries, and a process has half of it.
const ENTRIES_READ_BACK: u64 = 48 << 20;

/// Of a partition's entries that are folded, so many bytes stay: no more of them is kept by a member that starts.
const ENTRIES_KEPT: u64 = 8 << 20;

/// What is known of a partition while the ring is read back.
#[derive(Default)]
struct PartRead {
    recovered: Option<RecoveredLog>,
    /// The pieces of a write whose last one hasn't come.
    pieces: Vec<u8>,
    /// Bytes of the entries that are held, and a few that may have been dropped.
    entry_bytes: u64,
}

/// Puts together what was on disk of each partition, in the order of its records.
pub struct ReadBack {
    parts: Vec<PartRead>,
    entry_bytes: u64,
    /// All records' bodies.
    bytes: u64,
    records: u64,
}

impl Default for ReadBack {
    fn default() -> Self {
        let parts = (0..MAX_PARTITIONS).map(|_| PartRead::default()).collect();
        ReadBack {
            parts,
            entry_bytes: 0,
            bytes: 0,
            records: 0,
        }
    }
}

impl ReadBack {
    /// Bytes of the records that were taken.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Records that were taken.
    pub fn records(&self) -> u64 {
        self.records
    }

    /// Bytes of the entries in memory, at least.
    pub fn entry_bytes(&self) -> u64 {
        self.entry_bytes
    }

    /// Takes the next record.
    ///
    /// # Errors
    /// It can't be read: then nothing on this disk can be trusted.
    pub fn take(&mut self, ticket: u64, record: Record) -> Result<(), BadRecord> {
        let Record {
            kind,
            group: part,
            body,
            ..
        } = record;
        self.bytes += body.len() as u64;
        self.records += 1;
        let place = usize::try_from(part)
            .ok()
            .and_then(|place| self.parts.get_mut(place));
        let Some(read) = place else {
            return Err(BadRecord::Kind { ticket, kind, part });
        };
        let whole = match kind {
            WHOLE => Some(body),
            FIRST => {
                // Pieces without an end were cut off by a crash: nobody was told of them.
                read.pieces = body.to_vec();
                None
            }
            MORE | LAST => {
                read.pieces.extend_from_slice(&body);
                (kind == LAST).then(|| Bytes::from(std::mem::take(&mut read.pieces)))
            }
            VOID => {
                self.entry_bytes = self.entry_bytes.saturating_sub(read.entry_bytes);
                *read = PartRead::default();
                None
            }
            _ => return Err(BadRecord::Kind { ticket, kind, part }),
        };
        let Some(whole) = whole else { return Ok(()) };
        let write =
            LogRecord::decode(&whole).map_err(|why| BadRecord::Write { ticket, part, why })?;
        self.entry_bytes = self.entry_bytes.saturating_sub(read.entry_bytes);
        match &write {
            LogRecord::Entry { command, .. } => read.entry_bytes += command.len() as u64,
            LogRecord::Snapshot { .. } => read.entry_bytes = 0,
            LogRecord::View { .. } | LogRecord::InSync { .. } => {}
        }
        self.entry_bytes += read.entry_bytes;
        read.recovered.get_or_insert_default().replay(write);
        self.fold()
    }

    /// Keeps the entries in memory within their bound: the largest partition's older ones go into its state.
    fn fold(&mut self) -> Result<(), BadRecord> {
        if self.entry_bytes <= ENTRIES_READ_BACK {
            return Ok(());
        }
        let held = self
            .parts
            .iter()
            .filter(|read| read.entry_bytes > 0)
            .count();
        let keep = (ENTRIES_READ_BACK / 2 / (held as u64).max(1)).min(ENTRIES_KEPT);
        let largest = (0u16..)
            .zip(&mut self.parts)
            .max_by_key(|(_, read)| read.entry_bytes);
        let Some((part, read)) = largest else {
            return Ok(());
        };
        let Some(recovered) = read.recovered.as_mut() else {
            return Ok(());
        };
        recovered
            .compact(BatchJobTable::new(), keep)
            .map_err(|why| BadRecord::Snapshot { part, why })?;
        self.entry_bytes = self.entry_bytes.saturating_sub(read.entry_bytes);
        read.entry_bytes = recovered.entry_bytes();
        self.entry_bytes += read.entry_bytes;
        Ok(())
    }

    /// What was on disk of each partition.
    ///
    /// # Errors
    /// A partition's state can't be read.
    pub fn finish(self) -> Result<Vec<(u16, RecoveredLog)>, BadRecord> {
        let mut found = Vec::new();
        for (part, read) in (0u16..).zip(self.parts) {
            let Some(recovered) = read.recovered else {
                continue;
            };
            if let Some(snapshot) = &recovered.snapshot {
                BatchJobTable::new()
                    .restore(&snapshot.state)
                    .map_err(|why| BadRecord::Snapshot { part, why })?;
            }
            found.push((part, recovered));
        }
        Ok(found)
    }
}

/// Puts together what was on disk of each partition, in the order of its records.
///
/// # Errors
/// What can't be read: then nothing on this disk can be trusted.
pub fn read_back(records: Vec<(u64, Record)>) -> Result<Vec<(u16, RecoveredLog)>, BadRecord> {
    let mut back = ReadBack::default();
    for (ticket, record) in records {
        back.take(ticket, record)?;
    }
    back.finish()
}

impl Journal {
    /// A journal on an opened ring, of which `found` bytes were read back and `live` bytes are of use.
    pub fn new(ring: WriteAheadLog, found: u64, live: u64) -> Self {
        Self {
            ring,
            queue: Queue::default(),
            first: Queue::default(),
            waiting: VecDeque::new(),
            progress: 0,
            anew: None,
            kept_free: need_anew(live),
            since: found.saturating_sub(live),
            live,
            now: 0,
        }
    }

    /// Tells which ticket is the newest on disk.
    pub fn watch(&self) -> tokio::sync::watch::Receiver<u64> {
        self.ring.synced_lsn()
    }

    /// The time of what is written from now on.
    pub fn at(&mut self, now: Millis) {
        self.now = now;
    }

    /// Whether what is written gets to the disk.
    pub fn state(&self) -> DiskStatus {
        let oldest = self.waiting.front().map(|waiting| waiting.since);
        let oldest = oldest.or(self.queue.records.front().map(|queued| queued.since));
        DiskStatus {
            pending_since: oldest.map(|since| since.max(self.progress)),
            failing: self.ring.fault().is_some(),
            preallocated: self.ring.is_preallocated() && *self.ring.synced_lsn().borrow() > 0,
            // Bounded by the chains: a snapshot each, and what may be uncommitted.
            backlogged: false,
        }
    }

    /// How the disk stands.
    pub fn disk(&self) -> crate::Disk {
        crate::Disk {
            used: self.ring.used_bytes(),
            size: self.ring.capacity_bytes(),
            behind: !self.queue.is_empty() || !self.first.is_empty(),
            sync_ms: u64::try_from(self.ring.last_sync_duration().as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Writes a record of a partition's chain; [`Journal::synced`] says when it is on disk.
    pub fn write(&mut self, part: u16, ticket: u64, write: &LogRecord) {
        let kept = match write {
            LogRecord::View { .. } | LogRecord::Entry { .. } => Kept::Covered,
            LogRecord::InSync { .. } => Kept::Again(write.encode()),
            LogRecord::Snapshot { .. } => Kept::Replaces,
        };
        let body = write.encode();
        self.since += body.len() as u64;
        self.queue.put(self.now, part, &body, Some((ticket, kept)));
        self.flush();
    }

    /// All that a partition has on disk is void.
    pub fn void(&mut self, part: u16) {
        // What waits of it is of no use, and its tickets may be given again.
        self.waiting.retain(|waiting| waiting.part != part);
        self.queue.drop_part(part);
        self.first.drop_part(part);
        let record = Record {
            kind: VOID,
            group: part.into(),
            number: 0,
            body: Bytes::new(),
        };
        self.first.records.push_back(Queued {
            record,
            ends: None,
            total: 0,
            since: self.now,
        });
        self.flush();
    }

    /// Hands over to the ring what it takes.
    fn flush(&mut self) {
        while let Some(is_first) = self.next_queue() {
            let queue = if is_first {
                &mut self.first
            } else {
                &mut self.queue
            };
            let Some(queued) = queue.records.front() else {
                return;
            };
            match self.ring.append(queued.record.clone()) {
                Ok(at) => {
                    queue.is_within = queued.goes_on();
                    let part = u16::try_from(queued.record.group).unwrap_or(u16::MAX);
                    let Some(Queued { ends, since, .. }) = queue.records.pop_front() else {
                        return;
                    };
                    if let Some((ticket, kept)) = ends {
                        self.waiting.push_back(Waiting {
                            at,
                            part,
                            ticket,
                            kept,
                            since,
                        });
                    }
                }
                // Too much waits, or the ring is full: with the next sync, or the next releasing, it goes on.
                Err(_) => return,
            }
        }
    }

    /// From which queue the next record is to be taken: a write that was begun is ended before another one begins.
    /// True: from the one that goes first. None: nothing waits, or nothing that there is room for.
    fn next_queue(&self) -> Option<bool> {
        if !self.queue.is_within && !self.first.is_empty() {
            return Some(true);
        }
        let next = self.queue.records.front()?;
        let room = self
            .ring
            .capacity_bytes()
            .saturating_sub(self.ring.used_bytes());
        (self.queue.is_within || room >= self.kept_free + next.total).then_some(false)
    }

    /// All up to this ticket of the ring is on disk: partitions and the tickets of their chains.
    pub fn synced(&mut self, at: u64) -> Vec<(u16, u64)> {
        let mut done: Vec<(u16, u64)> = Vec::new();
        self.progress = self.now;
        while self.waiting.front().is_some_and(|waiting| waiting.at <= at) {
            let Some(waiting) = self.waiting.pop_front() else {
                break;
            };
            // The newest of a partition stands for those before it.
            match done.iter_mut().find(|(part, _)| *part == waiting.part) {
                Some((_, ticket)) => *ticket = waiting.ticket,
                None => done.push((waiting.part, waiting.ticket)),
            }
        }
        self.flush();
        done
    }

    /// Time passes: writes the ring anew where that is due, one partition a turn.
    pub fn tick<'a>(&mut self, nodes: impl Iterator<Item = (u16, &'a Replica<BatchJobTable>)>) {
        let nodes: Vec<(u16, &Replica<BatchJobTable>)> = nodes.collect();
        let live: u64 = nodes
            .iter()
            .map(|(_, node)| node.state_machine().bytes() as u64)
            .sum();
        self.kept_free = need_anew(live);
        self.flush();
        if self.anew.is_none() && !self.is_due(live)
            || !self.first.is_empty()
            || self.queue.is_within
        {
            return;
        }
        // A state that takes another's place is on disk whole before the one before it is let go.
        if self
            .waiting
            .iter()
            .any(|waiting| matches!(waiting.kept, Kept::Replaces))
        {
            return;
        }
        let (first, next, bytes) = match &self.anew {
            Some(anew) => (anew.first, anew.next, anew.bytes),
            None => {
                // A mark whose ticket is the border: all of use is written after it.
                let mark = Record {
                    kind: FIRST,
                    group: 0,
                    number: 0,
                    body: Bytes::new(),
                };
                match self.ring.append(mark) {
                    Ok(first) => {
                        self.since = 0;
                        (first, 0, 0)
                    }
                    Err(_) => return,
                }
            }
        };
        let Some((part, node)) = nodes.into_iter().find(|(part, _)| *part >= next) else {
            self.ring.release_before(first);
            self.anew = None;
            self.live = bytes;
            self.flush();
            return;
        };
        let bytes = bytes + self.write_anew(part, node);
        self.anew = Some(Anew {
            first,
            next: part + 1,
            bytes,
        });
        self.flush();
    }

    /// Whether the ring is to be written anew.
    fn is_due(&self, live: u64) -> bool {
        let (used, capacity) = (self.ring.used_bytes(), self.ring.capacity_bytes());
        // What was kept of a partition that was left is of no use at once.
        let live = live.min(self.live);
        let much = self.since >= SLACK + 2 * live;
        let half_full =
            used * 100 >= capacity * USED_PERCENT && self.since >= self.live / 2 + SLACK / 8;
        let held_back = !self.queue.is_empty() && self.next_queue().is_none();
        much || half_full || held_back
    }

    /// Queues all that a partition has, in place of what of it was not handed over yet; returns its bytes.
    fn write_anew(&mut self, part: u16, node: &Replica<BatchJobTable>) -> u64 {
        let mut again: Vec<Bytes> = node
            .snapshot_records()
            .iter()
            .map(LogRecord::encode)
            .collect();
        let own = self.waiting.iter().filter(|waiting| waiting.part == part);
        let mut kept: Vec<Bytes> = own
            .filter_map(|waiting| match &waiting.kept {
                Kept::Again(record) => Some(record.clone()),
                Kept::Covered | Kept::Replaces => None,
            })
            .collect();
        // The whole state covers what was held back, too; its tickets are done with the last record of it. So are those of
        // records on their way to the disk: the state that is read back takes the place of all before it, and what was
        // written again after it may be missing while the first copy is there.
        let mut ticket = self
            .waiting
            .iter()
            .filter(|waiting| waiting.part == part)
            .map(|w| w.ticket)
            .max();
        self.waiting.retain(|waiting| waiting.part != part);
        for queued in self.queue.drop_part(part) {
            if let Some((newest, what)) = queued.ends {
                ticket = Some(newest);
                if let Kept::Again(record) = what {
                    kept.push(record);
                }
            }
        }
        let again_from = again.len();
        again.append(&mut kept);
        let last = again.len().saturating_sub(1);
        let mut bytes = 0;
        for (at, body) in again.into_iter().enumerate() {
            let ticket = ticket.filter(|_| at == last);
            let is_again = at >= again_from;
            let kept = if is_again {
                Kept::Again(body.clone())
            } else {
                Kept::Covered
            };
            bytes += body.len() as u64;
            self.first
                .put(self.now, part, &body, ticket.map(|ticket| (ticket, kept)));
        }
        bytes
    }

    /// Has everything written and synced.
    pub fn close(mut self) {
        self.flush();
        self.ring.close();
    }
}
