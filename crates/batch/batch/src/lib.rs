//! Batch jobs: items, positions of results, leases, quota. State machines without I/O, clock or
//! randomness.
//!
//! - [`wire`]: the messages of gateways, stores and controllers about batch jobs.
//! - [`json`]: what clients submit and read.
//! - [`BatchJobTable`]: the table that a partition's chain of stores replicates, changed by
//!   [`command::Command`]s alone.
//! - [`PartitionLeader`]: what only the head of a chain knows: which gateway leases which item, and
//!   when something is to be given up or deleted.
//! - [`Reservations`]: the tokens of a route that are reserved for batch jobs on other partitions,
//!   and [`QuotaLeader`], which grants them.

mod codec;
pub mod codes;
pub mod command;
mod content_digest;
pub mod json;
mod lease_table;
mod partition_leader;
mod quota_leader;
mod reservations;
mod route_queue;
mod table;
pub mod wire;

pub use content_digest::content_digest;
pub use partition_leader::{
    max_queued_tokens, Admission, EndDecision, Fetch, PartitionLeader, QuotaState, SubmitDecision,
    MAX_UNUSED_ROUTES, TAKEOVER_GRACE_MS,
};
pub use quota_leader::{
    QuotaLeader, QuotaTableSizes, ReserveDecision, MAX_REFUSALS, MAX_REQUESTED_JOBS, MAX_ROUTES,
};
pub use reservations::{Reservation, Reservations};
pub use route_queue::Urgency;
pub use table::{BatchItem, BatchJob, BatchJobTable, ItemState, ResultPage};
