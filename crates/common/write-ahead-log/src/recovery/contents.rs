//! The records of one segment, and what stands behind the end of the log.

use super::{corrupt, read, FoundSegment};
use crate::error::{Corruption, LogError};
use crate::format::{Decoded, Header, RecordType, StoredRecord, ALIGNMENT, HEADER_BYTES};
use crate::record::{Lsn, Record};
use crate::segments::UnverifiedTail;
use crate::storage::Storage;

/// Where the log ends, or a segment of it.
#[derive(Clone, Copy)]
pub(super) struct LogEnd {
    pub next_lsn: Lsn,
    pub incarnation: u32,
}

/// How a segment may end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Expect {
    /// With its end record: any but the newest.
    SegmentEnd,
    /// Anywhere, with a torn write behind it: the newest.
    TornEnd,
}

/// What one segment holds.
pub(super) struct Contents {
    pub records: Vec<(Lsn, Record)>,
    pub end: LogEnd,
    /// The newest release that is noted in it.
    pub low_watermark: Lsn,
    /// Where its records end.
    pub offset: usize,
    pub ended: bool,
    pub torn: bool,
    /// What no later record proves to be synced; of the newest segment only.
    pub unverified_tail: UnverifiedTail,
}

/// Where a record begins.
struct RecordStart {
    lsn: Lsn,
    offset: usize,
}

/// Reads the records of a segment.
pub(super) fn read_contents<S: Storage>(
    storage: &mut S,
    segment: FoundSegment,
    expect: Expect,
) -> Result<Contents, LogError> {
    let FoundSegment { header, slot } = segment;
    let mut bytes = Vec::new();
    read(storage, slot, header.segment_bytes(), &mut bytes)?;
    let mut contents = Contents::begin(&header);
    let mut starts = Vec::new();
    // The newest LSN that one of the records says to be synced.
    let mut proven_lsn = 0;
    while let Some(decoded) = StoredRecord::decode(&bytes, contents.offset) {
        let Decoded {
            stored,
            next_offset,
        } = decoded;
        if contents.ended || !contents.continues_with(&stored) {
            break;
        }
        starts.push(RecordStart {
            lsn: stored.lsn,
            offset: contents.offset,
        });
        proven_lsn = proven_lsn.max(stored.synced_lsn);
        contents.push(stored, next_offset);
    }
    if expect == Expect::TornEnd {
        contents.unverified_tail = unverified_tail(&bytes, &starts, proven_lsn, contents.offset);
    }
    if contents.ended {
        return Ok(contents);
    }
    let behind = match expect {
        Expect::SegmentEnd => BehindEnd::Synced,
        Expect::TornEnd => behind_end(&bytes, contents.offset, contents.end),
    };
    if behind == BehindEnd::Synced {
        let offset = contents.offset as u64;
        return Err(corrupt(storage, slot, offset, Corruption::UnreadableRecord));
    }
    contents.torn = behind == BehindEnd::Torn;
    Ok(contents)
}

impl Contents {
    /// Of a segment with this header, before its first record.
    fn begin(header: &Header) -> Self {
        Contents {
            records: Vec::new(),
            end: LogEnd {
                next_lsn: header.first_lsn,
                incarnation: header.incarnation,
            },
            low_watermark: header.low_watermark,
            offset: HEADER_BYTES,
            ended: false,
            torn: false,
            unverified_tail: UnverifiedTail {
                offset: 0,
                bytes: Vec::new(),
            },
        }
    }

    /// Whether the record is the next one of the log. The first record of a start raises the
    /// incarnation; what an earlier incarnation left behind the end of the log is not of it.
    fn continues_with(&self, stored: &StoredRecord) -> bool {
        let may_raise = matches!(
            stored.record_type,
            RecordType::Opening | RecordType::SegmentEnd
        );
        let raises = may_raise && stored.incarnation > self.end.incarnation;
        stored.lsn == self.end.next_lsn && (stored.incarnation == self.end.incarnation || raises)
    }

    fn push(&mut self, stored: StoredRecord, next: usize) {
        self.end.incarnation = stored.incarnation;
        self.end.next_lsn += 1;
        self.offset = next;
        let number = stored.record.number;
        match stored.record_type {
            RecordType::Data => self.records.push((stored.lsn, stored.record)),
            RecordType::Opening | RecordType::Watermark => {
                self.low_watermark = self.low_watermark.max(number);
            }
            RecordType::SegmentEnd => {
                self.low_watermark = self.low_watermark.max(number);
                self.ended = true;
            }
        }
    }
}

/// The bytes of a segment's records from the first one that isn't proven to be synced; with the
/// header where none is.
fn unverified_tail(
    bytes: &[u8],
    starts: &[RecordStart],
    proven_lsn: Lsn,
    end: usize,
) -> UnverifiedTail {
    let from = match starts.iter().position(|start| start.lsn > proven_lsn) {
        Some(0) => 0,
        Some(at) => starts.get(at).map_or(end, |start| start.offset),
        None => end,
    };
    let bytes = bytes.get(from..end).unwrap_or_default().to_vec();
    UnverifiedTail {
        offset: from as u64,
        bytes,
    }
}

/// What stands behind the end of the log.
#[derive(PartialEq, Eq)]
enum BehindEnd {
    /// Nothing, or only what was there before the file was used again.
    Nothing,
    /// A write that wasn't synced.
    Torn,
    /// A record that says that the log was durable beyond this end.
    Synced,
}

/// Looks behind the end of the log. What an earlier incarnation left there had been cut off before
/// and says nothing.
fn behind_end(bytes: &[u8], offset: usize, end: LogEnd) -> BehindEnd {
    let LogEnd {
        next_lsn,
        incarnation,
    } = end;
    let begins = StoredRecord::seems_to_begin(bytes, offset, next_lsn, incarnation);
    let mut behind = if begins {
        BehindEnd::Torn
    } else {
        BehindEnd::Nothing
    };
    let mut offset = offset;
    while offset < bytes.len() {
        if let Some(Decoded {
            stored,
            next_offset,
        }) = StoredRecord::decode(bytes, offset)
        {
            if stored.lsn >= next_lsn && stored.incarnation >= incarnation {
                behind = BehindEnd::Torn;
                if stored.synced_lsn >= next_lsn {
                    return BehindEnd::Synced;
                }
            }
            offset = next_offset;
        } else {
            offset += ALIGNMENT;
        }
    }
    behind
}

/// A segment whose header can't be read was being begun, unless something in it says that the log
/// was durable beyond its known end.
pub(super) fn reject_if_synced<S: Storage>(
    storage: &mut S,
    slot: u32,
    end: LogEnd,
) -> Result<(), LogError> {
    let mut bytes = Vec::new();
    read(storage, slot, u64::MAX, &mut bytes)?;
    if behind_end(&bytes, HEADER_BYTES, end) == BehindEnd::Synced {
        return Err(corrupt(storage, slot, 0, Corruption::UnreadableHeader));
    }
    Ok(())
}
