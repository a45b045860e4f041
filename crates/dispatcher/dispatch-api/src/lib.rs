//! The interface of the decisions: settings, events and actions, and nothing that decides.
//!
//! [`load_exchange`] is what dispatchers tell each other.

mod known;
pub mod load_exchange;

pub use known::{ClassSnapshot, PolicySnapshot, WorkerSnapshot};

use std::fmt;
use std::sync::Arc;

/// A time or a span, in whole microseconds. Times count from any fixed origin.
pub type Micros = u64;

/// One job, as the caller numbers it. A number never returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// One worker, as the caller numbers it. A worker keeps its number when its process restarts.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// What a repeat of a job does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it twice is harmless.
    Idempotent,
    /// It carries a key: workers of the scope drop a repeat for `memory` after the first attempt was sent.
    Keyed {
        /// The workers that share the memory of keys.
        scope: DeduplicationScope,
        /// How long they remember.
        memory: Micros,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// The workers that drop each other's repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// A class of jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct JobClass {
    /// Full worth is earned within `aim` plus `stretch` times the job's own work.
    pub latency_target: Micros,
    /// See `aim`.
    pub target_stretch: f64,
    /// How long a client waits in all.
    pub client_timeout: Micros,
    /// Worth of an answer in time.
    pub job_value: f64,
    /// Share of the worth that a late answer earns.
    pub late_value_share: f64,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// The only kind of worker that runs it, or any.
    pub kind: Option<u32>,
}

/// A tenant and its share.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Jobs a second within its share, over all dispatchers.
    pub quota_per_s: f64,
    /// Its share of the service, 0 to 1.
    pub share: f64,
}

/// What the service is judged by: weights of its parts.
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

/// How the list of workers is learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    Pushed,
    /// Changes arrive after [`Action::WatchWorkers`]; an instance must not go unasked for longer than this.
    OnRequest {
        /// The longest time without a subscription or a call.
        watch_within: Micros,
    },
}

/// How a call to discovery, or a watch there, was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// No answer came in time, and no word either that discovery is down or has too many callers: the way there is broken,
    /// and nobody else's need be.
    TimedOut,
    /// Anything else: it was refused, or broke off, which others may see at the same time.
    Failed,
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

/// What the site permits.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Attempts for one job.
    pub attempts: u32,
    /// Two attempts of a job may be in flight together.
    pub concurrent_attempts: bool,
    /// [`Action::CancelAttempt`] is permitted.
    pub cancel: bool,
    /// [`Action::Probe`] is permitted.
    pub probe: bool,
    /// What one probe for each job would cost, as a share of all worth.
    pub probe_price: f64,
    /// What it would cost if each job crossed zones, as a share of all worth.
    pub cross_zone_price: f64,
    /// What a new connection for each job would cost, as a share of all worth.
    pub connect_price: f64,
    /// A connection that carries nothing is closed after this.
    pub connection_idle: Micros,
    /// Entries of one [`Action::PublishLoad`]; 0 where dispatchers can't talk to each other.
    pub tell: usize,
    /// What one entry told to one dispatcher for each job would cost, as a share of all worth.
    pub peer_price: f64,
    /// Longest retry-after that a client keeps to; none where clients are not given one.
    pub retry_after: Option<Micros>,
}

/// A retry budget: attempts beyond each job's first within any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// So many are permitted however few jobs were taken.
    pub minimum: u32,
    /// ... and so many more for each job taken in the window.
    pub ratio: f64,
    /// The window.
    pub window: Micros,
}

/// The figures of the rules for repeats, drains and cold workers.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// A worker is warm this long after its start at the latest.
    pub warm_up: Micros,
    /// Share of its capacity that a worker has when it starts.
    pub start_capacity: f64,
    /// A cold worker sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long falls over.
    pub overload_window: Micros,
    /// Bounds attempts beyond each job's first, where the site states it.
    pub retry_budget: Option<RetryBudget>,
    /// A refusal by a worker ([`Outcome::Rejected`]) leaves open whether the job ran.
    pub refusal_inconclusive: bool,
    /// Idle connections to a draining worker are closed within this, where the site states it.
    pub close_on_drain: Option<Micros>,
}

/// What an instance is told when it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Dispatchers that send to the same workers, this one included.
    pub dispatchers: u32,
    /// The zone of this one.
    pub zone: u32,
    /// Classes of jobs; jobs name them by index.
    pub classes: Vec<JobClass>,
    /// Tenants, if any; jobs name them by index.
    pub tenants: Vec<Tenant>,
    /// What the service is judged by.
    pub goal: ObjectiveWeights,
    /// Worth counts by work instead of by job.
    pub value_by_work: bool,
    /// Share of its worth that a job over its tenant's share keeps.
    pub over_share_value: f64,
    /// What it costs if as much work is wasted as was asked for, as a share of all worth.
    pub waste_price: f64,
    /// How workers are learned.
    pub discovery: Discovery,
    /// Where load reports come from.
    pub reports: LoadReporting,
    /// Workers tell when a job starts.
    pub start_notices: bool,
    /// Workers tell a running job's progress this often.
    pub progress_every: Option<Micros>,
    /// The list gives each worker its size, divided by 1 + the requests that it held for each core some time ago.
    pub live_weights: bool,
    /// What is permitted.
    pub limits: Limits,
    /// The figures of the rules.
    pub rules: Rules,
    /// The coarsest step of the clock.
    pub tick: Micros,
}

/// Why settings can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// No dispatcher is counted.
    NoDispatchers,
    /// No class is named.
    NoClasses,
    /// A job could never be sent.
    NoAttempts,
    /// A figure is negative, not a number or out of its range; the text names it.
    BadFigure(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::NoDispatchers => write!(f, "settings count no dispatcher"),
            SettingsError::NoClasses => write!(f, "settings name no class of jobs"),
            SettingsError::NoAttempts => write!(f, "settings allow no attempt"),
            SettingsError::BadFigure(name) => {
                write!(f, "settings hold an unusable figure for {name}")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Whether some class runs on this machine kind alone.
    pub fn has_dedicated_class(&self, kind: u32) -> bool {
        self.classes.iter().any(|c| c.kind == Some(kind))
    }

    /// Tells whether the settings can be used.
    ///
    /// # Errors
    /// The first fault found.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let at_least_zero = |v: f64| v.is_finite() && v >= 0.0;
        let share = |v: f64| (0.0..=1.0).contains(&v);
        let check = |ok: bool, name| {
            if ok {
                Ok(())
            } else {
                Err(SettingsError::BadFigure(name))
            }
        };
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
            check(at_least_zero(class.target_stretch), "stretch")?;
            check(at_least_zero(class.job_value), "worth")?;
            check(share(class.late_value_share), "late_worth")?;
        }
        for tenant in &self.tenants {
            check(at_least_zero(tenant.quota_per_s), "quota_per_s")?;
            check(at_least_zero(tenant.share), "share")?;
        }
        check(at_least_zero(self.goal.overall), "overall")?;
        check(at_least_zero(self.goal.worst_window), "worst_window")?;
        check(at_least_zero(self.goal.worst_class), "worst_class")?;
        check(at_least_zero(self.goal.worst_tenant), "worst_tenant")?;
        check(at_least_zero(self.limits.probe_price), "probe_price")?;
        check(at_least_zero(self.limits.peer_price), "tell_price")?;
        check(
            at_least_zero(self.limits.cross_zone_price),
            "cross_zone_price",
        )?;
        check(at_least_zero(self.limits.connect_price), "connect_price")?;
        check(at_least_zero(self.waste_price), "waste_price")?;
        check(share(self.over_share_value), "over_share_worth")?;
        check(share(self.rules.start_capacity), "start_capacity")?;
        check(at_least_zero(self.rules.overload_multiple), "tip_multiple")?;
        check(
            self.rules.close_on_drain.is_none_or(|t| t > 0),
            "close_on_drain",
        )?;
        if let Some(budget) = &self.rules.retry_budget {
            check(budget.window > 0, "retry_budget.window")?;
            check(at_least_zero(budget.ratio), "retry_budget.ratio")?;
        }
        Ok(())
    }
}

/// A load report; what a site does not report is absent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// Slots free for a job.
    pub free_slots: Option<f64>,
    /// Jobs waiting for a slot.
    pub queued: Option<f64>,
    /// Jobs held, running or waiting.
    pub outstanding: Option<f64>,
}

impl LoadReport {
    /// The value, bounded, if it can be meant: a number, not negative.
    pub fn plausible(value: Option<f64>) -> Option<f64> {
        value
            .filter(|v| v.is_finite() && *v >= 0.0)
            .map(|v| v.min(1.0e6))
    }
}

/// Whether a listed worker takes new work.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum WorkerStatus {
    /// It does.
    Ready,
    /// It finishes what it has; send nothing new.
    Draining,
    /// The same, since operators have left it out: until they call it back.
    Disabled,
    /// It is gone.
    #[default]
    Removed,
}

/// One worker of the list.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// A number for it that is the same at every dispatcher.
    pub name_hash: u32,
    /// Whether it takes work.
    pub status: WorkerStatus,
    /// Its machine kind.
    pub kind: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// When its process last started; none if long ago.
    pub started: Option<Micros>,
    /// Its weight beside others of the list, without unit; what it means is [`Settings::live_weights`]. None if the
    /// list tells none.
    pub weight: Option<f64>,
}

impl WorkerEntry {
    /// The group that it belongs to among those that share a memory of keys.
    pub fn deduplication_group(&self, scope: DeduplicationScope) -> u32 {
        match scope {
            DeduplicationScope::All => 0,
            DeduplicationScope::Zone => self.zone,
            DeduplicationScope::Cell => self.cell,
        }
    }
}

/// How a list relates to the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListUpdateKind {
    /// It replaces the one before.
    Full,
    /// Only what changed.
    Incremental,
    /// What an earlier run of this dispatcher last had; it may be old.
    Inherited,
}

/// A job taken by this dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Its number.
    pub id: JobId,
    /// Its class, by index.
    pub class: usize,
    /// Its tenant, by index.
    pub tenant: usize,
    /// Slots that it takes while it runs.
    pub slots: f64,
    /// The client stops waiting then.
    pub expires: Micros,
    /// Expected work on a standard core, where the site gives it.
    pub work: Option<Micros>,
    /// What it needs at a worker and other jobs need too, as a number that is the same at every dispatcher.
    pub key: Option<u64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was done.
    Done,
    /// The worker answered with an error; it may have run.
    Error,
    /// The worker turned it away or handed it back unstarted.
    Rejected,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// It was called off; it may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// Anything else; it may have run.
    Unknown,
}

impl Outcome {
    /// The outcome proves that the job did not run; a refusal only where it is conclusive.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// What a dispatcher learns.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list of workers.
    WorkersUpdated {
        /// How it relates to the list before.
        kind: ListUpdateKind,
        /// Its entries.
        entries: Vec<WorkerEntry>,
    },
    /// The subscription to the list failed or broke.
    WatchFailed(DiscoveryFailure),
    /// A job was taken.
    JobAccepted(JobSpec),
    /// Nobody waits for the job any more.
    ClientDisconnected(JobId),
    /// A job has started on a worker.
    JobStarted {
        /// The job.
        job: JobId,
        /// The attempt, counted from 0.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// A running job has come this far.
    JobProgress {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// Share done, 0 to 1.
        done: f64,
    },
    /// The answer has begun to flow: the job is bound to this attempt and its deadline is lifted.
    StreamStarted {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// An attempt is over.
    AttemptEnded {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The client has its answer.
        finished: bool,
        /// The worker's load report.
        report: Option<LoadReport>,
    },
    /// A probe came back.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// Whether it was answered.
        outcome: Outcome,
        /// The worker's load report.
        report: Option<LoadReport>,
    },
    /// Another dispatcher tells of slots that its jobs hold.
    PeerLoad {
        /// Which dispatcher.
        from: u32,
        /// Slots held or waited for, by worker; what is not named has not changed.
        held: Vec<(WorkerId, u32)>,
    },
    /// A job can't be waited for any longer: the program ends.
    AbortJob(JobId),
    /// A level of reduced service is in force from now on; none: full service.
    AdmissionChanged(Option<Arc<AdmissionPolicy>>),
    /// A time asked for with [`Action::WakeAt`] has come.
    Wake,
}

impl Event {
    /// The worker that it brings news of.
    pub fn worker(&self) -> Option<WorkerId> {
        match self {
            Event::JobStarted { worker, .. }
            | Event::AttemptEnded { worker, .. }
            | Event::ProbeEnded { worker, .. } => Some(*worker),
            _ => None,
        }
    }
}

/// What a level of reduced service does with the jobs of one class. What is turned away is refused at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassAdmission {
    /// Share of its new jobs that is taken, 0 to 1.
    pub admitted_share: f64,
    /// Most slots that a job may take.
    pub max_slots: f64,
    /// Attempts for one job, the first included; those that the site allows bound it besides.
    pub max_attempts: u32,
    /// A job that has not been sent for so long is turned away, if it has not been sent before.
    pub max_hold: Option<Micros>,
    /// Slots that a job leaves free beside its own at a worker of a kind that another class is bound to.
    pub reserved_slots: f64,
}

impl Default for ClassAdmission {
    /// Full service.
    fn default() -> Self {
        ClassAdmission {
            admitted_share: 1.0,
            max_slots: f64::INFINITY,
            max_attempts: u32::MAX,
            max_hold: None,
            reserved_slots: 0.0,
        }
    }
}

/// What a level of reduced service does.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionPolicy {
    /// By class; a class that is not named has full service.
    pub classes: Vec<ClassAdmission>,
    /// Jobs that may be open together.
    pub max_open_jobs: usize,
    /// New jobs are turned away only while what is held would take at least this long: with less, a level that is
    /// still in force costs nothing.
    pub min_backlog: Micros,
    /// Advice to those turned away, before it is spread; bounded by the longest that clients keep to.
    pub retry_after: Micros,
}

impl AdmissionPolicy {
    /// What holds for a class.
    pub fn class(&self, class: usize) -> ClassAdmission {
        self.classes.get(class).copied().unwrap_or_default()
    }
}

/// What the decisions believe of one kind of worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KindMetrics {
    /// The kind.
    pub kind: u32,
    /// Slots of a warm worker of this kind.
    pub slots: f64,
    /// Ready workers that answer; one that is still cold counts by the share of its capacity.
    pub responsive: f64,
    /// Ready workers that have gone silent with work or a probe out, or can't be connected to.
    pub unresponsive: f64,
}

/// What came of the jobs of one class, counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Jobs that are over, without those that a level turned away when they came.
    pub over: u64,
    /// ... and of these, served in time.
    pub in_time: u64,
    /// Jobs that a level turned away.
    pub rejected_by_level: u64,
}

impl ClassMetrics {
    /// One more job is over.
    pub fn count(&mut self, in_time: bool) {
        // One that is not to count was taken off before.
        self.over = self.over.wrapping_add(1);
        self.in_time += u64::from(in_time);
    }
}

/// What the decisions can tell of the service, for those who watch over it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PolicyMetrics {
    /// By kind of worker.
    pub kinds: Vec<KindMetrics>,
    /// By class.
    pub classes: Vec<ClassMetrics>,
    /// Work that is held, in slots times microseconds at the mean run of its class.
    pub held: f64,
    /// Slots that own jobs hold at workers.
    pub own: f64,
    /// Jobs that are open.
    pub open: usize,
    /// Attempts sent since the start.
    pub sent: u64,
    /// ... and of these, turned away by their workers.
    pub refused: u64,
    /// Workers that are ready by their list and get nothing for now.
    pub ejected: usize,
}

/// What a dispatcher does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the job's next attempt to the worker.
    Push {
        /// The job.
        job: JobId,
        /// The worker.
        worker: WorkerId,
    },
    /// Tell every other dispatcher of slots that this one's jobs hold.
    PublishLoad {
        /// Slots held or waited for, by worker.
        held: Vec<(WorkerId, u32)>,
    },
    /// Call an attempt off.
    CancelAttempt {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// End the job unserved; trying again is harmless.
    RejectJob {
        /// The job.
        job: JobId,
        /// Advice when to come again.
        retry_after: Option<Micros>,
    },
    /// End the job with an error; it may have run.
    FailJob {
        /// The job.
        job: JobId,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close the connections to a worker that carry nothing.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// Subscribe to changes of the list.
    WatchWorkers,
    /// Deliver [`Event::Wake`] at this time.
    WakeAt(Micros),
}
