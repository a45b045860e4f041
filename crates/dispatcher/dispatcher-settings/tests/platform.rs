//! The configuration: defaults, and messages that name the faulty key.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use dispatch_api::LoadReporting;
use dispatcher_settings::platform::Config;
use rstest::rstest;

const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:80","discovery":"127.0.0.1:85","seed":"8c1f",
"limits":{"memory_mb":192,"sockets":1024},"peer_listen":"127.0.0.1:90","peers":["127.0.0.1:90","127.0.0.2:90"],
"known":{"version":4,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:81","zone":"a","kind":"k","cell":0,
"state":"ready","weight":1.0,"started_ms":0}]},
"settings":{"allowed":{"attempts-cap":3,"peers":true,"conn-idle-ms":10000},"classes":[{"name":"a",
"effect":"pure","slo-ms":250,"hard-limit-ms":5000}],"goal":{"whole":1},"peers-total":2,
"rules":{"cold-ms":1,"fall-ms":1,"start-capacity":0.1,"tip-multiple":3},"tick-ms":5}}"#;

fn parse(text: &str) -> Result<Config, String> {
    Config::parse(text, |name| {
        (name == "ROUTER_LISTEN").then(|| "127.0.0.9:1".into())
    })
    .map_err(|e| e.to_string())
}

#[test]
fn a_valid_configuration_stays_within_its_limits() {
    let config = parse(GOOD).unwrap();
    assert!(config.client_connections + config.target_connections < 1024);
    assert!(
        config.idle < 10_000_000,
        "well before a target would close it"
    );
    assert_eq!(config.peers.map(|p| p.numbers.len()), Some(2));
    let other = parse(&GOOD.replace(r#""listen":"127.0.0.1:80","#, "")).unwrap();
    assert_eq!(
        other.listen.to_string(),
        "127.0.0.9:1",
        "the environment stands in"
    );
}

/// Guards against messages that leave the reader to search.
#[rstest]
#[case(r#""seed":"8c1f""#, r#""seed":"xyz""#, "seed: ")]
#[case(r#""discovery":"127.0.0.1:85","#, "", "discovery: is missing")]
#[case("1024", "50", "limits.sockets: is 50")]
#[case("192", "0", "limits.memory_mb: ")]
#[case(r#""127.0.0.2:90""#, r#""x""#, "peers[1]: ")]
#[case(r#","127.0.0.2:90""#, "", "peers: names 1 of 2")]
#[case(
    r#""attempts-cap":3"#,
    r#""attempts-cap":"3""#,
    "settings.allowed.attempts-cap: "
)]
#[case(
    r#""attempts-cap":3"#,
    r#""attempts-cap":0"#,
    "settings.allowed.attempts-cap: "
)]
#[case(r#""slo-ms":250"#, r#""slo-ms":0"#, "settings.classes[].slo-ms: ")]
#[case("10000", "-1", "settings.allowed.conn-idle-ms: ")]
#[case(r#""slo-ms":250,"#, "", "settings.classes[0].slo-ms: missing field")]
#[case(r#""name":"a","#, "", "settings.classes[0].name: ")]
#[case(r#""settings":{"#, r#""other":{"#, "settings: missing field")]
#[case(
    r#""state":"ready""#,
    r#""state":"asleep""#,
    "known.servers[0].state: "
)]
fn a_fault_names_its_key(#[case] good: &str, #[case] bad: &str, #[case] message: &str) {
    let text = GOOD.replace('\n', "");
    assert!(text.contains(good));
    let error = parse(&text.replace(good, bad)).unwrap_err();
    assert!(error.starts_with(message), "{error}");
}

/// Guards against a dispatcher that waits for loads which no report of its deployment tells, be it
/// that there are none, or that they name other things.
#[rstest]
#[case::none("", LoadReporting::None, false)]
#[case::via_none(r#""report":{"via":"none"},"#, LoadReporting::None, false)]
#[case::free_slots(
    r#""report":{"via":"probe","names":["x0","queue"]},"#,
    LoadReporting::Probes,
    true
)]
#[case::held(
    r#""report":{"via":"answers","names":["concurrent"]},"#,
    LoadReporting::Outcomes,
    true
)]
#[case::not_named(r#""report":{"via":"answers"},"#, LoadReporting::Outcomes, true)]
#[case::no_loads(
    r#""report":{"via":"answers","names":["mean_ms","tps"]},"#,
    LoadReporting::None,
    false
)]
#[case::another_x0(
    r#""specifics":{"report-x0":"free memory"},"report":{"via":"probe","names":["x0"]},"#,
    LoadReporting::None,
    false
)]
fn only_reports_with_loads_are_requested(
    #[case] report: &str,
    #[case] reports: LoadReporting,
    #[case] probe: bool,
) {
    let text = GOOD.replace(r#""settings":{"#, &format!(r#""settings":{{{report}"#));
    let settings = parse(&text.replace(r#""peers":true"#, r#""peers":true,"probes":true"#))
        .unwrap()
        .settings;
    assert_eq!((settings.reports, settings.limits.probe), (reports, probe));
}

const SPELLED: &str = r#"{"name":"","listen":"127.0.0.1:80","discovery":"127.0.0.1:85","seed":"8c1f",
"limits":{"memory_mb":1024,"sockets":1024},"settings":{"allowed":{"attempts-cap":3,"may-cancel":false,"probes":false,
"peers":false,"second-copies":false,"retry-after":false,"max-retry-after-ms":0,"conn-idle-ms":10000,
"connect-timeout-ms":250,"max-open":20000},"az":0,"me":0,"zones":[],"models":[],"tenants":[],"classes":[{"name":"a",
"effect":"side_effect","group":"cell","memory-span-ms":0,"aim-stretch":0,"slo-ms":250,"hard-limit-ms":5000,"points":0,
"late-worth":0}],"costs":{"probe":0,"waste":0,"peer":0,"cross-zone":0,"handshake":0},"discovery":"pushed",
"goal":{"whole":1,"worst-window":0,"worst-class":0,"worst-tenant":0},"over-share-worth":1,"peers-total":2,
"report":{"names":["depth","x0","concurrent"],"via":"none"},"rules":{"cold-ms":1,"fall-ms":1,"start-capacity":0.1,
"tip-multiple":3,"must-ask-in-ms":10000,"full-may-have-run":false},"specifics":{"class-kind":[-1],"class-stretch":[0],
"progress-ms":0,"report-x0":"free slots","tells-start":false},"tick-ms":5,"weight-source":"fixed","worth-by":"request"}}"#;

const SHORTEST: &str = r#"{"listen":"127.0.0.1:80","discovery":"127.0.0.1:85","seed":"8c1f","settings":{"allowed":
{"attempts-cap":3,"conn-idle-ms":10000},"classes":[{"name":"a","effect":"side_effect","slo-ms":250,"hard-limit-ms":5000}],
"goal":{"whole":1},"peers-total":2,"rules":{"cold-ms":1,"fall-ms":1,"start-capacity":0.1,"tip-multiple":3},"tick-ms":5}}"#;

/// What a file comes to, whatever its parts are called within the program.
fn comes_to(text: &str) -> (String, dispatch_api::Settings) {
    let config = parse(text).unwrap_or_else(|fault| panic!("{fault}: {text}"));
    let summary = serde_json::to_string(&config.summary()).unwrap();
    let rest = (
        config.seed,
        config.me,
        config.memory_bytes,
        config.descriptors,
        config.reports.x0_is_slots,
    );
    (
        format!(
            "{summary} {rest:?} {:?} {:?}",
            config.tenants,
            config.peers.map(|p| p.numbers)
        ),
        config.settings,
    )
}

#[test]
fn an_omitted_key_has_its_default() {
    assert_eq!(comes_to(SHORTEST), comes_to(SPELLED));
}

/// Each key is read under its name: another value of it comes to something else.
#[rstest]
#[case(r#""name":"","#, r#""name":"n","#)]
#[case("127.0.0.1:80", "127.0.0.1:81")]
#[case("127.0.0.1:85", "127.0.0.1:86")]
#[case("8c1f", "8c20")]
#[case(r#""memory_mb":1024"#, r#""memory_mb":512"#)]
#[case(r#""sockets":1024"#, r#""sockets":512"#)]
#[case(r#""seed":"#, r#""admin_addr":"127.0.0.1:87","seed":"#)]
#[case(r#""attempts-cap":3"#, r#""attempts-cap":4"#)]
#[case(r#""may-cancel":false"#, r#""may-cancel":true"#)]
#[case(r#""second-copies":false"#, r#""second-copies":true"#)]
#[case(r#""peers":false"#, r#""peers":true"#)]
#[case(r#""retry-after":false"#, r#""retry-after":true"#)]
#[case(
    r#""retry-after":false,"max-retry-after-ms":0"#,
    r#""retry-after":true,"max-retry-after-ms":9"#
)]
#[case(r#""conn-idle-ms":10000"#, r#""conn-idle-ms":9000"#)]
#[case(r#""connect-timeout-ms":250"#, r#""connect-timeout-ms":300"#)]
#[case(r#""max-open":20000"#, r#""max-open":10000"#)]
#[case(r#""az":0"#, r#""az":1"#)]
#[case(r#""me":0"#, r#""me":1"#)]
#[case(r#""zones":[]"#, r#""zones":["z"]"#)]
#[case(r#""models":[]"#, r#""models":["m"]"#)]
#[case(r#""tenants":[]"#, r#""tenants":[{"name":"t"}]"#)]
#[case(
    r#""tenants":[]"#,
    r#""tenants":[{"name":"t","quota-per-s":1,"portion":0.5}]"#
)]
#[case(r#""name":"a""#, r#""name":"b""#)]
#[case("side_effect", "pure")]
#[case("side_effect", "token")]
#[case(
    r#""side_effect","group":"cell","memory-span-ms":0"#,
    r#""token","group":"all","memory-span-ms":7"#
)]
#[case(r#""aim-stretch":0"#, r#""aim-stretch":1"#)]
#[case(r#""slo-ms":250"#, r#""slo-ms":251"#)]
#[case(r#""hard-limit-ms":5000"#, r#""hard-limit-ms":5001"#)]
#[case(r#""points":0"#, r#""points":1"#)]
#[case(r#""late-worth":0"#, r#""late-worth":1"#)]
#[case(r#""probe":0"#, r#""probe":1"#)]
#[case(r#""waste":0"#, r#""waste":1"#)]
#[case(r#""peer":0"#, r#""peer":1"#)]
#[case(r#""cross-zone":0"#, r#""cross-zone":1"#)]
#[case(r#""handshake":0"#, r#""handshake":1"#)]
#[case("pushed", "on_request")]
#[case(r#""whole":1"#, r#""whole":2"#)]
#[case(r#""worst-window":0"#, r#""worst-window":1"#)]
#[case(r#""worst-class":0"#, r#""worst-class":1"#)]
#[case(r#""worst-tenant":0"#, r#""worst-tenant":1"#)]
#[case(r#""over-share-worth":1"#, r#""over-share-worth":0.5"#)]
#[case(r#""peers-total":2"#, r#""peers-total":3"#)]
#[case(r#""via":"none""#, r#""via":"answers""#)]
#[case(r#""via":"none""#, r#""via":"probe""#)]
#[case(r#""cold-ms":1"#, r#""cold-ms":2"#)]
#[case(r#""fall-ms":1"#, r#""fall-ms":2"#)]
#[case(r#""start-capacity":0.1"#, r#""start-capacity":0.2"#)]
#[case(r#""tip-multiple":3"#, r#""tip-multiple":4"#)]
#[case(r#""full-may-have-run":false"#, r#""full-may-have-run":true"#)]
#[case(r#""cold-ms":1"#, r#""cold-ms":1,"hang-up-within-ms":800"#)]
#[case(
    r#""cold-ms":1"#,
    r#""cold-ms":1,"spare-attempts":2,"extra-ratio":0.5,"extra-window-ms":9"#
)]
#[case(r#""class-kind":[-1]"#, r#""class-kind":[0]"#)]
#[case(r#""progress-ms":0"#, r#""progress-ms":1"#)]
#[case(r#""report-x0":"free slots""#, r#""report-x0":"else""#)]
#[case(r#""tells-start":false"#, r#""tells-start":true"#)]
#[case(r#""tick-ms":5"#, r#""tick-ms":6"#)]
#[case(r#""weight-source":"fixed""#, r#""weight-source":"live""#)]
#[case(r#""worth-by":"request""#, r#""worth-by":"work""#)]
fn each_key_is_read_under_its_name(#[case] usual: &str, #[case] other: &str) {
    let changed = SPELLED.replacen(usual, other, 1);
    assert_ne!(changed, SPELLED);
    assert_ne!(comes_to(&changed), comes_to(SPELLED));
}

/// What the decisions can't use is named by the key of the file that holds it.
#[rstest]
#[case(r#""peers-total":2"#, r#""peers-total":0"#, "settings.peers-total: ")]
#[case(
    r#""hard-limit-ms":5000"#,
    r#""hard-limit-ms":0"#,
    "settings.classes[].hard-limit-ms: "
)]
#[case(
    r#""aim-stretch":0"#,
    r#""aim-stretch":-1"#,
    "settings.specifics.class-stretch: "
)]
#[case(r#""points":0"#, r#""points":-1"#, "settings.classes[].points: ")]
#[case(
    r#""late-worth":0"#,
    r#""late-worth":2"#,
    "settings.classes[].late-worth: "
)]
#[case(
    r#""tenants":[]"#,
    r#""tenants":[{"name":"t","quota-per-s":-1}]"#,
    "settings.tenants[].quota-per-s: "
)]
#[case(
    r#""tenants":[]"#,
    r#""tenants":[{"name":"t","portion":-1}]"#,
    "settings.tenants[].portion: "
)]
#[case(r#""whole":1"#, r#""whole":-1"#, "settings.goal.whole: ")]
#[case(
    r#""worst-window":0"#,
    r#""worst-window":-1"#,
    "settings.goal.worst-window: "
)]
#[case(
    r#""worst-class":0"#,
    r#""worst-class":-1"#,
    "settings.goal.worst-class: "
)]
#[case(
    r#""worst-tenant":0"#,
    r#""worst-tenant":-1"#,
    "settings.goal.worst-tenant: "
)]
#[case(r#""probe":0"#, r#""probe":-1"#, "settings.costs.probe: ")]
#[case(r#""peer":0"#, r#""peer":-1"#, "settings.costs.peer: ")]
#[case(
    r#""cross-zone":0"#,
    r#""cross-zone":-1"#,
    "settings.costs.cross-zone: "
)]
#[case(r#""handshake":0"#, r#""handshake":-1"#, "settings.costs.handshake: ")]
#[case(r#""waste":0"#, r#""waste":-1"#, "settings.costs.waste: ")]
#[case(
    r#""over-share-worth":1"#,
    r#""over-share-worth":2"#,
    "settings.over-share-worth: "
)]
#[case(
    r#""start-capacity":0.1"#,
    r#""start-capacity":2"#,
    "settings.rules.start-capacity: "
)]
#[case(
    r#""tip-multiple":3"#,
    r#""tip-multiple":-3"#,
    "settings.rules.tip-multiple: "
)]
#[case(
    r#""cold-ms":1"#,
    r#""cold-ms":1,"hang-up-within-ms":0"#,
    "settings.rules.hang-up-within-ms: "
)]
#[case(
    r#""cold-ms":1"#,
    r#""cold-ms":1,"spare-attempts":-2,"extra-window-ms":9"#,
    "settings.rules.spare-attempts: "
)]
#[case(
    r#""cold-ms":1"#,
    r#""cold-ms":1,"extra-ratio":-2,"extra-window-ms":9"#,
    "settings.rules.extra-ratio: "
)]
#[case(
    r#""cold-ms":1"#,
    r#""cold-ms":1,"spare-attempts":2"#,
    "settings.rules.extra-window-ms: "
)]
#[case(
    r#""connect-timeout-ms":250"#,
    r#""connect-timeout-ms":0"#,
    "settings.allowed.connect-timeout-ms: "
)]
fn an_unusable_value_names_its_key(#[case] good: &str, #[case] bad: &str, #[case] message: &str) {
    assert!(SPELLED.contains(good));
    let error = parse(&SPELLED.replacen(good, bad, 1)).unwrap_err();
    assert!(error.starts_with(message), "{error}");
}

#[test]
fn a_list_keeps_the_keys_of_discovery_both_ways() {
    use dispatcher_settings::list::TargetList;
    let full = r#"{"version":4,"full":true,"servers":[{"id":"s","addr":"127.0.0.1:81","zone":"a","kind":"k","cell":3,"state":"ready","started_ms":1.5,"weight":2.5},{"id":"t","addr":"127.0.0.1:82","zone":"","kind":"","cell":0,"state":"draining","started_ms":0.0,"weight":null},{"id":"u","addr":"127.0.0.1:83","zone":"","kind":"","cell":0,"state":"gone","started_ms":0.0,"weight":null}]}"#;
    let list: TargetList = serde_json::from_str(full).unwrap();
    assert_eq!(serde_json::to_string(&list).unwrap(), full);
    let short = r#"{"version":4,"full":false,"servers":[{"id":"t","addr":"127.0.0.1:82","state":"draining","mood":1}]}"#;
    let short: TargetList = serde_json::from_str(short).unwrap();
    assert_eq!(
        (short.servers[0].clone(), short.full),
        (list.servers[1].clone(), false)
    );
}
