//! The numbers of faults with their names, and each default as a figure: operators' pages state
//! them.

use route_config::{Backend, Config, Limits, RouteKind, Target, CODES, MAX_BODY, MAX_DEPTH};
use route_config::{MAX_MODELS, MAX_NAME, MAX_PATH, MAX_ROUTES, MAX_SERVICES, MAX_TARGETS};

#[test]
fn numbers_of_faults_have_these_names() {
    let codes: Vec<String> = CODES
        .iter()
        .map(|(code, name, _)| format!("{code} {name}"))
        .collect();
    insta::assert_snapshot!(codes.join("\n"), @r##"
        201 too-large
        202 not-utf-8
        203 not-json
        204 too-deep
        205 too-many-members
        206 member-twice
        207 wrong-type
        208 missing
        209 bad-figure
        210 bad-name
        211 too-many
        212 bad-prefix
        213 unknown-kind
        214 no-time
        215 unknown-service
        216 no-weight
        217 route-twice
        218 service-twice
        219 old-version
        "##);
}

#[test]
fn statuses_of_faults() {
    let status = |body: &[u8]| {
        Config::read(body)
            .map_err(|error| (error.code(), error.status()))
            .err()
    };
    assert_eq!(status(&vec![b' '; MAX_BODY + 1]), Some((201, 413)));
    assert_eq!(status(b"{}"), Some((208, 400)));
    assert_eq!(status(b"{"), Some((203, 400)));
}

#[test]
fn bounds_of_a_configuration() {
    assert_eq!((MAX_BODY, MAX_DEPTH), (4_194_304, 64));
    assert_eq!(
        (MAX_ROUTES, MAX_SERVICES, MAX_TARGETS, MAX_MODELS),
        (10_000, 1_000, 100, 1_000)
    );
    assert_eq!((MAX_NAME, MAX_PATH), (255, 2_048));
}

fn target(service: &str, weight: f64) -> Target {
    Target {
        service: service.into(),
        weight,
    }
}

#[test]
fn defaults_of_each_key() {
    let body = br#"{"Gen":1,"Svcs":[{"Name":"s"},{"Name":"t","Backend":{}}],
        "Routes":[{"Host":"h","Prefix":"/p/","Svc":"s"},{"Host":"h","Prefix":"/q/","Split":[{"Svc":"s"},{"Svc":"t","Weight":3}]},
                  {"Host":"h","Prefix":"/b/","Svc":"s","Kind":"bulk"}]}"#;
    let config = Config::read(body).unwrap();
    let plain = &config.routes[0];
    assert_eq!(
        (
            plain.name.as_str(),
            plain.kind,
            plain.priority,
            plain.max_attempts
        ),
        ("h/p/", RouteKind::Mutating, 0, 1)
    );
    assert_eq!(
        (
            plain.timeout_ms,
            plain.target_ms,
            plain.due_ms,
            plain.retain_ms
        ),
        (30_000, 30_000, 0, 0)
    );
    assert_eq!(
        (
            plain.max_queued,
            plain.sticky,
            plain.resumable,
            plain.event_gap_target_ms
        ),
        (0, false, false, None)
    );
    assert_eq!(
        config.routes[1].targets,
        [target("s", 1.0), target("t", 3.0)]
    );
    assert_eq!(
        (config.routes[2].due_ms, config.routes[2].retain_ms),
        (600_000, 1_200_000)
    );
    let limits = Limits {
        max_header_bytes: 16_384,
        max_body_bytes: 4_194_304,
        header_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    assert_eq!(config.limits, limits);
    assert_eq!(config.services[0].max_conns, 100);
    let backend = Backend {
        slots: 8,
        kv_capacity: 0,
        kv_token_bytes: 0,
        link_mbps: 0.0,
        stride: 0,
        models: vec![],
    };
    assert_eq!(config.services[1].backend, Some(backend));
}
