//! What runners report of their load: on their answers, and when they are probed.
//!
//! The load by other dispatchers is the reported load less what this one has in flight there.

use crate::balancer::Balancer;
use crate::constants::{OTHERS_MEMORY, REPORT_LAG_MS};
use crate::runner::KvUsage;
use crate::{LoadReport, Millis, RunnerKey, RunnerLoad};

impl Balancer {
    /// `Fordrelay-Runner-Load` of an answer.
    pub fn load_reported(&mut self, now: Millis, key: RunnerKey, load: RunnerLoad) {
        let RunnerLoad {
            running,
            waiting,
            slots,
        } = load;
        let Some(at) = self.get(key).map(|runner| runner.service) else {
            return;
        };
        let prefill_ms = self
            .services
            .get(at)
            .map_or(0.0, |service| service.prefill_ms(service.uncached_tokens));
        let Some(runner) = self.get_mut(key) else {
            return;
        };
        runner.last_activity_at = runner.last_activity_at.max(now);
        let before = runner.offered_slots();
        if slots > 0 {
            runner.slots = f64::from(slots);
        }
        let more = runner.offered_slots() - before;
        runner.note_load(now, f64::from(running) + f64::from(waiting));
        // Prompts of other dispatchers that wait there are prefilled before what is sent now.
        let ahead = (f64::from(waiting) - runner.pending_first_tokens.len() as f64).max(0.0);
        runner.prefill_until = runner.prefill_until.max(now as f64 + ahead * prefill_ms);
        self.count_slots(at, more);
        self.note_load_by_others(now, at, key);
    }

    /// The answer to `/-/report`.
    pub fn report_received(&mut self, now: Millis, key: RunnerKey, report: LoadReport) {
        let Some(at) = self.get(key).map(|runner| runner.service) else {
            return;
        };
        let mut rng = self.rng.clone();
        let Some(runner) = self.get_mut(key) else {
            return;
        };
        runner.last_activity_at = runner.last_activity_at.max(now);
        // It answers, and a hung runner doesn't.
        runner.health.recover(&mut rng);
        let reported_at = now.saturating_sub(REPORT_LAG_MS);
        // The load in an answer may be newer than a report.
        if runner.reported.is_none_or(|t| t.at <= reported_at) {
            runner.note_load(
                reported_at,
                f64::from(report.queued) + f64::from(report.active),
            );
        }
        if report.kv_size > 0 {
            runner.kv = Some(KvUsage {
                reported_at,
                used: report.kv_in_use as f64,
                size: report.kv_size as f64,
            });
        }
        self.rng = rng;
        self.note_load_by_others(now, at, key);
    }

    fn note_load_by_others(&mut self, now: Millis, at: usize, key: RunnerKey) {
        let Some(share) = self
            .get(key)
            .and_then(|runner| Some(runner.reported?.by_others / runner.slots.max(1.0)))
        else {
            return;
        };
        if let Some(service) = self.services.get_mut(at) {
            service.load_by_others += (share - service.load_by_others) / OTHERS_MEMORY;
            service.last_report_at = service.last_report_at.max(now);
        }
    }
}
