//! What the dispatchers agree on among themselves, behind one interface: which of them are present
//! (crate `membership`) and which targets are taken out of service for work, in which order (crate
//! `maintenance`).
//!
//! Datagrams, times and operators' requests go in; sends, changes of targets and what is to be logged
//! come out. The crate does no I/O, reads no clock and draws no random number.

mod coordinator;
mod effect;

pub use coordinator::{Coordinator, MembershipConfig, TargetView};
pub use effect::Effect;
