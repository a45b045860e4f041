//! What a member sends to others while a plan is known: the plan, and the reports of all members.

use crate::member::{Effect, Maintenance};
use crate::message::{MemberReport, Message, MAX_REPORTS};

/// Members that are sent to each time.
const FANOUT: usize = 2;

impl Maintenance {
    pub(crate) fn gossip(&mut self) {
        let Some(plan) = self.plan.clone() else {
            return;
        };
        self.gossips += 1;
        let alive = |m: &u16| *m != self.me && !self.dead.contains_key(m);
        let mut others: Vec<u16> = (0..self.members).filter(alive).collect();
        let turn = self.gossips as usize * FANOUT + usize::from(self.me);
        let turn = turn % others.len().max(1);
        others.rotate_left(turn);
        let progress = Message::Progress {
            from: self.me,
            plan: plan.id(),
            gone: self.taken_out as u8,
            reports: self.next_reports(),
        };
        for to in others.into_iter().take(FANOUT) {
            let message = Message::Plan(self.me, plan.clone());
            self.effects.push(Effect::Send { to, message });
            let message = progress.clone();
            self.effects.push(Effect::Send { to, message });
        }
    }

    /// All reports where they fit, else those of some members in turn; its own always.
    fn next_reports(&mut self) -> Vec<MemberReport> {
        let distance = |m: &u16| (m + self.members - self.next_reported) % self.members;
        let others = self.reports.keys().copied().filter(|m| *m != self.me);
        let mut members: Vec<u16> = others.collect();
        members.sort_by_key(distance);
        members.truncate(MAX_REPORTS - 1);
        let last = members.last();
        self.next_reported = last.map_or(self.me, |m| (m + 1) % self.members);
        members.push(self.me);
        let report = |member| MemberReport {
            member,
            report: self.reports.get(&member).copied().unwrap_or_default(),
        };
        members.into_iter().map(report).collect()
    }
}
