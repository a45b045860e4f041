//! The placement map: which stores hold which partition.

use super::{home_partition, partition_of, MAX_LIST, MAX_PARTITIONS};
use crate::codec::{read_address, read_list, read_name, write_address, write_list, write_name};
use binrw::binrw;
use chain_replication::View;
use compact_str::CompactString;
use std::net::SocketAddr;

/// The state of a store in the placement map.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// It may be given partitions.
    Up = 0,
    /// Its partitions are being moved to other stores.
    Retiring = 1,
    /// It holds nothing more: its machine may go.
    Retired = 2,
    /// It has sent no heartbeat for long.
    Gone = 3,
}

/// One store of the placement map.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreInfo {
    /// The machine's name.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub node: CompactString,
    /// Its peer address.
    #[br(parse_with = read_address)]
    #[bw(write_with = write_address)]
    pub addr: SocketAddr,
    /// The id on its disk.
    pub id: u64,
    /// Its zone.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub zone: CompactString,
    /// Its state.
    pub state: StoreState,
}

/// How jobs are spread over the partitions of a map. It never changes in a deployment: jobs would
/// be looked for in other partitions than those that hold them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// By the host alone: the maps of the version before, which don't mention placement.
    #[default]
    ByHost,
    /// By the host and the job's id: the jobs of one host are on all partitions.
    ByJob,
}

/// Set in the first word of a map with [`Placement::ByJob`]; the rest of the word is the map's
/// number. The version before never set it.
const BY_JOB: u64 = 1 << 63;

impl Placement {
    fn bit(self) -> u64 {
        match self {
            Placement::ByHost => 0,
            Placement::ByJob => BY_JOB,
        }
    }

    fn from_word(word: u64) -> Self {
        if word & BY_JOB == 0 {
            Placement::ByHost
        } else {
            Placement::ByJob
        }
    }
}

/// Which stores hold which partition: the value of the entry `stores` of the control state.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementMap {
    #[br(temp)]
    #[bw(calc = number & !BY_JOB | placement.bit())]
    first: u64,
    /// Rises with every change.
    #[br(calc = first & !BY_JOB)]
    #[bw(ignore)]
    pub number: u64,
    /// The chain of each partition (none before the first map).
    #[br(parse_with = read_list, args(MAX_PARTITIONS))]
    #[bw(write_with = write_list, args(MAX_PARTITIONS))]
    pub partitions: Vec<View>,
    /// All stores that were ever discovered, unless removed.
    #[br(parse_with = read_list, args(MAX_LIST))]
    #[bw(write_with = write_list, args(MAX_LIST))]
    pub stores: Vec<StoreInfo>,
    /// How jobs are spread over the partitions.
    #[br(calc = Placement::from_word(first))]
    #[bw(ignore)]
    pub placement: Placement,
}

impl PlacementMap {
    /// The home partition of a host: its head grants the tokens of the host's routes.
    pub fn home_partition(&self, host: &str) -> usize {
        home_partition(host, self.partitions.len())
    }

    /// The partition that holds a batch job.
    pub fn partition_of(&self, host: &str, batch_job: &str) -> usize {
        match self.placement {
            Placement::ByHost => self.home_partition(host),
            Placement::ByJob => partition_of(host, batch_job, self.partitions.len()),
        }
    }

    /// Whether a partition may hold batch jobs of a host.
    pub fn may_hold(&self, partition: usize, host: &str) -> bool {
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
            .map(|member| member.addr)
    }

    /// The tail of a partition.
    pub fn tail(&self, partition: usize) -> Option<SocketAddr> {
        self.partitions
            .get(partition)?
            .members
            .last()
            .map(|member| member.addr)
    }

    /// The head of the partition that holds a batch job.
    pub fn head_of(&self, host: &str, batch_job: &str) -> Option<SocketAddr> {
        self.head(self.partition_of(host, batch_job))
    }

    /// The tail of the partition that holds a batch job.
    pub fn tail_of(&self, host: &str, batch_job: &str) -> Option<SocketAddr> {
        self.tail(self.partition_of(host, batch_job))
    }

    /// The stores that are heads of partitions which may hold batch jobs of a host, in the order of
    /// their addresses.
    pub fn heads_of(&self, host: &str) -> Vec<SocketAddr> {
        let numbers = (0..self.partitions.len()).filter(|number| self.may_hold(*number, host));
        let mut heads: Vec<SocketAddr> = numbers.filter_map(|number| self.head(number)).collect();
        heads.sort_unstable();
        heads.dedup();
        heads
    }
}
