//! The store as a process: its disk, its connections, its place in the tree of entries.

use crate::journal::{BadRecord, Journal, ReadBack};
use crate::{Effect, Store, Terms};
use batch::wire::{Message, PlacementMap};
use bytes::Bytes;
use peer_transport::{ConnectionEvent, Handler, Peer, Reply, Transport};
use relay_tree::{Follow, Role, StateTable};
use replicated_state::{decode_addresses, CONTROLLERS_KEY, RELAY};
use slog::{crit, error, info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use structured_log::{Rarely, Seldom};
use tier_settings::{FaultBudget, PeerRole, Reread, Settings, SettingsError};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use write_ahead_log::{LogError, OpenedLog, Options, WriteAheadLog};

/// The entry with the map of the stores.
const STORES: &str = "stores";
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// The size of a file of the ring: the first one is written whole at the start, so it is small.
const FILE_BYTES: u64 = 4 << 20;
/// What stays free of the disk: what the file system needs beside the files.
const DISK_SHARE: f64 = 0.9;
/// The part of the memory that batch jobs may need. A state is held three times over while it is copied, and the chains'
/// logs need room too.
const MEMORY_PART: u64 = 6;
/// What a link of one Mbit/s carries in a millisecond.
const BYTES_PER_MS_OF_A_MBIT: f64 = 125.0;
/// The share of the link that answers to reads may take; the rest is for the chains, heartbeats and leases.
const ANSWER_SHARE: f64 = 0.6;
/// How often time passes for the store.
const TICK: Duration = Duration::from_millis(50);
/// How long a store that ends serves its chains on at least, so that the controllers can take it out of them.
const LEAVING: Duration = Duration::from_millis(1_200);
/// While chains still count on it, it serves on until so long before the end of the users' `GraceS`: what only it holds
/// is copied to others meanwhile.
const BEFORE_GRACE: Duration = Duration::from_millis(1_500);
/// What is queued for peers at the end gets so long to be written.
const FLUSH: Duration = Duration::from_millis(200);

/// Why a store can't start or go on.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("{0}")]
    Disk(#[from] LogError),
    #[error("{0}")]
    Record(#[from] BadRecord),
    #[error("a corrupt ring can't be removed: {0}")]
    Remove(std::io::Error),
    #[error("this role needs {0} in the settings")]
    Lacks(&'static str),
    #[error("can't listen at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("the runtime: {0}")]
    Runtime(std::io::Error),
}

impl Ended {
    /// The number of the line with which the store ends, as in docs/result-codes.md.
    fn code(&self) -> u16 {
        match self {
            Ended::Disk(LogError::WrongOwner { .. }) => 2210,
            _ => 2200,
        }
    }
}

/// The program.
pub fn run() -> ExitCode {
    let settings = match Settings::load() {
        Ok(settings) => settings,
        Err(error) => {
            crit!(structured_log::logger("", "store"), "ended"; "code" => 2200, "why" => %error);
            return ExitCode::FAILURE;
        }
    };
    let log = structured_log::logger(&settings.node, "store");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Ended::Runtime);
    let served = runtime.and_then(|runtime| {
        tokio::task::LocalSet::new().block_on(&runtime, serve(settings, log.clone()))
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            crit!(log, "ended"; "code" => why.code(), "why" => %why);
            ExitCode::FAILURE
        }
    }
}

/// A number that no other start draws; never 0, which is nobody's.
fn draw() -> u64 {
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

fn listen(addr: SocketAddr) -> Result<TcpListener, Ended> {
    let open = || {
        let socket = if addr.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        socket.set_reuseaddr(true)?;
        socket.bind(addr)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| Ended::Listen(addr, error))
}

struct Found {
    ring: WriteAheadLog,
    bytes: u64,
    parts: Vec<(u16, chain_replication::RecoveredLog)>,
    identity: u64,
}

/// Opens the disk. One that is corrupt is begun anew under a new identity: its copies are worth nothing, and the
/// others of each chain have them. One of another machine or role is refused, and left as it is.
fn open_disk(dir: &Path, options: Options, holder: u64, log: &Logger) -> Result<Found, Ended> {
    let read = || -> Result<Found, Ended> {
        let (mut back, mut bad) = (ReadBack::default(), None);
        let mut take = |ticket, record| {
            if bad.is_none() {
                bad = back.take(ticket, record).err();
            }
        };
        let OpenedLog {
            log: ring,
            identity,
            is_new: fresh,
            torn,
            ..
        } = write_ahead_log::open_each(
            dir,
            options,
            write_ahead_log::OpenAs {
                new_identity: draw(),
                owner: holder,
            },
            &mut take,
        )?;
        let bytes = back.bytes();
        info!(log, "disk opened"; "records" => back.records(), "bytes" => bytes, "fresh" => fresh, "torn" => torn);
        if let Some(why) = bad {
            return Err(why.into());
        }
        let parts = back.finish()?;
        Ok(Found {
            ring,
            bytes,
            parts,
            identity,
        })
    };
    match read() {
        Err(why @ (Ended::Disk(LogError::Corrupt { .. }) | Ended::Record(_))) => {
            error!(log, "corruption: begun anew as a newcomer"; "code" => 2203, "why" => %why);
            remove(dir).map_err(Ended::Remove)?;
            read()
        }
        found => found,
    }
}

/// Removes a ring's files.
fn remove(dir: &Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(dir)? {
        let entry = entry?;
        if entry
            .file_name()
            .to_str()
            .is_some_and(|name| name.starts_with("ring-"))
        {
            std::fs::remove_file(entry.path())?;
        }
    }
    std::fs::File::open(dir)?.sync_all()
}

/// All of the process that its tasks share.
struct Process {
    store: RefCell<Store<Reply>>,
    journal: RefCell<Option<Journal>>,
    state_table: RefCell<StateTable>,
    links: Rc<Transport>,
    /// Controllers as the settings name them, and as the controllers themselves do.
    controllers: RefCell<(Vec<SocketAddr>, Vec<SocketAddr>)>,
    seldom: RefCell<Rarely>,
    /// Words of the chains and of the relay tree that were passed over, as last said.
    passed_over: Cell<(u64, u64)>,
    began: Instant,
    log: Logger,
}

impl Process {
    /// Steady milliseconds, never 0.
    fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(1)
    }

    /// Does what the store wants done.
    fn act(&self) {
        let effects = self.store.borrow_mut().effects();
        let mut journal = self.journal.borrow_mut();
        if let Some(journal) = journal.as_mut() {
            journal.at(self.now());
        }
        for effect in effects {
            match effect {
                Effect::Tell { to, kind, body } => self.links.send(to, kind, body),
                Effect::Write {
                    part,
                    ticket,
                    write,
                } => {
                    if let Some(journal) = journal.as_mut() {
                        journal.write(part, ticket, &write);
                    }
                }
                Effect::Void { part } => {
                    if let Some(journal) = journal.as_mut() {
                        journal.void(part);
                    }
                }
            }
        }
    }

    fn synced(&self, at: u64) {
        let now = self.now();
        let mut journal = self.journal.borrow_mut();
        let done = journal.as_mut().map(|journal| {
            journal.at(now);
            journal.synced(at)
        });
        let done = done.unwrap_or_default();
        let mut store = self.store.borrow_mut();
        if let Some(journal) = journal.as_ref() {
            store.persistence(now, journal.state());
        }
        drop(journal);
        for (part, ticket) in done {
            store.synced(now, part, ticket);
        }
        store.all_synced(now);
        drop(store);
        self.act();
    }

    fn tick(&self) {
        let now = self.now();
        self.state_table.borrow_mut().tick(now);
        self.settle_state_table(now);
        {
            let mut store = self.store.borrow_mut();
            if let Some(journal) = self.journal.borrow_mut().as_mut() {
                journal.at(now);
                journal.tick(store.held());
                store.disk(now, journal.disk());
                store.persistence(now, journal.state());
            }
            store.tick(now);
        }
        self.note_passed_over(now);
        self.act();
    }

    /// Says how many words counted for nothing, where more have come since it was said last.
    fn note_passed_over(&self, now: u64) {
        let chains = self
            .store
            .borrow()
            .held()
            .map(|(_, node)| node.ignored_messages())
            .sum();
        let passed_over: (u64, u64) = (chains, self.state_table.borrow().ignored_messages());
        let is_more = passed_over != self.passed_over.get();
        if is_more && self.seldom.borrow_mut().now(now, "passed over").is_some() {
            self.passed_over.set(passed_over);
            info!(self.log, "words passed over: of views that are over, of strangers, for others"; "code" => 2213,
                "chains" => passed_over.0, "relay" => passed_over.1);
        }
    }

    /// What the state table wants sent, and what it has learned.
    fn settle_state_table(&self, now: u64) {
        let mut state_table = self.state_table.borrow_mut();
        let changes = state_table.take_changed_keys();
        for key in changes {
            let Some(value) = state_table
                .get(&key)
                .and_then(|state_entry| state_entry.value.clone())
            else {
                continue;
            };
            match key.as_str() {
                STORES => match PlacementMap::decode(&value) {
                    Ok(map) => self.store.borrow_mut().take_map(now, map),
                    Err(why) => {
                        warn!(self.log, "a map that can't be read"; "code" => 2204, "why" => %why)
                    }
                },
                CONTROLLERS_KEY => {
                    self.controllers.borrow_mut().1 = decode_addresses(&value).unwrap_or_default();
                    state_table.set_parents(now, self.see_controllers());
                }
                _ => {}
            }
        }
        for (to, msg) in state_table.take_messages() {
            self.links.send(to, RELAY, msg.encode());
        }
    }

    /// The settings file was read again: `Peers` are taken, all else that changed at the next start.
    fn take_settings(&self, reread: Reread, settings: &mut Settings) {
        let Reread {
            settings: new,
            mut at_next_start,
            ..
        } = reread;
        if new.bounds != settings.bounds {
            at_next_start.push("Bounds");
        }
        if !at_next_start.is_empty() {
            warn!(self.log, "settings that take effect at the next start"; "code" => 2211,
                "keys" => at_next_start.join(","));
        }
        settings.peers = new.peers;
        self.controllers.borrow_mut().0 = settings.controller_peers();
        let (now, parents) = (self.now(), self.see_controllers());
        self.state_table.borrow_mut().set_parents(now, parents);
    }

    /// Tells the store who the controllers are; returns whom the state table may follow.
    fn see_controllers(&self) -> Vec<SocketAddr> {
        let (peers, told) = &*self.controllers.borrow();
        let mut heartbeats = told.clone();
        heartbeats.extend(peers.iter().filter(|peer| !told.contains(peer)));
        self.store.borrow_mut().controllers(heartbeats);
        let mut parents = peers.clone();
        parents.extend(told.iter().filter(|controller| !peers.contains(controller)));
        parents
    }

    fn odd(&self, from: &Peer, kind: u16, why: &dyn std::fmt::Display) {
        if let Some(left_out) = self.seldom.borrow_mut().now(self.now(), "odd") {
            warn!(self.log, "a frame that can't be read"; "code" => 2205, "from" => %from.addr, "kind" => kind,
                "why" => %why, "left_out" => left_out);
        }
    }
}

impl Handler for Process {
    fn handle_message(&self, from: &Rc<Peer>, kind: u16, body: Bytes) {
        let now = self.now();
        if kind == RELAY {
            match relay_tree::Message::decode(&body) {
                Ok(msg) => {
                    self.state_table
                        .borrow_mut()
                        .handle_message(now, from.addr, msg);
                    self.settle_state_table(now);
                }
                Err(why) => self.odd(from, kind, &why),
            }
        } else if let Err(why) = self.store.borrow_mut().told(now, from.addr, kind, &body) {
            self.odd(from, kind, &why);
        }
        self.act();
    }

    fn handle_call(&self, from: &Rc<Peer>, kind: u16, body: Bytes, reply: Reply) {
        let now = self.now();
        if let Err(why) = self.store.borrow_mut().called(now, kind, &body, reply) {
            self.odd(from, kind, &why);
        }
        self.act();
    }
}

/// How many machines with a disk may be lost at once; where zones or regions may be, as many machines are counted.
fn faults_at_once(budget: &FaultBudget) -> usize {
    budget.nodes.max(budget.zones).max(budget.regions) as usize
}

/// Says which connections with other processes were refused.
fn connection_events(log: Logger) -> impl Fn(ConnectionEvent) + 'static {
    let seldom = Seldom::default();
    move |event| {
        if event.is_rejection() {
            seldom.line("connection", |left_out| {
                warn!(log, "connection refused"; "code" => 2212, "why" => %event, "left_out" => left_out);
            });
        }
    }
}

async fn serve(mut settings: Settings, log: Logger) -> Result<(), Ended> {
    let began = Instant::now();
    let addr = settings.peer_addr(PeerRole::Store)?;
    let dir = settings.data_dir.clone().ok_or(Ended::Lacks("DataDir"))?;
    let disk_mb = settings
        .limits
        .disk_mb
        .ok_or(Ended::Lacks("Limits.DiskMb"))?;
    let files_most =
        ((disk_mb as f64 * 1.0e6 * DISK_SHARE) as u64 / FILE_BYTES).clamp(2, 4_096) as usize;
    let listener = listen(addr)?;
    let holder = write_ahead_log::owner_id(&settings.node, "store");
    let Found {
        ring,
        bytes,
        parts,
        identity,
    } = open_disk(
        &dir,
        Options {
            segment_bytes: FILE_BYTES,
            max_segments: files_most,
        },
        holder,
        &log,
    )?;
    let terms = Terms {
        addr,
        id: identity,
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        poll_ms: settings.bounds.poll_ms,
        least: faults_at_once(&settings.budget) + 1,
        most_bytes: usize::try_from(settings.limits.ram_mb * 1_000_000 / MEMORY_PART)
            .unwrap_or(usize::MAX)
            .min(chain_replication::MAX_SNAPSHOT_BYTES as usize * 7 / 8),
        incarnation: draw(),
        answer_bytes_per_ms: (settings.limits.link_mbps * BYTES_PER_MS_OF_A_MBIT * ANSWER_SHARE)
            as u64,
    };
    info!(log, "starting"; "addr" => %addr, "id" => identity, "partitions" => parts.len());
    let me = Peer {
        addr,
        id: identity,
        node: settings.node.clone(),
        zone: settings.zone.clone(),
    };
    let mut synced = ring.synced_lsn();
    let store = Store::new(terms, parts, log.clone());
    let live = store
        .held()
        .map(|(_, node)| node.state_machine().bytes() as u64)
        .sum();
    let process = Rc::new(Process {
        store: RefCell::new(store),
        journal: RefCell::new(Some(Journal::new(ring, bytes, live))),
        state_table: RefCell::new(
            StateTable::new(draw(), addr, Follow::First, Role::Relay).with_id(identity),
        ),
        links: Transport::with_events(me, connection_events(log.clone())),
        controllers: RefCell::new((settings.controller_peers(), Vec::new())),
        seldom: RefCell::default(),
        passed_over: Cell::default(),
        began,
        log: log.clone(),
    });
    let parents = process.see_controllers();
    process
        .state_table
        .borrow_mut()
        .set_parents(process.now(), parents);
    let handler: Rc<dyn Handler> = process.clone();
    tokio::task::spawn_local(Rc::clone(&process.links).serve(listener, handler));
    let mut term = signal(SignalKind::terminate()).map_err(Ended::Runtime)?;
    let mut hup = signal(SignalKind::hangup()).map_err(Ended::Runtime)?;
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ends: Option<tokio::time::Instant> = None;
    let longest = Duration::from_millis(settings.bounds.grace_ms)
        .saturating_sub(BEFORE_GRACE)
        .max(LEAVING);
    loop {
        tokio::select! {
            changed = synced.changed() => match changed {
                Ok(()) => {
                    let at = *synced.borrow_and_update();
                    process.synced(at);
                }
                Err(_) => return Err(Ended::Disk(LogError::Closed)),
            },
            _ = tick.tick() => process.tick(),
            _ = term.recv(), if ends.is_none() => {
                ends = Some(tokio::time::Instant::now() + LEAVING);
                let now = process.now();
                process.store.borrow_mut().leave(now);
                process.act();
            }
            _ = hup.recv() => match Settings::load().and_then(|file| settings.reread(&file)) {
                Ok(reread) => process.take_settings(reread, &mut settings),
                Err(why) => warn!(log, "settings left as they were"; "code" => 2206, "why" => %why),
            },
        }
        if ends.is_some_and(|at| {
            let now = tokio::time::Instant::now();
            now >= at && (process.store.borrow().is_empty() || now >= at + (longest - LEAVING))
        }) {
            break;
        }
    }
    let now = process.now();
    process.store.borrow_mut().close();
    process.act();
    process.state_table.borrow_mut().close(now);
    process.settle_state_table(now);
    process.links.flush(FLUSH).await;
    if let Some(journal) = process.journal.borrow_mut().take() {
        journal.close();
    }
    info!(log, "stopped");
    Ok(())
}
