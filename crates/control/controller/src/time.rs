//! The clocks of a controller.

use chain_replication::Millis;

/// A moment, by both clocks of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Time {
    /// Steady milliseconds of this process. Never 0, which some tables take for never.
    pub now: Millis,
    /// Milliseconds since the Unix epoch. It orders what different controllers publish, and may
    /// jump.
    pub unix_ms: u64,
}
