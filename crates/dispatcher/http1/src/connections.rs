//! Clients' connections: how they are accepted, kept within bounds, ended, and how it is seen that a client has left.
//!
//! What is requested on them and how it is answered is left to a [`RequestHandler`].

use crate::connection_state::ConnectionState;
use crate::connection_table::{ConnectionTable, Eviction};
use crate::socket::{Socket, SocketIo};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::{service_fn, HttpService};
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::Instant;
use tracing::{debug, warn};

/// What a client may still send after its last response, and for how long, before the connection is closed.
const LINGER_BYTES: u64 = 256 * 1024;
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// How often connections are checked for being overdue.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// How long to wait before looking again whether there is capacity for a connection.
const CAPACITY_RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Connections beyond the limit that are still accepted, to be rejected with a `Retry-After`.
const MAX_OVERFLOW: usize = 16;
/// How long a last look for requests takes before a connection is closed, and over how many such spans the closing of
/// all is spread, so that none waits long between its look and its closing.
const CLOSING_CHECK_INTERVAL: Duration = Duration::from_millis(4);
const CLOSING_SLOTS: u64 = 32;
/// How long to wait before accepting again after the system could not.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// How far the program is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It was told to stop: it still serves, and says that connections end.
    Draining,
    /// It was told to stop, and another process accepts on the same socket: it says that connections end.
    HandedOver,
    /// It takes no new connection and closes each that waits for nothing.
    Closing,
}

/// How requests are read from a connection.
#[derive(Debug, Clone, Copy)]
pub struct ProtocolLimits {
    /// A connection on which no head was received for so long is closed. Needs a timer a request: where heads are waited for
    /// by [`ConnectionTable`] alone, it is left out.
    pub head_timeout: Option<Duration>,
    /// Bytes of the largest head, where it is less than what is read at a time.
    pub max_head_bytes: Option<usize>,
    /// Bytes that are read at a time.
    pub buffer_bytes: usize,
    /// Whether responses carry the time of day.
    pub sends_date: bool,
}

/// The connection on which a request was received.
pub struct RequestContext<'a> {
    /// What its connection waits for.
    pub state: &'a Rc<ConnectionState>,
    /// Its socket.
    pub socket: &'a Rc<Socket<Rc<ConnectionState>>>,
    /// The connection is beyond the limit, accepted only to be rejected with a `Retry-After`.
    pub over_limit: bool,
}

/// Answers requests.
pub trait RequestHandler: 'static {
    /// The body of a response.
    type Body: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + 'static;

    /// The response to a request. Notes in the connection's state when the request was received completely
    /// ([`ConnectionState::request_received`]) and when its response is handed over to be written
    /// ([`ConnectionState::response_started`]). The future is dropped when the client leaves.
    fn handle(
        &self,
        request: Request<Incoming>,
        context: RequestContext<'_>,
    ) -> impl Future<Output = Response<Self::Body>>;
}

/// The connections of one listener.
pub struct Connections {
    phase: watch::Receiver<Phase>,
    /// Connections that may be open together.
    max_connections: Cell<usize>,
    limits: Cell<ProtocolLimits>,
    table: ConnectionTable,
    closed: Notify,
}

/// hyper's side of a connection.
fn protocol(limits: ProtocolLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    if let Some(timeout) = limits.head_timeout {
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(timeout);
    }
    if let Some(max_head_bytes) = limits.max_head_bytes {
        builder.max_header_size(max_head_bytes);
    }
    builder
        .auto_date_header(limits.sends_date)
        .max_buf_size(limits.buffer_bytes);
    builder
}

/// Ends a connection so that its last response arrives: closed with something unread, it would be reset, and a
/// response that the client has not read yet would be lost.
async fn linger<S>(conn: http1::Connection<TokioIo<SocketIo<Rc<ConnectionState>>>, S>)
where
    S: HttpService<Incoming, ResBody: Body<Error: Into<Box<dyn Error + Send + Sync>>> + 'static>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut stream = conn.into_parts().io.into_inner();
    if stream.shutdown().await.is_ok() {
        let unread = &mut stream.take(LINGER_BYTES);
        let _ = tokio::time::timeout(
            LINGER_TIMEOUT,
            tokio::io::copy(unread, &mut tokio::io::sink()),
        )
        .await;
    }
}

impl Connections {
    /// No connection yet; at most so many together.
    pub fn new(
        phase: watch::Receiver<Phase>,
        max_connections: usize,
        limits: ProtocolLimits,
    ) -> Self {
        let (max_connections, limits) = (Cell::new(max_connections), Cell::new(limits));
        Connections {
            phase,
            max_connections,
            limits,
            table: ConnectionTable::default(),
            closed: Notify::new(),
        }
    }

    /// So many connections may be open together from now on; those that are open stay.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.max_connections.set(max_connections);
    }

    /// How connections that are accepted from now on are read.
    pub fn set_protocol_limits(&self, limits: ProtocolLimits) {
        self.limits.set(limits);
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.table.len()
    }

    /// All that are open, and what each waits for.
    pub fn table(&self) -> &ConnectionTable {
        &self.table
    }

    /// How far the program is.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Accepts connections until another process does or the phase is `Closing`, and what the system has accepted for
    /// this one alone by then.
    pub async fn accept<A: RequestHandler>(self: Rc<Self>, handler: Rc<A>, socket: TcpListener) {
        // Those that are accepted from it have it from the first byte on.
        if let Err(e) = SockRef::from(&socket).set_tcp_nodelay(true) {
            debug!("can't set TCP_NODELAY: {e}");
        }
        let mut phase = self.phase.clone();
        loop {
            if *self.phase.borrow() == Phase::HandedOver {
                return;
            }
            let accepted = tokio::select! {
                biased;
                accepted = socket.accept() => accepted,
                _ = phase.wait_for(|p| *p >= Phase::HandedOver) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let over_limit = self.wait_for_capacity().await;
                    let (number, state) = self.table.insert();
                    let handler = Rc::clone(&handler);
                    tokio::task::spawn_local(
                        Rc::clone(&self)
                            .serve_connection(handler, stream, over_limit, number, state),
                    );
                }
                Err(e) => {
                    // Out of descriptors, or the client was gone before: neither may end the loop.
                    warn!("can't accept: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until there is capacity for one more connection, and evicts one where nobody waits for it. Tells whether that
    /// connection is beyond the limit, accepted only to be rejected.
    async fn wait_for_capacity(&self) -> bool {
        while self.open() >= self.max_connections.get() {
            let may_overflow = self.open() < self.max_connections.get() + MAX_OVERFLOW;
            if self.table.evict_one() == Eviction::Impossible && may_overflow {
                return true;
            }
            // The rest waits in the system's queue.
            let _ = tokio::time::timeout(CAPACITY_RECHECK_INTERVAL, self.closed.notified()).await;
        }
        false
    }

    /// Closes overdue connections, as long as the program runs.
    pub async fn close_overdue(&self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.table.close_overdue();
        }
    }

    /// Returns once a connection that waits for nothing may be closed. Requests that have arrived, but were not read yet,
    /// are read first: the system is asked for them only when a timer or a socket wakes the program.
    async fn closing(
        &self,
        state: &ConnectionState,
        number: u64,
        socket: &Socket<Rc<ConnectionState>>,
    ) {
        let mut phase = self.phase.clone();
        if phase.wait_for(|p| *p == Phase::Closing).await.is_err() {
            return std::future::pending().await;
        }
        tokio::time::sleep(CLOSING_CHECK_INTERVAL * (1 + (number % CLOSING_SLOTS) as u32)).await;
        let until = Instant::now() + self.table.timeouts().request;
        while (state.has_partial_request() || socket.has_unread()) && Instant::now() < until {
            tokio::time::sleep(CLOSING_CHECK_INTERVAL).await;
        }
    }

    async fn serve_connection<A: RequestHandler>(
        self: Rc<Self>,
        handler: Rc<A>,
        stream: TcpStream,
        over_limit: bool,
        number: u64,
        state: Rc<ConnectionState>,
    ) {
        if let Err(e) = stream.set_nodelay(true) {
            debug!("can't set TCP_NODELAY: {e}");
        }
        let socket = Socket::new(stream, Rc::clone(&state));
        let service = service_fn(|request| {
            let response = handler.handle(
                request,
                RequestContext {
                    state: &state,
                    socket: &socket,
                    over_limit,
                },
            );
            Box::pin(async { Ok::<_, Infallible>(response.await) })
        });
        let mut conn = protocol(self.limits.get())
            .serve_connection(TokioIo::new(SocketIo(Rc::clone(&socket))), service);
        let served = async {
            let result = tokio::select! {
                biased;
                result = poll_fn(|cx| conn.poll_without_shutdown(cx)) => result,
                () = self.closing(&state, number, &socket) => {
                    Pin::new(&mut conn).graceful_shutdown();
                    poll_fn(|cx| conn.poll_without_shutdown(cx)).await
                }
            };
            if let Err(e) = result {
                debug!("client connection ended: {e}");
            }
            linger(conn).await;
        };
        let evicted = async {
            loop {
                state.evicted().await;
                // A request may just have arrived that was not read yet.
                if state.is_overdue() || !socket.has_unread() {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            () = served => {}
            () = evicted => debug!("connection without a request closed"),
            // Dropped with it, the flow tells the decisions.
            () = poll_fn(|cx| if state.is_responding() { socket.poll_gone(cx) } else { Poll::Pending }) => {
                debug!("client left before its response");
            }
        }
        drop(socket);
        // The socket is closed by now.
        self.table.remove(number);
        self.closed.notify_one();
    }
}
