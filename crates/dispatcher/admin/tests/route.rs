//! Which call a method and a path are.

use admin::route::{route, Route, RouteError, TargetRule};

#[test]
fn each_call_has_one_method_and_ids_come_encoded() {
    let overridden = |target: &str, rule| {
        Ok(Route::OverrideTarget {
            target: target.into(),
            rule,
        })
    };
    assert_eq!(route("GET", "/-/ready"), Ok(Route::Ready));
    assert_eq!(route("GET", "/-/metrics"), route("GET", "/metrics"));
    assert_eq!(route("POST", "/-/ready"), Err(RouteError::Method("GET")));
    assert_eq!(
        route("PUT", "/-/runners/s-5be2a07c/disable"),
        overridden("s-5be2a07c", TargetRule::Disable)
    );
    assert_eq!(
        route("PUT", "/-/runners/a%2Fb%20%C3%BC/enable"),
        overridden("a/b \u{fc}", TargetRule::Enable)
    );
    assert_eq!(
        route("GET", "/-/runners/s-1/enable"),
        Err(RouteError::Method("PUT"))
    );
    for path in [
        "/",
        "/-/",
        "/-/runners",
        "/-/runners/a",
        "/-/runners/a/b/enable",
        "/-/runners/a/restart",
    ] {
        assert_eq!(route("PUT", path), Err(RouteError::UnknownPath), "{path}");
    }
    let malformed = [
        "/-/runners//disable".into(),
        "/-/runners/%ff/disable".into(),
    ];
    for path in [format!("/-/runners/{}/disable", "x".repeat(300))]
        .into_iter()
        .chain(malformed)
    {
        assert!(
            matches!(route("PUT", &path), Err(RouteError::Malformed(_))),
            "{path}"
        );
    }
}
