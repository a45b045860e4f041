//! Which dispatchers are reported as failed, how soon, and which never.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use failure_detector::{
    watchers, Dispatcher, Effect, FailureDetector, Message, Verdict, MAX_DISPATCHERS, WATCHERS,
};
use proptest::prelude::*;
use support::{dispatcher, Simulation};

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
        // A watcher's own list of those that it watches agrees with the others' lists.
        for one in &list {
            let mut detector = FailureDetector::new(one.id);
            detector.set_members(0, &list);
            let watches = detector.watches().collect::<BTreeSet<_>>();
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
fn a_crashed_dispatcher_is_detected_within_three_seconds() {
    let mut slowest = 0;
    for seed in 0..60 {
        let mut simulation = Simulation::new(seed, 12, 3);
        simulation.run(3_000 + seed * 17);
        let lost = seed as usize % 12;
        simulation.detectors[lost] = None;
        let killed = simulation.now;
        while simulation.verdicts.is_empty() && simulation.now - killed < 6_000 {
            simulation.step();
        }
        slowest = slowest.max(simulation.now - killed);
        simulation.run(4_000);
        assert!(
            simulation.reported_failed().iter().all(|one| *one == lost),
            "seed {seed}: {:?}",
            simulation.reported_failed()
        );
    }
    assert!(slowest <= 2_600, "{slowest} ms");
}

#[test]
fn a_crash_is_detected_despite_twenty_percent_loss() {
    for seed in 0..100 {
        let mut simulation = Simulation::new(500 + seed, 12, 3);
        simulation.loss_permille = 200;
        simulation.run(4_000);
        let lost = seed as usize % 12;
        simulation.detectors[lost] = None;
        let killed = simulation.now;
        while simulation.verdicts.is_empty() && simulation.now - killed < 10_000 {
            simulation.step();
        }
        assert!(
            simulation.now - killed <= 3_000,
            "seed {seed}: {} ms",
            simulation.now - killed
        );
    }
}

#[test]
fn twenty_percent_loss_causes_no_false_verdict() {
    // 40 dispatchers for 250 s, 10,000 seconds of a dispatcher a seed.
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed, 40, 3);
        simulation.loss_permille = 200;
        simulation.run(250_000);
        assert_eq!(simulation.verdicts, [], "seed {seed}");
    }
}

#[test]
fn one_way_partitions_from_one_watcher_cause_no_verdict() {
    for seed in 0..30 {
        let mut simulation = Simulation::new(seed, 12, 3);
        // Each dispatcher is partitioned from one of its watchers, in one direction or both.
        for one in 0..12 {
            let watcher = simulation.watchers(one)[seed as usize % 3];
            match (seed as usize + one) % 3 {
                0 => simulation.blocked.insert((one, watcher)),
                1 => simulation.blocked.insert((watcher, one)),
                _ => {
                    simulation.blocked.insert((one, watcher))
                        && simulation.blocked.insert((watcher, one))
                }
            };
        }
        simulation.run(20_000);
        assert_eq!(simulation.verdicts, [], "seed {seed}");
    }
}

#[test]
fn a_dispatcher_unreachable_for_all_watchers_is_reported_and_revoked() {
    let mut simulation = Simulation::new(3, 12, 3);
    simulation.run(2_000);
    for watcher in simulation.watchers(5) {
        simulation.blocked.insert((5, watcher));
    }
    simulation.run(3_000);
    assert!(!simulation.verdicts.is_empty());
    assert!(simulation.reported_failed().iter().all(|one| *one == 5));
    let told = simulation
        .verdicts
        .iter()
        .map(|(_, by, _)| *by)
        .collect::<BTreeSet<_>>();
    simulation.blocked.clear();
    simulation.run(1_000);
    // Each that reported it revokes it, on a later heartbeat.
    for by in told {
        let said = simulation
            .verdicts
            .iter()
            .filter(|(_, who, _)| *who == by)
            .map(|(_, _, verdict)| verdict);
        let said = said.collect::<Vec<_>>();
        assert!(!said[said.len() - 1].failed && said[said.len() - 1].heartbeat > said[0].heartbeat);
    }
    let before = simulation.verdicts.len();
    simulation.run(5_000);
    assert_eq!(simulation.verdicts.len(), before);
}

#[test]
fn stalled_watchers_cause_no_verdict_when_they_resume() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, 12, 3);
        simulation.run(2_000);
        // Two of the three watchers of one dispatcher stall at the same time, and messages are
        // lost.
        let who = simulation.watchers(seed as usize % 12);
        let until = simulation.now + 500 + simulation.below(5_000);
        for one in &who[..2] {
            simulation.stalled_until[*one] = until;
        }
        let keep = seed % 2 == 0;
        for one in &who[..2] {
            if !keep {
                (0..12).for_each(|other| {
                    simulation.blocked.insert((other, *one));
                });
            }
        }
        while simulation.now < until {
            simulation.step();
        }
        simulation.blocked.clear();
        simulation.run(6_000);
        // Those that stalled were silent themselves and may have been reported for it: nobody else.
        assert!(
            simulation
                .reported_failed()
                .iter()
                .all(|one| who[..2].contains(one)),
            "seed {seed}: {:?}",
            simulation.reported_failed()
        );
        if until < 2_000 + 1_000 + 1_500 {
            assert_eq!(simulation.verdicts, [], "seed {seed}");
        }
    }
}

#[test]
fn a_partitioned_zone_is_reported_by_the_others() {
    let mut simulation = Simulation::new(9, 12, 3);
    simulation.run(2_000);
    for a in 0..12 {
        for b in 0..12 {
            if (a % 3 == 0) != (b % 3 == 0) {
                simulation.blocked.insert((a, b));
            }
        }
    }
    simulation.run(4_000);
    let by_most = simulation.verdicts.iter().filter(|(_, by, _)| by % 3 != 0);
    let reported_failed = by_most
        .map(|(_, _, verdict)| verdict.id)
        .collect::<BTreeSet<_>>();
    let zone = (0..12)
        .step_by(3)
        .map(|n| simulation.list[n].id)
        .collect::<BTreeSet<_>>();
    assert!(
        reported_failed.is_subset(&zone) && !reported_failed.is_empty(),
        "{reported_failed:?}"
    );
}

#[test]
fn membership_changes_cause_no_verdict() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 20, 3);
        let all = simulation.list.clone();
        // The lists grow one by one, and each process learns of it at another time.
        let mut known = vec![3usize; 20];
        for detector in simulation.detectors.iter_mut().flatten() {
            detector.set_members(simulation.now, &all[..3]);
        }
        for round in 0..200 {
            simulation.run(50);
            let n = simulation.below(20) as usize;
            known[n] = (known[n] + 1 + simulation.below(3) as usize).min(20);
            if round > 150 {
                known.fill(20);
            }
            let now = simulation.now;
            for (detector, known) in simulation.detectors.iter_mut().flatten().zip(&known) {
                detector.set_members(now, &all[..*known]);
            }
        }
        simulation.run(3_000);
        assert_eq!(simulation.verdicts, [], "seed {seed}");
    }
}

#[test]
fn two_members_reach_no_verdict_and_one_alone_sends_nothing() {
    let mut simulation = Simulation::new(1, 2, 2);
    simulation.run(2_000);
    simulation.detectors[1] = None;
    simulation.run(10_000);
    assert_eq!(simulation.verdicts, []);
    let mut alone = FailureDetector::new(dispatcher(0, 1).id);
    alone.set_members(0, &[dispatcher(0, 1)]);
    alone.tick(0);
    assert_eq!(alone.take_effects(), []);
    // Of three, both of the others must vote.
    let mut simulation = Simulation::new(1, 3, 3);
    simulation.run(2_000);
    simulation.detectors[1] = None;
    simulation.run(3_000);
    assert!(!simulation.reported_failed().is_empty());
}

/// Messages about a watched dispatcher from wrong addresses, or of no watcher.
fn forged_messages(
    one: &Dispatcher,
    stranger: &Dispatcher,
    watched: &Dispatcher,
) -> [(SocketAddr, Message); 6] {
    let of = watched.id;
    let (by, heartbeat) = (one.id, u64::MAX);
    [
        (
            stranger.addr,
            Message::Suspect {
                by,
                of,
                heartbeat: 9,
            },
        ),
        (
            watched.addr,
            Message::Suspect {
                by,
                of,
                heartbeat: 9,
            },
        ),
        (
            one.addr,
            Message::Suspect {
                by: 1,
                of: 2,
                heartbeat: 9,
            },
        ),
        (
            stranger.addr,
            Message::Heartbeat {
                id: one.id,
                heartbeat,
            },
        ),
        (
            one.addr,
            Message::Alive {
                by: 0,
                of,
                heartbeat,
                age_ms: 0,
            },
        ),
        (one.addr, Message::Probe { by: 3, of }),
    ]
}

#[test]
fn messages_of_strangers_and_forged_votes_are_ignored() {
    let list = (0..8).map(|n| dispatcher(n, 2)).collect::<Vec<_>>();
    let mut detector = FailureDetector::new(list[0].id);
    detector.set_members(0, &list);
    let of = detector.watches().next().expect("watches some");
    let watched = list.iter().find(|one| one.id == of).expect("listed");
    let mut reported_failed = false;
    for now in (0..10_000).step_by(100) {
        // No vote counts.
        for one in &list {
            let messages = forged_messages(one, &list[0], watched);
            for (from, message) in messages {
                detector.handle_message(now, from, message);
            }
        }
        detector.tick(now);
        reported_failed |= detector
            .take_effects()
            .iter()
            .any(|out| matches!(out, Effect::Report(Verdict { .. })));
    }
    assert!(!reported_failed);
}

#[test]
fn a_calm_ring_costs_six_messages_a_second_each() {
    let mut simulation = Simulation::new(1, 40, 3);
    simulation.run(2_000);
    let before = simulation.sent;
    simulation.run(10_000);
    assert_eq!(simulation.sent - before, 40 * 10 * 2 * 3);
    assert_eq!(
        Message::Heartbeat {
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
    fn arbitrary_bytes_are_decoded_or_rejected(kind in 0u8..6, rest in prop::collection::vec(any::<u8>(), 0..40)) {
        let mut bytes = vec![kind];
        bytes.extend(rest);
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert_eq!(message.encode().to_vec(), bytes);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is partitioned and whoever stalls: a dispatcher that at least two of its watchers
    /// receive all the time isn't reported.
    #[test]
    fn a_dispatcher_received_by_two_watchers_is_not_reported(seed in any::<u64>(), blocked in prop::collection::vec((0usize..10, 0usize..10), 0..14), pause in 0u64..4_000) {
        let mut simulation = Simulation::new(seed, 10, 3);
        simulation.run(1_500);
        simulation.blocked.extend(blocked.iter().copied());
        let paused = simulation.below(10) as usize;
        simulation.stalled_until[paused] = simulation.now + pause;
        simulation.run(12_000);
        let reported_failed = simulation.reported_failed().into_iter().collect::<BTreeSet<_>>();
        for one in reported_failed {
            let hears = |watcher: &usize| !simulation.blocked.contains(&(one, *watcher)) && *watcher != paused;
            let heard = simulation.watchers(one).iter().filter(|watcher| hears(watcher)).count();
            prop_assert!(heard < 2 || one == paused, "{one} was heard by {heard}");
        }
    }
}
