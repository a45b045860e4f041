//! Endings that cross something still owed, on the whole program: clients that go, answers that come twice, the instant in
//! which a connection or the process ends. `docs/request-termination.md` has the states these force.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use common::*;
use rstest::rstest;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A client that sends more behind its request and goes: hyper reads no end behind bytes that it holds, and the job went on
/// for nobody, up to its deadline.
#[rstest]
#[case::a_byte(1)]
#[case::as_much_as_a_request(8 * 1024)]
#[case::more_than_is_kept(200 * 1024)]
fn a_client_that_sends_more_behind_its_request_and_goes_has_gone(#[case] more: usize) {
    let target = peer(|m| Some(lines(m, &[STARTED]).replace("0\r\n\r\n", "")));
    let (program, _calls) = with_target(&target);
    let mut client = program.connect();
    client.get_mut().set_write_timeout(Some(NEVER)).unwrap();
    client.get_mut().write_all(job("watch").as_bytes()).unwrap();
    assert!(target.seen.recv().unwrap().1.is_some());
    client.get_mut().write_all(&vec![b'x'; more]).unwrap();
    drop(client);
    let ended = target
        .seen
        .recv_timeout(NEVER)
        .expect("the connection to the target is closed")
        .1;
    assert!(ended.is_none());
}

/// What is sent behind a request is answered after it, as far as it is kept; a client that does not wait has more bytes under
/// way when its answer comes, and gets that answer whole all the same.
#[rstest]
#[case::one_more_request(1, 2)]
#[case::more_than_is_kept(4_000, 1)]
fn an_answer_arrives_whole_whatever_was_sent_behind_its_request(
    #[case] more: usize,
    #[case] answers: usize,
) {
    let (release, gate) = channel::<()>();
    let gate = Arc::new(Mutex::new(gate));
    let target = peer(move |m| {
        let _ = gate.lock().unwrap().recv();
        Some(lines(m, &[STARTED, DONE]))
    });
    let (program, _calls) = with_target(&target);
    let mut client = program.connect();
    client
        .get_mut()
        .write_all(with_id("watch", "first").as_bytes())
        .unwrap();
    assert!(target.seen.recv().unwrap().1.is_some());
    let mut behind = client.get_ref().try_clone().unwrap();
    let writes = thread::spawn(move || {
        for n in 0..more {
            if behind
                .write_all(with_id("watch", &format!("behind-{n}")).as_bytes())
                .is_err()
            {
                break;
            }
        }
    });
    if answers == 1 {
        thread::sleep(Duration::from_millis(300));
    } else {
        writes.join().unwrap();
    }
    drop(release);
    for _ in 0..answers {
        assert_eq!(read(&mut client).expect("an answer").body, "rün".as_bytes());
    }
    assert_eq!(program.ask("watch").status(), "200");
}

/// A client may have come, asked and gone before anybody has read a byte: behind a crowd, or while the process stood still.
#[test]
fn a_request_whose_client_has_gone_before_it_is_read_goes_to_nobody() {
    let target = serving();
    let (program, _calls) = with_target(&target);
    assert_eq!(program.ask("watch").status(), "200");
    ids(&target.seen);
    program.stop();
    for n in 0..20 {
        let mut client = program.connect();
        client
            .get_mut()
            .write_all(with_id("settle", &format!("gone-{n}")).as_bytes())
            .unwrap();
    }
    program.signal("CONT");
    assert_eq!(program.ask("watch").status(), "200");
    assert_eq!(ids(&target.seen), ["9b1f"]);
    // All of them are closed and counted.
    while !program
        .call("GET", "/-/metrics")
        .1
        .contains("\nsvc_active 0\n")
    {}
}

/// A job that is held has a client, too: one that goes while nothing can take its job ends it at once.
#[test]
fn a_client_that_goes_while_its_request_is_held_is_sent_on_for_no_more() {
    let target = serving();
    let (addr, calls) = {
        let (sender, answers) = channel::<String>();
        let answers = Arc::new(Mutex::new(answers));
        let discovery = peer(move |_| answers.lock().unwrap().recv().ok());
        ((discovery.addr, sender), discovery.seen)
    };
    let (addr, list_it) = addr;
    let program = Program::start(&list(1, true, &[]), addr, 1_024);
    assert!(calls.recv().unwrap().1.is_some());
    let mut stays = program.connect();
    stays
        .get_mut()
        .write_all(with_id("settle", "stays").as_bytes())
        .unwrap();
    let clients: Vec<_> = (0..10)
        .map(|n| {
            let mut client = program.connect();
            client
                .get_mut()
                .write_all(with_id("settle", &format!("goes-{n}")).as_bytes())
                .unwrap();
            client
        })
        .collect();
    while !program
        .call("GET", "/-/metrics")
        .1
        .contains("\nsvc_active 11\n")
    {}
    drop(clients);
    while !program
        .call("GET", "/-/metrics")
        .1
        .contains("\nsvc_active 1\n")
    {}
    list_it
        .send(plain("200 OK", &list(2, true, &[(target.addr, "ready")])))
        .unwrap();
    assert_eq!(read(&mut stays).unwrap().status(), "200");
    assert_eq!(ids(&target.seen), ["stays"]);
}

/// Requests that come in the very moments in which resting connections are closed after SIGTERM: each is answered whole, or was
/// never sent on. Clients send until the process is gone.
#[test]
fn what_is_sent_on_after_sigterm_is_answered_whatever_the_instant() {
    let target = serving();
    let (mut program, _calls) = with_target(&target);
    let mut resting: Vec<_> = (0..60).map(|_| program.connect()).collect();
    for client in &mut resting {
        client
            .get_mut()
            .write_all(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
            .unwrap();
        assert_eq!(read(client).unwrap().status(), "200");
    }
    program.signal("TERM");
    program.wait_for("told to stop");
    let told = Instant::now();
    let clients: Vec<_> = (0..)
        .zip(resting)
        .map(|(n, mut client)| {
            thread::spawn(move || {
                // Over the whole time in which they are closed: 2.0 to 2.2 s after the word.
                let at = Duration::from_millis(1_980 + 5 * n);
                thread::sleep(at.saturating_sub(told.elapsed()));
                let id = format!("late-{n}");
                let sent = client
                    .get_mut()
                    .write_all(with_id("settle", &id).as_bytes())
                    .is_ok();
                let answer = sent.then(|| read(&mut client)).flatten();
                answer.map(|answer| (id, answer.status().to_owned()))
            })
        })
        .collect();
    let answered: Vec<_> = clients
        .into_iter()
        .filter_map(|client| client.join().unwrap())
        .collect();
    assert!(program.child.wait().unwrap().success());
    // What was sent on was served, and is answered so; what is refused, on a machine with much else to do, was never sent on.
    let seen = ids(&target.seen);
    for (id, status) in &answered {
        assert_eq!(
            status,
            if seen.contains(id) { "200" } else { "503" },
            "{id}: {answered:?}"
        );
    }
    for id in &seen {
        assert!(
            answered.iter().any(|(of, _)| of == id),
            "{id} was sent on and not answered: {answered:?}"
        );
    }
    assert!(!seen.is_empty());
}

/// More words to stop, and a new configuration, amid stopping: what is owed is still given.
#[test]
fn further_signals_while_it_stops_end_nothing_early() {
    let (release, gate) = channel::<()>();
    let gate = Arc::new(Mutex::new(gate));
    let target = peer(move |m| {
        let _ = gate.lock().unwrap().recv();
        Some(lines(m, &[STARTED, DONE]))
    });
    let (mut program, _calls) = with_target(&target);
    let mut waiting = program.connect();
    waiting
        .get_mut()
        .write_all(job("settle").as_bytes())
        .unwrap();
    assert!(target.seen.recv().unwrap().1.is_some());
    let mut half = program.connect();
    let text = with_id("watch", "half");
    half.get_mut()
        .write_all(&text.as_bytes()[..text.len() - 1])
        .unwrap();
    program.signal("TERM");
    program.wait_for("told to stop");
    for signal in ["TERM", "HUP", "INT", "HUP"] {
        program.signal(signal);
    }
    program.wait_for("was read again");
    half.get_mut()
        .write_all(&text.as_bytes()[text.len() - 1..])
        .unwrap();
    drop(release);
    for client in [&mut waiting, &mut half] {
        let answer = read(client).expect("an answer");
        assert_eq!(
            (answer.status(), answer.header("connection")),
            ("200", Some("close"))
        );
        let mut rest = vec![];
        assert_eq!(client.read_to_end(&mut rest).expect("closed, not reset"), 0);
    }
    assert!(program.child.wait().unwrap().success());
}

/// Amid stopping, a request that never comes whole gets its answer too, and keeps the process no longer than that.
#[test]
fn a_request_that_is_half_sent_when_it_stops_is_answered_in_time() {
    let target = serving();
    let (mut program, _calls) = with_target(&target);
    let mut half = program.connect();
    let text = with_id("watch", "half");
    half.get_mut()
        .write_all(&text.as_bytes()[..text.len() - 1])
        .unwrap();
    let sent = Instant::now();
    program.signal("TERM");
    let answer = read(&mut half).expect("an answer");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        ("408", Some("close"))
    );
    assert!(
        sent.elapsed() < Duration::from_millis(3_500),
        "{:?}",
        sent.elapsed()
    );
    drop(half);
    assert!(program.child.wait().unwrap().success());
    assert!(ids(&target.seen).is_empty());
}

/// Idle clients hold all the descriptors that clients may have, by the system's own limit, while discovery is down: once it is
/// back, it, the target that it names and the second address get theirs.
#[rstest]
#[case::silent("")]
#[case::half_a_head("POST /a HTTP/1.1\r\nReq-")]
#[case::asked_once("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")]
fn idle_clients_leave_discovery_targets_and_the_second_address_theirs(#[case] says: &'static str) {
    let target = serving();
    let named = plain("200 OK", &list(2, true, &[(target.addr, "ready")]));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr: SocketAddr = socket.local_addr().unwrap();
    let (up, back) = channel::<()>();
    thread::spawn(move || {
        // Down: each connection is closed at once.
        let mut down = true;
        for mut stream in socket.incoming().flatten() {
            down &= back.try_recv().is_err();
            if !down {
                let named = named.clone();
                thread::spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().unwrap());
                    while read(&mut reader).is_some() && stream.write_all(named.as_bytes()).is_ok()
                    {
                    }
                });
            }
        }
    });
    // The limit of the system is the limit told.
    let program = Program::limited(&list(1, true, &[]), addr, 120, 120);
    let stop = Arc::new(Mutex::new(false));
    let crowd: Vec<_> = (0..4)
        .map(|_| {
            let (to, stop) = (program.addr, Arc::clone(&stop));
            thread::spawn(move || {
                let mut open = std::collections::VecDeque::new();
                while !*stop.lock().unwrap() {
                    let Ok(mut stream) = TcpStream::connect(to) else {
                        continue;
                    };
                    let _ = stream.write_all(says.as_bytes());
                    open.push_back(stream);
                    // Some go, so that others come; at no time are there less than 400 of them.
                    if open.len() > 100 {
                        open.pop_front();
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    assert_eq!(program.call("GET", "/-/ready").0, "200");
    up.send(()).unwrap();
    let back = Instant::now();
    while !program
        .call("GET", "/-/metrics")
        .1
        .contains("\nsvc_pool_size 1\n")
    {
        assert!(
            back.elapsed() < Duration::from_secs(6),
            "discovery has told it nothing"
        );
    }
    let mut client = program.connect();
    client.get_mut().write_all(job("watch").as_bytes()).unwrap();
    client.get_mut().set_read_timeout(Some(NEVER)).unwrap();
    assert_eq!(read(&mut client).expect("an answer").status(), "200");
    *stop.lock().unwrap() = true;
    crowd.into_iter().for_each(|thread| thread.join().unwrap());
}

/// Guards against a request that runs with another's class or limits: two classes take turns on one connection, while the
/// configuration is read again with other limits, and the classes the other way round. These count from the next start.
#[test]
fn requests_of_two_classes_on_one_connection_keep_their_own_limits_across_a_reload() {
    let target = serving();
    let (addr, _calls) = discovery(vec![]);
    let known = list(1, true, &[(target.addr, "ready")]);
    let shorter = [("\"hard-limit-ms\":60000", "\"hard-limit-ms\":7000")];
    let mut program = Program::told(&known, addr, (1_024, 1_024), &shorter);
    let text = std::fs::read_to_string(&program.config).unwrap();
    let mut client = program.connect();
    for round in 0..6 {
        if round % 2 == 1 {
            let other = text.replace("7000", &format!("{}", 1_000 + round));
            let other = other
                .replace("\"watch\"", "\"x\"")
                .replace("\"settle\"", "\"watch\"");
            std::fs::write(&program.config, other.replace("\"x\"", "\"settle\"")).unwrap();
            program.signal("HUP");
            program.wait_for("was read again");
        }
        for (class, most) in [("watch", 7.0), ("settle", 50.0)] {
            client
                .get_mut()
                .write_all(with_id(class, &format!("{class}-{round}")).as_bytes())
                .unwrap();
            assert_eq!(read(&mut client).unwrap().status(), "200");
            let seen = target.seen.recv().unwrap().1.unwrap();
            let deadline: f64 = seen.header("req-deadline").unwrap().parse().unwrap();
            assert!(
                (most - 0.5..=most).contains(&deadline),
                "{class} in round {round}: {deadline}"
            );
        }
    }
}

/// An answer is owed to its last byte: one that its client takes slowly was cut off once others wanted its place.
#[test]
fn an_answer_that_is_taken_slowly_is_not_cut_off_for_others() {
    const LONG: usize = 400_000;
    let target = peer(|m| {
        let done = DONE.replace("r\\u00fcn", &"x".repeat(LONG));
        Some(if m.header("req-id") == Some("long") {
            lines(m, &[&done])
        } else {
            lines(m, &[STARTED, DONE])
        })
    });
    let (addr, _calls) = discovery(vec![]);
    let program = Program::start(&list(1, true, &[(target.addr, "ready")]), addr, 90);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    // As on a network: the system holds back little of what the other side has no room for.
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.set_tcp_mss(536).unwrap();
    socket.connect(&program.addr.into()).unwrap();
    let mut slow = BufReader::new(TcpStream::from(socket));
    slow.get_mut().set_read_timeout(Some(NEVER)).unwrap();
    slow.get_mut()
        .write_all(with_id("settle", "long").as_bytes())
        .unwrap();
    while !program
        .call("GET", "/-/metrics")
        .1
        .contains(r#"svc_responses{kind="settle",result="ok"} 1"#)
    {}
    let mut others: Vec<_> = (0..60).map(|_| program.connect()).collect();
    for (n, other) in others.iter_mut().enumerate() {
        let _ = other
            .get_mut()
            .write_all(with_id("watch", &format!("x{n}")).as_bytes());
    }
    // Each is answered, those beyond the limit with advice to come again.
    let answers: Vec<_> = others
        .iter_mut()
        .filter_map(read)
        .map(|m| m.status().to_owned())
        .collect();
    assert!(
        answers.len() == 60 && answers.iter().all(|s| s == "200" || s == "503"),
        "{answers:?}"
    );
    assert_eq!(read(&mut slow).expect("the whole answer").body.len(), LONG);
}
