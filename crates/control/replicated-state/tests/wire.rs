//! The bytes of the entries, and the numbers and names that the processes of the tier go by.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use replicated_state::{
    decode_addresses, encode_addresses, rollout_key, runner_hash, AnswerCounts, Dispatcher,
    RolloutEntry, RolloutReport, RolloutState, RouteReport, CONTROLLERS_KEY, DISPATCHER_KEY_PREFIX,
    HELLO, HELLO_INTERVAL_MS, RELAY, ROLLOUT_REPORT,
};
use std::net::SocketAddr;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

#[test]
fn kinds_of_frames_and_names_of_entries_stay() {
    assert_eq!((HELLO, RELAY, HELLO_INTERVAL_MS), (0x0105, 0x0201, 1_000));
    assert_eq!(
        (CONTROLLERS_KEY, DISPATCHER_KEY_PREFIX),
        ("controllers", "node/")
    );
}

#[test]
fn a_list_of_addresses_has_these_bytes() {
    let list: Vec<SocketAddr> = vec![
        "10.1.2.3:7660".parse().unwrap(),
        "[fd00::12]:65535".parse().unwrap(),
    ];
    let encoded =
        "0200000000000000000000000000ffff0a010203ec1dfd000000000000000000000000000012ffff";
    assert_eq!(hex(&encode_addresses(&list)), encoded);
    assert_eq!(decode_addresses(&bytes(encoded)).expect("a list"), list);
    assert_eq!(hex(&encode_addresses(&[])), "00000000");
}

#[test]
fn a_list_of_addresses_is_bounded() {
    let addr: SocketAddr = "10.1.2.3:7660".parse().unwrap();
    let encoded = encode_addresses(&vec![addr; 5_000]);
    assert_eq!(
        (encoded.len(), &encoded[..4]),
        (4 + 4_096 * 18, &[0, 0x10, 0, 0][..])
    );
    assert_eq!(decode_addresses(&encoded).expect("a list").len(), 4_096);
    let mut more = encoded.to_vec();
    more[..4].copy_from_slice(&4_097_u32.to_le_bytes());
    more.extend([0; 18]);
    assert!(decode_addresses(&more).is_err());
}

#[test]
fn a_dispatcher_has_these_bytes() {
    let dispatcher = Dispatcher {
        addr: "10.1.2.3:7661".parse().unwrap(),
        id: 0x0102_0304_0506_0708,
        owner: 0x1112_1314_1516_1718,
        zone: "zone-a".into(),
    };
    let encoded =
        "00000000000000000000ffff0a010203ed1d0807060504030201181716151413121106007a6f6e652d61";
    assert_eq!(hex(&dispatcher.encode()), encoded);
    assert_eq!(
        Dispatcher::decode(&bytes(encoded)).expect("an entry"),
        dispatcher
    );
    assert!(Dispatcher::decode(&bytes(encoded)[..40]).is_err());
}

#[test]
fn names_and_numbers_of_rollouts_stay() {
    assert_eq!(ROLLOUT_REPORT, 0x0106);
    assert_eq!(rollout_key("s"), "rollout/s");
    assert_eq!(runner_hash("i-1"), RUNNER_HASH);
}

/// All gateways must order runners alike, whatever their version.
const RUNNER_HASH: u64 = 4_025_801_420_380_823_569;

#[test]
fn a_rollout_entry_has_these_bytes() {
    let entry = RolloutEntry {
        target: "v2".into(),
        state: RolloutState::Reverted,
        share: 60_000,
        max_runner_hash: 0x0102_0304_0506_0708,
        report_to: "10.1.2.3:7660".parse().unwrap(),
    };
    let encoded = "027632".to_owned()
        + "02"
        + "60ea0000"
        + "0807060504030201"
        + "00000000000000000000ffff0a010203ec1d";
    assert_eq!(hex(&entry.encode()), encoded);
    assert_eq!(RolloutEntry::decode(&bytes(&encoded)).unwrap(), entry);
    assert!(RolloutEntry::decode(&bytes("0276320360ea0000")).is_err());
}

#[test]
fn a_rollout_report_has_these_bytes() {
    let route = RouteReport {
        route: "r".into(),
        old: AnswerCounts {
            answers: 300,
            bad: 2,
        },
        new: AnswerCounts { answers: 4, bad: 1 },
    };
    let report = RolloutReport {
        service: "s".into(),
        rollout: 9,
        share: 1_000_000,
        old_in_flight: 5,
        routes: vec![route],
    };
    let encoded = "0173".to_owned()
        + "0900000000000000"
        + "40420f00"
        + "05000000"
        + "01"
        + "0172"
        + "2c01000002000000"
        + "0400000001000000";
    assert_eq!(hex(&report.encode()), encoded);
    assert_eq!(RolloutReport::decode(&bytes(&encoded)).unwrap(), report);
    assert!(RolloutReport::decode(&bytes("0173090000000000000040420f000500000041")).is_err());
}
