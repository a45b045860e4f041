//! The list of targets as discovery writes it, and as the platform keeps it for a start.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The list as discovery writes it, and as the configuration holds it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetList {
    /// Its version.
    pub version: u64,
    /// Whether it is the whole list.
    pub full: bool,
    /// Its entries.
    pub servers: Vec<ListedTarget>,
}

/// One target of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedTarget {
    /// Its name, the same at every dispatcher.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its machine kind.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// When it last started, in Unix time, milliseconds; 0 for long ago.
    #[serde(default)]
    pub started_ms: f64,
    /// Its weight beside the others; what it means stands in the settings.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// Whether a listed target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is gone.
    Gone,
}
