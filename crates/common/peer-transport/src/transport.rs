//! The transport as its owner sees it: send, call, serve.

use crate::call::{CallError, CallResult, CallSender};
use crate::context::{Context, EventCallback};
use crate::events::{ConnectionEvent, Counters};
use crate::handler::Handler;
use crate::incoming;
use crate::limits::{MAX_BODY_BYTES, MAX_OPEN_CALLS};
use crate::local::LocalDelivery;
use crate::outgoing::Outgoing;
use crate::peer::Peer;
use crate::registry::Registry;
use bytes::Bytes;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// The connections of a process to its peers. Belongs to one thread, inside a `LocalSet`.
pub struct Transport {
    context: Rc<Context>,
    registry: Rc<Registry>,
    local: Rc<LocalDelivery>,
    open_calls: Cell<usize>,
}

impl Transport {
    /// Without connections yet, for the process that `local_peer` names.
    pub fn new(local_peer: Peer) -> Rc<Self> {
        Self::build(local_peer, None)
    }

    /// Like [`Transport::new`]; `events` is called for what happens to connections.
    pub fn with_events(local_peer: Peer, events: impl Fn(ConnectionEvent) + 'static) -> Rc<Self> {
        Self::build(local_peer, Some(Box::new(events)))
    }

    fn build(local_peer: Peer, events: Option<EventCallback>) -> Rc<Self> {
        let context = Rc::new(Context::new(local_peer, events));
        Rc::new(Self {
            registry: Rc::new(Registry::new(context.clone())),
            local: Rc::new(LocalDelivery::new(context.clone())),
            context,
            open_calls: Cell::new(0),
        })
    }

    /// This process as a peer.
    pub fn local_peer(&self) -> &Rc<Peer> {
        &self.context.local_peer
    }

    /// Whether the address is this process's own: what is sent there goes to the handler without a
    /// socket.
    pub fn is_local(&self, addr: SocketAddr) -> bool {
        addr == self.context.local_peer.addr
    }

    /// The process that last sent a hello from or at the address.
    pub fn peer(&self, addr: SocketAddr) -> Option<Rc<Peer>> {
        self.context.peer(addr)
    }

    /// What was left out since the start.
    pub fn counters(&self) -> Counters {
        self.context.counters()
    }

    /// Bytes that wait to be written, over all connections.
    pub fn queued_bytes(&self) -> usize {
        self.context.queued.bytes.get()
    }

    /// Sends a one-way message: in order on a connection, lost if that breaks, dropped if the queue
    /// is full or in a backoff.
    pub fn send(&self, to: SocketAddr, kind: u16, body: Bytes) {
        let taken = if body.len() > MAX_BODY_BYTES {
            false
        } else if self.is_local(to) {
            self.local.push(kind, body, None)
        } else {
            self.registry
                .outgoing(to)
                .is_some_and(|outgoing| outgoing.send(kind, body))
        };
        if !taken {
            self.context
                .count(|counters| counters.messages_dropped += 1);
        }
    }

    /// Calls a peer and waits for the reply for at most `timeout`.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if the peer certainly hasn't received the call,
    /// [`CallError::Unknown`] if it may have.
    pub async fn call(
        &self,
        to: SocketAddr,
        kind: u16,
        body: Bytes,
        timeout: Duration,
    ) -> CallResult {
        let (sender, reply) = oneshot::channel();
        let mut open = self.begin_call(to, kind, body, sender).ok_or_else(|| {
            self.context.count(|counters| counters.calls_rejected += 1);
            CallError::NotSent
        })?;
        match tokio::time::timeout(timeout, reply).await {
            Ok(result) => {
                open.sent = None;
                result.unwrap_or(Err(CallError::Unknown))
            }
            Err(_) => Err(open.abandon()),
        }
    }

    fn begin_call(
        &self,
        to: SocketAddr,
        kind: u16,
        body: Bytes,
        sender: CallSender,
    ) -> Option<OpenCall<'_>> {
        if body.len() > MAX_BODY_BYTES || self.open_calls.get() >= MAX_OPEN_CALLS {
            return None;
        }
        let sent = if self.is_local(to) {
            self.local.push(kind, body, Some(sender)).then_some(None)?
        } else {
            let outgoing = self.registry.outgoing(to)?;
            let call_id = outgoing.call(kind, body, sender)?;
            Some(SentCall { outgoing, call_id })
        };
        self.open_calls.set(self.open_calls.get() + 1);
        Some(OpenCall {
            open_calls: &self.open_calls,
            sent,
        })
    }

    /// Accepts connections and hands what they carry to the handler, for ever. From this call on,
    /// messages and calls to the own address reach it too.
    pub fn serve(
        self: Rc<Self>,
        listener: TcpListener,
        handler: Rc<dyn Handler>,
    ) -> impl Future<Output = ()> {
        self.context.set_handler(&handler);
        async move { incoming::serve(&self.registry, listener, handler).await }
    }

    /// Waits until everything queued has been handed to the system, for at most `timeout`; whether
    /// it was.
    pub async fn flush(&self, timeout: Duration) -> bool {
        let queued = &self.context.queued;
        let drained = async {
            loop {
                let drained = queued.drained.notified();
                if queued.bytes.get() == 0 {
                    return;
                }
                drained.await;
            }
        };
        tokio::time::timeout(timeout, drained).await.is_ok()
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.local.abort();
        self.registry.abort_outgoing();
    }
}

/// A call that was sent over a connection.
struct SentCall {
    outgoing: Rc<Outgoing>,
    call_id: u32,
}

/// A call that waits; a caller that leaves takes it back.
struct OpenCall<'a> {
    open_calls: &'a Cell<usize>,
    sent: Option<SentCall>,
}

impl OpenCall<'_> {
    fn abandon(&mut self) -> CallError {
        let sent = self.sent.take();
        sent.map_or(CallError::Unknown, |sent| {
            sent.outgoing.abandon(sent.call_id)
        })
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.open_calls.set(self.open_calls.get().saturating_sub(1));
        self.abandon();
    }
}
