//! How much the stores hold, or are to hold by a map.

use super::StorePlanner;
use batch::wire::{Heartbeat, PlacementMap};
use chain_replication::{Member, View};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Loads by partition and by store.
pub(super) struct Loads {
    /// Bytes of each partition.
    partition_bytes: Vec<u64>,
    /// Bytes of each store.
    store_bytes: BTreeMap<SocketAddr, u64>,
    /// Replicas of partitions on each store.
    replicas: BTreeMap<SocketAddr, u64>,
}

impl Loads {
    pub(super) fn new(stores: &StorePlanner, map: &PlacementMap) -> Self {
        let reported = |partition: usize, m: &Member| {
            let statuses = &stores.get(m.addr, m.id)?.heartbeat.statuses;
            statuses
                .iter()
                .find(|s| usize::from(s.partition) == partition)
                .map(|s| s.bytes)
        };
        let bytes = |(partition, view): (usize, &View)| {
            view.members
                .iter()
                .filter_map(|m| reported(partition, m))
                .max()
                .unwrap_or(0)
        };
        let mut loads = Loads {
            partition_bytes: map.partitions.iter().enumerate().map(bytes).collect(),
            store_bytes: BTreeMap::new(),
            replicas: BTreeMap::new(),
        };
        let nobody = View {
            number: 0,
            members: Vec::new(),
            joining: Vec::new(),
        };
        for (partition, view) in map.partitions.iter().enumerate() {
            loads.chain_changed(partition, &nobody, view);
        }
        loads
    }

    fn bytes_of(&self, partition: usize) -> u64 {
        self.partition_bytes.get(partition).copied().unwrap_or(0)
    }

    /// A partition's chain is another one now.
    pub(super) fn chain_changed(&mut self, partition: usize, old: &View, new: &View) {
        let bytes = self.bytes_of(partition);
        for member in old.members.iter().chain(&old.joining) {
            let load = self.store_bytes.entry(member.addr).or_insert(0);
            *load = load.saturating_sub(bytes);
            let replicas = self.replicas.entry(member.addr).or_insert(0);
            *replicas = replicas.saturating_sub(1);
        }
        for member in new.members.iter().chain(&new.joining) {
            let load = self.store_bytes.entry(member.addr).or_insert(0);
            *load = load.saturating_add(bytes);
            *self.replicas.entry(member.addr).or_insert(0) += 1;
        }
    }

    /// How many replicas a store has, or is to have.
    pub(super) fn replicas_on(&self, store: SocketAddr) -> u64 {
        self.replicas.get(&store).copied().unwrap_or(0)
    }

    /// Whether a store has capacity for a replica of a partition beside what it is to hold already.
    pub(super) fn fits(&self, partition: usize, heartbeat: &Heartbeat) -> bool {
        let held = self.store_bytes.get(&heartbeat.addr).copied().unwrap_or(0);
        let bytes = self.bytes_of(partition);
        bytes == 0 || held.saturating_add(bytes) <= heartbeat.capacity
    }
}
