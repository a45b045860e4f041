//! Reads back what is on disk, cuts off a torn write at the end, and tells corruption from it.
//!
//! A segment is begun only after all before it was synced, so only the newest one can have a torn
//! end. Within it each record says how far the log was durable when it was written: if a record
//! behind an unreadable place says that this place was durable, it is corrupt, and else torn.
//! Nothing is written here.

mod contents;
mod scan;

use crate::error::{Corruption, LogError};
use crate::format::{Header, ALIGNMENT};
use crate::options::{OpenAs, Options};
use crate::placement::{LiveSegment, Placement};
use crate::record::{Lsn, Record};
use crate::segments::{Segments, Slot};
use crate::storage::{Storage, StorageFile};
use contents::{read_contents, reject_if_synced, Contents, Expect, LogEnd};
use scan::{scan, Scan};
use std::collections::VecDeque;

/// What was found.
pub(crate) struct Recovered<S: Storage> {
    pub segments: Segments<S>,
    pub placement: Placement,
    pub identity: u64,
    pub is_new: bool,
    pub torn: bool,
}

/// A segment and the file that it is in.
#[derive(Clone, Copy)]
struct FoundSegment {
    header: Header,
    slot: u32,
}

/// Reads the log and gives out what is not released, in order, one segment after the other, with no
/// more than two segments in memory at a time. What was given out before an error is void.
pub(crate) fn recover<S: Storage>(
    mut storage: S,
    options: Options,
    open_as: OpenAs,
    take: &mut dyn FnMut(Lsn, Record),
) -> Result<Recovered<S>, LogError> {
    let found = scan(&mut storage, open_as.owner)?;
    let Some(newest_segment) = found.segments.last().copied() else {
        // A first segment that was being begun when the machine stopped: its identity was never
        // given out.
        for slot in &found.invalid {
            reject_if_synced(
                &mut storage,
                *slot,
                LogEnd {
                    next_lsn: 1,
                    incarnation: 0,
                },
            )?;
        }
        return Ok(new_log(storage, options, found.slots, open_as));
    };
    // The newest segment says how much is released; later releases are noted in it.
    let mut newest = read_contents(&mut storage, newest_segment, Expect::TornEnd)?;
    let live = live_segments(&storage, &found, newest.low_watermark)?;
    let low_watermark = newest.low_watermark;
    let mut give = |records: Vec<(Lsn, Record)>| {
        let kept = records.into_iter().filter(|(lsn, _)| *lsn >= low_watermark);
        kept.for_each(|(lsn, record)| take(lsn, record));
    };
    let live = read_live(&mut storage, live, newest_segment.slot, &mut give)?;
    give(std::mem::take(&mut newest.records));
    for slot in &found.invalid {
        reject_if_synced(&mut storage, *slot, newest.end)?;
    }
    let torn = newest.torn || !found.invalid.is_empty();
    existing_log(
        storage,
        options,
        open_as,
        Existing {
            found,
            newest_segment,
            newest,
            live,
            torn,
        },
    )
}

/// An existing log as it was read.
struct Existing {
    found: Scan,
    newest_segment: FoundSegment,
    /// Without its records.
    newest: Contents,
    live: VecDeque<LiveSegment>,
    torn: bool,
}

fn existing_log<S: Storage>(
    mut storage: S,
    options: Options,
    open_as: OpenAs,
    existing: Existing,
) -> Result<Recovered<S>, LogError> {
    let Existing {
        found,
        newest_segment,
        newest,
        live,
        torn,
    } = existing;
    let FoundSegment { header, slot } = newest_segment;
    let current = storage.open(slot);
    let current = current.map_err(|source| io_error(&storage, slot, source))?;
    let made = found
        .slots
        .iter()
        .filter(|slot| **slot != Slot::Missing)
        .count();
    let slots = mark_preallocated(&mut storage, found, header.segment_bytes());
    let max_segments = max_segments(options, header.segment_bytes(), made);
    let owner = if open_as.owner == 0 {
        header.owner
    } else {
        open_as.owner
    };
    Ok(Recovered {
        segments: Segments {
            storage,
            slots,
            current: Some(current),
            synced_lsn: newest.end.next_lsn - 1,
            incarnation: newest.end.incarnation.saturating_add(1),
            identity: header.identity,
            owner,
            segment_bytes: header.segment_bytes(),
            max_segments,
            unverified_tail: Some(newest.unverified_tail),
        },
        placement: Placement {
            segment_bytes: header.segment_bytes(),
            max_segments,
            segments: live,
            offset: newest.offset as u64,
            next_lsn: newest.end.next_lsn,
            low_watermark: newest.low_watermark,
            ended: newest.ended,
        },
        identity: header.identity,
        is_new: false,
        torn,
    })
}

fn new_log<S: Storage>(
    storage: S,
    options: Options,
    slots: Vec<Slot>,
    open_as: OpenAs,
) -> Recovered<S> {
    let alignment = ALIGNMENT as u64;
    let segment_bytes = options.segment_bytes / alignment * alignment;
    let max_segments = options.max_segments;
    let identity = open_as.new_identity;
    Recovered {
        segments: Segments {
            storage,
            slots,
            current: None,
            synced_lsn: 0,
            incarnation: 1,
            identity,
            owner: open_as.owner,
            segment_bytes,
            max_segments,
            unverified_tail: None,
        },
        placement: Placement {
            segment_bytes,
            max_segments,
            segments: VecDeque::new(),
            offset: 0,
            next_lsn: 1,
            low_watermark: 0,
            ended: false,
        },
        identity,
        is_new: true,
        torn: false,
    }
}

/// The segments from the one with the first record that isn't released.
fn live_segments<'a, S: Storage>(
    storage: &S,
    found: &'a Scan,
    low_watermark: Lsn,
) -> Result<&'a [FoundSegment], LogError> {
    let holds_first = |segment: &FoundSegment| segment.header.first_lsn <= low_watermark.max(1);
    let first = found.segments.iter().rposition(holds_first);
    let live = first
        .and_then(|first| found.segments.get(first..))
        .unwrap_or_default();
    if live.is_empty() {
        return Err(match found.invalid.first() {
            Some(slot) => corrupt(storage, *slot, 0, Corruption::UnreadableHeader),
            None => corrupt(storage, found.oldest_slot(), 0, Corruption::MissingRecords),
        });
    }
    Ok(live)
}

/// Reads all live segments but the newest, and checks that each goes on where the one before it
/// ends.
fn read_live<S: Storage>(
    storage: &mut S,
    live: &[FoundSegment],
    newest_slot: u32,
    give: &mut dyn FnMut(Vec<(Lsn, Record)>),
) -> Result<VecDeque<LiveSegment>, LogError> {
    let mut segments = VecDeque::new();
    let mut before: Option<(Header, LogEnd)> = None;
    for segment in live {
        let FoundSegment { header, slot } = *segment;
        if let Some((previous, end)) = before {
            if header.seq != previous.seq + 1 {
                return Err(corrupt(storage, slot, 0, Corruption::MissingSegment));
            }
            if header.first_lsn != end.next_lsn || header.incarnation < end.incarnation {
                return Err(corrupt(storage, slot, 0, Corruption::Discontinuous));
            }
        }
        segments.push_back(LiveSegment {
            seq: header.seq,
            first_lsn: header.first_lsn,
        });
        if slot != newest_slot {
            let Contents { records, end, .. } =
                read_contents(storage, *segment, Expect::SegmentEnd)?;
            before = Some((header, end));
            give(records);
        }
    }
    Ok(segments)
}

/// As many segments as the options have bytes for, but no fewer than there are files.
fn max_segments(options: Options, segment_bytes: u64, made: usize) -> usize {
    let capacity = options
        .segment_bytes
        .saturating_mul(options.max_segments as u64);
    let segments = capacity / segment_bytes.max(1);
    usize::try_from(segments)
        .unwrap_or(usize::MAX)
        .max(made)
        .max(2)
}

/// Marks the files that were preallocated and still are.
fn mark_preallocated<S: Storage>(storage: &mut S, found: Scan, segment_bytes: u64) -> Vec<Slot> {
    let mut slots = found.slots;
    for slot in &found.blank {
        let known = usize::try_from(*slot).ok().and_then(|at| slots.get_mut(at));
        if let Some(known) = known.filter(|_| is_preallocated(storage, *slot, segment_bytes)) {
            *known = Slot::Preallocated;
        }
    }
    slots
}

/// Whether a blank file has all its bytes, and the disk blocks for each of them: it need not be
/// preallocated again. One that can't be asked counts as if it had not.
fn is_preallocated<S: Storage>(storage: &mut S, slot: u32, segment_bytes: u64) -> bool {
    let Ok(mut file) = storage.open(slot) else {
        return false;
    };
    file.length().is_ok_and(|length| length == segment_bytes)
        && file
            .allocated()
            .is_ok_and(|allocated| allocated >= segment_bytes)
}

fn read<S: Storage>(
    storage: &mut S,
    slot: u32,
    most: u64,
    to: &mut Vec<u8>,
) -> Result<(), LogError> {
    let read = storage.open(slot).and_then(|mut file| file.read(most, to));
    read.map_err(|source| io_error(storage, slot, source))
}

fn io_error<S: Storage>(storage: &S, slot: u32, source: std::io::Error) -> LogError {
    LogError::Io {
        file: storage.name(slot),
        source,
    }
}

fn corrupt<S: Storage>(storage: &S, slot: u32, offset: u64, what: Corruption) -> LogError {
    LogError::Corrupt {
        file: storage.name(slot),
        offset,
        what,
    }
}
