//! Batch jobs: items, positions of results, leases, quota; no I/O.
//!
//! - [`wire`]: what gateways, stores and controllers say to each other about batch jobs.
//! - [`json`]: what clients submit and read.
//! - [`BatchJobTable`]: the table that a partition's chain of stores replicates, changed by [`command::Command`]s alone.
//! - [`Reservations`]: the tokens of a route that are promised to batch jobs on other partitions, and [`QuotaLeader`], which grants them.
//! - [`PartitionLeader`]: what only the head of a chain knows: who holds which item, and what time brings.

#![expect(clippy::missing_errors_doc, reason = "not revised yet")]

mod codec;
pub mod codes;
pub mod command;
pub mod json;
mod leases;
mod owner;
mod quota;
mod reservations;
mod route_queue;
mod table;
pub mod wire;

pub use owner::{
    max_queued_tokens, EndDecision, PartitionLeader, QuotaState, SubmitDecision, TAKEOVER_GRACE_MS,
};
pub use quota::{QuotaLeader, ReserveDecision};
pub use reservations::{Reservation, Reservations};
pub use route_queue::Urgency;
pub use table::{BatchItem, BatchJob, BatchJobTable, Found, ItemState};
