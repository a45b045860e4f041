//! A hundred dispatchers before sixty workers: what each does, and what comes of it when all do it.

mod common;

use common::*;
use dispatch_api::*;
use std::collections::BTreeMap;

const DISPATCHERS: u32 = 100;
const WORKERS: u32 = 60;
const SIZE: f64 = 7.5;

fn many_told() -> Settings {
    let mut config = settings(vec![safe()]);
    (config.dispatchers, config.live_weights) = (DISPATCHERS, true);
    (config.reports, config.limits.probe_price) = (LoadReporting::Probes, 0.0044);
    config
}

/// All idle but those below `busy`, which held three requests for each core.
fn list(busy: u32) -> Vec<WorkerEntry> {
    let weight = |w: u32| Some(if w < busy { SIZE / 4.0 } else { SIZE });
    (0..WORKERS)
        .map(|w| WorkerEntry {
            weight: weight(w),
            ..listing(w)
        })
        .collect()
}

#[test]
fn a_list_that_all_have_does_not_send_the_jobs_of_all_to_the_same_few() {
    // Found on join+vast: pushes swung from the one half of the fleet to the other with each list, 40 queued here
    // and none there.
    let mut sent: BTreeMap<bool, usize> = BTreeMap::new();
    for seed in 0..u64::from(DISPATCHERS) {
        let mut rig = Rig::seeded(many_told(), 0, seed);
        rig.list(ListUpdateKind::Inherited, list(0));
        rig.list(ListUpdateKind::Incremental, list(48));
        for id in 0..3 {
            rig.now += 100 * MS;
            let pushed = pushes(&rig.job(id, 0, 1.0));
            assert_eq!(
                pushed.len(),
                1,
                "there is room at some worker, and nothing to wait for"
            );
            *sent.entry(pushed[0].1 .0 < 48).or_default() += 1;
        }
    }
    let (busy, idle) = (sent[&true] as f64 / 48.0, sent[&false] as f64 / 12.0);
    assert!(
        idle > 1.5 * busy,
        "the idle ones take more each: {idle} {busy}"
    );
    assert!(
        idle < 10.0,
        "of 300 jobs, 60 workers and twice as many as fill them: {idle} {busy}"
    );
}

#[test]
fn in_a_fleet_larger_than_a_look_a_job_with_a_key_goes_to_a_home_at_once() {
    // Found on all large days: a look drew 12 of 60 workers, and jobs waited until one of theirs was among them.
    let mut rig = Rig::new(many_told(), 0);
    rig.list(ListUpdateKind::Inherited, list(0));
    rig.list(ListUpdateKind::Incremental, list(0));
    let mut homes: BTreeMap<u64, Vec<WorkerId>> = BTreeMap::new();
    for id in 0..60 {
        rig.now += 1_000 * MS;
        rig.key = Some(id % 6);
        let pushed = pushes(&rig.job(id, 0, 1.0));
        assert_eq!(pushed.len(), 1, "job {id} waits");
        homes.entry(id % 6).or_default().push(pushed[0].1);
        rig.ended(id, 0, pushed[0].1, Outcome::Done);
    }
    for (key, at) in homes {
        assert!(
            at.iter().filter(|w| **w == at[0]).count() >= 8,
            "key {key} has a home: {at:?}"
        );
    }
}

#[test]
fn a_late_start_is_not_called_off_where_the_list_shows_no_room_elsewhere() {
    let mut rig = Rig::new(many_told(), 0);
    rig.list(ListUpdateKind::Inherited, list(0));
    rig.list(ListUpdateKind::Incremental, list(0));
    let (_, first) = pushes(&rig.job(1, 0, 1.0))[0];
    // All others are cold and have just been sent to.
    let started = Some(rig.now);
    let cold = (0..WORKERS).filter(|w| WorkerId(*w) != first);
    rig.list(
        ListUpdateKind::Incremental,
        cold.map(|w| WorkerEntry {
            started,
            weight: Some(0.01),
            ..listing(w)
        })
        .collect(),
    );
    for _ in 0..390 {
        assert!(
            cancels(&rig.after(MS)).is_empty(),
            "it would lose its place in the queue for nothing"
        );
    }
}

#[test]
fn a_weight_that_is_none_counts_as_none() {
    let mut rig = Rig::new(many_told(), 0);
    rig.list(ListUpdateKind::Inherited, list(0));
    for weight in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1.0e300] {
        let odd = (0..WORKERS)
            .map(|w| WorkerEntry {
                weight: Some(weight),
                ..listing(w)
            })
            .collect();
        rig.list(ListUpdateKind::Incremental, odd);
        rig.now += 100 * MS;
        assert_eq!(
            pushes(&rig.job(weight.to_bits(), 0, 1.0)).len(),
            1,
            "{weight}"
        );
    }
}

#[test]
fn jobs_with_a_choice_leave_the_kind_that_others_are_bound_to_while_the_rest_has_room() {
    // Found on all large days: settle, which runs on one kind alone, waited there behind jobs that run anywhere.
    let mut config = many_told();
    config.classes.push(JobClass {
        kind: Some(1),
        ..unsafe_class()
    });
    for (busy, least, most) in [(0, 0, 0), (WORKERS, 10, 60)] {
        let kinds = |l: WorkerEntry| WorkerEntry {
            kind: l.worker.0 % 2,
            ..l
        };
        let mut rig = Rig::new(config.clone(), 0);
        rig.list(
            ListUpdateKind::Inherited,
            list(0).into_iter().map(kinds).collect(),
        );
        rig.list(
            ListUpdateKind::Incremental,
            list(busy).into_iter().map(kinds).collect(),
        );
        let mut bound = 0;
        for id in 0..60 {
            rig.now += 10 * MS;
            rig.key = Some(id);
            let pushed = pushes(&rig.job(id, 0, 1.0));
            bound += pushed.iter().filter(|(_, w)| w.0 % 2 == 1).count();
            rig.ended(id, 0, pushed[0].1, Outcome::Done);
        }
        assert!(
            (least..=most).contains(&bound),
            "{busy} busy: {bound} of 60"
        );
        rig.key = None;
        assert!(
            pushes(&rig.job(100, 1, 1.0))
                .iter()
                .all(|(_, w)| w.0 % 2 == 1),
            "it has no other place"
        );
    }
}

#[test]
fn in_a_full_fleet_a_job_that_waits_until_it_is_late_is_given_up_at_once() {
    // Found on join+vast: with six in ten workers cold each job waited for all before it, and half were late.
    for (busy, given_up) in [(WORKERS, true), (0, false)] {
        let mut config = many_told();
        config.classes.push(JobClass {
            kind: Some(0),
            ..unsafe_class()
        });
        config.classes.push(keyed(DeduplicationScope::Zone));
        let mut rig = Rig::new(config, 0);
        rig.list(ListUpdateKind::Inherited, list(0));
        rig.list(ListUpdateKind::Incremental, list(busy));
        let (_, started) = pushes(&rig.job(2, 0, 1.0))[0];
        rig.started(2, 0, started);
        let mut at = BTreeMap::new();
        for (id, class) in [(3, 1), (4, 2), (1, 0)] {
            at.extend(pushes(&rig.job(id, class, 1.0)));
        }
        assert_eq!(at.len(), 3);
        let (mut said, mut called_off) = (vec![], vec![]);
        for _ in 0..2_000 {
            let actions = rig.after(MS);
            said.extend(answers(&actions));
            for (id, attempt) in cancels(&actions) {
                called_off.push(id);
                at.extend(pushes(&rig.ended(id, attempt, at[&id], Outcome::Cancelled)));
            }
        }
        let told = |id| {
            said.iter()
                .find(|(job, _)| *job == id)
                .map(|(_, refused)| *refused)
        };
        assert_eq!(told(1), given_up.then_some(true), "safe to repeat: refused");
        assert_eq!(
            told(4),
            given_up.then_some(false),
            "it may have run there: failed"
        );
        assert_eq!(
            [told(2), told(3)],
            [None, None],
            "one runs, one has no other place"
        );
        assert!(
            !called_off.contains(&2) && !called_off.contains(&3),
            "{called_off:?}"
        );
    }
}

#[test]
fn two_workers_that_are_not_reached_have_a_dispatcher_leave_their_zone() {
    // Found on zone+vast: 200 attempts a second went to a zone that was lost, until each of a hundred dispatchers had
    // failed at each of thirty workers; jobs had spent their three attempts after half a second.
    let zones = |l: WorkerEntry| WorkerEntry {
        zone: l.worker.0 % 2,
        ..l
    };
    let mut rig = Rig::new(many_told(), 0);
    rig.list(
        ListUpdateKind::Inherited,
        list(0).into_iter().map(zones).collect(),
    );
    rig.list(
        ListUpdateKind::Incremental,
        list(0).into_iter().map(zones).collect(),
    );
    let (mut failed, mut late) = (0, 0);
    for id in 0..100 {
        rig.now += 100 * MS;
        rig.key = Some(id);
        let mut pushed = pushes(&rig.job(id, 0, 1.0));
        let mut attempt = 0;
        while let Some((_, worker)) = pushed.first().copied().filter(|(_, w)| w.0 % 2 == 1) {
            (failed, late) = (failed + 1, late + u32::from(id >= 10));
            pushed = pushes(&rig.ended(id, attempt, worker, Outcome::ConnectFailed));
            attempt += 1;
        }
        let (_, worker) = pushed[0];
        rig.started(id, attempt, worker);
        rig.ended(id, attempt, worker, Outcome::Done);
    }
    assert!(
        (2..=8).contains(&failed) && late <= 3,
        "{failed} failed, {late} of them late"
    );
    // It comes back: a list says that its workers have started anew.
    let started = Some(rig.now - 30_000 * MS);
    rig.list(
        ListUpdateKind::Incremental,
        list(0)
            .into_iter()
            .map(zones)
            .map(|l| WorkerEntry { started, ..l })
            .collect(),
    );
    let mut back = 0;
    for id in 100..150 {
        rig.now += 100 * MS;
        rig.key = Some(id);
        let (_, worker) = pushes(&rig.job(id, 0, 1.0))[0];
        back += u32::from(worker.0 % 2 == 1);
        rig.ended(id, 0, worker, Outcome::Done);
    }
    assert!(back >= 15, "{back} of 50");
}
