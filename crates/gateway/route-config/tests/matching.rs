//! Which route a request takes, and which service of a split.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use proptest::prelude::*;
use route_config::Config;

fn config(routes: &[(String, String)]) -> Config {
    let routes: Vec<String> = routes
        .iter()
        .map(|(host, prefix)| format!(r#"{{"Host":"{host}","Prefix":"{prefix}","Svc":"s"}}"#))
        .collect();
    let body = format!(
        r#"{{"Gen":1,"Svcs":[{{"Name":"s"}}],"Routes":[{}]}}"#,
        routes.join(",")
    );
    Config::read(body.as_bytes()).unwrap()
}

fn found<'a>(config: &'a Config, host: &str, path: &str) -> Option<&'a str> {
    config.route(host, path).map(|route| route.name.as_str())
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let routes = [
        ("a.example", "/"),
        ("a.example", "/x/"),
        ("a.example", "/x/y/"),
        ("b.example", "/x/"),
        ("[fe80::1]", "/z/"),
    ];
    let config = config(&routes.map(|(host, prefix)| (host.into(), prefix.into())));
    for (host, path, route) in [
        ("a.example", "/", Some("a.example/")),
        ("a.example", "/xx/", Some("a.example/")),
        ("a.example", "/x", Some("a.example/")),
        ("a.example", "/x/", Some("a.example/x/")),
        ("a.example", "/x/yy", Some("a.example/x/")),
        ("a.example", "/x/y/z?q=/x/", Some("a.example/x/y/")),
        ("A.Example:8080", "/x/1", Some("a.example/x/")),
        ("b.example", "/", None),
        ("b.example", "/X/", None),
        ("b.example:", "/x/", Some("b.example/x/")),
        ("c.example", "/x/", None),
        ("[FE80::1]:80", "/z/1", Some("[fe80::1]/z/")),
        ("[fe80::1]", "/z/1", Some("[fe80::1]/z/")),
        ("", "/x/", None),
        ("a.example", "", None),
        ("a.example", "*", None),
    ] {
        assert_eq!(found(&config, host, path), route, "{host} {path}");
    }
}

#[test]
fn services_are_picked_by_weight() {
    let body = r#"{"Gen":1,"Svcs":[{"Name":"a"},{"Name":"b"},{"Name":"c"}],"Routes":[{"Host":"h","Prefix":"/","Split":
        [{"Svc":"a","Weight":0},{"Svc":"b","Weight":75},{"Svc":"c","Weight":25},{"Svc":"a","Weight":0}]}]}"#;
    let config = Config::read(body.as_bytes()).unwrap();
    let route = config.route("h", "/").unwrap();
    let counted = |name| {
        (0..1_000)
            .filter(|n| route.pick_service(f64::from(*n) / 1_000.0) == name)
            .count()
    };
    assert_eq!((counted("a"), counted("b"), counted("c")), (0, 750, 250));
    for odd in [1.0, 2.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert!(["b", "c"].contains(&route.pick_service(odd)), "{odd}");
    }
    assert!(route.routes_to("b") && !route.routes_to("a") && !route.routes_to("d"));
}

/// Paths of a few letters, so that many begin others.
fn path() -> impl Strategy<Value = String> {
    proptest::collection::vec("[ab]{0,2}", 0..5).prop_map(|parts| format!("/{}", parts.join("/")))
}

proptest! {
    /// The table finds what a linear search over all prefixes finds.
    #[test]
    fn route_table_agrees_with_a_linear_search(prefixes in proptest::collection::btree_set(path(), 0..30), paths in proptest::collection::vec(path(), 1..30)) {
        let prefixes: std::collections::BTreeSet<String> =
            prefixes.iter().map(|p| if p.ends_with('/') { p.clone() } else { format!("{p}/") }).collect();
        let routes: Vec<_> = prefixes.iter().map(|prefix| ("h".to_owned(), prefix.clone())).collect();
        let config = config(&routes);
        for path in &paths {
            let longest = prefixes.iter().filter(|prefix| path.starts_with(prefix.as_str())).max_by_key(|prefix| prefix.len());
            prop_assert_eq!(config.route("h", path).map(|route| route.prefix.to_string()), longest.cloned());
        }
    }

    #[test]
    fn any_host_and_path_can_be_looked_up(host in "\\PC*", path in "\\PC*") {
        let config = config(&[("h".into(), "/".into()), ("h".into(), "/a/".into())]);
        let _ = config.route(&host, &path);
    }
}
