//! What is committed is published: configurations and the placement map. A configuration is put in
//! place in two steps: all replicate it first, then all learn that it applies.

use super::ControllerCore;
use batch::wire::{Message as _, PlacementMap};
use bytes::Bytes;
use chain_replication::Millis;
use relay_tree::Stamp;
use slog::{info, warn};

/// Those who have not confirmed a configuration by then are out of contact or slow, and are not
/// waited for.
pub(super) const ACTIVATION_TIMEOUT: Millis = 400;

/// Key of the newest configuration.
const NEXT_CONFIG_KEY: &str = "config/next";
/// Key of the version that applies.
const ACTIVE_CONFIG_KEY: &str = "config/active";
/// Key of the placement map.
const PLACEMENT_KEY: &str = "stores";

/// A configuration that is being put in place.
#[derive(Debug, Clone, Copy)]
pub(super) struct ConfigActivation {
    version: u64,
    since: Millis,
}

impl ControllerCore {
    /// What is on enough disks of the chain is published, by the head. No member acts on what is
    /// not: what is only in its own table may be lost with it.
    pub(super) fn publish_committed(&mut self, now: Millis) {
        if self.acknowledgeable() < self.chain.last_received() {
            // What is proposed and not yet on enough disks is not published; the table already
            // holds it.
            return;
        }
        self.read_placement();
        if !self.chain.is_head() {
            return;
        }
        let state = self.chain.state_machine();
        if state.placement_number > 0 {
            let stamp = Stamp(state.placement_number, 0);
            self.state_table
                .set(now, PLACEMENT_KEY, stamp, Some(state.placement.clone()));
        }
        if let Some((change, body)) = &state.config {
            let (stamp, body) = (Stamp(change.version, 0), body.clone());
            if self
                .state_table
                .set(now, NEXT_CONFIG_KEY, stamp, Some(body))
            {
                info!(self.log, "configuration committed"; "gen" => change.version);
            }
            let active = self.state_table.get(ACTIVE_CONFIG_KEY);
            let is_active = active.is_some_and(|entry| entry.stamp >= stamp);
            let is_under_way = self
                .config_activation
                .is_some_and(|activation| activation.version == stamp.0);
            if !is_active && !is_under_way {
                self.config_activation = Some(ConfigActivation {
                    version: stamp.0,
                    since: now,
                });
            }
        }
    }

    fn read_placement(&mut self) {
        let state = self.chain.state_machine();
        let number = state.placement_number;
        if number <= self.placement.as_ref().map_or(0, |map| map.number) {
            return;
        }
        match PlacementMap::decode(&state.placement) {
            Ok(map) => {
                info!(self.log, "placement map applied"; "map" => number);
                self.placement = Some(map);
            }
            Err(error) => {
                warn!(self.log, "placement map unreadable"; "code" => 1407, "why" => %error);
            }
        }
    }

    /// Puts a configuration in place once all in contact have it.
    pub(super) fn advance_config_activation(&mut self, now: Millis) {
        let Some(ConfigActivation { version, since }) = self.config_activation else {
            return;
        };
        let acks = self
            .state_table
            .acknowledged(NEXT_CONFIG_KEY, Stamp(version, 0));
        // Where no version applies anywhere, all controllers have just started, and no process
        // serves by an older version that the others would have to wait for.
        let is_first = self.state_table.get(ACTIVE_CONFIG_KEY).is_none();
        let all_have =
            acks.acknowledged >= acks.subscribers && acks.peer_subtrees_acknowledged >= acks.peers;
        if is_first || all_have || now >= since + ACTIVATION_TIMEOUT {
            self.config_activation = None;
            self.state_table.set(
                now,
                ACTIVE_CONFIG_KEY,
                Stamp(version, 0),
                Some(Bytes::new()),
            );
            info!(self.log, "configuration applied"; "gen" => version, "held" => acks.acknowledged,
                "of" => acks.subscribers);
        }
    }

    /// The version of the configuration that applies; 0 if there is none.
    pub(crate) fn active_config_version(&self) -> u64 {
        self.state_table
            .get(ACTIVE_CONFIG_KEY)
            .map_or(0, |entry| entry.stamp.0)
    }
}
