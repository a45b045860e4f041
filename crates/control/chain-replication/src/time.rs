//! The unit of time of the state machines.

/// Milliseconds on a monotonic clock, or a span of them.
pub type Millis = u64;
