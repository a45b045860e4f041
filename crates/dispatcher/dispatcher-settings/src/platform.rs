//! The configuration: the one place where it is read, checked and given defaults.

use crate::facts::{micros, settings, Facts};
use crate::list::List;
use crate::report::ReportNames;
use dispatch_api::{Micros, Settings, SettingsError};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Descriptors kept for what is no connection: standard streams, the runtime's own, the listening socket,
/// discovery, peers and a reserve.
const RESERVED: usize = 40;
/// Parts of the rest, in hundredths, that connections to targets may take; clients have what remains.
const TARGETS_PERCENT: usize = 45;
/// Without a figure for them, so many descriptors are taken to be allowed.
const SOCKETS: usize = 1_024;
/// An idle connection is closed after this share of the time after which a target would close it.
const IDLE_SHARE: f64 = 0.6;
const CONN_IDLE_MS: f64 = 10_000.0;
const CONNECT_TIMEOUT_MS: f64 = 250.0;
const PROBE_TIMEOUT_MS: f64 = 400.0;
const MAX_OPEN: usize = 20_000;
/// Share of the memory, one part in so many, that open flows may take with their bodies.
const FLOWS_MEMORY: usize = 4;
/// Share of the memory, one part in so many, that buffers of clients' connections may take.
const BUFFERS_MEMORY: usize = 4;
/// Buffers of one such connection.
const BUFFER_BYTES: usize = 48 * 1024;
/// Without a figure for it, so much memory is taken to be allowed.
const MEMORY_MB: usize = 1_024;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("no configuration: give --config FILE or set ROUTER_CONFIG")]
    NoFile,
    /// It can't be read.
    #[error("can't read {path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: std::io::Error,
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

fn fault(key: impl Into<String>, error: impl ToString) -> ConfigError {
    ConfigError::Key {
        key: key.into(),
        error: error.to_string(),
    }
}

/// The key of the settings that the decisions can't use, under the name that it has in the file.
fn unusable(error: &SettingsError) -> ConfigError {
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

/// The file as it is written.
#[derive(Debug, Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: String,
    #[serde(default)]
    limits: LimitsFile,
    admin_addr: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    known: Option<List>,
    settings: Facts,
}

#[derive(Debug, Default, Deserialize)]
struct LimitsFile {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Where dispatchers talk to each other.
#[derive(Debug, Clone)]
pub struct PeerAddrs {
    /// Own address.
    pub listen: SocketAddr,
    /// All addresses, by number.
    pub numbers: Vec<SocketAddr>,
    /// An address that reaches all.
    pub all: Option<SocketAddr>,
}

/// What one process of a dispatcher may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Connections to targets.
    pub targets: usize,
    /// Connections from clients, those of other processes included.
    pub clients: usize,
    /// Flows.
    pub flows: usize,
    /// Bytes that flows take.
    pub bytes: usize,
}

/// What a configuration comes to, defaults included, for who reads it.
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

/// A configuration that can be used.
#[derive(Debug, Clone)]
pub struct Config {
    /// This dispatcher's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the platform's calls are answered, if it asks for any.
    pub admin: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// This dispatcher's number.
    pub me: u32,
    /// Where the other dispatchers are, if they may be told anything.
    pub peers: Option<PeerAddrs>,
    /// The list as this dispatcher had it last.
    pub known: Option<List>,
    /// For the decisions.
    pub settings: Settings,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// How load reports are read.
    pub reports: ReportNames,
    /// Connections from clients that may be open together.
    pub client_connections: usize,
    /// Connections to targets that may be open together.
    pub target_connections: usize,
    /// Flows that may be open together.
    pub open_flows: usize,
    /// Memory that they may take together.
    pub flow_bytes: usize,
    /// Memory that the program may take in all.
    pub memory_bytes: usize,
    /// Descriptors that it may hold in all.
    pub descriptors: usize,
    /// A connection to a target that is not up by then has failed.
    pub connect_timeout: Micros,
    /// An idle connection to a target is closed after this.
    pub idle: Micros,
    /// A probe that is not answered by then has failed.
    pub probe_timeout: Micros,
}

impl Config {
    /// What the reducer takes of it, with levels of reduced service or without.
    pub fn setup(
        &self,
        levels: Option<Arc<degradation::DegradationConfig>>,
    ) -> dispatcher_state::StateConfig {
        dispatcher_state::StateConfig {
            settings: self.settings.clone(),
            seed: self.seed,
            me: self.me,
            connections: self.target_connections,
            connect_timeout: self.connect_timeout,
            idle: self.idle,
            probe_timeout: self.probe_timeout,
            levels,
        }
    }

    /// What each of so many processes may hold, where the limits are there for all of them together.
    pub fn share(&self, processes: usize) -> Share {
        let processes = processes.max(1);
        let shared = self
            .descriptors
            .saturating_sub(RESERVED * processes)
            .max(RESERVED);
        let targets = shared * TARGETS_PERCENT / 100;
        let buffers = self.memory_bytes / BUFFERS_MEMORY / BUFFER_BYTES;
        Share {
            targets: (targets / processes).max(1),
            clients: (shared - targets).min(buffers).max(1),
            flows: (self.open_flows / processes).max(1),
            bytes: self.flow_bytes / processes,
        }
    }

    /// What it comes to.
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

    /// Reads the file named, or else the one that `ROUTER_CONFIG` names.
    ///
    /// # Errors
    /// The first fault, with the key that it is in.
    pub fn load(path: Option<&Path>) -> Result<Self, ConfigError> {
        let variable = |name: &str| std::env::var_os(name).filter(|v| !v.is_empty());
        let path = path
            .map(Path::to_path_buf)
            .or_else(|| variable("ROUTER_CONFIG").map(PathBuf::from));
        let path = path.ok_or(ConfigError::NoFile)?;
        let text =
            std::fs::read_to_string(&path).map_err(|error| ConfigError::Read { path, error })?;
        Self::parse(&text, |name| {
            variable(name).and_then(|v| v.into_string().ok())
        })
    }

    /// Reads the text of a configuration; `variable` stands in for `name`, `listen` and `discovery`.
    ///
    /// # Errors
    /// The first fault, with the key that it is in.
    pub fn parse(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let file: File = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
            fault(
                crate::operator::named(&e.path().to_string(), &e.inner().to_string()),
                e.inner(),
            )
        })?;
        reader.end().map_err(|e| fault("(end of file)", e))?;
        let address =
            |key: &str, stated: Option<SocketAddr>, name: &str| match (stated, variable(name)) {
                (Some(addr), _) => Ok(addr),
                (None, Some(text)) => text.parse().map_err(|e| fault(name, e)),
                (None, None) => Err(fault(key, format!("is missing, and {name} is not set"))),
            };
        let listen = address("listen", file.listen, "ROUTER_LISTEN")?;
        let discovery = address("discovery", file.discovery, "ROUTER_DISCOVERY")?;
        let admin = match (file.admin_addr, variable("ROUTER_ADMIN_ADDR")) {
            (Some(addr), _) => Some(addr),
            (None, Some(text)) => Some(text.parse().map_err(|e| fault("ROUTER_ADMIN_ADDR", e))?),
            (None, None) => None,
        };
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| fault("seed", e))?;
        let facts = file.settings;
        let decisions = settings(&facts).map_err(|e| unusable(&e))?;
        decisions.validate().map_err(|e| unusable(&e))?;
        for (at, class) in facts.classes.iter().enumerate() {
            if class.name.is_empty() {
                return Err(fault(format!("settings.classes[{at}].name"), "is missing"));
            }
        }
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        let Some(shared) = sockets.checked_sub(RESERVED).filter(|s| *s >= RESERVED) else {
            return Err(fault(
                "limits.sockets",
                format!("is {sockets}, too few to serve with"),
            ));
        };
        let target_connections = shared * TARGETS_PERCENT / 100;
        let memory = file
            .limits
            .memory_mb
            .unwrap_or(MEMORY_MB)
            .saturating_mul(1024 * 1024);
        let buffers = memory / BUFFERS_MEMORY / BUFFER_BYTES;
        if buffers == 0 {
            return Err(fault("limits.memory_mb", "is too little to serve with"));
        }
        let span = |key: &str, stated: Option<f64>, default: f64| match stated.unwrap_or(default) {
            ms if ms.is_finite() && ms > 0.0 => Ok(micros(ms)),
            ms => Err(fault(key, format!("{ms} is no time span"))),
        };
        let idle = span(
            "settings.allowed.conn-idle-ms",
            facts.allowed.conn_idle_ms,
            CONN_IDLE_MS,
        )?;
        let connect_timeout = span(
            "settings.allowed.connect-timeout-ms",
            facts.allowed.connect_timeout_ms,
            CONNECT_TIMEOUT_MS,
        )?;
        let may_tell = facts.allowed.peers && facts.peers_total > 1;
        let peers = match file.peer_listen {
            Some(listen) if may_tell => {
                if file.peers.len() != facts.peers_total as usize {
                    let error = format!(
                        "names {} of {} dispatchers",
                        file.peers.len(),
                        facts.peers_total
                    );
                    return Err(fault("peers", error));
                }
                Some(PeerAddrs {
                    listen,
                    numbers: file.peers,
                    all: file.peers_all,
                })
            }
            _ => None,
        };
        Ok(Config {
            name: file
                .name
                .or_else(|| variable("ROUTER_NAME"))
                .unwrap_or_default(),
            listen,
            admin,
            discovery,
            seed,
            me: facts.me,
            peers,
            known: file.known,
            settings: decisions,
            classes: facts.classes.into_iter().map(|c| c.name).collect(),
            tenants: facts
                .tenants
                .into_iter()
                .flatten()
                .map(|t| t.name)
                .collect(),
            zones: facts.zones,
            kinds: facts.models,
            reports: ReportNames {
                x0_is_slots: facts.specifics.x0_is_slots(),
            },
            client_connections: (shared - target_connections).min(buffers),
            target_connections,
            open_flows: facts.allowed.max_open.unwrap_or(MAX_OPEN),
            flow_bytes: memory / FLOWS_MEMORY,
            memory_bytes: memory,
            descriptors: sockets,
            connect_timeout,
            idle: (idle as f64 * IDLE_SHARE) as Micros,
            probe_timeout: micros(PROBE_TIMEOUT_MS),
        })
    }
}
