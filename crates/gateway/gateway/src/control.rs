//! What the control plane tells this process, and what it tells on to those below it in the tree of relays.

use crate::codes;
use crate::counters::increment;
use crate::gateway::Gateway;
use batch::wire::{Message, PlacementMap};
use bytes::Bytes;
use compact_str::CompactString;
use peer_transport::{Handler, Peer, Reply};
use relay_tree::{tree_parents, Follow, Role, Stamp, StateTable};
use replicated_state::{
    decode_addresses, Dispatcher, RolloutEntry, CONTROLLERS_KEY, DISPATCHER_KEY_PREFIX, HELLO,
    HELLO_INTERVAL_MS, RELAY, ROLLOUT_KEY_PREFIX, ROLLOUT_REPORT,
};
use route_config::Config;
use runner_registry::{Runner, RunnerState};
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// The entry with the newest configuration, and the one that says which is in force.
const CONFIG_NEXT: &str = "config/next";
const CONFIG_ACTIVE: &str = "config/active";
/// Entries under this name the runners.
const RUNNERS: &str = "runner/";
/// The entry with the map of the stores.
const STORES: &str = "stores";
/// How old what a parent says may be for the first configuration of this incarnation to come into force.
const FRESH_MS: u64 = 1_500;
/// A link feeds one subscriber for each so many megabits a second, within these bounds.
const MBPS_EACH: f64 = 60.0;
const WIDTH: (usize, usize) = (2, 16);
/// Lines about runners in a span.
const LINES_MOST: u32 = 100;
const LINES_SPAN_MS: u64 = 10_000;
/// To how many controllers this process says in turn that it is there: one may be gone.
const HELLO_TO: usize = 2;

/// The process's place in the tree.
pub struct Control {
    state_table: RefCell<StateTable>,
    me: SocketAddr,
    /// The newest configuration that came, whether or not it is in force.
    next: RefCell<Option<Rc<Config>>>,
    controllers: RefCell<Vec<SocketAddr>>,
    parent: Cell<Option<SocketAddr>>,
    /// Everything had come from a parent in touch with the controllers.
    state_table_complete_at: Cell<Option<u64>>,
    /// To whom it says that it is there, in turn.
    hello_to: RefCell<Vec<SocketAddr>>,
    /// When this process said last that it is there.
    hello_at: Cell<Option<u64>>,
    hello_turn: Cell<usize>,
    /// Lines about runners in the span that began then.
    lines: Cell<(u64, u32)>,
    /// Messages that the state table had passed over at the last tick.
    passed_over: Cell<u64>,
}

impl Control {
    /// Nothing is known yet.
    pub fn new(incarnation: u64, me: SocketAddr) -> Self {
        Control {
            state_table: RefCell::new(StateTable::new(incarnation, me, Follow::First, Role::Relay)),
            me,
            next: RefCell::new(None),
            controllers: RefCell::new(vec![]),
            parent: Cell::new(None),
            state_table_complete_at: Cell::new(None),
            hello_to: RefCell::new(vec![]),
            hello_at: Cell::new(None),
            lines: Cell::new((0, 0)),
            passed_over: Cell::new(0),
            hello_turn: Cell::new(0),
        }
    }

    /// How old what is known may be.
    pub fn age(&self, now: u64) -> u64 {
        self.state_table.borrow().staleness(now)
    }

    /// These are the controllers.
    pub fn set_controllers(&self, controllers: Vec<SocketAddr>) {
        *self.controllers.borrow_mut() = controllers;
    }

    /// When everything had come.
    pub fn state_table_complete_at(&self) -> Option<u64> {
        self.state_table_complete_at.get()
    }
}

/// Takes what other processes say.
pub struct ControlHandler(pub Rc<Gateway>);

impl Handler for ControlHandler {
    fn handle_message(&self, from: &Rc<Peer>, kind: u16, body: Bytes) {
        let gateway = &self.0;
        if kind != RELAY {
            increment(&gateway.counts.odd);
            return gateway.log_rate_limited("frame of unknown kind ignored", |left_out| {
                warn!(gateway.log, "frame of unknown kind ignored"; "code" => codes::UNKNOWN_FRAME, "kind" => kind,
                    "from" => %from.addr, "left_out" => left_out);
            });
        }
        match relay_tree::Message::decode(&body) {
            Ok(msg) => {
                let now = gateway.clock.now();
                gateway
                    .control
                    .state_table
                    .borrow_mut()
                    .handle_message(now, from.addr, msg);
                apply_changes(gateway, now);
            }
            Err(e) => {
                increment(&gateway.counts.odd);
                gateway.log_rate_limited("frame rejected", |left_out| {
                    warn!(gateway.log, "frame rejected"; "code" => codes::UNREADABLE_FRAME, "why" => %e,
                        "from" => %from.addr, "left_out" => left_out);
                });
            }
        }
    }

    fn handle_call(&self, _: &Rc<Peer>, _: u16, _: Bytes, reply: Reply) {
        // Nothing is asked of a gateway; dropped, the reply tells so.
        drop(reply);
    }
}

/// Time passes: every 100 ms or so.
pub fn tick(gateway: &Rc<Gateway>, now: u64) {
    let control = &gateway.control;
    control.state_table.borrow_mut().tick(now);
    apply_changes(gateway, now);
    let passed_over = control.state_table.borrow().ignored_messages();
    let more = passed_over.saturating_sub(control.passed_over.replace(passed_over));
    gateway
        .counts
        .strangers
        .set(gateway.counts.strangers.get() + more);
    let due = control
        .hello_at
        .get()
        .is_none_or(|at| now >= at + HELLO_INTERVAL_MS);
    if due && !gateway.stopping() {
        control.hello_at.set(Some(now));
        let turn = control.hello_turn.get();
        control.hello_turn.set(turn + 1);
        let to = control
            .hello_to
            .borrow()
            .get(turn % HELLO_TO)
            .or(control.hello_to.borrow().first())
            .copied();
        if let Some(controller) = to {
            gateway.links.send(controller, HELLO, Bytes::new());
        }
    }
}

/// Says goodbye, so that those below look for another parent at once.
pub fn close(gateway: &Rc<Gateway>) {
    gateway
        .control
        .state_table
        .borrow_mut()
        .close(gateway.clock.now());
    send(gateway);
}

/// Sends what is to be sent, and takes in what has changed.
fn apply_changes(gateway: &Rc<Gateway>, now: u64) {
    send(gateway);
    let control = &gateway.control;
    let changes = control.state_table.borrow_mut().take_changed_keys();
    let mut tree = false;
    // Runners of a new version come after what is said of it.
    let (rollouts, others): (Vec<_>, Vec<_>) = changes
        .iter()
        .partition(|key| key.starts_with(ROLLOUT_KEY_PREFIX));
    for key in rollouts.into_iter().chain(others) {
        if let Some(id) = key.strip_prefix(RUNNERS) {
            runner(gateway, now, id, key);
        } else if key == STORES {
            stores(gateway);
        } else if key == CONFIG_NEXT {
            configuration(gateway);
        } else if let Some(service) = key.strip_prefix(ROLLOUT_KEY_PREFIX) {
            rollout(gateway, now, service, key);
        } else if key == CONTROLLERS_KEY || key.starts_with(DISPATCHER_KEY_PREFIX) {
            tree = true;
        }
    }
    let fresh = control.age(now) <= FRESH_MS;
    if fresh
        && control.state_table_complete_at.get().is_none()
        && control.state_table.borrow().get(CONTROLLERS_KEY).is_some()
    {
        control.state_table_complete_at.set(Some(now));
        info!(gateway.log, "control plane connected"; "after_ms" => now);
    }
    activate(gateway, fresh);
    if tree {
        follow(gateway, now);
    }
    let parent = control.state_table.borrow().parent();
    if parent != control.parent.replace(parent) {
        let said = parent.map_or_else(|| "none".into(), |p| p.to_string());
        info!(gateway.log, "parent selected"; "addr" => said);
    }
    if !changes.is_empty() {
        send(gateway);
    }
}

fn send(gateway: &Rc<Gateway>) {
    let messages = gateway.control.state_table.borrow_mut().take_messages();
    for (to, msg) in messages {
        gateway.links.send(to, RELAY, msg.encode());
    }
}

fn dispatchers(gateway: &Gateway) -> Vec<(SocketAddr, CompactString)> {
    let state_table = gateway.control.state_table.borrow();
    let known = state_table
        .with_prefix(DISPATCHER_KEY_PREFIX)
        .filter_map(|state_entry| Dispatcher::decode(state_entry.value.as_ref()?).ok());
    known.map(|d| (d.addr, d.zone)).collect()
}

/// Whom to follow, from what is known.
pub fn follow(gateway: &Rc<Gateway>, now: u64) {
    let control = &gateway.control;
    let told = control
        .state_table
        .borrow()
        .get(CONTROLLERS_KEY)
        .and_then(|f| f.value.as_ref().and_then(|v| decode_addresses(v).ok()));
    if let Some(told) = told.filter(|told| !told.is_empty()) {
        control.set_controllers(told);
    }
    let settings = Rc::clone(&gateway.settings.borrow());
    let dispatchers = dispatchers(gateway);
    // The others of this role send to the same runners.
    let beside = dispatchers
        .iter()
        .filter(|(a, _)| a.port() == control.me.port() && *a != control.me)
        .count();
    gateway.selector.share(beside + 1);
    let zone_of = |addr: &SocketAddr| {
        let on_it = dispatchers
            .iter()
            .find(|(other, _)| other.ip() == addr.ip());
        on_it.map(|(_, zone)| zone.clone()).unwrap_or_default()
    };
    let controllers: Vec<_> = control
        .controllers
        .borrow()
        .iter()
        .map(|addr| (*addr, zone_of(addr)))
        .collect();
    let mut list = vec![];
    if !controllers.is_empty() {
        let width = ((settings.limits.link_mbps / MBPS_EACH) as usize).clamp(WIDTH.0, WIDTH.1);
        list = tree_parents(
            control.me,
            &settings.zone,
            &dispatchers,
            &controllers,
            width,
        );
    }
    // The addresses of the settings come last: they may be newer than what was told. Each process begins at another one, or
    // all would hang on the first when all start together, and wait for it when it is the one that comes late.
    let mut peers = settings.controller_peers();
    if !peers.is_empty() {
        let first =
            usize::from(control.me.port()).wrapping_add(last_number(control.me)) % peers.len();
        peers.rotate_left(first);
    }
    list.extend(peers);
    let mut hello_to: Vec<_> = controllers
        .iter()
        .map(|(addr, zone)| (*zone != settings.zone, *addr))
        .collect();
    hello_to.sort();
    let told = hello_to.into_iter().map(|(_, addr)| addr);
    *control.hello_to.borrow_mut() = if controllers.is_empty() {
        settings.controller_peers()
    } else {
        told.collect()
    };
    control.state_table.borrow_mut().set_parents(now, list);
    send(gateway);
}

/// The last number of an address, by which processes differ.
fn last_number(addr: SocketAddr) -> usize {
    let last = match addr.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3],
        std::net::IpAddr::V6(ip) => ip.octets()[15],
    };
    usize::from(last)
}

/// Whether one more line about runners may be written: a large fleet that comes or goes would fill the log.
fn may_write(control: &Control, now: u64) -> bool {
    let (began, count) = control.lines.get();
    let fresh = now >= began + LINES_SPAN_MS;
    control
        .lines
        .set(if fresh { (now, 1) } else { (began, count + 1) });
    fresh || count < LINES_MOST
}

fn runner(gateway: &Rc<Gateway>, now: u64, id: &str, key: &str) {
    let state_entry = gateway.control.state_table.borrow().get(key).cloned();
    let Some(state_entry) = state_entry else {
        return gateway.selector.remove_runner(id);
    };
    if state_entry.value.is_none() {
        if may_write(&gateway.control, now) {
            info!(gateway.log, "runner gone"; "runner" => id);
        }
        return gateway.selector.remove_runner(id);
    }
    match Runner::read(&state_entry) {
        Ok(runner) => {
            let state = match runner.state {
                RunnerState::Up => "up",
                RunnerState::Draining => "draining",
                RunnerState::Gone => "gone",
            };
            if gateway.selector.update_runner(now, &runner) && may_write(&gateway.control, now) {
                info!(gateway.log, "runner {}", state; "runner" => id, "svc" => runner.service.as_str(),
                    "addr" => %runner.addr, "slots" => runner.slots);
            }
        }
        Err(e) => {
            increment(&gateway.counts.odd);
            gateway.log_rate_limited("runner entry unreadable", |left_out| {
                warn!(gateway.log, "runner entry unreadable"; "code" => codes::UNREADABLE_RUNNER, "runner" => id,
                    "why" => %e, "left_out" => left_out);
            });
        }
    }
}

fn rollout(gateway: &Rc<Gateway>, now: u64, service: &str, key: &str) {
    let state_entry = gateway.control.state_table.borrow().get(key).cloned();
    let Some((stamp, value)) = state_entry.and_then(|entry| Some((entry.stamp, entry.value?)))
    else {
        return;
    };
    match RolloutEntry::decode(&value) {
        Ok(entry) => {
            gateway.selector.update_rollout(now, service, stamp, entry);
        }
        Err(e) => {
            increment(&gateway.counts.odd);
            gateway.log_rate_limited("rollout entry unreadable", |left_out| {
                warn!(gateway.log, "rollout entry unreadable"; "code" => codes::UNREADABLE_ROLLOUT, "svc" => service,
                    "why" => %e, "left_out" => left_out);
            });
        }
    }
}

/// Reports what was seen of roll-outs under way.
pub fn report_rollouts(gateway: &Rc<Gateway>, now: u64) {
    for (to, report) in gateway.selector.rollout_reports(now) {
        gateway.links.send(to, ROLLOUT_REPORT, report.encode());
    }
}

fn stores(gateway: &Rc<Gateway>) {
    let value = gateway
        .control
        .state_table
        .borrow()
        .get(STORES)
        .and_then(|state_entry| state_entry.value.clone());
    let Some(value) = value else { return };
    match PlacementMap::decode(&value) {
        Ok(map) => {
            info!(gateway.log, "placement map applied"; "number" => map.number, "stores" => map.stores.len());
            *gateway.map.borrow_mut() = Some(Rc::new(map));
            gateway.changed.notify_waiters();
        }
        Err(e) => {
            increment(&gateway.counts.odd);
            warn!(gateway.log, "placement map unreadable"; "code" => codes::UNREADABLE_MAP, "why" => %e);
        }
    }
}

/// Reads the newest configuration as soon as it comes, so that the word that puts it into force takes effect at once.
fn configuration(gateway: &Rc<Gateway>) {
    let state_entry = gateway
        .control
        .state_table
        .borrow()
        .get(CONFIG_NEXT)
        .cloned();
    let Some((stamp, body)) =
        state_entry.and_then(|state_entry| Some((state_entry.stamp, state_entry.value?)))
    else {
        return;
    };
    match Config::read(&body) {
        Ok(config) if Stamp(config.version, 0) == stamp => {
            *gateway.control.next.borrow_mut() = Some(Rc::new(config));
        }
        Ok(config) => {
            increment(&gateway.counts.odd);
            warn!(gateway.log, "configuration version mismatch"; "code" => codes::OTHER_NUMBER, "gen" => config.version,
                "stamp" => stamp.0);
        }
        Err(e) => {
            increment(&gateway.counts.odd);
            warn!(gateway.log, "configuration unreadable"; "code" => codes::UNREADABLE_CONFIG, "why" => %e);
        }
    }
}

/// Puts the newest configuration into force once the word for it has come. Never goes back.
fn activate(gateway: &Rc<Gateway>, fresh: bool) {
    let control = &gateway.control;
    let Some(next) = control.next.borrow().clone() else {
        return;
    };
    let held = gateway.config.borrow().as_ref().map(|c| c.version);
    if held.is_some_and(|held| held >= next.version) || (held.is_none() && !fresh) {
        return;
    }
    let active = control
        .state_table
        .borrow()
        .get(CONFIG_ACTIVE)
        .map(|state_entry| state_entry.stamp);
    if active != Some(Stamp(next.version, 0)) {
        return;
    }
    put_into_force(gateway, next);
}

/// This configuration holds from now on.
pub fn put_into_force(gateway: &Rc<Gateway>, next: Rc<Config>) {
    info!(gateway.log, "configuration applied"; "gen" => next.version, "routes" => next.routes.len(),
        "svcs" => next.services.len());
    gateway.selector.configured(&next);
    crate::client::limits::apply(gateway, &next.limits);
    *gateway.config.borrow_mut() = Some(next);
    gateway.selector.wake_all();
    gateway.changed.notify_waiters();
}
