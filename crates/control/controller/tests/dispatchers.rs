//! Who of the dispatchers is known, and who says that one is gone.

use controller::dispatchers::DispatcherTracker;
use controller::Time;
use peer_transport::Peer;
use relay_tree::{Follow, Role, Stamp, StateTable};
use replicated_state::{Dispatcher, DISPATCHER_KEY_PREFIX};
use std::net::SocketAddr;

const OWN: u64 = 7;
const OTHER: u64 = 5;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_000))
}

/// A controller's state table on which another one told of a dispatcher.
fn state_table() -> StateTable {
    let mut state_table = StateTable::new(OWN, addr(1), Follow::All, Role::Root);
    let entry = Dispatcher {
        addr: addr(9),
        id: 3,
        owner: OTHER,
        zone: "z".into(),
    };
    state_table.set(
        1,
        &format!("{DISPATCHER_KEY_PREFIX}edge-9"),
        Stamp(1_000, 0),
        Some(entry.encode()),
    );
    state_table
}

/// Lets time pass; when the dispatcher was said to be gone.
fn gone_at(
    dispatchers: &mut DispatcherTracker,
    until: u64,
    alive: impl Fn(u64) -> Option<Vec<u64>>,
) -> Option<u64> {
    let mut state_table = state_table();
    for now in (100..until).step_by(100) {
        let time = Time {
            now,
            unix_ms: 2_000 + now,
        };
        let entries = dispatchers.entries_to_publish(time, &state_table, alive(now).as_deref());
        for entry in entries {
            state_table.set(now, &entry.key, entry.stamp, entry.value);
        }
        if state_table
            .with_prefix(DISPATCHER_KEY_PREFIX)
            .next()
            .is_none()
        {
            return Some(now);
        }
    }
    None
}

// One that ended together with the controller that told of it stayed known for good.
#[test]
fn an_orphaned_dispatcher_is_removed() {
    let mut dispatchers = DispatcherTracker::new(OWN);
    let alive = |now| Some(if now < 10_000 { vec![OTHER] } else { vec![] });
    let at = gone_at(&mut dispatchers, 60_000, alive).expect("it is said to be gone");
    // It has two silences to come over to another controller.
    assert!((17_000..18_000).contains(&at), "{at}");
}

#[test]
fn a_dispatcher_of_a_live_controller_stays() {
    let mut dispatchers = DispatcherTracker::new(OWN);
    assert_eq!(
        gone_at(&mut dispatchers, 60_000, |_| Some(vec![OTHER])),
        None
    );
}

#[test]
fn without_quorum_contact_no_dispatcher_is_removed() {
    let mut dispatchers = DispatcherTracker::new(OWN);
    assert_eq!(gone_at(&mut dispatchers, 60_000, |_| None), None);
    // When contact is back, it has a whole span again.
    let alive = |now| Some(vec![]).filter(|_| now > 20_000);
    let at =
        gone_at(&mut DispatcherTracker::new(OWN), 60_000, alive).expect("it is said to be gone");
    assert!(at > 27_000, "{at}");
}

#[test]
fn a_dispatcher_whose_heartbeats_come_stays() {
    let mut dispatchers = DispatcherTracker::new(OWN);
    let peer = Peer {
        addr: addr(9),
        id: 3,
        node: "edge-9".into(),
        zone: "z".into(),
    };
    for now in (100..30_000).step_by(1_000) {
        dispatchers.record_hello(now, &peer);
        let state_table = state_table();
        let time = Time {
            now,
            unix_ms: 2_000 + now,
        };
        let entries = dispatchers.entries_to_publish(time, &state_table, Some(&[]));
        assert!(
            entries.iter().all(|entry| entry.value.is_some()),
            "at {now}"
        );
    }
}
