//! The control plane of the tier: keeps configuration, runners, dispatchers and the map of stores. Runners and operators
//! call it (`ctl`); the other processes follow it down the tree of relays.
//!
//! [`owner::Owner`] is the whole of it without sockets, disk and clock; [`run`] puts it into a process.

#![expect(
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

pub mod begin;
pub mod control;
pub mod ctl;
pub mod dispatchers;
pub mod founding;
pub mod heartbeats;
pub mod journal;
pub mod op;
pub mod owner;
pub mod plan;
mod refused;
mod shell;
mod status;

pub use shell::run;
