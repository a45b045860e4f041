//! The state that is read back from the records on disk.

use bytes::Bytes;

use crate::record::LogRecord;
use crate::snapshot_id::SnapshotId;
use crate::state_machine::{SnapshotError, StateMachine};
use crate::view::View;

/// An entry of the log on disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// The view in which the head numbered it.
    pub view: u64,
    /// Its number.
    pub number: u64,
    /// The command.
    pub command: Bytes,
}

/// A full state on disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateSnapshot {
    /// The view of the last entry in it.
    pub view: u64,
    /// The number of the last entry in it.
    pub number: u64,
    /// The state.
    pub state: Vec<u8>,
}

/// A snapshot of which the disk holds the beginning.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartialSnapshot {
    /// Which snapshot.
    pub id: SnapshotId,
    /// Its bytes, from the first on.
    pub received: Vec<u8>,
}

/// What the disk holds at the start.
///
/// The owner syncs what it has read before it makes a replica of it: a process that was killed may
/// have left records that a loss of power would still take away.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecoveredLog {
    /// The newest view installed.
    pub view: Option<View>,
    /// The newest view in which the replica was in sync, 0 if none.
    pub in_sync_view: u64,
    /// The state that the entries go on from.
    pub snapshot: Option<StateSnapshot>,
    /// The entries after the snapshot, without a gap.
    pub entries: Vec<LogEntry>,
    /// A snapshot that was being received.
    pub partial_snapshot: Option<PartialSnapshot>,
    /// The chunks of a snapshot that was complete aren't: nothing of the state can be vouched for.
    pub snapshot_is_damaged: bool,
}

impl RecoveredLog {
    /// Applies a record; they are given in the order in which they were written. The caller leaves
    /// out a torn end; an entry that does not follow is dropped, with all after it.
    pub fn replay(&mut self, record: LogRecord) {
        match record {
            LogRecord::View { view } => {
                if self
                    .view
                    .as_ref()
                    .is_none_or(|old| old.number < view.number)
                {
                    self.view = Some(view);
                }
            }
            LogRecord::InSync { view } => self.in_sync_view = self.in_sync_view.max(view),
            LogRecord::Entry {
                view,
                number,
                command,
            } => {
                // The log goes on, so what was being received is not needed any more.
                self.partial_snapshot = None;
                if number == self.last_number().saturating_add(1) {
                    self.entries.push(LogEntry {
                        view,
                        number,
                        command,
                    });
                }
            }
            LogRecord::Snapshot { view, number, body } => {
                self.partial_snapshot = None;
                self.replace_state(view, number, body.to_vec());
            }
            LogRecord::SnapshotChunk { id, offset, bytes } => {
                self.extend_partial_snapshot(id, offset, &bytes);
            }
            LogRecord::SnapshotComplete { id } => self.complete_snapshot(id),
        }
    }

    /// Entries before a snapshot are void even where it holds fewer: it may be another replica's
    /// state, put in place of a history that was given up.
    fn replace_state(&mut self, view: u64, number: u64, state: Vec<u8>) {
        self.entries.clear();
        self.snapshot_is_damaged = false;
        self.snapshot = Some(StateSnapshot {
            view,
            number,
            state,
        });
    }

    /// Takes the next bytes of a snapshot; those at its beginning replace what was there of any.
    /// Bytes that don't follow show a snapshot of which the beginning is not needed any more.
    fn extend_partial_snapshot(&mut self, id: SnapshotId, offset: u32, bytes: &[u8]) {
        let before = self.partial_snapshot.take();
        let follows =
            |before: &PartialSnapshot| before.id == id && before.received.len() == offset as usize;
        let mut received = match before.filter(follows) {
            Some(before) => before.received,
            None if offset == 0 => Vec::new(),
            None => return,
        };
        if received.len() + bytes.len() <= id.total_bytes as usize {
            received.extend_from_slice(bytes);
            self.partial_snapshot = Some(PartialSnapshot { id, received });
        }
    }

    fn complete_snapshot(&mut self, id: SnapshotId) {
        let partial = self.partial_snapshot.take();
        let state = partial.map(|partial| partial.received).unwrap_or_default();
        let is_complete = SnapshotId::of(id.number, id.last_view, &state) == id;
        self.replace_state(id.last_view, id.number, state);
        self.snapshot_is_damaged = !is_complete;
    }

    /// Bytes of the commands of all entries.
    pub fn entry_bytes(&self) -> u64 {
        self.entries
            .iter()
            .map(|entry| entry.command.len() as u64)
            .sum()
    }

    /// Moves the oldest entries into the snapshot until the rest has no more than `keep_bytes`, so
    /// that a long log need not be in memory in full. `initial` is the state machine as it is
    /// before its first command.
    ///
    /// # Errors
    /// The snapshot can't be read; all stays as it was.
    pub fn compact<M: StateMachine>(
        &mut self,
        mut initial: M,
        keep_bytes: u64,
    ) -> Result<(), SnapshotError> {
        let mut left = self.entry_bytes();
        let older = self.entries.iter().take_while(|entry| {
            let moves = left > keep_bytes;
            left = left.saturating_sub(entry.command.len() as u64);
            moves
        });
        let older = older.count();
        let newest_moved = older.checked_sub(1).and_then(|at| self.entries.get(at));
        let Some((view, number)) = newest_moved.map(|entry| (entry.view, entry.number)) else {
            return Ok(());
        };
        if let Some(snapshot) = &self.snapshot {
            initial.restore(&snapshot.state)?;
        }
        // Before the new one is made: of a large state there is one copy less in memory.
        self.snapshot = None;
        for entry in self.entries.drain(..older) {
            initial.apply(entry.number, &entry.command);
        }
        self.entries.shrink_to_fit();
        self.snapshot = Some(StateSnapshot {
            view,
            number,
            state: initial.snapshot(),
        });
        Ok(())
    }

    /// The number of the newest entry, 0 if there is none.
    pub fn last_number(&self) -> u64 {
        match (self.entries.last(), &self.snapshot) {
            (Some(entry), _) => entry.number,
            (None, Some(snapshot)) => snapshot.number,
            (None, None) => 0,
        }
    }
}
