//! Levels against whole failures, in virtual time: the program's own reducer and decisions before modelled boxes.

use degradation::DegradationConfig;
use dispatch_api::Micros;
use dispatcher_settings::operator::OperatorConfig;
use dispatcher_state::Input;
use rstest::rstest;
use std::path::Path;
use std::sync::Arc;
use testbed::load_sweep::Swings;
use testbed::model::{run, LevelChange, Outcomes};
use testbed::scenario::{Fault, Scenario, SECOND};

/// The levels that the repository ships.
fn shipped() -> Arc<DegradationConfig> {
    let path = Path::new(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../../deploy/fordrelay.hcl"
    ));
    let (operator, source) = OperatorConfig::load(path).expect("the shipped file");
    let classes = Scenario::league(1, 1)
        .classes
        .iter()
        .map(|c| c.name.to_owned())
        .collect::<Vec<_>>();
    Arc::new(
        operator
            .degradation(&classes, &source)
            .expect("sound")
            .expect("levels"),
    )
}

fn play(scenario: &Scenario, seed: u64) -> Outcomes {
    let outcomes = run(scenario, Some(&shipped()), seed, 0, &[]).expect("a usable scenario");
    assert_eq!(outcomes.broken, (0, vec![]));
    outcomes
}

fn at(load: f64, seconds: Micros) -> Scenario {
    let mut scenario = Scenario::league(8, 2);
    (scenario.load, scenario.end) = (vec![(0, load)], seconds * SECOND);
    scenario
}

fn names(changes: &[LevelChange], dispatcher: u32) -> Vec<&str> {
    changes
        .iter()
        .filter(|c| c.dispatcher == dispatcher)
        .map(|c| c.to.as_str())
        .collect()
}

/// Swings of the load: no more than one change in each, worth no lower and settle served far better than without.
#[rstest]
#[case::with_all_boxes(false)]
#[case::while_a_quarter_dies(true)]
fn swings_of_the_load_change_the_level_once_at_most(#[case] quarter_dies: bool) {
    let seeds = vec![3, 4];
    let (low, high, period) = (0.6, 1.4, 20 * SECOND);
    let swings = Swings {
        boxes: 8,
        dispatchers: 2,
        low,
        high,
        period,
        count: 4,
        seeds,
    };
    let summary = swings
        .model(&shipped(), &[quarter_dies])
        .expect("a usable scenario");
    assert_eq!(summary.rules_broken, 0);
    assert!(summary.level_changes >= 2, "levels are entered at all");
    assert!(summary.most_changes_in_a_swing <= 1, "{summary}");
    assert!(summary.worth_gain.0 >= -summary.noise, "{summary}");
    let out = |shares: &std::collections::BTreeMap<String, f64>| 1.0 - shares["settle"];
    assert!(
        out(&summary.in_time_on) <= out(&summary.in_time_off) / 2.0,
        "{summary}"
    );
}

/// Swings that are faster than any level can help against must not drag it along.
#[test]
fn fast_swings_do_not_drag_the_level_along() {
    let scenario = Scenario::league(8, 2).swing(0.5, 1.3, 4 * SECOND, 15);
    let outcomes = play(&scenario, 5);
    for dispatcher in 0..2 {
        assert!(
            names(&outcomes.changes, dispatcher).len() <= 2,
            "{:?}",
            outcomes.changes
        );
    }
}

/// At a load that the fleet bears nothing changes: not at the start, not by an old list, not when a box is replaced.
#[test]
fn a_bearable_evening_stays_at_full_service() {
    // With more, jobs do wait at the start: a target is believed to have four slots until reports say otherwise.
    let mut scenario = at(0.5, 60);
    scenario.faults = vec![
        (20 * SECOND, 1, Fault::Drain),
        (24 * SECOND, 1, Fault::Kill),
        (26 * SECOND, 1, Fault::Start),
    ];
    let outcomes = play(&scenario, 1);
    assert_eq!(outcomes.changes, []);
    assert!(outcomes.worth > 0.85, "{}", outcomes.worth);
}

/// Boxes that accept and answer nothing, one after the other, count as lost though discovery calls them ready.
#[test]
fn boxes_that_hang_a_few_at_a_time_count_as_lost() {
    let mut scenario = at(0.6, 60);
    for (n, at) in [(1, 20), (3, 24), (5, 28)] {
        scenario.faults.push((at * SECOND, n, Fault::Hang));
    }
    let outcomes = play(&scenario, 2);
    let lost = |c: &&LevelChange| c.to == "trim" || c.to == "narrow";
    let first = outcomes
        .changes
        .iter()
        .find(lost)
        .expect("a level is entered");
    assert!(
        first.at > 20 * SECOND && first.at < 45 * SECOND,
        "{first:?}"
    );
    let silent = outcomes
        .samples
        .iter()
        .map(|s| s.readings.unresponsive)
        .fold(0.0, f64::max);
    assert!(silent >= 2.0, "{silent} were seen to be silent");
}

/// Most of the fleet is gone at once: the level that fits is entered without the steps between.
#[test]
fn a_fleet_that_vanishes_leads_straight_to_the_level_that_fits() {
    let mut scenario = at(0.4, 60);
    scenario.faults = (0..5).map(|n| (30 * SECOND, n, Fault::Kill)).collect();
    let outcomes = play(&scenario, 1);
    for dispatcher in 0..2 {
        let levels = names(&outcomes.changes, dispatcher);
        assert!(
            matches!(levels.first(), Some(&"narrow" | &"core")),
            "{:?}",
            outcomes.changes
        );
    }
}

/// A ready list that flaps: a box that comes and goes every few seconds.
#[test]
fn a_list_that_flaps_does_not_drag_the_level_along() {
    let mut scenario = at(0.55, 80);
    for n in 0..12 {
        scenario.faults.push((
            (15 + 5 * n) * SECOND,
            2,
            if n % 2 == 0 {
                Fault::Kill
            } else {
                Fault::Start
            },
        ));
    }
    let outcomes = play(&scenario, 3);
    for dispatcher in 0..2 {
        assert!(
            names(&outcomes.changes, dispatcher).len() <= 2,
            "{:?}",
            outcomes.changes
        );
    }
}

/// One class alone is too much: the others stay served.
#[test]
fn one_class_that_overflows_does_not_take_settle_with_it() {
    let mut scenario = at(1.5, 60);
    scenario.classes[0].share = 3.0;
    let with = play(&scenario, 1);
    assert!(with.classes[2].share() > 0.85, "{:?}", with.classes);
}

/// The operators replace the levels by worse ones under load, force one, and let it run out.
#[test]
fn what_operators_do_under_load_breaks_no_rule_and_ends() {
    let mut worse = (*shipped()).clone();
    for level in &mut worse.levels {
        for class in &mut level.admission.classes {
            class.admitted_share = 0.0;
        }
        level.admission.min_backlog = 0;
    }
    let operators = [
        (25 * SECOND, Input::LevelsReplaced(Some(Arc::new(worse)))),
        (30 * SECOND, Input::LevelForced(Some((0, 10 * SECOND)))),
        (45 * SECOND, Input::LevelsReplaced(Some(shipped()))),
        (50 * SECOND, Input::LevelsReplaced(None)),
    ];
    let scenario = at(1.2, 60);
    let outcomes = run(&scenario, Some(&shipped()), 1, 0, &operators).expect("a usable scenario");
    assert_eq!(outcomes.broken, (0, vec![]));
    let seen = names(&outcomes.changes, 0);
    assert_eq!(
        seen[..3],
        ["trim", "full", "trim"],
        "{:?}",
        outcomes.changes
    );
    let full = outcomes
        .changes
        .iter()
        .filter(|c| c.dispatcher == 0)
        .nth(2)
        .expect("the force runs out");
    assert!((40 * SECOND..42 * SECOND).contains(&full.at), "{full:?}");
}
