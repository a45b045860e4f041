//! What a dispatcher concludes from service discovery and how it paces its calls there, so that a
//! fleet of dispatchers that all see the same list does not act on it as a herd.
//!
//! [`WatchPacer`] spreads new watches. [`FleetLoad`], [`KindCapacity`], [`BoundedLoadShare`] and
//! [`ZoneReachability`] interpret what lists, load reports and outcomes tell of the workers. Nothing
//! here does I/O, reads a clock or draws a random number.

mod bounded_load;
mod capacity;
mod fleet_load;
mod reachability;
mod watch_pacer;

pub use bounded_load::BoundedLoadShare;
pub use capacity::KindCapacity;
pub use fleet_load::{outstanding_per_core, FleetLoad, LARGEST_WEIGHT};
pub use reachability::ZoneReachability;
pub use watch_pacer::{
    WatchPacer, ANSWER_TIMEOUT, CALL_OVERHEAD, QUEUE_TIMEOUT, RETRY_DEADLINE, STALENESS_LIMIT,
    WATCH_TIMEOUT,
};
