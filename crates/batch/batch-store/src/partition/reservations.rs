//! The side of a batch job's partition: asks its host's home partition for tokens before the job is
//! accepted, and answers audits of the home partition.

use super::waits::Wait;
use super::{Context, Partition, PartitionEffect};
use crate::responder::Responder;
use batch::wire::{
    home_partition, AuditRequest, AuditResponse, JobKey, Message as _, RemainingTokens,
    ReserveProgress, ReserveRequest, ReserveResponse, SubmitRequest, SubmitResponse, RESERVE,
};
use batch::{max_queued_tokens, QuotaState};
use chain_replication::Millis;
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The request is sent again after so long: it or its response may be lost, or the head of the home
/// partition another one.
const RETRY_INTERVAL_MS: Millis = 40;
/// A batch job waits so long for its tokens: its gateway waits for one store for 700 ms, and must
/// learn that nothing was accepted.
const RESERVE_TIMEOUT_MS: Millis = 550;
/// A home partition that has sent nothing about a request for so long, not even its progress, has
/// no head that could respond soon, or one that can't tell yet. The batch job is refused then: its
/// client comes again in a moment, and its next attempt is served in time. The request was sent
/// again meanwhile.
const PROGRESS_TIMEOUT_MS: Millis = 90;
/// The most audits of a partition that wait for their commit.
const MAX_WAITING_AUDITS: usize = 4;
/// The most batch jobs that wait for their tokens in one partition, and the most submissions of one
/// of them.
const MAX_PENDING: usize = 256;

/// A submission of a batch job that waits for tokens.
struct Submission<R> {
    request: SubmitRequest,
    reply: R,
}

/// A batch job that waits for its tokens.
struct PendingReservation<R> {
    request: ReserveRequest,
    until: Millis,
    sent_at: Millis,
    /// When it was sent first, or the home partition last reported that its response is about to
    /// follow.
    progress_at: Millis,
    /// All submissions of the batch job that have come meanwhile.
    submissions: Vec<Submission<R>>,
}

/// The batch jobs of a partition that wait for their tokens. Nothing of them is in the table: they
/// may be refused at any time.
pub(super) struct PendingReservations<R> {
    addr: SocketAddr,
    incarnation: u64,
    last_nonce: u64,
    jobs: BTreeMap<CompactString, PendingReservation<R>>,
    /// A home partition has reported progress. Heads of the version before report none, and their
    /// silence means nothing.
    sees_progress: bool,
}

impl<R: Responder> PendingReservations<R> {
    pub fn new(addr: SocketAddr, incarnation: u64) -> Self {
        Self {
            addr,
            incarnation,
            last_nonce: 0,
            jobs: BTreeMap::new(),
            sees_progress: false,
        }
    }

    /// None of them is accepted.
    pub fn refuse_all(&mut self) {
        for (_, pending) in std::mem::take(&mut self.jobs) {
            pending.respond(&SubmitResponse::Unavailable);
        }
    }

    fn refuse(&mut self, batch_job: &str) {
        if let Some(pending) = self.jobs.remove(batch_job) {
            pending.respond(&SubmitResponse::Unavailable);
        }
    }
}

impl<R: Responder> PendingReservation<R> {
    fn respond(self, response: &SubmitResponse) {
        for submission in self.submissions {
            submission.reply.respond(response.encode());
        }
    }
}

impl<R: Responder> Partition<R> {
    /// A batch job that would be accepted, once its tokens are granted.
    pub(super) fn reserve(
        &mut self,
        context: Context,
        submit: SubmitRequest,
        tokens: u64,
        reply: R,
    ) {
        let reservations = &mut self.reservations;
        if let Some(pending) = reservations.jobs.get_mut(&submit.batch_job) {
            if pending.submissions.len() < MAX_PENDING {
                pending.submissions.push(Submission {
                    request: submit,
                    reply,
                });
            } else {
                reply.respond(SubmitResponse::Unavailable.encode());
            }
            return;
        }
        if reservations.jobs.len() >= MAX_PENDING {
            return reply.respond(SubmitResponse::Unavailable.encode());
        }
        reservations.last_nonce += 1;
        let request = ReserveRequest {
            job: JobKey {
                host: submit.host.clone(),
                route: submit.route.clone(),
                batch_job: submit.batch_job.clone(),
            },
            partition: self.number,
            reply_to: reservations.addr,
            incarnation: reservations.incarnation,
            nonce: reservations.last_nonce,
            tokens,
            max_tokens: max_queued_tokens(submit.max_queued, submit.excess_permille),
        };
        self.effects.push(send_to_home(&request, context));
        let now = context.now;
        let batch_job = submit.batch_job.clone();
        let pending = PendingReservation {
            request,
            until: now + RESERVE_TIMEOUT_MS,
            sent_at: now,
            progress_at: now,
            submissions: vec![Submission {
                request: submit,
                reply,
            }],
        };
        reservations.jobs.insert(batch_job, pending);
    }

    /// The head of the home partition reports that its response is about to follow, or may take
    /// long.
    pub fn handle_reserve_progress(&mut self, context: Context, progress: &ReserveProgress) {
        self.reservations.sees_progress = true;
        let batch_job = &progress.attempt.batch_job;
        let Some(pending) = self.reservations.jobs.get_mut(batch_job) else {
            return;
        };
        if !pending.request.is_attempt(&progress.attempt) {
            return;
        }
        if progress.soon {
            pending.progress_at = context.now;
        } else {
            self.reservations.refuse(batch_job);
        }
    }

    /// The home partition grants or refuses the tokens of a batch job.
    pub fn handle_reserve_response(&mut self, context: Context, response: &ReserveResponse) {
        let jobs = &mut self.reservations.jobs;
        let batch_job = &response.attempt.batch_job;
        let is_current = jobs
            .get(batch_job)
            .is_some_and(|pending| pending.request.is_attempt(&response.attempt));
        if !is_current {
            return;
        }
        let Some(pending) = jobs.remove(batch_job) else {
            return;
        };
        if !response.granted {
            return pending.respond(&SubmitResponse::QuotaExceeded);
        }
        let may_accept =
            self.replica.is_ready() && !self.is_full() && self.has_enough_members(context);
        let granted = pending.request;
        for Submission { request, reply } in pending.submissions {
            let is_covered =
                request.route == granted.job.route && tokens_of(&request) <= granted.tokens;
            if may_accept && is_covered {
                self.submit_with_quota(context, request, reply, QuotaState::Reserved);
            } else {
                reply.respond(SubmitResponse::Unavailable.encode());
            }
        }
        self.advance(context);
    }

    /// Sends requests again, and refuses the batch jobs whose time is over.
    pub(super) fn tick_reservations(&mut self, context: Context) {
        let now = context.now;
        let sees_progress = self.reservations.sees_progress;
        let mut expired = Vec::new();
        for (batch_job, pending) in &mut self.reservations.jobs {
            let was_retried = pending.sent_at > pending.progress_at;
            let silent_for = now.saturating_sub(pending.progress_at);
            let is_silent = sees_progress && was_retried && silent_for >= PROGRESS_TIMEOUT_MS;
            if is_silent || now >= pending.until {
                expired.push(batch_job.clone());
            } else if now.saturating_sub(pending.sent_at) >= RETRY_INTERVAL_MS {
                pending.sent_at = now;
                self.effects.push(send_to_home(&pending.request, context));
            }
        }
        for batch_job in expired {
            self.reservations.refuse(&batch_job);
        }
    }

    /// The home partition audits batch jobs: the response tells their state as of now, and is sent
    /// once all of it is committed. The barrier behind it can't be committed by a head that was
    /// replaced, so the response is never of an older table.
    pub fn handle_audit_request(&mut self, context: Context, request: &AuditRequest) {
        // A chain that commits nothing is not filled with audits that are sent again and again.
        let audits = self
            .waiting
            .iter()
            .filter(|waiting| matches!(waiting.wait, Wait::Audit { .. }));
        let is_busy = audits.count() >= MAX_WAITING_AUDITS;
        if !self.replica.is_ready() || self.is_full() || is_busy {
            self.late_audit = Some(request.clone());
            return;
        }
        let Some(head) = self.head.as_mut() else {
            return;
        };
        let table = self.replica.state_machine();
        let pending = &self.reservations.jobs;
        let settled = request
            .jobs
            .iter()
            .filter(|job| !pending.contains_key(&job.batch_job));
        let jobs = settled.map(|job| RemainingTokens {
            job: job.clone(),
            tokens: table.queued_tokens_of(&job.host, &job.route, &job.batch_job),
        });
        let response = AuditResponse {
            home: request.home,
            partition: self.number,
            incarnation: request.incarnation,
            audit: request.audit,
            jobs: jobs.collect(),
        };
        let barrier = head.leader.barrier(context.now);
        if self.propose(context, vec![barrier]) {
            let to = request.reply_to;
            self.wait(context, Wait::Audit { to, response });
        }
        self.advance(context);
    }

    /// The newest audit that came while the chain could not take it.
    pub(super) fn answer_late_audit(&mut self, context: Context) {
        if let Some(request) = self.late_audit.take_if(|_| self.replica.is_ready()) {
            self.handle_audit_request(context, &request);
        }
    }
}

fn send_to_home(request: &ReserveRequest, context: Context) -> PartitionEffect {
    PartitionEffect::SendToHead {
        partition: home_partition(&request.job.host, context.partitions),
        kind: RESERVE,
        body: request.encode(),
    }
}

fn tokens_of(request: &SubmitRequest) -> u64 {
    request
        .items
        .iter()
        .fold(0, |sum, item| sum.saturating_add(item.tokens))
}
