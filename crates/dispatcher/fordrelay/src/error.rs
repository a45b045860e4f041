//! Why a dispatcher can't start.

use crate::inherited::InheritError;
use dispatch_api::SettingsError;
use dispatcher_settings::operator::OperatorError;
use dispatcher_settings::platform::ConfigError;
use std::net::SocketAddr;

/// Why the dispatcher could not start. Whoever starts it has to mend the cause.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address can't be used.
    #[error("{key}: can't use {addr}: {error}")]
    Bind {
        /// The configuration's key.
        key: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system says.
        error: std::io::Error,
    },
    /// The configuration can't be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operators' file can't be used.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorError),
    /// The settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The recorder of `/metrics` can't be set up.
    #[error("metrics: {0}")]
    Metrics(String),
    /// The socket that the platform holds can't be used.
    #[error(transparent)]
    Inherited(#[from] InheritError),
    /// Anything else that the system refuses.
    #[error("{0}")]
    Io(#[from] std::io::Error),
}

impl StartError {
    /// The error of binding this address, which the configuration gives under `key`.
    pub fn bind(key: &'static str, addr: SocketAddr) -> impl FnOnce(std::io::Error) -> Self {
        move |error| StartError::Bind { key, addr, error }
    }
}
