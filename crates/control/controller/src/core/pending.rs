//! Calls that wait for something to become true.

use crate::call::CallId;
use crate::control_state::ConfigChange;
use chain_replication::Millis;
use relay_tree::Stamp;

/// A call that waits.
pub(super) struct PendingCall {
    pub(super) id: CallId,
    /// Since when it waits. 0 gives it up at the next look.
    pub(super) since: Millis,
    pub(super) waits_for: Condition,
}

/// What is read of the control state.
pub(super) enum ReadQuery {
    /// The newest configuration.
    Config,
    /// The newest roll-out of this service.
    Rollout(String),
}

/// What a call waits for.
pub(super) enum Condition {
    /// A configuration, until it applies. `number` is its entry in the chain, or a later one.
    ConfigApplied { change: ConfigChange, number: u64 },
    /// A reader at the tail, until a majority has confirmed that its view is the newest
    /// (`confirmed`) and all that it saw is committed.
    ReadConfirmed {
        query: ReadQuery,
        token: u64,
        confirmed: bool,
        number: u64,
    },
    /// A change that lost: another configuration is in place. Rejected only once that one is
    /// committed, for the change may have been sent elsewhere too, and could still be accepted
    /// there if what it lost to were lost itself.
    ConflictCommitted {
        base_version: u64,
        digest: [u8; 32],
        number: u64,
    },
    /// A runner that drains or leaves, or starts under the id of one that did: until a majority of
    /// the controllers know, and enough disks hold its record.
    RunRecorded {
        id: String,
        /// Of the runner's entry.
        stamp: Stamp,
        /// Of its record.
        record: Stamp,
    },
    /// A roll-out that was ordered, until it is committed and gateways know it. `number` is its
    /// entry in the chain, or a later one.
    RolloutBegun {
        service: String,
        target: String,
        number: u64,
    },
    /// A placement map that an operator's call led to, until it is committed.
    PlacementCommitted { number: u64 },
}
