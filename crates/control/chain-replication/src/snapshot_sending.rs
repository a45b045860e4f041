//! A snapshot that goes to a successor whose log ours doesn't go on from.

use bytes::Bytes;

use crate::limits::{MAX_SNAPSHOT_BYTES, REQUEST_INTERVAL_MS};
use crate::log::LogPosition;
use crate::message::{ChunkAcknowledgement, MessageBody, SnapshotChunk};
use crate::replica::Replica;
use crate::snapshot_id::SnapshotId;
use crate::snapshot_sender::{Progress, SnapshotSender};
use crate::state_machine::StateMachine;
use crate::time::Millis;

impl<M: StateMachine> Replica<M> {
    /// Keeps the snapshot for a successor while our log goes on from it, or makes a new one.
    pub(crate) fn keep_usable_snapshot(&mut self, at: usize) {
        let Some(successor) = self.successors.get_mut(at) else {
            return;
        };
        let log = &self.log;
        let is_usable = |snapshot: &SnapshotSender| log.contains(snapshot.position());
        let snapshot = successor
            .snapshot
            .take()
            .or(successor.earlier_snapshot.take());
        successor.snapshot = snapshot.filter(is_usable);
        if successor.snapshot.is_some() {
            return;
        }
        let Some(view) = self.log.view_at(self.applied) else {
            return;
        };
        let state = Bytes::from(self.state_machine.snapshot());
        if state.len() > MAX_SNAPSHOT_BYTES as usize {
            return;
        }
        let position = LogPosition {
            number: self.applied,
            view,
        };
        successor.snapshot = Some(SnapshotSender::new(position, state));
    }

    /// Goes on from what the receiver has. That it has no more than before is no reason to resend
    /// everything: that has its own time, and a report may be older than the chunks in flight. Only
    /// the first chunk that it lacks is sent.
    pub(crate) fn resume_snapshot(
        &mut self,
        now: Millis,
        at: usize,
        has: Option<(SnapshotId, u32)>,
    ) {
        let Some(successor) = self.successors.get_mut(at) else {
            return;
        };
        let idle = successor.idle(now);
        let Some(snapshot) = successor.snapshot.as_mut() else {
            return;
        };
        let offset = has
            .filter(|(id, _)| *id == snapshot.id())
            .map_or(0, |(_, offset)| offset);
        match snapshot.receiver_has(offset) {
            Progress::Advanced => {
                successor.resends = 0;
                self.send_chunks(now, at, SnapshotSender::next_chunks);
            }
            Progress::Unchanged if idle < REQUEST_INTERVAL_MS => {}
            Progress::Unchanged | Progress::Regressed | Progress::Gap => {
                self.send_chunks(now, at, |snapshot| vec![snapshot.first_missing_chunk()]);
            }
        }
    }

    /// Sends chunks of the snapshot for a successor.
    pub(crate) fn send_chunks(
        &mut self,
        now: Millis,
        at: usize,
        select: impl FnOnce(&mut SnapshotSender) -> Vec<SnapshotChunk>,
    ) {
        let synced = self.synced;
        let Some(successor) = self.successors.get_mut(at) else {
            return;
        };
        let Some(snapshot) = successor.snapshot.as_mut() else {
            return;
        };
        if snapshot.position().number > synced {
            // The head's state is ahead of its disk: what our disk doesn't hold is not forwarded.
            return;
        }
        let chunks = select(snapshot);
        successor.in_contact(now);
        let peer = successor.peer.clone();
        for chunk in chunks {
            self.send(&peer, MessageBody::SnapshotChunk(chunk));
        }
    }

    /// A receiver acknowledges chunks.
    pub(crate) fn handle_chunk_acknowledgement(
        &mut self,
        now: Millis,
        at: usize,
        chunks: ChunkAcknowledgement,
    ) {
        let Some(successor) = self.successors.get_mut(at) else {
            return;
        };
        let is_meant = |snapshot: &&mut SnapshotSender| snapshot.id() == chunks.id;
        let Some(snapshot) = successor.snapshot.as_mut().filter(is_meant) else {
            return;
        };
        match snapshot.receiver_acknowledged(chunks) {
            Progress::Advanced => {
                successor.resends = 0;
                self.send_chunks(now, at, SnapshotSender::next_chunks);
            }
            Progress::Gap => {
                self.send_chunks(now, at, |snapshot| vec![snapshot.first_missing_chunk()]);
            }
            Progress::Unchanged | Progress::Regressed => {}
        }
    }
}
