//! A controller's table of runners.

mod expiry;
mod remote;
mod runs;
mod tracked;

use crate::entry::tombstone;
use crate::error::HeartbeatError;
use crate::heartbeat::{check_id, Heartbeat};
use crate::returning::ReturningRuns;
use crate::run_record::{remember_addr, RunPhase};
use crate::run_records::RunRecords;
use crate::runner::{Runner, RunnerState};
use crate::stamp;
use compact_str::CompactString;
use expiry::OwnerLiveness;
use relay_tree::{Ms, Stamp, StateEntry};
use runs::RunOfCall;
use std::collections::BTreeMap;
use tracked::TrackedRunner;

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
    /// The runner says that it drains: acknowledge once a majority of the controllers have
    /// [`HeartbeatOutcome::stamp`] and enough disks have its [`Registry::run_record`].
    pub draining: bool,
    /// The stamp of what is published of the runner.
    pub stamp: Stamp,
}

/// The runners that a controller knows of. Times are steady milliseconds of the caller's own clock.
#[derive(Debug)]
pub struct Registry {
    config: RegistryConfig,
    runners: BTreeMap<CompactString, TrackedRunner>,
    /// What must outlive the memory of controllers.
    records: RunRecords,
    returning: ReturningRuns,
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
            records: RunRecords::default(),
            returning: ReturningRuns::default(),
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

    /// A runner's heartbeat has come. Late ones (a lower sequence number, or of a run that ended) are
    /// acknowledged and change nothing.
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
        match self.run_of_call(now, id, &heartbeat) {
            RunOfCall::Current { generation, drains } => {
                self.heartbeat_of_run(now, id, heartbeat, generation, drains)
            }
            RunOfCall::New { generation } => self.start_run(now, id, &heartbeat, generation),
            RunOfCall::Earlier => Ok(self.unchanged(id)),
            RunOfCall::Left { generation } => Ok(HeartbeatOutcome {
                publish: self.mark_left(now, id, generation),
                draining: heartbeat.draining,
                stamp: stamp::left(generation),
            }),
        }
    }

    fn heartbeat_of_run(
        &mut self,
        now: Ms,
        id: &str,
        heartbeat: Heartbeat,
        generation: u8,
        drains: bool,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        let said_draining = heartbeat.draining;
        let heartbeat = Heartbeat {
            draining: said_draining || drains,
            ..heartbeat
        };
        let owner = self.config.owner;
        let outcome = match self.runners.get_mut(id) {
            Some(tracked) if stamp::generation(tracked.stamp) == generation => {
                tracked.heartbeat(now, &heartbeat, owner)
            }
            _ => self.track(now, id, &heartbeat, generation)?,
        };
        if said_draining {
            self.record_run(id, generation, RunPhase::Draining);
        }
        Ok(HeartbeatOutcome {
            draining: said_draining,
            ..outcome
        })
    }

    /// A process has started under this id, which another one had before.
    fn start_run(
        &mut self,
        now: Ms,
        id: &str,
        heartbeat: &Heartbeat,
        generation: u8,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        let before = self.current_run(id);
        let outcome = self.track(now, id, heartbeat, generation)?;
        if let (Some(tracked), Some(before)) = (self.runners.get_mut(id), before) {
            tracked.previous_addrs = before.previous_addrs;
            if let Some(addr) = before.addr {
                remember_addr(&mut tracked.previous_addrs, addr, heartbeat.addr);
            }
        }
        let phase = if heartbeat.draining {
            RunPhase::Draining
        } else {
            RunPhase::Started
        };
        self.record_run(id, generation, phase);
        Ok(outcome)
    }

    /// Takes up a run that is not in the table.
    fn track(
        &mut self,
        now: Ms,
        id: &str,
        heartbeat: &Heartbeat,
        generation: u8,
    ) -> Result<HeartbeatOutcome, HeartbeatError> {
        if !self.runners.contains_key(id) {
            self.evict_if_full()?;
        }
        let runner = runner_from_heartbeat(id, heartbeat, self.config.owner, heartbeat.draining);
        let entry = runner.state_entry(generation);
        let stamp = entry.stamp;
        self.runners
            .insert(id.into(), TrackedRunner::new(now, runner, stamp));
        Ok(HeartbeatOutcome {
            publish: Some(entry),
            draining: heartbeat.draining,
            stamp,
        })
    }

    fn unchanged(&self, id: &str) -> HeartbeatOutcome {
        let tracked = self.runners.get(id);
        HeartbeatOutcome {
            publish: None,
            draining: false,
            stamp: tracked.map_or(Stamp::default(), |tracked| tracked.stamp),
        }
    }

    /// A runner says that it ends: final for this run. What is to be published; none if that is
    /// known already, or the id is invalid, or the table is full.
    pub fn leave(&mut self, now: Ms, id: &str) -> Option<StateEntry> {
        self.start_grace_period(now);
        check_id(id).ok()?;
        let generation = self.current_run(id).map_or(0, |run| run.generation);
        let publish = self.mark_left(now, id, generation);
        if self.runners.contains_key(id) {
            self.record_run(id, generation, RunPhase::Left);
        }
        publish
    }

    /// Marks a run as one that left. What is to be published; none if it is marked already, or the
    /// table is full.
    fn mark_left(&mut self, now: Ms, id: &str, generation: u8) -> Option<StateEntry> {
        let stamp = stamp::left(generation);
        match self.runners.get_mut(id) {
            Some(tracked) if tracked.stamp >= stamp => return None,
            Some(tracked) => tracked.mark_gone(now, stamp),
            // Another controller may know it, so its departure is published all the same.
            None => {
                self.evict_if_full().ok()?;
                let runner = Runner::read(&tombstone(id, stamp)).ok()?;
                let tracked = TrackedRunner::new(now, runner, stamp);
                self.runners.insert(id.into(), tracked);
            }
        }
        Some(tombstone(id, stamp))
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
