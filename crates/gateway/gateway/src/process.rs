//! The program: start, what happens by the clock, reload, stop.

use crate::client::frontend::Frontend;
use crate::client::limits;
use crate::client::memory_budget::Memory;
use crate::codes;
use crate::control::{self, Control, ControlHandler};
use crate::counters::{Counters, EVERY_MS};
use crate::gateway::{Clock, Gateway};
use crate::items::{self, Items};
use crate::selection::load_report;
use crate::selection::selector::RunnerSelector;
use crate::{readiness, shutdown};
use http1::{Connections, Phase};
use peer_transport::{ConnectionEvent, Peer, Transport};
use process_startup::{ListenError, Signals};
use slog::{crit, error, info, warn, Logger};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use structured_log::{LogLimiter, RateLimiter};
use tier_settings::{PeerRole, Reload, Settings, SettingsError};
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, Duration, MissedTickBehavior};

/// How often time passes for all that has no timer of its own.
const TICK: Duration = Duration::from_millis(100);
/// How often connections to runners that are kept are looked through, in ticks.
const SWEEP_EVERY: u64 = 5;
/// How often roll-outs under way are reported on, in ticks: every 300 ms.
const REPORT_EVERY: u64 = replicated_state::ROLLOUT_REPORT_INTERVAL_MS / TICK.as_millis() as u64;
/// Connections that may wait to be accepted: a full queue drops the opening of a client, which comes again after seconds.
const BACKLOG: u32 = 4_096;
/// A process that no controller reaches for so long reads its settings again, as often.
const SETTINGS_EVERY_MS: u64 = 5_000;
/// Descriptors that are left to files, listeners and the connections to other processes.
const DESCRIPTORS_KEPT: u64 = 400;
/// The share of the others that clients' connections may take; the rest is for runners'.
const CLIENTS_SHARE: f64 = 0.6;
/// The share of the memory that clients' bodies may take.
const BODIES_SHARE: u64 = 4;

/// Why a gateway can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings file.
    #[error("{0}")]
    Settings(#[from] SettingsError),
    /// Something is missing in it.
    #[error("this role needs {0} in the settings")]
    Lacks(&'static str),
    /// An address that is taken.
    #[error("can't listen at {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// Something else of the system.
    #[error("the system: {0}")]
    System(std::io::Error),
}

/// Runs the program until it was told to stop.
pub fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let mut log = structured_log::logger("", "gateway");
    let ended = match runtime {
        Ok(runtime) => LocalSet::new().block_on(&runtime, start(&mut log)),
        Err(e) => Err(StartError::System(e)),
    };
    let Err(error) = ended else {
        return ExitCode::SUCCESS;
    };
    crit!(log, "can't start"; "code" => codes::CANT_START, "why" => %error);
    match error {
        StartError::Settings(_) => ExitCode::from(2),
        _ => ExitCode::FAILURE,
    }
}

/// A socket that listens; a predecessor that still does is waited for.
async fn listen(
    settings: &Settings,
    addr: SocketAddr,
    log: &Logger,
) -> Result<TcpListener, StartError> {
    let grace = Duration::from_millis(settings.bounds.grace_ms);
    let waiting = |addr| warn!(log, "address in use, waiting"; "code" => codes::ADDRESS_IN_USE, "addr" => %addr);
    let opened = process_startup::listen(addr, BACKLOG, grace, waiting).await;
    opened.map_err(|ListenError { addr, source }| StartError::Listen(addr, source))
}

/// A number that no other process has: the standard library draws its keys from the system.
fn drawn() -> u64 {
    RandomState::new().build_hasher().finish().max(1)
}

/// Takes signals before anything else: all that follows may take long.
async fn start(log: &mut Logger) -> Result<(), StartError> {
    let mut signals = Signals::install().map_err(StartError::System)?;
    let settings = Settings::load()?;
    *log = structured_log::logger(&settings.node, &settings.role);
    let log = log.clone();
    let me = settings.peer_addr(PeerRole::Gateway)?;
    let http = settings.http.ok_or(StartError::Lacks("Bind.Http"))?;
    let readyz = settings.readyz.ok_or(StartError::Lacks("Bind.Readyz"))?;
    let listeners = async {
        let http = listen(&settings, http, &log).await?;
        let readyz = listen(&settings, readyz, &log).await?;
        Ok::<_, StartError>((http, readyz, listen(&settings, me, &log).await?))
    };
    let (http, readyz, peers) = tokio::select! {
        listeners = listeners => listeners?,
        () = signals.terminated() => return Ok(()),
    };
    let (mut term, mut hup) = signals.into_parts();
    info!(log, "started"; "zone" => settings.zone.as_str(), "peer" => %me);
    let process = Process::new(settings, log, me, drawn());
    process.gateway.reads_settings.set(true);
    process.serve(http, readyz, peers);
    loop {
        tokio::select! {
            biased;
            _ = term.recv() => break,
            _ = hup.recv() => process.reload(Settings::load()),
        }
    }
    process.stop().await;
    Ok(())
}

/// The process, apart from signals and the settings file.
pub struct Process {
    /// What its parts share.
    pub gateway: Rc<Gateway>,
}

impl Process {
    /// One that does nothing yet.
    pub fn new(settings: Settings, log: Logger, me: SocketAddr, id: u64) -> Self {
        let clock = Clock::start();
        let (phase, phases) = watch::channel(Phase::Serving);
        let descriptors = settings
            .limits
            .nofile
            .saturating_sub(DESCRIPTORS_KEPT)
            .max(64);
        let most = (descriptors as f64 * CLIENTS_SHARE) as usize;
        let connections = Rc::new(Connections::new(
            phases,
            most,
            limits::default_protocol_limits(),
        ));
        let bodies = settings.limits.ram_mb.max(16) * 1024 * 1024 / BODIES_SHARE;
        let me_as_peer = Peer {
            addr: me,
            id,
            node: settings.node.clone(),
            zone: settings.zone.clone(),
        };
        let links = Transport::with_events(me_as_peer, connection_events(log.clone()));
        let gateway = Rc::new(Gateway {
            clock,
            id,
            selector: RunnerSelector::new(id, &settings.zone, clock),
            control: Control::new(id, me),
            items: Items::default(),
            connections,
            memory: Memory::new(usize::try_from(bodies).unwrap_or(usize::MAX)),
            counts: Counters::default(),
            links,
            map: RefCell::default(),
            changed: Notify::new(),
            phase,
            stopped: Cell::new(None),
            was_ready: Cell::new(false),
            reads_settings: Cell::new(false),
            rarely: RefCell::new(RateLimiter::default()),
            config: RefCell::default(),
            settings: RefCell::new(Rc::new(settings)),
            log,
        });
        limits::apply(&gateway, &route_config::Limits::default());
        Process { gateway }
    }

    /// Serves on these sockets.
    pub fn serve(&self, http: TcpListener, readyz: TcpListener, peers: TcpListener) {
        let gateway = &self.gateway;
        let asked = Rc::clone(gateway);
        spawn_local(readiness::serve(readyz, Rc::new(move || asked.is_ready())));
        spawn_local(
            Rc::clone(&gateway.links).serve(peers, Rc::new(ControlHandler(Rc::clone(gateway)))),
        );
        let front = Rc::new(Frontend(Rc::clone(gateway)));
        spawn_local(Rc::clone(&gateway.connections).accept(front, http));
        control::follow(gateway, gateway.clock.now());
        spawn_local(ticks(Rc::clone(gateway)));
    }

    /// The settings file has changed: what may change of it takes effect, requests go on.
    pub fn reload(&self, read: Result<Settings, SettingsError>) {
        reload(&self.gateway, read);
    }

    /// Ends in order. Comes back when the process may end.
    pub async fn stop(&self) {
        let gateway = &self.gateway;
        let began = gateway.clock.now();
        gateway.stopped.set(Some(began));
        let grace = gateway.settings.borrow().bounds.grace_ms;
        info!(gateway.log, "shutting down"; "connections" => gateway.connections.open(), "items" => gateway.items.len());
        let mut closed = false;
        loop {
            let since = gateway.clock.now().saturating_sub(began);
            let open = gateway.connections.open() + gateway.items.len();
            let ending = shutdown::shutdown_step(since, grace, open);
            if *gateway.phase.borrow() != ending.phase {
                gateway.phase.send_replace(ending.phase);
            }
            if ending.over {
                break;
            }
            // Those below in the tree go on following it while it may still be asked by clients.
            if ending.phase == Phase::Closing && !closed {
                closed = true;
                control::close(gateway);
            }
            tokio::time::sleep(Duration::from_millis(ending.next_ms)).await;
        }
        let left = gateway.connections.open();
        if left > 0 || !gateway.items.is_empty() {
            warn!(gateway.log, "shutdown grace exceeded"; "code" => codes::ENDED_OPEN, "connections" => left, "items" => gateway.items.len());
        }
        let _ = gateway.links.flush(Duration::from_millis(100)).await;
        info!(gateway.log, "stopped"; "after_ms" => gateway.clock.now().saturating_sub(began));
    }
}

/// Says which connections with other processes were refused.
fn connection_events(log: Logger) -> impl Fn(ConnectionEvent) + 'static {
    let limiter = LogLimiter::default();
    move |event| {
        if event.is_rejection() {
            limiter.log("connection rejected", |left_out| {
                warn!(log, "connection rejected"; "code" => codes::CONNECTION_REFUSED, "why" => %event, "left_out" => left_out);
            });
        }
    }
}

fn reload(gateway: &Rc<Gateway>, read: Result<Settings, SettingsError>) {
    let before = Rc::clone(&gateway.settings.borrow());
    match read.and_then(|file| before.reload(&file)) {
        Ok(Reload { settings, changed, restart_required }) => {
            if !restart_required.is_empty() {
                gateway.log_rate_limited("settings take effect at the next start", |left_out| {
                    warn!(gateway.log, "settings take effect at the next start"; "code" => codes::AT_NEXT_START,
                        "keys" => restart_required.join(","), "left_out" => left_out);
                });
            }
            if changed {
                *gateway.settings.borrow_mut() = Rc::new(settings);
                control::follow(gateway, gateway.clock.now());
                info!(gateway.log, "settings reloaded");
            }
        }
        Err(e) => gateway.log_rate_limited("settings reload rejected", |left_out| {
            error!(gateway.log, "settings reload rejected"; "code" => codes::SETTINGS_KEPT, "why" => %e, "left_out" => left_out);
        }),
    }
}

/// What happens by the clock.
async fn ticks(gateway: Rc<Gateway>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut count, mut written, mut looked) = (0_u64, 0, 0);
    loop {
        ticks.tick().await;
        let now = gateway.clock.now();
        count += 1;
        control::tick(&gateway, now);
        gateway.connections.table().close_overdue();
        for (key, addr) in gateway.selector.tick(now) {
            spawn_local(load_report::fetch_report(Rc::clone(&gateway), key, addr));
        }
        items::tick(&gateway, now);
        if count % REPORT_EVERY == 0 {
            control::report_rollouts(&gateway, now);
        }
        if count % SWEEP_EVERY == 0 {
            gateway.selector.sweep();
        }
        // The file may have changed without a word, and name controllers that can be reached.
        if now >= looked + SETTINGS_EVERY_MS && gateway.control.age(now) > SETTINGS_EVERY_MS {
            looked = now;
            if gateway.reads_settings.get() {
                reload(&gateway, Settings::load());
            }
        }
        if now >= written + EVERY_MS {
            written = now;
            if !gateway.counts.is_empty() {
                gateway.counts.write(&gateway.log);
            }
        }
    }
}
