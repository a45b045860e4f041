//! Where each record goes, decided when it is appended, so that a full log refuses at once. No I/O.

use crate::format::{stored_len, RecordType, HEADER_BYTES, RECORD_HEADER_BYTES};
use crate::record::{Lsn, Record};
use bytes::Bytes;
use std::collections::VecDeque;

/// Each segment keeps capacity for the record that ends it.
const END_RESERVE_BYTES: u64 = RECORD_HEADER_BYTES as u64;
/// The last segment that may be used also keeps capacity for the opening records of 80 starts, so
/// that a full log can be opened again.
const OPENING_RESERVE_BYTES: u64 = 80 * RECORD_HEADER_BYTES as u64;

/// Something to be written, in the order of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum WriteJob {
    /// A new segment begins.
    Segment(SegmentJob),
    /// A record goes to this offset of the newest segment.
    Record {
        lsn: Lsn,
        offset: u64,
        record_type: RecordType,
        record: Record,
    },
}

/// The beginning of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SegmentJob {
    pub seq: u64,
    pub first_lsn: Lsn,
    pub low_watermark: Lsn,
    /// The oldest segment in use beside it; earlier ones may be written over.
    pub oldest_seq: u64,
}

/// A segment in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LiveSegment {
    pub seq: u64,
    pub first_lsn: Lsn,
}

/// The end of the log and what of it is in use.
#[derive(Debug)]
pub(crate) struct Placement {
    pub segment_bytes: u64,
    pub max_segments: usize,
    /// The segments in use; the last one is written to.
    pub segments: VecDeque<LiveSegment>,
    /// Where the next record goes in the last segment.
    pub offset: u64,
    pub next_lsn: Lsn,
    /// Records before it are released.
    pub low_watermark: Lsn,
    /// The last segment has the record that ends it.
    pub ended: bool,
}

impl Placement {
    /// The longest body that fits in any segment.
    pub fn max_body_bytes(&self) -> u64 {
        let reserved = END_RESERVE_BYTES + OPENING_RESERVE_BYTES;
        let overhead = HEADER_BYTES as u64 + RECORD_HEADER_BYTES as u64;
        self.segment_bytes.saturating_sub(overhead + reserved)
    }

    /// Bytes from the beginning of the oldest segment in use to the end of the log.
    pub fn used_bytes(&self) -> u64 {
        (self.segments.len() as u64).saturating_sub(1) * self.segment_bytes + self.offset
    }

    /// Places a record; false if the log is full.
    pub fn place(
        &mut self,
        record_type: RecordType,
        record: Record,
        jobs: &mut Vec<WriteJob>,
    ) -> bool {
        let len = stored_len(record.body.len()) as u64;
        if !self.fits(len, record_type) {
            let is_last = self.segments.len() + 1 >= self.max_segments;
            let keeps_openings = is_last && record_type == RecordType::Data;
            let reserve = END_RESERVE_BYTES
                + if keeps_openings {
                    OPENING_RESERVE_BYTES
                } else {
                    0
                };
            if self.segments.len() >= self.max_segments
                || HEADER_BYTES as u64 + len + reserve > self.segment_bytes
            {
                return false;
            }
            self.begin_segment(jobs);
        }
        self.push(record_type, record, len, jobs);
        true
    }

    /// Notes that records before `lsn` are released, and writes that down where there is capacity
    /// for it; the record that ends a segment says it in any case before a segment is written over.
    pub fn release(&mut self, lsn: Lsn, jobs: &mut Vec<WriteJob>) {
        let low = lsn.min(self.next_lsn);
        if low <= self.low_watermark {
            return;
        }
        self.low_watermark = low;
        while self
            .segments
            .get(1)
            .is_some_and(|second| second.first_lsn <= low)
        {
            self.segments.pop_front();
        }
        if let Some(WriteJob::Record {
            record_type: RecordType::Watermark,
            record,
            ..
        }) = jobs.last_mut()
        {
            record.number = low;
        } else if self.fits(RECORD_HEADER_BYTES as u64, RecordType::Watermark) {
            let record = watermark_record(low);
            self.push(
                RecordType::Watermark,
                record,
                RECORD_HEADER_BYTES as u64,
                jobs,
            );
        }
    }

    fn fits(&self, len: u64, record_type: RecordType) -> bool {
        let is_last = self.segments.len() >= self.max_segments;
        let keeps_openings = is_last && record_type != RecordType::Opening;
        let reserve = END_RESERVE_BYTES
            + if keeps_openings {
                OPENING_RESERVE_BYTES
            } else {
                0
            };
        !self.ended
            && !self.segments.is_empty()
            && self.offset + len + reserve <= self.segment_bytes
    }

    fn begin_segment(&mut self, jobs: &mut Vec<WriteJob>) {
        if !self.ended && !self.segments.is_empty() {
            let record = watermark_record(self.low_watermark);
            self.push(
                RecordType::SegmentEnd,
                record,
                RECORD_HEADER_BYTES as u64,
                jobs,
            );
        }
        let seq = self.segments.back().map_or(1, |last| last.seq + 1);
        let oldest_seq = self.segments.front().map_or(seq, |first| first.seq);
        let first_lsn = self.next_lsn;
        self.segments.push_back(LiveSegment { seq, first_lsn });
        self.offset = HEADER_BYTES as u64;
        self.ended = false;
        let low_watermark = self.low_watermark;
        jobs.push(WriteJob::Segment(SegmentJob {
            seq,
            first_lsn,
            low_watermark,
            oldest_seq,
        }));
    }

    fn push(
        &mut self,
        record_type: RecordType,
        record: Record,
        len: u64,
        jobs: &mut Vec<WriteJob>,
    ) {
        let (lsn, offset) = (self.next_lsn, self.offset);
        jobs.push(WriteJob::Record {
            lsn,
            offset,
            record_type,
            record,
        });
        self.next_lsn += 1;
        self.offset += len;
    }
}

/// A record of the log itself that notes the low watermark.
pub(crate) fn watermark_record(low_watermark: Lsn) -> Record {
    Record {
        kind: 0,
        group: 0,
        number: low_watermark,
        body: Bytes::new(),
    }
}
