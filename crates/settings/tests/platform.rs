//! The configuration: defaults, and messages that name the faulty key.

use api::Reports;
use rstest::rstest;
use settings::platform::Config;

const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:80","discovery":"127.0.0.1:85","seed":"8c1f",
"limits":{"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:90","peers":["127.0.0.1:90","127.0.0.2:90"],
"known":{"version":4,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:81","zone":"a","kind":"k","cell":0,
"state":"ready","weight":1.0,"started_ms":0}]},
"settings":{"allowed":{"attempts-cap":3,"peers":true,"conn-idle-ms":10000},"classes":[{"name":"a",
"effect":"pure","slo-ms":250,"hard-limit-ms":5000}],"goal":{"whole":1},"peers-total":2,
"rules":{"cold-ms":1,"fall-ms":1,"start-capacity":0.1,"tip-multiple":3},"tick-ms":5}}"#;

fn parse(text: &str) -> Result<Config, String> {
    Config::parse(text, |name| (name == "ROUTER_LISTEN").then(|| "127.0.0.9:1".into()))
        .map_err(|e| e.to_string())
}

#[test]
fn a_sound_configuration_keeps_within_its_limits() {
    let config = parse(GOOD).unwrap();
    assert!(config.client_connections + config.target_connections < 1024);
    assert!(config.idle < 10_000_000, "well before a target would close it");
    assert_eq!(config.peers.map(|p| p.numbers.len()), Some(2));
    let other = parse(&GOOD.replace(r#""listen":"127.0.0.1:80","#, "")).unwrap();
    assert_eq!(other.listen.to_string(), "127.0.0.9:1", "the environment stands in");
}

/// Guards against messages that leave the reader to search.
#[rstest]
#[case(r#""seed":"8c1f""#, r#""seed":"xyz""#, "seed: ")]
#[case(r#""discovery":"127.0.0.1:85","#, "", "discovery: is missing")]
#[case("1024", "50", "limits.sockets: is 50")]
#[case("192", "0", "limits.memory_mb: ")]
#[case(r#""127.0.0.2:90""#, r#""x""#, "peers[1]: ")]
#[case(r#","127.0.0.2:90""#, "", "peers: names 1 of 2")]
#[case(r#""attempts-cap":3"#, r#""attempts-cap":"3""#, "settings.allowed.attempts-cap: ")]
#[case(r#""attempts-cap":3"#, r#""attempts-cap":0"#, "settings.allowed.attempts-cap: ")]
#[case(r#""slo-ms":250"#, r#""slo-ms":0"#, "settings.classes[].slo-ms: ")]
#[case("10000", "-1", "settings.allowed.conn-idle-ms: ")]
#[case(r#""slo-ms":250,"#, "", "settings.classes[0].slo-ms: missing field")]
#[case(r#""name":"a","#, "", "settings.classes[0].name: ")]
#[case(r#""settings":{"#, r#""other":{"#, "settings: missing field")]
#[case(r#""state":"ready""#, r#""state":"asleep""#, "known.servers[0].state: ")]
fn a_fault_is_told_by_its_key(#[case] good: &str, #[case] bad: &str, #[case] message: &str) {
    let text = GOOD.replace('\n', "");
    assert!(text.contains(good));
    let error = parse(&text.replace(good, bad)).unwrap_err();
    assert!(error.starts_with(message), "{error}");
}

/// Guards against a dispatcher that waits for loads which no report of its deployment tells, be it that there are none, or that
/// they name other things.
#[rstest]
#[case::none("", Reports::None, false)]
#[case::via_none(r#""report":{"via":"none"},"#, Reports::None, false)]
#[case::free_slots(r#""report":{"via":"probe","names":["x0","queue"]},"#, Reports::Probes, true)]
#[case::held(r#""report":{"via":"answers","names":["concurrent"]},"#, Reports::Outcomes, true)]
#[case::not_named(r#""report":{"via":"answers"},"#, Reports::Outcomes, true)]
#[case::no_loads(r#""report":{"via":"answers","names":["mean_ms","tps"]},"#, Reports::None, false)]
#[case::another_x0(
    r#""specifics":{"report-x0":"free memory"},"report":{"via":"probe","names":["x0"]},"#,
    Reports::None,
    false
)]
fn only_reports_that_tell_loads_are_asked_for(
    #[case] report: &str,
    #[case] reports: Reports,
    #[case] probe: bool,
) {
    let text = GOOD.replace(r#""settings":{"#, &format!(r#""settings":{{{report}"#));
    let settings = parse(&text.replace(r#""peers":true"#, r#""peers":true,"probes":true"#)).unwrap().settings;
    assert_eq!((settings.reports, settings.limits.probe), (reports, probe));
}
