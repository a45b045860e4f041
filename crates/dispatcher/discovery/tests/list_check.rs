//! What is unusual about a list is found and counted by name.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use discovery::{EndpointMapper, Findings, ListCheck};
use dispatcher_settings::list::{ListedTarget, TargetList, TargetState};
use dispatcher_state::Anomaly;
use proptest::prelude::*;

fn mapper() -> EndpointMapper {
    let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    EndpointMapper {
        zones: names(&["a"]),
        kinds: names(&["k"]),
        clock: event_loop::Clock::start(),
        record: None,
    }
}

fn list(version: u64, full: bool, lines: &[(&str, u16, &str, &str, f64)]) -> TargetList {
    let line = |(id, port, zone, state, weight): &(&str, u16, &str, &str, f64)| {
        format!(
            r#"{{"id":"{id}","addr":"127.0.0.1:{port}","zone":"{zone}","kind":"k","state":"{state}","weight":{weight}}}"#
        )
    };
    let lines: Vec<String> = lines.iter().map(line).collect();
    let text = format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        lines.join(",")
    );
    serde_json::from_str(&text).unwrap()
}

#[test]
fn each_anomaly_of_a_list_is_found_with_its_count() {
    let (mut lists, mapper) = (ListCheck::default(), mapper());
    let lines: Vec<(String, u16)> = (0..2_000).map(|n| (format!("s-{n}"), 1_000 + n)).collect();
    let ready: Vec<_> = lines
        .iter()
        .map(|(id, port)| (id.as_str(), *port, "a", "ready", 1.0))
        .collect();
    assert_eq!(
        lists.check(&list(5, true, &ready), &mapper),
        Findings::new(),
        "an ordinary list of thousands"
    );
    let odd = [
        ("s-1", 1, "a", "ready", 1.0),
        ("s-2", 1, "b", "draining", 1.0e300),
        ("s-2", 1, "b", "ready", -1.0),
    ];
    let found = lists.check(&list(4, true, &odd), &mapper);
    let counts: Vec<(Anomaly, u64)> = found
        .iter()
        .map(|(odd, finding)| (*odd, finding.count))
        .collect();
    let expected = [
        (Anomaly::ShrunkenList, 1),
        (Anomaly::OlderList, 1),
        (Anomaly::RepeatedTarget, 1),
        (Anomaly::SharedAddress, 1),
        (Anomaly::UnknownLocation, 2),
        (Anomaly::InvalidWeight, 2),
    ];
    assert_eq!(counts, expected);
    assert_eq!(
        found[&Anomaly::SharedAddress].example,
        "s-1 and s-2 are both at 127.0.0.1:1"
    );
    lists.discovery_moved();
    assert!(
        lists
            .check(&list(1, true, &[]), &mapper)
            .keys()
            .eq([&Anomaly::EmptyList]),
        "of a new discovery"
    );
}

proptest! {
    #[test]
    fn any_list_is_checked_without_a_panic(ids in prop::collection::vec((0u8..4, 0u16..3, any::<f64>(), 0u8..3), 0..40), full: bool) {
        let mut lists = ListCheck::default();
        let servers = ids.into_iter().map(|(id, port, weight, state)| ListedTarget {
            id: id.to_string(),
            addr: ([127, 0, 0, 1], port).into(),
            zone: "a".into(),
            kind: String::new(),
            cell: 0,
            state: [TargetState::Ready, TargetState::Draining, TargetState::Gone][usize::from(state)],
            started_ms: weight,
            weight: Some(weight),
        });
        let list = TargetList { version: 1, full, servers: servers.collect() };
        lists.check(&list, &mapper());
        prop_assert!(!lists.check(&list, &mapper()).contains_key(&Anomaly::OlderList));
    }
}
