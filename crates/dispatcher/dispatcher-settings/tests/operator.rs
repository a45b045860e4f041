//! The operators' file: what is in force without a word, and messages that name line, key and what
//! would be right.

use dispatcher_settings::operator::{LogFormat, OperatorConfig};
use rstest::rstest;
use std::path::Path;

const GOOD: &str = r#"log { level = "debug" }
admin {
  listen = "127.0.0.1:9901"
}
handover { folder = "/var/lib/fordrelay" }
membership { period_ms = 500 }
levels {
  level "trim" {
    enter {
      wait_ms = 100
      late    = { settle = 0.2 }
    }
    leave {
      wait_ms = 50
    }
    class "live-score" {
      admit = "none"
    }
  }
}
"#;

fn classes() -> Vec<String> {
    ["live-score", "review", "settle"]
        .map(str::to_owned)
        .to_vec()
}

fn read(text: &str) -> Result<Option<degradation::DegradationConfig>, String> {
    let parsed = OperatorConfig::parse(Path::new("f.hcl"), text).map_err(|e| e.to_string())?;
    parsed
        .0
        .degradation(&classes(), &parsed.1)
        .map_err(|e| e.to_string())
}

#[test]
fn omitted_keys_have_defaults_and_the_written_file_reads_back() {
    let (empty, source) = OperatorConfig::parse(Path::new("f.hcl"), "").unwrap();
    assert_eq!(
        (empty.log.format, empty.admin.clone()),
        (LogFormat::Text, None)
    );
    assert_eq!(empty.degradation(&classes(), &source).unwrap(), None);
    for text in [GOOD, include_str!("../../../../deploy/fordrelay.hcl")] {
        let (good, _) = OperatorConfig::parse(Path::new("f.hcl"), text).unwrap();
        let printed = hcl::to_string(&good).unwrap();
        assert_eq!(
            OperatorConfig::parse(Path::new("f.hcl"), &printed)
                .unwrap()
                .0,
            good,
            "{printed}"
        );
    }
    let spec = read(GOOD).unwrap().unwrap();
    assert_eq!(spec.levels[0].admission.class(0).admitted_share, 0.0);
    assert_eq!(
        spec.levels[0].leave.0.len(),
        2,
        "the bound that was not given is half of the other"
    );
    let words = spec.explain(&classes());
    assert!(words.contains("live-score: no new job is taken"), "{words}");
    assert!(
        words.contains("share of settle not served in time at least 0.2"),
        "{words}"
    );
}

#[rstest]
#[case("level = \"debug\"", "level = ", "f.hcl:1: ")]
#[case(
    "level = \"debug\"",
    "levels = \"debug\"",
    "f.hcl:1: log.levels: unknown field"
)]
#[case("127.0.0.1:9901", "x", "f.hcl:3: admin.listen: invalid socket address")]
#[case(
    "listen = \"127.0.0.1:9901\"",
    "",
    "f.hcl:2: admin.listen: missing field"
)]
#[case(
    "period_ms = 500",
    "period_ms = 5",
    "f.hcl:6: membership.period_ms: must be 50"
)]
#[case(
    "\"/var",
    "\"var",
    "f.hcl:5: handover.folder: must be an absolute path"
)]
#[case(
    "wait_ms = 100",
    "wait_ms = \"a\"",
    "f.hcl:10: levels.level.trim.enter.wait_ms: invalid type"
)]
#[case(
    "settle = 0.2",
    "stettle = 0.2",
    "f.hcl:11: levels.level.trim.enter.late.stettle: no class is called"
)]
#[case(
    "wait_ms = 50",
    "wait_ms = 500",
    "f.hcl:14: levels.level.trim.leave.wait_ms: must be below"
)]
#[case(
    "\"none\"",
    "1.5",
    "f.hcl:17: levels.level.trim.class.live-score.admit: must be"
)]
#[case(
    "\"none\"",
    "\"some\"",
    "f.hcl:17: levels.level.trim.class.live-score.admit: \"all\", \"none\" or"
)]
#[case(
    "class \"live-score\"",
    "class \"dance\"",
    "f.hcl:16: levels.level.trim.class.dance: no class is called"
)]
fn a_fault_names_its_line_and_key(#[case] good: &str, #[case] bad: &str, #[case] message: &str) {
    assert!(GOOD.contains(good));
    let error = read(&GOOD.replace(good, bad)).unwrap_err();
    assert!(error.starts_with(message), "{error}");
}

/// Every key, with the bounds that it keeps to.
#[rstest]
#[case(
    "listen = \"127.0.0.1:9901\"",
    "listen = \"127.0.0.1:9901\"\n  connections = 0",
    "admin.connections: must be 1 to 256"
)]
#[case(
    "listen = \"127.0.0.1:9901\"",
    "listen = \"127.0.0.1:9901\"\n  connections = 257",
    "admin.connections: must be 1 to 256"
)]
#[case(
    "listen = \"127.0.0.1:9901\"",
    "listen = \"127.0.0.1:9901\"\n  request_ms = 0",
    "admin.request_ms: must be 1 to 60000"
)]
#[case(
    "period_ms = 500",
    "period_ms = 60001",
    "membership.period_ms: must be 50 to 60000"
)]
#[case(
    "admit = \"none\"",
    "admit = -0.1",
    "levels.level.trim.class.live-score.admit: must be \"all\", \"none\" or a share"
)]
#[case(
    "admit = \"none\"",
    "largest_slots = -1",
    "levels.level.trim.class.live-score.largest_slots: must be 0 or more"
)]
#[case(
    "admit = \"none\"",
    "attempts = 0",
    "levels.level.trim.class.live-score.attempts: must be 1 or more"
)]
#[case(
    "admit = \"none\"",
    "headroom = 1001",
    "levels.level.trim.class.live-score.headroom: must be 0 to 1000 slots"
)]
#[case(
    "admit = \"none\"",
    "hold_ms = -1",
    "levels.level.trim.class.live-score.hold_ms: invalid value"
)]
#[case("wait_ms = 100", "lost = 2", "levels.level.trim.enter.lost: ")]
#[case("wait_ms = 100", "refused = 2", "levels.level.trim.enter.refused: ")]
#[case("wait_ms = 100", "flows = -1", "levels.level.trim.enter.flows: ")]
#[case("wait_ms = 100", "memory = 0", "levels.level.trim.enter.memory: ")]
#[case(
    "wait_ms = 100",
    "descriptors = 7",
    "levels.level.trim.enter.descriptors: "
)]
#[case("level = \"debug\"", "format = \"xml\"", "log.format: unknown variant")]
fn a_value_out_of_bounds_names_its_key(
    #[case] good: &str,
    #[case] bad: &str,
    #[case] message: &str,
) {
    assert!(GOOD.contains(good));
    let error = read(&GOOD.replace(good, bad)).unwrap_err();
    let (_, said) = error.split_once(": ").unwrap();
    assert!(said.starts_with(message), "{error}");
}

/// Each key of a level's block is read under its name: what it is given differs from what it is
/// without.
#[rstest]
#[case("enabled = false")]
#[case("look_ms = 90")]
#[case("settle_in_ms = 9000")]
#[case("usual_half_life_ms = 500000")]
#[case("short_ms = 1000")]
#[case("long_ms = 9000")]
#[case("least_answers = 19")]
#[case("step_ms = 11000")]
#[case("relapse_ms = 50000")]
#[case("forgive_ms = 200000")]
#[case("hold_most_ms = 110000")]
#[case("history = 31")]
#[case("force_most_ms = 3500000")]
fn each_key_of_the_levels_is_read_under_its_name(#[case] key: &str) {
    let other = read(&GOOD.replace("levels {", &format!("levels {{\n  {key}"))).unwrap();
    assert_ne!(other, read(GOOD).unwrap());
}

#[test]
fn an_omitted_key_of_the_operators_file_has_its_default() {
    let spelled = "log {\n  format = \"text\"\n  level = \"info\"\n}\nadmin {\n  listen = \"127.0.0.1:9901\"\n  connections = 8
  request_ms = 2000\n}\nmembership {\n  period_ms = 500\n}\nlevels {\n  enabled = true\n  look_ms = 100\n  settle_in_ms = 10000
  usual_half_life_ms = 600000\n  short_ms = 2000\n  long_ms = 8000\n  least_answers = 20\n  step_ms = 12000\n  relapse_ms = 60000
  forgive_ms = 300000\n  hold_most_ms = 120000\n  history = 32\n  force_most_ms = 3600000\n  level \"a\" {\n    enter {\n      for_ms = 500
      wait_ms = 10\n    }\n    leave {\n      for_ms = 22000\n      wait_ms = 5\n    }\n    while_wait_ms = 0\n    retry_after_ms = 1000
    class \"review\" {\n      admit = \"all\"\n      headroom = 0\n    }\n  }\n}\n";
    let short =
        "admin {\n  listen = \"127.0.0.1:9901\"\n}\nmembership {}\nlevels {\n  level \"a\" {\n    enter {
      wait_ms = 10\n    }\n  }\n}\n";
    assert_eq!(read(spelled).unwrap(), read(short).unwrap());
    let parse = |text: &str| OperatorConfig::parse(Path::new("f.hcl"), text).unwrap().0;
    let (spelled, short) = (parse(spelled), parse(short));
    assert_eq!(
        (spelled.log, spelled.admin, spelled.membership),
        (short.log, short.admin, short.membership)
    );
}
