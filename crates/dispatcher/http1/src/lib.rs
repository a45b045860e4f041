//! HTTP/1.1 towards clients and towards targets.
//!
//! I/O layer, over hyper. [`Connections`] accepts clients' connections, bounds and closes them; [`Listener`] takes the
//! dispatcher's jobs from them; [`connection`] is one connection to a target. Decides nothing about jobs: that is left to
//! the state machine behind `event-loop`.

pub mod connection_state;
pub mod connection_table;
mod connections;
mod head_bytes;
mod listener;
mod observed_stream;
mod socket;
mod target;

pub use connection_state::{ConnectionState, Timeouts};
pub use connection_table::{ConnectionTable, Eviction};
pub use connections::{Connections, Phase, ProtocolLimits, RequestContext, RequestHandler};
pub use head_bytes::HeadBytes;
pub use listener::{Listener, ListenerTerms};
pub use observed_stream::Observer;
pub use socket::{Socket, SocketIo};
pub use target::connection;

use dispatch_api::Micros;

/// A span in seconds, as the headers have it.
fn seconds(span: Micros) -> String {
    format!("{:.3}", span as f64 / 1.0e6)
}
