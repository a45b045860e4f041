//! The state machine: who is alive, as this member believes.
//!
//! SWIM (Das, Gupta, Motivala, DSN 2002): in each period one member is pinged, in an order that is
//! drawn anew each round. If it does not answer within a third of the period, others are asked to ping
//! it; if there is no answer by the end of the period, it is suspected, and declared dead unless it
//! refutes that in time. Updates are piggybacked on these messages. From Lifeguard (Dadgar, Phillips,
//! Currey, 2018) come local health, by which a member that is slow itself waits longer before it
//! suspects others, and the buddy system, by which a suspect is told first.
//!
//! Members are configured and never removed. Dead ones are pinged now and then, so that the halves of
//! a healed partition find each other again.

mod config;
mod direct_evidence;
mod dissemination;
mod probing;

pub use config::{Config, Connectivity, Effect, MAX_MEMBERS};

use crate::reachability::{Reachability, ReachabilityChange};
use crate::{MemberState, MemberUpdate, Message, MessageKind};
use dispatch_api::hash::mix;
use dispatch_api::Micros;
use probing::{Probe, Relay, MAX_RELAYS};
use std::collections::BTreeMap;

/// A suspect is declared dead after this many periods, times the decimal logarithm of the members: the
/// suspicion must reach it, and its refutation all others, on some four messages of each member in a
/// period.
const SUSPICION_PERIODS: f64 = 10.0;
/// The worst local health: waits are longer by up to this many times.
const MAX_LOCAL_HEALTH: u64 = 3;

/// What is believed of another member.
#[derive(Debug, Clone, Copy)]
struct Member {
    state: MemberState,
    incarnation: u32,
    /// When a suspect is declared dead.
    deadline: Micros,
}

/// One member, and what it believes of all.
#[derive(Debug)]
pub struct Swim {
    config: Config,
    incarnation: u32,
    members: Vec<Member>,
    /// Updates that are still being disseminated: how often each was sent, by the member's number.
    updates: BTreeMap<u16, u32>,
    probe: Option<Probe>,
    next_probe: Micros,
    probes: u64,
    /// Members that are still to be pinged in this round, the next one last.
    round: Vec<u16>,
    rounds: u64,
    sequence: u16,
    relays: BTreeMap<u16, Relay>,
    /// Lifeguard's local health: 0 while datagrams arrive, the higher the worse.
    local_health: u64,
    /// Any datagram was received since the last ping.
    received_any: bool,
    /// The absent member that is mentioned again next, besides updates.
    reminder: u16,
    reachability: Reachability,
    /// It has announced that it leaves.
    left: bool,
    /// Since when the same members have been present.
    stable_since: Micros,
    effects: Vec<Effect>,
}

impl Swim {
    /// A member that starts now. All others count as alive until they fail to answer.
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
            deadline: 0,
        };
        Swim {
            incarnation: config.incarnation,
            members: vec![unknown; usize::from(members)],
            updates: [(config.me, 0)].into(),
            probe: None,
            next_probe: now + mix(config.seed, u64::from(config.me)) % config.period,
            probes: 0,
            round: vec![],
            rounds: 0,
            sequence: 0,
            relays: BTreeMap::new(),
            local_health: 0,
            received_any: false,
            reminder: 0,
            reachability: Reachability::new(members),
            left: false,
            stable_since: now,
            effects: vec![],
            config,
        }
    }

    /// Its own incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// What is believed of a member; none for a number that no member has.
    pub fn state(&self, member: u16) -> Option<MemberState> {
        if member == self.config.me {
            return Some(MemberState::Alive);
        }
        self.members.get(usize::from(member)).map(|m| m.state)
    }

    /// The members that are present as far as is known, itself included.
    pub fn alive(&self) -> impl Iterator<Item = u16> + '_ {
        let present = |m: &u16| self.state(*m).is_some_and(MemberState::is_present);
        (0..self.config.members).filter(present)
    }

    /// What is believed of each member, by number.
    pub fn members(&self) -> Vec<MemberUpdate> {
        (0..self.config.members).map(|m| self.known(m)).collect()
    }

    /// When [`Swim::tick`] is wanted next.
    pub fn wake_at(&self) -> Micros {
        if self.left {
            return Micros::MAX;
        }
        let probe = self.probe.map_or(self.next_probe, |p| p.wake_at());
        let members = self.members.iter();
        let suspects = members.filter(|m| m.state == MemberState::Suspect);
        suspects.map(|m| m.deadline).fold(probe, Micros::min)
    }

    /// How long a suspect has to refute, microseconds.
    pub fn suspicion(&self) -> Micros {
        (SUSPICION_PERIODS * self.log_members() * self.config.period as f64) as Micros
    }

    fn log_members(&self) -> f64 {
        f64::from(self.config.members).log10().max(1.0)
    }

    /// Does what is due at the time of [`Swim::wake_at`], or at any other.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        if self.left {
            return vec![];
        }
        let patience = self.suspicion() / 2;
        for change in self.reachability.take_changes(patience) {
            let ReachabilityChange { member, reachable } = change;
            let effect = Effect::ReachabilityChanged { member, reachable };
            self.effects.push(effect);
        }
        for member in 0..self.config.members {
            let m = self.members[usize::from(member)];
            if m.state == MemberState::Suspect && m.deadline <= now {
                let update = MemberUpdate {
                    member,
                    incarnation: m.incarnation,
                    state: MemberState::Dead,
                };
                self.apply(now, update);
                // If it was heard meanwhile, it is still a suspect and has its time anew.
                self.members[usize::from(member)].deadline = now + self.suspicion();
            }
        }
        self.tick_probe(now);
        std::mem::take(&mut self.effects)
    }

    /// Handles a datagram.
    pub fn handle_message(&mut self, now: Micros, message: &Message) -> Vec<Effect> {
        let from = message.from;
        if from == self.config.me || from >= self.config.members {
            return vec![];
        }
        self.received_any = true;
        if self.reachability.is_isolated() {
            // It receives again: the members that it could not hear have their time anew.
            let deadline = now + self.suspicion();
            for member in &mut self.members {
                member.deadline = member.deadline.max(deadline);
            }
        }
        // A process tells of itself by all that it sends.
        let sender = MemberUpdate {
            member: from,
            incarnation: message.incarnation,
            state: MemberState::Alive,
        };
        self.apply(now, sender);
        if self.members[usize::from(from)].incarnation == message.incarnation {
            self.heard_directly(now, from);
        }
        if message.updates.iter().any(|u| self.accuses_this_member(u)) {
            self.reachability.record_accusation(from, now);
        } else {
            self.reachability.record_no_accusation(from);
        }
        for update in &message.updates {
            self.apply(now, *update);
        }
        self.answer(now, message);
        std::mem::take(&mut self.effects)
    }

    fn accuses_this_member(&self, update: &MemberUpdate) -> bool {
        let doubts = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        update.member == self.config.me && doubts
    }

    fn answer(&mut self, now: Micros, message: &Message) {
        let Message {
            from,
            sequence,
            target,
            ..
        } = *message;
        match message.kind {
            MessageKind::Ping => self.send(from, MessageKind::Ack, sequence, 0),
            MessageKind::Ack => self.ack_received(now, from, sequence),
            // A ping-req for this member itself is answered at once.
            MessageKind::PingReq if target == self.config.me => {
                self.send(from, MessageKind::Ack, sequence, target);
            }
            MessageKind::PingReq if target < self.config.members => {
                let own = self.next_sequence();
                if self.relays.len() >= MAX_RELAYS {
                    self.relays.pop_first();
                }
                let relay = Relay {
                    requester: from,
                    sequence,
                    target,
                };
                self.relays.insert(own, relay);
                self.send(target, MessageKind::Ping, own, 0);
            }
            MessageKind::PingReq => {}
        }
    }
}
