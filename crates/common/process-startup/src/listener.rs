//! Listening sockets.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::Instant;

/// How often an address that is in use is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// What a predecessor may take beyond its grace period until its sockets are closed.
const PREDECESSOR_MARGIN: Duration = Duration::from_secs(2);

/// How a socket listens.
#[derive(Debug, Clone, Copy)]
pub struct ListenOptions {
    /// Connections that may wait to be accepted.
    pub backlog: u32,
    /// How long an address in use is waited for.
    pub timeout: Duration,
}

/// An address at which a process can't listen.
#[derive(Debug)]
pub struct ListenError {
    /// The address.
    pub addr: SocketAddr,
    /// What the system says.
    pub source: io::Error,
}

/// How long a predecessor may hold an address: until the platform has killed it.
///
/// `grace`: from SIGTERM to SIGKILL (`GraceS`).
pub fn predecessor_timeout(grace: Duration) -> Duration {
    grace + PREDECESSOR_MARGIN
}

/// Listens at an address. One that is in use is waited for, since a predecessor that is being
/// stopped may hold it; `waiting` is called once when the wait begins.
///
/// # Errors
/// The address is still in use after the time-out, or can't be listened at for another reason.
pub async fn listen(
    addr: SocketAddr,
    options: ListenOptions,
    waiting: impl FnOnce(SocketAddr),
) -> Result<TcpListener, ListenError> {
    let deadline = Instant::now() + options.timeout;
    let mut waiting = Some(waiting);
    loop {
        let source = match open(addr, options.backlog) {
            Ok(listener) => return Ok(listener),
            Err(source) => source,
        };
        if source.kind() != io::ErrorKind::AddrInUse || Instant::now() >= deadline {
            return Err(ListenError { addr, source });
        }
        if let Some(waiting) = waiting.take() {
            waiting(addr);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

fn open(addr: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(backlog)
}
