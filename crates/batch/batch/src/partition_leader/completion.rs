//! What became of leased items: results, failures that count, leases given back.

use super::{LeaseState, PartitionLeader};
use crate::command::{Command, ItemResult};
use crate::lease_table::ItemKey;
use crate::route_queue::QueuedItem;
use crate::wire::{Completion, LeaseKey, Outcome, ResultStatus};
use bytes::Bytes;
use chain_replication::Millis;

/// Results go into one command up to about so many bytes.
const RESULTS_BYTES: usize = 1 << 20;
/// What a result costs in a command beside its text and its job's id, in bytes.
const RESULT_OVERHEAD: usize = 16;

impl PartitionLeader {
    /// What became of leased items. The commands are to be proposed; the request is answered once
    /// they, and all before them, are committed.
    pub fn complete(&mut self, now: Millis, holder: u64, results: Vec<Completion>) -> Vec<Bytes> {
        let mut ended = Vec::new();
        for completion in results {
            if let Some(result) = self.complete_one(now, holder, completion) {
                ended.push(result);
            }
        }
        self.result_commands(now, ended)
    }

    fn complete_one(&mut self, now: Millis, holder: u64, done: Completion) -> Option<ItemResult> {
        let LeaseKey {
            batch_job,
            index,
            lease,
        } = done.key;
        let key = self.item_key(&batch_job, index)?;
        let job = self.jobs.get_mut(&key.job)?;
        let max_failures = job.max_failures;
        let item = job.items.get_mut(usize::from(key.index))?;
        let is_current = match item.state {
            LeaseState::Finished => return None,
            LeaseState::Leased {
                holder: by,
                lease: current,
            } => by == holder && lease == current,
            LeaseState::Queued => false,
        };
        let (status, text) = match done.outcome {
            // Whoever leases it now: the output is whole, and need not be made again.
            Outcome::Complete { text } => (ResultStatus::Complete, text),
            Outcome::Unprocessable => (ResultStatus::Abandoned, Bytes::new()),
            Outcome::Failed if is_current => {
                item.failures = item.failures.saturating_add(1);
                item.ended_lease = lease;
                if item.failures < max_failures {
                    self.requeue(key);
                    return None;
                }
                (ResultStatus::Abandoned, Bytes::new())
            }
            Outcome::Released if is_current => {
                item.ended_lease = lease;
                self.requeue(key);
                return None;
            }
            // The lease is void: a failure that was reported twice must not count twice.
            Outcome::Failed | Outcome::Released => return None,
        };
        self.end_lease(now, key, is_current);
        self.mark_finished(key);
        Some(ItemResult {
            batch_job,
            index,
            status,
            text,
        })
    }

    /// Ends whatever lease an item has, or takes it from its queue. The time of a run counts if the
    /// result came under the current lease.
    fn end_lease(&mut self, now: Millis, key: ItemKey, is_current: bool) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(item) = job.items.get(usize::from(key.index)) else {
            return;
        };
        let queue = self.routes.get_mut(job.route);
        match item.state {
            LeaseState::Leased { holder, .. } => {
                let lease = self.leases.remove(holder, key);
                if let (Some(lease), true, Some(queue)) = (lease, is_current, queue) {
                    queue.record_run(now.saturating_sub(lease.granted));
                }
            }
            LeaseState::Queued | LeaseState::Finished => {
                if let Some(queue) = queue {
                    queue.remove(&QueuedItem {
                        due: job.due,
                        item: key,
                    });
                }
            }
        }
    }

    /// An item gets its result; a batch job without others is removed.
    fn mark_finished(&mut self, key: ItemKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(item) = job.items.get_mut(usize::from(key.index)) else {
            return;
        };
        if item.state != LeaseState::Finished {
            item.state = LeaseState::Finished;
            job.unfinished = job.unfinished.saturating_sub(1);
        }
        if job.unfinished == 0 {
            self.remove_job(key.job);
        }
    }

    /// Commands for results, each of a bounded size.
    pub(super) fn result_commands(&mut self, now: Millis, results: Vec<ItemResult>) -> Vec<Bytes> {
        let clock = self.clock(now);
        let mut commands = Vec::new();
        let mut batch = Vec::new();
        let mut bytes = 0;
        for result in results {
            bytes += result.text.len() + result.batch_job.len() + RESULT_OVERHEAD;
            batch.push(result);
            if bytes >= RESULTS_BYTES {
                bytes = 0;
                let results = std::mem::take(&mut batch);
                commands.push(self.encode(&Command::RecordResults { clock, results }));
            }
        }
        if !batch.is_empty() {
            let results = batch;
            commands.push(self.encode(&Command::RecordResults { clock, results }));
        }
        commands
    }
}
