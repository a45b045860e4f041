//! Reading a complete file, its defaults, and the addresses derived from it.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::net::SocketAddr;
use tier_settings::{Bounds, FaultBudget, PeerRole, PortRange, Settings};

const CONTROLLER: &str = r#"
Node = "edge-north-2"
Role = "controller"
MachineClass = "edge"
Serves = ["ctl"]
Ip = "10.9.0.7"
Zone = "north"
Region = "upland"
PortRange = [7200,7215]
Peers = ["10.9.0.7:9001","10.9.1.7:9001"]
Bootstrap = true
Voting = true
DataDir = "/data/controller"
Discovery = "self_reg"
Ingress = "vip"
HeartbeatMs = 900
Guarantees = ["base","config"]
Color = "green"
[Zones]
north = "upland"
south = "lowland"
[Bind]
Ctl = "10.9.0.7:9001"
Other = 5
[Limits]
CpuFrac = 0.45
Ncpu = 2
RamMb = 260
Nofile = 4100
LinkMbps = 750.5
DiskMb = 64
[FaultBudget]
Nodes = 2
Zones = 1
[Bounds]
SeedLagS = 4
SyncS = 2.5
DrainMs = 1500.2
QuotaExcess = 0.25
GraceS = 7
NewKeyMs = true
"#;

/// A minimal file: the required keys alone.
const LEAST: &str = "Node = 'a'\nRole = 'r'\nIp = '127.0.0.1'\nPortRange = [1, 3]\n";

fn addr(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

#[test]
fn a_complete_file_is_read_and_unknown_keys_are_ignored() {
    let read = Settings::parse(CONTROLLER).unwrap();
    assert_eq!(
        (
            read.node.as_str(),
            read.role.as_str(),
            read.machine_class.as_str()
        ),
        ("edge-north-2", "controller", "edge")
    );
    assert_eq!(
        (read.zone.as_str(), read.region.as_str()),
        ("north", "upland")
    );
    assert!(read.is_serving("ctl") && !read.is_serving("edge"));
    assert!(read.has_guarantee("config") && !read.has_guarantee("stream"));
    assert!(read.bootstrap && read.voting);
    assert_eq!(
        read.data_dir.as_deref().and_then(|p| p.to_str()),
        Some("/data/controller")
    );
    assert_eq!(
        (read.http, read.readyz, read.ctl),
        (None, None, Some(addr("10.9.0.7:9001")))
    );
    let zones = read.zones.iter().map(|(z, r)| format!("{z}={r}"));
    assert!(zones.eq(["north=upland", "south=lowland"]));
    assert_eq!(
        (
            read.limits.ncpu,
            read.limits.ram_mb,
            read.limits.nofile,
            read.limits.disk_mb
        ),
        (2, 260, 4100, Some(64))
    );
    assert_eq!((read.limits.cpu_frac, read.limits.link_mbps), (0.45, 750.5));
    assert_eq!(
        read.fault_budget,
        FaultBudget {
            nodes: 2,
            zones: 1,
            regions: 0
        }
    );
    let bounds = read.bounds;
    assert_eq!(
        (
            bounds.seed_lag_ms,
            bounds.sync_ms,
            bounds.drain_ms,
            bounds.grace_ms
        ),
        (4_000, 2_500, 1_501, 7_000)
    );
    assert_eq!(bounds.quota_excess, 0.25);
    assert_eq!(read.heartbeat_ms, 900);
}

#[test]
fn missing_keys_get_defaults() {
    let read = Settings::parse(LEAST).unwrap();
    assert!(
        !read.bootstrap && read.voting && read.data_dir.is_none() && read.limits.disk_mb.is_none()
    );
    assert_eq!(
        read.fault_budget,
        FaultBudget {
            nodes: 1,
            zones: 0,
            regions: 0
        }
    );
    let told: String = Bounds::KEYS
        .iter()
        .map(|bound| format!("{} = {}\n", bound.key, bound.default))
        .collect();
    assert_eq!(
        Settings::parse(&format!("{LEAST}[Bounds]\n{told}")).unwrap(),
        read,
        "explicit defaults"
    );
}

#[test]
fn roles_have_consecutive_ports_and_peers_are_controllers() {
    let read = Settings::parse(CONTROLLER).unwrap();
    let own = |role| read.peer_addr(role).unwrap();
    assert_eq!(own(PeerRole::Controller), addr("10.9.0.7:7200"));
    assert_eq!(own(PeerRole::Gateway), addr("10.9.0.7:7201"));
    assert_eq!(own(PeerRole::Store), addr("10.9.0.7:7202"));
    assert_eq!(
        read.controller_peers(),
        [addr("10.9.0.7:7200"), addr("10.9.1.7:7200")]
    );
    assert_eq!(
        PortRange {
            first: 65_535,
            last: 65_535
        }
        .peer_port(PeerRole::Store),
        65_535
    );
    let narrow = Settings::parse(&CONTROLLER.replace("[7200,7215]", "[65535,65535]")).unwrap();
    assert!(narrow.peer_addr(PeerRole::Controller).is_ok());
    insta::assert_snapshot!(narrow.peer_addr(PeerRole::Gateway).unwrap_err(), @"S109 PortRange: has no port for a Gateway");
    let one = Settings::parse(&CONTROLLER.replace("[7200,7215]", "[7200,7200]")).unwrap();
    assert_eq!(one.peer_addr(PeerRole::Store).unwrap_err().code(), 109);
}

/// The only test that sets the variable, as tests of one process share it.
#[test]
fn the_file_that_the_variable_names_is_read_at_each_load() {
    std::env::remove_var(tier_settings::ENV_VAR);
    insta::assert_snapshot!(Settings::load().unwrap_err(), @"S101 FORDRELAY_BOOT: names no file");
    let path = std::env::temp_dir().join(format!("fordrelay-settings-{}.toml", std::process::id()));
    std::env::set_var(tier_settings::ENV_VAR, &path);
    assert_eq!(Settings::load().unwrap_err().code(), 102);
    std::fs::write(&path, CONTROLLER).unwrap();
    assert_eq!(Settings::load().unwrap().bounds.grace_ms, 7_000);
    std::fs::write(&path, CONTROLLER.replace("GraceS = 7", "GraceS = 9")).unwrap();
    assert_eq!(Settings::load().unwrap().bounds.grace_ms, 9_000);
    std::fs::write(&path, b"Node = '\xff'").unwrap();
    assert_eq!(Settings::load().unwrap_err().code(), 104);
    std::fs::write(
        &path,
        "#".repeat(tier_settings::MAX_FILE_BYTES as usize + 1),
    )
    .unwrap();
    assert_eq!(Settings::load().unwrap_err().code(), 103);
    std::fs::remove_file(&path).unwrap();
}
