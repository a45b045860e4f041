//! What goes to the one after us, or at the tail to those who join: entries, and when a snapshot instead.

use crate::copy::OutgoingCopy;
use crate::log::LOG_BYTES;
use crate::node::Replica;
use crate::types::{Member, Millis, StateMachine};
use crate::wire::{Entry, MessageBody, SnapshotId};

/// A frame's commands, in bytes; a single larger one goes alone.
pub const BATCH_BYTES: usize = 64 * 1024;
/// Bytes on their way to a neighbour that it has not acknowledged: some round trips of a machine's link.
pub const WINDOW_BYTES: u64 = 512 * 1024;
/// Who does not answer is asked again so often.
pub(crate) const ASK_MS: Millis = 200;
/// What was not acknowledged for so long is sent again: many syncs and round trips, far below a view's change.
const RESEND_MS: Millis = 300;
/// Bytes a millisecond that a link, and a member's share of a processor, carry at least: entries of megabytes are not
/// sent again while the first copy of them is still on its way.
const LEAST_LINK_RATE: u64 = 8_000;

/// Each time in vain doubles the wait before the next, up to so many times: on a link that is full, more of the same only
/// makes it fuller.
const MOST_DOUBLINGS: u32 = 3;

/// Who gets entries from us.
#[derive(Debug)]
pub(crate) struct Down {
    pub peer: Member,
    pub joining: bool,
    /// The next entry to send; none until it has said what it has.
    pub(crate) next: Option<u64>,
    /// It has all up to this by its last word, and its disk has all up to that.
    heard: u64,
    acked: u64,
    /// It and all after it are in sync in this view.
    pub in_sync: bool,
    /// The snapshot on its way to it.
    pub copy: Option<OutgoingCopy>,
    /// One that was on its way in an earlier view: it goes on if the taker holds a beginning of it.
    pub earlier_copy: Option<OutgoingCopy>,
    /// When something last went to it or came from it.
    pub(crate) at: Option<Millis>,
    /// How often the same was sent again since it last took something new.
    pub(crate) resends: u32,
}

impl Down {
    pub fn member(peer: &Member) -> Down {
        Down {
            peer: peer.clone(),
            joining: false,
            next: None,
            heard: 0,
            acked: 0,
            in_sync: false,
            copy: None,
            earlier_copy: None,
            at: None,
            resends: 0,
        }
    }

    pub fn joining(peer: &Member) -> Down {
        Down {
            joining: true,
            ..Down::member(peer)
        }
    }

    /// How long it may be silent before the same is sent again, with so many bytes on their way to it.
    fn resend_after(&self, on_the_way: u64) -> Millis {
        (RESEND_MS + on_the_way / LEAST_LINK_RATE) << self.resends.min(MOST_DOUBLINGS)
    }

    /// How long nothing has gone to it nor come from it.
    pub(crate) fn idle(&self, now: Millis) -> Millis {
        self.at.map_or(Millis::MAX, |at| now.saturating_sub(at))
    }

    /// It has all up to this number.
    fn has_up_to(&mut self, number: u64) {
        if number != self.heard {
            self.resends = 0;
        }
        self.heard = number;
    }
}

impl<M: StateMachine> Replica<M> {
    /// Asks those after us who have not said what they have.
    pub(crate) fn ask_downs(&mut self, now: Millis) {
        if !self.is_active() {
            return;
        }
        for at in 0..self.downs.len() {
            let Some(down) = self.downs.get_mut(at) else {
                continue;
            };
            if down.next.is_none() && down.copy.is_none() {
                down.at = Some(now);
                let peer = down.peer.clone();
                self.send(&peer, MessageBody::RequestPosition);
            }
        }
    }

    /// One after us says where its log ends, and what it holds of a snapshot.
    pub(crate) fn down_has(
        &mut self,
        now: Millis,
        at: usize,
        (number, last_view): (u64, u64),
        holds: Option<(SnapshotId, u32)>,
    ) {
        if !self.is_active() {
            return;
        }
        let known = self.log.view_at(number) == Some(last_view);
        let Some(down) = self.downs.get_mut(at) else {
            return;
        };
        if number < down.acked {
            // An old word: its disk has more, and keeps it.
            return;
        }
        if known {
            down.at = Some(now);
            down.copy = None;
            down.earlier_copy = None;
            down.next = Some(number + 1);
            down.has_up_to(number);
            self.send_batch(now, at, true);
            self.pump(now, at);
            return;
        }
        // Its log ends before ours begins, or is of another history.
        down.next = None;
        self.keep_usable_copy(at);
        self.copy_goes_on(now, at, holds);
    }

    pub(crate) fn down_acked(
        &mut self,
        now: Millis,
        at: usize,
        synced: u64,
        committed: u64,
        in_sync: bool,
    ) {
        if !self.is_active() {
            return;
        }
        let own = self.synced;
        let Some(down) = self.downs.get_mut(at) else {
            return;
        };
        down.acked = down.acked.max(synced.min(own));
        down.has_up_to(down.heard.max(down.acked));
        down.next = down.next.map(|next| next.max(down.heard + 1));
        down.at = Some(now);
        let member = !down.joining;
        let now_in_sync = in_sync && !down.in_sync;
        down.in_sync |= in_sync;
        let newly = member && self.held_by_all(committed.min(own));
        if newly || member && now_in_sync {
            self.ack_up();
        }
        self.pump(now, at);
    }

    pub(crate) fn pump_all(&mut self, now: Millis) {
        self.ask_downs(now);
        for at in 0..self.downs.len() {
            if self
                .downs
                .get(at)
                .is_some_and(|d| d.copy.as_ref().is_some_and(|c| !c.has_begun()))
            {
                self.send_parts(now, at, OutgoingCopy::next_parts);
            }
            self.pump(now, at);
        }
    }

    /// Sends what our disk holds, as far as the window goes.
    fn pump(&mut self, now: Millis, at: usize) {
        if !self.is_active() {
            return;
        }
        while self.send_batch(now, at, false) {}
    }

    /// Sends one frame; false if there is nothing to send or no room. `always`: also an empty one.
    fn send_batch(&mut self, now: Millis, at: usize, always: bool) -> bool {
        let Some(down) = self.downs.get_mut(at) else {
            return false;
        };
        let Some(next) = down.next else { return false };
        let before = next - 1;
        let on_the_way = self
            .log
            .end_at(before)
            .saturating_sub(self.log.end_at(down.heard));
        if !always && (next > self.synced || on_the_way >= WINDOW_BYTES) {
            return false;
        }
        let Some(before_view) = self.log.view_at(before) else {
            // It lags behind what we keep: it must say anew what it has, and gets a snapshot.
            down.next = None;
            return false;
        };
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut number = next;
        while number <= self.synced && bytes < BATCH_BYTES {
            let Some(entry) = self.log.get(number) else {
                break;
            };
            if bytes > 0 && bytes + entry.command.len() > BATCH_BYTES {
                break;
            }
            bytes += entry.command.len() + 16;
            items.push(Entry {
                view: entry.view,
                command: entry.command.clone(),
            });
            number += 1;
        }
        down.next = Some(number);
        down.at = Some(now);
        let more = !items.is_empty();
        let peer = down.peer.clone();
        let body = MessageBody::AppendEntries {
            previous: before,
            previous_view: before_view,
            catch_up_target: self.needed,
            newest_synced: self.synced,
            committed: self.committed,
            entries: items,
        };
        self.send(&peer, body);
        more
    }

    /// Whether one after us takes a snapshot, or lacks so much that it would need one if the log were cut short now.
    pub(crate) fn feeds_one_that_lags(&self) -> bool {
        let held = self.log.end_at(self.synced);
        // Whoever lacks more needs the longer log: the rest of the usual one is for what comes meanwhile.
        let usual = LOG_BYTES.min(self.log_limit);
        let lags = |d: &Down| held.saturating_sub(self.log.end_at(d.acked)) > usual / 2;
        let takes_copy = |d: &Down| d.copy.is_some() || d.earlier_copy.is_some();
        self.downs
            .iter()
            .any(|d| takes_copy(d) || d.next.is_some() && lags(d))
    }

    /// Says again what was not answered.
    pub(crate) fn tick_downs(&mut self, now: Millis) {
        if !self.is_active() {
            return;
        }
        for at in 0..self.downs.len() {
            let (synced, on_all) = (self.synced, self.on_all);
            let Some(down) = self.downs.get_mut(at) else {
                continue;
            };
            let idle = down.idle(now);
            if let Some(copy) = &down.copy {
                if idle >= down.resend_after(copy.in_flight()) {
                    down.resends += 1;
                    self.send_parts(now, at, OutgoingCopy::parts_again);
                }
            } else if down.next.is_none() {
                if idle >= ASK_MS {
                    down.at = Some(now);
                    let peer = down.peer.clone();
                    self.send(&peer, MessageBody::RequestPosition);
                }
            } else {
                let waits =
                    down.acked < synced || !down.joining && (!down.in_sync || on_all < synced);
                let sent = down.next.map_or(0, |next| next - 1);
                let on_the_way = self
                    .log
                    .end_at(sent)
                    .saturating_sub(self.log.end_at(down.heard));
                if waits && idle >= down.resend_after(on_the_way) {
                    down.resends += 1;
                    down.next = Some(down.heard + 1);
                    self.send_batch(now, at, true);
                }
            }
        }
    }
}
