//! What one process of a dispatcher leaves to its successor of what the policy has learned.
//!
//! It is written as JSON between processes, also of different versions: pairs are arrays there, and a
//! key that is absent has its default.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// All of it. Figures are as the policy keeps them; whoever recalls them checks that they are
/// plausible.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PolicySnapshot {
    /// When it was taken.
    pub at: Micros,
    /// By machine kind, the figures of its capacity (crate `discovery-pacing`).
    pub kinds: Vec<(u32, [f64; 4])>,
    /// By class.
    pub classes: Vec<ClassSnapshot>,
    /// The price of slot time, as a share of the best gain, and that gain.
    pub price: (f64, f64),
    /// By worker.
    pub workers: Vec<WorkerSnapshot>,
}

/// What the policy has learned of the jobs of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassSnapshot {
    /// Mean run time, microseconds, and the number of runs that it rests on.
    pub run: (f64, f64),
    /// Recent arrivals, decayed.
    pub arrivals: f64,
    /// Of these, the jobs that have ended, and those that ended in time.
    pub ended: (f64, f64),
}

/// What the policy has learned of one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerSnapshot {
    /// The hash of its name.
    #[serde(rename = "mark")]
    pub name_hash: u32,
    /// When it last started, as far as the list told: nothing here holds after another start.
    pub started: Option<Micros>,
    /// Backoff: the interval, microseconds, and when it ends.
    pub interval: (f64, Micros),
    /// Time of recent runs: expected and actual.
    pub runs: (f64, f64),
    /// Slots held there, those of own jobs included, and when that was reported.
    pub held: (f64, Option<Micros>),
    /// When it was last sent to during its slow start, and how much work, in slots times
    /// microseconds.
    pub cold: (Micros, Option<f64>),
}
