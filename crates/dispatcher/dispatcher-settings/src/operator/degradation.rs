//! Checks the block `levels` and turns it into the configuration of the degradation.

use super::levels::{BoundsBlock, ClassBlock, LevelBlock, Levels};
use super::source::{OperatorError, Source};
use degradation::{DegradationConfig, Level, Metric, Threshold, Thresholds};
use dispatch_api::{AdmissionPolicy, ClassAdmission, Micros};

impl Levels {
    /// The configuration for classes of these names.
    pub(super) fn resolve(
        &self,
        classes: &[String],
        source: &Source,
    ) -> Result<DegradationConfig, OperatorError> {
        if self.level.is_empty() {
            return Err(source.fault(
                "levels",
                "needs a level at least, as in level \"trim\" { ... }",
            ));
        }
        let resolve = |(name, level): (&String, &LevelBlock)| level.resolve(name, classes, source);
        let config = DegradationConfig {
            poll_interval: micros(self.look_ms),
            startup_grace: micros(self.settle_in_ms),
            baseline_half_life: micros(self.usual_half_life_ms),
            short_window: micros(self.short_ms),
            long_window: micros(self.long_ms),
            min_samples: self.least_answers,
            step_interval: micros(self.step_ms),
            relapse_window: micros(self.relapse_ms),
            relapse_half_life: micros(self.forgive_ms),
            max_hold: micros(self.hold_most_ms),
            history: self.history,
            max_forced: micros(self.force_most_ms),
            levels: self.level.iter().map(resolve).collect::<Result<_, _>>()?,
        };
        config
            .check()
            .map_err(|e| source.fault(&format!("levels.{}", e.key), e.fault))?;
        Ok(config)
    }
}

/// The defaults of `enter.for_ms`, `leave.for_ms` and `retry_after_ms`.
const ENTER_FOR_MS: u64 = 500;
const LEAVE_FOR_MS: u64 = 22_000;
const RETRY_AFTER_MS: u64 = 1_000;
/// A threshold for leaving that is not given, as a share of the one for entering.
const LEAVE_SHARE: f64 = 0.5;

/// A class that the platform's configuration doesn't name.
#[derive(Debug, thiserror::Error)]
#[error("no class is called {name:?}; there are {}", known.join(", "))]
struct UnknownClass {
    name: String,
    known: Vec<String>,
}

fn class_index(name: &str, classes: &[String]) -> Result<usize, UnknownClass> {
    let index = classes.iter().position(|class| class == name);
    index.ok_or_else(|| UnknownClass {
        name: name.to_owned(),
        known: classes.to_vec(),
    })
}

/// A threshold with a fault, by its key within the block.
struct ThresholdFault {
    key: String,
    error: UnknownClass,
}

impl LevelBlock {
    fn resolve(
        &self,
        name: &str,
        classes: &[String],
        source: &Source,
    ) -> Result<Level, OperatorError> {
        let at = |key: &str| format!("levels.level.{name}.{key}");
        let fault_in = |block: &str, fault: ThresholdFault| {
            source.fault(&at(&format!("{block}.{}", fault.key)), fault.error)
        };
        let enter = self
            .enter
            .resolve(classes)
            .map_err(|fault| fault_in("enter", fault))?;
        let mut leave = self
            .leave
            .resolve(classes)
            .map_err(|fault| fault_in("leave", fault))?;
        for Threshold { metric, bound } in &enter.0 {
            if leave.get(*metric).is_none() {
                let (metric, bound) = (*metric, bound * LEAVE_SHARE);
                leave.0.push(Threshold { metric, bound });
            }
        }
        let mut admissions = vec![ClassAdmission::default(); classes.len()];
        for (class, block) in &self.class {
            let at_class = at(&format!("class.{class}"));
            let index = class_index(class, classes).map_err(|e| source.fault(&at_class, e))?;
            admissions[index] = block.resolve(&at_class, source)?;
        }
        Ok(Level {
            name: name.to_owned(),
            enter,
            enter_for: micros(self.enter.for_ms.unwrap_or(ENTER_FOR_MS)),
            leave,
            leave_for: micros(self.leave.for_ms.unwrap_or(LEAVE_FOR_MS)),
            admission: AdmissionPolicy {
                classes: admissions,
                max_open_jobs: self.open_flows.unwrap_or(usize::MAX),
                min_backlog: micros(self.while_wait_ms.unwrap_or(0)),
                retry_after: micros(self.retry_after_ms.unwrap_or(RETRY_AFTER_MS)),
            },
        })
    }
}

impl ClassBlock {
    /// Checks the block; `at_class` is its key.
    fn resolve(&self, at_class: &str, source: &Source) -> Result<ClassAdmission, OperatorError> {
        let invalid = |key: &str, fault: &str| source.fault(&format!("{at_class}.{key}"), fault);
        let share = self.admit.share();
        if !(0.0..=1.0).contains(&share) {
            return Err(invalid(
                "admit",
                "must be \"all\", \"none\" or a share from 0 to 1",
            ));
        }
        let is_count = |slots: f64| slots.is_finite() && slots >= 0.0;
        if self.largest_slots.is_some_and(|slots| !is_count(slots)) {
            return Err(invalid("largest_slots", "must be 0 or more"));
        }
        if self.attempts == Some(0) {
            return Err(invalid(
                "attempts",
                "must be 1 or more; to take none, say admit = \"none\"",
            ));
        }
        let is_headroom = |slots: f64| (0.0..=1_000.0).contains(&slots);
        if self.headroom.is_some_and(|slots| !is_headroom(slots)) {
            return Err(invalid("headroom", "must be 0 to 1000 slots"));
        }
        Ok(ClassAdmission {
            admitted_share: share,
            max_slots: self.largest_slots.unwrap_or(f64::INFINITY),
            max_attempts: self.attempts.unwrap_or(u32::MAX),
            max_hold: self.hold_ms.map(micros),
            reserved_slots: self.headroom.unwrap_or(0.0),
        })
    }
}

impl BoundsBlock {
    fn resolve(&self, classes: &[String]) -> Result<Thresholds, ThresholdFault> {
        let plain = [
            (Metric::QueueingDelay, self.wait_ms),
            (Metric::LostCapacity, self.lost),
            (Metric::RejectedAttempts, self.refused),
            (Metric::OpenFlows, self.flows),
            (Metric::Memory, self.memory),
            (Metric::Descriptors, self.descriptors),
        ];
        let mut bounds: Vec<_> = plain
            .into_iter()
            .filter_map(|(metric, bound)| {
                Some(Threshold {
                    metric,
                    bound: bound?,
                })
            })
            .collect();
        for (name, bound) in &self.late {
            let class = class_index(name, classes).map_err(|error| ThresholdFault {
                key: format!("late.{name}"),
                error,
            })?;
            bounds.push(Threshold {
                metric: Metric::MissedDeadlines(class),
                bound: *bound,
            });
        }
        Ok(Thresholds(bounds))
    }
}

/// Milliseconds to microseconds.
fn micros(ms: u64) -> Micros {
    ms.saturating_mul(1_000)
}
