//! Which runners there are and whether they take requests, from their heartbeats. No I/O, no clock.
//!
//! A controller owns a [`Registry`]: it takes runners' heartbeats and departures and returns what
//! changed as entries of the replicated state table. Gateways decode these with [`Runner::read`].
//! It guarantees that draining and leaving are final for an incarnation, in whatever order
//! controllers learn of it; that a runner timed out was a guess, which its next heartbeat undoes.

mod entry;
mod error;
mod heartbeat;
mod registry;
mod rendezvous;
mod runner;

pub use entry::{entry_key, LEFT_STAMP};
pub use error::{EntryError, HeartbeatError};
pub use heartbeat::{MAX_BODY_BYTES, MAX_ID_BYTES, MAX_MODELS, MAX_NAME_BYTES};
pub use registry::{
    HeartbeatOutcome, Registry, RegistryConfig, MAX_RUNNERS, MIN_HEARTBEAT_TIMEOUT_MS,
    TOMBSTONE_RETENTION_MS,
};
pub use rendezvous::home_controller;
pub use runner::{Model, Runner, RunnerState};

pub use relay_tree::{Ms, Stamp, StateEntry};
