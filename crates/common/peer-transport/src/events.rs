//! What happens to connections apart from their frames, for the log and for metrics.

use crate::frame::FrameError;
use crate::limits::MAX_INCOMING;
use std::net::SocketAddr;

/// What happened to a connection, for the log.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionEvent {
    /// Its bytes were rejected.
    #[error("connection with {peer} rejected: {source}")]
    Rejected {
        /// The peer's listening address where known, else the other end.
        peer: SocketAddr,
        /// Why.
        source: FrameError,
    },
    /// It couldn't be opened, or broke.
    #[error("connection with {peer} lost: {source}")]
    Lost {
        /// The peer's listening address where known, else the other end.
        peer: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The peer opened a newer one, or reads no replies.
    #[error("connection from {peer} closed: superseded or its replies are not read")]
    Superseded {
        /// The peer's listening address where known, else the other end.
        peer: SocketAddr,
    },
    /// It was opened, and then no hello came.
    #[error("connection from {from} closed: no hello received")]
    HelloTimeout {
        /// The other end.
        from: SocketAddr,
    },
    /// As many connections as allowed are open.
    #[error("connection from {from} rejected: {MAX_INCOMING} are open")]
    TooMany {
        /// The other end.
        from: SocketAddr,
    },
    /// A connection couldn't be accepted.
    #[error("accept failed: {source}")]
    AcceptFailed {
        /// What the system says.
        source: std::io::Error,
    },
}

impl ConnectionEvent {
    /// Whether this side ended the connection for what the other end sent or didn't send; else the
    /// network is to blame.
    pub fn is_rejection(&self) -> bool {
        matches!(
            self,
            Self::Rejected { .. } | Self::HelloTimeout { .. } | Self::TooMany { .. }
        )
    }
}

/// What was left out since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// One-way messages that were dropped: queue full, in a backoff, too long, or their connection
    /// broke before they were written.
    pub messages_dropped: u64,
    /// Calls that weren't taken.
    pub calls_rejected: u64,
    /// Connections of which [`ConnectionEvent::is_rejection`] was said.
    pub connections_rejected: u64,
}
