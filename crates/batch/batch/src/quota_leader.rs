//! The head of a host's home partition: grants the tokens of the host's routes to the heads that
//! are to hold its batch jobs.
//!
//! What is granted is in the chain's table ([`crate::Reservations`]), so it survives the head. Soft
//! state is only which partition was audited when. A reservation ends by the audit response of the
//! batch job's partition alone, to an audit that this head sent after the last request for the
//! batch job: an older response, or one to an audit of another head or process, changes nothing.

use crate::command::Command;
use crate::partition_leader::PartitionLeader;
use crate::reservations::Reservation;
use crate::table::BatchJobTable;
use crate::wire::{AuditRequest, AuditResponse, JobKey, RemainingTokens, ReserveRequest};
use bytes::Bytes;
use chain_replication::Millis;
use compact_str::CompactString;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// How often a partition is audited while a route is more than half full, so that a refusal rests
/// on fresh responses.
const AUDIT_INTERVAL_MS: Millis = 150;
/// How often else: reservations that came to nothing are removed by it.
const IDLE_AUDIT_INTERVAL_MS: Millis = 1_500;
/// After so long an audit without a response is sent again: a frame may be lost, or the chain may
/// be waiting for a disk, and each audit is a record on the disks of that chain.
const AUDIT_TIMEOUT_MS: Millis = 600;
/// A refusal rests on responses to audits that were sent no longer ago. Less than the time after
/// which tokens of ended jobs must be free by the users' page.
const FRESH_MS: Millis = 500;
/// A request that was refused stays refused for so long: one that was sent twice would reserve
/// tokens for nobody.
const REFUSAL_MEMORY_MS: Millis = 1_000;
/// A partition that takes longer to respond has a fault: a response takes a commit of its chain, a
/// few syncs one after the other.
const SLOW_RESPONSE_MS: Millis = 150;
/// The most batch jobs in one audit.
const MAX_AUDITED_JOBS: usize = 4_096;
/// The most refusals that are remembered: some ten a millisecond for `REFUSAL_MEMORY_MS`, far more
/// than a store reads. With more, a request that doesn't fit stays undecided and comes again.
pub const MAX_REFUSALS: usize = 8_192;
/// The most batch jobs whose last request is remembered while an audit is pending: as many as the
/// partitions of a store may have waiting, several times over. With more, nothing is granted until
/// the audits are answered or sent again: a response from before a grant must not take it back.
pub const MAX_REQUESTED_JOBS: usize = 16_384;
/// The most routes whose limit is remembered; configurations have no more. Audits of further ones
/// are sent as if they were less than half full.
pub const MAX_ROUTES: usize = 10_000;

/// What is to be done about a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReserveDecision {
    /// To be proposed; once that is committed the tokens are granted.
    Propose(Bytes),
    /// They don't fit, by fresh responses.
    Rejected,
    /// They don't fit by responses that are not fresh: the partitions are audited, and the request
    /// will come again.
    Undecided,
}

/// An audit without a response.
#[derive(Debug, Clone, Copy)]
struct PendingAudit {
    audit: u64,
    sent: Millis,
}

#[derive(Debug, Default)]
struct AuditState {
    pending: Option<PendingAudit>,
    /// When the newest audit with a response was sent.
    answered: Option<Millis>,
    /// A refusal waits for a fresh response.
    is_wanted: bool,
}

impl AuditState {
    /// Whether no response is fresh enough for a refusal.
    fn is_stale(&self, now: Millis) -> bool {
        self.answered
            .is_none_or(|at| now.saturating_sub(at) >= FRESH_MS)
    }
}

/// How many entries the tables of a [`QuotaLeader`] have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaTableSizes {
    /// Requests that were refused lately; at most [`MAX_REFUSALS`].
    pub refusals: usize,
    /// Batch jobs whose last request is remembered; at most [`MAX_REQUESTED_JOBS`].
    pub requested_jobs: usize,
    /// Routes whose limit is remembered; at most [`MAX_ROUTES`].
    pub routes: usize,
}

/// A request that was refused.
#[derive(Debug)]
struct Refusal {
    at: Millis,
    incarnation: u64,
    nonce: u64,
}

/// The soft state of a home partition's head.
#[derive(Debug)]
pub struct QuotaLeader {
    home: u16,
    addr: SocketAddr,
    incarnation: u64,
    /// Counts audits and requests alike; never starts anew within a process.
    count: u64,
    /// The count at the last request for a batch job.
    requested_at: HashMap<CompactString, u64>,
    partitions: BTreeMap<u16, AuditState>,
    /// The requests that were refused lately, by their batch jobs' ids.
    refusals: HashMap<CompactString, Refusal>,
    /// The most tokens of a route (host and name), as the last request for it had them.
    max_tokens: BTreeMap<(CompactString, CompactString), u64>,
}

impl QuotaLeader {
    /// That of the partition `home` at the store `addr`; `incarnation` is drawn at the start of the
    /// process.
    pub fn new(home: u16, addr: SocketAddr, incarnation: u64) -> Self {
        Self {
            home,
            addr,
            incarnation,
            count: 0,
            requested_at: HashMap::new(),
            partitions: BTreeMap::new(),
            refusals: HashMap::new(),
            max_tokens: BTreeMap::new(),
        }
    }

    /// The store became the head of another view, or again: earlier audits count for nothing.
    pub fn reset(&mut self) {
        self.requested_at.clear();
        self.refusals.clear();
        self.partitions.clear();
    }

    /// These partitions have other heads now: pending audits were sent to stores that won't
    /// respond.
    pub fn retry_audits(&mut self, partitions: &[u16]) {
        for partition in partitions {
            if let Some(state) = self.partitions.get_mut(partition) {
                state.pending = None;
            }
        }
    }

    /// Whether it won't be known soon whether tokens fit: a partition takes long to respond, and
    /// its last response is old.
    pub fn is_blind(&self, now: Millis) -> bool {
        let is_slow = |state: &AuditState| {
            let is_late =
                |pending: PendingAudit| now.saturating_sub(pending.sent) >= SLOW_RESPONSE_MS;
            state.is_stale(now) && state.pending.is_some_and(is_late)
        };
        self.partitions.values().any(is_slow)
    }

    /// The head of a batch job's partition asks for tokens.
    pub fn reserve(
        &mut self,
        now: Millis,
        table: &BatchJobTable,
        leader: &mut PartitionLeader,
        request: &ReserveRequest,
    ) -> ReserveDecision {
        self.count += 1;
        let job = &request.job;
        let is_same = |refusal: &Refusal| {
            (refusal.incarnation, refusal.nonce) == (request.incarnation, request.nonce)
        };
        if self.refusals.get(&job.batch_job).is_some_and(is_same) {
            return ReserveDecision::Rejected;
        }
        self.remember_limit(request);
        let reserved = table.reserved();
        let has = reserved
            .of(&job.host, &job.route, &job.batch_job)
            .map_or(0, |found| found.tokens);
        let others = reserved.sum(&job.host, &job.route).saturating_sub(has);
        let fits = others.saturating_add(request.tokens.max(has)) <= request.max_tokens;
        // What is granted already stays granted, also after a change of the limit.
        if fits || has >= request.tokens {
            if !self.remember_request(&job.batch_job) {
                return ReserveDecision::Undecided;
            }
            let command = Command::Reserve {
                clock: leader.clock(now),
                job: job.clone(),
                partition: request.partition,
                tokens: request.tokens,
            };
            return ReserveDecision::Propose(leader.encode(&command));
        }
        let mut is_fresh = true;
        for (_, reservation) in reserved.on(&job.host, &job.route) {
            let state = self.partitions.entry(reservation.partition).or_default();
            if state.is_stale(now) {
                state.is_wanted = true;
                is_fresh = false;
            }
        }
        if !is_fresh {
            return ReserveDecision::Undecided;
        }
        if self.remember_refusal(now, request) {
            ReserveDecision::Rejected
        } else {
            ReserveDecision::Undecided
        }
    }

    /// How large the tables are.
    pub fn table_sizes(&self) -> QuotaTableSizes {
        QuotaTableSizes {
            refusals: self.refusals.len(),
            requested_jobs: self.requested_at.len(),
            routes: self.max_tokens.len(),
        }
    }

    fn remember_limit(&mut self, request: &ReserveRequest) {
        let route = (request.job.host.clone(), request.job.route.clone());
        if self.max_tokens.len() < MAX_ROUTES || self.max_tokens.contains_key(&route) {
            self.max_tokens.insert(route, request.max_tokens);
        }
    }

    /// Remembers that tokens were requested for a batch job just now, as long as a response to an
    /// earlier audit may come. False if there is no capacity for it.
    fn remember_request(&mut self, batch_job: &CompactString) -> bool {
        let Some(oldest) = self.oldest_pending_audit() else {
            // Later audits know of the request.
            self.requested_at.clear();
            return true;
        };
        if self.requested_at.len() >= MAX_REQUESTED_JOBS {
            self.requested_at.retain(|_, at| *at > oldest);
        }
        let has_capacity = self.requested_at.len() < MAX_REQUESTED_JOBS
            || self.requested_at.contains_key(batch_job);
        if has_capacity {
            self.requested_at.insert(batch_job.clone(), self.count);
        }
        has_capacity
    }

    /// Remembers a refusal. False if there is no capacity for it.
    fn remember_refusal(&mut self, now: Millis, request: &ReserveRequest) -> bool {
        if self.refusals.len() >= MAX_REFUSALS {
            self.forget_refusals(now);
        }
        let batch_job = &request.job.batch_job;
        let has_capacity =
            self.refusals.len() < MAX_REFUSALS || self.refusals.contains_key(batch_job);
        if has_capacity {
            let refusal = Refusal {
                at: now,
                incarnation: request.incarnation,
                nonce: request.nonce,
            };
            self.refusals.insert(batch_job.clone(), refusal);
        }
        has_capacity
    }

    fn forget_refusals(&mut self, now: Millis) {
        self.refusals
            .retain(|_, refusal| now.saturating_sub(refusal.at) < REFUSAL_MEMORY_MS);
    }

    /// The oldest audit that has no response. A request before all of them changes no response to
    /// any.
    fn oldest_pending_audit(&self) -> Option<u64> {
        let pending = self
            .partitions
            .values()
            .filter_map(|state| Some(state.pending?.audit));
        pending.min()
    }

    /// The audits that are due, of the partitions with reservations.
    pub fn audits(&mut self, now: Millis, table: &BatchJobTable) -> Vec<AuditRequest> {
        self.forget_refusals(now);
        self.max_tokens
            .retain(|(host, route), _| table.reserved().sum(host, route) > 0);
        let due = self.due_jobs(now, table);
        let audits = due
            .into_iter()
            .map(|(partition, jobs)| self.audit(now, partition, jobs))
            .collect();
        let oldest = self.oldest_pending_audit();
        self.requested_at
            .retain(|_, at| oldest.is_some_and(|oldest| *at > oldest));
        audits
    }

    /// The batch jobs to be audited now, by partition.
    fn due_jobs(&mut self, now: Millis, table: &BatchJobTable) -> BTreeMap<u16, Vec<JobKey>> {
        let reserved = table.reserved();
        let is_busy = self
            .max_tokens
            .iter()
            .any(|((host, route), max_tokens)| reserved.sum(host, route) > max_tokens / 2);
        let interval = if is_busy {
            AUDIT_INTERVAL_MS
        } else {
            IDLE_AUDIT_INTERVAL_MS
        };
        let partitions = &mut self.partitions;
        let mut is_due = |partition: u16| {
            let state = partitions.entry(partition).or_default();
            if let Some(pending) = state.pending {
                return now.saturating_sub(pending.sent) >= AUDIT_TIMEOUT_MS;
            }
            let since = state
                .answered
                .map_or(Millis::MAX, |at| now.saturating_sub(at));
            since >= interval || state.is_wanted && since >= AUDIT_INTERVAL_MS
        };
        let mut due: BTreeMap<u16, Vec<JobKey>> = BTreeMap::new();
        let mut decided: BTreeMap<u16, bool> = BTreeMap::new();
        for (host, route) in reserved.routes() {
            for (batch_job, Reservation { partition, .. }) in reserved.on(host, route) {
                let is_due = decided
                    .entry(*partition)
                    .or_insert_with(|| is_due(*partition));
                if !*is_due {
                    continue;
                }
                let jobs = due.entry(*partition).or_default();
                if jobs.len() < MAX_AUDITED_JOBS {
                    jobs.push(JobKey {
                        host: host.clone(),
                        route: route.clone(),
                        batch_job: batch_job.clone(),
                    });
                }
            }
        }
        self.partitions
            .retain(|partition, _| decided.contains_key(partition));
        due
    }

    fn audit(&mut self, now: Millis, partition: u16, jobs: Vec<JobKey>) -> AuditRequest {
        self.count += 1;
        let audit = self.count;
        let state = self.partitions.entry(partition).or_default();
        state.pending = Some(PendingAudit { audit, sent: now });
        state.is_wanted = false;
        AuditRequest {
            home: self.home,
            partition,
            reply_to: self.addr,
            incarnation: self.incarnation,
            audit,
            jobs,
        }
    }

    /// A partition responds to an audit. The command, if any, is to be proposed.
    pub fn audit_response(
        &mut self,
        now: Millis,
        table: &BatchJobTable,
        leader: &mut PartitionLeader,
        response: &AuditResponse,
    ) -> Option<Bytes> {
        let state = self.partitions.get_mut(&response.partition)?;
        let PendingAudit { audit, sent } = state.pending?;
        if response.incarnation != self.incarnation || response.audit != audit {
            return None;
        }
        state.pending = None;
        state.answered = Some(sent);
        let is_changed = |left: &&RemainingTokens| {
            let JobKey {
                host,
                route,
                batch_job,
            } = &left.job;
            let reservation = table.reserved().of(host, route, batch_job);
            let has_more = reservation.is_some_and(|reservation| {
                reservation.partition == response.partition && reservation.tokens > left.tokens
            });
            let requested_since = self
                .requested_at
                .get(batch_job)
                .is_some_and(|at| *at > audit);
            has_more && !requested_since
        };
        let jobs: Vec<RemainingTokens> = response.jobs.iter().filter(is_changed).cloned().collect();
        if jobs.is_empty() {
            return None;
        }
        let clock = leader.clock(now);
        Some(leader.encode(&Command::UpdateReservations { clock, jobs }))
    }
}
