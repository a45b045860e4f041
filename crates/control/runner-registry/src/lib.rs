//! Which runners there are: heartbeats, draining, silence; no I/O.
//!
//! The controller's side is a [`Registry`]: it takes runners' heartbeats and says what changed as entries of the relay tree. The
//! gateway's side is [`Runner::read`], which reads such an entry.

#![expect(
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

mod heartbeat;
mod home;
mod registry;
mod runner;

pub use heartbeat::{HeartbeatError, MAX_BODY, MAX_ID, MAX_MODELS, MAX_NAME};
pub use home::home;
pub use registry::{Registry, RegistryTerms, Taken, FORGET_MS, MAX_RUNNERS, MIN_SILENCE_MS};
pub use runner::{key, BadFact, Model, Runner, RunnerState, LEFT};

pub use relay_tree::{Ms, Stamp, StateEntry};
