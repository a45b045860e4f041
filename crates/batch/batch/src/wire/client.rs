//! What gateways ask of stores on behalf of clients: submit a batch job, read its results, read an
//! item's body, end the job.

use super::{Item, ResultEntry, MAX_BODY, MAX_ITEMS};
use crate::codec::{
    read_address, read_bytes, read_list, read_name, write_address, write_bytes, write_list,
    write_name,
};
use binrw::binrw;
use bytes::Bytes;
use compact_str::CompactString;
use std::net::SocketAddr;

/// Submits a batch job, which is accepted whole or not at all.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitRequest {
    /// The route's host.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub route: CompactString,
    /// The batch job's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub batch_job: CompactString,
    /// How long ago the client sent it, as far as the gateway knows (0: just now).
    pub age_ms: u64,
    /// The route's `DueMs`: the time after the sending by which its results are due.
    pub due_ms: u64,
    /// The route's `RetainS` in milliseconds: the time after the sending from which an item may be
    /// given up (0: never).
    pub retain_ms: u64,
    /// The route's `MaxQueued` in tokens (0: no limit).
    pub max_queued: u64,
    /// By how many thousandths the queued tokens may exceed `max_queued`.
    pub excess_permille: u32,
    /// The route's `Tries`: after so many responses with status 500 an item is given up.
    pub max_failures: u32,
    /// Its items, 1 to [`MAX_ITEMS`].
    #[br(parse_with = read_list, args(MAX_ITEMS))]
    #[bw(write_with = write_list, args(MAX_ITEMS))]
    pub items: Vec<Item>,
}

/// Response to a [`SubmitRequest`].
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitResponse {
    /// It is on the disks of its chain: 202.
    #[brw(magic = 0u8)]
    Accepted,
    /// It does not fit into the route's quota: 429, none of it will run.
    #[brw(magic = 1u8)]
    QuotaExceeded,
    /// It is certainly not accepted, and never will be by this request: 503.
    #[brw(magic = 2u8)]
    Unavailable,
    /// Not accepted here: another store is the partition's head.
    #[brw(magic = 3u8)]
    Redirect {
        /// The head's peer address.
        #[br(parse_with = read_address)]
        #[bw(write_with = write_address)]
        to: SocketAddr,
    },
    /// It can't be accepted at all.
    #[brw(magic = 4u8)]
    Invalid {
        /// Why: one of [`crate::codes::CODES`].
        code: u16,
    },
    /// It may have been accepted or not (the chain changed meanwhile): to be submitted again, and
    /// answered with 502 rather than 503.
    #[brw(magic = 5u8)]
    Indeterminate,
}

/// Asks for the results of a batch job.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRequest {
    /// The route's host.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub host: CompactString,
    /// The batch job's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub batch_job: CompactString,
    /// The position of the first result wanted.
    pub start_after: u32,
    /// How long the response may be held until there is a result at that position, at most
    /// [`MAX_WAIT_MS`](super::MAX_WAIT_MS).
    pub wait_ms: u32,
}

/// Response to a [`ReadRequest`].
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResponse {
    /// The results from the requested position on.
    #[brw(magic = 0u8)]
    Found {
        /// How many items the batch job has.
        total: u32,
        /// The position after the last of `results`.
        next: u32,
        /// The results, perhaps none.
        #[br(parse_with = read_list, args(MAX_ITEMS))]
        #[bw(write_with = write_list, args(MAX_ITEMS))]
        results: Vec<ResultEntry>,
    },
    /// There is certainly no such batch job: 404.
    #[brw(magic = 1u8)]
    NotFound,
    /// The store can't be sure that its replica is current: 503.
    #[brw(magic = 2u8)]
    Unavailable,
    /// Another store is the partition's tail.
    #[brw(magic = 3u8)]
    Redirect {
        /// The tail's peer address.
        #[br(parse_with = read_address)]
        #[bw(write_with = write_address)]
        to: SocketAddr,
    },
}

/// Asks for an item's body.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemBodyRequest {
    /// The route's host.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub host: CompactString,
    /// The batch job's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub batch_job: CompactString,
    /// The item's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub item: CompactString,
}

/// Response to an [`ItemBodyRequest`].
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemBodyResponse {
    /// The decoded body.
    #[brw(magic = 0u8)]
    Found {
        /// Its bytes.
        #[br(parse_with = read_bytes, args(MAX_BODY))]
        #[bw(write_with = write_bytes, args(MAX_BODY))]
        body: Bytes,
    },
    /// There is no such batch job or item, or it has its result, or the job was ended: 404.
    #[brw(magic = 1u8)]
    NotFound,
    /// The store can't be sure that its replica is current: 503.
    #[brw(magic = 2u8)]
    Unavailable,
    /// Another store is the partition's tail.
    #[brw(magic = 3u8)]
    Redirect {
        /// The tail's peer address.
        #[br(parse_with = read_address)]
        #[bw(write_with = write_address)]
        to: SocketAddr,
    },
}

/// Ends a batch job: its results stay readable for a while, its other items are never run.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRequest {
    /// The route's host.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub host: CompactString,
    /// The batch job's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub batch_job: CompactString,
}

/// Response to an [`EndRequest`].
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndResponse {
    /// It is ended, now or before: 200.
    #[brw(magic = 0u8)]
    Ended,
    /// There is no such batch job: 404.
    #[brw(magic = 1u8)]
    NotFound,
    /// It may be ended or not: 503; to be requested again.
    #[brw(magic = 2u8)]
    Indeterminate,
    /// Another store is the partition's head.
    #[brw(magic = 3u8)]
    Redirect {
        /// The head's peer address.
        #[br(parse_with = read_address)]
        #[bw(write_with = write_address)]
        to: SocketAddr,
    },
}
