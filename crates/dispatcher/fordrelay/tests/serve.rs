//! Stories of the whole program over loopback, against scripted targets and a scripted discovery.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use common::*;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::mpsc::channel;
use std::thread;

#[test]
fn a_flow_goes_on_as_it_came_and_connections_are_kept() {
    let target = serving();
    let (program, calls) = with_target(&target);
    let call = calls.recv().unwrap().1.unwrap();
    let wait = call
        .first
        .strip_prefix("GET /v1/endpoints?index=1&wait=")
        .expect("a watch");
    let wait: u32 = wait.trim_end_matches(" HTTP/1.1").parse().unwrap();
    assert!(
        wait <= 3_000,
        "a discovery that falls silent is noticed only after the wait"
    );
    let mut client = program.connect();
    client
        .get_mut()
        .write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        .unwrap();
    assert_eq!(read(&mut client).unwrap().status(), "200");
    for _ in 0..2 {
        client.get_mut().write_all(job("watch").as_bytes()).unwrap();
        let answer = read(&mut client).unwrap();
        assert_eq!(
            (answer.status(), answer.body.as_slice()),
            ("200", "rün".as_bytes())
        );
        let (conn, seen) = target.seen.recv().unwrap();
        let seen = seen.unwrap();
        assert_eq!(
            (conn, seen.first.as_str()),
            (0, "POST /a%2Fb?sid=7f&x=%20 HTTP/1.1")
        );
        assert_eq!(seen.body, b"\x01{ ");
        assert_eq!(
            (seen.header("req-id"), seen.header("idempotency-key")),
            (Some("9b1f"), Some("kE"))
        );
    }
}

/// The second address from the first moment to the last; callers that say nothing, or half a call, keep nobody out.
#[test]
fn operators_are_answered_on_the_second_address() {
    let target = serving();
    let (program, _calls) = with_target(&target);
    let silent: Vec<_> = (0..20)
        .map(|_| TcpStream::connect(program.admin).unwrap())
        .collect();
    silent
        .iter()
        .skip(10)
        .for_each(|mut s| s.write_all(b"PUT /-/runners/s-0/dis").unwrap());
    let figures = |lines: &[&str]| {
        let (status, text) = program.call("GET", "/-/metrics");
        assert_eq!(status, "200");
        lines
            .iter()
            .for_each(|line| assert!(text.lines().any(|l| l == *line), "{line} in {text}"));
    };
    assert_eq!(program.call("GET", "/-/ready").0, "200");
    figures(&[
        r#"svc_responses{kind="settle",result="errors"} 0"#,
        r#"svc_tries{kind="watch"} 0"#,
        "svc_active 0",
    ]);
    assert_eq!(program.ask("watch").status(), "200");
    figures(&[
        r#"svc_responses{kind="watch",result="ok"} 1"#,
        r#"svc_tries{kind="watch"} 1"#,
        "svc_pool_ejected 0",
    ]);
    for (method, path, status) in [
        ("PUT", "/-/runners/s-9/disable", "404"),
        ("GET", "/-/runners/s-0/disable", "405"),
        ("PUT", "/-/runners/%ff/disable", "400"),
        ("GET", "/-/nothing", "404"),
        ("PUT", "/-/runners/s%2D0/disable", "200"),
    ] {
        assert_eq!(program.call(method, path).0, status, "{method} {path}");
    }
    let refused = program.ask("watch");
    assert_eq!(
        (refused.status(), refused.header("retry-after").is_some()),
        ("503", true)
    );
    figures(&[
        r#"svc_responses{kind="watch",result="shed"} 1"#,
        "svc_pool_size 1",
        "svc_pool_ejected 1",
    ]);
    assert_eq!(program.call("PUT", "/-/runners/s-0/enable").0, "200");
    assert_eq!(program.ask("watch").status(), "200");
    program.signal("TERM");
    while program.call("GET", "/-/ready").0 != "503" {}
}

/// Guards against a newcomer that starts on a socket which it does not have, or takes the old one with it.
#[rstest]
#[case::no_number("seven", "is no number of a descriptor")]
#[case::not_open("99", "descriptor 99 is not open")]
#[case::no_listener("1", "descriptor 1 is no TCP socket that listens")]
fn a_faulty_inherited_socket_is_named(#[case] number: &str, #[case] fault: &str) {
    let (addr, _calls) = discovery(vec![]);
    let program = Program::start(&list(1, true, &[]), addr, 1_024);
    let mut second = Command::new(env!("CARGO_BIN_EXE_fordrelay"));
    let second = second
        .args(["serve", "--config"])
        .arg(&program.config)
        .env("ROUTER_INHERITED_FD", number);
    let output = second.output().unwrap();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && said.contains("ROUTER_INHERITED_FD") && said.contains(fault),
        "{said}"
    );
    assert_eq!(
        program.call("GET", "/-/ready").0,
        "200",
        "the first serves on"
    );
}

/// A request whose body is so many chunks of this size.
fn chunked(class: &str, chunks: usize, size: usize) -> String {
    let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
    let head = job(class)
        .replace("Content-Length: 3", "Transfer-Encoding: chunked")
        .replace("\x01{ ", "");
    format!("{head}{}0\r\n\r\n", chunk.repeat(chunks))
}

/// Guards against a usual client that sends its body in chunks, in pieces or after an answer, and is refused; and
/// against one that hides its length behind another request.
#[test]
fn a_request_in_chunks_is_taken_and_goes_on_with_its_length() {
    let target = serving();
    let (program, _calls) = with_target(&target);
    let mut client = program.connect();
    for _ in 0..2 {
        for piece in chunked("watch", 2, 7).as_bytes().chunks(40) {
            client.get_mut().write_all(piece).unwrap();
            thread::sleep(std::time::Duration::from_millis(1));
        }
        assert_eq!(read(&mut client).unwrap().status(), "200");
        let seen = target.seen.recv().unwrap().1.unwrap();
        assert_eq!(
            (
                seen.header("content-length"),
                seen.header("transfer-encoding")
            ),
            (Some("14"), None)
        );
    }
    let second =
        smuggled("Transfer-Encoding: chunked\r\nContent-Length: 3").replace("9b1f", "9b21");
    client
        .get_mut()
        .write_all((job("watch") + &second).as_bytes())
        .unwrap();
    assert_eq!(read(&mut client).unwrap().status(), "200");
    assert_eq!(
        read(&mut client).unwrap().status(),
        "411",
        "its head came behind another request"
    );
}

/// A request whose body, by one of its framings, holds another request.
fn smuggled(framing: &str) -> String {
    let inner = job("settle").replace("9b1f", "9b20");
    job("watch")
        .replace("Content-Length: 3", framing)
        .replace("\x01{ ", &format!("0\r\n\r\n{inner}"))
}

/// Guards against malformed requests that reach a target or end the program, and against what comes after them.
#[rstest]
#[case::no_id(job("watch").replace("Req-Id", "X-Id"), "400")]
#[case::unknown_class(job("dance"), "400")]
#[case::bad_deadline(job("watch").replace("Req-Deadline: 50", "Req-Deadline: -1"), "400")]
#[case::no_deadline(job("watch").replace("Req-Deadline", "X"), "400")]
#[case::bad_extra(job("watch").replace("Idempotency-Key: kE", "Req-Extra: slots=many"), "400")]
#[case::too_large(job("watch").replace("Length: 3", "Length: 65537") + &" ".repeat(65_534), "413")]
#[case::other_method(job("watch").replace("POST", "PUT"), "405")]
#[case::huge(job("watch").replace("Length: 3", "Length: 60000000"), "413")]
#[case::negative(job("watch").replace("Length: 3", "Length: -3"), "400")]
#[case::two_ids(job("watch").replace("Req-Id: 9b1f", "Req-Id: 9b1f\r\nReq-Id: 9b20"), "400")]
#[case::two_deadlines(job("watch").replace("Deadline: 50", "Deadline: 50\r\nReq-Deadline: 9"), "400")]
#[case::two_lengths(job("watch").replace("Length: 3", "Length: 3\r\nContent-Length: 4"), "400")]
#[case::chunks_of_chunks(
    smuggled("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
    "411"
)]
#[case::endless_chunks(chunked("watch", 5, 16_384), "413")]
#[case::length_hidden_after(smuggled("Transfer-Encoding: chunked\r\nContent-Length: 3"), "411")]
#[case::length_hidden_before(smuggled("Content-Length: 3\r\nTransfer-Encoding: chunked"), "411")]
fn a_malformed_request_gets_a_fixed_response(#[case] request: String, #[case] status: &str) {
    let target = serving();
    let (program, _calls) = with_target(&target);
    let mut client = program.connect();
    client.get_mut().write_all(request.as_bytes()).unwrap();
    let answer = read(&mut client).unwrap();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (status, Some("close"))
    );
    assert!(read(&mut client).is_none(), "closed");
    assert_eq!(program.ask("watch").status(), "200");
    assert_eq!(
        target.seen.recv().unwrap().1.unwrap().header("req-kind"),
        None,
        "only the second came"
    );
    assert!(target.seen.try_recv().is_err());
}

/// Guards against a wrong word on what may have run: what must never run twice is tried again only after an
/// outcome that proves it has not run.
#[rstest]
#[case::returned(&[r#"{"id":"ID","from":"s","state":"returned"}"#], "200")]
#[case::failed(&[STARTED, r#"{"id":"ID","from":"s","state":"failed"}"#], "502")]
#[case::lost(&[STARTED, r#"{"id":"ID","from":"s","state":"lost"}"#], "502")]
#[case::cut_short(&[STARTED], "502")]
#[case::nonsense(&["}"], "502")]
#[case::about_another(&[r#"{"id":"other","from":"s","state":"done","result":"x"}"#], "502")]
#[case::no_result(&[r#"{"id":"ID","from":"s","state":"done"}"#], "502")]
fn what_a_target_says_decides_on_a_second_attempt(
    #[case] first: &'static [&str],
    #[case] status: &str,
) {
    let fresh = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let target = peer(move |m| {
        let first_time = fresh.swap(false, std::sync::atomic::Ordering::Relaxed);
        Some(lines(m, if first_time { first } else { &[STARTED, DONE] }))
    });
    let (program, _calls) = with_target(&target);
    assert_eq!(program.ask("settle").status(), status);
    assert_eq!(program.ask("settle").status(), "200", "the program goes on");
}

/// Guards against an attempt that goes on for nobody: a client that leaves ends it.
#[test]
fn a_client_that_leaves_ends_its_attempt() {
    let target = peer(|m| Some(lines(m, &[STARTED]).replace("0\r\n\r\n", "")));
    let (program, _calls) = with_target(&target);
    let mut client = program.connect();
    client.get_mut().write_all(job("watch").as_bytes()).unwrap();
    assert!(target.seen.recv().unwrap().1.is_some());
    drop(client);
    assert!(
        target.seen.recv().unwrap().1.is_none(),
        "the connection to the target is closed"
    );
}

/// Guards against lost requests at a planned restart: all that is taken is answered before the end.
#[test]
fn after_sigterm_what_is_taken_is_answered_and_connections_end() {
    let (release, gate) = channel::<()>();
    let gate = std::sync::Arc::new(std::sync::Mutex::new(gate));
    let target = peer(move |m| {
        gate.lock().unwrap().recv().ok()?;
        Some(lines(m, &[STARTED, DONE]))
    });
    let (mut program, _calls) = with_target(&target);
    let mut waiting = program.connect();
    waiting
        .get_mut()
        .write_all(job("settle").as_bytes())
        .unwrap();
    assert!(target.seen.recv().unwrap().1.is_some());
    program.signal("TERM");
    program.wait_for("told to stop");
    let mut late = program.connect();
    late.get_mut()
        .write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        .unwrap();
    let answer = read(&mut late).unwrap();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        ("200", Some("close"))
    );
    release.send(()).unwrap();
    let answer = read(&mut waiting).unwrap();
    assert_eq!(
        (answer.status(), answer.header("connection")),
        ("200", Some("close"))
    );
    assert!(program.child.wait().unwrap().success());
}

/// Guards against flows that are lost when the platform ends the program some seconds after SIGTERM: what comes on a
/// connection that is still open is taken, but not for as long as its client would wait.
#[test]
fn after_sigterm_a_flow_is_given_up_before_the_program_may_be_killed() {
    let target = peer(|m| Some(lines(m, &[STARTED]).replace("0\r\n\r\n", "")));
    let (mut program, _calls) = with_target(&target);
    let mut kept = program.connect();
    kept.get_mut()
        .write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        .unwrap();
    assert_eq!(read(&mut kept).unwrap().status(), "200");
    program.signal("TERM");
    program.wait_for("told to stop");
    kept.get_mut().write_all(job("settle").as_bytes()).unwrap();
    // Its deadline is fifty seconds, and so long the program would wait.
    kept.get_mut()
        .set_read_timeout(Some(std::time::Duration::from_secs(25)))
        .unwrap();
    let answer = read(&mut kept).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        ("502", Some("close"))
    );
    assert!(program.child.wait().unwrap().success());
}

/// Guards against an accept loop that ends when the system has no descriptor left.
#[test]
fn out_of_descriptors_the_program_goes_on_once_some_are_free() {
    let target = serving();
    let (addr, calls) = discovery(vec![]);
    let mut program = Program::limited(&list(1, true, &[(target.addr, "ready")]), addr, 1_024, 30);
    assert!(
        calls.recv().unwrap().1.is_some(),
        "discovery has its descriptor"
    );
    let clients: Vec<_> = (0..40).map(|_| program.connect()).collect();
    program.wait_for("can't accept");
    drop(clients);
    assert_eq!(program.ask("watch").status(), "200");
}

/// Guards against running over the limit on descriptors: beyond the limit clients are told to come again, and the
/// program goes on.
#[test]
fn connections_over_the_limit_are_refused_and_others_go_on() {
    let (release, gate) = channel::<()>();
    let gate = std::sync::Arc::new(std::sync::Mutex::new(gate));
    let target = peer(move |m| {
        let _ = gate.lock().unwrap().recv();
        Some(lines(m, &[STARTED, DONE]))
    });
    let (addr, _calls) = discovery(vec![]);
    let program = Program::start(&list(1, true, &[(target.addr, "ready")]), addr, 90);
    let mut clients: Vec<_> = (0..28).map(|_| program.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client
            .get_mut()
            .write_all(job("watch").replace("9b1f", &format!("{n}")).as_bytes())
            .unwrap();
    }
    let refused = program.ask("watch");
    assert_eq!(
        (refused.status(), refused.header("connection")),
        ("503", Some("close"))
    );
    assert!(refused.header("retry-after").is_some());
    let mut last = clients.pop().unwrap();
    drop(release);
    assert_eq!(read(&mut last).unwrap().status(), "200");
}

/// Guards against clients that connect by hundreds and say nothing, send half a head, half a body or ask once
/// and stay: none of them is waited for, and none keeps a usual client out.
#[rstest]
#[case::silent("")]
#[case::half_a_head("POST /a HTTP/1.1\r\nReq-")]
#[case::half_a_body(
    "POST /a HTTP/1.1\r\nReq-Id: ID\r\nReq-Kind: watch\r\nReq-Deadline: 50\r\nContent-Length: 3\r\n\r\n1"
)]
#[case::asked_once("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")]
fn clients_that_do_not_ask_keep_no_usual_client_out(#[case] says: &str) {
    let target = serving();
    let (addr, _calls) = discovery(vec![]);
    let program = Program::start(&list(1, true, &[(target.addr, "ready")]), addr, 90);
    let mut idle: Vec<_> = (0..60).map(|_| program.connect()).collect();
    for (n, client) in idle.iter_mut().enumerate() {
        // One that is cut while the others are still written to is what this is about.
        let _ = client
            .get_mut()
            .write_all(says.replace("ID", &format!("x{n}")).as_bytes());
    }
    assert_eq!(program.ask("watch").status(), "200");
    // Only hangs in a program that waits for what never comes.
    if !says.starts_with("GET") {
        let mut rest = vec![];
        idle.iter_mut()
            .for_each(|client| drop(client.read_to_end(&mut rest)));
    }
}

/// Guards against two attempts of one request: an id that is open already is refused until it is not any more.
#[test]
fn the_id_of_an_open_request_is_refused() {
    let (release, gate) = channel::<()>();
    let gate = std::sync::Arc::new(std::sync::Mutex::new(gate));
    let target = peer(move |m| {
        gate.lock().unwrap().recv().ok()?;
        Some(lines(m, &[STARTED, DONE]))
    });
    let (program, _calls) = with_target(&target);
    let mut first = program.connect();
    first.get_mut().write_all(job("settle").as_bytes()).unwrap();
    assert!(target.seen.recv().unwrap().1.is_some());
    assert_eq!(program.ask("settle").status(), "409");
    release.send(()).unwrap();
    assert_eq!(read(&mut first).unwrap().status(), "200");
    release.send(()).unwrap();
    assert_eq!(program.ask("settle").status(), "200");
}

/// Guards against requests that no target can use: they are answered, not tried again, and held against none.
#[test]
fn what_a_target_turns_down_as_unusable_is_not_held_against_it() {
    let bad = |m: &Message| m.header("req-id") == Some("bad");
    let target = peer(move |m| {
        Some(if bad(m) {
            plain("400 Bad Request", "")
        } else {
            lines(m, &[STARTED, DONE])
        })
    });
    let (program, _calls) = with_target(&target);
    for _ in 0..5 {
        let mut client = program.connect();
        client
            .get_mut()
            .write_all(job("watch").replace("9b1f", "bad").as_bytes())
            .unwrap();
        assert_eq!(read(&mut client).unwrap().status(), "400");
    }
    assert_eq!(program.ask("watch").status(), "200");
    let ids: Vec<_> = target.seen.try_iter().filter_map(|(_, m)| m).collect();
    assert_eq!(ids.iter().filter(|m| bad(m)).count(), 5, "each once");
}
