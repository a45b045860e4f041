//! Updates of the member list: which are applied, and which travel on the next datagram.

use super::{Effect, Member, Swim, MAX_LOCAL_HEALTH};
use crate::incarnation::{is_newer, successor};
use crate::{MemberState, MemberUpdate, Message, MessageKind, MAX_UPDATES};
use dispatch_api::Micros;

/// An update is sent this many times, times the decimal logarithm of the members.
const RETRANSMITS: f64 = 4.0;

impl Swim {
    /// Applies an update, if it is news: the later incarnation counts, and the later state within one.
    pub(super) fn apply(&mut self, now: Micros, update: MemberUpdate) {
        let MemberUpdate {
            member,
            incarnation,
            state,
        } = update;
        if member == self.config.me {
            return self.refute(update);
        }
        if member >= self.config.members {
            return;
        }
        // A member that is heard directly is alive, whatever others hear: a path that is broken one
        // way is not a death.
        let doubted = matches!(state, MemberState::Suspect | MemberState::Dead);
        if doubted && self.known(member).incarnation == incarnation && self.hears(member, now) {
            return self.notify_accused(now, update);
        }
        // A member that is slow itself learns late of refutations.
        let deadline = now + self.suspicion() * (1 + self.local_health);
        let Some(known) = self.members.get_mut(usize::from(member)) else {
            return;
        };
        let later_state = incarnation == known.incarnation && state > known.state;
        if is_newer(incarnation, known.incarnation) || later_state {
            let changed = known.state != state || known.incarnation != 0;
            if known.state.is_present() != state.is_present() {
                self.stable_since = now;
            }
            *known = Member {
                state,
                incarnation,
                deadline,
            };
            self.updates.insert(member, 0);
            if changed {
                self.effects.push(Effect::MemberChanged(update));
            }
        }
    }

    /// Refutes an update about this member itself, if it doubts it or is about a process before it.
    fn refute(&mut self, update: MemberUpdate) {
        let doubted = update.state != MemberState::Alive;
        let accused = doubted && !is_newer(self.incarnation, update.incarnation);
        if !self.left && (accused || is_newer(update.incarnation, self.incarnation)) {
            self.incarnation = successor(update.incarnation);
            self.local_health = (self.local_health + u64::from(accused)).min(MAX_LOCAL_HEALTH);
            self.updates.insert(self.config.me, 0);
        }
    }

    /// What is believed of a member, as an update.
    pub(super) fn known(&self, member: u16) -> MemberUpdate {
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
        let known = self.members[usize::from(member)];
        MemberUpdate {
            member,
            incarnation: known.incarnation,
            state: known.state,
        }
    }

    /// Sends a datagram with the updates that are due.
    pub(super) fn send(&mut self, to: u16, kind: MessageKind, sequence: u16, target: u16) {
        let message = Message {
            kind,
            from: self.config.me,
            incarnation: self.incarnation,
            sequence,
            target,
            updates: self.next_updates(to),
        };
        self.effects.push(Effect::Send { to, message });
    }

    /// The updates for a datagram to this member; those that were sent least often come first.
    fn next_updates(&mut self, to: u16) -> Vec<MemberUpdate> {
        let mut updates = vec![];
        // A suspect is told first, and a process that is taken for an older one learns of that.
        let about_receiver = self.known(to);
        if about_receiver.state != MemberState::Alive || self.updates.contains_key(&to) {
            updates.push(about_receiver);
        }
        let retransmits = (RETRANSMITS * self.log_members()).ceil() as u32;
        let pending = self.updates.iter().map(|(m, sent)| (*sent, *m));
        let mut pending: Vec<(u32, u16)> = pending.collect();
        pending.sort_unstable();
        // An isolated member tells of itself only: the others are hardly all dead.
        let isolated = self.reachability.is_isolated();
        let me = self.config.me;
        let due = |m: &u16| *m != to && (!isolated || *m == me);
        let due = pending.into_iter().map(|(_, m)| m).filter(due);
        for member in due.take(MAX_UPDATES - 1) {
            updates.push(self.known(member));
            let sent = self.updates.entry(member).or_default();
            *sent += 1;
            if *sent >= retransmits {
                self.updates.remove(&member);
            }
        }
        updates.extend(self.next_reminder(to, &updates));
        updates.truncate(MAX_UPDATES);
        updates
    }

    /// Updates may have missed some member: absent members are mentioned again, one a datagram.
    fn next_reminder(&mut self, to: u16, updates: &[MemberUpdate]) -> Option<MemberUpdate> {
        if self.reachability.is_isolated() {
            return None;
        }
        let members = self.config.members;
        let absent = |m: &u16| {
            let present = self.members[usize::from(*m)].state.is_present();
            *m != self.config.me && *m != to && !present
        };
        let distance = |m: &u16| (m + members - self.reminder) % members;
        let next = (0..members).filter(absent).min_by_key(distance)?;
        if updates.iter().any(|u| u.member == next) {
            return None;
        }
        self.reminder = (next + 1) % members;
        Some(self.known(next))
    }
}
