//! Items of batch jobs: leased for the capacity that there is, run as requests at runners, and their results returned.
//!
//! An item that was leased waits until a runner has capacity for it, and is never rejected. Only the store that keeps its
//! batch job gives it up: this process renews its leases twice a second, and an item whose lease is revoked ends at once.

pub mod completion;
pub mod fetch;

use crate::client::request::{Request, SEAL};
use crate::counters::increment;
use crate::gateway::Gateway;
use crate::items::completion::finish;
use crate::items::fetch::{fetch_all, wants};
use crate::proxy::attempt::{send, AttemptHistory, AttemptResult, ResponseStart, RouteTerms};
use crate::proxy::events::{add_data, Events};
use crate::proxy::in_flight::AttemptOutcome;
use crate::proxy::stream::{has_explicit_end, idle_timeout, EventSource, StreamEnd};
use crate::selection::selector::{SelectedRunner, SelectionRequest};
use batch::wire::{
    Completion, LeaseKey, LeasedItem, Message, Outcome, PartitionLeases, RenewOutcome,
    RenewRequest, RenewResponse, LEASE_RENEWAL_INTERVAL_MS, LEASE_TIMEOUT_MS, RENEW,
};
use hyper::header::HeaderValue;
use hyper::http::response::Parts;
use route_config::RouteKind;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout, Duration, Instant};

/// Time-out of a call to a store, beside the wait that the call itself asks for.
pub const CALL_WITHIN: Duration = Duration::from_millis(1_000);
/// Stores from which items are fetched at once; the others follow in turn. All of them at once would cost a large fleet of
/// gateways more than the items do, and each store has some gateways that wait there.
pub(crate) const MAX_CONCURRENT_FETCHES: usize = 4;
/// An item looks for a runner again after this, if the queue did not wake it before.
const RESELECT_INTERVAL: Duration = Duration::from_millis(150);
/// Pause before an item is released whose route is not applied here, or that no runner accepts as it is.
const UNEXPECTED_RESPONSE_PAUSE: Duration = Duration::from_millis(300);
/// The longest text of a result; a longer one is no runner's output.
const MAX_RESULT_BYTES: usize = 4 << 20;
/// An attempt is made only if the store confirmed the lease this recently: that a batch job ended may be known nowhere else.
const CONFIRMED_MS: u64 = LEASE_TIMEOUT_MS - LEASE_RENEWAL_INTERVAL_MS;
/// Attempts of an item that are remembered, so that a retry prefers other runners; with more, all are forgotten.
const MAX_REMEMBERED_ATTEMPTS: usize = 8;
/// How long before the process ends, in milliseconds, the items that still run are released.
const RELEASE_BEFORE_END_MS: u64 = 2_500;

pub(crate) struct HeldItem {
    pub(crate) partition: u16,
    /// An attempt is under way.
    started: Cell<bool>,
    task: RefCell<Option<AbortHandle>>,
}

/// The items that are leased to this process.
#[derive(Default)]
pub struct Items {
    pub(crate) held: RefCell<HashMap<LeaseKey, Rc<HeldItem>>>,
    /// Stores from which items are being fetched.
    fetching: RefCell<HashSet<SocketAddr>>,
    /// Results that their stores have not acknowledged, by partition, and the partitions for which a task sends them.
    pub(crate) results: RefCell<HashMap<u16, Vec<Completion>>>,
    pub(crate) sending_results: RefCell<HashSet<u16>>,
    /// When the store of a partition last confirmed its leases.
    confirmed: RefCell<HashMap<u16, u64>>,
    leases_renewed_at: Cell<u64>,
    /// Position of the next store to fetch from, among the heads.
    next_head: Cell<usize>,
}

impl Items {
    /// How many are held.
    pub fn len(&self) -> usize {
        self.held.borrow().len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.held.borrow().is_empty()
    }

    pub(crate) fn is_held(&self, key: &LeaseKey) -> bool {
        self.held.borrow().contains_key(key)
    }

    pub(crate) fn waiting(&self) -> u32 {
        let held = self.held.borrow();
        u32::try_from(held.values().filter(|h| !h.started.get()).count()).unwrap_or(u32::MAX)
    }

    pub(crate) fn confirm(&self, partition: u16, at: u64) {
        let mut confirmed = self.confirmed.borrow_mut();
        let before = confirmed.entry(partition).or_insert(at);
        *before = (*before).max(at);
    }

    fn is_confirmed(&self, partition: u16, now: u64) -> bool {
        self.confirmed
            .borrow()
            .get(&partition)
            .is_some_and(|at| now < at + CONFIRMED_MS)
    }

    pub(crate) fn drop_one(&self, key: &LeaseKey) {
        if let Some(held_item) = self.held.borrow_mut().remove(key) {
            if let Some(task) = held_item.task.borrow_mut().take() {
                task.abort();
            }
        }
    }
}

/// Time passes: every 100 ms or so.
pub fn tick(gateway: &Rc<Gateway>, now: u64) {
    let items = &gateway.items;
    if now >= items.leases_renewed_at.get() + LEASE_RENEWAL_INTERVAL_MS && !items.is_empty() {
        items.leases_renewed_at.set(now);
        renew_leases(gateway, now);
    }
    if let Some(at) = gateway.stopped.get() {
        let grace = gateway.settings.borrow().bounds.grace_ms;
        let over = now.saturating_sub(at) + RELEASE_BEFORE_END_MS >= grace;
        release(gateway, over);
        return;
    }
    fetch_more(gateway, now);
}

/// Fetches items where there is capacity: at every tick, and at once when an item leaves capacity for the next. With ticks
/// alone, a process would begin no more items in one tick than it may have in prefill at a time.
fn fetch_more(gateway: &Rc<Gateway>, now: u64) {
    let items = &gateway.items;
    if gateway.stopping() {
        return;
    }
    let (Some(config), Some(map)) = (gateway.config(), gateway.map()) else {
        return;
    };
    let heads: Vec<SocketAddr> = wants(gateway, &config, &map, now).into_keys().collect();
    for _ in 0..heads.len() {
        if items.fetching.borrow().len() >= MAX_CONCURRENT_FETCHES {
            return;
        }
        let at = items.next_head.get();
        items.next_head.set(at.wrapping_add(1));
        let Some(head) = heads.get(at % heads.len()).copied() else {
            return;
        };
        if items.fetching.borrow_mut().insert(head) {
            let gateway = Rc::clone(gateway);
            spawn_local(async move {
                fetch_all(&gateway, head).await;
                gateway.items.fetching.borrow_mut().remove(&head);
            });
        }
    }
}

/// Releases the items that have not started, and at the end of the process those that still run.
fn release(gateway: &Rc<Gateway>, all: bool) {
    let items = &gateway.items;
    let given_back: Vec<_> = {
        let held = items.held.borrow();
        let back = held
            .iter()
            .filter(|(_, h)| (all || !h.started.get()) && h.task.borrow().is_some());
        back.map(|(key, held_item)| (key.clone(), Rc::clone(held_item)))
            .collect()
    };
    for (key, held_item) in given_back {
        if let Some(task) = held_item.task.borrow_mut().take() {
            task.abort();
        }
        finish(gateway, &key, Outcome::Released);
    }
}

/// The partition that keeps an item's job.
pub(crate) fn partition_of(gateway: &Gateway, leased: &LeasedItem) -> Option<u16> {
    let map = gateway.map()?;
    u16::try_from(map.partition_of(&leased.host, &leased.key.batch_job)).ok()
}

/// Runs an item that was leased.
pub fn begin(gateway: &Rc<Gateway>, leased: LeasedItem) {
    let key = leased.key.clone();
    let Some(partition) = partition_of(gateway, &leased) else {
        return;
    };
    let held_item = Rc::new(HeldItem {
        partition,
        started: Cell::new(false),
        task: RefCell::new(None),
    });
    if gateway
        .items
        .held
        .borrow_mut()
        .insert(key.clone(), Rc::clone(&held_item))
        .is_some()
    {
        return;
    }
    increment(&gateway.counts.items);
    let task = {
        let (gateway, held_item) = (Rc::clone(gateway), Rc::clone(&held_item));
        spawn_local(async move {
            let outcome = run(&gateway, &leased, &held_item).await;
            held_item.task.borrow_mut().take();
            finish(&gateway, &key, outcome);
        })
    };
    *held_item.task.borrow_mut() = Some(task.abort_handle());
}

/// An item while it runs.
struct ItemRun<'a> {
    gateway: &'a Rc<Gateway>,
    leased: &'a LeasedItem,
    held_item: &'a HeldItem,
    request: Request,
    /// When its batch job is due, in milliseconds of the process's clock.
    due: u64,
    history: AttemptHistory,
    result: ResultText,
    /// Events of the attempt before, after which the next one resumes.
    events: Events,
}

/// Runs an item until its outcome is known, with as many attempts as that takes.
async fn run(gateway: &Rc<Gateway>, leased: &LeasedItem, held_item: &HeldItem) -> Outcome {
    let came = gateway.clock.now();
    let Some(request) = Request::of_item(&leased.item, &leased.host, came) else {
        sleep(UNEXPECTED_RESPONSE_PAUSE).await;
        return Outcome::Released;
    };
    let mut run = ItemRun {
        gateway,
        leased,
        held_item,
        request,
        due: came.saturating_add(leased.due_in_ms),
        history: AttemptHistory::default(),
        result: ResultText::default(),
        events: Events::default(),
    };
    loop {
        if let Some(outcome) = run.attempt().await {
            return outcome;
        }
    }
}

impl ItemRun<'_> {
    /// One attempt; `None` if another one is to follow.
    async fn attempt(&mut self) -> Option<Outcome> {
        let before = self.request.svc.borrow().clone();
        let Some((chosen, terms)) = self.runner().await else {
            return Some(Outcome::Released);
        };
        if self.events.last_id().is_some() && before != *self.request.svc.borrow() {
            // Another service may send other events after the same id.
            self.events = Events::default();
        }
        if self.history.runners.len() > MAX_REMEMBERED_ATTEMPTS {
            self.history.forget_attempts();
        }
        self.held_item.started.set(true);
        let last_event_id = self
            .events
            .last_id()
            .and_then(|id| HeaderValue::from_bytes(id).ok());
        let attempt = send(
            self.gateway,
            &self.request,
            &terms,
            chosen,
            &mut self.history,
            last_event_id.as_ref(),
        );
        match attempt.await {
            AttemptResult::Responded(started) => {
                self.read_response(*started, &terms, last_event_id).await
            }
            AttemptResult::Declined(_) | AttemptResult::NotSent => {
                self.held_item.started.set(last_event_id.is_some());
                None
            }
            AttemptResult::Broken | AttemptResult::TimedOut => None,
        }
    }

    /// What a runner's response makes of the item; `None` if another attempt is to follow.
    async fn read_response(
        &mut self,
        started: ResponseStart,
        terms: &RouteTerms,
        last_event_id: Option<HeaderValue>,
    ) -> Option<Outcome> {
        let mut source = EventSource {
            until: Instant::now() + Duration::from_millis(terms.timeout_ms),
            idle_timeout: idle_timeout(terms),
            last_event_at: Instant::now(),
            events: std::mem::take(&mut self.events),
            started,
        };
        match ItemStatus::of(&source.started.head) {
            ItemStatus::Stream => {}
            ItemStatus::Failed => {
                source.started.in_flight.end(AttemptOutcome::Failed);
                return Some(Outcome::Failed);
            }
            ItemStatus::Unprocessable => {
                source.started.in_flight.end(AttemptOutcome::Completed);
                return Some(Outcome::Unprocessable);
            }
            ItemStatus::Unexpected => {
                self.gateway.log_unexpected_response(
                    "an item's answer that says nothing",
                    source.started.in_flight.key(),
                    &source.started.head,
                );
                source.started.in_flight.end(AttemptOutcome::Failed);
                self.events = std::mem::take(&mut source.events);
                sleep(UNEXPECTED_RESPONSE_PAUSE).await;
                return None;
            }
        }
        match last_event_id {
            Some(last_event_id) => source.events.resumed_after(last_event_id.as_bytes()),
            None => {
                self.result = ResultText::default();
                source.events = Events::default();
            }
        }
        let end = collect(self.gateway, &mut source, &mut self.result).await;
        if end == StreamEnd::Complete
            && has_explicit_end(&source.started.head.headers)
            && self.result.text.len() <= MAX_RESULT_BYTES
        {
            self.result.add(&source.events.rest());
            source
                .started
                .finish(self.gateway, AttemptOutcome::Completed);
            let text = std::mem::take(&mut self.result.text).into();
            return Some(Outcome::Complete { text });
        }
        increment(&self.gateway.counts.broken);
        source.started.in_flight.end(end.outcome());
        self.events = source.events;
        None
    }

    /// A runner for the item, as soon as one has capacity; `None` if the item is to be released.
    async fn runner(&self) -> Option<(SelectedRunner, RouteTerms)> {
        let mut place = None;
        loop {
            let now = self.gateway.clock.now();
            if self.gateway.stopping() {
                return None;
            }
            let config = self.gateway.config()?;
            // By its path, as any request: a route may have moved.
            let route = config
                .route(&self.leased.host, self.request.target.path())
                .filter(|route| route.kind == RouteKind::Bulk);
            let Some(route) = route else {
                sleep(UNEXPECTED_RESPONSE_PAUSE).await;
                return None;
            };
            if self
                .gateway
                .items
                .is_confirmed(self.held_item.partition, now)
            {
                let left_ms = self.due.saturating_sub(now);
                let selection = SelectionRequest {
                    request: &self.request,
                    route,
                    history: &self.history,
                    left_ms,
                    now,
                    response_started: self.held_item.started.get(),
                };
                if let Some(chosen) = self.gateway.selector.select_for_item(&selection) {
                    return Some((chosen, RouteTerms::of_item(route)));
                }
                if !self.held_item.started.get() {
                    // Another service of the route may have capacity.
                    self.request.svc.take();
                }
            }
            let place = place
                .get_or_insert_with(|| self.gateway.selector.queue_item(&self.request, self.due));
            let _ = timeout(RESELECT_INTERVAL, place.turn()).await;
        }
    }
}

/// What the head of a runner's response says of an item.
enum ItemStatus {
    /// Its result follows, as a stream of events.
    Stream,
    /// The runner failed on it.
    Failed,
    /// No runner can run it.
    Unprocessable,
    /// Nothing that a runner says of an item.
    Unexpected,
}

impl ItemStatus {
    fn of(head: &Parts) -> Self {
        match head.status.as_u16() {
            200..=299 if head.headers.contains_key(SEAL) => ItemStatus::Stream,
            500 => ItemStatus::Failed,
            422 => ItemStatus::Unprocessable,
            _ => ItemStatus::Unexpected,
        }
    }
}

/// The text of an item's result, as far as it has arrived.
#[derive(Default)]
struct ResultText {
    text: Vec<u8>,
    any: bool,
}

impl ResultText {
    /// Adds the data of complete events.
    fn add(&mut self, events: &[u8]) {
        add_data(&mut self.text, &mut self.any, events);
    }
}

/// Adds the events that a runner sends to a result, up to the end of its stream.
async fn collect(
    gateway: &Rc<Gateway>,
    source: &mut EventSource,
    result: &mut ResultText,
) -> StreamEnd {
    match source.first(true).await {
        Ok(events) => result.add(&events),
        Err(end) => return end,
    }
    source.started.in_flight.first_token();
    fetch_more(gateway, gateway.clock.now());
    let mut timer = pin!(sleep_until(source.last_event_at));
    loop {
        match source.next(&mut timer).await {
            Ok(events) => result.add(&events),
            Err(end) => return end,
        }
        if result.text.len() > MAX_RESULT_BYTES {
            return StreamEnd::Broken;
        }
    }
}

/// Renews the leases of the items that are held, and drops those whose lease is revoked.
fn renew_leases(gateway: &Rc<Gateway>, now: u64) {
    let Some(map) = gateway.map() else { return };
    let mut partitions: BTreeMap<u16, Vec<LeaseKey>> = BTreeMap::new();
    for (key, held_item) in gateway.items.held.borrow().iter() {
        let leases = partitions.entry(held_item.partition).or_default();
        leases.push(key.clone());
    }
    let mut calls: BTreeMap<SocketAddr, Vec<PartitionLeases>> = BTreeMap::new();
    for (partition, leases) in partitions {
        let head = map
            .partitions
            .get(usize::from(partition))
            .and_then(|view| view.members.first());
        if let Some(head) = head {
            calls
                .entry(head.addr)
                .or_default()
                .push(PartitionLeases { partition, leases });
        }
    }
    for (head, partitions) in calls {
        let gateway = Rc::clone(gateway);
        spawn_local(async move {
            let call = RenewRequest {
                holder: gateway.id,
                partitions,
            }
            .encode();
            let Ok(answer) = gateway.links.call(head, RENEW, call, CALL_WITHIN).await else {
                return;
            };
            let Ok(answer) = RenewResponse::decode(&answer) else {
                return;
            };
            for partition in answer.partitions {
                if let RenewOutcome::Revoke { leases } = partition.outcome {
                    gateway.items.confirm(partition.partition, now);
                    for key in leases {
                        gateway.items.drop_one(&key);
                    }
                }
            }
        });
    }
}
