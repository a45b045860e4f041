//! What a member knows from what it hears itself, and what it says when it goes.

use super::Connectivity;
use super::{
    mix, Effect, MemberState, MemberUpdate, Message, MessageKind, Micros, Swim, FAREWELLS,
};

impl Swim {
    /// Whether a member is dead, or has left so long ago that its process has ended: one that was told to stop answers what it
    /// has taken first, and is waited for meanwhile.
    pub fn is_gone(&self, member: u16, now: Micros) -> bool {
        match self.state(member) {
            Some(MemberState::Left) => self
                .members
                .get(usize::from(member))
                .is_none_or(|m| m.until <= now),
            state => !state.is_some_and(MemberState::is_present),
        }
    }

    /// The number of the view: the same at all members that hold the same others for there.
    pub fn view_hash(&self) -> u32 {
        let mixed = self.alive().fold(0, |sum: u64, m| {
            sum.wrapping_add(mix(0x51e7, u64::from(m) + 1))
        });
        (mixed >> 32) as u32
    }

    /// Since when the view has had that number.
    pub fn stable_since(&self) -> Micros {
        self.stable_since
    }

    /// The connectivity to a member in both directions.
    pub fn connectivity(&self, member: u16, now: Micros) -> Connectivity {
        // Two datagrams of a member in a period go to one other each.
        let lately = self.config.period * u64::from(self.config.members).max(4) * 2;
        let own = member == self.config.me;
        Connectivity {
            received_lately: own || self.reachability.heard(member, now, lately),
            reachable: own || self.reachability.by(member, self.suspicion() / 2),
        }
    }

    /// Says that it goes: no suspicion follows. Those that hear it tell the others.
    pub fn leave(&mut self, now: Micros) -> Vec<Effect> {
        if std::mem::replace(&mut self.left, true) {
            return vec![];
        }
        (self.probe, self.next_probe) = (None, Micros::MAX);
        let most = (FAREWELLS * f64::from(self.config.members).log2()).ceil() as usize;
        let mut others: Vec<u16> = self.alive().filter(|m| *m != self.config.me).collect();
        others.sort_by_key(|m| mix(self.config.seed, now << 16 | u64::from(*m)));
        self.news.insert(self.config.me, 0);
        for other in others.into_iter().take(most) {
            self.news.insert(self.config.me, 0);
            self.send(other, MessageKind::Ack, 0, 0);
        }
        std::mem::take(&mut self.effects)
    }

    /// A member's living process was heard, here or by another that was asked to ping it.
    pub(super) fn is_heard(&mut self, now: Micros, member: u16) {
        self.reachability.from(member, now);
        // Suspected by somebody, and heard: it is told, and says otherwise to all.
        match self.members[usize::from(member)].state {
            MemberState::Suspect => {
                self.members[usize::from(member)].state = MemberState::Alive;
                self.effects.push(Effect::MemberChanged(self.known(member)));
                self.accuse(
                    now,
                    MemberUpdate {
                        state: MemberState::Suspect,
                        ..self.known(member)
                    },
                );
            }
            MemberState::Dead => self.accuse(now, self.known(member)),
            MemberState::Alive | MemberState::Left => {}
        }
    }

    /// It was heard so lately that it can't have been silent for as long as a suspect has.
    pub(super) fn hears(&self, member: u16, now: Micros) -> bool {
        self.reachability.heard(member, now, self.suspicion() / 2)
    }

    /// Tells a member that others take it for gone, at most once in a period: only its own word settles that for all.
    pub(super) fn accuse(&mut self, now: Micros, change: MemberUpdate) {
        if self
            .reachability
            .may_tell(change.member, now, self.config.period)
        {
            let (kind, from, incarnation) = (MessageKind::Ack, self.config.me, self.incarnation);
            let message = Message {
                kind,
                from,
                incarnation,
                sequence: 0,
                about: 0,
                changes: vec![change],
            };
            self.effects.push(Effect::Send {
                to: change.member,
                message,
            });
        }
    }
}
