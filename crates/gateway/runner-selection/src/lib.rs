//! Which runner a request or an item goes to: a load balancer for model runners; no I/O.
//!
//! One [`Balancer`] a dispatcher holds what it knows of the runners: the load that they reported,
//! what it has in flight there itself, what their KV caches probably hold, how long first tokens
//! took, and whether they answer. A live request goes where about the earliest first token is
//! expected, and long shared parts of prompts to their homes (rendezvous hashing with bounded
//! loads). Items of batch jobs take the slots that live requests leave: the adaptive backoff of
//! `dispatch-policy` says when a runner may be pushed to again, and a draw weighted by free slots
//! says which one.
//!
//! A live request calls [`Balancer::choose`], then [`Balancer::attempt_started`] for the attempt;
//! items call [`Balancer::item_capacity`] before some are fetched and [`Balancer::choose_item`] for
//! each. Of an answer the caller tells [`Balancer::load_reported`],
//! [`Balancer::first_token_received`], [`Balancer::event_received`] and
//! [`Balancer::attempt_ended`]. Some ten times a second it asks for [`Balancer::overdue_attempts`]
//! and [`Balancer::runners_to_probe`]; the answer of a probe goes to [`Balancer::report_received`],
//! its absence to [`Balancer::report_failed`].
//!
//! Time comes in as milliseconds on a monotonic clock, randomness as a seed. The reasons of all
//! constants are in `constants.rs`, those of the rules in `docs/decisions-under-load.md`.

mod affinity;
mod attempt;
mod attempts;
mod balancer;
mod constants;
mod estimate;
mod health;
mod item_selection;
mod live_selection;
mod load_reports;
mod prefix_table;
mod probing;
mod request;
mod runner;
mod service;

pub use attempt::Traffic;
pub use balancer::Balancer;
pub use request::{
    AttemptId, Choice, LoadReport, Outcome, RequestProfile, RunnerKey, RunnerLoad,
    ServiceEstimates, ServiceTerms,
};

/// Milliseconds on a monotonic clock, or a span of them.
pub type Millis = u64;
