//! Maintenance as operators ask for it and see it: by names, where members go by marks.

use super::reducer::State;
use dispatch_api::load_exchange;
use maintenance::{Limits, Plan, Progress, Target, TargetState, MAX_KINDS};
use std::collections::BTreeMap;

/// A plan as operators want it.
#[derive(Debug, Clone, PartialEq)]
pub struct PlanRequest {
    /// Names of targets, in the order in which they go out.
    pub targets: Vec<String>,
    /// How many may be out together.
    pub out: u8,
    /// ... of one zone.
    pub zone: u8,
    /// ... and as a share of the targets of each kind; one of a kind may always go out.
    pub share: f64,
    /// A target that is not empty by then counts as empty.
    pub drain_ms: u32,
    /// A target is back by then at the latest.
    pub out_ms: u32,
    /// Names the plan.
    pub id: u32,
}

/// Why a plan is refused, with what would be right.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlanRequestError {
    /// Dispatchers don't settle anything here.
    #[error(
        "no maintenance here: it needs the blocks membership and handover of the operators' file"
    )]
    Off,
    /// One at a time.
    #[error("plan {id} of dispatcher {by} is under way; wait for it, or cancel it")]
    UnderWay {
        /// Its id.
        id: u32,
        /// The member that it was submitted to.
        by: u16,
    },
    /// A list has never named it, or it is gone.
    #[error("targets: {0:?} is not in the list")]
    Unknown(String),
    /// Nobody would be left to serve what only they can.
    #[error("targets: these are all of one kind ({0} of them); leave one out for a later plan")]
    Kind(usize),
    /// A share that makes no sense.
    #[error("share: must be above 0 and at most 1")]
    Share,
    /// Anything else.
    #[error(transparent)]
    Plan(#[from] maintenance::PlanError),
}

/// The plan that is known here, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MaintenanceStatus {
    /// How far it is.
    pub progress: Progress,
    /// The names of its targets, in order; those that no list here has named are empty.
    pub names: Vec<String>,
}

impl State {
    pub(super) fn maintenance_status(&self) -> Option<MaintenanceStatus> {
        let progress = self
            .coordinator
            .maintenance()?
            .progress(self.last_input_at())?;
        let name = |t: &Target| {
            self.targets()
                .named_by(t.name_hash)
                .unwrap_or_default()
                .to_owned()
        };
        Some(MaintenanceStatus {
            names: progress.plan.targets.iter().map(name).collect(),
            progress,
        })
    }

    /// What a plan that operators want comes to here.
    ///
    /// # Errors
    /// Why it is refused.
    pub fn build_plan(&self, wanted: &PlanRequest) -> Result<Plan, PlanRequestError> {
        let upkeep = self
            .coordinator
            .maintenance()
            .ok_or(PlanRequestError::Off)?;
        if let Some(kept) = upkeep.saved_state().filter(|_| upkeep.active()) {
            return Err(PlanRequestError::UnderWay {
                id: kept.plan.id,
                by: kept.plan.by,
            });
        }
        if !(wanted.share > 0.0 && wanted.share <= 1.0) {
            return Err(PlanRequestError::Share);
        }
        let listed: BTreeMap<&str, (u32, u32)> = self
            .targets()
            .all_listed()
            .map(|(name, l)| (name, (l.kind, l.zone)))
            .collect();
        let (mut kinds, mut zones, mut targets) = (vec![], vec![], vec![]);
        let place = |all: &mut Vec<u32>, one: u32| {
            all.iter()
                .position(|known| *known == one)
                .unwrap_or_else(|| {
                    all.push(one);
                    all.len() - 1
                })
        };
        for name in &wanted.targets {
            let (kind, zone) = *listed
                .get(name.as_str())
                .ok_or_else(|| PlanRequestError::Unknown(name.clone()))?;
            let (kind, zone) = (place(&mut kinds, kind), place(&mut zones, zone));
            let byte = |n: usize| u8::try_from(n).unwrap_or(u8::MAX);
            targets.push(Target {
                name_hash: load_exchange::name_hash(name),
                kind: byte(kind),
                zone: byte(zone),
            });
        }
        let mut limits = vec![];
        for (at, kind) in kinds.iter().enumerate().take(MAX_KINDS + 1) {
            let all = listed.values().filter(|(k, _)| k == kind).count();
            if targets.iter().filter(|t| usize::from(t.kind) == at).count() >= all {
                return Err(PlanRequestError::Kind(all));
            }
            limits.push(((all as f64 * wanted.share) as u8).max(1));
        }
        let limits = Limits {
            out: wanted.out,
            zone: wanted.zone,
            kinds: limits,
        };
        let (version, by, cancelled) = (0, 0, false);
        let PlanRequest {
            drain_ms,
            out_ms,
            id,
            ..
        } = *wanted;
        let plan = Plan {
            version,
            by,
            id,
            limits,
            drain_ms,
            out_ms,
            cancelled,
            targets,
        };
        plan.validate()?;
        Ok(plan)
    }

    /// Whether a plan is under way.
    pub fn has_active_plan(&self) -> bool {
        self.coordinator
            .maintenance()
            .is_some_and(maintenance::Maintenance::active)
    }

    /// Whether this target is out by a plan, so that work on it can be done.
    pub fn is_out_by_plan(&self, target: &str) -> bool {
        let name_hash = load_exchange::name_hash(target);
        let standing = |p: Progress| {
            p.targets
                .into_iter()
                .find(|t| t.name_hash == name_hash)
                .map(|t| t.standing)
        };
        let upkeep = self
            .coordinator
            .maintenance()
            .and_then(|u| u.progress(self.last_input_at()));
        matches!(
            upkeep.and_then(standing),
            Some(TargetState::Out | TargetState::Empty)
        )
    }
}
