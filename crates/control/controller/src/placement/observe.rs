//! The stores as the chain's rule of the next view takes them, for one partition.

use super::load::Loads;
use super::{ChainLengths, StorePlanner};
use crate::heartbeat::zone_hash;
use batch::wire::{Heartbeat, PlacementMap, StoreInfo, StoreState};
use chain_replication::{Member, Millis, Observation, ReplicaStatus, View};

/// One partition of a map that is being planned.
#[derive(Clone, Copy)]
pub(super) struct Partition<'a> {
    /// Its number.
    pub(super) index: usize,
    /// Its chain now.
    pub(super) view: &'a View,
    /// The map, with all stores that are known.
    pub(super) map: &'a PlacementMap,
    pub(super) loads: &'a Loads,
}

/// Which store is chosen first for a partition: the lowest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Replicas that it has already.
    replicas: u64,
    /// By [`placement_rank`].
    order: u64,
}

impl StorePlanner {
    /// Enters new machines, and new identities of old ones, into a map.
    pub(super) fn list_stores(&self, map: &mut PlacementMap) {
        for store in self.by_addr.values() {
            let heartbeat = &store.heartbeat;
            let is_below_limit = map.stores.len() < super::MAX_STORES;
            match map.stores.iter_mut().find(|s| s.addr == heartbeat.addr) {
                Some(listed) if listed.id == heartbeat.id => {}
                Some(listed) => {
                    // An empty disk: what was being emptied is a newcomer now, unless it is on its
                    // way out.
                    listed.id = heartbeat.id;
                    listed.node = heartbeat.node.clone();
                    if listed.state == StoreState::Gone {
                        listed.state = StoreState::Up;
                    }
                }
                None if is_below_limit => map.stores.push(StoreInfo {
                    node: heartbeat.node.clone(),
                    addr: heartbeat.addr,
                    id: heartbeat.id,
                    zone: heartbeat.zone.clone(),
                    state: StoreState::Up,
                }),
                None => {}
            }
        }
    }

    /// The stores that are members of the partition's chain or may become one, those that should be
    /// chosen first first.
    pub(super) fn observations(
        &self,
        now: Millis,
        partition: Partition<'_>,
        lengths: ChainLengths,
    ) -> Vec<Observation> {
        let usable = self.count_usable(now, partition);
        let too_few = usable < lengths.minimum;
        let stores = self.by_addr.values().map(|store| &store.heartbeat);
        let observe = |heartbeat| self.observation(now, partition, heartbeat, too_few);
        let mut observed: Vec<(Rank, Observation)> = stores.filter_map(observe).collect();
        observed.sort_by_key(|(rank, s)| (*rank, s.member.addr));
        let mut observed: Vec<Observation> = observed.into_iter().map(|(_, s)| s).collect();
        self.leave_out_stalled(partition.view, lengths.minimum, usable, &mut observed);
        observed
    }

    /// A store with its rank; none if it can't serve the partition.
    fn observation(
        &self,
        now: Millis,
        partition: Partition<'_>,
        heartbeat: &Heartbeat,
        too_few: bool,
    ) -> Option<(Rank, Observation)> {
        let Partition {
            index,
            view,
            map,
            loads,
        } = partition;
        let listed = map.stores.iter().find(|s| s.addr == heartbeat.addr);
        let state = listed.map_or(StoreState::Up, |s| s.state);
        let is_inside = view
            .members
            .iter()
            .chain(&view.joining)
            .any(|m| m.id == heartbeat.id && m.addr == heartbeat.addr);
        if !is_inside && (state == StoreState::Retired || !loads.fits(index, heartbeat)) {
            return None;
        }
        // Who has fewest replicas is the first to be given one more.
        let rank = Rank {
            replicas: loads.replicas_on(heartbeat.addr),
            order: placement_rank(index, &heartbeat.node),
        };
        let observation = Observation {
            member: Member {
                id: heartbeat.id,
                addr: heartbeat.addr,
                since: 0,
            },
            alive: self.is_alive(now, heartbeat.addr, heartbeat.id),
            status: status_of(heartbeat, index),
            zone: zone_hash(&heartbeat.zone),
            draining: heartbeat.leaving,
            // One that is being emptied, and has not been released, helps out where too few others
            // are left.
            retiring: state != StoreState::Up && !(too_few && state == StoreState::Retiring),
        };
        Some((rank, observation))
    }

    /// Those whose disks take nothing, or have finished nothing for a while, count as gone: as
    /// members only while enough others remain, or can take their places (`usable` stores in all).
    /// Else nothing would be acknowledged without them either, and their replicas are worth
    /// keeping.
    fn leave_out_stalled(
        &self,
        view: &View,
        minimum: usize,
        usable: usize,
        observed: &mut [Observation],
    ) {
        let is_stalled = |s: &Observation| {
            self.by_addr
                .get(&s.member.addr)
                .is_some_and(|store| store.heartbeat.stalled)
        };
        let is_inside = |s: &Observation| {
            view.members
                .iter()
                .any(|member| member.is_same_process(&s.member))
        };
        let remaining = observed
            .iter()
            .filter(|s| s.alive && is_inside(s) && !is_stalled(s));
        let remaining = remaining.count();
        let continues = remaining >= minimum || remaining > 0 && usable >= minimum;
        for store in observed.iter_mut().filter(|s| is_stalled(s)) {
            store.alive &= is_inside(store) && !continues;
        }
    }

    /// How many stores that may be given partitions can serve in this chain: they are there, and
    /// hold a replica or have capacity for one.
    pub(super) fn count_usable(&self, now: Millis, partition: Partition<'_>) -> usize {
        let Partition {
            index,
            view,
            map,
            loads,
        } = partition;
        let holds = |s: &StoreInfo| {
            view.members
                .iter()
                .any(|m| m.addr == s.addr && m.id == s.id)
        };
        let is_usable = |s: &&StoreInfo| {
            let store = self
                .by_addr
                .get(&s.addr)
                .filter(|store| !store.heartbeat.stalled);
            let fits = store.is_some_and(|store| holds(s) || loads.fits(index, &store.heartbeat));
            s.state == StoreState::Up && self.is_alive(now, s.addr, s.id) && fits
        };
        map.stores.iter().filter(is_usable).count()
    }
}

/// The status of a store's replica of a partition, by its last heartbeat.
pub(super) fn status_of(heartbeat: &Heartbeat, partition: usize) -> Option<ReplicaStatus> {
    let mut statuses = heartbeat.statuses.iter();
    statuses
        .find(|s| usize::from(s.partition) == partition)
        .map(|s| s.status)
}

/// The rank of a store in the order of a partition: the same at every head. SplitMix64's finalizer
/// over the names, so that each partition has an order of its own.
pub(super) fn placement_rank(partition: usize, node: &str) -> u64 {
    let mut rank = zone_hash(node) ^ (partition as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    rank ^= rank >> 31;
    rank = rank.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    rank ^ (rank >> 29)
}
