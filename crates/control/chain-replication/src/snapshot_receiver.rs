//! A snapshot as its receiver has it so far: the chunks from the first one on, and those beyond a
//! gap.
//!
//! Takes only chunks of the one snapshot that it was made for. Each chunk carries a checksum, which
//! the caller checks; the complete snapshot is checked against its identity.

use std::collections::BTreeMap;

use bytes::{Bytes, BytesMut};

use crate::limits::{CHUNKS_IN_FLIGHT, CHUNK_BYTES};
use crate::message::ChunkAcknowledgement;
use crate::recovery::PartialSnapshot;
use crate::snapshot_id::SnapshotId;
use crate::time::Millis;

/// A snapshot as its receiver has it so far.
#[derive(Debug)]
pub(crate) struct SnapshotReceiver {
    id: SnapshotId,
    /// The view in which the last chunk came: in a later one, any other snapshot replaces this one.
    pub view: u64,
    /// When the last new chunk came.
    last_progress_at: Millis,
    /// All bytes from the first chunk on.
    received: BytesMut,
    /// Chunks beyond a gap, by their offsets.
    beyond: BTreeMap<usize, Bytes>,
}

impl SnapshotReceiver {
    pub fn new(id: SnapshotId, view: u64, now: Millis) -> Self {
        SnapshotReceiver {
            id,
            view,
            last_progress_at: now,
            received: BytesMut::new(),
            beyond: BTreeMap::new(),
        }
    }

    /// One of which the disk held the beginning when the process started. It came in an earlier
    /// view than any other will.
    pub fn resumed(partial: &PartialSnapshot) -> Self {
        SnapshotReceiver {
            received: BytesMut::from(&partial.received[..]),
            ..SnapshotReceiver::new(partial.id, 0, 0)
        }
    }

    /// The bytes from this offset on, up to the first gap.
    pub fn received_since(&self, offset: u32) -> Bytes {
        let bytes = self.received.get(offset as usize..).unwrap_or_default();
        Bytes::copy_from_slice(bytes)
    }

    pub fn id(&self) -> SnapshotId {
        self.id
    }

    /// How long no new chunk has come.
    pub fn stalled_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_progress_at)
    }

    /// All bytes before this offset have come.
    pub fn offset(&self) -> u32 {
        u32::try_from(self.received.len()).unwrap_or(u32::MAX)
    }

    /// What is acknowledged to the sender.
    pub fn acknowledgement(&self) -> ChunkAcknowledgement {
        let first = self.received.len();
        let positions = self.beyond.keys().map(|at| (at - first) / CHUNK_BYTES);
        let received_beyond = positions
            .filter(|n| (1..CHUNKS_IN_FLIGHT).contains(n))
            .fold(0, |bits, n| bits | 1 << (n - 1));
        ChunkAcknowledgement {
            id: self.id,
            offset: self.offset(),
            received_beyond,
        }
    }

    pub fn is_complete(&self) -> bool {
        self.received.len() == self.id.total_bytes as usize
    }

    /// Takes a chunk; false if it is none of this snapshot, or too far beyond a gap to be kept.
    pub fn take_chunk(&mut self, now: Millis, offset: u32, bytes: &Bytes) -> bool {
        let (offset, total) = (offset as usize, self.id.total_bytes as usize);
        let is_chunk = offset.is_multiple_of(CHUNK_BYTES)
            && offset <= total
            && bytes.len() == CHUNK_BYTES.min(total - offset);
        let first = self.received.len();
        if !is_chunk || offset >= first + CHUNKS_IN_FLIGHT * CHUNK_BYTES {
            return false;
        }
        if offset == first {
            self.received.extend_from_slice(bytes);
            while let Some(next) = self.beyond.remove(&self.received.len()) {
                self.received.extend_from_slice(&next);
            }
            self.last_progress_at = now;
        } else if offset > first && self.beyond.insert(offset, bytes.clone()).is_none() {
            self.last_progress_at = now;
        }
        true
    }

    /// The complete snapshot; none if it isn't the one that the sender named.
    pub fn into_state(self) -> Option<Bytes> {
        let state = self.received.freeze();
        (crc32fast::hash(&state) == self.id.crc32).then_some(state)
    }
}
