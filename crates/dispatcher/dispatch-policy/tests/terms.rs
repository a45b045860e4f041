//! What a level of reduced service asks of the decisions.

mod common;
use common::*;
use dispatch_api::*;
use std::sync::Arc;

fn terms(class: ClassAdmission) -> Event {
    Event::AdmissionChanged(Some(Arc::new(AdmissionPolicy {
        classes: vec![class],
        max_open_jobs: usize::MAX,
        min_backlog: 0,
        retry_after: 1_000 * MS,
    })))
}

fn refusals(actions: &[Action]) -> Vec<Micros> {
    let wait = |a: &Action| match a {
        Action::RejectJob { retry_after, .. } => *retry_after,
        _ => None,
    };
    actions.iter().filter_map(wait).collect()
}

/// Guards against refusals that come late, or bring all clients back together.
#[test]
fn what_a_level_turns_away_is_refused_at_once_with_advice_that_is_spread() {
    let mut rig = Rig::new(settings(vec![safe(), unsafe_class()]), 4);
    rig.event(terms(ClassAdmission {
        admitted_share: 0.0,
        ..ClassAdmission::default()
    }));
    let waits: Vec<Micros> = (0..50)
        .flat_map(|id| refusals(&rig.job(id, 0, 1.0)))
        .collect();
    assert_eq!(waits.len(), 50);
    assert!(waits.iter().all(|w| (500 * MS..=1_500 * MS).contains(w)));
    assert!(
        waits.iter().max() > waits.iter().min().map(|w| *w + 500 * MS).as_ref(),
        "{waits:?}"
    );
    assert_eq!(
        pushes(&rig.job(60, 1, 1.0)).len(),
        1,
        "another class is served"
    );
    let counts = rig.d.metrics().classes;
    assert_eq!(
        (
            counts[0].rejected_by_level,
            counts[0].over,
            counts[1].rejected_by_level
        ),
        (50, 0, 0)
    );
    rig.event(Event::AdmissionChanged(None));
    assert_eq!(pushes(&rig.job(61, 0, 1.0)).len(), 1);
}

#[test]
fn a_share_is_a_share_and_large_jobs_go_first() {
    let mut rig = Rig::new(settings(vec![safe()]), 20);
    rig.event(terms(ClassAdmission {
        admitted_share: 0.25,
        max_slots: 2.0,
        ..ClassAdmission::default()
    }));
    let sent = (0..40)
        .filter(|id| !pushes(&rig.job(*id, 0, 1.0)).is_empty())
        .count();
    assert_eq!(sent, 10);
    let large: Vec<_> = (100..110)
        .flat_map(|id| answers(&rig.job(id, 0, 4.0)))
        .collect();
    assert_eq!(large.len(), 10);
}

/// Guards against a level that is still in force between two peaks and costs what could be served.
#[test]
fn without_pressure_a_level_turns_nothing_away() {
    let mut rig = Rig::new(settings(vec![safe()]), 2);
    let class = ClassAdmission {
        admitted_share: 0.0,
        ..ClassAdmission::default()
    };
    let terms = AdmissionPolicy {
        classes: vec![class],
        max_open_jobs: usize::MAX,
        min_backlog: 300 * MS,
        retry_after: 1_000 * MS,
    };
    rig.event(Event::AdmissionChanged(Some(Arc::new(terms))));
    let mut rejected_by_level = None;
    for id in 0..60 {
        if !answers(&rig.job(id, 0, 1.0)).is_empty() {
            rejected_by_level = rejected_by_level.or(Some(id));
        }
    }
    assert!(
        rejected_by_level.is_some_and(|first| first > 8),
        "all slots first, then some that wait: {rejected_by_level:?}"
    );
}

/// Guards against held jobs that a level forgets, and against a refusal of what may have run.
#[test]
fn a_level_treats_what_is_held_but_not_what_may_have_run() {
    let class = JobClass {
        client_timeout: 60_000 * MS,
        ..keyed(DeduplicationScope::Zone)
    };
    let mut rig = Rig::new(settings(vec![class]), 1);
    rig.expires_in = 60_000 * MS;
    let sent = pushes(&rig.job(1, 0, 1.0));
    let mut held: Vec<u64> = (2..30)
        .filter(|id| pushes(&rig.job(*id, 0, 1.0)).is_empty())
        .collect();
    rig.now += 20 * MS;
    // It may have run, and waits for a second attempt where a repeat is dropped.
    let again = rig.ended(1, 0, sent[0].1, Outcome::Reset);
    assert_eq!(answers(&again), []);
    let exposed_is_out = pushes(&again).iter().any(|(id, _)| *id == 1);
    let mut refused: Vec<(u64, bool)> = answers(&rig.event(terms(ClassAdmission {
        admitted_share: 0.0,
        ..ClassAdmission::default()
    })));
    refused.sort_unstable();
    held.retain(|id| !pushes(&again).iter().any(|(sent, _)| sent == id));
    assert_eq!(
        refused,
        held.iter().map(|id| (*id, true)).collect::<Vec<_>>()
    );
    assert!(exposed_is_out || refused.iter().all(|(id, _)| *id != 1));
}

#[test]
fn a_job_is_held_no_longer_than_its_level_lets_it() {
    let mut rig = Rig::new(settings(vec![safe()]), 1);
    let full = (0..20)
        .find(|id| pushes(&rig.job(*id, 0, 1.0)).is_empty())
        .expect("slots run out");
    rig.event(terms(ClassAdmission {
        max_hold: Some(50 * MS),
        ..ClassAdmission::default()
    }));
    rig.job(100, 0, 1.0);
    let mut refused = vec![];
    for _ in 0..30 {
        refused.extend(answers(&rig.after(2 * MS)));
    }
    assert_eq!(refused, [(full, true), (100, true)]);
}

/// Guards against boxes that accept and answer nothing, and go on counting as capacity.
#[test]
fn a_worker_that_owes_a_word_for_too_long_is_silent_until_it_speaks() {
    let mut s = settings(vec![safe()]);
    s.progress_every = Some(1_000 * MS);
    let mut rig = Rig::new(s, 1);
    let sent = pushes(&rig.job(1, 0, 1.0));
    let silent = |rig: &Rig| rig.d.metrics().kinds[0].unresponsive;
    rig.started(1, 0, sent[0].1);
    rig.after(1_400 * MS);
    assert_eq!(silent(&rig), 0.0);
    rig.after(400 * MS);
    assert_eq!(silent(&rig), 1.0);
    rig.ended(1, 0, sent[0].1, Outcome::TimedOut);
    assert_eq!(silent(&rig), 1.0, "that nobody waits any longer is no word");
    rig.event(Event::ProbeEnded {
        worker: sent[0].1,
        outcome: Outcome::Done,
        report: None,
    });
    assert_eq!(silent(&rig), 0.0);
}
