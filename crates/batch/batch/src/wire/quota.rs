//! How the heads of the partitions that keep a host's batch jobs share the `MaxQueued` of its routes.
//!
//! All are tells whose first byte is their version (1), and may be lost, doubled or late: a job's head asks again until it has a word.

use super::{MAX_LEASES, MAX_NAME};
use crate::codec::{list, put_address, put_list, put_text, socket_address, text};
use binrw::binrw;
use compact_str::CompactString;
use std::net::SocketAddr;

/// A job's head asks for tokens of a route.
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveRequest {
    /// The route's host, whose home partition is asked.
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
    /// The partition that is to keep the batch job.
    pub partition: u16,
    /// Where the grant is to be said: the job's head.
    #[br(parse_with = socket_address)]
    #[bw(write_with = put_address)]
    pub reply_to: SocketAddr,
    /// The process that asks: drawn at its start.
    pub incarnation: u64,
    /// Which asking of that process: a word on an earlier one counts for nothing.
    pub nonce: u64,
    /// How many tokens.
    pub tokens: u64,
    /// The most tokens that may wait on the route.
    pub most: u64,
}

/// The word on a [`ReserveRequest`].
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveResponse {
    /// The partition that asked.
    pub partition: u16,
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
    /// As in the call.
    pub incarnation: u64,
    /// As in the call.
    pub nonce: u64,
    /// Whether the tokens are reserved on the disks of the home partition; else they certainly don't fit.
    #[br(map = |b: u8| b != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    pub granted: bool,
}

/// What a home partition's head says at once on a [`ReserveRequest`] that it can neither grant nor refuse yet.
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveProgress {
    /// The partition that asked.
    pub partition: u16,
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
    /// As in the call.
    pub incarnation: u64,
    /// As in the call.
    pub nonce: u64,
    /// Whether a grant or a refusal is about to follow; else it may take long.
    #[br(map = |b: u8| b != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    pub soon: bool,
}

/// One batch job that is asked about.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditedJob {
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
}

/// Asks the head of a partition how many tokens of batch jobs still wait.
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRequest {
    /// The home partition that asks.
    pub home: u16,
    /// The partition that is asked.
    pub partition: u16,
    /// Where the answer is to be said: the home partition's head.
    #[br(parse_with = socket_address)]
    #[bw(write_with = put_address)]
    pub reply_to: SocketAddr,
    /// The process that asks: drawn at its start.
    pub incarnation: u64,
    /// Which asking of that process.
    pub audit: u64,
    /// The batch jobs.
    #[br(parse_with = list, args(MAX_LEASES))]
    #[bw(write_with = put_list, args(MAX_LEASES))]
    pub batch_jobs: Vec<AuditedJob>,
}

/// How many tokens of one batch job still wait.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemainingTokens {
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
    /// How many; none of a batch job that isn't there or is over.
    pub tokens: u64,
}

/// Answer to an [`AuditRequest`]: how it stood when the call came, said once all of that was committed.
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditResponse {
    /// The home partition that asked.
    pub home: u16,
    /// The partition that answers.
    pub partition: u16,
    /// As in the call.
    pub incarnation: u64,
    /// As in the call.
    pub audit: u64,
    /// The batch jobs that were asked about, without those that are being taken just now.
    #[br(parse_with = list, args(MAX_LEASES))]
    #[bw(write_with = put_list, args(MAX_LEASES))]
    pub batch_jobs: Vec<RemainingTokens>,
}
