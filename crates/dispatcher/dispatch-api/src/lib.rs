//! The interface of the dispatch policy: its settings, events and actions.
//!
//! The policy (crate `dispatch-policy`) is told [`Event`]s and answers with [`Action`]s. Nothing here
//! decides anything, and nothing here does I/O. [`load_exchange`] is the format in which dispatchers
//! tell each other of their load.

mod actions;
mod admission;
mod events;
pub mod hash;
mod ids;
mod jobs;
pub mod load_exchange;
mod metrics;
mod settings;
mod snapshot;
mod workers;

pub use actions::Action;
pub use admission::{AdmissionPolicy, ClassAdmission};
pub use events::Event;
pub use ids::{JobId, Micros, WorkerId};
pub use jobs::{DeduplicationScope, Idempotency, JobClass, JobSpec, Outcome, Tenant};
pub use metrics::{ClassMetrics, KindMetrics, PolicyMetrics};
pub use settings::{
    Discovery, Limits, LoadReporting, ObjectiveWeights, RetryBudget, Rules, Settings, SettingsError,
};
pub use snapshot::{ClassSnapshot, PolicySnapshot, WorkerSnapshot};
pub use workers::{DiscoveryFailure, ListUpdateKind, LoadReport, WorkerEntry, WorkerStatus};
