//! What the state machine asks its owner to do.

use std::net::SocketAddr;

use crate::message::Message;
use crate::record::LogRecord;

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
    /// Append a record and sync it, in order; then call `Replica::handle_synced(ticket)`, which
    /// covers all tickets up to this one.
    Write {
        /// Rises by one with each record.
        ticket: u64,
        /// The record.
        record: LogRecord,
    },
    /// All entries up to this one are on all disks of the view; repeated when that becomes so in a
    /// longer view. An owner that counts members asks `Replica::committed_with_members`: views may
    /// have changed since this was queued.
    Committed {
        /// The number of the entry.
        number: u64,
    },
    /// The state was replaced by another replica's snapshot: whatever was derived from it is void.
    SnapshotInstalled,
}
