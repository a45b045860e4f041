//! Which runner a request or an item goes to; no I/O.
//!
//! One [`Balancer`] a dispatcher holds what it knows of the runners: what they told of their load, what it has
//! in flight there itself, what their memory probably holds, how long first tokens took, and whether they
//! answer. Live requests go where the first token is expected soonest, and long shared parts of prompts to
//! their homes (by rendezvous, with bounded load). Items of batch jobs take the room that live requests leave: the
//! backoffs of `decide` say when a runner may be pushed to again, and a draw weighted by room says which one.
//!
//! How it is called: for a live request [`Balancer::choose`], then [`Balancer::sent`] for what is sent; for
//! items [`Balancer::item_room`] before some are fetched, [`Balancer::choose_item`] for each, then `sent`. Of
//! an answer [`Balancer::load`], where it tells one, [`Balancer::first_token`], [`Balancer::event`] and
//! [`Balancer::ended`]. Some ten times a second [`Balancer::overdue`] and [`Balancer::ask_reports`]; a report's
//! answer goes to [`Balancer::report`], its absence to [`Balancer::report_lost`].
//!
//! Time comes in as milliseconds on a steady clock, randomness as a seed.

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

/// Milliseconds on a steady clock.
pub type Millis = u64;
