//! All that the dispatchers settle among themselves, behind one door: who of them is there (crate `membership`), and which
//! targets are taken out for work, in which order (crate `maintenance`). Datagrams, times and operators' words go in; sends, rulings
//! on targets and what is to be said in the log come out. Free of I/O, clock and randomness.

use dispatch_api::Micros;
use maintenance::{Maintenance, Observations, Plan, PlanError, Progress, SavedState, TargetState};
use membership::{MemberUpdate, Message, Swim, MAX_MEMBERS};

/// What it asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send this to that dispatcher.
    Send {
        /// Its number.
        to: u32,
        /// The datagram.
        message: Vec<u8>,
    },
    /// Leave a target out, or take it back.
    SetOutOfService {
        /// The mark of its name.
        name_hash: u32,
        /// It is left out.
        out: bool,
    },
    /// This process speaks for its dispatcher from now on.
    Joined {
        /// Its number.
        me: u16,
        /// How many there are.
        members: u16,
        /// Its incarnation.
        incarnation: u32,
    },
    /// What is believed of another dispatcher has changed.
    MemberChanged(MemberUpdate),
    /// Whether another dispatcher hears this one has changed.
    ReachabilityChanged {
        /// Its number.
        member: u16,
        /// It does.
        reachable: bool,
    },
    /// How far a target of the plan is has changed.
    TargetStateChanged {
        /// The mark of its name.
        name_hash: u32,
        /// How far it is.
        state: TargetState,
        /// Since its time was up.
        forced: bool,
    },
    /// A plan can't be followed.
    PlanRejected(PlanError),
    /// A plan is cancelled.
    PlanCancelled {
        /// One was active.
        was_active: bool,
    },
    /// A datagram that can't be read, or in another's name.
    MalformedDatagram,
}

/// What the rest of the program knows of targets, by the marks of their names.
pub trait TargetView {
    /// Whether an attempt is out there.
    fn in_flight(&self, name_hash: u32) -> bool;
    /// Whether it was started anew after this time.
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
    /// What is to be kept for a successor has changed.
    unsaved_change: bool,
}

impl Coordinator {
    /// Of a dispatcher that takes part in nothing yet.
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

    /// Whether the dispatchers watch each other: only then datagrams are for it.
    pub fn has_membership(&self) -> bool {
        self.members.is_some()
    }

    /// This process among the dispatchers, where they watch each other.
    pub fn members(&self) -> Option<&Swim> {
        self.members.as_ref()
    }

    /// Maintenance, where dispatchers settle it.
    pub fn maintenance(&self) -> Option<&Maintenance> {
        self.maintenance.as_ref()
    }

    /// How far the plan is, where one is known.
    pub fn progress(&self, now: Micros) -> Option<Progress> {
        self.maintenance.as_ref()?.progress(now)
    }

    /// What maintenance leaves to a successor; none without a plan.
    pub fn saved_state(&self) -> Option<SavedState> {
        self.maintenance.as_ref().and_then(Maintenance::saved_state)
    }

    /// Whether that has changed since the last call: it is to be kept before anybody else is told.
    pub fn take_unsaved_change(&mut self) -> bool {
        std::mem::take(&mut self.unsaved_change)
    }

    /// When [`Coordinator::tick`] is wanted next.
    pub fn wake_at(&self) -> Option<Micros> {
        let members = self.members.as_ref().map(Swim::wake_at);
        let maintenance = self.maintenance.as_ref().and_then(Maintenance::wake_at);
        members.into_iter().chain(maintenance).min()
    }

    /// A time of [`Coordinator::wake_at`] has come, or another.
    pub fn tick(&mut self, now: Micros, targets: &dyn TargetView) -> Vec<Effect> {
        let due = self.members.as_mut().filter(|m| m.wake_at() <= now);
        let found = due.map_or(vec![], |members| members.tick(now));
        self.tick_upkeep(now, targets, found.into_iter().filter_map(among).collect())
    }

    fn look(&mut self, now: Micros, targets: &dyn TargetView, effects: &mut Vec<Effect>) {
        let Coordinator {
            maintenance: Some(maintenance),
            members,
            me,
            ..
        } = self
        else {
            return;
        };
        let alive = |m: u16| match members.as_ref() {
            Some(members) => !members.is_gone(m, now),
            None => u32::from(m) == *me,
        };
        let in_flight = |name_hash| targets.in_flight(name_hash);
        let restarted = |name_hash, since| targets.restarted(name_hash, since);
        let found = maintenance.tick(
            now,
            &Observations {
                alive: &alive,
                in_flight: &in_flight,
                restarted: &restarted,
            },
        );
        self.maintain(found, effects);
    }

    /// A datagram of that dispatcher has come. Whoever sends in another's name is none of them.
    pub fn handle_datagram(&mut self, now: Micros, from: u32, message: &[u8]) -> Vec<Effect> {
        let mut effects = vec![];
        if message.first() == Some(&maintenance::FIRST_BYTE) {
            let said = maintenance::Message::decode(message)
                .ok()
                .filter(|m| u32::from(m.from()) == from);
            match (said, &mut self.maintenance) {
                (Some(said), Some(maintenance)) => {
                    let before = maintenance.saved_state();
                    let found = maintenance.handle_message(now, &said);
                    self.unsaved_change |= before != maintenance.saved_state();
                    self.maintain(found, &mut effects);
                }
                (None, _) => effects.push(Effect::MalformedDatagram),
                (_, None) => {}
            }
            return effects;
        }
        let said = Message::decode(message)
            .ok()
            .filter(|m| u32::from(m.from) == from);
        match (said, &mut self.members) {
            (Some(said), Some(members)) => effects.extend(
                members
                    .handle_message(now, &said)
                    .into_iter()
                    .filter_map(among),
            ),
            _ => effects.push(Effect::MalformedDatagram),
        }
        effects
    }

    /// This process speaks for its dispatcher from now on, with one ping in each period; with none, it does so no more. Of
    /// no effect with less than two.
    pub fn join(&mut self, now: Micros, joining: Option<(Micros, u32)>) -> Vec<Effect> {
        self.members = None;
        let (me, members) = (u16::try_from(self.me), u16::try_from(self.dispatchers));
        let (Some((period, incarnation)), Ok(me), Ok(members @ 2..=MAX_MEMBERS)) =
            (joining, me, members)
        else {
            return vec![];
        };
        let terms = membership::Config {
            me,
            members,
            period,
            incarnation,
            seed: self.seed,
        };
        self.members = Some(Swim::new(terms, now));
        vec![Effect::Joined {
            me,
            members,
            incarnation,
        }]
    }

    /// This process has been told to stop, and says so to the others.
    pub fn leave(&mut self, now: Micros) -> Vec<Effect> {
        let effects = self.members.as_mut().map(|members| members.leave(now));
        effects
            .unwrap_or_default()
            .into_iter()
            .filter_map(among)
            .collect()
    }

    /// This dispatcher takes part in maintenance from now on, with what another process of it kept, if there was any.
    pub fn enable_maintenance(&mut self, now: Micros, kept: Option<SavedState>) -> Vec<Effect> {
        let mut effects = vec![];
        if self.maintenance.is_none() {
            let (Ok(me), Ok(members)) = (u16::try_from(self.me), u16::try_from(self.dispatchers))
            else {
                return effects;
            };
            self.maintenance = Some(Maintenance::new(me, members));
        }
        if let (Some(kept), Some(maintenance)) = (kept, &mut self.maintenance) {
            let found = maintenance.restore(now, kept);
            self.maintain(found, &mut effects);
        }
        effects
    }

    /// The operators want a plan followed; with none, the one under way called off.
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
                effects.extend(
                    maintenance
                        .submit(now, plan, id)
                        .err()
                        .map(Effect::PlanRejected),
                );
            }
            None => effects.push(Effect::PlanCancelled {
                was_active: maintenance.cancel(now),
            }),
        }
        self.unsaved_change = true;
        self.tick_upkeep(now, targets, effects)
    }

    /// The operators' work on a target that is out by the plan is done.
    pub fn target_work_done(
        &mut self,
        now: Micros,
        name_hash: u32,
        targets: &dyn TargetView,
    ) -> Vec<Effect> {
        let mut effects = vec![];
        let Some(maintenance) = &mut self.maintenance else {
            return effects;
        };
        maintenance.target_work_done(now, name_hash);
        let found = maintenance.take_effects();
        self.maintain(found, &mut effects);
        self.tick_upkeep(now, targets, effects)
    }

    fn tick_upkeep(
        &mut self,
        now: Micros,
        targets: &dyn TargetView,
        mut effects: Vec<Effect>,
    ) -> Vec<Effect> {
        if self
            .maintenance
            .as_ref()
            .and_then(Maintenance::wake_at)
            .is_some_and(|at| at <= now)
        {
            self.look(now, targets, &mut effects);
        }
        effects
    }

    fn maintain(&mut self, found: Vec<maintenance::Effect>, effects: &mut Vec<Effect>) {
        effects.extend(found.into_iter().map(|effect| match effect {
            maintenance::Effect::Send { to, message } => Effect::Send {
                to: u32::from(to),
                message: message.encode(),
            },
            maintenance::Effect::SetOutOfService { name_hash, out } => {
                Effect::SetOutOfService { name_hash, out }
            }
            maintenance::Effect::TargetStateChanged {
                name_hash,
                state,
                forced,
            } => {
                self.unsaved_change = true;
                Effect::TargetStateChanged {
                    name_hash,
                    state,
                    forced,
                }
            }
        }));
    }
}

fn among(effect: membership::Effect) -> Option<Effect> {
    Some(match effect {
        membership::Effect::Send { to, message } => Effect::Send {
            to: u32::from(to),
            message: message.encode().ok()?,
        },
        membership::Effect::MemberChanged(change) => Effect::MemberChanged(change),
        membership::Effect::ReachabilityChanged { member, reachable } => {
            Effect::ReachabilityChanged { member, reachable }
        }
    })
}
