//! Messages between neighbours in a view, and their layout in frames.

use binrw::binrw;
use bytes::Bytes;

use crate::codec::{from_bytes, read_bytes, to_bytes, write_bytes, DecodeError};
use crate::limits::MAX_SNAPSHOT_BYTES;
use crate::snapshot_id::SnapshotId;

/// Entries of a frame at most. A frame is cut by its bytes long before; this bounds what a faulty
/// peer may send.
const MAX_ENTRIES_PER_FRAME: u32 = 65_536;

/// A message of one process of a view to its neighbour.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's view.
    pub view: u64,
    /// The sender's id.
    pub from: u64,
    /// The id of the process it is meant for: another may have come to that address.
    pub to: u64,
    /// The content.
    pub body: MessageBody,
}

/// The content of a [`Message`]. The first byte tells the kind; 5 and 6 were chunks without a
/// checksum and their acknowledgements.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageBody {
    /// To the predecessor: where the sender's log ends; send the entries after it.
    #[brw(magic = 1u8)]
    LogPosition {
        /// The number of the sender's last entry.
        number: u64,
        /// The view in which that entry was numbered.
        last_view: u64,
    },
    /// To the successor: report where the log ends.
    #[brw(magic = 2u8)]
    RequestPosition,
    /// To the successor: entries, perhaps none.
    #[brw(magic = 3u8)]
    AppendEntries(AppendEntries),
    /// To the predecessor: what is on disk and what is committed.
    #[brw(magic = 4u8)]
    Acknowledge(Acknowledgement),
    /// To the successor: a chunk of a snapshot.
    #[brw(magic = 7u8)]
    SnapshotChunk(SnapshotChunk),
    /// To the predecessor: how much of a snapshot has come.
    #[brw(magic = 8u8)]
    ChunkAcknowledgement(ChunkAcknowledgement),
    /// To the predecessor: where the log ends, and how much of a snapshot has come; go on from
    /// there.
    #[brw(magic = 9u8)]
    ResumeSnapshot {
        /// The number of the sender's last entry.
        number: u64,
        /// The view in which that entry was numbered.
        last_view: u64,
        /// Which snapshot.
        id: SnapshotId,
        /// All bytes before this offset have come.
        offset: u32,
    },
}

/// An entry within a frame; its number follows from its position.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The view in which it was numbered.
    pub view: u64,
    /// The command.
    #[br(parse_with = read_bytes, args(MAX_SNAPSHOT_BYTES))]
    #[bw(write_with = write_bytes)]
    pub command: Bytes,
}

/// Entries for the successor, and how far the sender is.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendEntries {
    /// The number of the entry before the first.
    pub previous: u64,
    /// The view in which that entry was numbered.
    pub previous_view: u64,
    /// A member whose disk holds all entries up to this one is in sync in this view.
    pub catch_up_target: u64,
    /// The newest entry on the sender's disk.
    pub newest_synced: u64,
    /// All entries up to this one are committed, in this view or before it.
    pub committed: u64,
    #[br(temp, assert(count <= MAX_ENTRIES_PER_FRAME))]
    #[bw(calc = entries.len() as u32)]
    count: u32,
    /// The entries, in order.
    #[br(count = count)]
    pub entries: Vec<Entry>,
}

/// What a process and those after it hold.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledgement {
    /// All entries up to this one are on the sender's disk.
    pub synced: u64,
    /// All entries up to this one are on the disks of all members of this view.
    pub committed: u64,
    /// The sender and all members after it are in sync in this view.
    #[br(map = |x: u8| x != 0)]
    #[bw(map = |x: &bool| u8::from(*x))]
    pub in_sync: bool,
}

/// A chunk of a snapshot.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotChunk {
    /// Which snapshot.
    pub id: SnapshotId,
    /// Where this chunk begins in it, in bytes.
    pub offset: u32,
    /// The CRC-32 of the identity, the offset and the bytes.
    pub checksum: u32,
    /// The bytes of the chunk.
    #[br(parse_with = read_bytes, args(MAX_SNAPSHOT_BYTES))]
    #[bw(write_with = write_bytes)]
    pub bytes: Bytes,
}

impl SnapshotChunk {
    /// A chunk with its checksum.
    pub fn new(id: SnapshotId, offset: u32, bytes: Bytes) -> Self {
        let checksum = id.chunk_checksum(offset, &bytes);
        SnapshotChunk {
            id,
            offset,
            checksum,
            bytes,
        }
    }

    /// Whether the checksum fits the rest.
    pub(crate) fn is_intact(&self) -> bool {
        self.checksum == self.id.chunk_checksum(self.offset, &self.bytes)
    }
}

/// How much of a snapshot has come.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkAcknowledgement {
    /// Which snapshot.
    pub id: SnapshotId,
    /// All bytes before this offset have come; the chunk that begins here has not.
    pub offset: u32,
    /// Which chunks after that one have come, the lowest bit for the first of them.
    pub received_beyond: u8,
}

impl MessageBody {
    /// A chunk of a snapshot with its checksum.
    pub fn snapshot_chunk(id: SnapshotId, offset: u32, bytes: Bytes) -> MessageBody {
        MessageBody::SnapshotChunk(SnapshotChunk::new(id, offset, bytes))
    }
}

impl Message {
    /// The bytes of a frame, big-endian.
    pub fn encode(&self) -> Bytes {
        to_bytes(self)
    }

    /// Reads the bytes of a frame.
    ///
    /// # Errors
    /// The bytes are malformed, too short or too long.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        from_bytes(bytes)
    }
}
