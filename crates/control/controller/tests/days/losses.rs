//! Losses in a row among three to nine controllers, for budgets of one machine, two machines and
//! one zone, some with controllers that have no disk; and long cuts among so many, with disks that
//! are full or stall while a cut lasts. `LOSS_FROM` and `LOSS_SEEDS` play other days by hand,
//! `LARGE_CUT_FROM` and `LARGE_CUT_SEEDS` others of cuts; `SIM_LOG` prints what happens.

use crate::world::{Budget, Plan, World};

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|v| v.parse().ok())
}

/// How many controllers have a disk, how many have none, the budget, and the zones.
fn tier(seed: u64) -> Plan {
    let (with_disk, diskless, budget, zones) = match seed % 9 {
        0 => (4, 2, Budget::ONE, 4),
        // The founders are two machines of one zone and one of another.
        1 => (6, 0, Budget { nodes: 1, zones: 1 }, 3),
        2 => (5, 0, Budget { nodes: 2, zones: 0 }, 4),
        3 => (3, 0, Budget::ONE, 3),
        4 => (6, 1, Budget { nodes: 2, zones: 0 }, 3),
        5 => (9, 0, Budget { nodes: 2, zones: 1 }, 4),
        6 => (7, 0, Budget { nodes: 2, zones: 0 }, 4),
        7 => (8, 3, Budget { nodes: 2, zones: 0 }, 5),
        _ => (7, 0, Budget::ONE, 3),
    };
    let in_a_row = if seed % 9 == 1 { 2 } else { 1 };
    Plan {
        controllers: Some(with_disk + diskless),
        diskless,
        budget,
        zones,
        in_a_row,
        ..Plan::PLAIN
    }
}

fn play(from: u64, seeds: u64, plan: impl Fn(u64) -> Plan) {
    let (mut acks, mut reads, mut views, mut faults, mut beyond) = (0, 0, 0, 0, 0);
    let mut broken = Vec::new();
    for seed in from..from + seeds {
        let mut world = World::new(seed, plan(seed));
        if let Some(what) = world.day() {
            println!("seed {seed}: {what}");
            broken.push(seed);
        }
        acks += world.checker.acks() as u64;
        reads += world.checker.reads;
        views += world.checker.views;
        faults += world.checker.faults;
        beyond += world.beyond_budget();
    }
    println!(
        "{seeds} days: {acks} acknowledged, {reads} reads, {views} views, {faults} faults, {beyond} times beyond the budget"
    );
    assert!(broken.is_empty(), "broken on seeds {broken:?}");
    assert!(acks > seeds * 12 && reads > seeds * 15 && faults >= seeds * 3 && views > seeds);
}

pub fn losses(seed: u64) -> Plan {
    Plan {
        losses: true,
        faults: 10,
        races: 300,
        ..tier(seed)
    }
}

fn cuts(seed: u64) -> Plan {
    Plan {
        cuts: true,
        disks: true,
        faults: 3,
        races: 300,
        ..tier(seed)
    }
}

#[test]
fn consecutive_losses_break_no_invariant_and_service_continues() {
    play(
        number("LOSS_FROM").unwrap_or(0),
        number("LOSS_SEEDS").unwrap_or(3),
        losses,
    );
}

#[test]
fn long_partitions_and_disk_faults_among_many_controllers_break_no_invariant() {
    play(
        number("LARGE_CUT_FROM").unwrap_or(0),
        number("LARGE_CUT_SEEDS").unwrap_or(3),
        cuts,
    );
}
