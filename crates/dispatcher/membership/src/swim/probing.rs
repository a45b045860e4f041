//! Failure detection: one ping a period, indirect pings through others, and suspicion.

use super::{Swim, MAX_LOCAL_HEALTH};
use crate::{MemberState, MemberUpdate, MessageKind};
use dispatch_api::hash::mix;
use dispatch_api::Micros;

/// Members that are asked to ping one that does not answer.
const INDIRECT_PROBES: usize = 3;
/// One ping in so many goes to a suspect, if there is one: it learns of that, and may refute.
const SUSPECT_PROBE_INTERVAL: u64 = 2;
/// One ping in so many goes to a dead member, if there is one.
const DEAD_PROBE_INTERVAL: u64 = 4;
/// Pings that are in flight on behalf of others at the most; the oldest is dropped.
pub(super) const MAX_RELAYS: usize = 64;

/// A ping of this member's own.
#[derive(Debug, Clone, Copy)]
pub(super) struct Probe {
    target: u16,
    sequence: u16,
    /// From then on others are asked.
    indirect_at: Micros,
    ends: Micros,
    indirect_sent: bool,
    answered: bool,
}

impl Probe {
    /// When something is due next.
    pub fn wake_at(&self) -> Micros {
        if self.indirect_sent || self.answered {
            self.ends
        } else {
            self.indirect_at
        }
    }
}

/// A ping on behalf of another member.
#[derive(Debug, Clone, Copy)]
pub(super) struct Relay {
    pub requester: u16,
    pub sequence: u16,
    pub target: u16,
}

impl Swim {
    pub(super) fn tick_probe(&mut self, now: Micros) {
        match self.probe {
            Some(probe) if probe.ends <= now => self.probe_ended(now, probe),
            Some(probe) if probe.indirect_at <= now && !probe.indirect_sent && !probe.answered => {
                self.send_indirect_probes(probe);
            }
            Some(_) => {}
            None if self.next_probe <= now => self.start_probe(now),
            None => {}
        }
    }

    pub(super) fn ack_received(&mut self, now: Micros, from: u16, sequence: u16) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.sequence == sequence) {
            let target = probe.target;
            let indirect = !std::mem::replace(&mut probe.answered, true) && target != from;
            // Updates about it may miss this member where the path from it is broken: an answer
            // through others is as good.
            if indirect && self.members[usize::from(target)].state == MemberState::Suspect {
                self.heard_directly(now, target);
            }
        } else if let Some(relay) = self.relays.remove(&sequence) {
            let Relay {
                requester,
                sequence,
                target,
            } = relay;
            self.send(requester, MessageKind::Ack, sequence, target);
        }
    }

    fn probe_ended(&mut self, now: Micros, probe: Probe) {
        let target = self.members[usize::from(probe.target)];
        // A member that hears nobody is more likely to be at fault itself.
        self.local_health = if self.received_any {
            self.local_health.saturating_sub(1)
        } else {
            (self.local_health + 1).min(MAX_LOCAL_HEALTH)
        };
        if !probe.answered && target.state.is_present() {
            let update = MemberUpdate {
                member: probe.target,
                incarnation: target.incarnation,
                state: MemberState::Suspect,
            };
            self.apply(now, update);
        }
        self.reachability.period_ended(self.received_any);
        (self.probe, self.received_any) = (None, false);
        self.start_probe(now);
    }

    fn send_indirect_probes(&mut self, probe: Probe) {
        let salt = u64::from(probe.sequence) << 16;
        let me = self.config.me;
        let others = self.alive().filter(|m| *m != me && *m != probe.target);
        let mut others: Vec<u16> = others.collect();
        others.sort_by_key(|m| mix(self.config.seed, salt | u64::from(*m)));
        for other in others.into_iter().take(INDIRECT_PROBES) {
            self.send(other, MessageKind::PingReq, probe.sequence, probe.target);
        }
        // The ping or its answer may have been lost: that is far more common than a broken path.
        self.send(probe.target, MessageKind::Ping, probe.sequence, 0);
        if let Some(probe) = &mut self.probe {
            probe.indirect_sent = true;
        }
    }

    fn start_probe(&mut self, now: Micros) {
        let span = self.config.period * (1 + self.local_health);
        self.next_probe = now + span;
        let Some(target) = self.next_target() else {
            return;
        };
        let sequence = self.next_sequence();
        self.probe = Some(Probe {
            target,
            sequence,
            indirect_at: now + span / 3,
            ends: now + span,
            indirect_sent: false,
            answered: false,
        });
        self.send(target, MessageKind::Ping, sequence, 0);
    }

    fn next_target(&mut self) -> Option<u16> {
        self.probes += 1;
        if self.probes % SUSPECT_PROBE_INTERVAL == 1 {
            if let Some(suspect) = self.any_in_state(MemberState::Suspect) {
                return Some(suspect);
            }
        }
        if self.probes.is_multiple_of(DEAD_PROBE_INTERVAL) {
            if let Some(dead) = self.any_in_state(MemberState::Dead) {
                return Some(dead);
            }
        }
        for _ in 0..2 {
            while let Some(next) = self.round.pop() {
                if self.state(next).is_some_and(MemberState::is_present) {
                    return Some(next);
                }
            }
            self.rounds += 1;
            let (seed, salt) = (self.config.seed, self.rounds << 16);
            self.round = self.alive().filter(|m| *m != self.config.me).collect();
            self.round.sort_by_key(|m| mix(seed, salt | u64::from(*m)));
        }
        None
    }

    /// A member in this state, another one for each probe.
    fn any_in_state(&self, state: MemberState) -> Option<u16> {
        let salt = self.probes << 16;
        let members = (0..self.config.members).filter(|m| self.state(*m) == Some(state));
        members.min_by_key(|m| mix(self.config.seed, salt | u64::from(*m)))
    }

    pub(super) fn next_sequence(&mut self) -> u16 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
