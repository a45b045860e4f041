//! Stand-ins for stores: they heartbeat, say how their copies stand, and hold leases.

use super::{Actor, Event, World, PEER};
use batch::wire::{
    Heartbeat, LeaseGrant, Message, PartitionStatus, PlacementMap, HEARTBEAT,
    HEARTBEAT_INTERVAL_MS, LEASE_GRANT,
};
use bytes::Bytes;
use chain_replication::{ReplicaStatus, View};
use relay_tree::{Follow, Role, StateTable};
use replicated_state::{decode_addresses, CONTROLLERS_KEY, RELAY};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const TICK_INTERVAL: u64 = 100;
/// Without a grant for so long it says that it is there to all controllers.
const GRANT_LATE: u64 = 900;

struct Process {
    state_table: StateTable,
    incarnation: u64,
    began: u64,
    controllers: Vec<SocketAddr>,
    map: Option<PlacementMap>,
    map_at: u64,
    leased_until: u64,
    granted_at: u64,
    answered_ms: u64,
    heartbeat_at: u64,
    leaving: bool,
}

pub struct StoreStandIn {
    pub addr: SocketAddr,
    pub node: String,
    pub zone: String,
    pub id: u64,
    peers: Vec<SocketAddr>,
    process: Option<Process>,
    pub frozen_until: u64,
    pub troubled_at: u64,
    /// The last long cut: from when to when.
    pub cut: Option<(u64, u64)>,
    /// On its disk, for each partition: the newest view in which it was in sync.
    in_sync: BTreeMap<usize, u64>,
}

impl StoreStandIn {
    pub fn new(n: usize, founders: &[SocketAddr]) -> StoreStandIn {
        StoreStandIn {
            addr: SocketAddr::from(([10, 0, 2, n as u8 + 1], PEER + 2)),
            node: format!("storage-{n}"),
            zone: format!("z{}", n % 3),
            id: 0,
            peers: founders
                .iter()
                .map(|ctl| super::dispatchers::peer_of(*ctl))
                .collect(),
            process: None,
            frozen_until: 0,
            troubled_at: 0,
            cut: None,
            in_sync: BTreeMap::new(),
        }
    }

    pub fn is_up(&self) -> bool {
        self.process.is_some()
    }

    /// The number of the map that it knows.
    pub fn map_number(&self) -> u64 {
        self.process
            .as_ref()
            .and_then(|p| p.map.as_ref())
            .map_or(0, |m| m.number)
    }

    /// Whether it may serve reads now, as it sees it.
    pub fn leased(&self, now: u64) -> bool {
        self.process
            .as_ref()
            .is_some_and(|p| now - p.began + 1 < p.leased_until)
    }

    fn view(&self, partition: usize) -> Option<&View> {
        self.process
            .as_ref()?
            .map
            .as_ref()?
            .partitions
            .get(partition)
    }
}

fn member(view: &View, addr: SocketAddr, id: u64) -> bool {
    view.members.iter().any(|m| m.addr == addr && m.id == id)
}

impl World {
    pub fn start_store(&mut self, n: usize) {
        let incarnation = self.incarnation();
        let now = self.now;
        let peers = self.listed(&self.stores[n].peers);
        let store = &mut self.stores[n];
        if store.is_up() {
            return;
        }
        store.peers = peers;
        if store.id == 0 {
            store.id = incarnation;
        }
        let mut state_table =
            StateTable::new(incarnation, store.addr, Follow::First, Role::Relay).with_id(store.id);
        state_table.set_parents(1, store.peers.clone());
        store.process = Some(Process {
            state_table,
            incarnation,
            began: now,
            controllers: Vec::new(),
            map: None,
            map_at: now,
            leased_until: 0,
            granted_at: 0,
            answered_ms: 0,
            heartbeat_at: 0,
            leaving: false,
        });
        store.troubled_at = now;
        self.note(|| format!("store {n} started"));
        self.after(
            1,
            Event::Tick {
                who: Actor::Store(n),
                incarnation,
            },
        );
    }

    pub fn kill_store(&mut self, n: usize, back: u64, wiped: bool) {
        self.note(|| format!("store {n} killed, wiped: {wiped}"));
        let store = &mut self.stores[n];
        store.process = None;
        store.troubled_at = u64::MAX;
        if wiped {
            store.id = 0;
            store.in_sync.clear();
        }
        let addr = store.addr;
        self.network.reset(addr);
        self.after(
            back,
            Event::Start {
                who: Actor::Store(n),
            },
        );
    }

    /// SIGTERM: it goes on for a moment, and says so.
    pub fn terminate_store(&mut self, n: usize) {
        self.note(|| format!("store {n} has SIGTERM"));
        if let Some(process) = self.stores[n].process.as_mut() {
            process.leaving = true;
            self.stores[n].troubled_at = u64::MAX;
        }
        self.heartbeat_store(n);
    }

    pub fn tick_store(&mut self, n: usize, incarnation: u64) {
        let now = self.now;
        let frozen = self.stores[n].frozen_until;
        let Some(process) = self.stores[n]
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
                    who: Actor::Store(n),
                    incarnation,
                },
            );
        }
        let own = now - process.began + 1;
        process.state_table.tick(own);
        let due = own >= process.heartbeat_at + HEARTBEAT_INTERVAL_MS;
        self.settle_store(n);
        self.copy(n);
        if due {
            self.heartbeat_store(n);
        }
        self.after(
            TICK_INTERVAL,
            Event::Tick {
                who: Actor::Store(n),
                incarnation,
            },
        );
    }

    /// Copies become whole some time after a map came, while the ones before are there.
    fn copy(&mut self, n: usize) {
        let now = self.now;
        let store = &self.stores[n];
        let Some(process) = &store.process else {
            return;
        };
        if now < process.map_at + 250 {
            return;
        }
        let Some(map) = &process.map else { return };
        let mut reached = Vec::new();
        for (partition, view) in map.partitions.iter().enumerate() {
            let Some(place) = view
                .members
                .iter()
                .position(|m| m.addr == store.addr && m.id == store.id)
            else {
                continue;
            };
            let up = place.checked_sub(1).and_then(|p| view.members.get(p));
            let ready = match up {
                None => true,
                Some(m) => self.stores.iter().any(|s| {
                    s.addr == m.addr
                        && s.is_up()
                        && s.frozen_until <= now
                        && s.id == m.id
                        && s.in_sync.get(&partition) == Some(&view.number)
                }),
            };
            if ready {
                reached.push((partition, view.number));
            }
        }
        for (partition, number) in reached {
            let at = self.stores[n].in_sync.entry(partition).or_default();
            *at = number.max(*at);
        }
    }

    #[expect(
        clippy::too_many_lines,
        reason = "what a stand-in says of each partition, in order"
    )]
    fn heartbeat_store(&mut self, n: usize) {
        let now = self.now;
        let store = &mut self.stores[n];
        let (addr, id, in_sync) = (store.addr, store.id, store.in_sync.clone());
        let (node, zone) = (store.node.as_str().into(), store.zone.as_str().into());
        let peers = store.peers.clone();
        let Some(process) = store.process.as_mut() else {
            return;
        };
        let own = now - process.began + 1;
        process.heartbeat_at = own;
        let mut statuses = Vec::new();
        for (partition, view) in process
            .map
            .iter()
            .flat_map(|m| m.partitions.iter().enumerate())
        {
            let joins = view.joining.iter().any(|m| m.addr == addr && m.id == id);
            if joins || member(view, addr, id) {
                let in_sync_view = in_sync.get(&partition).copied().unwrap_or(0);
                let caught_up = joins && now >= process.map_at + 400;
                let status = ReplicaStatus {
                    id,
                    view: view.number,
                    in_sync_view,
                    last_received: 5,
                    caught_up,
                };
                statuses.push(PartitionStatus {
                    partition: partition as u16,
                    status,
                    batch_jobs: 0,
                    bytes: 0,
                });
            }
        }
        let heartbeat = Heartbeat {
            addr,
            id,
            node,
            zone,
            sent_ms: own,
            map: process.map.as_ref().map_or(0, |m| m.number),
            statuses,
            disk_used: 0,
            disk_size: 1,
            leaving: process.leaving,
            capacity: 1,
            stalled: false,
            answered_ms: process.answered_ms,
        };
        let mut to = process.controllers.clone();
        to.extend(
            peers
                .into_iter()
                .filter(|p| !process.controllers.contains(p)),
        );
        if own.saturating_sub(process.granted_at) < GRANT_LATE {
            to.truncate(1);
        }
        let body = heartbeat.encode();
        for controller in to {
            self.tell(addr, controller, HEARTBEAT, body.clone());
        }
    }

    pub fn store_receives(&mut self, n: usize, from: SocketAddr, kind: u16, body: &Bytes) {
        let now = self.now;
        let Some(process) = self.stores[n].process.as_mut() else {
            return;
        };
        let own = now - process.began + 1;
        if kind == RELAY {
            if let Ok(msg) = relay_tree::Message::decode(body) {
                process.state_table.handle_message(own, from, msg);
            }
            return self.settle_store(n);
        }
        if let Some(grant) = LeaseGrant::decode(body)
            .ok()
            .filter(|_| kind == LEASE_GRANT)
        {
            process.granted_at = own;
            process.answered_ms = process.answered_ms.max(grant.sent_ms);
            if process.map.as_ref().is_some_and(|m| m.number >= grant.map) && grant.sent_ms <= own {
                process.leased_until = process.leased_until.max(grant.sent_ms + grant.lease_ms);
                self.leases_hold(n);
            }
        }
    }

    fn settle_store(&mut self, n: usize) {
        let now = self.now;
        let store = &mut self.stores[n];
        let Some(process) = store.process.as_mut() else {
            return;
        };
        let own = now - process.began + 1;
        let mut learned = None;
        for key in process.state_table.take_changed_keys() {
            let Some(value) = process.state_table.get(&key).and_then(|f| f.value.clone()) else {
                continue;
            };
            match key.as_str() {
                "stores" => learned = PlacementMap::decode(&value).ok(),
                CONTROLLERS_KEY => {
                    process.controllers = decode_addresses(&value).unwrap_or_default();
                    let mut list = store.peers.clone();
                    list.extend(
                        process
                            .controllers
                            .iter()
                            .filter(|k| !store.peers.contains(k)),
                    );
                    process.state_table.set_parents(own, list);
                }
                _ => {}
            }
        }
        let newer = |map: &PlacementMap| {
            process
                .map
                .as_ref()
                .is_none_or(|old| old.number < map.number)
        };
        if let Some(map) = learned.filter(newer) {
            process.map = Some(map.clone());
            process.map_at = now;
            self.map_learned(&map);
        }
        let addr = self.stores[n].addr;
        let Some(process) = self.stores[n].process.as_mut() else {
            return;
        };
        let messages = process.state_table.take_messages();
        for (to, msg) in messages {
            self.tell(addr, to, RELAY, msg.encode());
        }
    }

    /// Somebody knows this map: whoever it leaves out may serve no reads any more.
    pub fn map_learned(&mut self, map: &PlacementMap) {
        let newer = self
            .checker
            .newest_map
            .as_ref()
            .is_none_or(|m| m.number < map.number);
        self.checker.map(self.now, map, map.encode());
        if newer {
            for n in 0..self.stores.len() {
                self.leases_hold(n);
            }
        }
    }

    /// This store holds no lease for a partition that the newest map takes from it.
    fn leases_hold(&mut self, n: usize) {
        let store = &self.stores[n];
        let Some(newest) = self
            .checker
            .newest_map
            .as_ref()
            .filter(|m| m.number > store.map_number())
        else {
            return;
        };
        if !store.leased(self.now) {
            return;
        }
        for (partition, view) in newest.partitions.iter().enumerate() {
            let Some(old) = store.view(partition) else {
                continue;
            };
            let tail = old
                .members
                .last()
                .is_some_and(|m| m.addr == store.addr && m.id == store.id);
            if tail && !member(view, store.addr, store.id) {
                let what = format!(
                    "store {n} may serve reads of partition {partition} by map {}, and map {} is without it",
                    store.map_number(),
                    newest.number
                );
                return self.checker.broke(self.now, what);
            }
        }
    }
}
