//! Frames between processes of the tier over TCP: one way (`tell`) and with an answer (`call`).
//!
//! One connection an address, opened when there is something to say; everything that is queued in a turn goes out in
//! one write. Nothing here blocks on a peer: queues are bounded, and what doesn't fit is dropped and counted.
//! The bytes are described in docs/peer-frames.md.

#![expect(clippy::missing_errors_doc, reason = "not revised yet")]

mod channel;
mod events;
pub mod frame;
mod incoming;
mod links;
mod local;
mod outgoing;
pub mod pending;
mod reply;

pub use events::{Counters, Event};
pub use links::{CallError, Handler, Links, Me, Peer};
pub use reply::Reply;

use std::time::Duration;

/// The longest body of a frame; a peer that announces more is cut off.
pub const MOST_BODY: usize = 8 << 20;
/// Bytes that may wait for one connection's tells: a second of a link of 33 Mbit/s. Beyond it tells are dropped.
pub const MOST_QUEUED_TELLS: usize = 4 << 20;
/// Bytes that may wait for one connection with calls or replies counted: two of the longest bodies and the tells.
pub const MOST_QUEUED: usize = 20 << 20;
/// Bytes that may wait for all connections together; a process has 260 MB or less for everything.
pub const MOST_QUEUED_IN_ALL: usize = 48 << 20;
/// Calls that may wait for an answer over all connections; each holds its timer and a few hundred bytes.
pub const MOST_CALLS: usize = 8192;
/// Calls of one peer that may be unanswered at a time; further ones are sent back unanswered.
pub const MOST_CALLS_OF_A_PEER: usize = 4096;
/// Addresses that are spoken to at a time.
pub const MOST_OUTGOING: usize = 1024;
/// Connections that are accepted at a time.
pub const MOST_INCOMING: usize = 1024;
/// How long opening a connection may take.
pub const CONNECT_WITHIN: Duration = Duration::from_secs(1);
/// How long a newly accepted connection may take until its hello is there.
pub const HELLO_WITHIN: Duration = Duration::from_secs(2);
/// How long bytes may stay unacknowledged, or probes unanswered, until a peer counts as dead.
pub const DEAD_AFTER: Duration = Duration::from_secs(1);
/// A connection that carried nothing for so long is closed by the one who opened it.
pub const IDLE_CLOSE: Duration = Duration::from_secs(30);
/// The shortest pause after a connection failed; it grows with further failures up to [`MOST_PAUSE`].
pub const LEAST_PAUSE: Duration = Duration::from_millis(50);
/// The longest pause after a connection failed.
pub const MOST_PAUSE: Duration = Duration::from_millis(500);
