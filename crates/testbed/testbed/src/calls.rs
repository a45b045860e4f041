//! How long callers of the second address wait while the dispatcher is saturated on a part of a core.
//!
//! The part is played as a quota of the system plays it: the process is stopped and goes on again, in periods of 100 ms.

use crate::dispatcher::DispatcherError;
use crate::fleet::{Fleet, World};
use crate::load::Clients;
use crate::scenario::{Scenario, SECOND};
use crate::upgrade::{Platform, Process};
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};

/// A quota's period.
const PERIOD: Duration = Duration::from_millis(100);
/// How often each path is called.
const EVERY: Duration = Duration::from_millis(50);
/// A caller of the platform waits so long.
const LATE: Duration = Duration::from_secs(1);
/// The first part of the run, in which the load builds up, is not counted.
const LEAD: Duration = Duration::from_secs(1);

/// What is played.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Boxes.
    pub boxes: usize,
    /// Load from clients, as a share of capacity.
    pub load: f64,
    /// How long clients ask.
    pub seconds: u64,
    /// Part of a core that the dispatcher has, up to 1.
    pub share: f64,
    /// For all that is drawn.
    pub seed: u64,
}

/// What callers of one path saw. Times in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Seen {
    /// The path.
    pub path: String,
    /// Calls made.
    pub calls: usize,
    /// Calls without a yes within 1 s.
    pub late: usize,
    /// Half of the calls took less.
    pub median_ms: f64,
    /// ... 99 of 100.
    pub p99_ms: f64,
    /// The longest.
    pub longest_ms: f64,
}

/// What it came to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    /// Jobs asked for, and those answered by a target in time.
    pub jobs: u64,
    /// ... of these, served.
    pub served: u64,
    /// How late the latest client asked, ms: a machine that was too busy shows here.
    pub latest_ms: f64,
    /// What callers saw.
    pub paths: Vec<Seen>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} jobs, {} served, the latest asked {:.1} ms late",
            self.jobs, self.served, self.latest_ms
        )?;
        self.paths.iter().try_for_each(|p| {
            writeln!(
                f,
                "{}: {} calls, {} late, median {:.1} ms, 99 of 100 within {:.1} ms, the longest {:.1} ms",
                p.path, p.calls, p.late, p.median_ms, p.p99_ms, p.longest_ms
            )
        })
    }
}

/// Plays it on sockets.
///
/// # Errors
/// The stand-ins or the dispatcher could not be had.
pub fn run(terms: &Terms, folder: &Path) -> Result<Summary, DispatcherError> {
    std::fs::create_dir_all(folder)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, play(terms, folder))
}

/// Lets the dispatcher run for this share of each period, as a quota does; never ends.
async fn limit_processor(dispatcher: Rc<Process>, share: f64) {
    if share >= 1.0 {
        return;
    }
    loop {
        let began = Instant::now();
        let _ = dispatcher.signal("CONT").await;
        tokio::time::sleep(PERIOD.mul_f64(share)).await;
        let _ = dispatcher.signal("STOP").await;
        tokio::time::sleep(PERIOD.saturating_sub(began.elapsed())).await;
    }
}

/// How one call went.
struct Outcome {
    span: Duration,
    in_time: bool,
}

async fn ask(admin: SocketAddr, path: &'static str) -> Outcome {
    let method = if path.ends_with("enable") {
        Method::PUT
    } else {
        Method::GET
    };
    let began = Instant::now();
    let answer = tokio::time::timeout(LATE, admin::request_text(admin, method, path)).await;
    Outcome {
        span: began.elapsed(),
        in_time: matches!(answer, Ok(Ok(_))),
    }
}

/// Makes a call every so often for so long, whether or not the ones before are answered.
async fn ask_repeatedly(admin: SocketAddr, path: &'static str, counted: Duration) -> Seen {
    let until = Instant::now() + counted;
    let mut open = vec![];
    while Instant::now() < until {
        open.push(spawn_local(ask(admin, path)));
        tokio::time::sleep(EVERY).await;
    }
    let mut outcomes = vec![];
    for call in open {
        outcomes.extend(call.await.ok());
    }
    summary_of(path, &outcomes)
}

fn summary_of(path: &str, outcomes: &[Outcome]) -> Seen {
    let spans = outcomes.iter().map(|o| o.span.as_secs_f64() * 1_000.0);
    let mut spans: Vec<f64> = spans.collect();
    spans.sort_by(f64::total_cmp);
    let at = |share: f64| {
        let last = spans.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        spans.get(index).copied().unwrap_or(0.0)
    };
    Seen {
        path: path.to_owned(),
        calls: spans.len(),
        late: outcomes.iter().filter(|o| !o.in_time).count(),
        median_ms: at(0.5),
        p99_ms: at(0.99),
        longest_ms: at(1.0),
    }
}

async fn play(terms: &Terms, folder: &Path) -> Result<Summary, DispatcherError> {
    let mut scenario = Scenario::league(terms.boxes.max(2), 1);
    (scenario.load, scenario.end) = (vec![(0, terms.load)], terms.seconds * SECOND);
    let world = World::new(scenario.clone());
    let fleet = Fleet::start(Rc::clone(&world)).await?;
    let (platform, _) = Platform::alone(&scenario, &fleet, terms.seed, folder)?;
    let listen = platform.socket.local_addr()?;
    let dispatcher = Rc::new(platform.start(0)?);
    dispatcher.ready().await?;
    let share = terms.share.clamp(0.02, 1.0);
    let quota = spawn_local(limit_processor(Rc::clone(&dispatcher), share));
    let mut arrivals = scenario.arrivals(terms.seed);
    let began = world.now();
    arrivals.iter_mut().for_each(|a| a.at += began);
    let jobs = arrivals.len() as u64;
    let clients = Clients::new(Rc::clone(&world), vec![listen]);
    clients.counts_lost();
    let load = {
        let clients = Rc::clone(&clients);
        spawn_local(async move { clients.play(arrivals).await })
    };
    tokio::time::sleep(LEAD).await;
    let counted = Duration::from_secs(terms.seconds).saturating_sub(LEAD);
    let mut callers = vec![];
    for path in ["/-/ready", "/-/metrics", "/-/runners/s-0000/enable"] {
        callers.push(spawn_local(ask_repeatedly(dispatcher.admin, path, counted)));
    }
    let mut paths = vec![];
    for caller in callers {
        paths.extend(caller.await.ok());
    }
    load.abort();
    quota.abort();
    let _ = quota.await;
    dispatcher.signal("CONT").await?;
    if let Some(dispatcher) = Rc::into_inner(dispatcher) {
        dispatcher.stop().await?;
    }
    let served = world
        .checker
        .borrow()
        .scores()
        .iter()
        .map(|s| s.in_time + s.late)
        .sum();
    Ok(Summary {
        jobs,
        served,
        latest_ms: clients.latest() as f64 / 1_000.0,
        paths,
    })
}
