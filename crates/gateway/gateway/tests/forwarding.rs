//! What of a request reaches a runner, and what of its answer the client.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use common::*;
use runner_registry::RunnerState;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

#[test]
fn a_request_reaches_its_runner_unchanged_and_so_does_the_answer_its_client() {
    run(async {
        let answer = "HTTP/1.1 201 Created\r\nFordrelay-Attempt-Id: {id}\r\nFordrelay-Seal: 3e1b.07\r\nX-Own: a, b\r\n\
            Keep-Alive: timeout=5\r\nConnection: keep-alive\r\nContent-Length: 6\r\n\r\nbytes\0";
        let runner = StandIn::new("i-1", move |_, _| vec![write(answer)]).await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let body = "x".repeat(300);
        let more = "Fordrelay-Deadline-Ms: 3000\r\nX-Other: kept, twice\r\nTE: trailers\r\nConnection: x-hop\r\nX-Hop: 1\r\n";
        let said = rig
            .ask(&request("/change/a%2Fb//c?q=1&q=%20", "abc", more, &body))
            .await;
        let seen = runner.seen.borrow()[0].clone();
        assert!(
            seen.head
                .starts_with("POST /change/a%2Fb//c?q=1&q=%20 HTTP/1.1\r\n"),
            "{}",
            seen.head
        );
        assert_eq!(seen.body, body.as_bytes());
        assert_eq!(seen.header("host"), Some("h.example"));
        assert_eq!(seen.header("x-other"), Some("kept, twice"));
        assert_eq!(seen.header("fordrelay-attempt-id"), Some("abc"));
        assert_eq!(seen.header("fordrelay-want-runner"), Some("i-1"));
        assert_eq!(
            (
                seen.header("te"),
                seen.header("x-hop"),
                seen.header("connection")
            ),
            (None, None, None)
        );
        let left: u64 = seen
            .header("fordrelay-deadline-ms")
            .unwrap()
            .parse()
            .unwrap();
        assert!((1..=3_000).contains(&left), "{left}");
        let (head, body) = said.split_once("\r\n\r\n").unwrap();
        assert!(head.starts_with("HTTP/1.1 201 Created\r\n"), "{head}");
        assert_eq!(header(head, "fordrelay-seal"), Some("3e1b.07"));
        assert_eq!(header(head, "fordrelay-attempt-id"), Some("abc"));
        assert_eq!(header(head, "x-own"), Some("a, b"));
        assert_eq!(header(head, "keep-alive"), None);
        assert_eq!(body, "bytes\0");
    });
}

#[test]
fn a_body_in_chunks_arrives_whole() {
    run(async {
        let runner = StandIn::new("i-1", |_, _| vec![done("ok")]).await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig
            .ask(
                "POST /plain/ HTTP/1.1\r\nHost: H.Example:80\r\nFordrelay-Attempt-Id: abc\r\nTransfer-Encoding: chunked\r\n\
                 Connection: close\r\n\r\n3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n",
            )
            .await;
        assert!(said.ends_with("\r\n\r\nok"), "{said}");
        let seen = runner.seen.borrow()[0].clone();
        assert_eq!(
            (seen.body.as_slice(), seen.header("content-length")),
            (&b"abcdefg"[..], Some("7"))
        );
    });
}

#[test]
fn a_body_with_a_length_and_in_chunks_is_not_passed_on() {
    run(async {
        let runner = StandIn::new("i-1", |_, _| vec![done("ok")]).await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig
            .ask(
                "POST /plain/ HTTP/1.1\r\nHost: h.example\r\nFordrelay-Attempt-Id: abc\r\nTransfer-Encoding: chunked\r\n\
                 Content-Length: 3\r\n\r\n0\r\n\r\nPOST /plain/ HTTP/1.1\r\nHost: h.example\r\nFordrelay-Attempt-Id: smuggled\r\n\r\n",
            )
            .await;
        assert!(said.starts_with("HTTP/1.1 400 "), "{said}");
        assert_eq!(runner.count(), 0);
    });
}

#[test]
fn another_runner_gets_what_one_did_not_run() {
    run(async {
        for word in [
            whole("421 Misdirected Request", "Fordrelay-Runner: i-9\r\n", ""),
            declined(),
        ] {
            let one = StandIn::new("i-1", move |_, _| vec![word.clone()]).await;
            let two = StandIn::new("i-2", |_, _| vec![done("two")]).await;
            let rig = Rig::new(CONFIG, &[&one, &two]).await;
            // Which one is asked first is drawn; one that declined is passed over for a while.
            let mut asked = 0;
            while one.count() == 0 {
                let said = rig
                    .ask(&request("/change/", &format!("r{asked}"), "", "x"))
                    .await;
                assert!(said.ends_with("two"), "{said}");
                asked += 1;
                assert!(asked < 100);
            }
            assert_eq!((one.count(), two.count()), (1, asked));
            assert_eq!(one.seen.borrow()[0].body, b"x");
        }
    });
}

#[test]
fn what_no_runner_takes_is_refused_at_once_after_as_many_tries_as_its_route_allows() {
    run(async {
        let one = StandIn::new("i-1", |_, _| vec![declined()]).await;
        let two = StandIn::new("i-2", |_, _| vec![declined()]).await;
        let rig = Rig::new(CONFIG, &[&one, &two]).await;
        let said = rig.ask(&request("/change/", "abc", "", "x")).await;
        assert!(said.starts_with("HTTP/1.1 503 "), "{said}");
        let after: f64 = header(&said, "retry-after").unwrap().parse().unwrap();
        assert!(after > 0.0 && after < 5.0, "{after}");
        assert!((1..=3).contains(&(one.count() + two.count())));
    });
}

#[test]
fn what_may_have_run_is_repeated_only_where_its_route_allows() {
    run(async {
        for act in [
            Act::Close,
            Act::Reset,
            write("HTTP/1.1 200 OK\r\nContent-Le"),
            write("no answer\r\n\r\n"),
        ] {
            let script = move |act: Act| {
                move |_: &Seen, n: usize| {
                    if n == 0 {
                        vec![act.clone(), Act::Close]
                    } else {
                        vec![done("again")]
                    }
                }
            };
            let runner = StandIn::new("i-1", script(act.clone())).await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            let said = rig.ask(&request("/change/", "abc", "", "x")).await;
            assert!(said.starts_with("HTTP/1.1 502 "), "{said}");
            assert_eq!(runner.count(), 1);

            let runner = StandIn::new("i-1", script(act)).await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            let said = rig.ask(&request("/plain/", "abc", "", "x")).await;
            assert!(said.ends_with("again"), "{said}");
            assert_eq!(runner.count(), 2);
        }
    });
}

#[test]
fn a_promise_that_a_runner_has_not_made_is_not_passed_on() {
    run(async {
        for status in [
            "503 Service Unavailable",
            "429 Too Many Requests",
            "408 Request Timeout",
        ] {
            let runner = StandIn::new("i-1", move |_, _| vec![whole(status, "", "")]).await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            let said = rig.ask(&request("/change/", "abc", "", "x")).await;
            assert!(said.starts_with("HTTP/1.1 502 "), "{said}");
            assert_eq!(runner.count(), 1);
        }
    });
}

#[test]
fn a_runners_own_failure_reaches_its_client_unchanged() {
    run(async {
        let runner = StandIn::new("i-1", |_, _| {
            vec![whole("500 Internal Server Error", SEAL, "oh")]
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig.ask(&request("/change/", "abc", "", "x")).await;
        assert!(
            said.starts_with("HTTP/1.1 500 ") && said.ends_with("\r\n\r\noh"),
            "{said}"
        );
        assert_eq!(runner.count(), 1);
    });
}

#[test]
fn a_success_without_its_stamp_is_none() {
    run(async {
        let runner = StandIn::new("i-1", |_, _| vec![whole("200 OK", "", "bare")]).await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        assert!(rig
            .ask(&request("/change/", "abc", "", "x"))
            .await
            .starts_with("HTTP/1.1 502 "));
    });
}

/// A surplus answer lies on the connection when the next request would be sent, or comes when that one waits for its own.
#[test]
fn a_surplus_answer_reaches_nobody() {
    run(async {
        for late in [false, true] {
            let surplus = whole("200 OK", SEAL, "surplus");
            let runner = StandIn::new("i-1", move |seen, n| {
                let mut acts = match (n, late) {
                    (0, false) => vec![done("first"), surplus.clone()],
                    (0, true) => vec![done("first")],
                    (1, true) => vec![write(
                        "HTTP/1.1 200 OK\r\nFordrelay-Attempt-Id: first\r\nFordrelay-Seal: 1\r\nContent-Length: 7\r\n\r\nsurplus",
                    )],
                    _ => vec![],
                };
                if n > 0 {
                    acts.push(done(&format!("answer to {}", seen.header("fordrelay-attempt-id").unwrap())));
                }
                acts
            })
            .await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            assert!(rig
                .ask(&request("/plain/", "first", "", "x"))
                .await
                .ends_with("first"));
            let second = rig.ask(&request("/plain/", "second", "", "x")).await;
            assert!(second.ends_with("answer to second"), "{second}");
            assert!(!second.contains("surplus"));
            // What may not be repeated gets no promise.
            if late {
                let runner = StandIn::new("i-2", move |_, n| match n {
                    0 => vec![done("first")],
                    _ => vec![write(
                        "HTTP/1.1 503 X\r\nFordrelay-Attempt-Id: first\r\nFordrelay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                    )],
                })
                .await;
                let rig = Rig::new(CONFIG, &[&runner]).await;
                rig.ask(&request("/change/", "first", "", "x")).await;
                let second = rig.ask(&request("/change/", "second", "", "x")).await;
                assert!(second.starts_with("HTTP/1.1 502 "), "{second}");
                assert_eq!(runner.count(), 2);
            }
        }
    });
}

#[test]
fn a_runner_that_takes_no_connection_costs_no_try() {
    run(async {
        let gone = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let runner = StandIn::new("i-1", |_, _| vec![done("ok")]).await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        for n in 0..2 {
            let mut dark = runner.runner("s", RunnerState::Up);
            (dark.id, dark.addr) = (format!("i-dark-{n}").into(), gone.local_addr().unwrap());
            rig.tell(&dark);
        }
        drop(gone);
        for n in 0..6 {
            let said = rig
                .ask(&request("/change/", &format!("r{n}"), "", "x"))
                .await;
            assert!(said.ends_with("ok"), "{said}");
        }
        assert_eq!(runner.count(), 6);
    });
}

#[test]
fn connections_to_runners_are_used_again_unless_they_say_that_they_end() {
    run(async {
        let runner = StandIn::new("i-1", |_, n| match n {
            2 => vec![
                whole("200 OK", "Fordrelay-Seal: 1\r\nConnection: close\r\n", "ok"),
                Act::Close,
            ],
            _ => vec![done("ok")],
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        for n in 0..5 {
            assert!(rig
                .ask(&request("/change/", &format!("r{n}"), "", "x"))
                .await
                .ends_with("ok"));
        }
        let on: Vec<usize> = runner
            .seen
            .borrow()
            .iter()
            .map(|seen| seen.connection)
            .collect();
        assert_eq!(on, [0, 0, 0, 1, 1]);
    });
}

#[test]
fn a_client_that_leaves_ends_its_request_at_the_runner() {
    run(async {
        for path in ["/change/", "/live/"] {
            let gone = Rc::new(Notify::new());
            let seen_gone = gone.clone();
            let runner = StandIn::new("i-1", move |_, _| {
                let mut acts = if path == "/live/" {
                    vec![stream_head(), event(1)]
                } else {
                    vec![]
                };
                acts.push(Act::Hang(seen_gone.clone()));
                acts
            })
            .await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            let mut client = TcpStream::connect(rig.http).await.unwrap();
            client
                .write_all(request(path, "abc", "", "x").as_bytes())
                .await
                .unwrap();
            runner.until(|r| r.count() == 1).await;
            if path == "/live/" {
                assert!(client.read(&mut [0; 64]).await.unwrap() > 0);
            }
            drop(client);
            gone.notified().await;
        }
    });
}

#[test]
fn a_deadline_that_passes_is_told_so_and_no_promise() {
    run_paused(async {
        let gone = Rc::new(Notify::new());
        let called = gone.clone();
        let runner = StandIn::new("i-1", move |_, _| vec![Act::Hang(called.clone())]).await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig
            .ask(&request(
                "/change/",
                "abc",
                "Fordrelay-Deadline-Ms: 40\r\n",
                "x",
            ))
            .await;
        assert!(said.starts_with("HTTP/1.1 504 "), "{said}");
        gone.notified().await;
        assert_eq!(runner.count(), 1);
    });
}

#[test]
fn a_runner_that_hangs_is_left_for_another_where_that_is_allowed() {
    run_paused(async {
        let hangs = StandIn::new("i-1", |_, _| vec![Act::Hang(Rc::new(Notify::new()))]).await;
        let runner = StandIn::new("i-2", |_, _| vec![done("ok")]).await;
        let rig = Rig::new(CONFIG, &[&hangs, &runner]).await;
        let mut asked = 0;
        while hangs.count() == 0 {
            let said = rig
                .ask(&request("/plain/", &format!("r{asked}"), "", "x"))
                .await;
            assert!(said.ends_with("ok"), "{said}");
            asked += 1;
            assert!(asked < 100);
        }
        // What may not be repeated waits for the runner that has it.
        let hangs = StandIn::new("i-1", |_, _| vec![Act::Hang(Rc::new(Notify::new()))]).await;
        let rig = Rig::new(CONFIG, &[&hangs]).await;
        let said = rig.ask(&request("/change/", "r", "", "x")).await;
        assert!(said.starts_with("HTTP/1.1 504 "), "{said}");
        assert_eq!(hangs.count(), 1);
    });
}

/// A route that allowed a repeat when the request was sent no longer does when it has broken off.
#[test]
fn what_may_have_run_is_not_repeated_by_a_later_configuration() {
    run(async {
        let go = Rc::new(Notify::new());
        let called = go.clone();
        let runner = StandIn::new("i-1", move |_, _| {
            vec![Act::Wait(called.clone()), Act::Close]
        })
        .await;
        let rig = Rc::new(Rig::new(CONFIG, &[&runner]).await);
        let asking = rig.clone();
        let answer =
            tokio::task::spawn_local(
                async move { asking.ask(&request("/plain/", "a", "", "x")).await },
            );
        runner.until(|r| r.count() == 1).await;
        rig.configure(
            &CONFIG
                .replace("\"Gen\":1", "\"Gen\":2")
                .replace("idempotent", "mutating"),
        );
        go.notify_one();
        let said = answer.await.unwrap();
        assert!(said.starts_with("HTTP/1.1 502 "), "{said}");
        assert_eq!(runner.count(), 1);
    });
}

#[test]
fn a_runner_that_is_the_one_meant_may_misdirect_and_is_not_avoided() {
    run_paused(async {
        let runner = StandIn::new("i-1", |_, n| match n {
            0 => vec![whole(
                "421 Misdirected Request",
                "Fordrelay-Runner: i-1\r\n",
                "",
            )],
            _ => vec![done("ok")],
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig.ask(&request("/change/", "a", "", "x")).await;
        assert!(said.ends_with("ok"), "{said}");
        // The connection leads to the right runner and is kept, but not for the same try: a second answer to its first send
        // would bear the id that its second send waits for.
        let said = rig.ask(&request("/change/", "b", "", "x")).await;
        assert!(said.ends_with("ok"), "{said}");
        let on: Vec<usize> = runner
            .seen
            .borrow()
            .iter()
            .map(|seen| seen.connection)
            .collect();
        assert_eq!(
            (on, runner.closed.get()),
            (vec![0, 1, 1], 0),
            "both connections lead to the right runner"
        );
    });
}
