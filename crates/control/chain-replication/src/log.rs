//! The newest entries, kept in memory for the successors, bounded in bytes.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::limits::{LOG_BYTES, WINDOW_BYTES};

/// Kept while a successor takes a snapshot, and until it has the entries after it: else each
/// snapshot would be out of date when it has come.
const LOG_BYTES_LAGGING: u64 = 4 * LOG_BYTES;
/// Bytes of log that all replicas of a process keep together, as far as [`fair_log_limit`] is
/// asked: a quarter of what the smallest machine's process may use.
const LOG_BYTES_TOGETHER: u64 = 64 * 1024 * 1024;
/// However many replicas a process has, each keeps this: twice what may be in flight to a
/// successor.
const MIN_LOG_BYTES: u64 = 2 * WINDOW_BYTES;
/// Bytes that an entry takes beside its command.
const ENTRY_OVERHEAD_BYTES: u64 = 64;

/// How many bytes of log each replica of a process may keep, by what they all hold now
/// ([`Replica::log_bytes`](crate::Replica::log_bytes)).
///
/// Max-min fair: a replica that holds less than the others keeps what it has, and the rest is
/// divided among those that hold more. Without a limit if all of it is within the bound.
pub fn fair_log_limit(held_bytes: impl IntoIterator<Item = u64>) -> u64 {
    let mut held_bytes: Vec<u64> = held_bytes.into_iter().collect();
    held_bytes.sort_unstable();
    let mut left = LOG_BYTES_TOGETHER;
    for (sharers, bytes) in (1..=held_bytes.len() as u64).rev().zip(held_bytes) {
        let share = left / sharers;
        if bytes > share {
            return share.max(MIN_LOG_BYTES);
        }
        left -= bytes;
    }
    u64::MAX
}

/// Where a log ends, or an entry in it: logs that agree on this agree on all before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LogPosition {
    /// The number of the entry.
    pub number: u64,
    /// The view in which it was numbered.
    pub view: u64,
}

/// An entry in memory.
#[derive(Debug)]
pub(crate) struct BufferedEntry {
    pub view: u64,
    pub command: Bytes,
    /// Bytes of all entries up to this one, since the start.
    end: u64,
}

/// The entries after `base`.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: u64,
    base_view: u64,
    base_end: u64,
    entries: VecDeque<BufferedEntry>,
}

impl Log {
    /// An empty log after this entry.
    pub fn after(base: LogPosition) -> Log {
        Log {
            base: base.number,
            base_view: base.view,
            base_end: 0,
            entries: VecDeque::new(),
        }
    }

    /// The number before the first entry kept.
    pub fn base(&self) -> u64 {
        self.base
    }

    /// The newest number.
    pub fn last(&self) -> u64 {
        self.base + self.entries.len() as u64
    }

    /// Where the log ends.
    pub fn last_position(&self) -> LogPosition {
        let view = self
            .entries
            .back()
            .map_or(self.base_view, |entry| entry.view);
        LogPosition {
            number: self.last(),
            view,
        }
    }

    /// The entry of this number, if kept.
    pub fn get(&self, number: u64) -> Option<&BufferedEntry> {
        let at = number.checked_sub(self.base)?.checked_sub(1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// The view of this number, also for the last entry that was dropped.
    pub fn view_at(&self, number: u64) -> Option<u64> {
        if number == self.base {
            return Some(self.base_view);
        }
        self.get(number).map(|entry| entry.view)
    }

    /// Whether the log has this entry, or had it as the last that was dropped.
    pub fn contains(&self, position: LogPosition) -> bool {
        self.view_at(position.number) == Some(position.view)
    }

    /// Whether the log may have this entry: true also where it is not kept.
    pub fn may_contain(&self, position: LogPosition) -> bool {
        self.view_at(position.number)
            .is_none_or(|view| view == position.view)
    }

    /// Bytes up to this number since the start; dropped entries count as of the last of them.
    pub fn end_at(&self, number: u64) -> u64 {
        if number >= self.last() {
            return self.entries.back().map_or(self.base_end, |entry| entry.end);
        }
        self.get(number).map_or(self.base_end, |entry| entry.end)
    }

    /// Bytes of the entries after `from` up to `to`.
    pub fn bytes_between(&self, from: u64, to: u64) -> u64 {
        self.end_at(to).saturating_sub(self.end_at(from))
    }

    /// Bytes of an entry, on average over those that are kept; none if there are none.
    pub fn mean_entry_bytes(&self) -> Option<u64> {
        self.bytes().checked_div(self.entries.len() as u64)
    }

    /// Appends an entry.
    pub fn push(&mut self, view: u64, command: Bytes) {
        let end = self.end_at(u64::MAX) + command.len() as u64 + ENTRY_OVERHEAD_BYTES;
        self.entries.push_back(BufferedEntry { view, command, end });
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> u64 {
        self.end_at(u64::MAX).saturating_sub(self.base_end)
    }

    /// Drops the oldest entries beyond the bound, and beyond `limit` bytes, but none after
    /// `keep_after`.
    pub fn trim(&mut self, keep_after: u64, successor: SuccessorState, limit: u64) {
        let bound = match successor {
            SuccessorState::Lagging => LOG_BYTES_LAGGING,
            SuccessorState::InStep => LOG_BYTES,
        };
        let bound = bound.min(limit);
        let end = self.end_at(u64::MAX);
        while self.base < keep_after && end.saturating_sub(self.base_end) > bound {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base += 1;
            self.base_view = entry.view;
            self.base_end = entry.end;
        }
    }
}

/// How far behind the successors are, as far as it matters for what is kept of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SuccessorState {
    /// All are near the end of the log.
    InStep,
    /// One takes a snapshot, or would need one if the log were cut short now.
    Lagging,
}
