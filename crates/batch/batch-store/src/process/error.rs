//! Why a store can't start or go on.

use crate::journal::RecoveryError;
use std::net::SocketAddr;
use tier_settings::SettingsError;
use write_ahead_log::LogError;

/// Why a store can't start or go on.
#[derive(Debug, thiserror::Error)]
pub(super) enum ProcessError {
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("{0}")]
    Disk(#[from] LogError),
    #[error("{0}")]
    Recovery(#[from] RecoveryError),
    #[error("can't remove the files of a corrupt log: {0}")]
    RemoveLog(#[source] std::io::Error),
    #[error("this role needs {0} in the settings")]
    MissingSetting(&'static str),
    #[error("can't listen at {addr}: {source}")]
    Listen {
        addr: SocketAddr,
        source: std::io::Error,
    },
    #[error("can't start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
}

impl ProcessError {
    /// The result code of the line with which the store ends: see docs/result-codes.md.
    pub fn code(&self) -> u16 {
        match self {
            ProcessError::Disk(LogError::WrongOwner { .. }) => 2210,
            _ => 2200,
        }
    }
}
