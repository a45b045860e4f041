//! What carriers and stores, and keepers and stores, say to each other: one struct a call, one a tell, one an answer.
//!
//! Every message is read with bounds on its lengths, whole or not at all; reading never panics and never sets
//! memory aside for bytes that have not come. `encode` of a message that is over a bound gives no bytes, which
//! no reader takes.

use crate::codec::{
    bytes as bytes_of, list, put_address, put_bytes, put_list, put_text, socket_address, text,
};
use binrw::binrw;
use bytes::Bytes;
use chain::{Status, View};
use compact_str::CompactString;
use std::net::SocketAddr;

pub use crate::codec::{Message, WireError};

/// Call of a carrier to a partition's head: [`SubmitCall`], answered by [`SubmitAnswer`].
pub const SUBMIT: u16 = 0x0301;
/// Call of a carrier to a partition's tail: [`ReadCall`], answered by [`ReadAnswer`].
pub const READ: u16 = 0x0302;
/// Call of a carrier to a partition's tail: [`BodyCall`], answered by [`BodyAnswer`].
pub const BODY: u16 = 0x0303;
/// Call of a carrier to a partition's head: [`EndCall`], answered by [`EndAnswer`].
pub const END: u16 = 0x0304;
/// Call of a carrier to a store that is head of some partitions: [`FetchCall`], answered by [`FetchAnswer`].
pub const FETCH: u16 = 0x0305;
/// Call of a carrier to a partition's head: [`DoneCall`], answered by [`DoneAnswer`].
pub const DONE: u16 = 0x0306;
/// Call of a carrier to a store that is head of some partitions: [`HoldCall`], answered by [`HoldAnswer`].
pub const HOLD: u16 = 0x0307;
/// Tell of a store to the keepers: [`Beat`].
pub const BEAT: u16 = 0x0310;
/// Tell of the keepers' head to a store: [`Grant`].
pub const GRANT: u16 = 0x0311;
/// Tell between the stores of one partition: [`ChainFrame`].
pub const CHAIN: u16 = 0x0312;

/// Into how many parts the hosts are split, each with a chain of stores of its own. It never changes.
pub const PARTITIONS: usize = 16;
/// How often a carrier says what it holds.
pub const HOLD_EVERY_MS: u64 = 500;
/// A holder that was silent for so long loses its leases.
pub const HOLDER_SILENT_MS: u64 = 2_500;
/// How often a store says to the keepers how it stands.
pub const BEAT_EVERY_MS: u64 = 300;
/// The longest time for which a call may be held until there is something to say.
pub const MAX_WAIT_MS: u32 = 2_000;
/// At most so many bytes of results in one answer to a read (one result at least, whatever its size).
pub const MAX_READ_BYTES: usize = 900_000;
/// At most so many bytes of items in one answer to a fetch (one item at least).
pub const MAX_FETCH_BYTES: usize = 1 << 20;

/// The most items in a lot, as the users' page says.
pub const MAX_ITEMS: usize = 200;
/// The most headers of an item.
pub const MAX_HEADERS: usize = 64;
/// The longest name of a lot, an item, a route, a host or a header.
pub const MAX_NAME: usize = 256;
/// The longest path or header value of an item.
pub const MAX_LINE: usize = 16 << 10;
/// The longest body of an item, or text of its result.
pub const MAX_BODY: usize = 4 << 20;
/// The most routes in one fetch, partitions in one list, or stores in the map.
pub const MAX_LIST: usize = 4_096;
/// The most holdings of one holder, results in one batch or items in one answer.
pub const MAX_HELD: usize = 65_536;

/// In which partition the lots of a host are: all routes of one host in one, so that a quota has one owner.
pub fn partition_of(host: &str) -> usize {
    // FNV-1a: the same on every machine and in every build. A port behind the name names no other host.
    let name = host.split(':').next().unwrap_or(host);
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte.to_ascii_lowercase())).wrapping_mul(0x0000_0100_0000_01b3);
    }
    ((hash ^ (hash >> 32)) % PARTITIONS as u64) as usize
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

/// One request of a lot.
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

/// A lot to be taken whole, or not at all.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmitCall {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub route: CompactString,
    /// The lot's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub lot: CompactString,
    /// How long ago the client sent it, as far as the carrier knows (0: just now).
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

/// What became of a lot.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitAnswer {
    /// It is kept on the disks of its chain: 202.
    #[brw(magic = 0u8)]
    Taken,
    /// It does not fit into the route's quota: 429, none of it will run.
    #[brw(magic = 1u8)]
    Full,
    /// It is certainly not taken, and never will be by this call: 503.
    #[brw(magic = 2u8)]
    Busy,
    /// Not taken here: another store is the partition's head.
    #[brw(magic = 3u8)]
    Moved {
        /// The head's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
    /// It can't be taken at all; the code is one of [`crate::codes::CODES`].
    #[brw(magic = 4u8)]
    Bad {
        /// Why.
        code: u16,
    },
    /// It may have been taken or not (the chain changed meanwhile): no promise; ask again. 502 rather than 503.
    #[brw(magic = 5u8)]
    Unsure,
}

/// Asks for results.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadCall {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The lot's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub lot: CompactString,
    /// The first position wanted.
    pub start_after: u32,
    /// How long the answer may be held until there is a result at that position (at most [`MAX_WAIT_MS`]).
    pub wait_ms: u32,
}

/// How an item ended.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It ran; the text is its whole output.
    Complete = 0,
    /// It was given up.
    Abandoned = 1,
}

impl State {
    /// As the answer to a client says it.
    pub const fn name(self) -> &'static str {
        match self {
            State::Complete => "complete",
            State::Abandoned => "abandoned",
        }
    }
}

/// One result at its position.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The item's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub id: CompactString,
    /// How it ended.
    pub state: State,
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
pub enum ReadAnswer {
    /// The results from the position asked for.
    #[brw(magic = 0u8)]
    Found {
        /// How many items the lot has.
        total: u32,
        /// The position behind the last of `results`.
        next: u32,
        /// The results, perhaps none.
        #[br(parse_with = list, args(MAX_ITEMS))]
        #[bw(write_with = put_list, args(MAX_ITEMS))]
        results: Vec<Listed>,
    },
    /// There is certainly no such lot: 404.
    #[brw(magic = 1u8)]
    Unknown,
    /// The store can't be sure: 503.
    #[brw(magic = 2u8)]
    Unsure,
    /// Another store is the partition's tail.
    #[brw(magic = 3u8)]
    Moved {
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
pub struct BodyCall {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The lot's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub lot: CompactString,
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
pub enum BodyAnswer {
    /// The decoded body.
    #[brw(magic = 0u8)]
    Found {
        /// Its bytes.
        #[br(parse_with = bytes_of, args(MAX_BODY))]
        #[bw(write_with = put_bytes, args(MAX_BODY))]
        body: Bytes,
    },
    /// No such lot or item, or it is listed, or the lot was ended: 404.
    #[brw(magic = 1u8)]
    Unknown,
    /// The store can't be sure: 503.
    #[brw(magic = 2u8)]
    Unsure,
    /// Another store is the partition's tail.
    #[brw(magic = 3u8)]
    Moved {
        /// The tail's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
}

/// Ends a lot.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndCall {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The lot's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub lot: CompactString,
}

/// Answer to an end.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndAnswer {
    /// It is ended, now or before: 200.
    #[brw(magic = 0u8)]
    Ended,
    /// There is no such lot.
    #[brw(magic = 1u8)]
    Unknown,
    /// It may be ended or not: 503; ask again.
    #[brw(magic = 2u8)]
    Unsure,
    /// Another store is the partition's head.
    #[brw(magic = 3u8)]
    Moved {
        /// The head's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
}

/// A route whose items a carrier can run, and how many.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// The route's host, which names the partition.
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

/// Asks a store for items of all partitions of which it is the head.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FetchCall {
    /// Who asks: the id of the carrier's process.
    pub holder: u64,
    /// How long the answer may be held until there is an item (at most [`MAX_WAIT_MS`]).
    pub wait_ms: u32,
    /// What it can run.
    #[br(parse_with = list, args(MAX_LIST))]
    #[bw(write_with = put_list, args(MAX_LIST))]
    pub wants: Vec<Want>,
}

/// An item that a carrier holds from now on.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leased {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub route: CompactString,
    /// The lot's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub lot: CompactString,
    /// Which item of the lot, from 0.
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
pub struct Elsewhere {
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
pub struct FetchAnswer {
    /// The items, oldest due first.
    #[br(parse_with = list, args(MAX_HELD))]
    #[bw(write_with = put_list, args(MAX_HELD))]
    pub items: Vec<Leased>,
    /// Partitions among the wants that have another head.
    #[br(parse_with = list, args(MAX_LIST))]
    #[bw(write_with = put_list, args(MAX_LIST))]
    pub elsewhere: Vec<Elsewhere>,
}

/// How a carrier's holding of an item ended.
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
    Impossible,
    /// Not done, no failure counted: to be given to another.
    #[brw(magic = 3u8)]
    Released,
}

/// What became of one leased item.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Done {
    /// The lot's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub lot: CompactString,
    /// Which item of the lot.
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
pub struct DoneCall {
    /// Who held them.
    pub holder: u64,
    /// The partition.
    pub partition: u16,
    /// The items.
    #[br(parse_with = list, args(MAX_HELD))]
    #[bw(write_with = put_list, args(MAX_HELD))]
    pub results: Vec<Done>,
}

/// Answer to [`DoneCall`].
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DoneAnswer {
    /// All of them are kept on the disks of the chain, or need not be: the carrier may forget them.
    #[brw(magic = 0u8)]
    Accepted,
    /// They may be kept or not: to be said again.
    #[brw(magic = 1u8)]
    Unsure,
    /// Another store is the partition's head: to be said there.
    #[brw(magic = 2u8)]
    Moved {
        /// The head's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
}

/// One item that a carrier holds.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The lot's id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub lot: CompactString,
    /// Which item of the lot.
    pub index: u32,
    /// The lease's number.
    pub lease: u64,
}

/// All that a carrier holds of one partition.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldPart {
    /// The partition.
    pub partition: u16,
    /// Its items.
    #[br(parse_with = list, args(MAX_HELD))]
    #[bw(write_with = put_list, args(MAX_HELD))]
    pub held: Vec<Held>,
}

/// All that a carrier holds of the partitions of which the called store is head, every [`HOLD_EVERY_MS`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldCall {
    /// Who holds it.
    pub holder: u64,
    /// What, by partition.
    #[br(parse_with = list, args(PARTITIONS))]
    #[bw(write_with = put_list, args(PARTITIONS))]
    pub parts: Vec<HeldPart>,
}

/// Answer for one partition of a [`HoldCall`].
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartAnswer {
    /// These must be dropped (the lot ended, the item is listed or held by another); the others are held on.
    #[brw(magic = 0u8)]
    Drop {
        /// Those to drop.
        #[br(parse_with = list, args(MAX_HELD))]
        #[bw(write_with = put_list, args(MAX_HELD))]
        drop: Vec<Held>,
    },
    /// The store can't say: hold on and ask again.
    #[brw(magic = 1u8)]
    Unsure,
    /// Another store is the partition's head: to be said there.
    #[brw(magic = 2u8)]
    Moved {
        /// The head's peer address.
        #[br(parse_with = socket_address)]
        #[bw(write_with = put_address)]
        to: SocketAddr,
    },
}

/// One partition's part of a [`HoldAnswer`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldPart {
    /// The partition.
    pub partition: u16,
    /// Its answer.
    pub answer: PartAnswer,
}

/// Answer to [`HoldCall`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldAnswer {
    /// One for each partition that was named.
    #[br(parse_with = list, args(PARTITIONS))]
    #[bw(write_with = put_list, args(PARTITIONS))]
    pub parts: Vec<HoldPart>,
}

/// How a store stands in the map.
#[binrw]
#[brw(little, repr = u8)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreState {
    /// It may be given partitions.
    Up = 0,
    /// It is being emptied.
    Retiring = 1,
    /// It holds nothing more: its machine may go.
    Retired = 2,
    /// It was silent for long.
    Gone = 3,
}

/// One store of the map.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreInfo {
    /// The machine's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub node: CompactString,
    /// Its peer address.
    #[br(parse_with = socket_address)]
    #[bw(write_with = put_address)]
    pub addr: SocketAddr,
    /// The id on its disk.
    pub id: u64,
    /// Its zone.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub zone: CompactString,
    /// How it stands.
    pub state: StoreState,
}

/// Which stores keep which partition: the value of the fact `stores`.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreMap {
    /// It rises with every change.
    pub number: u64,
    /// The chain of each partition (none before the first map).
    #[br(parse_with = list, args(PARTITIONS))]
    #[bw(write_with = put_list, args(PARTITIONS))]
    pub partitions: Vec<View>,
    /// All stores that were ever seen, unless forgotten.
    #[br(parse_with = list, args(MAX_LIST))]
    #[bw(write_with = put_list, args(MAX_LIST))]
    pub stores: Vec<StoreInfo>,
}

impl StoreMap {
    /// The head of the partition that keeps a host's lots.
    pub fn head_of(&self, host: &str) -> Option<SocketAddr> {
        self.partitions.get(partition_of(host))?.members.first().map(|m| m.addr)
    }

    /// The tail of the partition that keeps a host's lots.
    pub fn tail_of(&self, host: &str) -> Option<SocketAddr> {
        self.partitions.get(partition_of(host))?.members.last().map(|m| m.addr)
    }
}

/// How one partition stands at a store.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct PartStatus {
    /// The partition.
    pub partition: u16,
    /// Its chain's status.
    pub status: Status,
    /// How many lots it keeps.
    pub lots: u32,
}

/// A store's word to the keepers, every [`BEAT_EVERY_MS`].
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq)]
pub struct Beat {
    /// The store's peer address.
    #[br(parse_with = socket_address)]
    #[bw(write_with = put_address)]
    pub addr: SocketAddr,
    /// The id on its disk.
    pub id: u64,
    /// The machine's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub node: CompactString,
    /// Its zone.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub zone: CompactString,
    /// When it was sent, on the store's own steady clock: comes back in [`Grant`].
    pub sent_ms: u64,
    /// The number of the map that it knows (0: none).
    pub map: u64,
    /// The partitions of which it is a member or joiner.
    #[br(parse_with = list, args(PARTITIONS))]
    #[bw(write_with = put_list, args(PARTITIONS))]
    pub statuses: Vec<PartStatus>,
    /// Bytes of its disk in use.
    pub disk_used: u64,
    /// Bytes of its disk in all.
    pub disk_size: u64,
    /// It was told to end: its partitions should go on without it.
    #[br(map = |b: u8| b != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    pub leaving: bool,
}

/// The keepers' answer to a beat: the tail may serve reads until `sent_ms + lease_ms` on its own clock.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The beat's `sent_ms`.
    pub sent_ms: u64,
    /// For how long from then.
    pub lease_ms: u64,
    /// The number of the newest map: a lease is for its views, older ones have none.
    pub map: u64,
}

/// A message of one partition's chain between two stores.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChainFrame {
    /// The partition.
    pub partition: u16,
    /// What `chain::Msg` encodes to.
    #[br(parse_with = bytes_of, args(8 << 20))]
    #[bw(write_with = put_bytes, args(8 << 20))]
    pub body: Bytes,
}

impl ChainFrame {
    /// The partition and the message's bytes, without a copy; `None` if it is no such frame.
    pub fn split(frame: &Bytes) -> Option<(u16, Bytes)> {
        let head: [u8; 6] = frame.get(..6)?.try_into().ok()?;
        let [p0, p1, l0, l1, l2, l3] = head;
        let len = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        (frame.len() == len.checked_add(6)?).then(|| (u16::from_le_bytes([p0, p1]), frame.slice(6..)))
    }
}
