//! What a settings file comes to.

use super::fault::Fault;
use std::path::Path;
use tier_settings::{PeerRole, Settings};

/// Prints what is in force by a file, defaults included, in the file's own form.
pub fn settings(file: &Path) -> Result<(), Fault> {
    let s = Settings::read_file(file)?;
    // Every role must find its port.
    for role in [PeerRole::Keeper, PeerRole::Carrier, PeerRole::Store] {
        s.peer_addr(role)?;
    }
    let list =
        |names: Vec<String>| names.iter().map(|name| format!("{name:?}")).collect::<Vec<_>>().join(",");
    println!("Node = {:?}\nRole = {:?}\nMachineClass = {:?}", s.node, s.role, s.machine_class);
    println!("Serves = [{}]", list(s.serves.iter().map(ToString::to_string).collect()));
    println!("Ip = \"{}\"\nZone = {:?}\nRegion = {:?}", s.ip, s.zone, s.region);
    println!("PortRange = [{},{}]", s.port_range.0, s.port_range.1);
    println!("Peers = [{}]", list(s.peers.iter().map(ToString::to_string).collect()));
    println!("Bootstrap = {}\nVoting = {}", s.bootstrap, s.voting);
    if let Some(dir) = &s.data_dir {
        println!("DataDir = {:?}", dir.display().to_string());
    }
    println!("HeartbeatMs = {}", s.heartbeat_ms);
    println!("Guarantees = [{}]", list(s.guarantees.iter().map(ToString::to_string).collect()));
    println!("[Zones]");
    s.zones.iter().for_each(|(zone, region)| println!("{zone:?} = {region:?}"));
    println!("[Bind]");
    for (key, addr) in [("Http", s.http), ("Readyz", s.readyz), ("Ctl", s.ctl)] {
        addr.iter().for_each(|addr| println!("{key} = \"{addr}\""));
    }
    let limits = &s.limits;
    println!("[Limits]\nCpuFrac = {}\nNcpu = {}", limits.cpu_frac, limits.ncpu);
    println!("RamMb = {}\nNofile = {}\nLinkMbps = {}", limits.ram_mb, limits.nofile, limits.link_mbps);
    limits.disk_mb.iter().for_each(|mb| println!("DiskMb = {mb}"));
    let budget = &s.budget;
    println!(
        "[FaultBudget]\nNodes = {}\nZones = {}\nRegions = {}",
        budget.nodes, budget.zones, budget.regions
    );
    println!("[Bounds]");
    s.bounds.entries().for_each(|(key, value)| println!("{key} = {value}"));
    Ok(())
}
