//! The dispatchers that say to this controller that they are there, and the entries about them.

use bytes::Bytes;
use chain_replication::Millis;
use peer_transport::Peer;
use relay_tree::{Stamp, StateTable};
use replicated_state::{Dispatcher, DISPATCHER_KEY_PREFIX, HELLO_INTERVAL_MS};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A dispatcher silent for so long is gone, or has gone to another controller.
const SILENT: Millis = 3 * HELLO_INTERVAL_MS + HELLO_INTERVAL_MS / 2;
/// A dispatcher whose controller is lost has so long to come over to another one, which then tells of it.
const ORPHANED: Millis = 2 * SILENT;
/// How often those of other controllers are looked at.
const LOOK_EVERY: Millis = 500;
/// Dispatchers of one controller at most: all of the target size, several times over.
const MOST: usize = 4_096;

struct Heard {
    at: Millis,
    node: String,
    told: Dispatcher,
    stamp: Option<Stamp>,
}

/// Those that say so here.
#[derive(Default)]
pub struct Dispatchers {
    owner: u64,
    by_addr: BTreeMap<SocketAddr, Heard>,
    /// Other controllers that told of dispatchers and are not heard, by incarnation, and since when.
    lost: BTreeMap<u64, Millis>,
    looked: Millis,
}

impl Dispatchers {
    /// Those of a controller's incarnation.
    pub fn new(owner: u64) -> Self {
        Dispatchers {
            owner,
            ..Dispatchers::default()
        }
    }

    /// One has said so.
    pub fn heard(&mut self, now: Millis, from: &Peer) {
        let told = Dispatcher {
            addr: from.addr,
            id: from.id,
            owner: self.owner,
            zone: from.zone.clone(),
        };
        if let Some(heard) = self.by_addr.get_mut(&from.addr).filter(|h| h.told == told) {
            heard.at = now;
        } else if self.by_addr.len() < MOST || self.by_addr.contains_key(&from.addr) {
            let node = from.node.to_string();
            self.by_addr.insert(
                from.addr,
                Heard {
                    at: now,
                    node,
                    told,
                    stamp: None,
                },
            );
        }
    }

    /// This process stood still itself.
    pub fn woke(&mut self, now: Millis) {
        self.by_addr.values_mut().for_each(|h| h.at = now);
    }

    /// What is to be told to all. Only the controller that told of a dispatcher last says that it is gone. The time of day
    /// orders what different controllers tell; they differ by less than a dispatcher takes to go over.
    ///
    /// `alive`: incarnations of the other controllers that are heard; none while this one is out of contact itself.
    pub fn state_entries(
        &mut self,
        now: Millis,
        unix: u64,
        state_table: &StateTable,
        alive: Option<&[u64]>,
    ) -> Vec<(String, Stamp, Option<Bytes>)> {
        let mut state_entries = Vec::new();
        self.by_addr.retain(|_, heard| {
            let key = format!("{DISPATCHER_KEY_PREFIX}{}", heard.node);
            let newest = state_table.get(&key).map(|f| f.stamp);
            if now.saturating_sub(heard.at) > SILENT {
                if newest == heard.stamp && heard.stamp.is_some() {
                    state_entries.push((key, Stamp(unix, 1), None));
                }
                return false;
            }
            // Another controller that heard it before says that it is gone; it has only come over to this one.
            let gone = state_table.get(&key).is_some_and(|f| f.value.is_none());
            if heard.stamp.is_none() || newest.is_none() || gone {
                let stamp = Stamp(unix.max(newest.map_or(0, |s| s.0 + 1)), 0);
                heard.stamp = Some(stamp);
                state_entries.push((key, stamp, Some(heard.told.encode())));
            }
            true
        });
        match alive {
            Some(alive) => self.orphans(now, unix, state_table, alive, &mut state_entries),
            None => self.lost.clear(),
        }
        state_entries
    }

    /// Those whose controller has been lost for long, and that no other one tells of: nobody else would say that they are
    /// gone.
    fn orphans(
        &mut self,
        now: Millis,
        unix: u64,
        state_table: &StateTable,
        alive: &[u64],
        state_entries: &mut Vec<(String, Stamp, Option<Bytes>)>,
    ) {
        if now < self.looked + LOOK_EVERY {
            return;
        }
        self.looked = now;
        let mut named = BTreeSet::new();
        for entry in state_table.with_prefix(DISPATCHER_KEY_PREFIX) {
            let Some(told) = entry
                .value
                .as_deref()
                .and_then(|value| Dispatcher::decode(value).ok())
            else {
                continue;
            };
            if told.owner == self.owner || alive.contains(&told.owner) {
                continue;
            }
            named.insert(told.owner);
            let since = *self.lost.entry(told.owner).or_insert(now);
            if now.saturating_sub(since) > ORPHANED && !self.by_addr.contains_key(&told.addr) {
                let stamp = Stamp(unix.max(entry.stamp.0 + 1), 1);
                state_entries.push((entry.key.to_string(), stamp, None));
            }
        }
        self.lost.retain(|owner, _| named.contains(owner));
    }
}
