//! Taking targets out of service for work, in an order that the dispatchers agree on among themselves
//! (design: `docs/maintenance.md`).
//!
//! A datagram, a call or a time goes in; datagrams and changes of targets come out. The crate does no
//! I/O, reads no clock and draws no random number.

mod gossip;
mod member;
mod message;
mod plan;
mod progress;
mod target_state;

pub use member::{Effect, Maintenance, Observations};
pub use message::{MemberReport, Message, WireError, FIRST_BYTE, MAX_DATAGRAM_BYTES};
pub use plan::{Limits, Plan, PlanError, PlanId, Target, MAX_KINDS, MAX_TARGETS};
pub use progress::{Progress, SavedState, TargetProgress};
pub use target_state::{StateReport, TargetState};
