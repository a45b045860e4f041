//! The rule for the next view of the controllers, acceptors included.

use std::net::SocketAddr;

use chain_replication::{
    remaining_members_recently_seen, Member, Millis, Observation, ReplicaStatus, View,
    RECENT_CONTACT_MS,
};
use view_agreement::{next_controller_view, ControllerView, Sizing};

/// One loss at once, the next one 6 s later at the earliest.
const SYNC_MS: Millis = 6_000;

fn member(id: u64, place: u8) -> Member {
    Member {
        id,
        addr: SocketAddr::from(([10, 0, 0, place], 7000)),
        since: 1,
    }
}

fn current() -> ControllerView {
    let members: Vec<Member> = (1..=3).map(|place| member(0, place)).collect();
    ControllerView {
        view: View {
            number: 4,
            members: members.clone(),
            joining: Vec::new(),
        },
        acceptors: members,
    }
}

fn seen(id: u64, place: u8) -> Observation {
    let in_sync_view = if id == 0 { 4 } else { 0 };
    let status = ReplicaStatus {
        id,
        view: 4,
        in_sync_view,
        last_received: 1,
        caught_up: false,
    };
    let zone = u64::from(place);
    Observation {
        member: member(id, place),
        alive: true,
        status: Some(status),
        zone,
        draining: false,
        retiring: false,
    }
}

fn told(next: Option<ControllerView>) -> String {
    let Some(next) = next else {
        return "none".to_owned();
    };
    let list = |members: &[Member]| -> String {
        let words = members.iter().map(|m| {
            let place = m.addr.to_string();
            format!(
                "{}#{}",
                place.split([':', '.']).nth(3).unwrap_or_default(),
                m.id
            )
        });
        words.collect::<Vec<_>>().join(" ")
    };
    format!(
        "{}: {} joining [{}] acceptors {}",
        next.number(),
        list(&next.view.members),
        list(&next.view.joining),
        list(&next.acceptors)
    )
}

/// With so long a silence of those that are not alive, for so many losses at once.
fn next_for(
    faults: usize,
    current: &ControllerView,
    seen: &[Observation],
    dead_for: Millis,
) -> String {
    let alive = |m: &Member| seen.iter().any(|s| s.alive && s.member.is_same_process(m));
    let sizing = Sizing::new(faults, SYNC_MS);
    told(next_controller_view(current, seen, sizing, &|m| {
        if alive(m) {
            100
        } else {
            dead_for
        }
    }))
}

/// The same for one loss.
fn next(current: &ControllerView, seen: &[Observation], dead_for: Millis) -> String {
    next_for(1, current, seen, dead_for)
}

/// The longest silence after which an acceptor keeps its place.
fn replace_after() -> Millis {
    Sizing::new(1, SYNC_MS).replace_after_ms
}

/// A view of five, all of them members and acceptors.
fn current_of_five() -> ControllerView {
    let members: Vec<Member> = (1..=5).map(|place| member(0, place)).collect();
    let view = View {
        number: 4,
        members: members[..4].to_vec(),
        joining: Vec::new(),
    };
    ControllerView {
        view,
        acceptors: members,
    }
}

#[test]
fn view_is_unchanged_while_all_are_alive() {
    assert_eq!(
        next(
            &current(),
            &[seen(0, 1), seen(0, 2), seen(0, 3), seen(9, 4)],
            0
        ),
        "none"
    );
}

#[test]
fn shrinking_chain_keeps_its_acceptors() {
    let mut all = vec![seen(0, 1), seen(0, 2), seen(0, 3)];
    all[0].alive = false;
    all[1].alive = false;
    assert_eq!(
        next(&current(), &all, replace_after()),
        "5: 3#0 joining [] acceptors 1#0 2#0 3#0"
    );
}

#[test]
fn newcomer_at_an_acceptors_address_replaces_it_at_once() {
    let all = [seen(7, 1), seen(0, 2), seen(0, 3)];
    assert_eq!(
        next(&current(), &all, 0),
        "5: 2#0 3#0 joining [1#7] acceptors 1#7 2#0 3#0"
    );
    let all = [seen(7, 1), seen(8, 2), seen(0, 3), seen(0, 4), seen(0, 5)];
    assert_eq!(
        next_for(2, &current_of_five(), &all, 0),
        "5: 3#0 4#0 joining [1#7 2#8] acceptors 1#7 2#8 3#0 4#0 5#0"
    );
}

#[test]
fn a_majority_of_the_new_acceptors_were_acceptors_before() {
    // Two of three have lost their disks: no majority is left that could decide, and none is made
    // up of newcomers.
    let all = [seen(7, 1), seen(8, 2), seen(0, 3)];
    assert_eq!(
        next(&current(), &all, 0),
        "5: 3#0 joining [1#7 2#8] acceptors 1#0 2#0 3#0"
    );
    // Three of five are gone: two votes may go to spares where three of the old ones stay, not
    // more.
    let mut all: Vec<Observation> = (1..=5).map(|place| seen(0, place)).collect();
    all.extend((6..=8).map(|place| seen(9, place)));
    for dead in &mut all[..2] {
        dead.alive = false;
    }
    let told = next_for(2, &current_of_five(), &all, replace_after() + 1);
    assert!(told.ends_with("acceptors 6#9 7#9 3#0 4#0 5#0"), "{told}");
    all[2].alive = false;
    let told = next_for(2, &current_of_five(), &all, replace_after() + 1);
    assert!(told.ends_with("acceptors 1#0 2#0 3#0 4#0 5#0"), "{told}");
}

#[test]
fn acceptors_grow_to_tolerate_the_configured_faults() {
    // Founded by three, and two losses are to be survived: five, once five are there.
    let all: Vec<Observation> = (1..=5)
        .map(|place| seen(if place > 3 { 9 } else { 0 }, place))
        .collect();
    let told = next_for(2, &current(), &all, 0);
    assert!(told.ends_with("acceptors 1#0 2#0 3#0 4#9 5#9"), "{told}");
    // Four are no better than three.
    let told = next_for(2, &current(), &all[..4], 0);
    assert!(told.ends_with("acceptors 1#0 2#0 3#0"), "{told}");
    // While one of three is gone, two newcomers would be a majority together with the silence of
    // another.
    let mut short = all.clone();
    short[0].alive = false;
    let told = next_for(2, &current(), &short, 0);
    assert!(told.ends_with("acceptors 1#0 2#0 3#0"), "{told}");
    // One loss needs three.
    assert_eq!(next(&current(), &all, 0), "none");
    // A lone founder is better off with two more.
    let mut lone = current();
    lone.acceptors.truncate(1);
    assert!(next(&lone, &all, 0).ends_with("acceptors 1#0 2#0 3#0"));
}

#[test]
fn spare_replaces_an_acceptor_that_is_unreachable_for_long() {
    let mut all = vec![seen(0, 1), seen(0, 2), seen(0, 3), seen(9, 4)];
    all[1].alive = false;
    assert_eq!(
        next(&current(), &all, replace_after()),
        "5: 1#0 3#0 joining [4#9] acceptors 1#0 2#0 3#0"
    );
    assert_eq!(
        next(&current(), &all, replace_after() + 1),
        "5: 1#0 3#0 joining [4#9] acceptors 1#0 4#9 3#0"
    );
    all[3].draining = true;
    assert_eq!(
        next(&current(), &all, replace_after() + 1),
        "5: 1#0 3#0 joining [] acceptors 1#0 2#0 3#0"
    );
}

#[test]
fn draining_and_retiring_acceptors_are_replaced_by_spares() {
    let mut all = vec![seen(0, 1), seen(0, 2), seen(0, 3), seen(9, 4)];
    all[0].draining = true;
    assert_eq!(
        next(&current(), &all, 0),
        "5: 2#0 3#0 joining [4#9] acceptors 4#9 2#0 3#0"
    );
    assert_eq!(
        next(&current(), &all[..3], 0),
        "5: 2#0 3#0 joining [] acceptors 1#0 2#0 3#0"
    );
    all[0].draining = false;
    all[0].retiring = true;
    assert_eq!(
        next(&current(), &all, 0),
        "5: 1#0 2#0 3#0 joining [4#9] acceptors 4#9 2#0 3#0"
    );
}

#[test]
fn acceptor_is_replaced_before_the_next_fault_may_come() {
    for sync_ms in [1_000, 5_000, 6_000, 12_000, 60_000] {
        let after = Sizing::new(2, sync_ms).replace_after_ms;
        assert!((1_200..=3_000).contains(&after), "{after}");
        // Where the next loss may come within a second, nothing helps; elsewhere a change of view
        // fits in as well.
        assert!(
            sync_ms < 5_000 || after + 2_000 < sync_ms,
            "{after} of {sync_ms}"
        );
    }
}

#[test]
fn even_number_of_acceptors_grows_by_one() {
    let mut now = current();
    now.acceptors.truncate(2);
    let all = vec![seen(0, 1), seen(0, 2), seen(0, 3)];
    assert_eq!(
        next(&now, &all, 0),
        "5: 1#0 2#0 3#0 joining [] acceptors 1#0 2#0 3#0"
    );
}

#[test]
fn no_member_is_dropped_while_another_may_be_failing() {
    let now = current().view;
    let next = View {
        number: 5,
        members: now.members[1..].to_vec(),
        joining: Vec::new(),
    };
    let silent = |ms: Millis| move |m: &Member| if m.addr == member(0, 2).addr { ms } else { 100 };
    assert!(!remaining_members_recently_seen(
        &now,
        &next,
        &silent(RECENT_CONTACT_MS + 1)
    ));
    assert!(remaining_members_recently_seen(
        &now,
        &next,
        &silent(RECENT_CONTACT_MS)
    ));
    // Where nobody is dropped and the head stays, nothing has to be fresh.
    let next = View {
        number: 5,
        joining: vec![member(9, 4)],
        ..now.clone()
    };
    assert!(remaining_members_recently_seen(
        &now,
        &next,
        &silent(10_000)
    ));
}

/// So many machines with their zones, all alive; those from `newcomers` on are no members.
fn in_zones(zones: &[u64], newcomers: usize) -> Vec<Observation> {
    let one = |(at, zone): (usize, &u64)| {
        let place = at as u8 + 1;
        Observation {
            zone: *zone,
            ..seen(if at < newcomers { 0 } else { 9 }, place)
        }
    };
    zones.iter().enumerate().map(one).collect()
}

/// The next view where so many zones may be lost at once, and so many machines.
fn next_over_zones(
    faults: usize,
    zones: usize,
    current: &ControllerView,
    seen: &[Observation],
) -> String {
    let alive = |m: &Member| seen.iter().any(|s| s.alive && s.member.is_same_process(m));
    let sizing = Sizing::new(faults.max(zones), SYNC_MS).with_zone_failures(zones);
    told(next_controller_view(current, seen, sizing, &|m| {
        if alive(m) {
            100
        } else {
            0
        }
    }))
}

#[test]
fn acceptors_are_spread_so_that_a_zone_failure_leaves_a_majority() {
    // Two of three in one zone, and a spare in a third zone.
    let all = in_zones(&[1, 1, 2, 3], 3);
    let told = next_over_zones(1, 1, &current(), &all);
    assert!(told.ends_with("acceptors 1#0 4#9 3#0"), "{told}");
    // Without a spare of another zone nothing can be done; with machines alone to be survived,
    // nothing need be.
    assert_eq!(
        next_over_zones(1, 1, &current(), &in_zones(&[1, 1, 2, 2], 3)),
        "none"
    );
    assert_eq!(next_over_zones(1, 0, &current(), &all), "none");
    // Five that are to survive two losses of machines and one of a zone: three in one zone are too
    // many, two are not.
    let told = next_over_zones(2, 1, &current_of_five(), &in_zones(&[1, 1, 1, 2, 2, 3], 5));
    assert!(told.ends_with("acceptors 1#0 2#0 6#9 4#0 5#0"), "{told}");
    assert_eq!(
        next_over_zones(2, 1, &current_of_five(), &in_zones(&[1, 1, 2, 2, 3, 3], 5)),
        "none"
    );
    // Two zones at once: one acceptor in each of five.
    let told = next_over_zones(
        2,
        2,
        &current_of_five(),
        &in_zones(&[1, 1, 2, 2, 3, 4, 5], 5),
    );
    assert!(told.ends_with("acceptors 1#0 7#9 3#0 6#9 5#0"), "{told}");
}

#[test]
fn acceptors_grow_in_the_emptiest_zones() {
    let all = in_zones(&[1, 2, 3, 1, 1, 4, 4], 3);
    let told = next_over_zones(2, 1, &current(), &all);
    assert!(told.ends_with("acceptors 1#0 2#0 3#0 6#9 4#9"), "{told}");
}

/// A view with its own members as acceptors.
fn view_of(number: u64, members: Vec<Member>, joining: Vec<Member>) -> ControllerView {
    ControllerView {
        acceptors: members.clone(),
        view: View {
            number,
            members,
            joining,
        },
    }
}

fn status(view: u64, in_sync_view: u64, caught_up: bool) -> ReplicaStatus {
    ReplicaStatus {
        id: 0,
        view,
        in_sync_view,
        last_received: 1,
        caught_up,
    }
}

#[test]
fn chain_in_too_few_zones_admits_another_zone_and_drops_a_doubled_one() {
    let mut all = in_zones(&[1, 1, 1, 2], 3);
    // The acceptors are spread at the same time; the chain waits until the newcomer has all.
    let told = next_over_zones(1, 1, &current(), &all);
    assert!(told.starts_with("5: 1#0 2#0 3#0 joining [4#9]"), "{told}");
    let now = view_of(5, current().view.members, vec![member(9, 4)]);
    let now = ControllerView {
        acceptors: current().acceptors,
        ..now
    };
    (0..3).for_each(|at| all[at].status = Some(status(5, 5, false)));
    all[3].status = Some(status(5, 0, false));
    let told = next_over_zones(1, 1, &now, &all);
    assert!(
        told == "none" || told.contains("1#0 2#0 3#0 joining [4#9]"),
        "it is still catching up: {told}"
    );
    all[3].status = Some(status(5, 0, true));
    let told = next_over_zones(1, 1, &now, &all);
    assert!(told.starts_with("6: 1#0 2#0 3#0 4#9 joining []"), "{told}");
    // Now it holds all: one of the three goes, not the newcomer.
    let mut members = now.view.members.clone();
    members.push(Member {
        since: 6,
        ..member(9, 4)
    });
    let now = ControllerView {
        acceptors: now.acceptors,
        ..view_of(6, members, Vec::new())
    };
    for seen in &mut all {
        seen.status = Some(status(6, 6, false));
    }
    let told = next_over_zones(1, 1, &now, &all);
    assert!(told.starts_with("7: 1#0 2#0 4#9 joining []"), "{told}");
    // Then it rests, as far as the chain goes.
    let mut members = now.view.members;
    members.retain(|m| m.addr != member(0, 3).addr);
    let now = ControllerView {
        acceptors: vec![member(0, 1), member(0, 2), member(9, 4)],
        ..view_of(6, members, Vec::new())
    };
    assert_eq!(next_over_zones(1, 1, &now, &all), "none");
}

#[test]
fn zone_failures_tolerated_by_acceptors() {
    let cases: [(&[u64], usize); 6] = [
        (&[1, 2, 3], 1),
        (&[1, 1, 2], 0),
        (&[1, 1, 2, 2, 3], 1),
        (&[1, 2, 3, 4, 5], 2),
        (&[1, 1, 1, 2, 3], 0),
        (&[], 0),
    ];
    for (zones, survived) in cases {
        assert_eq!(
            Sizing::zone_failures_tolerated(zones),
            survived,
            "{zones:?}"
        );
    }
}
