//! What is worth asking, and what has been silent for too long.

use crate::attempt::Attempt;
use crate::balancer::Balancer;
use crate::constants::{
    HUNG_LEAST_MS, REPORTS_BURST, REPORTS_PER_S, REPORT_AGE_MS, REPORT_FILL, SCAN,
};
use crate::health::Availability;
use crate::{AttemptId, Millis, RunnerKey};

impl Balancer {
    /// Strikes those that hang.
    pub(crate) fn eject_hung(&mut self, now: Millis, pool: &[RunnerKey]) {
        for key in pool {
            if self.get(*key).is_some_and(|runner| runner.is_hung(now)) {
                self.eject(now, *key, 0.0);
            }
        }
    }

    pub(crate) fn eject(&mut self, now: Millis, key: RunnerKey, least: f64) {
        let mut rng = self.rng.clone();
        if let Some(runner) = self.get_mut(key) {
            runner.health.eject(now, least, &mut rng);
        }
        self.rng = rng;
    }

    /// Runners that are worth a `/-/report` now: each is priced as a probe. Those that were in trouble go
    /// first, since a report that comes ends their avoidance without a request at stake; then those that have
    /// said nothing lately in a fleet that is filled well.
    pub fn runners_to_probe(&mut self, now: Millis) -> Vec<RunnerKey> {
        let (credit, since) = self.probe_credit;
        let earned = now.saturating_sub(since) as f64 / 1_000.0 * REPORTS_PER_S;
        let mut credit = (credit + earned).min(REPORTS_BURST);
        let mut asked = Vec::new();
        if credit >= 1.0 {
            let mut wanted: Vec<(bool, Millis, RunnerKey)> = Vec::new();
            for at in 0..self.services.len() {
                let Some(service) = self.services.get(at).filter(|s| s.llm) else {
                    continue;
                };
                let busy = service.live_in_flight > 0 || service.mean_live_in_flight >= 0.1;
                let filled = service.load_by_others(now)
                    + f64::from(service.live_in_flight) / service.slots.max(1.0)
                    >= REPORT_FILL;
                for key in self.sample(at, SCAN) {
                    let Some(runner) = self.get(key).filter(|runner| runner.up) else {
                        continue;
                    };
                    let age = now.saturating_sub(runner.reported.map_or(0, |t| t.at));
                    let lately = runner
                        .last_probe_at
                        .is_some_and(|a| now.saturating_sub(a) < REPORT_AGE_MS);
                    match runner.health.availability(now) {
                        Availability::Probe => wanted.push((true, age, key)),
                        Availability::Healthy
                            if busy && filled && age >= REPORT_AGE_MS && !lately =>
                        {
                            wanted.push((false, age, key))
                        }
                        _ => {}
                    }
                }
            }
            wanted.sort_unstable_by(|a, b| b.cmp(a));
            for (trial, _, key) in wanted.into_iter().take(credit as usize) {
                credit -= 1.0;
                if let Some(runner) = self.get_mut(key) {
                    runner.last_probe_at = Some(now);
                    if trial {
                        runner.health.probe = Some(u64::MAX);
                    }
                }
                asked.push(key);
            }
        }
        self.probe_credit = (credit, now);
        asked
    }

    /// A report that was asked for didn't come.
    pub fn report_failed(&mut self, now: Millis, key: RunnerKey) {
        self.eject(now, key, 0.0);
    }

    /// Repeatable sendings without a first token for far longer than their peers, whose runner has shown no
    /// sign of life since: each is told once. They may be sent again elsewhere at once.
    pub fn overdue_attempts(&mut self, now: Millis) -> Vec<AttemptId> {
        let waits =
            |s: &Attempt| s.first_token_at.is_none() && !s.reported_overdue && now > s.hung_at;
        let old = self
            .attempts
            .iter()
            .take_while(|(_, s)| now.saturating_sub(s.started_at) as f64 >= HUNG_LEAST_MS);
        let late: Vec<u64> = old.filter(|(_, s)| waits(s)).map(|(id, _)| *id).collect();
        let mut silent = Vec::new();
        for id in late {
            let Some((key, sent)) = self.attempts.get(&id).map(|s| (s.runner, s.started_at)) else {
                continue;
            };
            if self
                .get(key)
                .is_some_and(|runner| runner.last_activity_at > sent)
            {
                continue;
            }
            self.eject_hung(now, &[key]);
            if let Some(sending) = self.attempts.get_mut(&id) {
                sending.reported_overdue = true;
                silent.extend(sending.retryable.then_some(AttemptId(id)));
            }
        }
        silent
    }
}
