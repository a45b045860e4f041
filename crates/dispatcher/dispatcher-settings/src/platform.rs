//! The platform's configuration: the one place where it is read, checked and given defaults.

mod error;
mod file;
mod limits;
mod summary;

use crate::list::TargetList;
use crate::report::ReportNames;
use crate::settings_object::{decision_settings, micros, SettingsObject};
use dispatch_api::{Micros, Settings};
use error::{fault, rejected};
use file::{File, LimitsFile};
use limits::{LimitsError, MachineLimits};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

pub use error::ConfigError;
pub use limits::ProcessLimits;
pub use summary::Summary;

/// Without a number for them, so many descriptors are assumed to be allowed.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// Without a number for it, so much memory is assumed to be allowed.
const DEFAULT_MEMORY_MB: usize = 1_024;
/// An idle connection is closed after this share of the time after which a target would close it.
const IDLE_SHARE: f64 = 0.6;
/// The defaults of the settings' `allowed` keys, and of what has no key.
const DEFAULT_CONN_IDLE_MS: f64 = 10_000.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_MAX_OPEN: usize = 20_000;
const PROBE_TIMEOUT_MS: f64 = 400.0;

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
    pub known: Option<TargetList>,
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
    /// The configuration of the dispatcher's state, with levels of degradation or without.
    pub fn state_config(
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
            std::fs::read_to_string(&path).map_err(|source| ConfigError::Read { path, source })?;
        Self::parse(&text, |name| {
            variable(name).and_then(|v| v.into_string().ok())
        })
    }

    /// Reads the text of a configuration; `variable` gives the environment's stand-ins for `name`,
    /// `listen`, `discovery` and `admin_addr`.
    ///
    /// # Errors
    /// The first fault, with the key that it is in.
    pub fn parse(
        text: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, ConfigError> {
        let file = read_file(text)?;
        let addresses = Addresses::read(&file, &variable)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| fault("seed", &e))?;
        let settings = checked_settings(&file.settings)?;
        let descriptors = file.limits.sockets.unwrap_or(DEFAULT_DESCRIPTORS);
        let memory_bytes = memory_bytes(&file.limits);
        let limits = divide_limits(descriptors, memory_bytes)?;
        let allowed = &file.settings.allowed;
        let idle = span(
            "settings.allowed.conn-idle-ms",
            allowed.conn_idle_ms,
            DEFAULT_CONN_IDLE_MS,
        )?;
        let connect_timeout = span(
            "settings.allowed.connect-timeout-ms",
            allowed.connect_timeout_ms,
            DEFAULT_CONNECT_TIMEOUT_MS,
        )?;
        let peers = peer_addrs(&file)?;
        let object = file.settings;
        let tenants = object.tenants.into_iter().flatten();
        Ok(Config {
            name: file
                .name
                .or_else(|| variable("ROUTER_NAME"))
                .unwrap_or_default(),
            listen: addresses.listen,
            admin: addresses.admin,
            discovery: addresses.discovery,
            seed,
            me: object.me,
            peers,
            known: file.known,
            settings,
            classes: object.classes.into_iter().map(|class| class.name).collect(),
            tenants: tenants.map(|tenant| tenant.name).collect(),
            zones: object.zones,
            kinds: object.models,
            reports: ReportNames {
                x0_is_slots: object.specifics.x0_is_slots(),
            },
            client_connections: limits.client_connections,
            target_connections: limits.target_connections,
            open_flows: object.allowed.max_open.unwrap_or(DEFAULT_MAX_OPEN),
            flow_bytes: limits.flow_bytes,
            memory_bytes,
            descriptors,
            connect_timeout,
            idle: (idle as f64 * IDLE_SHARE) as Micros,
            probe_timeout: micros(PROBE_TIMEOUT_MS),
        })
    }
}

fn read_file(text: &str) -> Result<File, ConfigError> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let file: File = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
        let key = crate::operator::faulty_key(&e.path().to_string(), &e.inner().to_string());
        fault(key, e.inner())
    })?;
    reader.end().map_err(|e| fault("(end of file)", &e))?;
    Ok(file)
}

/// Where this dispatcher listens, and finds discovery.
struct Addresses {
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: Option<SocketAddr>,
}

impl Addresses {
    fn read(file: &File, variable: &impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let address = |key: &str, stated: Option<SocketAddr>, name: &str| {
            let found = stated_or_variable(stated, name, variable)?;
            found.ok_or_else(|| fault(key, &format!("is missing, and {name} is not set")))
        };
        Ok(Addresses {
            listen: address("listen", file.listen, "ROUTER_LISTEN")?,
            discovery: address("discovery", file.discovery, "ROUTER_DISCOVERY")?,
            admin: stated_or_variable(file.admin_addr, "ROUTER_ADMIN_ADDR", variable)?,
        })
    }
}

fn stated_or_variable(
    stated: Option<SocketAddr>,
    name: &str,
    variable: &impl Fn(&str) -> Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    match (stated, variable(name)) {
        (Some(addr), _) => Ok(Some(addr)),
        (None, Some(text)) => text.parse().map(Some).map_err(|e| fault(name, &e)),
        (None, None) => Ok(None),
    }
}

/// The settings of the dispatch policy, which it accepts.
fn checked_settings(object: &SettingsObject) -> Result<Settings, ConfigError> {
    let settings = decision_settings(object).map_err(|e| rejected(&e))?;
    settings.validate().map_err(|e| rejected(&e))?;
    let unnamed = object
        .classes
        .iter()
        .position(|class| class.name.is_empty());
    match unnamed {
        Some(at) => Err(fault(format!("settings.classes[{at}].name"), &"is missing")),
        None => Ok(settings),
    }
}

fn divide_limits(descriptors: usize, memory_bytes: usize) -> Result<MachineLimits, ConfigError> {
    MachineLimits::divide(descriptors, memory_bytes).map_err(|error| {
        let key = match error {
            LimitsError::Descriptors(_) => "limits.sockets",
            LimitsError::Memory => "limits.memory_mb",
        };
        fault(key, &error)
    })
}

fn memory_bytes(limits: &LimitsFile) -> usize {
    let megabytes = limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    megabytes.saturating_mul(1024 * 1024)
}

/// A time span of the settings in milliseconds, as microseconds.
fn span(key: &str, stated: Option<f64>, default: f64) -> Result<Micros, ConfigError> {
    match stated.unwrap_or(default) {
        ms if ms.is_finite() && ms > 0.0 => Ok(micros(ms)),
        ms => Err(fault(key, &format!("{ms} is no time span"))),
    }
}

/// The addresses of the other dispatchers, if they may be told anything.
fn peer_addrs(file: &File) -> Result<Option<PeerAddrs>, ConfigError> {
    let SettingsObject {
        allowed,
        peers_total,
        ..
    } = &file.settings;
    let Some(listen) = file
        .peer_listen
        .filter(|_| allowed.peers && *peers_total > 1)
    else {
        return Ok(None);
    };
    if file.peers.len() != *peers_total as usize {
        let error = format!("names {} of {peers_total} dispatchers", file.peers.len());
        return Err(fault("peers", &error));
    }
    Ok(Some(PeerAddrs {
        listen,
        numbers: file.peers.clone(),
        all: file.peers_all,
    }))
}
