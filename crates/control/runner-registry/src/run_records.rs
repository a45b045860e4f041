//! The records of runs that a controller keeps, oldest first.

use crate::run_record::RunRecord;
use compact_str::CompactString;
use relay_tree::StateEntry;
use std::collections::BTreeMap;

/// Most records; beyond it the one that has changed least recently is evicted. A release of 4,500
/// of 10,000 runners fits three times.
pub const MAX_RUN_RECORDS: usize = 16_384;

#[derive(Debug)]
struct KnownRecord {
    record: RunRecord,
    /// Rises with each change of any record.
    number: u64,
}

/// The records by id.
#[derive(Debug, Default)]
pub(crate) struct RunRecords {
    by_id: BTreeMap<CompactString, KnownRecord>,
    /// Ids in the order of the records' last changes.
    by_number: BTreeMap<u64, CompactString>,
    newest_number: u64,
    /// Ids whose records changed since they were taken last.
    changed: Vec<CompactString>,
}

impl RunRecords {
    pub(crate) fn get(&self, id: &str) -> Option<&RunRecord> {
        self.by_id.get(id).map(|known| &known.record)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&str, &RunRecord)> {
        let by_age = self.by_number.values();
        by_age.filter_map(|id| Some((id.as_str(), self.get(id)?)))
    }

    /// Takes a record in if it supersedes what is known of the id.
    pub(crate) fn learn(&mut self, id: &str, record: RunRecord) {
        let known = self.by_id.get(id);
        if known.is_some_and(|known| known.record.stamp() >= record.stamp()) {
            return;
        }
        if let Some(known) = known {
            self.by_number.remove(&known.number);
        }
        self.newest_number += 1;
        let number = self.newest_number;
        self.by_number.insert(number, id.into());
        self.by_id.insert(id.into(), KnownRecord { record, number });
        self.changed.push(id.into());
    }

    /// Forgets a record that another controller evicted.
    pub(crate) fn forget(&mut self, id: &str) {
        if let Some(known) = self.by_id.remove(id) {
            self.by_number.remove(&known.number);
        }
    }

    /// Evicts what is beyond [`MAX_RUN_RECORDS`]; returns what is to be published of it.
    pub(crate) fn evict(&mut self) -> Vec<StateEntry> {
        let mut evictions = Vec::new();
        while self.by_id.len() > MAX_RUN_RECORDS {
            let Some((_, id)) = self.by_number.pop_first() else {
                break;
            };
            if let Some(known) = self.by_id.remove(&id) {
                evictions.push(known.record.eviction(&id));
            }
        }
        evictions
    }

    /// The ids whose records changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Vec<CompactString> {
        std::mem::take(&mut self.changed)
    }
}
