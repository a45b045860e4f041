//! Hundreds of large changes while members are away: whoever comes back catches up within a stated time and bytes, and
//! nobody leads that does not hold all that was acknowledged. Virtual time, by seeds; `CATCH_UP_FROM` and
//! `CATCH_UP_SEEDS` play others by hand.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]
#![expect(
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    reason = "not revised yet"
)]

mod catch_up_world;

use catch_up_world::{Faults, Figures, Terms, World, MS};

const CHANGES: usize = 500;

fn number(name: &str, otherwise: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(otherwise)
}

/// 500 changes with trouble all the while, then calm.
fn play(seed: u64, terms: Terms, faults: Faults) -> (Option<String>, Figures) {
    let mut world = World::new(seed, terms, faults);
    world.troubles = true;
    let done = world.until(400_000 * MS, |w| w.acked.len() >= CHANGES);
    if !done && world.broken.is_none() {
        let acked = world.acked.len();
        world.broke(format!("only {acked} changes were acknowledged"));
    }
    world.settle();
    (world.broken, world.figures)
}

fn terms(seed: u64) -> Terms {
    // In half of the runs a snapshot is far larger than a change, and takes longer than the pause between two.
    let filler = if seed % 2 == 1 { 6_000_000 } else { 0 };
    Terms {
        filler,
        machines: 4 + (seed % 3 == 2) as usize,
        ..Terms::default()
    }
}

#[test]
fn five_hundred_large_changes_with_members_away_for_any_part_of_them() {
    let mut broken = Vec::new();
    let (from, seeds) = (number("CATCH_UP_FROM", 0), number("CATCH_UP_SEEDS", 4));
    for seed in from..from + seeds {
        let (what, figures) = play(seed, terms(seed), Faults::default());
        println!("seed {seed}: {figures:?} {}", what.as_deref().unwrap_or(""));
        if let Some(what) = what {
            broken.push((seed, what));
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// All others lose power in the moment in which a joiner is made a member.
fn struck(seed: u64) -> Terms {
    Terms {
        strikes_at_promotion: true,
        gap: 30 * MS,
        ..terms(seed)
    }
}

#[test]
fn one_that_was_just_made_a_member_does_not_lead_before_it_holds_all() {
    for seed in 0..2 {
        let (what, figures) = play(seed, struck(seed), Faults::default());
        println!("seed {seed}: {figures:?} {}", what.as_deref().unwrap_or(""));
        assert_eq!(what, None, "seed {seed}");
    }
}

/// Whether a planted fault shows on one of the seeds from `from` on.
fn found(from: u64, terms: impl Fn(u64) -> Terms, faults: Faults) {
    let what = (from..from + 12)
        .find_map(|seed| play(seed, terms(seed), faults).0.map(|what| (seed, what)));
    let (seed, what) = what.unwrap_or_else(|| panic!("{faults:?} was not found"));
    println!("{faults:?}: seed {seed}: {what}");
}

#[test]
fn a_log_cut_short_before_a_lagging_member_without_a_snapshot_is_found() {
    found(
        0,
        terms,
        Faults {
            no_snapshots: true,
            ..Faults::default()
        },
    );
}

#[test]
fn a_snapshot_that_begins_again_with_each_change_is_found() {
    found(
        3,
        |_| terms(1),
        Faults {
            restarts_copy_on_change: true,
            ..Faults::default()
        },
    );
}

#[test]
fn a_member_that_leads_without_being_entitled_is_found() {
    found(
        0,
        struck,
        Faults {
            claims_entitled: true,
            ..Faults::default()
        },
    );
}

#[test]
fn being_in_sync_that_is_said_before_the_disk_holds_it_is_found() {
    found(
        0,
        struck,
        Faults {
            synced_early: true,
            ..Faults::default()
        },
    );
}

#[test]
fn entries_and_parts_of_an_old_view_that_are_accepted_are_found() {
    // Much that comes late and a second time.
    let terms = |seed| Terms {
        doubled: 50,
        ..terms(seed)
    };
    found(
        0,
        terms,
        Faults {
            accepts_old_view: true,
            ..Faults::default()
        },
    );
}

#[test]
fn a_ring_that_is_never_written_anew_is_found() {
    found(
        0,
        terms,
        Faults {
            never_compacts: true,
            ..Faults::default()
        },
    );
}

/// The same over the real ring of files, with parts of snapshots that come spoilt; in half of the runs some writes and
/// syncs fail and are done again, in the other half much comes late and a second time.
fn on_ring(seed: u64) -> Terms {
    let doubled = if seed.is_multiple_of(2) { 50 } else { 5 };
    Terms {
        real_ring: true,
        disk_fails: seed % 2,
        doubled,
        spoilt: 20,
        ..terms(seed)
    }
}

#[test]
fn five_hundred_large_changes_over_the_real_ring() {
    let (from, seeds) = (number("CATCH_UP_FROM", 0), number("CATCH_UP_RING_SEEDS", 2));
    for seed in from..from + seeds {
        let (what, figures) = play(seed, on_ring(seed), Faults::default());
        println!("seed {seed}: {figures:?} {}", what.as_deref().unwrap_or(""));
        assert_eq!(what, None, "seed {seed}");
    }
}

#[test]
fn one_that_was_just_made_a_member_over_the_real_ring_does_not_lead_before_it_holds_all() {
    let terms = Terms {
        real_ring: true,
        ..struck(0)
    };
    let (what, figures) = play(0, terms, Faults::default());
    println!("{figures:?}");
    assert_eq!(what, None);
}

#[test]
fn a_real_ring_that_is_never_written_anew_is_found() {
    found(
        0,
        on_ring,
        Faults {
            never_compacts: true,
            ..Faults::default()
        },
    );
}

#[test]
fn a_real_ring_released_before_it_is_written_anew_is_found() {
    found(
        7,
        on_ring,
        Faults {
            releases_early: true,
            ..Faults::default()
        },
    );
}

#[test]
fn a_sync_of_the_real_ring_that_counts_though_it_failed_is_found() {
    found(
        1,
        |seed| Terms {
            disk_fails: 5,
            ..on_ring(seed)
        },
        Faults {
            disk_lies: true,
            ..Faults::default()
        },
    );
}
