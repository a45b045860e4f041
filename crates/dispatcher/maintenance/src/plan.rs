//! A plan: which targets, in which order, and how many of them may be out together. What may go out next is a function of
//! the plan and of what is out, the same at every member.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Targets of one plan at most: it travels in one datagram.
pub const MAX_TARGETS: usize = 24;
/// Kinds that a plan tells apart at most.
pub const MAX_KINDS: usize = 8;

/// One target of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// What dispatchers call it among themselves.
    #[serde(rename = "mark")]
    pub name_hash: u32,
    /// Its kind: a position in [`Limits::kinds`].
    pub kind: u8,
    /// Its zone, by number.
    pub zone: u8,
}

/// How many may be out together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Of all, at least 1.
    pub out: u8,
    /// Of one zone, at least 1.
    pub zone: u8,
    /// Of each kind, at least 1.
    pub kinds: Vec<u8>,
}

/// What the operators want.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// One above that of any plan its submitter had heard of.
    pub version: u32,
    /// The member that it was submitted to.
    pub by: u16,
    /// Names this plan among others of the same version and submitter.
    pub id: u32,
    /// How many may be out together.
    pub limits: Limits,
    /// A target that is not empty by then counts as empty, milliseconds from its going out.
    pub drain_ms: u32,
    /// A target is back by then at the latest, milliseconds likewise.
    pub out_ms: u32,
    /// Called off: all come back.
    pub cancelled: bool,
    /// In the order in which they go out.
    pub targets: Vec<Target>,
}

/// Why a plan can't be followed; each says what would be right.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// None or too many.
    #[error("targets: {0} of them; 1 to {MAX_TARGETS} go into one plan")]
    Targets(usize),
    /// A target twice.
    #[error("targets: one is named twice")]
    Twice,
    /// A limit of none.
    #[error("limits.{0}: must be 1 or more, or nothing could ever go out")]
    Limit(&'static str),
    /// A kind that no limit is there for, or too many of them.
    #[error("limits.kinds: there are {0}; one for each kind is wanted, {MAX_KINDS} at most")]
    Kinds(usize),
    /// Times that make no sense.
    #[error("out_ms: must be above drain_ms, and that 250 or more")]
    Times,
}

impl Plan {
    /// Whether it can be followed.
    ///
    /// # Errors
    /// The first thing that is wrong.
    pub fn validate(&self) -> Result<(), PlanError> {
        let Limits { out, zone, kinds } = &self.limits;
        if !(1..=MAX_TARGETS).contains(&self.targets.len()) {
            return Err(PlanError::Targets(self.targets.len()));
        }
        if self
            .targets
            .iter()
            .map(|t| t.name_hash)
            .collect::<BTreeSet<_>>()
            .len()
            < self.targets.len()
        {
            return Err(PlanError::Twice);
        }
        if *out == 0 || *zone == 0 {
            return Err(PlanError::Limit(if *out == 0 { "out" } else { "zone" }));
        }
        if kinds.contains(&0) {
            return Err(PlanError::Limit("kinds"));
        }
        let unknown = self
            .targets
            .iter()
            .any(|t| usize::from(t.kind) >= kinds.len());
        if kinds.len() > MAX_KINDS || unknown {
            return Err(PlanError::Kinds(kinds.len()));
        }
        if self.drain_ms < 250 || self.out_ms <= self.drain_ms {
            return Err(PlanError::Times);
        }
        Ok(())
    }

    /// Whether it takes the place of another: the later version, of two alike that of the member with the lower number.
    pub fn supersedes(&self, other: &Plan) -> bool {
        let rank = |p: &Plan| (p.version, u16::MAX - p.by, p.id);
        rank(self) > rank(other)
    }

    /// Whether both are the same plan, cancelled or not.
    pub fn is_same_plan(&self, other: &Plan) -> bool {
        (self.version, self.by, self.id) == (other.version, other.by, other.id)
    }

    /// Whether this target may go out while those are.
    pub fn may_take_out(&self, next: usize, out: &[usize]) -> bool {
        let Some(target) = self.targets.get(next) else {
            return false;
        };
        let among = |same: &dyn Fn(&Target) -> bool| {
            out.iter()
                .filter_map(|at| self.targets.get(*at))
                .filter(|t| same(t))
                .count()
        };
        let room = |limit: u8, taken: usize| taken < usize::from(limit);
        let kind = self
            .limits
            .kinds
            .get(usize::from(target.kind))
            .copied()
            .unwrap_or(0);
        room(self.limits.out, out.len())
            && room(self.limits.zone, among(&|t| t.zone == target.zone))
            && room(kind, among(&|t| t.kind == target.kind))
    }
}
