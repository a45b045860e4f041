//! Orders that move a service to another version: taken once, known again, read back after every
//! process was killed. Guards against the order that had no acknowledgement: the call was not there.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod cluster;

use cluster::{addr, Cluster, CONTROLLERS};
use controller::call::{Call, Response};
use peer_transport::Peer;
use replicated_state::{AnswerCounts, RolloutReport, RouteReport, FULL_SHARE, ROLLOUT_REPORT};
use std::path::PathBuf;

struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Directory {
        let path = std::env::temp_dir().join(format!("rollouts-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a directory");
        Directory(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Three controllers with a configuration of the one service `s`.
fn cluster(directory: &Directory) -> Cluster {
    let mut cluster = Cluster::start(&directory.0, 1_000);
    cluster.run(2_000);
    cluster.configure(0, 1);
    cluster
}

/// Calls one controller after the other, as callers do, until one answers for good.
fn call_any(cluster: &mut Cluster, call: &Call) -> Response {
    for _ in 0..60 {
        for index in 0..CONTROLLERS {
            let response = cluster.call(index, call.clone());
            if response.status != 307 && response.status != 503 {
                return response;
            }
        }
        cluster.run(100);
    }
    panic!("no controller answers {call:?}");
}

fn order(service: &str, target: &str, over_s: f64) -> Call {
    let body = format!("{{\"Svc\":\"{service}\",\"Target\":\"{target}\",\"OverS\":{over_s}}}");
    Call::BeginRollout { body: body.into() }
}

fn begin(cluster: &mut Cluster, service: &str, target: &str) -> u16 {
    call_any(cluster, &order(service, target, 12.0)).status
}

fn state(cluster: &mut Cluster, service: &str) -> String {
    let response = call_any(
        cluster,
        &Call::GetRollout {
            service: service.into(),
        },
    );
    format!(
        "{} {}",
        response.status,
        String::from_utf8_lossy(&response.body)
    )
}

const ROLLING: &str = r#"200 {"State":"rolling","Target":"v2"}"#;
const COMPLETE: &str = r#"200 {"State":"complete","Target":"v2"}"#;
const REVERTED: &str = r#"200 {"State":"reverted","Target":"v2"}"#;

#[test]
fn an_order_is_acknowledged_and_read_back_from_any_controller() {
    let directory = Directory::new("taken");
    let mut cluster = cluster(&directory);
    assert!(state(&mut cluster, "s").starts_with("404"));
    assert_eq!(begin(&mut cluster, "s", "v2"), 200);
    assert_eq!(state(&mut cluster, "s"), ROLLING);
}

#[test]
fn an_order_sent_again_is_acknowledged_again_and_begins_nothing() {
    let directory = Directory::new("again");
    let mut cluster = cluster(&directory);
    assert_eq!(begin(&mut cluster, "s", "v2"), 200);
    let id = |cluster: &Cluster| {
        let chain = cluster.process(0).core.chain();
        chain.state_machine().rollout("s").expect("a roll-out").id
    };
    let first = id(&cluster);
    for _ in 0..3 {
        assert_eq!(begin(&mut cluster, "s", "v2"), 200);
    }
    assert_eq!(id(&cluster), first);
}

#[test]
fn mistakes_have_a_code_each() {
    let directory = Directory::new("mistakes");
    let mut cluster = cluster(&directory);
    let mut code = |call: Call| {
        let response = call_any(&mut cluster, &call);
        let body = String::from_utf8_lossy(&response.body).into_owned();
        let code = body.split([':', ',']).nth(1).unwrap_or_default().to_owned();
        format!("{} {code}", response.status)
    };
    for body in [
        "",
        "{}",
        "[]",
        r#"{"Svc":"s","Target":"v2"}"#,
        r#"{"Svc":"s","Target":"v2","OverS":0}"#,
        r#"{"Svc":"s","Target":"v2","OverS":-3}"#,
        r#"{"Svc":"s","Target":"v2","OverS":1e9}"#,
        r#"{"Svc":"s","Target":"v2","OverS":"12"}"#,
        r#"{"Svc":"","Target":"v2","OverS":12}"#,
        r#"{"Svc":"s","Target":"\u0001","OverS":12}"#,
    ] {
        let call = Call::BeginRollout { body: body.into() };
        assert_eq!(code(call), "400 1350", "{body}");
    }
    assert_eq!(code(order("other", "v2", 12.0)), "404 1351");
    assert_eq!(code(order("s", "v2", 0.5)), "200 ");
    assert_eq!(code(order("s", "v3", 12.0)), "409 1352");
    assert_eq!(
        code(Call::GetRollout {
            service: "other".into()
        }),
        "404 1353"
    );
}

#[test]
fn an_acknowledged_order_survives_the_kill_of_every_process() {
    let directory = Directory::new("killed");
    let mut cluster = cluster(&directory);
    assert_eq!(begin(&mut cluster, "s", "v2"), 200);
    (0..CONTROLLERS).for_each(|index| cluster.kill(index));
    (0..CONTROLLERS).for_each(|index| cluster.start_one(index));
    cluster.run(3_000);
    assert_eq!(state(&mut cluster, "s"), ROLLING);
    assert_eq!(begin(&mut cluster, "s", "v2"), 200);
}

/// Has a runner of this version known to all controllers.
fn heartbeat(cluster: &mut Cluster, seqno: u64, id: &str, version: &str) {
    let body = format!(
        "{{\"Svc\":\"s\",\"Address\":\"10.9.0.9:80\",\"Zone\":\"z\",\"Gen\":\"{version}\",\"Slots\":8,\
         \"State\":\"up\",\"ColdLeftMs\":0,\"Seqno\":{seqno}}}"
    );
    let call = Call::RunnerHeartbeat {
        id: id.into(),
        body: body.into(),
    };
    cluster.call(0, call);
}

/// A gateway's report of `s` to all controllers; who doesn't lead the roll-out ignores it.
fn report(cluster: &mut Cluster, share: u32, new: AnswerCounts) {
    let chain = cluster.process(0).core.chain();
    let rollout = chain.state_machine().rollout("s").expect("a roll-out").id;
    let old = AnswerCounts {
        answers: 5_000,
        bad: 50,
    };
    let route = RouteReport {
        route: "r".into(),
        old,
        new,
    };
    let report = RolloutReport {
        service: "s".into(),
        rollout,
        share,
        old_in_flight: 0,
        routes: vec![route],
    };
    let from = Peer {
        addr: ([10, 0, 1, 1], 7_661).into(),
        id: 77,
        node: "edge-9".into(),
        zone: "z".into(),
    };
    assert_ne!(from.addr, addr(0));
    for index in 0..CONTROLLERS {
        cluster.tell(index, &from, ROLLOUT_REPORT, &report.encode());
    }
}

/// Lets a roll-out run with these answers of the new version.
fn roll(cluster: &mut Cluster, new: AnswerCounts) {
    for step in 0..48 {
        heartbeat(cluster, step + 1, "i-old", "v1");
        heartbeat(cluster, step + 1, "i-new", "v2");
        report(cluster, FULL_SHARE, new);
        cluster.run(300);
    }
}

#[test]
fn a_good_version_is_complete_and_stays_so_after_a_kill_of_all() {
    let directory = Directory::new("good");
    let mut cluster = cluster(&directory);
    assert_eq!(begin(&mut cluster, "s", "v2"), 200);
    let good = AnswerCounts {
        answers: 500,
        bad: 5,
    };
    roll(&mut cluster, good);
    assert_eq!(state(&mut cluster, "s"), COMPLETE);
    (0..CONTROLLERS).for_each(|index| cluster.kill(index));
    (0..CONTROLLERS).for_each(|index| cluster.start_one(index));
    cluster.run(3_000);
    assert_eq!(state(&mut cluster, "s"), COMPLETE);
}

#[test]
fn a_bad_version_is_reverted_for_good() {
    let directory = Directory::new("bad");
    let mut cluster = cluster(&directory);
    assert_eq!(begin(&mut cluster, "s", "v2"), 200);
    let bad = AnswerCounts {
        answers: 60,
        bad: 30,
    };
    heartbeat(&mut cluster, 1, "i-new", "v2");
    report(&mut cluster, 60_000, bad);
    cluster.run(1_000);
    assert_eq!(state(&mut cluster, "s"), REVERTED);
    // A late repeat of the order begins nothing.
    assert_eq!(begin(&mut cluster, "s", "v2"), 200);
    roll(&mut cluster, AnswerCounts::default());
    assert_eq!(state(&mut cluster, "s"), REVERTED);
}
