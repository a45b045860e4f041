//! The duties of the head of the chain: the placement map, and the leases of the stores' tails.

use super::{ControllerCore, QUORUM_CONTACT_TIMEOUT, TICK_INTERVAL};
use crate::control_state::Command;
use crate::placement::LEASE_DURATION;
use batch::wire::{LeaseGrant, Message as _, PlacementMap, LEASE_GRANT};
use chain_replication::Millis;
use slog::info;
use std::net::SocketAddr;

/// What is to be proposed once leases have run out is looked at again with each tick; so long
/// without that, it is not to be proposed any more.
const LEASE_WITHHELD_MAX: Millis = 3 * TICK_INTERVAL;

/// Stores that get no lease: a map without them waits until those that they have run out.
#[derive(Debug, Default)]
pub(super) struct WithheldLeases {
    stores: Vec<SocketAddr>,
    as_of: Millis,
}

impl WithheldLeases {
    fn includes(&self, now: Millis, store: SocketAddr) -> bool {
        now < self.as_of + LEASE_WITHHELD_MAX && self.stores.contains(&store)
    }
}

impl ControllerCore {
    /// Does the duties of the head while this controller is the head, in contact with a majority,
    /// of a chain that commits.
    pub(super) fn lead(&mut self, now: Millis) {
        let leads = self.chain.is_head() && self.has_quorum_contact(now) && self.can_commit();
        if !leads {
            if self.head_since.take().is_some() {
                self.stores.reset();
                self.stop_leading_rollouts();
            }
            return;
        }
        let since = match self.head_since {
            Some(since) => since,
            None => {
                let view = self.chain.view().map_or(0, |v| v.number);
                info!(self.log, "head of the chain"; "view" => view);
                self.head_since = Some(now);
                // What was committed before it was the head is published by it now, whether
                // anything follows or not.
                self.publish_committed(now);
                now
            }
        };
        self.publish_controllers(now);
        self.plan_placement(now, since);
        self.lead_rollouts(now);
    }

    fn plan_placement(&mut self, now: Millis, head_since: Millis) {
        let current = self.placement.as_ref();
        let lengths = self.chain_lengths();
        let Some(next) = self
            .stores
            .plan_placement(now, current, head_since, lengths)
        else {
            return;
        };
        let removed = current.map(|map| self.stores.removed_tails_with_lease(map, &next));
        let removed = removed.unwrap_or_default();
        if self.stores.has_live_lease(now, &removed) {
            // They may serve reads until their leases run out, and get no others until the map is
            // proposed.
            self.withheld_leases = WithheldLeases {
                stores: removed,
                as_of: now,
            };
        } else if self.propose_placement(&next) {
            info!(self.log, "placement map proposed"; "map" => next.number,
                "stores" => next.stores.len());
        }
    }

    /// Proposes a map, one at a time: the next is planned on what is committed. Whether it was.
    pub(super) fn propose_placement(&mut self, next: &PlacementMap) -> bool {
        let committed = self.placement.as_ref().map_or(0, |map| map.number);
        if self.chain.state_machine().placement_number != committed {
            return false;
        }
        let body = next.encode().to_vec();
        let command = Command::ReplacePlacement {
            number: next.number,
            body,
        };
        self.chain.propose(command.encode()).is_some()
    }

    /// Answers a store's heartbeat with a lease that ends before a majority may go on without this
    /// head.
    pub(super) fn grant_lease(&mut self, now: Millis, store: SocketAddr, sent_ms: u64) {
        let Some(age) = self.agreement.quorum_contact_age(now) else {
            return;
        };
        let has_contact = age < QUORUM_CONTACT_TIMEOUT;
        if !self.chain.is_head() || !has_contact || self.withheld_leases.includes(now, store) {
            return;
        }
        let lease_ms = LEASE_DURATION.min(QUORUM_CONTACT_TIMEOUT - age);
        self.stores
            .lease_granted(now, store, sent_ms, now + lease_ms);
        // The newest that is proposed, committed or not: a store that does not know it yet may be
        // left out by it.
        let map = self.chain.state_machine().placement_number;
        self.send(
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
