//! Counters of rejected input since the start, for operators, and the rate limit of its log lines.

use std::cell::Cell;
use std::rc::Rc;
use structured_log::RateLimiter;

/// What was rejected.
#[derive(Debug, Default)]
pub struct Rejections {
    /// Frames of other processes that can't be decoded, or are of an unknown kind.
    pub frames: u64,
    /// Calls of runners and operators whose content is invalid.
    pub calls: u64,
    /// Connections of other processes, as of the last status.
    pub connections: u64,
    /// Frames that were dropped because the event loop's queue was full. Shared with the receiver
    /// of frames, which counts them.
    pub dropped_frames: Rc<Cell<u64>>,
    /// Stale messages as of the last log line about them.
    pub logged_stale: StaleMessages,
    /// Limits log lines that would repeat.
    pub log_limit: RateLimiter,
}

/// Messages that are valid and were ignored: of views that are over, of strangers, for others.
/// Usual after each change of view; many of them at another time are not.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct StaleMessages {
    /// Of the chain.
    pub chain: u64,
    /// Of the agreement on views.
    pub view: u64,
    /// Of the relay tree.
    pub relay: u64,
}
