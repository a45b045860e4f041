//! What operators see of a plan, and what one process leaves to the next.

use crate::{Maintenance, Plan, StateReport, TargetState};
use dispatch_api::Micros;
use serde::{Deserialize, Serialize};

/// A target of the plan, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetProgress {
    /// The hash of its name.
    #[serde(rename = "mark")]
    pub name_hash: u32,
    /// Its state here.
    #[serde(rename = "standing")]
    pub state: TargetState,
    /// Since when it has been out of service here, Unix time in microseconds; none if it is not.
    pub since: Option<Micros>,
    /// Live members that have not reported that it is drained.
    pub not_empty: Vec<u16>,
    /// Members that have not reported that it is back, or which may still have it out.
    pub not_back: Vec<u16>,
}

/// How far the plan has come, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The plan.
    pub plan: Plan,
    /// Targets that have been taken out, of those in the plan.
    pub gone: usize,
    /// All targets were taken out and are back, or the plan is cancelled.
    pub over: bool,
    /// No majority of the members is alive for this one: no further target is taken out.
    pub paused: bool,
    /// The targets, in the order of the plan.
    pub targets: Vec<TargetProgress>,
}

/// What one process leaves to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// The plan.
    pub plan: Plan,
    /// Targets that had been taken out.
    pub gone: usize,
    /// What it reported of each target.
    #[serde(rename = "words")]
    pub report: StateReport,
    /// When each target was taken out here, Unix time in microseconds: one whose time has passed
    /// since then is back in service.
    pub since: Vec<Option<Micros>>,
}

impl Maintenance {
    /// What operators see; none where no plan is known.
    pub fn progress(&self, now: Micros) -> Option<Progress> {
        let plan = self.plan.clone()?;
        let targets = plan.targets.iter().enumerate();
        let targets = targets.map(|(position, target)| TargetProgress {
            name_hash: target.name_hash,
            state: self.own_state(position),
            since: self.out_since(position),
            not_empty: self.not_drained(position),
            not_back: self.not_returned(now, position),
        });
        Some(Progress {
            targets: targets.collect(),
            gone: self.taken_out,
            over: self.is_over(),
            paused: !self.has_majority(),
            plan,
        })
    }

    fn out_since(&self, position: usize) -> Option<Micros> {
        let out = self.own_state(position) < TargetState::Returned;
        self.since[position].filter(|_| out)
    }

    fn not_drained(&self, position: usize) -> Vec<u16> {
        let alive = (0..self.members).filter(|m| !self.dead.contains_key(m));
        let out = position < self.taken_out;
        let drained = |m: &u16| self.state_at(*m, position) >= TargetState::Drained;
        alive.filter(|m| out && !drained(m)).collect()
    }

    fn not_returned(&self, now: Micros, position: usize) -> Vec<u16> {
        let out = position < self.taken_out;
        let returned = |m: &u16| self.has_returned(now, *m, position);
        (0..self.members).filter(|m| out && !returned(m)).collect()
    }

    /// What a successor process takes up; none where no plan is known.
    pub fn saved_state(&self) -> Option<SavedState> {
        self.plan.clone().map(|plan| SavedState {
            plan,
            gone: self.taken_out,
            report: self.own_report(),
            since: self.since.clone(),
        })
    }

    /// Takes up what a process before this one saved: what it had out is out again before anything is
    /// sent.
    pub fn restore(&mut self, now: Micros, saved: SavedState) -> Vec<crate::Effect> {
        let SavedState {
            plan,
            gone,
            report,
            mut since,
        } = saved;
        let known = self.plan.as_ref();
        if known.is_some_and(|known| known.id() == plan.id()) {
            // Of another process of this dispatcher, which is alive: it speaks for both.
            self.plan
                .iter_mut()
                .for_each(|p| p.cancelled |= plan.cancelled);
            self.taken_out = self.taken_out.max(gone).min(self.since.len());
            let merged = self.own_report().merge(report);
            self.reports.insert(self.me, merged);
            self.follow(now);
        } else if plan.validate().is_ok() && known.is_none_or(|known| plan.supersedes(known)) {
            let targets = plan.targets.len();
            self.adopt(plan);
            since.resize(targets, None);
            // A clock that was set back since keeps no target out for longer than it may be.
            since
                .iter_mut()
                .flatten()
                .for_each(|at| *at = (*at).min(now));
            (self.taken_out, self.since) = (gone.min(targets), since);
            self.reports.insert(self.me, report);
            self.follow(now);
        }
        self.take_effects()
    }
}
