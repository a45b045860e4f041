//! What time brings to a head: leases that run out, items to be given up, batch jobs to be forgotten.

use super::{PartitionLeader, Stand};
use crate::command::{Command, ItemResult};
use crate::table::BatchJobTable;
use crate::wire::ResultStatus;
use bytes::Bytes;
use chain_replication::Millis;
use compact_str::CompactString;

/// How often silent holders are looked for.
const SWEEP_MS: u64 = 500;
/// An idle partition with batch jobs says at least so often what its clock shows, for the next head to go on from.
const CLOCK_EVERY_MS: u64 = 5_000;
/// How much longer than promised a batch job stays readable: a read may be on its way.
const FORGET_MARGIN_MS: u64 = 10_000;
/// A batch job that its client never ended is kept for so many times the promised time, and no longer.
const NEVER_ENDED: u64 = 10;
/// So many batch jobs are forgotten or given up in one turn at most: the rest waits for the next.
const PER_TURN: usize = 32;

impl PartitionLeader {
    /// A batch job is over: when to look whether it may be forgotten. [`PartitionLeader::forget_batch_job`] asks the table again.
    pub(super) fn plan_forgetting(&mut self, id: &CompactString, taken: u64) {
        self.forget_at(
            id,
            taken
                .saturating_add(self.poll_ms)
                .saturating_add(FORGET_MARGIN_MS),
        );
    }

    fn forget_at(&mut self, id: &CompactString, at: u64) {
        if let Some(before) = self.forget_at.insert(id.clone(), at) {
            self.forget.remove(&(before, id.clone()));
        }
        self.forget.insert((at, id.clone()));
    }

    /// What time brings: leases that ran out, items to be given up, batch jobs to be forgotten. To be called a few times
    /// a second while not [`PartitionLeader::idle`]; the commands are to be proposed.
    pub fn tick(&mut self, now: Millis, batch_jobs: &BatchJobTable) -> Vec<Bytes> {
        if now.saturating_sub(self.swept) >= SWEEP_MS {
            self.swept = now;
            for (key, index) in self.leases.expire(now) {
                let Some(soft) = self.batch_jobs.get_mut(&key) else {
                    continue;
                };
                let Some(item) = soft.items.get_mut(usize::from(index)) else {
                    continue;
                };
                item.stand = Stand::Waiting;
                if let Some(queue) = self.routes.get_mut(soft.route) {
                    queue.push((soft.due, key, index));
                }
            }
        }
        let clock = self.clock(now);
        let mut commands = self.give_up_late(now, clock);
        for _ in 0..PER_TURN {
            match self.forget.first() {
                Some((at, _)) if *at <= clock => {}
                _ => break,
            }
            if let Some((_, id)) = self.forget.pop_first() {
                self.forget_at.remove(&id);
                self.forget_batch_job(clock, batch_jobs, id, &mut commands);
            }
        }
        if !batch_jobs.is_empty() && clock.saturating_sub(self.clock_said) >= CLOCK_EVERY_MS {
            commands.push(self.command(&Command::AdvanceClock { clock }));
        }
        commands
    }

    fn forget_batch_job(
        &mut self,
        clock: u64,
        batch_jobs: &BatchJobTable,
        id: CompactString,
        commands: &mut Vec<Bytes>,
    ) {
        let Some(batch_job) = batch_jobs
            .batch_job(&id)
            .filter(|batch_job| batch_job.over())
        else {
            return;
        };
        // The table has the last word: one that its client has not ended is kept much longer.
        let times = if batch_job.ended { 1 } else { NEVER_ENDED };
        let after = self
            .poll_ms
            .saturating_mul(times)
            .saturating_add(FORGET_MARGIN_MS);
        let at = batch_job.taken.saturating_add(after);
        if at > clock {
            self.forget_at(&id, at);
        } else {
            commands.push(self.command(&Command::Delete {
                clock,
                batch_job: id,
            }));
        }
    }

    fn give_up_late(&mut self, now: Millis, clock: u64) -> Vec<Bytes> {
        let mut results = Vec::new();
        for _ in 0..PER_TURN {
            match self.give_up.first() {
                Some((at, _)) if *at <= clock => {}
                _ => break,
            }
            let Some((_, key)) = self.give_up.pop_first() else {
                break;
            };
            let Some(soft) = self.batch_jobs.get(&key) else {
                continue;
            };
            for (item, index) in soft.items.iter().zip(0u32..) {
                if item.stand != Stand::Over {
                    let (batch_job, text) = (soft.id.clone(), Bytes::new());
                    results.push(ItemResult {
                        batch_job,
                        index,
                        state: ResultStatus::Abandoned,
                        text,
                    });
                }
            }
            self.drop_batch_job(key);
        }
        self.results(now, results)
    }
}
