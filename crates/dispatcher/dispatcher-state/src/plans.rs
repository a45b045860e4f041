//! Maintenance plans as operators submit and see them: by the names of targets, where dispatchers use
//! hashes of the names among themselves.

use crate::State;
use dispatch_api::load_exchange::name_hash;
use maintenance::{Limits, Maintenance, Plan, Progress, Target, TargetState, MAX_KINDS};
use std::collections::BTreeMap;

/// A plan as operators submit it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanRequest {
    /// Names of targets, in the order in which they are taken out of service.
    pub targets: Vec<String>,
    /// How many may be out of service at a time.
    pub out: u8,
    /// ... of one zone.
    pub zone: u8,
    /// ... as a share of the targets of each kind, above 0 and at most 1; one of a kind may always
    /// be out.
    pub share: f64,
    /// A target that is not drained after this, milliseconds, counts as drained.
    pub drain_ms: u32,
    /// A target is back in service after this, milliseconds, at the latest.
    pub out_ms: u32,
    /// A number to know the plan by.
    pub id: u32,
}

/// Why a plan is refused, with what would be right.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlanRequestError {
    /// This dispatcher takes part in no maintenance.
    #[error(
        "no maintenance here: it needs the blocks membership and handover of the operators' file"
    )]
    Off,
    /// Another plan is active.
    #[error("plan {id} of dispatcher {by} is under way; wait for it, or cancel it")]
    UnderWay {
        /// Its id.
        id: u32,
        /// The dispatcher that it was submitted to.
        by: u16,
    },
    /// The target is not in the endpoint list.
    #[error("targets: {0:?} is not in the list")]
    Unknown(String),
    /// The plan names every target of a kind, so that none would be left to serve what only they can.
    #[error("targets: these are all of one kind ({0} of them); leave one out for a later plan")]
    Kind(usize),
    /// The share is out of its range.
    #[error("share: must be above 0 and at most 1")]
    Share,
    /// The plan itself is invalid.
    #[error(transparent)]
    Plan(#[from] maintenance::PlanError),
}

/// The plan that is known here, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceStatus {
    /// How far it has come.
    pub progress: Progress,
    /// The names of its targets, in order; empty for those that no list here has ever named.
    pub names: Vec<String>,
}

/// Numbers for values in the order in which they first occur.
#[derive(Debug, Default)]
struct Numbering(Vec<u32>);

impl Numbering {
    /// The number of a value. What does not fit into a byte makes a plan that is invalid anyway.
    fn number(&mut self, value: u32) -> u8 {
        let known = self.0.iter().position(|known| *known == value);
        let number = known.unwrap_or_else(|| {
            self.0.push(value);
            self.0.len() - 1
        });
        u8::try_from(number).unwrap_or(u8::MAX)
    }
}

/// Where a target is and of which kind, by the list.
#[derive(Debug, Clone, Copy)]
struct Location {
    kind: u32,
    zone: u32,
}

impl State {
    pub(crate) fn maintenance_status(&self) -> Option<MaintenanceStatus> {
        let progress = self.coordinator.maintenance()?.progress(self.now)?;
        let name = |target: &Target| self.targets.name_of(target.name_hash).unwrap_or_default();
        let targets = progress.plan.targets.iter();
        Some(MaintenanceStatus {
            names: targets.map(|target| name(target).to_owned()).collect(),
            progress,
        })
    }

    /// The plan that a request of operators comes to here.
    ///
    /// # Errors
    /// The request can't be followed, or another plan is active.
    pub fn build_plan(&self, request: &PlanRequest) -> Result<Plan, PlanRequestError> {
        let maintenance = self.coordinator.maintenance();
        let maintenance = maintenance.ok_or(PlanRequestError::Off)?;
        if let Some(active) = maintenance.saved_state().filter(|_| maintenance.active()) {
            return Err(PlanRequestError::UnderWay {
                id: active.plan.id,
                by: active.plan.by,
            });
        }
        if !(request.share > 0.0 && request.share <= 1.0) {
            return Err(PlanRequestError::Share);
        }
        let (targets, kinds) = self.plan_targets(request)?;
        let plan = Plan {
            version: 0,
            by: 0,
            id: request.id,
            limits: Limits {
                out: request.out,
                zone: request.zone,
                kinds,
            },
            drain_ms: request.drain_ms,
            out_ms: request.out_ms,
            cancelled: false,
            targets,
        };
        plan.validate()?;
        Ok(plan)
    }

    /// The targets of a requested plan, and how many of each of their kinds may be out at a time.
    fn plan_targets(
        &self,
        request: &PlanRequest,
    ) -> Result<(Vec<Target>, Vec<u8>), PlanRequestError> {
        let listed: BTreeMap<&str, Location> = self
            .targets
            .listed_entries()
            .map(|(name, &dispatch_api::WorkerEntry { kind, zone, .. })| {
                (name, Location { kind, zone })
            })
            .collect();
        let (mut kinds, mut zones) = (Numbering::default(), Numbering::default());
        let mut targets = vec![];
        for name in &request.targets {
            let location = listed
                .get(name.as_str())
                .ok_or_else(|| PlanRequestError::Unknown(name.clone()))?;
            targets.push(Target {
                name_hash: name_hash(name),
                kind: kinds.number(location.kind),
                zone: zones.number(location.zone),
            });
        }
        let mut limits = vec![];
        // One more than a plan may have, so that a plan with too many kinds is found to be invalid.
        for (number, kind) in kinds.0.iter().enumerate().take(MAX_KINDS + 1) {
            let all = listed.values().filter(|l| l.kind == *kind).count();
            let planned = targets.iter().filter(|t| usize::from(t.kind) == number);
            if planned.count() >= all {
                return Err(PlanRequestError::Kind(all));
            }
            limits.push(((all as f64 * request.share) as u8).max(1));
        }
        Ok((targets, limits))
    }

    /// Whether a plan is active.
    pub fn has_active_plan(&self) -> bool {
        let maintenance = self.coordinator.maintenance();
        maintenance.is_some_and(Maintenance::active)
    }

    /// Whether this target is out of service by a plan, so that work on it can be reported as done.
    pub fn is_out_by_plan(&self, target: &str) -> bool {
        let maintenance = self.coordinator.maintenance();
        let Some(progress) = maintenance.and_then(|m| m.progress(self.now)) else {
            return false;
        };
        let name_hash = name_hash(target);
        let target = progress.targets.iter().find(|t| t.name_hash == name_hash);
        target.is_some_and(|t| matches!(t.state, TargetState::Draining | TargetState::Drained))
    }
}
