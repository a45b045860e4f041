//! What one process of a dispatcher can tell its successor of the workers and of the work.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// All of it. PolicyMetrics are as the decisions keep them; whoever takes them over checks that they make sense.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PolicySnapshot {
    /// When it was so.
    pub at: Micros,
    /// By machine kind.
    pub kinds: Vec<(u32, [f64; 4])>,
    /// By class.
    pub classes: Vec<ClassSnapshot>,
    /// The price of slot time, and the gain that it is a share of.
    pub price: (f64, f64),
    /// By worker.
    pub workers: Vec<WorkerSnapshot>,
}

/// What is known of the jobs of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClassSnapshot {
    /// The mean run, and how many it rests on.
    pub run: (f64, f64),
    /// Arrivals of late.
    pub arrivals: f64,
    /// Of these, how many have ended, and in time.
    pub ended: (f64, f64),
}

/// What is known of one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkerSnapshot {
    /// Its number that is the same at every dispatcher.
    #[serde(rename = "mark")]
    pub name_hash: u32,
    /// When it last started, as far as that was told: of another start nothing holds.
    pub started: Option<Micros>,
    /// Its back-off: the interval, and when it is over.
    pub interval: (f64, Micros),
    /// Time of recent runs: expected, and actual.
    pub runs: (f64, f64),
    /// Slots that are held there, those of own jobs included, and when that was reported.
    pub held: (f64, Option<Micros>),
    /// When it was last sent to while it was cold, and how much work, in slots times microseconds.
    pub cold: (Micros, Option<f64>),
}
