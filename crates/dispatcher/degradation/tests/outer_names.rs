//! What operators read and write of levels: keys, words, errors and the explanation.

use degradation::{Bounds, Cause, Gauge, Level, Spec};
use dispatch_api::{AdmissionPolicy, ClassAdmission, Micros};

const S: Micros = 1_000_000;

fn spec() -> Spec {
    let half = ClassAdmission {
        admitted_share: 0.5,
        max_slots: 2.0,
        max_hold: Some(3 * S),
        reserved_slots: 1.0,
        max_attempts: 1,
        ..ClassAdmission::default()
    };
    let none = ClassAdmission {
        admitted_share: 0.0,
        ..ClassAdmission::default()
    };
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
            Level {
                name: "trim".into(),
                enter: Bounds(vec![(Gauge::Wait, 300.0), (Gauge::Late(1), 0.25)]),
                enter_for: S,
                leave: Bounds(vec![(Gauge::Wait, 100.0)]),
                leave_for: 10 * S,
                terms: AdmissionPolicy {
                    classes: vec![ClassAdmission::default(), half],
                    max_open_jobs: usize::MAX,
                    min_backlog: 0,
                    retry_after: S,
                },
            },
            Level {
                name: "essential".into(),
                enter: Bounds(vec![
                    (Gauge::Lost, 0.5),
                    (Gauge::Refused, 0.5),
                    (Gauge::Flows, 0.9),
                    (Gauge::Memory, 0.9),
                    (Gauge::Descriptors, 0.9),
                ]),
                enter_for: S / 2,
                leave: Bounds(vec![(Gauge::Lost, 0.25), (Gauge::Memory, 0.5)]),
                leave_for: 20 * S,
                terms: AdmissionPolicy {
                    classes: vec![ClassAdmission::default(), none],
                    max_open_jobs: 100,
                    min_backlog: 2 * S,
                    retry_after: S,
                },
            },
        ],
    }
}

#[test]
fn the_explanation_of_levels_has_this_text() {
    assert_eq!(spec().check(), Ok(()));
    let classes = ["live".to_owned(), "batch".to_owned()];
    insta::assert_snapshot!(spec().explain(&classes), @"
    full: every job is taken
    trim:
      entered after 1 s of: held work, as a wait in ms at least 300, or share of batch not served in time at least 0.25
      left after 10 s of: held work, as a wait in ms at most 100
      live: as at full service
      batch: 50 % of new jobs are taken; none of more than 2 slots; turned away unless sent within 3 s; 1 slots left free where another class is bound to; 1 attempt(s) each
    essential:
      entered after 0.5 s of: share of the usual capacity that is lost at least 0.5, or share of attempts turned away at least 0.5, or share of the flows allowed that is open at least 0.9, or share of the memory allowed that is in use at least 0.9, or share of the descriptors allowed that is in use at least 0.9
      left after 20 s of: share of the usual capacity that is lost at most 0.25, and share of the memory allowed that is in use at most 0.5
      live: as at full service
      batch: no new job is taken
      new jobs are turned away only while held work would take 2 s or more
      no more than 100 flows are open together
    ");
    insta::assert_snapshot!(spec().explain(&[]), @"
    full: every job is taken
    trim:
      entered after 1 s of: held work, as a wait in ms at least 300, or share of ? not served in time at least 0.25
      left after 10 s of: held work, as a wait in ms at most 100
    essential:
      entered after 0.5 s of: share of the usual capacity that is lost at least 0.5, or share of attempts turned away at least 0.5, or share of the flows allowed that is open at least 0.9, or share of the memory allowed that is in use at least 0.9, or share of the descriptors allowed that is in use at least 0.9
      left after 20 s of: share of the usual capacity that is lost at most 0.25, and share of the memory allowed that is in use at most 0.5
      new jobs are turned away only while held work would take 2 s or more
      no more than 100 flows are open together
    ");
}

#[test]
fn keys_and_words_stay() {
    let gauges = [
        Gauge::Wait,
        Gauge::Lost,
        Gauge::Late(0),
        Gauge::Refused,
        Gauge::Flows,
        Gauge::Memory,
        Gauge::Descriptors,
    ];
    let keys = gauges.map(Gauge::key);
    assert_eq!(
        keys,
        [
            "wait_ms",
            "lost",
            "late",
            "refused",
            "flows",
            "memory",
            "descriptors"
        ]
    );
    let (gauge, value, bound) = (Gauge::Lost, 0.5, 0.2);
    let causes = [
        Cause::Reached {
            gauge,
            value,
            bound,
        },
        Cause::Kept {
            gauge,
            value,
            bound,
        },
        Cause::Forced { until: 1 },
        Cause::Released,
        Cause::Expired,
        Cause::Replaced,
    ];
    let words: Vec<_> = causes.iter().map(Cause::word).collect();
    assert_eq!(
        words,
        ["reached", "kept", "forced", "released", "expired", "replaced"]
    );
    let names: Vec<_> = (0..4).map(|level| spec().name(level).to_owned()).collect();
    assert_eq!(names, ["full", "trim", "essential", "full"]);
    assert_eq!(spec().find("full"), Some(0));
    assert_eq!(spec().find("essential"), Some(2));
    assert_eq!(spec().find("other"), None);
}

#[test]
fn errors_of_a_specification_have_these_texts() {
    type Spoil = fn(&mut Spec);
    let spoiled: [Spoil; 17] = [
        |s| s.look = 0,
        |s| s.short = 0,
        |s| s.long = 0,
        |s| s.usual_half_life = 0,
        |s| s.forgive = 0,
        |s| s.force_most = 0,
        |s| s.short = 9 * S,
        |s| s.long = 1_001 * S,
        |s| s.levels = vec![s.levels[0].clone(); 9],
        |s| s.history = 1_001,
        |s| s.levels[1].name = "trim".into(),
        |s| s.levels[1].name = "auto".into(),
        |s| s.levels[0].enter.0.clear(),
        |s| s.levels[0].leave_for = 61 * S,
        |s| s.levels[1].enter.0[0].1 = 1.5,
        |s| s.levels[0].leave.0[0].0 = Gauge::Flows,
        |s| s.levels[0].leave.0[0].1 = 300.0,
    ];
    let texts = spoiled.map(|spoil| {
        let mut spec = spec();
        spoil(&mut spec);
        spec.check().expect_err("unusable").to_string()
    });
    insta::assert_snapshot!(texts.join("\n"), @r#"
    look_ms: must be more than 0
    short_ms: must be more than 0
    long_ms: must be more than 0
    usual_half_life_ms: must be more than 0
    forgive_ms: must be more than 0
    force_most_ms: must be more than 0
    long_ms: look_ms, short_ms and long_ms must not fall in this order
    long_ms: must be no more than 10000 times look_ms
    level: at most 8 levels, not 9
    history: must be no more than 1000
    level: "trim" can't name a level, or names two of them
    level: "auto" can't name a level, or names two of them
    level.trim.enter: needs a bound at least, as in wait_ms = 300
    level.trim.leave.for_ms: must lie between look_ms and hold_most_ms (60000)
    level.essential.enter.lost: must be over 0 and up to 1
    level.trim.leave.flows: bounds a figure that enter does not
    level.trim.leave.wait_ms: must be below the bound for entering, which is 300
    "#);
}
