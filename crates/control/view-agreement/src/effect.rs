//! What the state machine asks its owner to do.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::controller_view::ControllerView;
use crate::message::Message;

/// What the owner is to carry out, in the order given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a peer; it may be lost.
    Send {
        /// The peer's address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Append a record and sync it, in order; then call `Agreement::handle_synced(ticket)`, which
    /// covers all tickets up to this one.
    Write {
        /// Rises by one with each record.
        ticket: u64,
        /// The bytes of the record.
        record: Bytes,
    },
    /// This view was chosen and is the newest known.
    ViewChosen(ControllerView),
    /// The answer to `Agreement::confirm_view`.
    ViewConfirmed {
        /// The token that `confirm_view` returned.
        token: u64,
        /// A majority of the acceptors said, after the question, that the view was still the
        /// newest.
        is_current: bool,
    },
}
