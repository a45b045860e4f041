//! The settings object, as the simulator's first message and a real dispatcher's configuration both
//! hold it.
//!
//! Each field is the key of its name, and means what the platform's pages say of that key.

#![expect(
    missing_docs,
    reason = "the platform's pages describe the keys; a second description would go out of date"
)]

mod decisions;

use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Debug, Deserialize)]
pub struct SettingsObject {
    pub allowed: Allowed,
    #[serde(default)]
    pub az: u32,
    pub classes: Vec<ClassSettings>,
    #[serde(default)]
    pub costs: BTreeMap<String, f64>,
    #[serde(default)]
    pub discovery: String,
    pub goal: BTreeMap<String, f64>,
    #[serde(rename = "over-share-worth")]
    pub over_share_worth: Option<f64>,
    #[serde(rename = "peers-total")]
    pub peers_total: u32,
    pub report: Option<ReportSettings>,
    pub rules: RuleSettings,
    #[serde(default)]
    pub specifics: Specifics,
    pub tenants: Option<Vec<TenantSettings>>,
    #[serde(rename = "tick-ms")]
    pub tick: f64,
    #[serde(rename = "weight-source")]
    pub weight_source: Option<String>,
    #[serde(rename = "worth-by")]
    pub worth_by: Option<String>,
    /// This dispatcher's number.
    #[serde(default)]
    pub me: u32,
    /// Names of the zones; a listed zone counts by its position here.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Names of the machine kinds, likewise.
    #[serde(default)]
    pub models: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[expect(
    clippy::struct_excessive_bools,
    reason = "keys of the platform, each independent of the others"
)]
pub struct Allowed {
    pub attempts_cap: u32,
    pub conn_idle_ms: Option<f64>,
    pub connect_timeout_ms: Option<f64>,
    pub max_open: Option<usize>,
    #[serde(default)]
    pub may_cancel: bool,
    #[serde(default)]
    pub probes: bool,
    #[serde(default)]
    pub peers: bool,
    #[serde(default)]
    pub second_copies: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassSettings {
    #[serde(default)]
    pub name: String,
    pub slo_ms: f64,
    pub hard_limit_ms: f64,
    pub aim_stretch: Option<f64>,
    pub effect: String,
    pub group: Option<String>,
    pub memory_span_ms: Option<f64>,
    #[serde(default)]
    pub points: f64,
    pub late_worth: Option<f64>,
}

#[derive(Debug, Deserialize)]
pub struct ReportSettings {
    pub names: Option<Vec<String>>,
    pub via: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RuleSettings {
    pub cold_ms: f64,
    pub fall_ms: f64,
    pub must_ask_in_ms: Option<f64>,
    pub start_capacity: f64,
    pub tip_multiple: f64,
    pub spare_attempts: Option<f64>,
    pub extra_ratio: Option<f64>,
    pub extra_window_ms: Option<f64>,
    pub hang_up_within_ms: Option<f64>,
    pub full_may_have_run: Option<bool>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Specifics {
    pub class_kind: Vec<i64>,
    pub class_stretch: Vec<f64>,
    pub progress_ms: f64,
    pub report_x0: Option<String>,
    pub tells_start: bool,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TenantSettings {
    #[serde(default)]
    pub name: String,
    pub quota_per_s: Option<f64>,
    pub portion: Option<f64>,
}

pub use decisions::{decision_settings, micros};

impl Specifics {
    /// Whether `x0` of a load report counts free slots.
    pub fn x0_is_slots(&self) -> bool {
        self.report_x0
            .as_deref()
            .is_none_or(|text| text.contains("free slots"))
    }
}
