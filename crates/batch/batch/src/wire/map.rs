//! Which stores keep what, and what stores, controllers and the stores of one chain tell each other.

use super::{home_partition, partition_of, MAX_LIST, MAX_NAME, MAX_PARTITIONS};
use crate::codec::{
    bytes as bytes_of, list, put_address, put_bytes, put_list, put_text, socket_address, text,
};
use binrw::binrw;
use bytes::Bytes;
use chain_replication::{ReplicaStatus, View};
use compact_str::CompactString;
use std::net::SocketAddr;

/// How a store stands in the map.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// It may be given partitions.
    Up = 0,
    /// It is being emptied.
    Retiring = 1,
    /// It holds nothing more: its machine may go.
    Retired = 2,
    /// It was silent for long.
    Gone = 3,
}

/// One store of the map.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreInfo {
    /// The machine's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub node: CompactString,
    /// Its peer address.
    #[br(parse_with = socket_address)]
    #[bw(write_with = put_address)]
    pub addr: SocketAddr,
    /// The id on its disk.
    pub id: u64,
    /// Its zone.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub zone: CompactString,
    /// How it stands.
    pub state: StoreState,
}

/// How jobs are spread over the partitions of a map. It never changes in a deployment: jobs would be looked for elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// By the host alone: the maps of the version before, which say nothing of it.
    #[default]
    ByHost,
    /// By the host and the job's id: the jobs of one host are on all partitions.
    ByJob,
}

/// Set in the first word of a map that says [`Placement::ByJob`]; the rest is the map's number. The version before never
/// set it.
const BY_JOB: u64 = 1 << 63;

impl Placement {
    fn bit(self) -> u64 {
        match self {
            Placement::ByHost => 0,
            Placement::ByJob => BY_JOB,
        }
    }

    fn of_word(word: u64) -> Self {
        if word & BY_JOB == 0 {
            Placement::ByHost
        } else {
            Placement::ByJob
        }
    }
}

/// Which stores keep which partition: the value of the entry `stores`.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementMap {
    #[br(temp)]
    #[bw(calc = number & !BY_JOB | placement.bit())]
    first: u64,
    /// It rises with every change.
    #[br(calc = first & !BY_JOB)]
    #[bw(ignore)]
    pub number: u64,
    /// The chain of each partition (none before the first map).
    #[br(parse_with = list, args(MAX_PARTITIONS))]
    #[bw(write_with = put_list, args(MAX_PARTITIONS))]
    pub partitions: Vec<View>,
    /// All stores that were ever seen, unless forgotten.
    #[br(parse_with = list, args(MAX_LIST))]
    #[bw(write_with = put_list, args(MAX_LIST))]
    pub stores: Vec<StoreInfo>,
    /// How jobs are spread over the partitions.
    #[br(calc = Placement::of_word(first))]
    #[bw(ignore)]
    pub placement: Placement,
}

impl PlacementMap {
    /// The home partition of a host: its head owns the quotas of the host's routes.
    pub fn home_partition(&self, host: &str) -> usize {
        home_partition(host, self.partitions.len())
    }

    /// The partition that keeps a batch job.
    pub fn partition_of(&self, host: &str, batch_job: &str) -> usize {
        match self.placement {
            Placement::ByHost => self.home_partition(host),
            Placement::ByJob => partition_of(host, batch_job, self.partitions.len()),
        }
    }

    /// Whether a partition may keep batch jobs of a host.
    pub fn may_keep(&self, partition: usize, host: &str) -> bool {
        match self.placement {
            Placement::ByHost => self.home_partition(host) == partition,
            Placement::ByJob => partition < self.partitions.len(),
        }
    }

    /// The head of a partition.
    pub fn head(&self, partition: usize) -> Option<SocketAddr> {
        self.partitions
            .get(partition)?
            .members
            .first()
            .map(|m| m.addr)
    }

    /// The tail of a partition.
    pub fn tail(&self, partition: usize) -> Option<SocketAddr> {
        self.partitions
            .get(partition)?
            .members
            .last()
            .map(|m| m.addr)
    }

    /// The head of the partition that keeps a batch job.
    pub fn head_of(&self, host: &str, batch_job: &str) -> Option<SocketAddr> {
        self.head(self.partition_of(host, batch_job))
    }

    /// The tail of the partition that keeps a batch job.
    pub fn tail_of(&self, host: &str, batch_job: &str) -> Option<SocketAddr> {
        self.tail(self.partition_of(host, batch_job))
    }

    /// The stores that are heads of partitions which may keep batch jobs of a host, in the order of their addresses.
    pub fn heads_of(&self, host: &str) -> Vec<SocketAddr> {
        let numbers = (0..self.partitions.len()).filter(|number| self.may_keep(*number, host));
        let mut heads: Vec<SocketAddr> = numbers.filter_map(|number| self.head(number)).collect();
        heads.sort_unstable();
        heads.dedup();
        heads
    }
}

/// How one partition stands at a store.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct PartitionStatus {
    /// The partition.
    pub partition: u16,
    /// Its chain's status.
    pub status: ReplicaStatus,
    /// How many batch jobs it keeps.
    pub batch_jobs: u32,
    /// Bytes that its batch jobs will need at most.
    pub bytes: u64,
}

/// A store's word to the controllers, every [`HEARTBEAT_INTERVAL_MS`](super::HEARTBEAT_INTERVAL_MS).
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The store's peer address.
    #[br(parse_with = socket_address)]
    #[bw(write_with = put_address)]
    pub addr: SocketAddr,
    /// The id on its disk.
    pub id: u64,
    /// The machine's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub node: CompactString,
    /// Its zone.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub zone: CompactString,
    /// When it was sent, on the store's own steady clock: comes back in [`LeaseGrant`].
    pub sent_ms: u64,
    /// The number of the map that it knows (0: none).
    pub map: u64,
    /// The partitions of which it is a member or joiner.
    #[br(parse_with = list, args(MAX_PARTITIONS))]
    #[bw(write_with = put_list, args(MAX_PARTITIONS))]
    pub statuses: Vec<PartitionStatus>,
    /// Bytes of its disk in use.
    pub disk_used: u64,
    /// Bytes of its disk in all.
    pub disk_size: u64,
    /// It was told to end: its partitions should go on without it.
    #[br(map = |b: u8| b != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    pub leaving: bool,
    /// Bytes of batch jobs that it can hold, by its memory and its disk: it is not chosen for a copy beyond that.
    pub capacity: u64,
    /// Its disk takes nothing, or has finished nothing for a while though something waits: chains must not wait for it.
    #[br(map = |b: u8| b != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    pub stalled: bool,
    /// The `sent_ms` of the newest of its heartbeats that was answered (0: none): whoever answers learns whether it is heard.
    pub answered_ms: u64,
}

/// The controllers' answer to a heartbeat: the tail may serve reads until `sent_ms + lease_ms` on its own clock.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The heartbeat's `sent_ms`.
    pub sent_ms: u64,
    /// For how long from then.
    pub lease_ms: u64,
    /// The number of the newest map: a lease is for its views, older ones have none.
    pub map: u64,
}

/// A message of one partition's chain between two stores.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainFrame {
    /// The partition.
    pub partition: u16,
    /// What `chain_replication::Message` encodes to.
    #[br(parse_with = bytes_of, args(8 << 20))]
    #[bw(write_with = put_bytes, args(8 << 20))]
    pub body: Bytes,
}

impl ChainFrame {
    /// The partition and the message's bytes, without a copy; `None` if it is no such frame.
    pub fn split(frame: &Bytes) -> Option<(u16, Bytes)> {
        let head: [u8; 6] = frame.get(..6)?.try_into().ok()?;
        let [p0, p1, l0, l1, l2, l3] = head;
        let len = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        (frame.len() == len.checked_add(6)?)
            .then(|| (u16::from_le_bytes([p0, p1]), frame.slice(6..)))
    }
}
