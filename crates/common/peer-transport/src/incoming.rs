//! Connections that peers have opened: their messages and calls go to the handler in order, replies
//! go back.

use crate::accepted::Accepted;
use crate::channel::{Batch, Channel};
use crate::events::ConnectionEvent;
use crate::frame::{Decoder, Frame, FrameError, FrameType, Hello, Item};
use crate::handler::Handler;
use crate::limits::{HELLO_TIMEOUT, MAX_BODY_BYTES, MAX_CALLS_PER_CONNECTION, MAX_INCOMING};
use crate::peer::Peer;
use crate::registry::Registry;
use crate::reply::{Reply, Route};
use crate::socket::tune;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// After a failed accept (no descriptor free, mostly) nothing is accepted for a moment.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Why a connection ended.
enum Ended {
    Closed,
    Rejected(FrameError),
    Lost(std::io::Error),
    HelloTimeout,
    Superseded,
}

/// Accepts connections for ever.
pub(crate) async fn serve(
    registry: &Rc<Registry>,
    listener: TcpListener,
    handler: Rc<dyn Handler>,
) {
    let context = &registry.context;
    let mut tasks = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            biased;
            Some(_) = tasks.join_next(), if !tasks.is_empty() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((_, from)) if tasks.len() >= MAX_INCOMING => {
                context.event(ConnectionEvent::TooMany { from });
            }
            Ok((stream, from)) => {
                let connection = Connection {
                    registry: registry.clone(),
                    accepted: Rc::new(Accepted::new(Channel::new(context.queued.clone()))),
                    handler: handler.clone(),
                };
                tasks.spawn_local(connection.run(stream, from));
            }
            Err(source) => {
                context.event(ConnectionEvent::AcceptFailed { source });
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// The task of an accepted connection.
struct Connection {
    registry: Rc<Registry>,
    accepted: Rc<Accepted>,
    handler: Rc<dyn Handler>,
}

impl Connection {
    async fn run(self, mut stream: TcpStream, from: SocketAddr) {
        tune(&stream);
        let mut peer = None;
        let ended = self.exchange(&mut stream, &mut peer).await;
        self.accepted.end();
        if let Some(peer) = &peer {
            self.registry.remove_incoming(peer.addr, &self.accepted);
        }
        let from = peer.map_or(from, |peer| peer.addr);
        let context = &self.registry.context;
        match ended {
            Ended::Closed => {}
            Ended::Rejected(source) => {
                context.event(ConnectionEvent::Rejected { peer: from, source });
            }
            Ended::Lost(source) => context.event(ConnectionEvent::Lost { peer: from, source }),
            Ended::HelloTimeout => context.event(ConnectionEvent::HelloTimeout { from }),
            Ended::Superseded => context.event(ConnectionEvent::Superseded { peer: from }),
        }
    }

    /// Reads and writes until the connection ends. `peer` is set once the hello has come.
    async fn exchange(&self, stream: &mut TcpStream, peer: &mut Option<Rc<Peer>>) -> Ended {
        let (mut reader, mut writer) = stream.split();
        let channel = &self.accepted.channel;
        let hello = self.registry.context.hello.clone();
        channel.count_hello(hello.len());
        let write = async {
            let mut batch = Batch::new(hello);
            loop {
                if let Err(error) = channel.write(&mut batch, &mut writer).await {
                    return Ended::Lost(error);
                }
                channel.wait_for_frames().await;
            }
        };
        tokio::select! {
            biased;
            () = self.accepted.wait_closed() => Ended::Superseded,
            // First, so that the hello goes out even to a peer whose own is rejected.
            ended = write => ended,
            ended = self.read(&mut reader, peer) => ended,
        }
    }

    async fn read(&self, reader: &mut ReadHalf<'_>, peer: &mut Option<Rc<Peer>>) -> Ended {
        let mut decoder = Decoder::new(MAX_BODY_BYTES);
        let hello = read_hello(&mut decoder, reader);
        let from = match tokio::time::timeout(HELLO_TIMEOUT, hello).await {
            Ok(Ok(hello)) => self.registry.context.learn_peer(hello),
            Ok(Err(ended)) => return ended,
            Err(_) => return Ended::HelloTimeout,
        };
        self.registry.add_incoming(from.addr, &self.accepted);
        *peer = Some(from.clone());
        loop {
            loop {
                // The handler may have ended the connection, and then nothing of it counts any
                // more.
                if self.accepted.is_closed() {
                    return Ended::Superseded;
                }
                match decoder.next_item() {
                    Ok(Some(Item::Frame(frame))) => {
                        if let Err(error) = self.deliver(&from, frame) {
                            return Ended::Rejected(error);
                        }
                    }
                    Ok(_) => break,
                    Err(error) => return Ended::Rejected(error),
                }
            }
            if let Err(ended) = read_some(&mut decoder, reader).await {
                return ended;
            }
        }
    }

    fn deliver(&self, from: &Rc<Peer>, frame: Frame) -> Result<(), FrameError> {
        match frame.frame_type {
            FrameType::OneWay => self.handler.handle_message(from, frame.kind, frame.body),
            FrameType::Call => {
                let open_calls = self.accepted.call_received();
                let (to, call_id) = (self.accepted.clone(), frame.call_id);
                let reply = Reply::new(Route::Connection { to, call_id });
                if open_calls <= MAX_CALLS_PER_CONNECTION {
                    self.handler
                        .handle_call(from, frame.kind, frame.body, reply);
                }
            }
            // Messages and calls go one way on a connection, replies the other.
            other @ (FrameType::Reply | FrameType::NoReply) => return Err(other.unexpected()),
        }
        Ok(())
    }
}

async fn read_hello(decoder: &mut Decoder, reader: &mut ReadHalf<'_>) -> Result<Hello, Ended> {
    loop {
        match decoder.next_item() {
            Ok(Some(Item::Hello(hello))) => return Ok(hello),
            Ok(_) => {}
            Err(error) => return Err(Ended::Rejected(error)),
        }
        read_some(decoder, reader).await?;
    }
}

async fn read_some(decoder: &mut Decoder, reader: &mut ReadHalf<'_>) -> Result<(), Ended> {
    match reader.read_buf(decoder.buffer()).await {
        Ok(0) => Err(Ended::Closed),
        Ok(_) => Ok(()),
        Err(error) => Err(Ended::Lost(error)),
    }
}
