//! The placement map: which stores form the chain of each partition of batch jobs. Deciding it is a
//! singleton duty of the head of the controllers' chain.
//!
//! A [`StorePlanner`] follows the stores by their heartbeats and the leases that they hold, and
//! returns the map that should follow; it puts nothing in place itself. It guarantees that a store
//! is dropped only after [`FAILURE_TIMEOUT`], and that a new head drops no store within
//! [`TAKEOVER_GRACE`] whose lease may still be valid.

mod initial;
mod load;
mod observe;
mod plan;
mod retire;
mod stores;

pub use initial::partitions_for;
pub use plan::removed_tails;
pub use stores::{StorePlanner, StoreStatus};

use chain_replication::Millis;

/// The longest lease that a store's tail gets for its reads, counted from when it sent its
/// heartbeat. Two heartbeats and more fit in.
pub const LEASE_DURATION: Millis = 700;
/// A store silent for so long has failed: no lease of it can be valid any more, and a slow turn
/// does not look like it.
pub const FAILURE_TIMEOUT: Millis = 1_200;
/// A store whose heartbeats come, and that for so long has not confirmed an answer, receives
/// nothing: links may be cut one way.
pub const ONE_WAY_TIMEOUT: Millis = 1_800;
/// For so long after it became the head, a controller does not take a store for failed only because
/// no heartbeat of it has arrived. Two conditions bound it from below. Leases of the previous head
/// end at most 0.9 s after that head lost contact, and so after this one began (0.7 s after the end
/// of a process that starts again as head). And a heartbeat of every live store must have arrived:
/// all may start with the head or a little later, learn from the state table who it is, and may be
/// as slow as [`FAILURE_TIMEOUT`] allows. A store whose disk was replaced is dropped earlier, see
/// `StorePlanner::is_replaced`.
pub const TAKEOVER_GRACE: Millis = 1_600;
/// Delay between the first heartbeat of a store and the first map: all start within 0.3 s of each
/// other.
const FIRST_PLACEMENT_DELAY: Millis = 900;
/// Most stores that are known.
const MAX_STORES: usize = 1_024;

/// How long a chain is, by the losses that the tier tolerates.
#[derive(Debug, Clone, Copy)]
pub struct ChainLengths {
    /// Where there are machines.
    pub target: usize,
    /// Below this nothing is acknowledged.
    pub minimum: usize,
}

/// Why a store can't be emptied.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RetireError {
    /// There is none of that name.
    #[error("retire a store: no store machine of that name")]
    UnknownStore,
    /// Fewer would remain than a chain needs.
    #[error("retire a store: too few store machines would remain")]
    TooFewRemaining,
}
