//! Events: what the policy is told.

use crate::{
    AdmissionPolicy, DiscoveryFailure, JobId, JobSpec, ListUpdateKind, LoadReport, Outcome,
    WorkerEntry, WorkerId,
};
use std::sync::Arc;

/// What the policy is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An update of the list of workers.
    WorkersUpdated {
        /// How it relates to the list before.
        kind: ListUpdateKind,
        /// Its entries.
        entries: Vec<WorkerEntry>,
    },
    /// The watch on the list failed.
    WatchFailed(DiscoveryFailure),
    /// A job was accepted.
    JobAccepted(JobSpec),
    /// The job's client has disconnected.
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
    /// A running job has made progress.
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
    /// The response has started to stream: the job is bound to this attempt, and its deadline no
    /// longer applies.
    StreamStarted {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The client has its answer, or waits for none.
        finished: bool,
        /// The worker's load report.
        report: Option<LoadReport>,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The worker's load report.
        report: Option<LoadReport>,
    },
    /// Another dispatcher has published the slots that its jobs hold.
    PeerLoad {
        /// The dispatcher's number.
        from: u32,
        /// Slots held or waited for, by worker; a worker that is not named has not changed.
        held: Vec<(WorkerId, u32)>,
    },
    /// A job can't be waited for any longer, since the program ends: it is to be answered.
    AbortJob(JobId),
    /// A level of degraded service is in force from now on; with none, full service.
    AdmissionChanged(Option<Arc<AdmissionPolicy>>),
    /// A time that [`crate::Action::WakeAt`] asked for has come.
    Wake,
}

impl Event {
    /// The worker whose load it changes.
    pub fn worker(&self) -> Option<WorkerId> {
        match self {
            Event::JobStarted { worker, .. }
            | Event::AttemptEnded { worker, .. }
            | Event::ProbeEnded { worker, .. } => Some(*worker),
            _ => None,
        }
    }
}
