//! The newest entries, kept in memory for those after us, bounded in bytes.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::pass::WINDOW_BYTES;

/// Bytes kept for a neighbour that comes back: some seconds of a busy table; beyond that a snapshot is cheaper.
pub(crate) const LOG_BYTES: u64 = 8 * 1024 * 1024;
/// While one after us takes a snapshot, and until it has the entries after it, so much is kept: else each snapshot would
/// be out of date when it has come.
const LOG_BYTES_LAGGING: u64 = 4 * LOG_BYTES;
/// Bytes of log that all members of a process keep together, as far as [`fair_log_limit`] is asked: a quarter of what the
/// smallest machine's process may use.
const LOG_BYTES_TOGETHER: u64 = 64 * 1024 * 1024;
/// However many members a process has, each keeps so much: twice what may be on its way to a neighbour.
const LEAST_LOG_BYTES: u64 = 2 * WINDOW_BYTES;
/// What an entry costs beside its command.
const ENTRY_COST: u64 = 64;

/// How much log each member of a process may keep, by what they all hold now ([`crate::Replica::log_bytes`]): whoever holds
/// less than the others keeps what it has, and the rest is divided among those that hold more. Without a limit if all of
/// it is within the bound.
pub fn fair_log_limit(held: impl IntoIterator<Item = u64>) -> u64 {
    let mut held: Vec<u64> = held.into_iter().collect();
    held.sort_unstable();
    let mut left = LOG_BYTES_TOGETHER;
    for (sharers, bytes) in (1..=held.len() as u64).rev().zip(held) {
        let share = left / sharers;
        if bytes > share {
            return share.max(LEAST_LOG_BYTES);
        }
        left -= bytes;
    }
    u64::MAX
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub view: u64,
    pub command: Bytes,
    /// Bytes of all entries up to this one, since the start.
    end: u64,
}

/// Entries `base + 1 ..= last`.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: u64,
    base_view: u64,
    base_end: u64,
    entries: VecDeque<Entry>,
}

impl Log {
    /// An empty log after this entry.
    pub fn after(base: u64, base_view: u64) -> Log {
        Log {
            base,
            base_view,
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

    /// The newest entry's view.
    pub fn last_view(&self) -> u64 {
        self.entries.back().map_or(self.base_view, |e| e.view)
    }

    /// The entry of this number, if kept.
    pub fn get(&self, number: u64) -> Option<&Entry> {
        let at = number.checked_sub(self.base)?.checked_sub(1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// The view of this number, also for the last one that was let go.
    pub fn view_at(&self, number: u64) -> Option<u64> {
        if number == self.base {
            return Some(self.base_view);
        }
        self.get(number).map(|e| e.view)
    }

    /// Bytes up to this number since the start; those let go count as of the last of them.
    pub fn end_at(&self, number: u64) -> u64 {
        if number >= self.last() {
            return self.entries.back().map_or(self.base_end, |e| e.end);
        }
        self.get(number).map_or(self.base_end, |e| e.end)
    }

    /// Bytes of an entry, on average over those that are kept; none if there are none.
    pub fn mean_entry_bytes(&self) -> Option<u64> {
        self.bytes().checked_div(self.entries.len() as u64)
    }

    pub fn push(&mut self, view: u64, command: Bytes) {
        let end = self.end_at(u64::MAX) + command.len() as u64 + ENTRY_COST;
        self.entries.push_back(Entry { view, command, end });
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> u64 {
        self.end_at(u64::MAX).saturating_sub(self.base_end)
    }

    /// Lets the oldest go beyond the bound, and beyond `limit`, but nothing after `keep_after`.
    pub fn trim(&mut self, keep_after: u64, one_lags: bool, limit: u64) {
        let most = if one_lags {
            LOG_BYTES_LAGGING
        } else {
            LOG_BYTES
        }
        .min(limit);
        let end = self.end_at(u64::MAX);
        while self.base < keep_after && end.saturating_sub(self.base_end) > most {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base += 1;
            self.base_view = entry.view;
            self.base_end = entry.end;
        }
    }
}
