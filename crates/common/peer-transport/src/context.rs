//! What all connections of a process share.

use crate::channel::TotalQueued;
use crate::events::{ConnectionEvent, Counters};
use crate::frame::Hello;
use crate::handler::Handler;
use crate::limits::{MAX_INCOMING, MAX_OUTGOING};
use crate::peer::Peer;
use bytes::Bytes;
use rand_pcg::rand_core::RngCore;
use rand_pcg::Pcg32;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};

/// Called for what happens to connections.
pub(crate) type EventCallback = Box<dyn Fn(ConnectionEvent)>;

/// What all connections of a process share.
pub(crate) struct Context {
    /// The encoded hello of this process.
    pub hello: Bytes,
    pub local_peer: Rc<Peer>,
    pub queued: Rc<TotalQueued>,
    handler: RefCell<Option<Weak<dyn Handler>>>,
    peers: RefCell<HashMap<SocketAddr, Rc<Peer>>>,
    counters: Cell<Counters>,
    rng: RefCell<Pcg32>,
    events: Option<EventCallback>,
}

impl Context {
    pub fn new(local_peer: Peer, events: Option<EventCallback>) -> Self {
        let Peer { addr, id, .. } = local_peer;
        let rng = Pcg32::new(id ^ u64::from(addr.port()), id.rotate_left(32));
        let hello = Hello::from(local_peer.clone());
        Self {
            hello: hello.encode(),
            local_peer: Rc::new(local_peer),
            queued: Rc::default(),
            handler: RefCell::new(None),
            peers: RefCell::default(),
            counters: Cell::default(),
            rng: RefCell::new(rng),
            events,
        }
    }

    pub fn event(&self, event: ConnectionEvent) {
        if event.is_rejection() {
            self.count(|counters| counters.connections_rejected += 1);
        }
        if let Some(events) = &self.events {
            events(event);
        }
    }

    pub fn count(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.counters.get();
        change(&mut counters);
        self.counters.set(counters);
    }

    pub fn counters(&self) -> Counters {
        self.counters.get()
    }

    pub fn set_handler(&self, handler: &Rc<dyn Handler>) {
        *self.handler.borrow_mut() = Some(Rc::downgrade(handler));
    }

    pub fn handler(&self) -> Option<Rc<dyn Handler>> {
        self.handler.borrow().as_ref().and_then(Weak::upgrade)
    }

    /// A random number from 0 to 1.
    pub fn random(&self) -> f64 {
        f64::from(self.rng.borrow_mut().next_u32()) / f64::from(u32::MAX)
    }

    /// The process that last sent a hello from or at the address.
    pub fn peer(&self, addr: SocketAddr) -> Option<Rc<Peer>> {
        self.peers.borrow().get(&addr).cloned()
    }

    /// Takes in the newest hello of an address.
    pub fn learn_peer(&self, hello: Hello) -> Rc<Peer> {
        let mut peers = self.peers.borrow_mut();
        let peer = Peer::from(hello);
        if let Some(known) = peers.get(&peer.addr) {
            if **known == peer {
                return known.clone();
            }
        }
        let peer = Rc::new(peer);
        if peers.len() >= MAX_OUTGOING + MAX_INCOMING {
            // Only what is queried can get lost by this, and it is learned anew with the next
            // hello.
            peers.clear();
        }
        peers.insert(peer.addr, peer.clone());
        peer
    }
}
