//! The settings object, as the simulator's first message and a real dispatcher's configuration both hold it.
//! Each field is the key of its name, and means what the platform says of that key.
#![allow(missing_docs)]

use dispatch_api::load_exchange::{ENTRY_BYTES, MESSAGE_BYTES};
use dispatch_api::{
    DeduplicationScope, Discovery, Idempotency, JobClass, Limits, LoadReporting, Micros,
    ObjectiveWeights, RetryBudget, Rules, Settings, SettingsError, Tenant,
};
use serde::Deserialize;
use std::collections::BTreeMap;

#[derive(Debug, Deserialize)]
pub struct Facts {
    pub allowed: Allowed,
    #[serde(default)]
    pub az: u32,
    pub classes: Vec<ClassFacts>,
    #[serde(default)]
    pub costs: BTreeMap<String, f64>,
    #[serde(default)]
    pub discovery: String,
    pub goal: BTreeMap<String, f64>,
    #[serde(rename = "over-share-worth")]
    pub over_share_worth: Option<f64>,
    #[serde(rename = "peers-total")]
    pub peers_total: u32,
    pub report: Option<ReportFacts>,
    pub rules: RuleFacts,
    #[serde(default)]
    pub specifics: Specifics,
    pub tenants: Option<Vec<TenantFacts>>,
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
pub struct ClassFacts {
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
pub struct ReportFacts {
    pub names: Option<Vec<String>>,
    pub via: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RuleFacts {
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
pub struct TenantFacts {
    #[serde(default)]
    pub name: String,
    pub quota_per_s: Option<f64>,
    pub portion: Option<f64>,
}

/// Milliseconds as the wire has them, to whole microseconds; what is not a time counts as 0.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0 + 0.5).clamp(0.0, 9.0e15) as Micros
}

/// A stated span: where one is given, it must be one.
fn stated(ms: f64, name: &'static str) -> Result<Micros, SettingsError> {
    let sound = ms.is_finite() && ms >= 0.0;
    sound
        .then(|| micros(ms))
        .ok_or(SettingsError::BadFigure(name))
}

/// None where nothing of it is stated; a figure that needs a window has one, or the settings are at fault.
fn retry_budget(r: &RuleFacts) -> Result<Option<RetryBudget>, SettingsError> {
    if r.spare_attempts.is_none() && r.extra_ratio.is_none() && r.extra_window_ms.is_none() {
        return Ok(None);
    }
    let minimum = r.spare_attempts.unwrap_or(0.0);
    if !(0.0..=f64::from(u32::MAX)).contains(&minimum) {
        return Err(SettingsError::BadFigure("retry_budget.minimum"));
    }
    let window = stated(r.extra_window_ms.unwrap_or(0.0), "retry_budget.window")?;
    Ok(Some(RetryBudget {
        minimum: minimum as u32,
        ratio: r.extra_ratio.unwrap_or(0.0),
        window,
    }))
}

impl Specifics {
    /// Whether `x0` counts free slots.
    pub fn x0_is_slots(&self) -> bool {
        self.report_x0
            .as_deref()
            .is_none_or(|text| text.contains("free slots"))
    }
}

impl ReportFacts {
    /// Whether a report says what its target holds, or has free.
    fn tell_loads(&self, specifics: &Specifics) -> bool {
        let tells = |name: &String| match name.as_str() {
            "x0" => specifics.x0_is_slots(),
            "concurrent" | "inflight" => true,
            _ => false,
        };
        self.via != "none"
            && self
                .names
                .as_ref()
                .is_none_or(|names| names.iter().any(tells))
    }
}

/// What the decisions take from it.
pub fn settings(f: &Facts) -> Result<Settings, SettingsError> {
    let x = &f.specifics;
    let class = |(i, c): (usize, &ClassFacts)| JobClass {
        latency_target: micros(c.slo_ms),
        target_stretch: c
            .aim_stretch
            .or(x.class_stretch.get(i).copied())
            .unwrap_or(0.0),
        client_timeout: micros(c.hard_limit_ms),
        job_value: c.points,
        late_value_share: c.late_worth.unwrap_or(0.0),
        idempotency: match c.effect.as_str() {
            "pure" => Idempotency::Idempotent,
            "token" => Idempotency::Keyed {
                scope: match c.group.as_deref() {
                    Some("all") => DeduplicationScope::All,
                    Some("zone") => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Cell,
                },
                memory: micros(c.memory_span_ms.unwrap_or(0.0)),
            },
            _ => Idempotency::NonIdempotent,
        },
        kind: x.class_kind.get(i).and_then(|k| u32::try_from(*k).ok()),
    };
    let tenant = |t: &TenantFacts| Tenant {
        quota_per_s: t.quota_per_s.unwrap_or(0.0),
        share: t.portion.unwrap_or(0.0),
    };
    let cost = |name: &str| f.costs.get(name).copied().unwrap_or(0.0);
    let goal = |name: &str| f.goal.get(name).copied().unwrap_or(0.0);
    Ok(Settings {
        dispatchers: f.peers_total,
        zone: f.az,
        classes: f.classes.iter().enumerate().map(class).collect(),
        tenants: f.tenants.iter().flatten().map(tenant).collect(),
        goal: ObjectiveWeights {
            overall: goal("whole"),
            worst_window: goal("worst-window"),
            worst_class: goal("worst-class"),
            worst_tenant: goal("worst-tenant"),
        },
        value_by_work: f.worth_by.as_deref() == Some("work"),
        over_share_value: f.over_share_worth.unwrap_or(1.0),
        waste_price: cost("waste"),
        discovery: if f.discovery == "on_request" {
            Discovery::OnRequest {
                watch_within: micros(f.rules.must_ask_in_ms.unwrap_or(10_000.0)),
            }
        } else {
            Discovery::Pushed
        },
        reports: match f
            .report
            .as_ref()
            .filter(|r| r.tell_loads(x))
            .map(|r| r.via.as_str())
        {
            Some("answers") => LoadReporting::Outcomes,
            Some("probe") => LoadReporting::Probes,
            _ => LoadReporting::None,
        },
        start_notices: x.tells_start,
        progress_every: (x.progress_ms > 0.0).then(|| micros(x.progress_ms)),
        live_weights: f.weight_source.as_deref() == Some("live"),
        limits: Limits {
            attempts: f.allowed.attempts_cap,
            concurrent_attempts: f.allowed.second_copies,
            cancel: f.allowed.may_cancel,
            // A probe whose report says nothing of loads would be waited for in vain.
            probe: f.allowed.probes && f.report.as_ref().is_some_and(|r| r.tell_loads(x)),
            probe_price: cost("probe"),
            cross_zone_price: cost("cross-zone"),
            connect_price: cost("handshake"),
            connection_idle: micros(f.allowed.conn_idle_ms.unwrap_or(f64::INFINITY)),
            tell: if f.allowed.peers {
                MESSAGE_BYTES / ENTRY_BYTES
            } else {
                0
            },
            peer_price: cost("peer") * ENTRY_BYTES as f64 / MESSAGE_BYTES as f64,
            retry_after: f
                .allowed
                .retry_after
                .then(|| micros(f.allowed.max_retry_after_ms)),
        },
        rules: Rules {
            warm_up: micros(f.rules.cold_ms),
            start_capacity: f.rules.start_capacity,
            overload_multiple: f.rules.tip_multiple,
            overload_window: micros(f.rules.fall_ms),
            retry_budget: retry_budget(&f.rules)?,
            refusal_inconclusive: f.rules.full_may_have_run.unwrap_or(false),
            close_on_drain: f
                .rules
                .hang_up_within_ms
                .map(|t| stated(t, "close_on_drain"))
                .transpose()?,
        },
        tick: micros(f.tick),
    })
}
