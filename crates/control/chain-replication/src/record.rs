//! The records on disk.

use binrw::binrw;
use bytes::Bytes;

use crate::codec::{from_bytes, read_bytes, to_bytes, write_bytes, DecodeError};
use crate::limits::MAX_SNAPSHOT_BYTES;
use crate::snapshot_id::SnapshotId;
use crate::view::View;

/// A record on disk. Records are written and synced in the order in which they are given out.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogRecord {
    /// A view was installed.
    #[brw(magic = 1u8)]
    View {
        /// The view.
        view: View,
    },
    /// The replica is in sync in this view: its disk holds all that the head held when it began.
    #[brw(magic = 2u8)]
    InSync {
        /// The view's number.
        view: u64,
    },
    /// An entry.
    #[brw(magic = 3u8)]
    Entry {
        /// The view in which the head numbered it.
        view: u64,
        /// Its number; the entry before it is on disk, or in the snapshot.
        number: u64,
        /// The command.
        #[br(parse_with = read_bytes, args(MAX_SNAPSHOT_BYTES))]
        #[bw(write_with = write_bytes)]
        command: Bytes,
    },
    /// The full state. All entries before this record are void, also those with higher numbers; a
    /// replica that compacts its log writes the later entries again
    /// (see [`Replica::snapshot_records`](crate::Replica::snapshot_records)).
    #[brw(magic = 4u8)]
    Snapshot {
        /// The view of the last entry in it.
        view: u64,
        /// The number of the last entry in it.
        number: u64,
        /// The state.
        #[br(parse_with = read_bytes, args(MAX_SNAPSHOT_BYTES))]
        #[bw(write_with = write_bytes)]
        body: Bytes,
    },
    /// Bytes of a snapshot that is being received: those from `offset` on. After a restart its
    /// transfer goes on behind them.
    #[brw(magic = 5u8)]
    SnapshotChunk {
        /// Which snapshot.
        id: SnapshotId,
        /// Where the bytes begin in it; those before are in the records of this kind before.
        offset: u32,
        /// The bytes.
        #[br(parse_with = read_bytes, args(MAX_SNAPSHOT_BYTES))]
        #[bw(write_with = write_bytes)]
        bytes: Bytes,
    },
    /// The snapshot whose chunks are in the records before is complete: as [`LogRecord::Snapshot`]
    /// with these bytes.
    #[brw(magic = 6u8)]
    SnapshotComplete {
        /// Which snapshot.
        id: SnapshotId,
    },
}

impl LogRecord {
    /// The bytes of the record, big-endian.
    pub fn encode(&self) -> Bytes {
        to_bytes(self)
    }

    /// Reads the bytes of a record.
    ///
    /// # Errors
    /// The bytes are malformed, too short or too long.
    pub fn decode(bytes: &[u8]) -> Result<LogRecord, DecodeError> {
        from_bytes(bytes)
    }
}
