//! A fleet larger than a look whose list tells no loads: a dispatcher knows those that it asks, and these only for a moment.

mod common;

use common::*;
use dispatch_api::*;

const WORKERS: u32 = 60;

fn few_known(reports: LoadReporting) -> Settings {
    let mut config = settings(vec![safe()]);
    (
        config.dispatchers,
        config.reports,
        config.limits.probe_price,
    ) = (100, reports, 0.01);
    config
}

fn free(slots: f64) -> LoadReport {
    LoadReport {
        free_slots: Some(slots),
        ..LoadReport::default()
    }
}

fn held(jobs: f64, queued: f64) -> LoadReport {
    LoadReport {
        outstanding: Some(jobs),
        queued: Some(queued),
        ..LoadReport::default()
    }
}

/// Found on kr-ledger with 300 dispatchers: jobs waited half a run for homes of which nobody was asked, or went to whoever was
/// asked at random; four in ten of what was called off lay in the queues of one key's homes (post-receipt served 0.34).
#[test]
fn the_homes_of_a_key_are_asked_one_after_the_other_and_the_first_with_room_gets_the_job() {
    let mut homes = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut rig = Rig::seeded(few_known(LoadReporting::Probes), WORKERS, seed);
        rig.key = Some(9);
        let taken = rig.job(1, 0, 1.0);
        let (asked, done) = rig.answer_probes(taken, |_| free(3.0));
        assert_eq!(
            (asked.len(), pushes(&done)),
            (1, vec![(1, asked[0])]),
            "one question is enough"
        );
        rig.ended(1, 0, asked[0], Outcome::Done);
        rig.now += 5_000 * MS;
        let taken = rig.job(2, 0, 1.0);
        let full = asked[0];
        let (asked, done) = rig.answer_probes(taken, |w| free(if w == full { 0.0 } else { 3.0 }));
        assert_eq!(
            (asked[0], asked.len()),
            (full, 2),
            "the second only once the first is full"
        );
        assert_eq!(pushes(&done), [(2, asked[1])]);
        homes.insert((asked[0], asked[1]));
    }
    assert_eq!(homes.len(), 1, "the same at every dispatcher: {homes:?}");
}

#[test]
fn a_job_does_not_go_to_whoever_is_known_before_its_home_was_asked() {
    for key in 0..20 {
        let mut other = Rig::new(few_known(LoadReporting::Probes), WORKERS);
        other.key = Some(key);
        let taken = other.job(1, 0, 1.0);
        let home = other.answer_probes(taken, |_| free(3.0)).0[0];
        let mut rig = Rig::new(few_known(LoadReporting::Probes), WORKERS);
        rig.key = Some(1_000);
        let taken = rig.job(1, 0, 1.0);
        let (known, _) = rig.answer_probes(taken, |_| free(3.0));
        rig.key = Some(key);
        let taken = rig.job(2, 0, 1.0);
        if known[0] != home {
            assert_eq!((known.len(), pushes(&taken)), (1, vec![]), "key {key}");
        }
        let (_, done) = rig.answer_probes(taken, |_| free(3.0));
        assert_eq!(pushes(&done), [(2, home)], "key {key}");
    }
}

/// Found on a deployment of our own whose reports name no free slots (calm served 0.53, picks at random 0.72): nothing was
/// learned from them, and each job was held for news that could not come.
#[test]
fn where_no_report_names_free_slots_what_is_held_says_who_has_room() {
    for reports in [LoadReporting::Probes, LoadReporting::Outcomes] {
        let mut rig = Rig::new(few_known(reports), WORKERS);
        let load = |w: WorkerId| {
            if w.0.is_multiple_of(3) {
                held(1.0, 0.0)
            } else {
                held(9.0, 5.0)
            }
        };
        let mut sent = 0;
        for id in 0..60 {
            rig.now += 500 * MS;
            let taken = rig.job(id, 0, 1.0);
            let (asked, done) = rig.answer_probes(taken, load);
            for (job, worker) in pushes(&done).into_iter().filter(|_| !asked.is_empty()) {
                assert_eq!(worker.0 % 3, 0, "{reports:?}: {asked:?}");
                rig.started(job, 0, worker);
                rig.ended(job, 0, worker, Outcome::Done);
                sent += 1;
            }
        }
        assert!(sent >= 8, "{reports:?}: {sent}");
    }
}

#[test]
fn slots_are_learned_from_what_runs_where_no_report_names_them() {
    let mut rig = Rig::new(few_known(LoadReporting::Probes), WORKERS);
    rig.key = Some(1);
    let taken = rig.job(0, 0, 1.0);
    // Seven run and two wait: so many slots has a worker of this kind, and one that holds five has room.
    let (asked, _) = rig.answer_probes(taken, |_| held(9.0, 2.0));
    assert!(!asked.is_empty());
    rig.now += 10_000 * MS;
    let taken = rig.job(1, 0, 1.0);
    let (asked, done) = rig.answer_probes(taken, |_| held(5.0, 0.0));
    assert!(pushes(&done).contains(&(1, asked[0])), "{asked:?} {done:?}");
}

#[test]
fn one_absurd_report_does_not_make_a_worker_look_large() {
    let mut rig = Rig::new(few_known(LoadReporting::Probes), WORKERS);
    rig.event(Event::ProbeEnded {
        worker: WorkerId(0),
        outcome: Outcome::Done,
        report: Some(held(1.0e6, 0.0)),
    });
    let slots = rig
        .d
        .metrics()
        .kinds
        .iter()
        .map(|kind| kind.slots)
        .fold(0.0, f64::max);
    assert!(slots <= 5.0, "{slots}");
}
