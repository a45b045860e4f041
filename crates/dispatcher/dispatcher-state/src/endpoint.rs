//! Targets as service discovery lists them and as operators override them.

use dispatch_api::{Micros, WorkerStatus};
use std::net::SocketAddr;

/// One target of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its name, the same at every dispatcher.
    pub name: String,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Its zone, by number.
    pub zone: u32,
    /// Its machine kind, by number.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes new work.
    pub status: WorkerStatus,
    /// When its process last started; none if long ago.
    pub started: Option<Micros>,
    /// Its weight relative to other endpoints, without unit; none if the list gives none.
    pub weight: Option<f64>,
}

/// An operator's decision on a target: the one with the latest `set_at` counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetOverride {
    /// The target gets no new work, whatever its list entry says.
    pub disabled: bool,
    /// When the operator decided.
    pub set_at: Micros,
    /// Since when the target has been disabled, or had been when it was enabled again.
    pub disabled_since: Micros,
}
