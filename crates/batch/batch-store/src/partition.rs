//! One partition at this store: its replica of the table, and the requests that wait for the chain.
//!
//! As head it leases items and proposes commands; as tail it answers reads. A request is answered
//! once all that it depends on is committed on enough disks, or with "unknown" when this store's
//! role in the chain ends first.

mod grants;
mod reads;
mod requests;
mod reservations;
mod role;
mod waits;

use crate::pacer::Pacer;
use crate::responder::Responder;
use batch::wire::{AuditRequest, Placement};
use batch::{BatchJobTable, PartitionLeader, QuotaLeader};
use bytes::Bytes;
use chain_replication::{
    Effect, LogRecord, Member, Message as ChainMessage, Millis, RecoveredLog, Replica, View,
};
use reads::{PacedRead, ParkedRead};
use reservations::PendingReservations;
use role::{Head, Role};
use slog::{debug, info, Logger};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use waits::Waiting;

/// The most requests that wait for the chain, and reads that wait for a result, of one partition:
/// some seconds of a busy one. Beyond it callers are refused at once.
const MAX_WAITING: usize = 4_096;
/// The most bytes that wait for their commit. The chain itself takes somewhat more, so its limit is
/// never met.
const MAX_UNCOMMITTED_BYTES: usize = 3 << 20;
/// A chain that commits nothing for so long, and has something to commit, won't do so soon: a
/// member is gone. Well above the 0.3 s that one sync may take on a slow disk, whose chain still
/// accepts batch jobs in their time.
const COMMIT_STALL_TIMEOUT_MS: Millis = 400;

/// What all partitions of a store share.
#[derive(Clone)]
pub(crate) struct Shared {
    /// This store as a member of chains.
    pub me: Member,
    /// Drawn at the start of the process.
    pub incarnation: u64,
    /// Paces the responses to reads of all partitions: they share one link.
    pub pacer: Rc<RefCell<Pacer>>,
    pub log: Logger,
}

/// The state of the rest of the store, as of one call.
#[derive(Clone, Copy)]
pub(crate) struct Context {
    pub now: Millis,
    /// The lease for the newest map is held.
    pub has_lease: bool,
    /// Memory and disk have room for another batch job.
    pub has_capacity: bool,
    /// The fewest members whose disks are enough for an acknowledgement.
    pub min_members: usize,
    /// The users' `PollS` in milliseconds.
    pub poll_ms: u64,
    /// Placed by job, the home partition of a host checks the quotas.
    pub placement: Placement,
    /// How many partitions there are.
    pub partitions: usize,
}

/// What a partition wants done.
pub(crate) enum PartitionEffect {
    /// A message of the chain to another store.
    SendChain {
        to: SocketAddr,
        message: ChainMessage,
    },
    /// A record to be written and synced.
    Write { ticket: u64, record: LogRecord },
    /// A message about reservations to another store, or this one.
    Send {
        to: SocketAddr,
        kind: u16,
        body: Bytes,
    },
    /// A message about reservations to the head of a partition, whichever store that is.
    SendToHead {
        partition: usize,
        kind: u16,
        body: Bytes,
    },
}

/// A command that was proposed and is not committed.
struct Uncommitted {
    number: u64,
    bytes: usize,
}

/// One partition.
pub(crate) struct Partition<R> {
    number: u16,
    shared: Shared,
    replica: Replica<BatchJobTable>,
    head: Option<Head>,
    role: Role,
    /// What waits for a commit, by the number of the entry.
    waiting: VecDeque<Waiting<R>>,
    /// Reads that wait for a result.
    parked_reads: Vec<ParkedRead<R>>,
    /// Reads and bodies that wait for the link, the oldest at the front.
    paced: VecDeque<PacedRead<R>>,
    uncommitted: VecDeque<Uncommitted>,
    uncommitted_bytes: usize,
    /// Batch jobs of which the head waits for the grant of their tokens.
    reservations: PendingReservations<R>,
    /// Where this is a home partition: its audits of other partitions.
    quota: QuotaLeader,
    /// The newest audit that the chain could not take yet.
    late_audit: Option<AuditRequest>,
    unready_since: Option<Millis>,
    /// When something was committed last, or was proposed while nothing else was uncommitted.
    progress_at: Millis,
    is_caught_up: bool,
    effects: Vec<PartitionEffect>,
}

impl<R: Responder> Partition<R> {
    pub fn new(number: u16, shared: Shared, recovered: RecoveredLog) -> Self {
        let Shared {
            me, incarnation, ..
        } = shared.clone();
        Self {
            number,
            reservations: PendingReservations::new(me.addr, incarnation),
            quota: QuotaLeader::new(number, me.addr, incarnation),
            replica: Replica::new(me, BatchJobTable::new(), recovered),
            shared,
            head: None,
            role: Role::default(),
            waiting: VecDeque::new(),
            parked_reads: Vec::new(),
            paced: VecDeque::new(),
            uncommitted: VecDeque::new(),
            uncommitted_bytes: 0,
            late_audit: None,
            unready_since: None,
            progress_at: 0,
            is_caught_up: false,
            effects: Vec::new(),
        }
    }

    pub fn replica(&self) -> &Replica<BatchJobTable> {
        &self.replica
    }

    /// What is to be done since the last call.
    pub fn take_effects(&mut self) -> Vec<PartitionEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Whether nothing happens in the chain however much time passes.
    fn is_settled(&self) -> bool {
        let replica = &self.replica;
        let is_whole = replica.is_ready() && replica.committed() == replica.last_received();
        is_whole && replica.view().is_some_and(|view| view.joining.is_empty())
    }

    pub fn install_view(&mut self, context: Context, view: View) {
        // The first view of all partitions comes at once; only those with batch jobs are worth a
        // line each.
        let log = &self.shared.log;
        if self.replica.state_machine().is_empty() {
            debug!(log, "view installed"; "partition" => self.number, "view" => view.number);
        } else {
            info!(log, "view installed"; "partition" => self.number, "view" => view.number,
                "members" => addresses(&view.members), "joining" => addresses(&view.joining));
        }
        self.replica.install_view(context.now, view);
        self.advance(context);
    }

    pub fn handle_chain_message(
        &mut self,
        context: Context,
        from: SocketAddr,
        message: ChainMessage,
    ) {
        self.replica.handle_message(context.now, from, message);
        self.advance(context);
    }

    pub fn handle_synced(&mut self, context: Context, ticket: u64) {
        self.replica.handle_synced(context.now, ticket);
        self.advance(context);
    }

    /// Takes the replica's effects, and does what follows from them; to be called after everything
    /// that was done with the replica.
    fn advance(&mut self, context: Context) {
        let mut has_committed = false;
        for effect in self.replica.take_effects() {
            match effect {
                Effect::Send { to, message } => {
                    self.effects
                        .push(PartitionEffect::SendChain { to, message });
                }
                Effect::Write { ticket, record } => {
                    self.effects.push(PartitionEffect::Write { ticket, record });
                }
                Effect::Committed { .. } => has_committed = true,
                Effect::SnapshotInstalled => {
                    info!(self.shared.log, "snapshot received"; "partition" => self.number,
                        "lots" => self.replica.state_machine().len());
                    self.head = None;
                }
            }
        }
        self.update_role(context);
        if has_committed {
            self.progress_at = context.now;
            self.release(context);
        }
    }

    /// Proposes commands; false if one was not taken, so that the head's own state is void.
    fn propose(&mut self, context: Context, commands: Vec<Bytes>) -> bool {
        for command in commands {
            let bytes = command.len();
            let Some(number) = self.replica.propose(command) else {
                self.become_head(context);
                return false;
            };
            if self.uncommitted.is_empty() {
                self.progress_at = context.now;
            }
            self.uncommitted.push_back(Uncommitted { number, bytes });
            self.uncommitted_bytes += bytes;
        }
        true
    }

    /// Whether the chain is long enough for an acknowledgement.
    fn has_enough_members(&self, context: Context) -> bool {
        let view = self.replica.view();
        view.is_some_and(|view| view.members.len() >= context.min_members)
    }

    fn is_full(&self) -> bool {
        self.uncommitted_bytes >= MAX_UNCOMMITTED_BYTES || self.waiting.len() >= MAX_WAITING
    }

    /// Whether the chain has something to commit and commits nothing: a member is gone, or its disk
    /// hangs.
    fn is_stalled(&self, now: Millis) -> bool {
        let since = now.saturating_sub(self.progress_at);
        !self.uncommitted.is_empty() && since >= COMMIT_STALL_TIMEOUT_MS
    }

    /// The head's state with its table, once it may lease items.
    pub fn open_leader(
        &mut self,
        context: Context,
    ) -> Option<(&mut PartitionLeader, &BatchJobTable)> {
        let committed = self.replica.committed();
        let head = self.head.as_mut()?;
        let is_open =
            context.has_lease && committed >= head.open_from && head.leader.is_open(context.now);
        is_open.then_some((&mut head.leader, self.replica.state_machine()))
    }

    /// Bounds the log that is kept for neighbours.
    pub fn set_log_limit(&mut self, bytes: u64) {
        self.replica.set_log_limit(bytes);
    }

    /// Time passes.
    pub fn tick(&mut self, context: Context) {
        if !self.is_settled() {
            self.replica.tick(context.now);
            self.advance(context);
        }
        let is_ready = self.replica.is_ready();
        self.unready_since = if is_ready {
            None
        } else {
            self.unready_since.or(Some(context.now))
        };
        if is_ready && !self.is_full() {
            self.tick_leader(context);
        }
        self.tick_reservations(context);
        self.answer_late_audit(context);
        self.send_audits(context);
        if !self.parked_reads.is_empty() {
            self.answer_parked_reads(context, reads::Deadlines::Checked);
        }
        self.answer_paced(context);
    }

    fn tick_leader(&mut self, context: Context) {
        let Some(head) = self.head.as_mut().filter(|head| !head.leader.is_idle()) else {
            return;
        };
        let commands = head.leader.tick(context.now, self.replica.state_machine());
        if !commands.is_empty() {
            self.propose(context, commands);
            self.advance(context);
        }
    }

    /// Refuses all requests that wait: this store ends, or is not in the chain any more.
    pub fn close(&mut self) {
        self.reservations.refuse_all();
        self.refuse_waiting(|_| true);
        self.refuse_reads();
    }
}

fn addresses(members: &[Member]) -> String {
    let addresses: Vec<String> = members
        .iter()
        .map(|member| member.addr.to_string())
        .collect();
    addresses.join(" ")
}
