//! All that a dispatcher keeps, and what can be asked of it without changing it.

use crate::connection_pool::ConnectionPool;
use crate::flows::Flows;
use crate::target_group::TargetGroup;
use crate::{JobCounters, MembershipSnapshot, StateConfig, StateSnapshot, TargetOverride};
use coordination::Coordinator;
use degradation::DegradingDispatcher;
use dispatch_api::{Action, Micros, PolicySnapshot, SettingsError};
use std::collections::BTreeSet;

/// The state of one dispatcher. [`crate::reduce`] alone changes it.
#[derive(Debug)]
pub struct State {
    pub(crate) config: StateConfig,
    pub(crate) policy: DegradingDispatcher,
    pub(crate) flows: Flows,
    pub(crate) targets: TargetGroup,
    pub(crate) pool: ConnectionPool,
    pub(crate) counters: JobCounters,
    /// When every flow that is still open is answered, since the program ends.
    pub(crate) answer_deadline: Option<Micros>,
    /// Membership and maintenance, which dispatchers agree on among themselves.
    pub(crate) coordinator: Coordinator,
    /// The time of the last input.
    pub(crate) now: Micros,
    /// Every time that the policy has asked to be woken at: it asks for none twice, so none may be
    /// dropped.
    pub(crate) wakes: BTreeSet<Micros>,
    /// Empty between calls; kept for its allocation.
    pub(crate) actions: Vec<Action>,
}

impl State {
    /// A state that knows of no target and no flow.
    ///
    /// # Errors
    /// The policy can't use the settings.
    pub fn new(config: StateConfig) -> Result<Self, SettingsError> {
        let settings = &config.settings;
        Ok(State {
            policy: DegradingDispatcher::new(settings.clone(), config.seed, config.levels.clone())?,
            flows: Flows::default(),
            targets: TargetGroup::default(),
            pool: ConnectionPool::new(config.idle),
            counters: JobCounters::new(settings.classes.len()),
            answer_deadline: None,
            coordinator: Coordinator::new(config.me, settings.dispatchers, config.seed),
            now: 0,
            wakes: BTreeSet::new(),
            actions: vec![],
            config,
        })
    }

    /// What operators can see.
    pub fn snapshot(&self) -> StateSnapshot {
        let status = self.policy.status();
        let members = self.coordinator.members();
        StateSnapshot {
            counts: self.counters.clone(),
            listed: self.targets.listed_count(),
            ejected: self.targets.disabled_count() + status.figures.ejected,
            members: members.map(|m| MembershipSnapshot::of(m, self.now)),
            maintenance: self.maintenance_status(),
            status,
        }
    }

    /// What the policy knows that a successor process can use.
    pub fn policy_snapshot(&self) -> PolicySnapshot {
        self.policy.known()
    }

    /// The latest override of each target that operators have ever overridden, by name.
    pub fn overrides(&self) -> impl Iterator<Item = (&str, TargetOverride)> {
        self.targets.overrides()
    }

    /// The override that results if operators disable or enable a target at this time; none if no
    /// list has ever named it. It is later than the one before, whatever the clock says.
    pub fn resolve_override(
        &self,
        target: &str,
        disabled: bool,
        now: Micros,
    ) -> Option<TargetOverride> {
        let before = self
            .is_known_target(target)
            .then(|| self.targets.override_of(target))?;
        let set_at = before.map_or(now, |b| now.max(b.set_at + 1));
        let disabled_since = before
            .filter(|b| b.disabled)
            .map_or(set_at, |b| b.disabled_since);
        Some(TargetOverride {
            disabled,
            set_at,
            disabled_since,
        })
    }

    /// Whether a list has ever named this target.
    pub fn is_known_target(&self, target: &str) -> bool {
        self.targets.is_known(target)
    }

    /// The level of service in force, where there are levels, and the last change of it.
    pub fn level(&self) -> Option<(&str, Option<&degradation::LevelChange>)> {
        self.policy.level()
    }

    /// When a [`crate::Input::Tick`] is wanted next.
    pub fn wake_at(&self) -> Option<Micros> {
        let policy = self.wakes.first().copied();
        [
            policy,
            self.pool.next_deadline(),
            self.coordinator.wake_at(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// The maintenance state that a successor process takes up; none without a plan.
    pub fn saved_maintenance(&self) -> Option<maintenance::SavedState> {
        self.coordinator.saved_state()
    }

    /// Whether that state has changed since the last call: it is to be saved before any other
    /// dispatcher is told.
    pub fn take_unsaved_change(&mut self) -> bool {
        self.coordinator.take_unsaved_change()
    }
}
