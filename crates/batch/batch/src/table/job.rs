//! One batch job of the table: its items and the positions of their results. The layouts are those
//! of the snapshot on disk.

use crate::codec::{
    flag, flag_byte, read_bytes, read_list, read_name, read_text, write_bytes, write_list,
    write_name, write_text,
};
use crate::command::AcceptedJob;
use crate::wire::{Header, Item, ResultStatus, MAX_BODY, MAX_HEADERS, MAX_ITEMS, MAX_VALUE};
use binrw::binrw;
use bytes::Bytes;
use compact_str::CompactString;

/// What an item, a header or a batch job costs in memory beside its bytes: about the sizes of their
/// structs.
const ITEM_COST: usize = 160;
const HEADER_COST: usize = 48;
const BATCH_JOB_COST: usize = 512;

/// The state of one item.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// To be run: all that a runner needs is stored.
    #[brw(magic = 0u8)]
    Pending {
        /// The path to which it is posted.
        #[br(parse_with = read_text, args(MAX_VALUE))]
        #[bw(write_with = write_text, args(MAX_VALUE))]
        path: CompactString,
        /// The headers that go with it.
        #[br(parse_with = read_list, args(MAX_HEADERS))]
        #[bw(write_with = write_list, args(MAX_HEADERS))]
        headers: Vec<Header>,
        /// Its body.
        #[br(parse_with = read_bytes, args(MAX_BODY))]
        #[bw(write_with = write_bytes, args(MAX_BODY))]
        body: Bytes,
    },
    /// It has its result and the position of it.
    #[brw(magic = 1u8)]
    Finished {
        /// How it ended.
        status: ResultStatus,
        /// Its text.
        #[br(parse_with = read_bytes, args(MAX_BODY))]
        #[bw(write_with = write_bytes, args(MAX_BODY))]
        text: Bytes,
    },
    /// Its batch job was ended before it had a result.
    #[brw(magic = 2u8)]
    Ended,
}

/// One item of a batch job.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchItem {
    /// Its id.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub id: CompactString,
    /// What counts against the route's quota.
    pub tokens: u64,
    /// Its state.
    pub state: ItemState,
}

impl BatchItem {
    pub(super) fn cost(&self) -> usize {
        let content = match &self.state {
            ItemState::Pending {
                path,
                headers,
                body,
            } => {
                let header_cost =
                    |header: &Header| HEADER_COST + header.name.len() + header.value.len();
                path.len() + body.len() + headers.iter().map(header_cost).sum::<usize>()
            }
            ItemState::Finished { text, .. } => text.len(),
            ItemState::Ended => 0,
        };
        ITEM_COST + self.id.len() + content
    }

    /// The item as it was submitted, while it is pending.
    pub fn request(&self) -> Option<Item> {
        match &self.state {
            ItemState::Pending {
                path,
                headers,
                body,
            } => Some(Item {
                id: self.id.clone(),
                path: path.clone(),
                headers: headers.clone(),
                body: body.clone(),
                tokens: self.tokens,
            }),
            ItemState::Finished { .. } | ItemState::Ended => None,
        }
    }

    fn is_finished(&self) -> bool {
        matches!(self.state, ItemState::Finished { .. })
    }

    pub(super) fn is_pending(&self) -> bool {
        matches!(self.state, ItemState::Pending { .. })
    }
}

impl From<Item> for BatchItem {
    fn from(item: Item) -> Self {
        BatchItem {
            id: item.id,
            tokens: item.tokens,
            state: ItemState::Pending {
                path: item.path,
                headers: item.headers,
                body: item.body,
            },
        }
    }
}

/// One batch job.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchJob {
    /// The route's host.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = read_name)]
    #[bw(write_with = write_name)]
    pub route: CompactString,
    /// [`content_digest`](crate::content_digest) of the job.
    pub content: u64,
    /// When it was sent, by the table's clock.
    pub sent: u64,
    /// When it was accepted, by the table's clock.
    pub accepted: u64,
    /// How long after the sending its results are due.
    pub due_ms: u64,
    /// How long after the sending an item may be given up (0: never).
    pub retain_ms: u64,
    /// After how many responses with status 500 an item is given up.
    pub max_failures: u32,
    /// Its client ended it.
    #[br(map = flag)]
    #[bw(map = flag_byte)]
    pub ended: bool,
    /// Its items, in the client's order.
    #[br(parse_with = read_list, args(MAX_ITEMS))]
    #[bw(write_with = write_list, args(MAX_ITEMS))]
    pub items: Vec<BatchItem>,
    /// The indices of the items with results, in the order of the results' positions.
    #[br(parse_with = read_list, args(MAX_ITEMS))]
    #[bw(write_with = write_list, args(MAX_ITEMS))]
    pub order: Vec<u16>,
}

impl BatchJob {
    /// The batch job that a command accepts, with its id.
    pub(super) fn from_command(job: AcceptedJob) -> (CompactString, BatchJob) {
        let batch_job = BatchJob {
            host: job.host,
            route: job.route,
            content: job.content,
            sent: job.sent,
            accepted: job.clock,
            due_ms: job.due_ms,
            retain_ms: job.retain_ms,
            max_failures: job.max_failures,
            ended: false,
            items: job.items.into_iter().map(BatchItem::from).collect(),
            order: Vec::new(),
        };
        (job.batch_job, batch_job)
    }

    /// Whether nothing of it is to be run any more.
    pub fn is_finished(&self) -> bool {
        self.ended || self.order.len() >= self.items.len()
    }

    /// Whether what was read can be a batch job: every position names another item with a result,
    /// and no other item has one.
    pub(super) fn is_consistent(&self) -> bool {
        let mut seen = [false; MAX_ITEMS];
        for index in &self.order {
            let index = usize::from(*index);
            match (seen.get_mut(index), self.items.get(index)) {
                (Some(seen), Some(item)) if !*seen && item.is_finished() => *seen = true,
                _ => return false,
            }
        }
        let finished = self.items.iter().filter(|item| item.is_finished()).count();
        !self.items.is_empty() && finished == self.order.len()
    }

    pub(super) fn queued_tokens(&self) -> u64 {
        let pending = self.items.iter().filter(|item| item.is_pending());
        pending.fold(0, |sum, item| sum.saturating_add(item.tokens))
    }

    pub(super) fn cost(&self) -> usize {
        BATCH_JOB_COST + self.items.iter().map(BatchItem::cost).sum::<usize>()
    }
}
