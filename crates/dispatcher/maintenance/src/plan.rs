//! A plan: which targets are taken out of service, in which order, and how many at a time. Which may be
//! taken out next is a function of the plan and of what is out, the same at every member.

use dispatch_api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Targets of one plan at the most: it travels in one datagram.
pub const MAX_TARGETS: usize = 24;
/// Machine kinds that a plan tells apart at the most.
pub const MAX_KINDS: usize = 8;

/// One target of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The hash of its name.
    #[serde(rename = "mark")]
    pub name_hash: u32,
    /// Its machine kind: a position in [`Limits::kinds`].
    pub kind: u8,
    /// Its zone, by number.
    pub zone: u8,
}

/// How many targets may be out of service at a time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Of all, at least 1.
    pub out: u8,
    /// Of one zone, at least 1.
    pub zone: u8,
    /// Of each kind, at least 1.
    pub kinds: Vec<u8>,
}

/// What tells one plan from another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanId {
    /// [`Plan::version`].
    pub version: u32,
    /// [`Plan::by`].
    pub by: u16,
    /// [`Plan::id`].
    pub id: u32,
}

/// A plan of operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// One above that of any plan that its submitter knew.
    pub version: u32,
    /// The member that it was submitted to.
    pub by: u16,
    /// Tells it from other plans of the same version and submitter.
    pub id: u32,
    /// How many may be out of service at a time.
    pub limits: Limits,
    /// A target that is not drained after this, milliseconds, counts as drained.
    pub drain_ms: u32,
    /// A target is back in service after this, milliseconds, at the latest.
    pub out_ms: u32,
    /// It is cancelled: all targets come back.
    pub cancelled: bool,
    /// In the order in which they are taken out.
    pub targets: Vec<Target>,
}

/// Why a plan is invalid; each says what would be right.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlanError {
    /// No target, or too many.
    #[error("targets: {0} of them; 1 to {MAX_TARGETS} go into one plan")]
    Targets(usize),
    /// A target is named twice.
    #[error("targets: one is named twice")]
    Twice,
    /// A limit of 0.
    #[error("limits.{0}: must be 1 or more, or nothing could ever go out")]
    Limit(&'static str),
    /// A kind without a limit, or too many kinds.
    #[error("limits.kinds: there are {0}; one for each kind is wanted, {MAX_KINDS} at most")]
    Kinds(usize),
    /// Times that contradict each other.
    #[error("out_ms: must be above drain_ms, and that 250 or more")]
    Times,
}

impl Plan {
    /// Checks that it can be followed.
    ///
    /// # Errors
    /// The first fault found.
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

    /// Whether it takes the place of another one: the later version does, and of two equal ones that
    /// of the member with the lower number.
    pub fn supersedes(&self, other: &Plan) -> bool {
        let rank = |p: &Plan| (p.version, u16::MAX - p.by, p.id);
        rank(self) > rank(other)
    }

    /// Its identity, the same whether it is cancelled or not.
    pub fn id(&self) -> PlanId {
        PlanId {
            version: self.version,
            by: self.by,
            id: self.id,
        }
    }

    /// [`Plan::drain_ms`] in microseconds.
    pub(crate) fn drain_limit(&self) -> Micros {
        Micros::from(self.drain_ms) * 1_000
    }

    /// [`Plan::out_ms`] in microseconds.
    pub(crate) fn out_limit(&self) -> Micros {
        Micros::from(self.out_ms) * 1_000
    }

    /// Whether the target at this position may be taken out while those at the other positions are.
    pub fn may_take_out(&self, next: usize, out: &[usize]) -> bool {
        let Some(target) = self.targets.get(next) else {
            return false;
        };
        let out_targets = || {
            out.iter()
                .filter_map(|position| self.targets.get(*position))
        };
        let of_zone = out_targets().filter(|t| t.zone == target.zone).count();
        let of_kind = out_targets().filter(|t| t.kind == target.kind).count();
        let allows = |limit: u8, taken: usize| taken < usize::from(limit);
        let kind = self.limits.kinds.get(usize::from(target.kind)).copied();
        allows(self.limits.out, out.len())
            && allows(self.limits.zone, of_zone)
            && allows(kind.unwrap_or(0), of_kind)
    }
}
