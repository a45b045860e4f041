//! Tables on a simulated network with delay, loss, one-way partitions and limited bandwidth, in
//! virtual time; processes that freeze, crash and restart empty.
#![allow(dead_code, reason = "each test uses a part of it")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;
use relay_tree::{tree_parents, Follow, Message, Ms, Role, Stamp, StateTable};

pub const STEP: Ms = 10;
const TICK: Ms = 50;

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8 + 1], 7000))
}

pub struct Node {
    pub addr: SocketAddr,
    pub zone: String,
    pub state_table: Option<StateTable>,
    pub frozen_until: Ms,
    pub phase: Ms,
    /// The newest stamp of each key that this incarnation has had.
    pub newest_stamps: BTreeMap<String, Stamp>,
    pub incarnation: u64,
    pub inbox: VecDeque<(SocketAddr, Bytes)>,
}

#[derive(Default)]
struct Pipe {
    queue: VecDeque<(Ms, Bytes)>,
    busy_until: Ms,
}

pub struct World {
    pub now: Ms,
    pub rng: Pcg64,
    pub nodes: Vec<Node>,
    pub controllers: usize,
    pub width: usize,
    pipes: BTreeMap<(usize, usize), Pipe>,
    /// Directed links that drop everything.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Of a thousand messages, so many are lost.
    pub loss_permille: u64,
    /// Bandwidth of each link in bytes a ms; 0: no limit.
    pub bytes_per_ms: u64,
    pub delay: Ms,
    incarnations: u64,
    pub sent: u64,
    pub bytes: u64,
    /// When each controller last had contact with a quorum.
    quorum_contact: BTreeMap<usize, Ms>,
}

impl World {
    pub fn new(seed: u64, controllers: usize, others: usize, width: usize) -> World {
        let mut world = World {
            now: 1_000,
            rng: Pcg64::seed_from_u64(seed),
            nodes: Vec::new(),
            controllers,
            width,
            pipes: BTreeMap::new(),
            blocked: BTreeSet::new(),
            loss_permille: 0,
            bytes_per_ms: 0,
            delay: 5,
            incarnations: 0,
            sent: 0,
            bytes: 0,
            quorum_contact: BTreeMap::new(),
        };
        for n in 0..controllers + others {
            let phase = world.random_below(TICK);
            world.nodes.push(Node {
                addr: addr(n),
                zone: format!("z{}", n % 3),
                state_table: None,
                frozen_until: 0,
                phase,
                newest_stamps: BTreeMap::new(),
                incarnation: 0,
                inbox: VecDeque::new(),
            });
        }
        for n in 0..controllers + others {
            world.start(n);
        }
        world
    }

    pub fn random_below(&mut self, most: u64) -> u64 {
        self.rng.next_u64() % most.max(1)
    }

    pub fn is_controller(&self, n: usize) -> bool {
        n < self.controllers
    }

    pub fn start(&mut self, n: usize) {
        self.incarnations += 1;
        let incarnation = self.incarnations;
        let controller = self.is_controller(n);
        let controllers = (0..self.controllers)
            .map(|n| (addr(n), self.nodes[n].zone.clone()))
            .collect::<Vec<_>>();
        let others =
            (self.controllers..self.nodes.len()).map(|n| (addr(n), self.nodes[n].zone.clone()));
        let others = others.collect::<Vec<_>>();
        let (follow, role) = if controller {
            (Follow::All, Role::Root)
        } else {
            (Follow::First, Role::Relay)
        };
        let mut state_table = StateTable::new(incarnation, addr(n), follow, role);
        let list = if controller {
            controllers.iter().map(|(addr, _)| *addr).collect()
        } else {
            tree_parents(
                addr(n),
                &self.nodes[n].zone,
                &others,
                &controllers,
                self.width,
            )
        };
        state_table.set_parents(self.now, list);
        let node = &mut self.nodes[n];
        node.state_table = Some(state_table);
        node.incarnation = incarnation;
        node.newest_stamps.clear();
        node.inbox.clear();
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].state_table = None;
        self.nodes[n].inbox.clear();
        let hit = |(from, to): &(usize, usize)| *from == n || *to == n;
        for (_, pipe) in self.pipes.iter_mut().filter(|(ends, _)| hit(ends)) {
            pipe.queue.clear();
        }
    }

    pub fn state_table(&mut self, n: usize) -> &mut StateTable {
        self.nodes[n].state_table.as_mut().expect("runs")
    }

    pub fn set(&mut self, n: usize, key: &str, stamp: Stamp, value: Option<Vec<u8>>) -> bool {
        let now = self.now;
        let Some(state_table) = self.nodes[n].state_table.as_mut() else {
            return false;
        };
        let set = state_table.set(now, key, stamp, value.map(Bytes::from));
        self.check_monotonic(n);
        self.flush(n);
        set
    }

    /// Partitions two sets of nodes, both ways.
    pub fn partition(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.blocked.insert((*a, *b));
                self.blocked.insert((*b, *a));
            }
        }
    }

    pub fn reachable(&self, a: usize, b: usize) -> bool {
        !self.blocked.contains(&(a, b))
            && !self.blocked.contains(&(b, a))
            && self.runs(a)
            && self.runs(b)
    }

    pub fn runs(&self, n: usize) -> bool {
        self.nodes[n].state_table.is_some() && self.nodes[n].frozen_until <= self.now
    }

    fn node_at(&self, addr_: SocketAddr) -> Option<usize> {
        self.nodes.iter().position(|node| node.addr == addr_)
    }

    /// Checks that no entry of a table went back to an older stamp.
    fn check_monotonic(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let Some(state_table) = node.state_table.as_mut() else {
            return;
        };
        for key in state_table.take_changed_keys() {
            let Some(state_entry) = state_table.get(&key) else {
                continue;
            };
            let before = node
                .newest_stamps
                .insert(key.to_string(), state_entry.stamp);
            assert!(
                before.is_none_or(|before| before <= state_entry.stamp),
                "{key} went back from {before:?} on {n}"
            );
        }
    }

    fn flush(&mut self, n: usize) {
        let Some(state_table) = self.nodes[n].state_table.as_mut() else {
            return;
        };
        let out = state_table.take_messages();
        for (to, message) in out {
            let Some(to) = self.node_at(to) else { continue };
            let bytes = message.encode();
            self.sent += 1;
            self.bytes += bytes.len() as u64;
            if self.blocked.contains(&(n, to))
                || self.nodes[to].state_table.is_none()
                || self.random_below(1000) < self.loss_permille
            {
                continue;
            }
            let (delay, now) = (
                self.delay + self.rng.next_u64() % (self.delay + 1),
                self.now,
            );
            let pipe = self.pipes.entry((n, to)).or_default();
            let last = pipe.queue.back().map_or(0, |(at, _)| *at);
            let start = pipe.busy_until.max(now);
            pipe.busy_until = start
                + (bytes.len() as u64)
                    .checked_div(self.bytes_per_ms)
                    .unwrap_or(0);
            let at = (pipe.busy_until + delay).max(last);
            pipe.queue.push_back((at, bytes));
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        self.report_quorum_contacts();
        let ends = self.pipes.keys().copied().collect::<Vec<_>>();
        for (from, to) in ends {
            loop {
                let cut = self.blocked.contains(&(from, to));
                let pipe = self.pipes.entry((from, to)).or_default();
                if pipe.queue.front().is_none_or(|(at, _)| *at > now) {
                    break;
                }
                let Some((_, bytes)) = pipe.queue.pop_front() else {
                    break;
                };
                if !cut && self.nodes[to].state_table.is_some() {
                    let from = addr(from);
                    self.nodes[to].inbox.push_back((from, bytes));
                }
            }
        }
        for n in 0..self.nodes.len() {
            if !self.runs(n) {
                continue;
            }
            let mut busy = false;
            while let Some((from, bytes)) = self.nodes[n].inbox.pop_front() {
                let message = Message::decode(&bytes).expect("readable");
                self.state_table(n).handle_message(now, from, message);
                self.check_monotonic(n);
                busy = true;
            }
            if (now + self.nodes[n].phase / STEP * STEP).is_multiple_of(TICK) {
                self.state_table(n).tick(now);
                busy = true;
            }
            if busy {
                self.check_monotonic(n);
                self.flush(n);
            }
        }
    }

    /// Controllers report their contact with a quorum every 200 ms.
    fn report_quorum_contacts(&mut self) {
        if !self.now.is_multiple_of(200) {
            return;
        }
        let now = self.now;
        for n in 0..self.controllers {
            let reach = (0..self.controllers)
                .filter(|m| *m == n || self.reachable(n, *m))
                .count();
            if reach * 2 > self.controllers {
                self.quorum_contact.insert(n, now);
            }
            let age = self.quorum_contact.get(&n).map(|at| now - at);
            if let (Some(age), true) = (age, self.runs(n)) {
                self.state_table(n).report_quorum_contact(now, age);
            }
        }
    }

    pub fn run(&mut self, ms: Ms) {
        let until = self.now + ms;
        while self.now < until {
            self.step();
        }
    }

    pub fn has(&self, n: usize, key: &str, stamp: Stamp) -> bool {
        let state_table = self.nodes[n].state_table.as_ref();
        state_table
            .and_then(|state_table| state_table.get(key))
            .is_some_and(|state_entry| state_entry.stamp >= stamp)
    }

    /// Runs until all running processes have an entry; how long that took, `None` beyond the limit.
    pub fn until_all_have(&mut self, key: &str, stamp: Stamp, limit: Ms) -> Option<Ms> {
        let began = self.now;
        while self.now - began < limit {
            if (0..self.nodes.len())
                .all(|n| self.nodes[n].state_table.is_none() || self.has(n, key, stamp))
            {
                return Some(self.now - began);
            }
            self.step();
        }
        None
    }

    /// The live entries of a table.
    pub fn content(&self, n: usize) -> BTreeMap<String, (Stamp, Bytes)> {
        let state_table = self.nodes[n].state_table.as_ref().expect("runs");
        let state_entries = state_table.with_prefix("").filter_map(|state_entry| {
            Some((
                state_entry.key.to_string(),
                (state_entry.stamp, state_entry.value.clone()?),
            ))
        });
        state_entries.collect()
    }
}
