//! What is worth asking, and what has been silent for too long.

use crate::constants::{
    HUNG_LEAST_MS, REPORTS_BURST, REPORTS_PER_S, REPORT_AGE_MS, REPORT_FILL, SCAN,
};
use crate::engines::{Engines, Sending};
use crate::health::Fit;
use crate::{Ms, RunnerKey, SendId};

impl Engines {
    /// Runners that are worth a `/-/report` now: each is priced as a probe. Those that were in trouble go
    /// first, since a report that comes ends their avoidance without a request at stake; then those that have
    /// said nothing lately in a fleet that is filled well.
    pub fn ask_reports(&mut self, now: Ms) -> Vec<RunnerKey> {
        let (credit, since) = self.reports;
        let earned = now.saturating_sub(since) as f64 / 1_000.0 * REPORTS_PER_S;
        let mut credit = (credit + earned).min(REPORTS_BURST);
        let mut asked = Vec::new();
        if credit >= 1.0 {
            let mut wanted: Vec<(bool, Ms, RunnerKey)> = Vec::new();
            for at in 0..self.svcs.len() {
                let Some(svc) = self.svcs.get(at).filter(|s| s.llm) else {
                    continue;
                };
                let busy = svc.live > 0 || svc.live_mean >= 0.1;
                let filled =
                    svc.others(now) + f64::from(svc.live) / svc.slots.max(1.0) >= REPORT_FILL;
                for key in self.drawn(at, SCAN) {
                    let Some(r) = self.at(key).filter(|r| r.up) else {
                        continue;
                    };
                    let age = now.saturating_sub(r.told.map_or(0, |t| t.at));
                    let lately = r
                        .asked
                        .is_some_and(|a| now.saturating_sub(a) < REPORT_AGE_MS);
                    match r.health.fit(now) {
                        Fit::Trial => wanted.push((true, age, key)),
                        Fit::Yes if busy && filled && age >= REPORT_AGE_MS && !lately => {
                            wanted.push((false, age, key))
                        }
                        _ => {}
                    }
                }
            }
            wanted.sort_unstable_by(|a, b| b.cmp(a));
            for (trial, _, key) in wanted.into_iter().take(credit as usize) {
                credit -= 1.0;
                if let Some(r) = self.at_mut(key) {
                    r.asked = Some(now);
                    if trial {
                        r.health.trial = Some(u64::MAX);
                    }
                }
                asked.push(key);
            }
        }
        self.reports = (credit, now);
        asked
    }

    /// A report that was asked for didn't come.
    pub fn report_lost(&mut self, now: Ms, key: RunnerKey) {
        self.strike(now, key, 0.0);
    }

    /// Repeatable sendings without a first token for far longer than their peers, whose runner has shown no
    /// sign of life since: each is told once. They may be sent again elsewhere at once.
    pub fn overdue(&mut self, now: Ms) -> Vec<SendId> {
        let waits = |s: &Sending| s.first.is_none() && !s.told && now > s.limit;
        let old = self
            .sends
            .iter()
            .take_while(|(_, s)| now.saturating_sub(s.sent) as f64 >= HUNG_LEAST_MS);
        let late: Vec<u64> = old.filter(|(_, s)| waits(s)).map(|(id, _)| *id).collect();
        let mut silent = Vec::new();
        for id in late {
            let Some((key, sent)) = self.sends.get(&id).map(|s| (s.key, s.sent)) else {
                continue;
            };
            if self.at(key).is_some_and(|r| r.heard > sent) {
                continue;
            }
            self.look(now, &[key]);
            if let Some(sending) = self.sends.get_mut(&id) {
                sending.told = true;
                silent.extend(sending.repeatable.then_some(SendId(id)));
            }
        }
        silent
    }
}
