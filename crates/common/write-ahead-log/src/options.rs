//! How a log is opened.

/// The size of a log. A log that exists keeps the length of its segments.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Bytes of each segment, at least [`crate::MIN_SEGMENT_BYTES`]; a new log writes one whole
    /// segment at its start.
    pub segment_bytes: u64,
    /// Most segments, at least [`crate::MIN_SEGMENTS`].
    pub max_segments: usize,
}

/// For whom a log is opened.
#[derive(Debug, Clone, Copy)]
pub struct OpenAs {
    /// The identity that a new log gets.
    pub new_identity: u64,
    /// The [`crate::owner_id`] that a log must have; 0 is any. A log that names no owner gets this
    /// one with its next segment.
    pub owner: u64,
}
