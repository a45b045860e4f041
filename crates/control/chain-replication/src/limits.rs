//! Bounds on memory, frames and what is in flight, and the intervals that both ends of a link
//! share.

use crate::time::Millis;

/// A command's bytes at most: the largest configuration (4 MiB) with what identifies it. It has to
/// fit a frame between peers (8 MiB) with room to spare.
pub const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024 + 4 * 1024;

/// Bytes of commands that may wait for their commit at the head: beyond it nothing more is taken,
/// so memory stays bounded.
pub const MAX_UNCOMMITTED_BYTES: u64 = 4 * 1024 * 1024;

/// A snapshot's bytes at most: half of what the smallest machine's process may use is left for all
/// the rest.
pub const MAX_SNAPSHOT_BYTES: u32 = 64 * 1024 * 1024;

/// Bytes of commands in a frame; a single larger command goes alone.
pub const BATCH_BYTES: usize = 64 * 1024;

/// Bytes in flight to a successor, sent and not acknowledged: some round trips of a machine's link.
pub const WINDOW_BYTES: u64 = 512 * 1024;

/// Bytes of a chunk of a snapshot; only the last chunk is shorter.
pub const CHUNK_BYTES: usize = 64 * 1024;

/// Chunks in flight to a receiver, and chunks that a receiver keeps beyond a gap: half a megabyte,
/// some round trips of a machine's link.
pub const CHUNKS_IN_FLIGHT: usize = 8;

/// Bytes of log kept for a successor that comes back: some seconds of a busy state machine; beyond
/// that a snapshot is cheaper.
pub(crate) const LOG_BYTES: u64 = 8 * 1024 * 1024;

/// A neighbour that has not answered is asked again after this.
pub(crate) const REQUEST_INTERVAL_MS: Millis = 200;
