//! The runs under one id: which of them a heartbeat is of, and what outlives the memory of
//! controllers.

use super::{Registry, TrackedRunner};
use crate::entry::tombstone;
use crate::error::EntryError;
use crate::heartbeat::{check_id, Heartbeat};
use crate::run_record::{id_from_run_record_key, RunPhase, RunRecord};
use crate::runner::RunnerState;
use crate::stamp::{self, MAX_GENERATION};
use compact_str::CompactString;
use relay_tree::{Ms, Stamp, StateEntry};

/// The run that a heartbeat is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunOfCall {
    /// The one that is there, or the first.
    Current { generation: u8, drains: bool },
    /// One that has just started.
    New { generation: u8 },
    /// One that left.
    Left { generation: u8 },
    /// One before the one that is there.
    Earlier,
}

impl Registry {
    /// The record of a runner's newest run; none while nothing of it must outlive this process.
    pub fn run_record(&self, id: &str) -> Option<&RunRecord> {
        self.records.get(id)
    }

    /// All records, those that have changed least recently first.
    pub fn run_records(&self) -> impl Iterator<Item = (&str, &RunRecord)> {
        self.records.iter()
    }

    /// The stamp of what is known of a runner; none if it is not in the table.
    pub fn stamp(&self, id: &str) -> Option<Stamp> {
        self.runners.get(id).map(|tracked| tracked.stamp)
    }

    /// Whether a record's stamp is of the newest run of this id, as far as this table knows. A
    /// record of a run that another one has followed ends nothing.
    pub fn is_of_newest_run(&self, id: &str, record: Stamp) -> bool {
        let newest = self.current_run(id).map(|run| run.generation);
        newest == Some(RunRecord::generation_of(record))
    }

    /// The entry that publishes a runner's record.
    pub fn run_record_entry(&self, id: &str) -> Option<StateEntry> {
        Some(self.records.get(id)?.entry(id))
    }

    /// The ids whose records changed since the last call.
    pub fn take_changed_run_records(&mut self) -> Vec<CompactString> {
        self.records.take_changed()
    }

    /// Evicts the oldest records beyond [`MAX_RUN_RECORDS`](crate::MAX_RUN_RECORDS), and returns
    /// what is to be published of that.
    pub fn evict_run_records(&mut self) -> Vec<StateEntry> {
        self.records.evict()
    }

    /// Takes in a record that was on disk.
    ///
    /// # Errors
    /// The id is none of a runner.
    pub fn restore_run_record(&mut self, id: &str, record: RunRecord) -> Result<(), EntryError> {
        check_id(id).map_err(|_| EntryError::Key)?;
        self.records.learn(id, record);
        Ok(())
    }

    /// An entry of a record has come from another controller. Entries of other keys, and values
    /// that are no records, are ignored. [`Registry::correction`] tells what is to be published
    /// then.
    pub fn apply_run_record_entry(&mut self, entry: &StateEntry) {
        let Some(id) = id_from_run_record_key(&entry.key) else {
            return;
        };
        let Some(value) = &entry.value else {
            // Evicted there; what this controller has learned since is kept.
            if self
                .run_record(id)
                .is_some_and(|known| known.stamp() < entry.stamp)
            {
                self.records.forget(id);
            }
            return;
        };
        let Ok(record) = RunRecord::decode(value) else {
            return;
        };
        let (generation, phase) = (record.generation, record.phase);
        self.records.learn(id, record);
        // Whoever receives the heartbeats of a run knows more of it than who was called at its end.
        let knows_more = |tracked: &TrackedRunner| {
            let is_same_run = stamp::generation(tracked.stamp) == generation;
            let seqno = self.records.get(id).map_or(0, |record| record.seqno);
            is_same_run && tracked.runner.seqno != u64::MAX && tracked.runner.seqno > seqno
        };
        if phase != RunPhase::Started && self.runners.get(id).is_some_and(knows_more) {
            self.learn_run(id, generation, phase);
        }
    }

    /// What is to be published of a runner whose entry is older than its record: another controller
    /// has taken a late heartbeat without knowing the record.
    pub fn correction(&mut self, now: Ms, id: &str) -> Option<StateEntry> {
        let record = self.records.get(id)?;
        let (generation, phase) = (record.generation, record.phase);
        let tracked = self.runners.get_mut(id)?;
        let tracked_generation = stamp::generation(tracked.stamp);
        if tracked.gone_since.is_some() || tracked_generation > generation {
            return None;
        }
        if tracked_generation < generation {
            let left = stamp::left(generation - 1);
            tracked.mark_gone(now, left);
            return Some(tombstone(id, left));
        }
        match phase {
            RunPhase::Left => {
                let left = stamp::left(generation);
                tracked.mark_gone(now, left);
                Some(tombstone(id, left))
            }
            RunPhase::Draining if tracked.runner.state == RunnerState::Up => {
                tracked.runner.state = RunnerState::Draining;
                let entry = tracked.runner.state_entry(generation);
                tracked.stamp = entry.stamp;
                Some(entry)
            }
            RunPhase::Started | RunPhase::Draining => None,
        }
    }

    /// The newest run under an id, from its record and from the table.
    pub(super) fn current_run(&self, id: &str) -> Option<RunRecord> {
        let record = self.records.get(id);
        let Some(tracked) = self.runners.get(id) else {
            return record.cloned();
        };
        let generation = stamp::generation(tracked.stamp);
        match record {
            Some(record) if record.generation > generation => Some(record.clone()),
            Some(record) if record.generation == generation => {
                let mut run = tracked.as_record(tracked.phase().max(record.phase));
                run.first_call_received |= record.first_call_received;
                run.seqno = run.seqno.max(record.seqno);
                run.addr = run.addr.or(record.addr);
                run.add_previous_addrs(record.addr.as_slice());
                run.add_previous_addrs(&record.previous_addrs);
                Some(run)
            }
            _ => Some(tracked.as_record(tracked.phase())),
        }
    }

    /// Records that the newest run has come to this phase, if that is not recorded yet.
    pub(super) fn record_run(&mut self, id: &str, generation: u8, phase: RunPhase) {
        let is_recorded =
            |known: &RunRecord| (known.generation, known.phase) >= (generation, phase);
        if !self.run_record(id).is_some_and(is_recorded) {
            self.learn_run(id, generation, phase);
        }
    }

    fn learn_run(&mut self, id: &str, generation: u8, phase: RunPhase) {
        let run = self
            .current_run(id)
            .filter(|run| run.generation == generation);
        if let Some(run) = run {
            self.records.learn(id, RunRecord { phase, ..run });
        }
    }

    pub(super) fn run_of_call(&mut self, now: Ms, id: &str, heartbeat: &Heartbeat) -> RunOfCall {
        let Some(run) = self.current_run(id) else {
            return RunOfCall::Current {
                generation: 0,
                drains: false,
            };
        };
        let generation = run.generation;
        let drains = run.phase == RunPhase::Draining;
        let is_earlier = run.is_preceded_by(heartbeat);
        let contradicts_end = run.phase == RunPhase::Left || drains && !heartbeat.draining;
        let has_succeeded = run.is_succeeded_by(heartbeat)
            || (is_earlier || contradicts_end) && {
                let max_pause = self.heartbeat_timeout_ms();
                self.returning
                    .has_returned(now, id, heartbeat.seqno, max_pause)
            };
        if has_succeeded && generation < MAX_GENERATION {
            let generation = generation + 1;
            return RunOfCall::New { generation };
        }
        if is_earlier {
            return RunOfCall::Earlier;
        }
        match run.phase {
            RunPhase::Left => RunOfCall::Left { generation },
            RunPhase::Started | RunPhase::Draining => RunOfCall::Current { generation, drains },
        }
    }
}

impl TrackedRunner {
    fn phase(&self) -> RunPhase {
        if stamp::is_left(self.stamp) {
            RunPhase::Left
        } else if self.is_draining() {
            RunPhase::Draining
        } else {
            RunPhase::Started
        }
    }

    fn as_record(&self, phase: RunPhase) -> RunRecord {
        let seqno = self.runner.seqno;
        RunRecord {
            generation: stamp::generation(self.stamp),
            phase,
            first_call_received: self.first_call_received,
            seqno: if seqno == u64::MAX { 0 } else { seqno },
            addr: Some(self.runner.addr).filter(|addr| addr.port() != 0),
            previous_addrs: self.previous_addrs.clone(),
        }
    }
}
