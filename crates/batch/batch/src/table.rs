//! The replicated table of one partition: its batch jobs, their items, the positions of the
//! results, and the reservations of the hosts whose home partition it is.
//!
//! It changes by [`Command`]s alone, and the same commands give the same table at every store. The
//! result of an item is recorded once, and its position never changes. A command that arrives
//! twice, or that makes no sense, changes nothing.

mod job;
mod snapshot;

use crate::codec::Message;
use crate::command::{AcceptedJob, Command, ItemResult};
use crate::json::escaped_len;
use crate::reservations::{Reservation, Reservations};
use crate::wire::{ResultEntry, ResultStatus};
use binrw::io::Cursor;
use bytes::Bytes;
use chain_replication::{SnapshotError, StateMachine};
use compact_str::CompactString;
use std::collections::BTreeMap;

pub use job::{BatchItem, BatchJob, ItemState};

/// The bytes of a result for each token of its item: a token is four or five bytes of text, and
/// about half of an item's tokens are its prompt.
const RESULT_BYTES_PER_TOKEN: u64 = 2;
/// What an entry costs in the JSON of a read beside the escaped id and text, in bytes.
const ENTRY_JSON_OVERHEAD: usize = 48;

/// What a read finds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultPage {
    /// How many items the batch job has.
    pub total: u32,
    /// The position after the last result of the page.
    pub next: u32,
    /// The results.
    pub results: Vec<ResultEntry>,
}

/// All batch jobs of one partition.
#[derive(Clone, Debug, Default)]
pub struct BatchJobTable {
    clock: u64,
    batch_jobs: BTreeMap<CompactString, BatchJob>,
    /// The queued tokens of each (host, route) with any. Derived from `batch_jobs`.
    queued: BTreeMap<(CompactString, CompactString), u64>,
    /// What all batch jobs cost in memory, in bytes. Derived from `batch_jobs`.
    bytes: usize,
    /// Tokens that are reserved for batch jobs of the hosts whose home partition this is.
    reserved: Reservations,
    /// Commands that no store should have sent; they change nothing.
    rejected: u64,
}

impl PartialEq for BatchJobTable {
    /// Compares the replicated state alone: what was rejected on the way belongs to one store.
    fn eq(&self, other: &Self) -> bool {
        let derived = self.bytes == other.bytes && self.queued == other.queued;
        self.clock == other.clock
            && self.batch_jobs == other.batch_jobs
            && self.reserved == other.reserved
            && derived
    }
}

impl Eq for BatchJobTable {}

/// What may be asked of a table.
impl BatchJobTable {
    /// A partition without batch jobs.
    pub fn new() -> Self {
        Self::default()
    }

    /// The highest clock of all commands, in milliseconds.
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

    /// About how many bytes of memory the table takes.
    pub fn bytes(&self) -> usize {
        self.bytes.saturating_add(self.reserved.bytes())
    }

    /// About how many bytes of memory the table will take once all that is queued has its result:
    /// what is accepted must still fit then.
    pub fn expected_bytes(&self) -> usize {
        let tokens = self
            .queued
            .values()
            .fold(0u64, |sum, tokens| sum.saturating_add(*tokens));
        let results = tokens.saturating_mul(RESULT_BYTES_PER_TOKEN);
        self.bytes()
            .saturating_add(usize::try_from(results).unwrap_or(usize::MAX))
    }

    /// The tokens reserved for batch jobs of hosts whose home partition this is.
    pub fn reserved(&self) -> &Reservations {
        &self.reserved
    }

    /// How many commands were malformed or named an item that does not exist: a fault of a store's
    /// program.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// One batch job.
    pub fn batch_job(&self, id: &str) -> Option<&BatchJob> {
        self.batch_jobs.get(id)
    }

    /// All batch jobs in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&CompactString, &BatchJob)> {
        self.batch_jobs.iter()
    }

    /// The tokens of the items of a route that are pending.
    pub fn queued_tokens(&self, host: &str, route: &str) -> u64 {
        let key = (host.into(), route.into());
        self.queued.get(&key).copied().unwrap_or(0)
    }

    /// The tokens of one batch job of a route that are pending; 0 for a batch job that does not
    /// exist.
    pub fn queued_tokens_of(&self, host: &str, route: &str, id: &str) -> u64 {
        let job = self.batch_jobs.get(id);
        let job = job.filter(|job| job.host == host && job.route == route);
        job.map_or(0, BatchJob::queued_tokens)
    }

    /// The results of a batch job from the position `start` on, up to `max_bytes` of JSON, but at
    /// least one if there is one. `None`: no such batch job at this host.
    pub fn read(
        &self,
        host: &str,
        batch_job: &str,
        start: u32,
        max_bytes: usize,
    ) -> Option<ResultPage> {
        let job = self.at_host(host, batch_job)?;
        let mut page = ResultPage {
            total: u32::try_from(job.items.len()).unwrap_or(u32::MAX),
            next: start,
            results: Vec::new(),
        };
        let mut bytes = 0usize;
        for index in job.order.iter().skip(start as usize) {
            let Some(item) = job.items.get(usize::from(*index)) else {
                break;
            };
            let ItemState::Finished { status, text } = &item.state else {
                break;
            };
            let escaped = escaped_len(text) + escaped_len(item.id.as_bytes());
            bytes = bytes.saturating_add(escaped + ENTRY_JSON_OVERHEAD);
            if bytes > max_bytes && !page.results.is_empty() {
                break;
            }
            page.results.push(ResultEntry {
                id: item.id.clone(),
                status: *status,
                text: text.clone(),
            });
            page.next = page.next.saturating_add(1);
        }
        Some(page)
    }

    /// How many results a batch job has. `None`: no such batch job at this host.
    pub fn result_count(&self, host: &str, batch_job: &str) -> Option<u32> {
        u32::try_from(self.at_host(host, batch_job)?.order.len()).ok()
    }

    /// The body of an item that is pending.
    pub fn item_body(&self, host: &str, batch_job: &str, item: &str) -> Option<Bytes> {
        let job = self.at_host(host, batch_job)?;
        let item = job.items.iter().find(|found| found.id == item)?;
        match &item.state {
            ItemState::Pending { body, .. } => Some(body.clone()),
            ItemState::Finished { .. } | ItemState::Ended => None,
        }
    }

    fn at_host(&self, host: &str, batch_job: &str) -> Option<&BatchJob> {
        let job = self.batch_jobs.get(batch_job)?;
        job.host.eq_ignore_ascii_case(host).then_some(job)
    }
}

/// How commands change a table.
impl BatchJobTable {
    fn apply_command(&mut self, command: Command) {
        self.clock = self.clock.max(command.clock());
        match command {
            Command::Accept(job) => self.accept(job),
            Command::RecordResults { results, .. } => {
                for result in results {
                    self.record_result(result);
                }
            }
            Command::End { batch_job, .. } => self.end(&batch_job),
            Command::Delete { batch_job, .. } => {
                if let Some(job) = self.batch_jobs.remove(&batch_job) {
                    self.bytes = self.bytes.saturating_sub(job.cost());
                    self.dequeue(&job.host, &job.route, job.queued_tokens());
                }
            }
            Command::AdvanceClock { .. } => {}
            Command::Reserve {
                job,
                partition,
                tokens,
                ..
            } => self
                .reserved
                .reserve(job, Reservation { partition, tokens }),
            Command::UpdateReservations { jobs, .. } => {
                for left in jobs {
                    self.reserved.shrink(&left.job, left.tokens);
                }
            }
        }
    }

    fn accept(&mut self, job: AcceptedJob) {
        if job.items.is_empty() || self.batch_jobs.contains_key(&job.batch_job) {
            return;
        }
        let (id, batch_job) = BatchJob::from_command(job);
        self.add(id, batch_job);
    }

    fn add(&mut self, id: CompactString, job: BatchJob) {
        self.bytes = self.bytes.saturating_add(job.cost());
        let tokens = job.queued_tokens();
        if tokens > 0 {
            let route = (job.host.clone(), job.route.clone());
            let sum = self.queued.entry(route).or_insert(0);
            *sum = sum.saturating_add(tokens);
        }
        self.batch_jobs.insert(id, job);
    }

    fn record_result(&mut self, result: ItemResult) {
        let job = self.batch_jobs.get_mut(&result.batch_job);
        let Some(job) = job.filter(|job| !job.ended) else {
            return;
        };
        let item = job.items.get_mut(result.index as usize);
        let (Some(item), Ok(index)) = (item, u16::try_from(result.index)) else {
            self.rejected += 1;
            return;
        };
        if !item.is_pending() {
            return;
        }
        let before = item.cost();
        let text = match result.status {
            ResultStatus::Complete => result.text,
            ResultStatus::Abandoned => Bytes::new(),
        };
        item.state = ItemState::Finished {
            status: result.status,
            text,
        };
        self.bytes = (self.bytes + item.cost()).saturating_sub(before);
        job.order.push(index);
        let (host, route, tokens) = (job.host.clone(), job.route.clone(), item.tokens);
        self.dequeue(&host, &route, tokens);
    }

    fn end(&mut self, id: &str) {
        let Some(job) = self.batch_jobs.get_mut(id).filter(|job| !job.ended) else {
            return;
        };
        let (before, tokens) = (job.cost(), job.queued_tokens());
        job.ended = true;
        for item in &mut job.items {
            if item.is_pending() {
                item.state = ItemState::Ended;
            }
        }
        self.bytes = (self.bytes + job.cost()).saturating_sub(before);
        let (host, route) = (job.host.clone(), job.route.clone());
        self.dequeue(&host, &route, tokens);
    }

    fn dequeue(&mut self, host: &CompactString, route: &CompactString, tokens: u64) {
        let key = (host.clone(), route.clone());
        if let Some(sum) = self.queued.get_mut(&key) {
            *sum = sum.saturating_sub(tokens);
            if *sum == 0 {
                self.queued.remove(&key);
            }
        }
    }
}

impl StateMachine for BatchJobTable {
    fn apply(&mut self, _number: u64, command: &[u8]) {
        match Command::decode(command) {
            Ok(command) => self.apply_command(command),
            Err(_) => self.rejected += 1,
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut out = Cursor::new(Vec::with_capacity(self.bytes + 64));
        match snapshot::write(self, &mut out) {
            Ok(()) => out.into_inner(),
            // Every field was checked against the same bounds when it was read.
            Err(_) => Vec::new(),
        }
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), SnapshotError> {
        *self = snapshot::read(snapshot).map_err(|error| SnapshotError(error.to_string()))?;
        Ok(())
    }
}
