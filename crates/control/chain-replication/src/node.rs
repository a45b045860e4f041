//! One member: its place in the view, its log, what its disk holds.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::copy::IncomingCopy;
use crate::log::Log;
use crate::pass::Down;
use crate::types::{
    Effect, LogRecord, Member, Millis, RecoveredLog, StateMachine, View, MAX_MEMBERS,
};
use crate::wire::{Message, MessageBody};

/// A command's bytes at most: the largest configuration (4 MiB) with what identifies it. It has to fit a frame between
/// peers (8 MiB) with room to spare.
pub const MAX_COMMAND_BYTES: usize = 4 * 1024 * 1024 + 4 * 1024;
/// Bytes that may wait for their commit at the head: beyond it nothing more is taken, so memory stays bounded.
pub const MAX_UNCOMMITTED_BYTES: u64 = 4 * 1024 * 1024;

/// What has to happen once a ticket's record is on disk.
#[derive(Debug)]
enum Pending {
    /// All entries up to this number are, if the state was not replaced since.
    Entries { epoch: u64, number: u64 },
    /// It was in sync in this view.
    InSync { view: u64 },
    /// Nothing: records after it wait for it by order.
    View,
}

/// Where this process stands in its view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Place {
    /// Not in it.
    Outside,
    /// It gets copies.
    Joining,
    /// It is this far from the head.
    Member(usize),
}

/// One member of a chain.
#[derive(Debug)]
pub struct Replica<M> {
    pub(crate) me: Member,
    pub(crate) machine: M,
    pub(crate) view: Option<View>,
    pub(crate) place: Place,
    /// The newest view whose `InSync` is on our disk, and the newest for which it is asked to be.
    pub(crate) in_sync_view: u64,
    in_sync_asked: u64,
    pub(crate) log: Log,
    /// Bytes of log at most, beside its own bounds: see [`Replica::set_log_limit`].
    pub(crate) log_limit: u64,
    /// All up to these is on our disk; in our table; on all disks.
    pub(crate) synced: u64,
    pub(crate) applied: u64,
    pub(crate) committed: u64,
    /// All up to this is on the disks of all members of this view, by the tail's word.
    pub(crate) on_all: u64,
    /// The same by the number of members, over all views of this process's life.
    pub(crate) on_so_many: [u64; MAX_MEMBERS as usize + 1],
    /// Our whole log belongs to the history of this view's head.
    pub(crate) matched: bool,
    /// Who holds all up to this is in sync in this view.
    pub(crate) needed: u64,
    /// The newest that the one before us holds, by its last word.
    pub(crate) newest: u64,
    pub(crate) up: Option<Member>,
    /// When we last said what we have.
    pub(crate) told_at: Option<Millis>,
    /// What our disk held by our last word to the one before us.
    pub(crate) acked: u64,
    /// The one before us was told that we and all after us are in sync.
    pub(crate) told_in_sync: bool,
    /// What has come of a snapshot; it outlasts a view, since the next sender may have the same one.
    pub(crate) incoming: Option<IncomingCopy>,
    pub(crate) downs: Vec<Down>,
    /// The newest view that anybody spoke of.
    pub(crate) newer_seen: u64,
    /// Words of other views, of strangers and for others.
    pub(crate) passed_over: u64,
    ticket: u64,
    pending: VecDeque<(u64, Pending)>,
    /// Rises when the state is replaced.
    epoch: u64,
    /// Our own snapshot could not be read: until we join anew we are no member, whatever the view says.
    state_lost: bool,
    pub(crate) out: Vec<Effect>,
}

impl<M: StateMachine> Replica<M> {
    /// A node with what its disk holds; all of `recovered` must be synced. With a snapshot that can't be read it takes
    /// part in no view before it has joined anew; the owner checks that first if it wants to tell it as corruption.
    pub fn new(me: Member, machine: M, recovered: RecoveredLog) -> Self {
        let mut node = Replica {
            me,
            machine,
            view: None,
            place: Place::Outside,
            in_sync_view: recovered.in_sync_view,
            in_sync_asked: recovered.in_sync_view,
            log: Log::default(),
            log_limit: u64::MAX,
            synced: 0,
            applied: 0,
            committed: 0,
            on_all: 0,
            on_so_many: [0; MAX_MEMBERS as usize + 1],
            matched: false,
            needed: 0,
            newest: 0,
            up: None,
            told_at: None,
            acked: 0,
            told_in_sync: false,
            incoming: None,
            downs: Vec::new(),
            newer_seen: 0,
            passed_over: 0,
            ticket: 0,
            pending: VecDeque::new(),
            epoch: 0,
            state_lost: false,
            out: Vec::new(),
        };
        let mut usable = true;
        if let Some((view, number, body)) = recovered.snapshot {
            usable = node.machine.restore(&body).is_ok();
            if usable {
                node.log = Log::after(number, view);
            }
        }
        if !usable {
            // Nothing of what was held can be vouched for: a head that began with an empty table would have the others
            // take it over.
            node.state_lost = true;
            node.in_sync_view = 0;
            node.in_sync_asked = 0;
        }
        for (view, number, command) in recovered.entries {
            if usable && number == node.log.last() + 1 {
                node.machine.apply(number, &command);
                node.log.push(view, command);
                node.log.trim(number, false, u64::MAX);
            }
        }
        node.synced = node.log.last();
        node.applied = node.log.last();
        node.view = recovered.view;
        node.start_view(None);
        node
    }

    /// Takes up a newer view; others are left alone.
    pub fn install_view(&mut self, now: Millis, view: View) {
        if self
            .view
            .as_ref()
            .is_some_and(|old| old.number >= view.number)
        {
            return;
        }
        self.write(LogRecord::View { view: view.clone() }, Pending::View);
        self.view = Some(view);
        self.start_view(Some(now));
    }

    /// Finds its place in the view, new or as recovered, and greets its neighbours.
    fn start_view(&mut self, now: Option<Millis>) {
        let Some(view) = self.view.as_ref() else {
            return;
        };
        let number = view.number;
        let place = match view.position(&self.me) {
            Some(_) if self.state_lost => Place::Outside,
            Some(place) => Place::Member(place),
            None if view.joining.iter().any(|m| m.is_same_process(&self.me)) => Place::Joining,
            None => Place::Outside,
        };
        let up = neighbour_before(view, place);
        let downs = neighbours_after(view, place);
        self.up = up;
        let mut before = std::mem::replace(&mut self.downs, downs);
        self.downs
            .iter_mut()
            .for_each(|down| down.take_over_copy(&mut before));
        self.place = place;
        // A joiner begins with nothing anyway, and is made a member only once it holds all.
        self.state_lost &= place != Place::Joining;
        self.told_at = None;
        self.acked = 0;
        self.on_all = 0;
        self.told_in_sync = false;
        self.newest = 0;
        // In sync in this very view before a restart: the log was matched then and has only grown since.
        let head = place == Place::Member(0);
        // And where all are members only since this view, nothing was before it: an empty log holds all of that.
        let founding = self.log.last() == 0
            && self
                .view
                .as_ref()
                .is_some_and(|v| v.members.iter().all(|m| m.since == number));
        let same_view = self.in_sync_view == number;
        self.matched = head || ((same_view || founding) && place != Place::Outside);
        if self.matched || self.up.is_none() {
            self.incoming = None;
        }
        // The head's whole log is what the view begins with; one that was in sync holds it; others are told.
        self.needed = match (head, same_view) {
            (true, _) => self.log.last(),
            (false, true) => self.synced,
            (false, false) => 0,
        };
        if head {
            self.apply_up_to(self.log.last());
        }
        self.settle();
        if let Some(now) = now {
            self.tell_what_we_have(now);
            self.ask_downs(now);
        }
    }

    /// Takes a command if it is the head and there is room; its number, under which it is applied here already.
    pub fn propose(&mut self, _now: Millis, command: Bytes) -> Option<u64> {
        let view = self.view_number();
        let waiting = self
            .log
            .end_at(self.log.last())
            .saturating_sub(self.log.end_at(self.committed));
        if !self.is_head() || command.len() > MAX_COMMAND_BYTES || waiting > MAX_UNCOMMITTED_BYTES {
            return None;
        }
        let number = self.log.last() + 1;
        self.machine.apply(number, &command);
        self.applied = number;
        self.log.push(view, command.clone());
        self.write_entry(view, number, command);
        Some(number)
    }

    /// Takes a word of a peer.
    pub fn handle_message(&mut self, now: Millis, from: SocketAddr, msg: Message) {
        // Meant for another machine that had this address: nothing that it says is about us.
        if msg.to != self.me.id {
            self.passed_over += 1;
            return;
        }
        self.newer_seen = self.newer_seen.max(msg.view);
        if msg.view != self.view_number() || self.place == Place::Outside {
            self.passed_over += 1;
            return;
        }
        let up = self
            .up
            .as_ref()
            .is_some_and(|m| m.id == msg.from && m.addr == from);
        let down = self
            .downs
            .iter()
            .position(|d| d.peer.id == msg.from && d.peer.addr == from);
        self.passed_over += u64::from(!up && down.is_none());
        match msg.body {
            MessageBody::RequestPosition if up => self.tell_what_we_have(now),
            MessageBody::AppendEntries {
                previous: before,
                previous_view: before_view,
                catch_up_target: needed,
                newest_synced: newest,
                committed,
                entries: items,
            } if up => {
                self.take_entries(now, (before, before_view), needed, newest, committed, items);
            }
            MessageBody::SnapshotChunk {
                id,
                offset,
                checksum,
                bytes,
            } if up => {
                self.take_part(now, id, offset, checksum, &bytes);
            }
            MessageBody::LogPosition { number, last_view } => {
                if let Some(at) = down {
                    self.down_has(now, at, (number, last_view), None);
                }
            }
            MessageBody::ResumeSnapshot {
                number,
                last_view,
                id,
                offset,
            } => {
                if let Some(at) = down {
                    self.down_has(now, at, (number, last_view), Some((id, offset)));
                }
            }
            MessageBody::Acknowledge {
                synced,
                committed,
                in_sync,
            } => {
                if let Some(at) = down {
                    self.down_acked(now, at, synced, committed, in_sync);
                }
            }
            MessageBody::ChunkAcknowledgement {
                id,
                offset,
                received_beyond: held,
            } => {
                if let Some(at) = down {
                    self.down_took_part(now, at, id, offset, held);
                }
            }
            _ => {}
        }
    }

    /// All records up to this ticket are on disk.
    pub fn handle_synced(&mut self, now: Millis, ticket: u64) {
        while self.pending.front().is_some_and(|(t, _)| *t <= ticket) {
            match self.pending.pop_front() {
                Some((_, Pending::Entries { epoch, number })) if epoch == self.epoch => {
                    self.synced = self.synced.max(number);
                }
                Some((_, Pending::InSync { view })) => {
                    self.in_sync_view = self.in_sync_view.max(view)
                }
                _ => {}
            }
        }
        self.apply_up_to(self.synced);
        let on_all = self.on_all;
        self.settle();
        if self.is_active() {
            self.pump_all(now);
        }
        self.ack_after_sync(on_all);
        self.trim_log();
    }

    fn trim_log(&mut self) {
        let one_lags = self.feeds_one_that_lags();
        self.log
            .trim(self.applied.min(self.synced), one_lags, self.log_limit);
    }

    /// Bounds what it keeps of its log, where a process has many members: see [`crate::fair_log_limit`]. What is not applied
    /// and on its disk is kept in any case.
    pub fn set_log_limit(&mut self, bytes: u64) {
        self.log_limit = bytes;
        self.trim_log();
    }

    /// Bytes of the log that it keeps.
    pub fn log_bytes(&self) -> u64 {
        self.log.bytes()
    }

    /// What follows from what is held: the record of being in sync, and at the tail the commit.
    pub(crate) fn settle(&mut self) {
        let number = self.view_number();
        let member = matches!(self.place, Place::Member(_));
        if member && self.matched && self.synced >= self.needed && self.in_sync_asked < number {
            self.in_sync_asked = number;
            self.write(
                LogRecord::InSync { view: number },
                Pending::InSync { view: number },
            );
        }
        if self.is_tail() && self.is_active() {
            self.held_by_all(self.synced);
        }
    }

    /// Notes that all up to this is on the disks of all members of this view; true if that is new.
    pub(crate) fn held_by_all(&mut self, number: u64) -> bool {
        let number = number.min(self.log.last());
        if number <= self.on_all {
            return false;
        }
        self.on_all = number;
        let members = self.view.as_ref().map_or(0, |v| v.members.len());
        let on_more = match self.on_so_many.get_mut(members) {
            Some(most) if *most < number => {
                *most = number;
                true
            }
            _ => false,
        };
        if number > self.committed || on_more {
            self.committed = self.committed.max(number);
            self.out.push(Effect::Committed {
                number: self.committed,
            });
        }
        true
    }

    /// Notes that all up to this was committed, in this view or before it.
    pub(crate) fn heard_committed(&mut self, number: u64) {
        let number = number.min(self.log.last());
        if number > self.committed {
            self.committed = number;
            self.out.push(Effect::Committed { number });
        }
    }

    pub(crate) fn apply_up_to(&mut self, number: u64) {
        while self.applied < number {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            self.machine.apply(self.applied + 1, &entry.command);
            self.applied += 1;
        }
    }

    /// Puts another's state in place of ours; false if it can't be read.
    pub(crate) fn restore(&mut self, number: u64, last_view: u64, body: Bytes) -> bool {
        if self.machine.restore(&body).is_err() {
            return false;
        }
        self.epoch += 1;
        if !self.matched {
            // What we held was of another history, so our disk holds nothing of this one yet.
            self.synced = 0;
        }
        self.log = Log::after(number, last_view);
        self.applied = number;
        self.committed = self.committed.min(number);
        for most in &mut self.on_so_many {
            *most = (*most).min(number);
        }
        self.matched = true;
        // The sender was in sync, so its state has all that is needed.
        self.needed = self.needed.max(number);
        self.out.push(Effect::SnapshotInstalled);
        let epoch = self.epoch;
        self.write(
            LogRecord::Snapshot {
                view: last_view,
                number,
                body,
            },
            Pending::Entries { epoch, number },
        );
        true
    }

    pub(crate) fn write_entry(&mut self, view: u64, number: u64, command: Bytes) {
        let epoch = self.epoch;
        self.write(
            LogRecord::Entry {
                view,
                number,
                command,
            },
            Pending::Entries { epoch, number },
        );
    }

    fn write(&mut self, write: LogRecord, pending: Pending) {
        self.ticket += 1;
        self.pending.push_back((self.ticket, pending));
        self.out.push(Effect::Write {
            ticket: self.ticket,
            record: write,
        });
    }

    pub(crate) fn send(&mut self, to: &Member, body: MessageBody) {
        let msg = Message {
            view: self.view_number(),
            from: self.me.id,
            to: to.id,
            body,
        };
        self.out.push(Effect::Send {
            to: to.addr,
            message: msg,
        });
    }

    /// Time passes: what was not answered is said again.
    pub fn tick(&mut self, now: Millis) {
        self.tick_up(now);
        self.tick_downs(now);
    }

    /// What the owner is to do.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.out)
    }
}

/// Who passes entries on to one in this place.
fn neighbour_before(view: &View, place: Place) -> Option<Member> {
    match place {
        Place::Member(0) | Place::Outside => None,
        Place::Member(place) => view.members.get(place - 1).cloned(),
        Place::Joining => view.members.last().cloned(),
    }
}

/// To whom one in this place passes entries on: the next member, or from the tail those who join.
fn neighbours_after(view: &View, place: Place) -> Vec<Down> {
    let last = view.members.len().saturating_sub(1);
    match place {
        Place::Member(place) if place == last => view.joining.iter().map(Down::joining).collect(),
        Place::Member(place) => view
            .members
            .get(place + 1)
            .map(Down::member)
            .into_iter()
            .collect(),
        Place::Joining | Place::Outside => Vec::new(),
    }
}
