//! A hundred members in virtual time: what all believe after deaths, restarts, pauses and partitions, with datagrams lost.

use rstest::rstest;
use testbed::members::{run, Fault, Summary, Terms};

const SECOND: u64 = 1_000_000;

fn play(members: u16, loss: f64, seconds: u64, faults: Vec<(u64, Fault)>) -> Summary {
    let faults = faults
        .into_iter()
        .map(|(ms, fault)| (ms * 1_000, fault))
        .collect();
    run(&Terms {
        faults,
        ..Terms::calm(members, loss, seconds, 7)
    })
}

/// All agree within the time that a suspect has, and a round of pings with what it takes to spread.
fn agreed(summary: &Summary, within_ms: u64) {
    let after = summary.agreed_after_ms.unwrap_or(u64::MAX);
    assert!(after <= within_ms, "{summary}");
}

/// What it costs does not grow with the fleet, and a fifth of datagrams lost kills nobody.
#[rstest]
#[case(2, 0.0)]
#[case(16, 0.2)]
#[case(100, 0.2)]
fn without_faults_nobody_is_taken_for_dead(#[case] members: u16, #[case] loss: f64) {
    let summary = play(members, loss, 60, vec![]);
    assert_eq!(summary.false_deaths, 0, "{summary}");
    assert!(
        summary.datagrams_per_member_s < 13.0 && summary.bytes_per_member_s < 500.0,
        "{summary}"
    );
}

#[test]
fn ninety_of_a_hundred_die_within_a_second_and_come_back_some_without_their_notes() {
    let killed = (0..90).map(|m| (5_000 + u64::from(m) * 10, Fault::Kill(m)));
    let back = (0..90).map(|m| (6_000 + u64::from(m) * 10, Fault::Restart(m, m % 3 != 0)));
    agreed(&play(100, 0.2, 60, killed.chain(back).collect()), 20_000);
}

#[test]
fn who_died_is_known_to_all_and_who_came_back_with_the_first_incarnation_too() {
    let dead = play(
        100,
        0.2,
        60,
        (0..10).map(|m| (5_000, Fault::Kill(m))).collect(),
    );
    agreed(&dead, 25_000);
    let mut faults: Vec<(u64, Fault)> = (0..10).map(|m| (5_000, Fault::Kill(m))).collect();
    faults.extend((0..10).map(|m| (35_000, Fault::Restart(m, false))));
    agreed(&play(100, 0.2, 90, faults), 15_000);
}

/// Halves that take each other for dead find each other again.
#[test]
fn a_partition_into_halves_heals() {
    let split = play(100, 0.2, 80, vec![(5_000, Fault::Split(50))]);
    agreed(&split, 60_000);
    agreed(
        &play(
            100,
            0.2,
            140,
            vec![(5_000, Fault::Split(50)), (65_000, Fault::Heal)],
        ),
        60_000,
    );
}

/// A member that was stopped resumes with old beliefs: it is taken for dead, says otherwise, and accuses nobody else.
#[test]
fn a_paused_member_resumes_with_old_beliefs() {
    let summary = play(
        16,
        0.2,
        60,
        vec![(5_000, Fault::Pause(3)), (12_000, Fault::Resume(3))],
    );
    agreed(&summary, 10_000);
    assert_eq!(summary.false_deaths, 0, "{summary}");
}

/// Ways that are closed in one direction: nobody who can be reached through another is taken for dead, and all views are the
/// same soon after the ways are open again. Before, one in twenty ways closed had a hundred members take three for dead in two
/// minutes, whose answers had passed them by.
#[rstest]
#[case::pair(Fault::Cut(3, 4), 60)]
#[case::one_in_twenty(Fault::SomeWays(50), 60)]
#[case::mute(Fault::Mute(3), 40)]
#[case::deaf(Fault::Deaf(3), 40)]
fn ways_closed_one_way_kill_nobody_who_can_be_reached(#[case] fault: Fault, #[case] until: u64) {
    let faults = vec![(5_000, fault), (until * 1_000, Fault::Heal)];
    let summary = play(40, 0.2, until + 20, faults);
    assert_eq!(summary.false_deaths, 0, "{summary}");
    assert!(
        summary.views_equal_ms.is_some_and(|ms| ms < 10_000),
        "{summary}"
    );
}

/// A member that nobody hears learns of it from those that it hears; others don't say so for a lost datagram or two.
#[test]
fn a_mute_member_learns_of_it() {
    let mute = play(16, 0.2, 40, vec![(5_000, Fault::Mute(3))]);
    assert!(mute.unheard >= 1, "{mute}");
    let calm = play(16, 0.2, 60, vec![]);
    assert_eq!(calm.unheard, 0, "{calm}");
}

/// Whoever leaves says so: known to all within three periods, and nobody suspects it.
#[rstest]
#[case(16)]
#[case(100)]
fn who_leaves_is_known_to_all_and_suspected_by_nobody(#[case] members: u16) {
    let summary = play(members, 0.2, 40, vec![(5_000, Fault::Leave(3))]);
    assert!((1..1_500).contains(&summary.left_known_ms), "{summary}");
    assert_eq!(
        (summary.left_suspected, summary.false_deaths),
        (0, 0),
        "{summary}"
    );
}

/// Stopped and going on every two seconds: below the suspicion, the view does not change.
#[test]
fn a_member_that_flaps_changes_no_view() {
    let flaps = (0..10).flat_map(|n| {
        [
            (5_000 + 4_000 * n, Fault::Pause(3)),
            (7_000 + 4_000 * n, Fault::Resume(3)),
        ]
    });
    let summary = play(40, 0.2, 60, flaps.collect());
    assert!(
        summary.false_deaths == 0 && summary.view_changes <= 2,
        "{summary}"
    );
}

#[test]
fn one_seed_has_one_outcome() {
    let once = || {
        serde_json::to_string(&play(
            20,
            0.3,
            20,
            vec![(5 * SECOND / 1_000, Fault::Kill(1))],
        ))
        .unwrap()
    };
    assert_eq!(once(), once());
}
