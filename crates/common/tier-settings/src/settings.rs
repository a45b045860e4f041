//! The settings of a process, and reading them from the file.

use crate::bounds::Bounds;
use crate::error::{Fault, SettingsError, FILE};
use crate::limits::{FaultBudget, Limits};
use crate::ports::{PeerRole, PortRange};
use crate::reader::{NumberKey, TableReader};
use crate::reload::FileOutline;
use crate::{ENV_VAR, MAX_FILE_BYTES};
use compact_str::CompactString;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// What a process is told about itself and its deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of the machine.
    pub node: CompactString,
    /// The role, as the deploy file names it.
    pub role: CompactString,
    /// The class of the machine.
    pub machine_class: CompactString,
    /// The kinds of outsiders that may call it.
    pub serves: Vec<CompactString>,
    /// The address of the machine.
    pub ip: IpAddr,
    /// Its zone; empty if there are none.
    pub zone: CompactString,
    /// Its region; empty if there are none.
    pub region: CompactString,
    /// The ports for frames between processes.
    pub port_range: PortRange,
    /// The `ctl` addresses of some controllers.
    pub peers: Vec<SocketAddr>,
    /// The system starts for the first time, on empty disks.
    pub bootstrap: bool,
    /// The machine counts in the fault budget.
    pub voting: bool,
    /// The directory of its disk, if it has one.
    pub data_dir: Option<PathBuf>,
    /// How runners are discovered: `self_reg`.
    pub discovery: CompactString,
    /// How clients connect: `vip`.
    pub ingress: CompactString,
    /// Interval of the runners' heartbeats, in ms.
    pub heartbeat_ms: u64,
    /// The groups of rules that apply.
    pub guarantees: Vec<CompactString>,
    /// The region of each zone.
    pub zones: BTreeMap<CompactString, CompactString>,
    /// Where clients are served.
    pub http: Option<SocketAddr>,
    /// Where readiness is served.
    pub readyz: Option<SocketAddr>,
    /// Where runners and the operator are served.
    pub ctl: Option<SocketAddr>,
    /// What the process may use.
    pub limits: Limits,
    /// How many simultaneous losses the deployment must tolerate.
    pub fault_budget: FaultBudget,
    /// The times and shares that the rules promise.
    pub bounds: Bounds,
    /// How the file was written, for a reload.
    pub(crate) outline: FileOutline,
}

impl Settings {
    /// Reads the file that [`ENV_VAR`] names.
    ///
    /// # Errors
    /// The first fault.
    pub fn load() -> Result<Self, SettingsError> {
        let path = std::env::var_os(ENV_VAR).filter(|path| !path.is_empty());
        let path = path.ok_or_else(|| SettingsError::new(ENV_VAR, Fault::NoFileNamed))?;
        Self::read_file(&PathBuf::from(path))
    }

    /// Reads this file.
    ///
    /// # Errors
    /// The first fault.
    pub fn read_file(path: &Path) -> Result<Self, SettingsError> {
        use std::io::Read;
        let name = path.display().to_string();
        let unreadable =
            |error: std::io::Error| SettingsError::new(&name, Fault::Unreadable(error.to_string()));
        let mut bytes = Vec::new();
        let file = std::fs::File::open(path).map_err(unreadable)?;
        file.take(MAX_FILE_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(unreadable)?;
        let text =
            String::from_utf8(bytes).map_err(|_| SettingsError::new(&name, Fault::NotUtf8))?;
        Self::parse(&text)
    }

    /// Reads the text of such a file.
    ///
    /// # Errors
    /// The first fault.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        if text.len() as u64 > MAX_FILE_BYTES {
            return Err(SettingsError::new(FILE, Fault::FileTooLarge));
        }
        let table = toml::de::DeTable::parse(text);
        let table = table.map_err(|error| SettingsError::not_toml(text, &error))?;
        let top = TableReader::new(text, "", table.get_ref());
        let bind = top.table("Bind")?;
        let bind = |key| bind.as_ref().map_or(Ok(None), |bind| bind.socket_addr(key));
        let heartbeat = NumberKey {
            key: "HeartbeatMs",
            default: 1_000.0,
            min: 10.0,
            max: 600_000.0,
        };
        let zones = |zones: TableReader<'_>| zones.all_texts();
        let data_dir = |dir: CompactString| PathBuf::from(dir.as_str());
        Ok(Settings {
            node: top.required(top.non_empty_text("Node")?, "Node")?,
            role: top.required(top.non_empty_text("Role")?, "Role")?,
            machine_class: top.text("MachineClass")?.unwrap_or_default(),
            serves: top.texts("Serves")?,
            ip: top.required(top.ip("Ip")?, "Ip")?,
            zone: top.text("Zone")?.unwrap_or_default(),
            region: top.text("Region")?.unwrap_or_default(),
            port_range: top.required(top.port_range("PortRange")?, "PortRange")?,
            peers: top.socket_addrs("Peers")?,
            bootstrap: top.flag("Bootstrap")?.unwrap_or(false),
            // One that does not say so counts: a loss too many is worse than one too few.
            voting: top.flag("Voting")?.unwrap_or(true),
            data_dir: top
                .text("DataDir")?
                .filter(|dir| !dir.is_empty())
                .map(data_dir),
            discovery: top.text("Discovery")?.unwrap_or_default(),
            ingress: top.text("Ingress")?.unwrap_or_default(),
            heartbeat_ms: heartbeat.read_u64(Some(&top))?,
            guarantees: top.texts("Guarantees")?,
            zones: top
                .table("Zones")?
                .map_or_else(|| Ok(BTreeMap::new()), zones)?,
            http: bind("Http")?,
            readyz: bind("Readyz")?,
            ctl: bind("Ctl")?,
            limits: Limits::read(top.table("Limits")?.as_ref())?,
            fault_budget: FaultBudget::read(top.table("FaultBudget")?.as_ref())?,
            bounds: Bounds::read(top.table("Bounds")?.as_ref())?,
            outline: FileOutline::of(text, &top)?,
        })
    }

    /// Where this process listens for the others.
    ///
    /// # Errors
    /// The range of ports is too short for the role.
    pub fn peer_addr(&self, role: PeerRole) -> Result<SocketAddr, SettingsError> {
        let port = self.port_range.checked_peer_port(role);
        let port = port.ok_or_else(|| SettingsError::new("PortRange", Fault::NoPort(role)))?;
        Ok(SocketAddr::new(self.ip, port))
    }

    /// Where the controllers at the addresses of `Peers` listen for the others.
    pub fn controller_peers(&self) -> Vec<SocketAddr> {
        let port = self.port_range.peer_port(PeerRole::Controller);
        self.peers
            .iter()
            .map(|peer| SocketAddr::new(peer.ip(), port))
            .collect()
    }

    /// Whether this group of rules applies.
    pub fn has_guarantee(&self, group: &str) -> bool {
        self.guarantees.iter().any(|known| known == group)
    }

    /// Whether outsiders of this kind may call the process.
    pub fn is_serving(&self, kind: &str) -> bool {
        self.serves.iter().any(|known| known == kind)
    }
}
