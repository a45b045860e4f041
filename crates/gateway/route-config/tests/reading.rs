//! What a valid configuration comes to, and that none is refused for what it may carry.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use route_config::{Backend, Config, Limits, RouteKind, Target, MAX_ROUTES};
use rstest::rstest;

/// One with everything that a configuration may say.
const COMPLETE: &str = r#"{"Gen":12,
"Routes":[
 {"Name":"r-chat","Host":"Talk.example:80","Prefix":"/chat/","Kind":"streaming","TimeoutMs":4500,"TargetMs":250,"Prio":1,
  "Split":[{"Svc":"big","Weight":70},{"Svc":"new","Weight":30}],"Tries":3,"Sticky":true,"Resumable":true,"gap_aim_ms":180},
 {"Name":"r-look","Host":"talk.example","Prefix":"/look/","Kind":"idempotent","TimeoutMs":900,"TargetMs":100,"Prio":0,"Svc":"new","Tries":2,
  "Sticky":false,"Resumable":false},
 {"Name":"r-buy","Host":"talk.example","Prefix":"/","Kind":"mutating","TimeoutMs":1500.5,"Svc":"new"},
 {"Name":"r-batch jobs","Host":"lots.example","Prefix":"/lots/","Kind":"bulk","TimeoutMs":2000,"TargetMs":700,"DueMs":30000,"RetainS":45.5,
  "MaxQueued":120000,"Prio":2,"Svc":"big","Tries":4,"Sticky":true,"gap_aim_ms":300}],
"Svcs":[
 {"Name":"big","HealthPath":"/health","MaxConns":300,"Proto":"h1","Tls":false,
  "Backend":{"Slots":32,"KvCapacity":300000,"KvTokenBytes":131072,"LinkMbps":1200000.0,"stride":12,"Models":[{"Name":"m"},{"Name":"n","Gen":2}]}},
 {"Name":"new","HealthPath":"/healthz","MaxConns":90,"Proto":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":8192,"MaxBodyBytes":1048576,"HeaderTimeoutMs":2500,"IdleTimeoutMs":9000}}"#;

/// A configuration of one service and these routes.
fn routes(routes: &str) -> Config {
    Config::read(format!(r#"{{"Gen":1,"Svcs":[{{"Name":"s"}}],"Routes":[{routes}]}}"#).as_bytes())
        .unwrap()
}

fn target(service: &str, weight: f64) -> Target {
    Target {
        service: service.into(),
        weight,
    }
}

#[test]
fn every_member_of_a_route_is_read() {
    let config = Config::read(COMPLETE.as_bytes()).unwrap();
    assert_eq!(config.version, 12);
    let chat = &config.routes[0];
    assert_eq!(
        (chat.name.as_str(), chat.host.as_str(), chat.prefix.as_str()),
        ("r-chat", "talk.example", "/chat/")
    );
    assert_eq!(
        (chat.kind, chat.timeout_ms, chat.target_ms, chat.priority),
        (RouteKind::Streaming, 4_500, 250, 1)
    );
    assert_eq!(
        (
            chat.max_attempts,
            chat.sticky,
            chat.resumable,
            chat.event_gap_target_ms
        ),
        (3, true, true, Some(180))
    );
    assert_eq!(chat.targets, [target("big", 70.0), target("new", 30.0)]);
    let look = &config.routes[1];
    assert_eq!(
        (look.kind, look.targets.as_slice(), look.event_gap_target_ms),
        (RouteKind::Idempotent, &[target("new", 1.0)][..], None)
    );
    let buy = &config.routes[2];
    assert_eq!(
        (buy.kind, buy.timeout_ms, buy.target_ms, buy.max_attempts),
        (RouteKind::Mutating, 1_501, 1_501, 1)
    );
    let batch_jobs = &config.routes[3];
    assert_eq!(
        (
            batch_jobs.kind,
            batch_jobs.due_ms,
            batch_jobs.retain_ms,
            batch_jobs.max_queued
        ),
        (RouteKind::Bulk, 30_000, 45_500, 120_000)
    );
    assert_eq!(
        (
            batch_jobs.max_attempts,
            batch_jobs.event_gap_target_ms,
            batch_jobs.sticky
        ),
        (4, Some(300), true)
    );
}

#[test]
fn every_member_of_a_service_is_read() {
    let config = Config::read(COMPLETE.as_bytes()).unwrap();
    let big = config.service("big").unwrap();
    assert_eq!(
        (
            big.health_path.as_str(),
            big.max_conns,
            big.protocol.as_str(),
            big.tls
        ),
        ("/health", 300, "h1", false)
    );
    let backend = Backend {
        slots: 32,
        kv_capacity: 300_000,
        kv_token_bytes: 131_072,
        link_mbps: 1_200_000.0,
        stride: 12,
        models: vec!["m".into(), "n".into()],
    };
    assert_eq!(big.backend, Some(backend));
    assert_eq!(config.service("new").unwrap().backend, None);
    assert!(config.service("old").is_none());
}

#[test]
fn every_limit_is_read() {
    let config = Config::read(COMPLETE.as_bytes()).unwrap();
    let limits = Limits {
        max_header_bytes: 8_192,
        max_body_bytes: 1_048_576,
        header_timeout_ms: 2_500,
        idle_timeout_ms: 9_000,
    };
    assert_eq!(config.limits, limits);
}

#[test]
fn missing_members_have_defaults() {
    let config = routes(
        r#"{"Host":"h","Prefix":"/p/","Svc":"s"},{"Host":"h","Prefix":"/q/","Svc":"s","Kind":"bulk","DueMs":5000}"#,
    );
    let plain = &config.routes[0];
    assert_eq!(
        (
            plain.name.as_str(),
            plain.kind,
            plain.timeout_ms,
            plain.target_ms
        ),
        ("h/p/", RouteKind::Mutating, 30_000, 30_000)
    );
    assert_eq!(
        (
            plain.due_ms,
            plain.retain_ms,
            plain.max_queued,
            plain.priority,
            plain.max_attempts
        ),
        (0, 0, 0, 0, 1)
    );
    assert_eq!(
        (config.routes[1].due_ms, config.routes[1].retain_ms),
        (5_000, 10_000)
    );
    let svc = config.service("s").unwrap();
    assert_eq!(
        (
            svc.health_path.as_str(),
            svc.max_conns,
            svc.protocol.as_str(),
            svc.tls
        ),
        ("/healthz", 100, "h1", false)
    );
    assert_eq!(config.limits, Limits::default());
    assert!(
        Config::default().route("h", "/p/").is_none(),
        "before the first one"
    );
}

#[rstest]
#[case::no_routes(r#"{"Gen":1,"Routes":[],"Svcs":[]}"#)]
#[case::null_lists(r#"{"Gen":1,"Routes":null,"Svcs":null,"Limits":null}"#)]
#[case::route_without_weight(r#"{"Gen":1,"Svcs":[{"Name":"s"},{"Name":"t"}],"Routes":[{"Host":"h","Prefix":"/","Split":[{"Svc":"s","Weight":0},{"Svc":"t","Weight":0.01}]}]}"#)]
#[case::service_and_empty_split(
    r#"{"Gen":1,"Svcs":[{"Name":"s"}],"Routes":[{"Host":"h","Prefix":"/","Svc":"s","Split":[]}]}"#
)]
#[case::service_and_no_split(
    r#"{"Gen":1,"Svcs":[{"Name":"s"}],"Routes":[{"Host":"h","Prefix":"/","Svc":"s","Split":null}]}"#
)]
#[case::split_and_empty_service(
    r#"{"Gen":1,"Svcs":[{"Name":"s"}],"Routes":[{"Host":"h","Prefix":"/","Svc":"","Split":[{"Svc":"s"}]}]}"#
)]
#[case::one_service_twice_in_a_split(r#"{"Gen":1,"Svcs":[{"Name":"s"}],"Routes":[{"Host":"h","Prefix":"/","Split":[{"Svc":"s","Weight":1},{"Svc":"s","Weight":2}]}]}"#)]
#[case::one_name_for_two_routes(r#"{"Gen":1,"Svcs":[{"Name":"s"}],"Routes":[{"Name":"r","Host":"h","Prefix":"/a/","Svc":"s"},{"Name":"r","Host":"h","Prefix":"/b/","Svc":"s"}]}"#)]
#[case::unknown_members(r#"{"Gen":1,"Tenants":[{"Name":"a","Quotas":{"r":[[5]]}}],"Svcs":[{"Name":"s","Weights":"w-2","Backend":{"Odd":[1]}}],"Routes":[{"Host":"h","Prefix":"/","Svc":"s","Tenants":{"a":{"MaxQueued":5}}}],"Limits":{"MaxFun":-1}}"#)]
#[case::zeros_where_allowed(r#"{"Gen":1,"Svcs":[{"Name":"s","MaxConns":0}],"Routes":[{"Host":"h","Prefix":"/","Svc":"s","TargetMs":0,"Tries":0,"gap_aim_ms":0,"MaxQueued":0}],"Limits":{"MaxBodyBytes":0}}"#)]
#[case::numbers_in_other_notations(r#"{"Gen":1e3,"Svcs":[{"Name":"s","MaxConns":2.0E1}],"Routes":[{"Host":"h","Prefix":"/","Svc":"s","TimeoutMs":5000.0,"Prio":-0}]}"#)]
#[case::escapes(
    "{\"Gen\":1,\"Routes\":[],\"Svcs\":[{\"Name\":\"\\u00e9\\ud83d\\ude00\\\"/\"}]}\r\n\t "
)]
#[case::byte_order_mark("\u{feff}{\"Gen\":1,\"Routes\":[],\"Svcs\":[]}")]
#[case::models_by_name(
    r#"{"Gen":1,"Routes":[],"Svcs":[{"Name":"s","Backend":{"Models":["m","n"]}}]}"#
)]
fn valid_configurations_are_never_rejected(#[case] body: &str) {
    assert_eq!(Config::read(body.as_bytes()).err(), None);
}

#[test]
fn numbers_in_other_notations_are_the_same_numbers() {
    let config =
        Config::read(br#"{"Gen":1.2e1,"Routes":[],"Svcs":[{"Name":"s","MaxConns":2.0E1}]}"#)
            .unwrap();
    assert_eq!((config.version, config.services[0].max_conns), (12, 20));
    let exact = Config::read(br#"{"Gen":9007199254740991,"Routes":[],"Svcs":[]}"#).unwrap();
    assert_eq!(exact.version, 9_007_199_254_740_991);
}

/// As many routes as there may be, with all their members, within the bounds of the body.
#[test]
fn largest_configuration_is_read() {
    let route = |n: usize| {
        format!(
            r#"{{"Name":"r-{n:05}","Host":"host-{}.example","Prefix":"/p{n:05}/","Kind":"streaming","TimeoutMs":5000,"TargetMs":200,"Prio":0,"Split":[{{"Svc":"s","Weight":90}},{{"Svc":"t","Weight":10}}],"Tries":2,"Sticky":true,"Resumable":true,"gap_aim_ms":250}}"#,
            n % 50
        )
    };
    let body = |routes: usize| {
        let routes: Vec<String> = (0..routes).map(route).collect();
        format!(
            r#"{{"Gen":1,"Routes":[{}],"Svcs":[{{"Name":"s"}},{{"Name":"t"}}]}}"#,
            routes.join(",")
        )
    };
    let config = Config::read(body(MAX_ROUTES).as_bytes()).unwrap();
    assert_eq!(config.routes.len(), MAX_ROUTES);
    assert_eq!(
        config.route("host-7.example", "/p09957/x").unwrap().name,
        "r-09957"
    );
    assert_eq!(
        Config::read(body(MAX_ROUTES + 1).as_bytes())
            .unwrap_err()
            .code(),
        211
    );
}
