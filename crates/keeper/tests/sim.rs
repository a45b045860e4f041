//! Days of whole keepers under trouble, by seeds. `SIM_FROM` and `SIM_SEEDS` play other days by hand, `SIM_LOG` tells of
//! one.

mod world;

use world::{Plan, World};

fn number(name: &str, otherwise: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(otherwise)
}

/// Plays days from `from` on; fails with the seeds on which something broke.
fn play(from: u64, seeds: u64, plan: Plan) {
    let (mut acks, mut reads, mut refusals, mut views, mut maps, mut drains, mut faults) =
        (0, 0, 0, 0, 0, 0, 0);
    let mut broken = Vec::new();
    for seed in from..from + seeds {
        let mut world = World::new(seed, plan);
        if let Some(what) = world.day() {
            println!("seed {seed}: {what}");
            broken.push(seed);
        }
        let checker = &world.checker;
        acks += checker.acks() as u64;
        reads += checker.reads;
        refusals += checker.refusals;
        views += checker.views;
        maps += checker.maps() as u64;
        drains += checker.drains.len() as u64;
        faults += checker.faults;
    }
    println!(
        "{seeds} days: {acks} acknowledged, {refusals} refused, {reads} reads, {views} views, {maps} maps, {drains} drains, \
         {faults} faults"
    );
    assert!(broken.is_empty(), "broken on seeds {broken:?}");
}

#[test]
fn all_rules_hold_on_some_days() {
    play(number("SIM_FROM", 0), number("SIM_SEEDS", 20), Plan::default());
}
