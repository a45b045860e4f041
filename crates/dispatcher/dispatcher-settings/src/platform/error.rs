//! Why a configuration can't be used.

use dispatch_api::SettingsError;
use std::path::PathBuf;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("no configuration: give --config FILE or set ROUTER_CONFIG")]
    NoFile,
    /// It can't be read.
    #[error("can't read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A key is missing or has no value of its kind.
    #[error("{key}: {error}")]
    Key {
        /// The faulty key.
        key: String,
        /// What is wrong with it.
        error: String,
    },
}

/// A fault of a key.
pub(super) fn fault(key: impl Into<String>, error: &impl ToString) -> ConfigError {
    ConfigError::Key {
        key: key.into(),
        error: error.to_string(),
    }
}

/// The fault of settings that the dispatch policy rejects, under the key that it has in the file.
pub(super) fn rejected(error: &SettingsError) -> ConfigError {
    let key = match error {
        SettingsError::NoDispatchers => "peers-total",
        SettingsError::NoClasses => "classes",
        SettingsError::NoAttempts => "allowed.attempts-cap",
        SettingsError::BadFigure(name) => match *name {
            "aim" => "classes[].slo-ms",
            "give_up" => "classes[].hard-limit-ms",
            "stretch" => "specifics.class-stretch",
            "worth" => "classes[].points",
            "late_worth" => "classes[].late-worth",
            "quota_per_s" => "tenants[].quota-per-s",
            "share" => "tenants[].portion",
            "overall" => "goal.whole",
            "worst_window" => "goal.worst-window",
            "worst_class" => "goal.worst-class",
            "worst_tenant" => "goal.worst-tenant",
            "probe_price" => "costs.probe",
            "tell_price" => "costs.peer",
            "cross_zone_price" => "costs.cross-zone",
            "connect_price" => "costs.handshake",
            "waste_price" => "costs.waste",
            "over_share_worth" => "over-share-worth",
            "start_capacity" => "rules.start-capacity",
            "tip_multiple" => "rules.tip-multiple",
            "close_on_drain" => "rules.hang-up-within-ms",
            "retry_budget.minimum" => "rules.spare-attempts",
            "retry_budget.ratio" => "rules.extra-ratio",
            "retry_budget.window" => "rules.extra-window-ms",
            other => other,
        },
    };
    fault(format!("settings.{key}"), error)
}
