//! Actions: what the policy decides.

use crate::{JobId, Micros, WorkerId};

/// What the policy decides.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the job's next attempt to the worker.
    Push {
        /// The job.
        job: JobId,
        /// The worker.
        worker: WorkerId,
    },
    /// Publish the slots that this dispatcher's jobs hold to every other dispatcher.
    PublishLoad {
        /// Slots held or waited for, by worker.
        held: Vec<(WorkerId, u32)>,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// Reject the job: it did not run, or may run twice.
    RejectJob {
        /// The job.
        job: JobId,
        /// How long the client is advised to wait before it retries, microseconds.
        retry_after: Option<Micros>,
    },
    /// Fail the job: it may have run.
    FailJob {
        /// The job.
        job: JobId,
    },
    /// Ask a worker for its load.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
    /// Start a watch on the list of workers.
    WatchWorkers,
    /// Deliver [`crate::Event::Wake`] at this time.
    WakeAt(Micros),
}
