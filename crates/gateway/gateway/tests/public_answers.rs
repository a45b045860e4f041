//! The bytes of each answer that the process gives of its own: status, headers, body. Clients and operators read them.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use batch::wire::{
    EndResponse, ItemBodyResponse, Message, ReadResponse, ResultEntry, ResultStatus,
    SubmitResponse, BODY, READ,
};
use common::store::{map, tell_map, Say, Store};
use common::*;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

const BATCH_JOB: &str = r#"{"Requests":[{"Id":"item-1","Path":"/bulk/3/91c4","Headers":{"Fordrelay-Model":"m","Fordrelay-Tokens":"540,400"},"Body":"q83vEjRWeJA=","Tokens":940}]}"#;

/// An answer with its lines apart, but for the date.
fn lines(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let head: Vec<&str> = head
        .lines()
        .filter(|line| !line.to_ascii_lowercase().starts_with("date:"))
        .collect();
    format!("{} | {body:?}", head.join(" | "))
}

fn call(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n")
}

fn submit(body: &str) -> String {
    request(
        "/bulk/7c41e0",
        "lot-1",
        "Fordrelay-Deadline-Ms: 1200\r\n",
        body,
    )
}

async fn answer_to(rig: &Rig, request: &str) -> String {
    lines(&rig.ask(request).await)
}

#[test]
fn requests_that_no_runner_gets() {
    run_paused(async {
        let rig = Rig::new(CONFIG, &[]).await;
        let mut answers = vec![];
        let plain = request("/plain/", "a", "", "x");
        let long_header = format!("X-Long: {}\r\n", "y".repeat(17_000));
        let requests = [
            request("/none/", "a", "", "x"),
            plain.replace("Fordrelay-Attempt-Id: a\r\n", ""),
            request("/plain/", "a", "Transfer-Encoding: chunked\r\n", "x"),
            request("/plain/", "a", "", &"x".repeat(100_001)),
            request("/plain/", "a", &long_header, ""),
            plain.replace("Length: 1\r\n", "Length: 9\r\n"),
        ];
        for request in &requests {
            answers.push(answer_to(&rig, request).await);
        }
        let no_room = answer_to(&rig, &plain).await;
        // How long a client is to wait is drawn.
        let (before, rest) = no_room.split_once("retry-after: ").unwrap();
        let (seconds, after) = rest.split_once(" | ").unwrap();
        assert!(
            (0.0..5.0).contains(&seconds.parse::<f64>().unwrap()),
            "{seconds}"
        );
        answers.push(format!("{before}retry-after: N | {after}"));
        answers.push(answer_to(&rig, "nonsense\r\n\r\n").await);
        let unconfigured = Rig::bare(SETTINGS).await;
        answers.push(answer_to(&unconfigured, &request("/plain/", "a", "", "x")).await);
        insta::assert_snapshot!(answers.join("\n"), @r##"
        HTTP/1.1 404 Not Found | content-type: text/plain | connection: close | content-length: 21 | "no route leads there\n"
        HTTP/1.1 400 Bad Request | content-type: text/plain | connection: close | content-length: 26 | "the request can't be read\n"
        HTTP/1.1 400 Bad Request | content-type: text/plain | connection: close | content-length: 42 | "a body comes with its length or in chunks\n"
        HTTP/1.1 413 Payload Too Large | content-type: text/plain | connection: close | content-length: 22 | "the body is too large\n"
        HTTP/1.1 431 Request Header Fields Too Large | connection: close | content-length: 0 | ""
        HTTP/1.1 408 Request Timeout | content-type: text/plain | connection: close | content-length: 33 | "the request did not come in time\n"
        HTTP/1.1 503 Service Unavailable | content-type: text/plain | retry-after: N | connection: close | content-length: 19 | "no runner has room\n"
        HTTP/1.1 400 Bad Request | connection: close | content-length: 0 | ""
        HTTP/1.1 503 Service Unavailable | content-type: text/plain | retry-after: 0.250 | connection: close | content-length: 38 | "no configuration is in force here yet\n"
        "##);
    });
}

#[test]
fn requests_that_a_runner_did_not_answer() {
    run_paused(async {
        let broken = StandIn::new("i-1", |_, _| vec![Act::Close]).await;
        let rig = Rig::new(CONFIG, &[&broken]).await;
        let mut answers = vec![];
        answers.push(answer_to(&rig, &request("/change/", "a", "", "x")).await);
        answers.push(answer_to(&rig, &request("/live/", "a", "", "x")).await);
        let silent = StandIn::new("i-1", |_, _| vec![Act::Hang(Rc::new(Notify::new()))]).await;
        let rig = Rig::new(CONFIG, &[&silent]).await;
        answers.push(answer_to(&rig, &request("/change/", "a", "", "x")).await);
        answers.push(answer_to(&rig, &request("/live/", "a", "", "x")).await);
        let half = |_: &Seen, _: usize| {
            let head = "HTTP/1.1 200 OK\r\nFordrelay-Attempt-Id: {id}\r\nFordrelay-Seal: 3e1b.07\r\nContent-Length: 9\r\n\r\nhalf";
            vec![write(head), Act::Hang(Rc::new(Notify::new()))]
        };
        let half = StandIn::new("i-1", half).await;
        let rig = Rig::new(CONFIG, &[&half]).await;
        answers.push(answer_to(&rig, &request("/change/", "a", "", "x")).await);
        insta::assert_snapshot!(answers.join("\n"), @r##"
        HTTP/1.1 502 Bad Gateway | content-type: text/plain | connection: close | content-length: 19 | "a runner broke off\n"
        HTTP/1.1 502 Bad Gateway | content-type: text/plain | connection: close | content-length: 19 | "a runner broke off\n"
        HTTP/1.1 504 Gateway Timeout | content-type: text/plain | connection: close | content-length: 27 | "no runner answered in time\n"
        HTTP/1.1 504 Gateway Timeout | content-type: text/plain | connection: close | content-length: 27 | "no runner answered in time\n"
        HTTP/1.1 504 Gateway Timeout | content-type: text/plain | connection: close | content-length: 38 | "a runner's answer did not end in time\n"
        "##);
    });
}

#[test]
fn headers_that_a_runner_gets_and_that_a_client_gets() {
    run_paused(async {
        let runner = StandIn::new("i-1", |_, _| {
            vec![whole(
                "200 OK",
                "Fordrelay-Seal: 3e1b.07\r\nFordrelay-Runner: i-1\r\nFordrelay-Runner-Load: 3,1\r\n",
                "ok",
            )]
        })
        .await;
        let rig = Rig::new(CONFIG, &[&runner]).await;
        let more = "Fordrelay-Deadline-Ms: 3000\r\nFordrelay-Model: m\r\nFordrelay-Tokens: 54,40\r\nFordrelay-Prompt-Prefix: 9f:30,a0:24\r\nFordrelay-Want-Runner: i-7\r\n";
        let answer = answer_to(&rig, &request("/change/1", "abc", more, "body")).await;
        let seen = runner.seen.borrow()[0].clone();
        // What is left of the time depends on the run.
        let sent = seen.head.lines().map(|line| match line.split_once(": ") {
            Some(("fordrelay-deadline-ms", _)) => "fordrelay-deadline-ms: N",
            _ => line,
        });
        insta::assert_snapshot!(sent.collect::<Vec<_>>().join(" | "), @r##"POST /change/1 HTTP/1.1 | host: h.example | fordrelay-attempt-id: abc | fordrelay-prompt-prefix: 9f:30,a0:24 | fordrelay-model: m | fordrelay-tokens: 54,40 | fordrelay-want-runner: i-1 | fordrelay-deadline-ms: N | content-length: 4 |"##);
        insta::assert_snapshot!(answer, @r##"HTTP/1.1 200 OK | fordrelay-attempt-id: abc | fordrelay-seal: 3e1b.07 | fordrelay-runner: i-1 | fordrelay-runner-load: 3,1 | connection: close | content-length: 2 | "ok""##);
    });
}

#[test]
fn answers_about_batch_jobs() {
    run_paused(async {
        let rig = Rig::new(CONFIG, &[]).await;
        let mut answers = vec![];
        for (name, says) in [
            ("taken", SubmitResponse::Accepted),
            ("full", SubmitResponse::QuotaExceeded),
            ("busy", SubmitResponse::Unavailable),
            ("bad", SubmitResponse::Invalid { code: 712 }),
            ("unsure", SubmitResponse::Indeterminate),
        ] {
            let body = says.encode();
            let store = Store::new(1, move |_, _| Say::This(body.clone())).await;
            tell_map(&rig.process.gateway, map(1, &[store.addr]));
            answers.push(format!(
                "{name}: {}",
                answer_to(&rig, &submit(BATCH_JOB)).await
            ));
        }
        answers.push(answer_to(&rig, &submit("no json")).await);
        answers.push(answer_to(&rig, &submit(BATCH_JOB).replace("POST", "PUT")).await);
        insta::assert_snapshot!(answers.join("\n"), @r##"
        taken: HTTP/1.1 202 Accepted | content-type: application/json | connection: close | content-length: 2 | "{}"
        full: HTTP/1.1 429 Too Many Requests | content-type: text/plain | retry-after: 0.500 | connection: close | content-length: 38 | "no more tokens may wait on this route\n"
        busy: HTTP/1.1 503 Service Unavailable | content-type: text/plain | retry-after: 1.000 | connection: close | content-length: 35 | "no store takes batch jobs just now\n"
        bad: HTTP/1.1 400 Bad Request | content-type: text/plain | connection: close | content-length: 81 | "the batch job can't be taken: 712: a lot of this id is kept with another content\n"
        unsure: HTTP/1.1 504 Gateway Timeout | content-type: text/plain | connection: close | content-length: 26 | "no store can say for sure\n"
        HTTP/1.1 400 Bad Request | content-type: text/plain | connection: close | content-length: 74 | "the batch job can't be read: 701: the body is not the JSON of a batch job\n"
        HTTP/1.1 405 Method Not Allowed | content-type: text/plain | connection: close | content-length: 24 | "batch jobs come by POST\n"
        "##);
    });
}

async fn store_with_results() -> Rc<Store> {
    Store::new(1, |kind, _| {
        let result = |status| ResultEntry {
            id: "item-1".into(),
            status,
            text: "a\nb\"".into(),
        };
        Say::This(match kind {
            READ => ReadResponse::Found {
                total: 40,
                next: 13,
                results: [ResultStatus::Complete, ResultStatus::Abandoned]
                    .map(result)
                    .into(),
            }
            .encode(),
            BODY => ItemBodyResponse::Found {
                body: vec![0, 65].into(),
            }
            .encode(),
            _ => EndResponse::Ended.encode(),
        })
    })
    .await
}

async fn store_without_batch_jobs() -> Rc<Store> {
    Store::new(2, |kind, _| {
        Say::This(match kind {
            READ => ReadResponse::NotFound.encode(),
            BODY => ItemBodyResponse::NotFound.encode(),
            _ => EndResponse::NotFound.encode(),
        })
    })
    .await
}

async fn store_without_lease() -> Rc<Store> {
    Store::new(3, |kind, _| {
        Say::This(match kind {
            READ => ReadResponse::Unavailable.encode(),
            BODY => ItemBodyResponse::Unavailable.encode(),
            _ => EndResponse::Indeterminate.encode(),
        })
    })
    .await
}

#[test]
fn answers_about_results() {
    run_paused(async {
        let rig = Rig::new(CONFIG, &[]).await;
        let mut answers = vec![];
        let found = store_with_results().await;
        let unknown = store_without_batch_jobs().await;
        let unsure = store_without_lease().await;
        for store in [&found, &unknown, &unsure] {
            tell_map(&rig.process.gateway, map(1, &[store.addr]));
            answers.push(answer_to(&rig, &call("GET", "/-/lots/lot-1?StartAfter=12")).await);
            answers.push(answer_to(&rig, &call("GET", "/-/items/lot-1?Id=item-1")).await);
            answers.push(answer_to(&rig, &call("DELETE", "/-/lots/lot-1")).await);
        }
        for path in [
            "/-/lots/",
            "/-/lots/lot-1/more",
            "/-/lots/lot-1?StartAfter=x",
            "/-/items/lot-1",
        ] {
            answers.push(format!(
                "{path}: {}",
                answer_to(&rig, &call("GET", path)).await
            ));
        }
        answers.push(answer_to(&rig, &call("PUT", "/-/lots/lot-1")).await);
        insta::assert_snapshot!(answers.join("\n"), @r##"
        HTTP/1.1 200 OK | content-type: application/json | connection: close | content-length: 149 | "{\"Total\":40,\"NextCursor\":13,\"Results\":[{\"Id\":\"item-1\",\"State\":\"complete\",\"Message\":\"a\\nb\\\"\"},{\"Id\":\"item-1\",\"State\":\"abandoned\",\"Message\":\"a\\nb\\\"\"}]}"
        HTTP/1.1 200 OK | content-type: application/octet-stream | connection: close | content-length: 2 | "\0A"
        HTTP/1.1 200 OK | content-type: application/json | connection: close | content-length: 2 | "{}"
        HTTP/1.1 404 Not Found | content-type: text/plain | connection: close | content-length: 27 | "there is no such batch job\n"
        HTTP/1.1 404 Not Found | content-type: text/plain | connection: close | content-length: 22 | "there is no such item\n"
        HTTP/1.1 404 Not Found | content-type: text/plain | connection: close | content-length: 27 | "there is no such batch job\n"
        HTTP/1.1 503 Service Unavailable | content-type: text/plain | retry-after: 0.250 | connection: close | content-length: 26 | "no store can say for sure\n"
        HTTP/1.1 503 Service Unavailable | content-type: text/plain | retry-after: 0.250 | connection: close | content-length: 26 | "no store can say for sure\n"
        HTTP/1.1 503 Service Unavailable | content-type: text/plain | retry-after: 0.250 | connection: close | content-length: 26 | "no store can say for sure\n"
        /-/lots/: HTTP/1.1 404 Not Found | content-type: text/plain | connection: close | content-length: 28 | "no batch job has such an id\n"
        /-/lots/lot-1/more: HTTP/1.1 404 Not Found | content-type: text/plain | connection: close | content-length: 28 | "no batch job has such an id\n"
        /-/lots/lot-1?StartAfter=x: HTTP/1.1 400 Bad Request | content-type: text/plain | connection: close | content-length: 23 | "StartAfter is a number\n"
        /-/items/lot-1: HTTP/1.1 400 Bad Request | content-type: text/plain | connection: close | content-length: 14 | "Id is missing\n"
        HTTP/1.1 405 Method Not Allowed | content-type: text/plain | allow: GET, DELETE | connection: close | content-length: 35 | "nothing is done so with batch jobs\n"
        "##);
    });
}

#[test]
fn answers_about_readiness() {
    run(async {
        let rig = Rig::bare(SETTINGS).await;
        let mut answers = vec![];
        for path in ["/-/readyz", "/-/readyz?a", "/-/other"] {
            let mut stream = TcpStream::connect(rig.readyz).await.unwrap();
            stream
                .write_all(call("GET", path).as_bytes())
                .await
                .unwrap();
            stream.shutdown().await.unwrap();
            let mut answer = String::new();
            let _ = stream.read_to_string(&mut answer).await;
            answers.push(lines(&answer));
        }
        insta::assert_snapshot!(answers.join("\n"), @r##"
        HTTP/1.1 503 Service Unavailable | Content-Length: 10 | "not ready\n"
        HTTP/1.1 503 Service Unavailable | Content-Length: 10 | "not ready\n"
        HTTP/1.1 404 Not Found | Content-Length: 0 | ""
        "##);
    });
}

/// The keys of a runner's report; those of its cache may be missing.
#[test]
fn keys_of_a_runners_report() {
    let report = gateway::selection::load_report::read(
        br#"{"Queued":3,"Active":4,"KvInUse":50,"KvSize":60,"Other":[1]}"#,
    )
    .unwrap();
    assert_eq!(
        (
            report.queued,
            report.active,
            report.kv_in_use,
            report.kv_size
        ),
        (3, 4, 50, 60)
    );
    let report = gateway::selection::load_report::read(br#"{"Queued":3,"Active":4}"#).unwrap();
    assert_eq!(
        (
            report.queued,
            report.active,
            report.kv_in_use,
            report.kv_size
        ),
        (3, 4, 0, 0)
    );
    assert!(gateway::selection::load_report::read(br#"{"queued":3,"active":4}"#).is_none());
    assert!(gateway::selection::load_report::read(br#"{"Queued":3}"#).is_none());
}

#[test]
fn numbers_of_log_lines() {
    let codes: Vec<String> = gateway::codes::CODES
        .iter()
        .map(|(code, name, _)| format!("{code} {name}"))
        .collect();
    insta::assert_snapshot!(codes.join("\n"), @r##"
        2100 cant-start
        2101 unknown-frame
        2102 unreadable-frame
        2103 unreadable-runner
        2104 unreadable-map
        2105 other-number
        2106 unreadable-config
        2107 settings-kept
        2108 ended-open
        2109 at-next-start
        2110 connection-refused
        2111 address-in-use
        2112 unreadable-rollout
        2301 odd-answer
        "##);
}
