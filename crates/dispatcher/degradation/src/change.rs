//! Changes of the level that applies, and their causes.

use crate::metric::Metric;
use dispatch_api::Micros;

/// A metric against its threshold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Measurement {
    /// The metric.
    pub metric: Metric,
    /// What it read, in the metric's unit.
    pub value: f64,
    /// The threshold.
    pub bound: f64,
}

/// Why a level changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Cause {
    /// A metric reached its threshold for entering.
    Reached(Measurement),
    /// Every metric kept to its threshold for leaving; this one came closest to it.
    Recovered(Measurement),
    /// The operators asked for it, until then.
    Forced {
        /// When it ends by itself.
        until: Micros,
    },
    /// The operators ended what they had asked for.
    Released,
    /// What the operators had asked for has run out.
    Expired,
    /// The configuration was replaced by one that has not this level.
    ConfigReplaced,
}

impl Cause {
    /// The word for it in logs and `--json`.
    pub fn word(&self) -> &'static str {
        match self {
            Cause::Reached(_) => "reached",
            Cause::Recovered(_) => "kept",
            Cause::Forced { .. } => "forced",
            Cause::Released => "released",
            Cause::Expired => "expired",
            Cause::ConfigReplaced => "replaced",
        }
    }

    /// The metric with its threshold, where one was the cause.
    pub fn measurement(&self) -> Option<Measurement> {
        match *self {
            Cause::Reached(measurement) | Cause::Recovered(measurement) => Some(measurement),
            _ => None,
        }
    }
}

/// One change of the level that applies.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelChange {
    /// When.
    pub at: Micros,
    /// The name of the level before.
    pub from: String,
    /// The name of the level after.
    pub to: String,
    /// Why.
    pub cause: Cause,
}
