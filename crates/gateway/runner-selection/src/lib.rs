//! Which runner a request or an item goes to; no I/O.
//!
//! One [`Engines`] a dispatcher holds what it knows of the runners: what they told of their load, what it has
//! in flight there itself, what their memory probably holds, how long first tokens took, and whether they
//! answer. Live requests go where the first token is expected soonest, and long shared parts of prompts to
//! their homes (by rendezvous, with bounded load). Items of batch jobs take the room that live requests leave: the
//! sleepers of `decide` say when a runner may be pushed to again, and a draw weighted by room says which one.
//!
//! How it is called: for a live request [`Engines::choose`], then [`Engines::sent`] for what is sent; for
//! items [`Engines::item_room`] before some are fetched, [`Engines::choose_item`] for each, then `sent`. Of
//! an answer [`Engines::load`], where it tells one, [`Engines::first_token`], [`Engines::event`] and
//! [`Engines::ended`]. Some ten times a second [`Engines::overdue`] and [`Engines::ask_reports`]; a report's
//! answer goes to [`Engines::report`], its absence to [`Engines::report_lost`].
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

pub use engines::Engines;
pub use want::{Choice, End, Learned, Report, RunnerKey, SendId, SvcTerms, Want};

/// Milliseconds on a steady clock.
pub type Ms = u64;
