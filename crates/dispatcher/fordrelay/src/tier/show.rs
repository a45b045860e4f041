//! What a settings file comes to.

use super::fault::Fault;
use super::say;
use std::fmt::{self, Display, Write};
use std::path::Path;
use tier_settings::{PeerRole, Settings};

/// Prints what is in force by a file, defaults included, in the file's own form.
pub fn settings(file: &Path) -> Result<(), Fault> {
    let settings = Settings::read_file(file)?;
    // Every role must find its port.
    for role in [PeerRole::Controller, PeerRole::Gateway, PeerRole::Store] {
        settings.peer_addr(role)?;
    }
    let mut text = String::new();
    write(&mut text, &settings).map_err(|e| Fault::Program(std::io::Error::other(e)))?;
    say(text)
}

fn list<T: Display>(values: &[T]) -> String {
    let values: Vec<String> = values
        .iter()
        .map(|value| format!("{:?}", value.to_string()))
        .collect();
    format!("[{}]", values.join(","))
}

fn write(to: &mut String, s: &Settings) -> fmt::Result {
    writeln!(
        to,
        "Node = {:?}\nRole = {:?}\nMachineClass = {:?}",
        s.node, s.role, s.machine_class
    )?;
    writeln!(to, "Serves = {}", list(&s.serves))?;
    writeln!(
        to,
        "Ip = \"{}\"\nZone = {:?}\nRegion = {:?}",
        s.ip, s.zone, s.region
    )?;
    writeln!(
        to,
        "PortRange = [{},{}]",
        s.port_range.first, s.port_range.last
    )?;
    writeln!(to, "Peers = {}", list(&s.peers))?;
    writeln!(to, "Bootstrap = {}\nVoting = {}", s.bootstrap, s.voting)?;
    if let Some(dir) = &s.data_dir {
        writeln!(to, "DataDir = {:?}", dir.display().to_string())?;
    }
    writeln!(to, "HeartbeatMs = {}", s.heartbeat_ms)?;
    writeln!(to, "Guarantees = {}", list(&s.guarantees))?;
    writeln!(to, "[Zones]")?;
    for (zone, region) in &s.zones {
        writeln!(to, "{zone:?} = {region:?}")?;
    }
    writeln!(to, "[Bind]")?;
    for (key, addr) in [("Http", s.http), ("Readyz", s.readyz), ("Ctl", s.ctl)] {
        if let Some(addr) = addr {
            writeln!(to, "{key} = \"{addr}\"")?;
        }
    }
    let limits = &s.limits;
    writeln!(
        to,
        "[Limits]\nCpuFrac = {}\nNcpu = {}",
        limits.cpu_frac, limits.ncpu
    )?;
    writeln!(
        to,
        "RamMb = {}\nNofile = {}\nLinkMbps = {}",
        limits.ram_mb, limits.nofile, limits.link_mbps
    )?;
    if let Some(mb) = limits.disk_mb {
        writeln!(to, "DiskMb = {mb}")?;
    }
    let budget = &s.fault_budget;
    writeln!(to, "[FaultBudget]\nNodes = {}", budget.nodes)?;
    writeln!(
        to,
        "Zones = {}\nRegions = {}\n[Bounds]",
        budget.zones, budget.regions
    )?;
    s.bounds
        .entries()
        .try_for_each(|(key, value)| writeln!(to, "{key} = {value}"))
}
