//! Calls of runners at one controller alone.

use controller::begin::{Begin, Found};
use controller::op::{Answer, Ask};
use controller::owner::{Out, Owner, TICK};
use slog::Logger;
use tier_settings::Settings;

/// A controller whose peers are not there. `bootstrap`: the tier begins with it.
fn controller(peers: &[u8], bootstrap: bool) -> Owner {
    let peers: Vec<String> = peers
        .iter()
        .map(|n| format!("\"10.0.0.{n}:8146\""))
        .collect();
    let settings = Settings::parse(&format!(
        "Node = \"edge-1\"\nRole = \"controller\"\nMachineClass = \"edge\"\nServes = [\"ctl\"]\nIp = \"10.0.0.1\"\nZone = \"z\"\n\
         Region = \"r\"\nPortRange = [7660,7675]\nPeers = [{}]\nBootstrap = {bootstrap}\nVoting = true\n\
         DataDir = \"/data\"\nHeartbeatMs = 1200\n[Bind]\nCtl = \"10.0.0.1:8146\"\n",
        peers.join(",")
    ));
    let settings = settings.expect("settings");
    let addr = std::net::SocketAddr::from(([10, 0, 0, 1], 7_660));
    let (begin, _) = Begin::new(&settings, addr, 7, (true, 9), &Found::default());
    Owner::new(
        begin,
        &Found::default(),
        settings,
        Logger::root(slog::Discard, slog::o!()),
    )
    .expect("nothing is read")
}

/// Lets time pass on an instant disk; the answers that came.
fn until(owner: &mut Owner, from: u64, to: u64) -> Vec<(u64, Answer)> {
    let mut answers = Vec::new();
    for now in (from..=to).step_by(TICK as usize) {
        owner.persistence(
            now,
            write_ahead_log::DiskStatus {
                preallocated: true,
                ..Default::default()
            },
        );
        owner.tick(now, now);
        loop {
            let mut writes = Vec::new();
            for out in owner.take() {
                match out {
                    Out::Write { told, .. } => writes.push(told),
                    Out::Reply { call, answer } => answers.push((call, answer)),
                    Out::Tell { .. } => {}
                }
            }
            if writes.is_empty() {
                break;
            }
            owner.synced(now, now, &writes);
        }
    }
    answers
}

fn drains(owner: &mut Owner, now: u64, call: u64, seqno: u64) {
    let body = format!(
        "{{\"Svc\":\"s\",\"Address\":\"10.9.0.1:80\",\"Slots\":1,\"State\":\"draining\",\"Seqno\":{seqno}}}"
    );
    owner.asked(
        now,
        now,
        call,
        Ask::Heartbeat {
            id: "i-1".to_owned(),
            body: body.into(),
        },
    );
}

fn statuses(answers: &[(u64, Answer)]) -> Vec<(u64, u16)> {
    answers
        .iter()
        .map(|(call, answer)| (*call, answer.status))
        .collect()
}

#[test]
fn draining_said_again_is_not_acknowledged_while_nobody_else_knows_of_it() {
    let mut owner = controller(&[1, 2, 3], true);
    assert!(until(&mut owner, 1, 1_000).is_empty());
    drains(&mut owner, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut owner, 1_100, 2_000)), [(1, 503)]);
    drains(&mut owner, 2_001, 2, 5);
    drains(&mut owner, 2_002, 3, 6);
    assert_eq!(
        statuses(&until(&mut owner, 2_100, 3_000)),
        [(2, 503), (3, 503)]
    );
}

#[test]
fn one_that_has_no_view_yet_does_not_acknowledge_draining_alone() {
    let mut owner = controller(&[2, 3], false);
    assert!(until(&mut owner, 1, 500).is_empty());
    drains(&mut owner, 501, 1, 5);
    assert_eq!(statuses(&until(&mut owner, 600, 1_500)), [(1, 503)]);
}

#[test]
fn a_single_controller_acknowledges_draining_at_once() {
    let mut owner = controller(&[1], true);
    assert!(until(&mut owner, 1, 1_000).is_empty());
    drains(&mut owner, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut owner, 1_100, 1_100)), [(1, 200)]);
}

fn heartbeat(owner: &mut Owner, now: u64, call: u64, seqno: u64) {
    let body = format!(
        "{{\"Svc\":\"s\",\"Address\":\"10.9.0.1:80\",\"Slots\":1,\"State\":\"up\",\"Seqno\":{seqno}}}"
    );
    owner.asked(
        now,
        now,
        call,
        Ask::Heartbeat {
            id: "i-1".to_owned(),
            body: body.into(),
        },
    );
}

/// What its status says of the runners that are up, and whether what it knows is stale.
fn runners_up(owner: &mut Owner, now: u64) -> (u64, bool) {
    owner.asked(now, now, 99, Ask::Status);
    let replies = owner.take().into_iter().filter_map(|out| match out {
        Out::Reply { call: 99, answer } => Some(answer.body),
        _ => None,
    });
    let body = replies.last().expect("status is answered at once");
    let status = jzon::parse(std::str::from_utf8(&body).expect("text")).expect("JSON");
    (
        status["Runners"]["Up"].as_u64().expect("a number"),
        status["Stale"].as_bool().unwrap_or(false),
    )
}

// A controller that had lost its majority counted the runners as gone after their silence, and those that followed it
// stopped sending to them.
#[test]
fn without_a_majority_no_runner_is_taken_for_gone() {
    let mut owner = controller(&[1, 2, 3], true);
    assert!(until(&mut owner, 1, 1_000).is_empty());
    heartbeat(&mut owner, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut owner, 1_100, 30_000)), [(1, 200)]);
    assert_eq!(runners_up(&mut owner, 30_001), (1, true));
}

#[test]
fn without_a_majority_a_heartbeat_is_refused_and_what_it_says_is_kept() {
    let mut owner = controller(&[1, 2, 3], true);
    assert!(until(&mut owner, 1, 6_000).is_empty());
    heartbeat(&mut owner, 6_001, 1, 5);
    assert_eq!(statuses(&until(&mut owner, 6_100, 6_200)), [(1, 503)]);
    assert_eq!(runners_up(&mut owner, 6_201).0, 1);
    // That it drains is true whoever it was said to; it is not acknowledged.
    drains(&mut owner, 6_301, 2, 6);
    assert_eq!(statuses(&until(&mut owner, 6_400, 8_000)), [(2, 503)]);
    assert_eq!(runners_up(&mut owner, 8_001).0, 0);
}

#[test]
fn with_a_majority_a_silent_runner_is_gone() {
    let mut owner = controller(&[1], true);
    assert!(until(&mut owner, 1, 1_000).is_empty());
    heartbeat(&mut owner, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut owner, 1_100, 4_000)), [(1, 200)]);
    assert_eq!(runners_up(&mut owner, 4_001), (1, false));
    until(&mut owner, 4_100, 10_000);
    assert_eq!(runners_up(&mut owner, 10_001).0, 0);
}

// A leave was acknowledged at once, and was lost with the controller that had it.
#[test]
fn a_leave_is_not_acknowledged_while_nobody_else_knows_of_it() {
    let mut owner = controller(&[1, 2, 3], true);
    assert!(until(&mut owner, 1, 1_000).is_empty());
    for (call, now) in [(1, 1_001), (2, 2_001)] {
        owner.asked(
            now,
            now,
            call,
            Ask::Leave {
                id: "i-1".to_owned(),
            },
        );
        assert_eq!(
            statuses(&until(&mut owner, now + 99, now + 999)),
            [(call, 503)]
        );
    }
    let mut alone = controller(&[1], true);
    assert!(until(&mut alone, 1, 1_000).is_empty());
    alone.asked(
        1_001,
        1_001,
        1,
        Ask::Leave {
            id: "i-1".to_owned(),
        },
    );
    assert_eq!(statuses(&until(&mut alone, 1_100, 1_100)), [(1, 200)]);
}
