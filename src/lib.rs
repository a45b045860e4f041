//! The decisions of a dispatcher that pushes jobs to workers.
//!
//! [`decide::Dispatcher`] takes the time and one event, and appends the actions to carry out. It keeps no
//! clock, opens no socket and draws its random numbers from the seed it is given, so the same events give
//! the same actions. [`api`] holds the types that pass in and out; [`wire`] translates them for a simulator,
//! and [`net`] is the dispatcher that serves real sockets with them.
#![doc = "\n# Example\n"]
#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod decide;
mod facts;
pub mod net;
mod told;
pub mod wire;
