//! Which runner takes a request or an item: the selection of `runner_selection` in terms of requests, and the queue of
//! those that wait for one.
//!
//! Owns what this process knows of runners. It decides; connections are opened by [`crate::proxy`].

pub mod decision;
pub mod load_report;
pub mod queue;
pub mod selector;
pub mod versions;
