//! New versions under load: the program started beside itself on one inherited socket, told to stop or killed, with
//! boxes out by hand across it.

use crate::cut::Cutter;
use crate::dispatcher::DispatcherError;
use crate::fleet::{Fleet, World};
use crate::load::Clients;
use crate::scenario::{Addresses, Fault, Scenario, SECOND};
use dispatch_api::Micros;
use hyper::Method;
use rand::Rng;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::process::{Child, Command};
use tokio::task::{spawn_local, LocalSet};

/// The descriptor that the socket is inherited as.
const DESCRIPTOR: u32 = 7;
/// A newcomer must be ready within this.
const READY: Duration = Duration::from_secs(6);
/// An old process is killed so long after it was told to stop.
const KILL: Duration = Duration::from_millis(3_700);
/// How often readiness is asked for, and the folder looked at.
const ASK: Duration = Duration::from_millis(20);
/// Calls to leave a box out or call it back, before the play gives up.
const CALLS: u32 = 5;
/// The old process must name the discovery it was moved to within this.
const NAMED: Duration = Duration::from_secs(3);

/// What is played.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Boxes.
    pub boxes: usize,
    /// Load from clients, as a share of capacity.
    pub load: f64,
    /// How long clients ask.
    pub seconds: u64,
    /// New versions, spread over that time.
    pub upgrades: usize,
    /// Processes are killed outright, too, at moments that the seed draws.
    pub cuts: bool,
    /// Before each new version discovery is moved by SIGHUP, and lost while the newcomer starts.
    pub moves: bool,
    /// So large a share of connections, of clients and of boxes, breaks at a random point of a message.
    pub breaks: f64,
    /// For all that is drawn.
    pub seed: u64,
}

/// How one new version fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    /// It takes over.
    TakesOver,
    /// It is killed before it is asked whether it is ready, and another one takes over.
    DiesEarly,
    /// It is killed once it has said that it is ready, and the old one serves on.
    DiesReady,
    /// The old one is killed outright once the new one is ready.
    OldKilled,
    /// Discovery was moved by SIGHUP before, and is lost while the new one starts; it takes over.
    Moved,
}

/// One new version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Step {
    /// How it fared.
    pub way: Way,
    /// When it was ready, from its start.
    pub ready_ms: u64,
    /// When the old process had ended, from when it was told to; none if it was not told.
    pub ended_ms: Option<u64>,
}

/// What it came to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    /// The seed that all was drawn from.
    pub seed: u64,
    /// Jobs asked for, and those served.
    pub jobs: u64,
    /// Of these, served.
    pub served: u64,
    /// Requests that a connection's end turned back unheard, and that were sent again.
    pub turned_back: u64,
    /// Requests that lost their connection before an answer, or never had one.
    pub lost: u64,
    /// Connections that were cut at a random point of a message, by the share asked for.
    pub cuts: u64,
    /// Requests whose client's connection was cut so before an answer.
    pub cut_requests: u64,
    /// The longest time without any answer, and when it ended, from the first job on.
    pub longest_gap_ms: u64,
    /// ... when it ended.
    pub longest_gap_at_ms: u64,
    /// Attempts that reached a box which was out by hand.
    pub late_sends: u64,
    /// Rules broken, and the first in words.
    pub rules_broken: u64,
    /// ... of these.
    pub words: Vec<String>,
    /// The new versions.
    pub steps: Vec<Step>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for step in &self.steps {
            let ended = step.ended_ms.map_or("not told to stop".to_owned(), |ms| {
                format!("old ended after {ms} ms")
            });
            writeln!(
                f,
                "{:?}: ready after {} ms, {ended}",
                step.way, step.ready_ms
            )?;
        }
        writeln!(
            f,
            "seed {}: {} jobs, {} served, {} turned back, {} lost; {} connections cut, under {} requests",
            self.seed, self.jobs, self.served, self.turned_back, self.lost, self.cuts, self.cut_requests
        )?;
        writeln!(
            f,
            "longest time without an answer {} ms, until {} ms, {} late sends, {} rules broken",
            self.longest_gap_ms, self.longest_gap_at_ms, self.late_sends, self.rules_broken
        )?;
        self.words
            .iter()
            .try_for_each(|word| writeln!(f, "  {word}"))
    }
}

/// One process of the dispatcher.
pub(crate) struct Process {
    child: Child,
    /// Its second address.
    pub admin: SocketAddr,
    /// Its log.
    pub log: PathBuf,
}

/// How processes of one dispatcher are started.
pub(crate) struct Platform {
    /// The clients' socket, which outlives them all.
    pub socket: TcpListener,
    /// Where their files go, and what passes between them.
    pub folder: PathBuf,
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operators' file.
    pub operator: Option<PathBuf>,
}

impl Platform {
    /// For the only dispatcher before a fleet, with its files in this folder.
    pub fn alone(
        scenario: &Scenario,
        fleet: &Fleet,
        seed: u64,
        folder: &Path,
    ) -> std::io::Result<(Self, Addresses)> {
        let socket = TcpListener::bind("127.0.0.1:0")?;
        let addrs = Addresses {
            listen: socket.local_addr()?.to_string(),
            discovery: fleet.discovery(0).map_or(String::new(), |a| a.to_string()),
            peers: vec![std::net::UdpSocket::bind("127.0.0.1:0")?
                .local_addr()?
                .to_string()],
            boxes: fleet.boxes(0),
        };
        let config = folder.join("config.json");
        std::fs::write(&config, scenario.config(0, &addrs, seed))?;
        Ok((
            Platform {
                socket,
                folder: folder.to_owned(),
                config,
                operator: None,
            },
            addrs,
        ))
    }

    /// Starts the process of this number, beside whatever others run.
    pub fn start(&self, number: usize) -> std::io::Result<Process> {
        let admin = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let log = self.folder.join(format!("process-{number}.log"));
        let operator = self
            .operator
            .iter()
            .flat_map(|file| ["--operator".as_ref(), file.as_os_str()]);
        // Safe code can hand a descriptor on only as a standard stream; the shell gives it its number.
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!(
                "exec \"$0\" dispatcher --config \"$@\" {DESCRIPTOR}<&0 0</dev/null"
            ))
            .arg(std::env::current_exe()?)
            .arg(&self.config)
            .args(operator)
            .env("ROUTER_INHERITED_FD", DESCRIPTOR.to_string())
            .env("ROUTER_ADMIN_ADDR", admin.to_string())
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::from(OwnedFd::from(self.socket.try_clone()?)))
            .stdout(Stdio::null())
            .stderr(std::fs::File::create(&log)?)
            .kill_on_drop(true)
            .spawn()?;
        Ok(Process { child, admin, log })
    }
}

impl Process {
    /// Waits until it says that it is ready.
    pub async fn ready(&self) -> std::io::Result<Duration> {
        let began = Instant::now();
        while admin::request_text(self.admin, Method::GET, "/-/ready")
            .await
            .is_err()
        {
            if began.elapsed() > READY {
                return Err(std::io::Error::other("a newcomer was not ready in time"));
            }
            tokio::time::sleep(ASK).await;
        }
        Ok(began.elapsed())
    }

    /// Sends it a signal by name, as `kill -s` takes it.
    pub async fn signal(&self, name: &str) -> std::io::Result<()> {
        let id = self
            .child
            .id()
            .ok_or_else(|| std::io::Error::other("the process has ended"))?;
        Command::new("kill")
            .args(["-s", name, &id.to_string()])
            .status()
            .await?;
        Ok(())
    }

    /// Tells it to read its configuration again.
    pub async fn hang_up(&self) -> std::io::Result<()> {
        self.signal("HUP").await
    }

    /// Tells it to end, and kills it where it does not. Returns how long that took.
    pub async fn stop(mut self) -> std::io::Result<Duration> {
        let began = Instant::now();
        if self.child.id().is_some() {
            self.signal("TERM").await?;
        }
        match tokio::time::timeout(KILL, self.child.wait()).await {
            Ok(status) => {
                let status = status?;
                let failed =
                    || std::io::Error::other(format!("an old process ended with {status}"));
                status
                    .success()
                    .then_some(began.elapsed())
                    .ok_or_else(failed)
            }
            Err(_) => self.child.kill().await.map(|()| began.elapsed()),
        }
    }
}

/// Plays it on sockets.
///
/// # Errors
/// The stand-ins or the processes could not be had.
pub fn run(terms: &Terms, folder: &Path) -> Result<Summary, DispatcherError> {
    std::fs::create_dir_all(folder)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, play(terms, folder))
}

struct Play {
    world: Rc<World>,
    fleet: Rc<Fleet>,
    platform: Platform,
    rng: Pcg64Mcg,
    started: usize,
    current: Process,
    /// The box that is out.
    out: Option<usize>,
    /// What the configuration is written from.
    scenario: Scenario,
    addrs: Addresses,
    seed: u64,
}

/// Whether a file in a folder below this one, where the processes keep their notes, holds this text. The
/// configuration beside them is not looked at: it names discovery, too.
fn noted(folder: &Path, text: &[u8], below: bool) -> bool {
    let Ok(entries) = std::fs::read_dir(folder) else {
        return false;
    };
    entries.flatten().any(|entry| {
        let path = entry.path();
        match path.is_dir() {
            true => noted(&path, text, true),
            false => {
                below
                    && std::fs::read(&path)
                        .is_ok_and(|bytes| bytes.windows(text.len()).any(|w| w == text))
            }
        }
    })
}

impl Play {
    fn name(at: usize) -> String {
        crate::scenario::name(at)
    }

    async fn rule(&mut self, at: usize, out: bool, process: SocketAddr) -> std::io::Result<()> {
        let verb = if out { "disable" } else { "enable" };
        let path = format!("/-/runners/{}/{verb}", Self::name(at));
        // A no for now ("call again") comes where the loop is behind or the word is not yet kept for a successor.
        let mut calls = 0;
        while let Err(e) = admin::request_text(process, Method::PUT, &path).await {
            calls += 1;
            if !e.is_temporary() || calls == CALLS {
                return Err(std::io::Error::other(e));
            }
            tokio::time::sleep(ASK * 5).await;
        }
        let now = self.world.now();
        let mut checker = self.world.checker.borrow_mut();
        match out {
            true => checker.banned(now, at),
            false => checker.called_back(at),
        }
        self.out = out.then_some(at);
        Ok(())
    }

    /// Moves discovery by SIGHUP, waits until the old process tells its successor of the list from there, and
    /// loses discovery.
    async fn move_discovery(&mut self) -> std::io::Result<()> {
        let moved = self.fleet.another_discovery(0).await?;
        self.addrs.discovery = moved.to_string();
        std::fs::write(
            &self.platform.config,
            self.scenario.config(0, &self.addrs, self.seed),
        )?;
        self.current.hang_up().await?;
        let named = format!("\"discovery\":\"{moved}\"");
        let began = Instant::now();
        while !noted(&self.platform.folder, named.as_bytes(), false) {
            if began.elapsed() > NAMED {
                return Err(std::io::Error::other(
                    "the old process never named the discovery it was moved to",
                ));
            }
            tokio::time::sleep(ASK).await;
        }
        self.fleet.silence(true);
        Ok(())
    }

    fn start(&mut self) -> std::io::Result<Process> {
        self.started += 1;
        self.platform.start(self.started)
    }

    async fn step(&mut self, way: Way, boxes: usize) -> std::io::Result<Step> {
        // Out before, through and after the change; restarted meanwhile.
        let at = self.rng.random_range(0..boxes);
        self.rule(at, true, self.current.admin).await?;
        self.rule(at, true, self.current.admin).await?;
        self.fleet.suffer(at, Fault::Kill).await?;
        if way == Way::Moved {
            self.move_discovery().await?;
        }
        let mut new = self.start()?;
        if way == Way::DiesEarly {
            tokio::time::sleep(Duration::from_millis(self.rng.random_range(0..60))).await;
            new.child.kill().await?;
            new = self.start()?;
        }
        let ready = new.ready().await;
        self.fleet.silence(false);
        let ready = ready?;
        self.fleet.suffer(at, Fault::Start).await?;
        let ended = match way {
            Way::DiesReady => {
                tokio::time::sleep(Duration::from_millis(self.rng.random_range(0..300))).await;
                new.child.kill().await?;
                None
            }
            Way::OldKilled => {
                std::mem::replace(&mut self.current, new)
                    .child
                    .kill()
                    .await?;
                None
            }
            Way::TakesOver | Way::DiesEarly | Way::Moved => {
                // While both live, a word to either holds at both.
                let other = (at + 1) % boxes;
                self.rule(at, false, new.admin).await?;
                self.rule(other, true, self.current.admin).await?;
                let old = std::mem::replace(&mut self.current, new);
                Some(old.stop().await?)
            }
        };
        tokio::time::sleep(Duration::from_millis(300)).await;
        if let Some(out) = self.out {
            self.rule(out, false, self.current.admin).await?;
        }
        let ms = |d: Duration| d.as_millis() as u64;
        Ok(Step {
            way,
            ready_ms: ms(ready),
            ended_ms: ended.map(ms),
        })
    }
}

/// The next way in which a process goes: any of them where connections are cut too.
fn drawn_way(terms: &Terms, rng: &mut Pcg64Mcg) -> Way {
    let ways = [
        Way::TakesOver,
        Way::DiesEarly,
        Way::DiesReady,
        Way::OldKilled,
    ];
    let drawn = if terms.cuts {
        rng.random_range(0..ways.len())
    } else {
        0
    };
    match ways[drawn] {
        Way::TakesOver if terms.moves => Way::Moved,
        way => way,
    }
}

/// A run that has ended.
struct Played {
    seed: u64,
    jobs: u64,
    began: Micros,
    steps: Vec<Step>,
}

impl Played {
    fn summary(self, world: &World, clients: &Clients) -> Summary {
        let (gap, gap_end) = clients.longest_gap();
        let mut checker = world.checker.borrow_mut();
        let never = checker.end(world.now());
        let (rules_broken, words) = checker.broken();
        let served = checker.scores().iter().map(|s| s.in_time + s.late).sum();
        Summary {
            seed: self.seed,
            jobs: self.jobs,
            served,
            turned_back: clients.turned_back(),
            lost: clients.lost() + never,
            cuts: world.cutter.cuts(),
            cut_requests: clients.cut(),
            longest_gap_ms: gap / 1_000,
            longest_gap_at_ms: gap_end.saturating_sub(self.began) / 1_000,
            late_sends: checker.late_sends(),
            rules_broken,
            words: words.to_vec(),
            steps: self.steps,
        }
    }
}

async fn play(terms: &Terms, folder: &Path) -> Result<Summary, DispatcherError> {
    let mut scenario = Scenario::league(terms.boxes.max(2), 1);
    (scenario.load, scenario.end) = (vec![(0, terms.load)], terms.seconds * SECOND);
    let world = World::with_cuts(scenario.clone(), Cutter::new(terms.breaks, terms.seed));
    let fleet = Fleet::start(Rc::clone(&world)).await?;
    let (platform, addrs) = Platform::alone(&scenario, &fleet, terms.seed, folder)?;
    let listen = platform.socket.local_addr()?;
    let current = platform.start(0)?;
    current.ready().await?;
    let rng = Pcg64Mcg::seed_from_u64(terms.seed);
    let (world_, seed) = (Rc::clone(&world), terms.seed);
    let mut play = Play {
        world: world_,
        fleet,
        platform,
        rng,
        started: 0,
        current,
        out: None,
        scenario: scenario.clone(),
        addrs,
        seed,
    };
    let began = world.now();
    let mut arrivals = scenario.arrivals(terms.seed);
    arrivals.iter_mut().for_each(|a| a.at += began);
    let jobs = arrivals.len() as u64;
    let clients = Clients::new(Rc::clone(&world), vec![listen]);
    clients.counts_lost();
    let playing = {
        let clients = Rc::clone(&clients);
        spawn_local(async move { clients.play(arrivals).await })
    };
    let mut steps = vec![];
    let every = scenario.end / (terms.upgrades as Micros + 1);
    for number in 1..=terms.upgrades as Micros {
        tokio::time::sleep_until(world.at(began + number * every)).await;
        let way = drawn_way(terms, &mut play.rng);
        steps.push(play.step(way, scenario.boxes.len()).await?);
    }
    let _ = playing.await;
    tokio::time::sleep(Duration::from_micros(SECOND)).await;
    if let Err(e) = play.current.stop().await {
        world
            .checker
            .borrow_mut()
            .other(world.now(), &e.to_string());
    }
    let context = Played {
        seed: terms.seed,
        jobs,
        began,
        steps,
    };
    Ok(context.summary(&world, &clients))
}
