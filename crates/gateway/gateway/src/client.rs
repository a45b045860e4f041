//! The clients' side: reads requests whole within the configured limits, and writes responses.
//!
//! Owns what a client may send and how much memory that may take; leaves the choice of a runner and every attempt to
//! [`crate::proxy`]. Calls about batch jobs ([`batch_api`]) go to stores, never to runners.

pub mod batch_api;
pub mod frontend;
pub mod limits;
pub mod memory_budget;
pub mod request;
pub mod response;
