//! Taking targets out for work in an order that the dispatchers settle among themselves (design: `docs/maintenance.md`).
//! Free of I/O, clock and randomness: a datagram, a call or a time goes in; datagrams and bans come out.

#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod member;
mod plan;
mod wire;

pub use member::{
    Effect, Maintenance, Observations, Progress, SavedState, TargetProgress, TargetState,
};
pub use plan::{Limits, Plan, PlanError, Target, MAX_KINDS, MAX_TARGETS};
pub use wire::{Message, WireError, FIRST_BYTE, MAX_DATAGRAM_BYTES};
