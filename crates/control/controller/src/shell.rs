//! The process around the owner: sockets, disk, clock, signals.

use crate::begin::{Begin, Found, Unreadable};
use crate::ctl;
use crate::journal::Journal;
use crate::op::{Ask, Op, Reply};
use crate::owner::{Out, Owner, TICK};
use bytes::Bytes;
use peer_transport::{ConnectionEvent, Handler, Peer, Transport};
use slog::{crit, info, warn, Logger};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use structured_log::Seldom;
use tier_settings::{PeerRole, Settings, SettingsError};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use write_ahead_log::{LogError, Options};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// The size of a file of the ring: two of the largest configurations fit in.
const FILE_BYTES: u64 = 8 * 1024 * 1024;
/// What stays free of the disk: the files' heads and what the file system needs.
const DISK_RESERVE: f64 = 0.9;
/// The share of `GraceS` after which a controller that stops ends, whoever still needs it: well before it is killed.
const STOPPING_SHARE: f64 = 0.75;
/// A founder waits so long for its first record before it serves what needs no disk.
const FOUNDING_WAIT: Duration = Duration::from_millis(500);

/// Why a controller can't start.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("{0}")]
    Disk(#[from] LogError),
    #[error("this role needs {0} in the settings")]
    Lacks(&'static str),
    #[error("can't listen at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    #[error("a record on disk that this version can't read: {0}")]
    Record(#[from] Unreadable),
    #[error("the runtime: {0}")]
    Runtime(std::io::Error),
}

impl StartError {
    /// The number of the line with which the controller ends, as in docs/result-codes.md.
    fn code(&self) -> u16 {
        match self {
            StartError::Settings(_) | StartError::Lacks(_) => 1410,
            StartError::Listen(..) => 1411,
            StartError::Disk(LogError::WrongOwner { .. }) => 1413,
            StartError::Disk(_) => 1412,
            StartError::Record(_) => 1414,
            StartError::Runtime(_) => 1415,
        }
    }
}

/// Hands what peers say to the owner.
struct Hand {
    ops: mpsc::Sender<Op>,
    dropped: Rc<Cell<u64>>,
    seldom: Seldom,
    log: Logger,
}

impl Handler for Hand {
    fn handle_message(&self, from: &Rc<Peer>, kind: u16, body: Bytes) {
        if self
            .ops
            .try_send(Op::Told {
                from: Rc::clone(from),
                kind,
                body,
            })
            .is_err()
        {
            self.dropped.set(self.dropped.get().saturating_add(1));
            self.seldom.line("dropped", |left_out| {
                warn!(self.log, "frame dropped: too much waits"; "code" => 1402, "kind" => kind, "left_out" => left_out);
            });
        }
    }

    fn handle_call(&self, _: &Rc<Peer>, _: u16, _: Bytes, _: peer_transport::Reply) {
        // Nothing is asked of controllers by frames; the caller hears at once that there is no answer.
    }
}

/// The program.
pub fn run() -> ExitCode {
    let settings = match Settings::load() {
        Ok(settings) => settings,
        Err(e) => {
            let e = StartError::from(e);
            crit!(structured_log::logger("", "controller"), "ended"; "code" => e.code(), "why" => %e);
            return ExitCode::FAILURE;
        }
    };
    let log = structured_log::logger(&settings.node, "controller");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = runtime.map_err(StartError::Runtime).and_then(|runtime| {
        tokio::task::LocalSet::new().block_on(&runtime, serve(settings, log.clone()))
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            crit!(log, "ended"; "code" => e.code(), "why" => %e);
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
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    hasher.write_u128(unix.as_nanos());
    hasher.write_u32(std::process::id());
    hasher.finish().max(1)
}

/// A journal that was opened, and what stood there.
struct Opened {
    journal: Journal,
    found: Found,
    /// The disk was empty.
    fresh: bool,
    /// The random id of the disk, or of this process where there is none.
    identity: u64,
    /// The end of the journal was cut off.
    torn: bool,
}

/// Opens the journal on the machine's disk. A controller without a disk gets one that keeps nothing, under an identity of
/// its own; it founds nothing.
fn open_journal(settings: &Settings) -> Result<Opened, StartError> {
    let Some(dir) = &settings.data_dir else {
        let (journal, found) = (Journal::without_disk(), Found::default());
        return Ok(Opened {
            journal,
            found,
            fresh: false,
            identity: draw(),
            torn: false,
        });
    };
    let disk_mb = settings
        .limits
        .disk_mb
        .ok_or(StartError::Lacks("Limits.DiskMb"))?;
    let bytes = disk_mb as f64 * 1.0e6 * DISK_RESERVE;
    let files_most = ((bytes / FILE_BYTES as f64) as usize).max(2);
    let holder = write_ahead_log::owner_id(&settings.node, "controller");
    let opened = write_ahead_log::open_for(
        dir,
        Options {
            segment_bytes: FILE_BYTES,
            max_segments: files_most,
        },
        write_ahead_log::OpenAs {
            new_identity: draw(),
            owner: holder,
        },
    )?;
    let (journal, found) = Journal::new(opened.log, opened.records);
    let (fresh, identity, torn) = (opened.is_new, opened.identity, opened.torn);
    Ok(Opened {
        journal,
        found,
        fresh,
        identity,
        torn,
    })
}

async fn serve(settings: Settings, log: Logger) -> Result<(), StartError> {
    let clock = Instant::now();
    let addr = settings.peer_addr(PeerRole::Controller)?;
    let ctl = settings.ctl.ok_or(StartError::Lacks("Bind.Ctl"))?;
    let (peers, calls) = (listen(addr)?, listen(ctl)?);
    let Opened {
        mut journal,
        found,
        fresh,
        identity,
        torn,
    } = open_journal(&settings)?;
    let incarnation = draw();
    let (begin, record) = Begin::new(&settings, addr, incarnation, (fresh, identity), &found);
    info!(log, "starting"; "addr" => %addr, "ctl" => %ctl, "id" => begin.me.id, "fresh" => fresh,
        "torn" => torn, "disk" => settings.data_dir.is_some(), "founders" => begin.founders.len());
    let synced = journal.watch();
    if let Some(record) = record {
        journal.found(1, record);
        let mut synced = synced.clone();
        let newest = *synced.borrow();
        let _ =
            tokio::time::timeout(FOUNDING_WAIT, synced.wait_for(|on_disk| *on_disk > newest)).await;
    }
    let me = Peer {
        addr,
        id: incarnation,
        node: settings.node.clone(),
        zone: settings.zone.clone(),
    };
    let links = Transport::with_events(me, connection_events(log.clone()));
    let owner = Owner::new(begin, &found, settings, log.clone())?;
    // The records that were read are of no more use, and may be as large as the disk.
    drop(found);
    let (ops, asked) = mpsc::channel(ctl::OPS_MOST);
    let (dropped, seldom) = (owner.dropped(), Seldom::default());
    let hand = Rc::new(Hand {
        ops: ops.clone(),
        dropped,
        seldom,
        log: log.clone(),
    });
    tokio::task::spawn_local(Rc::clone(&links).serve(peers, hand));
    tokio::task::spawn_local(ctl::serve(calls, ops));
    let shell = Shell {
        owner,
        journal,
        links,
        clock,
        calls: HashMap::new(),
        call: 0,
        log,
    };
    shell.go_on(asked, synced).await
}

/// Says which connections of other processes were refused.
fn connection_events(log: Logger) -> impl Fn(ConnectionEvent) + 'static {
    let seldom = Seldom::default();
    move |event| {
        if event.is_rejection() {
            seldom.line("connection", |left_out| {
                warn!(log, "connection refused"; "code" => 1408, "why" => %event, "left_out" => left_out);
            });
        }
    }
}

/// The owner with its disk, its links and its callers.
struct Shell {
    owner: Owner,
    journal: Journal,
    links: Rc<Transport>,
    clock: Instant,
    /// Who waits for the answer of which number. Bounded by the connections of `ctl`.
    calls: HashMap<u64, Reply>,
    call: u64,
    log: Logger,
}

impl Shell {
    /// Steady milliseconds, and the time of day.
    fn now(&self) -> (u64, u64) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        (
            self.clock.elapsed().as_millis() as u64 + 1,
            unix.as_millis() as u64,
        )
    }

    /// The loop.
    async fn go_on(
        mut self,
        mut asked: mpsc::Receiver<Op>,
        mut synced: watch::Receiver<u64>,
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
                        self.synced(ticket);
                    }
                    Err(_) => return Err(StartError::Disk(LogError::Closed)),
                },
                op = asked.recv() => if let Some(op) = op { self.handle(op) },
                _ = tick.tick() => {
                    let (now, unix) = self.now();
                    self.owner.persistence(now, self.journal.state());
                    self.owner.tick(now, unix);
                }
                _ = term.recv(), if ends.is_none() => {
                    let grace = Duration::from_millis(self.owner.grace_ms());
                    ends = Some(tokio::time::Instant::now() + grace.mul_f64(STOPPING_SHARE));
                    let (now, unix) = self.now();
                    self.owner.stop(now, unix);
                }
                _ = hup.recv() => self.owner.reload(Settings::load()),
            }
            self.carry_out();
            let (now, _) = self.now();
            // Behind all that the owner wanted written; also while the disk takes nothing.
            self.journal.compact(now, &self.owner);
            if ends.is_some_and(|at| tokio::time::Instant::now() >= at || self.owner.may_end()) {
                info!(self.log, "stopped");
                return Ok(());
            }
        }
    }

    fn handle(&mut self, op: Op) {
        let (now, unix) = self.now();
        match op {
            Op::Asked { ask, reply } => {
                if ask == Ask::Status {
                    let refused = self.links.counters().connections_rejected;
                    self.owner.measured(self.journal.room(), refused);
                }
                self.call += 1;
                self.calls.insert(self.call, reply);
                self.owner.asked(now, unix, self.call, ask);
            }
            Op::Told { from, kind, body } => self.owner.told(now, unix, &from, kind, &body),
        }
    }

    fn synced(&mut self, ticket: u64) {
        let (now, unix) = self.now();
        let writes = self.journal.synced(now, ticket);
        self.owner.synced(now, unix, &writes);
        self.owner.persistence(now, self.journal.state());
    }

    /// Does what the owner wants done.
    fn carry_out(&mut self) {
        let (now, _) = self.now();
        for out in self.owner.take() {
            match out {
                Out::Tell { to, kind, body } => self.links.send(to, kind, body),
                Out::Write { told, record } => self.journal.write(now, told, record),
                Out::Reply { call, answer } => {
                    // Who has gone away needs no answer.
                    if let Some(reply) = self.calls.remove(&call) {
                        let _ = reply.send(answer);
                    }
                }
            }
        }
    }
}
