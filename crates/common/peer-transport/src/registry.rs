//! The open connections of a process, by the listening address of the peer.

use crate::accepted::Accepted;
use crate::context::Context;
use crate::limits::MAX_OUTGOING;
use crate::outgoing::Outgoing;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The open connections of a process.
pub(crate) struct Registry {
    pub context: Rc<Context>,
    outgoing: RefCell<HashMap<SocketAddr, Rc<Outgoing>>>,
    incoming: RefCell<HashMap<SocketAddr, Rc<Accepted>>>,
}

impl Registry {
    pub fn new(context: Rc<Context>) -> Self {
        Self {
            context,
            outgoing: RefCell::default(),
            incoming: RefCell::default(),
        }
    }

    /// The connection to an address, made if there is none; none if there are too many.
    pub fn outgoing(&self, addr: SocketAddr) -> Option<Rc<Outgoing>> {
        let mut outgoing = self.outgoing.borrow_mut();
        if let Some(known) = outgoing.get(&addr) {
            return Some(known.clone());
        }
        if outgoing.len() >= MAX_OUTGOING {
            outgoing.retain(|_, outgoing| !outgoing.is_forgettable());
            if outgoing.len() >= MAX_OUTGOING {
                return None;
            }
        }
        let new = Rc::new(Outgoing::new(self.context.clone(), addr));
        outgoing.insert(addr, new.clone());
        Some(new)
    }

    /// A peer has opened a connection: a newer one of a peer ends its older one, so that nothing
    /// old comes after something new.
    pub fn add_incoming(&self, addr: SocketAddr, accepted: &Rc<Accepted>) {
        let outgoing = self.outgoing.borrow().get(&addr).cloned();
        if let Some(outgoing) = outgoing {
            outgoing.peer_is_up();
        }
        if let Some(older) = self.incoming.borrow_mut().insert(addr, accepted.clone()) {
            older.close();
        }
    }

    pub fn remove_incoming(&self, addr: SocketAddr, accepted: &Rc<Accepted>) {
        let mut incoming = self.incoming.borrow_mut();
        if incoming
            .get(&addr)
            .is_some_and(|known| Rc::ptr_eq(known, accepted))
        {
            incoming.remove(&addr);
        }
    }

    /// Ends all connections that this process has opened.
    pub fn abort_outgoing(&self) {
        let outgoing = std::mem::take(&mut *self.outgoing.borrow_mut());
        for outgoing in outgoing.values() {
            outgoing.abort();
        }
    }
}
