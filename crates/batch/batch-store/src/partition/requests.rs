//! Requests of gateways to the head: submit and end batch jobs, renew leases, complete items.

use super::waits::Wait;
use super::{Context, Partition};
use crate::responder::Responder;
use batch::wire::{
    CompleteResponse, Completion, EndRequest, EndResponse, LeaseKey, Message as _, Outcome,
    Placement, SubmitRequest, SubmitResponse,
};
use batch::{Admission, EndDecision, QuotaState, SubmitDecision};
use chain_replication::Millis;

/// Results are proposed in batches of about so many bytes.
const RESULT_BATCH_BYTES: usize = 512 << 10;
/// What a result costs beside its text and its job's id, in bytes.
const RESULT_OVERHEAD: usize = 64;
/// A chain that was not ready for so long accepts no batch jobs: their clients find another store's
/// partition no faster, but know at once that nothing was accepted.
const MAX_UNREADY_MS: Millis = 1_000;

impl<R: Responder> Partition<R> {
    /// A batch job for the head.
    pub fn submit(&mut self, context: Context, request: SubmitRequest, reply: R) {
        let unready_for = |since| context.now.saturating_sub(since) >= MAX_UNREADY_MS;
        let is_unready = self.unready_since.is_some_and(unready_for);
        if is_unready
            || self.is_stalled(context.now)
            || self.is_full()
            || !self.has_enough_members(context)
        {
            // `Unavailable` promises that nothing of it runs, which can't be said of a batch job
            // that is in the table.
            let table = self.replica.state_machine();
            let response = match table.batch_job(&request.batch_job) {
                Some(_) => SubmitResponse::Indeterminate,
                None => SubmitResponse::Unavailable,
            };
            return reply.respond(response.encode());
        }
        let quota = match context.placement {
            Placement::ByJob => QuotaState::Unreserved,
            Placement::ByHost => QuotaState::Local,
        };
        self.submit_with_quota(context, request, reply, quota);
        self.advance(context);
    }

    /// A batch job for the head, once it is known who checks the quota.
    pub(super) fn submit_with_quota(
        &mut self,
        context: Context,
        request: SubmitRequest,
        reply: R,
        quota: QuotaState,
    ) {
        let Some(head) = self.head.as_mut() else {
            return reply.respond(SubmitResponse::Unavailable.encode());
        };
        let batch_job = request.batch_job.clone();
        let table = self.replica.state_machine();
        let admission = Admission {
            has_capacity: context.has_capacity,
            quota,
        };
        match head.leader.submit(context.now, table, request, admission) {
            SubmitDecision::Reserve(request, tokens) => {
                self.reserve(context, request, tokens, reply);
            }
            SubmitDecision::Answer(response) => reply.respond(response.encode()),
            SubmitDecision::Known => {
                let is_new = false;
                let wait = Wait::Submit {
                    reply,
                    batch_job,
                    is_new,
                };
                self.wait(context, wait);
            }
            SubmitDecision::Propose(command) => {
                if self.propose(context, vec![command]) {
                    let is_new = true;
                    let wait = Wait::Submit {
                        reply,
                        batch_job,
                        is_new,
                    };
                    self.wait(context, wait);
                } else {
                    reply.respond(SubmitResponse::Unavailable.encode());
                }
            }
        }
    }

    /// The end of a batch job, for the head.
    pub fn end(&mut self, context: Context, request: &EndRequest, reply: R) {
        let is_full = self.is_full();
        let Some(head) = self.head.as_mut().filter(|_| !is_full) else {
            return reply.respond(EndResponse::Indeterminate.encode());
        };
        let table = self.replica.state_machine();
        let decision = head
            .leader
            .end(context.now, table, &request.host, &request.batch_job);
        match decision {
            // Only with a lease is it certain that there is none: this head may have been replaced.
            EndDecision::NotFound if context.has_lease => {
                reply.respond(EndResponse::NotFound.encode());
            }
            EndDecision::NotFound => reply.respond(EndResponse::Indeterminate.encode()),
            EndDecision::Known => self.wait(context, Wait::End { reply }),
            EndDecision::Propose(command) => {
                if self.propose(context, vec![command]) {
                    self.wait(context, Wait::End { reply });
                } else {
                    reply.respond(EndResponse::Indeterminate.encode());
                }
            }
        }
        self.advance(context);
    }

    /// What became of items, for the head. True if some are queued.
    pub fn complete(
        &mut self,
        context: Context,
        holder: u64,
        results: Vec<Completion>,
        reply: R,
    ) -> bool {
        let mut results = results.into_iter().peekable();
        let mut is_taken = true;
        while is_taken && results.peek().is_some() {
            let is_full = self.is_full();
            let Some(head) = self.head.as_mut().filter(|_| !is_full) else {
                is_taken = false;
                break;
            };
            let batch = next_batch(&mut results);
            let commands = head.leader.complete(context.now, holder, batch);
            is_taken = self.propose(context, commands);
        }
        if is_taken {
            self.wait(context, Wait::Complete { reply });
        } else {
            reply.respond(CompleteResponse::Indeterminate.encode());
        }
        self.advance(context);
        self.head
            .as_ref()
            .is_some_and(|head| head.leader.queued() > 0)
    }

    /// Which leases of a holder are void; `None` if this store can't tell.
    pub fn renew(
        &mut self,
        context: Context,
        holder: u64,
        leases: &[LeaseKey],
    ) -> Option<Vec<LeaseKey>> {
        let head = self.head.as_mut().filter(|_| context.has_lease)?;
        let table = self.replica.state_machine();
        Some(head.leader.renew(context.now, table, holder, leases))
    }
}

fn next_batch(results: &mut impl Iterator<Item = Completion>) -> Vec<Completion> {
    let mut batch = Vec::new();
    let mut bytes = 0;
    while bytes < RESULT_BATCH_BYTES {
        let Some(completion) = results.next() else {
            break;
        };
        bytes += RESULT_OVERHEAD + completion.key.batch_job.len();
        if let Outcome::Complete { text } = &completion.outcome {
            bytes += text.len();
        }
        batch.push(completion);
    }
    batch
}
