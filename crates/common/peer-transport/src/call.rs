//! The outcome of a call.

use bytes::Bytes;
use tokio::sync::oneshot;

/// Why a call has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The peer certainly hasn't received it completely.
    #[error("not sent")]
    NotSent,
    /// The peer may have received it, and may have acted on it.
    #[error("unknown whether it was received")]
    Unknown,
}

/// The reply to a call, or why there is none.
pub(crate) type CallResult = Result<Bytes, CallError>;

/// Where the outcome of a call goes.
pub(crate) type CallSender = oneshot::Sender<CallResult>;
