//! Connections to runners: opened, driven, kept idle, closed.
//!
//! Guarantees that an attempt goes out at most once on a connection, so that a late second response is never taken for
//! that of another attempt.

pub mod connect_timeout;
pub mod pool;
pub mod upstream;
