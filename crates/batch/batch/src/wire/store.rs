//! What stores and controllers exchange about the stores' leases, and the frame around the messages
//! of a partition's chain.

use super::MAX_PARTITIONS;
use crate::codec::{
    flag, flag_byte, read_address, read_bytes, read_list, read_name, write_address, write_bytes,
    write_list, write_name,
};
use binrw::binrw;
use bytes::Bytes;
use chain_replication::ReplicaStatus;
use compact_str::CompactString;
use std::net::SocketAddr;

/// The longest message of a chain, in bytes.
const MAX_CHAIN_MESSAGE: usize = 8 << 20;
/// The bytes of a [`ChainFrame`] before its body: the partition and the body's length.
const CHAIN_FRAME_HEADER: usize = 6;

/// The state of one partition at a store.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct PartitionStatus {
    /// The partition.
    pub partition: u16,
    /// Its chain's status.
    pub status: ReplicaStatus,
    /// How many batch jobs it holds.
    pub batch_jobs: u32,
    /// Bytes that its batch jobs will need at most.
    pub bytes: u64,
}

/// A store's heartbeat to the controllers, every
/// [`HEARTBEAT_INTERVAL_MS`](super::HEARTBEAT_INTERVAL_MS).
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The store's peer address.
    #[br(parse_with = read_address)]
    #[bw(write_with = write_address)]
    pub addr: SocketAddr,
    /// The id on its disk.
    pub id: u64,
    /// The machine's name.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub node: CompactString,
    /// Its zone.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub zone: CompactString,
    /// When it was sent, on the store's own steady clock: returned in [`LeaseGrant`].
    pub sent_ms: u64,
    /// The number of the placement map that it has applied (0: none).
    pub map: u64,
    /// The partitions of which it is a member or joiner.
    #[br(parse_with = read_list, args(MAX_PARTITIONS))]
    #[bw(write_with = write_list, args(MAX_PARTITIONS))]
    pub statuses: Vec<PartitionStatus>,
    /// Bytes of its disk in use.
    pub disk_used: u64,
    /// Bytes of its disk in all.
    pub disk_size: u64,
    /// It is shutting down: its partitions should go on without it.
    #[br(map = flag)]
    #[bw(map = flag_byte)]
    pub leaving: bool,
    /// Bytes of batch jobs that it can hold, by its memory and its disk: no replica beyond that is
    /// placed on it.
    pub capacity: u64,
    /// Its disk refuses writes, or has finished nothing for a while though writes are pending:
    /// chains must not wait for it.
    #[br(map = flag)]
    #[bw(map = flag_byte)]
    pub stalled: bool,
    /// The `sent_ms` of the newest of its heartbeats that was answered (0: none): tells the one
    /// that answers whether its answers arrive.
    pub answered_ms: u64,
}

/// The controllers' answer to a heartbeat: the tail may serve reads until `sent_ms + lease_ms` on
/// its own clock.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The heartbeat's `sent_ms`.
    pub sent_ms: u64,
    /// How long the lease lasts from then.
    pub lease_ms: u64,
    /// The number of the newest placement map: the lease is for its views, older ones have none.
    pub map: u64,
}

/// A message of one partition's chain between two stores.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainFrame {
    /// The partition.
    pub partition: u16,
    /// The encoded message of the chain.
    #[br(parse_with = read_bytes, args(MAX_CHAIN_MESSAGE))]
    #[bw(write_with = write_bytes, args(MAX_CHAIN_MESSAGE))]
    pub body: Bytes,
}

impl ChainFrame {
    /// Decodes a frame without copying its body; `None` if the bytes are no such frame.
    pub fn decode_shared(frame: &Bytes) -> Option<ChainFrame> {
        let header: [u8; CHAIN_FRAME_HEADER] = frame.get(..CHAIN_FRAME_HEADER)?.try_into().ok()?;
        let [p0, p1, l0, l1, l2, l3] = header;
        let len = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        let is_whole = frame.len() == len.checked_add(CHAIN_FRAME_HEADER)?;
        is_whole.then(|| ChainFrame {
            partition: u16::from_le_bytes([p0, p1]),
            body: frame.slice(CHAIN_FRAME_HEADER..),
        })
    }
}
