//! A controller's table of runners.

mod expiry;
mod remote;

use crate::entry::{tombstone, DRAINING_BIT, LEFT_STAMP};
use crate::error::HeartbeatError;
use crate::heartbeat::{check_id, Heartbeat};
use crate::runner::{Runner, RunnerState};
use compact_str::CompactString;
use expiry::OwnerLiveness;
use relay_tree::{Ms, Stamp, StateEntry};
use std::collections::BTreeMap;

/// Most runners in the table; those that are gone are evicted first.
pub const MAX_RUNNERS: usize = 65_536;
/// How long a runner that is gone stays in the table, in milliseconds, so that late calls of it
/// have no effect.
pub const TOMBSTONE_RETENTION_MS: Ms = 60_000;
/// A runner is never timed out after a shorter silence, in milliseconds.
pub const MIN_HEARTBEAT_TIMEOUT_MS: Ms = 3_000;

/// What a registry is told at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegistryConfig {
    /// About how often a runner sends a heartbeat, in milliseconds.
    pub heartbeat_ms: u64,
    /// The incarnation of this controller, as the entries that it publishes name it.
    pub owner: u64,
}

/// What became of a heartbeat that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// What is to be published, when anything changed.
    pub publish: Option<StateEntry>,
    /// The runner says that it drains: acknowledge once another controller has
    /// [`HeartbeatOutcome::stamp`] too.
    pub draining: bool,
    /// The stamp of what is published of the runner.
    pub stamp: Stamp,
}

#[derive(Debug)]
struct TrackedRunner {
    /// As published last, but for `seqno`: the highest received.
    runner: Runner,
    /// The stamp of what is published.
    stamp: Stamp,
    /// When its last heartbeat came here, or an entry of it.
    last_heard_at: Ms,
    /// Since when it is gone.
    gone_since: Option<Ms>,
}

impl TrackedRunner {
    fn is_draining(&self) -> bool {
        self.stamp.0 >= DRAINING_BIT
    }

    fn unchanged(&self, draining: bool) -> HeartbeatOutcome {
        HeartbeatOutcome {
            publish: None,
            draining,
            stamp: self.stamp,
        }
    }

    /// A heartbeat of a runner that is in the table.
    fn heartbeat(&mut self, now: Ms, heartbeat: &Heartbeat, owner: u64) -> HeartbeatOutcome {
        let draining = heartbeat.draining && self.stamp != LEFT_STAMP;
        // That a runner drains is true whenever it was said, so a late call counts for that.
        let news_of_draining = draining && !self.is_draining();
        let is_late = heartbeat.seqno < self.runner.seqno && !news_of_draining;
        if is_late || self.stamp == LEFT_STAMP {
            return self.unchanged(draining);
        }
        self.last_heard_at = now;
        if heartbeat.seqno == self.runner.seqno && !news_of_draining {
            return self.unchanged(draining);
        }
        let drains = draining || self.is_draining();
        let mut runner = runner_from_heartbeat(&self.runner.id, heartbeat, owner, drains);
        runner.seqno = runner.seqno.max(self.runner.seqno);
        let is_news = self.gone_since.is_some()
            || self.runner.state != runner.state
            || !self.runner.same_description(&runner);
        if !is_news {
            self.runner.seqno = runner.seqno;
            return self.unchanged(draining);
        }
        let entry = runner.state_entry();
        *self = TrackedRunner {
            runner,
            stamp: entry.stamp,
            last_heard_at: now,
            gone_since: None,
        };
        HeartbeatOutcome {
            stamp: entry.stamp,
            publish: Some(entry),
            draining,
        }
    }
}

/// The runners that a controller knows of. Times are steady milliseconds of the caller's own clock.
#[derive(Debug)]
pub struct Registry {
    config: RegistryConfig,
    runners: BTreeMap<CompactString, TrackedRunner>,
    /// Nothing is timed out before this.
    grace_until: Option<Ms>,
    last_sweep_at: Option<Ms>,
    /// Owners that were seen alive.
    owners: BTreeMap<u64, OwnerLiveness>,
}

impl Registry {
    /// An empty registry.
    pub fn new(config: RegistryConfig) -> Self {
        Registry {
            config,
            runners: BTreeMap::new(),
            grace_until: None,
            last_sweep_at: None,
            owners: BTreeMap::new(),
        }
    }

    /// After how long a silence a runner is timed out, in milliseconds: three and a half
    /// heartbeats, [`MIN_HEARTBEAT_TIMEOUT_MS`] at least.
    pub fn heartbeat_timeout_ms(&self) -> Ms {
        (self.config.heartbeat_ms.saturating_mul(7) / 2).max(MIN_HEARTBEAT_TIMEOUT_MS)
    }

    /// How many runners are in the table, those that are gone included.
    pub fn len(&self) -> usize {
        self.runners.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// What is known of a runner.
    pub fn get(&self, id: &str) -> Option<&Runner> {
        self.runners.get(id).map(|tracked| &tracked.runner)
    }

    /// The runners that aren't gone.
    pub fn runners(&self) -> impl Iterator<Item = &Runner> {
        let runners = self.runners.values().map(|tracked| &tracked.runner);
        runners.filter(|runner| runner.state != RunnerState::Gone)
    }

    /// A runner's heartbeat has come. Late ones (a lower sequence number) are acknowledged and
    /// change nothing.
    ///
    /// # Errors
    /// The id or the body is invalid, or the table is full. Nothing changes then.
    pub fn heartbeat(
        &mut self,
        now: Ms,
        id: &str,
        body: &[u8],
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        check_id(id)?;
        let heartbeat = Heartbeat::parse(body)?;
        self.start_grace_period(now);
        if let Some(tracked) = self.runners.get_mut(id) {
            return Ok(tracked.heartbeat(now, &heartbeat, self.config.owner));
        }
        self.evict_if_full()?;
        let draining = heartbeat.draining;
        let runner = runner_from_heartbeat(id, &heartbeat, self.config.owner, draining);
        let entry = runner.state_entry();
        let stamp = entry.stamp;
        let tracked = TrackedRunner {
            runner,
            stamp,
            last_heard_at: now,
            gone_since: None,
        };
        self.runners.insert(id.into(), tracked);
        Ok(HeartbeatOutcome {
            publish: Some(entry),
            draining,
            stamp,
        })
    }

    /// A runner says that it ends: final. What is to be published; none if that is known already,
    /// or the id is invalid, or the table is full.
    pub fn leave(&mut self, now: Ms, id: &str) -> Option<StateEntry> {
        self.start_grace_period(now);
        check_id(id).ok()?;
        match self.runners.get_mut(id) {
            Some(tracked) if tracked.stamp == LEFT_STAMP => return None,
            Some(tracked) => {
                tracked.stamp = LEFT_STAMP;
                tracked.runner.state = RunnerState::Gone;
                tracked.gone_since = Some(now);
            }
            // Another controller may know it, so its departure is published all the same.
            None => {
                self.evict_if_full().ok()?;
                let runner = Runner::read(&tombstone(id, LEFT_STAMP)).ok()?;
                let (stamp, gone_since) = (LEFT_STAMP, Some(now));
                let tracked = TrackedRunner {
                    runner,
                    stamp,
                    last_heard_at: now,
                    gone_since,
                };
                self.runners.insert(id.into(), tracked);
            }
        }
        Some(tombstone(id, LEFT_STAMP))
    }

    /// A registry that has just started times nobody out before each has had a whole period.
    fn start_grace_period(&mut self, now: Ms) {
        if self.grace_until.is_none() {
            self.grace_until = Some(now + self.heartbeat_timeout_ms());
        }
    }

    /// Makes room for one more, in place of the one that has been gone for longest.
    fn evict_if_full(&mut self) -> Result<(), HeartbeatError> {
        if self.runners.len() < MAX_RUNNERS {
            return Ok(());
        }
        let gone = self.runners.iter();
        let gone = gone.filter_map(|(id, tracked)| tracked.gone_since.map(|since| (since, id)));
        let oldest = gone
            .min()
            .map(|(_, id)| id.clone())
            .ok_or(HeartbeatError::Full)?;
        self.runners.remove(&oldest);
        Ok(())
    }
}

fn runner_from_heartbeat(id: &str, heartbeat: &Heartbeat, owner: u64, drains: bool) -> Runner {
    Runner {
        id: id.into(),
        service: heartbeat.service.clone(),
        addr: heartbeat.addr,
        zone: heartbeat.zone.clone(),
        software_version: heartbeat.software_version.clone(),
        slots: heartbeat.slots,
        state: if drains {
            RunnerState::Draining
        } else {
            RunnerState::Up
        },
        warmup_left_ms: heartbeat.warmup_left_ms,
        phase: heartbeat.phase.clone(),
        models: heartbeat.models.clone(),
        seqno: heartbeat.seqno,
        owner,
    }
}
