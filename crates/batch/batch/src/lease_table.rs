//! The leases of a partition's head: which gateway holds which item, and when it last renewed it.

use crate::wire::LEASE_TIMEOUT_MS;
use chain_replication::Millis;
use std::collections::HashMap;

/// One item of a partition, as its head numbers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ItemKey {
    /// The number that the head gave to the batch job.
    pub(crate) job: u64,
    /// Which item of the batch job.
    pub(crate) index: u16,
}

/// One lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) granted: Millis,
    renewed: Millis,
}

/// All leases, by holder.
#[derive(Debug, Default)]
pub(crate) struct LeaseTable {
    holders: HashMap<u64, HashMap<ItemKey, Lease>>,
    count: usize,
}

impl LeaseTable {
    pub(crate) fn count(&self) -> usize {
        self.count
    }

    pub(crate) fn grant(&mut self, now: Millis, holder: u64, item: ItemKey) {
        let lease = Lease {
            granted: now,
            renewed: now,
        };
        if self
            .holders
            .entry(holder)
            .or_default()
            .insert(item, lease)
            .is_none()
        {
            self.count += 1;
        }
    }

    pub(crate) fn renew(&mut self, now: Millis, holder: u64, item: ItemKey) {
        let leases = self.holders.get_mut(&holder);
        if let Some(lease) = leases.and_then(|leases| leases.get_mut(&item)) {
            lease.renewed = now;
        }
    }

    /// Ends a lease of a holder.
    pub(crate) fn remove(&mut self, holder: u64, item: ItemKey) -> Option<Lease> {
        let leases = self.holders.get_mut(&holder)?;
        let lease = leases.remove(&item)?;
        self.count -= 1;
        if leases.is_empty() {
            self.holders.remove(&holder);
        }
        Some(lease)
    }

    /// Ends the leases that were not renewed for [`LEASE_TIMEOUT_MS`]: the holder is gone, or never
    /// received the item. Returns the items in their order.
    pub(crate) fn expire(&mut self, now: Millis) -> Vec<ItemKey> {
        let mut expired = Vec::new();
        for leases in self.holders.values_mut() {
            leases.retain(|item, lease| {
                let is_live = now.saturating_sub(lease.renewed) < LEASE_TIMEOUT_MS;
                if !is_live {
                    expired.push(*item);
                }
                is_live
            });
        }
        self.count -= expired.len();
        self.holders.retain(|_, leases| !leases.is_empty());
        // The order of a hash map must not show: the same calls give the same answers.
        expired.sort_unstable();
        expired
    }
}
