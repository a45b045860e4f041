//! Connections to runners in the ways that sockets have: half-closed, reset, silent, with late and surplus answers, reused
//! addresses. Each caller gets its own answer or an error, and what may not be repeated is not sent twice.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use common::{
    chunk, declined, done, event, request, run, run_paused, stream_head, unchunked, whole, write,
    Act, Rig, Seen, StandIn, CONFIG, SEAL,
};
use gateway::client::request::Request;
use gateway::connection::connect_timeout::ConnectTimeout;
use gateway::connection::pool::{ConnectionNumber, Pool, Pooled};
use gateway::connection::upstream::Upstream;
use gateway::proxy::attempt::{send, AttemptHistory, AttemptResult, RouteTerms, MIN_REMAINING_MS};
use gateway::selection::selector::{Key, Selection, SelectionRequest};
use runner_registry::RunnerState;
use runner_selection::RunnerKey;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

fn attempt(seen: &Seen) -> String {
    seen.header("fordrelay-attempt-id")
        .unwrap_or_default()
        .to_owned()
}

/// The status code of an answer; 0 where there is none.
fn status(said: &str) -> u16 {
    said.split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0)
}

/// The connections on which the requests came.
fn connections(runner: &StandIn) -> Vec<usize> {
    runner
        .seen
        .borrow()
        .iter()
        .map(|seen| seen.connection)
        .collect()
}

/// A runner's end of its in_flight, its reset and its surplus bytes reach a kept connection while nobody uses it: the next
/// request that may not be repeated goes out on another one, and is served.
#[test]
fn a_kept_connection_that_has_ended_or_got_more_is_not_used_for_what_may_not_be_repeated() {
    run(async {
        let surplus = whole("200 OK", SEAL, "surplus");
        for after in [
            vec![Act::Close],
            vec![Act::Reset],
            vec![surplus],
            vec![write("x"), Act::Reset],
        ] {
            let go = Rc::new(Notify::new());
            let (called, acts) = (go.clone(), after.clone());
            let runner = StandIn::new("i-1", move |seen, n| {
                let mut all = vec![done(&format!("to {}", attempt(seen)))];
                if n == 0 {
                    all.push(Act::Wait(called.clone()));
                    all.extend(acts.clone());
                }
                all
            })
            .await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            assert!(rig
                .ask(&request("/change/", "a", "", "x"))
                .await
                .ends_with("to a"));
            go.notify_one();
            // The loopback hands over what the runner does now in its turn.
            for _ in 0..20 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let said = rig.ask(&request("/change/", "b", "", "x")).await;
            assert!(said.ends_with("to b"), "{said}");
            assert_eq!(connections(&runner), [0, 1]);
        }
    });
}

/// A runner that has forgotten an idle connection resets it at the next bytes: they had left, so nothing is promised, and
/// only what may be repeated is.
#[test]
fn what_was_written_to_a_forgotten_connection_may_have_run() {
    run(async {
        for (path, expected, sends) in [("/change/", 502, 2), ("/plain/", 200, 3)] {
            let runner = StandIn::new("i-1", |seen, n| match n {
                1 => vec![Act::Reset],
                _ => vec![done(&format!("to {}", attempt(seen)))],
            })
            .await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            assert!(rig
                .ask(&request(path, "a", "", "x"))
                .await
                .ends_with("to a"));
            let said = rig.ask(&request(path, "b", "", "x")).await;
            assert_eq!(status(&said), expected, "{said}");
            assert_eq!(runner.count(), sends);
            assert_eq!(connections(&runner)[..2], [0, 0]);
        }
    });
}

/// A runner answers after the request's time is over. Its connection is gone by then, and the next caller has its own.
#[test]
fn an_answer_after_the_time_reaches_nobody() {
    run_paused(async {
        for path in ["/change/", "/plain/", "/once/"] {
            let gone = Rc::new(Notify::new());
            let late = gone.clone();
            let runner = StandIn::new("i-1", move |seen, n| match n {
                0 => vec![Act::Wait(late.clone()), done("late")],
                _ => vec![done(&format!("to {}", attempt(seen)))],
            })
            .await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            let said = rig
                .ask(&request(path, "a", "Fordrelay-Deadline-Ms: 1000\r\n", "x"))
                .await;
            assert_eq!(status(&said), 504, "{said}");
            gone.notify_one();
            let said = rig.ask(&request(path, "b", "", "x")).await;
            assert!(said.contains("to b") && !said.contains("late"), "{said}");
            assert_eq!(connections(&runner), [0, 1]);
        }
    });
}

/// A second word of "not run" for the same try, on the same connection, comes where the answer to its second send is due.
/// It was due earlier: the second send may have run.
#[test]
fn a_try_is_sent_once_on_a_connection() {
    run(async {
        let not_run = "HTTP/1.1 421 Misdirected Request\r\nFordrelay-Attempt-Id: {id}\r\nFordrelay-Runner: {want}\r\nContent-Length: 0\r\n\r\n";
        let runner = StandIn::new("i-1", move |_, n| match n {
            0 => vec![write(not_run)],
            1 => vec![write(not_run), done("ran")],
            _ => vec![done("ran once more")],
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        rig.ask(&request("/change/", "a", "", "x")).await;
        let on = connections(&runner);
        assert!(
            on.len() < 2 || on[0] != on[1],
            "sent twice on one connection: {on:?}"
        );
    });
}

/// Whether the next try of a request, told `not run` on a connection, is answered by what its second send brings.
#[test]
fn a_second_word_of_not_run_is_no_promise_for_the_second_send() {
    run(async {
        // Each connection of this runner gives the first word at once, and the same word again before any later answer.
        let not_run = "HTTP/1.1 421 Misdirected Request\r\nFordrelay-Attempt-Id: {id}\r\nFordrelay-Runner: {want}\r\nContent-Length: 0\r\n\r\n";
        let ran = Rc::new(std::cell::Cell::new(0));
        let count = ran.clone();
        let runner = StandIn::new("i-1", move |seen, n| {
            if n == 0 {
                return vec![write(not_run)];
            }
            count.set(count.get() + 1);
            let mut acts = vec![done("ran")];
            if seen.connection == 0 {
                acts.insert(0, write(not_run));
            }
            acts
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig.ask(&request("/change/", "a", "", "x")).await;
        assert_eq!((ran.get(), status(&said)), (1, 200), "{said}");
    });
}

fn unframed(more: &str, body: &str) -> Act {
    write(format!(
        "HTTP/1.1 200 OK\r\nFordrelay-Attempt-Id: {{id}}\r\n{SEAL}{more}Connection: close\r\n\r\n{body}"
    ))
}

const EVENTS: &str = "Content-Type: text/event-stream\r\n";

/// An answer without a length ends with its connection; one that is reset is not whole.
#[test]
fn an_answer_without_a_length_is_whole_only_at_a_clean_end() {
    run(async {
        for (last, expected) in [(Act::Close, 200), (Act::Reset, 502)] {
            let runner = StandIn::new("i-1", move |_, _| {
                vec![unframed("", "all of it"), last.clone()]
            })
            .await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            let said = rig.ask(&request("/change/", "a", "", "x")).await;
            assert_eq!(status(&said), expected, "{said}");
            assert_eq!(runner.count(), 1);
        }
    });
}

/// A stream without a length whose connection ends response_started an event, or before any, has broken off.
#[test]
fn a_stream_without_a_length_that_ends_amid_an_event_is_not_complete() {
    run(async {
        let cut = unframed(EVENTS, "id: 1\ndata: piece 1\n\nid: 2\ndata: pie");
        let runner = StandIn::new("i-1", move |_, _| vec![cut.clone(), Act::Close]).await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig.ask(&request("/once/", "a", "", "x")).await;
        assert!(!said.ends_with("0\r\n\r\n"), "it appears complete: {said}");

        for bytes in ["", "id: 1\ndata: pie"] {
            let cut = unframed(EVENTS, bytes);
            let runner = StandIn::new("i-1", move |_, _| vec![cut.clone(), Act::Close]).await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            let said = rig.ask(&request("/once/", "a", "", "x")).await;
            assert_eq!(status(&said), 502, "{said}");
            assert_eq!(runner.count(), 1);
        }
    });
}

/// The same, where the stream may be taken up: another runner begins it anew.
#[test]
fn a_resumable_stream_without_a_length_that_ends_before_its_first_event_is_begun_anew() {
    run(async {
        let cut = unframed(EVENTS, "");
        let runner = StandIn::new("i-1", move |_, n| match n {
            0 => vec![cut.clone(), Act::Close],
            _ => vec![stream_head(), event(1), common::last_chunk()],
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig.ask(&request("/live/", "a", "", "x")).await;
        let (_, body, complete) = unchunked(&said);
        assert!(complete && body.contains("piece 1"), "{said}");
        assert_eq!(runner.count(), 2);
    });
}

/// Only a runner's own stream is joined to one that broke off: what carries no stamp is none.
#[test]
fn a_stream_is_not_taken_up_with_an_answer_that_has_no_stamp() {
    run(async {
        let odd = write(
            "HTTP/1.1 200 OK\r\nFordrelay-Attempt-Id: {id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        );
        let runner = StandIn::new("i-1", move |_, n| match n {
            0 => vec![stream_head(), event(1), Act::Close],
            1 => vec![
                odd.clone(),
                chunk("id: 2\ndata: not sealed\n\n"),
                common::last_chunk(),
            ],
            _ => vec![stream_head(), event(2), common::last_chunk()],
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let (_, body, complete) = unchunked(&rig.ask(&request("/live/", "a", "", "x")).await);
        assert!(!body.contains("not sealed"), "{body}");
        assert!(complete && body.contains("piece 2"), "{body}");
    });
}

/// A runner may turn a long request away before it has read its body. What has not left yet owner to that request, so
/// the connection is not used for another one.
#[test]
fn a_connection_with_an_unsent_rest_of_a_request_is_not_kept() {
    run(async {
        const LONG: usize = 24 << 20;
        let socket = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = socket.local_addr().unwrap();
        let served = tokio::task::spawn_local(async move {
            let (mut first, _) = socket.accept().await.unwrap();
            let mut bytes = Vec::new();
            while !bytes.windows(4).any(|w| w == b"\r\n\r\n") {
                first.read_buf(&mut bytes).await.unwrap();
            }
            let early = "HTTP/1.1 503 X\r\nFordrelay-Attempt-Id: a\r\nFordrelay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
            first.write_all(early.as_bytes()).await.unwrap();
            // It reads on once another request has come on another connection.
            let (mut second, _) = socket.accept().await.unwrap();
            let (head, _) = common::read_message(&mut second, &mut Vec::new())
                .await
                .unwrap()
                .unwrap();
            let id = common::header(&head, "fordrelay-attempt-id").unwrap();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nFordrelay-Attempt-Id: {id}\r\n{SEAL}Content-Length: 4\r\n\r\nto {id}"
            );
            second.write_all(answer.as_bytes()).await.unwrap();
            let mut read = bytes.len();
            while let Ok(n @ 1..) = first.read(&mut [0; 65_536]).await {
                read += n;
            }
            read
        });
        let config = CONFIG
            .replace("\"MaxBodyBytes\":100000", "\"MaxBodyBytes\":33554432")
            .replace("\"Tries\":3", "\"Tries\":1");
        let stand_in = StandIn::new("i-1", |_, _| vec![]).await;
        let rig = Rig::new(&config, &[]).await;
        let mut runner = stand_in.runner("s", RunnerState::Up);
        runner.addr = addr;
        rig.tell(&runner);
        let said = rig
            .ask(&request("/change/", "a", "", &"x".repeat(LONG)))
            .await;
        assert_eq!(status(&said), 503, "{}", said.get(..200).unwrap_or(&said));
        let said = rig.ask(&request("/change/", "b", "", "x")).await;
        assert!(said.ends_with("to b"), "{said}");
        let read = served.await.unwrap();
        assert!(
            read < LONG,
            "{read} bytes of the request that was turned away have come"
        );
    });
}

/// The address of a runner that is gone is another's now: a kept connection and a new one lead to it alike, and it says that
/// it is not the one meant. What was asked for has not run there, and runs at a runner of its own.
#[test]
fn a_reused_address_runs_nothing() {
    run(async {
        let elsewhere = "HTTP/1.1 421 Misdirected Request\r\nFordrelay-Attempt-Id: {id}\r\nFordrelay-Runner: i-new\r\nContent-Length: 0\r\n\r\n";
        let reused = StandIn::new("i-1", move |_, n| match n {
            0 => vec![done("before")],
            _ => vec![write(elsewhere)],
        })
        .await;
        let rig = Rig::new(CONFIG, &[&reused]).await;
        assert!(rig
            .ask(&request("/change/", "a", "", "x"))
            .await
            .ends_with("before"));
        let own = StandIn::new("i-2", |seen, _| {
            vec![done(&format!("to {}", attempt(seen)))]
        })
        .await;
        rig.tell(&own.runner("s", RunnerState::Up));
        for n in 0..20 {
            let id = format!("r{n}");
            let said = rig.ask(&request("/change/", &id, "", "x")).await;
            assert!(said.ends_with(&format!("to {id}")), "{said}");
        }
        assert!(reused.count() > 1, "the reused address was never asked");
        for seen in reused.seen.borrow().iter() {
            assert_eq!(seen.header("fordrelay-want-runner"), Some("i-1"));
        }
    });
}

/// A switch of protocols that nobody asked for is no answer.
#[test]
fn a_switch_of_protocols_is_no_answer() {
    run(async {
        let runner = StandIn::new("i-1", |_, _| {
            vec![write("HTTP/1.1 101 Switching Protocols\r\nFordrelay-Attempt-Id: {id}\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n")]
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig.ask(&request("/change/", "a", "", "x")).await;
        assert_eq!(status(&said), 502, "{said}");
    });
}

/// Two requests on one connection of a client: the second is answered after the first, each with its own.
#[test]
fn requests_in_a_row_are_answered_in_order() {
    run(async {
        let slow = Rc::new(Notify::new());
        let wait = slow.clone();
        let runner = StandIn::new("i-1", move |seen, n| {
            let answer = done(&format!("to {}", attempt(seen)));
            if n == 0 {
                vec![Act::Wait(wait.clone()), answer]
            } else {
                vec![answer]
            }
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let mut client = TcpStream::connect(rig.http).await.unwrap();
        let first = request("/change/", "a", "", "x").replace("Connection: close\r\n", "");
        client
            .write_all(format!("{first}{}", request("/change/", "b", "", "y")).as_bytes())
            .await
            .unwrap();
        runner.until(|runner| runner.count() == 1).await;
        slow.notify_one();
        let mut said = String::new();
        client.read_to_string(&mut said).await.unwrap();
        let (a, b) = (said.find("to a").unwrap(), said.find("to b").unwrap());
        assert!(a < b, "{said}");
        assert_eq!(runner.count(), 2);
    });
}

/// Only what has certainly not run is refused: of all that a runner may say or leave unsaid, nothing else is.
#[test]
fn only_a_runners_word_of_not_run_becomes_a_refusal() {
    run(async {
        let foreign = "HTTP/1.1 503 X\r\nFordrelay-Attempt-Id: other\r\nFordrelay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let cases = [
            (vec![declined()], 503),
            (vec![write(foreign)], 502),
            (vec![whole("503 X", "", "")], 502),
            (vec![whole("429 X", "", "")], 502),
            (vec![Act::Close], 502),
            (vec![Act::Reset], 502),
            (
                vec![
                    write("HTTP/1.1 503 X\r\nFordrelay-Not-Run: 1\r\n"),
                    Act::Close,
                ],
                502,
            ),
            (vec![write("\r\n\r\nnonsense\r\n\r\n")], 502),
        ];
        for (acts, expected) in cases {
            let runner = StandIn::new("i-1", move |_, _| acts.clone()).await;
            let rig = Rig::new(&CONFIG.replace("\"Tries\":3", "\"Tries\":1"), &[&runner]).await;
            let said = rig.ask(&request("/change/", "a", "", "x")).await;
            assert_eq!(status(&said), expected, "{said}");
            assert_eq!(runner.count(), 1);
        }
    });
}

/// Each run gives one event and breaks off: the stream is sent to as many runners as its route allows, and no more.
#[test]
fn a_stream_is_taken_up_no_more_often_than_its_route_allows() {
    run(async {
        let runner =
            StandIn::new("i-1", |_, n| vec![stream_head(), event(n + 1), Act::Close]).await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let said = rig.ask(&request("/live/", "a", "", "x")).await;
        assert!(!said.ends_with("0\r\n\r\n"), "it appears complete: {said}");
        assert_eq!(runner.count(), 3);
    });
}

/// A stream that may not be taken up ends at its route's time, and not before: silence alone is no reason.
#[test]
fn a_silent_stream_ends_at_the_time_of_its_route() {
    run_paused(async {
        let gone = Rc::new(Notify::new());
        let hangs = gone.clone();
        let runner = StandIn::new("i-1", move |_, _| {
            vec![stream_head(), event(1), Act::Hang(hangs.clone())]
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let started = tokio::time::Instant::now();
        let said = rig.ask(&request("/once/", "a", "", "x")).await;
        let took = started.elapsed().as_millis();
        assert!((6_000..6_500).contains(&took), "{took} ms");
        assert!(
            said.contains("piece 1") && !said.ends_with("0\r\n\r\n"),
            "{said}"
        );
        gone.notified().await;
    });
}

/// What is left of a client's patience is counted when its request goes out: a second send is handed less than the first.
#[test]
fn a_later_send_is_handed_less_time() {
    run_paused(async {
        let held = Rc::new(Notify::new());
        let hold = held.clone();
        let runner = StandIn::new("i-1", move |_, n| match n {
            0 => vec![Act::Wait(hold.clone()), Act::Close],
            _ => vec![done("ok")],
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let text = request("/plain/", "a", "Fordrelay-Deadline-Ms: 3000\r\n", "x");
        let later = async {
            runner.until(|runner| runner.count() == 1).await;
            tokio::time::sleep(Duration::from_millis(40)).await;
            held.notify_one();
        };
        let (said, ()) = tokio::join!(rig.ask(&text), later);
        assert!(said.ends_with("ok"), "{said}");
        let told: Vec<u64> = runner
            .seen
            .borrow()
            .iter()
            .map(|seen| {
                seen.header("fordrelay-deadline-ms")
                    .unwrap()
                    .parse()
                    .unwrap()
            })
            .collect();
        assert!(told[0] <= 3_000 && told[1] + 30 <= told[0], "{told:?}");
    });
}

/// Without an id a word of "not run" may be one that was due earlier, but not on a connection that carried nothing before.
#[test]
fn a_word_of_not_run_without_an_id_counts_on_a_new_connection_only() {
    run(async {
        let nameless = "HTTP/1.1 503 X\r\nFordrelay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        for (first, expected) in [(None, 503), (Some(done("first")), 502)] {
            let answers: Vec<Act> = first.iter().cloned().chain([write(nameless)]).collect();
            let runner = StandIn::new("i-1", move |_, n| vec![answers[n].clone()]).await;
            let rig = Rig::new(&CONFIG.replace("\"Tries\":3", "\"Tries\":1"), &[&runner]).await;
            if first.is_some() {
                assert!(rig
                    .ask(&request("/change/", "a", "", "x"))
                    .await
                    .ends_with("first"));
            }
            let said = rig.ask(&request("/change/", "b", "", "x")).await;
            assert_eq!(status(&said), expected, "{said}");
            assert_eq!(connections(&runner).last(), Some(&0));
        }
    });
}

/// What the runner's end of a kept connection does without that the program's turn ends, so that only the system knows.
#[derive(Clone, Copy, PartialEq)]
enum Unseen {
    Surplus,
    HalfClosed,
    Reset,
}

/// A kept connection at whose other end this has happened just now.
async fn kept_with(unseen: Unseen) -> (Pool, Key, std::thread::JoinHandle<()>) {
    use std::io::{Read, Write};
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (go, on) = std::sync::mpsc::channel::<()>();
    let (done, happened) = std::sync::mpsc::channel();
    let runner = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).unwrap();
            bytes.extend(byte);
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=15\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        on.recv().unwrap();
        match unseen {
            Unseen::Surplus => stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .unwrap(),
            Unseen::HalfClosed => stream.shutdown(std::net::Shutdown::Write).unwrap(),
            Unseen::Reset => {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                drop(stream);
                return done.send(()).unwrap();
            }
        }
        done.send(()).unwrap();
        // It takes what comes and answers nothing more.
        let _ = stream.read(&mut [0; 4096]);
    });
    let (pool, key) = (Pool::default(), RunnerKey(1));
    let mut upstream = Upstream::open(addr, pool.count_connection(key), &ConnectTimeout::default())
        .await
        .unwrap();
    let (head, mut body) = upstream.send(bare_request()).await.unwrap().into_parts();
    assert!(upstream.data(&mut body).await.is_none());
    pool.put(key, upstream.rest(&head.headers).expect("it can be kept"));
    go.send(()).unwrap();
    happened.recv().unwrap();
    (pool, key, runner)
}

fn bare_request() -> hyper::Request<http_body_util::Full<bytes::Bytes>> {
    hyper::Request::builder()
        .uri("/")
        .header("host", "h.example")
        .body(Default::default())
        .unwrap()
}

/// For what may not be repeated the system itself is asked; what may be takes what the program knows.
#[test]
fn the_system_is_asked_before_what_may_not_be_repeated_goes_out() {
    run(async {
        for unseen in [Unseen::Surplus, Unseen::HalfClosed, Unseen::Reset] {
            let (pool, key, runner) = kept_with(unseen).await;
            assert!(pool.take(key, true, &[]).is_none());
            drop(pool);
            runner.join().unwrap();
        }
    });
}

/// Whether anything of a request has left is counted, not guessed: a reset that has arrived takes nothing, a connection whose
/// other end sends no more still takes it.
#[test]
fn a_write_to_a_connection_that_was_reset_is_known_as_not_sent() {
    run(async {
        for (unseen, unsent) in [(Unseen::Reset, true), (Unseen::HalfClosed, false)] {
            let (pool, key, runner) = kept_with(unseen).await;
            let mut upstream = pool
                .take(key, false, &[])
                .expect("nothing is known of it yet");
            let Err(broken) = upstream.send(bare_request()).await else {
                panic!("there is no answer")
            };
            assert_eq!(broken.is_unsent(), unsent, "{broken}");
            drop(upstream);
            runner.join().unwrap();
        }
    });
}

/// One word that an address is another runner's now ends all connections that are kept for it.
#[test]
fn a_word_from_a_reused_address_ends_its_other_kept_connections() {
    run(async {
        let both = Rc::new(Notify::new());
        let (wait, elsewhere) = (both.clone(), "Fordrelay-Runner: i-new\r\n");
        let runner = StandIn::new("i-1", move |_, n| match n {
            0 | 1 => vec![
                Act::Wait(wait.clone()),
                whole("200 OK", &format!("{SEAL}Keep-Alive: timeout=60\r\n"), "ok"),
            ],
            _ => vec![whole("421 Misdirected Request", elsewhere, "")],
        })
        .await;
        let rig = Rig::new(&CONFIG.replace("\"Tries\":3", "\"Tries\":1"), &[&runner]).await;
        let (a, b) = (
            request("/change/", "a", "", "x"),
            request("/change/", "b", "", "x"),
        );
        let go = async {
            runner.until(|runner| runner.count() == 2).await;
            both.notify_waiters();
        };
        let (a, b, ()) = tokio::join!(rig.ask(&a), rig.ask(&b), go);
        assert!(a.ends_with("ok") && b.ends_with("ok"), "{a} {b}");
        assert_eq!((connections(&runner), runner.closed.get()), (vec![0, 1], 0));
        let said = rig
            .ask(&request(
                "/change/",
                "c",
                "Fordrelay-Deadline-Ms: 300\r\n",
                "x",
            ))
            .await;
        assert_eq!(status(&said), 503, "{said}");
        let ended = runner.until(|runner| runner.closed.get() >= 2);
        tokio::time::timeout(Duration::from_secs(5), ended)
            .await
            .expect("another connection is kept");
    });
}

/// What another runner says at a reused address of its own load says nothing of the one that was meant: its slots are not
/// counted, nor taken off the service when the one that was meant is gone.
#[test]
fn the_load_of_another_runner_at_a_reused_address_is_not_counted() {
    run(async {
        let elsewhere = "Fordrelay-Runner: i-new\r\nFordrelay-Runner-Load: 90,9,400\r\n";
        let reused = StandIn::new("i-1", move |_, _| {
            vec![whole("421 Misdirected Request", elsewhere, "")]
        })
        .await;
        let rig = Rig::new(CONFIG, &[&reused]).await;
        let learned = || {
            rig.process
                .gateway
                .selector
                .learned("s")
                .expect("the service is known")
        };
        let before = learned();
        assert_eq!(before.load_by_others, 0.0);
        let said = rig
            .ask(&request(
                "/change/",
                "a",
                "Fordrelay-Deadline-Ms: 300\r\n",
                "x",
            ))
            .await;
        assert!(status(&said) == 503 && reused.count() > 0, "{said}");
        assert_eq!(
            learned().load_by_others,
            0.0,
            "another runner's load was counted"
        );
        assert_eq!(
            learned().slots,
            before.slots,
            "another runner's slots were counted"
        );
        // The answer to another request says nothing either.
        let own = StandIn::new("i-2", |_, _| {
            vec![write("HTTP/1.1 200 OK\r\nFordrelay-Attempt-Id: other\r\nFordrelay-Runner: i-2\r\nFordrelay-Runner-Load: 90,9,400\r\nContent-Length: 0\r\n\r\n")]
        })
        .await;
        rig.tell(&own.runner("s", RunnerState::Up));
        rig.process.gateway.selector.remove_runner("i-1");
        let alone = learned().slots;
        rig.ask(&request(
            "/change/",
            "b",
            "Fordrelay-Deadline-Ms: 300\r\n",
            "x",
        ))
        .await;
        assert!(own.count() > 0);
        assert_eq!((learned().load_by_others, learned().slots), (0.0, alone));
    });
}

/// `Connection: close` is looked at here, not by the HTTP library alone: that one passes over a value with bytes beyond ASCII.
#[test]
fn a_connection_that_its_runner_says_ends_is_not_used_again() {
    run(async {
        for said in [
            "close",
            "Close",
            "keep-alive, close",
            "close, \u{e9}",
            "\u{e9} , CLOSE",
        ] {
            let extra = format!("{SEAL}Connection: {said}\r\n");
            let runner = StandIn::new("i-1", move |_, _| vec![whole("200 OK", &extra, "ok")]).await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            for id in ["a", "b"] {
                let answer = rig.ask(&request("/plain/", id, "", "x")).await;
                assert!(answer.ends_with("ok"), "{answer}");
            }
            assert_eq!(connections(&runner), [0, 1], "{said:?}");
        }
    });
}

/// A request whose time is all but over is refused without a look for a runner.
#[test]
fn a_request_without_time_goes_nowhere() {
    run(async {
        let runner = StandIn::new("i-1", |_, _| vec![done("ok")]).await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        for left in 0..=MIN_REMAINING_MS {
            for path in ["/change/", "/plain/", "/live/"] {
                let said = rig
                    .ask(&request(
                        path,
                        "a",
                        &format!("Fordrelay-Deadline-Ms: {left}\r\n"),
                        "x",
                    ))
                    .await;
                assert_eq!(status(&said), 503, "{said}");
            }
        }
        assert_eq!((runner.count(), runner.opened.get()), (0, 0));
    });
}

/// Opening a connection takes time: a send with less left than an answer needs is not started. That it may have run before
/// is not forgotten over it.
#[test]
fn a_send_without_time_is_not_begun() {
    run(async {
        for (timeout_ms, may_have_run) in [
            (MIN_REMAINING_MS, false),
            (MIN_REMAINING_MS, true),
            (60_000, false),
        ] {
            let runner = StandIn::new("i-1", |_, _| vec![done("ok")]).await;
            let rig = Rig::new(CONFIG, &[&runner]).await;
            let gateway = &rig.process.gateway;
            let config = gateway.config().unwrap();
            let route = config.route("h.example", "/plain/").unwrap();
            let head = hyper::Request::post("/plain/x")
                .header("fordrelay-attempt-id", "a")
                .body(())
                .unwrap();
            let (head, ()) = head.into_parts();
            let now = gateway.clock.now();
            let request = Request::new(head, "h.example".into(), "x".into(), now).unwrap();
            let terms = RouteTerms {
                timeout_ms,
                ..RouteTerms::of(route)
            };
            let mut history = AttemptHistory {
                may_have_run,
                ..AttemptHistory::default()
            };
            let ask = SelectionRequest {
                request: &request,
                route,
                history: &history,
                left_ms: 4_000,
                now,
                response_started: false,
            };
            let Selection::Runner(chosen) = gateway.selector.select(&ask) else {
                panic!("no runner")
            };
            let (sent, begins) =
                match send(gateway, &request, &terms, chosen, &mut history, None).await {
                    AttemptResult::Responded(_) => ("started", 1),
                    AttemptResult::NotSent => ("unsent", 0),
                    AttemptResult::TimedOut => ("timed out", 0),
                    AttemptResult::Declined(_) | AttemptResult::Broken => ("another", 0),
                };
            let expected = match (timeout_ms, may_have_run) {
                (MIN_REMAINING_MS, false) => "unsent",
                (MIN_REMAINING_MS, true) => "timed out",
                _ => "started",
            };
            assert_eq!(sent, expected);
            assert_eq!((runner.count(), history.sends), (begins, begins as u32));
        }
    });
}

/// How long a connection is waited for follows what others took, within bounds.
#[test]
fn a_connection_is_waited_for_as_long_as_others_took_and_some_more() {
    let ms = Duration::from_millis;
    let wait = ConnectTimeout::default();
    assert_eq!(wait.most(), ms(300), "nothing is known yet");
    (0..100).for_each(|_| wait.record_connected(ms(3)));
    assert_eq!(
        wait.most(),
        ms(60),
        "a process that stands still for a moment blames nobody"
    );
    (0..100).for_each(|n| wait.record_connected(ms(if n % 2 == 0 { 40 } else { 80 })));
    assert!(
        (ms(120)..=ms(160)).contains(&wait.most()),
        "{:?}",
        wait.most()
    );
    (0..100).for_each(|_| wait.record_connected(ms(900)));
    assert_eq!(
        wait.most(),
        ms(300),
        "a lost opening is sent again only after a second"
    );
}

/// A connection that was used some time ago.
struct Rested(Duration);

impl Pooled for Rested {
    fn number(&self) -> ConnectionNumber {
        ConnectionNumber(1)
    }

    fn idle_for(&self) -> Duration {
        self.0
    }

    fn is_usable(&mut self, _careful: bool) -> bool {
        true
    }

    fn is_worth_keeping(&mut self) -> bool {
        true
    }
}

/// The runner may have gone dark since: a new connection would show it before the request is sent.
#[test]
fn what_may_not_be_repeated_goes_only_on_a_connection_that_was_used_just_now() {
    let pool: Pool<Rested> = Pool::default();
    let key = RunnerKey(7);
    pool.put(key, Rested(Duration::from_millis(400)));
    assert!(pool.take(key, true, &[]).is_none());
    assert!(
        pool.take(key, false, &[]).is_some(),
        "it is good for what may be repeated"
    );
    pool.put(key, Rested(Duration::from_millis(100)));
    assert!(pool.take(key, true, &[]).is_some());
}
