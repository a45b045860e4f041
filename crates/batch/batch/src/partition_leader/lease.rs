//! Leasing items to gateways, and renewing the leases.

use super::{LeaseState, PartitionLeader, VIEW_SHIFT};
use crate::lease_table::ItemKey;
use crate::route_queue::QueuedItem;
use crate::table::BatchJobTable;
use crate::wire::{Header, Item, LeaseKey, LeasedItem, RouteDemand, MAX_FETCH_BYTES};
use chain_replication::Millis;

/// What an item costs in a response beside its body and headers, and a header beside its name and
/// value: about their lengths in the frame, in bytes.
const ITEM_OVERHEAD: usize = 200;
const HEADER_OVERHEAD: usize = 8;

/// What a gateway wants.
#[derive(Debug, Clone, Copy)]
pub struct Fetch<'a> {
    /// Which gateway.
    pub holder: u64,
    /// The routes whose items it can run.
    pub demands: &'a [RouteDemand],
    /// The most items of a route, so that other gateways that wait get some.
    pub max_per_route: usize,
}

/// A route of a fetch, and how many more of its items are wanted.
struct Wanted {
    route: usize,
    items: usize,
}

impl PartitionLeader {
    /// Leases items to a gateway, the routes in turn, up to [`MAX_FETCH_BYTES`] (but at least one
    /// item if one is queued).
    pub fn fetch(&mut self, now: Millis, table: &BatchJobTable, fetch: Fetch) -> Vec<LeasedItem> {
        let mut leased = Vec::new();
        if !self.is_open(now) {
            return leased;
        }
        let mut wanted = Vec::new();
        for demand in fetch.demands {
            if let Some(route) = self.route_of(&demand.host, &demand.route) {
                let items = (demand.max_items as usize).min(fetch.max_per_route);
                wanted.push(Wanted { route, items });
            }
        }
        if wanted.is_empty() {
            return leased;
        }
        self.turn = self.turn.wrapping_add(1);
        let start = self.turn % wanted.len();
        wanted.rotate_left(start);
        let mut bytes = 0;
        while bytes < MAX_FETCH_BYTES {
            let before = leased.len();
            for wanted in &mut wanted {
                if wanted.items == 0 || bytes >= MAX_FETCH_BYTES {
                    continue;
                }
                match self.lease_next(now, table, fetch.holder, wanted.route) {
                    Some(item) => {
                        wanted.items -= 1;
                        bytes += response_bytes(&item.item);
                        leased.push(item);
                    }
                    None => wanted.items = 0,
                }
            }
            if leased.len() == before {
                break;
            }
        }
        leased
    }

    fn lease_next(
        &mut self,
        now: Millis,
        table: &BatchJobTable,
        holder: u64,
        route: usize,
    ) -> Option<LeasedItem> {
        let clock = self.clock(now);
        loop {
            let queue = self.routes.get_mut(route)?;
            let QueuedItem { due, item: key } = queue.pop(clock)?;
            let Some(job) = self.jobs.get_mut(&key.job) else {
                continue;
            };
            let index = usize::from(key.index);
            let stored = table
                .batch_job(&job.id)
                .and_then(|job| job.items.get(index));
            let Some(item) = stored.and_then(|item| item.request()) else {
                continue;
            };
            let Some(state) = job.items.get_mut(index) else {
                continue;
            };
            self.last_lease += 1;
            let lease = self.last_lease;
            state.state = LeaseState::Leased { holder, lease };
            self.leases.grant(now, holder, key);
            let give_up = job.give_up;
            return Some(LeasedItem {
                host: queue.host.clone(),
                route: queue.route.clone(),
                key: LeaseKey {
                    batch_job: job.id.clone(),
                    index: u32::from(key.index),
                    lease,
                },
                due_in_ms: due.saturating_sub(clock),
                retain_in_ms: if give_up == u64::MAX {
                    u64::MAX
                } else {
                    give_up.saturating_sub(clock)
                },
                failures_left: job.max_failures.saturating_sub(state.failures),
                item,
            });
        }
    }

    /// Renews the leases of a gateway, and returns those that are void. A lease of an item that no
    /// other gateway has leased goes on, also if another head granted it.
    pub fn renew(
        &mut self,
        now: Millis,
        table: &BatchJobTable,
        holder: u64,
        leases: &[LeaseKey],
    ) -> Vec<LeaseKey> {
        let mut void = Vec::new();
        for lease in leases {
            if !self.renew_one(now, table, holder, lease) {
                void.push(lease.clone());
            }
        }
        void
    }

    fn renew_one(
        &mut self,
        now: Millis,
        table: &BatchJobTable,
        holder: u64,
        key: &LeaseKey,
    ) -> bool {
        // The items of a job that is accepted and not yet committed are not leased; a job that
        // isn't known otherwise is over.
        let Some(item_key) = self.item_key(&key.batch_job, key.index) else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(&item_key.job) else {
            return false;
        };
        let Some(item) = job.items.get_mut(usize::from(item_key.index)) else {
            return false;
        };
        match item.state {
            LeaseState::Leased { holder: by, lease } if by == holder && lease == key.lease => {
                self.leases.renew(now, holder, item_key);
                true
            }
            // A lease that was ended is void: its holder has not learned that its completion was
            // accepted, and would end it a second time.
            LeaseState::Queued
                if key.lease > item.ended_lease && table.batch_job(&key.batch_job).is_some() =>
            {
                item.state = LeaseState::Leased {
                    holder,
                    lease: key.lease,
                };
                let queued = QueuedItem {
                    due: job.due,
                    item: item_key,
                };
                if let Some(queue) = self.routes.get_mut(job.route) {
                    queue.remove(&queued);
                }
                self.leases.grant(now, holder, item_key);
                self.skip_lease(key.lease);
                true
            }
            LeaseState::Queued | LeaseState::Leased { .. } | LeaseState::Finished => false,
        }
    }

    /// The number of a lease of this view that is in use is not given again: a head that starts
    /// anew within its view counts from the start, and a completion of the older lease must not
    /// count for the newer one.
    fn skip_lease(&mut self, lease: u64) {
        if lease >> VIEW_SHIFT == self.last_lease >> VIEW_SHIFT {
            self.last_lease = self.last_lease.max(lease);
        }
    }

    /// A leased item is queued again.
    pub(super) fn requeue(&mut self, key: ItemKey) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let Some(item) = job.items.get_mut(usize::from(key.index)) else {
            return;
        };
        if let LeaseState::Leased { holder, .. } = item.state {
            self.leases.remove(holder, key);
            item.state = LeaseState::Queued;
            if let Some(queue) = self.routes.get_mut(job.route) {
                queue.push(QueuedItem {
                    due: job.due,
                    item: key,
                });
            }
        }
    }
}

fn response_bytes(item: &Item) -> usize {
    let header_bytes = |header: &Header| header.name.len() + header.value.len() + HEADER_OVERHEAD;
    ITEM_OVERHEAD + item.body.len() + item.headers.iter().map(header_bytes).sum::<usize>()
}
