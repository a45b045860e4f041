//! Bounds on memory, on connections and on time.

use std::time::Duration;

/// The longest body of a frame; a peer that announces more is disconnected.
pub const MAX_BODY_BYTES: usize = 8 << 20;
/// Bytes that may be queued on one connection for a one-way message to be taken: a second of a link
/// of 33 Mbit/s. Beyond it messages are dropped.
pub const MAX_QUEUED_MESSAGE_BYTES: usize = 4 << 20;
/// Bytes that may be queued on one connection for a call or a reply to be taken: two of the longest
/// bodies and the messages.
pub const MAX_QUEUED_BYTES: usize = 20 << 20;
/// Bytes that may be queued on all connections together; a process has 260 MB or less for
/// everything.
pub const MAX_TOTAL_QUEUED_BYTES: usize = 48 << 20;
/// Calls that may wait for a reply over all connections; each holds its timer and a few hundred
/// bytes.
pub const MAX_OPEN_CALLS: usize = 8192;
/// Calls of one connection that may be without a reply at a time; further ones are refused at once.
pub const MAX_CALLS_PER_CONNECTION: usize = 4096;
/// Addresses that are connected to at a time.
pub const MAX_OUTGOING: usize = 1024;
/// Connections that are accepted at a time.
pub const MAX_INCOMING: usize = 1024;
/// How long opening a connection may take.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a newly accepted connection may take until its hello has come.
pub const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long bytes may stay unacknowledged, or keepalive probes unanswered, until a peer counts as
/// dead.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// A connection without a frame for so long is closed by the side that opened it.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The shortest backoff after a connection failed; it grows with further failures up to
/// [`RECONNECT_BACKOFF_MAX`].
pub const RECONNECT_BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest backoff after a connection failed.
pub const RECONNECT_BACKOFF_MAX: Duration = Duration::from_millis(500);
