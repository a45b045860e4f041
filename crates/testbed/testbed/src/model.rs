//! The whole in virtual time: the program's own reducer and decisions, any number of dispatchers, before modelled
//! boxes, connections, discovery and clients. One thread, one seed, one outcome.

use crate::checker::{Checker, ClassScore, Reply};
use crate::engine::{Engine, Health, Shape, Task, Word};
use crate::registry::{Asked, Called, Registry, Service};
use crate::scenario::{name, Addresses, Arrival, Fault, Scenario, SECOND};
use bytes::Bytes;
use degradation::{DegradationConfig, Readings};
use discovery_pacing::{ANSWER_TIMEOUT, WATCH_TIMEOUT};
use dispatch_api::{
    DiscoveryFailure, JobId, JobSpec, ListUpdateKind, LoadReport, Micros, Outcome, WorkerStatus,
};
use dispatcher_settings::platform::{Config, ConfigError};
use dispatcher_state::{reduce, Answer, ConnId, Effect, Endpoint, Input, State, StateConfig};
use rand::Rng;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Times count from here, so that 'long ago' lies before the start.
const START: Micros = 1_000 * SECOND;
/// A cold box that falls breaks the rule if this share of the work came from dispatchers that knew.
const KNOWINGLY: f64 = 2.0 / 3.0;
/// How long a run goes on after its last job came.
const TAIL: Micros = 10 * SECOND;

/// What a run came to.
#[derive(Debug, Clone)]
pub struct Outcomes {
    /// Worth served over worth asked for.
    pub worth: f64,
    /// By class.
    pub classes: Vec<ClassScore>,
    /// Rules broken, and the first of them in words.
    pub broken: (u64, Vec<String>),
    /// Every change of level: when, at which dispatcher, from, to, why.
    pub changes: Vec<LevelChange>,
    /// Inputs that the reducers took.
    pub inputs: u64,
    /// What the levels read, each second at each dispatcher.
    pub samples: Vec<Sample>,
    /// What the fleet was asked by all dispatchers together.
    pub sums: Sums,
}

/// What all dispatchers did together.
#[derive(Debug, Clone, Default)]
pub struct Sums {
    /// Jobs, their further tries left out.
    pub jobs: u64,
    /// Processor time of all reducers.
    pub reducing: Duration,
    /// Attempts that reached a box.
    pub attempts: u64,
    /// Connections that were asked of boxes, and those of them that a box had no room for.
    pub opened: u64,
    /// ... of these.
    pub crowded: u64,
    /// Probes that reached a box.
    pub probes: u64,
    /// Datagrams sent, each to all others, and their bytes.
    pub datagrams: u64,
    /// ... of these.
    pub bytes: u64,
    /// What discovery was asked.
    pub discovery: Asked,
    /// Cold boxes pushed over mostly by dispatchers that could not know of their start yet.
    pub fell_untold: u64,
    /// Tries that found no dispatcher, and those that were with one that was killed.
    pub nobody: u64,
    /// ... the latter.
    pub cut_off: u64,
    /// The longest time from a dispatcher's start, the first or a later one, to its first news of the list.
    pub stale_for: Micros,
    /// Dispatchers that never had news after their last start.
    pub never_told: usize,
}

/// What the levels of one dispatcher read at one time.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// When, from the start of the run.
    pub at: Micros,
    /// At which dispatcher.
    pub dispatcher: u32,
    /// The level in force, by rank.
    pub rank: usize,
    /// The readings.
    pub readings: Readings,
}

/// One change of level.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelChange {
    /// When, from the start of the run.
    pub at: Micros,
    /// At which dispatcher.
    pub dispatcher: u32,
    /// From which level.
    pub from: String,
    /// To which level.
    pub to: String,
    /// Why: the word, and the figure with its value and bound.
    pub why: String,
}

/// What is due at a time.
#[derive(Debug)]
enum Due {
    /// A client asks, for the first time or again.
    Ask { job: usize, tries: u32 },
    /// A client leaves.
    Leave { dispatcher: usize, flow: JobId },
    /// Something reaches a dispatcher.
    Report { dispatcher: usize, input: Input },
    /// A dispatcher has asked to be woken.
    Tick { dispatcher: usize },
    /// Something reaches a box.
    Arrive {
        dispatcher: usize,
        conn: ConnId,
        flow: JobId,
    },
    /// A probe reaches a box.
    Probe {
        dispatcher: usize,
        conn: ConnId,
        at: usize,
    },
    /// A box has something to say.
    Engine { at: usize },
    /// A connection is closed at a box.
    Cut { attempt: u64, at: usize },
    /// Something goes wrong.
    Fault { at: usize, fault: Fault },
    /// Discovery tells a dispatcher how a box is.
    Tell { dispatcher: usize, at: usize },
    /// The readings are noted.
    Sample,
    /// The operators do something at a dispatcher.
    Operators { dispatcher: usize, input: Input },
    /// A call reaches discovery.
    Call {
        dispatcher: usize,
        after: Option<u64>,
    },
    /// Discovery answers a call or a watch that is kept up; what is news after this version.
    News {
        dispatcher: usize,
        after: Option<u64>,
    },
    /// A watch that is kept up has waited for long enough.
    Waited { dispatcher: usize, watch: u64 },
    /// The list changes in this line.
    Line { at: usize },
    /// The weights of all lines are made anew.
    Weights,
    /// Discovery becomes so.
    Discovery(Service),
    /// A dispatcher dies, and is back by then.
    Die { dispatcher: usize, back: Micros },
    /// A dispatcher starts again.
    Start { dispatcher: usize },
}

impl Due {
    /// The dispatcher whose process it is for, and dies with.
    fn process(&self) -> Option<usize> {
        match self {
            Due::Leave { dispatcher, .. }
            | Due::Report { dispatcher, .. }
            | Due::Tick { dispatcher }
            | Due::Arrive { dispatcher, .. }
            | Due::Probe { dispatcher, .. }
            | Due::Tell { dispatcher, .. }
            | Due::Operators { dispatcher, .. }
            | Due::News { dispatcher, .. }
            | Due::Waited { dispatcher, .. } => Some(*dispatcher),
            Due::Ask { .. }
            | Due::Engine { .. }
            | Due::Cut { .. }
            | Due::Fault { .. }
            | Due::Sample => None,
            Due::Call { .. } | Due::Line { .. } | Due::Weights | Due::Discovery(_) => None,
            Due::Die { .. } | Due::Start { .. } => None,
        }
    }
}

struct Flow {
    job: usize,
    tries: u32,
    id: u64,
}

/// A connection of a dispatcher to a box.
struct Conn {
    at: usize,
    /// It is open at the box.
    counted: bool,
    /// The attempt on it.
    attempt: Option<u64>,
}

/// A watch on the list that is kept up.
#[derive(Debug, Clone, Copy)]
struct Watch {
    number: u64,
    /// The version told last.
    told: u64,
}

struct Dispatcher {
    state: State,
    /// Which of its processes; what is due for another one is dropped.
    process: u32,
    alive: bool,
    started: Micros,
    /// It has had news of the list since it started.
    told: bool,
    watch: Option<Watch>,
    /// The last start of each box that it was told of.
    starts: Vec<Option<Micros>>,
    wake: Option<Micros>,
    flows: BTreeMap<JobId, Flow>,
    conns: BTreeMap<ConnId, Conn>,
    next_flow: u64,
    level: String,
}

impl Dispatcher {
    fn new(state: State, process: u32, started: Micros, boxes: usize) -> Self {
        let (flows, conns, watch) = Default::default();
        let starts = vec![None; boxes];
        Dispatcher {
            state,
            process,
            alive: true,
            started,
            told: false,
            watch,
            starts,
            wake: None,
            flows,
            conns,
            next_flow: 0,
            level: "full".into(),
        }
    }
}

/// An attempt that reached a box.
struct Attempt {
    dispatcher: usize,
    conn: ConnId,
    id: u64,
    job: u64,
}

struct Model<'a> {
    scenario: &'a Scenario,
    arrivals: Vec<Arrival>,
    rng: Pcg64Mcg,
    now: Micros,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    /// With the process that it is for.
    what: BTreeMap<u64, (u32, Due)>,
    count: u64,
    dispatchers: Vec<Dispatcher>,
    boxes: Vec<Engine>,
    /// When each box is looked at next, so that no more than one look is due.
    engine_due: Vec<Option<Micros>>,
    attempts: BTreeMap<u64, Attempt>,
    next_attempt: u64,
    next_try: u64,
    checker: Checker,
    changes: Vec<LevelChange>,
    inputs: u64,
    samples: Vec<Sample>,
    sums: Sums,
    /// Everything that a dispatcher's state starts from.
    setups: Vec<StateConfig>,
    registry: Registry,
    /// The lines of the list as discovery has them, and as they were at the start.
    lines: Vec<Endpoint>,
    old: Vec<Endpoint>,
    /// Nothing comes through to these boxes, nor from them.
    cut: Vec<bool>,
    /// Connections open at each box.
    open: Vec<usize>,
    next_watch: u64,
}

/// Something that the operators do at all dispatchers: when, and what.
pub type Doing = (Micros, Input);

/// Plays a scenario with or without levels. Arrivals depend on the seed alone; `twist` draws all else anew.
///
/// # Errors
/// The scenario makes no usable configuration.
pub fn run(
    scenario: &Scenario,
    spec: Option<&Arc<DegradationConfig>>,
    seed: u64,
    twist: u64,
    operators: &[Doing],
) -> Result<Outcomes, ConfigError> {
    let mut model = Model::new(scenario, spec, seed, twist)?;
    for (at, input) in operators {
        for dispatcher in 0..model.dispatchers.len() {
            model.later(
                START + at,
                Due::Operators {
                    dispatcher,
                    input: input.clone(),
                },
            );
        }
    }
    model.play();
    Ok(model.outcomes())
}

/// Where all of a scenario are, in the model.
fn addresses(scenario: &Scenario) -> Addresses {
    let peer = |n: u32| format!("127.1.{}.{}:3", n / 250, n % 250 + 1);
    Addresses {
        listen: "127.0.0.1:1".into(),
        discovery: "127.0.0.1:2".into(),
        peers: (0..scenario.dispatchers).map(peer).collect(),
        boxes: (0..scenario.boxes.len())
            .map(|n| addr(n).to_string())
            .collect(),
    }
}

/// The boxes of a scenario as they are at the start.
fn engines(scenario: &Scenario) -> Vec<Engine> {
    let is_absent = |at: usize| {
        let vast = scenario.vast.as_ref();
        vast.is_some_and(|vast| vast.absent.contains(&at))
    };
    let engine = |(at, shape): (usize, &Shape)| {
        let mut engine = Engine::new(shape.clone());
        if is_absent(at) {
            engine.kill(START);
        }
        engine
    };
    scenario.boxes.iter().enumerate().map(engine).collect()
}

impl<'a> Model<'a> {
    fn new(
        scenario: &'a Scenario,
        spec: Option<&Arc<DegradationConfig>>,
        seed: u64,
        twist: u64,
    ) -> Result<Self, ConfigError> {
        let addrs = addresses(scenario);
        let mixed = seed ^ twist.rotate_left(32);
        let mut setups = vec![];
        for n in 0..scenario.dispatchers {
            let seed = mixed.wrapping_mul(31) + u64::from(n);
            let config = Config::parse(&scenario.config(n, &addrs, seed), |_| None)?;
            setups.push(config.state_config(spec.cloned()));
        }
        let dispatchers: Result<Vec<_>, _> = setups.iter().map(|s| State::new(s.clone())).collect();
        let dispatchers = dispatchers
            .map_err(|e| ConfigError::Key {
                key: "settings".into(),
                error: e.to_string(),
            })?
            .into_iter()
            .map(|state| Dispatcher::new(state, 0, START, scenario.boxes.len()))
            .collect();
        let vast = scenario.vast.as_ref();
        let ghosts = vast.map_or(0, |v| v.ghosts);
        let boxes = engines(scenario);
        let lines: Vec<Endpoint> = (0..boxes.len() + ghosts)
            .map(|at| line(&boxes, at))
            .collect();
        let mut model = Model {
            scenario,
            arrivals: scenario.arrivals(seed),
            rng: Pcg64Mcg::seed_from_u64(mixed ^ 0x5eed),
            now: START,
            due: BinaryHeap::new(),
            what: BTreeMap::new(),
            count: 0,
            dispatchers,
            boxes,
            engine_due: vec![None; scenario.boxes.len()],
            attempts: BTreeMap::new(),
            next_attempt: 0,
            next_try: 0,
            checker: Checker::new(&scenario.classes),
            changes: vec![],
            inputs: 0,
            samples: vec![],
            sums: Sums::default(),
            setups,
            registry: Registry::new(lines.len(), vast.map_or(0, |v| v.turn)),
            old: lines.clone(),
            lines,
            cut: vec![false; scenario.boxes.len()],
            open: vec![0; scenario.boxes.len()],
            next_watch: 0,
        };
        if spec.is_some() {
            model.later(START + SECOND, Due::Sample);
        }
        model.plan();
        Ok(model)
    }

    /// Puts in what happens by the scenario.
    fn plan(&mut self) {
        let scenario = self.scenario;
        for dispatcher in 0..self.dispatchers.len() {
            self.inherits(dispatcher);
            if scenario.vast.is_none() {
                let all: Vec<_> = (0..self.boxes.len()).collect();
                let fresh = self.listing(ListUpdateKind::Full, &all);
                self.later(
                    START + 20_000,
                    Due::Report {
                        dispatcher,
                        input: fresh,
                    },
                );
            }
        }
        if let Some(vast) = &scenario.vast {
            self.later(START + vast.renew, Due::Weights);
            for (dispatcher, at, back) in &vast.restarts {
                self.later(
                    START + at,
                    Due::Die {
                        dispatcher: *dispatcher,
                        back: START + back,
                    },
                );
            }
            for (at, service) in &vast.discovery {
                self.later(START + at, Due::Discovery(*service));
            }
        }
        for (at, which, fault) in &scenario.faults {
            self.later(
                START + at,
                Due::Fault {
                    at: *which,
                    fault: *fault,
                },
            );
        }
        for job in 0..self.arrivals.len() {
            self.later(START + self.arrivals[job].at, Due::Ask { job, tries: 0 });
        }
    }

    fn later(&mut self, at: Micros, what: Due) {
        self.count += 1;
        self.due.push(Reverse((at.max(self.now), self.count)));
        let process = what
            .process()
            .map_or(0, |dispatcher| self.dispatchers[dispatcher].process);
        self.what.insert(self.count, (process, what));
    }

    /// A dispatcher that starts has the list as it was at the start of the run.
    fn inherits(&mut self, dispatcher: usize) {
        let input = Input::EndpointsUpdated {
            kind: ListUpdateKind::Inherited,
            version: Some(1),
            entries: self.old.clone(),
        };
        self.later(self.now, Due::Report { dispatcher, input });
    }

    fn between(&mut self, (least, most): (Micros, Micros)) -> Micros {
        self.rng.random_range(least..=most.max(least))
    }

    fn travel(&mut self) -> Micros {
        self.between(self.scenario.travel)
    }

    fn listing(&self, kind: ListUpdateKind, which: &[usize]) -> Input {
        // In a small fleet discovery tells what is so then; in a large one what it has in its list.
        let vast = self.scenario.vast.is_some();
        let entry = |at: &usize| {
            if vast {
                self.lines[*at].clone()
            } else {
                line(&self.boxes, *at)
            }
        };
        let version = self.registry.version();
        Input::EndpointsUpdated {
            kind,
            version: Some(version),
            entries: which.iter().map(entry).collect(),
        }
    }

    fn play(&mut self) {
        let end = START + self.scenario.end + TAIL;
        while let Some(Reverse((at, number))) = self.due.pop() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let Some((process, due)) = self.what.remove(&number) else {
                continue;
            };
            let lives =
                |d: usize| self.dispatchers[d].alive && self.dispatchers[d].process == process;
            if due.process().is_none_or(lives) {
                self.take(due);
            }
        }
        self.checker.end(end);
    }

    fn take(&mut self, due: Due) {
        match due {
            Due::Ask { job, tries } => self.ask(job, tries),
            Due::Leave { dispatcher, flow } => self.leave(dispatcher, flow),
            Due::Report { dispatcher, input } => self.report(dispatcher, input),
            Due::Tick { dispatcher } => {
                if self.dispatchers[dispatcher]
                    .wake
                    .is_some_and(|at| at <= self.now)
                {
                    self.dispatchers[dispatcher].wake = None;
                    self.report(dispatcher, Input::Tick);
                }
            }
            Due::Arrive {
                dispatcher,
                conn,
                flow,
            } => self.arrive(dispatcher, conn, flow),
            Due::Probe {
                dispatcher,
                conn,
                at,
            } => self.probe(dispatcher, conn, at),
            Due::Engine { at } => {
                if self.engine_due[at].is_some_and(|due| due <= self.now) {
                    self.engine_due[at] = None;
                    let words = self.boxes[at].advance(self.now);
                    self.say(at, words);
                }
            }
            Due::Cut { attempt, at } => {
                let words = self.boxes[at].cancel(self.now, attempt);
                self.say(at, words);
            }
            Due::Fault { at, fault } => self.fault(at, fault),
            Due::Tell { dispatcher, at } => self.tell(dispatcher, at),
            Due::Sample => self.sample(),
            Due::Operators { dispatcher, input } => self.report(dispatcher, input),
            Due::Call { dispatcher, after } => self.call(dispatcher, after),
            Due::News { dispatcher, after } => self.news(dispatcher, after),
            Due::Waited { dispatcher, watch } => self.waited(dispatcher, watch),
            Due::Line { at } => self.line_changed(at),
            Due::Weights => self.weights(),
            Due::Discovery(service) => self.discovery(service),
            Due::Die { dispatcher, back } => self.die(dispatcher, back),
            Due::Start { dispatcher } => self.start(dispatcher),
        }
    }

    fn leave(&mut self, dispatcher: usize, flow: JobId) {
        if let Some(left) = self.dispatchers[dispatcher].flows.remove(&flow) {
            self.checker.left(left.id);
            self.report(dispatcher, Input::ClientDisconnected(flow));
        }
    }

    fn sample(&mut self) {
        for (dispatcher, d) in (0..).zip(&self.dispatchers) {
            let Some(levels) = d.state.snapshot().status.levels else {
                continue;
            };
            self.samples.push(Sample {
                at: self.now - START,
                dispatcher,
                rank: levels.rank,
                readings: levels.readings,
            });
        }
        self.later(self.now + SECOND, Due::Sample);
    }

    fn tell(&mut self, dispatcher: usize, at: usize) {
        let input = self.listing(ListUpdateKind::Incremental, &[at]);
        self.report(dispatcher, input);
        let ready = self.boxes[at].reachable() && !self.boxes[at].draining();
        self.checker.told(self.now, at, dispatcher as u32, ready);
    }

    fn line_changed(&mut self, at: usize) {
        let weight = self.lines[at].weight;
        self.lines[at] = Endpoint {
            weight,
            ..line(&self.boxes, at)
        };
        self.list_changed([at]);
    }

    fn open_connection(&mut self, dispatcher: usize, conn: ConnId, addr: SocketAddr) {
        let at = usize::from(addr.port()) - FIRST_PORT as usize;
        let there_and_back = self.travel() + self.travel();
        self.sums.opened += 1;
        let crowded = self.open[at] >= self.boxes[at].shape().connections;
        self.sums.crowded += u64::from(crowded);
        let up = !self.cut[at] && !crowded && self.boxes[at].reachable();
        self.open[at] += usize::from(up);
        let opened = Conn {
            at,
            counted: up,
            attempt: None,
        };
        self.dispatchers[dispatcher].conns.insert(conn, opened);
        if self.cut[at] {
            // Nobody answers; the dispatcher's patience ends it.
            return;
        }
        let input = if up {
            let words = self.boxes[at].connected(self.now);
            self.say(at, words);
            Input::ConnectionUp(conn)
        } else {
            Input::ConnectionClosed { conn, unsent: true }
        };
        self.later(self.now + there_and_back, Due::Report { dispatcher, input });
    }

    fn close_connection(&mut self, dispatcher: usize, conn: ConnId) {
        let Some(closed) = self.dispatchers[dispatcher].conns.remove(&conn) else {
            return;
        };
        self.closed_at(&closed);
        let input = Input::ConnectionClosed {
            conn,
            unsent: false,
        };
        self.later(self.now, Due::Report { dispatcher, input });
    }

    /// A datagram travels, or is lost.
    fn deliver(&mut self, from: usize, to: usize, message: Vec<u8>) {
        let (least, most, lost) = self.scenario.datagram;
        let late = self.between((least, most));
        let arrives = self.rng.random::<f64>() >= lost;
        if !arrives || to >= self.dispatchers.len() {
            return;
        }
        let input = Input::PeerDatagram {
            from: from as u32,
            message,
        };
        let due = Due::Report {
            dispatcher: to,
            input,
        };
        self.later(self.now + late, due);
    }

    /// The engine of a box has something to do at its next time.
    fn plan_engine(&mut self, at: usize) {
        if let Some(next) = self.boxes[at].next() {
            if self.engine_due[at].is_none_or(|due| next < due) {
                self.engine_due[at] = Some(next);
                self.later(next, Due::Engine { at });
            }
        }
    }

    fn call(&mut self, dispatcher: usize, after: Option<u64>) {
        match self.registry.call(self.now) {
            Called::Answered(at) => {
                self.later(at + self.scenario.travel.1, Due::News { dispatcher, after })
            }
            Called::Fails(at) => {
                self.later(
                    at + self.scenario.travel.1,
                    Due::Report {
                        dispatcher,
                        input: Input::WatchFailed(DiscoveryFailure::Failed),
                    },
                );
            }
        }
    }

    /// Discovery answers; the watch is kept up from then on.
    fn news(&mut self, dispatcher: usize, after: Option<u64>) {
        let which = self.registry.news(after);
        let kind = if after.is_some() {
            ListUpdateKind::Incremental
        } else {
            ListUpdateKind::Full
        };
        self.next_watch += 1;
        let (number, told) = (self.next_watch, self.registry.version());
        self.dispatchers[dispatcher].watch = Some(Watch { number, told });
        self.later(
            self.now + WATCH_TIMEOUT,
            Due::Waited {
                dispatcher,
                watch: number,
            },
        );
        if !std::mem::replace(&mut self.dispatchers[dispatcher].told, true) {
            let stale_for = self.now - self.dispatchers[dispatcher].started;
            self.sums.stale_for = self.sums.stale_for.max(stale_for);
        }
        for at in which.iter().copied().filter(|at| *at < self.boxes.len()) {
            let ready = self.lines[at].status == WorkerStatus::Ready;
            self.checker.told(self.now, at, dispatcher as u32, ready);
            self.dispatchers[dispatcher].starts[at] = self.lines[at].started;
        }
        let input = self.listing(kind, &which);
        self.report(dispatcher, input);
    }

    /// A watch without news is answered empty, and asked again on the same connection, unless discovery is lost.
    fn waited(&mut self, dispatcher: usize, watch: u64) {
        let Some(kept) = self.dispatchers[dispatcher]
            .watch
            .filter(|w| w.number == watch)
        else {
            return;
        };
        match self.registry.service() {
            Service::Up => self.news(dispatcher, Some(kept.told)),
            Service::Refuses | Service::Silent => {
                self.dispatchers[dispatcher].watch = None;
                let (at, lost) = match self.registry.service() {
                    Service::Silent => (self.now + ANSWER_TIMEOUT, DiscoveryFailure::TimedOut),
                    _ => (self.now, DiscoveryFailure::Failed),
                };
                self.later(
                    at,
                    Due::Report {
                        dispatcher,
                        input: Input::WatchFailed(lost),
                    },
                );
            }
        }
    }

    fn list_changed(&mut self, which: impl IntoIterator<Item = usize>) {
        self.registry.changed(which);
        if self.registry.service() != Service::Up {
            return;
        }
        for dispatcher in 0..self.dispatchers.len() {
            if let Some(watch) = self.dispatchers[dispatcher]
                .watch
                .filter(|_| self.dispatchers[dispatcher].alive)
            {
                let travel = self.travel();
                self.later(
                    self.now + travel,
                    Due::News {
                        dispatcher,
                        after: Some(watch.told),
                    },
                );
            }
        }
    }

    /// The size over one more than what is held for each core, as live weights are.
    fn weights(&mut self) {
        for at in 0..self.boxes.len() {
            let (engine, line) = (&self.boxes[at], &mut self.lines[at]);
            if line.status != WorkerStatus::Removed {
                let cores = engine.shape().cores;
                line.weight = Some(cores / (1.0 + engine.load().1 as f64 / cores.max(1.0)));
            }
        }
        let listed =
            (0..self.boxes.len()).filter(|at| self.lines[*at].status != WorkerStatus::Removed);
        self.list_changed(listed.collect::<Vec<_>>());
        let renew = self.scenario.vast.as_ref().map_or(SECOND, |v| v.renew);
        self.later(self.now + renew, Due::Weights);
    }

    fn discovery(&mut self, service: Service) {
        self.registry.becomes(service);
    }

    /// A dispatcher's process ends, and with it its connections on both sides.
    fn die(&mut self, dispatcher: usize, back: Micros) {
        let dies = &mut self.dispatchers[dispatcher];
        dies.alive = false;
        dies.watch = None;
        let (flows, conns) = (
            std::mem::take(&mut dies.flows),
            std::mem::take(&mut dies.conns),
        );
        self.sums.cut_off += flows.len() as u64;
        flows.values().for_each(|flow| self.checker.left(flow.id));
        for conn in conns.into_values() {
            self.closed_at(&conn);
        }
        self.later(back, Due::Start { dispatcher });
    }

    fn start(&mut self, dispatcher: usize) {
        let Ok(state) = State::new(self.setups[dispatcher].clone()) else {
            return;
        };
        let process = self.dispatchers[dispatcher].process + 1;
        self.dispatchers[dispatcher] = Dispatcher::new(state, process, self.now, self.boxes.len());
        // The rule on drains counts from what this process was told.
        (0..self.boxes.len())
            .for_each(|at| self.checker.told(self.now, at, dispatcher as u32, true));
        self.inherits(dispatcher);
    }

    /// A connection is gone from its box.
    fn closed_at(&mut self, conn: &Conn) {
        if conn.counted {
            self.open[conn.at] -= 1;
        }
        if let Some(attempt) = conn.attempt {
            self.forget(attempt);
            let travel = self.travel();
            self.later(
                self.now + travel,
                Due::Cut {
                    attempt,
                    at: conn.at,
                },
            );
        }
    }

    /// A client asks; its deadline counts from now.
    fn ask(&mut self, job: usize, tries: u32) {
        let arrival = self.arrivals[job].clone();
        let terms = &self.scenario.classes[arrival.class];
        let (give_up, first) = (terms.give_up, START + arrival.at);
        if tries == 0 {
            self.checker.asked(&arrival);
        }
        let deadline = first + give_up;
        if deadline <= self.now + 1_000 {
            return;
        }
        // A client's next try comes to any dispatcher.
        let dispatcher = (arrival.dispatcher + tries) as usize % self.dispatchers.len();
        self.next_try += 1;
        let id = self.next_try;
        self.sums.jobs += u64::from(tries == 0);
        if !self.dispatchers[dispatcher].alive {
            self.sums.nobody += 1;
            if tries < self.scenario.habits.retries {
                self.later(
                    self.now + 100_000,
                    Due::Ask {
                        job,
                        tries: tries + 1,
                    },
                );
            }
            return;
        }
        let to = &mut self.dispatchers[dispatcher];
        let flow = JobId(to.next_flow);
        to.next_flow += 1;
        to.flows.insert(flow, Flow { job, tries, id });
        self.checker.taken(id, arrival.class, deadline);
        if let Some(leaves) = arrival.leaves.filter(|leaves| first + leaves > self.now) {
            self.later(first + leaves, Due::Leave { dispatcher, flow });
        }
        let spec = JobSpec {
            id: flow,
            class: arrival.class,
            tenant: 0,
            slots: arrival.slots,
            expires: deadline - 2_000,
            work: None,
            key: arrival.key,
        };
        self.report(dispatcher, Input::FlowAccepted(spec));
    }

    /// Hands an input to a reducer and carries out what it asks for.
    fn report(&mut self, dispatcher: usize, input: Input) {
        self.inputs += 1;
        if let Input::ConnectionClosed { conn, .. } = &input {
            if let Some(closed) = self.dispatchers[dispatcher].conns.remove(conn) {
                self.open[closed.at] -= usize::from(closed.counted);
            }
        }
        let began = Instant::now();
        let effects = reduce(&mut self.dispatchers[dispatcher].state, self.now, input);
        self.sums.reducing += began.elapsed();
        for effect in effects {
            self.carry_out(dispatcher, effect);
        }
        let state = &self.dispatchers[dispatcher].state;
        let wake = state.wake_at();
        if let Some(at) = wake.filter(|at| {
            self.dispatchers[dispatcher]
                .wake
                .is_none_or(|armed| *at < armed)
        }) {
            self.dispatchers[dispatcher].wake = Some(at);
            self.later(at, Due::Tick { dispatcher });
        }
        self.note_level(dispatcher);
    }

    fn note_level(&mut self, dispatcher: usize) {
        let state = &self.dispatchers[dispatcher].state;
        let Some((level, change)) = state.level() else {
            return;
        };
        if level == self.dispatchers[dispatcher].level {
            return;
        }
        let why = change.map_or(String::new(), |c| match c.cause.measurement() {
            Some(m) => format!(
                "{} {} {:.3} at {}",
                c.cause.word(),
                m.metric.key(),
                m.value,
                m.bound
            ),
            None => c.cause.word().to_owned(),
        });
        let to = level.to_owned();
        let from = std::mem::replace(&mut self.dispatchers[dispatcher].level, to.clone());
        self.changes.push(LevelChange {
            at: self.now - START,
            dispatcher: dispatcher as u32,
            from,
            to,
            why,
        });
    }

    fn carry_out(&mut self, dispatcher: usize, effect: Effect) {
        match effect {
            Effect::OpenConnection { conn, addr } => self.open_connection(dispatcher, conn, addr),
            Effect::SendRequest { conn, flow, .. } => {
                let travel = self.travel();
                self.later(
                    self.now + travel,
                    Due::Arrive {
                        dispatcher,
                        conn,
                        flow,
                    },
                );
            }
            Effect::SendProbe(conn) => {
                let Some(at) = self.dispatchers[dispatcher].conns.get(&conn).map(|c| c.at) else {
                    return;
                };
                let travel = self.travel();
                self.later(
                    self.now + travel,
                    Due::Probe {
                        dispatcher,
                        conn,
                        at,
                    },
                );
            }
            Effect::CloseConnection(conn) => self.close_connection(dispatcher, conn),
            Effect::AnswerFlow { flow, answer } => self.answer(dispatcher, flow, &answer),
            Effect::WatchEndpoints { after } => {
                if self.scenario.vast.is_some() {
                    self.dispatchers[dispatcher].watch = None;
                    let travel = self.travel();
                    self.later(self.now + travel, Due::Call { dispatcher, after });
                }
            }
            Effect::SendToPeer { to, message } => {
                self.sums.bytes += message.len() as u64;
                self.deliver(dispatcher, to as usize, message);
            }
            Effect::BroadcastToPeers(message) => {
                self.sums.datagrams += 1;
                self.sums.bytes += message.len() as u64 * (self.dispatchers.len() as u64 - 1);
                for other in (0..self.dispatchers.len()).filter(|n| *n != dispatcher) {
                    self.deliver(dispatcher, other, message.clone());
                }
            }
        }
    }

    fn answer(&mut self, dispatcher: usize, flow: JobId, answer: &Answer) {
        let Some(flow) = self.dispatchers[dispatcher].flows.remove(&flow) else {
            return;
        };
        let arrival = self.arrivals[flow.job].clone();
        let reply = match answer {
            Answer::Served(_) => Reply::Served,
            Answer::Rejected { .. } => Reply::Refused,
            Answer::Failed | Answer::Unprocessable => Reply::Failed,
        };
        self.checker
            .answered(self.now, flow.id, reply, START + arrival.at, arrival.work);
        if let Answer::Rejected { retry_after } = answer {
            if flow.tries < self.scenario.habits.retries {
                let wait = retry_after.unwrap_or(100_000);
                self.later(
                    self.now + wait,
                    Due::Ask {
                        job: flow.job,
                        tries: flow.tries + 1,
                    },
                );
            }
        }
    }

    /// A request reaches its box, if its connection still stands.
    fn arrive(&mut self, dispatcher: usize, conn: ConnId, flow: JobId) {
        let vast = self.scenario.vast.is_some();
        let from = &mut self.dispatchers[dispatcher];
        let (Some(on), Some(of)) = (from.conns.get_mut(&conn), from.flows.get(&flow)) else {
            return;
        };
        let (at, id, job) = (on.at, of.id, of.job);
        if self.cut[at] {
            return;
        }
        self.sums.attempts += 1;
        self.next_attempt += 1;
        let number = self.next_attempt;
        on.attempt = Some(number);
        let arrival = &self.arrivals[job];
        let terms = &self.scenario.classes[arrival.class];
        let task = Task {
            id: number,
            class: arrival.class,
            kind: u32::try_from(terms.kind).ok(),
            priority: terms.priority,
            slots: arrival.slots,
            work: arrival.work,
            key: arrival.key,
            informed: !vast || from.starts[at] == self.boxes[at].started(),
        };
        self.attempts.insert(
            number,
            Attempt {
                dispatcher,
                conn,
                id,
                job: job as u64,
            },
        );
        self.checker
            .sent(self.now, id, number, at, dispatcher as u32);
        let fell = self.boxes[at].health() == Health::Fallen;
        let words = self.boxes[at].arrive(self.now, task);
        if !fell && self.boxes[at].health() == Health::Fallen {
            // The rule is on those who know: two thirds of the work came from dispatchers that were told of its start.
            if self.boxes[at].pressed_knowingly() >= KNOWINGLY {
                self.checker.other(
                    self.now,
                    &format!("box {at} was pushed over while it was cold"),
                );
            } else {
                self.sums.fell_untold += 1;
            }
        }
        self.say(at, words);
    }

    fn probe(&mut self, dispatcher: usize, conn: ConnId, at: usize) {
        let mute = self.cut[at] || self.boxes[at].health() == Health::Hung;
        if mute || !self.dispatchers[dispatcher].conns.contains_key(&conn) {
            return;
        }
        self.sums.probes += 1;
        let travel = self.travel();
        if !self.boxes[at].reachable() {
            let input = Input::ConnectionClosed {
                conn,
                unsent: false,
            };
            return self.later(self.now + travel, Due::Report { dispatcher, input });
        }
        let words = self.boxes[at].probed(self.now);
        self.say(at, words);
        let (free, held) = self.boxes[at].load();
        let noisy = (free + self.rng.random_range(-0.3..0.3)).max(0.0);
        let report = LoadReport {
            free_slots: Some(noisy),
            queued: None,
            outstanding: Some(held as f64),
        };
        let input = Input::ExchangeEnded {
            conn,
            outcome: Outcome::Done,
            result: None,
            report: Some(report),
        };
        self.later(self.now + travel, Due::Report { dispatcher, input });
        self.later(
            self.now + travel,
            Due::Report {
                dispatcher,
                input: Input::ConnectionFree(conn),
            },
        );
    }

    fn forget(&mut self, attempt: u64) {
        if let Some(over) = self.attempts.remove(&attempt) {
            self.checker.back(over.id, attempt);
        }
    }

    /// What a box says travels to the dispatchers that it concerns.
    fn say(&mut self, at: usize, words: Vec<Word>) {
        for word in words {
            let (Word::Started(n)
            | Word::Running(n, _)
            | Word::Done(n)
            | Word::Declined(n)
            | Word::Lost(n)) = word;
            let Some((dispatcher, conn, id, job)) = self
                .attempts
                .get(&n)
                .map(|a| (a.dispatcher, a.conn, a.id, a.job))
            else {
                continue;
            };
            let ended = |outcome, result| Input::ExchangeEnded {
                conn,
                outcome,
                result,
                report: None,
            };
            let inputs = match word {
                Word::Started(_) => {
                    self.checker.ran(self.now, id, job);
                    vec![Input::JobStarted(conn)]
                }
                Word::Running(_, share) => vec![Input::JobProgress(conn, share)],
                Word::Done(_) => {
                    vec![
                        ended(Outcome::Done, Some(Bytes::from_static(b"r"))),
                        Input::ConnectionFree(conn),
                    ]
                }
                Word::Declined(_) => {
                    vec![ended(Outcome::Rejected, None), Input::ConnectionFree(conn)]
                }
                Word::Lost(_) => vec![Input::ConnectionClosed {
                    conn,
                    unsent: false,
                }],
            };
            if !matches!(word, Word::Started(_) | Word::Running(..)) {
                self.forget(n);
                self.dispatchers[dispatcher]
                    .conns
                    .get_mut(&conn)
                    .into_iter()
                    .for_each(|c| c.attempt = None);
            }
            if self.cut[at] {
                continue;
            }
            // In order: what a box said first arrives first.
            let travel = self.scenario.travel.0;
            for input in inputs {
                self.later(self.now + travel, Due::Report { dispatcher, input });
            }
        }
        self.plan_engine(at);
    }

    fn fault(&mut self, at: usize, fault: Fault) {
        let now = self.now;
        let words = match fault {
            Fault::Kill => self.boxes[at].kill(now),
            Fault::Start => {
                self.boxes[at].start(now);
                vec![]
            }
            Fault::Hang => self.boxes[at].set_health(now, Health::Hung),
            Fault::Mend => self.boxes[at].set_health(now, Health::Up),
            Fault::Slow(share) => self.boxes[at].set_health(now, Health::Slow(share)),
            Fault::Drain => self.boxes[at].drain(now),
            Fault::Cut | Fault::Join => {
                self.cut[at] = fault == Fault::Cut;
                vec![]
            }
        };
        self.say(at, words);
        if matches!(fault, Fault::Kill) {
            self.reset_idle(at);
        }
        // Discovery knows only of processes that run, drain or are gone.
        let listed = matches!(fault, Fault::Kill | Fault::Start | Fault::Drain);
        if listed && self.scenario.vast.is_some() {
            let lag = self.between(self.scenario.lag);
            self.later(self.now + lag, Due::Line { at });
        } else if listed {
            for dispatcher in 0..self.dispatchers.len() {
                let lag = self.between(self.scenario.lag);
                self.later(self.now + lag, Due::Tell { dispatcher, at });
            }
        }
    }

    /// When a process dies its connections are reset, those that carry nothing too.
    fn reset_idle(&mut self, at: usize) {
        let travel = self.travel();
        for dispatcher in 0..self.dispatchers.len() {
            let conns: Vec<ConnId> = {
                let all = self.dispatchers[dispatcher].conns.iter();
                all.filter(|(_, c)| c.at == at && c.attempt.is_none())
                    .map(|(id, _)| *id)
                    .collect()
            };
            for conn in conns {
                let input = Input::ConnectionClosed {
                    conn,
                    unsent: false,
                };
                self.later(self.now + travel, Due::Report { dispatcher, input });
            }
        }
    }

    fn outcomes(mut self) -> Outcomes {
        let (count, words) = self.checker.broken();
        self.sums.discovery = self.registry.asked;
        self.sums.never_told = self.dispatchers.iter().filter(|d| !d.told).count();
        Outcomes {
            worth: self.checker.worth(),
            classes: self.checker.scores().to_vec(),
            broken: (count, words.to_vec()),
            changes: self.changes,
            inputs: self.inputs,
            samples: self.samples,
            sums: self.sums,
        }
    }
}

/// How a box stands in the list; beyond the last one there are those that are long gone.
fn line(boxes: &[Engine], at: usize) -> Endpoint {
    let Some(engine) = boxes.get(at) else {
        let (zone, kind, cell, status) = (0, 0, 0, WorkerStatus::Removed);
        let (name, addr) = (name(at), addr(at));
        return Endpoint {
            name,
            addr,
            zone,
            kind,
            cell,
            status,
            started: None,
            weight: None,
        };
    };
    let status = match engine.health() {
        Health::Down | Health::Fallen => WorkerStatus::Removed,
        _ if engine.draining() => WorkerStatus::Draining,
        _ => WorkerStatus::Ready,
    };
    let shape = engine.shape();
    let (zone, kind, cell) = (shape.zone, shape.kind, at as u32 / 2);
    Endpoint {
        name: name(at),
        addr: addr(at),
        zone,
        kind,
        cell,
        status,
        started: engine.started(),
        weight: None,
    }
}

const FIRST_PORT: u16 = 4_000;

fn addr(at: usize) -> SocketAddr {
    (
        [127, 0, 0, 1],
        FIRST_PORT + at as u16 % (u16::MAX - FIRST_PORT),
    )
        .into()
}
