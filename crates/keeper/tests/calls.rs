//! Calls of runners at one keeper alone.

use keeper::begin::{Begin, Found};
use keeper::op::{Answer, Ask};
use keeper::owner::{Out, Owner, TICK};
use slog::Logger;
use tier_settings::Settings;

/// A keeper whose peers are not there. `bootstrap`: the tier begins with it.
fn keeper(peers: &[u8], bootstrap: bool) -> Owner {
    let peers: Vec<String> = peers.iter().map(|n| format!("\"10.0.0.{n}:8146\"")).collect();
    let settings = Settings::parse(&format!(
        "Node = \"edge-1\"\nRole = \"keeper\"\nMachineClass = \"edge\"\nServes = [\"ctl\"]\nIp = \"10.0.0.1\"\nZone = \"z\"\n\
         Region = \"r\"\nPortRange = [7660,7675]\nPeers = [{}]\nBootstrap = {bootstrap}\nVoting = true\n\
         DataDir = \"/data\"\nHeartbeatMs = 1200\n[Bind]\nCtl = \"10.0.0.1:8146\"\n",
        peers.join(",")
    ));
    let settings = settings.expect("settings");
    let addr = std::net::SocketAddr::from(([10, 0, 0, 1], 7_660));
    let (begin, _) = Begin::new(&settings, addr, 7, (true, 9), &Found::default());
    Owner::new(begin, &Found::default(), settings, Logger::root(slog::Discard, slog::o!()))
        .expect("nothing is read")
}

/// Lets time pass on an instant disk; the answers that came.
fn until(owner: &mut Owner, from: u64, to: u64) -> Vec<(u64, Answer)> {
    let mut answers = Vec::new();
    for now in (from..=to).step_by(TICK as usize) {
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
    owner.asked(now, now, call, Ask::Beat { id: "i-1".to_owned(), body: body.into() });
}

fn statuses(answers: &[(u64, Answer)]) -> Vec<(u64, u16)> {
    answers.iter().map(|(call, answer)| (*call, answer.status)).collect()
}

#[test]
fn draining_said_again_is_not_acknowledged_while_nobody_else_knows_of_it() {
    let mut owner = keeper(&[1, 2, 3], true);
    assert!(until(&mut owner, 1, 1_000).is_empty());
    drains(&mut owner, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut owner, 1_100, 2_000)), [(1, 503)]);
    drains(&mut owner, 2_001, 2, 5);
    drains(&mut owner, 2_002, 3, 6);
    assert_eq!(statuses(&until(&mut owner, 2_100, 3_000)), [(2, 503), (3, 503)]);
}

#[test]
fn one_that_has_no_view_yet_does_not_acknowledge_draining_alone() {
    let mut owner = keeper(&[2, 3], false);
    assert!(until(&mut owner, 1, 500).is_empty());
    drains(&mut owner, 501, 1, 5);
    assert_eq!(statuses(&until(&mut owner, 600, 1_500)), [(1, 503)]);
}

#[test]
fn a_single_keeper_acknowledges_draining_at_once() {
    let mut owner = keeper(&[1], true);
    assert!(until(&mut owner, 1, 1_000).is_empty());
    drains(&mut owner, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut owner, 1_100, 1_100)), [(1, 200)]);
}
