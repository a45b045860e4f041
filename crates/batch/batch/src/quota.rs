//! The head of a host's home partition: grants the tokens of the host's routes to the heads that are to keep its batch jobs.
//!
//! What is promised is in the chain's table ([`crate::Reservations`]), so a grant that was said survives the head. Soft is
//! only who is asked when. A promise ends by the word of the batch job's partition alone, on an audit that this very head sent
//! after the last asking for the batch job: a word that is older, or on an audit of another head or process, changes nothing.

use crate::command::Command;
use crate::owner::PartitionLeader;
use crate::table::BatchJobTable;
use crate::wire::{AuditRequest, AuditResponse, AuditedJob, RemainingTokens, ReserveRequest};
use bytes::Bytes;
use chain_replication::Millis;
use compact_str::CompactString;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A partition is asked so often while a route is more than half full, so that a refusal rests on fresh words.
const AUDIT_MS: Millis = 150;
/// And so often else: promises that came to nothing end by it.
const AUDIT_IDLE_MS: Millis = 1_500;
/// A partition that has not answered is asked again after so long: a frame may be lost, or its chain may wait for a disk, and each
/// asking is a record on the disks of that chain.
const UNANSWERED_MS: Millis = 600;
/// A refusal rests on words on audits that were sent no longer ago. Under the time after which the users' page counts.
const FRESH_MS: Millis = 500;
/// An asking that was refused stays refused for so long: one that was sent twice would reserve for nobody else.
const REFUSED_MS: Millis = 1_000;
/// A partition that takes longer to answer is in trouble: an answer takes a commit of its chain, some syncs one after the other.
const SLOW_ANSWER_MS: Millis = 150;
/// The most batch jobs in one audit.
const MOST_BATCH_JOBS: usize = 4_096;

/// What is to be done about an asking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReserveDecision {
    /// To be proposed; once that is committed the tokens are granted.
    Propose(Bytes),
    /// They don't fit, by words that are fresh.
    Rejected,
    /// They don't fit by words that are not fresh: the partitions are asked, and the caller asks again.
    Undecided,
}

#[derive(Debug, Default)]
struct Asked {
    /// The audit that is to be answered, and when it was sent.
    audit: Option<(u64, Millis)>,
    /// When the newest audit that was answered had been sent.
    answered: Option<Millis>,
    /// A refusal waits for its word.
    wanted: bool,
}

/// The soft state of a home partition's head.
#[derive(Debug)]
pub struct QuotaLeader {
    home: u16,
    addr: SocketAddr,
    incarnation: u64,
    /// Counts audits and askings alike; never begins anew within a process.
    count: u64,
    /// The count at the last asking for a batch job.
    asked_for: HashMap<CompactString, u64>,
    partitions: BTreeMap<u16, Asked>,
    /// The askings that were refused of late: when, by which process, and which of its.
    refused: HashMap<CompactString, (Millis, u64, u64)>,
    /// The limit of a route (host and name), as it was last said.
    most: BTreeMap<(CompactString, CompactString), u64>,
}

impl QuotaLeader {
    /// That of a partition at a store; `incarnation` is drawn at the start of the process.
    pub fn new(home: u16, addr: SocketAddr, incarnation: u64) -> Self {
        Self {
            home,
            addr,
            incarnation,
            count: 0,
            asked_for: HashMap::new(),
            partitions: BTreeMap::new(),
            refused: HashMap::new(),
            most: BTreeMap::new(),
        }
    }

    /// The store is the head of another view, or from anew: audits of before count for nothing.
    pub fn begin(&mut self) {
        self.asked_for.clear();
        self.refused.clear();
        self.partitions.clear();
    }

    /// The heads of these partitions are others now: an audit that is not answered was asked of nobody.
    pub fn ask_again(&mut self, partitions: &[u16]) {
        for partition in partitions {
            if let Some(asked) = self.partitions.get_mut(partition) {
                asked.audit = None;
            }
        }
    }

    /// Whether it won't be known soon whether tokens fit: a partition takes long to answer, and what it said last is old.
    pub fn is_blind(&self, now: Millis) -> bool {
        let is_slow = |asked: &Asked| {
            let old = asked
                .answered
                .is_none_or(|at| now.saturating_sub(at) >= FRESH_MS);
            old && asked
                .audit
                .is_some_and(|(_, sent)| now.saturating_sub(sent) >= SLOW_ANSWER_MS)
        };
        self.partitions.values().any(is_slow)
    }

    /// A batch job's head asks for tokens.
    pub fn reserve(
        &mut self,
        now: Millis,
        batch_jobs: &BatchJobTable,
        owner: &mut PartitionLeader,
        call: &ReserveRequest,
    ) -> ReserveDecision {
        self.count += 1;
        let again =
            |(_, by, nonce): &(Millis, u64, u64)| (*by, *nonce) == (call.incarnation, call.nonce);
        if self.refused.get(&call.batch_job).is_some_and(again) {
            return ReserveDecision::Rejected;
        }
        self.most
            .insert((call.host.clone(), call.route.clone()), call.most);
        let reserved = batch_jobs.reserved();
        let has = reserved
            .of(&call.host, &call.route, &call.batch_job)
            .map_or(0, |found| found.tokens);
        let sum = reserved.sum(&call.host, &call.route);
        let fits = sum.saturating_sub(has).saturating_add(call.tokens.max(has)) <= call.most;
        // What is promised already stays promised, also after a change of the limit.
        if fits || has >= call.tokens {
            self.asked_for.insert(call.batch_job.clone(), self.count);
            let (host, route, batch_job) = (
                call.host.clone(),
                call.route.clone(),
                call.batch_job.clone(),
            );
            let (partition, tokens) = (call.partition, call.tokens);
            let clock = owner.clock(now);
            return ReserveDecision::Propose(owner.command(&Command::Reserve {
                clock,
                host,
                route,
                batch_job,
                partition,
                tokens,
            }));
        }
        let mut fresh = true;
        for (_, reservation) in reserved.on(&call.host, &call.route) {
            let asked = self.partitions.entry(reservation.partition).or_default();
            if asked
                .answered
                .is_none_or(|at| now.saturating_sub(at) >= FRESH_MS)
            {
                asked.wanted = true;
                fresh = false;
            }
        }
        if fresh {
            self.refused
                .insert(call.batch_job.clone(), (now, call.incarnation, call.nonce));
            ReserveDecision::Rejected
        } else {
            ReserveDecision::Undecided
        }
    }

    /// The audits that are due, of the partitions to which something is promised.
    pub fn audits(&mut self, now: Millis, batch_jobs: &BatchJobTable) -> Vec<AuditRequest> {
        let mut due: BTreeMap<u16, Vec<AuditedJob>> = BTreeMap::new();
        self.refused
            .retain(|_, (at, ..)| now.saturating_sub(*at) < REFUSED_MS);
        self.most
            .retain(|(host, route), _| batch_jobs.reserved().sum(host, route) > 0);
        let mut limits = self.most.iter();
        let busy =
            limits.any(|((host, route), most)| batch_jobs.reserved().sum(host, route) > most / 2);
        let every = if busy { AUDIT_MS } else { AUDIT_IDLE_MS };
        let partitions = &mut self.partitions;
        let mut is_due = |partition: u16| {
            let asked = partitions.entry(partition).or_default();
            if let Some((_, sent)) = asked.audit {
                return now.saturating_sub(sent) >= UNANSWERED_MS;
            }
            let since = asked
                .answered
                .map_or(Millis::MAX, |at| now.saturating_sub(at));
            since >= every || asked.wanted && since >= AUDIT_MS
        };
        let mut decided: BTreeMap<u16, bool> = BTreeMap::new();
        for (host, route) in batch_jobs.reserved().routes() {
            for (batch_job, reservation) in batch_jobs.reserved().on(host, route) {
                let partition = reservation.partition;
                if !*decided
                    .entry(partition)
                    .or_insert_with(|| is_due(partition))
                {
                    continue;
                }
                let list = due.entry(partition).or_default();
                if list.len() < MOST_BATCH_JOBS {
                    list.push(AuditedJob {
                        host: host.clone(),
                        route: route.clone(),
                        batch_job: batch_job.clone(),
                    });
                }
            }
        }
        self.partitions
            .retain(|partition, _| decided.contains_key(partition));
        let audits = due
            .into_iter()
            .map(|(partition, batch_jobs)| self.audit(now, partition, batch_jobs))
            .collect();
        // What was asked for before all audits that are still open changes no word on them.
        let open = self
            .partitions
            .values()
            .filter_map(|asked| asked.audit.map(|(audit, _)| audit))
            .min();
        self.asked_for
            .retain(|_, at| open.is_some_and(|open| *at > open));
        audits
    }

    fn audit(&mut self, now: Millis, partition: u16, batch_jobs: Vec<AuditedJob>) -> AuditRequest {
        self.count += 1;
        let asked = self.partitions.entry(partition).or_default();
        asked.audit = Some((self.count, now));
        asked.wanted = false;
        let (home, reply_to, incarnation) = (self.home, self.addr, self.incarnation);
        AuditRequest {
            home,
            partition,
            reply_to,
            incarnation,
            audit: self.count,
            batch_jobs,
        }
    }

    /// The word of a batch job's head. What follows from it is to be proposed.
    pub fn left(
        &mut self,
        now: Millis,
        batch_jobs: &BatchJobTable,
        owner: &mut PartitionLeader,
        word: &AuditResponse,
    ) -> Option<Bytes> {
        let asked = self.partitions.get_mut(&word.partition)?;
        let (audit, sent) = asked.audit?;
        if word.incarnation != self.incarnation || word.audit != audit {
            return None;
        }
        asked.audit = None;
        asked.answered = Some(sent);
        let changed = |left: &&RemainingTokens| {
            let has = batch_jobs
                .reserved()
                .of(&left.host, &left.route, &left.batch_job);
            let asked_later = self
                .asked_for
                .get(&left.batch_job)
                .is_some_and(|at| *at > audit);
            has.is_some_and(|has| has.partition == word.partition && has.tokens > left.tokens)
                && !asked_later
        };
        let changed: Vec<RemainingTokens> =
            word.batch_jobs.iter().filter(changed).cloned().collect();
        let clock = owner.clock(now);
        (!changed.is_empty()).then(|| {
            owner.command(&Command::UpdateReservations {
                clock,
                batch_jobs: changed,
            })
        })
    }
}
