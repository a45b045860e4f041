//! Which level applies, since when and why.

use crate::change::{Cause, LevelChange, Measurement};
use crate::config::{DegradationConfig, Level};
use crate::metric::{Metric, Threshold};
use crate::readings::Readings;
use dispatch_api::Micros;
use std::collections::{BTreeMap, VecDeque};

/// How often a level was entered again soon after it was left.
#[derive(Debug, Clone, Copy, Default)]
struct Relapses {
    left_at: Option<Micros>,
    /// As of `as_of`; decays by half-lives.
    count: f64,
    as_of: Micros,
}

/// A level that operators ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForcedLevel {
    /// Its rank; the severest one where there are fewer.
    pub rank: usize,
    /// For how long, bounded by [`DegradationConfig::max_forced`].
    pub duration: Micros,
}

/// A forced level that applies.
#[derive(Debug, Clone, Copy)]
struct Forced {
    rank: usize,
    until: Micros,
}

/// The state of the levels. Rank 0 is full service, the others are those of the configuration.
#[derive(Debug, Default)]
pub struct LevelSelector {
    /// The rank by the metrics ...
    rank: usize,
    /// ... and when it last changed.
    stepped_at: Micros,
    /// Since when each level's condition for entering holds, by rank.
    entering_since: Vec<Option<Micros>>,
    /// Since when the condition for leaving this level holds.
    leaving_since: Option<Micros>,
    /// By name, so that a new configuration does not forget them.
    relapses: BTreeMap<String, Relapses>,
    forced: Option<Forced>,
    /// When the level that applies was entered.
    since: Micros,
    changes: VecDeque<LevelChange>,
}

impl LevelSelector {
    /// The rank of the level that applies.
    pub fn current(&self) -> usize {
        self.forced.map_or(self.rank, |forced| forced.rank)
    }

    /// Since when it applies.
    pub fn since(&self) -> Micros {
        self.since
    }

    /// Until when the operators have forced it.
    pub fn forced_until(&self) -> Option<Micros> {
        self.forced.map(|forced| forced.until)
    }

    /// The last changes, the latest first.
    pub fn changes(&self) -> impl Iterator<Item = &LevelChange> {
        self.changes.iter().rev()
    }

    /// How long the level that the metrics ask for must be quiet before it is left.
    pub fn hold(&self, config: &DegradationConfig, now: Micros) -> Micros {
        let Some(level) = config.level(self.rank) else {
            return 0;
        };
        let factor = 2.0_f64.powf(self.relapses(config, &level.name, now).floor());
        (level.leave_for as f64 * factor).min(config.max_hold as f64) as Micros
    }

    fn relapses(&self, config: &DegradationConfig, name: &str, now: Micros) -> f64 {
        let Some(relapses) = self.relapses.get(name) else {
            return 0.0;
        };
        let age = now.saturating_sub(relapses.as_of) as f64;
        relapses.count * 0.5_f64.powf(age / config.relapse_half_life as f64)
    }

    /// Takes a reading, or none where too little is known yet. The change of the level that
    /// applies, if there is one.
    pub fn update(
        &mut self,
        config: &DegradationConfig,
        now: Micros,
        readings: Option<&Readings>,
    ) -> Option<LevelChange> {
        let before = self.current();
        let mut cause = readings.and_then(|readings| self.follow(config, now, readings));
        if let Some(forced) = self.forced {
            // What the metrics ask for does not apply.
            cause = None;
            if now >= forced.until {
                self.forced = None;
                cause = Some(Cause::Expired);
            }
        }
        self.note_change(config, before, now, cause?)
    }

    /// The operators ask for a level, or for what the metrics say. The change, if there is one.
    pub fn force(
        &mut self,
        config: &DegradationConfig,
        now: Micros,
        level: Option<ForcedLevel>,
    ) -> Option<LevelChange> {
        let before = self.current();
        let was_forced = self.forced.is_some();
        self.forced = level.map(|level| Forced {
            rank: level.rank.min(config.levels.len()),
            until: now + level.duration.min(config.max_forced),
        });
        let cause = match self.forced {
            Some(forced) => Cause::Forced {
                until: forced.until,
            },
            None if was_forced => Cause::Released,
            None => return None,
        };
        self.note_change(config, before, now, cause)
    }

    /// Another configuration takes the place of `old`: a level of the same name stays.
    pub fn replace_config(
        &mut self,
        old: &DegradationConfig,
        new: &DegradationConfig,
        now: Micros,
    ) -> Option<LevelChange> {
        let before = self.current();
        let same_name = |rank: usize| new.find(old.name(rank));
        let name = old.name(before).to_owned();
        // A level that is no more gives way to the one that stands in its place, never to a severer
        // one.
        let milder = self.rank.saturating_sub(1).min(new.levels.len());
        self.rank = same_name(self.rank).unwrap_or(milder);
        self.forced = self.forced.and_then(|forced| {
            Some(Forced {
                rank: same_name(forced.rank)?,
                ..forced
            })
        });
        (self.entering_since, self.leaving_since) = (vec![], None);
        self.relapses.retain(|name, _| new.find(name).is_some());
        let after = self.current();
        if new.name(after) == name {
            return None;
        }
        Some(self.record(
            LevelChange {
                at: now,
                from: name,
                to: new.name(after).to_owned(),
                cause: Cause::ConfigReplaced,
            },
            new.history,
        ))
    }

    fn note_change(
        &mut self,
        config: &DegradationConfig,
        before: usize,
        now: Micros,
        cause: Cause,
    ) -> Option<LevelChange> {
        let after = self.current();
        if before == after {
            return None;
        }
        let change = LevelChange {
            at: now,
            from: config.name(before).to_owned(),
            to: config.name(after).to_owned(),
            cause,
        };
        Some(self.record(change, config.history))
    }

    fn record(&mut self, change: LevelChange, history: usize) -> LevelChange {
        self.since = change.at;
        self.changes.push_back(change.clone());
        while self.changes.len() > history.max(1) {
            self.changes.pop_front();
        }
        change
    }

    /// Moves the level that the metrics ask for.
    fn follow(
        &mut self,
        config: &DegradationConfig,
        now: Micros,
        readings: &Readings,
    ) -> Option<Cause> {
        if let Some(step) = self.step_up(config, now, readings) {
            let Threshold { metric, bound } = step.threshold;
            let value = readings.entering(metric).unwrap_or(0.0);
            self.enter(config, step.rank, now);
            return Some(Cause::Reached(Measurement {
                metric,
                value,
                bound,
            }));
        }
        let level = config.level(self.rank)?;
        self.leave_if_recovered(config, level, now, readings)
    }

    /// The level to enter, if any.
    fn step_up(
        &mut self,
        config: &DegradationConfig,
        now: Micros,
        readings: &Readings,
    ) -> Option<Step> {
        self.entering_since.resize(config.levels.len() + 1, None);
        let is_reached = |t: &&Threshold| {
            let value = readings.entering(t.metric);
            value.is_some_and(|value| value >= t.bound)
        };
        let mut step = None;
        for (rank, level) in (1..).zip(&config.levels) {
            let Some(reached) = level.enter.0.iter().find(is_reached) else {
                self.entering_since[rank] = None;
                continue;
            };
            let since = *self.entering_since[rank].get_or_insert(now);
            if rank <= self.rank || now < since + level.enter_for {
                continue;
            }
            // A severer level than the next one is entered only for what vanishes at once. Else the
            // level that applies must have had its own time to help: readings from before it are no
            // evidence against it.
            let sudden = level.enter.sudden().find(is_reached);
            let settled_at = self.stepped_at + config.step_interval.max(level.enter_for);
            let is_next = rank == self.rank + 1 && (self.rank == 0 || now >= settled_at);
            if let Some(threshold) = sudden.or(is_next.then_some(reached)) {
                let threshold = *threshold;
                step = Some(Step { rank, threshold });
            }
        }
        let mut step = step?;
        // What vanishes at once is followed by as far as it goes, without each level's own time
        // between.
        for (rank, level) in (1..).zip(&config.levels).skip(step.rank) {
            if let Some(threshold) = level.enter.sudden().find(is_reached) {
                let threshold = *threshold;
                step = Step { rank, threshold };
            }
        }
        Some(step)
    }

    /// Leaves the level once its condition for leaving has held for long enough.
    fn leave_if_recovered(
        &mut self,
        config: &DegradationConfig,
        level: &Level,
        now: Micros,
        readings: &Readings,
    ) -> Option<Cause> {
        // A share that isn't known is no reason to stay: a class that is not admitted has none.
        let is_kept = |t: &Threshold| readings.now(t.metric).is_none_or(|value| value <= t.bound);
        if !level.leave.0.iter().all(is_kept) {
            self.leaving_since = None;
            return None;
        }
        let since = *self.leaving_since.get_or_insert(now);
        if now < since + self.hold(config, now) {
            return None;
        }
        let nearness = |t: &Threshold| {
            let value = readings.now(t.metric);
            value.map_or(0.0, |value| value / t.bound.max(1.0e-9))
        };
        let closest = level.leave.0.iter();
        let closest = closest.max_by(|a, b| nearness(a).total_cmp(&nearness(b)));
        let Threshold { metric, bound } = closest.copied().unwrap_or(Threshold {
            metric: Metric::QueueingDelay,
            bound: f64::INFINITY,
        });
        let value = readings.now(metric).unwrap_or(0.0);
        self.relapses.entry(level.name.clone()).or_default().left_at = Some(now);
        (self.rank, self.stepped_at, self.leaving_since) = (self.rank - 1, now, None);
        Some(Cause::Recovered(Measurement {
            metric,
            value,
            bound,
        }))
    }

    /// Every level that is passed on the way counts as entered.
    fn enter(&mut self, config: &DegradationConfig, rank: usize, now: Micros) {
        for passed in self.rank + 1..=rank {
            let name = config.name(passed).to_owned();
            let count = self.relapses(config, &name, now);
            let relapses = self.relapses.entry(name).or_default();
            let left_at = relapses.left_at;
            let is_relapse = left_at.is_some_and(|at| now < at + config.relapse_window);
            *relapses = Relapses {
                left_at,
                count: count + f64::from(u8::from(is_relapse)),
                as_of: now,
            };
        }
        (self.rank, self.stepped_at, self.leaving_since) = (rank, now, None);
    }
}

/// A level to enter, and the threshold that was reached.
#[derive(Clone, Copy)]
struct Step {
    rank: usize,
    threshold: Threshold,
}
