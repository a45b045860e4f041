//! Calls of runners at one controller alone.

use controller::call::{Call, CallId, Response};
use controller::core::{ControllerCore, Effect, TICK_INTERVAL};
use controller::startup::{ProcessIdentity, RecoveredState, Startup};
use controller::Time;
use slog::Logger;
use tier_settings::Settings;

/// A controller whose peers are not there. `bootstrap`: the tier begins with it.
fn controller(peers: &[u8], bootstrap: bool) -> ControllerCore {
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
    let identity = ProcessIdentity {
        incarnation: 7,
        disk_id: 9,
        disk_was_empty: true,
    };
    let startup = Startup::new(&settings, addr, identity, &RecoveredState::default());
    ControllerCore::new(
        startup,
        &RecoveredState::default(),
        settings,
        Logger::root(slog::Discard, slog::o!()),
    )
    .expect("nothing is read")
}

/// Lets time pass on an instant disk; the answers that came.
fn until(core: &mut ControllerCore, from: u64, to: u64) -> Vec<(u64, Response)> {
    let mut answers = Vec::new();
    for now in (from..=to).step_by(TICK_INTERVAL as usize) {
        core.update_disk_state(
            now,
            write_ahead_log::DiskStatus {
                preallocated: true,
                ..Default::default()
            },
        );
        core.tick(Time { now, unix_ms: now });
        loop {
            let mut writes = Vec::new();
            for out in core.take_effects() {
                match out {
                    Effect::Write { ticket, .. } => writes.push(ticket),
                    Effect::Respond { call, response } => answers.push((call.0, response)),
                    Effect::Send { .. } => {}
                }
            }
            if writes.is_empty() {
                break;
            }
            core.handle_synced(Time { now, unix_ms: now }, &writes);
        }
    }
    answers
}

fn drains(core: &mut ControllerCore, now: u64, call: u64, seqno: u64) {
    let body = format!(
        "{{\"Svc\":\"s\",\"Address\":\"10.9.0.1:80\",\"Slots\":1,\"State\":\"draining\",\"Seqno\":{seqno}}}"
    );
    core.handle_call(
        Time { now, unix_ms: now },
        CallId(call),
        Call::RunnerHeartbeat {
            id: "i-1".to_owned(),
            body: body.into(),
        },
    );
}

fn statuses(answers: &[(u64, Response)]) -> Vec<(u64, u16)> {
    answers
        .iter()
        .map(|(call, answer)| (*call, answer.status))
        .collect()
}

#[test]
fn repeated_draining_is_not_acknowledged_before_a_majority_knows() {
    let mut core = controller(&[1, 2, 3], true);
    assert!(until(&mut core, 1, 1_000).is_empty());
    drains(&mut core, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut core, 1_100, 2_000)), [(1, 503)]);
    drains(&mut core, 2_001, 2, 5);
    drains(&mut core, 2_002, 3, 6);
    assert_eq!(
        statuses(&until(&mut core, 2_100, 3_000)),
        [(2, 503), (3, 503)]
    );
}

#[test]
fn a_controller_without_a_view_does_not_acknowledge_draining() {
    let mut core = controller(&[2, 3], false);
    assert!(until(&mut core, 1, 500).is_empty());
    drains(&mut core, 501, 1, 5);
    assert_eq!(statuses(&until(&mut core, 600, 1_500)), [(1, 503)]);
}

#[test]
fn a_single_controller_acknowledges_draining_at_once() {
    let mut core = controller(&[1], true);
    assert!(until(&mut core, 1, 1_000).is_empty());
    drains(&mut core, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut core, 1_100, 1_100)), [(1, 200)]);
}

fn heartbeat(core: &mut ControllerCore, now: u64, call: u64, seqno: u64) {
    let body = format!(
        "{{\"Svc\":\"s\",\"Address\":\"10.9.0.1:80\",\"Slots\":1,\"State\":\"up\",\"Seqno\":{seqno}}}"
    );
    core.handle_call(
        Time { now, unix_ms: now },
        CallId(call),
        Call::RunnerHeartbeat {
            id: "i-1".to_owned(),
            body: body.into(),
        },
    );
}

/// What its status says of the runners that are up, and whether what it knows is stale.
fn runners_up(core: &mut ControllerCore, now: u64) -> (u64, bool) {
    core.handle_call(Time { now, unix_ms: now }, CallId(99), Call::GetStatus);
    let replies = core.take_effects().into_iter().filter_map(|out| match out {
        Effect::Respond {
            call: CallId(99),
            response,
        } => Some(response.body),
        _ => None,
    });
    let body = replies.last().expect("status is answered at once");
    let status = jzon::parse(std::str::from_utf8(&body).expect("text")).expect("JSON");
    (
        status["Runners"]["Up"].as_u64().expect("a number"),
        status["Stale"].as_bool().unwrap_or(false),
    )
}

// A controller that had lost its majority counted the runners as gone after their silence, and
// those that followed it stopped sending to them.
#[test]
fn without_quorum_contact_no_runner_times_out() {
    let mut core = controller(&[1, 2, 3], true);
    assert!(until(&mut core, 1, 1_000).is_empty());
    heartbeat(&mut core, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut core, 1_100, 30_000)), [(1, 200)]);
    assert_eq!(runners_up(&mut core, 30_001), (1, true));
}

#[test]
fn without_quorum_contact_a_heartbeat_is_refused_and_published() {
    let mut core = controller(&[1, 2, 3], true);
    assert!(until(&mut core, 1, 6_000).is_empty());
    heartbeat(&mut core, 6_001, 1, 5);
    assert_eq!(statuses(&until(&mut core, 6_100, 6_200)), [(1, 503)]);
    assert_eq!(runners_up(&mut core, 6_201).0, 1);
    // That it drains is true whoever it was said to; it is not acknowledged.
    drains(&mut core, 6_301, 2, 6);
    assert_eq!(statuses(&until(&mut core, 6_400, 8_000)), [(2, 503)]);
    assert_eq!(runners_up(&mut core, 8_001).0, 0);
}

#[test]
fn with_quorum_contact_a_silent_runner_times_out() {
    let mut core = controller(&[1], true);
    assert!(until(&mut core, 1, 1_000).is_empty());
    heartbeat(&mut core, 1_001, 1, 5);
    assert_eq!(statuses(&until(&mut core, 1_100, 4_000)), [(1, 200)]);
    assert_eq!(runners_up(&mut core, 4_001), (1, false));
    until(&mut core, 4_100, 10_000);
    assert_eq!(runners_up(&mut core, 10_001).0, 0);
}

// A leave was acknowledged at once, and was lost with the controller that had it.
#[test]
fn a_leave_is_not_acknowledged_before_a_majority_knows() {
    let mut core = controller(&[1, 2, 3], true);
    assert!(until(&mut core, 1, 1_000).is_empty());
    for (call, now) in [(1, 1_001), (2, 2_001)] {
        core.handle_call(
            Time { now, unix_ms: now },
            CallId(call),
            Call::RunnerLeave {
                id: "i-1".to_owned(),
            },
        );
        assert_eq!(
            statuses(&until(&mut core, now + 99, now + 999)),
            [(call, 503)]
        );
    }
    let mut alone = controller(&[1], true);
    assert!(until(&mut alone, 1, 1_000).is_empty());
    alone.handle_call(
        Time {
            now: 1_001,
            unix_ms: 1_001,
        },
        CallId(1),
        Call::RunnerLeave {
            id: "i-1".to_owned(),
        },
    );
    assert_eq!(statuses(&until(&mut alone, 1_100, 1_100)), [(1, 200)]);
}
