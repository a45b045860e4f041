//! The table of runners and services, and its one owner.

use crate::constants::{LEAST_CONNS, MAX_RUNNERS, MAX_SVCS, REPORTS_BURST};
use crate::health::{Availability, Health};
use crate::parts::hashed;
use crate::runner::Runner;
use crate::service::Service;
use crate::{Millis, RunnerKey, ServiceEstimates, ServiceTerms};
use compact_str::CompactString;
use dispatch_policy::Sleeper;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use runner_registry::RunnerState;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

/// One sending that has not ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) runner: RunnerKey,
    pub(crate) service: usize,
    pub(crate) item: bool,
    pub(crate) started_at: Millis,
    pub(crate) first_token_at: Option<Millis>,
    /// When it is late.
    pub(crate) target_at: Millis,
    /// Tokens, in and out.
    pub(crate) tokens: f64,
    pub(crate) uncached_tokens: f64,
    /// Silent until then its runner hangs.
    pub(crate) hung_at: Millis,
    pub(crate) retryable: bool,
    /// It was named as overdue.
    pub(crate) reported_overdue: bool,
    /// Nothing else was ahead of it, as far as was known: its first token shows the reading speed.
    pub(crate) ran_alone: bool,
    /// It found a place free.
    pub(crate) had_free_slot: bool,
    /// Tokens of shared parts that its home was trusted to have by the others' requests.
    pub(crate) home_cached_tokens: f64,
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
pub struct Balancer {
    pub(crate) rng: Pcg64Mcg,
    zone: CompactString,
    pub(crate) dispatchers: f64,
    table: Vec<Place>,
    free: VecDeque<u32>,
    key_by_id: HashMap<CompactString, RunnerKey>,
    pub(crate) services: Vec<Service>,
    service_by_name: HashMap<CompactString, usize>,
    pub(crate) attempts: BTreeMap<u64, Attempt>,
    pub(crate) next_attempt: u64,
    /// Rises when runners come, go, or change their state: homes are drawn anew.
    pub(crate) epoch: u64,
    /// Reports that may be asked for, as of then.
    pub(crate) probe_credit: (f64, Millis),
    /// What stands for the address of a runner that is gone.
    nowhere: SocketAddr,
}

impl Balancer {
    /// One that knows no runner yet. The same seed and calls give the same choices.
    pub fn new(seed: u64, my_zone: &str) -> Self {
        Balancer {
            rng: Pcg64Mcg::seed_from_u64(seed),
            zone: my_zone.into(),
            dispatchers: 1.0,
            table: Vec::new(),
            free: VecDeque::new(),
            key_by_id: HashMap::new(),
            services: Vec::new(),
            service_by_name: HashMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            epoch: 1,
            probe_credit: (REPORTS_BURST, 0),
            nowhere: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        }
    }

    /// A runner that is new or has changed, or whose service has. One that is draining or gone gets
    /// nothing new.
    pub fn update_runner(&mut self, now: Millis, r: &runner_registry::Runner, svc: ServiceTerms) {
        let up = match r.state {
            RunnerState::Up => true,
            RunnerState::Draining if self.key_by_id.contains_key(r.id.as_str()) => false,
            // Nothing will ever go there.
            RunnerState::Draining => return,
            RunnerState::Gone => return self.remove_runner(r.id.as_str()),
        };
        let Some(svc_at) = self.register_service(r.service.as_str(), svc) else {
            return;
        };
        let near = self.zone.as_str() == r.zone.as_str();
        let cold_until = now.saturating_add(r.warmup_left_ms);
        if let Some(key) = self.key_by_id.get(r.id.as_str()).copied() {
            if let Some(known) = self.get_mut(key).filter(|k| k.service == svc_at) {
                let changed = known.up != up;
                let before = known.offered_slots();
                // Back from elsewhere: what was held against the old address says nothing of this one.
                if known.addr != r.addr {
                    (known.health, known.backoff) = (Health::default(), Sleeper::default());
                }
                (known.addr, known.up, known.in_own_zone) = (r.addr, up, near);
                (known.slots, known.warming_until) = (f64::from(r.slots.max(1)), cold_until);
                let now_offered = known.offered_slots();
                self.epoch += u64::from(changed);
                self.count_slots(svc_at, now_offered - before);
                return;
            }
            self.remove_runner(r.id.as_str());
        }
        let runner = Runner {
            id: r.id.as_str().into(),
            hash: hashed(r.id.as_str()),
            addr: r.addr,
            in_own_zone: near,
            service: svc_at,
            slots: f64::from(r.slots.max(1)),
            up,
            warming_until: cold_until,
            backoff: Sleeper::default(),
            health: Health::default(),
            in_flight: 0,
            items_in_flight: 0,
            tokens_in_flight: 0.0,
            reported: None,
            prefill_until: 0.0,
            pending_first_tokens: VecDeque::new(),
            last_activity_at: 0,
            relative_pace: 1.0,
            prefilled_tokens: 0.0,
            kv: None,
            last_probe_at: None,
            last_rejected_at: None,
        };
        let offered = runner.offered_slots();
        let Some(key) = self.insert(runner) else {
            return;
        };
        self.key_by_id.insert(r.id.as_str().into(), key);
        if let Some(svc) = self.services.get_mut(svc_at) {
            svc.members.push(key);
        }
        self.epoch += 1;
        self.count_slots(svc_at, offered);
    }

    /// A runner that is not known any more.
    pub fn remove_runner(&mut self, id: &str) {
        let Some(key) = self.key_by_id.remove(id) else {
            return;
        };
        let index = key.0 & ((1 << INDEX_BITS) - 1);
        let Some(gone) = self
            .table
            .get_mut(index as usize)
            .and_then(|p| p.runner.take())
        else {
            return;
        };
        self.free.push_back(index);
        if let Some(svc) = self.services.get_mut(gone.service) {
            svc.members.retain(|k| *k != key);
        }
        self.epoch += 1;
        self.count_slots(gone.service, -gone.offered_slots());
    }

    /// How many dispatchers send to the same runners.
    pub fn set_dispatcher_count(&mut self, dispatchers: u32) {
        self.dispatchers = f64::from(dispatchers.max(1));
    }

    /// How many connections this dispatcher may hold to a runner: its share of what the runner accepts.
    pub fn connection_limit(&self, key: RunnerKey) -> u32 {
        let Some(svc) = self.get(key).and_then(|r| self.services.get(r.service)) else {
            return 0;
        };
        ((f64::from(svc.max_conns) / self.dispatchers) as u32).max(LEAST_CONNS)
    }

    /// The runner's id; empty where it is not known any more.
    pub fn runner_id(&self, key: RunnerKey) -> &str {
        self.get(key).map_or("", |r| r.id.as_str())
    }

    /// The runner's address; 0.0.0.0:0 where it is not known any more.
    pub fn runner_addr(&self, key: RunnerKey) -> SocketAddr {
        self.get(key).map_or(self.nowhere, |r| r.addr)
    }

    /// Whether anything new may go there: it is known and up.
    pub fn is_up(&self, key: RunnerKey) -> bool {
        self.get(key).is_some_and(|r| r.up)
    }

    /// Whether it is up and isn't avoided for trouble.
    pub fn is_healthy(&self, now: Millis, key: RunnerKey) -> bool {
        self.get(key)
            .is_some_and(|r| r.up && r.health.availability(now) == Availability::Healthy)
    }

    /// The key of a runner, by its id.
    pub fn runner_key(&self, id: &str) -> Option<RunnerKey> {
        self.key_by_id.get(id).copied()
    }

    /// What was learned of a service, for logs and tests.
    pub fn service_estimates(&self, svc: &str) -> Option<ServiceEstimates> {
        let svc = self
            .service_index(svc)
            .and_then(|at| self.services.get(at))?;
        Some(ServiceEstimates {
            slots: svc.slots,
            base_ms: svc.prefill.base_ms,
            per_token_ms: svc.prefill.per_token_ms,
            first_token_ms: svc.first_token_ms.mean,
            run_ms: svc.run_ms.mean,
            home_hit_rate: svc.prefixes.home_hit_rate,
            load_by_others: svc.load_by_others,
            late_share: svc.late_share,
            item_reserve: self.item_reserve(svc),
        })
    }

    pub(crate) fn get(&self, key: RunnerKey) -> Option<&Runner> {
        let place = self.table.get((key.0 & ((1 << INDEX_BITS) - 1)) as usize)?;
        place
            .runner
            .as_deref()
            .filter(|_| place.used == key.0 >> INDEX_BITS)
    }

    pub(crate) fn get_mut(&mut self, key: RunnerKey) -> Option<&mut Runner> {
        let place = self
            .table
            .get_mut((key.0 & ((1 << INDEX_BITS) - 1)) as usize)?;
        let used = place.used;
        place
            .runner
            .as_deref_mut()
            .filter(|_| used == key.0 >> INDEX_BITS)
    }

    pub(crate) fn service_index(&self, name: &str) -> Option<usize> {
        self.service_by_name.get(name).copied()
    }

    /// Uniform in 0 to 1.
    pub(crate) fn uniform(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Below `many`, or 0.
    pub(crate) fn below(&mut self, many: usize) -> usize {
        ((self.uniform() * many as f64) as usize).min(many.saturating_sub(1))
    }

    fn insert(&mut self, runner: Runner) -> Option<RunnerKey> {
        let index = match self.free.pop_front() {
            Some(index) => index,
            None if self.table.len() < MAX_RUNNERS => {
                self.table.push(Place::default());
                self.table.len() as u32 - 1
            }
            None => return None,
        };
        let place = self.table.get_mut(index as usize)?;
        place.used = (place.used + 1) & (u32::MAX >> INDEX_BITS);
        place.runner = Some(Box::new(runner));
        Some(RunnerKey(place.used << INDEX_BITS | index))
    }

    fn register_service(&mut self, name: &str, terms: ServiceTerms) -> Option<usize> {
        if let Some(at) = self.service_index(name) {
            self.services.get_mut(at)?.apply_terms(terms);
            return Some(at);
        }
        let svc = Service::new(name, terms);
        let at = if self.services.len() < MAX_SVCS {
            self.services.push(svc);
            self.services.len() - 1
        } else {
            let in_use = |at: usize| self.attempts.values().any(|s| s.service == at);
            let at = (0..self.services.len())
                .find(|at| self.services[*at].members.is_empty() && !in_use(*at))?;
            self.service_by_name.remove(&self.services[at].name);
            self.services[at] = svc;
            at
        };
        self.service_by_name.insert(name.into(), at);
        Some(at)
    }

    /// The slots of a service are the sum of those that its runners offer: each change of one is counted here.
    pub(crate) fn count_slots(&mut self, at: usize, more: f64) {
        if let Some(svc) = self.services.get_mut(at) {
            svc.slots = (svc.slots + more).max(0.0);
        }
    }
}
