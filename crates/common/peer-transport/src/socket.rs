//! Socket options.

use crate::limits::PEER_TIMEOUT;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Makes a socket send at once and notice a dead peer. Failures leave the system's defaults.
pub(crate) fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(PEER_TIMEOUT));
    let probes = TcpKeepalive::new()
        .with_time(PEER_TIMEOUT)
        .with_interval(PEER_TIMEOUT)
        .with_retries(2);
    let _ = socket.set_tcp_keepalive(&probes);
}
