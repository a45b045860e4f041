//! What goes to the successors: entries from our disk, and when a snapshot instead.
//!
//! Forwards only what our own disk holds, and only while the replica is active. Flow control is by
//! a window of bytes that the successor has not acknowledged; what was lost is sent again by time.

use crate::limits::{BATCH_BYTES, LOG_BYTES, REQUEST_INTERVAL_MS, WINDOW_BYTES};
use crate::log::{LogPosition, SuccessorState};
use crate::message::{Acknowledgement, AppendEntries, Entry, MessageBody};
use crate::replica::Replica;
use crate::snapshot_id::SnapshotId;
use crate::snapshot_sender::SnapshotSender;
use crate::state_machine::StateMachine;
use crate::successor::Successor;
use crate::time::Millis;

/// Bytes that an entry takes in a frame beside its command, roughly.
const ENTRY_FRAME_BYTES: usize = 16;

/// Whether a frame without entries is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EmptyFrame {
    /// It is: the successor answers it with what it has.
    Send,
    /// It isn't: only entries are sent, as far as the window allows.
    Skip,
}

impl<M: StateMachine> Replica<M> {
    /// Asks the successors that have not reported their position.
    pub(crate) fn request_positions(&mut self, now: Millis) {
        if !self.is_active() {
            return;
        }
        for at in 0..self.successors.len() {
            let waits = |s: &Successor| s.next.is_none() && s.snapshot.is_none();
            if self.successors.get(at).is_some_and(waits) {
                self.request_position(now, at);
            }
        }
    }

    fn request_position(&mut self, now: Millis, at: usize) {
        if let Some(successor) = self.successors.get_mut(at) {
            successor.in_contact(now);
            let peer = successor.peer.clone();
            self.send(&peer, MessageBody::RequestPosition);
        }
    }

    /// A successor reports where its log ends, and what it has of a snapshot.
    pub(crate) fn handle_position(
        &mut self,
        now: Millis,
        at: usize,
        position: LogPosition,
        snapshot: Option<(SnapshotId, u32)>,
    ) {
        if !self.is_active() {
            return;
        }
        let is_in_log = self.log.contains(position);
        let Some(successor) = self.successors.get_mut(at) else {
            return;
        };
        if position.number < successor.acknowledged {
            // An old message: its disk has more, and keeps it.
            return;
        }
        if is_in_log {
            successor.in_contact(now);
            successor.snapshot = None;
            successor.earlier_snapshot = None;
            successor.next = Some(position.number + 1);
            successor.has_received(position.number);
            self.send_batch(now, at, EmptyFrame::Send);
            self.forward(now, at);
            return;
        }
        // Its log ends before ours begins, or is of another history.
        successor.next = None;
        self.keep_usable_snapshot(at);
        self.resume_snapshot(now, at, snapshot);
    }

    /// A successor reports what its disk holds and what is committed.
    pub(crate) fn handle_acknowledgement(
        &mut self,
        now: Millis,
        at: usize,
        acknowledgement: Acknowledgement,
    ) {
        if !self.is_active() {
            return;
        }
        let Acknowledgement {
            synced,
            committed,
            in_sync,
        } = acknowledgement;
        let own = self.synced;
        let Some(successor) = self.successors.get_mut(at) else {
            return;
        };
        successor.acknowledged = successor.acknowledged.max(synced.min(own));
        successor.has_received(successor.received.max(successor.acknowledged));
        successor.next = successor.next.map(|next| next.max(successor.received + 1));
        successor.in_contact(now);
        let is_member = !successor.joining;
        let newly_in_sync = in_sync && !successor.in_sync;
        successor.in_sync |= in_sync;
        let newly_committed = is_member && self.learn_replicated_to_all(committed.min(own));
        if newly_committed || is_member && newly_in_sync {
            self.acknowledge();
        }
        self.forward(now, at);
    }

    /// Goes on with all successors after a sync.
    pub(crate) fn forward_to_all(&mut self, now: Millis) {
        self.request_positions(now);
        for at in 0..self.successors.len() {
            let snapshot = self
                .successors
                .get(at)
                .and_then(|successor| successor.snapshot.as_ref());
            if snapshot.is_some_and(|snapshot| !snapshot.has_started()) {
                self.send_chunks(now, at, SnapshotSender::next_chunks);
            }
            self.forward(now, at);
        }
    }

    /// Sends what our disk holds, as far as the window allows.
    fn forward(&mut self, now: Millis, at: usize) {
        if !self.is_active() {
            return;
        }
        while self.send_batch(now, at, EmptyFrame::Skip) {}
    }

    /// Sends one frame; whether it held entries.
    fn send_batch(&mut self, now: Millis, at: usize, empty: EmptyFrame) -> bool {
        let Some(successor) = self.successors.get_mut(at) else {
            return false;
        };
        let Some(next) = successor.next else {
            return false;
        };
        let previous = next - 1;
        let bytes_in_flight = self.log.bytes_between(successor.received, previous);
        if empty == EmptyFrame::Skip && (next > self.synced || bytes_in_flight >= WINDOW_BYTES) {
            return false;
        }
        let Some(previous_view) = self.log.view_at(previous) else {
            // It lags behind what we keep: it must report its position again, and gets a snapshot.
            successor.next = None;
            return false;
        };
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut number = next;
        while number <= self.synced && bytes < BATCH_BYTES {
            let Some(entry) = self.log.get(number) else {
                break;
            };
            if bytes > 0 && bytes + entry.command.len() > BATCH_BYTES {
                break;
            }
            bytes += entry.command.len() + ENTRY_FRAME_BYTES;
            entries.push(Entry {
                view: entry.view,
                command: entry.command.clone(),
            });
            number += 1;
        }
        successor.next = Some(number);
        successor.in_contact(now);
        let has_entries = !entries.is_empty();
        let peer = successor.peer.clone();
        let frame = AppendEntries {
            previous,
            previous_view,
            catch_up_target: self.catch_up_target,
            newest_synced: self.synced,
            committed: self.committed,
            entries,
        };
        self.send(&peer, MessageBody::AppendEntries(frame));
        has_entries
    }

    /// Whether a successor takes a snapshot, or lacks so much that it would need one if the log
    /// were cut short now.
    pub(crate) fn successor_state(&self) -> SuccessorState {
        // A successor that lacks more needs the longer log: the rest of the usual one is for what
        // comes meanwhile.
        let usual_bytes = LOG_BYTES.min(self.log_limit());
        let lacks_much = |successor: &Successor| {
            self.log.bytes_between(successor.acknowledged, self.synced) > usual_bytes / 2
        };
        let takes_snapshot = |successor: &Successor| {
            successor.snapshot.is_some() || successor.earlier_snapshot.is_some()
        };
        let lags = |s: &Successor| takes_snapshot(s) || s.next.is_some() && lacks_much(s);
        if self.successors.iter().any(lags) {
            SuccessorState::Lagging
        } else {
            SuccessorState::InStep
        }
    }

    /// Resends what the successors have not answered.
    pub(crate) fn tick_successors(&mut self, now: Millis) {
        if !self.is_active() {
            return;
        }
        for at in 0..self.successors.len() {
            self.resend(now, at);
        }
    }

    fn resend(&mut self, now: Millis, at: usize) {
        let (synced, replicated_to_all) = (self.synced, self.replicated_to_all);
        let Some(successor) = self.successors.get_mut(at) else {
            return;
        };
        let idle = successor.idle(now);
        if let Some(snapshot) = &successor.snapshot {
            if idle >= successor.resend_after(snapshot.bytes_in_flight()) {
                successor.resends += 1;
                self.send_chunks(now, at, SnapshotSender::resend_chunks);
            }
            return;
        }
        let Some(next) = successor.next else {
            if idle >= REQUEST_INTERVAL_MS {
                self.request_position(now, at);
            }
            return;
        };
        let member_lags = !successor.joining && (!successor.in_sync || replicated_to_all < synced);
        let is_waiting = successor.acknowledged < synced || member_lags;
        let bytes_in_flight = self.log.bytes_between(successor.received, next - 1);
        if is_waiting && idle >= successor.resend_after(bytes_in_flight) {
            successor.resends += 1;
            successor.next = Some(successor.received + 1);
            self.send_batch(now, at, EmptyFrame::Send);
        }
    }
}
