//! Runs' records on enough disks: a runner that drains or leaves is acknowledged only then.
//!
//! The controller that is called publishes the record in the state table, where all learn it, and
//! asks the others to write it. Whoever learns a record writes it, asked or not, so that those who
//! lack it are few and soon none. Records are true whoever tells them and whenever, so they need no
//! order and no view, and what a disk gives back at a start is published at once.

use super::{ControllerCore, WriteTicket};
use crate::frame_kind::RUN_RECORDS;
use crate::run_record_message::{
    decode_records, encode_records, NamedRunRecord, RunRecordMessage, StoredRunRecord, MAX_RECORDS,
};
use crate::startup::{RecordKind, RecoveredState, RecoveryError};
use bytes::Bytes;
use chain_replication::Millis;
use compact_str::CompactString;
use peer_transport::Peer;
use relay_tree::{Stamp, StateEntry};
use runner_registry::{id_from_run_record_key, run_record_key, RunRecord};
use slog::info;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// The others are asked again after so long, for as long as a call waits.
const ASK_INTERVAL: Millis = 200;
/// A record is waited for by no call any more: longer than a call of a runner waits.
const FORGET_HOLDERS_AFTER: Millis = 1_000;
/// Most records that calls wait for, or waited for a moment ago; several times the calls that may
/// wait at once.
const MAX_WANTED: usize = 16_384;
/// A controller that asked is answered within this time, or asks again.
const REQUEST_TIMEOUT: Millis = 2_000;
/// Most records that others wait for here; beyond it they are not remembered, and asked for again.
const MAX_REQUESTS: usize = 16_384;

/// The disks that hold a record which calls wait for.
struct Holders {
    stamp: Stamp,
    /// The identities of the disks, by the controllers' addresses.
    disks: BTreeMap<SocketAddr, u64>,
    /// When a call asked for it last.
    wanted_at: Millis,
    /// When the others were asked last.
    asked_at: Millis,
}

/// Another controller waits for a record of this stamp.
struct StoreRequest {
    stamp: Stamp,
    at: Millis,
}

/// A write that is not synced.
struct UnsyncedWrite {
    ticket: u64,
    records: Vec<StoredRunRecord>,
}

/// Which records are on which disks.
#[derive(Default)]
pub(super) struct RunRecordStorage {
    /// Records that are to be written.
    unwritten: BTreeSet<CompactString>,
    unsynced: VecDeque<UnsyncedWrite>,
    last_ticket: u64,
    /// Records that were evicted while writes were on their way, and the last of these writes. Empty
    /// again once they are synced.
    evicted: BTreeMap<CompactString, u64>,
    /// What this disk holds.
    synced: BTreeMap<CompactString, Stamp>,
    holders: BTreeMap<CompactString, Holders>,
    /// By who waits, and the runner's id.
    requests: BTreeMap<(SocketAddr, CompactString), StoreRequest>,
}

impl RunRecordStorage {
    fn is_synced(&self, id: &str, stamp: Stamp) -> bool {
        self.synced.get(id).is_some_and(|known| *known >= stamp)
    }

    /// The writes up to this one are on disk.
    fn note_synced_writes(&mut self, ticket: u64) {
        let is_done = |write: &UnsyncedWrite| write.ticket <= ticket;
        while self.unsynced.front().is_some_and(is_done) {
            let Some(write) = self.unsynced.pop_front() else {
                return;
            };
            for record in write.records {
                let evicted_after = self.evicted.get(&record.id).copied();
                if evicted_after.is_none_or(|last| write.ticket > last) {
                    self.note_synced(record);
                }
            }
        }
        if self.unsynced.is_empty() {
            self.evicted.clear();
        }
    }

    fn note_synced(&mut self, record: StoredRunRecord) {
        let known = self.synced.entry(record.id).or_default();
        *known = record.stamp.max(*known);
    }

    /// A record is evicted, and gone from the disk with the next compaction: if the same is learned
    /// again, it is written again.
    fn forget(&mut self, id: &str) {
        self.unwritten.remove(id);
        self.synced.remove(id);
        if !self.unsynced.is_empty() {
            self.evicted.insert(id.into(), self.last_ticket);
        }
    }
}

impl ControllerCore {
    /// Takes in the records that the disk gave back.
    pub(super) fn restore_run_records(
        &mut self,
        recovered: &RecoveredState,
    ) -> Result<(), RecoveryError> {
        for body in recovered.run_records() {
            for NamedRunRecord { id, record } in
                decode_records(body).map_err(RecoveryError::RunRecords)?
            {
                let stamp = record.stamp();
                if self.registry.restore_run_record(&id, record).is_ok() {
                    self.run_records.note_synced(StoredRunRecord { id, stamp });
                }
            }
        }
        Ok(())
    }

    /// All records, as records of the log.
    pub(super) fn run_record_snapshot(&self) -> Vec<(RecordKind, Bytes)> {
        let named = |(id, record): (&str, &RunRecord)| NamedRunRecord {
            id: id.into(),
            record: record.clone(),
        };
        let records = self.registry.run_records().map(named).collect::<Vec<_>>();
        let bodies = records.chunks(MAX_RECORDS).map(encode_records);
        bodies.map(|body| (RecordKind::RunRecords, body)).collect()
    }

    /// Publishes the records that changed, and writes them. Whether there was anything to do.
    pub(super) fn work_off_run_records(&mut self, now: Millis) -> bool {
        let changed = self.registry.take_changed_run_records();
        for id in &changed {
            if let Some(entry) = self.registry.run_record_entry(id) {
                let is_on_disk = self.run_records.is_synced(id, entry.stamp);
                if self.has_disk() && !is_on_disk {
                    self.run_records.unwritten.insert(id.clone());
                }
                self.publish_entry(now, entry);
            }
            self.correct_runner(now, id);
        }
        for entry in self.registry.evict_run_records() {
            if let Some(id) = id_from_run_record_key(&entry.key) {
                self.run_records.forget(id);
            }
            self.publish_entry(now, entry);
        }
        self.write_run_records() || !changed.is_empty()
    }

    /// An entry of a record has changed in the state table.
    pub(super) fn run_record_changed(&mut self, now: Millis, id: &str) {
        let Some(entry) = self.state_table.get(&run_record_key(id)) else {
            // Another controller's table does not have it: this one's does again.
            return self.publish_run_record(now, id);
        };
        self.registry.apply_run_record_entry(entry);
        if self.registry.run_record(id).is_none() {
            self.run_records.forget(id);
        }
    }

    /// Publishes what is known of a run here.
    fn publish_run_record(&mut self, now: Millis, id: &str) {
        if let Some(entry) = self.registry.run_record_entry(id) {
            self.publish_entry(now, entry);
        }
    }

    fn publish_entry(&mut self, now: Millis, entry: StateEntry) {
        self.state_table
            .set(now, &entry.key, entry.stamp, entry.value);
    }

    /// Publishes what the record of a runner says, where a late heartbeat has undone it.
    pub(super) fn correct_runner(&mut self, now: Millis, id: &str) {
        if let Some(entry) = self.registry.correction(now, id) {
            info!(self.log, "runner state corrected by its record"; "runner" => id);
            self.publish_entry(now, entry);
        }
    }

    /// Hands over to the disk what is to be written, unless too much waits for it already.
    fn write_run_records(&mut self) -> bool {
        if self.disk_backlogged || self.run_records.unwritten.is_empty() {
            return false;
        }
        let ids = std::mem::take(&mut self.run_records.unwritten);
        let named = |id: CompactString| {
            let record = self.registry.run_record(&id)?.clone();
            Some(NamedRunRecord { id, record })
        };
        let records = ids.into_iter().filter_map(named).collect::<Vec<_>>();
        for chunk in records.chunks(MAX_RECORDS) {
            self.run_records.last_ticket += 1;
            let ticket = self.run_records.last_ticket;
            let stored = |named: &NamedRunRecord| StoredRunRecord {
                id: named.id.clone(),
                stamp: named.record.stamp(),
            };
            let records = chunk.iter().map(stored).collect();
            self.run_records
                .unsynced
                .push_back(UnsyncedWrite { ticket, records });
            self.write(WriteTicket::RunRecords(ticket), encode_records(chunk));
        }
        true
    }

    /// The writes up to this one are on disk.
    pub(super) fn run_records_synced(&mut self, ticket: u64) {
        self.run_records.note_synced_writes(ticket);
        self.answer_store_requests();
    }

    /// A call waits until enough disks hold the record: the others are asked to write it. None if
    /// there is no record, or too many are waited for.
    pub(super) fn want_stored(&mut self, now: Millis, id: &str) -> Option<Stamp> {
        let stamp = self.registry.run_record(id)?.stamp();
        let is_known = self.run_records.holders.contains_key(id);
        if !is_known && self.run_records.holders.len() >= MAX_WANTED {
            return None;
        }
        let holders = self.run_records.holders.entry(id.into());
        let holders = holders.or_insert_with(|| Holders {
            stamp,
            disks: BTreeMap::new(),
            wanted_at: now,
            asked_at: now,
        });
        if holders.stamp < stamp {
            holders.stamp = stamp;
            holders.disks.clear();
        }
        (holders.wanted_at, holders.asked_at) = (now, now);
        self.ask_to_store(now, &[id.into()]);
        Some(stamp)
    }

    /// Asks again for the records that calls wait for.
    pub(super) fn tick_run_records(&mut self, now: Millis) {
        let storage = &mut self.run_records;
        storage
            .holders
            .retain(|_, holders| now < holders.wanted_at + FORGET_HOLDERS_AFTER);
        storage
            .requests
            .retain(|_, request| now < request.at + REQUEST_TIMEOUT);
        let mut due = Vec::new();
        for (id, holders) in &mut storage.holders {
            if now >= holders.asked_at + ASK_INTERVAL {
                holders.asked_at = now;
                due.push(id.clone());
            }
        }
        for ids in due.chunks(MAX_RECORDS) {
            self.ask_to_store(now, ids);
        }
    }

    fn ask_to_store(&mut self, now: Millis, ids: &[CompactString]) {
        let named = |id: &CompactString| {
            let record = self.registry.run_record(id)?.clone();
            let id = id.clone();
            Some(NamedRunRecord { id, record })
        };
        let records = ids.iter().filter_map(named).collect();
        let body = RunRecordMessage::Store(records).encode();
        for addr in self.peers.with_disk(now) {
            self.send(addr, RUN_RECORDS, body.clone());
        }
    }

    pub(super) fn run_record_message(
        &mut self,
        now: Millis,
        from: &Peer,
        message: RunRecordMessage,
    ) {
        match message {
            RunRecordMessage::Store(records) => self.store_run_records(now, from.addr, records),
            // Only of a controller whose disk is known to be that one.
            RunRecordMessage::Stored { disk, .. }
                if self.peers.identity(from.addr) != Some(disk) => {}
            RunRecordMessage::Stored { disk, records } => {
                for StoredRunRecord { id, stamp } in records {
                    let holders = self.run_records.holders.get_mut(&id);
                    if let Some(holders) = holders.filter(|holders| stamp >= holders.stamp) {
                        holders.disks.insert(from.addr, disk);
                    }
                }
            }
        }
    }

    fn store_run_records(&mut self, now: Millis, from: SocketAddr, records: Vec<NamedRunRecord>) {
        if !self.has_disk() {
            return;
        }
        let mut stored = Vec::new();
        for NamedRunRecord { id, record } in records {
            let stamp = record.stamp();
            self.registry.apply_run_record_entry(&StateEntry {
                key: run_record_key(&id),
                stamp,
                value: Some(record.encode()),
            });
            if self.is_stored_here(&id, stamp) {
                stored.push(StoredRunRecord { id, stamp });
            } else if self.run_records.requests.len() < MAX_REQUESTS {
                let request = StoreRequest { stamp, at: now };
                self.run_records.requests.insert((from, id), request);
            }
        }
        self.confirm_stored(from, &stored);
    }

    /// Whether this disk holds a record. One of a run that another one has followed, as this
    /// controller knows, is not confirmed: the caller means the other.
    fn is_stored_here(&self, id: &str, stamp: Stamp) -> bool {
        self.registry.is_of_newest_run(id, stamp) && self.run_records.is_synced(id, stamp)
    }

    /// Tells those who wait for records which of them are on this disk now.
    fn answer_store_requests(&mut self) {
        let mut answers: BTreeMap<SocketAddr, Vec<StoredRunRecord>> = BTreeMap::new();
        let mut requests = std::mem::take(&mut self.run_records.requests);
        requests.retain(|(from, id), request| {
            let is_stored = self.is_stored_here(id, request.stamp);
            if is_stored {
                let (id, stamp) = (id.clone(), request.stamp);
                let record = StoredRunRecord { id, stamp };
                answers.entry(*from).or_default().push(record);
            }
            !is_stored
        });
        self.run_records.requests = requests;
        for (to, records) in answers {
            self.confirm_stored(to, &records);
        }
    }

    fn confirm_stored(&mut self, to: SocketAddr, records: &[StoredRunRecord]) {
        let disk = self.me.id;
        for records in records.chunks(MAX_RECORDS) {
            let records = records.to_vec();
            let message = RunRecordMessage::Stored { disk, records };
            self.send(to, RUN_RECORDS, message.encode());
        }
    }

    /// Whether enough disks hold a record: one more than may be lost. That of a controller which is
    /// about to stop does not count.
    pub(super) fn is_run_recorded(&self, id: &str, stamp: Stamp) -> bool {
        let holders = self.run_records.holders.get(id);
        let holders = holders.filter(|holders| holders.stamp >= stamp);
        let Some(holders) = holders.filter(|_| self.registry.is_of_newest_run(id, stamp)) else {
            return false;
        };
        let stays = |(addr, disk): &(&SocketAddr, &u64)| {
            self.peers.identity(**addr) == Some(**disk) && !self.peers.is_leaving(**addr)
        };
        let others = holders.disks.iter().filter(stays).count();
        let own = self.run_records.is_synced(id, stamp) && !self.shutdown.is_requested();
        others + usize::from(own) >= self.required_replicas()
    }
}
