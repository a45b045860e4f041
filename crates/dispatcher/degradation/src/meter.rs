//! Readings of what the decisions believe and count.

use crate::config::DegradationConfig;
use crate::readings::{Readings, Usage, WindowedShare};
use dispatch_api::{Micros, PolicyMetrics};
use std::collections::{BTreeMap, VecDeque};

/// A baseline below this is forgotten: it is no target any more.
const MIN_BASELINE: f64 = 0.01;

/// Counts at one time.
#[derive(Debug, Clone, Default)]
struct Counts {
    at: Micros,
    classes: Vec<ClassCounts>,
    attempts: u64,
    rejected: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct ClassCounts {
    ended: u64,
    in_time: u64,
}

impl Counts {
    /// The share of a class that was not served in time since `earlier`.
    fn missed_deadlines(&self, class: usize, earlier: &Counts, min_samples: u64) -> Option<f64> {
        let then = earlier.classes.get(class).copied().unwrap_or_default();
        let now = self.classes.get(class).copied().unwrap_or_default();
        let ended = now.ended.saturating_sub(then.ended);
        let in_time = now.in_time.saturating_sub(then.in_time);
        share(ended.saturating_sub(in_time), ended, min_samples)
    }

    /// The share of attempts that were rejected since `earlier`.
    fn rejected_attempts(&self, earlier: &Counts, min_samples: u64) -> Option<f64> {
        let rejected = self.rejected.saturating_sub(earlier.rejected);
        let attempts = self.attempts.saturating_sub(earlier.attempts);
        share(rejected, attempts, min_samples)
    }
}

fn share(part: u64, all: u64, min_samples: u64) -> Option<f64> {
    (all >= min_samples.max(1)).then(|| part as f64 / all as f64)
}

/// Makes readings. Times never run back, but may stand still.
#[derive(Debug, Default)]
pub struct Meter {
    /// By kind, how many targets usually answer; one that warms up counts by its share.
    baseline: BTreeMap<u32, f64>,
    /// Since when a list of targets is fresh.
    fresh_since: Option<Micros>,
    /// The latest are at the back; none is older than the long window.
    counts: VecDeque<Counts>,
    last_read_at: Option<Micros>,
}

/// The sum of these, 0 if there are none: `Iterator::sum` gives -0 then, and operators would read that.
fn total(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(0.0, |sum, value| sum + value)
}

impl Meter {
    /// A list of targets that is not an old copy has come.
    pub fn note_fresh_list(&mut self, now: Micros) {
        self.fresh_since.get_or_insert(now);
    }

    /// Whether enough is known for a change of level.
    pub fn is_settled(&self, config: &DegradationConfig, now: Micros) -> bool {
        self.fresh_since
            .is_some_and(|since| now >= since + config.startup_grace)
    }

    /// Reads the metrics. `dispatchers` share the capacity.
    pub fn read(
        &mut self,
        config: &DegradationConfig,
        dispatchers: u32,
        now: Micros,
        metrics: &PolicyMetrics,
        usage: Usage,
    ) -> Readings {
        let passed = self.last_read_at.map_or(0, |at| now.saturating_sub(at));
        self.last_read_at = Some(self.last_read_at.map_or(now, |at| at.max(now)));
        self.follow_baseline(config, now, passed, metrics);
        let capacity = total(metrics.kinds.iter().map(|k| k.responsive * k.slots));
        // What this dispatcher gets of the capacity: an even part, or more where it holds more.
        let own_capacity = (capacity / f64::from(dispatchers.max(1)))
            .max(metrics.own)
            .max(1.0);
        let counts = self.record_counts(config, now, metrics);
        let long_ago = self.counts.front().cloned().unwrap_or_default();
        let mut latest_first = self.counts.iter().rev();
        let short_ago = latest_first
            .find(|c| c.at + config.short_window <= now)
            .unwrap_or(&long_ago);
        let min_samples = config.min_samples;
        let missed_deadlines = |class: usize| WindowedShare {
            short: counts.missed_deadlines(class, short_ago, min_samples),
            long: counts.missed_deadlines(class, &long_ago, min_samples),
        };
        Readings {
            queueing_delay_ms: metrics.held.max(0.0) / own_capacity / 1_000.0,
            lost_capacity: self.lost_share(capacity, metrics),
            missed_deadlines: (0..counts.classes.len()).map(missed_deadlines).collect(),
            rejected_attempts: WindowedShare {
                short: counts.rejected_attempts(short_ago, min_samples),
                long: counts.rejected_attempts(&long_ago, min_samples),
            },
            usage,
            capacity,
            unresponsive: total(metrics.kinds.iter().map(|k| k.unresponsive)),
        }
    }

    fn lost_share(&self, capacity: f64, metrics: &PolicyMetrics) -> f64 {
        let slots_of = |kind: u32| {
            let known = metrics.kinds.iter().find(|k| k.kind == kind);
            known.map_or(1.0, |k| k.slots)
        };
        let baseline = self.baseline.iter();
        let usual = total(baseline.map(|(kind, count)| count * slots_of(*kind)));
        if usual > 0.0 {
            (1.0 - capacity / usual).max(0.0)
        } else {
            0.0
        }
    }

    /// The baseline follows upwards at once and downwards by half-lives, so that a loss shows for
    /// as long as it is news. During the startup grace, what is listed is all that is usual.
    fn follow_baseline(
        &mut self,
        config: &DegradationConfig,
        now: Micros,
        passed: Micros,
        metrics: &PolicyMetrics,
    ) {
        let kept = 0.5_f64.powf(passed as f64 / config.baseline_half_life as f64);
        let settled = self.is_settled(config, now);
        for usual in self.baseline.values_mut() {
            *usual = if settled { *usual * kept } else { 0.0 };
        }
        for kind in &metrics.kinds {
            let usual = self.baseline.entry(kind.kind).or_default();
            // Before it was multiplied away, what is there now was part of it.
            *usual = (*usual + kind.responsive * (1.0 - kept)).max(kind.responsive);
        }
        self.baseline.retain(|_, usual| *usual > MIN_BASELINE);
    }

    fn record_counts(
        &mut self,
        config: &DegradationConfig,
        now: Micros,
        metrics: &PolicyMetrics,
    ) -> Counts {
        let classes = metrics.classes.iter().map(|c| ClassCounts {
            ended: c.over,
            in_time: c.in_time,
        });
        let counts = Counts {
            at: now,
            classes: classes.collect(),
            attempts: metrics.sent,
            rejected: metrics.refused,
        };
        let is_old = |c: &Counts| c.at + config.long_window <= now;
        while self.counts.get(1).is_some_and(is_old) {
            self.counts.pop_front();
        }
        // Reads can come closer together than asked for, and must not grow the window for it.
        let is_due = |c: &Counts| now >= c.at + config.poll_interval;
        if self.counts.back().is_none_or(is_due) {
            self.counts.push_back(counts.clone());
        }
        counts
    }
}
