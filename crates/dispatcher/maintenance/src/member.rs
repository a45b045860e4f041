//! One member: the plan that it follows, how far it is, and what every member says of each target.

use crate::plan::{Plan, PlanError, MAX_TARGETS};
use crate::wire::{Message, Words, MAX_REPORTS};
use dispatch_api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Nothing new goes to a target for so long before it can count as empty: the rule on drains.
const QUIET: Micros = 250_000;
/// How often others are told while a plan is under way ...
const TELL: Micros = 200_000;
/// ... and once it is over: whoever comes back must hear of its end.
const TELL_OVER: Micros = 2_000_000;
/// Others that are told each time.
const TOLD: usize = 2;

/// How a target stands with one member. It only ever goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TargetState {
    /// It has not gone out.
    #[serde(rename = "in")]
    InService,
    /// Nothing new goes there.
    #[serde(rename = "out")]
    Draining,
    /// ... and nothing is in flight there.
    #[serde(rename = "empty")]
    Drained,
    /// It serves again.
    #[serde(rename = "back")]
    Returned,
}

impl TargetState {
    /// Its name in JSON and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            TargetState::InService => "in",
            TargetState::Draining => "out",
            TargetState::Drained => "empty",
            TargetState::Returned => "back",
        }
    }
}

const STANDINGS: [TargetState; 4] = [
    TargetState::InService,
    TargetState::Draining,
    TargetState::Drained,
    TargetState::Returned,
];

/// What it asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send this to that member.
    Send {
        /// The member's number.
        to: u16,
        /// The datagram.
        message: Message,
    },
    /// Send nothing new to a target, or use it again.
    SetOutOfService {
        /// The target.
        name_hash: u32,
        /// Out, as against back.
        out: bool,
    },
    /// A target stands otherwise here; for the log.
    TargetStateChanged {
        /// The target.
        name_hash: u32,
        /// How.
        state: TargetState,
        /// Its time was up, to drain or to be out.
        forced: bool,
    },
}

/// What is to be seen from this member.
pub struct Observations<'a> {
    /// Whether a member is not taken for dead.
    pub alive: &'a dyn Fn(u16) -> bool,
    /// Whether anything of this dispatcher is in flight to a target.
    pub in_flight: &'a dyn Fn(u32) -> bool,
    /// Whether a target was started after this time.
    pub restarted: &'a dyn Fn(u32, Micros) -> bool,
}

/// A target of the plan, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetProgress {
    /// What dispatchers call it.
    #[serde(rename = "mark")]
    pub name_hash: u32,
    /// How it stands here.
    #[serde(rename = "standing")]
    pub state: TargetState,
    /// Since when it has been out here, Unix time in microseconds; none if it is not.
    pub since: Option<Micros>,
    /// Members alive that have not said that it is empty.
    pub not_empty: Vec<u16>,
    /// Members that have not said that it is back, or whose ban may still hold.
    pub not_back: Vec<u16>,
}

/// How far the plan is, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The plan.
    pub plan: Plan,
    /// Targets that have gone out.
    pub gone: usize,
    /// All that went out are back, and none is left.
    pub over: bool,
    /// No majority of the members is alive for this one: none goes out.
    pub paused: bool,
    /// The targets, in order.
    pub targets: Vec<TargetProgress>,
}

/// What one process leaves to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// The plan.
    pub plan: Plan,
    /// Targets that had gone out.
    pub gone: usize,
    /// What it said of each, two bits a target.
    pub words: u64,
    /// When each went out here, Unix time in microseconds: a ban that has run out meanwhile is none any more.
    pub since: Vec<Option<Micros>>,
}

/// One member.
#[derive(Debug, Clone)]
pub struct Maintenance {
    me: u16,
    members: u16,
    plan: Option<Plan>,
    gone: usize,
    words: BTreeMap<u16, Words>,
    /// When each target went out here.
    since: Vec<Option<Micros>>,
    out_of_service: BTreeSet<u32>,
    /// Members that are taken for dead, since when.
    dead: BTreeMap<u16, Micros>,
    tell_at: Micros,
    tells: u64,
    /// A member of so many whose words go first into the next datagram.
    first: u16,
    effects: Vec<Effect>,
}

fn said(words: Words, at: usize) -> TargetState {
    STANDINGS[(words >> (2 * at) & 3) as usize]
}

fn say(words: Words, at: usize, state: TargetState) -> Words {
    let lane = 2 * at;
    words & !(3 << lane) | (state as u64) << lane
}

/// The later standing of each target.
fn merge(a: Words, b: Words) -> Words {
    (0..MAX_TARGETS).fold(0, |all, at| say(all, at, said(a, at).max(said(b, at))))
}

impl Maintenance {
    /// A member of so many, which knows of no plan.
    pub fn new(me: u16, members: u16) -> Self {
        let (plan, gone, words, since, out_of_service, dead, tell_at, tells, effects) =
            Default::default();
        Maintenance {
            me,
            members,
            plan,
            gone,
            words,
            since,
            out_of_service,
            dead,
            tell_at,
            tells,
            first: me,
            effects,
        }
    }

    /// Whether a plan is known that is not over.
    pub fn active(&self) -> bool {
        self.plan.is_some() && !self.over()
    }

    /// When [`Maintenance::tick`] is wanted next; none without a plan.
    pub fn wake_at(&self) -> Option<Micros> {
        self.plan.as_ref().map(|_| self.tell_at)
    }

    /// Takes a plan of its own up: version, submitter and id are set here.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn submit(&mut self, now: Micros, plan: Plan, id: u32) -> Result<(), PlanError> {
        plan.validate()?;
        let version = self
            .plan
            .as_ref()
            .map_or(1, |p| p.version.saturating_add(1));
        self.adopt(Plan {
            version,
            by: self.me,
            id,
            cancelled: false,
            ..plan
        });
        self.tell_at = now;
        Ok(())
    }

    /// Calls the plan off. Tells whether there was one to call off.
    pub fn cancel(&mut self, now: Micros) -> bool {
        let active = self.active();
        self.plan.iter_mut().for_each(|p| p.cancelled = true);
        self.tell_at = now;
        active
    }

    /// The work on a target is done. Tells whether it is out by the plan.
    pub fn target_work_done(&mut self, now: Micros, name_hash: u32) -> bool {
        let Some(at) = self.out_at(name_hash) else {
            return false;
        };
        self.stands(at, TargetState::Returned, false);
        self.tell_at = now;
        true
    }

    fn out_at(&self, name_hash: u32) -> Option<usize> {
        let at = self
            .plan
            .as_ref()?
            .targets
            .iter()
            .position(|t| t.name_hash == name_hash)?;
        let own = self.own(at);
        (own > TargetState::InService && own < TargetState::Returned).then_some(at)
    }

    /// What it asks for since the last call, besides what [`Maintenance::tick`] and [`Maintenance::handle_message`] return.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// A datagram has come.
    pub fn handle_message(&mut self, now: Micros, message: &Message) -> Vec<Effect> {
        if message.from() == self.me || message.from() >= self.members {
            return vec![];
        }
        match message {
            Message::Plan(_, plan) => match &mut self.plan {
                Some(own) if own.is_same_plan(plan) => own.cancelled |= plan.cancelled,
                Some(own) if !plan.supersedes(own) => {}
                _ => self.adopt(plan.clone()),
            },
            Message::Progress {
                plan, gone, words, ..
            } => {
                let same = self
                    .plan
                    .as_ref()
                    .is_some_and(|p| (p.version, p.by, p.id) == *plan);
                if same {
                    let most = self.plan.as_ref().map_or(0, |p| p.targets.len());
                    self.gone = self.gone.max(usize::from(*gone)).min(most);
                    for (member, theirs) in words.iter().filter(|(m, _)| *m < self.members) {
                        let known = self.words.entry(*member).or_default();
                        *known = merge(*known, *theirs);
                    }
                }
            }
        }
        self.heed(now);
        self.take_effects()
    }

    /// The time of [`Maintenance::wake_at`] has come, or another.
    pub fn tick(&mut self, now: Micros, look: &Observations<'_>) -> Vec<Effect> {
        for member in 0..self.members {
            if (look.alive)(member) {
                self.dead.remove(&member);
            } else {
                self.dead.entry(member).or_insert(now);
            }
        }
        self.heed(now);
        self.go_on(now, look);
        while self.raises(now) {
            self.gone += 1;
            self.heed(now);
        }
        if self.plan.is_some() && self.tell_at <= now {
            self.tell();
            self.tell_at = now + if self.over() { TELL_OVER } else { TELL };
        }
        self.take_effects()
    }

    fn adopt(&mut self, plan: Plan) {
        for name_hash in std::mem::take(&mut self.out_of_service) {
            self.effects.push(Effect::SetOutOfService {
                name_hash,
                out: false,
            });
        }
        self.since = vec![None; plan.targets.len()];
        (self.plan, self.gone) = (Some(plan), 0);
        self.words.clear();
    }

    fn own(&self, at: usize) -> TargetState {
        self.word(self.me, at)
    }

    fn word(&self, member: u16, at: usize) -> TargetState {
        self.words
            .get(&member)
            .map_or(TargetState::InService, |words| said(*words, at))
    }

    fn stands(&mut self, at: usize, state: TargetState, forced: bool) {
        let Some(name_hash) = self
            .plan
            .as_ref()
            .and_then(|p| p.targets.get(at))
            .map(|t| t.name_hash)
        else {
            return;
        };
        let words = self.words.entry(self.me).or_default();
        *words = say(*words, at, state);
        self.effects.push(Effect::TargetStateChanged {
            name_hash,
            state,
            forced,
        });
        let out = state < TargetState::Returned;
        let changes = if out {
            self.out_of_service.insert(name_hash)
        } else {
            self.out_of_service.remove(&name_hash)
        };
        if changes {
            self.effects
                .push(Effect::SetOutOfService { name_hash, out });
        }
    }

    /// Does at once what others have gone on to: out what they sent out, back what one of them took back.
    fn heed(&mut self, now: Micros) {
        let Some((cancelled, out)) = self.plan.as_ref().map(|p| (p.cancelled, ms(p.out_ms))) else {
            return;
        };
        for at in 0..self.gone {
            let back =
                cancelled || (0..self.members).any(|m| self.word(m, at) == TargetState::Returned);
            match self.own(at) {
                TargetState::Returned if self.is_out_of_service(at) => {
                    self.stands(at, TargetState::Returned, false)
                }
                TargetState::Returned => {}
                _ if back => self.stands(at, TargetState::Returned, false),
                // Also what others say that a process before this one had out.
                own if !self.is_out_of_service(at) => {
                    let since = *self.since[at].get_or_insert(now);
                    // A ban of a process before this one that has run out meanwhile: others count on that.
                    let up = now >= since + out;
                    self.stands(
                        at,
                        if up {
                            TargetState::Returned
                        } else {
                            own.max(TargetState::Draining)
                        },
                        up,
                    );
                }
                _ => {}
            }
        }
    }

    fn is_out_of_service(&self, at: usize) -> bool {
        let name_hash = self
            .plan
            .as_ref()
            .and_then(|p| p.targets.get(at))
            .map(|t| t.name_hash);
        name_hash.is_some_and(|name_hash| self.out_of_service.contains(&name_hash))
    }

    /// Goes on with its own word on each target that is out.
    fn go_on(&mut self, now: Micros, look: &Observations<'_>) {
        let Some((drain, out)) = self.plan.as_ref().map(|p| (ms(p.drain_ms), ms(p.out_ms))) else {
            return;
        };
        for at in 0..self.gone {
            let (own, since) = (self.own(at), self.since[at]);
            let (Some(since), Some(name_hash)) = (
                since,
                self.plan
                    .as_ref()
                    .and_then(|p| p.targets.get(at))
                    .map(|t| t.name_hash),
            ) else {
                continue;
            };
            if own == TargetState::Returned {
                continue;
            }
            let up = now >= since + out;
            if up || (look.restarted)(name_hash, since) {
                self.stands(at, TargetState::Returned, up);
            } else if own == TargetState::Draining && now >= since + QUIET {
                let empty = !(look.in_flight)(name_hash);
                if empty || now >= since + drain {
                    self.stands(at, TargetState::Drained, !empty);
                }
            }
        }
    }

    /// Whether a target is back with everybody: the living have said so, and the bans of the dead have run out.
    fn back(&self, now: Micros, at: usize) -> bool {
        (0..self.members).all(|m| self.holds_no_more(now, m, at))
    }

    fn holds_no_more(&self, now: Micros, member: u16, at: usize) -> bool {
        let out = self.plan.as_ref().map_or(0, |p| ms(p.out_ms));
        let forgotten = self
            .dead
            .get(&member)
            .is_some_and(|since| now >= since + out);
        forgotten || self.word(member, at) == TargetState::Returned
    }

    /// A majority of all members, not of those that are left: of two halves one at most goes on.
    fn majority(&self) -> bool {
        2 * (usize::from(self.members) - self.dead.len()) > usize::from(self.members)
    }

    /// Whether the next target of the plan may go out, by what is known here.
    fn raises(&self, now: Micros) -> bool {
        let Some(plan) = self.plan.as_ref().filter(|p| !p.cancelled) else {
            return false;
        };
        let out: Vec<usize> = (0..self.gone).filter(|at| !self.back(now, *at)).collect();
        self.majority() && plan.may_take_out(self.gone, &out)
    }

    fn over(&self) -> bool {
        let Some(plan) = &self.plan else { return true };
        let all = (0..plan.targets.len()).all(|at| self.own(at) == TargetState::Returned);
        plan.cancelled || self.gone == plan.targets.len() && all
    }

    fn tell(&mut self) {
        let Some(plan) = self.plan.clone() else {
            return;
        };
        self.tells += 1;
        let mut others: Vec<u16> = (0..self.members)
            .filter(|m| *m != self.me && !self.dead.contains_key(m))
            .collect();
        let turn = (self.tells as usize * TOLD + usize::from(self.me)) % others.len().max(1);
        others.rotate_left(turn);
        // All words where they fit, else those of some in turn; its own always.
        let after = |m: &u16| (m + self.members - self.first) % self.members;
        let mut members: Vec<u16> = self
            .words
            .keys()
            .copied()
            .filter(|m| *m != self.me)
            .collect();
        members.sort_by_key(after);
        members.truncate(MAX_REPORTS - 1);
        self.first = members.last().map_or(self.me, |m| (m + 1) % self.members);
        members.push(self.me);
        let words = members
            .iter()
            .map(|m| (*m, self.words.get(m).copied().unwrap_or(0)))
            .collect();
        let progress = Message::Progress {
            from: self.me,
            plan: (plan.version, plan.by, plan.id),
            gone: self.gone as u8,
            words,
        };
        for to in others.into_iter().take(TOLD) {
            self.effects.push(Effect::Send {
                to,
                message: Message::Plan(self.me, plan.clone()),
            });
            self.effects.push(Effect::Send {
                to,
                message: progress.clone(),
            });
        }
    }

    /// What operators are shown; none where no plan is known.
    pub fn progress(&self, now: Micros) -> Option<Progress> {
        let plan = self.plan.clone()?;
        let target = |(at, target): (usize, &crate::Target)| {
            let alive = (0..self.members).filter(|m| !self.dead.contains_key(m));
            let went = at < self.gone;
            TargetProgress {
                name_hash: target.name_hash,
                state: self.own(at),
                since: self.since[at].filter(|_| self.own(at) < TargetState::Returned),
                not_empty: alive
                    .filter(|m| went && self.word(*m, at) < TargetState::Drained)
                    .collect(),
                not_back: (0..self.members)
                    .filter(|m| went && !self.holds_no_more(now, *m, at))
                    .collect(),
            }
        };
        let targets = plan.targets.iter().enumerate().map(target).collect();
        Some(Progress {
            gone: self.gone,
            over: self.over(),
            paused: !self.majority(),
            targets,
            plan,
        })
    }

    /// Targets that are out here by the plan.
    pub fn out_of_service(&self) -> impl Iterator<Item = u32> + '_ {
        self.out_of_service.iter().copied()
    }

    /// What a successor takes up; none where no plan is known.
    pub fn saved_state(&self) -> Option<SavedState> {
        let words = self.words.get(&self.me).copied().unwrap_or(0);
        let (gone, since) = (self.gone, self.since.clone());
        self.plan.clone().map(|plan| SavedState {
            plan,
            gone,
            words,
            since,
        })
    }

    /// Takes up what a process before this one kept; what it had out is out again before anything is sent.
    pub fn restore(&mut self, now: Micros, kept: SavedState) -> Vec<Effect> {
        let SavedState {
            plan,
            gone,
            words,
            mut since,
        } = kept;
        if self
            .plan
            .as_ref()
            .is_some_and(|known| known.is_same_plan(&plan))
        {
            // Of another process of this dispatcher, which lives: it speaks, and this one does alike.
            self.plan
                .iter_mut()
                .for_each(|known| known.cancelled |= plan.cancelled);
            self.gone = self.gone.max(gone).min(self.since.len());
            let own = self.words.entry(self.me).or_default();
            *own = merge(*own, words);
            self.heed(now);
        } else if plan.validate().is_ok()
            && self
                .plan
                .as_ref()
                .is_none_or(|known| plan.supersedes(known))
        {
            let most = plan.targets.len();
            self.adopt(plan);
            since.resize(most, None);
            // A clock that was set back since makes no ban longer than it may be.
            since
                .iter_mut()
                .flatten()
                .for_each(|at| *at = (*at).min(now));
            (self.gone, self.since) = (gone.min(most), since);
            self.words.insert(self.me, words);
            self.heed(now);
        }
        self.take_effects()
    }
}

fn ms(ms: u32) -> Micros {
    Micros::from(ms) * 1_000
}
