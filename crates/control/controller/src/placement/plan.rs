//! Which map should follow the one in place.

use super::load::Loads;
use super::observe::Partition;
use super::{ChainLengths, StorePlanner, FIRST_PLACEMENT_DELAY, TAKEOVER_GRACE};
use batch::wire::PlacementMap;
use chain_replication::{Member, Millis, View};
use std::net::SocketAddr;

impl StorePlanner {
    /// The map that should follow, if any. `head_since` is when this controller became the head.
    pub fn plan_placement(
        &self,
        now: Millis,
        current: Option<&PlacementMap>,
        head_since: Millis,
        lengths: ChainLengths,
    ) -> Option<PlacementMap> {
        let Some(current) = current else {
            let due = self
                .first_heartbeat_at
                .is_some_and(|at| now >= at + FIRST_PLACEMENT_DELAY);
            return if due {
                self.first_map(now, lengths)
            } else {
                None
            };
        };
        let settled = now >= head_since + TAKEOVER_GRACE;
        let mut next = current.clone();
        self.list_stores(&mut next);
        let mut loads = Loads::new(self, current);
        for (index, view) in current.partitions.iter().enumerate() {
            let partition = Partition {
                index,
                view,
                map: &next,
                loads: &loads,
            };
            if let Some(chain) = self.next_chain(now, partition, settled, lengths) {
                if let Some(planned) = next.partitions.get_mut(index) {
                    loads.chain_changed(index, planned, &chain);
                    *planned = chain;
                }
            }
        }
        if !settled && next.partitions == current.partitions {
            return None;
        }
        if settled {
            self.finish_retirements(now, &mut next, current, lengths, &loads);
        }
        next.number += 1;
        let same = next.partitions == current.partitions && next.stores == current.stores;
        (!same).then_some(next)
    }

    /// The chain that should follow in one partition, if it should be another one. Before the head
    /// has `settled`, only members that are replaced are dropped.
    fn next_chain(
        &self,
        now: Millis,
        partition: Partition<'_>,
        settled: bool,
        lengths: ChainLengths,
    ) -> Option<View> {
        let view = partition.view;
        if !settled && !self.only_replaced_are_missing(now, view) {
            return None;
        }
        let observed = self.observations(now, partition, lengths);
        let next = chain_replication::next_view(view, &observed, lengths.target, lengths.minimum)?;
        let mut dropped = view.members.iter().filter(|m| next.position(m).is_none());
        if !settled && dropped.any(|m| !self.is_replaced(m)) {
            return None;
        }
        // Where a store is dropped, all that remain must have sent a heartbeat recently.
        let silent_for = |m: &Member| {
            self.get(m.addr, m.id)
                .map_or(now, |store| store.silent_for(now))
        };
        chain_replication::remaining_members_recently_seen(view, &next, &silent_for).then_some(next)
    }

    /// Whether a member of this chain is replaced, and heartbeats of all others have arrived, so
    /// that none is taken for failed that has only not found this head yet.
    fn only_replaced_are_missing(&self, now: Millis, view: &View) -> bool {
        let is_there = |m: &Member| self.is_alive(now, m.addr, m.id) || self.is_replaced(m);
        view.members.iter().any(|m| self.is_replaced(m))
            && view.members.iter().chain(&view.joining).all(is_there)
    }

    /// Those of [`removed_tails`] whose leases have to run out first: a process that has ended has
    /// none.
    pub fn removed_tails_with_lease(
        &self,
        map: &PlacementMap,
        next: &PlacementMap,
    ) -> Vec<SocketAddr> {
        addresses(tails_not_in(map, next).filter(|tail| !self.is_replaced(tail)))
    }
}

/// The tails by one map that are not in their chains by the next.
fn tails_not_in<'a>(
    map: &'a PlacementMap,
    next: &'a PlacementMap,
) -> impl Iterator<Item = &'a Member> {
    let pairs = map.partitions.iter().zip(&next.partitions);
    pairs.filter_map(|(old, new)| {
        old.members
            .last()
            .filter(|tail| new.position(tail).is_none())
    })
}

/// The stores that serve reads of a partition by one map and are not in its chain by the next, each
/// once, in order.
pub fn removed_tails(map: &PlacementMap, next: &PlacementMap) -> Vec<SocketAddr> {
    addresses(tails_not_in(map, next))
}

fn addresses<'a>(members: impl Iterator<Item = &'a Member>) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = members.map(|m| m.addr).collect();
    addresses.sort();
    addresses.dedup();
    addresses
}
