//! The batch plane of the tier: stores batch jobs, their items and results.
//!
//! [`Store`] is all of it without sockets and disk; [`journal`] is what is on the disk; [`run`]
//! puts them into a process.

mod fetch_queue;
pub mod journal;
mod pacer;
mod partition;
mod process;
mod responder;
mod store;

pub use process::run;
pub use responder::Responder;
pub use store::{DiskUsage, Effect, FrameError, Store, StoreConfig};
