//! Detects failed dispatchers by heartbeats to watchers on a hash ring.
//!
//! Each dispatcher sends heartbeats to three others, its watchers. A watcher that receives none
//! probes, then sends its suspicion to the other watchers; once most of them suspect the same for a
//! while, the verdict goes to a controller. A later heartbeat revokes it. No verdict comes from one
//! watcher alone, nor from one that stalled. No I/O, no clock: the caller passes the time and
//! carries the messages.

mod detector;
mod hash_ring;
mod message;

pub use detector::{Effect, FailureDetector, Verdict};
pub use hash_ring::watchers;
pub use message::{DecodeError, Message};

use std::net::SocketAddr;

use compact_str::CompactString;

/// Milliseconds on a steady clock.
pub type Ms = u64;

/// Interval of the heartbeats to each watcher.
pub const HEARTBEAT_MS: Ms = 500;
/// A watcher that receives nothing for this long probes; must exceed [`HEARTBEAT_MS`].
pub const PROBE_AFTER_MS: Ms = 800;
/// A watcher that receives nothing for this long suspects; must leave time for the reply to a
/// probe.
pub const SUSPECT_AFTER_MS: Ms = 1_600;
/// A suspicion must last this long before it counts in a watcher's own verdict.
pub const CONFIRM_AFTER_MS: Ms = 500;
/// Another watcher's suspicion counts this long; it is sent again every [`HEARTBEAT_MS`].
pub const VOTE_TIMEOUT_MS: Ms = 1_200;
/// Where another watcher still receives heartbeats, one that doesn't defers its suspicion by this
/// time.
pub const DEFER_MS: Ms = 1_000;
/// Ticks further apart than this mean that the watcher stalled.
pub const STALL_MS: Ms = 400;
/// How many watch one dispatcher.
pub const WATCHERS: usize = 3;
/// Most dispatchers; a longer list is truncated.
pub const MAX_DISPATCHERS: usize = 16_384;

/// A dispatcher that watches others and is watched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatcher {
    /// Its identity, another one at every start.
    pub id: u64,
    /// Where it listens for peers.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: CompactString,
    /// Its machine.
    pub node: CompactString,
}
