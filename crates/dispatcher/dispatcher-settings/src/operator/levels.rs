//! The block `levels` of the operators' file, as it is written. Keys are those of the users' pages.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Levels of degradation: how service is reduced under overload. Spans are milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Levels {
    /// Whether the levels are evaluated at all.
    pub enabled: bool,
    /// How often the metrics are read.
    pub look_ms: u64,
    /// No change before a list of targets has been fresh for so long.
    pub settle_in_ms: u64,
    /// The usual capacity follows a lasting loss by half in this time.
    pub usual_half_life_ms: u64,
    /// Shares are taken over this ...
    pub short_ms: u64,
    /// ... and, to enter a level, over this as well.
    pub long_ms: u64,
    /// Shares of fewer answers or attempts are not evaluated.
    pub least_answers: u64,
    /// Between two steps up lies at least this, unless capacity vanishes.
    pub step_ms: u64,
    /// A level entered again within this after it was left is held twice as long.
    pub relapse_ms: u64,
    /// Half of that is forgiven in this.
    pub forgive_ms: u64,
    /// The longest that `leave.for_ms` can become by that.
    pub hold_most_ms: u64,
    /// How many changes are kept for display.
    pub history: usize,
    /// The longest that a level can be forced for.
    pub force_most_ms: u64,
    /// The levels, from the mildest to the severest.
    pub level: IndexMap<String, LevelBlock>,
}

impl Default for Levels {
    fn default() -> Self {
        Levels {
            enabled: true,
            look_ms: 100,
            settle_in_ms: 10_000,
            usual_half_life_ms: 600_000,
            short_ms: 2_000,
            long_ms: 8_000,
            least_answers: 20,
            step_ms: 12_000,
            relapse_ms: 60_000,
            forgive_ms: 300_000,
            hold_most_ms: 120_000,
            history: 32,
            force_most_ms: 3_600_000,
            level: IndexMap::new(),
        }
    }
}

/// One level.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LevelBlock {
    /// Any of these thresholds enters it.
    pub enter: BoundsBlock,
    /// All of these leave it; an omitted threshold is half of the one for entering.
    pub leave: BoundsBlock,
    /// How it reduces the service of a class; an omitted class has full service.
    pub class: IndexMap<String, ClassBlock>,
    /// Flows that may be open together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_flows: Option<usize>,
    /// No new job is rejected while the backlog would take less than this; 0: always rejected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub while_wait_ms: Option<u64>,
    /// The retry-after of rejected jobs, before it is spread from half to one and a half times.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Thresholds of metrics.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundsBlock {
    /// For so long without a break; 500 to enter and 22000 to leave by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_ms: Option<u64>,
    /// The backlog, as a queueing delay.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<f64>,
    /// Share of the usual capacity that is lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost: Option<f64>,
    /// By class, the share of missed deadlines.
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    pub late: IndexMap<String, f64>,
    /// Share of attempts rejected.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refused: Option<f64>,
    /// Open flows, as a share of their limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flows: Option<f64>,
    /// Memory, as a share of its limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<f64>,
    /// Descriptors, as a share of their limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<f64>,
}

/// How a level reduces the service of a class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassBlock {
    /// Which new jobs are admitted: `"all"`, `"none"` or a share.
    pub admit: Admit,
    /// No jobs of more slots.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub largest_slots: Option<f64>,
    /// Attempts for one job, the first included.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Rejected unless sent within this.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hold_ms: Option<u64>,
    /// Slots that a job leaves free beside its own.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub headroom: Option<f64>,
}

/// Which new jobs are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "\"all\", \"none\" or a share from 0 to 1 is wanted"
)]
pub enum Admit {
    /// Each or none.
    Word(AdmitWord),
    /// So large a share.
    Share(f64),
}

/// Each or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdmitWord {
    /// Every job.
    All,
    /// No job.
    None,
}

impl Default for Admit {
    fn default() -> Self {
        Admit::Word(AdmitWord::All)
    }
}

impl Admit {
    pub(super) fn share(self) -> f64 {
        match self {
            Admit::Word(AdmitWord::All) => 1.0,
            Admit::Word(AdmitWord::None) => 0.0,
            Admit::Share(share) => share,
        }
    }
}
