//! The records of all partitions on one ring of files: written together, read back, and written once more when too
//! much of the ring is of no use.

use bytes::Bytes;
use chain::{Machine, Node, Recovered, Write};
use disk_ring::{DiskError, DiskRing, Record};
use lots::wire::PARTITIONS;
use lots::Lots;
use std::collections::VecDeque;

/// A whole write of a partition's chain.
const WHOLE: u8 = 1;
/// The first piece of one, one more, and the last.
const FIRST: u8 = 2;
const MORE: u8 = 3;
const LAST: u8 = 4;
/// Everything of the partition that was written before is void.
const VOID: u8 = 5;

/// A write is cut into pieces of so many bytes: any fits in a file of the ring and into what may wait for it.
const PIECE: usize = 1 << 20;
/// The ring is written anew when so many bytes were written beside twice what it held at the last time.
const SLACK: u64 = 8 << 20;
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
        why: chain::BadBytes,
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
        why: chain::BadSnapshot,
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
}

struct Waiting {
    at: u64,
    part: u16,
    ticket: u64,
    kept: Kept,
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
    ring: DiskRing,
    queue: VecDeque<Queued>,
    waiting: VecDeque<Waiting>,
    anew: Option<Anew>,
    /// Bytes written since the ring was written anew, and what it held then.
    since: u64,
    live: u64,
    failed: bool,
}

/// Puts together what was on disk of each partition, in the order of its records.
///
/// # Errors
/// What can't be read: then nothing on this disk can be trusted.
pub fn read_back(records: Vec<(u64, Record)>) -> Result<Vec<(u16, Recovered)>, BadRecord> {
    let mut parts: Vec<Option<Recovered>> = (0..PARTITIONS).map(|_| None).collect();
    let mut pieces: Vec<Vec<u8>> = (0..PARTITIONS).map(|_| Vec::new()).collect();
    for (ticket, record) in records {
        let Record { kind, group: part, body, .. } = record;
        let place = usize::try_from(part).ok();
        let places = place.and_then(|place| Some((parts.get_mut(place)?, pieces.get_mut(place)?)));
        let Some((recovered, piece)) = places else { return Err(BadRecord::Kind { ticket, kind, part }) };
        let whole = match kind {
            WHOLE => Some(body),
            FIRST => {
                // Pieces without an end were cut off by a crash: nobody was told of them.
                *piece = body.to_vec();
                None
            }
            MORE | LAST => {
                piece.extend_from_slice(&body);
                (kind == LAST).then(|| Bytes::from(std::mem::take(piece)))
            }
            VOID => {
                *recovered = None;
                piece.clear();
                None
            }
            _ => return Err(BadRecord::Kind { ticket, kind, part }),
        };
        if let Some(whole) = whole {
            let write = Write::decode(&whole).map_err(|why| BadRecord::Write { ticket, part, why })?;
            recovered.get_or_insert_default().replay(write);
        }
    }
    let mut found = Vec::new();
    for (part, recovered) in (0u16..).zip(parts) {
        let Some(recovered) = recovered else { continue };
        if let Some((_, _, body)) = &recovered.snapshot {
            Lots::new().restore(body).map_err(|why| BadRecord::Snapshot { part, why })?;
        }
        found.push((part, recovered));
    }
    Ok(found)
}

impl Journal {
    /// A journal on an opened ring, of which `found` bytes were read back and `live` bytes are of use.
    pub fn new(ring: DiskRing, found: u64, live: u64) -> Self {
        Self {
            ring,
            queue: VecDeque::new(),
            waiting: VecDeque::new(),
            anew: None,
            since: found.saturating_sub(live),
            live,
            failed: false,
        }
    }

    /// Tells which ticket is the newest on disk.
    pub fn watch(&self) -> tokio::sync::watch::Receiver<u64> {
        self.ring.synced()
    }

    /// Whether a write or a sync has gone wrong.
    pub fn failed(&self) -> bool {
        self.failed || self.ring.failed()
    }

    /// How the disk stands.
    pub fn disk(&self) -> crate::Disk {
        crate::Disk {
            used: self.ring.used(),
            size: self.ring.capacity(),
            behind: !self.queue.is_empty(),
            sync_ms: u64::try_from(self.ring.slow().as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Writes a record of a partition's chain; [`Journal::synced`] says when it is on disk.
    pub fn write(&mut self, part: u16, ticket: u64, write: &Write) {
        let kept = match write {
            Write::View { .. } | Write::Entry { .. } => Kept::Covered,
            Write::InSync { .. } => Kept::Again(write.encode()),
            Write::Snapshot { .. } => Kept::Replaces,
        };
        self.put(part, write.encode(), Some((ticket, kept)));
        self.flush();
    }

    fn put(&mut self, part: u16, body: Bytes, ends: Option<(u64, Kept)>) {
        self.since += body.len() as u64;
        let mut at = 0;
        let mut ends = ends;
        loop {
            let end = body.len().min(at + PIECE);
            let last = end == body.len();
            let kind = match (at == 0, last) {
                (true, true) => WHOLE,
                (true, false) => FIRST,
                (false, false) => MORE,
                (false, true) => LAST,
            };
            let record = Record { kind, group: part.into(), number: 0, body: body.slice(at..end) };
            let ends = if last { ends.take() } else { None };
            self.queue.push_back(Queued { record, ends });
            at = end;
            if last {
                return;
            }
        }
    }

    /// All that a partition has on disk is void.
    pub fn void(&mut self, part: u16) {
        // What waits of it is of no use, and its tickets may be given again.
        self.waiting.retain(|waiting| waiting.part != part);
        self.queue.retain(|queued| queued.record.group != u32::from(part));
        self.queue.push_back(Queued {
            record: Record { kind: VOID, group: part.into(), number: 0, body: Bytes::new() },
            ends: None,
        });
        self.flush();
    }

    /// Hands over to the ring what it takes.
    fn flush(&mut self) {
        while let Some(queued) = self.queue.front() {
            match self.ring.append(queued.record.clone()) {
                Ok(at) => {
                    let part = u16::try_from(queued.record.group).unwrap_or(u16::MAX);
                    let ends = self.queue.pop_front().and_then(|queued| queued.ends);
                    if let Some((ticket, kept)) = ends {
                        self.waiting.push_back(Waiting { at, part, ticket, kept });
                    }
                }
                // Too much waits, or the ring is full: with the next sync, or the next releasing, it goes on.
                Err(DiskError::Full) => return,
                Err(_) => {
                    self.failed = true;
                    return;
                }
            }
        }
    }

    /// All up to this ticket of the ring is on disk: partitions and the tickets of their chains.
    pub fn synced(&mut self, at: u64) -> Vec<(u16, u64)> {
        let mut done: Vec<(u16, u64)> = Vec::new();
        while self.waiting.front().is_some_and(|waiting| waiting.at <= at) {
            let Some(waiting) = self.waiting.pop_front() else { break };
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
    pub fn tick<'a>(&mut self, nodes: impl Iterator<Item = (u16, &'a Node<Lots>)>) {
        self.flush();
        let used = self.ring.used() * 100 >= self.ring.capacity() * USED_PERCENT;
        let due = self.since >= SLACK + 2 * self.live || used && self.since >= self.live / 2 + PIECE as u64;
        if self.anew.is_none() && !due || !self.queue.is_empty() {
            return;
        }
        if self.waiting.iter().any(|waiting| matches!(waiting.kept, Kept::Replaces)) {
            return;
        }
        let before = self.since;
        let (first, next) = match &self.anew {
            Some(anew) => (anew.first, anew.next),
            None => {
                // A mark whose ticket is the border: all of use is written after it.
                let mark = Record { kind: FIRST, group: 0, number: 0, body: Bytes::new() };
                match self.ring.append(mark) {
                    Ok(first) => (first, 0),
                    Err(_) => return,
                }
            }
        };
        let node = { nodes }.find(|(part, _)| *part >= next);
        let bytes = self.anew.as_ref().map_or(0, |anew| anew.bytes);
        let Some((part, node)) = node else {
            self.ring.release_before(first);
            self.anew = None;
            self.live = bytes;
            // What was written beside the partitions meanwhile stays on the count.
            self.since = self.since.saturating_sub(bytes);
            return;
        };
        let mut again: Vec<Bytes> = node.whole().iter().map(Write::encode).collect();
        let own = self.waiting.iter().filter(|waiting| waiting.part == part);
        again.extend(own.filter_map(|waiting| match &waiting.kept {
            Kept::Again(record) => Some(record.clone()),
            Kept::Covered | Kept::Replaces => None,
        }));
        for body in again {
            self.put(part, body, None);
        }
        let bytes = bytes + (self.since - before);
        self.anew = Some(Anew { first, next: part + 1, bytes });
        self.flush();
    }

    /// Has everything written and synced.
    pub fn close(mut self) {
        self.flush();
        self.ring.close();
    }
}
