//! A snapshot that goes to the one after us, or at the tail to one who joins, in parts.

use bytes::Bytes;

use crate::copy::{OutgoingCopy, Progress};
use crate::node::Replica;
use crate::pass::{Down, ASK_MS};
use crate::types::{Millis, StateMachine, MAX_SNAPSHOT_BYTES};
use crate::wire::{MessageBody, SnapshotId};

impl Down {
    /// Takes over the copy that was on its way to the same process in the view before.
    pub fn take_over_copy(&mut self, before: &mut [Down]) {
        let same = before
            .iter_mut()
            .find(|down| down.peer.is_same_process(&self.peer));
        let copy = same.and_then(|down| down.copy.take().or(down.earlier_copy.take()));
        self.earlier_copy = copy.map(OutgoingCopy::for_new_view);
    }
}

impl<M: StateMachine> Replica<M> {
    /// A snapshot is of use only while our log goes on from it: one that was overtaken is made anew.
    pub(crate) fn keep_usable_copy(&mut self, at: usize) {
        let Some(down) = self.downs.get_mut(at) else {
            return;
        };
        let log = &self.log;
        let usable = |copy: &OutgoingCopy| log.view_at(copy.id.number) == Some(copy.id.last_view);
        down.copy = down.copy.take().or(down.earlier_copy.take()).filter(usable);
        if down.copy.is_some() {
            return;
        }
        let Some(last_view) = self.log.view_at(self.applied) else {
            return;
        };
        let body = Bytes::from(self.machine.snapshot());
        if body.len() > MAX_SNAPSHOT_BYTES as usize {
            return;
        }
        let copy = OutgoingCopy::new(self.applied, last_view, body);
        if let Some(down) = self.downs.get_mut(at) {
            down.copy = Some(copy);
        }
    }

    /// Goes on from what the taker holds. What it held already is no reason to send anything again: that has its own
    /// time, and a word may be older than the parts that are on their way. Only the first one that it lacks is.
    pub(crate) fn copy_goes_on(
        &mut self,
        now: Millis,
        at: usize,
        holds: Option<(SnapshotId, u32)>,
    ) {
        let Some(down) = self.downs.get_mut(at) else {
            return;
        };
        let idle = down.idle(now);
        let Some(copy) = down.copy.as_mut() else {
            return;
        };
        let offset = holds
            .filter(|(id, _)| *id == copy.id)
            .map_or(0, |(_, offset)| offset);
        match copy.taker_holds(offset) {
            Progress::More => {
                down.resends = 0;
                self.send_parts(now, at, OutgoingCopy::next_parts);
            }
            Progress::Same if idle < ASK_MS => {}
            Progress::Same | Progress::Less | Progress::Gap => {
                self.send_parts(now, at, |copy| vec![copy.first_part_again()]);
            }
        }
    }

    /// Sends parts of a snapshot.
    pub(crate) fn send_parts(
        &mut self,
        now: Millis,
        at: usize,
        which: impl FnOnce(&mut OutgoingCopy) -> Vec<MessageBody>,
    ) {
        let synced = self.synced;
        let Some(down) = self.downs.get_mut(at) else {
            return;
        };
        let Some(copy) = down.copy.as_mut() else {
            return;
        };
        if copy.id.number > synced {
            // The head's table is ahead of its disk: what is not on our disk is not passed on.
            return;
        }
        let parts = which(copy);
        down.at = Some(now);
        let peer = down.peer.clone();
        for part in parts {
            self.send(&peer, part);
        }
    }

    pub(crate) fn down_took_part(
        &mut self,
        now: Millis,
        at: usize,
        id: SnapshotId,
        offset: u32,
        held: u8,
    ) {
        let Some(down) = self.downs.get_mut(at) else {
            return;
        };
        let Some(copy) = down.copy.as_mut().filter(|copy| copy.id == id) else {
            return;
        };
        match copy.taker_acked(offset, held) {
            Progress::More => {
                down.resends = 0;
                self.send_parts(now, at, OutgoingCopy::next_parts);
            }
            Progress::Gap => self.send_parts(now, at, |copy| vec![copy.first_part_again()]),
            Progress::Same | Progress::Less => {}
        }
    }
}
