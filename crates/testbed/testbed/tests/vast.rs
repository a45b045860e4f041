//! Whole failures of a fleet of a hundred dispatchers and sixty boxes, in virtual time, held against fleet-wide bounds.

use rstest::rstest;
use testbed::scale_model::{Row, Story, Terms};

fn play(story: Story, seconds: u64) -> Row {
    let terms = Terms {
        story,
        dispatchers: 100,
        boxes: 60,
        load: 0.5,
        seconds,
        seed: 1,
    };
    let row = terms.play().expect("a usable scenario");
    assert_eq!(
        (row.rules_broken, &row.words),
        (0, &vec![]),
        "no drain, no cold box, no answer, nothing twice: {row:?}"
    );
    // A turn of discovery is 50 ms: it has room for twenty calls a second, and a queue for what a caller waits. Where all
    // watches fall silent at once, each is opened anew within the clock for silence, once.
    let most = if story == Story::Silence { 60 } else { 30 };
    assert!(row.calls_worst_second <= most, "{row:?}");
    assert_eq!(row.never_told, 0, "{row:?}");
    row
}

/// What each does without harm adds up to what discovery and the boxes bear.
#[test]
fn on_a_calm_day_a_hundred_ask_no_more_than_there_is_room_for() {
    let row = play(Story::Calm, 8);
    assert!(row.worth > 0.97 && row.attempts_per_job < 1.35, "{row:?}");
    assert_eq!(
        (row.calls, row.calls_failed, row.probes_per_box_s),
        (100, 0, 0.0),
        "{row:?}"
    );
    assert!(row.connections_per_box_s < 10.0, "{row:?}");
}

/// Guards against a storm of calls by ninety that start within a second while discovery refuses.
#[test]
fn nine_in_ten_dispatchers_restart_from_an_old_list_while_discovery_refuses() {
    let row = play(Story::Herd, 16);
    assert!(
        row.cut_off + row.nobody < row.jobs / 10 && row.worth > 0.9,
        "{row:?}"
    );
    assert!(
        row.calls_failed < 100 && row.stale_for_ms < 16_000,
        "{row:?}"
    );
}

/// Guards against callers that all come back at once to a discovery that was silent; meanwhile all serve on.
#[test]
fn discovery_falls_silent_and_all_callers_wait_for_it() {
    let row = play(Story::Silence, 16);
    assert!(row.worth > 0.97, "the fleet has not changed: {row:?}");
    // Down from 5 s to 13 s. Each first call, one for each 3.5 s of the outage at least, and the one that is answered: 400. All are
    // told within the clock from its return; with paces of up to 20 s it took 320 calls, and the last one 8.7 s.
    assert!(row.calls <= 430, "{row:?}");
    assert!(row.stale_for_ms < 13_000 + 6_000, "{row:?}");
}

#[rstest]
// Most of its boxes fall when it is back: nobody can know that they are cold before the list tells.
#[case::a_zone_is_lost_and_returns_cold(Story::Zone, 0.7, 2.5)]
#[case::six_in_ten_boxes_are_replaced_some_by_bad_ones(Story::Join, 0.75, 2.5)]
#[case::the_list_has_thousands_of_lines(Story::Ghosts, 0.97, 1.35)]
#[case::boxes_are_at_their_connection_limit(Story::Crowded, 0.6, 1.35)]
fn a_failure_of_the_fleet_keeps_every_rule(
    #[case] story: Story,
    #[case] worth: f64,
    #[case] attempts: f64,
) {
    let row = play(story, 14);
    assert!(
        row.worth > worth && row.attempts_per_job < attempts,
        "{row:?}"
    );
    assert_eq!(
        row.calls, 100,
        "it is no reason to ask discovery more often: {row:?}"
    );
}
