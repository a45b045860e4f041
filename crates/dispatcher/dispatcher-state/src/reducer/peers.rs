//! The other dispatchers: load that they publish, membership, and maintenance plans.

use super::Turn;
use crate::connection_pool::ConnectionPool;
use crate::target_group::TargetGroup;
use crate::{Anomaly, Effect, MembershipConfig, State};
use coordination::{Coordinator, TargetView};
use dispatch_api::load_exchange::{self, name_hash};
use dispatch_api::{Event, Micros, WorkerId};
use maintenance::{Plan, SavedState};
use membership::MemberUpdate;
use tracing::info;

/// What is known here of targets, as coordination asks for it.
struct KnownTargets<'a> {
    targets: &'a TargetGroup,
    pool: &'a ConnectionPool,
}

impl TargetView for KnownTargets<'_> {
    fn in_flight(&self, name_hash: u32) -> bool {
        let target = self.targets.by_name_hash(name_hash);
        target.is_some_and(|target| self.pool.has_attempt(target))
    }

    fn restarted(&self, name_hash: u32, since: Micros) -> bool {
        self.targets.started_after(name_hash, since)
    }
}

impl Turn<'_> {
    /// A datagram whose length is a multiple of an entry's tells of load; any other is for
    /// coordination, where this dispatcher takes part in it.
    pub(super) fn peer_datagram(&mut self, from: u32, message: &[u8]) {
        // A broadcast comes back to its sender; a number out of range is nobody's.
        let config = &self.state.config;
        if from == config.me || from >= config.settings.dispatchers {
            return;
        }
        let tells_load = message.len().is_multiple_of(load_exchange::ENTRY_BYTES);
        if !tells_load && self.state.coordinator.has_membership() {
            let coordinator = &mut self.state.coordinator;
            let effects = coordinator.handle_datagram(self.now, from, message);
            return self.apply(effects);
        }
        let targets = &self.state.targets;
        let known = |(name_hash, slots)| Some((targets.by_name_hash(name_hash)?, slots));
        let entries = load_exchange::decode_entries(message);
        let held = entries.filter_map(known).collect();
        self.events.push_back(Event::PeerLoad { from, held });
    }

    /// Tells every other dispatcher of the slots that jobs of this one hold.
    pub(super) fn publish_load(&mut self, held: &[(WorkerId, u32)]) {
        let targets = &self.state.targets;
        let entry = |(worker, slots): &(WorkerId, u32)| {
            let target = targets.get(*worker)?;
            Some(load_exchange::encode_entry(name_hash(&target.name), *slots))
        };
        let message = held.iter().filter_map(entry).flatten().collect();
        self.effects.push(Effect::BroadcastToPeers(message));
    }

    pub(super) fn membership_changed(&mut self, config: Option<MembershipConfig>) {
        let effects = self.state.coordinator.join(self.now, config);
        self.apply(effects);
    }

    pub(super) fn announce_shutdown(&mut self) {
        let effects = self.state.coordinator.leave(self.now);
        self.apply(effects);
    }

    pub(super) fn enable_maintenance(&mut self, saved: Option<SavedState>) {
        let coordinator = &mut self.state.coordinator;
        let effects = coordinator.enable_maintenance(self.now, saved);
        self.apply(effects);
    }

    pub(super) fn plan_requested(&mut self, plan: Option<Plan>) {
        let enabled = self.state.coordinator.maintenance().is_some();
        if let Some(plan) = plan.as_ref().filter(|_| enabled) {
            let targets = plan.targets.len();
            info!(id = plan.id, targets, "maintenance plan accepted");
        }
        self.coordinate(|coordinator, now, targets| coordinator.submit_plan(now, plan, targets));
    }

    pub(super) fn target_work_done(&mut self, target: &str) {
        let hash = name_hash(target);
        self.coordinate(|coordinator, now, targets| {
            coordinator.target_work_done(now, hash, targets)
        });
    }

    /// Calls the coordinator, which may look at what is known of targets, and applies what comes of
    /// it.
    pub(super) fn coordinate(
        &mut self,
        call: impl FnOnce(&mut Coordinator, Micros, &dyn TargetView) -> Vec<coordination::Effect>,
    ) {
        let State {
            coordinator,
            targets,
            pool,
            ..
        } = &mut *self.state;
        let effects = call(coordinator, self.now, &KnownTargets { targets, pool });
        self.apply(effects);
    }

    fn apply(&mut self, effects: Vec<coordination::Effect>) {
        for effect in effects {
            self.apply_one(effect);
        }
    }

    fn apply_one(&mut self, effect: coordination::Effect) {
        use coordination::Effect as Coordination;
        match effect {
            Coordination::Send { to, message } => {
                self.effects.push(Effect::SendToPeer { to, message });
            }
            Coordination::SetOutOfService { name_hash, out } => {
                self.set_out_of_service(name_hash, out);
            }
            Coordination::Joined {
                me,
                members,
                incarnation,
            } => info!(me, members, incarnation, "membership joined"),
            Coordination::MemberChanged(MemberUpdate {
                member,
                incarnation,
                state,
            }) => {
                let state = state.as_str();
                info!(member, state, incarnation, "member state changed");
            }
            Coordination::ReachabilityChanged { member, reachable } => {
                info!(member, heard = reachable, "member reachability changed");
            }
            Coordination::TargetStateChanged {
                name_hash,
                state,
                forced,
            } => {
                let target = self.state.targets.name_of(name_hash).unwrap_or("unknown");
                let standing = state.as_str();
                info!(target, standing, forced, "maintenance target state changed");
            }
            Coordination::PlanRejected(error) => info!(%error, "maintenance plan rejected"),
            Coordination::PlanCancelled { was_active } => {
                info!(called_off = was_active, "maintenance plan cancelled");
            }
            Coordination::MalformedDatagram => {
                let anomaly = Anomaly::MalformedDatagram;
                self.state.counters.count_anomaly(anomaly, 1);
            }
        }
    }
}
