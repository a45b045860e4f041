//! What can go wrong with a log.

use crate::format::VERSION;
use crate::limits::{MIN_SEGMENTS, MIN_SEGMENT_BYTES};
use std::io;

/// Why a log couldn't be opened or a record not appended. What each means for the operator stands
/// in `docs/disk-files.md`.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// No capacity until older records are released, or too much waits for the disk.
    #[error("the log is full")]
    Full,
    /// The log was closed.
    #[error("the log is closed")]
    Closed,
    /// The record doesn't fit in a segment.
    #[error("a record of {len} bytes exceeds the limit of {limit}")]
    RecordTooLong {
        /// Bytes of its body.
        len: usize,
        /// The longest body that fits.
        limit: u64,
    },
    /// The files were written by a newer program; nothing was changed.
    #[error("{file} has format version {version}, supported up to {VERSION}; nothing was changed")]
    UnsupportedVersion {
        /// The file.
        file: String,
        /// Its version.
        version: u16,
    },
    /// The log is another machine's, or of another role; nothing was changed.
    #[error("{file} belongs to another machine or role; nothing was changed")]
    WrongOwner {
        /// The file.
        file: String,
    },
    /// What had been synced can't be read back.
    #[error("{file} is corrupt at byte {offset}: {what}")]
    Corrupt {
        /// The file.
        file: String,
        /// The byte in it.
        offset: u64,
        /// What is wrong.
        what: Corruption,
    },
    /// The system refused something at the start.
    #[error("{file}: {source}")]
    Io {
        /// The file or directory.
        file: String,
        /// What the system says.
        source: io::Error,
    },
    /// The options can't be served.
    #[error("a log needs at least {MIN_SEGMENTS} segments of {MIN_SEGMENT_BYTES} bytes")]
    InvalidOptions,
}

/// How what had been synced was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// A record can't be decoded though it had been synced.
    #[error("a synced record can't be read")]
    UnreadableRecord,
    /// A header can't be decoded though it had been synced.
    #[error("a synced header can't be read")]
    UnreadableHeader,
    /// The oldest segment found begins behind records that aren't released.
    #[error("the segment before it is missing, with records that aren't released")]
    MissingRecords,
    /// A segment between others isn't there.
    #[error("the segment before it is missing")]
    MissingSegment,
    /// A segment begins with another LSN or an earlier incarnation than the one before it ends
    /// with.
    #[error("it doesn't go on where the segment before it ends")]
    Discontinuous,
    /// The header is of another log, or two segments claim the same place.
    #[error("its header is of another log, or two segments have the same place")]
    ConflictingHeader,
}
