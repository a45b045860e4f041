//! What is kept is told to all: configurations, the map of stores, the controllers.

use super::Owner;
use batch::wire::Message as _;
use batch::wire::PlacementMap;
use bytes::Bytes;
use chain_replication::Millis;
use relay_tree::Stamp;
use replicated_state::{decode_addresses, encode_addresses};
use slog::{info, warn};
use std::net::SocketAddr;

/// Those who have not confirmed a configuration by then are out of touch or slow, and are not waited for.
const SPREAD_WITHIN: Millis = 400;

impl Owner {
    /// What is on enough disks of the chain is told to all, by the head. No member acts on what is not: what is only in its
    /// own table may be lost with it.
    pub(super) fn committed(&mut self, now: Millis) {
        if self.node.committed_with_members(self.least()) < self.node.last_received() {
            // What is ordered and not yet kept on enough disks stays untold; the table already holds it.
            return;
        }
        let (map_number, map) = (
            self.node.state_machine().map_number,
            self.node.state_machine().map.clone(),
        );
        if map_number > self.map.as_ref().map_or(0, |m| m.number) {
            match PlacementMap::decode(&map) {
                Ok(read) => {
                    info!(self.log, "map of stores in force"; "map" => map_number);
                    self.map = Some(read);
                }
                Err(e) => warn!(self.log, "map of stores unreadable"; "code" => 1407, "why" => %e),
            }
        }
        if !self.node.is_head() {
            return;
        }
        if map_number > 0 {
            self.state_table
                .set(now, "stores", Stamp(map_number, 0), Some(map));
        }
        if let Some((change, body)) = &self.node.state_machine().config {
            let (stamp, body) = (Stamp(change.gen, 0), body.clone());
            if self.state_table.set(now, "config/next", stamp, Some(body)) {
                info!(self.log, "configuration kept"; "gen" => change.gen);
            }
            let active = self
                .state_table
                .get("config/active")
                .is_some_and(|f| f.stamp >= stamp);
            if !active && self.spreading.is_none_or(|(gen, _)| gen != stamp.0) {
                self.spreading = Some((stamp.0, now));
            }
        }
    }

    /// Puts a configuration in force once all in touch hold it.
    pub(super) fn spread(&mut self, now: Millis) {
        let Some((gen, since)) = self.spreading else {
            return;
        };
        let held = self.state_table.acknowledged("config/next", Stamp(gen, 0));
        // Where no word of any version is about, all controllers have just started: nobody is to be kept in step with others.
        let first = self.state_table.get("config/active").is_none();
        if first
            || held.acknowledged >= held.subscribers
                && held.peer_subtrees_acknowledged >= held.peers
            || now >= since + SPREAD_WITHIN
        {
            self.spreading = None;
            self.state_table
                .set(now, "config/active", Stamp(gen, 0), Some(Bytes::new()));
            info!(self.log, "configuration in force"; "gen" => gen, "held" => held.acknowledged, "of" => held.subscribers);
        }
    }

    /// The addresses of all controllers, head first, for those who follow them.
    pub(super) fn tell_controllers(&mut self, now: Millis) {
        let Some(view) = self.node.view().cloned() else {
            return;
        };
        let mut list: Vec<SocketAddr> = view.members.iter().map(|m| m.addr).collect();
        list.extend(
            self.controllers
                .hears(now)
                .into_iter()
                .filter(|a| !view.members.iter().any(|m| m.addr == *a)),
        );
        if self.told_controllers == (view.number, list.clone()) {
            return;
        }
        self.told_controllers = (view.number, list.clone());
        let value = encode_addresses(&list);
        self.state_table.set(
            now,
            "controllers",
            Stamp(view.number, self.unix),
            Some(value),
        );
    }

    pub(super) fn state_entry(&mut self, now: Millis, key: &str) {
        if key.starts_with("runner/") {
            if let Some(state_entry) = self.state_table.get(key) {
                self.registry.apply_remote_entry(now, state_entry);
            }
        } else if key == "controllers" && !self.node.is_head() {
            if let Some(value) = self.state_table.get(key).and_then(|f| f.value.as_ref()) {
                self.told_controllers.1 = decode_addresses(value).unwrap_or_default();
            }
        }
    }
}
