//! The stores as the head knows them: their heartbeats, and the leases that they hold.

use super::{FAILURE_TIMEOUT, MAX_STORES, ONE_WAY_TIMEOUT};
use batch::wire::{Heartbeat, PlacementMap, StoreInfo, StoreState};
use chain_replication::{Member, Millis};
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A grant that a store has not confirmed.
#[derive(Debug, Clone, Copy)]
struct UnconfirmedGrant {
    /// The `sent_ms` of the heartbeat that it answers.
    sent_ms: u64,
    granted_at: Millis,
}

/// What is known of a store.
pub(super) struct TrackedStore {
    last_received_at: Millis,
    pub(super) heartbeat: Heartbeat,
    /// Its lease ends by then at the latest.
    lease_until: Millis,
    /// The oldest grant that it has not confirmed.
    unconfirmed: Option<UnconfirmedGrant>,
    /// It has confirmed a grant of this head: it runs now, and its heartbeat isn't one that was
    /// long on its way.
    has_confirmed_grant: bool,
}

impl TrackedStore {
    pub(super) fn silent_for(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_received_at)
    }

    /// Whether its heartbeats come and it receives nothing: it can't take part in a chain.
    fn is_cut_one_way(&self, now: Millis) -> bool {
        let open = self.unconfirmed.as_ref();
        open.is_some_and(|grant| now.saturating_sub(grant.granted_at) >= ONE_WAY_TIMEOUT)
    }

    fn is_alive(&self, now: Millis) -> bool {
        self.silent_for(now) < FAILURE_TIMEOUT && !self.is_cut_one_way(now)
    }
}

/// A store as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreStatus {
    /// The machine's name.
    pub node: CompactString,
    /// Its state by the map.
    pub state: StoreState,
    /// Whether its heartbeats come, and it receives the answers.
    pub alive: bool,
}

/// What the head knows of the stores. Times are this process's steady milliseconds.
#[derive(Default)]
pub struct StorePlanner {
    pub(super) by_addr: BTreeMap<SocketAddr, TrackedStore>,
    /// When the first heartbeat came.
    pub(super) first_heartbeat_at: Option<Millis>,
}

impl StorePlanner {
    /// A heartbeat has come. Tells whether it is the first of that store.
    pub fn record_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) -> bool {
        self.first_heartbeat_at.get_or_insert(now);
        let before = self.by_addr.get(&heartbeat.addr);
        let is_new = before.is_none_or(|store| store.heartbeat.id != heartbeat.id);
        if self.by_addr.len() < MAX_STORES || before.is_some() {
            let lease_until = before.map_or(0, |store| store.lease_until);
            // Another process counts its own time from its own start.
            let same = before.filter(|store| {
                store.heartbeat.id == heartbeat.id && store.heartbeat.sent_ms <= heartbeat.sent_ms
            });
            let open = same.and_then(|store| store.unconfirmed);
            let unconfirmed = open.filter(|grant| grant.sent_ms > heartbeat.answered_ms);
            let confirms = open.is_some() && unconfirmed.is_none();
            let store = TrackedStore {
                last_received_at: now,
                lease_until,
                unconfirmed,
                has_confirmed_grant: same.is_some_and(|s| s.has_confirmed_grant) || confirms,
                heartbeat,
            };
            self.by_addr.insert(store.heartbeat.addr, store);
        }
        is_new
    }

    /// The heartbeat that a store sent at `sent_ms` is answered with a lease that ends by `until`
    /// at the latest.
    pub fn lease_granted(&mut self, now: Millis, store: SocketAddr, sent_ms: u64, until: Millis) {
        if let Some(store) = self.by_addr.get_mut(&store) {
            store.lease_until = store.lease_until.max(until);
            store.unconfirmed.get_or_insert(UnconfirmedGrant {
                sent_ms,
                granted_at: now,
            });
        }
    }

    /// Whether one of these may still have a lease.
    pub fn has_live_lease(&self, now: Millis, stores: &[SocketAddr]) -> bool {
        let is_live = |store: &TrackedStore| store.lease_until > now;
        stores
            .iter()
            .any(|addr| self.by_addr.get(addr).is_some_and(is_live))
    }

    /// This process stalled itself, so the missing heartbeats are no evidence of a failure.
    pub fn reset_after_stall(&mut self, now: Millis) {
        for store in self.by_addr.values_mut() {
            store.last_received_at = now;
            store.unconfirmed = None;
            store.has_confirmed_grant = false;
        }
    }

    /// Forgets all: another head begins.
    pub fn reset(&mut self) {
        self.by_addr.clear();
        self.first_heartbeat_at = None;
    }

    /// The stores of the map as operators see them.
    pub fn statuses(&self, now: Millis, map: &PlacementMap) -> Vec<StoreStatus> {
        let status = |store: &StoreInfo| StoreStatus {
            node: store.node.clone(),
            state: store.state,
            alive: self.is_alive(now, store.addr, store.id),
        };
        map.stores.iter().map(status).collect()
    }

    pub(super) fn get(&self, addr: SocketAddr, id: u64) -> Option<&TrackedStore> {
        self.by_addr
            .get(&addr)
            .filter(|store| store.heartbeat.id == id)
    }

    pub(super) fn is_alive(&self, now: Millis, addr: SocketAddr, id: u64) -> bool {
        self.get(addr, id).is_some_and(|store| store.is_alive(now))
    }

    /// Alive, and its disk takes what is written.
    pub(super) fn takes_writes(&self, now: Millis, store: &StoreInfo) -> bool {
        self.get(store.addr, store.id)
            .is_some_and(|s| s.is_alive(now) && !s.heartbeat.stalled)
    }

    /// Whether another store runs at the address of this one, with another disk. Then the process
    /// that had the place, and any lease of it, has ended: an address belongs to one machine. It
    /// runs now, as it has confirmed a grant of this head; a delayed heartbeat alone would prove
    /// nothing about the present.
    pub(super) fn is_replaced(&self, member: &Member) -> bool {
        self.by_addr
            .get(&member.addr)
            .is_some_and(|store| store.heartbeat.id != member.id && store.has_confirmed_grant)
    }
}
