//! How the heads of the partitions that hold a host's batch jobs share the `MaxQueued` of its
//! routes.
//!
//! All of these are one-way messages whose first byte is their version (1). They may be lost,
//! duplicated or late: the head that reserves sends its request again until it has a response.

use super::MAX_LEASES;
use crate::codec::{
    flag, flag_byte, read_address, read_list, read_name, write_address, write_list, write_name,
};
use binrw::binrw;
use compact_str::CompactString;
use std::net::SocketAddr;

/// A batch job and the route that it is on.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobKey {
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
}

/// The head of a job's partition asks the home partition of the job's host for tokens.
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveRequest {
    /// The batch job.
    pub job: JobKey,
    /// The partition that is to hold the batch job.
    pub partition: u16,
    /// Where the response is to be sent: the head that reserves.
    #[br(parse_with = read_address)]
    #[bw(write_with = write_address)]
    pub reply_to: SocketAddr,
    /// The process that asks: drawn at its start.
    pub incarnation: u64,
    /// Which request of that process: a response to an earlier one is ignored.
    pub nonce: u64,
    /// How many tokens.
    pub tokens: u64,
    /// The most tokens that may be queued on the route.
    pub max_tokens: u64,
}

impl ReserveRequest {
    /// Whether a message is about this request, by the process and the number of the request.
    pub fn is_attempt(&self, attempt: &ReserveAttempt) -> bool {
        (attempt.incarnation, attempt.nonce) == (self.incarnation, self.nonce)
    }

    /// What a response to this request carries, so that it can be told from others.
    pub fn attempt(&self) -> ReserveAttempt {
        ReserveAttempt {
            partition: self.partition,
            batch_job: self.job.batch_job.clone(),
            incarnation: self.incarnation,
            nonce: self.nonce,
        }
    }
}

/// Names one [`ReserveRequest`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveAttempt {
    /// The partition that asked.
    pub partition: u16,
    /// The batch job's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub batch_job: CompactString,
    /// As in the request.
    pub incarnation: u64,
    /// As in the request.
    pub nonce: u64,
}

/// Response to a [`ReserveRequest`].
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveResponse {
    /// The request.
    pub attempt: ReserveAttempt,
    /// Whether the tokens are reserved on the disks of the home partition; if not, they certainly
    /// don't fit.
    #[br(map = flag)]
    #[bw(map = flag_byte)]
    pub granted: bool,
}

/// What the head of a home partition answers at once to a [`ReserveRequest`] that it can neither
/// grant nor refuse yet.
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReserveProgress {
    /// The request.
    pub attempt: ReserveAttempt,
    /// Whether the response is about to follow; if not, it may take long.
    #[br(map = flag)]
    #[bw(map = flag_byte)]
    pub soon: bool,
}

/// Asks the head of a partition how many tokens of batch jobs are still queued.
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditRequest {
    /// The home partition that asks.
    pub home: u16,
    /// The partition that is asked.
    pub partition: u16,
    /// Where the response is to be sent: the home partition's head.
    #[br(parse_with = read_address)]
    #[bw(write_with = write_address)]
    pub reply_to: SocketAddr,
    /// The process that asks: drawn at its start.
    pub incarnation: u64,
    /// Which audit of that process.
    pub audit: u64,
    /// The batch jobs.
    #[br(parse_with = read_list, args(MAX_LEASES))]
    #[bw(write_with = write_list, args(MAX_LEASES))]
    pub jobs: Vec<JobKey>,
}

/// How many tokens of one batch job are still queued.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemainingTokens {
    /// The batch job.
    pub job: JobKey,
    /// How many; 0 for a batch job that does not exist or is over.
    pub tokens: u64,
}

/// Response to an [`AuditRequest`]: the state when the request arrived, sent once all of that state
/// is committed.
#[binrw]
#[brw(little, magic = 1u8)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AuditResponse {
    /// The home partition that asked.
    pub home: u16,
    /// The partition that responds.
    pub partition: u16,
    /// As in the request.
    pub incarnation: u64,
    /// As in the request.
    pub audit: u64,
    /// The audited batch jobs, without those that are being submitted at the moment.
    #[br(parse_with = read_list, args(MAX_LEASES))]
    #[bw(write_with = write_list, args(MAX_LEASES))]
    pub jobs: Vec<RemainingTokens>,
}
