//! A stand-in of a controller: a root of the tree of relays that tells what a test sets.

use bytes::Bytes;
use peer_transport::{Handler, Peer, Reply, Transport};
use relay_tree::{Follow, Message, Role, Stamp, StateTable};
use replicated_state::{encode_addresses, CONTROLLERS_KEY, HELLO, RELAY};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::Instant;

pub struct Controller {
    pub addr: SocketAddr,
    pub links: Rc<Transport>,
    state_table: RefCell<StateTable>,
    since: Instant,
    /// How old what it tells is; none: in touch.
    pub age: Cell<u64>,
    pub hellos: Cell<u64>,
}

impl Controller {
    pub async fn new() -> Rc<Self> {
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = socket.local_addr().unwrap();
        let me = Peer {
            addr,
            id: 11,
            node: "edge-a-0".into(),
            zone: "a".into(),
        };
        let controller = Rc::new(Controller {
            addr,
            links: Transport::new(me),
            state_table: RefCell::new(StateTable::new(11, addr, Follow::All, Role::Root)),
            since: Instant::now(),
            age: Cell::new(0),
            hellos: Cell::new(0),
        });
        controller.set(
            CONTROLLERS_KEY,
            Stamp(1, 0),
            Some(encode_addresses(&[addr])),
        );
        spawn_local(
            Rc::clone(&controller.links).serve(socket, Rc::new(Ear(Rc::clone(&controller)))),
        );
        let ticking = Rc::clone(&controller);
        spawn_local(async move {
            let mut ticks = tokio::time::interval(Duration::from_millis(20));
            loop {
                ticks.tick().await;
                let now = ticking.now();
                ticking
                    .state_table
                    .borrow_mut()
                    .report_quorum_contact(now, ticking.age.get());
                ticking.state_table.borrow_mut().tick(now);
                ticking.send();
            }
        });
        controller
    }

    fn now(&self) -> u64 {
        self.since.elapsed().as_millis() as u64 + 1
    }

    pub fn set(&self, key: &str, stamp: Stamp, value: Option<Bytes>) {
        self.state_table
            .borrow_mut()
            .set(self.now(), key, stamp, value);
        self.send();
    }

    pub fn configuration(&self, gen: u64, body: &str) {
        self.set(
            "config/next",
            Stamp(gen, 0),
            Some(Bytes::copy_from_slice(body.as_bytes())),
        );
    }

    pub fn activate(&self, gen: u64) {
        self.set("config/active", Stamp(gen, 0), Some(Bytes::new()));
    }

    /// How many processes have an entry, of those that follow.
    pub fn confirmed(&self, key: &str, stamp: Stamp) -> usize {
        self.state_table
            .borrow()
            .acknowledged(key, stamp)
            .acknowledged
    }

    fn send(&self) {
        let messages = self.state_table.borrow_mut().take_messages();
        for (to, msg) in messages {
            self.links.send(to, RELAY, msg.encode());
        }
    }
}

struct Ear(Rc<Controller>);

impl Handler for Ear {
    fn handle_message(&self, from: &Rc<Peer>, kind: u16, body: Bytes) {
        match kind {
            RELAY => {
                let now = self.0.now();
                self.0.state_table.borrow_mut().handle_message(
                    now,
                    from.addr,
                    Message::decode(&body).unwrap(),
                );
                self.0.send();
            }
            HELLO => self.0.hellos.set(self.0.hellos.get() + 1),
            _ => panic!("a frame of kind {kind}"),
        }
    }

    fn handle_call(&self, _: &Rc<Peer>, _: u16, _: Bytes, _: Reply) {}
}
