//! Batch jobs.

use crate::stub_server::{respond, ClosedPort, StubServer};
use crate::tier;

#[test]
fn results_are_printed_page_by_page_a_line_each() {
    let pages = [
        r#"{"Total":4,"NextCursor":3,"Results":[{"Id":"a","State":"complete","Message":"x\ny"},{"Id":"b","State":"abandoned"}]}"#,
        r#"{"Total":4,"NextCursor":3,"Results":[]}"#,
        r#"{"Total":4,"NextCursor":4,"Results":[{"Id":"c"}]}"#,
    ];
    let edge = StubServer::new(pages.map(|page| respond("200 OK", page)).into());
    let addr = edge.addr.to_string();
    let args = [
        "lots",
        "read",
        "7f/1",
        "--host",
        "h.example",
        "--start",
        "1",
        "--edge",
        &addr,
    ];
    let output = tier(&[&args[..], &["--follow"]].concat());
    assert_eq!(
        (output.exit_code, output.err.as_str()),
        (0, "4 of 4 results\n")
    );
    insta::assert_snapshot!(output.out, @r##"
        {"Id":"a","State":"complete","Message":"x\ny"}
        {"Id":"b","State":"abandoned"}
        {"Id":"c"}
        "##);
    let requests = |start: u8| {
        format!("GET /-/lots/7f%2F1?StartAfter={start} host=h.example fordrelay-wait-ms=1000")
    };
    assert_eq!(edge.requests(), [requests(1), requests(3), requests(3)]);
}

#[test]
fn available_results_are_printed_with_their_count() {
    let page = r#"{"Total":4,"NextCursor":1,"Results":[{"Id":"a"}]}"#;
    let rest = r#"{"Total":4,"NextCursor":1,"Results":[]}"#;
    let edge = StubServer::new(vec![respond("200 OK", page), respond("200 OK", rest)]);
    let gone = ClosedPort::new();
    let edges = format!("{},{}", gone.addr, edge.addr);
    let output = tier(&[
        "lots",
        "read",
        "7f",
        "--host",
        "h.example",
        "--edge",
        &edges,
    ]);
    assert_eq!(
        (output.exit_code, output.out.as_str(), output.err.as_str()),
        (0, "{\"Id\":\"a\"}\n", "1 of 4 results\n")
    );
}

#[test]
fn inconsistent_pages_are_rejected() {
    for page in [
        r#"{"Total":4,"NextCursor":3,"Results":[1]}"#,
        r#"{"Total":0,"NextCursor":1,"Results":[1]}"#,
        "{}",
        "",
    ] {
        let edge = StubServer::new(vec![respond("200 OK", page)]);
        let output = tier(&[
            "lots",
            "read",
            "7f",
            "--host",
            "h",
            "--edge",
            &edge.addr.to_string(),
        ]);
        assert!(
            output.exit_code == 1
                && output.out.is_empty()
                && output.err.contains("O308 unreadable"),
            "{page}: {}",
            output.err
        );
    }
}

#[test]
fn a_job_is_cancelled_and_an_item_body_is_read() {
    let edge = StubServer::new(vec![
        respond("200 OK", ""),
        respond("200 OK", "the bytes\n"),
        respond("404 Not Found", ""),
    ]);
    let addr = edge.addr.to_string();
    let at = ["--host", "h.example", "--edge", &addr];
    let ended = tier(&[&["lots", "end", "7f"], &at[..]].concat());
    assert_eq!(
        (ended.exit_code, ended.out),
        (0, format!("ended, by {addr}\n"))
    );
    let body = tier(&[&["lots", "body", "7f", "i&1"], &at[..]].concat());
    assert_eq!((body.exit_code, body.out.as_str()), (0, "the bytes\n"));
    let none = tier(&[&["lots", "read", "70"], &at[..]].concat());
    assert_eq!(
        none.err,
        format!("fordrelay: O305 unknown: {addr} answers 404 Not Found\n")
    );
    let requests = [
        "DELETE /-/lots/7f host=h.example",
        "GET /-/items/7f?Id=i%261 host=h.example",
        "GET /-/lots/70?StartAfter=0 host=h.example",
    ];
    assert_eq!(edge.requests(), requests);
}
