//! The store as a process: reads its settings, opens its disk, listens, and drives the store until
//! it is told to end.

mod disk;
mod driver;
mod error;

use crate::journal::Journal;
use crate::{Store, StoreConfig};
use disk::{open_disk, OpenedDisk};
use driver::{Controllers, Driver};
use error::ProcessError;
use peer_transport::{ConnectionEvent, Handler, Peer, Transport};
use process_startup::{ListenError, Signals};
use relay_tree::{Follow, Role, StateTable};
use slog::{crit, info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use structured_log::LogLimiter;
use tier_settings::{FaultBudget, PeerRole, Settings};
use tokio::net::TcpListener;
use tokio::sync::watch;
use write_ahead_log::{LogError, Lsn, Options};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// The size of a segment of the log: the first one is written in full at the start, so it is small.
const SEGMENT_BYTES: u64 = 4 << 20;
/// The share of the disk that the log may use: the rest is for the file system.
const DISK_SHARE: f64 = 0.9;
/// Batch jobs may need one part in so many of the memory. A state is held three times while a
/// snapshot of it is sent, and the chains' logs need memory too.
const MEMORY_PARTS: u64 = 6;
/// What a link of one Mbit/s carries in a millisecond.
const BYTES_PER_MS_OF_A_MBIT: f64 = 125.0;
/// The share of the link that responses to reads may use; the rest is for the chains, heartbeats
/// and leases.
const RESPONSE_SHARE: f64 = 0.6;
/// How often time passes for the store.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// How long a store that ends serves its chains on at least, so that the controllers can remove it
/// from them.
const MIN_LEAVING: Duration = Duration::from_millis(1_200);
/// While chains still count on it, it serves on until so long before the end of the users'
/// `GraceS`: what only it holds is copied to others meanwhile.
const GRACE_MARGIN: Duration = Duration::from_millis(1_500);
/// What is queued for peers at the end gets so long to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a store until it is told to end.
pub fn run() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ProcessError::Runtime);
    let mut log = structured_log::logger("", "store");
    let served = runtime
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, launch(&mut log)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            crit!(log, "exiting on error"; "code" => why.code(), "why" => %why);
            ExitCode::FAILURE
        }
    }
}

/// A number that no other start draws; never 0, which stands for none.
fn random_id() -> u64 {
    let mut hasher = RandomState::new().build_hasher();
    hasher.write_u128(
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos(),
    );
    hasher.write_u32(std::process::id());
    hasher.finish().max(1)
}

/// Takes signals before anything else: all that follows may take long.
async fn launch(log: &mut Logger) -> Result<(), ProcessError> {
    let mut signals = Signals::install().map_err(ProcessError::Runtime)?;
    let settings = Settings::load()?;
    *log = structured_log::logger(&settings.node, "store");
    let addr = settings.peer_addr(PeerRole::Store)?;
    let listener = tokio::select! {
        listener = listen(&settings, addr, log) => listener?,
        () = signals.terminated() => return Ok(()),
    };
    serve(settings, (addr, listener), signals, log.clone()).await
}

/// A socket that listens; a predecessor that still does is waited for.
async fn listen(
    settings: &Settings,
    addr: SocketAddr,
    log: &Logger,
) -> Result<TcpListener, ProcessError> {
    let grace = Duration::from_millis(settings.bounds.grace_ms);
    let waiting = |addr| warn!(log, "address in use, waiting"; "code" => 2214, "addr" => %addr);
    let opened = process_startup::listen(addr, LISTEN_BACKLOG, grace, waiting).await;
    opened.map_err(|ListenError { addr, source }| ProcessError::Listen { addr, source })
}

/// How many machines with a disk may be lost at once; where zones or regions may be lost, as many
/// machines are counted.
fn faults_at_once(budget: &FaultBudget) -> usize {
    budget.nodes.max(budget.zones).max(budget.regions) as usize
}

/// Logs which connections with other processes were refused.
fn connection_events(log: Logger) -> impl Fn(ConnectionEvent) + 'static {
    let rate_limiter = LogLimiter::default();
    move |event| {
        if event.is_rejection() {
            rate_limiter.log("connection", |left_out| {
                warn!(log, "connection rejected"; "code" => 2212, "why" => %event,
                    "left_out" => left_out);
            });
        }
    }
}

/// A process that is ready to serve.
struct Startup {
    driver: Rc<Driver>,
    /// The newest LSN that is on disk.
    synced: watch::Receiver<Lsn>,
}

fn start(settings: &Settings, addr: SocketAddr, log: &Logger) -> Result<Startup, ProcessError> {
    let started = Instant::now();
    let missing = ProcessError::MissingSetting;
    let dir = settings.data_dir.clone().ok_or(missing("DataDir"))?;
    let disk_mb = settings.limits.disk_mb.ok_or(missing("Limits.DiskMb"))?;
    let log_bytes = (disk_mb as f64 * 1.0e6 * DISK_SHARE) as u64;
    let options = Options {
        segment_bytes: SEGMENT_BYTES,
        max_segments: (log_bytes / SEGMENT_BYTES).clamp(2, 4_096) as usize,
    };
    let owner = write_ahead_log::owner_id(&settings.node, "store");
    let disk = open_disk(&dir, options, owner, log)?;
    info!(log, "starting"; "addr" => %addr, "id" => disk.identity,
        "partitions" => disk.partitions.len());
    let synced = disk.log.synced_lsn();
    let driver = Rc::new(driver(settings, addr, disk, started, log));
    let parents = driver.update_controllers();
    driver
        .state_table
        .borrow_mut()
        .set_parents(driver.now(), parents);
    Ok(Startup { driver, synced })
}

fn driver(
    settings: &Settings,
    addr: SocketAddr,
    disk: OpenedDisk,
    started: Instant,
    log: &Logger,
) -> Driver {
    let OpenedDisk {
        log: wal,
        bytes,
        partitions,
        identity,
    } = disk;
    let store = Store::new(
        store_config(settings, addr, identity),
        partitions,
        log.clone(),
    );
    let live = store
        .replicas()
        .map(|(_, replica)| replica.state_machine().bytes() as u64)
        .sum();
    let me = Peer {
        addr,
        id: identity,
        node: settings.node.clone(),
        zone: settings.zone.clone(),
    };
    let state_table = StateTable::new(random_id(), addr, Follow::First, Role::Relay);
    Driver {
        store: RefCell::new(store),
        journal: RefCell::new(Some(Journal::new(wal, bytes, live))),
        state_table: RefCell::new(state_table.with_id(identity)),
        transport: Transport::with_events(me, connection_events(log.clone())),
        controllers: RefCell::new(Controllers {
            configured: settings.controller_peers(),
            published: Vec::new(),
        }),
        rate_limiter: RefCell::default(),
        ignored: Cell::default(),
        started,
        log: log.clone(),
    }
}

fn store_config(settings: &Settings, addr: SocketAddr, identity: u64) -> StoreConfig {
    let memory = settings.limits.ram_mb * 1_000_000 / MEMORY_PARTS;
    let link = settings.limits.link_mbps * BYTES_PER_MS_OF_A_MBIT;
    StoreConfig {
        addr,
        id: identity,
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        poll_ms: settings.bounds.poll_ms,
        min_members: faults_at_once(&settings.fault_budget) + 1,
        max_bytes: usize::try_from(memory)
            .unwrap_or(usize::MAX)
            .min(chain_replication::MAX_SNAPSHOT_BYTES as usize * 7 / 8),
        incarnation: random_id(),
        response_bytes_per_ms: (link * RESPONSE_SHARE) as u64,
    }
}

async fn serve(
    mut settings: Settings,
    (addr, listener): (SocketAddr, TcpListener),
    signals: Signals,
    log: Logger,
) -> Result<(), ProcessError> {
    let Startup { driver, mut synced } = start(&settings, addr, &log)?;
    let handler: Rc<dyn Handler> = driver.clone();
    tokio::task::spawn_local(Rc::clone(&driver.transport).serve(listener, handler));
    let (mut terminate, mut hangup) = signals.into_parts();
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let max_leaving = Duration::from_millis(settings.bounds.grace_ms)
        .saturating_sub(GRACE_MARGIN)
        .max(MIN_LEAVING);
    let mut leaving_since: Option<tokio::time::Instant> = None;
    loop {
        tokio::select! {
            changed = synced.changed() => match changed {
                Ok(()) => {
                    let lsn = *synced.borrow_and_update();
                    driver.handle_synced(lsn);
                }
                Err(_) => return Err(ProcessError::Disk(LogError::Closed)),
            },
            _ = tick.tick() => driver.tick(),
            _ = terminate.recv(), if leaving_since.is_none() => {
                leaving_since = Some(tokio::time::Instant::now());
                let now = driver.now();
                driver.store.borrow_mut().start_leaving(now);
                driver.apply_effects();
            }
            _ = hangup.recv() => match Settings::load().and_then(|file| settings.reload(&file)) {
                Ok(reread) => driver.apply_settings(reread, &mut settings),
                Err(why) => {
                    warn!(log, "settings reload rejected"; "code" => 2206, "why" => %why);
                }
            },
        }
        let has_left = leaving_since.is_some_and(|since| {
            let elapsed = since.elapsed();
            let is_done = driver.store.borrow().is_empty() || elapsed >= max_leaving;
            elapsed >= MIN_LEAVING && is_done
        });
        if has_left {
            break;
        }
    }
    stop(&driver).await;
    info!(log, "stopped");
    Ok(())
}

/// Refuses what is pending, and flushes the connections and the journal.
async fn stop(driver: &Driver) {
    let now = driver.now();
    driver.store.borrow_mut().close();
    driver.apply_effects();
    driver.state_table.borrow_mut().close(now);
    driver.sync_state_table(now);
    driver.transport.flush(FLUSH_TIMEOUT).await;
    let journal = driver.journal.borrow_mut().take();
    if let Some(journal) = journal {
        journal.close();
    }
}
