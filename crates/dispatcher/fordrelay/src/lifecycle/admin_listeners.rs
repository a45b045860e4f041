//! Where the platform and the operators ask: their addresses and the limits of their connections.

use super::process::Process;
use crate::error::StartError;
use admin::{AdminListener, ConnectionLimits};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tracing::info;

/// The limits of the platform's connections: a few callers say nothing for 4 s.
const PLATFORM_LIMITS: ConnectionLimits = ConnectionLimits {
    max_connections: 12,
    request_timeout: Duration::from_secs(10),
};

/// An address that is bound for calls.
struct Endpoint {
    key: &'static str,
    addr: SocketAddr,
    /// Who calls, as the log says it.
    callers: &'static str,
    /// Whether another process of this dispatcher may hold the address until it ends.
    may_be_taken: bool,
}

impl Endpoint {
    fn bind(&self) -> Result<AdminListener, StartError> {
        match TcpListener::bind(self.addr) {
            Ok(socket) => {
                info!("{} are answered on {}", self.callers, socket.local_addr()?);
                Ok(AdminListener::Bound(socket))
            }
            Err(e) if self.may_be_taken && e.kind() == io::ErrorKind::AddrInUse => {
                Ok(AdminListener::OnceFree(self.addr))
            }
            Err(error) => Err(StartError::bind(self.key, self.addr)(error)),
        }
    }
}

impl Process {
    /// Binds the addresses that both files give for calls.
    ///
    /// # Errors
    /// An address can't be used.
    pub fn admin_listeners(&self) -> Result<Vec<(AdminListener, ConnectionLimits)>, StartError> {
        let has_predecessor = self.other_processes() > 0;
        let mut listeners = vec![];
        if let Some(addr) = self.config.admin {
            let endpoint = Endpoint {
                key: "admin_addr",
                addr,
                callers: "the platform's calls",
                // A successor on an inherited socket has its own address: who asks there asks for it alone.
                may_be_taken: has_predecessor && !self.inherits_socket,
            };
            listeners.push((endpoint.bind()?, PLATFORM_LIMITS));
        }
        if let Some(admin) = &self.operator.admin {
            let endpoint = Endpoint {
                key: "admin.listen",
                addr: admin.listen,
                callers: "operators",
                may_be_taken: has_predecessor,
            };
            let limits = ConnectionLimits {
                max_connections: admin.connections,
                request_timeout: Duration::from_millis(admin.request_ms),
            };
            listeners.push((endpoint.bind()?, limits));
        }
        Ok(listeners)
    }
}
