//! The map of stores.

use batch::wire::{Heartbeat, PartitionStatus, PlacementMap, StoreState};
use chain_replication::ReplicaStatus;
use controller::placement::{
    partitions_for, removed_tails, ChainLengths, RetireError, StorePlanner, FAILURE_TIMEOUT,
    ONE_WAY_TIMEOUT, TAKEOVER_GRACE,
};
use std::net::SocketAddr;

/// Of so few stores as here.
const PARTITIONS: usize = 16;
const LENGTHS: ChainLengths = ChainLengths {
    target: 3,
    minimum: 2,
};

fn addr(n: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n as u8], 7_002))
}

/// A store that is in sync in all that the map gives it.
fn heartbeat(n: u64, id: u64, map: Option<&PlacementMap>) -> Heartbeat {
    let mut statuses = Vec::new();
    for (partition, view) in map.iter().flat_map(|m| m.partitions.iter().enumerate()) {
        let joins = view.joining.iter().any(|m| m.id == id);
        if joins || view.members.iter().any(|m| m.id == id) {
            let in_sync_view = if joins { 0 } else { view.number };
            let status = ReplicaStatus {
                id,
                view: view.number,
                in_sync_view,
                last_received: 5,
                caught_up: joins,
            };
            statuses.push(PartitionStatus {
                partition: partition as u16,
                status,
                batch_jobs: 0,
                bytes: 0,
            });
        }
    }
    Heartbeat {
        addr: addr(n),
        id,
        node: format!("store-{n}").into(),
        zone: format!("zone-{}", n % 3).into(),
        sent_ms: 0,
        map: map.map_or(0, |m| m.number),
        statuses,
        disk_used: 0,
        disk_size: 1,
        leaving: false,
        capacity: 100,
        stalled: false,
        answered_ms: 0,
    }
}

/// Plans until nothing changes, all of these stores in sync all the time.
fn settle(
    stores: &mut StorePlanner,
    mut map: PlacementMap,
    up: &[(u64, u64)],
    now: u64,
) -> PlacementMap {
    for _ in 0..40 {
        for (n, id) in up {
            stores.record_heartbeat(now, heartbeat(*n, *id, Some(&map)));
        }
        match stores.plan_placement(now, Some(&map), 0, LENGTHS) {
            Some(next) => map = next,
            None => return map,
        }
    }
    panic!("no end of changes: {map:?}");
}

fn begun(up: &[(u64, u64)]) -> (StorePlanner, PlacementMap) {
    let mut stores = StorePlanner::default();
    for (n, id) in up {
        stores.record_heartbeat(100, heartbeat(*n, *id, None));
    }
    assert!(
        stores.plan_placement(200, None, 0, LENGTHS).is_none(),
        "before all can have been heard"
    );
    for (n, id) in up {
        stores.record_heartbeat(900, heartbeat(*n, *id, None));
    }
    let map = stores
        .plan_placement(1_100, None, 0, LENGTHS)
        .expect("a first map");
    (stores, map)
}

#[test]
fn the_first_map_gives_each_partition_a_chain_over_zones() {
    let (_, map) = begun(&[(1, 11), (2, 12), (3, 13), (4, 14)]);
    assert_eq!(map.partitions.len(), PARTITIONS);
    for view in &map.partitions {
        assert_eq!(view.members.len(), 3);
        let zones: std::collections::BTreeSet<u64> =
            view.members.iter().map(|m| (m.id - 10) % 3).collect();
        assert_eq!(zones.len(), 3, "{view:?}");
    }
    let heads: std::collections::BTreeSet<u64> =
        map.partitions.iter().map(|v| v.members[0].id).collect();
    assert!(heads.len() > 1, "one store must not head all");
}

#[test]
fn a_silent_store_is_left_out_and_taken_back_at_the_end() {
    let (mut stores, map) = begun(&[(1, 11), (2, 12), (3, 13)]);
    let now = 10_000;
    stores.record_heartbeat(now - FAILURE_TIMEOUT, heartbeat(1, 11, Some(&map)));
    let without = settle(&mut stores, map, &[(2, 12), (3, 13)], now);
    assert!(without
        .partitions
        .iter()
        .all(|v| v.members.len() == 2 && v.members.iter().all(|m| m.id != 11)));
    let back = settle(
        &mut stores,
        without,
        &[(1, 11), (2, 12), (3, 13)],
        now + 5_000,
    );
    assert!(back
        .partitions
        .iter()
        .all(|v| v.members.len() == 3 && v.members[2].id == 11 && v.joining.is_empty()));
}

#[test]
fn a_new_head_declares_nobody_dead_before_leases_ran_out() {
    let (mut stores, map) = begun(&[(1, 11), (2, 12), (3, 13)]);
    stores.reset();
    let since = 20_000;
    for (n, id) in [(1, 11), (2, 12)] {
        stores.record_heartbeat(since + 100, heartbeat(n, id, Some(&map)));
    }
    assert_eq!(
        stores.plan_placement(since + 200, Some(&map), since, LENGTHS),
        None
    );
    for (n, id) in [(1, 11), (2, 12)] {
        stores.record_heartbeat(since + TAKEOVER_GRACE, heartbeat(n, id, Some(&map)));
    }
    let next = stores
        .plan_placement(since + TAKEOVER_GRACE, Some(&map), since, LENGTHS)
        .expect("the silent one is left out now");
    assert!(next
        .partitions
        .iter()
        .all(|v| v.members.iter().all(|m| m.id != 13)));
}

#[test]
fn a_wiped_store_comes_back_as_a_newcomer() {
    let (mut stores, map) = begun(&[(1, 11), (2, 12), (3, 13)]);
    let next = settle(&mut stores, map, &[(1, 99), (2, 12), (3, 13)], 10_000);
    for view in &next.partitions {
        let ids: Vec<u64> = view.members.iter().map(|m| m.id).collect();
        assert_eq!((ids.len(), ids[2]), (3, 99), "{view:?}");
    }
}

#[test]
fn retired_is_complete_only_when_all_is_whole_elsewhere() {
    let up = [(1, 11), (2, 12), (3, 13), (4, 14)];
    let (mut stores, map) = begun(&up);
    let now = 10_000;
    let map = settle(&mut stores, map, &up, now);
    let retiring = stores
        .retire(now, &map, "store-2", LENGTHS)
        .expect("enough remain")
        .expect("a change");
    let state = |map: &PlacementMap| {
        map.stores
            .iter()
            .find(|s| s.node == "store-2")
            .map(|s| s.state)
    };
    assert_eq!(state(&retiring), Some(StoreState::Retiring));
    // Nobody has copied anything yet.
    let next = stores
        .plan_placement(now, Some(&retiring), 0, LENGTHS)
        .expect("joiners");
    assert_eq!(state(&next), Some(StoreState::Retiring));
    assert!(
        next.partitions
            .iter()
            .any(|v| v.members.iter().any(|m| m.id == 12)),
        "not before others hold it"
    );
    let done = settle(&mut stores, next, &up, now);
    assert_eq!(state(&done), Some(StoreState::Retired));
    for view in &done.partitions {
        assert!(
            view.members.len() == 3 && view.members.iter().all(|m| m.id != 12),
            "{view:?}"
        );
    }
}

#[test]
fn too_few_would_remain_or_nobody_has_that_name() {
    let up = [(1, 11), (2, 12)];
    let (stores, map) = begun(&up);
    assert_eq!(
        stores.retire(1_100, &map, "store-1", LENGTHS),
        Err(RetireError::TooFewRemaining)
    );
    assert_eq!(
        stores.retire(1_100, &map, "store-9", LENGTHS),
        Err(RetireError::UnknownStore)
    );
}

#[test]
fn of_three_one_may_go_and_two_hold_all() {
    let up = [(1, 11), (2, 12), (3, 13)];
    let (mut stores, map) = begun(&up);
    let now = 10_000;
    let map = settle(&mut stores, map, &up, now);
    let map = stores
        .retire(now, &map, "store-3", LENGTHS)
        .expect("two remain")
        .expect("a change");
    let done = settle(&mut stores, map, &up, now);
    assert_eq!(
        done.stores
            .iter()
            .find(|s| s.node == "store-3")
            .map(|s| s.state),
        Some(StoreState::Retired)
    );
    assert!(done.partitions.iter().all(|v| v.members.len() == 2));
}

/// What these stores say: each partition that they hold has so many bytes.
fn say(
    stores: &mut StorePlanner,
    map: &PlacementMap,
    up: &[(u64, u64)],
    now: u64,
    change: impl Fn(&mut Heartbeat),
) {
    for (n, id) in up {
        let mut heartbeat = heartbeat(*n, *id, Some(map));
        change(&mut heartbeat);
        stores.record_heartbeat(now, heartbeat);
    }
}

fn holders(map: &PlacementMap, partition: usize) -> Vec<u64> {
    let view = &map.partitions[partition];
    let mut ids: Vec<u64> = view
        .members
        .iter()
        .chain(&view.joining)
        .map(|m| m.id)
        .collect();
    ids.sort_unstable();
    ids
}

#[test]
fn a_copy_goes_only_where_there_is_room_for_it() {
    let up = [(1, 11), (2, 12), (3, 13)];
    let (mut stores, map) = begun(&up);
    // The third is gone; two newcomers are there, and only the second of them has room.
    let now = 10_000;
    let left = [(1, 11), (2, 12), (4, 14), (5, 15)];
    let large = |heartbeat: &mut Heartbeat| {
        heartbeat.statuses.iter_mut().for_each(|s| s.bytes = 5);
        heartbeat.capacity = if heartbeat.id == 14 { 4 } else { 100 };
    };
    say(&mut stores, &map, &left, now, large);
    let next = stores
        .plan_placement(now, Some(&map), 0, LENGTHS)
        .expect("copies begin");
    for partition in 0..PARTITIONS {
        assert_eq!(
            holders(&next, partition),
            [11, 12, 15],
            "partition {partition}"
        );
    }
}

#[test]
fn copies_that_begin_at_once_do_not_go_over_the_room_of_one_store() {
    let up = [(1, 11), (2, 12), (3, 13)];
    let (mut stores, map) = begun(&up);
    let now = 10_000;
    let left = [(1, 11), (2, 12), (4, 14), (5, 15)];
    let large = |heartbeat: &mut Heartbeat| {
        heartbeat.statuses.iter_mut().for_each(|s| s.bytes = 5);
        heartbeat.capacity = if heartbeat.id == 14 {
            5 * 6
        } else if heartbeat.id == 15 {
            5 * 7
        } else {
            100
        };
    };
    say(&mut stores, &map, &left, now, large);
    let next = stores
        .plan_placement(now, Some(&map), 0, LENGTHS)
        .expect("copies begin");
    let count = |id: u64| {
        (0..PARTITIONS)
            .filter(|p| holders(&next, *p).contains(&id))
            .count()
    };
    assert_eq!((count(14), count(15)), (6, 7), "what is left stays shorter");
}

#[test]
fn a_chain_goes_on_without_a_store_whose_disk_stands_still() {
    let up = [(1, 11), (2, 12), (3, 13)];
    let (mut stores, map) = begun(&up);
    let now = 10_000;
    say(&mut stores, &map, &up, now, |heartbeat| {
        heartbeat.stalled = heartbeat.id == 12
    });
    let next = stores
        .plan_placement(now, Some(&map), 0, LENGTHS)
        .expect("one is left out");
    for partition in 0..PARTITIONS {
        assert_eq!(holders(&next, partition), [11, 13], "partition {partition}");
    }
    // It works again: it gets copies, as a newcomer would.
    let back = settle(&mut stores, next, &up, now + 1_000);
    assert!(back
        .partitions
        .iter()
        .all(|v| v.members.len() == 3 && v.members[2].id == 12));
}

/// Found by the plays of losses in a row (nine stores, seed 540002): a chain that had already lost one member kept another whose
/// disk stood still, since fewer than enough would have remained. It committed nothing, so that the joiner never got its copy.
#[test]
fn a_stalled_disk_is_not_waited_for_where_another_store_can_take_its_place() {
    let lengths = ChainLengths {
        target: 4,
        minimum: 3,
    };
    let (mut stores, map) = begun(&[(1, 11), (2, 12), (3, 13)]);
    let now = 10_000;
    let stalled = |heartbeat: &mut Heartbeat| heartbeat.stalled = heartbeat.id == 12;
    say(
        &mut stores,
        &map,
        &[(1, 11), (2, 12), (3, 13), (4, 14)],
        now,
        stalled,
    );
    let next = stores
        .plan_placement(now, Some(&map), 0, lengths)
        .expect("one is left out");
    for view in &next.partitions {
        assert!(
            view.members.iter().all(|m| m.id == 11 || m.id == 13) && view.members.len() == 2,
            "{view:?}"
        );
        assert_eq!(view.joining.iter().map(|m| m.id).collect::<Vec<_>>(), [14]);
    }
    // Without another store its copy is worth keeping.
    let (mut stores, map) = begun(&[(1, 11), (2, 12), (3, 13)]);
    say(
        &mut stores,
        &map,
        &[(1, 11), (2, 12), (3, 13)],
        now,
        stalled,
    );
    assert_eq!(stores.plan_placement(now, Some(&map), 0, lengths), None);
}

#[test]
fn where_all_disks_stand_still_nobody_is_left_out() {
    let up = [(1, 11), (2, 12), (3, 13)];
    let (mut stores, map) = begun(&up);
    let now = 10_000;
    say(&mut stores, &map, &up, now, |heartbeat| {
        heartbeat.stalled = true
    });
    assert_eq!(stores.plan_placement(now, Some(&map), 0, LENGTHS), None);
}

#[test]
fn retired_does_not_wait_for_copies_that_have_no_room() {
    let up = [(1, 11), (2, 12), (3, 13), (4, 14)];
    let (mut stores, map) = begun(&up);
    let now = 10_000;
    let map = settle(&mut stores, map, &up, now);
    let mut map = stores
        .retire(now, &map, "store-2", LENGTHS)
        .expect("enough remain")
        .expect("a change");
    // Of the three others, two hold all that they have room for.
    let full = |heartbeat: &mut Heartbeat| {
        heartbeat.statuses.iter_mut().for_each(|s| s.bytes = 5);
        heartbeat.capacity = 5;
    };
    for _ in 0..40 {
        say(&mut stores, &map, &up, now, full);
        match stores.plan_placement(now, Some(&map), 0, LENGTHS) {
            Some(next) => map = next,
            None => break,
        }
    }
    for (partition, view) in map.partitions.iter().enumerate() {
        assert!(
            view.members.len() >= LENGTHS.minimum,
            "partition {partition}: {view:?}"
        );
        assert!(
            view.members.iter().all(|m| m.id != 12),
            "partition {partition}: {view:?}"
        );
    }
    let state = map
        .stores
        .iter()
        .find(|s| s.node == "store-2")
        .map(|s| s.state);
    assert_eq!(state, Some(StoreState::Retired));
}

#[test]
fn a_store_that_is_heard_and_hears_nothing_is_left_out() {
    let up = [(1, 11), (2, 12), (3, 13)];
    let (mut stores, map) = begun(&up);
    let mut next = None;
    for now in (10_000..12_500).step_by(300) {
        for (n, id) in up {
            let mut heartbeat = heartbeat(n, id, Some(&map));
            heartbeat.sent_ms = now;
            // The answers to the second one are lost on their way.
            heartbeat.answered_ms = if id == 12 { 9_000 } else { now - 300 };
            stores.record_heartbeat(now, heartbeat);
            stores.lease_granted(now, addr(n), now, now + 700);
        }
        next = stores.plan_placement(now, Some(&map), 0, LENGTHS);
        assert_eq!(next.is_some(), now >= 10_000 + ONE_WAY_TIMEOUT, "at {now}");
        if next.is_some() {
            break;
        }
    }
    let next = next.expect("one is left out");
    assert!((0..PARTITIONS).all(|p| holders(&next, p) == [11, 13]));
    // A process that was started anew counts its own time anew.
    let mut heartbeat = heartbeat(2, 12, Some(&map));
    heartbeat.sent_ms = 5;
    stores.record_heartbeat(12_600, heartbeat);
    let back = settle(&mut stores, next, &up, 12_700);
    assert!(back.partitions.iter().all(|v| v.members.len() == 3));
}

#[test]
fn one_that_is_being_emptied_takes_copies_again_where_too_few_others_are_left() {
    let up = [(1, 11), (2, 12), (3, 13)];
    let (mut stores, map) = begun(&up);
    let now = 10_000;
    let map = settle(&mut stores, map, &up, now);
    let map = stores
        .retire(now, &map, "store-3", LENGTHS)
        .expect("two remain")
        .expect("a change");
    let map = stores
        .plan_placement(now, Some(&map), 0, LENGTHS)
        .expect("it goes out of the chains");
    assert!((0..PARTITIONS).all(|p| holders(&map, p) == [11, 12]));
    // Another is lost before the two are whole: a single disk would be left.
    let later = now + FAILURE_TIMEOUT;
    say(&mut stores, &map, &[(2, 12), (3, 13)], later, |_| {});
    let map = stores
        .plan_placement(later, Some(&map), 0, LENGTHS)
        .expect("one is lost");
    assert!(
        (0..PARTITIONS).all(|p| holders(&map, p) == [12, 13]),
        "{map:?}"
    );
    // The lost one is back: the other is emptied as it was asked for.
    let done = settle(&mut stores, map, &up, later + 100);
    assert!(
        (0..PARTITIONS).all(|p| holders(&done, p) == [11, 12]),
        "{done:?}"
    );
    assert_eq!(
        done.stores
            .iter()
            .find(|s| s.node == "store-3")
            .map(|s| s.state),
        Some(StoreState::Retired)
    );
}

/// A heartbeat that says that the grant for the one sent at this time has come.
fn confirmed(heartbeat: Heartbeat, sent_ms: u64, answered_ms: u64) -> Heartbeat {
    Heartbeat {
        sent_ms,
        answered_ms,
        ..heartbeat
    }
}

/// Two stores as they were and the third with an empty disk, as a head hears them that has just begun; the third has the
/// head's grant, or hasn't.
fn begins_with_a_wiped_store(has_grant: bool) -> (StorePlanner, PlacementMap, u64) {
    let (mut stores, map) = begun(&[(1, 11), (2, 12), (3, 13)]);
    stores.reset();
    let since = 20_000;
    for sent in [100, 300] {
        let now = since + sent;
        for (n, id) in [(1, 11), (2, 12), (3, 99)] {
            let answered = if sent == 300 && has_grant { 100 } else { 0 };
            stores.record_heartbeat(now, confirmed(heartbeat(n, id, Some(&map)), sent, answered));
            stores.lease_granted(now, addr(n), sent, now + 700);
        }
    }
    (stores, map, since)
}

// After a whole stop a partition that had lost a store with its disk was without a tail for 1.6 s, though all others of its
// chain were there and the store itself said that it was empty.
#[test]
fn a_new_head_drops_at_once_a_store_whose_disk_is_gone() {
    let (mut stores, map, since) = begins_with_a_wiped_store(true);
    let next = stores
        .plan_placement(since + 301, Some(&map), since, LENGTHS)
        .expect("dropped before the head is settled");
    // Nobody waits for a lease of the process that has ended; the one that runs at its address has one.
    assert!(
        stores.has_live_lease(since + 301, &[addr(3)])
            && removed_tails(&map, &next) == vec![addr(3)]
    );
    assert_eq!(stores.removed_tails_with_lease(&map, &next), vec![]);
    let ids =
        |view: &chain_replication::View| view.members.iter().map(|m| m.id).collect::<Vec<_>>();
    assert!(next
        .partitions
        .iter()
        .all(|v| ids(v).iter().all(|id| *id == 11 || *id == 12) && ids(v).len() == 2));
    let whole = settle(
        &mut stores,
        next,
        &[(1, 11), (2, 12), (3, 99)],
        since + 2_000,
    );
    assert!(whole
        .partitions
        .iter()
        .all(|v| ids(v).len() == 3 && ids(v)[2] == 99));
}

#[test]
fn a_new_head_drops_nobody_early_on_a_doubtful_word() {
    // The store with the other disk has not answered to this head: its word may have been long on its way.
    let (stores, map, since) = begins_with_a_wiped_store(false);
    assert_eq!(
        stores.plan_placement(since + 301, Some(&map), since, LENGTHS),
        None
    );
    // Nor after this process stood still itself.
    let (mut stores, map, since) = begins_with_a_wiped_store(true);
    stores.reset_after_stall(since + 301);
    assert_eq!(
        stores.plan_placement(since + 301, Some(&map), since, LENGTHS),
        None
    );
    // One of the others has not been heard yet: it may hold a lease, and may only not have found this head.
    let (mut stores, map) = begun(&[(1, 11), (2, 12), (3, 13)]);
    stores.reset();
    for sent in [100, 300] {
        for (n, id) in [(1, 11), (3, 99)] {
            let answered = if sent == 300 { 100 } else { 0 };
            stores.record_heartbeat(
                since + sent,
                confirmed(heartbeat(n, id, Some(&map)), sent, answered),
            );
            stores.lease_granted(since + sent, addr(n), sent, since + sent + 700);
        }
    }
    assert_eq!(
        stores.plan_placement(since + 301, Some(&map), since, LENGTHS),
        None
    );
    // One of the others is there, and its disk stands still: it is no reason to drop it early.
    let (mut stores, map, since) = begins_with_a_wiped_store(true);
    let stalled = Heartbeat {
        stalled: true,
        ..confirmed(heartbeat(2, 12, Some(&map)), 300, 100)
    };
    stores.record_heartbeat(since + 301, stalled);
    let next = stores.plan_placement(since + 302, Some(&map), since, LENGTHS);
    let kept = |map: PlacementMap| {
        map.partitions
            .iter()
            .all(|v| v.members.iter().any(|m| m.id == 12))
    };
    assert!(next.is_none_or(kept));
}

#[test]
fn the_first_map_gives_each_store_its_share_of_heads_tails_and_copies() {
    let up: Vec<(u64, u64)> = (1..=13).map(|n| (n, n + 10)).collect();
    let (_, map) = begun(&up);
    assert_eq!(map.partitions.len(), partitions_for(13));
    assert_eq!(
        (partitions_for(3), partitions_for(13), partitions_for(36)),
        (16, 32, 128)
    );
    let count = |place: fn(&chain_replication::View, u64) -> bool| {
        let of = |id: u64| map.partitions.iter().filter(|view| place(view, id)).count();
        let counts: Vec<usize> = up.iter().map(|(_, id)| of(*id)).collect();
        (
            counts.iter().min().copied().unwrap(),
            counts.iter().max().copied().unwrap(),
        )
    };
    let heads = count(|view, id| view.members.first().is_some_and(|m| m.id == id));
    let tails = count(|view, id| view.members.last().is_some_and(|m| m.id == id));
    let copies = count(|view, id| view.members.iter().any(|m| m.id == id));
    assert!(heads.0 >= 2 && heads.1 <= 3, "{heads:?}");
    assert!(tails.0 >= 1 && tails.1 <= 4, "{tails:?}");
    assert!(copies.0 >= 6 && copies.1 <= 9, "{copies:?}");
}
