//! The commands that the head of a partition puts into its chain: every store of the chain applies
//! them to its table in the same order.
//!
//! No time of day is in them. The head counts a *clock* of its own in milliseconds, from where the
//! table's clock stands when it becomes head. Each command carries it, and the table keeps the
//! highest. It never runs ahead of true time, whatever the machines' clocks do, so nothing that
//! must not happen early (giving up an item, deleting a batch job) happens early; it falls behind
//! by the time in which there was no head.

use crate::codec::{read_bytes, read_list, read_name, write_bytes, write_list, write_name};
use crate::wire::{Item, JobKey, RemainingTokens, ResultStatus, MAX_BODY, MAX_ITEMS, MAX_LEASES};
use binrw::binrw;
use bytes::Bytes;
use compact_str::CompactString;

/// One change of the table.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A batch job is accepted.
    #[brw(magic = 1u8)]
    Accept(AcceptedJob),
    /// Items end, each at the next position of its batch job.
    #[brw(magic = 2u8)]
    RecordResults {
        /// The head's clock.
        clock: u64,
        /// The results, in the order of their positions.
        #[br(parse_with = read_list, args(MAX_LEASES))]
        #[bw(write_with = write_list, args(MAX_LEASES))]
        results: Vec<ItemResult>,
    },
    /// A batch job is ended by its client: its results stay, its other items are never run.
    #[brw(magic = 3u8)]
    End {
        /// The head's clock.
        clock: u64,
        /// The batch job's id.
        #[br(parse_with = read_name)]
        #[bw(write_with = write_name)]
        batch_job: CompactString,
    },
    /// A batch job is deleted.
    #[brw(magic = 4u8)]
    Delete {
        /// The head's clock.
        clock: u64,
        /// The batch job's id.
        #[br(parse_with = read_name)]
        #[bw(write_with = write_name)]
        batch_job: CompactString,
    },
    /// Tokens of a route are reserved for a batch job, in the host's home partition.
    #[brw(magic = 6u8)]
    Reserve {
        /// The head's clock.
        clock: u64,
        /// The batch job.
        job: JobKey,
        /// The partition that is to hold the batch job.
        partition: u16,
        /// How many tokens; never fewer than are reserved for it already.
        tokens: u64,
    },
    /// So many tokens of reservations are still queued, as the heads of their partitions reported.
    #[brw(magic = 7u8)]
    UpdateReservations {
        /// The head's clock.
        clock: u64,
        /// The batch jobs; the reservation of one without tokens is removed.
        #[br(parse_with = read_list, args(MAX_LEASES))]
        #[bw(write_with = write_list, args(MAX_LEASES))]
        jobs: Vec<RemainingTokens>,
    },
    /// Only the clock advances.
    #[brw(magic = 5u8)]
    AdvanceClock {
        /// The head's clock.
        clock: u64,
    },
}

impl Command {
    /// The head's clock when it made the command.
    pub fn clock(&self) -> u64 {
        match self {
            Command::Accept(AcceptedJob { clock, .. })
            | Command::RecordResults { clock, .. }
            | Command::End { clock, .. }
            | Command::Delete { clock, .. }
            | Command::Reserve { clock, .. }
            | Command::UpdateReservations { clock, .. }
            | Command::AdvanceClock { clock } => *clock,
        }
    }
}

/// A batch job with all that its head needs to know of it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedJob {
    /// The head's clock.
    pub clock: u64,
    /// The batch job's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub batch_job: CompactString,
    /// The route's host.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub route: CompactString,
    /// [`content_digest`](crate::content_digest) of the job, by which it is recognised when it is
    /// submitted again.
    pub content: u64,
    /// When it was sent, by the head's clock.
    pub sent: u64,
    /// How long after the sending its results are due.
    pub due_ms: u64,
    /// How long after the sending an item may be given up (0: never).
    pub retain_ms: u64,
    /// After how many responses with status 500 an item is given up.
    pub max_failures: u32,
    /// The items.
    #[br(parse_with = read_list, args(MAX_ITEMS))]
    #[bw(write_with = write_list, args(MAX_ITEMS))]
    pub items: Vec<Item>,
}

/// How one item ended.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// The batch job's id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub batch_job: CompactString,
    /// Which item of the batch job.
    pub index: u32,
    /// How it ended.
    pub status: ResultStatus,
    /// Its text.
    #[br(parse_with = read_bytes, args(MAX_BODY))]
    #[bw(write_with = write_bytes, args(MAX_BODY))]
    pub text: Bytes,
}
