//! The bytes of a segment: a header, then records at multiples of 8, all little-endian. No I/O.
//!
//! The format is described in `docs/disk-files.md`.

use crate::record::{Lsn, Record};
use binrw::{binrw, BinRead, BinWrite};
use bytes::Bytes;
use std::io::Cursor;

/// The newest format version that this program reads; it writes this one.
pub const VERSION: u16 = 1;
/// Bytes of a segment's header.
pub const HEADER_BYTES: usize = 64;
/// Bytes before a record's body.
pub const RECORD_HEADER_BYTES: usize = 48;
/// Records begin at multiples of this.
pub const ALIGNMENT: usize = 8;
const HEADER_MAGIC: [u8; 8] = *b"FRDSKRNG";
const RECORD_MAGIC: u32 = 0x5244_5246;
/// Where in a header the checksum stands; it covers all but itself.
const HEADER_CRC: std::ops::Range<usize> = 12..16;
/// Where in a record the checksum stands; it covers all after itself.
const RECORD_CRC: std::ops::Range<usize> = 4..8;

/// The beginning of a segment.
#[binrw]
#[brw(little)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// The format version.
    pub version: u16,
    /// Bytes of the header that the checksum covers.
    pub len: u16,
    crc: u32,
    /// How many times the log had been opened when the segment was begun.
    pub incarnation: u32,
    /// Bytes of each segment, in units of [`ALIGNMENT`].
    pub segment_units: u32,
    /// The log's identity.
    pub identity: u64,
    /// The segment's sequence number; rises with every use of a file.
    pub seq: u64,
    /// The LSN of its first record.
    pub first_lsn: Lsn,
    /// Records before this LSN were released when the segment was begun.
    pub low_watermark: Lsn,
    /// Whose log it is, see [`crate::owner_id`]; 0 if that was not said.
    pub owner: u64,
}

impl Header {
    /// Bytes of each segment.
    pub fn segment_bytes(&self) -> u64 {
        u64::from(self.segment_units) * ALIGNMENT as u64
    }

    /// Appends the encoded header to the buffer.
    pub fn encode(&self, to: &mut Vec<u8>) {
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
        bytes.extend_from_slice(&HEADER_MAGIC);
        let mut cursor = Cursor::new(&mut bytes);
        cursor.set_position(HEADER_MAGIC.len() as u64);
        // Writing to memory can't fail.
        let _ = self.write(&mut cursor);
        bytes.resize(HEADER_BYTES, 0);
        let crc = header_crc(&bytes).to_le_bytes();
        if let Some(field) = bytes.get_mut(HEADER_CRC) {
            field.copy_from_slice(&crc);
        }
        to.extend_from_slice(&bytes);
    }
}

/// What a header of this program's version says.
#[derive(Debug, Clone, Copy)]
pub struct NewHeader {
    /// See [`Header::incarnation`].
    pub incarnation: u32,
    /// See [`Header::segment_bytes`].
    pub segment_bytes: u64,
    /// See [`Header::identity`].
    pub identity: u64,
    /// See [`Header::seq`].
    pub seq: u64,
    /// See [`Header::first_lsn`].
    pub first_lsn: Lsn,
    /// See [`Header::low_watermark`].
    pub low_watermark: Lsn,
    /// See [`Header::owner`].
    pub owner: u64,
}

impl From<NewHeader> for Header {
    fn from(new: NewHeader) -> Self {
        let units = new.segment_bytes / ALIGNMENT as u64;
        Self {
            version: VERSION,
            len: HEADER_BYTES as u16,
            crc: 0,
            incarnation: new.incarnation,
            segment_units: u32::try_from(units).unwrap_or(u32::MAX),
            identity: new.identity,
            seq: new.seq,
            first_lsn: new.first_lsn,
            low_watermark: new.low_watermark,
            owner: new.owner,
        }
    }
}

fn header_crc(bytes: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(bytes.get(..HEADER_CRC.start).unwrap_or_default());
    hasher.update(bytes.get(HEADER_CRC.end..).unwrap_or_default());
    hasher.finalize()
}

/// What stands at the beginning of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SegmentStart {
    /// A valid header.
    Header(Header),
    /// Zeros: preallocated, never used.
    Blank,
    /// A valid header of a newer version, whose records this program can't read.
    UnsupportedVersion(u16),
    /// Anything else: torn or corrupt.
    Invalid,
}

/// Decodes the beginning of a segment.
pub fn decode_start(segment: &[u8]) -> SegmentStart {
    let start = segment
        .get(..HEADER_BYTES.min(segment.len()))
        .unwrap_or_default();
    if start.iter().all(|byte| *byte == 0) {
        return SegmentStart::Blank;
    }
    let Some(rest) = segment.strip_prefix(&HEADER_MAGIC) else {
        return SegmentStart::Invalid;
    };
    let Ok(header) = Header::read(&mut Cursor::new(rest)) else {
        return SegmentStart::Invalid;
    };
    let Some(covered) = segment.get(..usize::from(header.len).max(HEADER_BYTES)) else {
        return SegmentStart::Invalid;
    };
    if header_crc(covered) != header.crc {
        SegmentStart::Invalid
    } else if header.version > VERSION {
        SegmentStart::UnsupportedVersion(header.version)
    } else {
        SegmentStart::Header(header)
    }
}

/// Whose record it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordType {
    /// Appended by the caller.
    Data,
    /// The log's: it was opened here, with a new incarnation; `number` is the low watermark.
    Opening,
    /// The log's: `number` is the low watermark, before which all is released.
    Watermark,
    /// The log's: like `Watermark`, and the log goes on in the next segment.
    SegmentEnd,
}

impl RecordType {
    fn code(self) -> u8 {
        match self {
            Self::Data => 0,
            Self::Opening => 1,
            Self::Watermark => 2,
            Self::SegmentEnd => 3,
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        Some(match code {
            0 => Self::Data,
            1 => Self::Opening,
            2 => Self::Watermark,
            3 => Self::SegmentEnd,
            _ => return None,
        })
    }
}

#[binrw]
#[brw(little)]
struct RecordHeader {
    magic: u32,
    crc: u32,
    len: u32,
    incarnation: u32,
    lsn: Lsn,
    synced_lsn: Lsn,
    record_type: u8,
    kind: u8,
    unused: u16,
    group: u32,
    number: u64,
}

/// A record as it stands in a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Its log sequence number.
    pub lsn: Lsn,
    /// The newest LSN that was durable when it was written.
    pub synced_lsn: Lsn,
    /// How many times the log had been opened when it was written.
    pub incarnation: u32,
    /// Whose it is.
    pub record_type: RecordType,
    /// What was appended.
    pub record: Record,
}

/// A decoded record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decoded {
    /// The record.
    pub stored: StoredRecord,
    /// The offset of the next one.
    pub next_offset: usize,
}

/// Bytes that a record with a body of such a length takes in a segment.
pub fn stored_len(body_len: usize) -> usize {
    (RECORD_HEADER_BYTES + body_len).next_multiple_of(ALIGNMENT)
}

impl StoredRecord {
    /// Appends the encoded record to the buffer.
    pub fn encode(&self, to: &mut Vec<u8>) {
        let start = to.len();
        let header = RecordHeader {
            magic: RECORD_MAGIC,
            crc: 0,
            len: u32::try_from(self.record.body.len()).unwrap_or(u32::MAX),
            incarnation: self.incarnation,
            lsn: self.lsn,
            synced_lsn: self.synced_lsn,
            record_type: self.record_type.code(),
            kind: self.record.kind,
            unused: 0,
            group: self.record.group,
            number: self.record.number,
        };
        let mut bytes = [0; RECORD_HEADER_BYTES];
        // The array is as long as the header, so writing to it can't fail.
        let _ = header.write(&mut Cursor::new(&mut bytes[..]));
        to.extend_from_slice(&bytes);
        to.extend_from_slice(&self.record.body);
        to.resize(start + stored_len(self.record.body.len()), 0);
        let covered = to.get(start + RECORD_CRC.end..).unwrap_or_default();
        let crc = crc32fast::hash(covered).to_le_bytes();
        if let Some(field) = to.get_mut(start + RECORD_CRC.start..start + RECORD_CRC.end) {
            field.copy_from_slice(&crc);
        }
    }

    /// Decodes the record at `offset`, if there is a valid one.
    pub fn decode(segment: &[u8], offset: usize) -> Option<Decoded> {
        let bytes = segment.get(offset..)?;
        if bytes.get(..4)? != RECORD_MAGIC.to_le_bytes() {
            return None;
        }
        let header = RecordHeader::read(&mut Cursor::new(bytes)).ok()?;
        let len = usize::try_from(header.len).ok()?;
        let total = RECORD_HEADER_BYTES
            .checked_add(len)?
            .checked_next_multiple_of(ALIGNMENT)?;
        if crc32fast::hash(bytes.get(RECORD_CRC.end..total)?) != header.crc {
            return None;
        }
        let body = bytes.get(RECORD_HEADER_BYTES..RECORD_HEADER_BYTES + len)?;
        let record = Record {
            kind: header.kind,
            group: header.group,
            number: header.number,
            body: Bytes::copy_from_slice(body),
        };
        let stored = Self {
            lsn: header.lsn,
            synced_lsn: header.synced_lsn,
            incarnation: header.incarnation,
            record_type: RecordType::from_code(header.record_type)?,
            record,
        };
        Some(Decoded {
            stored,
            next_offset: offset + total,
        })
    }

    /// Whether a record of that LSN and of that incarnation or a later one seems to begin at
    /// `offset`, valid or torn.
    pub fn seems_to_begin(segment: &[u8], offset: usize, lsn: Lsn, incarnation: u32) -> bool {
        let Some(mut bytes) = segment.get(offset..) else {
            return false;
        };
        RecordHeader::read(&mut Cursor::new(&mut bytes)).is_ok_and(|header| {
            header.magic == RECORD_MAGIC && header.lsn == lsn && header.incarnation >= incarnation
        })
    }
}
