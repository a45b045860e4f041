//! The sockets and files that the event loop asks for.

use crate::handover::Handover;
use crate::peers::Peers;
use dispatcher_state::{ConnId, State};
use event_loop::{ConnectionCommand, IoBackend, LoopHandle, SaveWhen};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Who holds them.
pub struct Sockets {
    pub loop_handle: Rc<LoopHandle>,
    /// Requests to the watch of discovery.
    pub watch_requests: mpsc::UnboundedSender<Option<u64>>,
    pub peers: Option<Rc<Peers>>,
    pub handover: Option<Rc<Handover>>,
}

impl IoBackend for Sockets {
    fn open_connection(
        &self,
        conn: ConnId,
        addr: SocketAddr,
        commands: mpsc::UnboundedReceiver<ConnectionCommand>,
    ) {
        let loop_handle = Rc::clone(&self.loop_handle);
        spawn_local(http1::connection(conn, addr, commands, loop_handle));
    }

    fn watch_endpoints(&self, after: Option<u64>) {
        let _ = self.watch_requests.send(after);
    }

    fn broadcast_to_peers(&self, message: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.broadcast(message);
        }
    }

    fn send_to_peer(&self, to: u32, message: &[u8]) {
        if let Some(peers) = &self.peers {
            peers.send(to, message);
        }
    }

    fn save_state(&self, state: &State, when: SaveWhen) -> bool {
        self.handover
            .as_ref()
            .is_none_or(|handover| handover.save(state, when))
    }

    fn saves_state(&self) -> bool {
        self.handover.is_some()
    }
}
