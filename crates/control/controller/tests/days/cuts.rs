//! PeerControllers that are cut off for twenty seconds and more, while orders, reads, heartbeats,
//! drainings and an emptied store go on at both sides. `CUT_FROM` and `CUT_SEEDS` play other days
//! by hand, `CUT_KIND` with one way of cutting; `SIM_LOG` tells of them.

use crate::world::{Plan, World};

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|v| v.parse().ok())
}

const DAY: Plan = Plan {
    controllers: None,
    faults: 3,
    first_fault: 7_000,
    kind: None,
    closing: None,
    races: 300,
    scripted: false,
    large: 80,
    cuts: true,
    ..Plan::PLAIN
};

#[test]
fn no_stale_read_and_no_lost_acknowledgement_over_long_partitions() {
    let (from, seeds) = (
        number("CUT_FROM").unwrap_or(0),
        number("CUT_SEEDS").unwrap_or(8),
    );
    let (mut acks, mut reads, mut drains, mut retired, mut faults) = (0, 0, 0, 0, 0);
    let mut broken = Vec::new();
    for seed in from..from + seeds {
        let mut world = World::new(
            seed,
            Plan {
                kind: number("CUT_KIND"),
                ..DAY
            },
        );
        if let Some(what) = world.day() {
            println!("seed {seed}: {what}");
            broken.push(seed);
        }
        acks += world.checker.acks() as u64;
        reads += world.checker.reads;
        drains += world.checker.drains.len() as u64;
        faults += world.checker.faults;
        retired += u64::from(world.retirement.complete);
    }
    println!(
        "{seeds} days: {acks} acknowledged, {reads} reads, {drains} drains, {retired} emptied, {faults} cuts"
    );
    assert!(broken.is_empty(), "broken on seeds {broken:?}");
    assert!(acks > seeds * 15 && reads > seeds * 15 && drains > seeds && faults >= seeds * 3);
}

// Those that were left without a majority counted the runners as gone, and dispatchers that
// followed them stopped sending.
#[test]
fn without_a_majority_on_any_side_runners_stay_published() {
    for seed in 0..3 {
        let plan = Plan {
            controllers: Some(3),
            faults: 0,
            first_fault: 1 << 40,
            scripted: true,
            ..DAY
        };
        let mut world = World::new(seed, plan);
        world.play(12_000);
        let up = world.runners_held_up();
        world.kill_controller(0, 20_000);
        world.kill_controller(1, 20_000);
        // Runners end meanwhile, which nobody can know; of those that go on none is given up.
        world.play(28_000);
        world.runners_that_go_on_are_held(&up);
        assert_eq!(world.checker.broken, None, "seed {seed}");
    }
}

/// The link between two of three controllers is cut for twenty seconds, one way or both; what was
/// broken, and the changes that were acknowledged while it lasted.
fn link_is_cut(seed: u64) -> (Option<String>, usize, u64) {
    let plan = Plan {
        controllers: Some(3),
        faults: 0,
        first_fault: 1 << 40,
        scripted: true,
        ..DAY
    };
    let mut world = World::new(seed, plan);
    world.play(5_000);
    world.change(0, 0, 0, 3);
    world.play(7_000);
    let (a, b) = [(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)][seed as usize % 6];
    world.cut_link(a, b, 27_000, seed.is_multiple_of(2));
    let views = world.checker.views;
    for n in 0..4u64 {
        world.play(12_000 + n * 4_000);
        world.change(0, (seed + n) as usize % 3, 3 + n, 4 + n);
    }
    world.play(28_000);
    (
        world.checker.broken.take(),
        world.checker.acks() - 1,
        world.checker.views - views,
    )
}

// Each of the two proposed views without the other, in turn, and nothing was acknowledged while the
// cut lasted.
#[test]
fn while_one_link_is_cut_changes_are_acknowledged() {
    for seed in 0..number("LINK_SEEDS").unwrap_or(6) {
        let (broken, acks, views) = link_is_cut(seed);
        assert_eq!((broken, acks), (None, 4), "seed {seed}, {views} views");
        assert!(views <= 4, "seed {seed}: {views} views");
    }
}
