//! Orders that race on one version, each sent again many times to any controller. `RACE_FROM` and
//! `RACE_SEEDS` play others by hand; `SIM_LOG` tells of them.

use crate::world::{Plan, World};

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|v| v.parse().ok())
}

/// What befalls the controllers after this round of a day.
type Trouble = fn(&mut World, u64);

fn plan() -> Plan {
    Plan {
        controllers: Some(3),
        faults: 0,
        first_fault: 1 << 40,
        scripted: true,
        large: 5,
        ..Plan::default()
    }
}

/// Plays so many rounds of two to `most` orders; then all orders of the day are sent once more.
fn play(seeds: std::ops::Range<u64>, rounds: u64, most: u64, trouble: Trouble) {
    let from = number("RACE_FROM").unwrap_or(seeds.start);
    let count = number("RACE_SEEDS").unwrap_or(seeds.end - seeds.start);
    let mut broken = Vec::new();
    for seed in from..from + count {
        let mut world = World::new(seed, plan());
        world.play(6_000);
        for round in 0..rounds {
            let won = world.checker.winners();
            let orders = 2 + ((seed + round) % (most - 1)) as usize;
            world.race(orders, 1 + (seed * 13 + round * 7) % 120);
            trouble(&mut world, round);
            let latest = world.now + 12_000;
            while world.checker.winners() == won
                && world.now < latest
                && world.checker.broken.is_none()
            {
                let then = world.now + 20;
                world.play(then);
            }
            if world.checker.winners() == won {
                let now = world.now;
                world
                    .checker
                    .broke(now, format!("no order of round {round} was taken"));
                break;
            }
        }
        let calm = world.now + 9_000;
        world.play(calm);
        let before: u64 = world.senders.iter().map(|s| s.answered).sum();
        world.send_all_again(3_000);
        let end = world.now + 9_000;
        world.play(end);
        let answered = world.senders.iter().map(|s| s.answered).sum::<u64>() - before;
        if let Some(what) = world.checker.broken.take() {
            println!("seed {seed}: {what}");
            broken.push(seed);
            continue;
        }
        assert!(
            answered >= world.senders.len() as u64,
            "all that was sent again has a clear answer"
        );
        assert_eq!(world.checker.winners() as u64, rounds);
    }
    assert!(broken.is_empty(), "broken on seeds {broken:?}");
}

#[test]
fn one_change_per_version_wins_however_often_it_is_repeated() {
    play(0..3, 20, 8, |_, _| {});
}

#[test]
fn a_repeated_change_gets_its_answer_after_hundreds_of_changes() {
    play(100..101, 270, 3, |_, _| {});
}

#[test]
fn one_change_per_version_wins_across_changes_of_head() {
    play(200..204, 10, 8, |world, round| {
        let head = world.head();
        match round % 5 {
            1 => world.kill_soon(head, 2_500),
            2 => world.power_off_soon(head, 1_500),
            3 => world.cut_off(head, 0, 8_000),
            4 => world.slow_disks(),
            _ => {}
        }
    });
}

#[test]
fn one_change_per_version_wins_across_a_restart_of_all() {
    play(300..304, 6, 8, |world, round| {
        if round % 2 == 1 {
            for n in 0..3 {
                world.power_off_soon(n, 900);
            }
        }
    });
}
