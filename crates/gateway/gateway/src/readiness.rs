//! Whether the process calls itself ready, and the listener that is asked.

use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{timeout, Duration};

/// How old what a parent says may be for this process to begin: the bound within which a configuration must be in force
/// everywhere is 2 s and more.
const FRESH_MS: u64 = 1_500;
/// How long after the whole state table came runners are waited for: their heartbeats come every second or so.
const RUNNER_DISCOVERY_MS: u64 = 1_000;
/// Connections that are served together: the platform asks once a second, on one.
const MOST: usize = 16;
/// A question is read in this time, and is no longer than this.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_REQUEST_BYTES: usize = 4 * 1024;

/// What readiness is judged by.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fact of its own that readiness is judged by"
)]
pub struct Readiness {
    /// A configuration is in force here.
    pub configured: bool,
    /// How old what the parent says may be.
    pub age_ms: u64,
    /// Some runner is known.
    pub runners: bool,
    /// When the whole state table had come.
    pub state_table_complete_at: Option<u64>,
    /// It was told to stop.
    pub stopping: bool,
    /// It was ready before: an outage of the control plane is no reason to send clients away.
    pub was_ready: bool,
}

impl Readiness {
    /// Whether clients may come.
    pub fn judge(&self, now: u64) -> bool {
        if self.stopping || !self.configured {
            return false;
        }
        let waited = self
            .state_table_complete_at
            .is_some_and(|at| now >= at + RUNNER_DISCOVERY_MS);
        self.was_ready || (self.age_ms <= FRESH_MS && (self.runners || waited))
    }
}

/// Answers the platform's question for as long as the process lives.
pub async fn serve(socket: TcpListener, ready: Rc<dyn Fn() -> bool>) {
    let open = Rc::new(Cell::new(0));
    loop {
        match socket.accept().await {
            Ok((stream, _)) if open.get() < MOST => {
                let (open, ready) = (Rc::clone(&open), Rc::clone(&ready));
                open.set(open.get() + 1);
                spawn_local(async move {
                    let _ = answer(stream, &*ready).await;
                    open.set(open.get() - 1);
                });
            }
            Ok(_) => {}
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn answer(mut stream: TcpStream, ready: &dyn Fn() -> bool) -> std::io::Result<()> {
    let mut asked = Vec::with_capacity(256);
    loop {
        asked.clear();
        while !asked.windows(4).any(|w| w == b"\r\n\r\n") {
            if asked.len() >= MAX_REQUEST_BYTES {
                return Ok(());
            }
            // A connection that is kept is waited for as long as the platform likes to keep it between two questions.
            match timeout(READ_TIMEOUT, stream.read_buf(&mut asked)).await {
                Ok(Ok(read)) if read > 0 => {}
                _ => return Ok(()),
            }
        }
        let known = asked.starts_with(b"GET /-/readyz ") || asked.starts_with(b"GET /-/readyz?");
        let said: &[u8] = match (known, ready()) {
            (false, _) => b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
            (true, true) => b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n",
            (true, false) => {
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 10\r\n\r\nnot ready\n"
            }
        };
        stream.write_all(said).await?;
    }
}
