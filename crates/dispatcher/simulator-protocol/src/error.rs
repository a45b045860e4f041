//! What can be wrong with a line or an instance.

use dispatch_api::SettingsError;
use dispatcher_settings::operator::OperatorError;

/// Why a line has no answer.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line isn't JSON of the protocol, or the answer can't be encoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The time isn't finite.
    #[error("the clock is not a number")]
    Clock,
    /// An event for an instance that was never started.
    #[error("an event for instance {0}, which was never started")]
    NotStarted(u64),
}

/// Why an instance doesn't run; the simulator gets the text.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InstanceError {
    #[error(transparent)]
    OperatorConfig(#[from] OperatorError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("the decision module panicked")]
    Panicked,
}
