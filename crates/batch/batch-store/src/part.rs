//! One partition at this store: its copy of the table, and what waits for the chain's word.

mod calls;
mod quota;

use crate::answer::Answer;
use crate::pace::Pace;
use batch::wire::{
    AuditRequest, AuditResponse, CompleteResponse, EndResponse, ItemBodyRequest, ItemBodyResponse,
    Message, ReadRequest, ReadResponse, ReserveResponse, SubmitResponse, AUDIT_RESPONSE,
    RESERVE_RESPONSE,
};
use batch::{BatchJobTable, PartitionLeader, QuotaLeader};
use bytes::Bytes;
use chain_replication::{
    Effect, LogRecord, Member, Message as ChainMessage, Millis, RecoveredLog, Replica, View,
};
use compact_str::CompactString;
use quota::Reserving;
use slog::{debug, info, Logger};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// Calls that may wait for the chain, and reads that may wait for a result, of one partition: some seconds of a
/// busy one. Beyond it callers are sent away at once.
const MOST_WAITING: usize = 4_096;
/// A read that has waited so long for its turn on the link is sent away: its caller, which waits 700 ms, is about to ask again.
const MOST_PACED_MS: Millis = 500;
/// So much may wait for its commit; the chain itself takes somewhat more, so its limit is never met.
const MOST_UNCOMMITTED: usize = 3 << 20;

/// What the rest of the store tells a partition for one turn.
#[derive(Clone, Copy)]
pub(crate) struct Turn {
    pub now: Millis,
    /// The lease of the newest map holds.
    pub leased: bool,
    /// Memory and disk have room for another batch job.
    pub room: bool,
    /// The fewest members whose disks are enough for an acknowledgement.
    pub least: usize,
    /// The users' `PollS`.
    pub poll_ms: u64,
    /// Jobs of a host are on all partitions, and its home partition holds the quotas.
    pub by_job: bool,
    /// How many partitions there are.
    pub partitions: usize,
}

/// What a partition wants done.
pub(crate) enum Act {
    /// A message to another store.
    Send(SocketAddr, ChainMessage),
    /// A record to be written and synced.
    Write(u64, LogRecord),
    /// A word about reservations to another store, or this one.
    Tell(SocketAddr, u16, Bytes),
    /// A frame to the head of a partition, whoever that is.
    TellHead(usize, u16, Bytes),
}

/// A chain that commits nothing for so long, and has something to, does not do so soon: a member is gone. Well above the 0.3 s that
/// one sync may take of a disk that has turned slow, whose chain still takes batch jobs in their time.
const STALLED_MS: Millis = 400;

enum Wait<R> {
    /// A batch job of which the taking was proposed (`fresh`), or which was in the table.
    Submit {
        reply: R,
        batch_job: CompactString,
        fresh: bool,
    },
    End {
        reply: R,
    },
    Complete {
        reply: R,
    },
    Read {
        reply: R,
        call: ReadRequest,
        until: Millis,
    },
    Body {
        reply: R,
        call: ItemBodyRequest,
    },
    /// Tokens that were reserved here.
    Reserved {
        to: SocketAddr,
        word: ReserveResponse,
    },
    /// How batch jobs stood when their home partition asked.
    Audited {
        to: SocketAddr,
        word: AuditResponse,
    },
}

struct ParkedRead<R> {
    reply: R,
    call: ReadRequest,
    until: Millis,
}

/// What only the head of a chain has.
struct Head {
    owner: PartitionLeader,
    /// Items are given out once all up to this is committed: what the view began with.
    open_from: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, Default)]
struct Role {
    head: bool,
    tail: bool,
    active: bool,
}

/// One partition.
pub(crate) struct Part<R> {
    number: u16,
    node: Replica<BatchJobTable>,
    head: Option<Head>,
    waits: VecDeque<(u64, Wait<R>)>,
    reads: Vec<ParkedRead<R>>,
    /// Reads and bodies that wait until the link has carried more of what has left, in order of their coming.
    paced: VecDeque<(Millis, Wait<R>)>,
    pace: Rc<RefCell<Pace>>,
    uncommitted: VecDeque<(u64, usize)>,
    uncommitted_bytes: usize,
    /// Batch jobs of which the head waits for the grant of their tokens.
    reserving: Reserving<R>,
    /// Where this is a home partition: who is asked about reservations.
    quota: QuotaLeader,
    late_audit: Option<AuditRequest>,
    role: Role,
    unready_since: Option<Millis>,
    /// When something was committed last, or became the only thing to be.
    progress_at: Millis,
    caught_up: bool,
    acts: Vec<Act>,
    log: Logger,
}

impl<R: Answer> Part<R> {
    pub fn new(
        number: u16,
        me: Member,
        incarnation: u64,
        recovered: RecoveredLog,
        pace: Rc<RefCell<Pace>>,
        log: Logger,
    ) -> Self {
        let addr = me.addr;
        Self {
            number,
            node: Replica::new(me, BatchJobTable::new(), recovered),
            reserving: Reserving::new(addr, incarnation),
            quota: QuotaLeader::new(number, addr, incarnation),
            late_audit: None,
            head: None,
            waits: VecDeque::new(),
            reads: Vec::new(),
            paced: VecDeque::new(),
            pace,
            uncommitted: VecDeque::new(),
            uncommitted_bytes: 0,
            role: Role::default(),
            unready_since: None,
            progress_at: 0,
            caught_up: false,
            acts: Vec::new(),
            log,
        }
    }

    pub fn node(&self) -> &Replica<BatchJobTable> {
        &self.node
    }

    /// What is to be done since the last call.
    pub fn acts(&mut self) -> Vec<Act> {
        std::mem::take(&mut self.acts)
    }

    /// Whether nothing happens here however much time goes by.
    fn settled(&self) -> bool {
        let whole = self.node.is_ready() && self.node.committed() == self.node.last_received();
        whole && self.node.view().is_some_and(|view| view.joining.is_empty())
    }

    pub fn enter(&mut self, turn: Turn, view: View) {
        // The first view of all partitions comes at once; only what concerns batch jobs is worth a line each.
        if self.node.state_machine().is_empty() {
            debug!(self.log, "view entered"; "partition" => self.number, "view" => view.number);
        } else {
            info!(self.log, "view entered"; "partition" => self.number, "view" => view.number,
                "members" => names(&view.members), "joining" => names(&view.joining));
        }
        self.node.install_view(turn.now, view);
        self.settle(turn);
    }

    pub fn message(&mut self, turn: Turn, from: SocketAddr, msg: ChainMessage) {
        self.node.handle_message(turn.now, from, msg);
        self.settle(turn);
    }

    pub fn synced(&mut self, turn: Turn, ticket: u64) {
        self.node.handle_synced(turn.now, ticket);
        self.settle(turn);
    }

    /// To be called after everything that was done with the node: what it wants, and what follows from it.
    fn settle(&mut self, turn: Turn) {
        let mut committed = false;
        for out in self.node.take_effects() {
            match out {
                Effect::Send { to, message: msg } => self.acts.push(Act::Send(to, msg)),
                Effect::Write {
                    ticket,
                    record: write,
                } => self.acts.push(Act::Write(ticket, write)),
                Effect::Committed { .. } => committed = true,
                Effect::SnapshotInstalled => {
                    info!(self.log, "copy taken"; "partition" => self.number, "lots" => self.node.state_machine().len());
                    self.head = None;
                }
            }
        }
        self.see_role(turn);
        if committed {
            self.progress_at = turn.now;
            self.release(turn);
        }
    }

    fn see_role(&mut self, turn: Turn) {
        let node = &self.node;
        let active = node.is_active();
        // One that was the head stays so while the next view begins: its log is what the others follow.
        let head = node.is_head() && (active || self.role.head);
        let role = Role {
            head,
            tail: active && node.is_tail(),
            active,
        };
        let caught_up = node.status().caught_up;
        if caught_up && !self.caught_up {
            info!(self.log, "copy done"; "partition" => self.number, "received" => node.last_received());
        }
        self.caught_up = caught_up;
        if role == self.role {
            return;
        }
        let was = std::mem::replace(&mut self.role, role);
        let view = node.view().map_or(0, |view| view.number);
        if role.head && !was.head {
            self.tell_role("became head", view);
            self.begin_head(turn);
        }
        if role.tail && !was.tail {
            self.tell_role("became tail", view);
        }
        if was.head && !role.head {
            self.head = None;
            self.uncommitted.clear();
            self.uncommitted_bytes = 0;
            self.reserving.send_away();
            self.send_away(|wait| !matches!(wait, Wait::Read { .. } | Wait::Body { .. }));
        }
        if was.tail && !role.tail {
            self.paced.drain(..).for_each(|(_, wait)| unsure(wait));
            self.send_away(|wait| matches!(wait, Wait::Read { .. } | Wait::Body { .. }));
            for read in self.reads.drain(..) {
                read.reply.answer(ReadResponse::Unavailable.encode());
            }
        }
    }

    fn tell_role(&self, role: &'static str, view: u64) {
        let batch_jobs = self.node.state_machine().len();
        if batch_jobs == 0 {
            debug!(self.log, "{}", role; "partition" => self.number, "view" => view);
        } else {
            info!(self.log, "{}", role; "partition" => self.number, "view" => view, "lots" => batch_jobs);
        }
    }

    fn begin_head(&mut self, turn: Turn) {
        let view = self.node.view().map_or(0, |view| view.number);
        let owner = PartitionLeader::new(turn.now, view, self.node.state_machine(), turn.poll_ms);
        self.quota.begin();
        self.head = Some(Head {
            owner,
            open_from: self.node.last_received(),
        });
    }

    /// Answers those who can't be answered here any more.
    fn send_away(&mut self, which: impl Fn(&Wait<R>) -> bool) {
        let mut kept = VecDeque::new();
        for (number, wait) in self.waits.drain(..) {
            if which(&wait) {
                unsure(wait);
            } else {
                kept.push_back((number, wait));
            }
        }
        self.waits = kept;
    }

    /// Answers what waited for what is now committed.
    fn release(&mut self, turn: Turn) {
        let committed = self.node.committed();
        while self
            .uncommitted
            .front()
            .is_some_and(|(number, _)| *number <= committed)
        {
            if let Some((_, bytes)) = self.uncommitted.pop_front() {
                self.uncommitted_bytes -= bytes;
            }
        }
        while self
            .waits
            .front()
            .is_some_and(|(number, _)| *number <= committed)
        {
            if let Some((number, wait)) = self.waits.pop_front() {
                self.release_one(turn, number, wait);
            }
        }
        self.look_at_reads(turn, false);
    }

    fn release_one(&mut self, turn: Turn, number: u64, wait: Wait<R>) {
        // The length of the view of the commit counts: one of a shorter view before may be told only now.
        let enough = number <= self.node.committed_with_members(turn.least);
        match wait {
            Wait::Submit {
                reply,
                batch_job,
                fresh,
            } => {
                if let (true, Some(head)) = (fresh, self.head.as_mut()) {
                    head.owner.taken(self.node.state_machine(), &batch_job);
                }
                let answer = if enough {
                    SubmitResponse::Accepted
                } else {
                    SubmitResponse::Indeterminate
                };
                reply.answer(answer.encode());
            }
            Wait::End { reply } => {
                let answer = if enough {
                    EndResponse::Ended
                } else {
                    EndResponse::Indeterminate
                };
                reply.answer(answer.encode());
            }
            Wait::Complete { reply } => {
                let answer = if enough {
                    CompleteResponse::Accepted
                } else {
                    CompleteResponse::Indeterminate
                };
                reply.answer(answer.encode());
            }
            Wait::Read { reply, call, until } => self.read_now(turn, reply, call, until),
            Wait::Body { reply, call } => self.body_now(turn, reply, call),
            // Of what might be lost with fewer disks than are enough, nobody hears; it is asked for again.
            Wait::Reserved { to, word } if enough => {
                self.acts
                    .push(Act::Tell(to, RESERVE_RESPONSE, word.encode()))
            }
            Wait::Audited { to, word } => {
                self.acts.push(Act::Tell(to, AUDIT_RESPONSE, word.encode()))
            }
            Wait::Reserved { .. } => {}
        }
    }

    /// Whether the chain is long enough for an acknowledgement.
    fn enough(&self, turn: Turn) -> bool {
        self.node
            .view()
            .is_some_and(|view| view.members.len() >= turn.least)
    }

    /// Waits until all is committed that this store has received, which may be at once.
    fn wait(&mut self, turn: Turn, wait: Wait<R>) {
        let number = self.node.last_received();
        if number <= self.node.committed() {
            self.release_one(turn, number, wait);
        } else if self.waits.len() >= MOST_WAITING {
            unsure(wait);
        } else {
            self.waits.push_back((number, wait));
        }
    }

    /// Proposes commands; false if one was not taken, so that the head's own state is void.
    fn propose(&mut self, turn: Turn, commands: Vec<Bytes>) -> bool {
        for command in commands {
            let len = command.len();
            let Some(number) = self.node.propose(turn.now, command) else {
                self.begin_head(turn);
                return false;
            };
            if self.uncommitted.is_empty() {
                self.progress_at = turn.now;
            }
            self.uncommitted.push_back((number, len));
            self.uncommitted_bytes += len;
        }
        true
    }

    fn is_full(&self) -> bool {
        self.uncommitted_bytes >= MOST_UNCOMMITTED || self.waits.len() >= MOST_WAITING
    }

    /// The head's state with its table, once it may give out items.
    pub fn open(&mut self, turn: Turn) -> Option<(&mut PartitionLeader, &BatchJobTable)> {
        let committed = self.node.committed();
        let head = self
            .head
            .as_mut()
            .filter(|head| turn.leased && committed >= head.open_from)?;
        head.owner
            .open(turn.now)
            .then_some((&mut head.owner, self.node.state_machine()))
    }

    /// Whether it is the head and in sync.
    pub fn is_head(&self) -> bool {
        self.head.is_some()
    }

    /// Whether it is the tail and in sync.
    pub fn is_tail(&self) -> bool {
        self.role.tail
    }

    /// Bounds the log that is kept for neighbours.
    pub fn limit_log(&mut self, bytes: u64) {
        self.node.set_log_limit(bytes);
    }

    /// Time passes.
    pub fn tick(&mut self, turn: Turn) {
        if !self.settled() {
            self.node.tick(turn.now);
            self.settle(turn);
        }
        let ready = self.node.is_ready();
        self.unready_since = if ready {
            None
        } else {
            self.unready_since.or(Some(turn.now))
        };
        if ready && !self.is_full() {
            if let Some(head) = self.head.as_mut().filter(|head| !head.owner.idle()) {
                let commands = head.owner.tick(turn.now, self.node.state_machine());
                if !commands.is_empty() {
                    self.propose(turn, commands);
                    self.settle(turn);
                }
            }
        }
        self.tick_quota(turn);
        if !self.reads.is_empty() {
            self.look_at_reads(turn, true);
        }
        self.answer_paced(turn);
    }

    /// Whether the chain has commits to make and makes none: a member is gone, or its disk hangs.
    fn is_stalled(&self, now: Millis) -> bool {
        !self.uncommitted.is_empty() && now.saturating_sub(self.progress_at) >= STALLED_MS
    }

    /// Sends all who wait away: this store ends, or is not of the chain any more.
    pub fn close(&mut self) {
        self.reserving.send_away();
        self.send_away(|_| true);
        self.paced.drain(..).for_each(|(_, wait)| unsure(wait));
        for read in self.reads.drain(..) {
            read.reply.answer(ReadResponse::Unavailable.encode());
        }
    }
}

fn unsure<R: Answer>(wait: Wait<R>) {
    match wait {
        Wait::Submit { reply, .. } => reply.answer(SubmitResponse::Indeterminate.encode()),
        Wait::End { reply } => reply.answer(EndResponse::Indeterminate.encode()),
        Wait::Complete { reply } => reply.answer(CompleteResponse::Indeterminate.encode()),
        Wait::Read { reply, .. } => reply.answer(ReadResponse::Unavailable.encode()),
        Wait::Body { reply, .. } => reply.answer(ItemBodyResponse::Unavailable.encode()),
        // Nobody waits for these: who wants one asks again.
        Wait::Reserved { .. } | Wait::Audited { .. } => {}
    }
}

fn names(members: &[Member]) -> String {
    let mut text = String::new();
    for member in members {
        if !text.is_empty() {
            text.push(' ');
        }
        text.push_str(&member.addr.to_string());
    }
    text
}
