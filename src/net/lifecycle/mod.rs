//! Start, readiness and stop.

pub mod clock;
pub mod config;

use crate::api::{ListKind, SettingsError};
use crate::net::state::{Input, Setup, State};
use crate::net::wire::discovery::{self, Places};
use crate::net::wire::listener::{Listener, Phase, Terms};
use crate::net::wire::peers::Peers;
use crate::net::wire::{run, Desk};
use clock::Clock;
use config::Config;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, LocalSet};
use tracing::{info, warn};

/// How long after SIGTERM connections are still accepted: clients hear of it only then.
const GRACE: Duration = Duration::from_millis(700);
/// How often it is looked whether everything is answered.
const LOOK: Duration = Duration::from_millis(10);

/// Why the dispatcher could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be used.
    #[error("{key}: can't use {addr}: {error}")]
    Bind {
        /// The configuration's key.
        key: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
    /// The settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// Anything else that the system refuses.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

/// Serves until SIGTERM or SIGINT, and until everything taken by then is answered.
///
/// # Errors
/// What keeps it from starting.
pub fn serve(config: Config) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, start(config))
}

async fn start(config: Config) -> Result<(), StartError> {
    let bind = |key, addr| move |error| StartError::Bind { key, addr, error };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let clock = Clock::start();
    let longest = config.settings.classes.iter().map(|c| c.give_up).max().unwrap_or(0);
    let longest = Duration::from_micros(longest);
    let state = State::new(Setup {
        settings: config.settings,
        seed: config.seed,
        me: config.me,
        connections: config.target_connections,
        connect_timeout: config.connect_timeout,
        idle: config.idle,
        probe_timeout: config.probe_timeout,
    })?;
    let (desk, inputs) = Desk::new(clock, config.reports);
    let peers = match config.peers {
        Some(addrs) => {
            let socket = UdpSocket::bind(addrs.listen).await.map_err(bind("peer_listen", addrs.listen))?;
            let peers = Peers::new(socket, addrs.numbers, addrs.all, config.me);
            spawn_local(Rc::clone(&peers).listen(Rc::clone(&desk)));
            Some(peers)
        }
        None => None,
    };
    let places = Places { zones: config.zones, kinds: config.kinds, clock };
    // The first input makes the decisions ask for the list, also where none is known.
    let nothing = Input::Listed { kind: ListKind::Inherited, version: None, entries: vec![] };
    desk.report(config.known.map_or(nothing, |known| places.input(known, true)));
    let (watches, wanted) = mpsc::unbounded_channel();
    spawn_local(discovery::watch(config.discovery, places, Rc::clone(&desk), wanted));
    spawn_local(run(state, Rc::clone(&desk), inputs, watches, peers));

    let (phase, phases) = watch::channel(Phase::Serving);
    let terms = Terms {
        classes: config.classes,
        tenants: config.tenants,
        connections: config.client_connections,
        flows: config.open_flows,
    };
    let listener = Listener::new(Rc::clone(&desk), terms, phases);
    let socket = TcpListener::bind(config.listen).await.map_err(bind("listen", config.listen))?;
    let listen = socket.local_addr()?;
    let accepting = spawn_local(Rc::clone(&listener).accept(socket));
    info!(name = config.name, "serving on {listen}");

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!(flows = desk.open_flows(), "told to stop");
    phase.send_replace(Phase::Leaving);
    tokio::time::sleep(GRACE).await;
    phase.send_replace(Phase::Closing);
    // An accept loop that has ended has spawned a task for each connection, and none is left unanswered.
    let answered = async {
        while !accepting.is_finished() || listener.open() > 0 {
            tokio::time::sleep(LOOK).await;
        }
    };
    match tokio::time::timeout(longest + GRACE, answered).await {
        Ok(()) => info!("stopped"),
        Err(_) => warn!(connections = listener.open(), "stopped, with clients that do not read or write"),
    }
    Ok(())
}
