//! The list that is recorded for a successor process.

use discovery::ListRecord;
use dispatcher_settings::list::{TargetList, TargetState};

#[test]
fn a_target_that_was_ever_listed_stays_recorded_as_gone() {
    let list = |version, full, states: &[(&str, &str)]| {
        let server = |(id, state): &(&str, &str)| {
            format!(r#"{{"id":"{id}","addr":"127.0.0.1:1","state":"{state}"}}"#)
        };
        let servers: Vec<String> = states.iter().map(server).collect();
        let text = format!(
            r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
            servers.join(",")
        );
        serde_json::from_str::<TargetList>(&text).unwrap()
    };
    let mut record = ListRecord::default();
    let (first, moved) = (
        "127.0.0.1:1".parse().unwrap(),
        "127.0.0.1:2".parse().unwrap(),
    );
    record.update(&list(1, true, &[("a", "ready"), ("b", "ready")]), first);
    record.update(&list(2, false, &[("b", "draining"), ("c", "ready")]), first);
    assert_eq!(record.source(), Some(first));
    record.update(&list(3, true, &[("b", "ready")]), moved);
    assert_eq!(
        record.source(),
        Some(moved),
        "the list names the discovery that told it last"
    );
    let states: Vec<_> = record
        .list()
        .servers
        .into_iter()
        .map(|e| (e.id, e.state))
        .collect();
    let expected = [
        ("a", TargetState::Gone),
        ("b", TargetState::Ready),
        ("c", TargetState::Gone),
    ];
    assert_eq!(
        (record.list().version, states),
        (3, expected.map(|(n, s)| (n.to_owned(), s)).to_vec())
    );
}
