//! One table and its neighbours: what is kept, for how long, and which parent is followed.

mod support;

use std::net::SocketAddr;

use bytes::Bytes;
use proptest::prelude::*;
use relay_tree::{
    Follow, Message, Rejected, Role, Stamp, StateEntry, StateTable, MAX_KEY_BYTES, MAX_SUBSCRIBERS,
    MAX_TOMBSTONES, MAX_VALUE_BYTES, TOMBSTONE_MS,
};
use support::{addr, World};

fn value(text: &str) -> Option<Bytes> {
    Some(Bytes::copy_from_slice(text.as_bytes()))
}

fn root() -> StateTable {
    StateTable::new(1, addr(0), Follow::All, Role::Root)
}

fn show(state_table: &StateTable, prefix: &str) -> String {
    let one = |state_entry: &StateEntry| {
        format!(
            "{}@{}.{}={:?}",
            state_entry.key, state_entry.stamp.0, state_entry.stamp.1, state_entry.value
        )
    };
    state_table
        .with_prefix(prefix)
        .map(one)
        .collect::<Vec<_>>()
        .join(" ")
}

#[test]
fn the_highest_stamp_wins_and_changes_are_reported_once() {
    let mut state_table = root();
    assert!(state_table.set(0, "runner/a", Stamp(2, 0), value("two")));
    assert!(!state_table.set(0, "runner/a", Stamp(1, 9), value("one")));
    assert!(!state_table.set(0, "runner/a", Stamp(2, 0), value("two")));
    assert!(state_table.set(0, "runner/a", Stamp(2, 1), value("more")));
    assert!(state_table.set(0, "runner/b", Stamp(1, 0), value("b")));
    assert!(state_table.set(0, "stores", Stamp(1, 0), value("s")));
    assert!(state_table.set(0, "runner/b", Stamp(1, 1), None));
    assert_eq!(
        state_table.take_changed_keys(),
        ["runner/a", "runner/b", "stores"]
    );
    assert!(state_table.take_changed_keys().is_empty());
    insta::assert_snapshot!(show(&state_table, "runner/"), @r#"runner/a@2.1=Some(b"more")"#);
    assert_eq!(
        state_table
            .get("runner/b")
            .map(|state_entry| state_entry.value.clone()),
        Some(None)
    );
}

#[test]
fn tombstones_are_kept_for_a_minute() {
    let mut state_table = root();
    state_table.set(1_000, "runner/a", Stamp(5, 1), None);
    state_table.tick(1_000 + TOMBSTONE_MS - 1);
    assert!(!state_table.set(
        1_000 + TOMBSTONE_MS - 1,
        "runner/a",
        Stamp(5, 0),
        value("late")
    ));
    state_table.tick(1_000 + TOMBSTONE_MS);
    assert_eq!(state_table.get("runner/a"), None);
    // Far more than the limit: the oldest are removed.
    for n in 0..MAX_TOMBSTONES + 100 {
        state_table.set(100_000, &format!("runner/{n}"), Stamp(1, 1), None);
    }
    state_table.tick(100_050);
    assert_eq!(state_table.get("runner/99"), None);
    assert!(state_table.get("runner/100").is_some());
}

#[test]
fn entries_over_the_limits_are_rejected() {
    let mut state_table = root();
    assert!(!state_table.set(0, "", Stamp(1, 0), None));
    assert!(!state_table.set(0, &"k".repeat(MAX_KEY_BYTES + 1), Stamp(1, 0), None));
    assert!(!state_table.set(
        0,
        "k",
        Stamp(1, 0),
        Some(vec![0; MAX_VALUE_BYTES + 1].into())
    ));
    assert!(state_table.set(
        0,
        &"k".repeat(MAX_KEY_BYTES),
        Stamp(1, 0),
        Some(vec![0; MAX_VALUE_BYTES].into())
    ));
    assert_eq!(
        state_table.rejected(),
        Rejected {
            entries: 3,
            messages: 0
        }
    );
    let mut taken = 1;
    while state_table.set(
        0,
        &format!("k{taken}"),
        Stamp(1, 0),
        Some(vec![0; MAX_VALUE_BYTES].into()),
    ) {
        taken += 1;
    }
    assert_eq!(taken, 9);
    // Freed capacity can be used again.
    assert!(state_table.set(0, "k1", Stamp(2, 0), None));
    assert!(state_table.set(0, "k99", Stamp(1, 0), Some(vec![0; MAX_VALUE_BYTES].into())));
}

#[test]
fn subscribers_are_bounded_and_silent_ones_time_out() {
    let mut state_table = root();
    let one = |n: usize| SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8], 1));
    let mut child = StateTable::new(9, one(0), Follow::First, Role::Relay);
    child.set_parents(0, vec![addr(0)]);
    let subscription = child.take_messages().remove(0).1;
    for n in 0..MAX_SUBSCRIBERS + 10 {
        state_table.handle_message(0, one(n), subscription.clone());
    }
    assert_eq!(state_table.subscribers().len(), MAX_SUBSCRIBERS);
    state_table.tick(0);
    for now in (300..=1_500).step_by(300) {
        state_table.handle_message(now, one(7), subscription.clone());
        state_table.tick(now);
    }
    state_table.tick(1_501);
    let left = state_table
        .subscribers()
        .into_iter()
        .map(|sub| (sub.addr, sub.last_received_ms_ago))
        .collect::<Vec<_>>();
    assert_eq!(left, [(one(7), 1)]);
    state_table.handle_message(1_502, one(7), Message::Unsubscribe { incarnation: 8 });
    assert_eq!(
        state_table.subscribers().len(),
        1,
        "a message of another incarnation"
    );
    state_table.handle_message(1_502, one(7), Message::Unsubscribe { incarnation: 9 });
    assert_eq!(state_table.subscribers().len(), 0);
}

#[test]
fn a_stalled_child_keeps_its_parent_and_a_stalled_parent_its_children() {
    let mut world = World::new(3, 3, 6, 2);
    world.run(2_000);
    let parent = |world: &World, n: usize| {
        world.nodes[n]
            .state_table
            .as_ref()
            .and_then(|state_table| state_table.parent())
    };
    let before = parent(&world, 4);
    world.nodes[4].frozen_until = world.now + 5_000;
    world.run(5_400);
    assert_eq!(parent(&world, 4), before);
    world.run(600);
    let age = world.nodes[4]
        .state_table
        .as_ref()
        .map(|state_table| state_table.staleness(world.now));
    assert!(age <= Some(800), "{age:?}");
}

#[test]
fn a_changed_parent_list_moves_a_child_without_staleness() {
    let mut world = World::new(4, 3, 2, 2);
    for n in 0..400 {
        world.set(0, &format!("runner/{n}"), Stamp(1, 0), Some(vec![1; 100]));
    }
    let parents = vec![addr(2), addr(0), addr(1)];
    let now = world.now;
    world.state_table(3).set_parents(now, parents);
    world.run(1_500);
    let before = world.state_table(3).parent();
    assert_eq!(
        before,
        Some(addr(0)),
        "sticks with a good one that stands near the front"
    );
    let now = world.now;
    world
        .state_table(3)
        .set_parents(now, vec![addr(2), addr(1), addr(0)]);
    let began = world.now;
    while world.state_table(3).parent() != Some(addr(2)) && world.now - began < 10_000 {
        world.step();
        let now = world.now;
        assert!(world.state_table(3).staleness(now) <= 1_000);
    }
    assert!(world.now - began <= 1_500, "{} ms", world.now - began);
    // The parent that was left removes the child at once.
    world.run(100);
    assert!(world
        .state_table(0)
        .subscribers()
        .iter()
        .all(|sub| sub.addr != addr(3)));
}

#[test]
fn a_new_parent_sends_only_differences() {
    let mut world = World::new(6, 3, 1, 4);
    for n in 0..5_000 {
        world.set(
            n % 3,
            &format!("runner/{n:05}"),
            Stamp(1, 0),
            Some(vec![1; 100]),
        );
    }
    world.run(3_000);
    let (old, other) = (world.state_table(3).parent(), addr(1));
    assert_ne!(old, Some(other));
    // Three entries that the child lacks when it switches.
    world.partition(&[3], &[0, 1, 2]);
    world.run(2_000);
    for n in 0..3 {
        world.set(
            1,
            &format!("runner/{n:05}"),
            Stamp(2, 0),
            Some(vec![2; 100]),
        );
    }
    let place = (0..3)
        .find(|n| old == Some(addr(*n)))
        .expect("a controller");
    world.blocked.clear();
    world.partition(&[3], &[place]);
    let (began, before) = (world.now, world.bytes);
    while !(0..3).all(|n| world.has(3, &format!("runner/{n:05}"), Stamp(2, 0)))
        && world.now - began < 5_000
    {
        world.step();
    }
    assert!(world.now - began <= 2_500, "{} ms", world.now - began);
    // A full copy would be 700 kB; this is heartbeats, the controllers' updates, two digests and
    // three buckets of 256.
    let bytes = world.bytes - before;
    assert!(bytes < 60_000, "{bytes} bytes");
}

#[test]
fn a_long_partitioned_child_removes_orphaned_entries() {
    let mut world = World::new(7, 3, 1, 4);
    for n in 0..100 {
        world.set(
            0,
            &format!("runner/{n:02}"),
            Stamp(1, 0),
            Some(vec![1; 100]),
        );
    }
    world.run(2_000);
    world.partition(&[3], &[0, 1, 2]);
    world.set(0, "runner/07", Stamp(1, 1), None);
    world.run(TOMBSTONE_MS + 5_000);
    assert_eq!(
        world.state_table(0).get("runner/07"),
        None,
        "the mark is let go"
    );
    assert!(world.content(3).contains_key("runner/07"));
    world.blocked.clear();
    world.run(3_000);
    assert!(!world.content(3).contains_key("runner/07"));
    assert_eq!(world.content(3), world.content(0));
}

#[test]
fn a_restarted_controller_removes_nothing() {
    let mut world = World::new(8, 1, 1, 4);
    world.set(0, "runner/a", Stamp(1, 0), Some(vec![1; 100]));
    world.run(2_000);
    world.kill(0);
    world.run(50_000);
    world.start(0);
    world.run(5_000);
    assert!(world.state_table(0).get("runner/a").is_none());
    assert!(world.content(1).contains_key("runner/a"));
}

#[test]
fn without_quorum_children_try_all_parents_without_full_copies() {
    let mut world = World::new(9, 3, 6, 2);
    for n in 0..3_000 {
        world.set(
            0,
            &format!("runner/{n:04}"),
            Stamp(1, 0),
            Some(vec![1; 100]),
        );
    }
    world.run(3_000);
    world.partition(&[0], &[1, 2]);
    world.partition(&[1], &[2]);
    world.run(3_000);
    let (sent, bytes) = (world.sent, world.bytes);
    world.run(10_000);
    // One full copy is 400 kB; this is the traffic of six children in ten seconds.
    assert!(
        world.bytes - bytes < 400_000,
        "{} bytes",
        world.bytes - bytes
    );
    assert!(world.sent - sent < 1_500, "{} messages", world.sent - sent);
    // Entries still come from the followed parent, and the first one with quorum contact is found
    // at once.
    world.blocked.clear();
    world.run(1_500);
    for n in 3..9 {
        let now = world.now;
        assert!(world.state_table(n).staleness(now) <= 1_000);
    }
}

#[test]
fn a_closing_parent_is_left_at_once() {
    let mut world = World::new(10, 3, 6, 2);
    world.run(3_000);
    let relays = (3..9).filter(|n| {
        !world.nodes[*n]
            .state_table
            .as_ref()
            .expect("runs")
            .subscribers()
            .is_empty()
    });
    let relays = relays.collect::<Vec<_>>();
    let Some(one) = relays.first().copied() else {
        return;
    };
    let now = world.now;
    world.state_table(one).close(now);
    for (to, message) in world.state_table(one).take_messages() {
        let to = (0..9).find(|n| addr(*n) == to).expect("known");
        world
            .state_table(to)
            .handle_message(now, addr(one), message);
    }
    world.kill(one);
    world.run(120);
    for n in 0..9 {
        let state_table = world.nodes[n].state_table.as_ref();
        assert_ne!(
            state_table.and_then(|state_table| state_table.parent()),
            Some(addr(one))
        );
        assert!(state_table.is_none_or(|state_table| state_table
            .subscribers()
            .iter()
            .all(|sub| sub.addr != addr(one))));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]
    /// In whatever order and however often updates come, the tables converge.
    #[test]
    fn reordered_and_duplicated_updates_converge(
        state_entries in prop::collection::vec((0u8..4, 0u64..3, 0u64..2, prop::option::of(0u8..3)), 1..40),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let take = |state_table: &mut StateTable, state_entry: &(u8, u64, u64, Option<u8>)| {
            let (key, major, minor, value) = state_entry;
            state_table.set(0, &format!("k{key}"), Stamp(*major, *minor), value.map(|value| Bytes::from(vec![value])));
        };
        let (mut one, mut other) = (root(), root());
        for state_entry in &state_entries {
            take(&mut one, state_entry);
        }
        for index in order {
            take(&mut other, index.get(&state_entries));
        }
        for state_entry in state_entries.iter().rev() {
            take(&mut other, state_entry);
        }
        for key in ["k0", "k1", "k2", "k3"] {
            prop_assert_eq!(one.get(key), other.get(key));
        }
    }
}

// Regression: a returning controller reported its staleness before it had received the changes made
// in its absence.
#[test]
fn a_returning_root_is_in_sync_only_after_catching_up() {
    let mut world = World::new(11, 3, 2, 4);
    world.run(2_000);
    world.partition(&[0], &[1, 2]);
    world.run(20_000);
    for n in 0..300 {
        world.set(
            1,
            &format!("runner/{n:03}"),
            Stamp(1, 0),
            Some(vec![1; 4_000]),
        );
    }
    world.run(1_000);
    world.blocked.clear();
    let since = world.now;
    let mut synced_at = None;
    while world.now < since + 3_000 {
        world.step();
        let synced = world.state_table(0).is_in_sync_with(addr(1), since);
        let has_all = world.content(0) == world.content(1);
        assert!(!synced || has_all, "{} ms after the cut", world.now - since);
        if synced {
            synced_at.get_or_insert(world.now - since);
        }
    }
    assert!(synced_at.is_some_and(|ms| ms <= 1_000), "{synced_at:?}");
    assert!(
        !world.state_table(0).is_in_sync_with(addr(9), since),
        "no parent"
    );
}

/// Delivers all messages of one table to another one; gives their count.
fn deliver_all(
    (from, sender): (&mut StateTable, usize),
    (to, receiver): (&mut StateTable, usize),
    now: u64,
) -> usize {
    let messages = from.take_messages();
    let for_it = messages
        .into_iter()
        .filter(|(whom, _)| *whom == addr(receiver));
    for_it
        .map(|(_, message)| to.handle_message(now, addr(sender), message))
        .count()
}

// Regression: a controller that regained quorum contact told its children with its next heartbeat
// only, and each level of the tree its own.
#[test]
fn the_first_fresh_update_propagates_at_once() {
    let mut root = StateTable::new(1, addr(1), Follow::All, Role::Root);
    let mut child = StateTable::new(2, addr(2), Follow::First, Role::Relay);
    let mut grandchild = StateTable::new(3, addr(3), Follow::First, Role::Relay);
    child.set_parents(1_000, vec![addr(1)]);
    grandchild.set_parents(1_000, vec![addr(2)]);
    root.set(1_000, "config", Stamp(1, 0), value("a"));
    for now in [1_000, 1_010, 1_020] {
        root.tick(now);
        child.tick(now);
        grandchild.tick(now);
        deliver_all((&mut grandchild, 3), (&mut child, 2), now);
        deliver_all((&mut child, 2), (&mut root, 1), now);
        deliver_all((&mut root, 1), (&mut child, 2), now);
        deliver_all((&mut child, 2), (&mut grandchild, 3), now);
    }
    assert_eq!(
        (child.staleness(1_020), grandchild.staleness(1_020)),
        (u64::MAX, u64::MAX),
        "out of touch"
    );
    root.report_quorum_contact(1_040, 5);
    assert!(
        deliver_all((&mut root, 1), (&mut child, 2), 1_041) > 0,
        "those below are told"
    );
    assert!(child.staleness(1_041) < 100, "{}", child.staleness(1_041));
    assert!(
        deliver_all((&mut child, 2), (&mut grandchild, 3), 1_042) > 0,
        "and those below them"
    );
    assert!(
        grandchild.staleness(1_042) < 100,
        "{}",
        grandchild.staleness(1_042)
    );
    // The usual interval goes on.
    root.report_quorum_contact(1_060, 5);
    assert_eq!(
        deliver_all((&mut root, 1), (&mut child, 2), 1_061),
        0,
        "not with each word of a majority"
    );
}

// Regression: whether a table was in sync with a controller was known only with that one's next
// heartbeat.
#[test]
fn a_polled_parent_replies_at_once() {
    let mut one = StateTable::new(1, addr(1), Follow::All, Role::Root);
    let mut other = StateTable::new(2, addr(2), Follow::All, Role::Root);
    one.set_parents(1_000, vec![addr(2)]);
    deliver_all((&mut one, 1), (&mut other, 2), 1_001);
    deliver_all((&mut other, 2), (&mut one, 1), 1_002);
    assert!(one.is_in_sync_with(addr(2), 900) && !one.is_in_sync_with(addr(2), 1_010));
    one.tick(1_020);
    one.poll_parents();
    assert_eq!(deliver_all((&mut one, 1), (&mut other, 2), 1_021), 1);
    assert_eq!(
        deliver_all((&mut other, 2), (&mut one, 1), 1_022),
        1,
        "answered at once"
    );
    assert!(one.is_in_sync_with(addr(2), 1_010));
    one.poll_parent(addr(2));
    assert_eq!(deliver_all((&mut one, 1), (&mut other, 2), 1_023), 1);
    assert_eq!(deliver_all((&mut other, 2), (&mut one, 1), 1_024), 1);
    // No further reply is requested.
    one.tick(1_030);
    assert_eq!(deliver_all((&mut one, 1), (&mut other, 2), 1_031), 0);
}

// Regression: a parent that began to listen after the first subscription got the next one only 250
// ms later.
#[test]
fn an_unanswered_subscription_is_retried_quickly() {
    let mut root = StateTable::new(1, addr(1), Follow::All, Role::Root);
    let mut child = StateTable::new(2, addr(2), Follow::First, Role::Relay);
    child.set_parents(1_000, vec![addr(1)]);
    assert_eq!(child.take_messages().len(), 1, "lost: nobody listens yet");
    child.tick(1_100);
    assert_eq!(
        deliver_all((&mut child, 2), (&mut root, 1), 1_101),
        1,
        "again"
    );
    deliver_all((&mut root, 1), (&mut child, 2), 1_102);
    child.tick(1_200);
    assert_eq!(child.take_messages().len(), 0, "answered");
}
