//! How gateways lease items: fetch them, renew the leases, report what became of the items.

use super::{Item, MAX_BODY, MAX_LEASES, MAX_LIST, MAX_PARTITIONS};
use crate::codec::{
    read_address, read_bytes, read_list, read_name, write_address, write_bytes, write_list,
    write_name,
};
use binrw::binrw;
use bytes::Bytes;
use compact_str::CompactString;
use std::net::SocketAddr;

/// A route whose items a gateway can run, and how many.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteDemand {
    /// The route's host.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub route: CompactString,
    /// The most items that it can run.
    pub max_items: u32,
}

/// Asks a store for items of all partitions of which it is the head and that may hold batch jobs of
/// the wanted hosts.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchRequest {
    /// Who asks: the id of the gateway's process.
    pub holder: u64,
    /// How long the response may be held until there is an item, at most
    /// [`MAX_WAIT_MS`](super::MAX_WAIT_MS).
    pub wait_ms: u32,
    /// What the gateway can run.
    #[br(parse_with = read_list, args(MAX_LIST))]
    #[bw(write_with = write_list, args(MAX_LIST))]
    pub demands: Vec<RouteDemand>,
}

/// An item that a gateway has leased.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasedItem {
    /// The route's host.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub route: CompactString,
    /// Which item, and which lease of it.
    pub key: LeaseKey,
    /// In how many milliseconds its result is due (0: it is overdue).
    pub due_in_ms: u64,
    /// In how many milliseconds it may be given up (`u64::MAX`: never).
    pub retain_in_ms: u64,
    /// How many more responses with status 500 it may meet before it is given up.
    pub failures_left: u32,
    /// The item.
    pub item: Item,
}

/// A partition of which the asked store is not the head.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionRedirect {
    /// The partition.
    pub partition: u16,
    /// Its head as this store knows it.
    #[br(parse_with = read_address)]
    #[bw(write_with = write_address)]
    pub to: SocketAddr,
}

/// Response to a [`FetchRequest`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchResponse {
    /// The items, those due first at the front.
    #[br(parse_with = read_list, args(MAX_LEASES))]
    #[bw(write_with = write_list, args(MAX_LEASES))]
    pub items: Vec<LeasedItem>,
    /// Where all batch jobs of a host are in one partition: those of the demands with another head.
    #[br(parse_with = read_list, args(MAX_LIST))]
    #[bw(write_with = write_list, args(MAX_LIST))]
    pub redirects: Vec<PartitionRedirect>,
}

/// One lease of one item.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseKey {
    /// The batch job's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub batch_job: CompactString,
    /// Which item of the batch job, from 0.
    pub index: u32,
    /// The lease's number: the view of the head that granted it in the upper half.
    pub lease: u64,
}

/// How a gateway's attempt at an item ended.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole output of the item.
    #[brw(magic = 0u8)]
    Complete {
        /// The data of all events, separated by line feeds.
        #[br(parse_with = read_bytes, args(MAX_BODY))]
        #[bw(write_with = write_bytes, args(MAX_BODY))]
        text: Bytes,
    },
    /// A runner answered 500.
    #[brw(magic = 1u8)]
    Failed,
    /// A runner answered 422: no runner can process it.
    #[brw(magic = 2u8)]
    Unprocessable,
    /// Not run, and no failure counted: to be leased to another gateway.
    #[brw(magic = 3u8)]
    Released,
}

/// What became of one leased item.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Which item, and which lease of it.
    pub key: LeaseKey,
    /// How it ended.
    pub outcome: Outcome,
}

/// What became of leased items of one partition.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteRequest {
    /// Which gateway held them.
    pub holder: u64,
    /// The partition.
    pub partition: u16,
    /// The items.
    #[br(parse_with = read_list, args(MAX_LEASES))]
    #[bw(write_with = write_list, args(MAX_LEASES))]
    pub results: Vec<Completion>,
}

/// Response to a [`CompleteRequest`].
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompleteResponse {
    /// All of them are on the disks of the chain, or need not be: the gateway may forget them.
    #[brw(magic = 0u8)]
    Accepted,
    /// They may be stored or not: to be sent again.
    #[brw(magic = 1u8)]
    Indeterminate,
    /// Another store is the partition's head: to be sent there.
    #[brw(magic = 2u8)]
    Redirect {
        /// The head's peer address.
        #[br(parse_with = read_address)]
        #[bw(write_with = write_address)]
        to: SocketAddr,
    },
}

/// All leases of a gateway in one partition.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionLeases {
    /// The partition.
    pub partition: u16,
    /// The leases.
    #[br(parse_with = read_list, args(MAX_LEASES))]
    #[bw(write_with = write_list, args(MAX_LEASES))]
    pub leases: Vec<LeaseKey>,
}

/// Renews all leases of a gateway in the partitions of which the called store is head. Sent every
/// [`LEASE_RENEWAL_INTERVAL_MS`](super::LEASE_RENEWAL_INTERVAL_MS).
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewRequest {
    /// Which gateway holds them.
    pub holder: u64,
    /// The leases, by partition.
    #[br(parse_with = read_list, args(MAX_PARTITIONS))]
    #[bw(write_with = write_list, args(MAX_PARTITIONS))]
    pub partitions: Vec<PartitionLeases>,
}

/// The outcome of a [`RenewRequest`] for one partition.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewOutcome {
    /// These leases are void (the batch job ended, or the item has a result or another holder); the
    /// others are renewed.
    #[brw(magic = 0u8)]
    Revoke {
        /// The void ones.
        #[br(parse_with = read_list, args(MAX_LEASES))]
        #[bw(write_with = write_list, args(MAX_LEASES))]
        leases: Vec<LeaseKey>,
    },
    /// The store can't tell: the gateway goes on and asks again.
    #[brw(magic = 1u8)]
    Unavailable,
    /// Another store is the partition's head: to be renewed there.
    #[brw(magic = 2u8)]
    Redirect {
        /// The head's peer address.
        #[br(parse_with = read_address)]
        #[bw(write_with = write_address)]
        to: SocketAddr,
    },
}

/// One partition of a [`RenewResponse`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionRenewal {
    /// The partition.
    pub partition: u16,
    /// Its outcome.
    pub outcome: RenewOutcome,
}

/// Response to a [`RenewRequest`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewResponse {
    /// One for each partition of the request.
    #[br(parse_with = read_list, args(MAX_PARTITIONS))]
    #[bw(write_with = write_list, args(MAX_PARTITIONS))]
    pub partitions: Vec<PartitionRenewal>,
}
