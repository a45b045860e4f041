//! The store's view of its disk: how full it is, whether it is behind, whether writes get there.

use super::Store;
use crate::responder::Responder;
use chain_replication::Millis;
use slog::{info, warn};
use std::collections::BTreeMap;
use write_ahead_log::DiskStatus;

/// From so many per cent of the disk on, batch jobs are rejected: results and replicas still need
/// space.
const DISK_FULL_PERCENT: u64 = 85;
/// A disk that is behind for so long may stay so; a compaction of the journal takes less.
const MAX_BEHIND_MS: Millis = 1_000;
/// A disk that finished nothing for so long, though writes are pending, is stalled: the chains go
/// on without it. A slow one (thirty times 5 ms a sync) finishes something every few hundred
/// milliseconds.
const STALL_TIMEOUT_MS: Millis = 1_500;
/// Of the disk, so many bytes are for what is written between two compactions of the journal.
const DISK_RESERVE_BYTES: u64 = 12 << 20;
/// The journal holds its state twice while it is compacted, and a twentieth more for the ends of
/// its files: batch jobs may need so many per cent of the disk.
const BATCH_JOBS_PERCENT: u64 = 47;
/// A sync that took so long is logged.
const SLOW_SYNC_MS: u64 = 200;

/// The use of the disk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DiskUsage {
    /// Bytes in use.
    pub used: u64,
    /// Bytes in all; 0 if not known yet.
    pub size: u64,
    /// More waits to be written than the disk takes.
    pub is_behind: bool,
    /// How long the last sync took, in milliseconds.
    pub sync_ms: u64,
}

impl DiskUsage {
    /// Bytes of batch jobs that fit on it.
    pub(super) fn capacity(&self) -> u64 {
        if self.size == 0 {
            return u64::MAX;
        }
        self.size.saturating_sub(DISK_RESERVE_BYTES) / 100 * BATCH_JOBS_PERCENT
    }

    pub(super) fn is_full(&self) -> bool {
        self.size > 0 && self.used * 100 >= self.size * DISK_FULL_PERCENT
    }
}

/// What was written and is not known to be on disk.
#[derive(Debug, Default)]
pub(super) struct UnsyncedWrites {
    /// The newest ticket of each partition with pending writes.
    tickets: BTreeMap<u16, u64>,
    /// When the disk last finished something, or had nothing to do.
    since: Option<Millis>,
}

impl UnsyncedWrites {
    pub fn written(&mut self, partition: u16, ticket: u64) {
        self.tickets.insert(partition, ticket);
    }

    pub fn synced(&mut self, now: Millis, partition: u16, ticket: u64) {
        let newest = self.tickets.get(&partition);
        if newest.is_some_and(|newest| *newest <= ticket) {
            self.tickets.remove(&partition);
        }
        self.since = Some(now);
    }

    pub fn forget(&mut self, partition: u16) {
        self.tickets.remove(&partition);
    }

    /// Time passes.
    pub fn tick(&mut self, now: Millis) {
        if self.tickets.is_empty() {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
    }

    fn is_stalled(&self, now: Millis) -> bool {
        let stalled_since = |since| now.saturating_sub(since) >= STALL_TIMEOUT_MS;
        !self.tickets.is_empty() && self.since.is_some_and(stalled_since)
    }
}

impl<R: Responder> Store<R> {
    /// Whether its disk has finished nothing for a while, though writes are pending.
    pub fn is_stalled(&self, now: Millis) -> bool {
        self.unsynced.is_stalled(now)
    }

    pub(super) fn is_behind(&self, now: Millis) -> bool {
        let behind_since = |since| now.saturating_sub(since) >= MAX_BEHIND_MS;
        self.behind_since.is_some_and(behind_since)
    }

    /// The use of the disk has changed; to be called with each tick.
    pub fn update_disk(&mut self, now: Millis, disk: DiskUsage) {
        self.disk = disk;
        self.behind_since = if disk.is_behind {
            self.behind_since.or(Some(now))
        } else {
            None
        };
        if disk.sync_ms >= SLOW_SYNC_MS {
            if let Some(left_out) = self.rate_limiter.check(now, "slow") {
                warn!(self.log, "disk slow"; "code" => 2201, "sync_ms" => disk.sync_ms,
                    "left_out" => left_out);
            }
        }
        if disk.is_full() {
            if let Some(left_out) = self.rate_limiter.check(now, "full") {
                warn!(self.log, "disk full, batch jobs rejected"; "code" => 2202,
                    "used" => disk.used, "size" => disk.size, "left_out" => left_out);
            }
        }
        if self.is_behind(now) {
            if let Some(left_out) = self.rate_limiter.check(now, "behind") {
                warn!(self.log, "disk behind, batch jobs rejected"; "code" => 2207,
                    "left_out" => left_out);
            }
        }
    }

    /// Whether writes get to the disk; to be called with each tick and after each sync. Until they
    /// do, a store has no part in its chains and accepts no batch jobs; it goes on reading from its
    /// replicas under its lease.
    pub fn update_health(&mut self, now: Millis, disk: DiskStatus) {
        if !self.health.update(now, disk) {
            return;
        }
        self.lease.send_heartbeat_soon();
        if self.health.is_writable() {
            info!(self.log, "disk writable"; "code" => 2209);
        } else {
            let waits_ms = disk
                .pending_since
                .map_or(0, |since| now.saturating_sub(since));
            warn!(self.log, "disk not writable, out of the chains"; "code" => 2208,
                "refuses" => disk.failing, "waits_ms" => waits_ms,
                "backlogged" => disk.backlogged);
        }
    }

    /// All records of a partition up to this ticket are on disk.
    pub fn handle_synced(&mut self, now: Millis, partition: u16, ticket: u64) {
        let context = self.context(now);
        self.unsynced.synced(now, partition, ticket);
        let number = usize::from(partition);
        if let Some(partition) = self.partition_mut(number) {
            partition.handle_synced(context, ticket);
            self.collect_effects(context, number);
        }
    }

    /// To be called once after a round of [`Store::handle_synced`].
    pub fn finish_synced(&mut self, now: Millis) {
        let context = self.context(now);
        self.serve_fetches(context);
    }
}
