//! The error of each fault, and that any text is read or refused.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use proptest::prelude::*;
use tier_settings::{Bounds, Settings, CODES};

const LEAST: &str = "Node = 'a'\nRole = 'r'\nIp = '127.0.0.1'\nPortRange = [1, 3]\n";

fn fault(text: &str) -> String {
    Settings::parse(text).unwrap_err().to_string()
}

/// The error of a minimal file with another line.
fn with(line: &str) -> String {
    fault(&format!("{LEAST}{line}\n"))
}

#[test]
fn each_error_has_its_code_key_and_line() {
    insta::assert_snapshot!(fault("Node = 'a'\nRole = \n"), @"S104 the file (line 2): is no TOML: string values must be quoted, expected literal string");
    insta::assert_snapshot!(fault(""), @"S105 Node: is missing");
    insta::assert_snapshot!(fault(&LEAST.replace("Node = 'a'", "Node = ''")), @"S107 Node (line 1): is empty");
    insta::assert_snapshot!(fault(&LEAST.replace("'127.0.0.1'", "'somewhere'")), @r##"S108 Ip (line 3): "somewhere" is no IP number"##);
    insta::assert_snapshot!(fault(&LEAST.replace("[1, 3]", "[3, 1]")), @"S109 PortRange (line 4): must be two ports, from 1 to 65,535, the first not above the last");
    insta::assert_snapshot!(fault(&LEAST.replace("[1, 3]", "[0, 1]")), @"S109 PortRange (line 4): must be two ports, from 1 to 65,535, the first not above the last");
    insta::assert_snapshot!(fault(&LEAST.replace("[1, 3]", "[1, 65536]")), @"S109 PortRange (line 4): must be two ports, from 1 to 65,535, the first not above the last");
    insta::assert_snapshot!(fault(&LEAST.replace("[1, 3]", "[1]")), @"S109 PortRange (line 4): must be two ports, from 1 to 65,535, the first not above the last");
    insta::assert_snapshot!(fault(&LEAST.replace("[1, 3]", "7")), @"S106 PortRange (line 4): must be a list");
    insta::assert_snapshot!(with("Zone = 5"), @"S106 Zone (line 5): must be a text");
    insta::assert_snapshot!(with("Zone = \"a\\nb\""), @"S107 Zone (line 5): holds control characters");
    insta::assert_snapshot!(with(&format!("Zone = '{}'", "z".repeat(1_025))), @"S107 Zone (line 5): is longer than 1,024 bytes");
    insta::assert_snapshot!(with("Serves = 'ctl'"), @"S106 Serves (line 5): must be a list");
    insta::assert_snapshot!(with("Serves = ['ctl', 1]"), @"S106 Serves (line 5): must be a text");
    insta::assert_snapshot!(with("Bootstrap = 'yes'"), @"S106 Bootstrap (line 5): must be true or false");
    insta::assert_snapshot!(with("Peers = ['10.0.0.1:80', '10.0.0.2']"), @r##"S108 Peers (line 5): "10.0.0.2" is no IP number with a port"##);
    insta::assert_snapshot!(with(&format!("Serves = [{}]", "'x',".repeat(4_097))), @"S111 Serves (line 5): has more than 4,096 entries");
    insta::assert_snapshot!(with("HeartbeatMs = 0"), @"S110 HeartbeatMs (line 5): must be from 10 to 600000, but is 0");
    insta::assert_snapshot!(with("[Bind]\nHttp = 'here:80'"), @r##"S108 Bind.Http (line 6): "here:80" is no IP number with a port"##);
    insta::assert_snapshot!(with("Limits = 3"), @"S106 Limits (line 5): must be a table");
    insta::assert_snapshot!(with("[Limits]\nRamMb = -4"), @"S110 Limits.RamMb (line 6): must be from 1 to 1000000000, but is -4");
    insta::assert_snapshot!(with("[Limits]\nCpuFrac = nan"), @"S106 Limits.CpuFrac (line 6): must be a figure");
    insta::assert_snapshot!(with("[Limits]\nNofile = true"), @"S106 Limits.Nofile (line 6): must be a figure");
    insta::assert_snapshot!(with("[FaultBudget]\nNodes = 99999999"), @"S110 FaultBudget.Nodes (line 6): must be from 0 to 10000, but is 99999999");
    insta::assert_snapshot!(with("[Bounds]\nSyncS = 90000"), @"S110 Bounds.SyncS (line 6): must be from 0 to 86400, but is 90000");
    insta::assert_snapshot!(with("[Bounds]\nQuotaExcess = '0.1'"), @"S106 Bounds.QuotaExcess (line 6): must be a figure");
    insta::assert_snapshot!(with("[Zones]\na = 1"), @"S106 Zones.a (line 6): must be a text");
}

#[test]
fn codes_are_unique_and_rise() {
    assert!(CODES.windows(2).all(|pair| pair[0].0 < pair[1].0));
    assert!(CODES
        .iter()
        .all(|(code, name, said)| (100..200).contains(code)
            && !name.is_empty()
            && said.ends_with('.')));
}

#[test]
fn deep_nesting_takes_no_stack() {
    for deep in [
        "[".repeat(500_000),
        "{a=".repeat(300_000),
        format!("a{} = 1", ".a".repeat(400_000)),
        format!("[a{}]", ".a".repeat(400_000)),
    ] {
        assert!(Settings::parse(&format!("x = {deep}")).is_err());
        assert!(Settings::parse(&deep).is_err());
    }
}

proptest! {
    #[test]
    fn arbitrary_text_is_read_or_refused(text in "\\PC*") {
        let _ = Settings::parse(&text);
    }

    /// Any value at any key: read, or refused with that key.
    #[test]
    fn any_value_at_any_key_is_read_or_refused_by_its_key(
        key in 0..Bounds::KEYS.len(),
        value in prop_oneof![any::<i64>().prop_map(|n| n.to_string()), any::<f64>().prop_map(|n| format!("{n:?}").replace("NaN", "nan")),
            any::<bool>().prop_map(|b| b.to_string()), "'[a-z]{0,5}'", "\\[[0-9]?\\]", "\\{\\}"],
    ) {
        let key = Bounds::KEYS[key].key;
        if let Err(error) = Settings::parse(&format!("{LEAST}[Bounds]\n{key} = {value}\n")) {
            prop_assert_eq!(error.key(), format!("Bounds.{key}"));
            prop_assert_eq!(error.line(), Some(6));
            prop_assert!(CODES.iter().any(|(code, ..)| *code == error.code()));
        }
    }

    /// A file that was truncated or changed while it was written.
    #[test]
    fn a_corrupt_file_is_read_or_refused(at in 0..LEAST.len(), with in any::<char>(), cut in any::<bool>()) {
        let mut text: String = LEAST.chars().take(at).collect();
        text.push(with);
        if !cut {
            text.extend(LEAST.chars().skip(at + 1));
        }
        let _ = Settings::parse(&text);
    }
}
