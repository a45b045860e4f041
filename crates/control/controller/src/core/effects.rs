//! What a controller wants done.

use crate::call::{CallId, Response};
use crate::startup::RecordKind;
use bytes::Bytes;
use std::net::SocketAddr;

/// Identifies a write, to tell when it is on disk: a ticket of the state machine that it belongs
/// to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteTicket {
    /// Of the agreement on views.
    ViewAgreement(u64),
    /// Of the chain.
    Chain(u64),
    /// Of the bootstrap.
    Bootstrap(u64),
    /// Of records of runs.
    RunRecords(u64),
}

impl From<WriteTicket> for RecordKind {
    fn from(ticket: WriteTicket) -> Self {
        match ticket {
            WriteTicket::ViewAgreement(_) => RecordKind::ViewAgreement,
            WriteTicket::Chain(_) => RecordKind::Chain,
            WriteTicket::Bootstrap(_) => RecordKind::Bootstrap,
            WriteTicket::RunRecords(_) => RecordKind::RunRecords,
        }
    }
}

/// What is to be done, in the order in which it comes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a frame to a peer; it may be lost.
    Send {
        /// The peer's address.
        to: SocketAddr,
        /// The frame's kind.
        kind: u16,
        /// The frame's body.
        body: Bytes,
    },
    /// Write and sync a record, in order; then call
    /// [`ControllerCore::handle_synced`](super::ControllerCore::handle_synced).
    Write {
        /// Identifies it.
        ticket: WriteTicket,
        /// The record.
        record: Bytes,
    },
    /// Answer a call.
    Respond {
        /// The call.
        call: CallId,
        /// The answer.
        response: Response,
    },
}
