//! The batch plane of the tier: stores batch jobs, their items and results.
//!
//! [`Store`] is the whole of it without sockets and disk; [`run`] puts it into a process.

#![expect(
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

mod answer;
mod core;
mod fetches;
pub mod journal;
mod pace;
mod part;
mod process;

pub use crate::answer::Answer;
pub use crate::core::{Disk, Effect, Odd, Store, Terms};
pub use crate::process::run;
