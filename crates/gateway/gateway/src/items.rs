//! Items of batch jobs: fetched for the room that there is, run as requests at runners, and their results handed back.
//!
//! An item that was fetched is held until a runner has room for it, and never refused. It is given up only by the store that
//! keeps its batch job; what this process holds it says twice a second, and what it is told to drop ends at once.

pub mod completion;
pub mod fetch;

use crate::client::request::{Request, SEAL};
use crate::counters::increment;
use crate::gateway::Gateway;
use crate::items::completion::finish;
use crate::items::fetch::{fetch_all, wants};
use crate::proxy::attempt::{send, AttemptHistory, AttemptResult, RouteTerms};
use crate::proxy::events::{add_data, Events};
use crate::proxy::in_flight::AttemptOutcome;
use crate::proxy::stream::{has_explicit_end, idle_timeout, EventSource, StreamEnd};
use crate::selection::selector::{SelectedRunner, SelectionRequest};
use batch::wire::{
    Completion, LeaseKey, LeasedItem, Message, Outcome, PartitionLeases, RenewOutcome,
    RenewRequest, RenewResponse, LEASE_RENEWAL_INTERVAL_MS, LEASE_TIMEOUT_MS, RENEW,
};
use hyper::header::HeaderValue;
use route_config::Kind;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout, Duration, Instant};

/// How long a store may take for a call, beside what it holds on purpose.
pub const CALL_WITHIN: Duration = Duration::from_millis(1_000);
/// So many stores are asked at once; the others in their turn. All of them at once would cost a large fleet of gateways more
/// than the items do, and each store has some gateways that wait there.
pub(crate) const MAX_CONCURRENT_FETCHES: usize = 4;
/// An item looks again for a runner after this, if it was not called before.
const RESELECT_INTERVAL: Duration = Duration::from_millis(150);
/// An item whose route is not in force here, or that no runner takes as it is, waits so long before it is handed back.
const UNEXPECTED_RESPONSE_PAUSE: Duration = Duration::from_millis(300);
/// The longest text of a result; a longer one is no output of a runner.
const MAX_RESULT_BYTES: usize = 4 << 20;
/// An item is sent only while its store was heard from this lately: a batch job that ended may be known nowhere else.
const CONFIRMED_MS: u64 = LEASE_TIMEOUT_MS - LEASE_RENEWAL_INTERVAL_MS;
/// How long before the process ends the items that still run are handed back.
const RELEASE_BEFORE_END_MS: u64 = 2_500;

pub(crate) struct HeldItem {
    pub(crate) partition: u16,
    /// It was sent to a runner.
    started: Cell<bool>,
    task: RefCell<Option<AbortHandle>>,
}

/// The items that this process holds.
#[derive(Default)]
pub struct Items {
    pub(crate) held: RefCell<HashMap<LeaseKey, Rc<HeldItem>>>,
    /// Stores that are being asked for items.
    fetching: RefCell<HashSet<SocketAddr>>,
    /// Results that are not handed over yet, by partition, and the partitions for which someone does it.
    pub(crate) results: RefCell<HashMap<u16, Vec<Completion>>>,
    pub(crate) sending_results: RefCell<HashSet<u16>>,
    /// When the store of a partition last said what is to be dropped.
    confirmed: RefCell<HashMap<u16, u64>>,
    held_at: Cell<u64>,
    /// The store after the one that was asked last, among the heads.
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
    if now >= items.held_at.get() + LEASE_RENEWAL_INTERVAL_MS && !items.is_empty() {
        items.held_at.set(now);
        hold(gateway, now);
    }
    if let Some(at) = gateway.stopped.get() {
        let grace = gateway.settings.borrow().bounds.grace_ms;
        let over = now.saturating_sub(at) + RELEASE_BEFORE_END_MS >= grace;
        release(gateway, over);
        return;
    }
    fetch_more(gateway, now);
}

/// Asks the stores for items where there is room: at every tick, and at once when an item leaves room for the next.
/// With ticks alone a process would begin no more in one than it may have unread at a time, however soon these are read.
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

/// Hands back what has not started, and at the end what still runs.
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

/// Runs an item until there is something to say of it.
async fn run(gateway: &Rc<Gateway>, leased: &LeasedItem, held_item: &HeldItem) -> Outcome {
    let came = gateway.clock.now();
    let Some(request) = Request::of_item(&leased.item, &leased.host, came) else {
        sleep(UNEXPECTED_RESPONSE_PAUSE).await;
        return Outcome::Released;
    };
    let due = came.saturating_add(leased.due_in_ms);
    let mut history = AttemptHistory::default();
    let (mut text, mut any) = (Vec::new(), false);
    let mut events = Events::default();
    loop {
        let before = request.svc.borrow().clone();
        let Some((chosen, terms)) =
            runner(gateway, leased, held_item, &request, &history, due).await
        else {
            return Outcome::Released;
        };
        if events.last_id().is_some() && before != *request.svc.borrow() {
            // Another service may say something else from the same place on.
            events = Events::default();
        }
        if history.runners.len() > 8 {
            history.forget_attempts();
        }
        held_item.started.set(true);
        let last_event_id = events
            .last_id()
            .and_then(|id| HeaderValue::from_bytes(id).ok());
        let started = match send(
            gateway,
            &request,
            &terms,
            chosen,
            &mut history,
            last_event_id.as_ref(),
        )
        .await
        {
            AttemptResult::Responded(started) => *started,
            AttemptResult::Declined(_) | AttemptResult::NotSent => {
                held_item.started.set(last_event_id.is_some());
                continue;
            }
            AttemptResult::Broken | AttemptResult::TimedOut => continue,
        };
        let mut source = EventSource {
            until: Instant::now() + Duration::from_millis(terms.timeout_ms),
            idle_timeout: idle_timeout(&terms),
            last_event_at: Instant::now(),
            events: std::mem::take(&mut events),
            started,
        };
        match source.started.head.status.as_u16() {
            200..=299 if source.started.head.headers.contains_key(SEAL) => {}
            500 => {
                source.started.in_flight.end(AttemptOutcome::Failed);
                return Outcome::Failed;
            }
            422 => {
                source.started.in_flight.end(AttemptOutcome::Completed);
                return Outcome::Unprocessable;
            }
            _ => {
                gateway.log_unexpected_response(
                    "an item's answer that says nothing",
                    source.started.in_flight.key(),
                    &source.started.head,
                );
                source.started.in_flight.end(AttemptOutcome::Failed);
                events = source.events;
                sleep(UNEXPECTED_RESPONSE_PAUSE).await;
                continue;
            }
        }
        match &last_event_id {
            Some(last_event_id) => source.events.resumed_after(last_event_id.as_bytes()),
            None => {
                text.clear();
                any = false;
                source.events = Events::default();
            }
        }
        let end = collect(gateway, &mut source, &mut text, &mut any).await;
        if end == StreamEnd::Complete
            && has_explicit_end(&source.started.head.headers)
            && text.len() <= MAX_RESULT_BYTES
        {
            add_data(&mut text, &mut any, &source.events.rest());
            let EventSource { started, .. } = source;
            let mut in_flight = started.in_flight;
            in_flight.end(AttemptOutcome::Completed);
            if let Some(upstream) = started.upstream.rest(&started.head.headers) {
                gateway.selector.keep(in_flight.key(), upstream);
            }
            return Outcome::Complete { text: text.into() };
        }
        increment(&gateway.counts.broken);
        source.started.in_flight.end(end.outcome());
        events = source.events;
    }
}

/// Adds what a runner sends to a text.
async fn collect(
    gateway: &Rc<Gateway>,
    source: &mut EventSource,
    text: &mut Vec<u8>,
    any: &mut bool,
) -> StreamEnd {
    match source.first(true).await {
        Ok(whole) => add_data(text, any, &whole),
        Err(end) => return end,
    }
    source.started.in_flight.first_token();
    fetch_more(gateway, gateway.clock.now());
    let mut timer = pin!(sleep_until(source.last_event_at));
    loop {
        match source.next(&mut timer).await {
            Ok(whole) => add_data(text, any, &whole),
            Err(end) => return end,
        }
        if text.len() > MAX_RESULT_BYTES {
            return StreamEnd::Broken;
        }
    }
}

/// A runner for an item, as soon as there is one; none if the item is to be handed back.
async fn runner(
    gateway: &Rc<Gateway>,
    leased: &LeasedItem,
    held_item: &HeldItem,
    request: &Request,
    history: &AttemptHistory,
    due: u64,
) -> Option<(SelectedRunner, RouteTerms)> {
    let mut place = None;
    loop {
        let now = gateway.clock.now();
        if gateway.stopping() {
            return None;
        }
        let config = gateway.config()?;
        // By its path, as any request: a route may have moved.
        let route = config
            .route(&leased.host, request.target.path())
            .filter(|route| route.kind == Kind::Bulk);
        let Some(route) = route else {
            sleep(UNEXPECTED_RESPONSE_PAUSE).await;
            return None;
        };
        if gateway.items.is_confirmed(held_item.partition, now) {
            let left_ms = due.saturating_sub(now);
            let ask = SelectionRequest {
                request,
                route,
                history,
                left_ms,
                now,
                response_started: held_item.started.get(),
            };
            if let Some(chosen) = gateway.selector.select_for_item(&ask) {
                return Some((chosen, RouteTerms::of_item(route)));
            }
            if !held_item.started.get() {
                // Another service of the route may have room.
                request.svc.take();
            }
        }
        let place = place.get_or_insert_with(|| gateway.selector.queue_item(request, due));
        let _ = timeout(RESELECT_INTERVAL, place.turn()).await;
    }
}

/// Says what is held, and drops what is to be dropped.
fn hold(gateway: &Rc<Gateway>, now: u64) {
    let Some(map) = gateway.map() else { return };
    let mut parts: BTreeMap<u16, Vec<LeaseKey>> = BTreeMap::new();
    for (key, held_item) in gateway.items.held.borrow().iter() {
        let leases = parts.entry(held_item.partition).or_default();
        leases.push(key.clone());
    }
    let mut calls: BTreeMap<SocketAddr, Vec<PartitionLeases>> = BTreeMap::new();
    for (partition, leases) in parts {
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
    for (head, parts) in calls {
        let gateway = Rc::clone(gateway);
        spawn_local(async move {
            let call = RenewRequest {
                holder: gateway.id,
                partitions: parts,
            }
            .encode();
            let Ok(answer) = gateway.links.call(head, RENEW, call, CALL_WITHIN).await else {
                return;
            };
            let Ok(answer) = RenewResponse::decode(&answer) else {
                return;
            };
            for part in answer.partitions {
                if let RenewOutcome::Revoke { leases } = part.outcome {
                    gateway.items.confirm(part.partition, now);
                    for key in leases {
                        gateway.items.drop_one(&key);
                    }
                }
            }
        });
    }
}
