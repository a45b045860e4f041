//! Stand-ins for dispatchers: each follows the state table as the real ones do.

use super::{controllers, Actor, Event, World, CTL, PEER};
use batch::wire::{Message, PlacementMap};
use bytes::Bytes;
use relay_tree::{tree_parents, Follow, Role, Stamp, StateTable};
use replicated_state::{
    decode_addresses, CONTROLLERS_KEY, DISPATCHER_KEY_PREFIX, HELLO, HELLO_INTERVAL_MS, RELAY,
};
use runner_registry::{Runner, RunnerState};
use std::net::SocketAddr;

const TICK_INTERVAL: u64 = 100;
/// How old what a parent says may be for the first configuration of an incarnation to come into
/// force.
const FRESH: u64 = 1_500;

struct Process {
    state_table: StateTable,
    incarnation: u64,
    began: u64,
    next: Option<(u64, Bytes)>,
    controllers: Vec<SocketAddr>,
    hello_at: u64,
    hello_turn: usize,
}

pub struct Dispatcher {
    pub addr: SocketAddr,
    pub node: String,
    pub zone: String,
    peers: Vec<SocketAddr>,
    process: Option<Process>,
    pub frozen_until: u64,
    /// When something last happened to it.
    pub troubled_at: u64,
    /// What is in force: number and body.
    pub force: Option<(u64, Bytes)>,
    /// The newest map of stores that it knows.
    pub map: Option<PlacementMap>,
}

impl Dispatcher {
    pub fn new(n: usize, founders: &[SocketAddr]) -> Dispatcher {
        Dispatcher {
            addr: SocketAddr::from(([10, 0, 1, n as u8 + 1], PEER + 1)),
            node: format!("gateway-{n}"),
            zone: format!("z{}", n % 3),
            peers: founders.iter().map(|ctl| peer_of(*ctl)).collect(),
            process: None,
            frozen_until: 0,
            troubled_at: 0,
            force: None,
            map: None,
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.process.as_ref().map_or(0, |p| p.incarnation)
    }

    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// Since when it runs.
    pub fn began(&self) -> Option<u64> {
        self.process.as_ref().map(|p| p.began)
    }

    /// Whom it follows, and how old what it knows may be.
    pub fn follows(&self, now: u64) -> String {
        let known = |p: &Process| {
            format!(
                "{:?}, {} ms",
                p.state_table.parent(),
                p.state_table.staleness(now - p.began + 1)
            )
        };
        self.process.as_ref().map(known).unwrap_or_default()
    }

    /// How a runner stands here; none if it is not known.
    pub fn runner(&self, id: &str) -> Option<RunnerState> {
        let state_entry = self
            .process
            .as_ref()?
            .state_table
            .get(&runner_registry::entry_key(id))?;
        Runner::read(state_entry).ok().map(|r| r.state)
    }

    /// The controllers that it knows of.
    pub fn controllers(&self) -> &[SocketAddr] {
        self.process
            .as_ref()
            .map(|p| p.controllers.as_slice())
            .unwrap_or_default()
    }

    /// The dispatchers that it knows of.
    pub fn nodes(&self) -> Vec<String> {
        let state_table = self.process.as_ref().map(|p| &p.state_table);
        let state_entries = state_table
            .into_iter()
            .flat_map(|b| b.with_prefix(DISPATCHER_KEY_PREFIX));
        state_entries
            .map(|f| f.key.trim_start_matches(DISPATCHER_KEY_PREFIX).to_owned())
            .collect()
    }
}

/// The peer address of the controller with this address of `ctl`.
pub fn peer_of(ctl: SocketAddr) -> SocketAddr {
    debug_assert_eq!(ctl.port(), CTL);
    SocketAddr::new(ctl.ip(), PEER)
}

impl World {
    /// Whether each of the dispatchers has this configuration in force; those that don't run have
    /// none.
    pub fn have_in_force(&self, gen: u64) -> Vec<bool> {
        self.dispatchers
            .iter()
            .map(|d| d.is_up() && d.force.as_ref().is_some_and(|f| f.0 == gen))
            .collect()
    }

    /// Since when all of them run; the end of time while one doesn't.
    pub fn last_dispatcher_began(&self) -> u64 {
        self.dispatchers
            .iter()
            .map(|d| d.began().unwrap_or(u64::MAX))
            .max()
            .unwrap_or(0)
    }

    /// All dispatchers and stores lose power, and are back within these times.
    pub fn all_others_lose_power(&mut self, least: u64, most: u64) {
        for d in 0..self.dispatchers.len() {
            let back = self.dice.between(least, most);
            self.kill_dispatcher(d, back);
        }
        for s in 0..self.stores.len() {
            let back = self.dice.between(least, most);
            self.kill_store(s, back, false);
        }
    }

    pub fn start_dispatcher(&mut self, n: usize) {
        let incarnation = self.incarnation();
        let now = self.now;
        let peers = self.listed(&self.dispatchers[n].peers);
        let dispatcher = &mut self.dispatchers[n];
        if dispatcher.is_up() {
            return;
        }
        dispatcher.peers = peers;
        let mut state_table =
            StateTable::new(incarnation, dispatcher.addr, Follow::First, Role::Relay);
        state_table.set_parents(1, dispatcher.peers.clone());
        dispatcher.process = Some(Process {
            state_table,
            incarnation,
            began: now,
            next: None,
            controllers: Vec::new(),
            hello_at: 0,
            hello_turn: 0,
        });
        dispatcher.troubled_at = now;
        dispatcher.force = None;
        dispatcher.map = None;
        self.note(|| format!("dispatcher {n} started"));
        self.after(
            1,
            Event::Tick {
                who: Actor::Dispatcher(n),
                incarnation,
            },
        );
    }

    pub fn kill_dispatcher(&mut self, n: usize, back: u64) {
        self.note(|| format!("dispatcher {n} killed"));
        self.dispatchers[n].process = None;
        self.dispatchers[n].troubled_at = u64::MAX;
        let addr = self.dispatchers[n].addr;
        self.network.reset(addr);
        self.after(
            back,
            Event::Start {
                who: Actor::Dispatcher(n),
            },
        );
    }

    pub fn tick_dispatcher(&mut self, n: usize, incarnation: u64) {
        let now = self.now;
        let dispatcher = &mut self.dispatchers[n];
        let frozen = dispatcher.frozen_until;
        let Some(process) = dispatcher
            .process
            .as_mut()
            .filter(|p| p.incarnation == incarnation)
        else {
            return;
        };
        if frozen > now {
            return self.after(
                frozen - now + 1,
                Event::Tick {
                    who: Actor::Dispatcher(n),
                    incarnation,
                },
            );
        }
        let own = now - process.began + 1;
        process.state_table.tick(own);
        let mut hello = None;
        if own >= process.hello_at + HELLO_INTERVAL_MS {
            process.hello_at = own;
            process.hello_turn += 1;
            // Its own zone's controller first; to two in turn.
            let mut to: Vec<SocketAddr> = process.controllers.clone();
            if to.is_empty() {
                to = dispatcher.peers.clone();
            }
            hello = to.get(process.hello_turn % 2).or(to.first()).copied();
        }
        let addr = dispatcher.addr;
        if let Some(controller) = hello {
            self.tell(addr, controller, HELLO, Bytes::new());
        }
        self.settle_dispatcher(n);
        self.after(
            TICK_INTERVAL,
            Event::Tick {
                who: Actor::Dispatcher(n),
                incarnation,
            },
        );
    }

    pub fn dispatcher_receives(&mut self, n: usize, from: SocketAddr, kind: u16, body: &Bytes) {
        let now = self.now;
        let Some(process) = self.dispatchers[n]
            .process
            .as_mut()
            .filter(|_| kind == RELAY)
        else {
            return;
        };
        if let Ok(msg) = relay_tree::Message::decode(body) {
            process
                .state_table
                .handle_message(now - process.began + 1, from, msg);
        }
        self.settle_dispatcher(n);
    }

    #[expect(
        clippy::too_many_lines,
        reason = "what a stand-in does after each input, in order"
    )]
    fn settle_dispatcher(&mut self, n: usize) {
        let now = self.now;
        let dispatcher = &mut self.dispatchers[n];
        let (addr, zone, peers) = (
            dispatcher.addr,
            dispatcher.zone.clone(),
            dispatcher.peers.clone(),
        );
        let Some(process) = dispatcher.process.as_mut() else {
            return;
        };
        let own = now - process.began + 1;
        let changes = process.state_table.take_changed_keys();
        let mut tree = false;
        let mut map = None;
        for key in &changes {
            let value = process
                .state_table
                .get(key)
                .and_then(|f| f.value.clone().map(|v| (f.stamp, v)));
            match (key.as_str(), value) {
                ("stores", Some((_, value))) => map = PlacementMap::decode(&value).ok(),
                ("config/next", Some((stamp, value))) => process.next = Some((stamp.0, value)),
                (CONTROLLERS_KEY, Some((_, value))) => {
                    process.controllers = decode_addresses(&value).unwrap_or_default();
                    tree = true;
                }
                (key, _) if key.starts_with(DISPATCHER_KEY_PREFIX) => tree = true,
                _ => {}
            }
        }
        let fresh = process.state_table.staleness(own) <= FRESH;
        let active = process.state_table.get("config/active").map(|f| f.stamp);
        let next = process
            .next
            .clone()
            .filter(|(gen, _)| active == Some(Stamp(*gen, 0)));
        let held = dispatcher.force.as_ref().map(|f| f.0);
        let force = next
            .filter(|(gen, _)| held.is_none_or(|held| held < *gen) && (held.is_some() || fresh));
        if tree {
            let known = process
                .state_table
                .with_prefix(DISPATCHER_KEY_PREFIX)
                .filter_map(|f| {
                    replicated_state::Dispatcher::decode(f.value.as_ref()?)
                        .ok()
                        .map(|d| (d.addr, d.zone.to_string()))
                });
            let known: Vec<(SocketAddr, String)> = known.collect();
            let zone_of = |a: &SocketAddr| format!("z{}", (ip_end(*a) - 1) % 3);
            let controllers: Vec<(SocketAddr, String)> = process
                .controllers
                .iter()
                .map(|a| (*a, zone_of(a)))
                .collect();
            let mut list = Vec::new();
            if !controllers.is_empty() {
                list = tree_parents(addr, &zone, &known, &controllers, 2);
            }
            list.extend(peers);
            process.state_table.set_parents(own, list);
        }
        let messages = process.state_table.take_messages();
        if let Some((gen, body)) = force {
            self.dispatchers[n].force = Some((gen, body.clone()));
            self.note(|| format!("dispatcher {n} has {gen} in force"));
            self.checker.in_force(now, gen, &body);
        }
        if let Some(map) = map {
            self.map_learned(&map);
            self.dispatchers[n].map = Some(map);
        }
        for (to, msg) in messages {
            self.tell(addr, to, RELAY, msg.encode());
        }
    }
}

fn ip_end(addr: SocketAddr) -> usize {
    match addr.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 0,
    }
}

/// The controller at this place of the list, by its address.
pub fn place_of(addr: SocketAddr) -> usize {
    let place = ip_end(addr) - 1;
    debug_assert_eq!(controllers::address(place).ip(), addr.ip());
    place
}
