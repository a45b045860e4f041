//! The first map of a deployment.

use super::observe::placement_rank;
use super::{ChainLengths, StorePlanner};
use batch::wire::{Placement, PlacementMap, StoreInfo, MAX_PARTITIONS};
use chain_replication::{Member, Millis, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// So many partitions a store, and no fewer than [`MIN_PARTITIONS`] in all: a store that is lost
/// leaves its work to several, and one that comes takes its share in small copies.
const PARTITIONS_PER_STORE: usize = 2;
const MIN_PARTITIONS: usize = 16;

/// Into how many partitions the jobs are split where so many stores begin: a power of two. It stays
/// as long as the deployment does.
pub fn partitions_for(stores: usize) -> usize {
    let wanted = stores
        .saturating_mul(PARTITIONS_PER_STORE)
        .clamp(MIN_PARTITIONS, MAX_PARTITIONS);
    wanted.next_power_of_two().min(MAX_PARTITIONS)
}

/// What a store has of the first map so far.
#[derive(Clone, Copy, Default)]
struct Assigned {
    heads: usize,
    tails: usize,
    replicas: usize,
}

impl StorePlanner {
    /// Each partition starts on stores of different zones, another first one for each. None while
    /// there are too few stores.
    pub(super) fn first_map(&self, now: Millis, lengths: ChainLengths) -> Option<PlacementMap> {
        let mut map = PlacementMap {
            number: 1,
            partitions: Vec::new(),
            stores: Vec::new(),
            placement: Placement::ByJob,
        };
        self.list_stores(&mut map);
        let usable: Vec<StoreInfo> = map
            .stores
            .iter()
            .filter(|store| self.takes_writes(now, store))
            .cloned()
            .collect();
        if usable.len() < lengths.minimum {
            return None;
        }
        let mut assigned: BTreeMap<SocketAddr, Assigned> = BTreeMap::new();
        for partition in 0..partitions_for(usable.len()) {
            let chosen = chain_over_zones(partition, &usable, lengths.target, &assigned);
            for (position, store) in chosen.iter().enumerate() {
                let assigned = assigned.entry(store.addr).or_default();
                assigned.replicas += 1;
                assigned.heads += usize::from(position == 0);
                assigned.tails += usize::from(position + 1 == chosen.len());
            }
            let member = |s: &StoreInfo| Member {
                id: s.id,
                addr: s.addr,
                since: 1,
            };
            let members = chosen.iter().map(member).collect();
            map.partitions.push(View {
                number: 1,
                members,
                joining: Vec::new(),
            });
        }
        Some(map)
    }
}

/// The chain of a partition: in different zones as far as there are any, and each position given to
/// the store that has fewest of its kind.
fn chain_over_zones(
    partition: usize,
    stores: &[StoreInfo],
    length: usize,
    assigned: &BTreeMap<SocketAddr, Assigned>,
) -> Vec<StoreInfo> {
    let mut chosen: Vec<StoreInfo> = Vec::new();
    // The head first, then the tail, then those between them.
    for turn in 0..length.min(stores.len()) {
        let free = stores
            .iter()
            .filter(|s| chosen.iter().all(|c| c.addr != s.addr));
        let next = free.min_by_key(|s| {
            let same_zone = chosen.iter().any(|c| c.zone == s.zone);
            let has = assigned.get(&s.addr).copied().unwrap_or_default();
            let of_the_kind = match turn {
                0 => has.heads,
                1 => has.tails,
                _ => 0,
            };
            let rank = placement_rank(partition, &s.node);
            (same_zone, of_the_kind, has.replicas, rank, s.addr)
        });
        let Some(next) = next else { break };
        chosen.insert(turn.min(1), next.clone());
    }
    chosen
}
