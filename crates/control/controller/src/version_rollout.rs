//! Roll-outs of a service's version: which share of the traffic the new version gets, and whether
//! it is good.
//!
//! State machines without I/O and clock, run by the head of the chain. What they decide for good is
//! committed by the chain; the share is only published, and ends by itself at gateways that don't
//! hear it again.

mod evidence;
mod plan;

pub use evidence::{Evidence, Judgement, RouteCounts};
pub use plan::{Observation, RolloutPlan, Step, Verdict};
