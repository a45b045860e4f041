//! A snapshot on its way to one taker: what the sender keeps of it, and what the taker has put together so far.
//!
//! A copy is one value with a name ([`SnapshotId`]) from its start to its end, cut into parts of one length. The taker
//! says up to where it holds all parts, and which of the next ones it holds beyond a gap; the sender goes on from there,
//! after a lost part, a broken link, a new view or its own restart, as long as it has that very snapshot. Each part
//! carries a checksum, the whole its digest.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

use crate::types::Millis;
use crate::wire::{MessageBody, SnapshotId};

/// Bytes of a part; only the last one of a snapshot is shorter.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// Parts on their way to a taker, and parts that a taker holds beyond a gap: half a megabyte, some round trips of a
/// machine's link.
pub const CHUNKS_IN_FLIGHT: usize = 8;
/// Parts that came beyond a gap before it counts as a loss and not as a change of order.
const PARTS_BEYOND_A_LOSS: u32 = 2;

/// What a taker's word about a copy means to its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It holds more than was known.
    More,
    /// It holds what was known.
    Same,
    /// It says for the first time that it holds less: it was restarted, or this is an old word.
    Less,
    /// A part was lost on the way: later ones have come.
    Gap,
}

/// A copy as its sender keeps it.
#[derive(Debug)]
pub(crate) struct OutgoingCopy {
    pub id: SnapshotId,
    body: Bytes,
    /// The taker holds all before this.
    acked: usize,
    /// Of the parts after the one at `acked` it holds those whose bits are set, the next one first.
    held: u8,
    /// All before this was sent at least once.
    sent: usize,
    /// All before this was sent at least once when the taker last seemed to hold less.
    sent_before: usize,
    begun: bool,
    /// Parts that may be in flight: one after the taker seemed to hold less, twice as many with each answer.
    window: usize,
    /// The taker said that it holds no more than this, which is less than it held: it was restarted, or the word is an
    /// old one. The part that begins here was sent, and the answer will tell.
    probe: Option<usize>,
    /// The part at `acked` was sent again since later ones came.
    repeated: bool,
}

impl OutgoingCopy {
    /// A copy of this state. The length of `body` must fit a [`SnapshotId`].
    pub fn new(number: u64, last_view: u64, body: Bytes) -> Self {
        let id = SnapshotId::of(number, last_view, &body);
        OutgoingCopy {
            id,
            body,
            acked: 0,
            held: 0,
            sent: 0,
            sent_before: 0,
            begun: false,
            window: CHUNKS_IN_FLIGHT,
            probe: None,
            repeated: false,
        }
    }

    /// Whether a part was ever sent.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Bytes that were sent and not acknowledged.
    pub fn in_flight(&self) -> u64 {
        self.sent.saturating_sub(self.acked) as u64
    }

    /// The same snapshot for a new view: nothing of it is on its way there.
    pub fn for_new_view(self) -> Self {
        let window = CHUNKS_IN_FLIGHT;
        let sent = self.acked;
        OutgoingCopy {
            held: 0,
            sent,
            sent_before: 0,
            begun: false,
            window,
            probe: None,
            repeated: false,
            ..self
        }
    }

    /// The taker says up to where it holds this snapshot, in answer to a question or of its own accord.
    pub fn taker_holds(&mut self, offset: u32) -> Progress {
        let offset = if self.is_place(offset) {
            offset as usize
        } else {
            0
        };
        if !self.begun {
            (self.acked, self.sent) = (offset, offset);
            return Progress::More;
        }
        if offset > self.acked {
            self.go_on_from(offset, 0);
            return Progress::More;
        }
        let probe = Some(offset).filter(|offset| *offset < self.acked);
        let is_known = self.probe == probe;
        self.probe = probe;
        if is_known || probe.is_none() {
            Progress::Same
        } else {
            Progress::Less
        }
    }

    /// The taker acknowledges parts.
    pub fn taker_acked(&mut self, offset: u32, held: u8) -> Progress {
        let place = offset as usize;
        if !self.is_place(offset) {
            return Progress::Same;
        }
        if place > self.acked {
            self.go_on_from(place, held);
            return Progress::More;
        }
        if place < self.acked {
            if self.probe.is_none_or(|probe| place <= probe) {
                return Progress::Same;
            }
            // It took the part that was sent to find out: it holds no more than that.
            self.go_back_to(place, held);
            return Progress::More;
        }
        self.probe = None;
        self.held |= held;
        if self.repeated || self.held.count_ones() < PARTS_BEYOND_A_LOSS {
            return Progress::Same;
        }
        self.repeated = true;
        Progress::Gap
    }

    fn go_on_from(&mut self, offset: usize, held: u8) {
        self.acked = offset;
        self.held = held;
        if offset > self.sent {
            // It did not hold less, as it had seemed: what was sent before is on its way.
            self.sent = offset.max(self.sent_before);
        }
        self.window = CHUNKS_IN_FLIGHT.min(self.window * 2);
        self.probe = None;
        self.repeated = false;
    }

    fn go_back_to(&mut self, offset: usize, held: u8) {
        self.acked = offset;
        self.held = held;
        self.sent_before = self.sent_before.max(self.sent);
        self.sent = offset;
        self.window = 1;
        self.probe = None;
        self.repeated = false;
    }

    /// Whether a part begins there.
    fn is_place(&self, offset: u32) -> bool {
        let offset = offset as usize;
        offset.is_multiple_of(CHUNK_BYTES) && (offset < self.body.len() || offset == 0)
    }

    /// Parts that were not sent yet, as far as the bound on those in flight goes.
    pub fn next_parts(&mut self) -> Vec<MessageBody> {
        let mut parts = Vec::new();
        if self.body.is_empty() && !self.begun {
            parts.push(self.part_at(0));
        }
        self.begun = true;
        while self.sent < self.acked + self.window * CHUNK_BYTES && self.sent < self.body.len() {
            parts.push(self.part_at(self.sent));
            self.sent = self.body.len().min(self.sent + CHUNK_BYTES);
        }
        parts
    }

    /// The parts that are in flight for too long, and the next ones if there is room.
    pub fn parts_again(&mut self) -> Vec<MessageBody> {
        if self.probe.is_some() {
            return vec![self.first_part_again()];
        }
        let in_flight = (0..CHUNKS_IN_FLIGHT).map(|n| (n, self.acked + n * CHUNK_BYTES));
        let lost = in_flight
            .filter(|(n, at)| *at < self.sent && (*n == 0 || self.held & (1 << (n - 1)) == 0));
        let mut parts: Vec<MessageBody> = lost.map(|(_, at)| self.part_at(at)).collect();
        if self.body.is_empty() {
            parts.push(self.part_at(0));
        }
        parts.extend(self.next_parts());
        parts
    }

    /// The first part that the taker lacks, by its last word.
    pub fn first_part_again(&self) -> MessageBody {
        self.part_at(self.probe.unwrap_or(self.acked))
    }

    fn part_at(&self, offset: usize) -> MessageBody {
        let end = self.body.len().min(offset + CHUNK_BYTES);
        // A snapshot's length fits its id, and so does a place in it.
        MessageBody::snapshot_chunk(
            self.id,
            u32::try_from(offset).unwrap_or(u32::MAX),
            self.body.slice(offset..end),
        )
    }
}

/// A copy as its taker has it so far.
#[derive(Debug)]
pub(crate) struct IncomingCopy {
    pub id: SnapshotId,
    /// The view in which the last part came: in a later one, any other snapshot takes its place.
    pub view: u64,
    /// When the last new part came.
    pub at: Millis,
    /// All parts from the first one on.
    body: BytesMut,
    /// Parts beyond a gap, by their places.
    beyond: BTreeMap<usize, Bytes>,
}

impl IncomingCopy {
    pub fn new(id: SnapshotId, view: u64, now: Millis) -> Self {
        IncomingCopy {
            id,
            view,
            at: now,
            body: BytesMut::new(),
            beyond: BTreeMap::new(),
        }
    }

    /// All before this offset has come.
    pub fn offset(&self) -> u32 {
        u32::try_from(self.body.len()).unwrap_or(u32::MAX)
    }

    /// Which of the parts after the one at [`IncomingCopy::offset`] have come, the next one first.
    pub fn held(&self) -> u8 {
        let first = self.body.len();
        let places = self.beyond.keys().map(|at| (at - first) / CHUNK_BYTES);
        places
            .filter(|n| (1..CHUNKS_IN_FLIGHT).contains(n))
            .fold(0, |held, n| held | 1 << (n - 1))
    }

    pub fn is_whole(&self) -> bool {
        self.body.len() == self.id.total_bytes as usize
    }

    /// Takes a part; false if it is none of this snapshot, or too far beyond what has come to be kept.
    pub fn take(&mut self, now: Millis, offset: u32, bytes: &Bytes) -> bool {
        let (offset, total) = (offset as usize, self.id.total_bytes as usize);
        let whole_part = offset.is_multiple_of(CHUNK_BYTES)
            && offset <= total
            && bytes.len() == CHUNK_BYTES.min(total - offset);
        let first = self.body.len();
        if !whole_part || offset >= first + CHUNKS_IN_FLIGHT * CHUNK_BYTES {
            return false;
        }
        if offset == first {
            self.body.extend_from_slice(bytes);
            while let Some(next) = self.beyond.remove(&self.body.len()) {
                self.body.extend_from_slice(&next);
            }
            self.at = now;
        } else if offset > first && self.beyond.insert(offset, bytes.clone()).is_none() {
            self.at = now;
        }
        true
    }

    /// The whole snapshot; none if it isn't the one that the sender named.
    pub fn into_body(self) -> Option<Bytes> {
        let body = self.body.freeze();
        (crc32fast::hash(&body) == self.id.crc32).then_some(body)
    }
}
