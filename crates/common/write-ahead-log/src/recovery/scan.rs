//! The headers of all files.

use super::{corrupt, read, FoundSegment};
use crate::error::{Corruption, LogError};
use crate::format::{decode_start, Header, SegmentStart, HEADER_BYTES};
use crate::segments::Slot;
use crate::storage::Storage;

/// Files with higher numbers aren't of a log: their table would be long.
const MAX_SLOTS: usize = 4096;

/// The files of a directory, by what they begin with.
#[derive(Default)]
pub(super) struct Scan {
    /// In the order of the log.
    pub segments: Vec<FoundSegment>,
    /// Files with an unreadable header.
    pub invalid: Vec<u32>,
    /// Preallocated, and never used.
    pub blank: Vec<u32>,
    pub slots: Vec<Slot>,
}

impl Scan {
    /// The file of the oldest segment found.
    pub(super) fn oldest_slot(&self) -> u32 {
        self.segments.first().map_or(0, |segment| segment.slot)
    }

    /// Adds a file by its beginning.
    fn add(&mut self, slot: u32, start: SegmentStart) -> Slot {
        match start {
            SegmentStart::Header(header) => {
                self.segments.push(FoundSegment { header, slot });
                Slot::Used(header.seq)
            }
            SegmentStart::Blank => {
                self.blank.push(slot);
                Slot::Free
            }
            SegmentStart::Invalid | SegmentStart::UnsupportedVersion(_) => {
                self.invalid.push(slot);
                Slot::Free
            }
        }
    }
}

/// Reads the beginnings of all files, and refuses those of another owner or of a newer version.
pub(super) fn scan<S: Storage>(storage: &mut S, owner: u64) -> Result<Scan, LogError> {
    let files = storage.files();
    let files = files.map_err(|source| LogError::Io {
        file: storage.name(0),
        source,
    })?;
    let mut found = Scan::default();
    let mut bytes = Vec::new();
    for (slot, _) in files {
        let at = usize::try_from(slot).unwrap_or(usize::MAX);
        if at >= MAX_SLOTS {
            continue;
        }
        read(storage, slot, HEADER_BYTES as u64, &mut bytes)?;
        if found.slots.len() <= at {
            found.slots.resize(at + 1, Slot::Missing);
        }
        let state = match decode_start(&bytes) {
            SegmentStart::UnsupportedVersion(version) => {
                let file = storage.name(slot);
                return Err(LogError::UnsupportedVersion { file, version });
            }
            SegmentStart::Header(header) if has_other_owner(&header, owner) => {
                return Err(LogError::WrongOwner {
                    file: storage.name(slot),
                });
            }
            valid => found.add(slot, valid),
        };
        if let Some(known) = found.slots.get_mut(at) {
            *known = state;
        }
    }
    found
        .segments
        .sort_unstable_by_key(|segment| segment.header.seq);
    check_same_log(storage, &found.segments)?;
    Ok(found)
}

/// Checks that all segments are of one log, each with a place of its own.
fn check_same_log<S: Storage>(storage: &S, segments: &[FoundSegment]) -> Result<(), LogError> {
    for (one, other) in segments.iter().zip(segments.iter().skip(1)) {
        let (header, next) = (&one.header, &other.header);
        if header.identity != next.identity
            || header.segment_units != next.segment_units
            || header.seq == next.seq
        {
            return Err(corrupt(
                storage,
                other.slot,
                0,
                Corruption::ConflictingHeader,
            ));
        }
    }
    Ok(())
}

/// Whether the segment was written for another owner than this one.
fn has_other_owner(header: &Header, owner: u64) -> bool {
    header.owner != 0 && owner != 0 && header.owner != owner
}
