//! Batch jobs: items, positions of results, leases, quota; no I/O.
//!
//! - [`wire`]: what gateways, stores and controllers say to each other about batch jobs.
//! - [`json`]: what clients submit and read.
//! - [`BatchJobs`]: the table that a partition's chain of stores replicates, changed by [`command::Command`]s alone.
//! - [`Reservations`]: the tokens of a route that are promised to batch jobs on other partitions, and [`QuotaOwner`], which grants them.
//! - [`Owner`]: what only the head of a chain knows: who holds which item, and what time brings.

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

pub use owner::{most_tokens, End, Owner, Quota, Submit, OPEN_AFTER_MS};
pub use quota::{Decision, QuotaOwner};
pub use reservations::{Reservation, Reservations};
pub use route_queue::Urgency;
pub use table::{BatchItem, BatchJob, BatchJobs, Found, ItemState};
