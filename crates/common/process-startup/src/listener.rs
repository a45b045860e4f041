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

/// An address at which a process can't listen.
#[derive(Debug)]
pub struct ListenError {
    /// The address.
    pub addr: SocketAddr,
    /// What the system says.
    pub source: io::Error,
}

/// Listens at an address, with so many connections that may wait to be accepted. An address in use
/// is waited for until a predecessor that is being stopped has been killed, and a margin; `waiting`
/// is called once when the wait begins. `grace`: from SIGTERM to SIGKILL (`GraceS`).
///
/// # Errors
/// The address is still in use then, or can't be listened at for another reason.
pub async fn listen(
    addr: SocketAddr,
    backlog: u32,
    grace: Duration,
    waiting: impl FnOnce(SocketAddr),
) -> Result<TcpListener, ListenError> {
    let deadline = Instant::now() + grace + PREDECESSOR_MARGIN;
    let mut waiting = Some(waiting);
    loop {
        let source = match open(addr, backlog) {
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
