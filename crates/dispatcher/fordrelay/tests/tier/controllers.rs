//! Retiring machines, and the state of controllers.

use crate::stub_server::{respond, Answer, ClosedPort, StubServer};
use crate::tier;

#[test]
fn a_machine_is_retired_and_followed_to_completion() {
    let mut answers = vec![respond("200 OK", "")];
    answers.extend(
        ["rolling", "rolling", "complete"]
            .map(|state| respond("200 OK", &format!("{{\"State\":\"{state}\"}}"))),
    );
    let controller = StubServer::new(answers);
    let addr = controller.addr.to_string();
    let output = tier(&[
        "retire",
        "storage-a-1",
        "--over",
        "12.5",
        "--follow",
        "--ctl",
        &addr,
    ]);
    assert_eq!((output.exit_code, output.err.as_str()), (0, ""));
    assert_eq!(
        output.out,
        format!("begun, by {addr}\nrolling, by {addr}\ncomplete, by {addr}\n")
    );
    let get = "GET /-/retire/storage-a-1/get host=ADDR";
    assert_eq!(
        controller.requests(),
        [
            "POST /-/retire/storage-a-1/begin host=ADDR {\"OverS\":12.5}",
            get,
            get,
            get
        ]
    );
}

fn progress(state: &str) -> Answer {
    respond(
        "200 OK",
        &format!("{{\"State\":\"{state}\",\"Target\":\"v2\"}}"),
    )
}

#[test]
fn a_rollout_is_ordered_and_followed_to_completion() {
    let controller = StubServer::new(vec![
        respond("200 OK", ""),
        progress("rolling"),
        progress("complete"),
    ]);
    let addr = controller.addr.to_string();
    let order = [
        "rollout", "a b-c", "--to", "v2", "--over", "12", "--follow", "--ctl", &addr,
    ];
    let output = tier(&order);
    assert_eq!((output.exit_code, output.err.as_str()), (0, ""));
    assert_eq!(
        output.out,
        format!("begun, by {addr}\nrolling, to v2, by {addr}\ncomplete, to v2, by {addr}\n")
    );
    let get = "GET /-/rollouts/a%20b-c/get host=ADDR";
    assert_eq!(
        controller.requests(),
        [
            "POST /-/rollouts/begin host=ADDR {\"Svc\":\"a b-c\",\"Target\":\"v2\",\"OverS\":12.0}",
            get,
            get
        ]
    );
}

#[test]
fn a_rollout_that_is_reverted_is_an_error_for_who_follows_it() {
    let controller = StubServer::new(vec![progress("reverted"), progress("reverted")]);
    let addr = controller.addr.to_string();
    let asked = tier(&["rollout", "s", "--ctl", &addr]);
    assert_eq!(
        (asked.exit_code, asked.out),
        (0, format!("reverted, to v2, by {addr}\n"))
    );
    let followed = tier(&["rollout", "s", "--follow", "--ctl", &addr]);
    assert_eq!(followed.exit_code, 1);
    assert!(
        followed.err.contains("O313 reverted: version v2"),
        "{}",
        followed.err
    );
}

#[test]
fn progress_can_be_queried_alone() {
    let controller = StubServer::new(vec![
        respond("200 OK", "{\"State\":\"rolling\"}"),
        respond("200 OK", "{}"),
    ]);
    let addr = controller.addr.to_string();
    let output = tier(&["retire", "s", "--ctl", &addr]);
    assert_eq!(
        (output.exit_code, output.out),
        (0, format!("rolling, by {addr}\n"))
    );
    let odd = tier(&["retire", "s", "--ctl", &addr]);
    assert!(
        odd.exit_code == 1 && odd.err.contains("O308 unreadable: how far it is"),
        "{}",
        odd.err
    );
}

/// A conflict is a refusal, unless it may be about an earlier attempt with an unknown outcome.
#[test]
fn a_conflict_after_an_unknown_outcome_is_success() {
    let few = StubServer::new(vec![respond("409 Conflict", "too few would be left")]);
    let output = tier(&["retire", "s", "--over", "9", "--ctl", &few.addr.to_string()]);
    assert_eq!(output.exit_code, 1);
    assert!(
        output.err.contains("O306 conflict") && output.err.contains("too few would be left"),
        "{}",
        output.err
    );
    let silent = StubServer::new(vec![Answer::Disconnect, respond("409 Conflict", "")]);
    let output = tier(&[
        "retire",
        "s",
        "--over",
        "9",
        "--ctl",
        &silent.addr.to_string(),
    ]);
    assert_eq!(
        (output.exit_code, output.out.as_str()),
        (0, "begun, by a try without an answer\n")
    );
}

const STATUS: &str = r#"{"Node":"edge-a-1","View":9,"Chain":["edge-a-1","edge-b-1"],"Head":"edge-a-1","Tail":"edge-b-1",
"Config":{"Gen":7,"Active":5},"Runners":{"Up":40,"Draining":2},"Dispatchers":[{"Node":"edge-a-1","AgeMs":120},{"Node":"edge-b-1","AgeMs":80}],
"Stores":[],"Lag":[0,12],"Odd":null}"#;

#[test]
fn each_controllers_state_is_printed() {
    let controller = StubServer::new(vec![respond("200 OK", STATUS), respond("200 OK", STATUS)]);
    let addr = controller.addr.to_string();
    let output = tier(&["status", "--ctl", &addr]);
    assert_eq!((output.exit_code, output.err.as_str()), (0, ""));
    insta::assert_snapshot!(output.out.replace(&addr, "ADDR"), @r##"
        ADDR
          Chain            = edge-a-1,edge-b-1
          Config.Active    = 5
          Config.Gen       = 7
          Dispatchers[0]   = AgeMs=120 Node=edge-a-1
          Dispatchers[1]   = AgeMs=80 Node=edge-b-1
          Head             = edge-a-1
          Lag              = 0,12
          Node             = edge-a-1
          Odd              = null
          Runners.Draining = 2
          Runners.Up       = 40
          Stores           = none
          Tail             = edge-b-1
          View             = 9
        "##);
    let json = tier(&["status", "--json", "--ctl", &addr]);
    assert!(
        json.out.starts_with('{') && json.out.ends_with("}\n") && json.out.lines().count() == 1,
        "{}",
        json.out
    );
    assert!(json.out.contains("\"View\":9"));
}

#[test]
fn controllers_that_do_not_answer_are_named() {
    let nobody = ClosedPort::new();
    let (gone, controller) = (
        nobody.addr.to_string(),
        StubServer::new(vec![respond("200 OK", "{\"View\":1}")]),
    );
    let refusing = StubServer::new(vec![respond("404 Not Found", "")]);
    let ctl = format!("{gone},{},{}", controller.addr, refusing.addr);
    let output = tier(&["status", "--ctl", &ctl]);
    assert_eq!(
        (output.exit_code, output.out),
        (1, format!("{}\n  View = 1\n", controller.addr))
    );
    let last = format!("fordrelay: O311 not-all: {gone}, {}\n", refusing.addr);
    assert!(
        output.err.ends_with(&last) && output.err.contains("O301") && output.err.contains("O305"),
        "{}",
        output.err
    );
}
