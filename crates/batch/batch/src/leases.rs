//! Who holds which item, and since when it was last said so.

use crate::wire::LEASE_TIMEOUT_MS;
use chain_replication::Millis;
use std::collections::HashMap;

/// An item of a batch job: the batch job's key at its head, the item's index.
pub(crate) type Place = (u64, u16);

/// One lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) granted: Millis,
    renewed: Millis,
}

/// All leases, by holder.
#[derive(Debug, Default)]
pub(crate) struct Leases {
    holders: HashMap<u64, HashMap<Place, Lease>>,
    count: usize,
}

impl Leases {
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    pub(crate) fn grant(&mut self, now: Millis, holder: u64, place: Place) {
        let lease = Lease {
            granted: now,
            renewed: now,
        };
        if self
            .holders
            .entry(holder)
            .or_default()
            .insert(place, lease)
            .is_none()
        {
            self.count += 1;
        }
    }

    pub(crate) fn renew(&mut self, now: Millis, holder: u64, place: Place) {
        if let Some(lease) = self
            .holders
            .get_mut(&holder)
            .and_then(|held| held.get_mut(&place))
        {
            lease.renewed = now;
        }
    }

    /// Ends a lease of a holder.
    pub(crate) fn take(&mut self, holder: u64, place: Place) -> Option<Lease> {
        let held = self.holders.get_mut(&holder)?;
        let lease = held.remove(&place)?;
        self.count -= 1;
        if held.is_empty() {
            self.holders.remove(&holder);
        }
        Some(lease)
    }

    /// Ends the leases of which nothing was heard for long: the holder is gone, or never got the item.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<Place> {
        let mut expired = Vec::new();
        for held in self.holders.values_mut() {
            held.retain(|place, lease| {
                let keep = now.saturating_sub(lease.renewed) < LEASE_TIMEOUT_MS;
                if !keep {
                    expired.push(*place);
                }
                keep
            });
        }
        self.count -= expired.len();
        self.holders.retain(|_, held| !held.is_empty());
        // The order of a hash map must not show: the same calls give the same answers.
        expired.sort_unstable();
        expired
    }
}
