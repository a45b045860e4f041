//! Which runner, told in the terms of requests: the choice, the connections, and what each send has come to.

pub use crate::selection::decision::{SelectedRunner, Selection, SelectionRequest};

use crate::client::request::Request;
use crate::connection::connect_timeout::ConnectTimeout;
use crate::connection::pool::{ConnectionNumber, Pool};
use crate::connection::upstream::{OpenConnection, Upstream};
use crate::gateway::Clock;
use crate::proxy::in_flight::InFlightAttempt;
use crate::selection::queue::{Place, Queue, ITEMS};
use crate::selection::versions::{DrawnRequest, VersionPool, VersionRollouts};
use compact_str::CompactString;
use hyper::header::HeaderValue;
use relay_tree::Stamp;
use replicated_state::{RolloutEntry, RolloutReport, FULL_SHARE};
use route_config::{Config, Route, RouteKind};
use runner_registry::{Runner, RunnerState};
use runner_selection::{
    Balancer, Choice as BalancerChoice, LoadReport, RequestProfile, RunnerKey, ServiceEstimates,
    ServiceTerms, Traffic,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// A runner.
pub type Key = RunnerKey;
/// How many of those who wait are called where it is not known how much room there is: a runner came, or a load was told.
const WOKEN_ON_UPDATE: usize = 4;
/// Runners that are known at most: several times the largest deployment.
const MAX_RUNNERS: usize = 16_384;

/// The service that was drawn for a request, if one was.
fn drawn(request: &Request) -> CompactString {
    request.svc.borrow().clone().unwrap_or_default()
}

/// What matters of a request, and the pool of runners that it goes to.
struct PooledRequest {
    /// With the pool in the place of the service.
    profile: RequestProfile,
    pool: VersionPool,
}

pub(crate) struct Inner {
    pub(crate) engines: RefCell<Balancer>,
    runners: RefCell<HashMap<CompactString, Rc<Runner>>>,
    config: RefCell<Option<Rc<Config>>>,
    pool: Pool,
    connect_timeout: ConnectTimeout,
    pub(crate) queue: Queue,
    pub(crate) versions: RefCell<VersionRollouts>,
    /// Sends that may be told that their runner seems to hang.
    pub(crate) calls: RefCell<HashMap<u64, Rc<Notify>>>,
    seed: Cell<u64>,
    clock: Clock,
}

/// The choice among runners.
#[derive(Clone)]
pub struct RunnerSelector(pub(crate) Rc<Inner>);

impl RunnerSelector {
    /// Nothing is known yet.
    pub fn new(seed: u64, zone: &str, clock: Clock) -> Self {
        RunnerSelector(Rc::new(Inner {
            engines: RefCell::new(Balancer::new(seed, zone)),
            runners: RefCell::default(),
            config: RefCell::default(),
            pool: Pool::default(),
            connect_timeout: ConnectTimeout::default(),
            queue: Queue::default(),
            versions: RefCell::default(),
            calls: RefCell::default(),
            seed: Cell::new(seed | 1),
            clock,
        }))
    }

    pub(crate) fn now(&self) -> u64 {
        self.0.clock.now()
    }

    /// Uniform in 0 to 1.
    fn unit(&self) -> f64 {
        // splitmix64: weights of routes need no better.
        let state = self.0.seed.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.0.seed.set(state);
        let mut x = state;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Whether some runner is known.
    pub fn has_runners(&self) -> bool {
        !self.0.runners.borrow().is_empty()
    }

    /// So many processes send to the same runners.
    pub fn share(&self, dispatchers: usize) {
        self.0
            .engines
            .borrow_mut()
            .set_dispatcher_count(u32::try_from(dispatchers).unwrap_or(u32::MAX));
    }

    /// A configuration is in force from now on.
    pub fn configured(&self, config: &Rc<Config>) {
        *self.0.config.borrow_mut() = Some(Rc::clone(config));
        let now = self.now();
        for runner in self.0.runners.borrow().values() {
            self.list_runner(now, runner);
        }
    }

    /// Puts a runner into the pool of its service in which it stands now.
    fn list_runner(&self, now: u64, runner: &Runner) {
        let terms = self.terms(&runner.service);
        let pool = self.0.versions.borrow().pool_of(runner);
        let mut engines = self.0.engines.borrow_mut();
        if pool == VersionPool::Base {
            engines.update_runner(now, runner, terms);
            return;
        }
        let pooled = Runner {
            service: pool.service(&runner.service),
            ..runner.clone()
        };
        engines.update_runner(now, &pooled, terms);
    }

    /// The controllers say how far the roll-out of a service is.
    pub fn update_rollout(&self, now: u64, service: &str, stamp: Stamp, entry: RolloutEntry) {
        let runners = self.0.runners.borrow();
        let of_service: Vec<_> = runners.values().filter(|r| r.service == service).collect();
        let pools = || -> Vec<VersionPool> {
            let versions = self.0.versions.borrow();
            of_service
                .iter()
                .map(|runner| versions.pool_of(runner))
                .collect()
        };
        let before = pools();
        let applied = self
            .0
            .versions
            .borrow_mut()
            .apply(now, service, stamp, entry);
        if !applied {
            return;
        }
        for ((runner, before), after) in of_service.iter().zip(before).zip(pools()) {
            if before != after {
                // What is kept for it belongs to its old place.
                self.close(&runner.id);
                self.list_runner(now, runner);
            }
        }
        self.0.queue.call(service, WOKEN_ON_UPDATE);
    }

    /// What is to be reported of roll-outs, and to whom.
    pub fn rollout_reports(&self, now: u64) -> Vec<(SocketAddr, RolloutReport)> {
        let engines = self.0.engines.borrow();
        let versions = self.0.versions.borrow();
        versions.reports(now, |service| engines.in_flight(service))
    }

    /// The pool of a service for a request.
    fn pool_for(&self, selection: &SelectionRequest<'_>, service: &str) -> VersionPool {
        let request = DrawnRequest {
            id: selection.request.attempt.as_bytes(),
            is_first_attempt: selection.history.sends == 0,
        };
        let engines = self.0.engines.borrow();
        let has_runner = |pool: VersionPool| engines.has_runner_up(&pool.service(service));
        let versions = self.0.versions.borrow();
        versions.pool_for(selection.now, service, request, has_runner)
    }

    fn terms(&self, svc: &str) -> ServiceTerms {
        let config = self.0.config.borrow();
        let Some(svc) = config.as_ref().and_then(|config| config.service(svc)) else {
            return ServiceTerms::default();
        };
        ServiceTerms {
            max_conns: svc.max_conns,
            kv_capacity: svc
                .backend
                .as_ref()
                .map(|b| b.kv_capacity)
                .filter(|kv| *kv > 0),
            llm: svc.backend.is_some(),
        }
    }

    /// A runner is new or has changed. Tells whether that is worth a line.
    pub fn update_runner(&self, now: u64, runner: &Runner) -> bool {
        if runner.state == RunnerState::Gone {
            self.remove_runner(&runner.id);
            return true;
        }
        let mut runners = self.0.runners.borrow_mut();
        if runners.len() >= MAX_RUNNERS && !runners.contains_key(&runner.id) {
            return false;
        }
        self.list_runner(now, runner);
        let before = runners.insert(runner.id.clone(), Rc::new(runner.clone()));
        drop(runners);
        // Connections to an address that it has left lead elsewhere.
        if before.as_ref().is_some_and(|old| old.addr != runner.addr) {
            self.close(&runner.id);
        }
        let same = |old: &Runner| {
            old.state == runner.state && old.addr == runner.addr && old.slots == runner.slots
        };
        if runner.state == RunnerState::Draining {
            self.close(&runner.id);
        } else {
            self.0.queue.call(&runner.service, WOKEN_ON_UPDATE);
        }
        !before.is_some_and(|old| same(&old))
    }

    /// A runner is gone.
    pub fn remove_runner(&self, id: &str) {
        self.close(id);
        self.0.engines.borrow_mut().remove_runner(id);
        self.0.runners.borrow_mut().remove(id);
    }

    fn close(&self, id: &str) {
        let key = self.0.engines.borrow().runner_key(id);
        if let Some(key) = key {
            self.0.pool.close(key);
        }
    }

    /// Connections that are kept for this runner lead elsewhere.
    pub fn close_connections(&self, key: Key) {
        self.0.pool.close(key);
    }

    /// Whether anything new may go to the runner.
    pub fn usable(&self, key: Key) -> bool {
        self.0.engines.borrow().is_up(key)
    }

    /// The runner's id, for the log.
    pub fn name(&self, key: Key) -> CompactString {
        self.0.engines.borrow().runner_id(key).into()
    }

    /// What was learned of a service.
    pub fn learned(&self, svc: &str) -> Option<ServiceEstimates> {
        self.0.engines.borrow().service_estimates(svc)
    }

    /// A place among those who wait.
    pub fn queue(&self, request: &Request, prio: u32) -> Place {
        self.0
            .queue
            .enter(drawn(request), prio.min(ITEMS - 1), request.came)
    }

    /// A place for an item that is due then.
    pub fn queue_item(&self, request: &Request, due: u64) -> Place {
        self.0.queue.enter(drawn(request), ITEMS, due)
    }

    /// Whoever waits looks again.
    pub fn wake_all(&self) {
        self.0.queue.call_all();
    }

    /// What matters of a request, with the pool that it goes to in the place of its service.
    fn want(&self, selection: &SelectionRequest<'_>) -> PooledRequest {
        let request = selection.request;
        let whole = |tokens: u64| u32::try_from(tokens).unwrap_or(u32::MAX);
        let ms = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        let (tokens_in, tokens_out) = request.tokens.map_or((0, 0), |(i, o)| (whole(i), whole(o)));
        let bulk = selection.route.kind == RouteKind::Bulk;
        let service = self.svc_for(request, selection.route);
        let pool = self.pool_for(selection, &service);
        let profile = RequestProfile {
            service: pool.service(&service),
            prompt_parts: request.parts.clone(),
            prompt_tokens: tokens_in,
            max_output_tokens: tokens_out,
            target_ms: ms(selection.route.target_ms),
            remaining_ms: ms(selection.left_ms),
            // What resumes amid its response has waited for nothing.
            waited_ms: if selection.response_started {
                0
            } else {
                ms(selection.now.saturating_sub(request.came))
            },
            priority: u8::try_from(selection.route.priority).unwrap_or(u8::MAX),
            attempted: selection.history.runners.clone(),
            is_last_attempt: selection.history.sends + 1 >= selection.route.max_attempts,
            retryable: bulk
                || selection.route.kind == RouteKind::Idempotent
                || selection.route.resumable,
        };
        PooledRequest { profile, pool }
    }

    /// The service for a request: drawn by the weights, and kept as long as the route leads there.
    fn svc_for(&self, request: &Request, route: &Route) -> CompactString {
        let mut drawn = request.svc.borrow_mut();
        match &*drawn {
            Some(svc) if route.routes_to(svc) => svc.clone(),
            _ => {
                let svc = CompactString::from(route.pick_service(self.unit()));
                *drawn = Some(svc.clone());
                svc
            }
        }
    }

    /// Where a request goes now.
    pub fn select(&self, selection: &SelectionRequest<'_>) -> Selection {
        let want = self.want(selection);
        let chose = self
            .0
            .engines
            .borrow_mut()
            .choose(selection.now, &want.profile);
        match chose {
            BalancerChoice::Send { runner } => {
                match self.chosen(selection, runner, &want, Traffic::Live) {
                    Some(chosen) => Selection::Runner(chosen),
                    None => Selection::Wait {
                        until: selection.now + 1,
                    },
                }
            }
            BalancerChoice::Wait { until } => Selection::Wait { until },
            BalancerChoice::Reject { retry_after_ms } => Selection::Reject {
                after_ms: retry_after_ms,
            },
        }
    }

    fn chosen(
        &self,
        selection: &SelectionRequest<'_>,
        key: Key,
        want: &PooledRequest,
        traffic: Traffic,
    ) -> Option<SelectedRunner> {
        let now = selection.now;
        let mut engines = self.0.engines.borrow_mut();
        let id = HeaderValue::from_str(engines.runner_id(key))
            .ok()
            .filter(|id| !id.is_empty())?;
        let addr = engines.runner_addr(key);
        let send = engines.attempt_started(now, key, &want.profile, traffic);
        drop(engines);
        let overdue = Rc::new(Notify::new());
        if want.profile.retryable {
            self.0
                .calls
                .borrow_mut()
                .insert(send.0, Rc::clone(&overdue));
        }
        let svc = drawn(selection.request);
        let route = selection.route.name.as_str();
        let versions = self.0.versions.borrow();
        let observed =
            versions.observe(now, &svc, route, want.pool, want.profile.max_output_tokens);
        drop(versions);
        let in_flight = InFlightAttempt {
            selector: self.clone(),
            key,
            svc,
            observed: observed.map(Box::new),
            id: Some(send),
            overdue,
        };
        Some(SelectedRunner {
            key,
            id,
            addr,
            in_flight,
        })
    }

    /// Where an item of a batch job goes now; none: it is held.
    pub fn select_for_item(&self, selection: &SelectionRequest<'_>) -> Option<SelectedRunner> {
        let want = self.want(selection);
        let key = self
            .0
            .engines
            .borrow_mut()
            .choose_item(selection.now, &want.profile)?;
        self.chosen(selection, key, &want, Traffic::Item)
    }

    /// How many items of a service may be fetched now.
    pub fn item_capacity(&self, now: u64, svc: &str) -> u32 {
        // The pool to which most of the traffic goes stands for both.
        let share = self.0.versions.borrow().share(now, svc);
        let pool = if share > FULL_SHARE / 2 {
            VersionPool::Target
        } else {
            VersionPool::Base
        };
        let engines = self.0.engines.borrow();
        engines.item_capacity(now, &pool.service(svc))
    }

    /// Time passes: tells sends whose runner seems to hang, and the runners whose reports are worth their price.
    pub fn tick(&self, now: u64) -> Vec<(Key, SocketAddr)> {
        let mut engines = self.0.engines.borrow_mut();
        for late in engines.overdue_attempts(now) {
            if let Some(call) = self.0.calls.borrow().get(&late.0) {
                call.notify_one();
            }
        }
        let asked = engines.runners_to_probe(now);
        asked
            .into_iter()
            .map(|key| (key, engines.runner_addr(key)))
            .collect()
    }

    /// A runner's report, or that none came.
    pub fn reported(&self, key: Key, report: Option<LoadReport>) {
        let now = self.now();
        let mut engines = self.0.engines.borrow_mut();
        match report {
            Some(report) => engines.report_received(now, key, report),
            None => engines.report_failed(now, key),
        }
        let id = CompactString::from(engines.runner_id(key));
        drop(engines);
        if let Some(runner) = self.0.runners.borrow().get(&id) {
            self.0.queue.call(&runner.service, WOKEN_ON_UPDATE);
        }
    }

    /// A connection for a report, if one is kept.
    pub fn idle(&self, key: Key) -> Option<Upstream> {
        self.0.pool.take(key, false, &[])
    }

    /// A connection that is kept, if there is one fit for this send. `used`: those on which this try was sent before.
    pub fn connection(
        &self,
        chosen: &SelectedRunner,
        not_idempotent: bool,
        used: &[ConnectionNumber],
    ) -> Option<Upstream> {
        self.0.pool.take(chosen.key, not_idempotent, used)
    }

    /// Whether one more connection may be opened to the runner.
    pub fn may_open(&self, key: Key) -> bool {
        self.0.pool.open(key) < self.0.engines.borrow().connection_limit(key) as usize
    }

    /// How long a connection to a runner is waited for.
    pub fn connect_timeout(&self) -> &ConnectTimeout {
        &self.0.connect_timeout
    }

    /// Counters a connection to the runner.
    pub fn count_connection(&self, key: Key) -> OpenConnection {
        self.0.pool.count_connection(key)
    }

    /// Keeps a connection for the next send.
    pub fn keep(&self, key: Key, upstream: Upstream) {
        if self.usable(key) {
            self.0.pool.put(key, upstream);
        }
    }

    /// Closes connections that are kept for too long.
    pub fn sweep(&self) {
        self.0.pool.sweep();
    }

    /// Requests and items that wait for a runner.
    pub fn waiting(&self) -> usize {
        self.0.queue.len()
    }
}
