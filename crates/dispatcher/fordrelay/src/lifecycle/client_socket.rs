//! The port of the clients: when this process may have it, and when it may serve on it.

use super::process::Process;
use crate::error::StartError;
use std::io;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tracing::warn;

/// How long a start waits for the clients' port while another process of this dispatcher is alive: one that was told to
/// stop has given it up after 2 s.
const PORT_WAIT: Duration = Duration::from_secs(10);
/// How long a start waits for the list of the agent, where lists are pushed: as long as its first answer may take.
const AGENT_WAIT: Duration = Duration::from_millis(2_750);
/// How often it is checked whether the port is free, or the list there.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Process {
    /// Returns the listening socket of the clients, inherited or bound, once this process may accept connections.
    ///
    /// # Errors
    /// The address can't be used.
    pub async fn client_socket(
        &self,
        inherited: Option<std::net::TcpListener>,
    ) -> Result<TcpListener, StartError> {
        let socket = match inherited {
            Some(socket) => {
                socket.set_nonblocking(true)?;
                TcpListener::from_std(socket)?
            }
            None => {
                let bound = self.bind_client_port().await;
                bound.map_err(StartError::bind("listen", self.config.listen))?
            }
        };
        let (listen, configured) = (socket.local_addr()?, self.config.listen);
        if listen != configured && configured.port() != 0 {
            warn!(inherited = %listen, %configured, "the inherited socket listens elsewhere");
        }
        if let Some(handover) = &self.handover {
            handover.wait_until_ready().await;
        }
        if self.lists_are_pushed() {
            // What the agent has counts from the first moment on; one that has lost its list answers nothing.
            let _ = tokio::time::timeout(AGENT_WAIT, self.wait_for_endpoints()).await;
        }
        Ok(socket)
    }

    /// Binds the clients' port, and waits for it where another process of this dispatcher may still hold it.
    async fn bind_client_port(&self) -> io::Result<TcpListener> {
        let deadline = Instant::now() + PORT_WAIT;
        loop {
            match TcpListener::bind(self.config.listen).await {
                Err(e)
                    if e.kind() == io::ErrorKind::AddrInUse
                        && self.other_processes() > 0
                        && Instant::now() < deadline =>
                {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                bound => return bound,
            }
        }
    }

    async fn wait_for_endpoints(&self) {
        while !self.loop_handle.endpoints_known() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
