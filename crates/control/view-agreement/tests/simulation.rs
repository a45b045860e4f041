//! Days of controllers in virtual time, by seeds: three to five of them under trouble at random,
//! and three to eight that are lost in a row, one or two at once, the next as soon as the platform
//! may take them. `SIM_FROM` and `SIM_SEEDS` play other days by hand.

mod support;

use support::world::World;
use support::Faults;

fn number(name: &str, otherwise: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(otherwise)
}

/// Plays days from `from` on; fails with the seeds on which something broke.
fn play(from: u64, seeds: u64) {
    let (mut acked, mut reads, mut restored, mut views, mut wipes) = (0, 0, 0, 0, 0);
    let mut broken = Vec::new();
    for seed in from..from + seeds {
        let mut world = World::new(seed, Faults::default());
        if let Some(what) = world.play() {
            println!("seed {seed}: {what}");
            broken.push(seed);
        }
        acked += world.checker.acked.len();
        reads += world.checker.reads;
        restored += world.checker.restored;
        views += world.checker.views;
        wipes += world.checker.wipes;
    }
    println!("{seeds} days: {acked} acknowledged, {reads} reads, {restored} restored, {views} views, {wipes} wipes");
    assert!(broken.is_empty(), "broken on seeds {broken:?}");
    // The days are not empty ones.
    assert!(acked as u64 > seeds * 300 && reads > seeds * 50 && views > seeds * 5);
    assert!(wipes > seeds / 2 && restored > seeds / 2);
}

// Nothing acknowledged is lost, and the system goes on: 300 days, in three tests that run side by
// side.

#[test]
fn no_acknowledged_entry_is_lost_on_the_first_hundred_days() {
    play(number("SIM_FROM", 0), number("SIM_SEEDS", 100));
}

#[test]
fn no_acknowledged_entry_is_lost_on_the_second_hundred_days() {
    play(100, 100);
}

#[test]
fn no_acknowledged_entry_is_lost_on_the_third_hundred_days() {
    play(200, 100);
}

/// Whether a planted fault shows on one of the seeds from `from` on; the first that shows it. Rare
/// ones begin near a seed that is known to show them.
fn found(from: u64, faults: Faults) -> u64 {
    let most = number("SIM_FAULT_SEEDS", 150);
    let seed = (from..from + most).find(|seed| World::new(*seed, faults).play().is_some());
    seed.unwrap_or_else(|| panic!("{faults:?} was not found on {most} seeds"))
}

#[test]
fn detects_records_reported_as_synced_too_early() {
    println!(
        "seed {}",
        found(
            0,
            Faults {
                synced_early: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn detects_a_false_report_of_being_in_sync() {
    println!(
        "seed {}",
        found(
            700,
            Faults {
                claims_in_sync: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn detects_a_lost_disk_under_the_old_id() {
    println!(
        "seed {}",
        found(
            0,
            Faults {
                keeps_id: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn detects_an_acknowledgement_before_the_commit() {
    println!(
        "seed {}",
        found(
            0,
            Faults {
                acknowledges_early: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn detects_stale_reads_at_a_removed_tail() {
    println!(
        "seed {}",
        found(
            50,
            Faults {
                reads_unconfirmed: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn detects_a_missing_in_sync_record() {
    println!(
        "seed {}",
        found(
            0,
            Faults {
                drops_in_sync: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn detects_an_incomplete_replica_that_counts_as_in_sync() {
    println!(
        "seed {}",
        found(
            0,
            Faults {
                claims_in_sync: true,
                claims_caught_up: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn successive_losses_lose_nothing_and_service_resumes() {
    let (from, seeds) = (number("SIM_FROM", 0), number("SIM_SEEDS", 24));
    let (mut acked, mut views, mut wipes) = (0, 0, 0);
    let mut broken = Vec::new();
    for seed in from..from + seeds {
        let mut world = World::with_losses(seed, Faults::default());
        if let Some(what) = world.play() {
            println!("seed {seed}: {what}");
            broken.push(seed);
        }
        acked += world.checker.acked.len() as u64;
        views += world.checker.views;
        wipes += world.checker.wipes;
    }
    println!("{seeds} days: {acked} acknowledged, {views} views, {wipes} wipes");
    assert!(broken.is_empty(), "broken on seeds {broken:?}");
    assert!(acked > seeds * 1_000 && views > seeds * 8 && wipes > seeds / 2);
}

/// The first of the seeds that shows a planted fault in losses in a row.
fn found_by_losses(from: u64, faults: Faults) -> u64 {
    let most = number("SIM_FAULT_SEEDS", 60);
    let seed = (from..from + most).find(|seed| World::with_losses(*seed, faults).play().is_some());
    seed.unwrap_or_else(|| panic!("{faults:?} was not found on {most} seeds"))
}

#[test]
fn detects_an_acceptor_replaced_too_late() {
    println!(
        "seed {}",
        found_by_losses(
            0,
            Faults {
                replaces_late: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn detects_a_drained_machine_that_keeps_its_vote() {
    println!(
        "seed {}",
        found_by_losses(
            0,
            Faults {
                leaving_keeps_vote: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn detects_too_few_acceptors_for_two_losses() {
    println!(
        "seed {}",
        found_by_losses(
            0,
            Faults {
                three_acceptors: true,
                ..Faults::default()
            }
        )
    );
}

#[test]
fn detects_a_lost_disk_under_the_old_id_by_losses() {
    println!(
        "seed {}",
        found_by_losses(
            0,
            Faults {
                keeps_id: true,
                ..Faults::default()
            }
        )
    );
}
