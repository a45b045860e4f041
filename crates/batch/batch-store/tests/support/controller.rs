//! A controller that is always there: the map of the stores by the controllers' own planner.

use super::losses::Planted;
use batch::wire::{Heartbeat, LeaseGrant, Message, PlacementMap, StoreState};
use bytes::Bytes;
use controller::placement::{removed_tails, ChainLengths, StorePlanner, LEASE_DURATION};
use std::net::SocketAddr;

/// A tail that gets no more leases is asked about again with each plan; so long without that, it
/// gets them again.
const WITHHELD: u64 = 300;

pub struct Controller {
    stores: StorePlanner,
    lengths: ChainLengths,
    withheld: (Vec<SocketAddr>, u64),
    released: Vec<SocketAddr>,
    planted: Option<Planted>,
    pub map: Option<PlacementMap>,
}

impl Controller {
    /// One for chains that bear so many losses at once.
    pub fn new(budget: usize, planted: Option<Planted>) -> Self {
        let lengths = ChainLengths {
            target: budget + 2,
            minimum: budget + 1,
        };
        let stores = StorePlanner::default();
        Controller {
            stores,
            lengths,
            withheld: (Vec::new(), 0),
            released: Vec::new(),
            planted,
            map: None,
        }
    }

    /// A heartbeat is answered with a lease, and with the map if the store has an older one.
    pub fn handle_heartbeat(
        &mut self,
        now: u64,
        mut heartbeat: Heartbeat,
    ) -> (Option<LeaseGrant>, Option<Bytes>) {
        let number = self.map.as_ref().map_or(0, |map| map.number);
        let (ends, at) = &self.withheld;
        let withheld = now < at + WITHHELD && ends.contains(&heartbeat.addr);
        let grant = LeaseGrant {
            sent_ms: heartbeat.sent_ms,
            lease_ms: LEASE_DURATION,
            map: number,
        };
        let map = self
            .map
            .as_ref()
            .filter(|map| map.number > heartbeat.map)
            .map(Message::encode);
        match self.planted {
            Some(Planted::JoinerCountsAtOnce) => {
                for said in &mut heartbeat.statuses {
                    said.status.caught_up = true;
                    said.status.in_sync_view = said.status.view;
                }
            }
            Some(Planted::StalledDiskIsWaitedFor) => heartbeat.stalled = false,
            _ => {}
        }
        let (addr, sent_ms) = (heartbeat.addr, heartbeat.sent_ms);
        self.stores.record_heartbeat(now, heartbeat);
        if !withheld {
            self.stores
                .lease_granted(now, addr, sent_ms, now + LEASE_DURATION);
        }
        ((!withheld).then_some(grant), map)
    }

    /// A machine is to be emptied; one at a time.
    pub fn retire(&mut self, now: u64, addr: SocketAddr) {
        let Some(map) = &self.map else { return };
        if map.stores.iter().any(|s| s.state == StoreState::Retiring) {
            return;
        }
        let Some(store) = map.stores.iter().find(|s| s.addr == addr) else {
            return;
        };
        if let Ok(Some(next)) = self.stores.retire(now, map, &store.node, self.lengths) {
            self.map = Some(next);
        }
    }

    /// Those that were released since the last call: their machines may go.
    pub fn retired(&mut self) -> Vec<SocketAddr> {
        let Some(map) = &self.map else {
            return Vec::new();
        };
        let at_once = self.planted == Some(Planted::RetiredAtOnce);
        let released =
            |state| state == StoreState::Retired || at_once && state == StoreState::Retiring;
        let new = map
            .stores
            .iter()
            .filter(|s| released(s.state) && !self.released.contains(&s.addr));
        let new: Vec<SocketAddr> = new.map(|s| s.addr).collect();
        self.released.extend(&new);
        new
    }

    pub fn plan(&mut self, now: u64) -> Option<PlacementMap> {
        let next = self
            .stores
            .plan_placement(now, self.map.as_ref(), 0, self.lengths)?;
        let ends = self
            .map
            .as_ref()
            .map(|map| removed_tails(map, &next))
            .unwrap_or_default();
        if self.stores.has_live_lease(now, &ends) {
            self.withheld = (ends, now);
            return None;
        }
        self.map = Some(next.clone());
        Some(next)
    }
}
