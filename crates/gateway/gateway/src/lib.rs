//! The data plane of the tier: forwards requests from clients to runners, and runs the items of batch jobs in the
//! capacity that requests leave.
//!
//! One thread. State entries of the control plane arrive down the relay tree ([`control`]). A client's request enters at
//! [`client`], gets a runner from [`selection`], and is carried out attempt by attempt in [`proxy`], on the connections of
//! [`connection`]. [`items`] does the same for items that batch stores lease to this process.

pub mod client;
pub mod codes;
pub mod connection;
pub mod control;
pub mod counters;
pub mod gateway;
pub mod items;
mod process;
pub mod proxy;
pub mod readiness;
pub mod selection;
pub mod shutdown;

pub use process::{main, Process, StartError};
