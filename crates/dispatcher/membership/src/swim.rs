//! The state machine: who is alive, as this member believes.
//!
//! SWIM (Das, Gupta, Motivala, DSN 2002): in each period one member is pinged, in an order that is drawn anew each round; if it
//! does not answer in a third of the period, others are asked to ping it; if nobody has heard of it by the end, it is
//! suspected, and taken for dead unless it says otherwise in time. Changes travel on the messages that are sent anyway. Of
//! Lifeguard (Dadgar, Phillips, Currey, 2018) it has local health, by which a member that is slow itself waits longer before
//! it accuses others, and the buddy system, by which who is accused hears of it first.
//!
//! Members are known beforehand and never forgotten: those that are dead are pinged now and then, so that halves of a
//! partition find each other again.

mod evidence;

use crate::incarnation::{is_newer, successor};
use crate::reachability::Reachability;
use crate::wire::{MemberState, MemberUpdate, Message, MessageKind, MAX_UPDATES};
use dispatch_api::Micros;
use std::collections::BTreeMap;

/// Members that are told apart at most.
pub const MAX_MEMBERS: u16 = 1_024;
/// Others who are asked to ping a member that does not answer.
const INDIRECT: usize = 3;
/// A suspect is taken for dead after this many periods, times the decimal logarithm of the members: the word must reach it,
/// and its answer all others, on some four messages of each member in a period.
const SUSPICION: f64 = 10.0;
/// A change is sent this many times, times the same logarithm.
const RETELL: f64 = 4.0;
/// One ping in so many goes to a suspect, if there is one: it hears of it, and may say otherwise.
const TO_SUSPECTS: u64 = 2;
/// One ping in so many goes to a member that is taken for dead, if there is one.
const TO_THE_DEAD: u64 = 4;
/// The worst local health: waits are up to this many times longer, and once.
const SICKEST: u64 = 3;
/// Members that one which leaves tells itself, times the binary logarithm of all; the others hear of it from these.
const FAREWELLS: f64 = 4.0;
/// Pings that are under way for others at most; the oldest makes room.
const RELAYS: usize = 64;

/// What a member is told at its start.
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Its number, below `members`.
    pub me: u16,
    /// How many there are, itself included; 2 to [`MAX_MEMBERS`].
    pub members: u16,
    /// One ping in each, microseconds.
    pub period: Micros,
    /// Its incarnation, higher than that of any process before it, 1 to 2^24 - 1.
    pub incarnation: u32,
    /// For the orders of its rounds.
    pub seed: u64,
}

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
    /// What is believed of another member has changed.
    MemberChanged(MemberUpdate),
    /// Whether that member hears this one has changed: it says that this one is gone, and no answer reaches it.
    ReachabilityChanged {
        /// The member's number.
        member: u16,
        /// It does again.
        reachable: bool,
    },
}

/// What is believed of another member.
#[derive(Debug, Clone, Copy)]
struct Member {
    state: MemberState,
    incarnation: u32,
    /// When a suspect is taken for dead.
    until: Micros,
}

/// A ping of this member's own.
#[derive(Debug, Clone, Copy)]
struct Probe {
    target: u16,
    sequence: u16,
    /// Others are asked from then on.
    ask_at: Micros,
    ends: Micros,
    asked: bool,
    answered: bool,
}

/// A ping for somebody else.
#[derive(Debug, Clone, Copy)]
struct Relay {
    asker: u16,
    sequence: u16,
    target: u16,
}

/// Whether datagrams pass between this member and another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Connectivity {
    /// A datagram of the other one was received directly lately.
    pub received_lately: bool,
    /// Datagrams of this one reach the other, as far as it says.
    pub reachable: bool,
}

/// One member, and what it believes of all.
#[derive(Debug)]
pub struct Swim {
    config: Config,
    incarnation: u32,
    members: Vec<Member>,
    /// How often each change was told; those told often enough are left out.
    news: BTreeMap<u16, u32>,
    probe: Option<Probe>,
    next_probe: Micros,
    probes: u64,
    /// Who is still to be pinged in this round, the next at the end.
    round: Vec<u16>,
    rounds: u64,
    sequence: u16,
    relays: BTreeMap<u16, Relay>,
    /// 0 while others are heard of.
    health: u64,
    /// Somebody was heard since the last ping.
    heard: bool,
    /// Whose death is told again next, besides news.
    reminder: u16,
    /// Who was heard, and who says that this member is not.
    reachability: Reachability,
    /// It has said that it goes.
    left: bool,
    /// Since when the same members have been there.
    stable_since: Micros,
    effects: Vec<Effect>,
}

/// A number that looks drawn, the same for the same ones.
fn mix(seed: u64, salt: u64) -> u64 {
    let mixed = (seed ^ salt.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 29)
}

impl Swim {
    /// A member that starts now. All others count as alive until they do not answer.
    pub fn new(config: Config, now: Micros) -> Self {
        let members = config.members.clamp(1, MAX_MEMBERS);
        let config = Config {
            members,
            period: config.period.max(3),
            ..config
        };
        let unknown = Member {
            state: MemberState::Alive,
            incarnation: 0,
            until: 0,
        };
        let (news, round, relays, effects) = Default::default();
        let mut swim = Swim {
            incarnation: config.incarnation,
            members: vec![unknown; usize::from(members)],
            news,
            probe: None,
            next_probe: now + mix(config.seed, u64::from(config.me)) % config.period,
            probes: 0,
            round,
            rounds: 0,
            sequence: 0,
            relays,
            health: 0,
            heard: false,
            reminder: 0,
            reachability: Reachability::new(members),
            left: false,
            stable_since: now,
            effects,
            config,
        };
        swim.news.insert(config.me, 0);
        swim
    }

    /// Its own incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// What is believed of a member; none of a number that nobody has.
    pub fn state(&self, member: u16) -> Option<MemberState> {
        if member == self.config.me {
            return Some(MemberState::Alive);
        }
        self.members.get(usize::from(member)).map(|m| m.state)
    }

    /// Those that are there as far as is known, itself included.
    pub fn alive(&self) -> impl Iterator<Item = u16> + '_ {
        (0..self.config.members).filter(|m| self.state(*m).is_some_and(MemberState::is_present))
    }

    /// What is believed of each, by number.
    pub fn members(&self) -> Vec<MemberUpdate> {
        (0..self.config.members).map(|m| self.known(m)).collect()
    }

    /// When [`Swim::tick`] is wanted next.
    pub fn wake_at(&self) -> Micros {
        let probe = self.probe.map_or(self.next_probe, |p| {
            if p.asked || p.answered {
                p.ends
            } else {
                p.ask_at
            }
        });
        if self.left {
            return Micros::MAX;
        }
        let suspects = self
            .members
            .iter()
            .filter(|m| m.state == MemberState::Suspect);
        suspects.map(|m| m.until).fold(probe, Micros::min)
    }

    /// How long a suspect has to say otherwise.
    pub fn suspicion(&self) -> Micros {
        (SUSPICION * self.log() * self.config.period as f64) as Micros
    }

    fn log(&self) -> f64 {
        f64::from(self.config.members).log10().max(1.0)
    }

    /// The time of [`Swim::wake_at`] has come, or another.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        if self.left {
            return vec![];
        }
        for (member, reachable) in self.reachability.changes(self.suspicion() / 2) {
            self.effects
                .push(Effect::ReachabilityChanged { member, reachable });
        }
        for member in 0..self.config.members {
            let m = self.members[usize::from(member)];
            if m.state == MemberState::Suspect && m.until <= now {
                self.believe(
                    now,
                    MemberUpdate {
                        member,
                        incarnation: m.incarnation,
                        state: MemberState::Dead,
                    },
                );
                // Heard meanwhile: it has its time anew.
                self.members[usize::from(member)].until = now + self.suspicion();
            }
        }
        match self.probe {
            Some(probe) if probe.ends <= now => self.probe_over(now, probe),
            Some(probe) if probe.ask_at <= now && !probe.asked && !probe.answered => {
                self.ask_others(probe)
            }
            Some(_) => {}
            None if self.next_probe <= now => self.ping_next(now),
            None => {}
        }
        std::mem::take(&mut self.effects)
    }

    /// A datagram has come.
    pub fn handle_message(&mut self, now: Micros, message: &Message) -> Vec<Effect> {
        let Message {
            from,
            sequence,
            about,
            ..
        } = *message;
        if from == self.config.me || from >= self.config.members {
            return vec![];
        }
        self.heard = true;
        if self.reachability.deaf() {
            // It hears again: those that it could not hear have their time anew.
            let until = now + self.suspicion();
            self.members
                .iter_mut()
                .for_each(|m| m.until = m.until.max(until));
        }
        // A process tells of itself with all that it sends.
        self.believe(
            now,
            MemberUpdate {
                member: from,
                incarnation: message.incarnation,
                state: MemberState::Alive,
            },
        );
        let known = self.members[usize::from(from)];
        if known.incarnation == message.incarnation {
            self.is_heard(now, from);
        }
        let accused = |c: &MemberUpdate| {
            c.member == self.config.me
                && matches!(c.state, MemberState::Suspect | MemberState::Dead)
        };
        self.reachability
            .accused(from, message.changes.iter().any(accused), now);
        for change in &message.changes {
            self.believe(now, *change);
        }
        match message.kind {
            MessageKind::Ping => self.send(from, MessageKind::Ack, sequence, 0),
            MessageKind::Ack => self.answered(now, from, sequence),
            MessageKind::PingReq if about < self.config.members && about != self.config.me => {
                let own = self.next_sequence();
                if self.relays.len() >= RELAYS {
                    self.relays.pop_first();
                }
                self.relays.insert(
                    own,
                    Relay {
                        asker: from,
                        sequence,
                        target: about,
                    },
                );
                self.send(about, MessageKind::Ping, own, 0);
            }
            // Who is asked for this member itself can answer at once.
            MessageKind::PingReq if about == self.config.me => {
                self.send(from, MessageKind::Ack, sequence, about)
            }
            MessageKind::PingReq => {}
        }
        std::mem::take(&mut self.effects)
    }

    fn answered(&mut self, now: Micros, from: u16, sequence: u16) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.sequence == sequence) {
            let target = probe.target;
            let through = !std::mem::replace(&mut probe.answered, true) && target != from;
            // News of it may pass this member by where the way from it is closed: an answer through others is as good.
            if through && self.members[usize::from(target)].state == MemberState::Suspect {
                self.is_heard(now, target);
            }
        } else if let Some(relay) = self.relays.remove(&sequence) {
            self.send(relay.asker, MessageKind::Ack, relay.sequence, relay.target);
        }
    }

    fn probe_over(&mut self, now: Micros, probe: Probe) {
        let m = self.members[usize::from(probe.target)];
        // Whoever hears of nobody is more likely to be at fault itself.
        self.health = if self.heard {
            self.health.saturating_sub(1)
        } else {
            (self.health + 1).min(SICKEST)
        };
        if !probe.answered && m.state.is_present() {
            self.believe(
                now,
                MemberUpdate {
                    member: probe.target,
                    incarnation: m.incarnation,
                    state: MemberState::Suspect,
                },
            );
        }
        self.reachability.period(self.heard);
        (self.probe, self.heard) = (None, false);
        self.ping_next(now);
    }

    fn ask_others(&mut self, probe: Probe) {
        let salt = u64::from(probe.sequence) << 16;
        let others = self
            .alive()
            .filter(|m| *m != self.config.me && *m != probe.target);
        let mut others: Vec<u16> = others.collect();
        others.sort_by_key(|m| mix(self.config.seed, salt | u64::from(*m)));
        for other in others.into_iter().take(INDIRECT) {
            self.send(other, MessageKind::PingReq, probe.sequence, probe.target);
        }
        // The ping or its answer may have been lost: that is far more common than a way that is closed.
        self.send(probe.target, MessageKind::Ping, probe.sequence, 0);
        self.probe.iter_mut().for_each(|p| p.asked = true);
    }

    fn ping_next(&mut self, now: Micros) {
        let span = self.config.period * (1 + self.health);
        self.next_probe = now + span;
        let Some(target) = self.next_target() else {
            return;
        };
        let (sequence, ask_at, ends) = (self.next_sequence(), now + span / 3, now + span);
        self.probe = Some(Probe {
            target,
            sequence,
            ask_at,
            ends,
            asked: false,
            answered: false,
        });
        self.send(target, MessageKind::Ping, sequence, 0);
    }

    fn next_target(&mut self) -> Option<u16> {
        self.probes += 1;
        if self.probes % TO_SUSPECTS == 1 {
            let suspects =
                (0..self.config.members).filter(|m| self.state(*m) == Some(MemberState::Suspect));
            if let Some(one) =
                suspects.min_by_key(|m| mix(self.config.seed, self.probes << 16 | u64::from(*m)))
            {
                return Some(one);
            }
        }
        if self.probes.is_multiple_of(TO_THE_DEAD) {
            let dead =
                (0..self.config.members).filter(|m| self.state(*m) == Some(MemberState::Dead));
            if let Some(one) =
                dead.min_by_key(|m| mix(self.config.seed, self.probes << 16 | u64::from(*m)))
            {
                return Some(one);
            }
        }
        for _ in 0..2 {
            while let Some(one) = self.round.pop() {
                if self.state(one).is_some_and(MemberState::is_present) {
                    return Some(one);
                }
            }
            self.rounds += 1;
            let salt = self.rounds << 16;
            self.round = self.alive().filter(|m| *m != self.config.me).collect();
            self.round
                .sort_by_key(|m| mix(self.config.seed, salt | u64::from(*m)));
        }
        None
    }

    fn next_sequence(&mut self) -> u16 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    /// Takes a change in, if it is news: the later incarnation counts, and the worse word within one.
    fn believe(&mut self, now: Micros, change: MemberUpdate) {
        let MemberUpdate {
            member,
            incarnation,
            state,
        } = change;
        if member == self.config.me {
            let accused = state != MemberState::Alive && !is_newer(self.incarnation, incarnation);
            if !self.left && (accused || is_newer(incarnation, self.incarnation)) {
                // It is there, whatever they say, and it is later than a process before it.
                self.incarnation = successor(incarnation);
                self.health = (self.health + u64::from(accused)).min(SICKEST);
                self.news.insert(member, 0);
            }
            return;
        }
        if member >= self.config.members {
            return;
        }
        // What this member hears itself is there, whatever others hear: a way that is closed one way is not a death.
        let doubted = matches!(state, MemberState::Suspect | MemberState::Dead);
        if doubted && self.known(member).incarnation == incarnation && self.hears(member, now) {
            return self.accuse(now, change);
        }
        // A member that is slow itself hears late of what others say.
        let until = now + self.suspicion() * (1 + self.health);
        let Some(m) = self.members.get_mut(usize::from(member)) else {
            return;
        };
        if is_newer(incarnation, m.incarnation) || (incarnation == m.incarnation && state > m.state)
        {
            let changed = m.state != state || m.incarnation != 0;
            if m.state.is_present() != state.is_present() {
                self.stable_since = now;
            }
            *m = Member {
                state,
                incarnation,
                until,
            };
            self.news.insert(member, 0);
            if changed {
                self.effects.push(Effect::MemberChanged(change));
            }
        }
    }

    fn known(&self, member: u16) -> MemberUpdate {
        if member == self.config.me {
            let state = if self.left {
                MemberState::Left
            } else {
                MemberState::Alive
            };
            return MemberUpdate {
                member,
                incarnation: self.incarnation,
                state,
            };
        }
        let m = self.members[usize::from(member)];
        MemberUpdate {
            member,
            incarnation: m.incarnation,
            state: m.state,
        }
    }

    fn send(&mut self, to: u16, kind: MessageKind, sequence: u16, about: u16) {
        let mut changes = vec![];
        // Who is accused hears of it first, and a process that takes itself for an older one hears of that.
        let its = self.known(to);
        if its.state != MemberState::Alive || self.news.contains_key(&to) {
            changes.push(its);
        }
        let most = (RETELL * self.log()).ceil() as u32;
        let mut least: Vec<(u32, u16)> = self.news.iter().map(|(m, told)| (*told, *m)).collect();
        least.sort_unstable();
        // Whoever hears nobody at all tells of itself only: the others are hardly all gone.
        let deaf = self.reachability.deaf();
        let told = |m: &u16| *m != to && (!deaf || *m == self.config.me);
        for (_, member) in least
            .into_iter()
            .filter(|(_, m)| told(m))
            .take(MAX_UPDATES - 1)
        {
            changes.push(self.known(member));
            let told = self.news.entry(member).or_default();
            *told += 1;
            if *told >= most {
                self.news.remove(&member);
            }
        }
        // News may have passed somebody by: who is dead or has left is told again, one by one.
        let after = |m: &u16| (m + self.config.members - self.reminder) % self.config.members;
        let gone = |m: &u16| !deaf && *m != to && !self.members[usize::from(*m)].state.is_present();
        let dead = (0..self.config.members).filter(|m| *m != self.config.me && gone(m));
        if let Some(one) = dead
            .min_by_key(after)
            .filter(|m| changes.iter().all(|c| c.member != *m))
        {
            changes.push(self.known(one));
            self.reminder = (one + 1) % self.config.members;
        }
        changes.truncate(MAX_UPDATES);
        let (from, incarnation) = (self.config.me, self.incarnation);
        self.effects.push(Effect::Send {
            to,
            message: Message {
                kind,
                from,
                incarnation,
                sequence,
                about,
                changes,
            },
        });
    }
}
