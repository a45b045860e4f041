//! One member: the plan that it follows, how far it has come, and what every member reports of each
//! target.

use crate::message::{MemberReport, Message};
use crate::{Plan, PlanError, StateReport, TargetState};
use dispatch_api::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A target gets nothing new for so long, microseconds, before it can count as drained: the rule on
/// draining.
const MIN_DRAIN: Micros = 250_000;
/// How often others are sent to, microseconds, while a plan is active ...
const GOSSIP_INTERVAL: Micros = 200_000;
/// ... and once it is over: a member that comes back must learn of its end.
const GOSSIP_INTERVAL_OVER: Micros = 2_000_000;

/// What a member asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a datagram to another member.
    Send {
        /// The member's number.
        to: u16,
        /// The datagram.
        message: Message,
    },
    /// Send nothing new to a target, or use it again.
    SetOutOfService {
        /// The hash of its name.
        name_hash: u32,
        /// Out, as opposed to back.
        out: bool,
    },
    /// The state of a target has changed here; for the log.
    TargetStateChanged {
        /// The hash of its name.
        name_hash: u32,
        /// The state.
        state: TargetState,
        /// It changed because its time to drain, or to be out, has passed.
        forced: bool,
    },
}

/// What can be observed at this member.
pub struct Observations<'a> {
    /// Whether a member is not believed dead.
    pub alive: &'a dyn Fn(u16) -> bool,
    /// Whether anything of this dispatcher is in flight to a target.
    pub in_flight: &'a dyn Fn(u32) -> bool,
    /// Whether a target was restarted after this time.
    pub restarted: &'a dyn Fn(u32, Micros) -> bool,
}

/// One member.
#[derive(Debug, Clone)]
pub struct Maintenance {
    pub(crate) me: u16,
    pub(crate) members: u16,
    pub(crate) plan: Option<Plan>,
    /// Targets that have been taken out: the first so many of the plan.
    pub(crate) taken_out: usize,
    pub(crate) reports: BTreeMap<u16, StateReport>,
    /// When each target was taken out here.
    pub(crate) since: Vec<Option<Micros>>,
    /// Hashes of the targets that are out of service here.
    out_of_service: BTreeSet<u32>,
    /// Members that are believed dead, since when.
    pub(crate) dead: BTreeMap<u16, Micros>,
    gossip_at: Micros,
    pub(crate) gossips: u64,
    /// The member whose report goes first into the next datagram.
    pub(crate) next_reported: u16,
    pub(crate) effects: Vec<Effect>,
}

impl Maintenance {
    /// Member number `me` of so many, which knows of no plan.
    pub fn new(me: u16, members: u16) -> Self {
        Maintenance {
            me,
            members,
            plan: None,
            taken_out: 0,
            reports: BTreeMap::new(),
            since: vec![],
            out_of_service: BTreeSet::new(),
            dead: BTreeMap::new(),
            gossip_at: 0,
            gossips: 0,
            next_reported: me,
            effects: vec![],
        }
    }

    /// Whether a plan is known that is not over.
    pub fn active(&self) -> bool {
        self.plan.is_some() && !self.is_over()
    }

    /// When [`Maintenance::tick`] is wanted next; none without a plan.
    pub fn wake_at(&self) -> Option<Micros> {
        self.plan.as_ref().map(|_| self.gossip_at)
    }

    /// Adopts a plan of its own: version, submitter and id are set here.
    ///
    /// # Errors
    /// The plan is invalid.
    pub fn submit(&mut self, now: Micros, plan: Plan, id: u32) -> Result<(), PlanError> {
        plan.validate()?;
        let known = self.plan.as_ref();
        let version = known.map_or(1, |p| p.version.saturating_add(1));
        self.adopt(Plan {
            version,
            by: self.me,
            id,
            cancelled: false,
            ..plan
        });
        self.gossip_at = now;
        Ok(())
    }

    /// Cancels the plan. Returns whether one was active.
    pub fn cancel(&mut self, now: Micros) -> bool {
        let active = self.active();
        self.plan.iter_mut().for_each(|p| p.cancelled = true);
        self.gossip_at = now;
        active
    }

    /// The work on a target is done. Returns whether it is out of service by the plan.
    pub fn target_work_done(&mut self, now: Micros, name_hash: u32) -> bool {
        let Some(position) = self.position_out(name_hash) else {
            return false;
        };
        self.set_state(position, TargetState::Returned, false);
        self.gossip_at = now;
        true
    }

    fn position_out(&self, name_hash: u32) -> Option<usize> {
        let mut targets = self.plan.as_ref()?.targets.iter();
        let position = targets.position(|t| t.name_hash == name_hash)?;
        let state = self.own_state(position);
        let out = matches!(state, TargetState::Draining | TargetState::Drained);
        out.then_some(position)
    }

    /// The effects since the last call, besides those that [`Maintenance::tick`] and
    /// [`Maintenance::handle_message`] return.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Handles a datagram.
    pub fn handle_message(&mut self, now: Micros, message: &Message) -> Vec<Effect> {
        if message.from() == self.me || message.from() >= self.members {
            return vec![];
        }
        match message {
            Message::Plan(_, plan) => match &mut self.plan {
                Some(known) if known.id() == plan.id() => known.cancelled |= plan.cancelled,
                Some(known) if !plan.supersedes(known) => {}
                _ => self.adopt(plan.clone()),
            },
            Message::Progress {
                plan,
                gone,
                reports,
                ..
            } => {
                let known = self.plan.as_ref().filter(|known| known.id() == *plan);
                if let Some(targets) = known.map(|known| known.targets.len()) {
                    self.taken_out = self.taken_out.max(usize::from(*gone)).min(targets);
                    self.merge_reports(reports);
                }
            }
        }
        self.follow(now);
        self.take_effects()
    }

    fn merge_reports(&mut self, reports: &[MemberReport]) {
        for MemberReport { member, report } in reports {
            if *member < self.members {
                let known = self.reports.entry(*member).or_default();
                *known = known.merge(*report);
            }
        }
    }

    /// Does what is due at the time of [`Maintenance::wake_at`], or at any other.
    pub fn tick(&mut self, now: Micros, observations: &Observations<'_>) -> Vec<Effect> {
        for member in 0..self.members {
            if (observations.alive)(member) {
                self.dead.remove(&member);
            } else {
                self.dead.entry(member).or_insert(now);
            }
        }
        self.follow(now);
        self.advance(now, observations);
        while self.may_take_out_next(now) {
            self.taken_out += 1;
            self.follow(now);
        }
        if self.plan.is_some() && self.gossip_at <= now {
            self.gossip();
            let over = self.is_over();
            self.gossip_at = now
                + if over {
                    GOSSIP_INTERVAL_OVER
                } else {
                    GOSSIP_INTERVAL
                };
        }
        self.take_effects()
    }

    pub(crate) fn adopt(&mut self, plan: Plan) {
        for name_hash in std::mem::take(&mut self.out_of_service) {
            let out = false;
            self.effects
                .push(Effect::SetOutOfService { name_hash, out });
        }
        self.since = vec![None; plan.targets.len()];
        (self.plan, self.taken_out) = (Some(plan), 0);
        self.reports.clear();
    }

    pub(crate) fn own_report(&self) -> StateReport {
        self.reports.get(&self.me).copied().unwrap_or_default()
    }

    pub(crate) fn own_state(&self, position: usize) -> TargetState {
        self.state_at(self.me, position)
    }

    /// What a member has reported of a target.
    pub(crate) fn state_at(&self, member: u16, position: usize) -> TargetState {
        let report = self.reports.get(&member).copied();
        report.unwrap_or_default().state(position)
    }

    fn name_hash(&self, position: usize) -> Option<u32> {
        let target = self.plan.as_ref()?.targets.get(position)?;
        Some(target.name_hash)
    }

    fn set_state(&mut self, position: usize, state: TargetState, forced: bool) {
        let Some(name_hash) = self.name_hash(position) else {
            return;
        };
        let report = self.own_report().with(position, state);
        self.reports.insert(self.me, report);
        self.effects.push(Effect::TargetStateChanged {
            name_hash,
            state,
            forced,
        });
        let out = state < TargetState::Returned;
        let changed = if out {
            self.out_of_service.insert(name_hash)
        } else {
            self.out_of_service.remove(&name_hash)
        };
        if changed {
            self.effects
                .push(Effect::SetOutOfService { name_hash, out });
        }
    }

    /// Follows at once what other members have gone on to: takes out what they took out, and has back
    /// what one of them has back.
    pub(crate) fn follow(&mut self, now: Micros) {
        let Some(plan) = &self.plan else { return };
        let (cancelled, out_limit) = (plan.cancelled, plan.out_limit());
        for position in 0..self.taken_out {
            let mut states = (0..self.members).map(|m| self.state_at(m, position));
            let returned = cancelled || states.any(|s| s == TargetState::Returned);
            let out_here = self.is_out_of_service(position);
            match self.own_state(position) {
                TargetState::Returned if out_here => {
                    self.set_state(position, TargetState::Returned, false);
                }
                TargetState::Returned => {}
                _ if returned => self.set_state(position, TargetState::Returned, false),
                // Also what others report that a process before this one had out.
                state if !out_here => {
                    let since = *self.since[position].get_or_insert(now);
                    // The time of a process before this one has passed since: others count on that.
                    let expired = now >= since + out_limit;
                    let state = if expired {
                        TargetState::Returned
                    } else {
                        state.max(TargetState::Draining)
                    };
                    self.set_state(position, state, expired);
                }
                _ => {}
            }
        }
    }

    fn is_out_of_service(&self, position: usize) -> bool {
        let name_hash = self.name_hash(position);
        name_hash.is_some_and(|name_hash| self.out_of_service.contains(&name_hash))
    }

    /// Advances its own state of each target that is out.
    fn advance(&mut self, now: Micros, observations: &Observations<'_>) {
        let Some(plan) = &self.plan else { return };
        let (drain_limit, out_limit) = (plan.drain_limit(), plan.out_limit());
        for position in 0..self.taken_out {
            let state = self.own_state(position);
            let (Some(since), Some(name_hash)) = (self.since[position], self.name_hash(position))
            else {
                continue;
            };
            if state == TargetState::Returned {
                continue;
            }
            let expired = now >= since + out_limit;
            if expired || (observations.restarted)(name_hash, since) {
                self.set_state(position, TargetState::Returned, expired);
            } else if state == TargetState::Draining && now >= since + MIN_DRAIN {
                let drained = !(observations.in_flight)(name_hash);
                if drained || now >= since + drain_limit {
                    self.set_state(position, TargetState::Drained, !drained);
                }
            }
        }
    }

    /// Whether a target is back in service at a member: it has reported so, or it is dead and the
    /// time for which it may have had the target out has passed.
    pub(crate) fn has_returned(&self, now: Micros, member: u16, position: usize) -> bool {
        let out_limit = self.plan.as_ref().map_or(0, Plan::out_limit);
        let died = self.dead.get(&member);
        let expired = died.is_some_and(|since| now >= since + out_limit);
        expired || self.state_at(member, position) == TargetState::Returned
    }

    /// A majority of all members, not of those that are left: of two halves one at most goes on.
    pub(crate) fn has_majority(&self) -> bool {
        let alive = usize::from(self.members) - self.dead.len();
        2 * alive > usize::from(self.members)
    }

    /// Whether the next target of the plan may be taken out, by what is known here.
    fn may_take_out_next(&self, now: Micros) -> bool {
        let Some(plan) = self.plan.as_ref().filter(|p| !p.cancelled) else {
            return false;
        };
        let returned = |at: &usize| (0..self.members).all(|m| self.has_returned(now, m, *at));
        let out: Vec<usize> = (0..self.taken_out).filter(|at| !returned(at)).collect();
        self.has_majority() && plan.may_take_out(self.taken_out, &out)
    }

    pub(crate) fn is_over(&self) -> bool {
        let Some(plan) = &self.plan else { return true };
        let mut positions = 0..plan.targets.len();
        let returned = positions.all(|at| self.own_state(at) == TargetState::Returned);
        plan.cancelled || self.taken_out == plan.targets.len() && returned
    }
}
