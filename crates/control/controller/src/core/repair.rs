//! The controllers' own view: which chain and acceptors should be next, and when to propose them.

use super::work::addresses;
use super::{ControllerCore, QUORUM_CONTACT_TIMEOUT};
use crate::peers::{FAILURE_TIMEOUT, HEARTBEAT_INTERVAL};
use chain_replication::{Member, Millis, Observation};
use slog::info;
use std::net::SocketAddr;
use view_agreement::ControllerView;

/// How long a proposal is given before the next one.
const PROPOSAL_INTERVAL: Millis = 700;
/// How much later each next acceptor in the order proposes, so that usually one does.
const PROPOSAL_STAGGER: Millis = 250;
/// A controller drops silent members only once it has been in contact for so long: a whole failure
/// timeout and a heartbeat, in which heartbeats of all live ones must have arrived.
const JUDGEMENT_DELAY: Millis = FAILURE_TIMEOUT + HEARTBEAT_INTERVAL;
/// A member whose heartbeats arrive here, and only not at others, is dropped once that has lasted
/// this long. A controller that receives no heartbeats any more notices it peer by peer, up to a
/// heartbeat apart, and reports it with its next heartbeat; each may be late by a tick.
const DOUBT_TIMEOUT: Millis = 3 * HEARTBEAT_INTERVAL;
/// Without an answer of a majority for so long (two quorum checks and more), a peer's silence may
/// be this controller's own, and no view is proposed.
const QUORUM_CHECK_TIMEOUT: Millis = 500;

/// The view that should be next.
#[derive(Debug)]
pub(super) struct DesiredView {
    view: ControllerView,
    /// Since when it is that one.
    since: Millis,
}

/// When views are proposed and requested.
#[derive(Debug, Default)]
pub(super) struct ViewPlan {
    /// None while the view in place should stay.
    pub(super) desired: Option<DesiredView>,
    last_proposal_at: Millis,
    /// When a newer view was requested last.
    pub(super) last_request_at: Option<Millis>,
    /// Since when this controller is in contact; see [`JUDGEMENT_DELAY`].
    pub(super) in_contact_since: Option<Millis>,
}

impl ControllerCore {
    /// Whether a majority of the acceptors confirmed recently that this view is the newest.
    pub(super) fn has_quorum_contact(&self, now: Millis) -> bool {
        let age = self.agreement.quorum_contact_age(now);
        age.is_some_and(|age| age < QUORUM_CONTACT_TIMEOUT)
    }

    /// Proposes another view if there should be one.
    pub(super) fn repair_view(&mut self, now: Millis) {
        self.peers.note_mutual_contact(now, self.me.addr);
        let Some(current) = self.agreement.current_view().cloned() else {
            return;
        };
        let is_me = |a: &Member| a.id == self.me.id && a.addr == self.me.addr;
        let rank = current.acceptors.iter().position(is_me);
        let in_contact = self
            .agreement
            .quorum_contact_age(now)
            .is_some_and(|age| age < QUORUM_CHECK_TIMEOUT);
        let (Some(rank), true) = (rank, in_contact && self.disk_health.is_writable()) else {
            self.view_plan.desired = None;
            self.view_plan.in_contact_since = None;
            return;
        };
        // After a start, a stall or a partition, heartbeats of live peers may not have arrived yet.
        if now < *self.view_plan.in_contact_since.get_or_insert(now) + JUDGEMENT_DELAY {
            return;
        }
        let observed = self.observe_controllers(now, &current);
        let next = view_agreement::next_controller_view(
            &current,
            &observed,
            self.view_sizing(),
            &|m: &Member| self.useless_for(now, m),
        );
        let Some(next) = next else {
            self.view_plan.desired = None;
            self.log_zone_tolerance(&current, &observed);
            return;
        };
        let silent_for = |m: &Member| {
            if m.addr == self.me.addr {
                0
            } else {
                self.silent_for(now, m)
            }
        };
        if chain_replication::remaining_members_recently_seen(
            &current.view,
            &next.view,
            &silent_for,
        ) {
            self.propose_when_due(now, rank, &current, next, &observed);
        }
    }

    /// The controllers as the rule of the next view takes them.
    fn observe_controllers(&self, now: Millis, current: &ControllerView) -> Vec<Observation> {
        // A member that lost its disk is no member any more, and no other is dropped for lack of
        // contact with it.
        let is_there =
            |m: &&Member| m.addr == self.me.addr || self.peers.identity(m.addr) == Some(m.id);
        let members = current.view.members.iter().filter(is_there);
        let order: Vec<SocketAddr> = members.map(|m| m.addr).collect();
        let own = Observation {
            member: self.me.clone(),
            alive: true,
            status: Some(self.chain.status()),
            zone: self.own_failure_domain(),
            draining: self.shutdown.is_requested(),
            retiring: !self.has_disk(),
        };
        let mut observed = self.peers.observations(now, self.me.addr, own, &order);
        self.leave_out_unable(now, current, &mut observed);
        observed
    }

    /// For how long this member has been silent; as long as this process runs if no heartbeat
    /// of this identity ever came.
    fn silent_for(&self, now: Millis, m: &Member) -> Millis {
        let is_it = self.peers.identity(m.addr) == Some(m.id);
        let silent_for = if is_it {
            self.peers.silent_for(now, m.addr)
        } else {
            None
        };
        silent_for.unwrap_or(now)
    }

    /// For how long this member has been of no use: silent, receiving nothing, or unable to
    /// persist.
    fn useless_for(&self, now: Millis, m: &Member) -> Millis {
        let out_of_contact = self.peers.out_of_contact_for(now, m.addr);
        let out_of_contact = out_of_contact.filter(|_| m.addr != self.me.addr);
        let unable = self.peers.unable_to_persist_for(now, m.addr);
        let silent = self.silent_for(now, m);
        silent
            .max(out_of_contact.unwrap_or(0))
            .max(unable.unwrap_or(0))
    }

    /// Proposes the view that should be next once it has been that one for long enough, and it is
    /// this acceptor's turn.
    fn propose_when_due(
        &mut self,
        now: Millis,
        rank: usize,
        current: &ControllerView,
        next: ControllerView,
        observed: &[Observation],
    ) {
        let since = match &self.view_plan.desired {
            Some(desired) if desired.view == next => desired.since,
            _ => {
                self.view_plan.desired = Some(DesiredView {
                    view: next.clone(),
                    since: now,
                });
                now
            }
        };
        let is_doubtful = self.drops_a_live_member(now, current, &next, observed);
        let doubt = if is_doubtful { DOUBT_TIMEOUT } else { 0 };
        let due = now >= since + doubt + PROPOSAL_STAGGER * rank as Millis
            && now >= self.view_plan.last_proposal_at + PROPOSAL_INTERVAL;
        if due && !self.is_the_one_cut_off(now, current) {
            self.view_plan.last_proposal_at = now;
            info!(self.log, "view proposed"; "view" => next.view.number,
                "chain" => addresses(&next.view.members));
            self.agreement.propose(now, next);
        }
    }

    /// Whether the next view drops a member whose heartbeats arrive here. Dropping silent members,
    /// those replaced by newcomers and those that leave needs no further delay.
    fn drops_a_live_member(
        &self,
        now: Millis,
        current: &ControllerView,
        next: &ControllerView,
        observed: &[Observation],
    ) -> bool {
        current.view.members.iter().any(|m| {
            let stays = next.view.members.iter().any(|n| n.is_same_process(m));
            let known = observed
                .iter()
                .find(|s| s.member.is_same_process(m))
                .is_some_and(|s| !s.draining);
            let silent_for = self.peers.silent_for(now, m.addr);
            let is_silent = silent_for.is_none_or(|s| s >= FAILURE_TIMEOUT);
            !stays && known && !is_silent
        })
    }

    /// Whether one that comes before this controller, in the chain or then among the acceptors, is
    /// out of contact with this one but in contact with a majority of the acceptors. Where only the
    /// link between two is cut, the later one goes: if each proposed views without the other in
    /// turn, neither would ever be in sync, and nothing be acknowledged.
    fn is_the_one_cut_off(&self, now: Millis, current: &ControllerView) -> bool {
        let me = self.me.addr;
        let acceptors: Vec<SocketAddr> = current.acceptors.iter().map(|a| a.addr).collect();
        let members = current.view.members.iter().map(|m| m.addr);
        let before = members
            .chain(acceptors.iter().copied())
            .take_while(|addr| *addr != me);
        let mut cut_from_me = before.filter(|addr| !self.peers.in_mutual_contact(now, me, *addr));
        cut_from_me.any(|addr| {
            let itself = usize::from(acceptors.contains(&addr));
            let others = self.peers.count_in_contact_with(now, me, addr, &acceptors);
            (others + itself) * 2 > acceptors.len()
        })
    }

    /// Those whose disks take nothing count as gone: as members only while enough others remain, or
    /// can take their places. Else nothing would be acknowledged without them either, and their
    /// replicas are worth keeping.
    fn leave_out_unable(
        &self,
        now: Millis,
        current: &ControllerView,
        observed: &mut [Observation],
    ) {
        let is_unable = |addr: SocketAddr| self.peers.unable_to_persist_for(now, addr).is_some();
        let is_inside = |m: &Member| {
            current
                .view
                .members
                .iter()
                .any(|member| member.is_same_process(m))
        };
        let able = |s: &&Observation| s.alive && !is_unable(s.member.addr);
        let remaining = observed
            .iter()
            .filter(able)
            .filter(|s| is_inside(&s.member))
            .count();
        let all = observed
            .iter()
            .filter(able)
            .filter(|s| !s.draining && !s.retiring)
            .count();
        let required = self.required_replicas();
        let continues = remaining >= required || remaining > 0 && all >= required;
        for controller in observed.iter_mut().filter(|s| is_unable(s.member.addr)) {
            controller.alive &= is_inside(&controller.member) && !continues;
        }
    }

    /// A view was chosen.
    pub(super) fn install_view(&mut self, now: Millis, next: &ControllerView) {
        info!(self.log, "view installed"; "view" => next.view.number,
            "chain" => addresses(&next.view.members), "acceptors" => addresses(&next.acceptors),
            "joining" => addresses(&next.view.joining));
        self.log_tolerance(next);
        self.head_since = None;
        self.stores.reset();
        self.chain.install_view(now, next.view.clone());
        self.forget_confirmations();
        self.config_activation = None;
        self.last_heartbeat_at = None;
    }
}
