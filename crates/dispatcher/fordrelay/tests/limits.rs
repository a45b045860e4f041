//! Times and starts at their edges, on the whole program: requests that come slowly, clients that reset, many processes that
//! start together while discovery serves nobody.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use common::*;
use rstest::rstest;
use std::io::{Read, Write};
use std::thread;
use std::time::{Duration, Instant};

/// A request has 2 s from its first byte on: inside it is served, outside it is answered where its head has come, and closed
/// where not even that has. The rest comes 0.4 s before the edge, or after it.
#[rstest]
#[case::a_head_in_time("POST /a HTTP/1.1\r\nReq-", 1_600, Some("200"))]
#[case::a_head_too_late("POST /a HTTP/1.1\r\nReq-", 2_600, None)]
#[case::a_body_in_time("\x01{", 1_600, Some("200"))]
#[case::a_body_too_late("\x01{", 2_600, Some("408"))]
fn a_request_has_its_time_and_no_more(
    #[case] up_to: &str,
    #[case] ms: u64,
    #[case] status: Option<&str>,
) {
    let target = serving();
    let (program, _calls) = with_target(&target);
    let text = with_id("watch", "slow")
        .replacen("POST /a%2Fb?sid=7f&x=%20", "POST /a", 1)
        .replace("Host: h\r\n", "");
    let at = text.find(up_to).expect("a part of the request") + up_to.len();
    let mut client = program.connect();
    client.get_mut().write_all(&text.as_bytes()[..at]).unwrap();
    thread::sleep(Duration::from_millis(ms));
    let _ = client.get_mut().write_all(&text.as_bytes()[at..]);
    let answer = read(&mut client);
    assert_eq!(answer.as_ref().map(Message::status), status);
    let mut rest = vec![];
    if status != Some("200") {
        let _ = client.read_to_end(&mut rest);
        assert!(ids(&target.seen).is_empty(), "it is sent to nobody");
    }
    assert_eq!(program.ask("watch").status(), "200");
}

/// A client that resets its connection has gone, with bytes of its own under way or without, its job held or out.
#[rstest]
#[case::amid_its_job(true, 0)]
#[case::amid_its_job_with_more_under_way(true, 5_000)]
#[case::held(false, 0)]
#[case::held_with_more_under_way(false, 5_000)]
fn a_client_that_resets_its_connection_has_gone(#[case] out: bool, #[case] more: usize) {
    let target = peer(|m| Some(lines(m, &[STARTED]).replace("0\r\n\r\n", "")));
    let (addr, _calls) = discovery(vec![]);
    let known = if out {
        list(1, true, &[(target.addr, "ready")])
    } else {
        list(1, true, &[])
    };
    let program = Program::start(&known, addr, 1_024);
    let mut client = program.connect();
    client
        .get_mut()
        .write_all(job("settle").as_bytes())
        .unwrap();
    while !program
        .call("GET", "/-/metrics")
        .1
        .contains("\nsvc_active 1\n")
    {}
    client.get_mut().write_all(&vec![b'x'; more]).unwrap();
    socket2::SockRef::from(client.get_ref())
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(client);
    let gone = Instant::now();
    while !program
        .call("GET", "/-/metrics")
        .1
        .contains("\nsvc_active 0\n")
    {
        assert!(gone.elapsed() < NEVER, "it is waited for still");
    }
}

/// Twenty processes start together, and discovery refuses, closes or keeps silent: each serves within 10 s, whether lists are
/// asked for or pushed.
#[rstest]
#[case::refuses(Some(plain("503 Service Unavailable", "")), "on_request")]
#[case::closes(None, "on_request")]
#[case::is_silent(Some(String::new()), "on_request")]
#[case::pushed_and_refuses(Some(plain("503 Service Unavailable", "")), "pushed")]
#[case::pushed_and_silent(Some(String::new()), "pushed")]
fn processes_that_start_together_are_ready_in_time(
    #[case] says: Option<String>,
    #[case] learned: &'static str,
) {
    let target = serving();
    let known = list(1, true, &[(target.addr, "ready")]);
    let began = Instant::now();
    let starts: Vec<_> = (0..20)
        .map(|_| {
            let (known, says) = (known.clone(), says.clone());
            thread::spawn(move || {
                let discovery = peer(move |_| says.clone());
                let other = [("on_request", learned), ("total\":1", "total\":300")];
                let program = Program::told(&known, discovery.addr, (1_024, 1_024), &other);
                let ready = began.elapsed();
                (program.ask("watch").status().to_owned(), ready)
            })
        })
        .collect();
    let ready: Vec<_> = starts
        .into_iter()
        .map(|start| start.join().unwrap())
        .collect();
    assert!(
        ready
            .iter()
            .all(|(status, at)| status == "200" && *at < Duration::from_secs(10)),
        "{ready:?}"
    );
}
