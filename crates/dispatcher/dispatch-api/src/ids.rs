//! Numbers for jobs and workers, and the unit of time.

/// A time or a span, in whole microseconds. Times count from any fixed origin.
pub type Micros = u64;

/// One job, as the caller numbers it. A number is never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// One worker, as the caller numbers it. A worker keeps its number when its process restarts.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);
