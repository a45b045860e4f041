//! Dispatchers as processes of their own, as they run in service.

use crate::fleet::{Fleet, World};
use crate::scenario::Addresses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::process::{Child, Command};

/// How long a dispatcher may take to serve.
const START: Duration = Duration::from_secs(10);
/// ... and to end after it was told to.
const STOP: Duration = Duration::from_secs(15);

/// Why the dispatchers could not be had.
#[derive(Debug, thiserror::Error)]
pub enum DispatcherError {
    /// Something that the system refuses.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A number that does not go with the others.
    #[error("{key}: {value} {fault}")]
    Terms {
        /// Which.
        key: &'static str,
        /// What it is.
        value: usize,
        /// What it must be.
        fault: String,
    },
    /// One did not serve in time.
    #[error("dispatcher {0} did not serve within {START:?}; its log is {1}")]
    NotReady(u32, PathBuf),
}

/// One dispatcher.
pub struct Dispatcher {
    child: Child,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    /// Where it listens for operators.
    pub admin: SocketAddr,
    /// Its log.
    pub log: PathBuf,
}

/// Addresses that nobody has now. Another program may take one before it is used: that shows as a failed start.
async fn free_tcp() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0").await?.local_addr()
}

async fn free_udp() -> std::io::Result<SocketAddr> {
    UdpSocket::bind("127.0.0.1:0").await?.local_addr()
}

/// Starts one dispatcher for each of the scenario's, before a fleet, and waits until they serve. `levels` is the text
/// of the operators' file without `admin`. Their files stand in `folder`.
///
/// # Errors
/// Why they can't be had.
pub async fn start(
    world: &World,
    fleet: &Fleet,
    folder: &Path,
    operator: &str,
    seed: u64,
) -> Result<Vec<Dispatcher>, DispatcherError> {
    let mut peers = vec![];
    for _ in 0..world.scenario.dispatchers {
        peers.push(free_udp().await?.to_string());
    }
    let mut dispatchers = vec![];
    for number in 0..world.scenario.dispatchers {
        let (listen, admin) = (free_tcp().await?, free_tcp().await?);
        let addrs = Addresses {
            listen: listen.to_string(),
            discovery: fleet
                .discovery(number)
                .map_or(String::new(), |a| a.to_string()),
            peers: peers.clone(),
            boxes: fleet.boxes(number),
        };
        let file = |kind: &str| folder.join(format!("dispatcher-{number}.{kind}"));
        let (config, hcl, log) = (file("json"), file("hcl"), file("log"));
        let config_seed = seed.wrapping_mul(31) + u64::from(number);
        std::fs::write(&config, world.scenario.config(number, &addrs, config_seed))?;
        let own = format!("admin {{\n  listen = \"{admin}\"\n}}\n");
        std::fs::write(&hcl, format!("{operator}\n{own}"))?;
        let child = Command::new(std::env::current_exe()?)
            .args(["dispatcher", "--config"])
            .arg(&config)
            .arg("--operator")
            .arg(&hcl)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(&log)?)
            .kill_on_drop(true)
            .spawn()?;
        dispatchers.push(Dispatcher {
            child,
            listen,
            admin,
            log,
        });
    }
    for (number, dispatcher) in (0..).zip(&dispatchers) {
        let ready = async {
            while admin::request_text(dispatcher.listen, hyper::Method::GET, "/ready")
                .await
                .is_err()
            {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let late = || DispatcherError::NotReady(number, dispatcher.log.clone());
        tokio::time::timeout(START, ready)
            .await
            .map_err(|_| late())?;
    }
    Ok(dispatchers)
}

impl Dispatcher {
    /// Processor time that it has used, in microseconds.
    pub fn cpu(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()?)).ok()?;
        // The name, in brackets, may hold blanks.
        let (_, rest) = text.rsplit_once(')')?;
        let ticks: Vec<u64> = rest
            .split_ascii_whitespace()
            .skip(11)
            .take(2)
            .flat_map(str::parse)
            .collect();
        // The system counts in hundredths of a second.
        Some(ticks.iter().sum::<u64>() * 10_000)
    }

    /// Whether it has ended by itself.
    pub fn ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Tells it to end and waits until it has.
    ///
    /// # Errors
    /// It does not end, or not well.
    pub async fn stop(mut self) -> std::io::Result<()> {
        if let Some(id) = self.child.id() {
            // The system's own command: sending signals otherwise needs code that this program does without.
            let sent = Command::new("kill")
                .args(["-s", "TERM", &id.to_string()])
                .status()
                .await?;
            if !sent.success() {
                return Err(std::io::Error::other(
                    "the dispatcher could not be told to end",
                ));
            }
        }
        let status = tokio::time::timeout(STOP, self.child.wait()).await??;
        let failed = || std::io::Error::other(format!("the dispatcher ended with {status}"));
        status.success().then_some(()).ok_or_else(failed)
    }
}
