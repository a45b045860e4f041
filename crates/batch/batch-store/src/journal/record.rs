//! The records of the journal: a write of a partition's chain, whole or in chunks.
//!
//! Kinds and sizes are a format on disk: a store reads what an earlier version wrote.

use bytes::Bytes;
use write_ahead_log::Record;

/// A whole write of a partition's chain.
pub(super) const WHOLE: u8 = 1;
/// The first chunk of a write.
pub(super) const FIRST: u8 = 2;
/// One more chunk.
pub(super) const MIDDLE: u8 = 3;
/// The last chunk.
pub(super) const LAST: u8 = 4;
/// Everything of the partition that was written before is void.
pub(super) const VOID: u8 = 5;

/// A write is cut into chunks of so many bytes. No record crosses the end of a file of the log (4
/// MiB), so up to one chunk at the end of each file stays empty: with 128 KiB that is one part in
/// thirty-two, with 1 MiB it was a quarter.
const CHUNK_BYTES: usize = 128 << 10;

pub(super) fn record(kind: u8, partition: u16, body: Bytes) -> Record {
    Record {
        kind,
        group: partition.into(),
        number: 0,
        body,
    }
}

/// Cuts a write into records.
pub(super) fn chunks(partition: u16, body: &Bytes) -> Vec<Record> {
    let mut records = Vec::with_capacity(body.len() / CHUNK_BYTES + 1);
    let mut start = 0;
    loop {
        let end = body.len().min(start + CHUNK_BYTES);
        let is_last = end == body.len();
        let kind = match (start == 0, is_last) {
            (true, true) => WHOLE,
            (true, false) => FIRST,
            (false, false) => MIDDLE,
            (false, true) => LAST,
        };
        records.push(record(kind, partition, body.slice(start..end)));
        start = end;
        if is_last {
            return records;
        }
    }
}
