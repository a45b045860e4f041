//! What time brings to a head: leases that expire, items to be given up, batch jobs to be deleted.

use super::{LeaseState, PartitionLeader};
use crate::command::{Command, ItemResult};
use crate::route_queue::QueuedItem;
use crate::table::BatchJobTable;
use crate::wire::ResultStatus;
use bytes::Bytes;
use chain_replication::Millis;
use compact_str::CompactString;

/// How often expired leases are looked for.
const LEASE_CHECK_INTERVAL_MS: u64 = 500;
/// An idle partition with batch jobs records its clock at least so often, for the next head to go
/// on from.
const CLOCK_INTERVAL_MS: u64 = 5_000;
/// How much longer than promised a batch job stays readable: a read may be on its way.
const RETENTION_MARGIN_MS: u64 = 10_000;
/// A batch job that its client never ended is deleted after so many times the promised time.
const NEVER_ENDED_FACTOR: u64 = 10;
/// The most batch jobs that are deleted or given up in one tick: the rest waits for the next.
const MAX_PER_TICK: usize = 32;

impl PartitionLeader {
    /// A batch job is over: plans when to check whether it may be deleted. The check asks the table
    /// again.
    pub(super) fn plan_deletion(&mut self, id: &CompactString, accepted: u64) {
        let at = accepted
            .saturating_add(self.poll_ms)
            .saturating_add(RETENTION_MARGIN_MS);
        self.plan_deletion_at(id, at);
    }

    fn plan_deletion_at(&mut self, id: &CompactString, at: u64) {
        if let Some(before) = self.deletion_at.insert(id.clone(), at) {
            self.deletions.remove(&(before, id.clone()));
        }
        self.deletions.insert((at, id.clone()));
    }

    /// Expires leases, gives up items, deletes batch jobs. To be called a few times a second while
    /// not [`PartitionLeader::is_idle`]; the commands are to be proposed.
    pub fn tick(&mut self, now: Millis, table: &BatchJobTable) -> Vec<Bytes> {
        if now.saturating_sub(self.last_expiry) >= LEASE_CHECK_INTERVAL_MS {
            self.last_expiry = now;
            self.expire_leases(now);
        }
        let clock = self.clock(now);
        let mut commands = self.give_up_overdue(now, clock);
        for _ in 0..MAX_PER_TICK {
            match self.deletions.first() {
                Some((at, _)) if *at <= clock => {}
                _ => break,
            }
            if let Some((_, id)) = self.deletions.pop_first() {
                self.deletion_at.remove(&id);
                commands.extend(self.delete_if_expired(clock, table, id));
            }
        }
        if !table.is_empty() && clock.saturating_sub(self.last_clock) >= CLOCK_INTERVAL_MS {
            commands.push(self.encode(&Command::AdvanceClock { clock }));
        }
        commands
    }

    fn expire_leases(&mut self, now: Millis) {
        for key in self.leases.expire(now) {
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            let Some(item) = job.items.get_mut(usize::from(key.index)) else {
                continue;
            };
            item.state = LeaseState::Queued;
            if let Some(queue) = self.routes.get_mut(job.route) {
                queue.push(QueuedItem {
                    due: job.due,
                    item: key,
                });
            }
        }
    }

    fn delete_if_expired(
        &mut self,
        clock: u64,
        table: &BatchJobTable,
        id: CompactString,
    ) -> Option<Bytes> {
        // The table decides: a job that its client has not ended is kept much longer.
        let job = table.batch_job(&id).filter(|job| job.is_finished())?;
        let factor = if job.ended { 1 } else { NEVER_ENDED_FACTOR };
        let retention = self
            .poll_ms
            .saturating_mul(factor)
            .saturating_add(RETENTION_MARGIN_MS);
        let at = job.accepted.saturating_add(retention);
        if at > clock {
            self.plan_deletion_at(&id, at);
            return None;
        }
        Some(self.encode(&Command::Delete {
            clock,
            batch_job: id,
        }))
    }

    fn give_up_overdue(&mut self, now: Millis, clock: u64) -> Vec<Bytes> {
        let mut results = Vec::new();
        for _ in 0..MAX_PER_TICK {
            match self.give_ups.first() {
                Some(give_up) if give_up.at <= clock => {}
                _ => break,
            }
            let Some(give_up) = self.give_ups.pop_first() else {
                break;
            };
            let Some(job) = self.jobs.get(&give_up.job) else {
                continue;
            };
            for (item, index) in job.items.iter().zip(0u32..) {
                if item.state != LeaseState::Finished {
                    results.push(ItemResult {
                        batch_job: job.id.clone(),
                        index,
                        status: ResultStatus::Abandoned,
                        text: Bytes::new(),
                    });
                }
            }
            self.remove_job(give_up.job);
        }
        self.result_commands(now, results)
    }
}
