//! The limits of a log.

/// The shortest segments that a log may have: the reserves for the log's own records must be small
/// beside them.
pub const MIN_SEGMENT_BYTES: u64 = 16 << 10;
/// Segments that must be preallocated before the log counts as ready: one to write to, and the
/// next.
pub const MIN_SEGMENTS: usize = 2;
/// Most records that wait for the disk, beside the limit in bytes: short ones cost memory too.
pub const MAX_QUEUED_RECORDS: usize = 32 << 10;
/// Most bytes of records that wait for the disk: an eighth of a second at 120 MB/s.
pub const MAX_QUEUED_BYTES: u64 = 16 << 20;
