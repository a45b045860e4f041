//! The operators' listener: what level is in force and why, figures in Prometheus' text format, and a level asked
//! for by hand. It listens apart from the clients', asks nobody who they are, and is off unless it is set.

mod client;
mod server;
pub mod view;

pub use client::{ask, ClientError};
pub use server::{recorder, Server, Terms};
