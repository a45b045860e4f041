//! What a configuration amounts to, defaults included, for people and tools that read it.

use super::Config;
use dispatch_api::Micros;
use serde::Serialize;
use std::net::SocketAddr;

/// What a configuration amounts to. Its JSON keys are printed by the operators' command.
#[derive(Debug, Serialize)]
pub struct Summary<'a> {
    /// This dispatcher's name.
    pub name: &'a str,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators' calls are answered, if the platform says so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admin: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Names of the classes.
    pub classes: &'a [String],
    /// Names of the zones.
    pub zones: &'a [String],
    /// Names of the machine kinds.
    pub kinds: &'a [String],
    /// Dispatchers of the tier.
    pub dispatchers: u32,
    /// Targets of the list kept from an earlier run.
    pub known_targets: usize,
    /// Connections from clients that may be open together.
    pub client_connections: usize,
    /// Connections to targets that may be open together.
    pub target_connections: usize,
    /// Flows that may be open together.
    pub open_flows: usize,
    /// Memory that they may take together, bytes.
    pub flow_bytes: usize,
    /// A connection to a target must be up within this, microseconds.
    pub connect_timeout_us: Micros,
    /// An idle connection to a target is closed after this, microseconds.
    pub idle_us: Micros,
    /// A probe must be answered within this, microseconds.
    pub probe_timeout_us: Micros,
}

impl Config {
    /// What it amounts to.
    pub fn summary(&self) -> Summary<'_> {
        Summary {
            name: &self.name,
            listen: self.listen,
            admin: self.admin,
            discovery: self.discovery,
            classes: &self.classes,
            zones: &self.zones,
            kinds: &self.kinds,
            dispatchers: self.settings.dispatchers,
            known_targets: self.known.as_ref().map_or(0, |list| list.servers.len()),
            client_connections: self.client_connections,
            target_connections: self.target_connections,
            open_flows: self.open_flows,
            flow_bytes: self.flow_bytes,
            connect_timeout_us: self.connect_timeout,
            idle_us: self.idle,
            probe_timeout_us: self.probe_timeout,
        }
    }
}
