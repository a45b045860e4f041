//! The program: it reads the settings, opens sockets and disk, and runs the event loop.

use crate::call::Input;
use crate::core::ControllerCore;
use crate::ctl;
use crate::event_loop::EventLoop;
use crate::journal::Journal;
use crate::startup::{ProcessIdentity, RecoveredState, RecoveryError, Startup};
use bytes::Bytes;
use peer_transport::{ConnectionEvent, Handler, Peer, Transport};
use process_startup::{ListenError, Signals};
use slog::{crit, info, warn, Logger};
use std::cell::Cell;
use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use structured_log::LogLimiter;
use tier_settings::{PeerRole, Settings, SettingsError};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use write_ahead_log::{LogError, OpenAs, Options, MIN_SEGMENTS};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Size of a segment of the log: two of the largest configurations fit in.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// The share of `Limits.DiskMb` for the log; the rest is for the segments' headers and what the file
/// system needs.
const LOG_SHARE: f64 = 0.9;
/// An initial member waits so long for its first record before it serves what needs no disk.
const FIRST_RECORD_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a controller can't start, or go on.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings file can't be read, or is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The disk can't be opened, or its writer has ended.
    #[error(transparent)]
    Disk(#[from] LogError),
    /// The settings lack what this role needs.
    #[error("this role needs {0} in the settings")]
    MissingSetting(&'static str),
    /// An address is taken, or not of this machine.
    #[error("listen at {0}")]
    Listen(SocketAddr, #[source] std::io::Error),
    /// A record on disk is of another version, or damaged.
    #[error("recover from disk")]
    Recovery(#[from] RecoveryError),
    /// The runtime, or a signal handler.
    #[error("start the runtime")]
    Runtime(#[source] std::io::Error),
}

impl StartError {
    /// The code of the line with which the controller ends, as in docs/result-codes.md.
    fn code(&self) -> u16 {
        match self {
            StartError::Settings(_) | StartError::MissingSetting(_) => 1410,
            StartError::Listen(..) => 1411,
            StartError::Disk(LogError::WrongOwner { .. }) => 1413,
            StartError::Disk(_) => 1412,
            StartError::Recovery(_) => 1414,
            StartError::Runtime(_) => 1415,
        }
    }

    /// What went wrong, with all its causes.
    fn with_causes(&self) -> String {
        let mut text = self.to_string();
        let mut cause = self.source();
        while let Some(error) = cause {
            text = format!("{text}: {error}");
            cause = error.source();
        }
        text
    }
}

/// Queues the frames of peers for the event loop.
struct FrameReceiver {
    inputs: mpsc::Sender<Input>,
    dropped: Rc<Cell<u64>>,
    log_limit: LogLimiter,
    log: Logger,
}

impl Handler for FrameReceiver {
    fn handle_message(&self, from: &Rc<Peer>, kind: u16, body: Bytes) {
        if self
            .inputs
            .try_send(Input::Frame {
                from: Rc::clone(from),
                kind,
                body,
            })
            .is_err()
        {
            self.dropped.set(self.dropped.get().saturating_add(1));
            self.log_limit.log("dropped", |left_out| {
                warn!(self.log, "frame dropped, queue full"; "code" => 1402, "kind" => kind,
                    "left_out" => left_out);
            });
        }
    }

    fn handle_call(&self, _: &Rc<Peer>, _: u16, _: Bytes, _: peer_transport::Reply) {
        // Controllers answer no calls by frames; the caller learns at once that there is no answer.
    }
}

/// The program. Exits with failure where it can't start or go on; the last line of its log gives
/// the reason.
pub fn run() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let mut log = structured_log::logger("", "controller");
    let result = match runtime {
        Ok(runtime) => tokio::task::LocalSet::new().block_on(&runtime, start(&mut log)),
        Err(error) => Err(StartError::Runtime(error)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            crit!(log, "exiting on error"; "code" => error.code(), "why" => error.with_causes());
            ExitCode::FAILURE
        }
    }
}

/// Takes signals before anything else: all that follows may take long.
async fn start(log: &mut Logger) -> Result<(), StartError> {
    let mut signals = Signals::install().map_err(StartError::Runtime)?;
    let settings = Settings::load()?;
    *log = structured_log::logger(&settings.node, "controller");
    let addr = settings.peer_addr(PeerRole::Controller)?;
    let ctl = settings.ctl.ok_or(StartError::MissingSetting("Bind.Ctl"))?;
    let listeners = async {
        let peers = listen(&settings, addr, log).await?;
        Ok::<_, StartError>((peers, listen(&settings, ctl, log).await?))
    };
    let (peers, calls) = tokio::select! {
        listeners = listeners => listeners?,
        () = signals.terminated() => return Ok(()),
    };
    let sockets = Sockets { addr, peers, calls };
    serve(settings, sockets, signals, log.clone()).await
}

/// The sockets of a controller.
struct Sockets {
    /// Where other processes of the tier connect.
    addr: SocketAddr,
    peers: TcpListener,
    /// Where runners and operators call.
    calls: TcpListener,
}

/// A socket that listens; a predecessor that still does is waited for.
async fn listen(
    settings: &Settings,
    addr: SocketAddr,
    log: &Logger,
) -> Result<TcpListener, StartError> {
    let grace = Duration::from_millis(settings.bounds.grace_ms);
    let waiting = |addr| warn!(log, "address in use, waiting"; "code" => 1416, "addr" => %addr);
    let opened = process_startup::listen(addr, LISTEN_BACKLOG, grace, waiting).await;
    opened.map_err(|ListenError { addr, source }| StartError::Listen(addr, source))
}

/// A random number that no other start draws; never 0.
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

/// A journal that was opened, and what was on its disk.
struct OpenedJournal {
    journal: Journal,
    recovered: RecoveredState,
    /// The disk was empty.
    was_empty: bool,
    /// The random identity of the disk, or of this process where there is none.
    identity: u64,
    /// The end of the journal was cut off.
    torn: bool,
}

/// Opens the journal on the machine's disk. A controller without a disk gets one that keeps
/// nothing, under an identity of its own; it is no initial member.
fn open_journal(settings: &Settings) -> Result<OpenedJournal, StartError> {
    let Some(dir) = &settings.data_dir else {
        return Ok(OpenedJournal {
            journal: Journal::without_disk(),
            recovered: RecoveredState::default(),
            was_empty: false,
            identity: draw(),
            torn: false,
        });
    };
    let disk_mb = settings
        .limits
        .disk_mb
        .ok_or(StartError::MissingSetting("Limits.DiskMb"))?;
    let log_bytes = disk_mb as f64 * 1.0e6 * LOG_SHARE;
    let max_segments = ((log_bytes / SEGMENT_BYTES as f64) as usize).max(MIN_SEGMENTS);
    let options = Options {
        segment_bytes: SEGMENT_BYTES,
        max_segments,
    };
    let open_as = OpenAs {
        new_identity: draw(),
        owner: write_ahead_log::owner_id(&settings.node, "controller"),
    };
    let opened = write_ahead_log::open_for(dir, options, open_as)?;
    let (journal, recovered) = Journal::new(opened.log, opened.records);
    Ok(OpenedJournal {
        journal,
        recovered,
        was_empty: opened.is_new,
        identity: opened.identity,
        torn: opened.torn,
    })
}

async fn serve(
    settings: Settings,
    sockets: Sockets,
    signals: Signals,
    log: Logger,
) -> Result<(), StartError> {
    let started_at = Instant::now();
    let Sockets { addr, peers, calls } = sockets;
    let OpenedJournal {
        mut journal,
        recovered,
        was_empty,
        identity,
        torn,
    } = open_journal(&settings)?;
    let incarnation = draw();
    let identity = ProcessIdentity {
        incarnation,
        disk_id: identity,
        disk_was_empty: was_empty,
    };
    let startup = Startup::new(&settings, addr, identity, &recovered);
    let ctl = calls.local_addr().map_err(StartError::Runtime)?;
    info!(log, "starting"; "addr" => %addr, "ctl" => %ctl, "id" => startup.me.id,
        "fresh" => was_empty, "torn" => torn, "disk" => settings.data_dir.is_some(),
        "initial_members" => startup.initial_members.len());
    let synced = journal.subscribe_synced();
    if let Some(record) = startup.first_record.clone() {
        journal.write_initial_members(1, record);
        wait_for_first_record(synced.clone()).await;
    }
    let me = Peer {
        addr,
        id: incarnation,
        node: settings.node.clone(),
        zone: settings.zone.clone(),
    };
    let transport = Transport::with_events(me, log_rejected_connections(log.clone()));
    let core = ControllerCore::new(startup, &recovered, settings, log.clone())?;
    // The records are of no more use, and may be as large as the disk.
    drop(recovered);
    let (inputs, queue) = mpsc::channel(ctl::INPUT_QUEUE_CAPACITY);
    let receiver = Rc::new(FrameReceiver {
        inputs: inputs.clone(),
        dropped: core.dropped_frames(),
        log_limit: LogLimiter::default(),
        log: log.clone(),
    });
    tokio::task::spawn_local(Rc::clone(&transport).serve(peers, receiver));
    tokio::task::spawn_local(ctl::serve(calls, inputs));
    EventLoop::new(core, journal, transport, started_at, log)
        .run(queue, synced, signals)
        .await
}

async fn wait_for_first_record(mut synced: watch::Receiver<u64>) {
    let newest = *synced.borrow();
    let on_disk = synced.wait_for(|lsn| *lsn > newest);
    // A disk that takes longer is no reason not to serve: nothing is announced until it does.
    let _ = tokio::time::timeout(FIRST_RECORD_TIMEOUT, on_disk).await;
}

/// Logs which connections of other processes were rejected.
fn log_rejected_connections(log: Logger) -> impl Fn(ConnectionEvent) + 'static {
    let log_limit = LogLimiter::default();
    move |event| {
        if event.is_rejection() {
            log_limit.log("connection", |left_out| {
                warn!(log, "connection rejected"; "code" => 1408, "why" => %event,
                    "left_out" => left_out);
            });
        }
    }
}
