//! The table of runners and services that one dispatcher selects from.
//!
//! Owns all that is known of the runners and the source of randomness. The other modules add the
//! selection, the life of attempts and the probes.

use crate::attempt::Attempt;
use crate::constants::{MAX_RUNNERS, MAX_SERVICES, MIN_CONNS, PROBE_BURST};
use crate::health::{Availability, Health};
use crate::runner::Runner;
use crate::service::Service;
use crate::{Millis, RunnerKey, ServiceEstimates, ServiceTerms};
use compact_str::CompactString;
use dispatch_policy::AdaptiveBackoff;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use runner_registry::RunnerState;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

/// The low bits of a key are its index in the table, the rest counts the uses of that index: a key
/// never names another runner.
const INDEX_BITS: u32 = 16;

#[derive(Debug, Default)]
struct Place {
    used: u32,
    runner: Option<Box<Runner>>,
}

/// All that one dispatcher knows of the runners, and its selection among them.
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
    /// Rises when runners come, go, or change their state: homes are computed anew.
    pub(crate) epoch: u64,
    /// Probes that may be sent, as of that time.
    pub(crate) probe_credit: (f64, Millis),
    /// The address of a runner that is gone.
    nowhere: SocketAddr,
}

impl Balancer {
    /// Knows no runner yet. The same seed and calls give the same selections.
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
            probe_credit: (PROBE_BURST, 0),
            nowhere: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        }
    }

    /// A runner that is new or has changed, or whose service has. One that is draining or gone gets
    /// nothing new.
    pub fn update_runner(
        &mut self,
        now: Millis,
        registered: &runner_registry::Runner,
        terms: ServiceTerms,
    ) {
        let up = match registered.state {
            RunnerState::Up => true,
            RunnerState::Draining if self.key_by_id.contains_key(registered.id.as_str()) => false,
            // No request will ever go there.
            RunnerState::Draining => return,
            RunnerState::Gone => return self.remove_runner(registered.id.as_str()),
        };
        let Some(service) = self.register_service(registered.service.as_str(), terms) else {
            return;
        };
        let own_zone = self.zone.as_str() == registered.zone.as_str();
        let mut listed = Runner::new(now, registered, service, own_zone);
        listed.up = up;
        if let Some(key) = self.key_by_id.get(registered.id.as_str()).copied() {
            if self.get(key).is_some_and(|known| known.service == service) {
                self.refresh(key, &listed);
                return;
            }
            self.remove_runner(registered.id.as_str());
        }
        let offered = listed.offered_slots();
        let Some(key) = self.insert(listed) else {
            return;
        };
        self.key_by_id.insert(registered.id.as_str().into(), key);
        if let Some(service) = self.services.get_mut(service) {
            service.members.push(key);
        }
        self.epoch += 1;
        self.count_slots(service, offered);
    }

    /// Takes over what has changed of a known runner.
    fn refresh(&mut self, key: RunnerKey, listed: &Runner) {
        let Some(known) = self.get_mut(key) else {
            return;
        };
        let changed = known.up != listed.up;
        let before = known.offered_slots();
        // Back at another address: what was held against the old one says nothing of this one.
        if known.addr != listed.addr {
            (known.health, known.backoff) = (Health::default(), AdaptiveBackoff::default());
        }
        (known.addr, known.up, known.in_own_zone) = (listed.addr, listed.up, listed.in_own_zone);
        (known.slots, known.warming_until) = (listed.slots, listed.warming_until);
        let more = known.offered_slots() - before;
        self.epoch += u64::from(changed);
        self.count_slots(listed.service, more);
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
        if let Some(service) = self.services.get_mut(gone.service) {
            service.members.retain(|k| *k != key);
        }
        self.epoch += 1;
        self.count_slots(gone.service, -gone.offered_slots());
    }

    /// How many dispatchers send to the same runners.
    pub fn set_dispatcher_count(&mut self, dispatchers: u32) {
        self.dispatchers = f64::from(dispatchers.max(1));
    }

    /// How many connections this dispatcher may hold to a runner: its share of what the runner
    /// accepts.
    pub fn connection_limit(&self, key: RunnerKey) -> u32 {
        let Some(service) = self.get(key).and_then(|r| self.services.get(r.service)) else {
            return 0;
        };
        ((f64::from(service.max_conns) / self.dispatchers) as u32).max(MIN_CONNS)
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

    /// Whether it is up and not ejected.
    pub fn is_healthy(&self, now: Millis, key: RunnerKey) -> bool {
        self.get(key)
            .is_some_and(|r| r.up && r.health.availability(now) == Availability::Healthy)
    }

    /// Whether some runner of the service is up.
    pub fn has_runner_up(&self, service: &str) -> bool {
        let service = self.service_index(service);
        let service = service.and_then(|at| self.services.get(at));
        service.is_some_and(|service| service.slots > 0.0)
    }

    /// Requests and items of this dispatcher in flight at runners of the service.
    pub fn in_flight(&self, service: &str) -> u32 {
        let service = self.service_index(service);
        let service = service.and_then(|at| self.services.get(at));
        service.map_or(0, |service| service.in_flight)
    }

    /// The key of a runner, by its id.
    pub fn runner_key(&self, id: &str) -> Option<RunnerKey> {
        self.key_by_id.get(id).copied()
    }

    /// What was learned of a service, for logs and tests.
    pub fn service_estimates(&self, service: &str) -> Option<ServiceEstimates> {
        let service = self
            .service_index(service)
            .and_then(|at| self.services.get(at))?;
        Some(ServiceEstimates {
            slots: service.slots,
            base_ms: service.prefill.base_ms,
            per_token_ms: service.prefill.per_token_ms,
            first_token_ms: service.first_token_ms.mean,
            run_ms: service.run_ms.mean,
            home_hit_rate: service.prefixes.home_hit_rate,
            load_by_others: service.load_by_others,
            late_share: service.late_share,
            item_reserve: self.item_reserve(service),
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

    /// Uniform below `many`; 0 if there is none.
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
        let service = Service::new(name, terms);
        let at = if self.services.len() < MAX_SERVICES {
            self.services.push(service);
            self.services.len() - 1
        } else {
            let in_use = |at: usize| self.attempts.values().any(|s| s.service == at);
            let at = (0..self.services.len())
                .find(|at| self.services[*at].members.is_empty() && !in_use(*at))?;
            self.service_by_name.remove(&self.services[at].name);
            self.services[at] = service;
            at
        };
        self.service_by_name.insert(name.into(), at);
        Some(at)
    }

    /// Counts a change of the slots that the runners of a service offer.
    pub(crate) fn count_slots(&mut self, at: usize, more: f64) {
        if let Some(service) = self.services.get_mut(at) {
            service.slots = (service.slots + more).max(0.0);
        }
    }
}
