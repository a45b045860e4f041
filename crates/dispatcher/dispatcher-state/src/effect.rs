//! What the reducer asks for: the effects that the event loop carries out.

use crate::ConnId;
use bytes::Bytes;
use dispatch_api::{JobId, Micros};
use std::net::SocketAddr;

/// The one final answer to a flow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The target's result.
    Served(Bytes),
    /// Not served, and a retry by the client is harmless.
    Rejected {
        /// How long the client is advised to wait before it retries, microseconds.
        retry_after: Option<Micros>,
    },
    /// Not served, and it may have run.
    Failed,
    /// Not served: the request itself is at fault, and no target can use it.
    Unprocessable,
}

/// One effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Open a connection to a target.
    OpenConnection {
        /// Its number.
        conn: ConnId,
        /// The target's address.
        addr: SocketAddr,
    },
    /// Send a flow's request on a connection that is up and free.
    SendRequest {
        /// The connection.
        conn: ConnId,
        /// The flow.
        flow: JobId,
        /// How long this dispatcher waits for the answer, microseconds.
        wait: Micros,
    },
    /// Ask a target for its load on a connection that is up and free.
    SendProbe(ConnId),
    /// Close a connection, whatever it carries.
    CloseConnection(ConnId),
    /// Answer a flow.
    AnswerFlow {
        /// The flow.
        flow: JobId,
        /// Its answer.
        answer: Answer,
    },
    /// Watch the endpoint list for changes until a call fails.
    WatchEndpoints {
        /// The version held; with none the full list is wanted.
        after: Option<u64>,
    },
    /// Send a datagram to every other dispatcher.
    BroadcastToPeers(Vec<u8>),
    /// Send a datagram to one other dispatcher.
    SendToPeer {
        /// Its number.
        to: u32,
        /// The datagram.
        message: Vec<u8>,
    },
}
