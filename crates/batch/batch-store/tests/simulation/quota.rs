//! Quotas that are held over partitions: at each acknowledgement no more waits than may, whatever
//! becomes of the messages about reservations, and no job is refused that fits; and the checks find
//! the faults that would break it.

use crate::support::losses::Planted;
use crate::support::{Totals, World};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A planted fault is found within so many plays.
const FOUND_WITHIN: u64 = 8;

fn play(seed: u64, planted: Option<Planted>) -> Totals {
    let mut world = World::with_quota_messages(seed, planted);
    world.run(40_000);
    world.heal();
    world.run(70_000);
    world.check_end();
    world.sum
}

fn found(first: u64, planted: Planted) {
    for seed in first..first + FOUND_WITHIN {
        if let Err(why) = catch_unwind(AssertUnwindSafe(|| play(seed, Some(planted)))) {
            let why = why.downcast_ref::<String>().cloned().unwrap_or_default();
            println!("{planted:?}: found with seed {seed}: {why}");
            let at_stake = why.contains("tokens wait") || why.contains("refused at");
            assert!(at_stake, "for another reason: {why}");
            return;
        }
    }
    panic!("{planted:?} is not found");
}

#[test]
fn quotas_hold_when_their_messages_are_lost_duplicated_and_late() {
    let mut sum = Totals::default();
    for seed in 50_000..50_008 {
        println!("seed {seed}");
        sum.add(&play(seed, None));
    }
    println!("{sum:?}");
    assert!(
        sum.taken > 500 && sum.full > 100 && sum.busy > 20,
        "{sum:?}"
    );
}

#[test]
fn without_faults_no_submission_is_refused_without_a_reason() {
    for seed in 51_000..51_004 {
        let mut world = World::new(seed, 5, crate::support::Faults::default());
        world.run(6_000);
        let before = world.sum.busy;
        world.run(40_000);
        assert_eq!(
            (world.sum.busy, world.sum.unsure),
            (before, 0),
            "seed {seed}"
        );
        assert!(world.sum.full > 10, "{:?}", world.sum);
    }
}

#[test]
fn accepting_a_response_to_an_earlier_request_is_detected() {
    found(650_000, Planted::GrantOfAnyAsking);
}

#[test]
fn accepting_a_response_to_an_earlier_audit_is_detected() {
    found(660_000, Planted::WordOnAnyAudit);
}

#[test]
fn forgetting_the_reservations_of_a_partition_is_detected() {
    found(670_000, Planted::PartitionForgotten);
}
