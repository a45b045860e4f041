//! Jobs: their classes and tenants, one job, and how an attempt of one ends.

use crate::{JobId, Micros};

/// Whether a job may run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Running it twice is harmless.
    Idempotent,
    /// It carries an idempotency key: workers of the scope drop a duplicate.
    Keyed {
        /// The workers that share their memory of keys.
        scope: DeduplicationScope,
        /// How long they remember a key, microseconds, from the first attempt on.
        memory: Micros,
    },
    /// It must never run twice.
    NonIdempotent,
}

/// The workers that recognise each other's duplicates.
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
    /// Latency target, microseconds: an answer earns its full value within this plus
    /// `target_stretch` times the job's own work.
    pub latency_target: Micros,
    /// See `latency_target`; without unit, at least 0.
    pub target_stretch: f64,
    /// How long a client waits in all, microseconds.
    pub client_timeout: Micros,
    /// Value of an answer in time, without unit.
    pub job_value: f64,
    /// Share of the value that a late answer earns, 0 to 1.
    pub late_value_share: f64,
    /// Whether it may run twice.
    pub idempotency: Idempotency,
    /// The only machine kind that runs it; none if any does.
    pub kind: Option<u32>,
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Jobs per second within its quota, over all dispatchers.
    pub quota_per_s: f64,
    /// Its share of the service, 0 to 1.
    pub share: f64,
}

/// A job accepted by this dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSpec {
    /// Its number.
    pub id: JobId,
    /// Its class, by position.
    pub class: usize,
    /// Its tenant, by position.
    pub tenant: usize,
    /// Slots that it occupies while it runs.
    pub slots: f64,
    /// When its client stops waiting.
    pub expires: Micros,
    /// Expected work on a standard core, microseconds, where the site states it.
    pub work: Option<Micros>,
    /// The affinity key: what it needs at a worker and other jobs need too, as a number that is the
    /// same at every dispatcher.
    pub key: Option<u64>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The job is done.
    Done,
    /// The worker answered with an error; the job may have run.
    Error,
    /// The worker rejected it or handed it back unstarted.
    Rejected,
    /// No answer came in time; the job may have run.
    TimedOut,
    /// No connection came up; the job never ran.
    ConnectFailed,
    /// The connection broke; the job may have run.
    Reset,
    /// The dispatcher cancelled it; the job may have run.
    Cancelled,
    /// It was never sent.
    NotSent,
    /// Anything else; the job may have run.
    Unknown,
}

impl Outcome {
    /// Whether the outcome proves that the job did not run; a rejection does so only where it is
    /// conclusive ([`crate::Rules::refusal_inconclusive`]).
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}
