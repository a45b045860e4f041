//! What targets may say, on the whole program: answers that break off, never end, make no sense or come twice.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use common::*;
use rstest::rstest;
use std::io::{BufReader, Write};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// A target whose answer that it has not taken a job comes twice, the second time some milliseconds late.
fn declines_twice() -> Peer {
    let first = Mutex::new(true);
    listening(move |number, stream, seen| {
        let mut stream = BufReader::new(stream);
        while let Some(message) = read(&mut stream) {
            let _ = seen.send((number, Some(message.clone())));
            let declined = "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
            if std::mem::take(&mut *first.lock().unwrap()) {
                stream.get_mut().write_all(declined.as_bytes()).unwrap();
                thread::sleep(Duration::from_millis(90));
                let _ = stream.get_mut().write_all(declined.as_bytes());
            } else {
                let _ = stream
                    .get_mut()
                    .write_all(lines(&message, &[STARTED, DONE]).as_bytes());
            }
        }
    })
}

/// An answer that does not say which request it is for, and comes twice: the second one was taken for the answer to the next
/// request on the connection. That one ran, was thought turned away unseen, and was sent again.
#[rstest]
#[case::safe("watch")]
#[case::never_twice("settle")]
fn an_answer_that_comes_twice_is_not_the_answer_to_the_next_request(#[case] class: &str) {
    let target = declines_twice();
    let (addr, _calls) = discovery(vec![]);
    let known = list(1, true, &[(target.addr, "ready")]);
    // What was turned away is tried again some 40 ms later, well before the second answer.
    let soon = [
        ("\"slo-ms\":4000", "\"slo-ms\":160"),
        ("\"slo-ms\":4000", "\"slo-ms\":160"),
    ];
    let program = Program::told(&known, addr, (1_024, 1_024), &soon);
    assert_eq!(program.ask(class).status(), "200");
    let seen = ids(&target.seen);
    assert_eq!(seen.len(), 2, "once declined, once run: {seen:?}");
}

/// A target that says whatever it likes to each request in the first place, and answers as it should from then on.
fn says_first(text: &'static [u8], then_closes: bool) -> Peer {
    let first = Mutex::new(true);
    listening(move |number, stream, seen| {
        let mut stream = BufReader::new(stream);
        while let Some(message) = read(&mut stream) {
            let _ = seen.send((number, Some(message.clone())));
            if !std::mem::take(&mut *first.lock().unwrap()) {
                let _ = stream
                    .get_mut()
                    .write_all(lines(&message, &[STARTED, DONE]).as_bytes());
                continue;
            }
            let id = message.header("req-id").unwrap_or("").to_owned();
            let text = String::from_utf8_lossy(text).replace("ID", &id);
            let _ = stream.get_mut().write_all(text.as_bytes());
            if then_closes {
                break;
            }
        }
        let _ = seen.send((number, None));
    })
}

/// Whatever a target says, its request has one final answer in time, what may have run is not sent again, nobody else gets what
/// it said, and the next request is served.
#[rstest]
#[case::half_a_status_line(b"HTTP/1.1 2", true, "502")]
#[case::half_a_status_line_and_silence(b"HTTP/1.1 2", false, "502")]
#[case::a_head_that_ends_amid_itself(b"HTTP/1.1 200 OK\r\nTransfer-Enc", true, "502")]
#[case::a_head_and_silence(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false, "502")]
#[case::half_a_line(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"id\":\"ID",
    true,
    "502"
)]
#[case::half_a_line_and_silence(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{\"id\":\"ID",
    false,
    "502"
)]
#[case::an_end_without_a_last_line(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    false,
    "502"
)]
#[case::no_http(b"\x00\x01\x02 nonsense\r\n\r\n", false, "502")]
#[case::another_protocol(b"HTTP/9.9 200 OK\r\n\r\n", false, "502")]
#[case::a_chunk_of_no_length(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    false,
    "502"
)]
#[case::an_error_that_never_ends(b"HTTP/1.1 500 Oh\r\nContent-Length: 900\r\n\r\nx", false, "502")]
#[case::an_answer_to_another(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
    36\r\n{\"id\":\"other\",\"from\":\"s\",\"state\":\"done\",\"result\":\"x\"}\n\r\n0\r\n\r\n",
    false,
    "502"
)]
fn whatever_a_target_says_its_request_has_one_answer(
    #[case] says: &'static [u8],
    #[case] then_closes: bool,
    #[case] status: &str,
) {
    let target = says_first(says, then_closes);
    let (program, _calls) = with_target(&target);
    let asked = Instant::now();
    let mut client = program.connect();
    client.get_mut().set_read_timeout(Some(NEVER)).unwrap();
    let job = with_id("settle", "spoilt").replace("Req-Deadline: 50", "Req-Deadline: 1.5");
    client.get_mut().write_all(job.as_bytes()).unwrap();
    assert_eq!(read(&mut client).expect("an answer").status(), status);
    assert!(
        asked.elapsed() < Duration::from_millis(1_600),
        "after {:?}",
        asked.elapsed()
    );
    assert_eq!(program.ask("settle").status(), "200");
    assert_eq!(ids(&target.seen), ["spoilt", "9b1f"]);
}

/// An answer that was done and goes on for ever is given at once, and its connection is used for nothing else.
#[test]
fn an_answer_that_goes_on_after_its_last_line_is_given_at_once() {
    const ENDLESS: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\
        36\r\n{\"id\":\"endless\",\"from\":\"s\",\"state\":\"done\",\"result\":1}\n\r\n5\r\n    \n\r\n";
    let target = says_first(ENDLESS, false);
    let (program, _calls) = with_target(&target);
    let asked = Instant::now();
    let mut client = program.connect();
    client
        .get_mut()
        .write_all(with_id("settle", "endless").as_bytes())
        .unwrap();
    let answer = read(&mut client).expect("an answer");
    assert_eq!(
        (answer.status(), answer.body.as_slice()),
        ("200", b"1".as_slice())
    );
    assert!(
        asked.elapsed() < Duration::from_millis(900),
        "after {:?}",
        asked.elapsed()
    );
    assert_eq!(program.ask("settle").status(), "200");
    let conns: Vec<_> = target
        .seen
        .try_iter()
        .filter(|(_, m)| m.is_some())
        .map(|(conn, _)| conn)
        .collect();
    assert!(conns.len() == 2 && conns[0] != conns[1], "{conns:?}");
}
