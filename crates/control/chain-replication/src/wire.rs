//! What members say to each other, and how it is written. Reading never panics and never allocates more than came.

use std::io::{Cursor, Read};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

use binrw::meta::{ReadEndian, WriteEndian};
use binrw::{binrw, BinRead, BinResult, BinWrite, Error};
use bytes::Bytes;

use crate::types::MAX_SNAPSHOT_BYTES;

/// Entries of a frame at most; a frame is cut by bytes long before, this bounds what a faulty peer may say.
const MAX_ENTRIES_PER_FRAME: u32 = 65_536;

/// Bytes that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// A field is wrong or the bytes end too soon.
    #[error("1202: not readable: {0}")]
    Malformed(String),
    /// More bytes than the layout has.
    #[error("1203: {0} bytes too many")]
    TrailingBytes(usize),
}

/// Any value of ours as bytes.
pub fn to_bytes<T>(value: &T) -> Bytes
where
    T: for<'a> BinWrite<Args<'a> = ()> + WriteEndian,
{
    let mut out = Cursor::new(Vec::with_capacity(128));
    // Writing to memory fails only where a count does not fit its field, and counts are bounded: see the constants.
    match value.write(&mut out) {
        Ok(()) => Bytes::from(out.into_inner()),
        Err(_) => Bytes::new(),
    }
}

/// Any value of ours from bytes, all of which must belong to it.
pub fn from_bytes<T>(bytes: &[u8]) -> Result<T, DecodeError>
where
    T: for<'a> BinRead<Args<'a> = ()> + ReadEndian,
{
    let mut input = Cursor::new(bytes);
    let value = T::read(&mut input).map_err(|error| DecodeError::Malformed(error.to_string()))?;
    let rest = bytes
        .len()
        .saturating_sub(usize::try_from(input.position()).unwrap_or(usize::MAX));
    if rest > 0 {
        return Err(DecodeError::TrailingBytes(rest));
    }
    Ok(value)
}

/// Reads an address: a family, its bytes, the port.
#[binrw::parser(reader, endian)]
pub fn read_addr() -> BinResult<SocketAddr> {
    let pos = reader.stream_position()?;
    let ip = match u8::read_options(reader, endian, ())? {
        4 => IpAddr::from(Ipv4Addr::from(<[u8; 4]>::read_options(reader, endian, ())?)),
        6 => IpAddr::from(Ipv6Addr::from(<[u8; 16]>::read_options(
            reader,
            endian,
            (),
        )?)),
        family => {
            return Err(Error::AssertFail {
                pos,
                message: format!("family {family} is neither 4 nor 6"),
            })
        }
    };
    Ok(SocketAddr::new(ip, u16::read_options(reader, endian, ())?))
}

/// Writes an address as [`read_addr`] reads it.
#[binrw::writer(writer, endian)]
pub fn write_addr(addr: &SocketAddr) -> BinResult<()> {
    match addr.ip() {
        IpAddr::V4(ip) => (4u8, ip.octets()).write_options(writer, endian, ())?,
        IpAddr::V6(ip) => (6u8, ip.octets()).write_options(writer, endian, ())?,
    }
    addr.port().write_options(writer, endian, ())
}

/// Reads a length and so many bytes, `most` at most.
#[binrw::parser(reader, endian)]
pub fn read_bytes(most: u32) -> BinResult<Bytes> {
    let pos = reader.stream_position()?;
    let len = u32::read_options(reader, endian, ())?;
    if len > most {
        return Err(Error::AssertFail {
            pos,
            message: format!("{len} bytes are more than {most}"),
        });
    }
    let mut bytes = Vec::new();
    let got = reader.take(u64::from(len)).read_to_end(&mut bytes)?;
    if got as u64 != u64::from(len) {
        return Err(Error::AssertFail {
            pos,
            message: format!("{got} bytes came of {len}"),
        });
    }
    Ok(Bytes::from(bytes))
}

/// Writes bytes as [`read_bytes`] reads them.
#[binrw::writer(writer, endian)]
pub fn write_bytes(bytes: &Bytes) -> BinResult<()> {
    let pos = writer.stream_position()?;
    let len = u32::try_from(bytes.len()).map_err(|_| Error::AssertFail {
        pos,
        message: "more than 4 GiB".to_owned(),
    })?;
    len.write_options(writer, endian, ())?;
    writer.write_all(bytes)?;
    Ok(())
}

/// An entry within a frame; its number follows from its place.
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

/// The name of a snapshot. Two of one name hold the same bytes, whoever made them.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotId {
    /// The number of the last entry in it.
    pub number: u64,
    /// The view in which that was numbered.
    pub last_view: u64,
    /// Its bytes.
    #[br(assert(total_bytes <= MAX_SNAPSHOT_BYTES))]
    pub total_bytes: u32,
    /// The crc32 of its bytes.
    pub crc32: u32,
}

impl SnapshotId {
    /// The name of this state, which must be no longer than [`MAX_SNAPSHOT_BYTES`].
    pub fn of(number: u64, last_view: u64, body: &[u8]) -> SnapshotId {
        let total_bytes = u32::try_from(body.len()).unwrap_or(u32::MAX);
        SnapshotId {
            number,
            last_view,
            total_bytes,
            crc32: crc32fast::hash(body),
        }
    }
}

/// What one member of a view says to its neighbour.
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender's view.
    pub view: u64,
    /// The sender's id.
    pub from: u64,
    /// The id for which it is meant: another may have come to that address.
    pub to: u64,
    /// What is said.
    pub body: MessageBody,
}

/// The words of [`Message`].
#[binrw]
#[brw(big)]
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageBody {
    /// To the one before: my log ends here, go on from there.
    #[brw(magic = 1u8)]
    LogPosition {
        /// The number of my last entry.
        number: u64,
        /// The view in which that was numbered.
        last_view: u64,
    },
    /// To the one after: tell me what you have.
    #[brw(magic = 2u8)]
    RequestPosition,
    /// To the one after: entries, perhaps none.
    #[brw(magic = 3u8)]
    AppendEntries {
        /// The number of the entry before the first.
        previous: u64,
        /// The view in which that was numbered.
        previous_view: u64,
        /// Who holds all up to this is in sync in this view.
        catch_up_target: u64,
        /// The newest that the sender's disk holds.
        newest_synced: u64,
        /// All up to this was committed, in this view or before it.
        committed: u64,
        #[br(temp, assert(count <= MAX_ENTRIES_PER_FRAME))]
        #[bw(calc = entries.len() as u32)]
        count: u32,
        /// The entries, in order.
        #[br(count = count)]
        entries: Vec<Entry>,
    },
    /// To the one before: what my disk holds, and what is committed.
    #[brw(magic = 4u8)]
    Acknowledge {
        /// All up to this is on my disk.
        synced: u64,
        /// All up to this is on the disks of all members of this view.
        committed: u64,
        /// I and all after me are in sync in this view.
        #[br(map = |x: u8| x != 0)]
        #[bw(map = |x: &bool| u8::from(*x))]
        in_sync: bool,
    },
    /// To the one after: a part of a snapshot. Numbers 5 and 6 were parts without a checksum and their answers.
    #[brw(magic = 7u8)]
    SnapshotChunk {
        /// Which snapshot.
        id: SnapshotId,
        /// Where this part begins.
        offset: u32,
        /// Of all of the above and the bytes, see [`MessageBody::snapshot_chunk`].
        checksum: u32,
        /// The part.
        #[br(parse_with = read_bytes, args(MAX_SNAPSHOT_BYTES))]
        #[bw(write_with = write_bytes)]
        bytes: Bytes,
    },
    /// To the one before: so much of that snapshot has come.
    #[brw(magic = 8u8)]
    ChunkAcknowledgement {
        /// Which snapshot.
        id: SnapshotId,
        /// All before this offset has come; the part that begins here has not.
        offset: u32,
        /// Of the parts after that one those whose bits are set have come, the lowest bit for the first of them.
        received_beyond: u8,
    },
    /// To the one before: my log ends here, and of that snapshot I hold a beginning: go on from there.
    #[brw(magic = 9u8)]
    ResumeSnapshot {
        /// The number of my last entry.
        number: u64,
        /// The view in which that was numbered.
        last_view: u64,
        /// Which snapshot.
        id: SnapshotId,
        /// All before this offset has come.
        offset: u32,
    },
}

impl MessageBody {
    /// A part of a snapshot with its checksum.
    pub fn snapshot_chunk(id: SnapshotId, offset: u32, bytes: Bytes) -> MessageBody {
        let checksum = chunk_checksum(&id, offset, &bytes);
        MessageBody::SnapshotChunk {
            id,
            offset,
            checksum,
            bytes,
        }
    }
}

/// The checksum of a part: it covers which part of which snapshot this is, too.
pub(crate) fn chunk_checksum(id: &SnapshotId, offset: u32, bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&id.number.to_be_bytes());
    hasher.update(&id.last_view.to_be_bytes());
    hasher.update(&id.total_bytes.to_be_bytes());
    hasher.update(&id.crc32.to_be_bytes());
    hasher.update(&offset.to_be_bytes());
    hasher.update(bytes);
    hasher.finalize()
}

impl Message {
    /// As bytes for a frame.
    pub fn encode(&self) -> Bytes {
        to_bytes(self)
    }

    /// From a frame's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        from_bytes(bytes)
    }
}
