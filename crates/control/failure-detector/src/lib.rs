//! Heartbeats of dispatchers to the watchers that a ring names; no I/O.
//!
//! Every dispatcher sends a small heartbeat to three others, its watchers. A watcher that hears nothing asks, then says
//! its suspicion to the other watchers; when most of them say the same for a while, the verdict goes to a controller. A
//! heartbeat that comes after all takes it back. Nobody is condemned by one watcher alone, nor by one that stood still.

#![expect(
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

mod order;
mod ring;
mod wire;

pub use order::watchers;
pub use ring::{Out, Ring, Verdict};
pub use wire::{BadMessage, Msg};

use std::net::SocketAddr;

use compact_str::CompactString;

/// Milliseconds on a steady clock.
pub type Ms = u64;

/// How often a dispatcher tells its watchers that it lives.
pub const HEARTBEAT_MS: Ms = 500;
/// A watcher that hears nothing for this long asks.
pub const ASK_MS: Ms = 800;
/// A watcher that hears nothing for this long suspects.
pub const SILENT_MS: Ms = 1_600;
/// A suspicion must stand this long before it counts in a watcher's own verdict.
pub const STAND_MS: Ms = 500;
/// Another watcher's suspicion counts this long; it is said again every [`HEARTBEAT_MS`].
pub const VOTE_MS: Ms = 1_200;
/// Where another watcher still hears the dispatcher, one that doesn't keeps quiet for so much longer.
pub const DOUBT_MS: Ms = 1_000;
/// Ticks further apart than this mean that the watcher stood still.
pub const PAUSE_MS: Ms = 400;
/// How many watch one dispatcher.
pub const WATCHERS: usize = 3;
/// Most dispatchers; a longer list is cut.
pub const MAX_DISPATCHERS: usize = 16_384;

/// One of those that watch each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatcher {
    /// Its number, another one at every start.
    pub id: u64,
    /// Where it listens for peers.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: CompactString,
    /// Its machine.
    pub node: CompactString,
}
