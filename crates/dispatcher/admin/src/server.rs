//! The listeners, on a thread of their own: the loop that carries jobs may be behind by more than a
//! caller waits.

use crate::handlers::Handlers;
use event_loop::OperatorHandle;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, LocalSet};
use tracing::{debug, info, warn};

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Delay before accepting again after the system could not.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Interval of the attempts to bind an address that another process has.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// How long an answer may take to be read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Connections that may be open together; one more closes the one that has waited longest for a
    /// complete request.
    pub max_connections: usize,
    /// A connection is closed when no complete request has come for so long.
    pub request_timeout: Duration,
}

/// Where calls come.
#[derive(Debug)]
pub enum AdminListener {
    /// On this socket.
    Bound(std::net::TcpListener),
    /// On this address, as soon as the process that has it gives it up.
    OnceFree(SocketAddr),
}

/// Answers calls on these sockets, on a thread of its own, for as long as the program runs.
///
/// # Errors
/// The thread or its runtime can't be started.
pub fn start(
    operators: OperatorHandle,
    metrics: PrometheusHandle,
    classes: Vec<String>,
    listeners: Vec<(AdminListener, ConnectionLimits)>,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let serve = move || {
        let handlers = Rc::new(Handlers::new(operators, metrics, classes));
        LocalSet::new().block_on(&runtime, async {
            for (listener, limits) in listeners {
                let server = Rc::new(Server {
                    handlers: Rc::clone(&handlers),
                    limits,
                });
                spawn_local(async move {
                    match bind(listener).await {
                        Ok(socket) => server.accept(socket).await,
                        Err(e) => warn!("operators can't be answered: {e}"),
                    }
                });
            }
            std::future::pending::<()>().await;
        });
    };
    std::thread::Builder::new()
        .name("admin".into())
        .spawn(serve)
        .map(drop)
}

async fn bind(listener: AdminListener) -> io::Result<TcpListener> {
    match listener {
        AdminListener::Bound(socket) => {
            socket.set_nonblocking(true)?;
            TcpListener::from_std(socket)
        }
        AdminListener::OnceFree(addr) => loop {
            match TcpListener::bind(addr).await {
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(BIND_RETRY_INTERVAL).await;
                }
                bound => {
                    info!("operators are answered on {addr} by this process now");
                    return bound;
                }
            }
        },
    }
}

/// One open connection.
struct OpenConnection {
    /// Its request has not come completely.
    waiting: Cell<bool>,
    close: Notify,
}

/// The open connections in the order in which they were accepted.
type OpenConnections = Rc<RefCell<BTreeMap<u64, Rc<OpenConnection>>>>;

/// Serves the connections of one listener.
struct Server {
    handlers: Rc<Handlers>,
    limits: ConnectionLimits,
}

impl Server {
    async fn accept(self: Rc<Self>, socket: TcpListener) {
        let open = OpenConnections::default();
        for number in 0.. {
            let stream = accept_one(&socket).await;
            if !self.make_room(&open) {
                debug!("an operator's connection over the limit is closed");
                continue;
            }
            let connection = Rc::new(OpenConnection {
                waiting: Cell::new(true),
                close: Notify::new(),
            });
            open.borrow_mut().insert(number, Rc::clone(&connection));
            let (server, open) = (Rc::clone(&self), Rc::clone(&open));
            spawn_local(async move {
                tokio::select! {
                    biased;
                    () = connection.close.notified() => {
                        debug!("an operator's connection that asks nothing makes room");
                    }
                    () = server.serve(stream, &connection) => {}
                }
                open.borrow_mut().remove(&number);
            });
        }
    }

    /// Closes the connection that has waited longest if there are too many; false if none waits.
    fn make_room(&self, open: &OpenConnections) -> bool {
        if open.borrow().len() < self.limits.max_connections {
            return true;
        }
        let longest = open
            .borrow()
            .values()
            .find(|connection| connection.waiting.get())
            .cloned();
        let Some(longest) = longest else { return false };
        longest.close.notify_one();
        // It doesn't count any more: it is closed as soon as this thread gets to it.
        longest.waiting.set(false);
        open.borrow_mut()
            .retain(|_, connection| !Rc::ptr_eq(connection, &longest));
        true
    }

    async fn serve(&self, stream: TcpStream, connection: &OpenConnection) {
        let request_timeout = self.limits.request_timeout;
        let service = service_fn(|request| async {
            connection.waiting.set(false);
            self.handlers.respond(request).await
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(request_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .keep_alive(false)
            .serve_connection(TokioIo::new(stream), service);
        match tokio::time::timeout(request_timeout + WRITE_TIMEOUT, served).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => debug!("an operator's connection ended: {e}"),
            Err(_) => debug!("an operator's connection took too long"),
        }
    }
}

async fn accept_one(socket: &TcpListener) -> TcpStream {
    loop {
        match socket.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                warn!("can't accept an operator's connection: {e}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
