//! Applying and printing configurations.

use crate::stub_server::{redirect_to, respond, Answer, ClosedPort, StubServer};
use crate::{tier, Temp};

const SEVENTH: &str = r#"{"Gen":7,"Routes":[{"Name":"r","Host":"h.example","Prefix":"/p/","Kind":"idempotent","TimeoutMs":500,"Svc":"s"}],"Svcs":[{"Name":"s"}]}"#;
const VALID: &str = "valid: version 7, 1 routes, 1 services\n";

#[test]
fn the_base_version_is_read_first_and_the_file_is_sent_unchanged() {
    let file = Temp::new("first", SEVENTH);
    let controller = StubServer::new(vec![
        respond("200 OK", r#"{"Gen":5,"Routes":[]}"#),
        respond("200 OK", ""),
    ]);
    let addr = controller.addr.to_string();
    let output = tier(&["config", "put", file.path(), "--ctl", &addr]);
    assert_eq!((output.exit_code, output.err.as_str()), (0, VALID));
    assert_eq!(
        output.out,
        format!("acknowledged: version 7 on top of 5, 200 by {addr}\n")
    );
    let put = format!("POST /-/config/replace host=ADDR fordrelay-base-version=5 {SEVENTH}");
    assert_eq!(
        controller.requests(),
        ["GET /-/config/get host=ADDR".to_owned(), put]
    );
}

#[test]
fn without_a_configuration_the_base_version_is_0() {
    let file = Temp::new("none", SEVENTH);
    let controller = StubServer::new(vec![respond("404 Not Found", ""), respond("200 OK", "")]);
    let output = tier(&[
        "config",
        "put",
        file.path(),
        "--ctl",
        &controller.addr.to_string(),
    ]);
    assert_eq!(output.exit_code, 0, "{}", output.err);
    assert!(
        output
            .out
            .starts_with("acknowledged: version 7 on top of 0"),
        "{}",
        output.out
    );
}

/// One refuses connections, one sends nothing, one is unable, and one redirects to one that
/// redirects.
#[test]
fn the_next_address_is_tried_until_the_outcome_is_known() {
    let file = Temp::new("next", SEVENTH);
    let silent = StubServer::new(vec![Answer::Disconnect]);
    let unable = StubServer::new(vec![respond("503 Service Unavailable", "no majority")]);
    let head = StubServer::new(vec![respond("200 OK", "")]);
    let second = StubServer::new(vec![redirect_to(head.addr, "/-/config/replace")]);
    let first = StubServer::new(vec![redirect_to(second.addr, "/-/config/replace")]);
    let gone = ClosedPort::new();
    let ctl = format!(
        "{},{},{},{}",
        gone.addr, silent.addr, unable.addr, first.addr
    );
    let output = tier(&["config", "put", file.path(), "--base", "6", "--ctl", &ctl]);
    assert_eq!((output.exit_code, output.err.as_str()), (0, VALID));
    let tail = format!(
        "200 by {}, after 3 tries without a clear answer\n",
        head.addr
    );
    assert_eq!(
        output.out,
        format!("acknowledged: version 7 on top of 6, {tail}")
    );
    for one in [silent, unable, first, second, head] {
        assert_eq!(
            one.requests(),
            [format!(
                "POST /-/config/replace host=ADDR fordrelay-base-version=6 {SEVENTH}"
            )]
        );
    }
}

#[test]
fn a_final_refusal_ends_the_call_with_its_code() {
    let file = Temp::new("no", SEVENTH);
    for (status, text, code) in [
        (
            "412 Precondition Failed",
            "the current version is 6",
            "O303 another-version",
        ),
        (
            "400 Bad Request",
            "C215 Routes[0].Svc: there is no\r\nservice",
            "O304 invalid",
        ),
        ("413 Payload Too Large", "", "O304 invalid"),
        ("422 Unprocessable Entity", "", "O304 invalid"),
        ("409 Conflict", "", "O306 conflict"),
        ("403 Forbidden", "", "O307 refused"),
    ] {
        let controller = StubServer::new(vec![respond(status, text)]);
        let addr = controller.addr.to_string();
        let output = tier(&["config", "put", file.path(), "--base", "5", "--ctl", &addr]);
        let colon = if text.is_empty() { "" } else { ": " };
        let text = text.replace("\r\n", "  ");
        let fault = format!("{VALID}fordrelay: {code}: {addr} answers {status}{colon}{text}\n");
        assert_eq!(
            (output.exit_code, output.out.as_str(), output.err),
            (1, "", fault)
        );
        assert_eq!(controller.requests().len(), 1);
    }
}

/// Another 4xx may be one server's alone: the third one is final.
#[test]
fn the_third_refusal_ends_the_call() {
    let file = Temp::new("third", SEVENTH);
    let controllers: Vec<StubServer> = (0..3)
        .map(|_| StubServer::new(vec![respond("404 Not Found", "")]))
        .collect();
    let ctl: Vec<String> = controllers
        .iter()
        .map(|controller| controller.addr.to_string())
        .collect();
    let output = tier(&[
        "config",
        "put",
        file.path(),
        "--base",
        "5",
        "--ctl",
        &ctl.join(","),
    ]);
    assert_eq!(output.exit_code, 1);
    assert!(
        output.err.contains("O305 unknown") && output.err.contains(&ctl[2]),
        "{}",
        output.err
    );
    assert!(controllers
        .into_iter()
        .all(|controller| controller.requests().len() == 1));
}

#[test]
fn an_unknown_outcome_differs_from_no_answer() {
    let file = Temp::new("unclear", SEVENTH);
    let put = |ctl: String| {
        tier(&[
            "config",
            "put",
            file.path(),
            "--base",
            "5",
            "--for",
            "10ms",
            "--ctl",
            &ctl,
        ])
    };
    let nobody = ClosedPort::new();
    let gone = put(nobody.addr.to_string());
    assert_eq!(gone.exit_code, 1);
    assert!(
        gone.err
            .contains("O301 not-reached: can't reach 127.0.0.1:"),
        "{}",
        gone.err
    );
    let silent = StubServer::new(vec![Answer::Disconnect]);
    let unclear = put(silent.addr.to_string());
    assert_eq!(unclear.exit_code, 3);
    assert!(
        unclear
            .err
            .contains("O302 unclear: O301 not-reached: 127.0.0.1:"),
        "{}",
        unclear.err
    );
    let busy = StubServer::new(vec![respond("429 Too Many Requests", "")]);
    let refused = put(busy.addr.to_string());
    assert_eq!(refused.exit_code, 1);
    assert!(
        refused.err.contains("O310 not-now: 127.0.0.1:"),
        "{}",
        refused.err
    );
    let failing = StubServer::new(vec![respond("500 Internal Server Error", "")]);
    assert_eq!(put(failing.addr.to_string()).exit_code, 3);
}

/// A third redirect is an error.
#[test]
fn redirects_are_bounded() {
    let file = Temp::new("circle", SEVENTH);
    let gone = ClosedPort::new();
    let last = StubServer::new(vec![redirect_to(gone.addr, "/-/config/replace")]);
    let second = StubServer::new(vec![redirect_to(last.addr, "/-/config/replace")]);
    let first = StubServer::new(vec![redirect_to(second.addr, "/-/config/replace")]);
    let output = tier(&[
        "config",
        "put",
        file.path(),
        "--base",
        "5",
        "--for",
        "10ms",
        "--ctl",
        &first.addr.to_string(),
    ]);
    assert_eq!(output.exit_code, 1);
    assert!(
        output.err.contains("O307 refused") && output.err.contains("307 Temporary Redirect"),
        "{}",
        output.err
    );
}

/// An invalid or outdated configuration is found locally and not sent.
#[test]
fn invalid_configurations_are_not_sent() {
    let file = Temp::new("invalid", &SEVENTH.replace("500", "0"));
    let gone = ClosedPort::new();
    let output = tier(&[
        "config",
        "put",
        file.path(),
        "--ctl",
        &gone.addr.to_string(),
    ]);
    assert_eq!(
        (output.exit_code, output.err.as_str()),
        (1, "fordrelay: C214 Routes[0].TimeoutMs: is 0\n")
    );
    let old = Temp::new("old", SEVENTH);
    let controller = StubServer::new(vec![respond("200 OK", r#"{"Gen":7}"#)]);
    let output = tier(&[
        "config",
        "put",
        old.path(),
        "--ctl",
        &controller.addr.to_string(),
    ]);
    assert_eq!((output.exit_code, output.out.as_str()), (1, ""));
    assert_eq!(
        output.err,
        format!("{VALID}fordrelay: C219 Gen: is 7, and the current version is 7\n")
    );
}

#[test]
fn the_newest_configuration_is_printed_byte_for_byte() {
    let body = "{\"Gen\":7,\n \"Routes\":[\"\u{e9}\"]}";
    let controller = StubServer::new(vec![respond("200 OK", body)]);
    let gone = ClosedPort::new();
    let output = tier(&[
        "config",
        "get",
        "--ctl",
        &format!("{},{}", gone.addr, controller.addr),
    ]);
    assert_eq!(
        (output.exit_code, output.out.as_str(), output.err.as_str()),
        (0, body, "")
    );
    let odd = StubServer::new(vec![respond("200 OK", "[]")]);
    let file = Temp::new("odd", SEVENTH);
    let output = tier(&["config", "put", file.path(), "--ctl", &odd.addr.to_string()]);
    assert!(
        output.exit_code == 1
            && output
                .err
                .contains("O308 unreadable: the configuration of 127.0.0.1:"),
        "{}",
        output.err
    );
}
