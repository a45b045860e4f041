//! The maintenance plan as JSON and as text.

use super::ms;
use serde::{Deserialize, Serialize};
use std::fmt;

/// `GET /maintenance`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Maintenance {
    /// Names the plan, with the two that follow.
    pub id: u32,
    /// The dispatcher that it was submitted to.
    pub by: u16,
    /// The later one of two counts.
    pub version: u32,
    /// It was called off.
    pub cancelled: bool,
    /// All that went out are back here, and none is left.
    pub over: bool,
    /// No majority of the dispatchers is alive for this one: it sends none out.
    pub paused: bool,
    /// Targets that have gone out, of those below.
    pub gone: usize,
    /// The targets, in their order.
    pub targets: Vec<MaintenanceTarget>,
}

/// One target of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceTarget {
    /// Its name; empty if no list here has named it.
    pub target: String,
    /// `in`, `out`, `empty` or `back`, here.
    pub standing: maintenance::TargetState,
    /// Since when it has been out here, Unix time in milliseconds.
    pub since_ms: Option<u64>,
    /// Dispatchers alive that have not said that it is empty.
    pub not_empty: Vec<u16>,
    /// Dispatchers that may still leave it out.
    pub not_back: Vec<u16>,
}

impl fmt::Display for Maintenance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match (self.cancelled, self.over, self.paused) {
            (true, ..) => "called off",
            (_, true, _) => "over",
            (.., true) => "paused: no majority of the dispatchers is alive",
            _ => "under way",
        };
        let (id, by, gone, all) = (self.id, self.by, self.gone, self.targets.len());
        writeln!(
            f,
            "plan {id} of dispatcher {by}: {state}, {gone} of {all} have gone out"
        )?;
        for t in &self.targets {
            write!(f, "  {}: {}", t.target, t.standing.as_str())?;
            if !t.not_empty.is_empty() {
                write!(f, ", not empty at {:?}", t.not_empty)?;
            }
            if !t.not_back.is_empty() {
                write!(f, ", not back at {:?}", t.not_back)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl Maintenance {
    pub(crate) fn new(upkeep: &dispatcher_state::MaintenanceStatus) -> Self {
        let maintenance::Progress {
            plan,
            gone,
            over,
            paused,
            targets,
        } = upkeep.progress.clone();
        let target = |(name, t): (&String, maintenance::TargetProgress)| MaintenanceTarget {
            target: name.clone(),
            standing: t.state,
            since_ms: t.since.map(ms),
            not_empty: t.not_empty,
            not_back: t.not_back,
        };
        let targets = upkeep.names.iter().zip(targets).map(target).collect();
        let (id, by, version, cancelled) = (plan.id, plan.by, plan.version, plan.cancelled);
        Maintenance {
            id,
            by,
            version,
            cancelled,
            over,
            paused,
            gone,
            targets,
        }
    }
}
