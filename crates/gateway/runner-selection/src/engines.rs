//! The table of runners and services, and its one owner.

use crate::constants::{LEAST_CONNS, MAX_RUNNERS, MAX_SVCS, REPORTS_BURST};
use crate::health::{Fit, Health};
use crate::parts::hashed;
use crate::runner::Runner;
use crate::service::Svc;
use crate::{Learned, Ms, RunnerKey, SvcTerms};
use compact_str::CompactString;
use dispatch_policy::Sleeper;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use runner_registry::RunnerState;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

/// One sending that has not ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sending {
    pub(crate) key: RunnerKey,
    pub(crate) svc: usize,
    pub(crate) item: bool,
    pub(crate) sent: Ms,
    pub(crate) first: Option<Ms>,
    /// When it is late.
    pub(crate) late_at: Ms,
    /// Tokens, in and out.
    pub(crate) tokens: f64,
    pub(crate) unread: f64,
    /// Silent until then its runner hangs.
    pub(crate) limit: Ms,
    pub(crate) repeatable: bool,
    /// It was named as overdue.
    pub(crate) told: bool,
    /// Nothing else was ahead of it, as far as was known: its first token shows the reading speed.
    pub(crate) alone: bool,
    /// It found a place free.
    pub(crate) roomy: bool,
    /// Tokens of shared parts that its home was trusted to have by the others' requests.
    pub(crate) trusted: f64,
    pub(crate) oversized: bool,
}

/// The table's place of a key, and how often it was used before.
const INDEX_BITS: u32 = 16;

#[derive(Debug, Default)]
struct Place {
    used: u32,
    runner: Option<Box<Runner>>,
}

/// All that one dispatcher knows of the runners, and its choices among them.
#[derive(Debug)]
pub struct Engines {
    pub(crate) rng: Pcg64Mcg,
    zone: CompactString,
    pub(crate) dispatchers: f64,
    places: Vec<Place>,
    free: VecDeque<u32>,
    by_id: HashMap<CompactString, RunnerKey>,
    pub(crate) svcs: Vec<Svc>,
    svc_by_name: HashMap<CompactString, usize>,
    pub(crate) sends: BTreeMap<u64, Sending>,
    pub(crate) next_send: u64,
    /// Rises when runners come, go, or change their state: homes are drawn anew.
    pub(crate) epoch: u64,
    /// Reports that may be asked for, as of then.
    pub(crate) reports: (f64, Ms),
    /// What stands for the address of a runner that is gone.
    nowhere: SocketAddr,
}

impl Engines {
    /// One that knows no runner yet. The same seed and calls give the same choices.
    pub fn new(seed: u64, my_zone: &str) -> Self {
        Engines {
            rng: Pcg64Mcg::seed_from_u64(seed),
            zone: my_zone.into(),
            dispatchers: 1.0,
            places: Vec::new(),
            free: VecDeque::new(),
            by_id: HashMap::new(),
            svcs: Vec::new(),
            svc_by_name: HashMap::new(),
            sends: BTreeMap::new(),
            next_send: 0,
            epoch: 1,
            reports: (REPORTS_BURST, 0),
            nowhere: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        }
    }

    /// A runner that is new or has changed, or whose service has. One that is draining or gone gets
    /// nothing new.
    pub fn runner(&mut self, now: Ms, r: &runner_registry::Runner, svc: SvcTerms) {
        let up = match r.state {
            RunnerState::Up => true,
            RunnerState::Draining if self.by_id.contains_key(r.id.as_str()) => false,
            // Nothing will ever go there.
            RunnerState::Draining => return,
            RunnerState::Gone => return self.remove(r.id.as_str()),
        };
        let Some(svc_at) = self.svc_index(r.service.as_str(), svc) else {
            return;
        };
        let near = self.zone.as_str() == r.zone.as_str();
        let cold_until = now.saturating_add(r.warmup_left_ms);
        if let Some(key) = self.by_id.get(r.id.as_str()).copied() {
            if let Some(known) = self.at_mut(key).filter(|k| k.svc == svc_at) {
                let changed = known.up != up;
                let before = known.offered();
                // Back from elsewhere: what was held against the old address says nothing of this one.
                if known.addr != r.addr {
                    (known.health, known.sleeper) = (Health::default(), Sleeper::default());
                }
                (known.addr, known.up, known.near) = (r.addr, up, near);
                (known.slots, known.cold_until) = (f64::from(r.slots.max(1)), cold_until);
                let now_offered = known.offered();
                self.epoch += u64::from(changed);
                self.count_slots(svc_at, now_offered - before);
                return;
            }
            self.remove(r.id.as_str());
        }
        let runner = Runner {
            id: r.id.as_str().into(),
            hash: hashed(r.id.as_str()),
            addr: r.addr,
            near,
            svc: svc_at,
            slots: f64::from(r.slots.max(1)),
            up,
            cold_until,
            sleeper: Sleeper::default(),
            health: Health::default(),
            own: 0,
            own_items: 0,
            own_tokens: 0.0,
            told: None,
            busy_until: 0.0,
            unanswered: VecDeque::new(),
            heard: 0,
            pace: 1.0,
            read: 0.0,
            kv: None,
            asked: None,
            refused: None,
        };
        let offered = runner.offered();
        let Some(key) = self.place(runner) else {
            return;
        };
        self.by_id.insert(r.id.as_str().into(), key);
        if let Some(svc) = self.svcs.get_mut(svc_at) {
            svc.members.push(key);
        }
        self.epoch += 1;
        self.count_slots(svc_at, offered);
    }

    /// A runner that is not known any more.
    pub fn remove(&mut self, id: &str) {
        let Some(key) = self.by_id.remove(id) else {
            return;
        };
        let index = key.0 & ((1 << INDEX_BITS) - 1);
        let Some(gone) = self
            .places
            .get_mut(index as usize)
            .and_then(|p| p.runner.take())
        else {
            return;
        };
        self.free.push_back(index);
        if let Some(svc) = self.svcs.get_mut(gone.svc) {
            svc.members.retain(|k| *k != key);
        }
        self.epoch += 1;
        self.count_slots(gone.svc, -gone.offered());
    }

    /// How many dispatchers send to the same runners.
    pub fn share(&mut self, dispatchers: u32) {
        self.dispatchers = f64::from(dispatchers.max(1));
    }

    /// How many connections this dispatcher may hold to a runner: its share of what the runner accepts.
    pub fn connections(&self, key: RunnerKey) -> u32 {
        let Some(svc) = self.at(key).and_then(|r| self.svcs.get(r.svc)) else {
            return 0;
        };
        ((f64::from(svc.max_conns) / self.dispatchers) as u32).max(LEAST_CONNS)
    }

    /// The runner's id; empty where it is not known any more.
    pub fn id(&self, key: RunnerKey) -> &str {
        self.at(key).map_or("", |r| r.id.as_str())
    }

    /// The runner's address; 0.0.0.0:0 where it is not known any more.
    pub fn addr(&self, key: RunnerKey) -> SocketAddr {
        self.at(key).map_or(self.nowhere, |r| r.addr)
    }

    /// Whether anything new may go there: it is known and up.
    pub fn usable(&self, key: RunnerKey) -> bool {
        self.at(key).is_some_and(|r| r.up)
    }

    /// Whether it is up and isn't avoided for trouble.
    pub fn in_good_standing(&self, now: Ms, key: RunnerKey) -> bool {
        self.at(key)
            .is_some_and(|r| r.up && r.health.fit(now) == Fit::Yes)
    }

    /// The key of a runner, by its id.
    pub fn key(&self, id: &str) -> Option<RunnerKey> {
        self.by_id.get(id).copied()
    }

    /// What was learned of a service, for logs and tests.
    pub fn learned(&self, svc: &str) -> Option<Learned> {
        let svc = self.svc_at(svc).and_then(|at| self.svcs.get(at))?;
        Some(Learned {
            slots: svc.slots,
            base_ms: svc.fit.base,
            per_token_ms: svc.fit.per_token,
            first_ms: svc.first.mean,
            run_ms: svc.hold.mean,
            home_sure: svc.parts.home_sure,
            others: svc.others,
            late: svc.late,
            reserve: self.reserve(svc),
        })
    }

    pub(crate) fn at(&self, key: RunnerKey) -> Option<&Runner> {
        let place = self
            .places
            .get((key.0 & ((1 << INDEX_BITS) - 1)) as usize)?;
        place
            .runner
            .as_deref()
            .filter(|_| place.used == key.0 >> INDEX_BITS)
    }

    pub(crate) fn at_mut(&mut self, key: RunnerKey) -> Option<&mut Runner> {
        let place = self
            .places
            .get_mut((key.0 & ((1 << INDEX_BITS) - 1)) as usize)?;
        let used = place.used;
        place
            .runner
            .as_deref_mut()
            .filter(|_| used == key.0 >> INDEX_BITS)
    }

    pub(crate) fn svc_at(&self, name: &str) -> Option<usize> {
        self.svc_by_name.get(name).copied()
    }

    /// Uniform in 0 to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Below `many`, or 0.
    pub(crate) fn below(&mut self, many: usize) -> usize {
        ((self.unit() * many as f64) as usize).min(many.saturating_sub(1))
    }

    fn place(&mut self, runner: Runner) -> Option<RunnerKey> {
        let index = match self.free.pop_front() {
            Some(index) => index,
            None if self.places.len() < MAX_RUNNERS => {
                self.places.push(Place::default());
                self.places.len() as u32 - 1
            }
            None => return None,
        };
        let place = self.places.get_mut(index as usize)?;
        place.used = (place.used + 1) & (u32::MAX >> INDEX_BITS);
        place.runner = Some(Box::new(runner));
        Some(RunnerKey(place.used << INDEX_BITS | index))
    }

    fn svc_index(&mut self, name: &str, terms: SvcTerms) -> Option<usize> {
        if let Some(at) = self.svc_at(name) {
            self.svcs.get_mut(at)?.terms(terms);
            return Some(at);
        }
        let svc = Svc::new(name, terms);
        let at = if self.svcs.len() < MAX_SVCS {
            self.svcs.push(svc);
            self.svcs.len() - 1
        } else {
            let in_use = |at: usize| self.sends.values().any(|s| s.svc == at);
            let at = (0..self.svcs.len())
                .find(|at| self.svcs[*at].members.is_empty() && !in_use(*at))?;
            self.svc_by_name.remove(&self.svcs[at].name);
            self.svcs[at] = svc;
            at
        };
        self.svc_by_name.insert(name.into(), at);
        Some(at)
    }

    /// The slots of a service are the sum of those that its runners offer: each change of one is counted here.
    pub(crate) fn count_slots(&mut self, at: usize, more: f64) {
        if let Some(svc) = self.svcs.get_mut(at) {
            svc.slots = (svc.slots + more).max(0.0);
        }
    }
}
