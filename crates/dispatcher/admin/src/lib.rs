//! The second address: the platform's calls (`/-/...`) and the operators' own, from one server with one table.
//!
//! It listens apart from the clients', asks nobody who they are, and is off unless an address is given.

#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod calls;
mod client;
mod figures;
mod server;
pub mod view;

pub use client::{ask, call, Answer, ClientError, Patience};
pub use figures::recorder;
pub use server::{start, Bounds, Door};
