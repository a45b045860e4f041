//! The settings of the dispatch policy: what the site permits, what it costs, and what is judged.
//!
//! The names in [`SettingsError::BadFigure`] are those that users see; they are not the fields' names.

use crate::{JobClass, Micros, Tenant};

/// What the service is judged by: the weights of the parts of its objective.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectiveWeights {
    /// Everything together.
    pub overall: f64,
    /// The worst ten seconds.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant.
    pub worst_tenant: f64,
}

/// How the list of workers is learned from service discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// Changes are pushed.
    Pushed,
    /// Changes arrive on a watch that was started by [`crate::Action::WatchWorkers`].
    OnRequest {
        /// The longest time without a watch or a call, microseconds.
        watch_within: Micros,
    },
}

/// Where load reports come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadReporting {
    /// There are none.
    None,
    /// With every outcome and every probe.
    Outcomes,
    /// With probes only.
    Probes,
}

/// What the site permits, and what it costs.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Attempts of one job, the first included.
    pub attempts: u32,
    /// Two attempts of a job may be in flight at a time (hedging).
    pub concurrent_attempts: bool,
    /// [`crate::Action::CancelAttempt`] is permitted.
    pub cancel: bool,
    /// [`crate::Action::Probe`] is permitted.
    pub probe: bool,
    /// What one probe a job would cost, as a share of all value.
    pub probe_price: f64,
    /// What it would cost if each job crossed zones, as a share of all value.
    pub cross_zone_price: f64,
    /// What a new connection a job would cost, as a share of all value.
    pub connect_price: f64,
    /// An idle connection is closed after this, microseconds.
    pub connection_idle: Micros,
    /// Entries of one [`crate::Action::PublishLoad`]; 0 where dispatchers can't reach each other.
    pub tell: usize,
    /// What one entry a job sent to one dispatcher would cost, as a share of all value.
    pub peer_price: f64,
    /// The longest retry-after that a client obeys, microseconds; none where clients get none.
    pub retry_after: Option<Micros>,
}

/// A retry budget: it bounds the attempts beyond each job's first within any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Permitted however few jobs were accepted.
    pub minimum: u32,
    /// ... and so many more for each job accepted in the window.
    pub ratio: f64,
    /// The window, microseconds.
    pub window: Micros,
}

/// The figures of the site's rules for retries, draining and slow start.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Slow start: a worker has its full capacity this long, microseconds, after its start at the
    /// latest.
    pub warm_up: Micros,
    /// Share of its capacity that a worker has when it starts, 0 to 1.
    pub start_capacity: f64,
    /// A worker in slow start that is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long, microseconds, fails.
    pub overload_window: Micros,
    /// The retry budget, where the site states one.
    pub retry_budget: Option<RetryBudget>,
    /// A rejection by a worker ([`crate::Outcome::Rejected`]) leaves open whether the job ran.
    pub refusal_inconclusive: bool,
    /// Idle connections to a draining worker are closed within this, microseconds, where the site
    /// states it.
    pub close_on_drain: Option<Micros>,
}

/// The settings of one instance of the policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Dispatchers that send to the same workers, this one included; at least 1.
    pub dispatchers: u32,
    /// The zone of this dispatcher, by number.
    pub zone: u32,
    /// Classes of jobs; jobs name them by position.
    pub classes: Vec<JobClass>,
    /// Tenants, if any; jobs name them by position.
    pub tenants: Vec<Tenant>,
    /// What the service is judged by.
    pub goal: ObjectiveWeights,
    /// Value counts by work instead of by job.
    pub value_by_work: bool,
    /// Share of its value that a job over its tenant's quota keeps, 0 to 1.
    pub over_share_value: f64,
    /// What it costs if as much work is wasted as was requested, as a share of all value.
    pub waste_price: f64,
    /// How workers are learned.
    pub discovery: Discovery,
    /// Where load reports come from.
    pub reports: LoadReporting,
    /// Workers notify the dispatcher when a job starts.
    pub start_notices: bool,
    /// Workers report a running job's progress this often, microseconds; none if they do not.
    pub progress_every: Option<Micros>,
    /// A worker's weight in the list is its size divided by 1 + the requests per core that it had
    /// outstanding some time ago.
    pub live_weights: bool,
    /// What is permitted.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// The coarsest step of the clock, microseconds.
    pub tick: Micros,
}

/// Why settings can't be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// They count no dispatcher.
    #[error("settings count no dispatcher")]
    NoDispatchers,
    /// They name no class.
    #[error("settings name no class of jobs")]
    NoClasses,
    /// They allow no attempt: a job could never be sent.
    #[error("settings allow no attempt")]
    NoAttempts,
    /// A figure is negative, not a number or out of its range; the settings file knows it by this
    /// name.
    #[error("settings hold an unusable figure for {0}")]
    BadFigure(&'static str),
}

impl Settings {
    /// Whether a class runs on this machine kind alone.
    pub fn has_dedicated_class(&self, kind: u32) -> bool {
        self.classes.iter().any(|c| c.kind == Some(kind))
    }

    /// Checks that the settings can be used.
    ///
    /// # Errors
    /// The first fault found.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.dispatchers == 0 {
            return Err(SettingsError::NoDispatchers);
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.limits.attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        for class in &self.classes {
            check(class.latency_target > 0, "aim")?;
            check(class.client_timeout > 0, "give_up")?;
            check_not_negative(class.target_stretch, "stretch")?;
            check_not_negative(class.job_value, "worth")?;
            check_share(class.late_value_share, "late_worth")?;
        }
        for tenant in &self.tenants {
            check_not_negative(tenant.quota_per_s, "quota_per_s")?;
            check_not_negative(tenant.share, "share")?;
        }
        check_not_negative(self.goal.overall, "overall")?;
        check_not_negative(self.goal.worst_window, "worst_window")?;
        check_not_negative(self.goal.worst_class, "worst_class")?;
        check_not_negative(self.goal.worst_tenant, "worst_tenant")?;
        check_not_negative(self.limits.probe_price, "probe_price")?;
        check_not_negative(self.limits.peer_price, "tell_price")?;
        check_not_negative(self.limits.cross_zone_price, "cross_zone_price")?;
        check_not_negative(self.limits.connect_price, "connect_price")?;
        check_not_negative(self.waste_price, "waste_price")?;
        check_share(self.over_share_value, "over_share_worth")?;
        self.rules.validate()
    }
}

impl Rules {
    fn validate(&self) -> Result<(), SettingsError> {
        check_share(self.start_capacity, "start_capacity")?;
        check_not_negative(self.overload_multiple, "tip_multiple")?;
        check(self.close_on_drain.is_none_or(|t| t > 0), "close_on_drain")?;
        if let Some(budget) = &self.retry_budget {
            check(budget.window > 0, "retry_budget.window")?;
            check_not_negative(budget.ratio, "retry_budget.ratio")?;
        }
        Ok(())
    }
}

fn check(sound: bool, name: &'static str) -> Result<(), SettingsError> {
    if sound {
        Ok(())
    } else {
        Err(SettingsError::BadFigure(name))
    }
}

fn check_not_negative(value: f64, name: &'static str) -> Result<(), SettingsError> {
    check(value.is_finite() && value >= 0.0, name)
}

fn check_share(value: f64, name: &'static str) -> Result<(), SettingsError> {
    check((0.0..=1.0).contains(&value), name)
}
