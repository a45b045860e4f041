//! What the loop needs of the tasks that hold sockets and files.

use crate::ForwardedRequest;
use dispatch_api::{JobId, Micros};
use dispatcher_state::{ConnId, State};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// What a connection to a target is to do next. Dropping the sender closes the connection at once.
pub enum ConnectionCommand {
    /// Send a job.
    Job {
        /// Its flow.
        flow: JobId,
        /// Its request.
        request: Rc<ForwardedRequest>,
        /// How long this dispatcher waits for the answer, microseconds.
        wait: Micros,
    },
    /// Ask for the target's load.
    Probe,
}

/// When the state is to be saved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SaveWhen {
    /// Before this call returns: an operator, or another dispatcher, is about to be told of it.
    Now,
    /// If the last time is long enough ago.
    Due,
}

/// The tasks that hold sockets and files.
pub trait IoBackend {
    /// Opens a connection to a target, which carries out its commands and reports when it is closed.
    fn open_connection(
        &self,
        conn: ConnId,
        addr: SocketAddr,
        commands: mpsc::UnboundedReceiver<ConnectionCommand>,
    );
    /// Watches the endpoint list for changes after this version; with none the full list is wanted.
    fn watch_endpoints(&self, after: Option<u64>);
    /// Sends a datagram to every other dispatcher.
    fn broadcast_to_peers(&self, message: &[u8]);
    /// Sends a datagram to the other dispatcher of this number.
    fn send_to_peer(&self, to: u32, message: &[u8]);
    /// Saves the state for the process that comes after this one. Returns whether nothing failed.
    fn save_state(&self, state: &State, when: SaveWhen) -> bool;
    /// Whether the state is saved anywhere.
    fn saves_state(&self) -> bool;
}
