//! The admin server: the platform's calls (`/-/...`) and the operators' own, from one server with
//! one table of calls.
//!
//! It listens apart from the clients' port, doesn't authenticate callers, and is off unless an
//! address is given. The client for the command line is here too.

mod client;
mod handlers;
mod metrics;
mod query;
pub mod route;
mod server;
pub mod view;

pub use client::{request_text, send, Answer, CallLimits, ClientError};
pub use metrics::install_recorder;
pub use metrics_exporter_prometheus::PrometheusHandle;
pub use server::{start, AdminListener, ConnectionLimits};
