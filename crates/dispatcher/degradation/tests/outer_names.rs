//! What operators read and write of levels: keys, words, errors and the explanation.

use degradation::{Cause, DegradationConfig, Level, Measurement, Metric, Threshold, Thresholds};
use dispatch_api::{AdmissionPolicy, ClassAdmission, Micros};

const S: Micros = 1_000_000;

#[expect(clippy::too_many_lines, reason = "one configuration with every key")]
fn config() -> DegradationConfig {
    let half = ClassAdmission {
        admitted_share: 0.5,
        max_slots: 2.0,
        max_hold: Some(3 * S),
        reserved_slots: 1.0,
        max_attempts: 1,
    };
    let none = ClassAdmission {
        admitted_share: 0.0,
        ..ClassAdmission::default()
    };
    DegradationConfig {
        poll_interval: S / 10,
        startup_grace: 5 * S,
        baseline_half_life: 600 * S,
        short_window: 2 * S,
        long_window: 8 * S,
        min_samples: 20,
        step_interval: 3 * S,
        relapse_window: 60 * S,
        relapse_half_life: 300 * S,
        max_hold: 60 * S,
        history: 32,
        max_forced: 3_600 * S,
        levels: vec![
            Level {
                name: "trim".into(),
                enter: Thresholds(vec![
                    Threshold {
                        metric: Metric::QueueingDelay,
                        bound: 300.0,
                    },
                    Threshold {
                        metric: Metric::MissedDeadlines(1),
                        bound: 0.25,
                    },
                ]),
                enter_for: S,
                leave: Thresholds(vec![Threshold {
                    metric: Metric::QueueingDelay,
                    bound: 100.0,
                }]),
                leave_for: 10 * S,
                admission: AdmissionPolicy {
                    classes: vec![ClassAdmission::default(), half],
                    max_open_jobs: usize::MAX,
                    min_backlog: 0,
                    retry_after: S,
                },
            },
            Level {
                name: "essential".into(),
                enter: Thresholds(vec![
                    Threshold {
                        metric: Metric::LostCapacity,
                        bound: 0.5,
                    },
                    Threshold {
                        metric: Metric::RejectedAttempts,
                        bound: 0.5,
                    },
                    Threshold {
                        metric: Metric::OpenFlows,
                        bound: 0.9,
                    },
                    Threshold {
                        metric: Metric::Memory,
                        bound: 0.9,
                    },
                    Threshold {
                        metric: Metric::Descriptors,
                        bound: 0.9,
                    },
                ]),
                enter_for: S / 2,
                leave: Thresholds(vec![
                    Threshold {
                        metric: Metric::LostCapacity,
                        bound: 0.25,
                    },
                    Threshold {
                        metric: Metric::Memory,
                        bound: 0.5,
                    },
                ]),
                leave_for: 20 * S,
                admission: AdmissionPolicy {
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
    assert_eq!(config().check(), Ok(()));
    let classes = ["live".to_owned(), "batch".to_owned()];
    insta::assert_snapshot!(config().explain(&classes), @"
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
    insta::assert_snapshot!(config().explain(&[]), @"
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
    let metrics = [
        Metric::QueueingDelay,
        Metric::LostCapacity,
        Metric::MissedDeadlines(0),
        Metric::RejectedAttempts,
        Metric::OpenFlows,
        Metric::Memory,
        Metric::Descriptors,
    ];
    let keys = metrics.map(Metric::key);
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
    let measured = Measurement {
        metric: Metric::LostCapacity,
        value: 0.5,
        bound: 0.2,
    };
    let causes = [
        Cause::Reached(measured),
        Cause::Recovered(measured),
        Cause::Forced { until: 1 },
        Cause::Released,
        Cause::Expired,
        Cause::ConfigReplaced,
    ];
    let words: Vec<_> = causes.iter().map(Cause::word).collect();
    assert_eq!(
        words,
        ["reached", "kept", "forced", "released", "expired", "replaced"]
    );
    let names: Vec<_> = (0..4)
        .map(|level| config().name(level).to_owned())
        .collect();
    assert_eq!(names, ["full", "trim", "essential", "full"]);
    assert_eq!(config().find("full"), Some(0));
    assert_eq!(config().find("essential"), Some(2));
    assert_eq!(config().find("other"), None);
}

#[test]
fn errors_of_a_configuration_have_these_texts() {
    type Spoil = fn(&mut DegradationConfig);
    let spoiled: [Spoil; 17] = [
        |s| s.poll_interval = 0,
        |s| s.short_window = 0,
        |s| s.long_window = 0,
        |s| s.baseline_half_life = 0,
        |s| s.relapse_half_life = 0,
        |s| s.max_forced = 0,
        |s| s.short_window = 9 * S,
        |s| s.long_window = 1_001 * S,
        |s| s.levels = vec![s.levels[0].clone(); 9],
        |s| s.history = 1_001,
        |s| s.levels[1].name = "trim".into(),
        |s| s.levels[1].name = "auto".into(),
        |s| s.levels[0].enter.0.clear(),
        |s| s.levels[0].leave_for = 61 * S,
        |s| s.levels[1].enter.0[0].bound = 1.5,
        |s| s.levels[0].leave.0[0].metric = Metric::OpenFlows,
        |s| s.levels[0].leave.0[0].bound = 300.0,
    ];
    let texts = spoiled.map(|spoil| {
        let mut config = config();
        spoil(&mut config);
        config.check().expect_err("unusable").to_string()
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
