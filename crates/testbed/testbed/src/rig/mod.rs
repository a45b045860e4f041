//! The fault rig: many processes of the program on one machine, with clients, stand-in boxes and discovery, a relay between
//! them, and faults at times drawn from a seed: killed, stopped, started again, parted. It ends by itself.

mod faults;
mod seat;

use crate::dispatcher::DispatcherError;
use crate::fleet::{Fleet, World};
use crate::load::Clients;
use crate::log_audit::{Closed, Down, Witness};
use crate::records::Records;
use crate::relay::{Relay, Weather};
use crate::scenario::{Addresses, Fault as Sickness, Scenario, SECOND};
use admin::view::{Maintenance, Member};
use dispatch_api::Micros;
pub use faults::{Case, Fault};
use hyper::Method;
use maintenance::TargetState;
use rand::Rng;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use seat::{unix, Seat};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// Dispatchers at most: each pair has two sockets of the relay.
pub const MOST: usize = 32;
/// A process that starts must be ready within this.
const READY: Duration = Duration::from_secs(10);
/// How often is asked.
const ASK: Duration = Duration::from_millis(50);
/// One that is told to stop ends within this.
const STOP: Duration = Duration::from_secs(6);
/// A plan is over by then, or it never is.
const PLAN_WITHIN: Duration = Duration::from_secs(100);
/// A process that started less than this before may have out what others have just taken back, see docs/maintenance.md.
const NEWCOMER: Micros = 2 * SECOND;
/// What happens comes no earlier than this after the start: until then all have heard of each other.
const LEAD: Duration = Duration::from_secs(2);

/// What is played.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Dispatchers, 2 to [`MOST`].
    pub dispatchers: usize,
    /// Boxes.
    pub boxes: usize,
    /// Load from clients, as a share of capacity.
    pub load: f64,
    /// How long clients ask.
    pub seconds: u64,
    /// One ping of each dispatcher in so long, ms.
    pub period_ms: u64,
    /// So large a share of datagrams is lost.
    pub loss: f64,
    /// Processes killed outright, and started again 1 to 4 s later.
    pub kills: usize,
    /// Processes stopped for 2 to 5 s.
    pub pauses: usize,
    /// Times that the dispatchers are parted into two, for 3 to 6 s.
    pub splits: usize,
    /// Processes told to stop, and started again 4 to 6 s later.
    pub leaves: usize,
    /// Times that ways between dispatchers are closed in one direction, as in one of the hard cases.
    pub one_sided: usize,
    /// Targets of a plan of maintenance, for which there must be three boxes more; 0, and there is none.
    pub plan: usize,
    /// How many of them may be out together.
    pub out: u8,
    /// For all that is drawn.
    pub seed: u64,
}

impl Terms {
    /// Says at once which number is wrong: a run that is not possible costs its time otherwise.
    ///
    /// # Errors
    /// The number, and what it must be.
    pub fn check(&self) -> Result<(), DispatcherError> {
        let fault = |key, value, fault: String| Err(DispatcherError::Terms { key, value, fault });
        if !(2..=MOST).contains(&self.dispatchers) {
            return fault(
                "dispatchers",
                self.dispatchers,
                format!("must be 2 to {MOST}"),
            );
        }
        if self.plan > 0 && self.plan + 3 > self.boxes {
            let most = self.boxes.saturating_sub(3);
            return fault(
                "plan",
                self.plan,
                format!(
                    "targets need three boxes more: {} are {most} at most",
                    self.boxes
                ),
            );
        }
        let hit = self.kills + self.pauses + self.leaves;
        if hit > self.dispatchers {
            let text = format!(
                "kills, stops and leavings together are more than {} dispatchers",
                self.dispatchers
            );
            return fault("faults", hit, text);
        }
        Ok(())
    }
}

/// What it came to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    /// The seed that all was drawn from.
    pub seed: u64,
    /// Dispatchers.
    pub dispatchers: usize,
    /// What happened: ms after the first job, and what.
    pub faults: Vec<(u64, Fault)>,
    /// Jobs asked for, and those served.
    pub jobs: u64,
    /// ... of these, served.
    pub served: u64,
    /// Requests that lost their connection before an answer, or found no process.
    pub lost: u64,
    /// Requests that were with a process when it was stopped.
    pub stalled: u64,
    /// Rules broken, and the first in words.
    pub rules_broken: u64,
    /// ... of these.
    pub words: Vec<String>,
    /// How long after the last fault all processes took all for alive, ms; none if they did not in time.
    pub agreed_after_ms: Option<u64>,
    /// Datagrams that a dispatcher sent in a second.
    pub datagrams_per_dispatcher_s: f64,
    /// Their bytes.
    pub bytes_per_dispatcher_s: f64,
    /// Datagrams that the network lost.
    pub dropped: u64,
    /// Processes that ended by themselves.
    pub crashed: usize,
    /// What the processes believed of each other, by their logs.
    pub members: MembersSummary,
    /// What became of the plan, where there was one.
    pub plan: Option<PlanSummary>,
}

/// What the processes believed of each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MembersSummary {
    /// Deaths that a process took for true of one that ran, while both could reach each other, directly or through one other.
    pub false_deaths: usize,
    /// The longest until a process that could hear of it knew that another had left, ms.
    pub left_known_ms: u64,
    /// Processes that suspected one that had left, and could have heard of it.
    pub left_suspected: usize,
    /// Processes that said that somebody does not hear them.
    pub unheard: usize,
    /// How long after the last fault all views were the same, ms; none if they were not in time.
    pub views_equal_ms: Option<u64>,
}

/// What became of a plan of maintenance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlanSummary {
    /// Targets that were out at some process.
    pub targets: usize,
    /// From its submission until it was over at all processes, ms; none if it was not in time.
    pub over_after_ms: Option<u64>,
    /// The most targets out at any instant, over all processes that had started 2 s before or earlier.
    pub most_out: usize,
    /// ... over all processes.
    pub most_out_with_newcomers: usize,
    /// Attempts that a process sent to a target 300 ms or more after it had it out.
    pub late_sends: usize,
    /// Words that were said since a time was up.
    pub forced: u64,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (ms, fault) in &self.faults {
            writeln!(f, "{:>6} ms: {fault:?}", ms)?;
        }
        writeln!(
            f,
            "seed {}: {} dispatchers, {} jobs, {} served, {} lost, {} stalled, {} crashed, {} rules broken",
            self.seed,
            self.dispatchers,
            self.jobs,
            self.served,
            self.lost,
            self.stalled,
            self.crashed,
            self.rules_broken
        )?;
        let agreed = self.agreed_after_ms.map_or("never".to_owned(), |ms| {
            format!("{ms} ms after the last fault")
        });
        writeln!(
            f,
            "all took all for alive: {agreed}; {:.2} datagrams/s and {:.0} bytes/s each, {} dropped",
            self.datagrams_per_dispatcher_s, self.bytes_per_dispatcher_s, self.dropped
        )?;
        let m = &self.members;
        writeln!(
            f,
            "members: {} false deaths, leaving known within {} ms, {} suspected after it, {} unheard",
            m.false_deaths, m.left_known_ms, m.left_suspected, m.unheard
        )?;
        if let Some(plan) = &self.plan {
            let over = plan
                .over_after_ms
                .map_or("never".to_owned(), |ms| format!("after {ms} ms"));
            writeln!(
                f,
                "plan: {} targets were out, over {over}, {} out at once at most ({} with newcomers), {} late sends, {} forced",
                plan.targets, plan.most_out, plan.most_out_with_newcomers, plan.late_sends, plan.forced
            )?;
        }
        self.words
            .iter()
            .try_for_each(|word| writeln!(f, "  {word}"))
    }
}

/// Plays it on sockets.
///
/// # Errors
/// The stand-ins or the processes could not be had.
pub fn run(terms: &Terms, folder: &Path) -> Result<Summary, DispatcherError> {
    terms.check()?;
    std::fs::create_dir_all(folder)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, play(terms, folder))
}

/// Addresses that nobody has, below the ports that the system gives out by itself: a process that comes back must find its
/// own free, whatever was connected meanwhile.
fn free(count: usize) -> std::io::Result<Vec<SocketAddr>> {
    let first = 20_000 + (std::process::id().wrapping_mul(977) % 10_000) as u16;
    let mut found = vec![];
    for port in first..first + 2_000 {
        if found.len() == count {
            return Ok(found);
        }
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            found.push(addr);
        }
    }
    Err(std::io::Error::other("there are not enough free ports"))
}

async fn seats(
    terms: &Terms,
    world: &World,
    fleet: &Fleet,
    folder: &Path,
) -> std::io::Result<(Vec<Seat>, Rc<Relay>)> {
    let own = free(3 * terms.dispatchers)?;
    let homes: Vec<SocketAddr> = own.iter().step_by(3).copied().collect();
    let weather = Weather {
        loss: terms.loss,
        twice: 0.05,
        travel: (300, 20_000),
    };
    let relay = Relay::start(homes.clone(), weather, terms.seed).await?;
    let mut seats = vec![];
    for number in 0..terms.dispatchers {
        let (listen, admin) = (own[3 * number + 1], own[3 * number + 2]);
        let file = |kind: &str| folder.join(format!("dispatcher-{number}.{kind}"));
        let addrs = Addresses {
            listen: listen.to_string(),
            discovery: fleet
                .discovery(number as u32)
                .map_or(String::new(), |a| a.to_string()),
            peers: relay.peers(number)?,
            boxes: fleet.boxes(number as u32),
        };
        let (config, operator, log) = (file("json"), file("hcl"), file("log"));
        let text = world.scenario.config(
            number as u32,
            &addrs,
            terms.seed.wrapping_mul(31) + number as u64,
        );
        std::fs::write(&config, text)?;
        let text = format!(
            "log {{\n  format = \"json\"\n}}\nadmin {{\n  listen = \"{admin}\"\n}}\nmembership {{\n  period_ms = {}\n}}\n\
             handover {{\n  folder = {:?}\n}}\n",
            terms.period_ms,
            folder.join("notes").display().to_string()
        );
        std::fs::write(&operator, text)?;
        let mut seat = Seat {
            child: None,
            paused: None,
            listen,
            admin,
            config,
            operator,
            log,
            leaving: None,
            lives: vec![],
        };
        seat.start()?;
        seats.push(seat);
    }
    for seat in &seats {
        seat.ready().await?;
    }
    Ok((seats, relay))
}

/// Whether every process takes every other for alive.
async fn agree(seats: &[Seat]) -> bool {
    for seat in seats {
        let Ok(text) = admin::request_text(seat.admin, Method::GET, "/members").await else {
            return false;
        };
        let Ok(members) = serde_json::from_str::<Vec<Member>>(&text) else {
            return false;
        };
        if members.len() != seats.len()
            || members
                .iter()
                .any(|m| m.state != "alive" || m.incarnation == 0)
        {
            return false;
        }
    }
    true
}

async fn agreed_within(seats: &[Seat], since: Instant, within: Duration) -> Option<u64> {
    while since.elapsed() < within {
        if agree(seats).await {
            return Some(since.elapsed().as_millis() as u64);
        }
        tokio::time::sleep(ASK).await;
    }
    None
}

async fn suffer(
    seats: &mut [Seat],
    relay: &Relay,
    world: &World,
    clients: &Clients,
    fault: &Fault,
) -> std::io::Result<()> {
    match fault {
        Fault::Kill(n) => {
            if let Some(mut child) = seats[*n].child.take() {
                child.kill().await?;
                seats[*n].ended();
            }
        }
        Fault::Start(n) => {
            // The rule on drains counts from what this process is told, as its note may be a second old.
            for at in 0..world.scenario.boxes.len() {
                world
                    .checker
                    .borrow_mut()
                    .told(world.now(), at, *n as u32, true);
            }
            if !seats[*n].gone().await {
                world
                    .checker
                    .borrow_mut()
                    .other(world.now(), &format!("dispatcher {n} did not leave well"));
            }
            seats[*n].start()?;
            seats[*n].ready().await?;
        }
        Fault::Pause(n) => {
            clients.stops_or_goes_on(*n);
            seats[*n].signal("STOP").await?;
            seats[*n].paused = Some(world.now());
        }
        Fault::Resume(n) => {
            seats[*n].signal("CONT").await?;
            clients.stops_or_goes_on(*n);
            if let Some(since) = seats[*n].paused.take() {
                world
                    .checker
                    .borrow_mut()
                    .goes_on(world.now(), since, *n as u32);
            }
        }
        Fault::Leave(n) => seats[*n].leave().await?,
        Fault::OneSided(_, ways) => relay.close(ways),
        Fault::Open => relay.close(&[]),
        Fault::Split(one_side) => relay.split(one_side),
        Fault::Heal => relay.split(&[]),
    }
    Ok(())
}

/// All that a run is played with.
struct Players {
    world: Rc<World>,
    fleet: Rc<Fleet>,
    seats: Vec<Seat>,
    relay: Rc<Relay>,
    clients: Rc<Clients>,
}

impl Players {
    async fn start(
        terms: &Terms,
        scenario: &Scenario,
        folder: &Path,
    ) -> Result<Self, DispatcherError> {
        let world = World::new(scenario.clone());
        let fleet = Fleet::start(Rc::clone(&world)).await?;
        let (seats, relay) = seats(terms, &world, &fleet, folder).await?;
        let clients = Clients::new(Rc::clone(&world), seats.iter().map(|s| s.listen).collect());
        clients.counts_lost();
        Ok(Players {
            world,
            fleet,
            seats,
            relay,
            clients,
        })
    }

    /// Plays the faults at their times; returns when each happened, in milliseconds.
    async fn suffer_all(
        &mut self,
        began: Micros,
        faults: Vec<(Micros, Fault)>,
    ) -> Result<Vec<(u64, Fault)>, DispatcherError> {
        let mut happened = vec![];
        for (at, fault) in faults {
            tokio::time::sleep_until(self.world.at(began + at)).await;
            let (world, clients) = (&self.world, &self.clients);
            suffer(&mut self.seats, &self.relay, world, clients, &fault).await?;
            happened.push(((self.world.now() - began) / 1_000, fault));
        }
        Ok(happened)
    }
}

/// Submits the plan of maintenance, if there is to be one; the task does the work on targets that are out.
async fn begin_plan(
    terms: &Terms,
    players: &Players,
    rng: &mut Pcg64Mcg,
) -> Result<Option<JoinHandle<()>>, DispatcherError> {
    let seats = &players.seats;
    if terms.plan == 0 {
        return Ok(None);
    }
    players.world.checker.borrow_mut().keep_sends();
    let targets: Vec<String> = (3..3 + terms.plan).map(crate::scenario::name).collect();
    let (targets, out, times) = (targets.join(","), terms.out, "drain_ms=4000&out_ms=12000");
    let path = format!("/maintenance?targets={targets}&out={out}&{times}");
    let to = seats[rng.random_range(0..seats.len())].admin;
    let answer = admin::request_text(to, Method::POST, &path).await;
    answer.map_err(std::io::Error::other)?;
    let admins: Vec<SocketAddr> = seats.iter().map(|s| s.admin).collect();
    Ok(Some(spawn_local(work(Rc::clone(&players.fleet), admins))))
}

/// How long the plan took, ms; none if there is none, or it was not over in time.
async fn plan_over_after(
    works: &Option<JoinHandle<()>>,
    seats: &[Seat],
    submitted: Instant,
) -> Option<u64> {
    while works.is_some() && submitted.elapsed() < PLAN_WITHIN {
        if plan_over(seats).await {
            return Some(submitted.elapsed().as_millis() as u64);
        }
        tokio::time::sleep(ASK).await;
    }
    None
}

/// Stops all dispatchers together; one that does not end well breaks a rule.
async fn stop_all(seats: &mut [Seat], world: &World) -> Result<(), DispatcherError> {
    for seat in seats.iter_mut() {
        seat.signal("TERM").await?;
    }
    for (number, seat) in seats.iter_mut().enumerate() {
        let Some(mut child) = seat.child.take() else {
            continue;
        };
        let ended = tokio::time::timeout(STOP, child.wait()).await;
        seat.ended();
        if !matches!(ended, Ok(Ok(status)) if status.success()) {
            let now = world.now();
            world.checker.borrow_mut().other(
                now,
                &format!("dispatcher {number} did not end well: {ended:?}"),
            );
        }
    }
    Ok(())
}

/// What the logs of all dispatchers tell.
#[derive(Default)]
struct Logs {
    records: Records,
    witness: Witness,
    starts: Vec<(usize, Micros)>,
}

impl Logs {
    fn read(seats: &[Seat]) -> Result<Self, DispatcherError> {
        let mut logs = Logs::default();
        for (number, seat) in seats.iter().enumerate() {
            for (incarnation, (started, ended)) in seat.lives.iter().enumerate() {
                let log = seat.log_of(incarnation);
                logs.records.read(number, &log, *ended)?;
                logs.witness.read(number, &log)?;
                logs.starts.push((number, *started));
            }
        }
        Ok(logs)
    }
}

fn plan_summary(logs: &Logs, world: &World, over_after_ms: Option<u64>) -> PlanSummary {
    let records = &logs.records;
    let start = unix() - world.now();
    let names: Vec<String> = (0..world.scenario.boxes.len())
        .map(crate::scenario::name)
        .collect();
    let checker = world.checker.borrow();
    let sends = checker.sends().iter();
    let sends = sends.map(|(at, n, d)| (start + at, names[*n].as_str(), *d as usize));
    PlanSummary {
        targets: records.targets(),
        over_after_ms,
        most_out: records.most_out(&logs.starts, NEWCOMER),
        most_out_with_newcomers: records.most_out(&[], 0),
        late_sends: records.late_sends(sends),
        forced: records.forced,
    }
}

/// How far the time in which messages of membership reach all grows with the number of dispatchers.
fn spread_factor(terms: &Terms) -> f64 {
    (terms.dispatchers as f64).log10().max(1.0)
}

/// Within this all agree on the members: the suspicion time, twice, and some rounds of pings.
fn agreement_time(terms: &Terms) -> Duration {
    let periods = 8.0 * spread_factor(terms) + 16.0;
    Duration::from_millis((terms.period_ms as f64 * periods) as u64)
}

fn members_summary(
    terms: &Terms,
    witness: &Witness,
    happened: &[(u64, Fault)],
    start: Micros,
    views_equal_ms: Option<u64>,
) -> MembersSummary {
    let count = terms.dispatchers;
    let suspicion = (terms.period_ms as f64 * 10.0 * spread_factor(terms)) as Micros * 1_000;
    let (down, closed) = troubles(count, happened, start);
    MembersSummary {
        false_deaths: witness.false_deaths(count, &down, &closed, suspicion),
        left_known_ms: witness.left_known(count, &down, &closed) / 1_000,
        left_suspected: witness.left_suspected(&down, &closed),
        unheard: witness.unheard(),
        views_equal_ms,
    }
}

async fn play(terms: &Terms, folder: &Path) -> Result<Summary, DispatcherError> {
    let terms = terms.clone();
    let mut scenario = Scenario::league(terms.boxes.max(2), terms.dispatchers as u32);
    (scenario.load, scenario.end) = (vec![(0, terms.load)], terms.seconds * SECOND);
    let mut players = Players::start(&terms, &scenario, folder).await?;
    let world = Rc::clone(&players.world);
    let mut rng = Pcg64Mcg::seed_from_u64(terms.seed ^ 0xf1ee7);
    let faults = faults::drawn(&terms, &mut rng);
    tokio::time::sleep(LEAD).await;
    let (began, sent_before, watched) = (world.now(), players.relay.sent(), Instant::now());
    let mut arrivals = scenario.arrivals(terms.seed);
    arrivals.iter_mut().for_each(|a| a.at += began);
    let jobs = arrivals.len() as u64;
    let player = Rc::clone(&players.clients);
    let load = spawn_local(async move { player.play(arrivals).await });
    let submitted = Instant::now();
    let works = begin_plan(&terms, &players, &mut rng).await?;
    let happened = players.suffer_all(began, faults).await?;
    let last = Instant::now();
    let agreed_after_ms = agreed_within(&players.seats, last, agreement_time(&terms)).await;
    let over_after_ms = plan_over_after(&works, &players.seats, submitted).await;
    let _ = load.await;
    let (sent, watched) = (players.relay.sent(), watched.elapsed().as_secs_f64());
    tokio::time::sleep(Duration::from_micros(SECOND)).await;
    let crashed = players.seats.iter_mut().map(Seat::crashed);
    let crashed = crashed.filter(|crashed| *crashed).count();
    stop_all(&mut players.seats, &world).await?;
    players.relay.stop();
    let logs = Logs::read(&players.seats)?;
    let plan = works.map(|works| {
        works.abort();
        plan_summary(&logs, &world, over_after_ms)
    });
    let start = unix() - world.now() + began;
    let members = members_summary(&terms, &logs.witness, &happened, start, agreed_after_ms);
    let mut checker = world.checker.borrow_mut();
    let never = checker.end(world.now());
    let (rules_broken, words) = checker.broken();
    let per = |n: u64| n as f64 / terms.dispatchers as f64 / watched.max(1.0e-9);
    Ok(Summary {
        seed: terms.seed,
        dispatchers: terms.dispatchers,
        faults: happened,
        jobs,
        served: checker.scores().iter().map(|s| s.in_time + s.late).sum(),
        lost: players.clients.lost() + never,
        stalled: players.clients.stalled(),
        rules_broken,
        words: words.to_vec(),
        agreed_after_ms,
        datagrams_per_dispatcher_s: per(sent.0 - sent_before.0),
        bytes_per_dispatcher_s: per(sent.1 - sent_before.1),
        dropped: players.relay.dropped(),
        crashed,
        members,
        plan,
    })
}

/// When dispatchers were down, and which ways were closed, Unix time in microseconds.
fn troubles(count: usize, happened: &[(u64, Fault)], start: Micros) -> (Vec<Down>, Vec<Closed>) {
    let (mut down, mut closed): (Vec<Down>, Vec<Closed>) = Default::default();
    for (ms, fault) in happened {
        let at = start + ms * 1_000;
        let mut fails = |dispatcher: usize, left| {
            down.push(Down {
                dispatcher,
                from: at,
                to: Micros::MAX,
                left,
            });
        };
        match fault {
            Fault::Kill(n) | Fault::Pause(n) => fails(*n, false),
            Fault::Leave(n) => fails(*n, true),
            Fault::Start(n) | Fault::Resume(n) => {
                down.iter_mut()
                    .filter(|d| d.dispatcher == *n)
                    .for_each(|d| d.to = d.to.min(at));
            }
            Fault::OneSided(_, ways) => closed.push(Closed {
                from: at,
                to: Micros::MAX,
                split: false,
                ways: ways.clone(),
            }),
            Fault::Split(side) => {
                let across = |a: usize, b: usize| side.contains(&a) != side.contains(&b);
                let ways = (0..count)
                    .flat_map(|a| (0..count).map(move |b| (a, b)))
                    .filter(|(a, b)| across(*a, *b));
                closed.push(Closed {
                    from: at,
                    to: Micros::MAX,
                    split: true,
                    ways: ways.collect(),
                });
            }
            Fault::Open | Fault::Heal => {
                let split = *fault == Fault::Heal;
                closed
                    .iter_mut()
                    .filter(|c| c.split == split)
                    .for_each(|c| c.to = c.to.min(at));
            }
        }
    }
    (down, closed)
}

/// Restarts each target of the plan that is empty everywhere, as operators would.
async fn work(fleet: Rc<Fleet>, admins: Vec<SocketAddr>) {
    let mut done: BTreeSet<usize> = BTreeSet::new();
    loop {
        for admin in &admins {
            let Some(plan) = plan_at(*admin).await else {
                continue;
            };
            for target in &plan.targets {
                let number = target.target.trim_start_matches("s-").parse::<usize>();
                let empty = target.standing == TargetState::Drained && target.not_empty.is_empty();
                let Some(number) = number.ok().filter(|n| empty && !done.contains(n)) else {
                    continue;
                };
                done.insert(number);
                let fleet = Rc::clone(&fleet);
                spawn_local(async move {
                    let _ = fleet.suffer(number, Sickness::Kill).await;
                    tokio::time::sleep(Duration::from_millis(300)).await;
                    let _ = fleet.suffer(number, Sickness::Start).await;
                });
            }
        }
        tokio::time::sleep(ASK).await;
    }
}

async fn plan_at(admin: SocketAddr) -> Option<Maintenance> {
    let asked = tokio::time::timeout(
        ASK * 6,
        admin::request_text(admin, Method::GET, "/maintenance"),
    )
    .await;
    serde_json::from_str(&asked.ok()?.ok()?).ok()
}

async fn plan_over(seats: &[Seat]) -> bool {
    for seat in seats {
        if !plan_at(seat.admin).await.is_some_and(|plan| plan.over) {
            return false;
        }
    }
    true
}
