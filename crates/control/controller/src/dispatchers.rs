//! The dispatchers that announce themselves to this controller, and the entries about them.
//!
//! Only the controller that published a dispatcher last removes it, or any other one once that
//! controller has been lost for long.

use crate::time::Time;
use chain_replication::Millis;
use peer_transport::Peer;
use relay_tree::{Stamp, StateEntry, StateTable};
use replicated_state::{Dispatcher, DISPATCHER_KEY_PREFIX, HELLO_INTERVAL_MS};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A dispatcher silent for so long is gone, or has gone to another controller.
const FAILURE_TIMEOUT: Millis = 3 * HELLO_INTERVAL_MS + HELLO_INTERVAL_MS / 2;
/// A dispatcher whose controller is lost has so long to come over to another one, which then
/// publishes it.
const ORPHAN_TIMEOUT: Millis = 2 * FAILURE_TIMEOUT;
/// How often those of other controllers are looked at.
const ORPHAN_SCAN_INTERVAL: Millis = 500;
/// Most dispatchers of one controller: all of the target size, several times over.
const MAX_DISPATCHERS: usize = 4_096;

struct TrackedDispatcher {
    last_received_at: Millis,
    node: String,
    dispatcher: Dispatcher,
    /// The stamp with which it was published here.
    published: Option<Stamp>,
}

/// Those that announce themselves here.
#[derive(Default)]
pub struct DispatcherTracker {
    /// The incarnation of this controller.
    owner: u64,
    by_addr: BTreeMap<SocketAddr, TrackedDispatcher>,
    /// Other controllers that published dispatchers and are not there, by incarnation, and since
    /// when.
    lost_owners: BTreeMap<u64, Millis>,
    last_scan_at: Millis,
}

impl DispatcherTracker {
    /// Those of a controller's incarnation.
    pub fn new(owner: u64) -> Self {
        DispatcherTracker {
            owner,
            ..DispatcherTracker::default()
        }
    }

    /// A dispatcher has announced itself.
    pub fn record_hello(&mut self, now: Millis, from: &Peer) {
        let dispatcher = Dispatcher {
            addr: from.addr,
            id: from.id,
            owner: self.owner,
            zone: from.zone.clone(),
        };
        let known = self.by_addr.get_mut(&from.addr);
        if let Some(tracked) = known.filter(|tracked| tracked.dispatcher == dispatcher) {
            tracked.last_received_at = now;
        } else if self.by_addr.len() < MAX_DISPATCHERS || self.by_addr.contains_key(&from.addr) {
            let node = from.node.to_string();
            let tracked = TrackedDispatcher {
                last_received_at: now,
                node,
                dispatcher,
                published: None,
            };
            self.by_addr.insert(from.addr, tracked);
        }
    }

    /// This process stalled itself, or was out of contact: each gets a whole period again.
    pub fn restart_timeouts(&mut self, now: Millis) {
        self.by_addr
            .values_mut()
            .for_each(|tracked| tracked.last_received_at = now);
    }

    /// The entries to be published. The time of day orders what different controllers publish; they
    /// differ by less than a dispatcher takes to go over.
    ///
    /// `live_owners`: incarnations of the other controllers that are there; none while this one is
    /// out of contact itself.
    pub fn entries_to_publish(
        &mut self,
        time: Time,
        state_table: &StateTable,
        live_owners: Option<&[u64]>,
    ) -> Vec<StateEntry> {
        let mut entries = Vec::new();
        self.by_addr
            .retain(|_, tracked| tracked.update(time, state_table, &mut entries));
        match live_owners {
            Some(live) => entries.extend(self.orphans(time, state_table, live)),
            None => self.lost_owners.clear(),
        }
        entries
    }

    /// Removes those whose controller has been lost for long, and that no other one publishes:
    /// no other controller would.
    fn orphans(
        &mut self,
        time: Time,
        state_table: &StateTable,
        live_owners: &[u64],
    ) -> Vec<StateEntry> {
        let now = time.now;
        if now < self.last_scan_at + ORPHAN_SCAN_INTERVAL {
            return Vec::new();
        }
        self.last_scan_at = now;
        let mut entries = Vec::new();
        let mut named = BTreeSet::new();
        for entry in state_table.with_prefix(DISPATCHER_KEY_PREFIX) {
            let decoded = entry.value.as_deref().map(Dispatcher::decode);
            let Some(Ok(dispatcher)) = decoded else {
                continue;
            };
            let owner = dispatcher.owner;
            if owner == self.owner || live_owners.contains(&owner) {
                continue;
            }
            named.insert(owner);
            let lost_since = *self.lost_owners.entry(owner).or_insert(now);
            let is_orphan = now.saturating_sub(lost_since) > ORPHAN_TIMEOUT;
            if is_orphan && !self.by_addr.contains_key(&dispatcher.addr) {
                let stamp = Stamp(time.unix_ms.max(entry.stamp.0 + 1), 1);
                entries.push(StateEntry {
                    key: entry.key.clone(),
                    stamp,
                    value: None,
                });
            }
        }
        self.lost_owners.retain(|owner, _| named.contains(owner));
        entries
    }
}

impl TrackedDispatcher {
    /// Adds what is to be published of it. False if it is gone.
    fn update(
        &mut self,
        time: Time,
        state_table: &StateTable,
        entries: &mut Vec<StateEntry>,
    ) -> bool {
        let key = format!("{DISPATCHER_KEY_PREFIX}{}", self.node);
        let newest = state_table.get(&key);
        let newest_stamp = newest.map(|entry| entry.stamp);
        if time.now.saturating_sub(self.last_received_at) > FAILURE_TIMEOUT {
            if newest_stamp == self.published && self.published.is_some() {
                let stamp = Stamp(time.unix_ms, 1);
                entries.push(StateEntry {
                    key: key.into(),
                    stamp,
                    value: None,
                });
            }
            return false;
        }
        // Another controller that received it before removes it; it has only come over to this one.
        let removed = newest.is_some_and(|entry| entry.value.is_none());
        if self.published.is_none() || newest_stamp.is_none() || removed {
            let stamp = Stamp(time.unix_ms.max(newest_stamp.map_or(0, |s| s.0 + 1)), 0);
            self.published = Some(stamp);
            let value = Some(self.dispatcher.encode());
            entries.push(StateEntry {
                key: key.into(),
                stamp,
                value,
            });
        }
        true
    }
}
