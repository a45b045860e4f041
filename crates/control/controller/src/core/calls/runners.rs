//! Calls of runners.

use super::outcome::too_few_know;
use super::{out_of_contact, under_repair, Answer, Outcome};
use crate::call::Response;
use crate::core::pending::Condition;
use crate::core::ControllerCore;
use chain_replication::Millis;
use relay_tree::{Stamp, StateEntry};
use runner_registry::{home_controller, RunRecord};
use slog::{info, warn};
use std::net::SocketAddr;

/// A process younger than this acknowledges heartbeats without contact to a majority: all
/// controllers may have just started.
const STARTUP_GRACE: Millis = 4_000;

impl ControllerCore {
    pub(super) fn runner_heartbeat(&mut self, now: Millis, id: &str, body: &[u8]) -> Answer {
        let owner_before = self.registry.get(id).map(|runner| runner.owner);
        let record_before = self.registry.run_record(id).map(RunRecord::stamp);
        let accepted = match self.registry.heartbeat(now, id, body) {
            Ok(accepted) => accepted,
            Err(error) => {
                if let Some(left_out) = self.rejections.log_limit.check(now, "heartbeat") {
                    warn!(self.log, "runner heartbeat rejected"; "code" => 1320, "runner" => id,
                        "why" => %error, "left_out" => left_out);
                }
                return Err(Response::error(400, 1320, &error.to_string()));
            }
        };
        let is_recorded = self.registry.run_record(id).map(RunRecord::stamp) != record_before;
        if let Some(entry) = accepted.publish {
            self.log_publication(id, &entry, accepted.draining, is_recorded);
            self.state_table
                .set(now, &entry.key, entry.stamp, entry.value);
        }
        if !self.acknowledges_runners(now) {
            return Err(out_of_contact());
        }
        if accepted.draining || is_recorded {
            return self.acknowledge_recorded(now, id, accepted.stamp);
        }
        let home = self.home_to_name(now, id, owner_before);
        let response = home.map_or_else(Response::ok, Response::heartbeat_address);
        Ok(Outcome::Respond(response))
    }

    fn log_publication(&self, id: &str, entry: &StateEntry, draining: bool, is_recorded: bool) {
        if entry.value.is_none() {
            info!(self.log, "heartbeat of a runner that left ignored"; "runner" => id);
            return;
        }
        if is_recorded && !draining {
            let generation = self.registry.run_record(id).map(|record| record.generation);
            info!(self.log, "runner started anew"; "runner" => id, "generation" => generation);
        }
        let version = self.registry.get(id).map(|runner| &runner.software_version);
        info!(self.log, "runner state published"; "runner" => id, "draining" => draining,
            "version" => version.map(|v| v.as_str()));
    }

    /// Where a runner's later heartbeats are to go, if that is not here and is to be said.
    fn home_to_name(
        &mut self,
        now: Millis,
        id: &str,
        owner_before: Option<u64>,
    ) -> Option<SocketAddr> {
        let mut controllers = self.peers.received(now);
        controllers.push(self.me.addr);
        let home = home_controller(id, &controllers).filter(|home| *home != self.me.addr)?;
        let was_at_home = owner_before.is_some() && owner_before == self.peers.incarnation(home);
        let is_named = self.heartbeat_homes.name(id, home, was_at_home);
        is_named.then(|| self.ctl_of(home))
    }

    pub(super) fn runner_leave(&mut self, now: Millis, id: &str) -> Answer {
        self.heartbeat_homes.forget(id);
        if let Some(entry) = self.registry.leave(now, id) {
            info!(self.log, "runner left"; "runner" => id);
            self.state_table
                .set(now, &entry.key, entry.stamp, entry.value);
        }
        if !self.acknowledges_runners(now) {
            return Err(out_of_contact());
        }
        let Some(stamp) = self.registry.stamp(id) else {
            // A bad id, or too many runners: nobody knows it.
            return Err(too_few_know());
        };
        self.acknowledge_recorded(now, id, stamp)
    }

    /// Whether runners may rely on this controller. One without a majority publishes their state
    /// for those that follow it, but acknowledges nothing: a runner that is refused goes on to a
    /// controller in contact, where all learn of it.
    fn acknowledges_runners(&self, now: Millis) -> bool {
        self.quorum_contact.holds(now) || self.last_tick_at <= STARTUP_GRACE
    }

    /// Acknowledges that a runner drains or has left, or has started anew, once enough know it and
    /// enough disks hold it. Said again, it waits again: the first time may have found too few.
    fn acknowledge_recorded(&mut self, now: Millis, id: &str, stamp: Stamp) -> Answer {
        if !self.may_wait() {
            return Err(under_repair());
        }
        let record = self.want_stored(now, id).ok_or_else(under_repair)?;
        let id = id.to_owned();
        Ok(Outcome::WaitFor(Condition::RunRecorded {
            id,
            stamp,
            record,
        }))
    }
}
