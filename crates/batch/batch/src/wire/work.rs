//! How gateways get items, say what they hold, and hand over what became of it.

use super::{Item, MAX_BODY, MAX_LEASES, MAX_LIST, MAX_NAME, MAX_PARTITIONS};
use crate::codec::{
    bytes as bytes_of, list, put_address, put_bytes, put_list, put_text, socket_address, text,
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
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub route: CompactString,
    /// How many items at most.
    pub want: u32,
}

/// Asks a store for items of all partitions of which it is the head and that may keep batch jobs of the wanted hosts.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchRequest {
    /// Who asks: the id of the gateway's process.
    pub holder: u64,
    /// How long the answer may be held until there is an item (at most [`MAX_WAIT_MS`](super::MAX_WAIT_MS)).
    pub wait_ms: u32,
    /// What it can run.
    #[br(parse_with = list, args(MAX_LIST))]
    #[bw(write_with = put_list, args(MAX_LIST))]
    pub wants: Vec<RouteDemand>,
}

/// An item that a gateway holds from now on.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeasedItem {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub route: CompactString,
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
    /// Which item of the batch job, from 0.
    pub index: u32,
    /// The lease's number.
    pub lease: u64,
    /// In how many milliseconds its result is due (0: it is over due).
    pub due_in_ms: u64,
    /// In how many milliseconds it may be given up (`u64::MAX`: never).
    pub retain_in_ms: u64,
    /// How many more 500s it may meet before it is given up.
    pub tries_left: u32,
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
    #[br(parse_with = socket_address)]
    #[bw(write_with = put_address)]
    pub to: SocketAddr,
}

/// Answer to a fetch.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchResponse {
    /// The items, oldest due first.
    #[br(parse_with = list, args(MAX_LEASES))]
    #[bw(write_with = put_list, args(MAX_LEASES))]
    pub items: Vec<LeasedItem>,
    /// Where a host's batch jobs are in one partition alone: those among the wants that have another head.
    #[br(parse_with = list, args(MAX_LIST))]
    #[bw(write_with = put_list, args(MAX_LIST))]
    pub elsewhere: Vec<PartitionRedirect>,
}

/// How a gateway's holding of an item ended.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole output of the item.
    #[brw(magic = 0u8)]
    Complete {
        /// The data of all events, separated by line feeds.
        #[br(parse_with = bytes_of, args(MAX_BODY))]
        #[bw(write_with = put_bytes, args(MAX_BODY))]
        text: Bytes,
    },
    /// A runner answered 500.
    #[brw(magic = 1u8)]
    Failed,
    /// A runner answered 422: it can never be done.
    #[brw(magic = 2u8)]
    Unprocessable,
    /// Not done, no failure counted: to be given to another.
    #[brw(magic = 3u8)]
    Released,
}

/// What became of one leased item.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
    /// Which item of the batch job.
    pub index: u32,
    /// The lease's number.
    pub lease: u64,
    /// How it ended.
    pub outcome: Outcome,
}

/// What became of leased items of one partition.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteRequest {
    /// Who held them.
    pub holder: u64,
    /// The partition.
    pub partition: u16,
    /// The items.
    #[br(parse_with = list, args(MAX_LEASES))]
    #[bw(write_with = put_list, args(MAX_LEASES))]
    pub results: Vec<Completion>,
}

/// Answer to [`CompleteRequest`].
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompleteResponse {
    /// All of them are kept on the disks of the chain, or need not be: the gateway may forget them.
    #[brw(magic = 0u8)]
    Accepted,
    /// They may be kept or not: to be said again.
    #[brw(magic = 1u8)]
    Indeterminate,
    /// Another store is the partition's head: to be said there.
    #[brw(magic = 2u8)]
    Redirect {
        /// The head's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
}

/// One item that a gateway holds.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRef {
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
    /// Which item of the batch job.
    pub index: u32,
    /// The lease's number.
    pub lease: u64,
}

/// All that a gateway holds of one partition.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionLeases {
    /// The partition.
    pub partition: u16,
    /// Its items.
    #[br(parse_with = list, args(MAX_LEASES))]
    #[bw(write_with = put_list, args(MAX_LEASES))]
    pub held: Vec<LeaseRef>,
}

/// All that a gateway holds of the partitions of which the called store is head, every [`LEASE_RENEWAL_INTERVAL_MS`](super::LEASE_RENEWAL_INTERVAL_MS).
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewRequest {
    /// Who holds it.
    pub holder: u64,
    /// What, by partition.
    #[br(parse_with = list, args(MAX_PARTITIONS))]
    #[bw(write_with = put_list, args(MAX_PARTITIONS))]
    pub parts: Vec<PartitionLeases>,
}

/// Answer for one partition of a [`RenewRequest`].
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewOutcome {
    /// These must be dropped (the batch job ended, the item is listed or held by another); the others are held on.
    #[brw(magic = 0u8)]
    Revoke {
        /// Those to drop.
        #[br(parse_with = list, args(MAX_LEASES))]
        #[bw(write_with = put_list, args(MAX_LEASES))]
        leases: Vec<LeaseRef>,
    },
    /// The store can't say: hold on and ask again.
    #[brw(magic = 1u8)]
    Unavailable,
    /// Another store is the partition's head: to be said there.
    #[brw(magic = 2u8)]
    Redirect {
        /// The head's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
}

/// One partition's part of a [`RenewResponse`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionRenewal {
    /// The partition.
    pub partition: u16,
    /// Its answer.
    pub answer: RenewOutcome,
}

/// Answer to [`RenewRequest`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewResponse {
    /// One for each partition that was named.
    #[br(parse_with = list, args(MAX_PARTITIONS))]
    #[bw(write_with = put_list, args(MAX_PARTITIONS))]
    pub parts: Vec<PartitionRenewal>,
}
