//! The levels that operators configure, in the units of the decisions, and the checks on them.

use crate::metric::{Metric, Threshold, Thresholds};
use dispatch_api::{AdmissionPolicy, Micros};
use std::collections::BTreeSet;

/// Most levels: what a person can hold in mind amid trouble.
const MAX_LEVELS: usize = 8;
/// Most changes that are kept to be shown.
const MAX_HISTORY: usize = 1_000;
/// Most polls in the long window: each keeps its counts in memory.
const MAX_POLLS_IN_WINDOW: u64 = 10_000;
/// Largest queueing delay that a level may be entered at, in milliseconds.
const MAX_QUEUEING_DELAY_MS: f64 = 1.0e6;

/// One level of reduced service.
#[derive(Debug, Clone, PartialEq)]
pub struct Level {
    /// Its name.
    pub name: String,
    /// It is entered once any of these has been reached for as long as `enter_for` without a break.
    pub enter: Thresholds,
    /// See `enter`.
    pub enter_for: Micros,
    /// It is left once all of these have been kept for as long as `leave_for` without a break.
    pub leave: Thresholds,
    /// See `leave`; longer for a level that is entered again soon after it was left.
    pub leave_for: Micros,
    /// What it has the decisions admit.
    pub admission: AdmissionPolicy,
}

/// All levels, from the mildest to the severest, and how they are watched.
#[derive(Debug, Clone, PartialEq)]
pub struct DegradationConfig {
    /// How often the metrics are read (`look_ms`).
    pub poll_interval: Micros,
    /// No level is entered or left before a list of targets has been fresh for so long
    /// (`settle_in_ms`).
    pub startup_grace: Micros,
    /// The usual capacity follows a lasting loss by half in this time (`usual_half_life_ms`).
    pub baseline_half_life: Micros,
    /// Shares are taken over this (`short_ms`) ...
    pub short_window: Micros,
    /// ... and, to enter a level, over this as well (`long_ms`).
    pub long_window: Micros,
    /// Shares of fewer answers or attempts than this are not known (`least_answers`).
    pub min_samples: u64,
    /// Between two steps up lies at least this, unless capacity vanishes (`step_ms`).
    pub step_interval: Micros,
    /// A level entered again within this after it was left is held twice as long, and so on
    /// (`relapse_ms`) ...
    pub relapse_window: Micros,
    /// ... and half of that is forgiven in this (`forgive_ms`).
    pub relapse_half_life: Micros,
    /// The longest that `leave_for` can become by that (`hold_most_ms`).
    pub max_hold: Micros,
    /// Changes that are kept to be shown (`history`).
    pub history: usize,
    /// The longest that operators can force a level for (`force_most_ms`).
    pub max_forced: Micros,
    /// The levels.
    pub levels: Vec<Level>,
}

/// What is wrong with a configuration: the key within `levels`, and why.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {fault}")]
pub struct ConfigError {
    /// The key, as in `level.trim.leave.wait_ms`.
    pub key: String,
    /// What is wrong, and what would be right.
    pub fault: String,
}

impl ConfigError {
    fn new(key: impl Into<String>, fault: impl Into<String>) -> Self {
        ConfigError {
            key: key.into(),
            fault: fault.into(),
        }
    }
}

impl DegradationConfig {
    /// Tells whether it can be used.
    ///
    /// # Errors
    /// The first fault found.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.check_times()?;
        if self.levels.len() > MAX_LEVELS {
            let found = self.levels.len();
            let fault = format!("at most {MAX_LEVELS} levels, not {found}");
            return Err(ConfigError::new("level", fault));
        }
        if self.history > MAX_HISTORY {
            return Err(ConfigError::new("history", "must be no more than 1000"));
        }
        let mut names = BTreeSet::new();
        for level in &self.levels {
            let reserved = matches!(level.name.as_str(), "" | "full" | "auto");
            if reserved || !names.insert(&level.name) {
                let fault = format!("{:?} can't name a level, or names two of them", level.name);
                return Err(ConfigError::new("level", fault));
            }
            self.check_level(level)?;
        }
        Ok(())
    }

    fn check_times(&self) -> Result<(), ConfigError> {
        for (key, span) in [
            ("look_ms", self.poll_interval),
            ("short_ms", self.short_window),
            ("long_ms", self.long_window),
            ("usual_half_life_ms", self.baseline_half_life),
            ("forgive_ms", self.relapse_half_life),
            ("force_most_ms", self.max_forced),
        ] {
            if span == 0 {
                return Err(ConfigError::new(key, "must be more than 0"));
            }
        }
        if self.long_window < self.short_window || self.short_window < self.poll_interval {
            let fault = "look_ms, short_ms and long_ms must not fall in this order";
            return Err(ConfigError::new("long_ms", fault));
        }
        if self.long_window / self.poll_interval > MAX_POLLS_IN_WINDOW {
            let fault = "must be no more than 10000 times look_ms";
            return Err(ConfigError::new("long_ms", fault));
        }
        Ok(())
    }

    fn check_level(&self, level: &Level) -> Result<(), ConfigError> {
        let at = |key: &str| format!("level.{}.{key}", level.name);
        if level.enter.0.is_empty() {
            let fault = "needs a bound at least, as in wait_ms = 300";
            return Err(ConfigError::new(at("enter"), fault));
        }
        let min_leave_for = self.max_hold.min(self.poll_interval);
        if level.leave_for < min_leave_for || level.leave_for > self.max_hold {
            let most = self.max_hold / 1_000;
            let fault = format!("must lie between look_ms and hold_most_ms ({most})");
            return Err(ConfigError::new(at("leave.for_ms"), fault));
        }
        for Threshold { metric, bound } in &level.enter.0 {
            let most = match metric {
                Metric::QueueingDelay => MAX_QUEUEING_DELAY_MS,
                _ => 1.0,
            };
            if !(*bound > 0.0 && *bound <= most) {
                let fault = format!("must be over 0 and up to {most}");
                return Err(ConfigError::new(
                    at(&format!("enter.{}", metric.key())),
                    fault,
                ));
            }
        }
        for Threshold { metric, bound } in &level.leave.0 {
            let key = at(&format!("leave.{}", metric.key()));
            let Some(enter) = level.enter.get(*metric) else {
                return Err(ConfigError::new(key, "bounds a figure that enter does not"));
            };
            if !(*bound >= 0.0 && *bound < enter) {
                let fault = format!("must be below the bound for entering, which is {enter}");
                return Err(ConfigError::new(key, fault));
            }
        }
        Ok(())
    }

    /// The level of this rank; none for 0, which is full service.
    pub(crate) fn level(&self, rank: usize) -> Option<&Level> {
        rank.checked_sub(1).and_then(|at| self.levels.get(at))
    }

    /// A level's name by its rank; 0 is full service.
    pub fn name(&self, rank: usize) -> &str {
        self.level(rank).map_or("full", |level| &level.name)
    }

    /// The rank of the level of a name.
    pub fn find(&self, name: &str) -> Option<usize> {
        (0..=self.levels.len()).find(|rank| self.name(*rank) == name)
    }
}
