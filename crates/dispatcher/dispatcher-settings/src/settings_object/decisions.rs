//! What the dispatch policy takes from the settings object.

use super::{
    ClassSettings, ReportSettings, RuleSettings, SettingsObject, Specifics, TenantSettings,
};
use dispatch_api::load_exchange::{ENTRY_BYTES, MESSAGE_BYTES};
use dispatch_api::{
    DeduplicationScope, Discovery, Idempotency, JobClass, Limits, LoadReporting, Micros,
    ObjectiveWeights, RetryBudget, Rules, Settings, SettingsError, Tenant,
};

/// The longest time that a number of milliseconds is taken for, in microseconds: 285 years.
const MAX_MICROS: f64 = 9.0e15;
/// Where the settings don't state it, a dispatcher asks discovery again within so long.
const DEFAULT_MUST_ASK_MS: f64 = 10_000.0;

/// Milliseconds of the platform as whole microseconds; what is not a time counts as 0.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0 + 0.5).clamp(0.0, MAX_MICROS) as Micros
}

/// A time span that is stated: it must be a finite number, 0 or more.
fn checked_micros(ms: f64, name: &'static str) -> Result<Micros, SettingsError> {
    if ms.is_finite() && ms >= 0.0 {
        Ok(micros(ms))
    } else {
        Err(SettingsError::BadFigure(name))
    }
}

/// What the dispatch policy takes from the settings object.
///
/// # Errors
/// A number that the conversion can't use; the policy checks the others itself.
pub fn decision_settings(object: &SettingsObject) -> Result<Settings, SettingsError> {
    let specifics = &object.specifics;
    let goal = |name: &str| object.goal.get(name).copied().unwrap_or(0.0);
    let classes = object.classes.iter().enumerate();
    Ok(Settings {
        dispatchers: object.peers_total,
        zone: object.az,
        classes: classes
            .map(|(index, class)| job_class(index, class, specifics))
            .collect(),
        tenants: object.tenants.iter().flatten().map(tenant).collect(),
        goal: ObjectiveWeights {
            overall: goal("whole"),
            worst_window: goal("worst-window"),
            worst_class: goal("worst-class"),
            worst_tenant: goal("worst-tenant"),
        },
        value_by_work: object.worth_by.as_deref() == Some("work"),
        over_share_value: object.over_share_worth.unwrap_or(1.0),
        waste_price: cost(object, "waste"),
        discovery: discovery(object),
        reports: load_reporting(object),
        start_notices: specifics.tells_start,
        progress_every: (specifics.progress_ms > 0.0).then(|| micros(specifics.progress_ms)),
        live_weights: object.weight_source.as_deref() == Some("live"),
        limits: limits(object),
        rules: rules(&object.rules)?,
        tick: micros(object.tick),
    })
}

fn cost(object: &SettingsObject, name: &str) -> f64 {
    object.costs.get(name).copied().unwrap_or(0.0)
}

fn job_class(index: usize, class: &ClassSettings, specifics: &Specifics) -> JobClass {
    let stretch = class.aim_stretch;
    let kind = specifics.class_kind.get(index);
    JobClass {
        latency_target: micros(class.slo_ms),
        target_stretch: stretch
            .or(specifics.class_stretch.get(index).copied())
            .unwrap_or(0.0),
        client_timeout: micros(class.hard_limit_ms),
        job_value: class.points,
        late_value_share: class.late_worth.unwrap_or(0.0),
        idempotency: idempotency(class),
        kind: kind.and_then(|kind| u32::try_from(*kind).ok()),
    }
}

fn idempotency(class: &ClassSettings) -> Idempotency {
    match class.effect.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Keyed {
            scope: match class.group.as_deref() {
                Some("all") => DeduplicationScope::All,
                Some("zone") => DeduplicationScope::Zone,
                _ => DeduplicationScope::Cell,
            },
            memory: micros(class.memory_span_ms.unwrap_or(0.0)),
        },
        _ => Idempotency::NonIdempotent,
    }
}

fn tenant(tenant: &TenantSettings) -> Tenant {
    Tenant {
        quota_per_s: tenant.quota_per_s.unwrap_or(0.0),
        share: tenant.portion.unwrap_or(0.0),
    }
}

fn discovery(object: &SettingsObject) -> Discovery {
    if object.discovery == "on_request" {
        let within = object.rules.must_ask_in_ms.unwrap_or(DEFAULT_MUST_ASK_MS);
        Discovery::OnRequest {
            watch_within: micros(within),
        }
    } else {
        Discovery::Pushed
    }
}

/// The reports, if they tell what a target has in flight or free.
fn load_reports(object: &SettingsObject) -> Option<&ReportSettings> {
    let reports = object.report.as_ref()?;
    reports.tells_load(&object.specifics).then_some(reports)
}

fn load_reporting(object: &SettingsObject) -> LoadReporting {
    match load_reports(object).map(|reports| reports.via.as_str()) {
        Some("answers") => LoadReporting::Outcomes,
        Some("probe") => LoadReporting::Probes,
        _ => LoadReporting::None,
    }
}

impl ReportSettings {
    /// Whether a report tells what its target has in flight, or free.
    fn tells_load(&self, specifics: &Specifics) -> bool {
        let tells_load = |name: &String| match name.as_str() {
            "x0" => specifics.x0_is_slots(),
            "concurrent" | "inflight" => true,
            _ => false,
        };
        let names = self.names.as_ref();
        self.via != "none" && names.is_none_or(|names| names.iter().any(tells_load))
    }
}

fn limits(object: &SettingsObject) -> Limits {
    let allowed = &object.allowed;
    Limits {
        attempts: allowed.attempts_cap,
        concurrent_attempts: allowed.second_copies,
        cancel: allowed.may_cancel,
        // A probe whose report tells nothing of loads would be waited for in vain.
        probe: allowed.probes && load_reports(object).is_some(),
        probe_price: cost(object, "probe"),
        cross_zone_price: cost(object, "cross-zone"),
        connect_price: cost(object, "handshake"),
        connection_idle: micros(allowed.conn_idle_ms.unwrap_or(f64::INFINITY)),
        tell: if allowed.peers {
            MESSAGE_BYTES / ENTRY_BYTES
        } else {
            0
        },
        peer_price: cost(object, "peer") * ENTRY_BYTES as f64 / MESSAGE_BYTES as f64,
        retry_after: allowed
            .retry_after
            .then(|| micros(allowed.max_retry_after_ms)),
    }
}

fn rules(rules: &RuleSettings) -> Result<Rules, SettingsError> {
    let close_on_drain = rules.hang_up_within_ms;
    Ok(Rules {
        warm_up: micros(rules.cold_ms),
        start_capacity: rules.start_capacity,
        overload_multiple: rules.tip_multiple,
        overload_window: micros(rules.fall_ms),
        retry_budget: retry_budget(rules)?,
        refusal_inconclusive: rules.full_may_have_run.unwrap_or(false),
        close_on_drain: close_on_drain
            .map(|ms| checked_micros(ms, "close_on_drain"))
            .transpose()?,
    })
}

/// `None` where nothing of it is stated; the policy rejects a ratio without a window.
fn retry_budget(rules: &RuleSettings) -> Result<Option<RetryBudget>, SettingsError> {
    let is_stated = rules.spare_attempts.is_some()
        || rules.extra_ratio.is_some()
        || rules.extra_window_ms.is_some();
    if !is_stated {
        return Ok(None);
    }
    let minimum = rules.spare_attempts.unwrap_or(0.0);
    if !(0.0..=f64::from(u32::MAX)).contains(&minimum) {
        return Err(SettingsError::BadFigure("retry_budget.minimum"));
    }
    let window = rules.extra_window_ms.unwrap_or(0.0);
    Ok(Some(RetryBudget {
        minimum: minimum as u32,
        ratio: rules.extra_ratio.unwrap_or(0.0),
        window: checked_micros(window, "retry_budget.window")?,
    }))
}
