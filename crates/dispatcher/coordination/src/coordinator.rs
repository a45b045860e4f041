//! One dispatcher's part in membership and maintenance.

use crate::Effect;
use dispatch_api::Micros;
use maintenance::{Maintenance, Observations, Plan, Progress, SavedState};
use membership::{Message, Swim, MAX_MEMBERS};

/// How a process joins the other dispatchers as a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Protocol period, microseconds: one other member is pinged in each.
    pub period: Micros,
    /// Incarnation of this process, later than that of any process of this dispatcher before it.
    pub incarnation: u32,
}

/// What the rest of the program knows of targets, by the hashes of their names.
pub trait TargetView {
    /// Whether an attempt is in flight there.
    fn in_flight(&self, name_hash: u32) -> bool;
    /// Whether it was restarted after this time.
    fn restarted(&self, name_hash: u32, since: Micros) -> bool;
}

/// One dispatcher's part in it.
#[derive(Debug)]
pub struct Coordinator {
    me: u32,
    dispatchers: u32,
    seed: u64,
    members: Option<Swim>,
    maintenance: Option<Maintenance>,
    /// What a successor process must know has changed since it was last saved.
    unsaved_change: bool,
}

impl Coordinator {
    /// The part of a dispatcher that takes part in nothing yet: its number, the number of
    /// dispatchers, and the seed of the order in which it pings them.
    pub fn new(me: u32, dispatchers: u32, seed: u64) -> Self {
        Coordinator {
            me,
            dispatchers,
            seed,
            members: None,
            maintenance: None,
            unsaved_change: false,
        }
    }

    /// Whether this process is a member: only then it handles datagrams.
    pub fn has_membership(&self) -> bool {
        self.members.is_some()
    }

    /// This process as a member.
    pub fn members(&self) -> Option<&Swim> {
        self.members.as_ref()
    }

    /// Maintenance, where this dispatcher takes part in it.
    pub fn maintenance(&self) -> Option<&Maintenance> {
        self.maintenance.as_ref()
    }

    /// How far the plan has come, where one is known.
    pub fn progress(&self, now: Micros) -> Option<Progress> {
        self.maintenance.as_ref()?.progress(now)
    }

    /// The maintenance state that a successor process takes up; none without a plan.
    pub fn saved_state(&self) -> Option<SavedState> {
        self.maintenance.as_ref().and_then(Maintenance::saved_state)
    }

    /// Whether that state has changed since the last call: it is to be saved before any other
    /// dispatcher is told.
    pub fn take_unsaved_change(&mut self) -> bool {
        std::mem::take(&mut self.unsaved_change)
    }

    /// When [`Coordinator::tick`] is wanted next.
    pub fn wake_at(&self) -> Option<Micros> {
        let members = self.members.as_ref().map(Swim::wake_at);
        members.into_iter().chain(self.maintenance_at()).min()
    }

    fn maintenance_at(&self) -> Option<Micros> {
        self.maintenance.as_ref().and_then(Maintenance::wake_at)
    }

    /// Does what is due at the time of [`Coordinator::wake_at`], or at any other.
    pub fn tick(&mut self, now: Micros, targets: &dyn TargetView) -> Vec<Effect> {
        let due = self.members.as_mut().filter(|m| m.wake_at() <= now);
        let effects = due.map_or(vec![], |members| members.tick(now));
        let effects = from_membership(effects);
        self.tick_maintenance(now, targets, effects)
    }

    /// Handles a datagram from the dispatcher of this number. One in another's name is malformed.
    pub fn handle_datagram(&mut self, now: Micros, from: u32, message: &[u8]) -> Vec<Effect> {
        if message.first() == Some(&maintenance::FIRST_BYTE) {
            return self.handle_maintenance(now, from, message);
        }
        let message = Message::decode(message).ok();
        let message = message.filter(|m| u32::from(m.from) == from);
        match (message, &mut self.members) {
            (Some(message), Some(members)) => {
                from_membership(members.handle_message(now, &message))
            }
            _ => vec![Effect::MalformedDatagram],
        }
    }

    fn handle_maintenance(&mut self, now: Micros, from: u32, message: &[u8]) -> Vec<Effect> {
        let message = maintenance::Message::decode(message).ok();
        let message = message.filter(|m| u32::from(m.from()) == from);
        let Some(message) = message else {
            return vec![Effect::MalformedDatagram];
        };
        let Some(maintenance) = &mut self.maintenance else {
            return vec![];
        };
        let before = maintenance.saved_state();
        let effects = maintenance.handle_message(now, &message);
        self.unsaved_change |= before != maintenance.saved_state();
        self.convert_maintenance(effects)
    }

    /// This process represents its dispatcher among the members from now on; with no configuration it
    /// does so no longer. Ignored where there are fewer than two dispatchers.
    pub fn join(&mut self, now: Micros, config: Option<MembershipConfig>) -> Vec<Effect> {
        self.members = None;
        let (me, members) = (u16::try_from(self.me), u16::try_from(self.dispatchers));
        let (Some(config), Ok(me), Ok(members @ 2..=MAX_MEMBERS)) = (config, me, members) else {
            return vec![];
        };
        let MembershipConfig {
            period,
            incarnation,
        } = config;
        let config = membership::Config {
            me,
            members,
            period,
            incarnation,
            seed: self.seed,
        };
        self.members = Some(Swim::new(config, now));
        vec![Effect::Joined {
            me,
            members,
            incarnation,
        }]
    }

    /// Announces to the other members that this process stops.
    pub fn leave(&mut self, now: Micros) -> Vec<Effect> {
        let effects = self.members.as_mut().map(|members| members.leave(now));
        from_membership(effects.unwrap_or_default())
    }

    /// This dispatcher takes part in maintenance from now on, with the state that another process of
    /// it saved, if there was any.
    pub fn enable_maintenance(&mut self, now: Micros, saved: Option<SavedState>) -> Vec<Effect> {
        if self.maintenance.is_none() {
            let (Ok(me), Ok(members)) = (u16::try_from(self.me), u16::try_from(self.dispatchers))
            else {
                return vec![];
            };
            self.maintenance = Some(Maintenance::new(me, members));
        }
        let (Some(saved), Some(maintenance)) = (saved, &mut self.maintenance) else {
            return vec![];
        };
        let effects = maintenance.restore(now, saved);
        self.convert_maintenance(effects)
    }

    /// Has the dispatchers follow a plan of operators; with none, the active one is cancelled.
    pub fn submit_plan(
        &mut self,
        now: Micros,
        plan: Option<Plan>,
        targets: &dyn TargetView,
    ) -> Vec<Effect> {
        let mut effects = vec![];
        let Some(maintenance) = &mut self.maintenance else {
            return effects;
        };
        match plan {
            Some(plan) => {
                let id = plan.id;
                let submitted = maintenance.submit(now, plan, id);
                effects.extend(submitted.err().map(Effect::PlanRejected));
            }
            None => {
                let was_active = maintenance.cancel(now);
                effects.push(Effect::PlanCancelled { was_active });
            }
        }
        self.unsaved_change = true;
        self.tick_maintenance(now, targets, effects)
    }

    /// The operators' work on a target that is out of service by the plan is done.
    pub fn target_work_done(
        &mut self,
        now: Micros,
        name_hash: u32,
        targets: &dyn TargetView,
    ) -> Vec<Effect> {
        let Some(maintenance) = &mut self.maintenance else {
            return vec![];
        };
        maintenance.target_work_done(now, name_hash);
        let effects = maintenance.take_effects();
        let effects = self.convert_maintenance(effects);
        self.tick_maintenance(now, targets, effects)
    }

    /// Ticks maintenance if it is due; its effects follow those given.
    fn tick_maintenance(
        &mut self,
        now: Micros,
        targets: &dyn TargetView,
        mut effects: Vec<Effect>,
    ) -> Vec<Effect> {
        let due = self.maintenance_at().is_some_and(|at| at <= now);
        let Coordinator {
            maintenance: Some(maintenance),
            members,
            me,
            ..
        } = self
        else {
            return effects;
        };
        if !due {
            return effects;
        }
        let observations = Observations {
            alive: &|member| match members.as_ref() {
                Some(members) => !members.is_gone(member, now),
                None => u32::from(member) == *me,
            },
            in_flight: &|name_hash| targets.in_flight(name_hash),
            restarted: &|name_hash, since| targets.restarted(name_hash, since),
        };
        let found = maintenance.tick(now, &observations);
        effects.extend(self.convert_maintenance(found));
        effects
    }

    fn convert_maintenance(&mut self, effects: Vec<maintenance::Effect>) -> Vec<Effect> {
        let changes =
            |e: &maintenance::Effect| matches!(e, maintenance::Effect::TargetStateChanged { .. });
        self.unsaved_change |= effects.iter().any(changes);
        effects.into_iter().map(Effect::from).collect()
    }
}

fn from_membership(effects: Vec<membership::Effect>) -> Vec<Effect> {
    let effects = effects.into_iter();
    effects.filter_map(Effect::from_membership).collect()
}
