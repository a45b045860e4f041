//! Messages between processes of the tier over TCP: one way, and calls with a reply.
//!
//! There is one connection an address, opened when there is something to send; everything that is
//! queued in a turn of the event loop goes out in one write. Nothing here blocks on a peer: queues
//! are bounded, and what doesn't fit is dropped and counted. The bytes are described in
//! `docs/peer-frames.md`.

mod accepted;
mod call;
mod channel;
mod context;
mod events;
pub mod frame;
mod handler;
mod incoming;
mod limits;
mod local;
mod outgoing;
mod peer;
pub mod pending;
mod registry;
mod reply;
mod socket;
mod transport;

pub use call::CallError;
pub use events::{ConnectionEvent, Counters};
pub use handler::Handler;
pub use limits::{
    CONNECT_TIMEOUT, HELLO_TIMEOUT, IDLE_TIMEOUT, MAX_BODY_BYTES, MAX_CALLS_PER_CONNECTION,
    MAX_INCOMING, MAX_OPEN_CALLS, MAX_OUTGOING, MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGE_BYTES,
    MAX_TOTAL_QUEUED_BYTES, PEER_TIMEOUT, RECONNECT_BACKOFF_MAX, RECONNECT_BACKOFF_MIN,
};
pub use peer::Peer;
pub use reply::Reply;
pub use transport::Transport;
