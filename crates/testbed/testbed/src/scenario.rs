//! What is played: a fleet, the classes of jobs, the load and its clients, and what goes wrong, all drawn from a seed.

use crate::engine::{Order, Shape};
use crate::registry::Service;
use dispatch_api::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A second.
pub const SECOND: Micros = 1_000_000;

/// One class of jobs.
#[derive(Debug, Clone)]
pub struct JobClass {
    /// Its name.
    pub name: &'static str,
    /// What a repeat does: `pure`, `token` or `side_effect`.
    pub effect: &'static str,
    /// Share of all jobs.
    pub share: f64,
    /// Mean standard work, and the spread of its logarithm.
    pub work: (Micros, f64),
    /// Shares of jobs with 1, 2, 4 and 8 slots.
    pub slots: [f64; 4],
    /// Wanted within this ...
    pub aim: Micros,
    /// ... plus so many times its own work.
    pub stretch: f64,
    /// Given up after this.
    pub give_up: Micros,
    /// Worth.
    pub worth: f64,
    /// Share of the worth of a late answer.
    pub late_worth: f64,
    /// The only kind that runs it, by number; -1 for any.
    pub kind: i64,
    /// Its priority at a box.
    pub priority: u32,
    /// Its jobs need what a key stands for.
    pub keyed: bool,
}

/// What clients do.
#[derive(Debug, Clone)]
pub struct Habits {
    /// Further tries after an answer that it is harmless to try again, or none.
    pub retries: u32,
    /// Share of clients that leave before their time is up.
    pub leave: f64,
    /// Keys, and how unevenly they are asked for.
    pub keys: (u64, f64),
}

/// Something that happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Its process dies.
    Kill,
    /// It starts again, cold.
    Start,
    /// It takes work and says nothing.
    Hang,
    /// It works again.
    Mend,
    /// It works at this share of its speed.
    Slow(f64),
    /// It drains.
    Drain,
    /// Nothing comes through between it and any dispatcher, on open connections or new ones.
    Cut,
    /// It can be reached again.
    Join,
}

/// What a model of a large fleet has beside: discovery as one service with turns, live weights in its list, connections
/// that boxes count and pay for, and dispatchers that are killed and come back.
#[derive(Debug, Clone)]
pub struct Vast {
    /// What a new watch or a whole list costs discovery.
    pub turn: Micros,
    /// How often the weights of the list are made anew; they count for what was held then.
    pub renew: Micros,
    /// Further lines of the list, of boxes that are long gone.
    pub ghosts: usize,
    /// Boxes that are not there, and not listed as ready, until they start.
    pub absent: Vec<usize>,
    /// Dispatchers killed outright: which, when, and when they are back, with the list of the start.
    pub restarts: Vec<(usize, Micros, Micros)>,
    /// How discovery becomes, and when.
    pub discovery: Vec<(Micros, Service)>,
}

/// How fast jobs come: the time and the share of capacity from then on.
pub type Phase = (Micros, f64);

/// All of it.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Dispatchers before the fleet.
    pub dispatchers: u32,
    /// Names of the zones.
    pub zones: Vec<&'static str>,
    /// Names of the kinds.
    pub kinds: Vec<&'static str>,
    /// The boxes.
    pub boxes: Vec<Shape>,
    /// The classes.
    pub classes: Vec<JobClass>,
    /// The clients.
    pub habits: Habits,
    /// The load over time.
    pub load: Vec<Phase>,
    /// When the last job comes.
    pub end: Micros,
    /// What goes wrong: when, at which box.
    pub faults: Vec<(Micros, usize, Fault)>,
    /// How late discovery tells of a change, at least and at most.
    pub lag: (Micros, Micros),
    /// One way between a dispatcher and a box, at least and at most.
    pub travel: (Micros, Micros),
    /// A message between dispatchers takes this, at least and at most; and so large a share is lost.
    pub datagram: (Micros, Micros, f64),
    /// What only a model of a large fleet has.
    pub vast: Option<Vast>,
}

/// One job of a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When it is first asked for.
    pub at: Micros,
    /// Its class.
    pub class: usize,
    /// Standard work.
    pub work: Micros,
    /// Slots.
    pub slots: f64,
    /// What it needs at a box.
    pub key: Option<u64>,
    /// The client leaves so long after it first asked.
    pub leaves: Option<Micros>,
    /// The dispatcher that the front sends it to.
    pub dispatcher: u32,
}

/// Boxes of the league: four in turn, of three kinds.
fn league_shape(at: usize) -> Shape {
    let (kind, cores, speed) =
        [(2, 8.0, 0.7), (0, 7.0, 1.3), (1, 7.0, 0.95), (0, 7.0, 1.2)][at % 4];
    Shape {
        kind,
        zone: (at / 2 % 2) as u32,
        cores,
        speed,
        slots: cores,
        queue: 24,
        order: Order::Fifo,
        cold_for: 20 * SECOND,
        start_capacity: 0.12,
        tip_multiple: 3.0,
        tip_window: SECOND,
        kept_keys: 12,
        fetch: 120_000,
        probe_work: 4_000,
        note_every: SECOND,
        stops_running: true,
        connections: usize::MAX,
        handshake_work: 0,
    }
}

/// The three classes of the league.
fn league_classes() -> Vec<JobClass> {
    let class =
        |name, effect, share, mean: Micros, slots, aim: Micros, stretch, give_up: Micros, worth| {
            JobClass {
                name,
                effect,
                share,
                work: (mean * 1_000, 0.5),
                slots,
                aim: aim * 1_000,
                stretch,
                give_up: give_up * 1_000,
                worth,
                late_worth: 0.27,
                kind: -1,
                priority: 0,
                keyed: false,
            }
        };
    vec![
        class(
            "live-score",
            "pure",
            0.48,
            275,
            [1.0, 0.0, 0.0, 0.0],
            250,
            2.0,
            5_000,
            1.0,
        ),
        JobClass {
            keyed: true,
            ..class(
                "review",
                "token",
                0.38,
                555,
                [0.5, 0.3, 0.2, 0.0],
                500,
                2.5,
                6_000,
                3.0,
            )
        },
        JobClass {
            kind: 2,
            priority: 1,
            ..class(
                "settle",
                "side_effect",
                0.14,
                137,
                [0.5, 0.3, 0.2, 0.0],
                250,
                1.75,
                5_000,
                5.0,
            )
        },
    ]
}

impl Scenario {
    /// A fleet like that of the first deployment: two zones, three kinds, three classes.
    pub fn league(boxes: usize, dispatchers: u32) -> Self {
        Scenario {
            dispatchers,
            zones: vec!["ktm", "pokhara"],
            kinds: vec!["gen-c", "gen-b", "gen-a"],
            boxes: (0..boxes).map(league_shape).collect(),
            classes: league_classes(),
            habits: Habits {
                retries: 2,
                leave: 0.04,
                keys: (400, 0.9),
            },
            load: vec![(0, 0.7)],
            end: 30 * SECOND,
            faults: vec![],
            lag: (SECOND, 2 * SECOND),
            travel: (300, 2_500),
            datagram: (1_000, 39_000, 0.05),
            vast: None,
        }
    }

    /// A large fleet, for the model: many dispatchers that each see little of any box.
    pub fn vast(dispatchers: u32, boxes: usize) -> Self {
        let mut scenario = Self::league(boxes, dispatchers);
        for shape in &mut scenario.boxes {
            (shape.connections, shape.handshake_work) = (64, 4_000);
        }
        // Homes of keys as many as boxes make them, and more jobs of each kind.
        scenario.habits.keys.0 = 50 * boxes as u64;
        scenario.vast = Some(Vast {
            turn: 50_000,
            renew: 700_000,
            ghosts: 0,
            absent: vec![],
            restarts: vec![],
            discovery: vec![],
        });
        scenario
    }

    /// Load in swings between two shares of capacity, each of them for half of a period, the lower one first.
    pub fn swing(mut self, low: f64, high: f64, period: Micros, swings: u64) -> Self {
        let lead = 10 * SECOND;
        self.load = vec![(0, low)];
        for n in 0..swings {
            self.load.push((lead + n * period, low));
            self.load.push((lead + n * period + period / 2, high));
        }
        self.end = lead + swings * period;
        self
    }

    /// A quarter of the boxes, drawn from the seed, die at once and come back cold.
    pub fn quarter_dies(mut self, at: Micros, back_after: Micros, seed: u64) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x9a7);
        for dies in
            rand::seq::index::sample(&mut rng, self.boxes.len(), self.boxes.len().div_ceil(4))
        {
            self.faults.push((at, dies, Fault::Kill));
            self.faults.push((at + back_after, dies, Fault::Start));
        }
        self
    }

    /// Jobs a second that fill all cores, were there nothing to fetch.
    pub fn capacity(&self) -> f64 {
        let can: f64 = self.boxes.iter().map(|b| b.cores * b.speed).sum();
        let mean_slots = |c: &JobClass| {
            c.slots
                .iter()
                .zip([1.0, 2.0, 4.0, 8.0])
                .map(|(s, n)| s * n)
                .sum::<f64>()
        };
        let each: f64 = self
            .classes
            .iter()
            .map(|c| c.share * mean_slots(c) * c.work.0 as f64 / 1.0e6)
            .sum();
        can / each
    }

    fn load_at(&self, at: Micros) -> f64 {
        self.load
            .iter()
            .rev()
            .find(|(from, _)| *from <= at)
            .map_or(0.0, |(_, load)| *load)
    }

    /// All jobs, in the order in which they come: the same for the same seed, whatever is done with them.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let most = self.load.iter().map(|(_, load)| *load).fold(0.0, f64::max) * self.capacity();
        let keys = Zipf::new(self.habits.keys.0 as f64, self.habits.keys.1).ok();
        let (mut arrivals, mut at) = (vec![], 0.0);
        if most <= 0.0 {
            return arrivals;
        }
        loop {
            let gap: f64 = Exp1.sample(&mut rng);
            at += gap / most * 1.0e6;
            if at >= self.end as f64 {
                return arrivals;
            }
            // Thinned to the load of the moment.
            if rng.random::<f64>() < self.load_at(at as Micros) * self.capacity() / most {
                let arrival = self.arrival(at as Micros, keys.as_ref(), &mut rng);
                arrivals.push(arrival);
            }
        }
    }

    fn arrival(&self, at: Micros, keys: Option<&Zipf<f64>>, rng: &mut Pcg64Mcg) -> Arrival {
        let pick = |shares: &mut dyn Iterator<Item = f64>, mut drawn: f64| {
            let mut last = 0;
            for (n, share) in shares.enumerate() {
                last = n;
                drawn -= share;
                if drawn < 0.0 {
                    break;
                }
            }
            last
        };
        let total: f64 = self.classes.iter().map(|c| c.share).sum();
        let class = pick(
            &mut self.classes.iter().map(|c| c.share),
            rng.random::<f64>() * total,
        );
        let terms = &self.classes[class];
        let (mean, sigma) = terms.work;
        let spread = LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |d| d.sample(rng));
        let slots = 1
            << pick(
                &mut terms.slots.iter().copied(),
                rng.random::<f64>() * terms.slots.iter().sum::<f64>(),
            );
        let key = keys
            .map(|keys| keys.sample(rng) as u64)
            .filter(|_| terms.keyed);
        let leaves = rng.random::<f64>() < self.habits.leave;
        let leaves_at = (rng.random::<f64>() * terms.give_up as f64) as Micros;
        Arrival {
            at,
            class,
            work: ((mean as f64 * spread) as Micros).max(1_000),
            slots: f64::from(slots),
            key,
            leaves: leaves.then_some(leaves_at),
            dispatcher: rng.random_range(0..self.dispatchers.max(1)),
        }
    }

    /// The platform's configuration of one dispatcher, as JSON.
    pub fn config(&self, dispatcher: u32, addrs: &Addresses, seed: u64) -> String {
        let class = |c: &JobClass| {
            serde_json::json!({"name": c.name, "effect": c.effect, "group": "zone", "slo-ms": ms(c.aim),
                "hard-limit-ms": ms(c.give_up), "memory-span-ms": 10_000.0, "points": c.worth,
                "late-worth": c.late_worth, "stream": false})
        };
        // A dispatcher that is alone sends no probes: it would learn nothing of slots.
        let reports = if self.dispatchers > 1 {
            "probe"
        } else {
            "answers"
        };
        let kinds: Vec<i64> = self.classes.iter().map(|c| c.kind).collect();
        let stretch: Vec<f64> = self.classes.iter().map(|c| c.stretch).collect();
        let first = self.boxes.first();
        let weights = if self.vast.is_some() {
            "live"
        } else {
            "nominal"
        };
        let servers: Vec<_> = addrs
            .boxes
            .iter()
            .enumerate()
            .map(|(n, a)| self.entry(n, a, "ready", 0))
            .collect();
        serde_json::json!({
            "name": format!("n{dispatcher}"), "listen": addrs.listen, "discovery": addrs.discovery,
            "seed": format!("{seed:x}"), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": addrs.peers.get(dispatcher as usize), "peers": addrs.peers,
            "known": {"version": 0, "full": true, "servers": servers},
            "settings": {
                "allowed": {"attempts-cap": 3, "conn-idle-ms": 10_000.0, "connect-timeout-ms": 250.0,
                    "max-open": 20_000, "max-retry-after-ms": 2_000.0, "may-cancel": true, "peers": true,
                    "probes": true, "retry-after": true, "second-copies": false},
                "az": dispatcher as usize % self.zones.len().max(1), "me": dispatcher,
                "peers-total": self.dispatchers, "weight-source": weights, "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
                "costs": {"cross-zone": 0.01, "peer": 0.011, "probe": 0.0044, "waste": 0.016},
                "discovery": "on_request", "goal": {"whole": 0.55, "worst-class": 0.3, "worst-window": 0.15},
                "models": self.kinds, "zones": self.zones, "report": {"names": ["x0", "concurrent"], "via": reports},
                "rules": {"cold-ms": first.map_or(20_000.0, |b| ms(b.cold_for)), "fall-ms": 1_000.0,
                    "must-ask-in-ms": 10_000.0, "start-capacity": first.map_or(0.12, |b| b.start_capacity),
                    "stop-sending-within-ms": 250.0, "tip-multiple": first.map_or(3.0, |b| b.tip_multiple)},
                "specifics": {"class-kind": kinds, "class-stretch": stretch,
                    "progress-ms": first.map_or(1_000.0, |b| ms(b.note_every)), "report-x0": "free slots",
                    "tells-start": true},
                "tick-ms": 5.0,
            },
        })
        .to_string()
    }

    /// One line of discovery's list.
    pub fn entry(
        &self,
        number: usize,
        addr: &str,
        state: &str,
        started_ms: u64,
    ) -> serde_json::Value {
        let shape = &self.boxes[number];
        serde_json::json!({"id": name(number), "addr": addr, "zone": self.zones[shape.zone as usize],
            "kind": self.kinds[shape.kind as usize], "cell": number / 2, "state": state, "weight": 1.0,
            "started_ms": started_ms})
    }
}

/// A box's name in the list.
pub fn name(number: usize) -> String {
    format!("s-{number:04}")
}

/// Where everybody is.
#[derive(Debug, Clone, Default)]
pub struct Addresses {
    /// Where the dispatcher listens for clients.
    pub listen: String,
    /// Discovery.
    pub discovery: String,
    /// All dispatchers, for their messages.
    pub peers: Vec<String>,
    /// The boxes.
    pub boxes: Vec<String>,
}

fn ms(span: Micros) -> f64 {
    span as f64 / 1_000.0
}
