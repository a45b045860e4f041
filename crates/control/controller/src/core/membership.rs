//! Which controllers there are, and what they tell each other: heartbeats, requests for the newest
//! view, and the entry that lists them for those who follow controllers.

use super::ControllerCore;
use crate::frame_kind::CONTROLLER_HEARTBEAT;
use crate::heartbeat::{ControllerHeartbeat, EncodedStatus, LEAVING, NO_DISK, UNABLE_TO_PERSIST};
use chain_replication::{Member, Millis};
use relay_tree::Stamp;
use replicated_state::{decode_addresses, encode_addresses, CONTROLLERS_KEY};
use runner_registry::{id_from_key, id_from_run_record_key};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// How often a controller that lacks the newest view requests it.
const VIEW_REQUEST_INTERVAL: Millis = 300;

/// The controllers as the entry [`CONTROLLERS_KEY`] lists them.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct PublishedControllers {
    /// The view in which this controller published it.
    view: u64,
    addresses: Vec<SocketAddr>,
}

impl ControllerCore {
    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        let leaving = if self.shutdown.is_requested() {
            LEAVING
        } else {
            0
        };
        let unable = if self.disk_health.is_writable() {
            0
        } else {
            UNABLE_TO_PERSIST
        };
        let no_disk = if self.has_disk() { 0 } else { NO_DISK };
        let heartbeat = ControllerHeartbeat {
            id: self.me.id,
            incarnation: self.incarnation,
            zone: self.own_failure_domain(),
            status: EncodedStatus::from(&self.chain.status()),
            flags: leaving | unable | no_disk,
            receives_from: self
                .peers
                .received(now)
                .into_iter()
                .map(Into::into)
                .collect(),
        };
        let body = heartbeat.encode();
        for addr in self.other_controllers() {
            self.send(addr, CONTROLLER_HEARTBEAT, body.clone());
        }
    }

    /// Whether this controller can keep records on a disk.
    pub(super) fn has_disk(&self) -> bool {
        self.settings.data_dir.is_some()
    }

    /// Requests the newest view from all that are known, if this controller has none or has
    /// received messages of a newer one.
    pub(super) fn request_view(&mut self, now: Millis) {
        let own = self.agreement.current_view().map_or(0, |v| v.view.number);
        let is_behind = own == 0 || self.chain.newest_view_observed() > own;
        let due = |at: Millis| now >= at + VIEW_REQUEST_INTERVAL;
        if is_behind && self.view_plan.last_request_at.is_none_or(due) {
            self.view_plan.last_request_at = Some(now);
            for addr in self.other_controllers() {
                self.agreement.request_view(addr);
            }
        }
    }

    /// All other controllers that are known from anywhere.
    pub(super) fn other_controllers(&self) -> BTreeSet<SocketAddr> {
        let mut all: BTreeSet<SocketAddr> = self.peers.known().collect();
        all.extend(self.settings.controller_peers());
        if let Some(current) = self.agreement.current_view() {
            let members = current.view.members.iter().chain(&current.view.joining);
            all.extend(members.chain(&current.acceptors).map(|m: &Member| m.addr));
        }
        all.extend(self.published_controllers.addresses.iter().copied());
        all.remove(&self.me.addr);
        all
    }

    /// Follows the state tables of the other controllers.
    pub(super) fn follow_controllers(&mut self, now: Millis) {
        self.peers.forget_silent(now);
        let all: Vec<SocketAddr> = self.other_controllers().into_iter().collect();
        self.state_table.set_parents(now, all);
    }

    /// Publishes the addresses of all controllers, head first, for those who follow them.
    pub(super) fn publish_controllers(&mut self, now: Millis) {
        let Some(view) = self.chain.view() else {
            return;
        };
        let (view, mut addresses) = (view.number, addresses_of(&view.members));
        let members = addresses.len();
        for addr in self.peers.received(now) {
            if !addresses[..members].contains(&addr) {
                addresses.push(addr);
            }
        }
        let list = PublishedControllers { view, addresses };
        if self.published_controllers == list {
            return;
        }
        let value = encode_addresses(&list.addresses);
        self.published_controllers = list;
        self.state_table
            .set(now, CONTROLLERS_KEY, Stamp(view, self.unix_ms), Some(value));
    }

    /// An entry of the state table has changed.
    pub(super) fn state_entry_changed(&mut self, now: Millis, key: &str) {
        if key.starts_with("runner/") {
            if let Some(entry) = self.state_table.get(key) {
                self.registry.apply_remote_entry(now, entry);
            }
            if let Some(id) = id_from_key(key) {
                self.correct_runner(now, id);
            }
        } else if let Some(id) = id_from_run_record_key(key) {
            self.run_record_changed(now, id);
        } else if key == CONTROLLERS_KEY && !self.chain.is_head() {
            let entry = self.state_table.get(key);
            if let Some(value) = entry.and_then(|entry| entry.value.as_ref()) {
                let addresses = decode_addresses(value).unwrap_or_default();
                self.published_controllers.addresses = addresses;
            }
        }
    }
}

fn addresses_of(members: &[Member]) -> Vec<SocketAddr> {
    members.iter().map(|m| m.addr).collect()
}
