//! Probes of runners, and attempts that have been silent for too long.
//!
//! Probes are rate-limited by a token bucket, as each is priced.

use crate::attempt::Attempt;
use crate::balancer::Balancer;
use crate::constants::{
    HUNG_MIN_MS, MAX_SCANNED, PROBES_PER_S, PROBE_BURST, PROBE_USAGE, REPORT_STALE_MS,
};
use crate::health::Availability;
use crate::{AttemptId, Millis, RunnerKey};

impl Balancer {
    /// Ejects the runners that hang.
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

    /// Runners that are worth a `/-/report` now: each is priced as a probe. Those whose ejection is
    /// over go first, since a report readmits them with no request at stake; then those that have
    /// reported nothing recently in a fleet that is well used.
    pub fn runners_to_probe(&mut self, now: Millis) -> Vec<RunnerKey> {
        let (credit, since) = self.probe_credit;
        let earned = now.saturating_sub(since) as f64 / 1_000.0 * PROBES_PER_S;
        let mut credit = (credit + earned).min(PROBE_BURST);
        let mut probed = Vec::new();
        if credit >= 1.0 {
            let mut candidates: Vec<(bool, Millis, RunnerKey)> = Vec::new();
            for at in 0..self.services.len() {
                let Some(service) = self.services.get(at).filter(|s| s.llm) else {
                    continue;
                };
                let busy = service.live_in_flight > 0 || service.mean_live_in_flight >= 0.1;
                let filled = service.load_by_others(now)
                    + f64::from(service.live_in_flight) / service.slots.max(1.0)
                    >= PROBE_USAGE;
                for key in self.sample(at, MAX_SCANNED) {
                    let Some(runner) = self.get(key).filter(|runner| runner.up) else {
                        continue;
                    };
                    let age = now.saturating_sub(runner.reported.map_or(0, |t| t.at));
                    let recently = runner
                        .last_probe_at
                        .is_some_and(|a| now.saturating_sub(a) < REPORT_STALE_MS);
                    match runner.health.availability(now) {
                        Availability::Probe => candidates.push((true, age, key)),
                        Availability::Healthy
                            if busy && filled && age >= REPORT_STALE_MS && !recently =>
                        {
                            candidates.push((false, age, key))
                        }
                        _ => {}
                    }
                }
            }
            candidates.sort_unstable_by(|a, b| b.cmp(a));
            for (trial, _, key) in candidates.into_iter().take(credit as usize) {
                credit -= 1.0;
                if let Some(runner) = self.get_mut(key) {
                    runner.last_probe_at = Some(now);
                    if trial {
                        runner.health.probe = Some(u64::MAX);
                    }
                }
                probed.push(key);
            }
        }
        self.probe_credit = (credit, now);
        probed
    }

    /// A probe was not answered.
    pub fn report_failed(&mut self, now: Millis, key: RunnerKey) {
        self.eject(now, key, 0.0);
    }

    /// Retryable attempts without a first token for far longer than their peers, whose runner has
    /// shown no sign of life since: each is reported once. They may be retried elsewhere at once.
    pub fn overdue_attempts(&mut self, now: Millis) -> Vec<AttemptId> {
        let waits =
            |s: &Attempt| s.first_token_at.is_none() && !s.reported_overdue && now > s.hung_at;
        let old = self
            .attempts
            .iter()
            .take_while(|(_, s)| now.saturating_sub(s.started_at) as f64 >= HUNG_MIN_MS);
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
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.reported_overdue = true;
                silent.extend(attempt.retryable.then_some(AttemptId(id)));
            }
        }
        silent
    }
}
