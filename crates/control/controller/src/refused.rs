//! What was refused of what others say: counted since the start for operators, and said in the log at a limited rate.

use std::cell::Cell;
use std::rc::Rc;
use structured_log::Rarely;

/// The counters and the limit of their lines.
#[derive(Debug, Default)]
pub struct Refused {
    /// Frames of other processes that can't be read, or are of an unknown kind.
    pub frames: u64,
    /// Calls of runners and operators whose content is invalid.
    pub calls: u64,
    /// Connections of other processes, as of when the status was asked for.
    pub connections: u64,
    /// Frames that were dropped as too much waits, counted before they come to the owner.
    pub dropped: Rc<Cell<u64>>,
    /// Words that were passed over, as last said in the log.
    pub passed_over: PassedOver,
    /// Lines that would repeat.
    pub lines: Rarely,
}

/// Words that can be read and count for nothing: of views that are over, of strangers, for others. Usual after each change of
/// view; many of them at another time are not.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PassedOver {
    /// Of the chain.
    pub chain: u64,
    /// Of the agreement on views.
    pub view: u64,
    /// Of the relay tree.
    pub relay: u64,
}
