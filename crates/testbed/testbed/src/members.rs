//! Any number of members in virtual time: the state machine of crate `membership` over a network that loses, delays,
//! duplicates, reorders and splits, with members that die, pause and come back. One seed, one outcome.

use dispatch_api::Micros;
use membership::{Effect, MemberState, MemberUpdate, Message, Swim};
use rand::Rng;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt;

/// What happens to the members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Its process dies.
    Kill(u16),
    /// It is started again, with a note of its last incarnation or, where it is lost, with the first one.
    Restart(u16, bool),
    /// It is stopped, and goes on later with what it believed.
    Pause(u16),
    /// ... it goes on.
    Resume(u16),
    /// Members below this one hear nothing of the others.
    Split(u16),
    /// What the first sends does not reach the second any more.
    Cut(u16, u16),
    /// That member hears nobody.
    Deaf(u16),
    /// Nobody hears that member.
    Mute(u16),
    /// Members below this one are heard by none of the others, but hear them.
    HalfMute(u16),
    /// So many of a thousand directed ways are closed, drawn from the seed.
    SomeWays(u16),
    /// It is told to stop: it says so, and ends two periods later.
    Leave(u16),
    /// All hear each other again.
    Heal,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Terms {
    /// Members.
    pub members: u16,
    /// One ping of each in so long.
    pub period: Micros,
    /// So large a share of datagrams is lost ...
    pub loss: f64,
    /// ... or comes twice.
    pub twice: f64,
    /// One way takes this, at least and at most; so they overtake each other.
    pub travel: (Micros, Micros),
    /// What happens, when.
    pub faults: Vec<(Micros, Fault)>,
    /// How long it is played.
    pub end: Micros,
    /// For all that is drawn.
    pub seed: u64,
}

impl Terms {
    /// Members without faults.
    pub fn calm(members: u16, loss: f64, seconds: u64, seed: u64) -> Self {
        let (period, end) = (500_000, seconds * 1_000_000);
        Terms {
            members,
            period,
            loss,
            twice: 0.05,
            travel: (300, 40_000),
            faults: vec![],
            end,
            seed,
        }
    }
}

/// What it came to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary {
    /// Members.
    pub members: u16,
    /// Share of datagrams that was lost.
    pub loss: f64,
    /// Datagrams sent by a member in a second.
    pub datagrams_per_member_s: f64,
    /// Their bytes.
    pub bytes_per_member_s: f64,
    /// Times that a member which answered was taken for dead by another.
    pub false_deaths: u64,
    /// How long after the last fault all who answer believed the truth of all, ms; none if they did not by the end.
    pub agreed_after_ms: Option<u64>,
    /// How long a suspect has to say otherwise, ms.
    pub suspicion_ms: u64,
    /// How long until all had heard that one has left, the longest, ms.
    pub left_known_ms: u64,
    /// Members that left and were suspected by somebody.
    pub left_suspected: u64,
    /// Members that somebody does not hear, as they have been told.
    pub unheard: u64,
    /// How long after the last fault the numbers of all views were the same for good, ms; none if they were not by the end.
    pub views_equal_ms: Option<u64>,
    /// Times that the number of a view changed, of the member with the most.
    pub view_changes: u64,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let agreed = self.agreed_after_ms.map_or("never".to_owned(), |ms| {
            format!("{ms} ms after the last fault")
        });
        writeln!(
            f,
            "{} members, {} lost: {:.2} datagrams/s and {:.0} bytes/s each, {} false deaths, agreed {agreed} (suspects have \
             {} ms); leaving known within {} ms, {} suspected; {} unheard; views equal {:?} ms after it, at most {} changes",
            self.members,
            self.loss,
            self.datagrams_per_member_s,
            self.bytes_per_member_s,
            self.false_deaths,
            self.suspicion_ms,
            self.left_known_ms,
            self.left_suspected,
            self.unheard,
            self.views_equal_ms,
            self.view_changes
        )
    }
}

#[derive(Debug)]
enum Due {
    Tick(u16),
    Ends(u16),
    Arrives { to: u16, bytes: Vec<u8> },
    Fault(Fault),
}

struct Process {
    swim: Swim,
    /// It runs; one that does not is dead or stopped.
    runs: bool,
    wake: Option<Micros>,
    /// What came while it was stopped waits for it, as in a socket.
    waiting: Vec<Vec<u8>>,
    /// When it said that it goes, and who has heard of it.
    left: Option<(Micros, BTreeSet<u16>)>,
    view: u32,
    view_changes: u64,
}

/// Datagrams that wait for a stopped process at most.
const WAITING: usize = 64;

struct Model<'a> {
    terms: &'a Terms,
    rng: Pcg64Mcg,
    now: Micros,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Due>,
    count: u64,
    processes: Vec<Process>,
    split: u16,
    /// Ways that are closed, by sender and receiver.
    cut: BTreeSet<(u16, u16)>,
    left_known: Micros,
    left_suspected: BTreeSet<u16>,
    unheard: BTreeSet<u16>,
    equal: Option<Micros>,
    datagrams: u64,
    bytes: u64,
    false_deaths: u64,
    last_fault: Micros,
    agreed: Option<Micros>,
}

/// Plays it.
pub fn run(terms: &Terms) -> Summary {
    let mut model = Model::new(terms);
    model.look();
    model.play();
    let per = |sum: u64| {
        sum as f64 / f64::from(terms.members.max(1)) / (terms.end as f64 / 1.0e6).max(1.0e-9)
    };
    Summary {
        members: terms.members,
        loss: terms.loss,
        datagrams_per_member_s: per(model.datagrams),
        bytes_per_member_s: per(model.bytes),
        false_deaths: model.false_deaths,
        agreed_after_ms: model
            .agreed
            .map(|at| at.saturating_sub(model.last_fault) / 1_000),
        suspicion_ms: model.processes[0].swim.suspicion() / 1_000,
        left_known_ms: model.left_known / 1_000,
        left_suspected: model.left_suspected.len() as u64,
        unheard: model.unheard.len() as u64,
        views_equal_ms: model
            .equal
            .map(|at| at.saturating_sub(model.last_fault) / 1_000),
        view_changes: model
            .processes
            .iter()
            .map(|p| p.view_changes)
            .max()
            .unwrap_or(0),
    }
}

impl<'a> Model<'a> {
    fn new(terms: &'a Terms) -> Self {
        let (due, what) = Default::default();
        let mut model = Model {
            terms,
            rng: Pcg64Mcg::seed_from_u64(terms.seed),
            now: 0,
            due,
            what,
            count: 0,
            processes: vec![],
            split: 0,
            cut: BTreeSet::new(),
            left_known: 0,
            left_suspected: BTreeSet::new(),
            unheard: BTreeSet::new(),
            equal: None,
            datagrams: 0,
            bytes: 0,
            false_deaths: 0,
            last_fault: 0,
            agreed: None,
        };
        for me in 0..terms.members {
            let process = model.process(me, 1);
            model.processes.push(process);
            model.arm(me);
        }
        for (at, fault) in &terms.faults {
            model.later(*at, Due::Fault(*fault));
        }
        model
    }

    fn process(&mut self, me: u16, incarnation: u32) -> Process {
        let seed = self.rng.random();
        let (members, period) = (self.terms.members, self.terms.period);
        let swim = Swim::new(
            membership::Config {
                me,
                members,
                period,
                incarnation,
                seed,
            },
            self.now,
        );
        let view = swim.view_hash();
        Process {
            swim,
            runs: true,
            wake: None,
            waiting: vec![],
            left: None,
            view,
            view_changes: 0,
        }
    }

    fn later(&mut self, at: Micros, what: Due) {
        self.count += 1;
        self.due.push(Reverse((at.max(self.now), self.count)));
        self.what.insert(self.count, what);
    }

    fn arm(&mut self, me: u16) {
        let process = &mut self.processes[usize::from(me)];
        let at = process.swim.wake_at();
        if process.runs && process.wake.is_none_or(|armed| at < armed) {
            process.wake = Some(at);
            self.later(at, Due::Tick(me));
        }
    }

    fn play(&mut self) {
        while let Some(Reverse((at, number))) = self.due.pop() {
            if at > self.terms.end {
                break;
            }
            self.now = self.now.max(at);
            let Some(due) = self.what.remove(&number) else {
                continue;
            };
            match due {
                Due::Tick(me) => {
                    let process = &mut self.processes[usize::from(me)];
                    if process.runs && process.wake.is_some_and(|armed| armed <= self.now) {
                        process.wake = None;
                        let effects = process.swim.tick(self.now);
                        self.carry_out(me, effects);
                    }
                }
                Due::Ends(me) => self.processes[usize::from(me)].runs = false,
                Due::Arrives { to, bytes } => self.arrives(to, bytes),
                Due::Fault(fault) => self.fault(fault),
            }
        }
    }

    fn arrives(&mut self, to: u16, bytes: Vec<u8>) {
        let process = &mut self.processes[usize::from(to)];
        if !process.runs {
            if process.waiting.len() < WAITING {
                process.waiting.push(bytes);
            }
            return;
        }
        if let Ok(message) = Message::decode(&bytes) {
            let effects = process.swim.handle_message(self.now, &message);
            self.carry_out(to, effects);
        }
    }

    /// Whether what the first sends reaches the second.
    fn reach(&self, from: u16, to: u16) -> bool {
        (from < self.split) == (to < self.split) && !self.cut.contains(&(from, to))
    }

    /// ... directly, or through one other that runs.
    fn way(&self, from: u16, to: u16) -> bool {
        let through =
            |x| self.processes[usize::from(x)].runs && self.reach(from, x) && self.reach(x, to);
        // A partition leaves no way through others.
        self.reach(from, to) || !self.cut.is_empty() && (0..self.terms.members).any(through)
    }

    fn carry_out(&mut self, me: u16, effects: Vec<Effect>) {
        let mut changed = false;
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.send(me, to, &message),
                Effect::MemberChanged(MemberUpdate { member, state, .. }) => {
                    changed = true;
                    self.changed(me, member, state);
                }
                Effect::ReachabilityChanged { reachable, .. } => {
                    if !reachable {
                        self.unheard.insert(me);
                    }
                }
            }
        }
        if changed {
            self.look();
        }
        self.arm(me);
    }

    fn changed(&mut self, me: u16, member: u16, state: MemberState) {
        let there = self.processes[usize::from(member)].runs
            && self.way(member, me)
            && self.way(me, member);
        self.false_deaths += u64::from(state == MemberState::Dead && there);
        let number = self.processes[usize::from(me)].swim.view_hash();
        let process = &mut self.processes[usize::from(me)];
        process.view_changes += u64::from(std::mem::replace(&mut process.view, number) != number);
        let running: Vec<u16> = (0..self.terms.members)
            .filter(|m| *m != member && self.processes[usize::from(*m)].runs)
            .collect();
        if let Some((since, heard)) = &mut self.processes[usize::from(member)].left {
            match state {
                MemberState::Left => drop(heard.insert(me)),
                MemberState::Suspect | MemberState::Dead => {
                    self.left_suspected.insert(member);
                }
                MemberState::Alive => {}
            }
            if running.iter().all(|m| heard.contains(m)) {
                self.left_known = self.left_known.max(self.now - *since);
                self.processes[usize::from(member)].left = None;
            }
        }
    }

    fn send(&mut self, me: u16, to: u16, message: &Message) {
        let Ok(bytes) = message.encode() else { return };
        self.datagrams += 1;
        self.bytes += bytes.len() as u64;
        let copies = 1 + usize::from(self.rng.random::<f64>() < self.terms.twice);
        for _ in 0..copies {
            let lost = self.rng.random::<f64>() < self.terms.loss;
            let late = self
                .rng
                .random_range(self.terms.travel.0..=self.terms.travel.1);
            if !lost && self.reach(me, to) {
                self.later(
                    self.now + late,
                    Due::Arrives {
                        to,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
    }

    /// Whether all who run believe the truth of all, that is, of who can be reached by them.
    fn look(&mut self) {
        let numbers = (0..self.terms.members).filter(|m| self.processes[usize::from(*m)].runs);
        let mut numbers = numbers.map(|m| self.processes[usize::from(m)].swim.view_hash());
        let first = numbers.next();
        self.equal = match numbers.all(|n| Some(n) == first) {
            true => self.equal.or(Some(self.now)),
            false => None,
        };
        let right = |me: u16| {
            (0..self.terms.members).all(|other| {
                let process = &self.processes[usize::from(other)];
                let there = process.runs
                    && process.left.is_none()
                    && self.way(other, me)
                    && self.way(me, other);
                self.processes[usize::from(me)]
                    .swim
                    .state(other)
                    .is_some_and(MemberState::is_present)
                    == there
                    || me == other
            })
        };
        let running = (0..self.terms.members).filter(|m| self.processes[usize::from(*m)].runs);
        match running.into_iter().all(right) {
            true => self.agreed = self.agreed.or(Some(self.now)),
            false => self.agreed = None,
        }
    }

    fn fault(&mut self, fault: Fault) {
        (self.last_fault, self.agreed, self.equal) = (self.now, None, None);
        match fault {
            Fault::Kill(m) | Fault::Pause(m) => self.processes[usize::from(m)].runs = false,
            Fault::Resume(m) => {
                let process = &mut self.processes[usize::from(m)];
                (process.runs, process.wake) = (true, None);
                let waiting = std::mem::take(&mut process.waiting);
                let effects = process.swim.tick(self.now);
                self.carry_out(m, effects);
                waiting.into_iter().for_each(|bytes| self.arrives(m, bytes));
            }
            Fault::Restart(m, noted) => {
                let last = self.processes[usize::from(m)].swim.incarnation();
                let incarnation = if noted {
                    membership::incarnation::successor(last)
                } else {
                    1
                };
                let process = self.process(m, incarnation);
                self.processes[usize::from(m)] = process;
                self.arm(m);
            }
            Fault::Split(at) => self.split = at,
            Fault::Cut(from, to) => drop(self.cut.insert((from, to))),
            Fault::Deaf(m) => self
                .cut
                .extend((0..self.terms.members).map(|from| (from, m))),
            Fault::Mute(m) => self.cut.extend((0..self.terms.members).map(|to| (m, to))),
            Fault::HalfMute(below) => {
                let others = below..self.terms.members;
                self.cut
                    .extend((0..below).flat_map(|from| others.clone().map(move |to| (from, to))));
            }
            Fault::SomeWays(share) => {
                let all = (0..self.terms.members)
                    .flat_map(|a| (0..self.terms.members).map(move |b| (a, b)));
                let rng = &mut self.rng;
                self.cut
                    .extend(all.filter(|_| rng.random_range(0..1_000) < share));
            }
            Fault::Leave(m) => {
                self.processes[usize::from(m)].left = Some((self.now, BTreeSet::new()));
                let effects = self.processes[usize::from(m)].swim.leave(self.now);
                self.carry_out(m, effects);
                self.later(self.now + 2 * self.terms.period, Due::Ends(m));
            }
            Fault::Heal => {
                self.split = 0;
                self.cut.clear();
            }
        }
        self.look();
    }
}
