//! The state of a target at one member, and what a member reports of all targets.

use crate::plan::MAX_TARGETS;
use serde::{Deserialize, Serialize};

/// The state of a target of the plan at one member. It only ever advances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetState {
    /// It has not been taken out of service.
    #[serde(rename = "in")]
    InService,
    /// It gets nothing new.
    #[serde(rename = "out")]
    Draining,
    /// ... and nothing is in flight there.
    #[serde(rename = "empty")]
    Drained,
    /// It is back in service.
    #[serde(rename = "back")]
    Returned,
}

impl TargetState {
    const ALL: [TargetState; 4] = [
        TargetState::InService,
        TargetState::Draining,
        TargetState::Drained,
        TargetState::Returned,
    ];

    /// Its name in JSON and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            TargetState::InService => "in",
            TargetState::Draining => "out",
            TargetState::Drained => "empty",
            TargetState::Returned => "back",
        }
    }
}

/// What one member reports of each target of the plan: a [`TargetState`] in two bits a target, the
/// first target in the lowest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StateReport(pub u64);

impl StateReport {
    /// The state of the target at this position of the plan.
    pub fn state(self, position: usize) -> TargetState {
        TargetState::ALL[(self.0 >> (2 * position) & 3) as usize]
    }

    /// The report with another state of one target.
    pub fn with(self, position: usize, state: TargetState) -> Self {
        let shift = 2 * position;
        StateReport(self.0 & !(3 << shift) | (state as u64) << shift)
    }

    /// The later state of each target.
    pub fn merge(self, other: Self) -> Self {
        (0..MAX_TARGETS).fold(StateReport(0), |merged, position| {
            let later = self.state(position).max(other.state(position));
            merged.with(position, later)
        })
    }
}
