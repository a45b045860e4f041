//! Timing out runners whose heartbeats stopped.

use super::{Registry, TrackedRunner, TOMBSTONE_RETENTION_MS};
use crate::entry::tombstone;
use crate::stamp;
use relay_tree::{Ms, StateEntry};
use std::collections::BTreeSet;

/// Sweeps further apart than this, in milliseconds, mean that the process stalled: the runners'
/// calls wait to be read, so each gets a whole period again.
const STALL_THRESHOLD_MS: Ms = 1_000;
/// The table is gone through no more often than this, in milliseconds.
const SWEEP_INTERVAL_MS: Ms = 200;
/// Beyond so many owners, lost ones that no runner names are forgotten: their number would grow
/// with every restart.
const MAX_IDLE_OWNERS: usize = 64;

/// Whether a controller that publishes runners is there, as this one was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnerLiveness {
    Alive,
    LostSince(Ms),
}

impl Registry {
    /// The owners that are alive, to be called whenever that changes. Runners of all others are
    /// timed out here: nobody else receives their heartbeats.
    pub fn set_live_owners(&mut self, now: Ms, alive: &[u64]) {
        for owner in alive {
            self.owners.insert(*owner, OwnerLiveness::Alive);
        }
        for (owner, liveness) in &mut self.owners {
            if *liveness == OwnerLiveness::Alive && !alive.contains(owner) {
                *liveness = OwnerLiveness::LostSince(now);
            }
        }
        if self.owners.len() > MAX_IDLE_OWNERS {
            let named = self.runners.values().map(|tracked| tracked.runner.owner);
            let named = named.collect::<BTreeSet<_>>();
            self.owners.retain(|owner, liveness| {
                *liveness == OwnerLiveness::Alive || named.contains(owner)
            });
        }
    }

    /// Times out runners whose heartbeats stopped, and returns their entries to publish. That is a
    /// guess, which a later heartbeat undoes. To be called several times a second; after a longer
    /// pause of the caller every runner gets a whole period again.
    pub fn sweep(&mut self, now: Ms) -> Vec<StateEntry> {
        self.start_grace_period(now);
        let since_last = self.last_sweep_at.map(|at| now.saturating_sub(at));
        if since_last.is_some_and(|pause| pause > STALL_THRESHOLD_MS) {
            self.grace_until = Some(now + self.heartbeat_timeout_ms());
        } else if since_last.is_some_and(|pause| pause < SWEEP_INTERVAL_MS) {
            return Vec::new();
        }
        self.last_sweep_at = Some(now);
        self.runners.retain(|_, tracked| {
            tracked
                .gone_since
                .is_none_or(|at| now.saturating_sub(at) < TOMBSTONE_RETENTION_MS)
        });
        if self.grace_until.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let ids = self
            .runners
            .iter()
            .filter(|(_, tracked)| self.is_timed_out(now, tracked));
        let ids = ids.map(|(id, _)| id.clone()).collect::<Vec<_>>();
        ids.iter()
            .filter_map(|id| Some(self.runners.get_mut(id)?.time_out(now)))
            .collect()
    }

    /// Whether a runner that isn't gone has been silent for too long.
    fn is_timed_out(&self, now: Ms, tracked: &TrackedRunner) -> bool {
        if tracked.gone_since.is_some() {
            return false;
        }
        let timeout = self.heartbeat_timeout_ms();
        let owner = tracked.runner.owner;
        let heard_at = tracked.last_heard_at;
        let (since, timeout) = if owner == self.config.owner {
            (heard_at, timeout)
        } else {
            // A runner whose controller is lost finds another one first.
            match self.owners.get(&owner) {
                // It receives the heartbeats, and publishes when they stop.
                Some(OwnerLiveness::Alive) => return false,
                Some(OwnerLiveness::LostSince(lost_since)) => {
                    (heard_at.max(*lost_since), timeout * 2)
                }
                None => (heard_at, timeout * 2),
            }
        };
        now.saturating_sub(since) >= timeout
    }
}

impl TrackedRunner {
    fn time_out(&mut self, now: Ms) -> StateEntry {
        let generation = stamp::generation(self.stamp);
        let seqno = self.runner.seqno.max(stamp::seqno(self.stamp));
        self.mark_gone(now, stamp::timed_out(generation, seqno, self.is_draining()));
        tombstone(&self.runner.id, self.stamp)
    }
}
