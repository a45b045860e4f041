//! One request between its client and the runners: attempts, their classification, retries, streams.
//!
//! Guarantees that a request that is not idempotent is sent again only where it has certainly not run, and that a client
//! never sees an incomplete response as a complete one.

pub mod attempt;
pub mod classify;
pub mod event_source;
pub mod events;
pub mod forward;
pub mod in_flight;
pub mod stream;
