//! Checking a settings file.

use super::error::TierError;
use super::output::print;
use std::fmt::{self, Display, Write};
use std::path::Path;
use tier_settings::{PeerRole, Settings};

/// Prints the settings of a file, defaults included, in the file's own form.
pub fn check(file: &Path) -> Result<(), TierError> {
    let settings = Settings::read_file(file)?;
    // Each role must find its port.
    for role in [PeerRole::Controller, PeerRole::Gateway, PeerRole::Store] {
        settings.peer_addr(role)?;
    }
    let mut text = String::new();
    write(&mut text, &settings).map_err(|e| TierError::Program(std::io::Error::other(e)))?;
    print(text)
}

fn list<T: Display>(values: &[T]) -> String {
    let values: Vec<String> = values
        .iter()
        .map(|value| format!("{:?}", value.to_string()))
        .collect();
    format!("[{}]", values.join(","))
}

fn write(to: &mut String, settings: &Settings) -> fmt::Result {
    write_top(to, settings)?;
    writeln!(to, "[Zones]")?;
    for (zone, region) in &settings.zones {
        writeln!(to, "{zone:?} = {region:?}")?;
    }
    writeln!(to, "[Bind]")?;
    let bind = [
        ("Http", settings.http),
        ("Readyz", settings.readyz),
        ("Ctl", settings.ctl),
    ];
    for (key, addr) in bind {
        if let Some(addr) = addr {
            writeln!(to, "{key} = \"{addr}\"")?;
        }
    }
    let limits = &settings.limits;
    writeln!(
        to,
        "[Limits]\nCpuFrac = {}\nNcpu = {}",
        limits.cpu_frac, limits.ncpu
    )?;
    writeln!(to, "RamMb = {}\nNofile = {}", limits.ram_mb, limits.nofile)?;
    writeln!(to, "LinkMbps = {}", limits.link_mbps)?;
    if let Some(disk_mb) = limits.disk_mb {
        writeln!(to, "DiskMb = {disk_mb}")?;
    }
    let budget = &settings.fault_budget;
    writeln!(to, "[FaultBudget]\nNodes = {}", budget.nodes)?;
    writeln!(
        to,
        "Zones = {}\nRegions = {}\n[Bounds]",
        budget.zones, budget.regions
    )?;
    let mut entries = settings.bounds.entries();
    entries.try_for_each(|(key, value)| writeln!(to, "{key} = {value}"))
}

/// The keys that stand before the first table.
fn write_top(to: &mut String, settings: &Settings) -> fmt::Result {
    let Settings {
        node,
        role,
        machine_class,
        zone,
        region,
        ip,
        ..
    } = settings;
    writeln!(
        to,
        "Node = {node:?}\nRole = {role:?}\nMachineClass = {machine_class:?}"
    )?;
    writeln!(to, "Serves = {}", list(&settings.serves))?;
    writeln!(to, "Ip = \"{ip}\"\nZone = {zone:?}\nRegion = {region:?}")?;
    let ports = settings.port_range;
    writeln!(to, "PortRange = [{},{}]", ports.first, ports.last)?;
    writeln!(to, "Peers = {}", list(&settings.peers))?;
    writeln!(
        to,
        "Bootstrap = {}\nVoting = {}",
        settings.bootstrap, settings.voting
    )?;
    if let Some(dir) = &settings.data_dir {
        writeln!(to, "DataDir = {:?}", dir.display().to_string())?;
    }
    writeln!(to, "HeartbeatMs = {}", settings.heartbeat_ms)?;
    writeln!(to, "Guarantees = {}", list(&settings.guarantees))
}
