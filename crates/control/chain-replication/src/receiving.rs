//! What comes from the predecessor: entries, or a snapshot in chunks; and what is acknowledged to
//! it.
//!
//! Takes entries only where they go on from the log, and acknowledges only what its disk holds.

use crate::limits::{MAX_SNAPSHOT_BYTES, MAX_UNCOMMITTED_BYTES, REQUEST_INTERVAL_MS, WINDOW_BYTES};
use crate::log::LogPosition;
use crate::message::{Acknowledgement, AppendEntries, MessageBody, SnapshotChunk};
use crate::record::LogRecord;
use crate::replica::{Replica, Role};
use crate::snapshot_id::SnapshotId;
use crate::snapshot_receiver::SnapshotReceiver;
use crate::state_machine::StateMachine;
use crate::sync_queue::OnSync;
use crate::time::Millis;
use bytes::Bytes;

/// Between reports of a gap: the frames behind a lost one all show the same gap.
const GAP_REPORT_INTERVAL_MS: Millis = 50;
/// If no chunk of a snapshot came for this long, what we have is reported again until it goes on.
const STALLED_SNAPSHOT_MS: Millis = 1_500;
/// A joiner that lacks no more entries is caught up: a view change hands it the rest within a few
/// frames.
const CAUGHT_UP_WITHIN_ENTRIES: u64 = 256;
/// And no more bytes, judged by the size of the entries that it has: as a member it is waited for,
/// so it must not lack more than a chain may have uncommitted anyway.
const CAUGHT_UP_WITHIN_BYTES: u64 = MAX_UNCOMMITTED_BYTES;

impl<M: StateMachine> Replica<M> {
    /// Reports to the predecessor where our log ends, and what of a snapshot has come.
    pub(crate) fn send_position(&mut self, now: Millis) {
        let Some(predecessor) = self.predecessor.member.clone() else {
            return;
        };
        self.predecessor.last_position_sent_at = Some(now);
        let LogPosition {
            number,
            view: last_view,
        } = self.log.last_position();
        let body = match &self.incoming_snapshot {
            Some(snapshot) if snapshot.offset() > 0 => {
                let (id, offset) = (snapshot.id(), snapshot.offset());
                MessageBody::ResumeSnapshot {
                    number,
                    last_view,
                    id,
                    offset,
                }
            }
            _ => MessageBody::LogPosition { number, last_view },
        };
        self.send(&predecessor, body);
    }

    fn report_gap(&mut self, now: Millis) {
        if self
            .predecessor
            .position_is_older_than(now, GAP_REPORT_INTERVAL_MS)
        {
            self.send_position(now);
        }
    }

    /// Takes a frame of entries, or reports the gap before it.
    pub(crate) fn handle_entries(&mut self, now: Millis, frame: AppendEntries) {
        if !self.follows(&frame) {
            self.report_gap(now);
            return;
        }
        let AppendEntries {
            previous,
            catch_up_target,
            newest_synced,
            committed,
            entries,
            ..
        } = frame;
        self.log_matches_predecessor = true;
        self.incoming_snapshot = None;
        self.catch_up_target = self.catch_up_target.max(catch_up_target);
        self.predecessor.newest_synced = self.predecessor.newest_synced.max(newest_synced);
        let known = usize::try_from(self.log.last() - previous).unwrap_or(usize::MAX);
        let mut has_new = false;
        for entry in entries.into_iter().skip(known) {
            let number = self.log.last() + 1;
            self.log.push(entry.view, entry.command.clone());
            self.write_entry(entry.view, number, entry.command);
            has_new = true;
        }
        self.learn_committed(committed.min(self.synced));
        self.commit_acknowledged();
        if !has_new {
            // Sent again, or only probed: the last acknowledgement may have been lost.
            self.acknowledge();
        }
    }

    /// Whether a frame goes on from our log.
    ///
    /// What we have too must be the same. Until our log is known to match, the frame must reach to
    /// its end: what lies beyond the frame may be of another history.
    fn follows(&self, frame: &AppendEntries) -> bool {
        let AppendEntries {
            previous,
            previous_view,
            ref entries,
            ..
        } = *frame;
        let last = self.log.last();
        let end = previous.saturating_add(entries.len() as u64);
        let reaches_end = end >= last && previous >= self.log.base();
        let overlap = entries.iter().zip(previous + 1..=last);
        previous <= last
            && (self.log_matches_predecessor || reaches_end)
            && self.log.may_contain(LogPosition {
                number: previous,
                view: previous_view,
            })
            && { overlap }.all(|(entry, number)| {
                self.log.may_contain(LogPosition {
                    number,
                    view: entry.view,
                })
            })
    }

    /// Acknowledges to the predecessor what our disk holds.
    pub(crate) fn acknowledge(&mut self) {
        let Some(predecessor) = self.predecessor.member.clone() else {
            return;
        };
        if !self.log_matches_predecessor {
            return;
        }
        self.predecessor.acknowledged = self.synced;
        let in_sync = self.is_ready();
        self.predecessor.in_sync_reported |= in_sync;
        let acknowledgement = Acknowledgement {
            synced: self.synced,
            committed: self.replicated_to_all,
            in_sync,
        };
        self.send(&predecessor, MessageBody::Acknowledge(acknowledgement));
    }

    /// After a sync: the tail and a joiner acknowledge at once. A member in the middle passes on
    /// the tail's acknowledgement, and sends one of its own only when its predecessor's window
    /// would fill up.
    pub(crate) fn acknowledge_after_sync(&mut self, replicated_before: u64) {
        let unacknowledged = self
            .log
            .bytes_between(self.predecessor.acknowledged, self.synced);
        let is_last = self.is_tail() || self.role == Role::Joining;
        let is_due = self.synced > self.predecessor.acknowledged
            && (is_last || unacknowledged >= WINDOW_BYTES / 4);
        let newly_committed = self.replicated_to_all > replicated_before;
        let newly_in_sync = self.is_ready() && !self.predecessor.in_sync_reported;
        if is_due || newly_committed || newly_in_sync {
            self.acknowledge();
        }
    }

    /// Takes a chunk of a snapshot. A corrupt one is as good as lost.
    pub(crate) fn handle_chunk(&mut self, now: Millis, chunk: &SnapshotChunk) {
        if !chunk.is_intact() {
            return;
        }
        if self.log_matches_predecessor && chunk.id.number <= self.log.last() {
            // It was installed already, or is not needed any more.
            self.report_gap(now);
            return;
        }
        if !self.accepts_snapshot_of(now, chunk) {
            return;
        }
        let view = self.view_number();
        let Some(snapshot) = self.incoming_snapshot.as_mut() else {
            return;
        };
        snapshot.view = view;
        let before = snapshot.offset();
        if !snapshot.take_chunk(now, chunk.offset, &chunk.bytes) {
            return self.report_gap(now);
        }
        let acknowledgement = snapshot.acknowledgement();
        let (is_complete, bytes) = (snapshot.is_complete(), snapshot.received_since(before));
        if !bytes.is_empty() {
            self.write_chunk(chunk.id, before, bytes);
        }
        if is_complete {
            self.install_snapshot(now);
        } else {
            if let Some(predecessor) = self.predecessor.member.clone() {
                self.send(
                    &predecessor,
                    MessageBody::ChunkAcknowledgement(acknowledgement),
                );
            }
        }
    }

    /// Writes what has come of a snapshot, so that its transfer goes on there after a restart. No
    /// message depends on the sync: one that is lost is as good as a chunk that is.
    fn write_chunk(&mut self, id: SnapshotId, offset: u32, bytes: Bytes) {
        let record = LogRecord::SnapshotChunk { id, offset, bytes };
        self.write(record, OnSync::SnapshotChunk);
    }

    /// Whether a chunk is of the snapshot that is being received; its first chunk begins a new one.
    fn accepts_snapshot_of(&mut self, now: Millis, chunk: &SnapshotChunk) -> bool {
        let view = self.view_number();
        let id = chunk.id;
        if let Some(current) = &self.incoming_snapshot {
            if current.id() == id {
                return true;
            }
            // Within a view a sender only goes on to newer snapshots.
            if current.view == view && current.id().number > id.number {
                return false;
            }
        }
        if id.total_bytes > MAX_SNAPSHOT_BYTES {
            return false;
        }
        if chunk.offset > 0 {
            // The beginning was lost, or we were restarted: the sender does not know, and would
            // go on from here for ever.
            self.report_gap(now);
            return false;
        }
        self.incoming_snapshot = Some(SnapshotReceiver::new(id, view, now));
        true
    }

    /// Replaces our state by the complete snapshot.
    fn install_snapshot(&mut self, now: Millis) {
        let Some(snapshot) = self.incoming_snapshot.take() else {
            return;
        };
        let id = snapshot.id();
        if snapshot
            .into_state()
            .is_some_and(|state| self.restore(id, &state))
        {
            self.send_position(now);
        } else {
            // Whatever corrupted it, it is requested again at the pace of reports, not at that of
            // the link.
            self.predecessor.last_position_sent_at = Some(now);
        }
    }

    /// Reports again what we have while the predecessor has not gone on from there.
    pub(crate) fn tick_predecessor(&mut self, now: Millis) {
        let is_due = self
            .predecessor
            .position_is_older_than(now, REQUEST_INTERVAL_MS);
        let is_waiting = match &self.incoming_snapshot {
            Some(snapshot) => snapshot.stalled_for(now) >= STALLED_SNAPSHOT_MS,
            None => !self.log_matches_predecessor,
        };
        if self.predecessor.last_position_sent_at.is_none() || is_waiting && is_due {
            self.send_position(now);
        }
    }

    /// Whether it is joining and has all but the newest entries.
    pub(crate) fn has_caught_up(&self) -> bool {
        let missing = self.predecessor.newest_synced.saturating_sub(self.synced);
        let missing_bytes = || {
            self.log
                .mean_entry_bytes()
                .map(|bytes| bytes.saturating_mul(missing))
        };
        let is_near = missing <= 1
            || missing <= CAUGHT_UP_WITHIN_ENTRIES
                && missing_bytes().is_some_and(|bytes| bytes <= CAUGHT_UP_WITHIN_BYTES);
        self.role == Role::Joining
            && self.log_matches_predecessor
            && self.synced >= self.catch_up_target
            && is_near
    }
}
