//! The replicated table of one partition: its batch jobs, their items, and the positions of the results.

use crate::codec::{bytes as bytes_of, list, put_bytes, put_list, put_text, text, Message};
use crate::command::{Command, ItemResult, Take};
use crate::json::escaped_len;
use crate::reservations::{Reservation, Reservations};
use crate::wire::{
    Header, Item, ResultEntry, ResultStatus, MAX_BODY, MAX_HEADERS, MAX_ITEMS, MAX_LINE, MAX_NAME,
};
use binrw::binrw;
use binrw::io::{Cursor, Write};
use binrw::{BinRead, BinWrite};
use bytes::Bytes;
use chain_replication::{SnapshotError, StateMachine};
use compact_str::CompactString;
use std::collections::BTreeMap;

/// What an item or a header costs in memory besides its bytes: about the sizes of their structs.
const ITEM_COST: usize = 160;
const HEADER_COST: usize = 48;
const BATCH_JOB_COST: usize = 512;

/// Bytes of a result for each token of its item: a token is four or five bytes of text, and about half of an item's
/// tokens are its prompt.
const TEXT_PER_TOKEN: u64 = 2;

/// Kind and version of a snapshot's first bytes.
const SNAPSHOT_MAGIC: u32 = 0x4c4f_5402;
/// The version before, which has no reservations behind its batch jobs.
const SNAPSHOT_WITHOUT_RESERVATIONS: u32 = 0x4c4f_5401;

/// Where one item stands.
#[binrw]
#[brw(little)]
#[br(return_unexpected_error)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// To be run: all that a runner needs is kept.
    #[brw(magic = 0u8)]
    Pending {
        /// The path to which it is posted.
        #[br(parse_with = text, args(MAX_LINE))]
        #[bw(write_with = put_text, args(MAX_LINE))]
        path: CompactString,
        /// The headers that go with it.
        #[br(parse_with = list, args(MAX_HEADERS))]
        #[bw(write_with = put_list, args(MAX_HEADERS))]
        headers: Vec<Header>,
        /// Its body.
        #[br(parse_with = bytes_of, args(MAX_BODY))]
        #[bw(write_with = put_bytes, args(MAX_BODY))]
        body: Bytes,
    },
    /// It has its position.
    #[brw(magic = 1u8)]
    Finished {
        /// How it ended.
        state: ResultStatus,
        /// Its text.
        #[br(parse_with = bytes_of, args(MAX_BODY))]
        #[bw(write_with = put_bytes, args(MAX_BODY))]
        text: Bytes,
    },
    /// Its batch job was ended before it was listed.
    #[brw(magic = 2u8)]
    Ended,
}

/// One item of a batch job.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchItem {
    /// Its id.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub id: CompactString,
    /// What the quota counts.
    pub tokens: u64,
    /// Where it stands.
    pub state: ItemState,
}

impl BatchItem {
    fn cost(&self) -> usize {
        ITEM_COST
            + self.id.len()
            + match &self.state {
                ItemState::Pending {
                    path,
                    headers,
                    body,
                } => {
                    let lines = |h: &Header| HEADER_COST + h.name.len() + h.value.len();
                    path.len() + body.len() + headers.iter().map(lines).sum::<usize>()
                }
                ItemState::Finished { text, .. } => text.len(),
                ItemState::Ended => 0,
            }
    }

    /// The item as it was submitted, while it waits.
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
}

/// One batch job.
#[binrw]
#[brw(little)]
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchJob {
    /// The route's host.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub host: CompactString,
    /// The route's name.
    #[br(parse_with = text, args(MAX_NAME))]
    #[bw(write_with = put_text, args(MAX_NAME))]
    pub route: CompactString,
    /// Digest of its content.
    pub content: u64,
    /// When it was sent, by the table's clock.
    pub sent: u64,
    /// When it was taken, by the table's clock.
    pub taken: u64,
    /// How long after the sending its results are due.
    pub due_ms: u64,
    /// How long after the sending an item may be given up (0: never).
    pub retain_ms: u64,
    /// After how many 500s an item is given up.
    pub tries: u32,
    /// Its client ended it.
    #[br(map = |b: u8| b != 0)]
    #[bw(map = |b: &bool| u8::from(*b))]
    pub ended: bool,
    /// Its items, in the client's order.
    #[br(parse_with = list, args(MAX_ITEMS))]
    #[bw(write_with = put_list, args(MAX_ITEMS))]
    pub items: Vec<BatchItem>,
    /// Which item has which position.
    #[br(parse_with = list, args(MAX_ITEMS))]
    #[bw(write_with = put_list, args(MAX_ITEMS))]
    pub order: Vec<u16>,
}

impl BatchJob {
    /// Whether nothing of it is to be run any more.
    pub fn over(&self) -> bool {
        self.ended || self.order.len() >= self.items.len()
    }

    /// Whether what was read is a batch job at all: every position names another item that is listed, and no other is.
    fn sound(&self) -> bool {
        let listed = |item: &BatchItem| matches!(item.state, ItemState::Finished { .. });
        let mut seen = [false; MAX_ITEMS];
        for index in &self.order {
            let place = seen.get_mut(usize::from(*index));
            match (place, self.items.get(usize::from(*index))) {
                (Some(seen), Some(item)) if !*seen && listed(item) => *seen = true,
                _ => return false,
            }
        }
        !self.items.is_empty()
            && self.items.iter().filter(|i| listed(i)).count() == self.order.len()
    }

    fn waiting_tokens(&self) -> u64 {
        let waiting = self
            .items
            .iter()
            .filter(|i| matches!(i.state, ItemState::Pending { .. }));
        waiting.fold(0, |sum, item| sum.saturating_add(item.tokens))
    }

    fn cost(&self) -> usize {
        BATCH_JOB_COST + self.items.iter().map(BatchItem::cost).sum::<usize>()
    }
}

/// What a read finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Found {
    /// How many items the batch job has.
    pub total: u32,
    /// The position behind the last result.
    pub next: u32,
    /// The results.
    pub results: Vec<ResultEntry>,
}

/// All batch jobs of one partition.
#[derive(Clone, Debug, Default)]
pub struct BatchJobTable {
    clock: u64,
    batch_jobs: BTreeMap<CompactString, BatchJob>,
    /// Waiting tokens a (host, route); those without any are left out. Derived from `batch_jobs`.
    waiting: BTreeMap<(CompactString, CompactString), u64>,
    /// What all batch jobs cost in memory. Derived from `batch_jobs`.
    bytes: usize,
    /// Tokens that are reserved for batch jobs of the hosts whose home partition this is.
    reserved: Reservations,
    /// Commands that no store should have sent; they change nothing.
    refused: u64,
}

impl PartialEq for BatchJobTable {
    /// The replicated state alone: what was refused on the way belongs to one store.
    fn eq(&self, other: &Self) -> bool {
        let derived = self.bytes == other.bytes && self.waiting == other.waiting;
        self.clock == other.clock
            && self.batch_jobs == other.batch_jobs
            && self.reserved == other.reserved
            && derived
    }
}

impl Eq for BatchJobTable {}

impl BatchJobTable {
    /// A partition without batch jobs.
    pub fn new() -> Self {
        Self::default()
    }

    /// The highest clock of all commands.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// How many batch jobs there are.
    pub fn len(&self) -> usize {
        self.batch_jobs.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.batch_jobs.is_empty()
    }

    /// About how many bytes of memory they need.
    pub fn bytes(&self) -> usize {
        self.bytes.saturating_add(self.reserved.bytes())
    }

    /// The tokens reserved for batch jobs of hosts whose home partition this is.
    pub fn reserved(&self) -> &Reservations {
        &self.reserved
    }

    /// The tokens of one batch job of a route that still wait; none of a batch job that isn't there.
    pub fn waiting_of(&self, host: &str, route: &str, id: &str) -> u64 {
        let batch_job = self
            .batch_jobs
            .get(id)
            .filter(|batch_job| batch_job.host == host && batch_job.route == route);
        batch_job.map_or(0, BatchJob::waiting_tokens)
    }

    /// About how many bytes they will need once all that waits is done: what is taken must still fit then.
    pub fn expected_bytes(&self) -> usize {
        let tokens = self
            .waiting
            .values()
            .fold(0u64, |sum, tokens| sum.saturating_add(*tokens));
        let texts = usize::try_from(tokens.saturating_mul(TEXT_PER_TOKEN)).unwrap_or(usize::MAX);
        self.bytes().saturating_add(texts)
    }

    /// How many commands made no sense: a fault of a store's program.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// One batch job.
    pub fn batch_job(&self, id: &str) -> Option<&BatchJob> {
        self.batch_jobs.get(id)
    }

    /// All batch jobs by their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, &BatchJob)> {
        self.batch_jobs.iter()
    }

    /// Tokens of the items of a route that are neither listed nor ended.
    pub fn waiting(&self, host: &str, route: &str) -> u64 {
        self.waiting
            .get(&(host.into(), route.into()))
            .copied()
            .unwrap_or(0)
    }

    /// The results of a batch job from a position on, up to `max_bytes` of JSON, at least one if there is one.
    /// `None`: no such batch job at this host.
    pub fn read(&self, host: &str, batch_job: &str, start: u32, max_bytes: usize) -> Option<Found> {
        let batch_job = self
            .batch_jobs
            .get(batch_job)
            .filter(|batch_job| batch_job.host.eq_ignore_ascii_case(host))?;
        let mut found = Found {
            total: u32::try_from(batch_job.items.len()).unwrap_or(u32::MAX),
            next: start,
            results: Vec::new(),
        };
        let mut bytes = 0usize;
        for index in batch_job.order.iter().skip(start as usize) {
            let Some(item) = batch_job.items.get(usize::from(*index)) else {
                break;
            };
            let ItemState::Finished { state, text } = &item.state else {
                break;
            };
            bytes = bytes.saturating_add(escaped_len(text) + escaped_len(item.id.as_bytes()) + 48);
            if bytes > max_bytes && !found.results.is_empty() {
                break;
            }
            found.results.push(ResultEntry {
                id: item.id.clone(),
                state: *state,
                text: text.clone(),
            });
            found.next = found.next.saturating_add(1);
        }
        Some(found)
    }

    /// How many results of a batch job are listed. `None`: no such batch job at this host.
    pub fn listed(&self, host: &str, batch_job: &str) -> Option<u32> {
        let batch_job = self
            .batch_jobs
            .get(batch_job)
            .filter(|batch_job| batch_job.host.eq_ignore_ascii_case(host))?;
        u32::try_from(batch_job.order.len()).ok()
    }

    /// The body of an item that still waits.
    pub fn body(&self, host: &str, batch_job: &str, item: &str) -> Option<Bytes> {
        let batch_job = self
            .batch_jobs
            .get(batch_job)
            .filter(|batch_job| batch_job.host.eq_ignore_ascii_case(host))?;
        batch_job
            .items
            .iter()
            .find(|i| i.id == item)
            .and_then(|item| match &item.state {
                ItemState::Pending { body, .. } => Some(body.clone()),
                ItemState::Finished { .. } | ItemState::Ended => None,
            })
    }

    fn apply_command(&mut self, command: Command) {
        match command {
            Command::Accept(take) => self.take(take),
            Command::RecordResults { clock, results } => {
                self.clock = self.clock.max(clock);
                for result in results {
                    self.list_result(result);
                }
            }
            Command::End { clock, batch_job } => {
                self.clock = self.clock.max(clock);
                self.end(&batch_job);
            }
            Command::Delete { clock, batch_job } => {
                self.clock = self.clock.max(clock);
                if let Some(batch_job) = self.batch_jobs.remove(&batch_job) {
                    self.bytes = self.bytes.saturating_sub(batch_job.cost());
                    self.less_waiting(
                        &batch_job.host,
                        &batch_job.route,
                        batch_job.waiting_tokens(),
                    );
                }
            }
            Command::AdvanceClock { clock } => self.clock = self.clock.max(clock),
            Command::Reserve {
                clock,
                host,
                route,
                batch_job,
                partition,
                tokens,
            } => {
                self.clock = self.clock.max(clock);
                self.reserved
                    .reserve(host, route, batch_job, Reservation { partition, tokens });
            }
            Command::UpdateReservations { clock, batch_jobs } => {
                self.clock = self.clock.max(clock);
                for left in batch_jobs {
                    self.reserved
                        .left(&left.host, &left.route, &left.batch_job, left.tokens);
                }
            }
        }
    }

    fn take(&mut self, take: Take) {
        self.clock = self.clock.max(take.clock);
        if take.items.is_empty() || self.batch_jobs.contains_key(&take.batch_job) {
            return;
        }
        let item = |item: Item| BatchItem {
            id: item.id,
            tokens: item.tokens,
            state: ItemState::Pending {
                path: item.path,
                headers: item.headers,
                body: item.body,
            },
        };
        let batch_job = BatchJob {
            host: take.host,
            route: take.route,
            content: take.content,
            sent: take.sent,
            taken: take.clock,
            due_ms: take.due_ms,
            retain_ms: take.retain_ms,
            tries: take.tries,
            ended: false,
            items: take.items.into_iter().map(item).collect(),
            order: Vec::new(),
        };
        self.add(take.batch_job, batch_job);
    }

    fn add(&mut self, id: CompactString, batch_job: BatchJob) {
        self.bytes = self.bytes.saturating_add(batch_job.cost());
        let tokens = batch_job.waiting_tokens();
        if tokens > 0 {
            let sum = self
                .waiting
                .entry((batch_job.host.clone(), batch_job.route.clone()))
                .or_insert(0);
            *sum = sum.saturating_add(tokens);
        }
        self.batch_jobs.insert(id, batch_job);
    }

    fn list_result(&mut self, result: ItemResult) {
        let Some(batch_job) = self
            .batch_jobs
            .get_mut(&result.batch_job)
            .filter(|batch_job| !batch_job.ended)
        else {
            return;
        };
        let (Some(item), Ok(index)) = (
            batch_job.items.get_mut(result.index as usize),
            u16::try_from(result.index),
        ) else {
            self.refused += 1;
            return;
        };
        if !matches!(item.state, ItemState::Pending { .. }) {
            return;
        }
        let before = item.cost();
        let text = match result.state {
            ResultStatus::Complete => result.text,
            ResultStatus::Abandoned => Bytes::new(),
        };
        item.state = ItemState::Finished {
            state: result.state,
            text,
        };
        self.bytes = (self.bytes + item.cost()).saturating_sub(before);
        batch_job.order.push(index);
        let (host, route, tokens) = (batch_job.host.clone(), batch_job.route.clone(), item.tokens);
        self.less_waiting(&host, &route, tokens);
    }

    fn end(&mut self, id: &str) {
        let Some(batch_job) = self
            .batch_jobs
            .get_mut(id)
            .filter(|batch_job| !batch_job.ended)
        else {
            return;
        };
        let (before, tokens) = (batch_job.cost(), batch_job.waiting_tokens());
        batch_job.ended = true;
        for item in &mut batch_job.items {
            if matches!(item.state, ItemState::Pending { .. }) {
                item.state = ItemState::Ended;
            }
        }
        self.bytes = (self.bytes + batch_job.cost()).saturating_sub(before);
        let (host, route) = (batch_job.host.clone(), batch_job.route.clone());
        self.less_waiting(&host, &route, tokens);
    }

    fn less_waiting(&mut self, host: &CompactString, route: &CompactString, tokens: u64) {
        let key = (host.clone(), route.clone());
        if let Some(sum) = self.waiting.get_mut(&key) {
            *sum = sum.saturating_sub(tokens);
            if *sum == 0 {
                self.waiting.remove(&key);
            }
        }
    }

    fn read_snapshot(snapshot: &[u8]) -> binrw::BinResult<Self> {
        let mut cursor = Cursor::new(snapshot);
        let wrong = |message: &str| binrw::Error::AssertFail {
            pos: 0,
            message: message.to_owned(),
        };
        let magic = u32::read_le(&mut cursor)?;
        if magic != SNAPSHOT_MAGIC && magic != SNAPSHOT_WITHOUT_RESERVATIONS {
            return Err(wrong("another kind of snapshot"));
        }
        let mut batch_jobs = BatchJobTable {
            clock: u64::read_le(&mut cursor)?,
            ..BatchJobTable::default()
        };
        for _ in 0..u32::read_le(&mut cursor)? {
            let entry = Entry::read(&mut cursor)?;
            if !entry.batch_job.sound() || batch_jobs.batch_jobs.contains_key(&entry.id) {
                return Err(wrong("a batch job that can't be"));
            }
            batch_jobs.add(entry.id, entry.batch_job);
        }
        if magic == SNAPSHOT_MAGIC {
            batch_jobs.reserved = Reservations::read(&mut cursor)?;
        }
        if cursor.position() != snapshot.len() as u64 {
            return Err(wrong("bytes behind the last batch job"));
        }
        Ok(batch_jobs)
    }

    fn write_snapshot<W: Write + binrw::io::Seek>(&self, out: &mut W) -> binrw::BinResult<()> {
        // Without reservations it is one that the version before reads, too: chains of both go on in a rolling upgrade.
        let without = self.reserved.is_empty();
        if without {
            SNAPSHOT_WITHOUT_RESERVATIONS
        } else {
            SNAPSHOT_MAGIC
        }
        .write_le(out)?;
        self.clock.write_le(out)?;
        u32::try_from(self.batch_jobs.len())
            .unwrap_or(u32::MAX)
            .write_le(out)?;
        for (id, batch_job) in &self.batch_jobs {
            u32::try_from(id.len()).unwrap_or(u32::MAX).write_le(out)?;
            out.write_all(id.as_bytes())?;
            batch_job.write(out)?;
        }
        if without {
            return Ok(());
        }
        self.reserved.write(out)
    }
}

#[derive(BinRead)]
#[br(little)]
struct Entry {
    #[br(parse_with = text, args(MAX_NAME))]
    id: CompactString,
    batch_job: BatchJob,
}

impl StateMachine for BatchJobTable {
    fn apply(&mut self, _number: u64, command: &[u8]) {
        match Command::decode(command) {
            Ok(command) => self.apply_command(command),
            Err(_) => self.refused += 1,
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut out = Cursor::new(Vec::with_capacity(self.bytes + 64));
        match self.write_snapshot(&mut out) {
            Ok(()) => out.into_inner(),
            // Every field was checked against the same bounds when it came in.
            Err(_) => Vec::new(),
        }
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        let restored =
            Self::read_snapshot(snapshot).map_err(|error| SnapshotError(error.to_string()))?;
        *self = restored;
        Ok(())
    }
}
