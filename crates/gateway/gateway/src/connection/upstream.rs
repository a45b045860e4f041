//! Connections to runners: one request at a time, kept for the next.
//!
//! A connection is driven by whoever has a request on it, in the same task: an event of a stream costs one wake-up, one read
//! and one write. Nobody drives one that is idle; it is looked at before it is used again, and now and then.

use crate::connection::connect_timeout::ConnectTimeout;
use crate::connection::pool::{ConnectionNumber, Pooled};
use bytes::Bytes;
use http1::{Observer, Socket, SocketIo};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{handshake, Connection, SendRequest};
use hyper::header::{HeaderName, CONNECTION};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;

/// Bytes that are not confirmed for so long end the connection: a machine that is dark says nothing.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A runner that does not say for how long it keeps an idle connection keeps it for less than a second.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(800);
/// How much before a runner closes an idle connection it is closed here.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(400);
/// The longest that an idle connection is kept, whatever the runner says.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(20);

/// Why there is no answer, or not all of one.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// No connection came up: nothing was sent.
    #[error("can't connect: {0}")]
    Connect(std::io::Error),
    /// It ended before a byte of the request was written.
    #[error("closed before anything was sent")]
    Unsent,
    /// It ended after something of the request was written: it may have run.
    #[error("broke off: {0}")]
    Off(hyper::Error),
}

impl Broken {
    /// Whether the request has certainly not run.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Broken::Connect(_) | Broken::Unsent)
    }
}

/// Counters what the system takes, so that it is known whether anything of a request is out.
#[derive(Clone, Default)]
struct Written(Rc<Cell<u64>>);

impl Observer for Written {
    fn wrote(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_add(bytes as u64));
    }
}

type Conn = Connection<TokioIo<SocketIo<Written>>, Full<Bytes>>;

/// A connection to a runner.
pub struct Upstream {
    sender: SendRequest<Full<Bytes>>,
    conn: Option<Pin<Box<Conn>>>,
    socket: Rc<Socket<Written>>,
    written: Written,
    /// Requests that were sent on it.
    sends: u32,
    /// Since when it is idle, and for how long it may be.
    idle_since: Instant,
    keep: Duration,
    /// It counts among those open to its runner.
    count: OpenConnection,
}

/// Counters one connection for as long as it is open.
pub struct OpenConnection {
    open: Rc<Cell<usize>>,
    number: ConnectionNumber,
}

impl OpenConnection {
    /// One more, with its number.
    pub fn new(open: &Rc<Cell<usize>>, number: ConnectionNumber) -> Self {
        open.set(open.get() + 1);
        OpenConnection {
            open: Rc::clone(open),
            number,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

async fn connect(addr: SocketAddr, within: &ConnectTimeout) -> std::io::Result<TcpStream> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_nodelay(true)?;
    let _ = SockRef::from(&socket).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let began = Instant::now();
    match tokio::time::timeout(within.most(), socket.connect(addr)).await {
        Ok(result) => {
            if result.is_ok() {
                within.record_connected(began.elapsed());
            }
            result
        }
        Err(_) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}

impl Upstream {
    /// Opens a connection, within the time that connections take.
    ///
    /// # Errors
    /// It did not come up.
    pub async fn open(
        addr: SocketAddr,
        count: OpenConnection,
        within: &ConnectTimeout,
    ) -> Result<Self, Broken> {
        let stream = connect(addr, within).await.map_err(Broken::Connect)?;
        let written = Written::default();
        let socket = Socket::new(stream, written.clone());
        let io = TokioIo::new(SocketIo(Rc::clone(&socket)));
        let (sender, conn) = handshake(io).await.map_err(|_| Broken::Unsent)?;
        let conn = Some(Box::pin(conn));
        let (idle_since, keep) = (Instant::now(), DEFAULT_KEEP_ALIVE);
        Ok(Upstream {
            sender,
            conn,
            socket,
            written,
            sends: 0,
            idle_since,
            keep,
            count,
        })
    }

    /// Whether no request was sent on it before the one under way.
    pub fn is_first(&self) -> bool {
        self.sends <= 1
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// The connection ended before.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Broken> {
        self.written.0.set(0);
        self.sends += 1;
        let mut answer = std::pin::pin!(self.sender.send_request(request));
        let mut conn = self.conn.take();
        let result = poll_fn(|cx| loop {
            let ended = match &mut conn {
                Some(driven) => driven.as_mut().poll(cx).is_ready(),
                None => false,
            };
            if ended {
                conn = None;
            }
            match answer.as_mut().poll(cx) {
                // What has come in is still to be read when the connection has ended.
                Poll::Pending if ended => {}
                polled => return polled,
            }
        })
        .await;
        self.conn = conn;
        result.map_err(|e| {
            if self.written.0.get() == 0 {
                Broken::Unsent
            } else {
                Broken::Off(e)
            }
        })
    }

    fn drive(&mut self, cx: &mut Context<'_>) {
        if let Some(conn) = &mut self.conn {
            if conn.as_mut().poll(cx).is_ready() {
                self.conn = None;
            }
        }
    }

    /// The next bytes of an answer's body; none at its end.
    pub fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
        body: &mut Incoming,
    ) -> Poll<Option<Result<Bytes, Broken>>> {
        // hyper reads for a body that was asked for, so the connection comes after it, and the body again after that.
        for _ in 0..2 {
            while let Poll::Ready(frame) = Pin::new(&mut *body).poll_frame(cx) {
                match frame {
                    None => return Poll::Ready(None),
                    Some(Err(e)) => return Poll::Ready(Some(Err(Broken::Off(e)))),
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) if !data.is_empty() => return Poll::Ready(Some(Ok(data))),
                        _ => {}
                    },
                }
            }
            self.drive(cx);
        }
        match Pin::new(&mut *body).poll_frame(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Ready(Some(Err(e))) => Poll::Ready(Some(Err(Broken::Off(e)))),
            Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) if !data.is_empty() => Poll::Ready(Some(Ok(data))),
                _ => {
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
            },
        }
    }

    /// The next bytes of an answer's body; none at its end.
    ///
    /// # Errors
    /// The connection ended before the body.
    pub async fn data(&mut self, body: &mut Incoming) -> Option<Result<Bytes, Broken>> {
        poll_fn(|cx| self.poll_data(cx, body)).await
    }

    /// The answer with this head has come whole: makes the connection ready for another request. None if it can't be used
    /// again.
    pub fn rest(mut self, head: &HeaderMap) -> Option<Self> {
        if closes(head) {
            return None;
        }
        let said = keep_alive(head);
        self.keep = said
            .map_or(DEFAULT_KEEP_ALIVE, |s| s.saturating_sub(KEEP_ALIVE_MARGIN))
            .min(MAX_KEEP_ALIVE);
        self.idle_since = Instant::now();
        let cx = &mut Context::from_waker(Waker::noop());
        self.drive(cx);
        (self.conn.is_some() && self.sender.poll_ready(cx).is_ready() && self.sender.is_ready())
            .then_some(self)
    }
}

impl Pooled for Upstream {
    fn number(&self) -> ConnectionNumber {
        self.count.number
    }

    fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// It is not kept longer than its runner keeps it, and nothing has come on it. `not_idempotent`: the system itself is asked,
    /// since what has come in this turn is not known yet.
    fn is_usable(&mut self, not_idempotent: bool) -> bool {
        self.is_worth_keeping()
            && self.sender.is_ready()
            && (!not_idempotent || self.socket.is_quiet())
    }

    /// Asks the system nothing: an end that has come is known without.
    fn is_worth_keeping(&mut self) -> bool {
        self.drive(&mut Context::from_waker(Waker::noop()));
        self.conn.is_some() && self.idle_for() < self.keep
    }
}

/// Whether a head says that its connection ends.
fn closes(head: &HeaderMap) -> bool {
    let named = |value: &[u8]| {
        value
            .split(|b| *b == b',')
            .any(|t| t.trim_ascii().eq_ignore_ascii_case(b"close"))
    };
    head.get_all(CONNECTION)
        .iter()
        .any(|value| named(value.as_bytes()))
}

/// For how long the runner keeps the connection, if it says so.
fn keep_alive(head: &HeaderMap) -> Option<Duration> {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    let text = head.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
