//! What a dispatcher keeps in memory, and the one reducer that changes it.
//!
//! Tasks report an [`Input`]; [`reduce`] changes the [`State`] and returns each [`Effect`] to carry
//! out, in order. The crate reads no clock, draws no random number, touches no socket and does not
//! know which protocol the flows came by: the same state and inputs give the same effects.

mod anomaly;
mod config;
mod connection_pool;
mod counters;
mod effect;
mod endpoint;
mod flows;
mod idle_trust;
mod input;
mod plans;
mod reducer;
mod snapshot;
mod state;
mod target_group;

pub use anomaly::Anomaly;
pub use config::StateConfig;
pub use coordination::MembershipConfig;
pub use counters::{ClassCounters, JobCounters};
pub use effect::{Answer, Effect};
pub use endpoint::{Endpoint, TargetOverride};
pub use input::Input;
pub use plans::{MaintenanceStatus, PlanRequest, PlanRequestError};
pub use reducer::reduce;
pub use snapshot::{MemberSnapshot, MembershipSnapshot, StateSnapshot};
pub use state::State;

/// One connection to a target, as the reducer numbers it. A number is never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);
