//! The head's duty: the map of stores, and the leases of their tails.

use super::{Owner, STALE, TICK};
use crate::control::Command;
use crate::plan::LEASE;
use batch::wire::Message as _;
use batch::wire::{LeaseGrant, PlacementMap, LEASE_GRANT};
use chain_replication::Millis;
use slog::info;
use std::net::SocketAddr;

/// What is to be ordered once leases have run out is looked at again with each tick; so long without that, it is not to
/// be ordered any more.
const WITHHELD: Millis = 3 * TICK;

impl Owner {
    /// The map of stores: the head's duty.
    pub(super) fn plan(&mut self, now: Millis) {
        let leads = self.node.is_head() && self.in_touch(now) && self.can_commit();
        if !leads {
            if self.head_since.take().is_some() {
                self.stores.begin();
            }
            return;
        }
        let since = match self.head_since {
            Some(since) => since,
            None => {
                info!(self.log, "head of the chain"; "view" => self.node.view().map_or(0, |v| v.number));
                self.head_since = Some(now);
                // What was committed before it was the head is told by it now, whether anything follows or not.
                self.committed(now);
                now
            }
        };
        self.tell_controllers(now);
        if let Some(next) = self
            .stores
            .plan(now, self.map.as_ref(), since, self.lengths())
        {
            let ends = self
                .map
                .as_ref()
                .map(|map| self.stores.tails_to_outlast(map, &next))
                .unwrap_or_default();
            if self.stores.lent(now, &ends) {
                // They may serve reads until their leases run out, and get no others until the map is ordered.
                self.withheld = (ends, now);
            } else if self.order_map(now, &next) {
                info!(self.log, "map of stores ordered"; "map" => next.number, "stores" => next.stores.len());
            }
        }
    }

    pub(super) fn order_map(&mut self, now: Millis, next: &PlacementMap) -> bool {
        // One at a time: the next is planned on what is committed.
        if self.node.state_machine().map_number != self.map.as_ref().map_or(0, |m| m.number) {
            return false;
        }
        let body = next.encode().to_vec();
        self.node
            .propose(
                now,
                Command::Map {
                    number: next.number,
                    body,
                }
                .encode(),
            )
            .is_some()
    }

    pub(super) fn grant(&mut self, now: Millis, store: SocketAddr, sent_ms: u64) {
        let age = self
            .agreement
            .quorum_contact_age(now)
            .unwrap_or(Millis::MAX);
        let (ends, at) = &self.withheld;
        let withheld = now < at + WITHHELD && ends.contains(&store);
        if !self.node.is_head() || age >= STALE || withheld {
            return;
        }
        let lease_ms = LEASE.min(STALE - age);
        self.stores.granted(now, store, sent_ms, now + lease_ms);
        // The newest that is ordered, kept or not: a store that does not know it yet may be left out by it.
        let map = self.node.state_machine().map_number;
        self.tell(
            store,
            LEASE_GRANT,
            LeaseGrant {
                sent_ms,
                lease_ms,
                map,
            }
            .encode(),
        );
    }
}
