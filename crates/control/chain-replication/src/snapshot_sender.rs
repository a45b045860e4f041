//! A snapshot on its way to one receiver, as its sender keeps it.
//!
//! A snapshot is one value with an identity ([`SnapshotId`]) from its start to its end, cut into
//! chunks of one length. The receiver reports up to where it has all chunks, and which of the next
//! ones it has beyond a gap; the sender goes on from there, after a lost chunk, a broken link, a
//! new view or its own restart, as long as it has that very snapshot.

use bytes::Bytes;

use crate::limits::{CHUNKS_IN_FLIGHT, CHUNK_BYTES};
use crate::log::LogPosition;
use crate::message::{ChunkAcknowledgement, SnapshotChunk};
use crate::snapshot_id::SnapshotId;

/// Chunks that came beyond a gap before it counts as a loss and not as a change of order.
const CHUNKS_BEYOND_A_LOSS: u32 = 2;

/// What a receiver's report means to the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// It has more than was known.
    Advanced,
    /// It has what was known.
    Unchanged,
    /// It reports less for the first time: it was restarted, or this is an old message.
    Regressed,
    /// A chunk was lost on the way: later ones have come.
    Gap,
}

/// A snapshot as its sender keeps it.
#[derive(Debug)]
pub(crate) struct SnapshotSender {
    id: SnapshotId,
    state: Bytes,
    /// The receiver has all bytes before this.
    acknowledged: usize,
    /// Which chunks after the one at `acknowledged` it has, the next one in the lowest bit.
    received_beyond: u8,
    /// All bytes before this were sent at least once.
    sent: usize,
    /// All bytes before this were sent at least once when the receiver last seemed to have less.
    sent_before: usize,
    started: bool,
    /// Chunks that may be in flight: one after the receiver seemed to have less, twice as many with
    /// each acknowledgement.
    window: usize,
    /// The receiver reported no more than this, which is less than it had: it was restarted, or the
    /// message is an old one. The chunk that begins here was sent, and the answer will tell.
    probe: Option<usize>,
    /// The chunk at `acknowledged` was sent again since later ones came.
    resent: bool,
}

impl SnapshotSender {
    /// A snapshot of this state, whose last entry is at `position`. The length of `state` must fit
    /// a [`SnapshotId`].
    pub fn new(position: LogPosition, state: Bytes) -> Self {
        SnapshotSender {
            id: SnapshotId::of(position.number, position.view, &state),
            state,
            acknowledged: 0,
            received_beyond: 0,
            sent: 0,
            sent_before: 0,
            started: false,
            window: CHUNKS_IN_FLIGHT,
            probe: None,
            resent: false,
        }
    }

    pub fn id(&self) -> SnapshotId {
        self.id
    }

    /// The last entry in the snapshot.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            number: self.id.number,
            view: self.id.last_view,
        }
    }

    /// Whether a chunk was ever sent.
    pub fn has_started(&self) -> bool {
        self.started
    }

    /// Bytes that were sent and not acknowledged.
    pub fn bytes_in_flight(&self) -> u64 {
        self.sent.saturating_sub(self.acknowledged) as u64
    }

    /// The same snapshot for a new view: nothing of it is in flight there.
    pub fn for_new_view(self) -> Self {
        SnapshotSender {
            received_beyond: 0,
            sent: self.acknowledged,
            sent_before: 0,
            started: false,
            window: CHUNKS_IN_FLIGHT,
            probe: None,
            resent: false,
            ..self
        }
    }

    /// The receiver reports up to where it has this snapshot, asked or of its own accord.
    pub fn receiver_has(&mut self, offset: u32) -> Progress {
        let offset = if self.is_chunk_start(offset) {
            offset as usize
        } else {
            0
        };
        if !self.started {
            (self.acknowledged, self.sent) = (offset, offset);
            return Progress::Advanced;
        }
        if offset > self.acknowledged {
            self.advance_to(offset, 0);
            return Progress::Advanced;
        }
        let probe = Some(offset).filter(|offset| *offset < self.acknowledged);
        let is_known = self.probe == probe;
        self.probe = probe;
        if is_known || probe.is_none() {
            Progress::Unchanged
        } else {
            Progress::Regressed
        }
    }

    /// The receiver acknowledges chunks of this snapshot.
    pub fn receiver_acknowledged(&mut self, chunks: ChunkAcknowledgement) -> Progress {
        let ChunkAcknowledgement {
            offset,
            received_beyond,
            ..
        } = chunks;
        if !self.is_chunk_start(offset) {
            return Progress::Unchanged;
        }
        let offset = offset as usize;
        if offset > self.acknowledged {
            self.advance_to(offset, received_beyond);
            return Progress::Advanced;
        }
        if offset < self.acknowledged {
            if self.probe.is_none_or(|probe| offset <= probe) {
                return Progress::Unchanged;
            }
            // It took the chunk that was sent to find out: it has no more than that.
            self.go_back_to(offset, received_beyond);
            return Progress::Advanced;
        }
        self.probe = None;
        self.received_beyond |= received_beyond;
        if self.resent || self.received_beyond.count_ones() < CHUNKS_BEYOND_A_LOSS {
            return Progress::Unchanged;
        }
        self.resent = true;
        Progress::Gap
    }

    fn advance_to(&mut self, offset: usize, received_beyond: u8) {
        self.acknowledged = offset;
        self.received_beyond = received_beyond;
        if offset > self.sent {
            // It did not have less, as it had seemed: what was sent before is in flight.
            self.sent = offset.max(self.sent_before);
        }
        self.window = CHUNKS_IN_FLIGHT.min(self.window * 2);
        self.probe = None;
        self.resent = false;
    }

    fn go_back_to(&mut self, offset: usize, received_beyond: u8) {
        self.acknowledged = offset;
        self.received_beyond = received_beyond;
        self.sent_before = self.sent_before.max(self.sent);
        self.sent = offset;
        self.window = 1;
        self.probe = None;
        self.resent = false;
    }

    fn is_chunk_start(&self, offset: u32) -> bool {
        let offset = offset as usize;
        offset.is_multiple_of(CHUNK_BYTES) && (offset < self.state.len() || offset == 0)
    }

    /// Chunks that were not sent yet, as far as the window allows.
    pub fn next_chunks(&mut self) -> Vec<SnapshotChunk> {
        let mut chunks = Vec::new();
        if self.state.is_empty() && !self.started {
            chunks.push(self.chunk_at(0));
        }
        self.started = true;
        while self.sent < self.acknowledged + self.window * CHUNK_BYTES
            && self.sent < self.state.len()
        {
            chunks.push(self.chunk_at(self.sent));
            self.sent = self.state.len().min(self.sent + CHUNK_BYTES);
        }
        chunks
    }

    /// The chunks that have been in flight for too long, and the next ones if the window allows.
    pub fn resend_chunks(&mut self) -> Vec<SnapshotChunk> {
        if self.probe.is_some() {
            return vec![self.first_missing_chunk()];
        }
        let in_flight = (0..CHUNKS_IN_FLIGHT).map(|n| (n, self.acknowledged + n * CHUNK_BYTES));
        let is_missing = |n: usize| n == 0 || self.received_beyond & (1 << (n - 1)) == 0;
        let missing = in_flight.filter(|(n, at)| *at < self.sent && is_missing(*n));
        let mut chunks: Vec<SnapshotChunk> = missing.map(|(_, at)| self.chunk_at(at)).collect();
        if self.state.is_empty() {
            chunks.push(self.chunk_at(0));
        }
        chunks.extend(self.next_chunks());
        chunks
    }

    /// The first chunk that the receiver lacks, by its last report.
    pub fn first_missing_chunk(&self) -> SnapshotChunk {
        self.chunk_at(self.probe.unwrap_or(self.acknowledged))
    }

    fn chunk_at(&self, offset: usize) -> SnapshotChunk {
        let end = self.state.len().min(offset + CHUNK_BYTES);
        // A snapshot's length fits its identity, and so does an offset in it.
        let bytes = self.state.slice(offset..end);
        SnapshotChunk::new(self.id, u32::try_from(offset).unwrap_or(u32::MAX), bytes)
    }
}
