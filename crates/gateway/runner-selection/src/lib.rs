//! Which runner a request or an item goes to; no I/O.
//!
//! One [`Balancer`] a dispatcher holds what it knows of the runners: what they told of their load, what it has
//! in flight there itself, what their memory probably holds, how long first tokens took, and whether they
//! answer. Live requests go where the first token is expected soonest, and long shared parts of prompts to
//! their homes (by rendezvous, with bounded load). Items of batch jobs take the room that live requests leave: the
//! sleepers of `decide` say when a runner may be pushed to again, and a draw weighted by room says which one.
//!
//! How it is called: for a live request [`Balancer::choose`], then [`Balancer::sent`] for what is sent; for
//! items [`Balancer::item_room`] before some are fetched, [`Balancer::choose_item`] for each, then `sent`. Of
//! an answer [`Balancer::load`], where it tells one, [`Balancer::first_token`], [`Balancer::event`] and
//! [`Balancer::ended`]. Some ten times a second [`Balancer::overdue`] and [`Balancer::ask_reports`]; a report's
//! answer goes to [`Balancer::report`], its absence to [`Balancer::report_lost`].
//!
//! Time comes in as milliseconds on a steady clock, randomness as a seed.

#![expect(
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

mod ask;
mod constants;
mod engines;
mod health;
mod items;
mod live;
mod outcome;
mod parts;
mod runner;
mod service;
mod want;

pub use engines::Balancer;
pub use want::{
    AttemptId, Choice, LoadReport, Outcome, RequestProfile, RunnerKey, ServiceEstimates,
    ServiceTerms,
};

/// Milliseconds on a steady clock.
pub type Millis = u64;
