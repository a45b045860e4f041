//! A stand-in of a store: answers calls by a script.

use batch::wire::{Placement, PlacementMap, StoreInfo, StoreState};
use bytes::Bytes;
use chain_replication::{Member, View};
use gateway::gateway::Gateway;
use peer_transport::{Handler, Peer, Reply, Transport};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

type Script = dyn Fn(u16, &Bytes) -> Say;

/// What a store does with a call.
pub enum Say {
    /// Answers.
    This(Bytes),
    /// Gives no answer, and says so.
    Nothing,
    /// Says nothing at all.
    Silence,
}

pub struct Store {
    pub addr: SocketAddr,
    pub calls: RefCell<Vec<(u16, Bytes)>>,
    pub news: Notify,
    script: RefCell<Box<Script>>,
    silent: RefCell<Vec<Reply>>,
}

impl Store {
    pub async fn new(id: u64, script: impl Fn(u16, &Bytes) -> Say + 'static) -> Rc<Self> {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = socket.local_addr().unwrap();
        let store = Rc::new(Store {
            addr,
            calls: RefCell::default(),
            news: Notify::new(),
            script: RefCell::new(Box::new(script)),
            silent: RefCell::default(),
        });
        let links = Transport::new(Peer {
            addr,
            id,
            node: format!("storage-{id}").into(),
            zone: "a".into(),
        });
        spawn_local(links.serve(socket, Rc::new(Ear(Rc::clone(&store)))));
        store
    }

    /// The calls of one kind so far.
    pub fn of(&self, kind: u16) -> Vec<Bytes> {
        self.calls
            .borrow()
            .iter()
            .filter(|(k, _)| *k == kind)
            .map(|(_, body)| body.clone())
            .collect()
    }

    pub async fn until(&self, holds: impl Fn(&Store) -> bool) {
        loop {
            let news = self.news.notified();
            if holds(self) {
                return;
            }
            news.await;
        }
    }
}

struct Ear(Rc<Store>);

impl Handler for Ear {
    fn handle_message(&self, _: &Rc<Peer>, kind: u16, _: Bytes) {
        panic!("told {kind:#x}");
    }

    fn handle_call(&self, _: &Rc<Peer>, kind: u16, body: Bytes, reply: Reply) {
        self.0.calls.borrow_mut().push((kind, body.clone()));
        let say = (self.0.script.borrow())(kind, &body);
        match say {
            Say::This(answer) => reply.send(answer),
            Say::Nothing => drop(reply),
            Say::Silence => self.0.silent.borrow_mut().push(reply),
        }
        self.0.news.notify_waiters();
    }
}

/// How many partitions the maps here have.
pub const PARTITIONS: usize = 32;

/// A map in which all partitions have this chain.
pub fn map(number: u64, chain: &[SocketAddr]) -> PlacementMap {
    let member = |addr: &SocketAddr| Member {
        id: u64::from(addr.port()),
        addr: *addr,
        since: 1,
    };
    let view = View {
        number,
        members: chain.iter().map(member).collect(),
        joining: vec![],
    };
    let store = |addr: &SocketAddr| StoreInfo {
        node: "s".into(),
        addr: *addr,
        id: 1,
        zone: "a".into(),
        state: StoreState::Up,
    };
    let stores = chain.iter().map(store).collect();
    PlacementMap {
        number,
        partitions: vec![view; PARTITIONS],
        stores,
        placement: Placement::ByJob,
    }
}

/// The process learns of a map.
pub fn tell_map(gateway: &Gateway, map: PlacementMap) {
    *gateway.map.borrow_mut() = Some(Rc::new(map));
    gateway.changed.notify_waiters();
}
