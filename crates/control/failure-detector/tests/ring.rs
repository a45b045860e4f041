//! Who is condemned, and how soon; and who isn't.

#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{dispatcher, World};
use failure_detector::{watchers, Msg, Out, Ring, Verdict, MAX_DISPATCHERS, WATCHERS};
use proptest::prelude::*;

#[test]
fn watchers_are_three_in_different_zones_and_spread_evenly() {
    for (count, zones) in [(4, 1), (4, 4), (40, 3), (40, 2), (300, 5)] {
        let list = (0..count).map(|n| dispatcher(n, zones)).collect::<Vec<_>>();
        let mut load = BTreeMap::<u64, usize>::new();
        let mut different = 0;
        for one in &list {
            let who = watchers(&list, one.id);
            assert_eq!(who.len(), WATCHERS);
            assert!(who.iter().all(|watcher| watcher.id != one.id));
            let distinct = who
                .iter()
                .map(|watcher| watcher.zone.clone())
                .collect::<BTreeSet<_>>();
            different += usize::from(distinct.len() == WATCHERS.min(zones));
            who.iter()
                .for_each(|watcher| *load.entry(watcher.id).or_default() += 1);
        }
        assert!(
            different * 10 >= count * 9,
            "{different} of {count} in {zones} zones"
        );
        assert!(load.values().all(|load| *load <= 12), "{load:?}");
        // What a watcher reckons that it watches is what the others reckon.
        for one in &list {
            let mut ring = Ring::new(one.id);
            ring.members(0, &list);
            let watches = ring.watches().collect::<BTreeSet<_>>();
            let by_others = list
                .iter()
                .filter(|other| watchers(&list, other.id).iter().any(|who| who.id == one.id));
            assert_eq!(watches, by_others.map(|other| other.id).collect());
        }
    }
    assert!(watchers(&[dispatcher(1, 1)], dispatcher(1, 1).id).is_empty());
    assert!(watchers(&[], 5).is_empty());
    let many = (0..MAX_DISPATCHERS + 5)
        .map(|n| dispatcher(n, 3))
        .collect::<Vec<_>>();
    assert!(watchers(&many, many[MAX_DISPATCHERS].id).is_empty());
}

#[test]
fn a_killed_one_is_found_within_three_seconds() {
    let mut slowest = 0;
    for seed in 0..60 {
        let mut world = World::new(seed, 12, 3);
        world.run(3_000 + seed * 17);
        let lost = seed as usize % 12;
        world.rings[lost] = None;
        let killed = world.now;
        while world.verdicts.is_empty() && world.now - killed < 6_000 {
            world.step();
        }
        slowest = slowest.max(world.now - killed);
        world.run(4_000);
        assert!(
            world.condemned().iter().all(|one| *one == lost),
            "seed {seed}: {:?}",
            world.condemned()
        );
    }
    assert!(slowest <= 2_600, "{slowest} ms");
}

#[test]
fn with_a_fifth_of_all_messages_lost_a_killed_one_is_still_found() {
    for seed in 0..100 {
        let mut world = World::new(500 + seed, 12, 3);
        world.loss = 200;
        world.run(4_000);
        let lost = seed as usize % 12;
        world.rings[lost] = None;
        let killed = world.now;
        while world.verdicts.is_empty() && world.now - killed < 10_000 {
            world.step();
        }
        assert!(
            world.now - killed <= 3_000,
            "seed {seed}: {} ms",
            world.now - killed
        );
    }
}

#[test]
fn a_fifth_of_all_messages_lost_condemns_nobody() {
    // 40 dispatchers for 250 s, 10,000 seconds of a dispatcher a seed.
    for seed in 0..4 {
        let mut world = World::new(seed, 40, 3);
        world.loss = 200;
        world.run(250_000);
        assert_eq!(world.verdicts, [], "seed {seed}");
    }
}

#[test]
fn cuts_one_way_to_one_watcher_condemn_nobody() {
    for seed in 0..30 {
        let mut world = World::new(seed, 12, 3);
        // Every dispatcher is cut off from one of its watchers, in one direction or both.
        for one in 0..12 {
            let watcher = world.watchers(one)[seed as usize % 3];
            match (seed as usize + one) % 3 {
                0 => world.cuts.insert((one, watcher)),
                1 => world.cuts.insert((watcher, one)),
                _ => world.cuts.insert((one, watcher)) && world.cuts.insert((watcher, one)),
            };
        }
        world.run(20_000);
        assert_eq!(world.verdicts, [], "seed {seed}");
    }
}

#[test]
fn one_that_none_of_its_watchers_hears_is_condemned_and_taken_back() {
    let mut world = World::new(3, 12, 3);
    world.run(2_000);
    for watcher in world.watchers(5) {
        world.cuts.insert((5, watcher));
    }
    world.run(3_000);
    assert!(!world.verdicts.is_empty());
    assert!(world.condemned().iter().all(|one| *one == 5));
    let told = world
        .verdicts
        .iter()
        .map(|(_, by, _)| *by)
        .collect::<BTreeSet<_>>();
    world.cuts.clear();
    world.run(1_000);
    // Whoever said it takes it back, on a later heartbeat.
    for by in told {
        let said = world
            .verdicts
            .iter()
            .filter(|(_, who, _)| *who == by)
            .map(|(_, _, verdict)| verdict);
        let said = said.collect::<Vec<_>>();
        assert!(!said[said.len() - 1].gone && said[said.len() - 1].heartbeat > said[0].heartbeat);
    }
    let before = world.verdicts.len();
    world.run(5_000);
    assert_eq!(world.verdicts.len(), before);
}

#[test]
fn paused_watchers_condemn_nobody_when_they_go_on() {
    for seed in 0..40 {
        let mut world = World::new(seed, 12, 3);
        world.run(2_000);
        // Two of the three watchers of one dispatcher stand still at the same time, and what was said is lost.
        let who = world.watchers(seed as usize % 12);
        let until = world.now + 500 + world.below(5_000);
        for one in &who[..2] {
            world.frozen_until[*one] = until;
        }
        let keep = seed % 2 == 0;
        for one in &who[..2] {
            if !keep {
                (0..12).for_each(|other| {
                    world.cuts.insert((other, *one));
                });
            }
        }
        while world.now < until {
            world.step();
        }
        world.cuts.clear();
        world.run(6_000);
        // Those that stood still were silent themselves, and may have been condemned for it: nobody else.
        assert!(
            world.condemned().iter().all(|one| who[..2].contains(one)),
            "seed {seed}: {:?}",
            world.condemned()
        );
        if until < 2_000 + 1_000 + 1_500 {
            assert_eq!(world.verdicts, [], "seed {seed}");
        }
    }
}

#[test]
fn a_zone_cut_off_is_condemned_by_the_others() {
    let mut world = World::new(9, 12, 3);
    world.run(2_000);
    for a in 0..12 {
        for b in 0..12 {
            if (a % 3 == 0) != (b % 3 == 0) {
                world.cuts.insert((a, b));
            }
        }
    }
    world.run(4_000);
    let by_most = world.verdicts.iter().filter(|(_, by, _)| by % 3 != 0);
    let condemned = by_most
        .map(|(_, _, verdict)| verdict.id)
        .collect::<BTreeSet<_>>();
    let zone = (0..12)
        .step_by(3)
        .map(|n| world.list[n].id)
        .collect::<BTreeSet<_>>();
    assert!(
        condemned.is_subset(&zone) && !condemned.is_empty(),
        "{condemned:?}"
    );
}

#[test]
fn members_that_come_and_go_are_not_condemned() {
    for seed in 0..20 {
        let mut world = World::new(seed, 20, 3);
        let all = world.list.clone();
        // The lists grow one by one, and each process learns of it at another time.
        let mut known = vec![3usize; 20];
        for ring in world.rings.iter_mut().flatten() {
            ring.members(world.now, &all[..3]);
        }
        for round in 0..200 {
            world.run(50);
            let n = world.below(20) as usize;
            known[n] = (known[n] + 1 + world.below(3) as usize).min(20);
            if round > 150 {
                known.fill(20);
            }
            let now = world.now;
            for (ring, known) in world.rings.iter_mut().flatten().zip(&known) {
                ring.members(now, &all[..*known]);
            }
        }
        world.run(3_000);
        assert_eq!(world.verdicts, [], "seed {seed}");
    }
}

#[test]
fn two_alone_condemn_nobody_and_one_alone_says_nothing() {
    let mut world = World::new(1, 2, 2);
    world.run(2_000);
    world.rings[1] = None;
    world.run(10_000);
    assert_eq!(world.verdicts, []);
    let mut alone = Ring::new(dispatcher(0, 1).id);
    alone.members(0, &[dispatcher(0, 1)]);
    alone.tick(0);
    assert_eq!(alone.take(), []);
    // Of three, both of the others must say it.
    let mut world = World::new(1, 3, 3);
    world.run(2_000);
    world.rings[1] = None;
    world.run(3_000);
    assert!(!world.condemned().is_empty());
}

#[test]
fn strangers_and_liars_are_passed_over() {
    let list = (0..8).map(|n| dispatcher(n, 2)).collect::<Vec<_>>();
    let mut ring = Ring::new(list[0].id);
    ring.members(0, &list);
    let of = ring.watches().next().expect("watches some");
    let watched = list.iter().find(|one| one.id == of).expect("listed");
    let mut condemned = false;
    for now in (0..10_000).step_by(100) {
        // From wrong addresses, or of no watcher: no voice counts.
        for one in &list {
            ring.message(
                now,
                list[0].addr,
                Msg::Suspect {
                    by: one.id,
                    of,
                    heartbeat: 9,
                },
            );
            ring.message(
                now,
                watched.addr,
                Msg::Suspect {
                    by: one.id,
                    of,
                    heartbeat: 9,
                },
            );
            ring.message(
                now,
                one.addr,
                Msg::Suspect {
                    by: 1,
                    of: 2,
                    heartbeat: 9,
                },
            );
            ring.message(
                now,
                list[0].addr,
                Msg::Heartbeat {
                    id: one.id,
                    heartbeat: u64::MAX,
                },
            );
            ring.message(
                now,
                one.addr,
                Msg::Heard {
                    by: 0,
                    of,
                    heartbeat: u64::MAX,
                    ago: 0,
                },
            );
            ring.message(now, one.addr, Msg::Ask { by: 3, of });
        }
        ring.tick(now);
        condemned |= ring
            .take()
            .iter()
            .any(|out| matches!(out, Out::Tell(Verdict { .. })));
    }
    assert!(!condemned);
}

#[test]
fn a_quiet_ring_costs_six_messages_a_second_each() {
    let mut world = World::new(1, 40, 3);
    world.run(2_000);
    let before = world.sent;
    world.run(10_000);
    assert_eq!(world.sent - before, 40 * 10 * 2 * 3);
    assert_eq!(
        Msg::Heartbeat {
            id: 1,
            heartbeat: 2
        }
        .encode()
        .len(),
        17
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_or_refused(kind in 0u8..6, rest in prop::collection::vec(any::<u8>(), 0..40)) {
        let mut bytes = vec![kind];
        bytes.extend(rest);
        if let Ok(msg) = Msg::decode(&bytes) {
            prop_assert_eq!(msg.encode().to_vec(), bytes);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is cut and whoever stands still: one that at least two of its watchers hear all the time isn't
    /// condemned by them.
    #[test]
    fn who_is_heard_by_two_watchers_is_not_condemned(seed in any::<u64>(), cuts in prop::collection::vec((0usize..10, 0usize..10), 0..14), pause in 0u64..4_000) {
        let mut world = World::new(seed, 10, 3);
        world.run(1_500);
        world.cuts.extend(cuts.iter().copied());
        let paused = world.below(10) as usize;
        world.frozen_until[paused] = world.now + pause;
        world.run(12_000);
        let condemned = world.condemned().into_iter().collect::<BTreeSet<_>>();
        for one in condemned {
            let hears = |watcher: &usize| !world.cuts.contains(&(one, *watcher)) && *watcher != paused;
            let heard = world.watchers(one).iter().filter(|watcher| hears(watcher)).count();
            prop_assert!(heard < 2 || one == paused, "{one} was heard by {heard}");
        }
    }
}
