//! Batch jobs that come and are ended by their clients.

use super::PartitionLeader;
use crate::codes;
use crate::command::{AcceptedJob, Command};
use crate::content_digest::content_digest;
use crate::table::BatchJobTable;
use crate::wire::{Item, SubmitRequest, SubmitResponse, MAX_ITEMS};
use bytes::Bytes;
use chain_replication::{Millis, MAX_COMMAND_BYTES};
use compact_str::CompactString;

/// What is to be done about a submitted batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitDecision {
    /// To be answered so at once.
    Answer(SubmitResponse),
    /// It is in the table: [`SubmitResponse::Accepted`] once all that the head has received is
    /// committed.
    Known,
    /// To be proposed; once it is committed: [`PartitionLeader::accepted`], then
    /// [`SubmitResponse::Accepted`].
    Propose(Bytes),
    /// So many tokens are to be reserved for it at its host's home partition first; then it is to
    /// be submitted again.
    Reserve(SubmitRequest, u64),
}

/// Who checks a route's `MaxQueued` for a batch job that is submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaState {
    /// This partition: it holds all batch jobs of the host.
    Local,
    /// The head of the host's home partition, which has not granted anything yet.
    Unreserved,
    /// The head of the host's home partition, which has granted the batch job's tokens.
    Reserved,
}

/// What the store knows of a submission beside the partition.
#[derive(Debug, Clone, Copy)]
pub struct Admission {
    /// Memory and disk have room for one more batch job.
    pub has_capacity: bool,
    /// Who checks the quota.
    pub quota: QuotaState,
}

/// What is to be done about a request to end a batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndDecision {
    /// There is no such batch job.
    NotFound,
    /// It was ended before: to be answered once all that the head has received is committed.
    Known,
    /// To be proposed, and answered once it is committed.
    Propose(Bytes),
}

fn tokens_of(items: &[Item]) -> u64 {
    items
        .iter()
        .fold(0, |sum, item| sum.saturating_add(item.tokens))
}

/// The most tokens that may be queued on a route with this `MaxQueued`; `u64::MAX` without a limit
/// (0).
pub fn max_queued_tokens(max_queued: u64, excess_permille: u32) -> u64 {
    if max_queued == 0 {
        return u64::MAX;
    }
    let excess = u128::from(max_queued) * u128::from(excess_permille) / 1000;
    u64::try_from(u128::from(max_queued) + excess).unwrap_or(u64::MAX)
}

impl PartitionLeader {
    /// A batch job is submitted.
    pub fn submit(
        &mut self,
        now: Millis,
        table: &BatchJobTable,
        request: SubmitRequest,
        admission: Admission,
    ) -> SubmitDecision {
        let content = content_digest(&request.host.to_ascii_lowercase(), &request.items);
        if let Some(known) = table.batch_job(&request.batch_job) {
            if known.content != content {
                return invalid(codes::OTHER_CONTENT);
            }
            return SubmitDecision::Known;
        }
        if request.items.is_empty() {
            return invalid(codes::NO_ITEMS);
        }
        if request.items.len() > MAX_ITEMS {
            return invalid(codes::TOO_MANY_ITEMS);
        }
        if request.max_queued > 0 && admission.quota == QuotaState::Local {
            let max_tokens = max_queued_tokens(request.max_queued, request.excess_permille);
            let queued = table.queued_tokens(&request.host, &request.route);
            if queued.saturating_add(tokens_of(&request.items)) > max_tokens {
                return SubmitDecision::Answer(SubmitResponse::QuotaExceeded);
            }
        }
        if !admission.has_capacity {
            return SubmitDecision::Answer(SubmitResponse::Unavailable);
        }
        // Also without a limit: the next configuration may set one, and what is queued then counts.
        if admission.quota == QuotaState::Unreserved {
            let tokens = tokens_of(&request.items);
            return SubmitDecision::Reserve(request, tokens);
        }
        let command = self.accept_command(now, request, content);
        if command.is_empty() || command.len() > MAX_COMMAND_BYTES {
            return invalid(codes::TOO_LARGE);
        }
        SubmitDecision::Propose(command)
    }

    fn accept_command(&mut self, now: Millis, request: SubmitRequest, content: u64) -> Bytes {
        let clock = self.clock(now);
        self.encode(&Command::Accept(AcceptedJob {
            clock,
            batch_job: request.batch_job,
            host: request.host,
            route: request.route,
            content,
            sent: clock.saturating_sub(request.age_ms),
            due_ms: request.due_ms,
            retain_ms: request.retain_ms,
            max_failures: request.max_failures,
            items: request.items,
        }))
    }

    /// The command that accepts a batch job is committed: from now on its items are leased. Never
    /// before: nothing of a batch job may run that might still turn out not to be accepted.
    pub fn accepted(&mut self, table: &BatchJobTable, batch_job: &str) {
        if let Some(job) = table.batch_job(batch_job) {
            self.add(&CompactString::from(batch_job), job);
        }
    }

    /// A client ends a batch job. From now on none of its items is leased, and the leases of its
    /// items are not renewed.
    pub fn end(
        &mut self,
        now: Millis,
        table: &BatchJobTable,
        host: &str,
        batch_job: &str,
    ) -> EndDecision {
        match table
            .batch_job(batch_job)
            .filter(|job| job.host.eq_ignore_ascii_case(host))
        {
            None => EndDecision::NotFound,
            Some(job) if job.ended => EndDecision::Known,
            Some(job) => {
                let id = CompactString::from(batch_job);
                self.plan_deletion(&id, job.accepted);
                if let Some(number) = self.job_numbers.get(batch_job).copied() {
                    self.remove_job(number);
                }
                let command = Command::End {
                    clock: self.clock(now),
                    batch_job: id,
                };
                EndDecision::Propose(self.encode(&command))
            }
        }
    }
}

fn invalid(code: u16) -> SubmitDecision {
    SubmitDecision::Answer(SubmitResponse::Invalid { code })
}
