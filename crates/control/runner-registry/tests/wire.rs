//! The bytes of a runner's entry, its stamps, and which controller its heartbeats go to.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use bytes::Bytes;
use runner_registry::{
    entry_key, home_controller, Registry, RegistryConfig, Runner, RunnerState, Stamp, StateEntry,
    LEFT_STAMP, MAX_BODY_BYTES, MAX_ID_BYTES, MAX_MODELS, MAX_NAME_BYTES, MAX_RUNNERS,
    MIN_HEARTBEAT_TIMEOUT_MS, TOMBSTONE_RETENTION_MS,
};
use std::net::SocketAddr;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Bytes {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

const UP: &str = concat!(
    r#"{"Svc":"svc-1","Address":"10.128.0.9:8080","Zone":"zone-a","Gen":"v1","Slots":48,"State":"up","ColdLeftMs":1500.5,"#,
    r#""Phase":"both","Models":[{"Name":"m","Gen":3,"Loras":[]},{"Name":"n"}],"Seqno":4}"#
);
const DRAINING: &str =
    r#"{"Svc":"s","Address":"[fd00::9]:80","Slots":1,"State":"draining","Seqno":9007199254740992}"#;

const UP_ENTRY: &str = "01000700000000000000040000000000000030000000dc05000000000000040a800009901f057376632d31067a6f6e652d610276\
    3104626f746802016d0300000000000000016e0000000000000000";
const DRAINING_ENTRY: &str = "0101070000000000000000000000000020000100000000000000000000001\
    0fd0000000000000000000000000000095000017300000000";

fn published(body: &str) -> StateEntry {
    let mut registry = Registry::new(RegistryConfig {
        heartbeat_ms: 1_200,
        owner: 7,
    });
    registry
        .heartbeat(0, "i-7f3a91c2", body.as_bytes())
        .expect("taken")
        .publish
        .expect("new")
}

fn entry(value: Option<&str>, stamp: Stamp) -> StateEntry {
    StateEntry {
        key: "runner/i-7f3a91c2".into(),
        stamp,
        value: value.map(bytes),
    }
}

#[test]
fn the_entry_of_a_runner_that_is_up_has_these_bytes() {
    let sent = published(UP);
    assert_eq!(hex(sent.value.as_deref().expect("a value")), UP_ENTRY);
    assert_eq!(
        (sent.key.as_str(), sent.stamp),
        ("runner/i-7f3a91c2", Stamp(4, 0))
    );
    assert_eq!(sent, entry(Some(UP_ENTRY), Stamp(4, 0)));
    let runner = Runner::read(&sent).expect("a runner");
    assert_eq!(
        (
            runner.id.as_str(),
            runner.service.as_str(),
            runner.zone.as_str()
        ),
        ("i-7f3a91c2", "svc-1", "zone-a")
    );
    assert_eq!(
        (runner.software_version.as_str(), runner.phase.as_str()),
        ("v1", "both")
    );
    assert_eq!(
        (runner.addr.to_string().as_str(), runner.slots),
        ("10.128.0.9:8080", 48)
    );
    assert_eq!(
        (
            runner.state,
            runner.warmup_left_ms,
            runner.seqno,
            runner.owner
        ),
        (RunnerState::Up, 1_500, 4, 7)
    );
    let models: Vec<_> = runner
        .models
        .iter()
        .map(|model| (model.name.as_str(), model.version))
        .collect();
    assert_eq!(models, [("m", 3), ("n", 0)]);
}

#[test]
fn the_entry_of_a_runner_that_drains_has_these_bytes() {
    let stamp = Stamp((1 << 53) | (1 << 62), 0);
    let sent = published(DRAINING);
    assert_eq!(hex(sent.value.as_deref().expect("a value")), DRAINING_ENTRY);
    assert_eq!(sent, entry(Some(DRAINING_ENTRY), stamp));
    let runner = Runner::read(&sent).expect("a runner");
    assert_eq!(
        (runner.state, runner.seqno),
        (RunnerState::Draining, 1 << 53)
    );
    assert_eq!(
        runner.addr,
        SocketAddr::from(([0xfd00, 0, 0, 0, 0, 0, 0, 9], 80))
    );
}

#[test]
fn an_entry_without_a_value_is_a_runner_that_is_gone() {
    assert_eq!(LEFT_STAMP, Stamp(u64::MAX, 1));
    let read = |stamp| {
        let runner = Runner::read(&entry(None, stamp)).expect("a runner");
        (runner.state, runner.seqno, runner.owner)
    };
    assert_eq!(read(LEFT_STAMP), (RunnerState::Gone, u64::MAX, 0));
    assert_eq!(read(Stamp(9, 1)), (RunnerState::Gone, 9, 0));
    assert_eq!(read(Stamp(9 | (1 << 62), 1)), (RunnerState::Gone, 9, 0));
    let mut registry = Registry::new(RegistryConfig {
        heartbeat_ms: 1_200,
        owner: 7,
    });
    assert_eq!(
        registry.leave(1, "i-7f3a91c2"),
        Some(entry(None, LEFT_STAMP))
    );
    assert_eq!(entry_key("i-1"), "runner/i-1");
}

#[test]
fn limits_and_times_stay() {
    assert_eq!(
        (
            MAX_ID_BYTES,
            MAX_NAME_BYTES,
            MAX_BODY_BYTES,
            MAX_MODELS,
            MAX_RUNNERS
        ),
        (64, 128, 65_536, 64, 65_536)
    );
    assert_eq!(
        (TOMBSTONE_RETENTION_MS, MIN_HEARTBEAT_TIMEOUT_MS),
        (60_000, 3_000)
    );
    let registry = Registry::new(RegistryConfig {
        heartbeat_ms: 1_200,
        owner: 7,
    });
    assert_eq!(registry.heartbeat_timeout_ms(), 4_200);
}

/// All controllers, of whatever version, send a runner to the same one.
#[test]
fn each_runner_goes_to_the_controller_that_it_went_to() {
    let controllers: Vec<SocketAddr> = (1..=5)
        .map(|n| SocketAddr::from(([10, 0, 0, n], 8_146)))
        .collect();
    let at = |id: &str| {
        home_controller(id, &controllers)
            .map(|addr| addr.to_string())
            .unwrap_or_default()
    };
    let ids = [
        "i-1",
        "i-2",
        "i-3",
        "i-4",
        "i-5",
        "i-6",
        "i-7",
        "i-8",
        "i-7f3a91c2",
        "runner",
    ];
    let homes: Vec<String> = ids.iter().map(|id| format!("{id} {}", at(id))).collect();
    insta::assert_snapshot!(homes.join("\n"), @"
    i-1 10.0.0.5:8146
    i-2 10.0.0.2:8146
    i-3 10.0.0.5:8146
    i-4 10.0.0.2:8146
    i-5 10.0.0.3:8146
    i-6 10.0.0.4:8146
    i-7 10.0.0.4:8146
    i-8 10.0.0.3:8146
    i-7f3a91c2 10.0.0.3:8146
    runner 10.0.0.1:8146
    ");
}
