//! What a member knows from the datagrams that it receives itself, what it says when it leaves, and
//! what others may ask of its beliefs.

use super::{mix, Connectivity, Effect, Swim};
use crate::{MemberState, MemberUpdate, Message, MessageKind};
use dispatch_api::Micros;

/// Members that a leaving one tells itself, times the binary logarithm of all; the others learn of it
/// from these.
const FAREWELLS: f64 = 4.0;
/// Salt of the hash of the view.
const VIEW_SEED: u64 = 0x51e7;

impl Swim {
    /// Whether a member is dead, or has left so long ago that its process has ended: one that was told
    /// to stop answers what it has accepted first, and is waited for meanwhile.
    pub fn is_gone(&self, member: u16, now: Micros) -> bool {
        match self.state(member) {
            Some(MemberState::Left) => {
                let known = self.members.get(usize::from(member));
                known.is_none_or(|m| m.deadline <= now)
            }
            state => !state.is_some_and(MemberState::is_present),
        }
    }

    /// A hash of the members that are present: the same at all members that believe the same.
    pub fn view_hash(&self) -> u32 {
        let hash = |m: u16| mix(VIEW_SEED, u64::from(m) + 1);
        let sum = self
            .alive()
            .fold(0, |sum: u64, m| sum.wrapping_add(hash(m)));
        (sum >> 32) as u32
    }

    /// Since when the view has had that hash.
    pub fn stable_since(&self) -> Micros {
        self.stable_since
    }

    /// The connectivity to a member in both directions.
    pub fn connectivity(&self, member: u16, now: Micros) -> Connectivity {
        // Two datagrams of a member in a period go to one other each.
        let lately = self.config.period * u64::from(self.config.members).max(4) * 2;
        let own = member == self.config.me;
        let patience = self.suspicion() / 2;
        Connectivity {
            received_lately: own || self.reachability.received_within(member, now, lately),
            reachable: own || self.reachability.reaches(member, patience),
        }
    }

    /// Announces that this member leaves, so that it is not suspected. The members that are told tell
    /// the others.
    pub fn leave(&mut self, now: Micros) -> Vec<Effect> {
        if std::mem::replace(&mut self.left, true) {
            return vec![];
        }
        (self.probe, self.next_probe) = (None, Micros::MAX);
        let count = (FAREWELLS * f64::from(self.config.members).log2()).ceil() as usize;
        let me = self.config.me;
        let mut others: Vec<u16> = self.alive().filter(|m| *m != me).collect();
        others.sort_by_key(|m| mix(self.config.seed, now << 16 | u64::from(*m)));
        self.updates.insert(me, 0);
        for other in others.into_iter().take(count) {
            self.updates.insert(me, 0);
            self.send(other, MessageKind::Ack, 0, 0);
        }
        std::mem::take(&mut self.effects)
    }

    /// A member's living process was heard, here or by another that pinged it on request.
    pub(super) fn heard_directly(&mut self, now: Micros, member: u16) {
        self.reachability.record_received(member, now);
        // Suspected by somebody, and heard: it is notified, and refutes for all.
        let known = self.known(member);
        match known.state {
            MemberState::Suspect => {
                let state = MemberState::Alive;
                self.members[usize::from(member)].state = state;
                let alive = MemberUpdate { state, ..known };
                self.effects.push(Effect::MemberChanged(alive));
                self.notify_accused(now, known);
            }
            MemberState::Dead => self.notify_accused(now, known),
            MemberState::Alive | MemberState::Left => {}
        }
    }

    /// Whether it was heard so lately that it can't have been silent for as long as a suspect has.
    pub(super) fn hears(&self, member: u16, now: Micros) -> bool {
        let lately = self.suspicion() / 2;
        self.reachability.received_within(member, now, lately)
    }

    /// Notifies a member that others doubt it, at most once in a period: only its own refutation
    /// settles that for all.
    pub(super) fn notify_accused(&mut self, now: Micros, accusation: MemberUpdate) {
        let to = accusation.member;
        if self.reachability.may_notify(to, now, self.config.period) {
            let message = Message {
                kind: MessageKind::Ack,
                from: self.config.me,
                incarnation: self.incarnation,
                sequence: 0,
                target: 0,
                updates: vec![accusation],
            };
            self.effects.push(Effect::Send { to, message });
        }
    }
}
