//! Stores that are lost one after the other, the next as early as it may be: cut off, killed,
//! without power, wiped, replaced, shut down, emptied, with a stalled disk, and all without power
//! at once. Whatever was acknowledged must hold, no machine may be released that holds what others
//! don't, and work is taken again within a bound.

use crate::support::losses::{Planted, Setup};
use crate::support::{self, World};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// So many plays of each set-up; `LOSS_SEEDS` has more of them played by hand, from `LOSS_FROM` on.
const PLAYS: u64 = 1;
/// A planted fault is found within so many plays.
const FOUND_WITHIN: u64 = 4;

fn number(name: &str, or: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(or)
}

fn play(seed: u64, setup: Setup) -> support::Totals {
    let mut world = World::with_losses(seed, setup);
    world.run(40_000);
    world.heal();
    world.run(80_000);
    world.check_end();
    world.sum
}

fn plays(first: u64, setup: Setup) {
    let first = first + number("LOSS_FROM", 0);
    let mut sum = support::Totals::default();
    for seed in first..first + number("LOSS_SEEDS", PLAYS) {
        println!("seed {seed}, {setup:?}");
        sum.add(&play(seed, setup));
    }
    println!("{sum:?}");
    assert!(sum.taken > 50 && sum.faults > 3, "{sum:?}");
}

const ONE: Setup = Setup {
    stores: 4,
    budget: 1,
    spare: 0,
    planted: None,
};
const TWO: Setup = Setup {
    stores: 6,
    budget: 2,
    spare: 0,
    planted: None,
};

#[test]
fn four_stores_survive_successive_losses() {
    plays(500_005, ONE);
}

#[test]
fn five_stores_with_spares_survive_successive_losses() {
    plays(
        510_001,
        Setup {
            stores: 5,
            spare: 6,
            ..ONE
        },
    );
}

#[test]
fn four_stores_survive_two_losses_at_once() {
    plays(520_000, Setup { stores: 4, ..TWO });
}

#[test]
fn six_stores_with_spares_survive_two_losses_at_once() {
    plays(530_000, Setup { spare: 6, ..TWO });
}

#[test]
fn nine_stores_survive_two_losses_at_once() {
    plays(540_002, Setup { stores: 9, ..TWO });
}

#[test]
fn thirteen_stores_with_spares_survive_two_losses_at_once() {
    plays(
        550_000,
        Setup {
            stores: 13,
            spare: 4,
            ..TWO
        },
    );
}

/// The seed with which the checker finds a planted fault.
fn found(first: u64, planted: Planted, setup: Setup) {
    let setup = Setup {
        planted: Some(planted),
        ..setup
    };
    for seed in first..first + FOUND_WITHIN {
        if let Err(why) = catch_unwind(AssertUnwindSafe(|| play(seed, setup))) {
            let why = why.downcast_ref::<String>().cloned().unwrap_or_default();
            println!("{planted:?}: found with seed {seed}: {why}");
            return;
        }
    }
    panic!("{planted:?} is not found");
}

#[test]
fn acknowledging_with_one_disk_is_detected() {
    found(600_000, Planted::AcknowledgedByOneDisk, TWO);
}

#[test]
fn disks_that_report_a_sync_too_early_are_detected() {
    found(610_008, Planted::SyncedBeforeItIs, TWO);
}

#[test]
fn counting_a_joiner_before_it_is_in_sync_is_detected() {
    found(620_035, Planted::JoinerCountsAtOnce, TWO);
}

#[test]
fn releasing_a_machine_before_others_hold_its_replicas_is_detected() {
    found(630_000, Planted::RetiredAtOnce, TWO);
}

#[test]
fn a_chain_that_waits_for_a_stalled_disk_is_detected() {
    found(640_010, Planted::StalledDiskIsWaitedFor, TWO);
}
