//! The connection to one address: opened when there is something to send, closed when idle, in a
//! backoff after a failure.

use crate::call::{CallError, CallResult, CallSender};
use crate::channel::{Batch, Channel};
use crate::context::Context;
use crate::events::ConnectionEvent;
use crate::frame::{Decoder, Frame, FrameError, FrameType, Item};
use crate::limits::{
    CONNECT_TIMEOUT, IDLE_TIMEOUT, MAX_BODY_BYTES, MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGE_BYTES,
    RECONNECT_BACKOFF_MAX, RECONNECT_BACKOFF_MIN,
};
use crate::pending::PendingCalls;
use crate::socket::tune;
use bytes::Bytes;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle, JoinSet};
use tokio::time::{sleep, Duration, Instant};

/// An attempt to connect that got no answer for so long has another one made beside it; the next
/// after twice as long. Many times what a connection takes within a region, and a small part of the
/// second after which the system repeats a packet.
const NEXT_ATTEMPT: Duration = Duration::from_millis(100);
/// Attempts under way for one connection: as many as fit in [`CONNECT_TIMEOUT`] by their growing
/// distances.
const MAX_ATTEMPTS: usize = 4;

/// One address that is connected to.
pub(crate) struct Outgoing {
    context: Rc<Context>,
    addr: SocketAddr,
    channel: Channel,
    state: RefCell<State>,
    /// Notified when the peer has shown that it is up.
    up: Notify,
}

#[derive(Default)]
struct State {
    task: Option<AbortHandle>,
    calls: PendingCalls<CallSender>,
    /// Failures in a row.
    failures: u32,
    backoff_until: Option<Instant>,
    /// Whether anything went out or came in since this was last looked at.
    used: bool,
}

/// Why a connection ended.
enum Ended {
    Idle,
    Closed,
    Rejected(FrameError),
    Lost(io::Error),
}

impl Outgoing {
    pub fn new(context: Rc<Context>, addr: SocketAddr) -> Self {
        Self {
            addr,
            channel: Channel::new(context.queued.clone()),
            context,
            state: RefCell::default(),
            up: Notify::new(),
        }
    }

    /// The peer has just opened a connection to this process: earlier failures say nothing about it
    /// any more. A backoff ends, and beside an attempt that is under way, which may have gone to a
    /// machine without power, another one is made.
    pub fn peer_is_up(&self) {
        let mut state = self.state.borrow_mut();
        state.failures = 0;
        state.backoff_until = None;
        drop(state);
        self.up.notify_waiters();
    }

    /// Whether nothing would be lost by forgetting the address.
    pub fn is_forgettable(&self) -> bool {
        let state = self.state.borrow();
        state.task.is_none()
            && state
                .backoff_until
                .is_none_or(|until| until <= Instant::now())
    }

    /// Queues a one-way message; false if it is dropped.
    pub fn send(self: &Rc<Self>, kind: u16, body: Bytes) -> bool {
        let frame = Frame {
            frame_type: FrameType::OneWay,
            kind,
            call_id: 0,
            body,
        };
        self.ensure_open() && self.channel.push(frame, MAX_QUEUED_MESSAGE_BYTES)
    }

    /// Queues a call and gives its id; none if it isn't taken.
    pub fn call(self: &Rc<Self>, kind: u16, body: Bytes, sender: CallSender) -> Option<u32> {
        if !self.ensure_open() {
            return None;
        }
        let mut state = self.state.borrow_mut();
        let call_id = state.calls.next_id();
        let frame = Frame {
            frame_type: FrameType::Call,
            kind,
            call_id,
            body,
        };
        if !self.channel.push(frame, MAX_QUEUED_BYTES) {
            return None;
        }
        state.calls.insert(call_id, sender);
        Some(call_id)
    }

    /// The caller waits no longer: what is known of the call.
    pub fn abandon(&self, call_id: u32) -> CallError {
        let waited = self.state.borrow_mut().calls.take(call_id).is_some();
        if waited && self.channel.take_back(call_id) {
            CallError::NotSent
        } else {
            CallError::Unknown
        }
    }

    /// Ends the connection and all its calls.
    pub fn abort(&self) {
        let task = self.state.borrow_mut().task.take();
        if let Some(task) = task {
            task.abort();
        }
        self.fail_all();
    }

    /// Makes sure that there is a connection or that one is being opened; false in a backoff.
    fn ensure_open(self: &Rc<Self>) -> bool {
        let mut state = self.state.borrow_mut();
        state.used = true;
        if state.task.is_none() {
            if state
                .backoff_until
                .is_some_and(|until| Instant::now() < until)
            {
                return false;
            }
            state.backoff_until = None;
            state.task = Some(spawn_local(self.clone().run()).abort_handle());
        }
        true
    }

    async fn run(self: Rc<Self>) {
        let ended = self.connection().await;
        self.handle_end(ended);
    }

    fn handle_end(&self, ended: Ended) {
        if !matches!(ended, Ended::Idle) {
            let mut state = self.state.borrow_mut();
            let doubled = RECONNECT_BACKOFF_MIN.saturating_mul(1 << state.failures.min(8));
            let range = doubled.min(RECONNECT_BACKOFF_MAX - RECONNECT_BACKOFF_MIN);
            state.failures = state.failures.saturating_add(1);
            let backoff = RECONNECT_BACKOFF_MIN + range.mul_f64(self.context.random());
            state.backoff_until = Some(Instant::now() + backoff);
        }
        self.state.borrow_mut().task = None;
        let dropped = self.fail_all();
        self.context
            .count(|counters| counters.messages_dropped += dropped);
        let peer = self.addr;
        match ended {
            Ended::Idle | Ended::Closed => {}
            Ended::Rejected(source) => {
                self.context
                    .event(ConnectionEvent::Rejected { peer, source });
            }
            Ended::Lost(source) => self.context.event(ConnectionEvent::Lost { peer, source }),
        }
    }

    /// Ends all calls; gives how many one-way messages were lost.
    fn fail_all(&self) -> u64 {
        let unsent = self.channel.clear();
        let calls = self.state.borrow_mut().calls.take_all();
        for (call_id, sender) in calls {
            let certain = unsent.calls.binary_search(&call_id).is_ok();
            let error = if certain {
                CallError::NotSent
            } else {
                CallError::Unknown
            };
            // The caller may have left.
            let _ = sender.send(Err(error));
        }
        unsent.messages
    }

    /// Whether nothing went over the connection since the last look and no call is open.
    fn take_idle(&self) -> bool {
        let mut state = self.state.borrow_mut();
        !std::mem::take(&mut state.used) && state.calls.is_empty()
    }

    /// Opens the connection. An attempt that gets no answer is not waited for: another one is made
    /// beside it after a while, and when the peer shows meanwhile that it is up. The first one's
    /// packets may have gone to a machine that had no power yet, and the system repeats them only
    /// after a second.
    async fn connect(&self) -> io::Result<TcpStream> {
        let mut attempts = JoinSet::new();
        let mut delay = NEXT_ATTEMPT;
        attempts.spawn_local(TcpStream::connect(self.addr));
        loop {
            let more = attempts.len() < MAX_ATTEMPTS;
            tokio::select! {
                biased;
                Some(ended) = attempts.join_next() => {
                    return ended.unwrap_or_else(|e| Err(io::Error::other(e)));
                }
                () = self.up.notified(), if more => {}
                () = sleep(delay), if more => delay *= 2,
            }
            attempts.spawn_local(TcpStream::connect(self.addr));
        }
    }

    async fn connection(&self) -> Ended {
        let mut stream = match tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Ended::Lost(error),
            Err(_) => return Ended::Lost(io::ErrorKind::TimedOut.into()),
        };
        tune(&stream);
        let (mut reader, mut writer) = stream.split();
        let hello = self.context.hello.clone();
        self.channel.count_hello(hello.len());
        let write = async {
            let mut batch = Batch::new(hello);
            loop {
                if let Err(error) = self.channel.write(&mut batch, &mut writer).await {
                    return Ended::Lost(error);
                }
                self.channel.wait_for_frames().await;
            }
        };
        let idle = async {
            // Looked at now and then instead of a timer that is reset with every frame: 30 to 45 s
            // of silence.
            let mut idle = 0;
            while idle < 2 {
                sleep(IDLE_TIMEOUT / 2).await;
                idle = if self.take_idle() { idle + 1 } else { 0 };
            }
            Ended::Idle
        };
        tokio::select! {
            biased;
            ended = self.read(&mut reader) => ended,
            ended = write => ended,
            ended = idle => ended,
        }
    }

    async fn read(&self, reader: &mut ReadHalf<'_>) -> Ended {
        let mut decoder = Decoder::new(MAX_BODY_BYTES);
        loop {
            match reader.read_buf(decoder.buffer()).await {
                Ok(0) => return Ended::Closed,
                Ok(_) => {}
                Err(error) => return Ended::Lost(error),
            }
            loop {
                match decoder.next_item() {
                    Ok(Some(Item::Hello(hello))) => {
                        self.state.borrow_mut().failures = 0;
                        self.context.learn_peer(hello);
                    }
                    Ok(Some(Item::Frame(frame))) => {
                        if let Err(error) = self.handle_frame(frame) {
                            return Ended::Rejected(error);
                        }
                    }
                    Ok(None) => break,
                    Err(error) => return Ended::Rejected(error),
                }
            }
        }
    }

    fn handle_frame(&self, frame: Frame) -> Result<(), FrameError> {
        let result: CallResult = match frame.frame_type {
            FrameType::Reply => Ok(frame.body),
            FrameType::NoReply => Err(CallError::Unknown),
            // Messages and calls go one way on a connection, replies the other.
            other @ (FrameType::OneWay | FrameType::Call) => return Err(other.unexpected()),
        };
        let sender = {
            let mut state = self.state.borrow_mut();
            state.used = true;
            state.calls.take(frame.call_id)
        };
        // A call that was abandoned may still be answered.
        if let Some(sender) = sender {
            let _ = sender.send(result);
        }
        Ok(())
    }
}
