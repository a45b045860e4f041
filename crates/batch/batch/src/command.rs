//! What a partition's head puts into its chain: each command is applied by every store of the chain alike.
//!
//! No time of day is in them. The head counts a *clock* of its own in milliseconds, from where the table's clock
//! stands when it becomes head; each command carries it, and the table keeps the highest. It never runs ahead of
//! true time, whatever the machines' clocks do, so nothing that must not come early (giving up an item,
//! forgetting a batch job) comes early; it falls behind by the time in which there was no head.

use crate::codec::{bytes as bytes_of, list, put_bytes, put_list, put_text, text};
use crate::wire::{Item, RemainingTokens, ResultStatus, MAX_BODY, MAX_ITEMS, MAX_LEASES, MAX_NAME};
use binrw::binrw;
use bytes::Bytes;
use compact_str::CompactString;

/// One change of the table.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A batch job is taken.
    #[brw(magic = 1u8)]
    Accept(Take),
    /// Items end, each at the next position of its batch job.
    #[brw(magic = 2u8)]
    RecordResults {
        /// The head's clock.
        clock: u64,
        /// The results, in the order of their positions.
        #[br(parse_with = list, args(MAX_LEASES))]
        #[bw(write_with = put_list, args(MAX_LEASES))]
        results: Vec<ItemResult>,
    },
    /// A batch job is ended: what is listed stays, the rest is never run.
    #[brw(magic = 3u8)]
    End {
        /// The head's clock.
        clock: u64,
        /// The batch job's id.
        #[br(parse_with = text, args(MAX_NAME))]
        #[bw(write_with = put_text, args(MAX_NAME))]
        batch_job: CompactString,
    },
    /// A batch job is forgotten.
    #[brw(magic = 4u8)]
    Delete {
        /// The head's clock.
        clock: u64,
        /// The batch job's id.
        #[br(parse_with = text, args(MAX_NAME))]
        #[bw(write_with = put_text, args(MAX_NAME))]
        batch_job: CompactString,
    },
    /// Tokens of a route are reserved for a batch job, in the host's home partition.
    #[brw(magic = 6u8)]
    Reserve {
        /// The head's clock.
        clock: u64,
        /// The route's host.
        #[br(parse_with = text, args(MAX_NAME))]
        #[bw(write_with = put_text, args(MAX_NAME))]
        host: CompactString,
        /// The route's name.
        #[br(parse_with = text, args(MAX_NAME))]
        #[bw(write_with = put_text, args(MAX_NAME))]
        route: CompactString,
        /// The batch job's id.
        #[br(parse_with = text, args(MAX_NAME))]
        #[bw(write_with = put_text, args(MAX_NAME))]
        batch_job: CompactString,
        /// The partition that is to keep the batch job.
        partition: u16,
        /// How many tokens; never fewer than are reserved for it already.
        tokens: u64,
    },
    /// So many tokens of reservations are still waiting, as the heads of their partitions said.
    #[brw(magic = 7u8)]
    UpdateReservations {
        /// The head's clock.
        clock: u64,
        /// The batch jobs; one without tokens is reserved no more.
        #[br(parse_with = list, args(MAX_LEASES))]
        #[bw(write_with = put_list, args(MAX_LEASES))]
        batch_jobs: Vec<RemainingTokens>,
    },
    /// Only the clock goes on.
    #[brw(magic = 5u8)]
    AdvanceClock {
        /// The head's clock.
        clock: u64,
    },
}

/// A batch job with all that its head needs to know of it.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Take {
    /// The head's clock.
    pub clock: u64,
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub route: CompactString,
    /// Digest of its content, to know the same batch job sent again.
    pub content: u64,
    /// When it was sent, by the head's clock.
    pub sent: u64,
    /// How long after the sending its results are due.
    pub due_ms: u64,
    /// How long after the sending an item may be given up (0: never).
    pub retain_ms: u64,
    /// After how many 500s an item is given up.
    pub tries: u32,
    /// The items.
    #[br(parse_with = list, args(MAX_ITEMS))]
    #[bw(write_with = put_list, args(MAX_ITEMS))]
    pub items: Vec<Item>,
}

/// How one item ended.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// The batch job's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub batch_job: CompactString,
    /// Which item of the batch job.
    pub index: u32,
    /// How it ended.
    pub state: ResultStatus,
    /// Its text.
    #[br(parse_with = bytes_of, args(MAX_BODY))]
    #[bw(write_with = put_bytes, args(MAX_BODY))]
    pub text: Bytes,
}

/// A digest of a batch job's content: what must be the same when it is sent again (its terms may change between).
pub fn content(host: &str, items: &[Item]) -> u64 {
    let mut digest = Digest(0x9e37_79b9_7f4a_7c15);
    digest.part(host.as_bytes());
    for item in items {
        digest.part(item.id.as_bytes());
        digest.part(item.path.as_bytes());
        digest.word(item.headers.len() as u64);
        for header in &item.headers {
            digest.part(header.name.as_bytes());
            digest.part(header.value.as_bytes());
        }
        digest.part(&item.body);
        digest.word(item.tokens);
    }
    digest.0
}

/// Eight bytes at a time: an error in transit or in a client shows; it need not withstand an attack.
struct Digest(u64);

impl Digest {
    fn word(&mut self, word: u64) {
        let mixed = (self.0 ^ word).wrapping_mul(0xff51_afd7_ed55_8ccd);
        self.0 = mixed ^ (mixed >> 29);
    }

    fn part(&mut self, bytes: &[u8]) {
        self.word(bytes.len() as u64);
        let mut words = bytes.chunks_exact(8);
        for chunk in &mut words {
            let mut word = [0u8; 8];
            word.copy_from_slice(chunk);
            self.word(u64::from_le_bytes(word));
        }
        let mut last = [0u8; 8];
        for (to, from) in last.iter_mut().zip(words.remainder()) {
            *to = *from;
        }
        self.word(u64::from_le_bytes(last));
    }
}
