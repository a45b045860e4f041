//! Tokens of a route, asked for at its host's home partition before a batch job is taken; and the home partition's side of it.

use super::{Act, Part, Turn, Wait};
use crate::answer::Answer;
use batch::wire::{
    home_partition, AuditRequest, AuditResponse, Message, RemainingTokens, ReserveProgress,
    ReserveRequest, ReserveResponse, SubmitRequest, SubmitResponse, AUDIT, RESERVE,
    RESERVE_PROGRESS, RESERVE_RESPONSE,
};
use batch::{max_queued_tokens, QuotaState, ReserveDecision};
use chain_replication::Millis;
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The home partition is asked again after so long: a word may be lost, its head another one.
const AGAIN_MS: Millis = 40;
/// A batch job waits so long for its grant: its gateway waits for one store for 700 ms, and must hear that nothing was taken.
const PATIENCE_MS: Millis = 550;
/// A home partition that has said nothing of an asking for so long, not even that a grant is being written, has no head that could
/// answer soon, or one that can't know yet. The batch job is sent away then: its client comes again in a moment, and is served in
/// time by its new try. It was asked again meanwhile.
const UNHEARD_MS: Millis = 90;
/// The most audits of a partition that wait for their commit.
const MOST_AUDITS: usize = 4;
/// The most batch jobs that wait for their grants in one partition.
const MOST_RESERVING: usize = 256;

struct Asking<R> {
    call: ReserveRequest,
    until: Millis,
    asked_at: Millis,
    /// When it was asked first, or said last that its word is about to follow.
    heard_at: Millis,
    /// All tries of the batch job that have come meanwhile.
    tries: Vec<(SubmitRequest, R)>,
}

/// The batch jobs of a partition that wait for their grants. Nothing of them is in the table: they may always be sent away.
pub(super) struct Reserving<R> {
    addr: SocketAddr,
    incarnation: u64,
    nonce: u64,
    batch_jobs: BTreeMap<CompactString, Asking<R>>,
    /// Notes were heard: home partitions' heads of the version before say none, and their silence means nothing.
    hears_notes: bool,
}

impl<R: Answer> Reserving<R> {
    pub fn new(addr: SocketAddr, incarnation: u64) -> Self {
        Self {
            addr,
            incarnation,
            nonce: 0,
            batch_jobs: BTreeMap::new(),
            hears_notes: false,
        }
    }

    fn is_waiting(&self, batch_job: &str) -> bool {
        self.batch_jobs.contains_key(batch_job)
    }

    /// None of them is taken.
    pub fn send_away(&mut self) {
        for (_, asking) in std::mem::take(&mut self.batch_jobs) {
            asking.answer(&SubmitResponse::Unavailable);
        }
    }
}

impl<R: Answer> Asking<R> {
    fn answer(self, answer: &SubmitResponse) {
        for (_, reply) in self.tries {
            reply.answer(answer.encode());
        }
    }
}

impl<R: Answer> Part<R> {
    /// A batch job that fits here, once its tokens are granted.
    pub(super) fn reserve(&mut self, turn: Turn, call: SubmitRequest, tokens: u64, reply: R) {
        let reserving = &mut self.reserving;
        if let Some(asking) = reserving.batch_jobs.get_mut(&call.batch_job) {
            if asking.tries.len() < MOST_RESERVING {
                asking.tries.push((call, reply));
            } else {
                reply.answer(SubmitResponse::Unavailable.encode());
            }
            return;
        }
        if reserving.batch_jobs.len() >= MOST_RESERVING {
            return reply.answer(SubmitResponse::Unavailable.encode());
        }
        reserving.nonce += 1;
        let asked = ReserveRequest {
            host: call.host.clone(),
            route: call.route.clone(),
            batch_job: call.batch_job.clone(),
            partition: self.number,
            reply_to: reserving.addr,
            incarnation: reserving.incarnation,
            nonce: reserving.nonce,
            tokens,
            most: max_queued_tokens(call.max_queued, call.excess_permille),
        };
        let home = home_partition(&call.host, turn.partitions);
        self.acts.push(Act::TellHead(home, RESERVE, asked.encode()));
        let batch_job = call.batch_job.clone();
        let now = turn.now;
        let asking = Asking {
            call: asked,
            until: now + PATIENCE_MS,
            asked_at: now,
            heard_at: now,
            tries: vec![(call, reply)],
        };
        reserving.batch_jobs.insert(batch_job, asking);
    }

    /// What the home partition's head says before its word.
    pub fn reserve_noted(&mut self, turn: Turn, note: &ReserveProgress) {
        self.reserving.hears_notes = true;
        let Some(asking) = self.reserving.batch_jobs.get_mut(&note.batch_job) else {
            return;
        };
        if (asking.call.incarnation, asking.call.nonce) != (note.incarnation, note.nonce) {
            return;
        }
        if note.soon {
            asking.heard_at = turn.now;
        } else {
            self.send_away_one(&note.batch_job);
        }
    }

    /// The heads of these partitions are others now.
    pub fn heads_changed(&mut self, partitions: &[u16]) {
        self.quota.ask_again(partitions);
    }

    fn send_away_one(&mut self, batch_job: &str) {
        if let Some(asking) = self.reserving.batch_jobs.remove(batch_job) {
            asking.answer(&SubmitResponse::Unavailable);
        }
    }

    /// The home partition's word on a batch job.
    pub fn granted(&mut self, turn: Turn, word: &ReserveResponse) {
        let batch_jobs = &mut self.reserving.batch_jobs;
        let current = |asking: &&Asking<R>| {
            asking.call.nonce == word.nonce && asking.call.incarnation == word.incarnation
        };
        if batch_jobs.get(&word.batch_job).filter(current).is_none() {
            return;
        }
        let Some(asking) = batch_jobs.remove(&word.batch_job) else {
            return;
        };
        if !word.granted {
            return asking.answer(&SubmitResponse::QuotaExceeded);
        }
        let may_take = self.node.is_ready() && !self.is_full() && self.enough(turn);
        for (call, reply) in asking.tries {
            let of_the_grant =
                call.route == asking.call.route && tokens(&call) <= asking.call.tokens;
            if may_take && of_the_grant {
                self.submit_under(turn, call, reply, QuotaState::Reserved);
            } else {
                reply.answer(SubmitResponse::Unavailable.encode());
            }
        }
        self.settle(turn);
    }

    /// How batch jobs stand, for their home partition: as of now, and said once all of it is committed. The command behind it
    /// can't be committed by a head that another one has followed, so its word is never of an older table.
    pub fn audited(&mut self, turn: Turn, call: &AuditRequest) {
        // A chain that stands still is not filled with what is asked again and again.
        let waiting = self
            .waits
            .iter()
            .filter(|(_, wait)| matches!(wait, Wait::Audited { .. }))
            .count();
        if !self.node.is_ready() || self.is_full() || waiting >= MOST_AUDITS {
            self.late_audit = Some(call.clone());
            return;
        }
        let Some(head) = self.head.as_mut() else {
            return;
        };
        let table = self.node.state_machine();
        let settled = call
            .batch_jobs
            .iter()
            .filter(|asked| !self.reserving.is_waiting(&asked.batch_job));
        let batch_jobs = settled.map(|asked| RemainingTokens {
            host: asked.host.clone(),
            route: asked.route.clone(),
            batch_job: asked.batch_job.clone(),
            tokens: table.waiting_of(&asked.host, &asked.route, &asked.batch_job),
        });
        let word = AuditResponse {
            home: call.home,
            partition: self.number,
            incarnation: call.incarnation,
            audit: call.audit,
            batch_jobs: batch_jobs.collect(),
        };
        let barrier = head.owner.barrier(turn.now);
        if self.propose(turn, vec![barrier]) {
            self.wait(
                turn,
                Wait::Audited {
                    to: call.reply_to,
                    word,
                },
            );
        }
        self.settle(turn);
    }

    /// The newest audit that came while the chain could not take it.
    fn answer_late_audit(&mut self, turn: Turn) {
        if let Some(call) = self.late_audit.take_if(|_| self.node.is_ready()) {
            self.audited(turn, &call);
        }
    }

    /// A batch job's head asks for tokens of a host of which this is the home partition.
    pub fn reserve_asked(&mut self, turn: Turn, call: ReserveRequest) {
        if !self.node.is_ready() || self.is_full() {
            return;
        }
        // What is on its way to the disks already is answered once it is there.
        let same = |word: &ReserveResponse| {
            (word.incarnation, word.nonce) == (call.incarnation, call.nonce)
        };
        let on_its_way = |wait: &Wait<R>| matches!(wait, Wait::Reserved { word, .. } if same(word));
        let soon = !self.is_stalled(turn.now);
        if self.waits.iter().any(|(_, wait)| on_its_way(wait)) {
            return self.note(&call, soon);
        }
        let Some(head) = self.head.as_mut() else {
            return;
        };
        let decision =
            self.quota
                .reserve(turn.now, self.node.state_machine(), &mut head.owner, &call);
        match decision {
            ReserveDecision::Propose(_) => self.note(&call, soon),
            ReserveDecision::Undecided => self.note(&call, !self.quota.is_blind(turn.now)),
            ReserveDecision::Rejected => {}
        }
        let granted = decision != ReserveDecision::Rejected;
        let ReserveRequest {
            partition,
            batch_job,
            incarnation,
            nonce,
            reply_to,
            ..
        } = call;
        let word = ReserveResponse {
            partition,
            batch_job,
            incarnation,
            nonce,
            granted,
        };
        match decision {
            ReserveDecision::Propose(command) => {
                if self.propose(turn, vec![command]) {
                    self.wait(turn, Wait::Reserved { to: reply_to, word });
                }
            }
            ReserveDecision::Rejected => {
                self.acts
                    .push(Act::Tell(reply_to, RESERVE_RESPONSE, word.encode()))
            }
            ReserveDecision::Undecided => self.ask_partitions(turn),
        }
        self.settle(turn);
    }

    fn note(&mut self, call: &ReserveRequest, soon: bool) {
        let note = ReserveProgress {
            partition: call.partition,
            batch_job: call.batch_job.clone(),
            incarnation: call.incarnation,
            nonce: call.nonce,
            soon,
        };
        self.acts
            .push(Act::Tell(call.reply_to, RESERVE_PROGRESS, note.encode()));
    }

    /// A partition's word on what is reserved.
    pub fn left(&mut self, turn: Turn, word: &AuditResponse) {
        let Some(head) = self.head.as_mut() else {
            return;
        };
        if let Some(command) =
            self.quota
                .left(turn.now, self.node.state_machine(), &mut head.owner, word)
        {
            self.propose(turn, vec![command]);
        }
        self.settle(turn);
    }

    /// Time passes.
    pub(super) fn tick_quota(&mut self, turn: Turn) {
        let now = turn.now;
        let mut over = Vec::new();
        let silence_tells = self.reserving.hears_notes;
        for (batch_job, asking) in &mut self.reserving.batch_jobs {
            let again = asking.asked_at > asking.heard_at;
            let unheard =
                silence_tells && again && now.saturating_sub(asking.heard_at) >= UNHEARD_MS;
            if unheard || now >= asking.until {
                over.push(batch_job.clone());
            } else if now.saturating_sub(asking.asked_at) >= AGAIN_MS {
                asking.asked_at = now;
                let home = home_partition(&asking.call.host, turn.partitions);
                self.acts
                    .push(Act::TellHead(home, RESERVE, asking.call.encode()));
            }
        }
        over.iter()
            .for_each(|batch_job| self.send_away_one(batch_job));
        self.answer_late_audit(turn);
        self.ask_partitions(turn);
    }

    fn ask_partitions(&mut self, turn: Turn) {
        if self.head.is_none()
            || self.node.state_machine().reserved().is_empty()
            || !self.node.is_ready()
        {
            return;
        }
        for call in self.quota.audits(turn.now, self.node.state_machine()) {
            self.acts.push(Act::TellHead(
                usize::from(call.partition),
                AUDIT,
                call.encode(),
            ));
        }
    }
}

fn tokens(call: &SubmitRequest) -> u64 {
    call.items
        .iter()
        .fold(0, |sum, item| sum.saturating_add(item.tokens))
}
