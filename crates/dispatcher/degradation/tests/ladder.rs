//! Levels without decisions: readings made for the test go in, changes come out.

use degradation::{Bounds, Cause, Change, Gauge, Ladder, Level, Readings, Spec};
use dispatch_api::{AdmissionPolicy, ClassAdmission, Micros};
use proptest::prelude::*;

const S: Micros = 1_000_000;

fn level(name: &str, wait: f64, lost: f64) -> Level {
    Level {
        name: name.into(),
        enter: Bounds(vec![(Gauge::Wait, wait), (Gauge::Lost, lost)]),
        enter_for: S,
        leave: Bounds(vec![(Gauge::Wait, wait / 2.0), (Gauge::Lost, lost / 2.0)]),
        leave_for: 10 * S,
        terms: AdmissionPolicy {
            classes: vec![ClassAdmission::default()],
            max_open_jobs: 10,
            min_backlog: 0,
            retry_after: S,
        },
    }
}

fn spec() -> Spec {
    Spec {
        look: S / 10,
        settle_in: 5 * S,
        usual_half_life: 600 * S,
        short: 2 * S,
        long: 8 * S,
        least: 20,
        step: 3 * S,
        relapse: 60 * S,
        forgive: 300 * S,
        hold_most: 60 * S,
        history: 32,
        force_most: 3_600 * S,
        levels: vec![
            level("one", 100.0, 0.2),
            level("two", 400.0, 0.5),
            level("three", 900.0, 0.8),
        ],
    }
}

struct Bench {
    spec: Spec,
    ladder: Ladder,
    now: Micros,
    readings: Readings,
}

impl Bench {
    fn new() -> Self {
        Bench {
            spec: spec(),
            ladder: Ladder::default(),
            now: 0,
            readings: Readings::default(),
        }
    }

    fn read(&mut self) -> Option<Change> {
        self.ladder.read(&self.spec, self.now, Some(&self.readings))
    }

    /// Holds these readings for so long; the changes.
    fn hold(&mut self, wait: f64, lost: f64, span: Micros) -> Vec<Change> {
        (self.readings.wait, self.readings.lost) = (wait, lost);
        let end = self.now + span;
        let mut changes = vec![];
        while self.now < end {
            changes.extend(self.read());
            self.now += self.spec.look;
        }
        changes
    }

    fn levels(changes: &[Change]) -> Vec<&str> {
        changes.iter().map(|c| c.to.as_str()).collect()
    }
}

#[test]
fn a_level_is_entered_after_its_time_a_step_at_a_time_and_left_after_a_longer_one() {
    let mut bench = Bench::new();
    assert_eq!(bench.hold(150.0, 0.0, S / 2), [], "not for long enough");
    assert_eq!(bench.hold(50.0, 0.0, S / 2), []);
    let up = bench.hold(2_000.0, 0.0, 3 * S);
    assert_eq!(
        Bench::levels(&up),
        ["one"],
        "one step, though all bounds are passed"
    );
    assert_eq!(
        up[0].cause,
        Cause::Reached {
            gauge: Gauge::Wait,
            value: 2_000.0,
            bound: 100.0
        }
    );
    assert_eq!(
        Bench::levels(&bench.hold(2_000.0, 0.0, 10 * S)),
        ["two", "three"]
    );
    let down = bench.hold(0.0, 0.0, 9 * S);
    assert_eq!(down, [], "not quiet for long enough");
    assert_eq!(
        Bench::levels(&bench.hold(0.0, 0.0, 25 * S)),
        ["two", "one", "full"]
    );
}

/// Guards against steps taken one by one while a part of the fleet is gone.
#[test]
fn lost_capacity_leads_straight_to_the_level_that_fits() {
    let mut bench = Bench::new();
    assert_eq!(Bench::levels(&bench.hold(0.0, 0.6, 2 * S)), ["two"]);
}

/// Guards against a level that comes and goes with each swing of the load.
#[test]
fn a_level_that_comes_again_soon_is_held_longer_each_time_and_forgiven_later() {
    let mut bench = Bench::new();
    let mut held = vec![];
    for _ in 0..5 {
        bench.hold(200.0, 0.0, 2 * S);
        held.push(bench.ladder.hold(&bench.spec, bench.now) / S);
        bench.hold(0.0, 0.0, 70 * S);
        assert_eq!(bench.ladder.in_force(), 0);
    }
    assert_eq!(
        held[..2],
        [10, 10],
        "the second came more than a minute after the first was left"
    );
    let mut bench = Bench::new();
    let mut held = vec![];
    for _ in 0..5 {
        bench.hold(200.0, 0.0, 2 * S);
        let hold = bench.ladder.hold(&bench.spec, bench.now);
        held.push(hold / S);
        bench.hold(0.0, 0.0, hold + S);
        assert_eq!(bench.ladder.in_force(), 0);
    }
    assert_eq!(held[0], 10);
    assert!(
        held.windows(2).all(|w| w[0] <= w[1]) && (40..=60).contains(&held[4]),
        "{held:?}"
    );
    bench.hold(0.0, 0.0, 3_000 * S);
    bench.hold(200.0, 0.0, 2 * S);
    assert_eq!(
        bench.ladder.hold(&bench.spec, bench.now) / S,
        10,
        "it is forgiven"
    );
}

/// Guards against a force that outlives its time, and against one that hides what the figures ask for.
#[test]
fn a_forced_level_ends_by_itself_and_what_the_figures_ask_for_is_in_force_again() {
    let mut bench = Bench::new();
    let change = bench
        .ladder
        .force(&bench.spec, bench.now, Some((3, 5 * S)))
        .unwrap();
    assert_eq!(
        (change.to.as_str(), change.cause),
        ("three", Cause::Forced { until: 5 * S })
    );
    let changes = bench.hold(200.0, 0.0, 10 * S);
    assert_eq!(
        Bench::levels(&changes),
        ["one"],
        "what the figures asked for meanwhile"
    );
    assert_eq!(changes[0].cause, Cause::Expired);
    bench
        .ladder
        .force(&bench.spec, bench.now, Some((0, 100_000 * S)));
    assert_eq!(
        bench.ladder.forced_until(),
        Some(bench.now + 3_600 * S),
        "bounded"
    );
    assert_eq!(
        bench
            .ladder
            .force(&bench.spec, bench.now, None)
            .unwrap()
            .cause,
        Cause::Released
    );
}

/// Guards against a change of level because the file was read again.
#[test]
fn another_specification_keeps_the_level_by_its_name() {
    let mut bench = Bench::new();
    bench.hold(2_000.0, 0.0, 7 * S);
    assert_eq!(bench.ladder.in_force(), 2);
    let mut other = spec();
    other.levels.remove(0);
    assert_eq!(bench.ladder.replace(&bench.spec, &other, bench.now), None);
    assert_eq!(other.name(bench.ladder.in_force()), "two");
    let mut gone = spec();
    gone.levels.retain(|l| l.name == "three");
    let change = bench.ladder.replace(&other, &gone, bench.now).unwrap();
    assert_eq!(
        (change.to.as_str(), change.cause),
        ("full", Cause::Replaced),
        "never to a severer one"
    );
}

#[test]
fn a_fault_is_told_by_its_key() {
    type Spoil = fn(&mut Spec);
    let spoiled: [(Spoil, &str); 7] = [
        (|s| s.look = 0, "look_ms"),
        (|s| s.long = 1, "long_ms"),
        (|s| s.levels[1].name = "one".into(), "level"),
        (|s| s.levels[0].enter.0.clear(), "level.one.enter"),
        (
            |s| s.levels[0].leave.0[0].1 = 100.0,
            "level.one.leave.wait_ms",
        ),
        (|s| s.levels[0].enter.0[1].1 = 1.5, "level.one.enter.lost"),
        (
            |s| s.levels[2].leave_for = 61 * S,
            "level.three.leave.for_ms",
        ),
    ];
    for (spoil, key) in spoiled {
        let mut spec = spec();
        spoil(&mut spec);
        assert_eq!(spec.check().unwrap_err().key, key);
    }
    assert_eq!(spec().check(), Ok(()));
}

proptest! {
    /// Whatever the readings do, and however the time stands still: a step up needs its time, a step down its hold,
    /// one step down at a time, and nothing comes from nowhere.
    #[test]
    fn every_change_has_its_time(steps in prop::collection::vec((0.0..1_500.0f64, 0.0..1.0f64, 0u64..40), 1..200)) {
        let mut bench = Bench::new();
        let mut since = 0;
        let mut level = 0;
        for (wait, lost, looks) in steps {
            (bench.readings.wait, bench.readings.lost) = (wait, lost);
            for _ in 0..=looks {
                let hold = bench.ladder.hold(&bench.spec, bench.now);
                if let Some(change) = bench.read() {
                    let next = bench.spec.find(&change.to).unwrap();
                    prop_assert_eq!(bench.spec.find(&change.from), Some(level));
                    if next > level {
                        let reached = change.cause.figure().is_some_and(|(_, value, bound)| value >= bound);
                        prop_assert!(reached);
                        prop_assert!(level == 0 || lost >= 0.5 || bench.now >= since + bench.spec.step);
                        prop_assert!(next == level + 1 || lost >= 0.5);
                    } else {
                        prop_assert_eq!(next + 1, level);
                        prop_assert!(bench.now >= since + hold && (10 * S..=60 * S).contains(&hold));
                    }
                    (since, level) = (bench.now, next);
                }
                prop_assert!(bench.ladder.changes().count() <= 32);
                bench.now += if looks % 7 == 0 { 0 } else { bench.spec.look };
            }
        }
    }
}
