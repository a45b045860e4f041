//! One replica: its role in the view, its log, and what its disk holds.
//!
//! Owns the state machine and dispatches what comes in: commands, messages, syncs, views, time.
//! Guarantees that nothing is forwarded or acknowledged that its own disk doesn't hold. Holds no
//! socket, file or clock: each call is given the time and queues [`Effect`]s for the owner.

use std::net::SocketAddr;

use bytes::Bytes;

use crate::effect::Effect;
use crate::limits::{MAX_COMMAND_BYTES, MAX_UNCOMMITTED_BYTES};
use crate::log::{Log, LogPosition, SuccessorState};
use crate::message::{Message, MessageBody};
use crate::predecessor::PredecessorLink;
use crate::record::LogRecord;
use crate::recovery::RecoveredLog;
use crate::snapshot_id::SnapshotId;
use crate::snapshot_receiver::SnapshotReceiver;
use crate::state_machine::StateMachine;
use crate::successor::Successor;
use crate::sync_queue::{OnSync, SyncQueue};
use crate::time::Millis;
use crate::view::{Member, View, MAX_MEMBERS};

/// What this process is in its view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Role {
    /// It has no part in the view.
    NotMember,
    /// It is brought up to date by the tail.
    Joining,
    /// It is in the chain, this far from the head.
    Member { position: usize },
}

impl Role {
    const HEAD: Role = Role::Member { position: 0 };

    fn in_view(view: &View, member: &Member) -> Role {
        let is_joining = || {
            view.joining
                .iter()
                .any(|joiner| joiner.is_same_process(member))
        };
        match view.position(member) {
            Some(position) => Role::Member { position },
            None if is_joining() => Role::Joining,
            None => Role::NotMember,
        }
    }
}

/// One replica of a chain.
#[derive(Debug)]
pub struct Replica<M> {
    pub(crate) me: Member,
    pub(crate) state_machine: M,
    pub(crate) view: Option<View>,
    pub(crate) role: Role,
    /// The newest view whose `InSync` is on our disk.
    pub(crate) in_sync_view: u64,
    /// The newest view whose `InSync` was given to the disk.
    pub(crate) in_sync_requested: u64,
    pub(crate) log: Log,
    /// Bytes of log at most, beside its own bounds: see [`Replica::set_log_limit`].
    log_limit: u64,
    /// All entries up to this one are on our disk.
    pub(crate) synced: u64,
    /// All entries up to this one are applied to the state machine.
    pub(crate) applied: u64,
    /// All entries up to this one are committed.
    pub(crate) committed: u64,
    /// All entries up to this one are on the disks of all members of this view, by the tail's
    /// report.
    pub(crate) replicated_to_all: u64,
    /// The same by the number of members of the view, over all views since the process started.
    pub(crate) replicated_by_chain_len: [u64; MAX_MEMBERS as usize + 1],
    /// Our complete log belongs to the history of this view's head.
    pub(crate) log_matches_predecessor: bool,
    /// A member whose disk holds all entries up to this one is in sync in this view.
    pub(crate) catch_up_target: u64,
    pub(crate) predecessor: PredecessorLink,
    /// What has come of a snapshot; it outlasts a view, since the next sender may have the same
    /// one.
    pub(crate) incoming_snapshot: Option<SnapshotReceiver>,
    pub(crate) successors: Vec<Successor>,
    /// The newest view that any message was sent in.
    pub(crate) newest_view_observed: u64,
    /// Messages of other views, of processes that are no neighbours, and for others.
    pub(crate) ignored_messages: u64,
    sync_queue: SyncQueue,
    /// Rises when the state is replaced: syncs of what was written before cover nothing after it.
    epoch: u64,
    /// Our own snapshot could not be read: until we join anew we are no member, whatever the view
    /// says.
    state_lost: bool,
    pub(crate) effects: Vec<Effect>,
}

impl<M: StateMachine> Replica<M> {
    /// A replica with what its disk holds; all of `recovered` must be synced.
    ///
    /// With a snapshot that can't be read it takes part in no view before it has joined anew; the
    /// owner checks that first if it wants to report it as corruption.
    pub fn new(me: Member, state_machine: M, recovered: RecoveredLog) -> Self {
        let mut replica = Replica {
            me,
            state_machine,
            view: None,
            role: Role::NotMember,
            in_sync_view: recovered.in_sync_view,
            in_sync_requested: recovered.in_sync_view,
            log: Log::default(),
            log_limit: u64::MAX,
            synced: 0,
            applied: 0,
            committed: 0,
            replicated_to_all: 0,
            replicated_by_chain_len: [0; MAX_MEMBERS as usize + 1],
            log_matches_predecessor: false,
            catch_up_target: 0,
            predecessor: PredecessorLink::default(),
            incoming_snapshot: None,
            successors: Vec::new(),
            newest_view_observed: 0,
            ignored_messages: 0,
            sync_queue: SyncQueue::default(),
            epoch: 0,
            state_lost: false,
            effects: Vec::new(),
        };
        replica.load(recovered);
        replica.start_view(None);
        replica
    }

    /// Builds the state machine and the log from what the disk holds.
    fn load(&mut self, recovered: RecoveredLog) {
        let partial = recovered.partial_snapshot.as_ref();
        self.incoming_snapshot = partial.map(SnapshotReceiver::resumed);
        if let Some(snapshot) = recovered.snapshot {
            let is_readable = !recovered.snapshot_is_damaged
                && self.state_machine.restore(&snapshot.state).is_ok();
            if is_readable {
                self.log = Log::after(LogPosition {
                    number: snapshot.number,
                    view: snapshot.view,
                });
            } else {
                // Nothing of what was held can be vouched for: a head that began with an empty
                // state would have the others take it over.
                self.state_lost = true;
                self.in_sync_view = 0;
                self.in_sync_requested = 0;
            }
        }
        for entry in recovered.entries {
            if !self.state_lost && entry.number == self.log.last() + 1 {
                self.state_machine.apply(entry.number, &entry.command);
                self.log.push(entry.view, entry.command);
                self.log
                    .trim(entry.number, SuccessorState::InStep, u64::MAX);
            }
        }
        self.synced = self.log.last();
        self.applied = self.log.last();
        self.view = recovered.view;
    }

    /// Installs a newer view; others are ignored.
    pub fn install_view(&mut self, now: Millis, view: View) {
        if self
            .view
            .as_ref()
            .is_some_and(|old| old.number >= view.number)
        {
            return;
        }
        self.write(LogRecord::View { view: view.clone() }, OnSync::View);
        self.view = Some(view);
        self.start_view(Some(now));
    }

    /// Finds its role in the view, new or as recovered, and contacts its neighbours. `now` is none
    /// at the start of the process, when nothing is sent before the first tick.
    fn start_view(&mut self, now: Option<Millis>) {
        let Some(view) = self.view.as_ref() else {
            return;
        };
        let number = view.number;
        let role = match Role::in_view(view, &self.me) {
            Role::Member { .. } if self.state_lost => Role::NotMember,
            role => role,
        };
        self.predecessor = PredecessorLink::new(predecessor_of(view, role));
        let successors = successors_of(view, role);
        // Where all are members only since this view, nothing was before it.
        let is_first_view = view.members.iter().all(|member| member.since == number);
        let mut before = std::mem::replace(&mut self.successors, successors);
        for successor in &mut self.successors {
            successor.take_over_snapshot(&mut before);
        }
        self.role = role;
        // A joiner begins with nothing anyway, and is made a member only once it holds everything.
        self.state_lost &= role != Role::Joining;
        self.replicated_to_all = 0;
        let is_head = role == Role::HEAD;
        // In sync in this very view before a restart: the log matched then and has only grown
        // since.
        let was_in_sync = self.in_sync_view == number;
        // An empty log holds all of what was before the first view.
        let holds_empty_history = self.log.last() == 0 && is_first_view;
        let is_in_view = role != Role::NotMember;
        self.log_matches_predecessor =
            is_head || ((was_in_sync || holds_empty_history) && is_in_view);
        if self.log_matches_predecessor || self.predecessor.member.is_none() {
            self.incoming_snapshot = None;
        }
        // The head's log is what the view begins with; a member that was in sync holds it; others
        // learn it from their predecessor.
        self.catch_up_target = match (is_head, was_in_sync) {
            (true, _) => self.log.last(),
            (false, true) => self.synced,
            (false, false) => 0,
        };
        if is_head {
            self.apply_up_to(self.log.last());
        }
        self.commit_acknowledged();
        if let Some(now) = now {
            self.send_position(now);
            self.request_positions(now);
        }
    }

    /// Takes a command, if it is the head and not too much waits for its commit. Returns the number
    /// under which the command is applied here already.
    pub fn propose(&mut self, command: Bytes) -> Option<u64> {
        let view = self.view_number();
        let uncommitted_bytes = self.log.bytes_between(self.committed, self.log.last());
        if !self.is_head()
            || command.len() > MAX_COMMAND_BYTES
            || uncommitted_bytes > MAX_UNCOMMITTED_BYTES
        {
            return None;
        }
        let number = self.log.last() + 1;
        self.state_machine.apply(number, &command);
        self.applied = number;
        self.log.push(view, command.clone());
        self.write_entry(view, number, command);
        Some(number)
    }

    /// Handles a message of a peer.
    pub fn handle_message(&mut self, now: Millis, from: SocketAddr, message: Message) {
        // Meant for another machine that had this address: nothing in it is about us.
        if message.to != self.me.id {
            self.ignored_messages += 1;
            return;
        }
        self.newest_view_observed = self.newest_view_observed.max(message.view);
        if message.view != self.view_number() || self.role == Role::NotMember {
            self.ignored_messages += 1;
            return;
        }
        let is_sender = |peer: &Member| peer.id == message.from && peer.addr == from;
        let from_predecessor = self.predecessor.member.as_ref().is_some_and(is_sender);
        let successor = self
            .successors
            .iter()
            .position(|other| is_sender(&other.peer));
        self.ignored_messages += u64::from(!from_predecessor && successor.is_none());
        let body = if from_predecessor {
            self.handle_predecessor_message(now, message.body)
        } else {
            Some(message.body)
        };
        if let (Some(body), Some(successor)) = (body, successor) {
            self.handle_successor_message(now, successor, &body);
        }
    }

    /// Handles what a predecessor sends; returns anything else.
    fn handle_predecessor_message(
        &mut self,
        now: Millis,
        body: MessageBody,
    ) -> Option<MessageBody> {
        match body {
            MessageBody::RequestPosition => self.send_position(now),
            MessageBody::AppendEntries(frame) => self.handle_entries(now, frame),
            MessageBody::SnapshotChunk(chunk) => self.handle_chunk(now, &chunk),
            other => return Some(other),
        }
        None
    }

    /// Handles what a successor sends; ignores anything else.
    fn handle_successor_message(&mut self, now: Millis, successor: usize, body: &MessageBody) {
        match *body {
            MessageBody::LogPosition { number, last_view } => {
                let position = LogPosition {
                    number,
                    view: last_view,
                };
                self.handle_position(now, successor, position, None);
            }
            MessageBody::ResumeSnapshot {
                number,
                last_view,
                id,
                offset,
            } => {
                let position = LogPosition {
                    number,
                    view: last_view,
                };
                self.handle_position(now, successor, position, Some((id, offset)));
            }
            MessageBody::Acknowledge(acknowledgement) => {
                self.handle_acknowledgement(now, successor, acknowledgement);
            }
            MessageBody::ChunkAcknowledgement(chunks) => {
                self.handle_chunk_acknowledgement(now, successor, chunks);
            }
            MessageBody::RequestPosition
            | MessageBody::AppendEntries(_)
            | MessageBody::SnapshotChunk(_) => {}
        }
    }

    /// All records up to this ticket are on disk.
    pub fn handle_synced(&mut self, now: Millis, ticket: u64) {
        while let Some(on_sync) = self.sync_queue.pop_synced(ticket) {
            match on_sync {
                OnSync::Entries { epoch, number } if epoch == self.epoch => {
                    self.synced = self.synced.max(number);
                }
                OnSync::InSync { view } => self.in_sync_view = self.in_sync_view.max(view),
                OnSync::Entries { .. } | OnSync::View | OnSync::SnapshotChunk => {}
            }
        }
        self.apply_up_to(self.synced);
        let replicated_before = self.replicated_to_all;
        self.commit_acknowledged();
        if self.is_active() {
            self.forward_to_all(now);
        }
        self.acknowledge_after_sync(replicated_before);
        self.trim_log();
    }

    fn trim_log(&mut self) {
        let successors = self.successor_state();
        self.log
            .trim(self.applied.min(self.synced), successors, self.log_limit);
    }

    /// Bounds the log that is kept in memory, in bytes, where a process has many replicas: see
    /// [`fair_log_limit`](crate::fair_log_limit). What is not applied and on its disk is kept in
    /// any case.
    pub fn set_log_limit(&mut self, bytes: u64) {
        self.log_limit = bytes;
        self.trim_log();
    }

    pub(crate) fn log_limit(&self) -> u64 {
        self.log_limit
    }

    /// Bytes of the log that it keeps in memory.
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    pub(crate) fn apply_up_to(&mut self, number: u64) {
        while self.applied < number {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            self.state_machine.apply(self.applied + 1, &entry.command);
            self.applied += 1;
        }
    }

    /// Replaces our state by another replica's, whose bytes were given to the disk as chunks; false
    /// if it can't be read.
    pub(crate) fn restore(&mut self, id: SnapshotId, state: &[u8]) -> bool {
        if self.state_machine.restore(state).is_err() {
            return false;
        }
        let number = id.number;
        let position = LogPosition {
            number,
            view: id.last_view,
        };
        self.epoch += 1;
        if !self.log_matches_predecessor {
            // What we held was of another history, so our disk holds nothing of this one yet.
            self.synced = 0;
        }
        self.log = Log::after(position);
        self.applied = number;
        self.committed = self.committed.min(number);
        for replicated in &mut self.replicated_by_chain_len {
            *replicated = (*replicated).min(number);
        }
        self.log_matches_predecessor = true;
        // The sender was in sync, so its state has all that is needed.
        self.catch_up_target = self.catch_up_target.max(number);
        self.effects.push(Effect::SnapshotInstalled);
        let on_sync = OnSync::Entries {
            epoch: self.epoch,
            number,
        };
        self.write(LogRecord::SnapshotComplete { id }, on_sync);
        true
    }

    pub(crate) fn write_entry(&mut self, view: u64, number: u64, command: Bytes) {
        let on_sync = OnSync::Entries {
            epoch: self.epoch,
            number,
        };
        self.write(
            LogRecord::Entry {
                view,
                number,
                command,
            },
            on_sync,
        );
    }

    pub(crate) fn write(&mut self, record: LogRecord, on_sync: OnSync) {
        let ticket = self.sync_queue.push(on_sync);
        self.effects.push(Effect::Write { ticket, record });
    }

    pub(crate) fn send(&mut self, to: &Member, body: MessageBody) {
        let message = Message {
            view: self.view_number(),
            from: self.me.id,
            to: to.id,
            body,
        };
        self.effects.push(Effect::Send {
            to: to.addr,
            message,
        });
    }

    /// Resends what was not answered; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Millis) {
        self.tick_predecessor(now);
        self.tick_successors(now);
    }

    /// What the owner is to carry out.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}

/// The process that forwards entries to one in this role.
fn predecessor_of(view: &View, role: Role) -> Option<Member> {
    match role {
        Role::HEAD | Role::NotMember => None,
        Role::Member { position } => view.members.get(position - 1).cloned(),
        Role::Joining => view.members.last().cloned(),
    }
}

/// The processes to which one in this role forwards entries: the next member, or from the tail
/// those that are joining.
fn successors_of(view: &View, role: Role) -> Vec<Successor> {
    let last = view.members.len().saturating_sub(1);
    match role {
        Role::Member { position } if position == last => {
            view.joining.iter().map(Successor::joining).collect()
        }
        Role::Member { position } => view
            .members
            .get(position + 1)
            .map(Successor::member)
            .into_iter()
            .collect(),
        Role::Joining | Role::NotMember => Vec::new(),
    }
}
