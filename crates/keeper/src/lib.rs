//! The control plane of the tier: keeps configuration, runners, dispatchers and the map of stores. Runners and operators
//! call it (`ctl`); the other processes follow it down the tree of relays.

pub mod beats;
pub mod control;
pub mod ctl;
mod dispatchers;
mod journal;
pub mod op;
mod owner;
pub mod plan;
mod status;

use beats::Keepers;
use bytes::Bytes;
use chain::{Member, Node};
use control::Control;
use disk_ring::{DiskError, Options};
use dispatchers::Dispatchers;
use journal::{Found, Journal};
use op::Op;
use owner::{Owner, TICK};
use peer_link::{Handler, Links, Me, Peer, Reply};
use plan::Stores;
use relay_tree::{Board, Follow};
use runner_registry::{Registry, RegistryTerms};
use slog::{crit, info, warn, Logger};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tier_settings::{PeerRole, Settings, SettingsError};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use view::{Agreement, KeeperView};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// The size of a file of the ring: two of the largest configurations fit in.
const FILE_BYTES: u64 = 8 * 1024 * 1024;
/// What stays free of the disk: the files' heads and what the file system needs.
const DISK_RESERVE: f64 = 0.9;
/// How long a keeper that stops goes on, so that its successor is named and callers find it.
const STOPPING: Duration = Duration::from_millis(1_200);

/// Why a keeper can't start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("{0}")]
    Disk(#[from] DiskError),
    #[error("this role needs {0} in the settings")]
    Lacks(&'static str),
    #[error("can't listen at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("a record on disk that this version can't read: {0}")]
    Record(String),
    #[error("the runtime: {0}")]
    Runtime(std::io::Error),
}

/// Hands what peers say to the owner.
struct Hand {
    ops: mpsc::Sender<Op>,
    log: Logger,
}

impl Handler for Hand {
    fn told(&self, from: &Rc<Peer>, kind: u16, body: Bytes) {
        if self.ops.try_send(Op::Told { from: Rc::clone(from), kind, body }).is_err() {
            warn!(self.log, "frame dropped: too much waits"; "code" => 1402, "kind" => kind);
        }
    }

    fn called(&self, _: &Rc<Peer>, _: u16, _: Bytes, _: Reply) {
        // Nothing is asked of keepers by frames; the caller hears at once that there is no answer.
    }
}

/// The program.
pub fn run() -> ExitCode {
    let settings = match Settings::load() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("fordrelay-keeper: {e}");
            return ExitCode::FAILURE;
        }
    };
    let log = tier_log::logger(&settings.node, "keeper");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result = runtime
        .map_err(StartError::Runtime)
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, serve(settings, log.clone())));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            crit!(log, "ended"; "why" => %e);
            ExitCode::FAILURE
        }
    }
}

/// A socket that listens.
fn listen(addr: SocketAddr) -> Result<TcpListener, StartError> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|e| StartError::Listen(addr, e))
}

/// A number that no other start draws.
fn draw() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    let mut hasher = RandomState::new().build_hasher();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    hasher.write_u128(unix.as_nanos());
    hasher.write_u32(std::process::id());
    hasher.finish().max(1)
}

async fn serve(settings: Settings, log: Logger) -> Result<(), StartError> {
    let clock = Instant::now();
    let addr = settings.peer_addr(PeerRole::Keeper)?;
    let ctl = settings.ctl.ok_or(StartError::Lacks("Bind.Ctl"))?;
    let dir = settings.data_dir.clone().ok_or(StartError::Lacks("DataDir"))?;
    let disk =
        settings.limits.disk_mb.ok_or(StartError::Lacks("Limits.DiskMb"))? as f64 * 1.0e6 * DISK_RESERVE;
    let (peers, calls) = (listen(addr)?, listen(ctl)?);
    let files_most = ((disk / FILE_BYTES as f64) as usize).max(2);
    let opened = disk_ring::open(&dir, Options { file_bytes: FILE_BYTES, files_most }, draw())?;
    let (mut journal, found) = Journal::new(opened.ring, opened.records);
    let life = draw();
    let founders = founders(&settings, addr, opened.fresh, &found);
    let id = if founders.contains(&addr) && (opened.fresh || !found.founders.is_empty()) {
        0
    } else {
        opened.identity
    };
    let me = Member { id, addr, since: 0 };
    info!(log, "starting"; "addr" => %addr, "ctl" => %ctl, "id" => id, "fresh" => opened.fresh, "torn" => opened.torn,
        "founders" => founders.len());
    let synced = journal.watch();
    if opened.fresh && !founders.is_empty() {
        let ticket = journal.found(&founders)?;
        let mut synced = synced.clone();
        let _ = synced.wait_for(|on_disk| *on_disk >= ticket).await;
    }
    let founding = (!founders.is_empty()).then(|| founding(&founders));
    let (mut views, mut writes) = (view::Recovered::default(), chain::Recovered::default());
    for record in &found.views {
        views.read(record).map_err(|e| StartError::Record(e.to_string()))?;
    }
    for record in &found.writes {
        writes.replay(chain::Write::decode(record).map_err(|e| StartError::Record(e.to_string()))?);
    }
    let agreement = Agreement::new(me.clone(), founding, views);
    let mut node = Node::new(me.clone(), Control::default(), writes);
    if let Some(current) = agreement.current() {
        node.enter(1, current.view.clone());
    }
    let links = Links::new(Me { addr, id: life, node: settings.node.clone(), zone: settings.zone.clone() });
    let (ops, mut asked) = mpsc::channel(ctl::OPS_MOST);
    let hand = Rc::new(Hand { ops: ops.clone(), log: log.clone() });
    tokio::task::spawn_local(Rc::clone(&links).serve(peers, hand));
    tokio::task::spawn_local(ctl::serve(calls, ops.clone()));
    let terms = RegistryTerms { heartbeat_ms: settings.heartbeat_ms, owner: life };
    let mut owner = Owner {
        me,
        life,
        clock,
        agreement,
        node,
        board: Board::new(life, addr, Follow::All, true),
        registry: Registry::new(terms),
        keepers: Keepers::default(),
        stores: Stores::default(),
        dispatchers: Dispatchers::new(life),
        journal,
        links,
        pending: Vec::new(),
        ticked: 1,
        beaten: 0,
        head_since: None,
        spreading: None,
        wanted_since: None,
        proposed: 0,
        asked: 0,
        touched_since: None,
        told_keepers: (0, Vec::new()),
        leaving: false,
        map: None,
        failed: false,
        log,
        settings,
    };
    own(&mut owner, &mut asked, synced, ops).await
}

/// The owner's loop.
async fn own(
    owner: &mut Owner,
    asked: &mut mpsc::Receiver<Op>,
    mut synced: tokio::sync::watch::Receiver<u64>,
    ops: mpsc::Sender<Op>,
) -> Result<(), StartError> {
    let mut term = signal(SignalKind::terminate()).map_err(StartError::Runtime)?;
    let mut hup = signal(SignalKind::hangup()).map_err(StartError::Runtime)?;
    let mut tick = tokio::time::interval(Duration::from_millis(TICK));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ends: Option<tokio::time::Instant> = None;
    loop {
        tokio::select! {
            biased;
            changed = synced.changed() => match changed {
                Ok(()) => {
                    let ticket = *synced.borrow_and_update();
                    owner.synced(ticket);
                }
                Err(_) => return Err(StartError::Disk(DiskError::Failed)),
            },
            op = asked.recv() => if let Some(op) = op { owner.handle(op) },
            _ = tick.tick() => owner.tick(),
            _ = term.recv(), if ends.is_none() => {
                ends = Some(tokio::time::Instant::now() + STOPPING);
                let _ = ops.try_send(Op::Stop);
            }
            _ = hup.recv() => match Settings::load() {
                Ok(settings) => owner.reload(settings),
                Err(e) => warn!(owner.log, "settings left as they were"; "why" => %e),
            },
        }
        if owner.failed() {
            return Err(StartError::Disk(DiskError::Failed));
        }
        if ends.is_some_and(|at| tokio::time::Instant::now() >= at || owner.replaced()) {
            info!(owner.log, "stopped");
            return Ok(());
        }
    }
}

/// The founders that this process knows of: those on its disk, or its peers when the whole tier starts for the first time.
fn founders(settings: &Settings, addr: SocketAddr, fresh: bool, found: &Found) -> Vec<SocketAddr> {
    if !found.founders.is_empty() {
        return found.founders.clone();
    }
    if !(fresh && settings.bootstrap) {
        return Vec::new();
    }
    let peers = settings.keeper_peers();
    if peers.is_empty() {
        vec![addr]
    } else {
        peers
    }
}

fn founding(founders: &[SocketAddr]) -> KeeperView {
    let members: Vec<Member> = founders.iter().map(|addr| Member { id: 0, addr: *addr, since: 1 }).collect();
    KeeperView {
        view: chain::View { number: 1, members: members.clone(), joining: Vec::new() },
        acceptors: members,
    }
}
