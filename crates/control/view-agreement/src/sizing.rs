//! How many members and acceptors follow from the faults that the controllers are to tolerate.

use chain_replication::Millis;

use crate::controller_view::MAX_ACCEPTORS;
use crate::electorate::members_in_fullest_zones;

/// How many faults at once the controllers are to tolerate, and what follows from that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizing {
    /// Members of the chain, where there are machines.
    pub chain_len: usize,
    /// With fewer members nothing is acknowledged.
    pub min_chain_len: usize,
    /// Acceptors, where there are machines: `2f + 1`, so that a majority is left after `f` faults.
    pub acceptors: usize,
    /// Zones that may fail at once, each with all its machines; 0 where only machines are counted.
    pub zone_failures: usize,
    /// An acceptor that is unreachable for longer is replaced by a spare, in milliseconds. It must
    /// be longer than the failure time-out of a machine, and the replacement must be over before
    /// the next fault may come (`SyncS`). An acceptor that returns later is a spare itself, so
    /// replacing one too early costs a view change and no safety.
    pub replace_after_ms: Millis,
}

impl Sizing {
    /// The range of [`Sizing::replace_after_ms`].
    const REPLACE_AFTER_MS: std::ops::RangeInclusive<Millis> = 1_200..=3_000;

    /// For `faults` machines lost at once, the next of which is lost `sync_ms` milliseconds after
    /// the one before was made good at the earliest.
    pub fn new(faults: usize, sync_ms: Millis) -> Self {
        let (shortest, longest) = (
            *Self::REPLACE_AFTER_MS.start(),
            *Self::REPLACE_AFTER_MS.end(),
        );
        Sizing {
            chain_len: faults + 2,
            min_chain_len: faults + 1,
            acceptors: (2 * faults + 1).min(MAX_ACCEPTORS as usize),
            zone_failures: 0,
            replace_after_ms: (sync_ms / 3).clamp(shortest, longest),
        }
    }

    /// The same where so many zones may fail at once as well: acceptors and chain are spread over
    /// zones so that a majority, and a member, are left.
    pub fn with_zone_failures(self, zone_failures: usize) -> Self {
        Sizing {
            zone_failures,
            ..self
        }
    }

    /// How many zones may fail at once so that a majority of acceptors in these zones is left.
    pub fn zone_failures_tolerated(acceptor_zones: &[u64]) -> usize {
        (0..acceptor_zones.len())
            .rev()
            .find(|lost| members_in_fullest_zones(acceptor_zones, *lost) * 2 < acceptor_zones.len())
            .unwrap_or(0)
    }

    /// How many machines may fail at once so that a majority of so many acceptors is left.
    pub fn failures_tolerated(acceptors: usize) -> usize {
        acceptors.saturating_sub(1) / 2
    }
}
