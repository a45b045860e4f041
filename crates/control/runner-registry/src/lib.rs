//! Which runners there are and whether they take requests, from their heartbeats. No I/O, no clock.
//!
//! A controller owns a [`Registry`]: it takes runners' heartbeats and departures and returns what
//! changed as entries of the replicated state table. Gateways decode these with [`Runner::read`].
//! It guarantees that draining and leaving are final for a run, in whatever order controllers learn
//! of it, and once its [`RunRecord`] is on disk whatever they lose from memory; that a process which
//! starts under the id of a run that ended is another run; that a runner timed out was a guess,
//! which its next heartbeat undoes.

mod entry;
mod error;
mod heartbeat;
mod registry;
mod rendezvous;
mod returning;
mod run_record;
mod run_records;
mod runner;
mod stamp;

pub use entry::{entry_key, id_from_key};
pub use error::{EntryError, HeartbeatError};
pub use heartbeat::{MAX_BODY_BYTES, MAX_ID_BYTES, MAX_MODELS, MAX_NAME_BYTES};
pub use registry::{
    HeartbeatOutcome, Registry, RegistryConfig, MAX_RUNNERS, MIN_HEARTBEAT_TIMEOUT_MS,
    TOMBSTONE_RETENTION_MS,
};
pub use rendezvous::home_controller;
pub use run_record::{
    id_from_run_record_key, run_record_key, RunPhase, RunRecord, MAX_PREVIOUS_ADDRS,
};
pub use run_records::MAX_RUN_RECORDS;
pub use runner::{Model, Runner, RunnerState};
pub use stamp::LEFT_STAMP;

pub use relay_tree::{Ms, Stamp, StateEntry};
