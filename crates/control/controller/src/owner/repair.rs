//! The controllers' own view: who is there, and which chain and acceptors should be next.

use super::{addresses, Owner, CONTROLLER_HEARTBEAT, STALE};
use crate::heartbeats::{
    zone_number, ControllerHeartbeat, StatusFrame, EVERY, LEAVING, NO_DISK, SILENT,
    UNABLE_TO_PERSIST,
};
use crate::plan::Lengths;
use chain_replication::{Member, Millis, Observation};
use slog::{info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use view_agreement::{ControllerView, Sizing};

/// How long a proposal is given before the next one, and how much later each next acceptor in the order tries.
const PROPOSE_EVERY: Millis = 700;
/// See [`PROPOSE_EVERY`].
const PROPOSE_RANK: Millis = 250;
/// A controller proposes a view without those that it does not hear only once it has been in touch for so long: a whole silence
/// and a heartbeat.
const JUDGES_AFTER: Millis = SILENT + EVERY;
/// Whom only others do not hear is left out once that has been so for this long. One that hears nobody any more finds that
/// out of one peer after the other, up to a heartbeat apart, and says so with its next heartbeat; each may be late by a
/// tick.
const SURE_AFTER: Millis = 3 * EVERY;
/// A majority not heard for so long, two rounds of pings and more: whoever was not heard either may be there.
const MISSED: Millis = 500;
/// How often one that lacks the newest view asks for it.
const ASK_EVERY: Millis = 300;

impl Owner {
    /// How many machines with a disk may be lost at once. Where zones or regions may be lost, as many machines are counted
    /// at least, and the rule of the next view spreads them ([`Owner::zones_lost`]).
    fn faults(&self) -> usize {
        let budget = &self.settings.budget;
        budget.nodes.max(budget.zones).max(budget.regions) as usize
    }

    /// How many whole zones may be lost at once, or regions where the settings name these.
    fn zones_lost(&self) -> usize {
        let budget = &self.settings.budget;
        if budget.regions > 0 {
            budget.regions as usize
        } else {
            budget.zones as usize
        }
    }

    /// What this controller may be lost together with: its region where regions may be lost, else its zone.
    fn own_zone(&self) -> u64 {
        let by_region = self.settings.budget.regions > 0;
        zone_number(if by_region {
            &self.settings.region
        } else {
            &self.settings.zone
        })
    }

    /// Whether this controller can keep records on a disk.
    fn persists(&self) -> bool {
        self.settings.data_dir.is_some()
    }

    /// What the view is sized by.
    pub(super) fn sizing(&self) -> Sizing {
        Sizing::new(self.faults(), self.settings.bounds.sync_ms)
            .with_zone_failures(self.zones_lost())
    }

    /// The lengths of the chains, of controllers and stores alike.
    pub(super) fn lengths(&self) -> Lengths {
        let least = self.faults() + 1;
        Lengths {
            wanted: least + 1,
            least,
        }
    }

    /// Whether a majority of the acceptors said lately that this view is the newest.
    pub(super) fn in_touch(&self, now: Millis) -> bool {
        self.agreement
            .quorum_contact_age(now)
            .is_some_and(|age| age < STALE)
    }

    /// So many disks must hold what is acknowledged: one more than may be lost, or all where the tier has fewer.
    pub(super) fn least(&self) -> usize {
        let founders = self
            .agreement
            .current_view()
            .map_or(1, |v| v.acceptors.len());
        self.lengths().least.min(founders)
    }

    /// Whether what is put in here is acknowledged by enough disks.
    pub(super) fn can_commit(&self) -> bool {
        let members = self.node.view().map_or(0, |v| v.members.len());
        self.persistence.is_writable()
            && self.node.is_head()
            && self.node.is_ready()
            && members >= self.least()
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        let hears = self.controllers.hears(now);
        let status = StatusFrame::new(&self.node.status());
        let hears = hears.into_iter().map(Into::into).collect();
        let zone = self.own_zone();
        let unable = if self.persistence.is_writable() {
            0
        } else {
            UNABLE_TO_PERSIST
        };
        let leaving = if self.leaving { LEAVING } else { 0 };
        let no_disk = if self.persists() { 0 } else { NO_DISK };
        let flags = leaving | unable | no_disk;
        let heartbeat = ControllerHeartbeat {
            id: self.me.id,
            incarnation: self.incarnation,
            zone,
            status,
            flags,
            hears,
        };
        let body = heartbeat.encode();
        for addr in self.all_controllers() {
            self.tell(addr, CONTROLLER_HEARTBEAT, body.clone());
        }
    }

    /// A newcomer, or one that hears frames of a newer view, asks those it knows of.
    pub(super) fn ask_for_view(&mut self, now: Millis) {
        let own = self.agreement.current_view().map_or(0, |v| v.view.number);
        let behind = own == 0 || self.node.newest_view_observed() > own;
        if behind && self.asked.is_none_or(|at| now >= at + ASK_EVERY) {
            self.asked = Some(now);
            for addr in self.all_controllers() {
                self.agreement.request_view(now, addr);
            }
        }
    }

    /// All other controllers that are known from anywhere.
    pub(super) fn all_controllers(&self) -> BTreeSet<SocketAddr> {
        let mut all: BTreeSet<SocketAddr> = self.controllers.known().collect();
        all.extend(self.settings.controller_peers());
        if let Some(current) = self.agreement.current_view() {
            all.extend(
                current
                    .view
                    .members
                    .iter()
                    .chain(&current.view.joining)
                    .chain(&current.acceptors)
                    .map(|m| m.addr),
            );
        }
        all.extend(self.told_controllers.1.iter().copied());
        all.remove(&self.me.addr);
        all
    }

    /// Follows the state tables of the other controllers.
    pub(super) fn follow(&mut self, now: Millis) {
        self.controllers.forget(now);
        let all: Vec<SocketAddr> = self.all_controllers().into_iter().collect();
        self.state_table.set_parents(now, all);
    }

    /// The view of the controllers, if it should be another one.
    pub(super) fn repair(&mut self, now: Millis) {
        self.controllers.note_touch(now, self.me.addr);
        let Some(current) = self.agreement.current_view().cloned() else {
            return;
        };
        let rank = current
            .acceptors
            .iter()
            .position(|a| a.id == self.me.id && a.addr == self.me.addr);
        let age = self
            .agreement
            .quorum_contact_age(now)
            .unwrap_or(Millis::MAX);
        let (Some(rank), true) = (rank, age < MISSED && self.persistence.is_writable()) else {
            self.wanted = None;
            self.touched_since = None;
            return;
        };
        // One that has just started, woken or come back has not heard yet who is there.
        if now < *self.touched_since.get_or_insert(now) + JUDGES_AFTER {
            return;
        }
        // One that lost its disk is no member any more, and nobody is left out for not hearing it.
        let there =
            |m: &&Member| m.addr == self.me.addr || self.controllers.id(m.addr) == Some(m.id);
        let order: Vec<SocketAddr> = current
            .view
            .members
            .iter()
            .filter(there)
            .map(|m| m.addr)
            .collect();
        let own = Observation {
            member: self.me.clone(),
            alive: true,
            status: Some(self.node.status()),
            zone: self.own_zone(),
            draining: self.leaving,
            retiring: !self.persists(),
        };
        let mut seen = self.controllers.seen(now, self.me.addr, own, &order);
        self.leave_out_unable(now, &current, &mut seen);
        let by_id = |id: u64, addr: SocketAddr| {
            let same = self.controllers.id(addr) == Some(id);
            if same {
                self.controllers.silent(now, addr)
            } else {
                None
            }
        };
        let dead_for = |m: &Member| by_id(m.id, m.addr).unwrap_or(now);
        let useless_for = |m: &Member| {
            let deaf_for = self
                .controllers
                .out_of_touch_for(now, m.addr)
                .filter(|_| m.addr != self.me.addr);
            let unable_for = self.controllers.unable_for(now, m.addr);
            dead_for(m)
                .max(deaf_for.unwrap_or(0))
                .max(unable_for.unwrap_or(0))
        };
        let next =
            view_agreement::next_controller_view(&current, &seen, self.sizing(), &useless_for);
        let Some(next) = next else {
            self.wanted = None;
            self.log_zones(&current, &seen);
            return;
        };
        let silent_for = |m: &Member| {
            if m.addr == self.me.addr {
                0
            } else {
                dead_for(m)
            }
        };
        if !chain_replication::remaining_members_recently_seen(
            &current.view,
            &next.view,
            &silent_for,
        ) {
            return;
        }
        let since = match &self.wanted {
            Some((wanted, since)) if *wanted == next => *since,
            _ => {
                self.wanted = Some((next.clone(), now));
                now
            }
        };
        // Silent ones, newcomers in place of old ones and those that leave are no matter of doubt.
        let doubted = current.view.members.iter().any(|m| {
            let stays = next.view.members.iter().any(|n| n.is_same_process(m));
            let known = seen
                .iter()
                .find(|s| s.member.is_same_process(m))
                .is_some_and(|s| !s.draining);
            let silent = self
                .controllers
                .silent(now, m.addr)
                .is_none_or(|s| s >= SILENT);
            !stays && known && !silent
        });
        let sure = if doubted { SURE_AFTER } else { 0 };
        let due = now >= since + sure + PROPOSE_RANK * rank as Millis
            && now >= self.proposed + PROPOSE_EVERY;
        if due && !self.is_the_one_cut_off(now, &current) {
            self.proposed = now;
            info!(self.log, "view proposed"; "view" => next.view.number, "chain" => addresses(&next.view.members));
            self.agreement.propose(now, next);
        }
    }

    /// Whether one that comes before this controller, in the chain or then among the acceptors, is out of touch with this
    /// one but in touch with a majority of the acceptors. Where only the link between two is cut, the later one goes: if
    /// each proposed views without the other in turn, neither would ever be in sync, and nothing be acknowledged.
    fn is_the_one_cut_off(&self, now: Millis, current: &ControllerView) -> bool {
        let me = self.me.addr;
        let acceptors: Vec<SocketAddr> = current.acceptors.iter().map(|a| a.addr).collect();
        let members = current.view.members.iter().map(|m| m.addr);
        let before = members
            .chain(acceptors.iter().copied())
            .take_while(|addr| *addr != me);
        let mut cut_from_me = before.filter(|addr| !self.controllers.in_touch_with(now, me, *addr));
        cut_from_me.any(|addr| {
            let itself = usize::from(acceptors.contains(&addr));
            let hear_it = self.controllers.in_touch_among(now, me, addr, &acceptors);
            (hear_it + itself) * 2 > acceptors.len()
        })
    }

    /// Those whose disks take nothing count as gone: as members only while enough others remain, or can take their places.
    /// Else nothing would be acknowledged without them either, and their copies are worth keeping.
    fn leave_out_unable(&self, now: Millis, current: &ControllerView, seen: &mut [Observation]) {
        let unable = |addr: SocketAddr| self.controllers.unable_for(now, addr).is_some();
        let inside = |m: &Member| {
            current
                .view
                .members
                .iter()
                .any(|member| member.is_same_process(m))
        };
        let able = |s: &&Observation| s.alive && !unable(s.member.addr);
        let left = seen
            .iter()
            .filter(able)
            .filter(|s| inside(&s.member))
            .count();
        let all = seen
            .iter()
            .filter(able)
            .filter(|s| !s.draining && !s.retiring)
            .count();
        let goes_on = left >= self.least() || left > 0 && all >= self.least();
        for controller in seen.iter_mut().filter(|s| unable(s.member.addr)) {
            controller.alive &= inside(&controller.member) && !goes_on;
        }
    }

    pub(super) fn chosen(&mut self, now: Millis, next: &ControllerView) {
        info!(self.log, "view in force"; "view" => next.view.number, "chain" => addresses(&next.view.members),
            "acceptors" => addresses(&next.acceptors), "joining" => addresses(&next.view.joining));
        self.log_tolerance(next);
        self.head_since = None;
        self.stores.begin();
        self.node.install_view(now, next.view.clone());
        self.unsure();
        self.spreading = None;
        self.heartbeat_at = None;
    }

    /// Says whether as many losses are survived as the settings ask for; fewer are where there are too few machines with
    /// a disk.
    fn log_tolerance(&mut self, next: &ControllerView) {
        let by_votes = Sizing::failures_tolerated(next.acceptors.len());
        let by_copies = next.view.members.len().saturating_sub(1);
        let (tolerated, wanted) = (by_votes.min(by_copies), self.faults());
        if self.tolerated.replace(tolerated) == Some(tolerated) {
            return;
        }
        if tolerated < wanted {
            warn!(self.log, "too few controllers with a disk for the losses that the settings name"; "code" => 1340,
                "survives" => tolerated, "wanted" => wanted, "acceptors" => next.acceptors.len(),
                "copies" => next.view.members.len());
        } else {
            info!(self.log, "losses survived as the settings name"; "survives" => tolerated, "wanted" => wanted);
        }
    }
    /// Says whether as many zones may be lost as the settings name; fewer may where controllers with a disk run in too few
    /// zones. Looked at while nothing is to change, by those who decide.
    fn log_zones(&mut self, current: &ControllerView, seen: &[Observation]) {
        let wanted = self.zones_lost();
        let zone_of = |m: &Member| {
            seen.iter()
                .find(|s| s.member.addr == m.addr)
                .map(|s| s.zone)
        };
        let votes: Vec<u64> = current.acceptors.iter().filter_map(zone_of).collect();
        let mut copies: Vec<u64> = current.view.members.iter().filter_map(zone_of).collect();
        // What is not known yet says nothing.
        if wanted == 0
            || votes.len() < current.acceptors.len()
            || copies.len() < current.view.members.len()
        {
            return;
        }
        copies.sort_unstable();
        copies.dedup();
        let tolerated = Sizing::zone_failures_tolerated(&votes).min(copies.len().saturating_sub(1));
        if self.tolerated_zones.replace(tolerated) == Some(tolerated) {
            return;
        }
        if tolerated < wanted {
            warn!(self.log, "controllers with a disk in too few zones for the losses that the settings name";
                "code" => 1341, "survives" => tolerated, "wanted" => wanted,
                "acceptors" => addresses(&current.acceptors), "chain" => addresses(&current.view.members));
        } else {
            info!(self.log, "losses of zones survived as the settings name"; "survives" => tolerated, "wanted" => wanted);
        }
    }
}
