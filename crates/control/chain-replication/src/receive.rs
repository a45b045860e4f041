//! What comes from the one before us: entries, or a snapshot in parts.

use bytes::Bytes;

use crate::copy::IncomingCopy;
use crate::node::{Place, Replica, MAX_UNCOMMITTED_BYTES};
use crate::pass::{ASK_MS, WINDOW_BYTES};
use crate::types::{Millis, StateMachine, MAX_SNAPSHOT_BYTES};
use crate::wire::{chunk_checksum, Entry, MessageBody, SnapshotId};

/// A gap is asked about so often at most: the frames behind a lost one all show the same gap.
const GAP_MS: Millis = 50;
/// A snapshot of which no part came for so long: what we hold is said again until it goes on.
const STALLED_COPY_MS: Millis = 1_500;
/// A joiner so near to the newest is caught up: a view change hands it the rest within a few frames.
const CAUGHT_UP_WITHIN: u64 = 256;
/// And by so many bytes, judged by the size of the entries that it holds: as a member it is waited for, so it must not
/// lack more than a chain may have uncommitted anyway.
const CAUGHT_UP_WITHIN_BYTES: u64 = MAX_UNCOMMITTED_BYTES;

impl<M: StateMachine> Replica<M> {
    /// Says to the one before us where our log ends, and what of a snapshot has come.
    pub(crate) fn tell_what_we_have(&mut self, now: Millis) {
        let Some(up) = self.up.clone() else { return };
        self.told_at = Some(now);
        let (number, last_view) = (self.log.last(), self.log.last_view());
        let begun = self.incoming.as_ref().filter(|copy| copy.offset() > 0);
        let word = match begun {
            Some(copy) => MessageBody::ResumeSnapshot {
                number,
                last_view,
                id: copy.id,
                offset: copy.offset(),
            },
            None => MessageBody::LogPosition { number, last_view },
        };
        self.send(&up, word);
    }

    fn tell_of_gap(&mut self, now: Millis) {
        if self
            .told_at
            .is_none_or(|at| now.saturating_sub(at) >= GAP_MS)
        {
            self.tell_what_we_have(now);
        }
    }

    pub(crate) fn take_entries(
        &mut self,
        now: Millis,
        (before, before_view): (u64, u64),
        needed: u64,
        newest: u64,
        committed: u64,
        items: Vec<Entry>,
    ) {
        let last = self.log.last();
        let end = before.saturating_add(items.len() as u64);
        // What we hold too must be the same, and until we are matched, the frame must reach to our end: what lies
        // beyond it may be of another history.
        let follows = before <= last
            && (self.matched || end >= last && before >= self.log.base())
            && self
                .log
                .view_at(before)
                .is_none_or(|view| view == before_view)
            && items.iter().zip(before + 1..=last).all(|(item, number)| {
                self.log
                    .view_at(number)
                    .is_none_or(|view| view == item.view)
            });
        if !follows {
            self.tell_of_gap(now);
            return;
        }
        self.matched = true;
        self.incoming = None;
        self.needed = self.needed.max(needed);
        self.newest = self.newest.max(newest);
        let known = usize::try_from(last - before).unwrap_or(usize::MAX);
        let mut fresh = 0u32;
        for item in items.into_iter().skip(known) {
            let number = self.log.last() + 1;
            self.log.push(item.view, item.command.clone());
            self.write_entry(item.view, number, item.command);
            fresh += 1;
        }
        self.heard_committed(committed.min(self.synced));
        self.settle();
        if fresh == 0 {
            // Asked again, or only probed: the last word may have been lost.
            self.ack_up();
        }
    }

    /// Says to the one before us what our disk holds.
    pub(crate) fn ack_up(&mut self) {
        let Some(up) = self.up.clone() else { return };
        if !self.matched {
            return;
        }
        self.acked = self.synced;
        let in_sync = self.is_ready();
        self.told_in_sync |= in_sync;
        self.send(
            &up,
            MessageBody::Acknowledge {
                synced: self.synced,
                committed: self.on_all,
                in_sync,
            },
        );
    }

    /// After a sync: the tail's and a joiner's word goes at once; one in the middle passes on the tail's, and speaks
    /// for itself only when the one before it would run out of room.
    pub(crate) fn ack_after_sync(&mut self, on_all_before: u64) {
        let held = self
            .log
            .end_at(self.synced)
            .saturating_sub(self.log.end_at(self.acked));
        let last = self.is_tail() || self.place == Place::Joining;
        let due = self.synced > self.acked && (last || held >= WINDOW_BYTES / 4);
        if due || self.on_all > on_all_before || self.is_ready() && !self.told_in_sync {
            self.ack_up();
        }
    }

    /// Takes a part of a snapshot. One that is spoilt is as good as lost.
    pub(crate) fn take_part(
        &mut self,
        now: Millis,
        id: SnapshotId,
        offset: u32,
        checksum: u32,
        bytes: &Bytes,
    ) {
        if checksum != chunk_checksum(&id, offset, bytes) {
            return;
        }
        if self.matched && id.number <= self.log.last() {
            // It was taken already, or is not wanted any more.
            self.tell_of_gap(now);
            return;
        }
        let view = self.view_number();
        if self.incoming.as_ref().is_none_or(|copy| copy.id != id) {
            // Within a view a sender only goes on to newer snapshots.
            let is_old = self
                .incoming
                .as_ref()
                .is_some_and(|copy| copy.view == view && copy.id.number > id.number);
            if is_old || id.total_bytes > MAX_SNAPSHOT_BYTES {
                return;
            }
            if offset > 0 {
                // The beginning was lost, or we were restarted: the sender does not know, and would go on from here for
                // ever.
                self.tell_of_gap(now);
                return;
            }
            self.incoming = Some(IncomingCopy::new(id, view, now));
        }
        let Some(copy) = self.incoming.as_mut() else {
            return;
        };
        copy.view = view;
        if !copy.take(now, offset, bytes) {
            self.tell_of_gap(now);
            return;
        }
        if !copy.is_whole() {
            let word = MessageBody::ChunkAcknowledgement {
                id,
                offset: copy.offset(),
                received_beyond: copy.held(),
            };
            let Some(up) = self.up.clone() else { return };
            self.send(&up, word);
            return;
        }
        let body = self.incoming.take().and_then(IncomingCopy::into_body);
        if body.is_some_and(|body| self.restore(id.number, id.last_view, body)) {
            self.tell_what_we_have(now);
        } else {
            // Whatever spoilt it, it is asked for again at the pace of questions, not at that of the link.
            self.told_at = Some(now);
        }
    }

    /// Says again what we have while the one before us has not gone on from there.
    pub(crate) fn tick_up(&mut self, now: Millis) {
        let due = self
            .told_at
            .is_none_or(|at| now.saturating_sub(at) >= ASK_MS);
        let waits = match &self.incoming {
            Some(copy) => now.saturating_sub(copy.at) >= STALLED_COPY_MS,
            None => !self.matched,
        };
        if self.told_at.is_none() || waits && due {
            self.tell_what_we_have(now);
        }
    }

    /// A joiner that holds all but the newest.
    pub(crate) fn caught_up(&self) -> bool {
        let lacks = self.newest.saturating_sub(self.synced);
        let lacks_bytes = || {
            self.log
                .mean_entry_bytes()
                .map(|bytes| bytes.saturating_mul(lacks))
        };
        let near = lacks <= 1
            || lacks <= CAUGHT_UP_WITHIN
                && lacks_bytes().is_some_and(|bytes| bytes <= CAUGHT_UP_WITHIN_BYTES);
        self.place == Place::Joining && self.matched && self.synced >= self.needed && near
    }
}
