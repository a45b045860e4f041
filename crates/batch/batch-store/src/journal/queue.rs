//! Records that wait to be handed to the log, in order.

use super::record::{self, FIRST, MIDDLE};
use bytes::Bytes;
use chain_replication::Millis;
use std::collections::VecDeque;
use write_ahead_log::Record;

/// What a write that is not on disk yet means for a compaction of its partition.
pub(super) enum Retained {
    /// The full state covers it.
    ByState,
    /// It is to be written again after the full state.
    Rewrite(Bytes),
    /// It replaces the state: no compaction starts before it is on disk.
    Replaces,
}

/// The end of a write: the ticket of its chain.
pub(super) struct WriteEnd {
    pub ticket: u64,
    pub retained: Retained,
}

pub(super) struct Queued {
    pub record: Record,
    /// At the last record of a write.
    pub end: Option<WriteEnd>,
    /// At the first record of a write: the bytes of all its records.
    pub total: u64,
    /// When it was queued.
    pub since: Millis,
}

impl Queued {
    /// Whether more chunks of the same write follow: nothing of its partition may come between
    /// them.
    pub fn is_continued(&self) -> bool {
        matches!(self.record.kind, FIRST | MIDDLE)
    }
}

#[derive(Default)]
pub(super) struct Queue {
    pub records: VecDeque<Queued>,
    /// Some chunks of a write have been handed over, and not yet all.
    pub is_within: bool,
}

impl Queue {
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Queues a write in chunks.
    pub fn write_chunks(
        &mut self,
        now: Millis,
        partition: u16,
        body: &Bytes,
        mut end: Option<WriteEnd>,
    ) {
        let records = record::chunks(partition, body);
        let last = records.len() - 1;
        for (at, record) in records.into_iter().enumerate() {
            self.records.push_back(Queued {
                record,
                end: if at == last { end.take() } else { None },
                total: if at == 0 { body.len() as u64 } else { 0 },
                since: now,
            });
        }
    }

    /// Takes out the records of a partition.
    pub fn remove_partition(&mut self, partition: u16) -> Vec<Queued> {
        let group = u32::from(partition);
        // Chunks without an end are void by what follows.
        let front = self.records.front();
        self.is_within &= front.is_some_and(|queued| queued.record.group != group);
        let all = std::mem::take(&mut self.records);
        let (removed, rest): (Vec<Queued>, Vec<Queued>) = all
            .into_iter()
            .partition(|queued| queued.record.group == group);
        self.records = rest.into();
        removed
    }
}
