//! Reloading the settings file: checked completely before anything of it is taken.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use proptest::prelude::*;
use tier_settings::{Reload, Settings};

const FILE: &str = r#"
Node = "store-north-1"
Role = "batch-store"
Ip = "10.9.0.7"
Zone = "north"
PortRange = [7200,7215]
Peers = ["10.9.0.7:9001","10.9.1.7:9001"]
Bootstrap = true
DataDir = "/data/store"
HeartbeatMs = 900
[Limits]
RamMb = 260
[FaultBudget]
Nodes = 1
[Bounds]
DrainMs = 1500
GraceS = 7
PollS = 120
QuotaExcess = 0.25
"#;

fn read(text: &str) -> Settings {
    Settings::parse(text).unwrap()
}

fn again(from: &str, to: &str) -> Result<Reload, String> {
    assert!(FILE.contains(from));
    read(FILE)
        .reload(&read(&FILE.replace(from, to)))
        .map_err(|e| e.to_string())
}

#[test]
fn peers_and_bounds_reload_and_all_else_requires_a_restart() {
    let same = read(FILE).reload(&read(FILE)).unwrap();
    assert!(!same.changed && same.restart_required.is_empty() && same.settings == read(FILE));
    let peers = again("\"10.9.0.7:9001\",", "").unwrap();
    assert!(peers.changed && peers.settings.peers.len() == 1 && peers.restart_required.is_empty());
    assert_eq!(
        again("GraceS = 7", "GraceS = 9")
            .unwrap()
            .settings
            .bounds
            .grace_ms,
        9_000
    );
    // Neither the zone that others know it by, nor what its disk was laid out by.
    for (from, to, key) in [
        ("Nodes = 1", "Nodes = 2", "FaultBudget"),
        ("RamMb = 260", "RamMb = 300", "Limits"),
        ("\"north\"", "\"south\"", "Zone"),
        ("/data/store", "/data/other", "DataDir"),
        ("HeartbeatMs = 900", "HeartbeatMs = 901", "HeartbeatMs"),
    ] {
        let reload = again(from, to).unwrap();
        assert_eq!(
            (reload.changed, &reload.restart_required[..]),
            (false, &[key][..])
        );
        assert_eq!(reload.settings, read(FILE));
    }
    // It differs after the first start, and has no effect then.
    assert_eq!(
        again("Bootstrap = true", "Bootstrap = false")
            .unwrap()
            .restart_required,
        [""; 0]
    );
    // An added key is taken, and must stay from then on.
    let more = again("DrainMs = 1500", "DrainMs = 1500\nAckMs = 3000")
        .unwrap()
        .settings;
    assert_eq!(more.bounds.ack_ms, 3_000);
    assert_eq!(
        more.reload(&read(FILE)).unwrap_err().to_string(),
        "S113 Bounds.AckMs: stood in the file before, and is missing"
    );
}

#[test]
fn the_file_of_another_process_is_refused() {
    insta::assert_snapshot!(again("store-north-1", "store-north-2").unwrap_err(), @"S112 Node: is another process's");
    insta::assert_snapshot!(again("batch-store", "gateway").unwrap_err(), @"S112 Role: is another process's");
    insta::assert_snapshot!(again("Ip = \"10.9.0.7\"", "Ip = \"10.9.0.8\"").unwrap_err(), @"S112 Ip: is another process's");
    insta::assert_snapshot!(again("7215", "7216").unwrap_err(), @"S112 PortRange: is another process's");
}

#[test]
fn a_file_that_lacks_keys_it_had_is_refused() {
    insta::assert_snapshot!(again("PollS = 120\n", "").unwrap_err(), @"S113 Bounds.PollS: stood in the file before, and is missing");
    insta::assert_snapshot!(again("Peers = [\"10.9.0.7:9001\",\"10.9.1.7:9001\"]\n", "").unwrap_err(), @"S113 Peers: stood in the file before, and is missing");
    insta::assert_snapshot!(again("[\"10.9.0.7:9001\",\"10.9.1.7:9001\"]", "[]").unwrap_err(), @"S113 Peers: names nobody any more");
    insta::assert_snapshot!(again("0.25\n", "0.2").unwrap_err(), @"S113 the file: has no end to its last line");
    // A file that never had an end to its last line need not have one.
    let first = read(FILE.trim_end());
    assert!(first.reload(&read(FILE.trim_end())).is_ok());
}

/// No part of the file may be missing.
#[test]
fn a_file_truncated_anywhere_is_refused() {
    let running = read(FILE);
    for cut in 0..FILE.len() {
        let Some(text) = FILE.get(..cut) else {
            continue;
        };
        let taken = Settings::parse(text).and_then(|file| running.reload(&file));
        assert!(taken.is_err(), "taken when cut at byte {cut}: {text}");
    }
}

proptest! {
    /// A file of which bytes were changed, doubled or lost: refused, or its peers and bounds are
    /// taken completely.
    #[test]
    fn a_corrupt_file_is_reloaded_completely_or_not_at_all(
        at in 0..FILE.len(), len in 0usize..40, with in "[ -~\\n]{0,20}", doubled in any::<bool>(),
    ) {
        let end = (at + len).min(FILE.len());
        let mut text = FILE[..at].to_owned();
        text.push_str(if doubled { &FILE[at..end] } else { &with });
        text.push_str(&FILE[if doubled { at } else { end }..]);
        let running = read(FILE);
        if let Ok(file) = Settings::parse(&text) {
            if let Ok(reload) = running.reload(&file) {
                prop_assert_eq!((&reload.settings.peers, reload.settings.bounds), (&file.peers, file.bounds));
                let mut rest = reload.settings.clone();
                (rest.peers, rest.bounds) = (running.peers.clone(), running.bounds);
                prop_assert!(rest == running, "something else was changed");
                prop_assert!(!file.peers.is_empty());
            }
        }
    }
}
