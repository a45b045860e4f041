//! The entries of one table and the order in which it learned them.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use compact_str::CompactString;

use crate::entry::{key_hash, StateEntry};
use crate::message::BUCKETS;
use crate::Ms;

/// How long a tombstone is kept.
pub const TOMBSTONE_MS: Ms = 60_000;
/// Most tombstones at once; beyond it the oldest goes.
pub const MAX_TOMBSTONES: usize = 16_384;
/// Most entries: 65,536 runners, the dispatchers, and room.
pub const MAX_ENTRIES: usize = 131_072;
/// Most bytes of all entries: two configurations of 4 MiB and all runners fit twice.
pub const MAX_TABLE_BYTES: usize = 48 * 1024 * 1024;

/// The process that sent an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Sender {
    pub addr: SocketAddr,
    pub incarnation: u64,
}

/// How an entry came here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// Set by this process.
    Own,
    /// Received from another process.
    Received(Sender),
}

#[derive(Debug)]
pub(crate) struct TableEntry {
    pub entry: StateEntry,
    /// The sequence number of the change, in this table's incarnation.
    pub seq: u64,
    pub origin: Origin,
    /// The last full copy that named the entry.
    copy: u32,
    /// Its key stands in `changed`.
    changed: bool,
}

/// Which way an entry moves in the totals of the table.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Change {
    Added,
    Removed,
}

#[derive(Debug)]
pub(crate) struct Table {
    entries: BTreeMap<CompactString, TableEntry>,
    by_seq: BTreeMap<u64, CompactString>,
    seq: u64,
    changed: Vec<CompactString>,
    tombstones: VecDeque<(Ms, u64)>,
    /// Tombstones up to this sequence number have expired: who has received less may miss one.
    expired_seq: u64,
    bytes: usize,
    live: usize,
    /// The sum of the hashes of each bucket's live entries.
    sums: Box<[u64; BUCKETS]>,
    /// Entries that were over a limit.
    rejected: u64,
}

impl Table {
    pub(crate) fn new() -> Self {
        Table {
            entries: BTreeMap::new(),
            by_seq: BTreeMap::new(),
            seq: 0,
            changed: Vec::new(),
            tombstones: VecDeque::new(),
            expired_seq: 0,
            bytes: 0,
            live: 0,
            sums: Box::new([0; BUCKETS]),
            rejected: 0,
        }
    }

    pub(crate) fn seq(&self) -> u64 {
        self.seq
    }

    pub(crate) fn expired_seq(&self) -> u64 {
        self.expired_seq
    }

    pub(crate) fn live(&self) -> usize {
        self.live
    }

    pub(crate) fn rejected(&self) -> u64 {
        self.rejected
    }

    pub(crate) fn sums(&self) -> &[u64; BUCKETS] {
        &self.sums
    }

    pub(crate) fn get(&self, key: &str) -> Option<&TableEntry> {
        self.entries.get(key)
    }

    pub(crate) fn with_prefix<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = &'a StateEntry> {
        self.entries
            .range::<str, _>((
                std::ops::Bound::Included(prefix),
                std::ops::Bound::Unbounded,
            ))
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, known)| &known.entry)
            .filter(|entry| entry.value.is_some())
    }

    /// The entries behind a sequence number, in their order.
    pub(crate) fn after(&self, seq: u64) -> impl Iterator<Item = &TableEntry> {
        self.by_seq
            .range(seq.saturating_add(1)..)
            .filter_map(|(_, key)| self.entries.get(key))
    }

    pub(crate) fn take_changed_keys(&mut self) -> Vec<CompactString> {
        let changed = std::mem::take(&mut self.changed);
        for key in &changed {
            if let Some(known) = self.entries.get_mut(key) {
                known.changed = false;
            }
        }
        changed
    }

    /// Takes an entry in if it supersedes what is known. `copy`: the full copy that names it, 0 for
    /// none.
    pub(crate) fn merge(&mut self, now: Ms, entry: StateEntry, origin: Origin, copy: u32) -> bool {
        if !entry.is_within_limits() {
            self.rejected += 1;
            return false;
        }
        let mut changed = false;
        let mut old_size = 0;
        if let Some(known) = self.entries.get_mut(&entry.key) {
            if copy != 0 {
                known.copy = copy;
            }
            if !entry.supersedes(&known.entry) {
                return false;
            }
            changed = known.changed;
            old_size = known.entry.approximate_size();
        } else if self.entries.len() >= MAX_ENTRIES {
            self.rejected += 1;
            return false;
        }
        if self.bytes - old_size + entry.approximate_size() > MAX_TABLE_BYTES {
            self.rejected += 1;
            return false;
        }
        self.remove(&entry.key);
        self.seq += 1;
        self.count(&entry, Change::Added);
        self.by_seq.insert(self.seq, entry.key.clone());
        if entry.value.is_none() {
            self.tombstones.push_back((now, self.seq));
        }
        if !changed {
            self.changed.push(entry.key.clone());
        }
        let known = TableEntry {
            entry,
            seq: self.seq,
            origin,
            copy,
            changed: true,
        };
        self.entries.insert(known.entry.key.clone(), known);
        true
    }

    /// Removes tombstones that are old or too many.
    pub(crate) fn expire(&mut self, now: Ms) {
        while let Some((since, seq)) = self.tombstones.front().copied() {
            // An entry that was superseded meanwhile has another sequence number now.
            let key = self.by_seq.get(&seq).cloned();
            let old =
                now.saturating_sub(since) >= TOMBSTONE_MS || self.tombstones.len() > MAX_TOMBSTONES;
            if key.is_some() && !old {
                break;
            }
            self.tombstones.pop_front();
            if let Some(key) = key {
                self.remove(&key);
                self.expired_seq = self.expired_seq.max(seq);
            }
        }
    }

    /// Removes received entries that the full copy didn't name, unless they are to be kept.
    pub(crate) fn remove_unnamed(&mut self, copy: u32, keep: impl Fn(&TableEntry) -> bool) {
        let unnamed = |known: &TableEntry| {
            known.copy != copy && matches!(known.origin, Origin::Received(_)) && !keep(known)
        };
        let removed = self.entries.values().filter(|known| unnamed(known));
        let removed = removed
            .map(|known| (known.entry.key.clone(), known.entry.value.is_some()))
            .collect::<Vec<_>>();
        for (key, live) in removed {
            self.remove(&key);
            if live {
                self.changed.push(key);
            }
        }
    }

    fn remove(&mut self, key: &str) {
        if let Some(known) = self.entries.remove(key) {
            self.by_seq.remove(&known.seq);
            self.count(&known.entry, Change::Removed);
        }
    }

    fn count(&mut self, entry: &StateEntry, change: Change) {
        let size = entry.approximate_size();
        let added = change == Change::Added;
        self.bytes = if added {
            self.bytes + size
        } else {
            self.bytes.saturating_sub(size)
        };
        if entry.value.is_none() {
            return;
        }
        self.live = if added {
            self.live + 1
        } else {
            self.live.saturating_sub(1)
        };
        if let Some(sum) = self.sums.get_mut(bucket(&entry.key)) {
            let hash = entry.hash();
            *sum = if added {
                sum.wrapping_add(hash)
            } else {
                sum.wrapping_sub(hash)
            };
        }
    }
}

/// The bucket of a key in the digest.
pub(crate) fn bucket(key: &str) -> usize {
    (key_hash(key) % BUCKETS as u64) as usize
}
