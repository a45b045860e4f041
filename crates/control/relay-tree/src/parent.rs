//! What a table has received from one parent.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;

use crate::entry::Stamp;
use crate::message::{Chunk, Item, Position, UpdateHeader, BUCKETS};
use crate::{Ms, MAX_STALENESS_MS, PARENT_TIMEOUT_MS};

/// Most pairs of sequence numbers that are kept; thinned out beyond it.
const MAX_CHECKPOINTS: usize = 256;
/// What was received from a parent counts when it is followed again within this time; shorter than
/// [`crate::TOMBSTONE_MS`], so that no tombstone was missed.
pub(crate) const REMEMBER_MS: Ms = 45_000;

/// A value that arrives in chunks.
#[derive(Debug)]
struct PartialValue {
    key: CompactString,
    stamp: Stamp,
    total: usize,
    bytes: BytesMut,
}

/// A chunk doesn't go on where the one before it ended.
#[derive(Debug, thiserror::Error)]
#[error("chunk out of order")]
pub(crate) struct ChunkOutOfOrder;

/// An age that was reported at some time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportedAge {
    /// Our time at which it held at the latest.
    pub at: Ms,
    /// The age then, in ms.
    pub age: Ms,
}

impl ReportedAge {
    /// The age now; the largest number if none was reported.
    pub(crate) fn now(reported: Option<Self>, now: Ms) -> Ms {
        reported.map_or(Ms::MAX, |it| {
            now.saturating_sub(it.at).saturating_add(it.age)
        })
    }
}

/// A pair of sequence numbers: when all of the parent's had arrived, our own newest was `ours`.
#[derive(Clone, Copy, Debug)]
struct Checkpoint {
    theirs: u64,
    ours: u64,
}

/// When the next subscription is to be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// When its interval is over.
    #[default]
    Interval,
    /// With the next tick.
    NextTick,
    /// At once.
    Now,
}

/// What the next subscription to the parent has to say, and when.
#[derive(Debug, Default)]
pub(crate) struct Pending {
    /// Something is missing.
    pub gap: bool,
    /// It requests a reply at once.
    pub request_reply: bool,
    pub urgency: Urgency,
}

impl Pending {
    /// The subscription is to be sent at this time at the latest.
    pub(crate) fn raise(&mut self, urgency: Urgency) {
        self.urgency = self.urgency.max(urgency);
    }
}

/// The subscription to one parent.
#[derive(Debug)]
pub(crate) struct ParentLink {
    pub addr: SocketAddr,
    /// The parent's incarnation; 0 before it is known.
    pub incarnation: u64,
    /// All changes of the parent up to this sequence number have arrived.
    pub received_seq: u64,
    partial: Option<PartialValue>,
    pub epoch: u32,
    pub received_serial: u32,
    pub newest_seq: u64,
    /// When the parent last sent something.
    pub last_received: Option<Ms>,
    /// How long ago word of a root came to the parent.
    pub root_contact: Option<ReportedAge>,
    /// The staleness of the parent's state when we last had everything that it had.
    pub in_sync: Option<ReportedAge>,
    pub last_subscribed: Option<Ms>,
    pub pending: Pending,
    /// The number of the full copy that is arriving.
    pub copy: u32,
    /// What is held is being compared with the parent.
    pub comparing: bool,
    /// The buckets that are the same at the parent.
    pub equal_buckets: Option<Box<[bool; BUCKETS]>>,
    checkpoints: VecDeque<Checkpoint>,
}

impl ParentLink {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        ParentLink {
            addr,
            incarnation: 0,
            received_seq: 0,
            partial: None,
            epoch: 0,
            received_serial: 0,
            newest_seq: 0,
            last_received: None,
            root_contact: None,
            in_sync: None,
            last_subscribed: None,
            pending: Pending {
                urgency: Urgency::Now,
                ..Pending::default()
            },
            copy: 0,
            comparing: false,
            equal_buckets: None,
            checkpoints: VecDeque::new(),
        }
    }

    /// The parent is followed again, or for the first time.
    pub(crate) fn resume(&mut self, now: Ms) {
        if self
            .last_received
            .is_none_or(|at| now.saturating_sub(at) > REMEMBER_MS)
        {
            *self = ParentLink::new(self.addr);
        }
        self.pending.raise(Urgency::Now);
        // What it reported before says nothing about it now.
        self.root_contact = None;
        self.last_received = None;
    }

    /// The parent isn't followed any more: half a value isn't kept.
    pub(crate) fn suspend(&mut self) {
        self.partial = None;
        self.pending = Pending::default();
        self.end_comparison();
    }

    /// Subscribes at once and requests a reply at once.
    pub(crate) fn poll(&mut self) {
        self.pending.raise(Urgency::Now);
        self.pending.request_reply = true;
    }

    /// Begins anew at the parent's first number, with a digest of what is held.
    pub(crate) fn begin_comparison(&mut self) {
        self.received_seq = 0;
        self.partial = None;
        self.checkpoints.clear();
        self.equal_buckets = None;
        self.comparing = true;
        self.pending.gap = true;
        self.pending.raise(Urgency::Now);
    }

    pub(crate) fn end_comparison(&mut self) {
        self.comparing = false;
        self.equal_buckets = None;
    }

    /// Up to where the parent's changes have arrived.
    pub(crate) fn position(&self) -> Position {
        let bytes = self
            .partial
            .as_ref()
            .map_or(0, |partial| partial.bytes.len() as u32);
        Position {
            seq: self.received_seq,
            bytes,
        }
    }

    /// How long ago word of a root came to the parent.
    pub(crate) fn root_contact_age(&self, now: Ms) -> Ms {
        ReportedAge::now(self.root_contact, now)
    }

    /// How old what we have from the parent may be.
    pub(crate) fn staleness(&self, now: Ms) -> Ms {
        ReportedAge::now(self.in_sync, now)
    }

    pub(crate) fn is_timed_out(&self, now: Ms) -> bool {
        self.last_received
            .is_none_or(|at| now.saturating_sub(at) > PARENT_TIMEOUT_MS)
    }

    /// Whether the parent sends and is itself in contact with a root.
    pub(crate) fn is_fresh(&self, now: Ms) -> bool {
        !self.is_timed_out(now) && self.root_contact_age(now) <= MAX_STALENESS_MS
    }

    /// Whether all that the parent has said to have has arrived.
    pub(crate) fn is_in_sync(&self) -> bool {
        self.received_seq >= self.newest_seq
    }

    /// Takes in what a message says about its sender; false if it belongs to an earlier epoch and
    /// moves no position.
    pub(crate) fn handle_header(&mut self, now: Ms, header: &UpdateHeader) -> bool {
        if header.incarnation != self.incarnation {
            self.incarnation = header.incarnation;
            self.received_seq = 0;
            self.partial = None;
            self.newest_seq = 0;
            self.epoch = header.epoch;
            self.root_contact = None;
            self.end_comparison();
            self.checkpoints.clear();
        }
        self.last_received = Some(now);
        let at = header.as_of().min(now);
        let never = header.root_contact_ms == u32::MAX;
        let age = if never {
            Ms::MAX
        } else {
            Ms::from(header.root_contact_ms)
        };
        if self.root_contact.is_none_or(|known| at >= known.at) {
            self.root_contact = Some(ReportedAge { at, age });
        }
        self.newest_seq = self.newest_seq.max(header.newest_seq);
        if header.epoch < self.epoch {
            return false;
        }
        self.epoch = header.epoch;
        self.received_serial = header.serial;
        true
    }

    /// Appends a chunk to those before it; gives the value once it is complete.
    pub(crate) fn append_chunk(
        &mut self,
        item: &Item,
        chunk: Chunk,
    ) -> Result<Option<Bytes>, ChunkOutOfOrder> {
        let value = item.value.as_deref().unwrap_or(&[]);
        let total = chunk.total as usize;
        if chunk.offset == 0 {
            let (key, stamp) = (item.key.clone(), item.stamp);
            self.partial = Some(PartialValue {
                key,
                stamp,
                total,
                bytes: BytesMut::new(),
            });
        }
        let partial = self.partial.as_mut().ok_or(ChunkOutOfOrder)?;
        let same = partial.key == item.key && partial.stamp == item.stamp && partial.total == total;
        if !same || partial.bytes.len() != chunk.offset as usize {
            self.partial = None;
            return Err(ChunkOutOfOrder);
        }
        partial.bytes.extend_from_slice(value);
        if partial.bytes.len() < partial.total {
            return Ok(None);
        }
        Ok(self.partial.take().map(|partial| partial.bytes.freeze()))
    }

    /// Advances to where a message leads. `before`: the position when it came; `ours`: our own
    /// newest sequence number now.
    pub(crate) fn advance(&mut self, before: Position, header: &UpdateHeader, ours: u64) {
        if header.from() > before {
            self.pending.gap = true;
            self.pending.raise(Urgency::Now);
            return;
        }
        if header.to_seq > self.received_seq {
            self.received_seq = header.to_seq;
            if header.to_bytes == 0 {
                self.partial = None;
            }
            self.add_checkpoint(ours);
        }
        let at = header.as_of();
        let newer = self.in_sync.is_none_or(|known| at >= known.at);
        if self.is_in_sync() && newer && header.staleness_ms != u32::MAX {
            self.in_sync = Some(ReportedAge {
                at,
                age: Ms::from(header.staleness_ms),
            });
        }
    }

    fn add_checkpoint(&mut self, ours: u64) {
        let theirs = self.received_seq;
        if let Some(last) = self.checkpoints.back_mut().filter(|last| last.ours == ours) {
            last.theirs = theirs;
            return;
        }
        if self.checkpoints.len() >= MAX_CHECKPOINTS {
            // Drops every second one: coarser, and the newest stay apart.
            let mut keep = false;
            self.checkpoints.retain(|_| {
                keep = !keep;
                keep
            });
        }
        self.checkpoints.push_back(Checkpoint { theirs, ours });
    }

    /// The parent's sequence number up to which our subtree has everything, when it has ours up to
    /// `subtree`; `None`: there is nobody below.
    pub(crate) fn subtree_received_seq(&self, subtree: Option<u64>) -> u64 {
        let Some(subtree) = subtree else {
            return self.received_seq;
        };
        let checkpoint = self
            .checkpoints
            .iter()
            .rev()
            .find(|pair| pair.ours <= subtree);
        checkpoint.map_or(0, |pair| pair.theirs)
    }
}
