//! The identity of a snapshot, and the checksum of one of its chunks.

use binrw::binrw;

use crate::limits::MAX_SNAPSHOT_BYTES;

/// Identifies a snapshot. Two with one identity hold the same bytes, whoever made them.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotId {
    /// The number of the last entry in it.
    pub number: u64,
    /// The view in which that entry was numbered.
    pub last_view: u64,
    /// Its length in bytes.
    #[br(assert(total_bytes <= MAX_SNAPSHOT_BYTES))]
    pub total_bytes: u32,
    /// The CRC-32 of its bytes.
    pub crc32: u32,
}

impl SnapshotId {
    /// The identity of this state, which must be no longer than [`MAX_SNAPSHOT_BYTES`].
    pub fn of(number: u64, last_view: u64, state: &[u8]) -> SnapshotId {
        let total_bytes = u32::try_from(state.len()).unwrap_or(u32::MAX);
        SnapshotId {
            number,
            last_view,
            total_bytes,
            crc32: crc32fast::hash(state),
        }
    }

    /// The checksum of a chunk: it covers which chunk of which snapshot this is, too.
    pub(crate) fn chunk_checksum(&self, offset: u32, bytes: &[u8]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&self.number.to_be_bytes());
        hasher.update(&self.last_view.to_be_bytes());
        hasher.update(&self.total_bytes.to_be_bytes());
        hasher.update(&self.crc32.to_be_bytes());
        hasher.update(&offset.to_be_bytes());
        hasher.update(bytes);
        hasher.finalize()
    }
}
