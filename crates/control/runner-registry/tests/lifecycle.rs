//! What becomes of a runner: heard, silent, draining, gone, and taken over by another controller.

use runner_registry::{
    entry_key, HeartbeatError, HeartbeatOutcome, Registry, RegistryConfig, Runner, RunnerState,
    Stamp, StateEntry, MAX_RUNNERS, TOMBSTONE_RETENTION_MS,
};

const TIMEOUT: u64 = 4_200;

fn registry(owner: u64) -> Registry {
    Registry::new(RegistryConfig {
        heartbeat_ms: 1_200,
        owner,
    })
}

fn body(state: &str, port: u16, seqno: u64) -> String {
    format!(
        r#"{{"Svc":"s","Address":"10.0.0.9:{port}","Zone":"z","Gen":"v1","Slots":8,"State":"{state}","ColdLeftMs":{seqno},"Seqno":{seqno}}}"#
    )
}

fn heartbeat(registry: &mut Registry, now: u64, state: &str, seqno: u64) -> HeartbeatOutcome {
    registry
        .heartbeat(now, "i-1", body(state, 80, seqno).as_bytes())
        .expect("taken")
}

/// Sweeps as a controller does, several times a second.
fn sweep(registry: &mut Registry, from: u64, to: u64) -> Vec<(u64, StateEntry)> {
    (from..=to)
        .step_by(250)
        .flat_map(|now| {
            registry
                .sweep(now)
                .into_iter()
                .map(move |entry| (now, entry))
        })
        .collect()
}

fn show(entry: &StateEntry) -> String {
    let runner = Runner::read(entry).expect("a runner");
    let draining = if entry.stamp.0 >> 62 == 1 {
        "draining "
    } else {
        ""
    };
    let major = if entry.stamp.0 == u64::MAX {
        "end".into()
    } else {
        (entry.stamp.0 & !(1 << 62)).to_string()
    };
    format!(
        "{} {:?} {draining}{major}.{} owner {}",
        runner.id, runner.state, entry.stamp.1, runner.owner
    )
}

#[test]
fn only_changes_are_published() {
    let mut registry = registry(1);
    let first = heartbeat(&mut registry, 0, "up", 1);
    insta::assert_snapshot!(show(&first.publish.expect("new")), @"i-1 Up 1.0 owner 1");
    for seqno in 2..10 {
        assert_eq!(
            heartbeat(&mut registry, seqno * 1_200, "up", seqno),
            HeartbeatOutcome {
                publish: None,
                draining: false,
                stamp: Stamp(1, 0)
            }
        );
    }
    let moved = registry
        .heartbeat(12_000, "i-1", body("up", 81, 10).as_bytes())
        .expect("taken")
        .publish
        .expect("moved");
    assert_eq!(
        (moved.stamp, Runner::read(&moved).expect("read").addr.port()),
        (Stamp(10, 0), 81)
    );
    assert_eq!(
        registry.get("i-1").map(|runner| runner.addr.port()),
        Some(81)
    );
    assert_eq!(
        (
            registry.len(),
            registry.runners().count(),
            registry.is_empty()
        ),
        (1, 1, false)
    );
}

#[test]
fn a_late_heartbeat_is_acknowledged_and_changes_nothing() {
    let mut registry = registry(1);
    heartbeat(&mut registry, 0, "up", 5);
    let late = registry
        .heartbeat(100, "i-1", body("up", 99, 4).as_bytes())
        .expect("taken");
    assert_eq!(
        late,
        HeartbeatOutcome {
            publish: None,
            draining: false,
            stamp: Stamp(5, 0)
        }
    );
    let again = registry
        .heartbeat(100, "i-1", body("up", 99, 5).as_bytes())
        .expect("taken");
    assert_eq!(again.publish, None);
    assert_eq!(
        registry.get("i-1").map(|runner| runner.addr.port()),
        Some(80)
    );
}

#[test]
fn draining_is_final_whatever_order_it_arrives_in() {
    let mut registry = registry(1);
    heartbeat(&mut registry, 0, "up", 3);
    let drains = heartbeat(&mut registry, 100, "draining", 4);
    assert!(drains.draining);
    insta::assert_snapshot!(show(drains.publish.as_ref().expect("changed")), @"i-1 Draining draining 4.0 owner 1");
    // Said again (the acknowledgement was lost): the same stamp to wait for.
    let again = heartbeat(&mut registry, 200, "draining", 5);
    assert_eq!(
        again,
        HeartbeatOutcome {
            publish: None,
            draining: true,
            stamp: drains.stamp
        }
    );
    // A later word of `up`, even to a controller that hadn't heard of the draining, is below it.
    let up = heartbeat(&mut registry, 300, "up", 6);
    assert_eq!(
        up,
        HeartbeatOutcome {
            publish: None,
            draining: false,
            stamp: drains.stamp
        }
    );
    let mut other = self::registry(2);
    let elsewhere = heartbeat(&mut other, 300, "up", 7)
        .publish
        .expect("new there");
    assert!(elsewhere.stamp < drains.stamp);
    other.apply_remote_entry(400, &drains.publish.expect("changed"));
    assert_eq!(
        other.get("i-1").map(|runner| runner.state),
        Some(RunnerState::Draining)
    );
    registry.apply_remote_entry(400, &elsewhere);
    assert_eq!(
        registry.get("i-1").map(|runner| runner.state),
        Some(RunnerState::Draining)
    );
    // It drains too when the word of it comes after a later call.
    let mut third = self::registry(3);
    heartbeat(&mut third, 0, "up", 9);
    let late = heartbeat(&mut third, 10, "draining", 8);
    assert!(late.draining && late.publish.is_some_and(|entry| entry.stamp == late.stamp));
}

#[test]
fn a_runner_that_left_never_returns() {
    let mut registry = registry(1);
    heartbeat(&mut registry, 0, "up", 3);
    let left = registry.leave(100, "i-1").expect("said");
    insta::assert_snapshot!(show(&left), @"i-1 Gone end.1 owner 0");
    assert_eq!(registry.leave(150, "i-1"), None);
    assert_eq!(heartbeat(&mut registry, 200, "up", 4).publish, None);
    assert_eq!(heartbeat(&mut registry, 200, "draining", 5).publish, None);
    // One that nobody knew here: others may, so the word is passed on.
    assert!(registry.leave(300, "i-2").is_some());
    assert!(sweep(&mut registry, 0, TOMBSTONE_RETENTION_MS).is_empty());
    assert_eq!(registry.len(), 2);
    sweep(
        &mut registry,
        TOMBSTONE_RETENTION_MS,
        TOMBSTONE_RETENTION_MS + 500,
    );
    assert_eq!(registry.len(), 0);
}

#[test]
fn a_timed_out_runner_returns_with_its_next_heartbeat() {
    let mut registry = registry(1);
    for seqno in 1..=5 {
        heartbeat(&mut registry, seqno * 1_200, "up", seqno);
    }
    let gone = sweep(&mut registry, 0, 20_000);
    assert_eq!(
        gone.iter().map(|(now, _)| *now).collect::<Vec<_>>(),
        [10_250]
    );
    insta::assert_snapshot!(show(&gone[0].1), @"i-1 Gone 5.1 owner 0");
    assert_eq!(
        heartbeat(&mut registry, 20_100, "up", 5).publish,
        None,
        "the same call again is no news"
    );
    let back = heartbeat(&mut registry, 20_200, "up", 6)
        .publish
        .expect("back");
    assert!(back.stamp > gone[0].1.stamp);
    // A draining one stays draining, gone or not.
    heartbeat(&mut registry, 20_300, "draining", 7);
    let gone = sweep(&mut registry, 20_250, 25_000);
    insta::assert_snapshot!(show(&gone[0].1), @"i-1 Gone draining 7.1 owner 0");
    let back = heartbeat(&mut registry, 25_100, "draining", 8)
        .publish
        .expect("back");
    assert!(back.stamp > gone[0].1.stamp);
    assert_eq!(
        Runner::read(&back).map(|runner| runner.state),
        Ok(RunnerState::Draining)
    );
}

#[test]
fn the_heartbeat_timeout_has_a_minimum() {
    let mut registry = Registry::new(RegistryConfig {
        heartbeat_ms: 100,
        owner: 1,
    });
    assert_eq!(registry.heartbeat_timeout_ms(), 3_000);
    heartbeat(&mut registry, 0, "up", 1);
    assert_eq!(
        sweep(&mut registry, 0, 10_000).first().map(|(now, _)| *now),
        Some(3_000)
    );
}

#[test]
fn nothing_times_out_within_a_period_after_a_start_or_a_stall() {
    let mut late = registry(1);
    let mut early = registry(2);
    let entry = heartbeat(&mut early, 0, "up", 1).publish.expect("new");
    // Of an owner that nobody says is alive; told at 50 s, to a registry that starts then.
    late.apply_remote_entry(50_000, &entry);
    let gone = sweep(&mut late, 50_000, 70_000);
    assert_eq!(
        gone.iter().map(|(now, _)| now - 50_000).collect::<Vec<_>>(),
        [2 * TIMEOUT + 100]
    );
    let mut paused = registry(1);
    heartbeat(&mut paused, 0, "up", 1);
    assert!(sweep(&mut paused, 0, 4_000).is_empty());
    // It stood still for 6 s; the runner's calls wait to be read.
    assert!(sweep(&mut paused, 10_000, 10_000 + TIMEOUT - 200).is_empty());
    heartbeat(&mut paused, 10_000 + TIMEOUT - 200, "up", 6);
    assert!(sweep(&mut paused, 10_000 + TIMEOUT, 10_000 + 2 * TIMEOUT - 400).is_empty());
}

#[test]
fn the_controller_that_receives_heartbeats_becomes_the_owner() {
    let (mut one, mut two) = (registry(1), registry(2));
    let first = heartbeat(&mut one, 0, "up", 1).publish.expect("new");
    two.apply_remote_entry(10, &first);
    assert_eq!(two.get("i-1").map(|runner| runner.owner), Some(1));
    // The second controller knows the runner, yet its heartbeats come here now: news.
    let moved = heartbeat(&mut two, 1_200, "up", 2).publish.expect("moved");
    assert_eq!(moved.stamp, Stamp(2, 0));
    one.apply_remote_entry(1_210, &moved);
    assert_eq!(one.get("i-1").map(|runner| runner.owner), Some(2));
    // The first hears nothing more of it and says nothing; the second goes on for long, then it
    // ends.
    one.set_live_owners(1_300, &[1, 2]);
    assert!(sweep(&mut one, 0, 30_000).is_empty());
    for seqno in 3..=20 {
        assert_eq!(
            heartbeat(&mut two, seqno * 1_200, "up", seqno).publish,
            None
        );
    }
    let gone = sweep(&mut two, 24_000, 40_000);
    assert_eq!(gone.len(), 1);
    one.apply_remote_entry(30_010, &gone[0].1);
    assert_eq!(one.runners().count(), 0);
    // A call to the first one counts again when it is above what the second had heard.
    assert_eq!(heartbeat(&mut one, 30_100, "up", 20).publish, None);
    assert!(heartbeat(&mut one, 30_200, "up", 21)
        .publish
        .is_some_and(|entry| entry.stamp > gone[0].1.stamp));
}

#[test]
fn runners_of_a_lost_owner_are_timed_out_by_the_others() {
    let (mut one, mut two) = (registry(1), registry(2));
    one.set_live_owners(0, &[1, 2]);
    for id in ["i-1", "i-2"] {
        let entry = two
            .heartbeat(0, id, body("up", 80, 1).as_bytes())
            .expect("taken")
            .publish
            .expect("new");
        one.apply_remote_entry(10, &entry);
    }
    assert!(sweep(&mut one, 0, 30_000).is_empty());
    one.set_live_owners(30_000, &[1]);
    one.set_live_owners(31_000, &[1]);
    // One runner calls here after a while; the other was lost with its controller.
    let moved = one
        .heartbeat(33_000, "i-2", body("up", 80, 30).as_bytes())
        .expect("taken")
        .publish;
    assert!(moved.is_some());
    let gone = sweep(&mut one, 30_250, 36_000);
    assert!(gone.is_empty());
    one.heartbeat(37_000, "i-2", body("up", 80, 33).as_bytes())
        .expect("taken");
    let gone = sweep(&mut one, 36_250, 41_000);
    assert_eq!(
        gone.iter()
            .map(|(now, entry)| (*now, entry.key.as_str()))
            .collect::<Vec<_>>(),
        [(38_500, "runner/i-1")]
    );
}

#[test]
fn two_owners_of_one_runner_converge_on_the_state_table() {
    let (mut one, mut two) = (registry(1), registry(2));
    let a = heartbeat(&mut one, 0, "up", 1).publish.expect("new");
    let b = heartbeat(&mut two, 0, "up", 1).publish.expect("new");
    assert_eq!(a.stamp, b.stamp);
    // The state table keeps the greater value, and that is what its changes bring to both.
    let winner = if a.value > b.value { &a } else { &b };
    one.apply_remote_entry(10, winner);
    two.apply_remote_entry(10, winner);
    assert_eq!(one.get("i-1"), two.get("i-1"));
    // The next call makes its controller the owner, whoever that is.
    let next = heartbeat(&mut one, 1_200, "up", 2).publish;
    assert_eq!(
        next.is_some(),
        Runner::read(winner).map(|runner| runner.owner) != Ok(1)
    );
}

#[test]
fn the_table_is_bounded_and_evicts_runners_that_are_gone() {
    let mut registry = registry(1);
    let say = |registry: &mut Registry, n: usize| {
        registry.heartbeat(0, &format!("i-{n}"), body("up", 80, 1).as_bytes())
    };
    for n in 0..MAX_RUNNERS {
        assert!(say(&mut registry, n).is_ok());
    }
    assert_eq!(say(&mut registry, MAX_RUNNERS), Err(HeartbeatError::Full));
    assert_eq!(registry.leave(0, "i-unknown"), None);
    let other = StateEntry {
        key: entry_key("i-unknown"),
        stamp: Stamp(1, 1),
        value: None,
    };
    registry.apply_remote_entry(0, &other);
    assert_eq!(registry.len(), MAX_RUNNERS);
    assert!(registry.leave(0, "i-7").is_some());
    assert!(say(&mut registry, MAX_RUNNERS).is_ok());
    assert_eq!(registry.get("i-7"), None);
}
