//! The text of each fault, and that any bytes are read or rejected.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use proptest::prelude::*;
use route_config::{Config, CODES, MAX_BODY};

const VALID: &str = r#"{"Gen":5,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/p/","Kind":"streaming","TimeoutMs":800,"TargetMs":90,"Prio":0,"Split":[{"Svc":"a","Weight":80},{"Svc":"b","Weight":20}],"Tries":2,"Sticky":true,"Resumable":true,"gap_aim_ms":150},{"Name":"l","Host":"h.example","Prefix":"/l/","Kind":"bulk","TimeoutMs":900,"DueMs":9000,"RetainS":20,"MaxQueued":5000,"Svc":"a"}],"Svcs":[{"Name":"a","HealthPath":"/h","MaxConns":30,"Backend":{"Slots":4,"KvCapacity":9000,"Models":[{"Name":"m"}]}},{"Name":"b"}],"Limits":{"MaxHeaderBytes":900,"MaxBodyBytes":5000,"HeaderTimeoutMs":400,"IdleTimeoutMs":800}}"#;

fn rejection(body: &str) -> String {
    Config::read(body.as_bytes()).unwrap_err().to_string()
}

/// The valid one with something else instead of a part of it.
fn with(part: &str, instead: &str) -> String {
    assert!(VALID.contains(part), "{part}");
    rejection(&VALID.replacen(part, instead, 1))
}

#[test]
fn valid_configuration_is_accepted() {
    assert_eq!(Config::read(VALID.as_bytes()).err(), None);
}

#[test]
fn malformed_bodies_are_rejected() {
    insta::assert_snapshot!(rejection(""), @"C203 the body: Unexpected end of JSON");
    insta::assert_snapshot!(rejection(&VALID[..VALID.len() - 1]), @"C203 the body: Unexpected end of JSON");
    insta::assert_snapshot!(rejection(&VALID[..300]), @"C203 the body: Unexpected end of JSON");
    insta::assert_snapshot!(rejection(&format!("{VALID}{{}}")), @"C203 the body: Unexpected character: { at (1:597)");
    insta::assert_snapshot!(rejection("[]"), @"C207 the body: must be an object");
    insta::assert_snapshot!(rejection("null"), @"C207 the body: must be an object");
    insta::assert_snapshot!(with("800", "NaN"), @"C203 the body: Unexpected character: N at (1:97)");
    insta::assert_snapshot!(with("800", "0800"), @"C203 the body: Unexpected character: 8 at (1:98)");
    insta::assert_snapshot!(with("\"r\"", "\"\\ud800\""), @r##"C203 the body: Unexpected character: " at (1:35)"##);
    insta::assert_snapshot!(with("\"Gen\":5", "\"Gen\":4,\"Gen\":5"), @"C206 the body: has a member twice");
    insta::assert_snapshot!(with("\"Prio\":0", "\"Prio\":0,\"Pri\\u006f\":0"), @"C206 the body: has a member twice");
    insta::assert_snapshot!(Config::read(b"{\"Gen\":1,\"Routes\":[],\"Svcs\":[{\"Name\":\"\xff\"}]}").unwrap_err(), @"C202 the body: invalid utf-8 sequence of 1 bytes from index 38");
}

#[test]
fn oversized_bodies_are_rejected() {
    insta::assert_snapshot!(rejection(&" ".repeat(MAX_BODY + 1)), @"C201 the body: is 4194305 bytes long");
    insta::assert_snapshot!(rejection(&"[".repeat(MAX_BODY)), @"C204 the body: is nested more than 64 deep");
    insta::assert_snapshot!(rejection(&"{\"a\":".repeat(100_000)), @"C204 the body: is nested more than 64 deep");
    insta::assert_snapshot!(rejection(&format!("[{}{{}}]", "{},".repeat(1_000_000))), @"C201 the body: takes more than 64 MiB of memory to read");
    insta::assert_snapshot!(rejection(&format!("[{}0]", "0,".repeat(2_000_000))), @"C201 the body: takes more than 64 MiB of memory to read");
    let members: Vec<String> = (0..1_025).map(|n| format!("\"{n}\":0")).collect();
    insta::assert_snapshot!(rejection(&format!("{{{}}}", members.join(","))), @"C205 the body: has an object of more than 1,024 members");
}

#[test]
fn configurations_that_the_operators_page_calls_invalid_are_rejected() {
    insta::assert_snapshot!(with("\"Svc\":\"b\",\"Weight\":20", "\"Svc\":\"c\",\"Weight\":20"), @r##"C215 Routes[0].Split[1].Svc: there is no service "c""##);
    insta::assert_snapshot!(with("\"MaxQueued\":5000,\"Svc\":\"a\"", "\"Svc\":\"c\""), @r##"C215 Routes[1].Svc: there is no service "c""##);
    insta::assert_snapshot!(with("\"MaxQueued\":5000,\"Svc\":\"a\"", "\"Split\":[{\"Svc\":\"a\"}],\"Svc\":\"c\""), @r##"C215 Routes[1].Svc: there is no service "c""##);
    insta::assert_snapshot!(with("/l/", "/p/"), @r##"C217 Routes[1].Prefix: host "h.example" and prefix "/p/" are those of Routes[0] too"##);
    insta::assert_snapshot!(with("\"Host\":\"h.example\",\"Prefix\":\"/l/\"", "\"Host\":\"H.EXAMPLE:80\",\"Prefix\":\"/p/\""), @r##"C217 Routes[1].Prefix: host "h.example" and prefix "/p/" are those of Routes[0] too"##);
    insta::assert_snapshot!(with("\"Weight\":80},{\"Svc\":\"b\",\"Weight\":20", "\"Weight\":0},{\"Svc\":\"b\",\"Weight\":0.0"), @"C216 Routes[0].Split: has weights that add up to 0");
    insta::assert_snapshot!(with("{\"Svc\":\"a\",\"Weight\":80},{\"Svc\":\"b\",\"Weight\":20}", ""), @"C216 Routes[0].Split: has weights that add up to 0");
    insta::assert_snapshot!(with("\"Weight\":80", "\"Weight\":-20"), @"C216 Routes[0].Split[0].Weight: is -20; it must be from 0 to 1000000000000");
    insta::assert_snapshot!(with("\"Weight\":80", "\"Weight\":\"80\""), @"C216 Routes[0].Split[0].Weight: must be a figure");
    insta::assert_snapshot!(with("\"Weight\":80", "\"Weight\":1e999"), @"C216 Routes[0].Split[0].Weight: is inf; it must be from 0 to 1000000000000");
    insta::assert_snapshot!(with("\"TimeoutMs\":800", "\"TimeoutMs\":0"), @"C214 Routes[0].TimeoutMs: is 0");
    insta::assert_snapshot!(with("\"TimeoutMs\":900", "\"TimeoutMs\":0.0"), @"C214 Routes[1].TimeoutMs: is 0");
    let current = Config::read(VALID.as_bytes()).unwrap();
    assert_eq!(current.check_follows(4), Ok(()));
    insta::assert_snapshot!(current.check_follows(5).unwrap_err(), @"C219 Gen: is 5, and the current version is 5");
    insta::assert_snapshot!(current.check_follows(6).unwrap_err(), @"C219 Gen: is 5, and the current version is 6");
}

#[test]
fn missing_and_malformed_members_are_rejected() {
    insta::assert_snapshot!(rejection("{}"), @"C208 Gen: is missing");
    insta::assert_snapshot!(with("\"Routes\"", "\"routes\""), @"C208 Routes: is missing");
    insta::assert_snapshot!(with("\"Svcs\"", "\"svcs\""), @"C208 Svcs: is missing");
    insta::assert_snapshot!(with("\"Gen\":5", "\"Gen\":\"5\""), @"C207 Gen: must be a figure");
    insta::assert_snapshot!(with("\"Gen\":5", "\"Gen\":5.5"), @"C209 Gen: must be a whole figure");
    insta::assert_snapshot!(with("\"Gen\":5", "\"Gen\":-5"), @"C209 Gen: is -5; it must be from 0 to 9007199254740992");
    insta::assert_snapshot!(with("\"Gen\":5", "\"Gen\":9007199254740994"), @"C209 Gen: is 9007199254740994; it must be from 0 to 9007199254740992");
    insta::assert_snapshot!(with("{\"Name\":\"b\"}", "7"), @"C207 Svcs[1]: must be an object");
    insta::assert_snapshot!(with("{\"Name\":\"b\"}", "{}"), @"C208 Svcs[1].Name: is missing");
    insta::assert_snapshot!(with("{\"Name\":\"b\"}", "{\"Name\":\"b\"},{\"Name\":\"b\"}"), @r##"C218 Svcs[2].Name: there are two services "b""##);
    insta::assert_snapshot!(with("\"Host\":\"h.example\"", "\"Host\":\"\""), @"C208 Routes[0].Host: is missing");
    insta::assert_snapshot!(with("\"Prefix\":\"/p/\",", ""), @"C208 Routes[0].Prefix: is missing");
    insta::assert_snapshot!(with("\"Prefix\":\"/p/\"", "\"Prefix\":\"/p\""), @r##"C212 Routes[0].Prefix: "/p" does not start and end with a slash"##);
    insta::assert_snapshot!(with("\"Prefix\":\"/p/\"", "\"Prefix\":\"p/\""), @r##"C212 Routes[0].Prefix: "p/" does not start and end with a slash"##);
    insta::assert_snapshot!(with("streaming", "steaming"), @r##"C213 Routes[0].Kind: "steaming" is none of streaming, idempotent, mutating and bulk"##);
    insta::assert_snapshot!(with(",\"Svc\":\"a\"}]", "}]"), @"C208 Routes[1].Svc: is missing, and there is no Split");
    insta::assert_snapshot!(with("\"Weight\":20", "\"Weight\":20},{\"Weight\":5"), @"C208 Routes[0].Split[2].Svc: is missing");
    insta::assert_snapshot!(with("true", "1"), @"C207 Routes[0].Sticky: must be true or false");
    insta::assert_snapshot!(with("\"Limits\":{", "\"Limits\":5,\"Other\":{"), @"C207 Limits: must be an object");
    insta::assert_snapshot!(with("\"MaxConns\":30", "\"MaxConns\":4294967296"), @"C209 Svcs[0].MaxConns: is 4294967296; it must be from 0 to 4294967295");
    insta::assert_snapshot!(with("\"/h\"", "\"h\""), @r##"C210 Svcs[0].HealthPath: "h" does not start with a slash, or holds spaces"##);
    insta::assert_snapshot!(with("\"/h\"", "\"/h\\r\\nX: y\""), @"C210 Svcs[0].HealthPath: holds control characters");
    insta::assert_snapshot!(with("\"/h\"", "\"/h HTTP/1.1\""), @r##"C210 Svcs[0].HealthPath: "/h HTTP/1.1" does not start with a slash, or holds spaces"##);
    insta::assert_snapshot!(with("\"Name\":\"r\"", &format!("\"Name\":\"{}\"", "r".repeat(256))), @"C210 Routes[0].Name: is 256 bytes long; 255 are the most");
    insta::assert_snapshot!(with("{\"Name\":\"b\"}", &vec!["{\"Name\":\"b\"}"; 1_001].join(",")), @"C211 Svcs: has 1002 entries; 1000 are the most");
    insta::assert_snapshot!(with("{\"Svc\":\"b\",\"Weight\":20}", &vec!["{\"Svc\":\"b\"}"; 101].join(",")), @"C211 Routes[0].Split: has 102 entries; 100 are the most");
}

#[test]
fn codes_are_unique_and_ascending() {
    assert!(CODES.windows(2).all(|pair| pair[0].0 < pair[1].0));
    assert!(CODES
        .iter()
        .all(|(code, name, said)| (200..300).contains(code)
            && !name.is_empty()
            && said.ends_with('.')));
}

/// Names of members that mean something.
const NAMES: &[&str] = &[
    "Gen",
    "Routes",
    "Svcs",
    "Name",
    "Host",
    "Prefix",
    "Kind",
    "TimeoutMs",
    "Svc",
    "Split",
    "Weight",
    "Backend",
    "Models",
];

/// A text of JSON, with members by names that mean something.
fn value() -> impl Strategy<Value = String> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        any::<bool>().prop_map(|b| b.to_string()),
        any::<i64>().prop_map(|n| n.to_string()),
        "-?[0-9]{1,30}(\\.[0-9]{1,30})?([eE][+-]?[0-9]{1,30})?",
        "\"[/a-z]{0,6}\"",
        Just("\"bulk\"".to_owned()),
    ];
    leaf.prop_recursive(5, 60, 6, move |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..6)
                .prop_map(|list| format!("[{}]", list.join(","))),
            proptest::collection::vec((proptest::sample::select(NAMES), inner), 0..6).prop_map(
                |members| {
                    let members: Vec<String> = members
                        .iter()
                        .map(|(name, value)| format!("\"{name}\":{value}"))
                        .collect();
                    format!("{{{}}}", members.join(","))
                }
            ),
        ]
    })
}

/// Every code is in the table, and the status is one that ends a call.
fn assert_read_or_rejected(body: &[u8]) -> Result<(), TestCaseError> {
    if let Err(error) = Config::read(body) {
        prop_assert!(CODES.iter().any(|(code, ..)| *code == error.code()));
        prop_assert!(matches!(error.status(), 400 | 413) && !error.path().is_empty());
    }
    Ok(())
}

proptest! {
    #[test]
    fn any_bytes_are_read_or_rejected(body in proptest::collection::vec(any::<u8>(), 0..200)) {
        assert_read_or_rejected(&body)?;
    }

    #[test]
    fn any_value_is_read_or_rejected(body in value()) {
        assert_read_or_rejected(body.as_bytes())?;
    }

    /// A valid one that was truncated, or that has another byte somewhere, is read or rejected.
    #[test]
    fn corrupt_configuration_is_read_or_rejected(at in 0..VALID.len(), with in any::<u8>(), cut in any::<bool>()) {
        let mut body = VALID.as_bytes().to_vec();
        body[at] = with;
        if cut {
            body.truncate(at);
            prop_assert!(Config::read(&body).is_err());
        }
        assert_read_or_rejected(&body)?;
    }

    /// Any value in the place of a member's value.
    #[test]
    fn any_value_of_any_member_is_read_or_rejected(n in 0_usize..40, value in value()) {
        let at = VALID.match_indices(':').map(|(at, _)| at + 1).nth(n).unwrap_or(7);
        let rest = &VALID[at..];
        let end = rest.find([',', '}', ']']).unwrap_or(rest.len());
        assert_read_or_rejected(format!("{}{value}{}", &VALID[..at], &rest[end..]).as_bytes())?;
    }
}

/// Each code of the table stands in an expected text.
#[test]
fn each_code_is_in_use() {
    let source = include_str!("rejections.rs");
    let missing: Vec<u16> = CODES
        .iter()
        .map(|(code, ..)| *code)
        .filter(|code| !source.contains(&format!("C{code} ")))
        .collect();
    assert_eq!(missing, [0_u16; 0]);
}
