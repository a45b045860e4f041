//! Failure detectors on a simulated network with delay, loss and partitions, in virtual time.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use compact_str::format_compact;
use failure_detector::{Dispatcher, Effect, FailureDetector, Message, Ms, Verdict};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

const STEP: Ms = 10;

pub fn dispatcher(n: usize, zones: usize) -> Dispatcher {
    Dispatcher {
        id: 1_000 + n as u64 * 7_919,
        addr: SocketAddr::from((
            [10, (n % zones) as u8, (n / 250) as u8, (n % 250) as u8 + 1],
            7_001,
        )),
        zone: format_compact!("z{}", n % zones),
        node: format_compact!("edge-{n}"),
    }
}

pub struct Simulation {
    pub now: Ms,
    pub rng: Pcg64,
    pub list: Vec<Dispatcher>,
    pub detectors: Vec<Option<FailureDetector>>,
    pub stalled_until: Vec<Ms>,
    phase: Vec<Ms>,
    by_addr: BTreeMap<SocketAddr, usize>,
    in_flight: BTreeMap<Ms, Vec<(usize, usize, Message)>>,
    inbox: Vec<VecDeque<(SocketAddr, Message)>>,
    /// Directed links that drop everything.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Of a thousand messages, so many are lost.
    pub loss_permille: u64,
    pub verdicts: Vec<(Ms, usize, Verdict)>,
    pub sent: u64,
}

impl Simulation {
    pub fn new(seed: u64, count: usize, zones: usize) -> Simulation {
        let list = (0..count).map(|n| dispatcher(n, zones)).collect::<Vec<_>>();
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut detectors = list
            .iter()
            .map(|one| Some(FailureDetector::new(one.id)))
            .collect::<Vec<_>>();
        for detector in detectors.iter_mut().flatten() {
            detector.set_members(1_000, &list);
        }
        Simulation {
            now: 1_000,
            detectors,
            stalled_until: vec![0; count],
            phase: (0..count).map(|_| rng.next_u64() % 100).collect(),
            by_addr: list
                .iter()
                .enumerate()
                .map(|(n, one)| (one.addr, n))
                .collect(),
            in_flight: BTreeMap::new(),
            inbox: vec![VecDeque::new(); count],
            blocked: BTreeSet::new(),
            loss_permille: 0,
            verdicts: Vec::new(),
            sent: 0,
            list,
            rng,
        }
    }

    pub fn below(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        while self
            .in_flight
            .first_key_value()
            .is_some_and(|(at, _)| *at <= now)
        {
            let Some((_, messages)) = self.in_flight.pop_first() else {
                break;
            };
            for (from, to, message) in messages {
                if !self.blocked.contains(&(from, to)) {
                    self.inbox[to].push_back((self.list[from].addr, message));
                }
            }
        }
        for n in 0..self.detectors.len() {
            if self.stalled_until[n] > now {
                continue;
            }
            let Some(mut detector) = self.detectors[n].take() else {
                continue;
            };
            while let Some((from, message)) = self.inbox[n].pop_front() {
                detector.handle_message(
                    now,
                    from,
                    Message::decode(&message.encode()).expect("readable"),
                );
            }
            if (now + self.phase[n] / STEP * STEP).is_multiple_of(100) {
                detector.tick(now);
            }
            for effect in detector.take_effects() {
                match effect {
                    Effect::Report(verdict) => self.verdicts.push((now, n, verdict)),
                    Effect::Send { to, message } => {
                        self.sent += 1;
                        let to = self.by_addr[&to];
                        if self.below(1_000) >= self.loss_permille
                            && !self.blocked.contains(&(n, to))
                        {
                            let at = now + 5 + self.below(30);
                            self.in_flight.entry(at).or_default().push((n, to, message));
                        }
                    }
                }
            }
            self.detectors[n] = Some(detector);
        }
    }

    pub fn run(&mut self, ms: Ms) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
        }
    }

    /// Who was reported as failed, in order.
    pub fn reported_failed(&self) -> Vec<usize> {
        let failed = self
            .verdicts
            .iter()
            .filter(|(_, _, verdict)| verdict.failed);
        failed
            .filter_map(|(_, _, verdict)| self.list.iter().position(|one| one.id == verdict.id))
            .collect()
    }

    pub fn watchers(&self, n: usize) -> Vec<usize> {
        let watchers = failure_detector::watchers(&self.list, self.list[n].id);
        watchers.iter().map(|one| self.by_addr[&one.addr]).collect()
    }
}
