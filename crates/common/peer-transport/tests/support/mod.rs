//! Processes that listen on the loopback, and a handler that records what it receives.
#![allow(dead_code, reason = "each test uses a part of it")]

use bytes::Bytes;
use peer_transport::frame::{Decoder, Frame, Hello, Item};
use peer_transport::{Handler, Peer, Reply, Transport};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// Longer than anything takes that works.
pub const LONG: Duration = Duration::from_secs(20);

/// Calls of this kind get their body as the reply.
pub const ECHO: u16 = 1;
/// The replies to calls of this kind are dropped.
pub const DROP: u16 = 2;
/// The replies to calls of this kind are kept until the test asks for them.
pub const DEFER: u16 = 3;
/// Calls of this kind get as many bytes as their body says.
pub const MUCH: u16 = 4;

#[derive(Default)]
pub struct Received {
    pub messages: RefCell<Vec<(Rc<Peer>, u16, Bytes)>>,
    pub called: RefCell<Vec<u16>>,
    pub replies: RefCell<Vec<Reply>>,
    changed: Notify,
}

impl Received {
    /// Waits until the condition holds.
    pub async fn until(&self, is: impl Fn(&Self) -> bool) {
        while !is(self) {
            self.changed.notified().await;
        }
    }
}

impl Handler for Received {
    fn handle_message(&self, from: &Rc<Peer>, kind: u16, body: Bytes) {
        self.messages.borrow_mut().push((from.clone(), kind, body));
        self.changed.notify_one();
    }

    fn handle_call(&self, _from: &Rc<Peer>, kind: u16, body: Bytes, reply: Reply) {
        self.called.borrow_mut().push(kind);
        match kind {
            ECHO => reply.send(body),
            DEFER => self.replies.borrow_mut().push(reply),
            MUCH => reply
                .send(vec![0; u32::from_le_bytes(body[..].try_into().unwrap()) as usize].into()),
            _ => drop(reply),
        }
        self.changed.notify_one();
    }
}

/// A process with a transport.
pub struct Process {
    pub addr: SocketAddr,
    pub transport: Rc<Transport>,
    pub received: Rc<Received>,
    pub events: Rc<RefCell<Vec<String>>>,
    pub serving: JoinHandle<()>,
}

pub async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

pub async fn process(id: u64) -> Process {
    let (listener, addr) = listener().await;
    start(id, listener, addr)
}

pub fn start(id: u64, listener: TcpListener, addr: SocketAddr) -> Process {
    let events = Rc::new(RefCell::new(Vec::new()));
    let me = Peer {
        addr,
        id,
        node: format!("node-{id}").as_str().into(),
        zone: "zone".into(),
    };
    let transport = Transport::with_events(me, {
        let events = events.clone();
        move |event| events.borrow_mut().push(event.to_string())
    });
    let received = Rc::new(Received::default());
    let serving = spawn_local(transport.clone().serve(listener, received.clone()));
    Process {
        addr,
        transport,
        received,
        events,
        serving,
    }
}

/// Runs a test on one thread, as the processes do, and fails if it hangs.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let bounded = async {
        tokio::time::timeout(2 * LONG, test)
            .await
            .expect("the test hangs")
    };
    runtime.block_on(LocalSet::new().run_until(bounded));
}

pub fn hello(id: u64, addr: SocketAddr) -> Hello {
    Hello {
        addr,
        id,
        node: "raw".into(),
        zone: "zone".into(),
    }
}

pub fn frame_bytes(frame: &Frame) -> Vec<u8> {
    [&frame.header()[..], &frame.body].concat()
}

/// The other end of a connection, driven by the test.
pub struct Raw {
    pub stream: TcpStream,
    decoder: Decoder,
}

impl Raw {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            decoder: Decoder::new(peer_transport::MAX_BODY_BYTES),
        }
    }

    pub async fn connect(to: SocketAddr) -> Self {
        Self::new(TcpStream::connect(to).await.unwrap())
    }

    pub async fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).await.unwrap();
    }

    /// The next item, none when the connection ends.
    pub async fn next(&mut self) -> Option<Item> {
        loop {
            if let Some(item) = self.decoder.next_item().unwrap() {
                return Some(item);
            }
            match self.stream.read_buf(self.decoder.buffer()).await {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    pub async fn frame(&mut self) -> Option<Frame> {
        loop {
            match self.next().await? {
                Item::Hello(_) => {}
                Item::Frame(frame) => return Some(frame),
            }
        }
    }
}
