//! One entry, or a chunk of a large one, in the body of an update.

use std::io::Cursor;
use std::ops::Range;

use binrw::{binrw, BinRead, BinWrite};
use bytes::Bytes;
use compact_str::CompactString;

use super::DecodeError;
use crate::entry::{Stamp, StateEntry, MAX_KEY_BYTES, MAX_VALUE_BYTES};

/// An entry, or a chunk of one, in a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Item {
    pub key: CompactString,
    pub stamp: Stamp,
    /// Where `value` stands in the whole value, if it is only a chunk of it.
    pub chunk: Option<Chunk>,
    pub value: Option<Bytes>,
}

/// Where a chunk stands in its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Chunk {
    /// Bytes of the whole value.
    pub total: u32,
    /// Where the chunk begins.
    pub offset: u32,
}

#[binrw]
#[brw(little)]
struct ItemHeader {
    key_len: u8,
    #[br(count = key_len)]
    key: Vec<u8>,
    major: u64,
    minor: u64,
    #[br(assert(kind <= kind::CHUNK))]
    kind: u8,
    #[br(if(kind == kind::CHUNK))]
    #[bw(if(*kind == kind::CHUNK))]
    total: u32,
    #[br(if(kind == kind::CHUNK))]
    #[bw(if(*kind == kind::CHUNK))]
    offset: u32,
    len: u32,
}

mod kind {
    pub const TOMBSTONE: u8 = 0;
    pub const VALUE: u8 = 1;
    pub const CHUNK: u8 = 2;
}

impl Item {
    /// Bytes of the shortest item: an empty key, a stamp, the kind and the length.
    pub const MIN_BYTES: usize = 22;

    /// Appends the entry, or the given bytes of its value, to the buffer.
    pub(crate) fn encode(entry: &StateEntry, range: Option<&Range<usize>>, body: &mut Vec<u8>) {
        let total = entry.value_len();
        let (kind, offset, value) = match (&entry.value, range) {
            (None, _) => (kind::TOMBSTONE, 0, &[][..]),
            (Some(value), None) => (kind::VALUE, 0, &value[..]),
            (Some(value), Some(range)) => (
                kind::CHUNK,
                range.start,
                value.get(range.clone()).unwrap_or(&[]),
            ),
        };
        let header = ItemHeader {
            key_len: entry.key.len().min(MAX_KEY_BYTES) as u8,
            key: entry
                .key
                .as_bytes()
                .iter()
                .copied()
                .take(MAX_KEY_BYTES)
                .collect(),
            major: entry.stamp.0,
            minor: entry.stamp.1,
            kind,
            total: total as u32,
            offset: offset as u32,
            len: value.len() as u32,
        };
        let mut cursor = Cursor::new(std::mem::take(body));
        cursor.set_position(cursor.get_ref().len() as u64);
        // Writing to memory doesn't fail.
        let _ = header.write(&mut cursor);
        *body = cursor.into_inner();
        body.extend_from_slice(value);
    }

    pub(super) fn decode(cursor: &mut Cursor<&[u8]>) -> Result<Item, DecodeError> {
        let header =
            ItemHeader::read(cursor).map_err(|_| DecodeError::Malformed(cursor.position()))?;
        let at = cursor.position();
        let key = CompactString::from_utf8(&header.key).map_err(|_| DecodeError::Malformed(at))?;
        if header.len as usize > MAX_VALUE_BYTES || header.total as usize > MAX_VALUE_BYTES {
            return Err(DecodeError::TooLarge("value"));
        }
        let start = at as usize;
        let end = start + header.len as usize;
        let value = cursor
            .get_ref()
            .get(start..end)
            .ok_or(DecodeError::Malformed(at))?;
        let value = Bytes::copy_from_slice(value);
        cursor.set_position(end as u64);
        let fits = header
            .offset
            .checked_add(header.len)
            .is_some_and(|end| end <= header.total);
        let (chunk, value) = match header.kind {
            kind::TOMBSTONE if header.len == 0 => (None, None),
            kind::VALUE => (None, Some(value)),
            kind::CHUNK if fits && header.len > 0 => (
                Some(Chunk {
                    total: header.total,
                    offset: header.offset,
                }),
                Some(value),
            ),
            _ => return Err(DecodeError::Malformed(at)),
        };
        Ok(Item {
            key,
            stamp: Stamp(header.major, header.minor),
            chunk,
            value,
        })
    }

    /// The entry that the item makes with its whole value.
    pub(crate) fn into_entry(self, value: Option<Bytes>) -> StateEntry {
        StateEntry {
            key: self.key,
            stamp: self.stamp,
            value,
        }
    }
}
