//! What gateways and stores, and controllers and stores, say to each other: one struct a call, one a tell, one an answer.
//!
//! Every message is read with bounds on its lengths, whole or not at all; reading never panics and never sets
//! memory aside for bytes that have not come. `encode` of a message that is over a bound gives no bytes, which
//! no reader takes.

use crate::codec::{
    bytes as bytes_of, list, put_address, put_bytes, put_list, put_text, socket_address, text,
};
use binrw::binrw;
use bytes::Bytes;
use compact_str::CompactString;
use std::net::SocketAddr;

mod map;
mod quota;
mod work;

pub use crate::codec::{DecodeError, Message};
pub use map::{
    ChainFrame, Heartbeat, LeaseGrant, PartitionStatus, Placement, PlacementMap, StoreInfo,
    StoreState,
};
pub use quota::{
    AuditRequest, AuditResponse, AuditedJob, RemainingTokens, ReserveProgress, ReserveRequest,
    ReserveResponse,
};
pub use work::{
    CompleteRequest, CompleteResponse, Completion, FetchRequest, FetchResponse, LeaseRef,
    LeasedItem, Outcome, PartitionLeases, PartitionRedirect, PartitionRenewal, RenewOutcome,
    RenewRequest, RenewResponse, RouteDemand,
};

/// Call of a gateway to a partition's head: [`SubmitRequest`], answered by [`SubmitResponse`].
pub const SUBMIT: u16 = 0x0301;
/// Call of a gateway to a partition's tail: [`ReadRequest`], answered by [`ReadResponse`].
pub const READ: u16 = 0x0302;
/// Call of a gateway to a partition's tail: [`ItemBodyRequest`], answered by [`ItemBodyResponse`].
pub const BODY: u16 = 0x0303;
/// Call of a gateway to a partition's head: [`EndRequest`], answered by [`EndResponse`].
pub const END: u16 = 0x0304;
/// Call of a gateway to a store that is head of some partitions: [`FetchRequest`], answered by [`FetchResponse`].
pub const FETCH: u16 = 0x0305;
/// Call of a gateway to a partition's head: [`CompleteRequest`], answered by [`CompleteResponse`].
pub const COMPLETE: u16 = 0x0306;
/// Call of a gateway to a store that is head of some partitions: [`RenewRequest`], answered by [`RenewResponse`].
pub const RENEW: u16 = 0x0307;
/// Tell of a store to the controllers: [`Heartbeat`].
pub const HEARTBEAT: u16 = 0x0310;
/// Tell of the controllers' head to a store: [`LeaseGrant`].
pub const LEASE_GRANT: u16 = 0x0311;
/// Tell between the stores of one partition: [`ChainFrame`].
pub const CHAIN: u16 = 0x0312;

/// Tell of a job's head to the head of its host's home partition: [`ReserveRequest`], answered by the tell [`ReserveResponse`].
pub const RESERVE: u16 = 0x0313;
/// Tell of a home partition's head to a job's head: [`ReserveResponse`].
pub const RESERVE_RESPONSE: u16 = 0x0314;
/// Tell of a home partition's head to the heads of the partitions that reserved: [`AuditRequest`], answered by [`AuditResponse`].
pub const AUDIT: u16 = 0x0315;
/// Tell of a partition's head to the home partition's head: [`AuditResponse`].
pub const AUDIT_RESPONSE: u16 = 0x0316;

/// Tell of a home partition's head to a job's head: [`ReserveProgress`].
pub const RESERVE_PROGRESS: u16 = 0x0317;

/// The most partitions of a map, each with a chain of stores of its own: a bound for readers. How many there are, the
/// controllers choose when they make the first map.
pub const MAX_PARTITIONS: usize = 512;
/// How often a gateway says what it holds.
pub const LEASE_RENEWAL_INTERVAL_MS: u64 = 500;
/// A holder that was silent for so long loses its leases.
pub const LEASE_TIMEOUT_MS: u64 = 2_500;
/// How often a store says to the controllers how it stands.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// The longest time for which a call may be held until there is something to say.
pub const MAX_WAIT_MS: u32 = 2_000;
/// At most so many bytes of results in one answer to a read (one result at least, whatever its size).
pub const MAX_READ_BYTES: usize = 900_000;
/// At most so many bytes of items in one answer to a fetch (one item at least).
pub const MAX_FETCH_BYTES: usize = 1 << 20;

/// The most items in a batch job, as the users' page says.
pub const MAX_ITEMS: usize = 200;
/// The most headers of an item.
pub const MAX_HEADERS: usize = 64;
/// The longest name of a batch job, an item, a route, a host or a header.
pub const MAX_NAME: usize = 256;
/// The longest path or header value of an item.
pub const MAX_LINE: usize = 16 << 10;
/// The longest body of an item, or text of its result.
pub const MAX_BODY: usize = 4 << 20;
/// The most routes in one fetch, partitions in one list, or stores in the map.
pub const MAX_LIST: usize = 4_096;
/// The most holdings of one holder, results in one batch or items in one answer.
pub const MAX_LEASES: usize = 65_536;

/// FNV-1a: the same on every machine and in every build.
const FNV_START: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn hash_of_host(host: &str) -> u64 {
    // A port behind the name names no other host.
    let name = host.split(':').next().unwrap_or(host);
    name.bytes().fold(FNV_START, |hash, byte| {
        (hash ^ u64::from(byte.to_ascii_lowercase())).wrapping_mul(FNV_PRIME)
    })
}

fn place(hash: u64, partitions: usize) -> usize {
    ((hash ^ (hash >> 32)) % partitions.max(1) as u64) as usize
}

/// The home partition of a host among so many: its head owns the quotas of all routes of the host.
pub fn home_partition(host: &str, partitions: usize) -> usize {
    place(hash_of_host(host), partitions)
}

/// The partition of a job among so many: the same for each try of the job, through whichever gateway.
pub fn partition_of(host: &str, batch_job: &str, partitions: usize) -> usize {
    // A byte that is in no host's name keeps the two apart.
    let begun = (hash_of_host(host) ^ 0xff).wrapping_mul(FNV_PRIME);
    let hash = batch_job.bytes().fold(begun, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    place(hash, partitions)
}

/// One header of an item.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its name, as the client wrote it.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub name: CompactString,
    /// Its value.
    #[br(parse_with = text, args(MAX_LINE))]
    #[bw(write_with = put_text, args(MAX_LINE))]
    pub value: CompactString,
}

/// One request of a batch job.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The client's name for it: its `Fordrelay-Attempt-Id` at a runner.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub id: CompactString,
    /// The path to which it is posted.
    #[br(parse_with = text, args(MAX_LINE))]
    #[bw(write_with = put_text, args(MAX_LINE))]
    pub path: CompactString,
    /// The headers that go with it.
    #[br(parse_with = list, args(MAX_HEADERS))]
    #[bw(write_with = put_list, args(MAX_HEADERS))]
    pub headers: Vec<Header>,
    /// Its decoded body.
    #[br(parse_with = bytes_of, args(MAX_BODY))]
    #[bw(write_with = put_bytes, args(MAX_BODY))]
    pub body: Bytes,
    /// Tokens of its prompt and of the most output: what the quota counts.
    pub tokens: u64,
}

/// A batch job to be taken whole, or not at all.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitRequest {
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
    /// How long ago the client sent it, as far as the gateway knows (0: just now).
    pub age_ms: u64,
    /// The route's `DueMs`: the time after the sending by which its results are due.
    pub due_ms: u64,
    /// The route's `RetainS`: the time after the sending from which an item may be given up (0: never).
    pub retain_ms: u64,
    /// The route's `MaxQueued` (0: no limit).
    pub max_queued: u64,
    /// By how many thousandths the waiting tokens may pass `max_queued`.
    pub excess_permille: u32,
    /// The route's `Tries`: after so many 500s an item is given up.
    pub tries: u32,
    /// Its items, 1 to [`MAX_ITEMS`].
    #[br(parse_with = list, args(MAX_ITEMS))]
    #[bw(write_with = put_list, args(MAX_ITEMS))]
    pub items: Vec<Item>,
}

/// What became of a batch job.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitResponse {
    /// It is kept on the disks of its chain: 202.
    #[brw(magic = 0u8)]
    Accepted,
    /// It does not fit into the route's quota: 429, none of it will run.
    #[brw(magic = 1u8)]
    QuotaExceeded,
    /// It is certainly not taken, and never will be by this call: 503.
    #[brw(magic = 2u8)]
    Unavailable,
    /// Not taken here: another store is the partition's head.
    #[brw(magic = 3u8)]
    Redirect {
        /// The head's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
    /// It can't be taken at all; the code is one of [`crate::codes::CODES`].
    #[brw(magic = 4u8)]
    Invalid {
        /// Why.
        code: u16,
    },
    /// It may have been taken or not (the chain changed meanwhile): no promise; ask again. 502 rather than 503.
    #[brw(magic = 5u8)]
    Indeterminate,
}

/// Asks for results.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRequest {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
    /// The first position wanted.
    pub start_after: u32,
    /// How long the answer may be held until there is a result at that position (at most [`MAX_WAIT_MS`]).
    pub wait_ms: u32,
}

/// How an item ended.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResultStatus {
    /// It ran; the text is its whole output.
    Complete = 0,
    /// It was given up.
    Abandoned = 1,
}

impl ResultStatus {
    /// As the answer to a client says it.
    pub const fn name(self) -> &'static str {
        match self {
            ResultStatus::Complete => "complete",
            ResultStatus::Abandoned => "abandoned",
        }
    }
}

/// One result at its position.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultEntry {
    /// The item's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub id: CompactString,
    /// How it ended.
    pub state: ResultStatus,
    /// The data of all its events, separated by line feeds (UTF-8; empty when abandoned).
    #[br(parse_with = bytes_of, args(MAX_BODY))]
    #[bw(write_with = put_bytes, args(MAX_BODY))]
    pub text: Bytes,
}

/// Answer to a read.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResponse {
    /// The results from the position asked for.
    #[brw(magic = 0u8)]
    Found {
        /// How many items the batch job has.
        total: u32,
        /// The position behind the last of `results`.
        next: u32,
        /// The results, perhaps none.
        #[br(parse_with = list, args(MAX_ITEMS))]
        #[bw(write_with = put_list, args(MAX_ITEMS))]
        results: Vec<ResultEntry>,
    },
    /// There is certainly no such batch job: 404.
    #[brw(magic = 1u8)]
    NotFound,
    /// The store can't be sure: 503.
    #[brw(magic = 2u8)]
    Unavailable,
    /// Another store is the partition's tail.
    #[brw(magic = 3u8)]
    Redirect {
        /// The tail's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
}

/// Asks for an item's body.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemBodyRequest {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
    /// The item's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub item: CompactString,
}

/// Answer to a call for a body.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemBodyResponse {
    /// The decoded body.
    #[brw(magic = 0u8)]
    Found {
        /// Its bytes.
        #[br(parse_with = bytes_of, args(MAX_BODY))]
        #[bw(write_with = put_bytes, args(MAX_BODY))]
        body: Bytes,
    },
    /// No such batch job or item, or it is listed, or the batch job was ended: 404.
    #[brw(magic = 1u8)]
    NotFound,
    /// The store can't be sure: 503.
    #[brw(magic = 2u8)]
    Unavailable,
    /// Another store is the partition's tail.
    #[brw(magic = 3u8)]
    Redirect {
        /// The tail's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
}

/// Ends a batch job.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRequest {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
}

/// Answer to an end.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndResponse {
    /// It is ended, now or before: 200.
    #[brw(magic = 0u8)]
    Ended,
    /// There is no such batch job.
    #[brw(magic = 1u8)]
    NotFound,
    /// It may be ended or not: 503; ask again.
    #[brw(magic = 2u8)]
    Indeterminate,
    /// Another store is the partition's head.
    #[brw(magic = 3u8)]
    Redirect {
        /// The head's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
}
