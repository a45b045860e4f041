//! The ordinary path: back-off, pick and holding; and each failure found, without the bench.

mod common;
use common::*;
use dispatch_api::*;
use std::collections::BTreeMap;

/// The pushes among the actions, or the first to come after them.
fn wait_for_push(rig: &mut Rig, actions: &[Action]) -> Vec<(u64, WorkerId)> {
    let mut sent = pushes(actions);
    while sent.is_empty() {
        sent = pushes(&rig.after(MS));
    }
    sent
}

/// Answers 'full' to job 1 until it has been pushed `n` times; gives the gaps between the pushes.
fn gaps_after_full(rig: &mut Rig, n: usize) -> Vec<Micros> {
    let mut sent = pushes(&rig.job(1, 0, 1.0));
    let (mut last, mut gaps) = (rig.now, Vec::new());
    for attempt in 0..n as u32 {
        let (_, worker) = sent[0];
        let answered = rig.ended(1, attempt, worker, Outcome::Rejected);
        sent = wait_for_push(rig, &answered);
        gaps.push(rig.now - last);
        last = rig.now;
    }
    gaps
}

/// One worker, and jobs with time for a hundred attempts.
fn patient() -> Rig {
    let mut s = settings(vec![safe()]);
    s.limits.attempts = 100;
    s.classes[0].client_timeout = 600_000 * MS;
    Rig {
        expires_in: 600_000 * MS,
        ..Rig::new(s, 1)
    }
}

#[test]
fn backoff_grows_by_the_multiplier_within_its_jitter_up_to_the_cap() {
    let mut rig = patient();
    let gaps = gaps_after_full(&mut rig, 12);
    // Initial interval: a quarter of the mean run, here still the aim of 400 ms; a look comes every 8 ms.
    assert!((100 * MS..=108 * MS).contains(&gaps[0]), "{gaps:?}");
    for pair in gaps.windows(2) {
        let (low, high) = (
            pair[0] * 13 / 10,
            (pair[0] * 26 / 10 + 9 * MS).min(3_209 * MS),
        );
        assert!(
            pair[1] >= low.min(3_200 * MS) && pair[1] <= high,
            "{pair:?} in {gaps:?}"
        );
    }
    let capped = gaps.iter().filter(|g| **g >= 3_200 * MS).count();
    assert!(
        capped >= 2,
        "the cap of 8 mean runs is reached and holds: {gaps:?}"
    );
}

#[test]
fn backoff_falls_after_counted_start_notices_and_ends_at_zero() {
    let mut rig = patient();
    let gaps = gaps_after_full(&mut rig, 1);
    assert!((100 * MS..=108 * MS).contains(&gaps[0]), "{gaps:?}");
    let worker = WorkerId(0);
    rig.started(1, 1, worker);
    rig.now += 400 * MS;
    rig.ended(1, 1, worker, Outcome::Done);
    // Two further successes make three: half of the initial interval is under it, so it is zero.
    for id in 2..4 {
        let (held, taken) = (rig.now, rig.job(id, 0, 1.0));
        wait_for_push(&mut rig, &taken);
        assert!(
            id == 2 || rig.now > held,
            "still spaced before the third success"
        );
        rig.started(id, 0, worker);
    }
    assert_eq!(pushes(&rig.job(4, 0, 1.0)).len(), 1, "unspaced after it");
}

#[test]
fn a_failed_connection_is_a_failure_too_and_an_error_is_not() {
    for (outcome, held) in [(Outcome::ConnectFailed, true), (Outcome::Error, false)] {
        let mut rig = Rig::new(settings(vec![safe()]), 1);
        let (_, worker) = pushes(&rig.job(1, 0, 1.0))[0];
        let next = pushes(&rig.ended(1, 0, worker, outcome));
        assert_eq!(next.is_empty(), held, "{outcome:?}");
    }
}

#[test]
fn a_new_process_starts_with_no_backoff() {
    let mut rig = Rig::new(settings(vec![safe()]), 1);
    let (_, worker) = pushes(&rig.job(1, 0, 1.0))[0];
    assert!(pushes(&rig.ended(1, 0, worker, Outcome::ConnectFailed)).is_empty());
    let back = WorkerEntry {
        started: Some(START - 30_000 * MS),
        ..listing(0)
    };
    assert_eq!(
        pushes(&rig.list(ListUpdateKind::Incremental, vec![back])),
        vec![(1, worker)]
    );
}

#[test]
fn the_pick_is_random_and_weighted_by_room() {
    let mut count = BTreeMap::new();
    let mut rig = Rig::new(settings(vec![safe()]), 3);
    // Worker 0 holds three one-slot jobs, so that it has a quarter of the others' room.
    let mut kept = 0;
    for id in 0..4_000 {
        let Some((_, worker)) = pushes(&rig.job(id, 0, 1.0)).first().copied() else {
            panic!("room is left")
        };
        rig.started(id, 0, worker);
        if worker == WorkerId(0) && kept < 3 {
            kept += 1;
            continue;
        }
        *count.entry(worker).or_insert(0) += 1;
        rig.ended(id, 0, worker, Outcome::Done);
    }
    let share = |w: u32| f64::from(count[&WorkerId(w)]) / 4_000.0;
    assert!((share(0) - 1.0 / 9.0).abs() < 0.03, "{count:?}");
    assert!(
        (share(1) - 4.0 / 9.0).abs() < 0.04 && (share(2) - 4.0 / 9.0).abs() < 0.04,
        "{count:?}"
    );
}

#[test]
fn jobs_without_room_are_held_and_go_out_as_slots_free() {
    let mut rig = Rig::new(settings(vec![safe()]), 1);
    for id in 0..4 {
        assert_eq!(pushes(&rig.job(id, 0, 1.0)).len(), 1);
        rig.started(id, 0, WorkerId(0));
    }
    assert!(
        pushes(&rig.job(9, 0, 1.0)).is_empty(),
        "four slots are taken"
    );
    assert_eq!(
        pushes(&rig.ended(2, 0, WorkerId(0), Outcome::Done)),
        vec![(9, WorkerId(0))]
    );
}

#[test]
fn a_job_that_cannot_be_in_time_is_refused_early_where_late_is_worth_nothing() {
    let mut class = safe();
    class.late_value_share = 0.0;
    let mut rig = Rig::new(settings(vec![class]), 0);
    rig.job(1, 0, 1.0);
    let mut refused = None;
    while refused.is_none() && rig.now < START + 5_000 * MS {
        let actions = rig.after(2 * MS);
        refused = answers(&actions).first().map(|a| (rig.now, *a));
    }
    let (at, answer) = refused.expect("an answer");
    assert_eq!(answer, (1, true));
    assert!(
        (START + 400 * MS..=START + 800 * MS).contains(&at),
        "{}",
        at - START
    );
}

#[test]
fn a_wide_job_waits_for_an_empty_worker_at_first_and_for_less_as_its_time_runs_out() {
    let mut rig = Rig::new(settings(vec![safe()]), 1);
    for id in 0..2 {
        rig.job(id, 0, 1.0);
        rig.started(id, 0, WorkerId(0));
    }
    assert!(
        pushes(&rig.job(10, 0, 4.0)).is_empty(),
        "two slots are taken"
    );
    let mut sent = Vec::new();
    while sent.is_empty() && rig.now < START + 500 * MS {
        sent = pushes(&rig.after(5 * MS));
    }
    assert_eq!(sent, vec![(10, WorkerId(0))]);
    // It waits there for its slots; a narrow job sent after it would wait behind it.
    rig.after(100 * MS);
    assert!(pushes(&rig.job(11, 0, 1.0)).is_empty());
}

#[test]
fn several_dispatchers_are_taken_to_hold_as_much_as_this_one() {
    // Found at size: without reports each worker looked empty but for this dispatcher's own jobs.
    let mut s = settings(vec![safe()]);
    (s.dispatchers, s.reports, s.limits.probe) = (4, LoadReporting::None, false);
    let mut rig = Rig::new(s, 2);
    let sent = (0..8)
        .map(|id| pushes(&rig.job(id, 0, 1.0)).len())
        .sum::<usize>();
    assert!((2..=4).contains(&sent), "{sent}");
}

#[test]
fn absurd_reports_shut_nobody_out() {
    let absurd = [f64::NAN, -5.0, f64::INFINITY, 1.0e300, 0.0];
    let mut s = settings(vec![safe()]);
    (s.dispatchers, s.limits.probe) = (3, false);
    let mut rig = Rig::new(s, 2);
    for (id, value) in (0..).zip(absurd.into_iter().cycle().take(60)) {
        let Some((_, worker)) = pushes(&rig.job(id, 0, 1.0)).first().copied() else {
            rig.after(400 * MS);
            continue;
        };
        rig.started(id, 0, worker);
        let report = Some(LoadReport {
            free_slots: Some(value),
            queued: Some(value),
            outstanding: None,
        });
        let (job, outcome) = (JobId(id), Outcome::Done);
        rig.event(Event::AttemptEnded {
            job,
            attempt: 0,
            worker,
            outcome,
            finished: true,
            report,
        });
    }
    rig.after(10_000 * MS);
    assert_eq!(pushes(&rig.job(1_000, 0, 1.0)).len(), 1);
}

#[test]
fn an_overdue_start_is_called_off_and_placed_elsewhere() {
    let mut rig = Rig::new(settings(vec![safe(), unsafe_class()]), 2);
    let (_, hung) = pushes(&rig.job(1, 0, 1.0))[0];
    let mut called_off = Vec::new();
    for _ in 0..300 {
        called_off.extend(cancels(&rig.after(MS)));
    }
    assert_eq!(called_off, vec![(1, 0)]);
    let next = pushes(&rig.ended(1, 0, hung, Outcome::Cancelled));
    assert_eq!(next.len(), 1);
    assert_ne!(next[0].1, hung, "the back-off holds the silent worker shut");
}

#[test]
fn an_unsafe_job_is_never_called_off_for_a_late_start() {
    let mut rig = Rig::new(settings(vec![unsafe_class()]), 2);
    rig.job(1, 0, 1.0);
    for _ in 0..3_000 {
        assert!(cancels(&rig.after(MS)).is_empty());
    }
}

/// Answers each probe with so many free slots, and so on until nobody is asked any more; who was asked, and all that was done.
fn answer_probes(
    rig: &mut Rig,
    actions: Vec<Action>,
    free: impl Fn(WorkerId) -> f64,
) -> (Vec<WorkerId>, Vec<Action>) {
    rig.answer_probes(actions, |w| LoadReport {
        free_slots: Some(free(w)),
        ..LoadReport::default()
    })
}

fn many(dispatchers: u32, reports: LoadReporting, probe_price: f64) -> Settings {
    let mut s = settings(vec![safe()]);
    (s.dispatchers, s.reports, s.limits.probe_price) = (dispatchers, reports, probe_price);
    s
}

#[test]
fn of_many_workers_and_dispatchers_only_one_found_to_have_room_gets_the_job() {
    // At full size picks were all but blind: a dispatcher heard of each worker once in many mean runs.
    let mut rig = Rig::new(many(300, LoadReporting::Outcomes, 0.002), 200);
    for id in 0..50 {
        rig.now += 100 * MS;
        let free = |w: WorkerId| if w.0.is_multiple_of(3) { 3.0 } else { 0.0 };
        let taken = rig.job(id, 0, 1.0);
        assert!(
            id > 0 || pushes(&taken).is_empty(),
            "not before anything is known"
        );
        let (asked, done) = answer_probes(&mut rig, taken, free);
        let sent = pushes(&done);
        for (_, worker) in &sent {
            assert_eq!(worker.0 % 3, 0, "{asked:?}");
        }
        for (job, worker) in sent {
            rig.started(job, 0, worker);
        }
    }
}

#[test]
fn probes_are_bought_by_price_and_one_dispatcher_alone_needs_none() {
    let count = |dispatchers, reports, price| {
        let mut rig = Rig::new(many(dispatchers, reports, price), 40);
        let mut asked = 0;
        for id in 0..40 {
            rig.now += 100 * MS;
            let taken = rig.job(id, 0, 1.0);
            asked += answer_probes(&mut rig, taken, |_| 0.0).0.len();
        }
        asked
    };
    assert_eq!(count(1, LoadReporting::Outcomes, 0.002), 0);
    let asked = count(50, LoadReporting::Outcomes, 0.002);
    assert!(
        (90..=120).contains(&asked),
        "up to three a job while all are full: {asked}"
    );
    assert!(
        (9..=12).contains(&count(50, LoadReporting::Outcomes, 0.02)),
        "at ten times the price a tenth"
    );
    assert_eq!(
        count(1, LoadReporting::Probes, 0.002),
        0,
        "nor where reports come with probes only"
    );
}

#[test]
fn a_failed_probe_is_a_failure_to_the_backoff() {
    let mut rig = Rig::new(many(1, LoadReporting::Probes, 0.002), 1);
    let worker = WorkerId(0);
    rig.event(Event::ProbeEnded {
        worker,
        outcome: Outcome::TimedOut,
        report: None,
    });
    let taken = rig.job(1, 0, 1.0);
    assert!(pushes(&taken).is_empty());
    let start = rig.now;
    assert_eq!(
        wait_for_push(&mut rig, &taken),
        vec![(1, worker)],
        "a silent worker can come back"
    );
    assert!(rig.now >= start + 100 * MS, "after the initial interval");
}

/// Guards against workers that each fetch what every job needs: jobs with a key go to the few that are meant for
/// it, the same ones at every dispatcher, and to others only when they have waited for those.
#[test]
fn jobs_of_a_key_go_where_the_key_is_kept_and_elsewhere_only_after_a_wait() {
    let mut firsts = vec![];
    for seed in 1..=3 {
        let mut rig = Rig::seeded(settings(vec![safe()]), 8, seed);
        let mut taken = BTreeMap::new();
        for id in 0..200 {
            rig.key = Some(77);
            let worker = pushes(&rig.job(id, 0, 1.0))[0].1;
            *taken.entry(worker).or_insert(0) += 1;
            rig.started(id, 0, worker);
            rig.ended(id, 0, worker, Outcome::Done);
        }
        let (first, most) = taken.iter().max_by_key(|(_, n)| **n).unwrap();
        assert!(*most > 150 && taken.len() <= 3, "{taken:?}");
        firsts.push(*first);
        let mut sent = 0;
        for id in 200..212 {
            pushes(&rig.job(id, 0, 1.0)).iter().for_each(|(id, w)| {
                sent += 1;
                rig.started(*id, 0, *w);
            });
        }
        assert_eq!(sent, 12, "four slots at each of its three workers");
        assert!(pushes(&rig.job(300, 0, 1.0)).is_empty());
        assert_eq!(
            wait_for_push(&mut rig, &[]).len(),
            1,
            "the others have room"
        );
        rig.key = Some(78);
        assert_eq!(pushes(&rig.job(301, 0, 1.0)).len(), 1);
    }
    assert!(firsts.iter().all(|f| *f == firsts[0]), "{firsts:?}");
}

/// Guards against refusals that are kept back until the deadline nears: who comes too late behind too much is told
/// at once when to come again.
#[test]
fn a_job_that_is_given_up_is_refused_at_once_with_advice() {
    let mut rig = Rig::new(settings(vec![safe()]), 1);
    for id in 0..4 {
        rig.job(id, 0, 1.0);
        rig.started(id, 0, WorkerId(0));
    }
    let mut refused = vec![];
    for id in 10..110 {
        let actions = rig.job(id, 0, 1.0);
        refused.extend(actions.into_iter().map(|a| (rig.now, a)));
    }
    while rig.now < START + 1_000 * MS {
        let actions = rig.after(5 * MS);
        refused.extend(actions.into_iter().map(|a| (rig.now, a)));
    }
    refused.retain(|(_, a)| {
        matches!(
            a,
            Action::RejectJob {
                retry_after: Some(_),
                ..
            }
        )
    });
    assert!(
        (40..90).contains(&refused.len()),
        "{} of a hundred, long before five seconds",
        refused.len()
    );
}

/// Guards against a worker that has come back and stays left out: few jobs are pushed to it while it is spaced, so
/// that their starts alone took half a minute to close its back-off. Probes that show room count as well.
#[test]
fn probes_that_show_room_end_a_backoff_as_starts_do() {
    for (free, sent) in [(4.0, true), (0.0, false)] {
        let mut rig = Rig::new(many(1, LoadReporting::Probes, 0.002), 1);
        let worker = WorkerId(0);
        for _ in 0..6 {
            rig.event(Event::ProbeEnded {
                worker,
                outcome: Outcome::TimedOut,
                report: None,
            });
        }
        let report = Some(LoadReport {
            free_slots: Some(free),
            ..LoadReport::default()
        });
        for _ in 0..24 {
            rig.event(Event::ProbeEnded {
                worker,
                outcome: Outcome::Done,
                report,
            });
        }
        let taken = rig.job(1, 0, 1.0);
        let taken = [
            taken,
            rig.event(Event::ProbeEnded {
                worker,
                outcome: Outcome::Done,
                report,
            }),
        ]
        .concat();
        assert_eq!(!pushes(&taken).is_empty(), sent, "{free} slots free");
    }
}

/// Guards against healthy workers that are left out because connections break: it says as little of them under a
/// probe as under a job.
#[test]
fn a_probe_whose_connection_broke_is_no_failure_to_the_backoff() {
    let mut rig = Rig::new(many(1, LoadReporting::Probes, 0.002), 1);
    let worker = WorkerId(0);
    rig.event(Event::ProbeEnded {
        worker,
        outcome: Outcome::Reset,
        report: None,
    });
    assert_eq!(pushes(&rig.job(1, 0, 1.0)), vec![(1, worker)]);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut rig = Rig::new(settings(vec![safe(), keyed(DeduplicationScope::Cell)]), 5);
        let mut all = Vec::new();
        for id in 0..500 {
            all.extend(rig.job(id, (id % 2) as usize, 1.0));
            all.extend(rig.after(3 * MS));
            if let Some((job, worker)) = pushes(&all).get(id as usize / 2) {
                all.extend(rig.started(*job, 0, *worker));
                let outcome = if id % 7 == 0 {
                    Outcome::Rejected
                } else {
                    Outcome::Done
                };
                all.extend(rig.ended(*job, 0, *worker, outcome));
            }
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn unusable_settings_are_a_typed_error() {
    use dispatch_policy::Dispatcher;
    let error = |s: Settings| Dispatcher::new(s, 1).err();
    assert_eq!(error(settings(vec![])), Some(SettingsError::NoClasses));
    let mut s = settings(vec![safe()]);
    s.dispatchers = 0;
    assert_eq!(error(s), Some(SettingsError::NoDispatchers));
    let mut s = settings(vec![safe()]);
    s.limits.attempts = 0;
    assert_eq!(error(s), Some(SettingsError::NoAttempts));
    let mut s = settings(vec![safe()]);
    s.rules.start_capacity = f64::NAN;
    assert_eq!(error(s), Some(SettingsError::BadFigure("start_capacity")));
    for (name, budget) in [
        (
            "retry_budget.window",
            RetryBudget {
                minimum: 1,
                ratio: 0.1,
                window: 0,
            },
        ),
        (
            "retry_budget.ratio",
            RetryBudget {
                minimum: 1,
                ratio: -0.1,
                window: 1,
            },
        ),
        (
            "retry_budget.ratio",
            RetryBudget {
                minimum: 1,
                ratio: f64::INFINITY,
                window: 1,
            },
        ),
    ] {
        let mut s = settings(vec![safe()]);
        s.rules.retry_budget = Some(budget);
        assert_eq!(error(s), Some(SettingsError::BadFigure(name)));
    }
    let mut s = settings(vec![safe()]);
    s.rules.close_on_drain = Some(0);
    assert_eq!(error(s), Some(SettingsError::BadFigure("close_on_drain")));
    assert_eq!(error(settings(vec![safe()])), None);
}

#[test]
fn an_overdue_keyed_job_moves_only_where_its_group_has_room() {
    // Found on a quiet day: one wide job at the head of a worker's queue kept keyed jobs of great worth there
    // for seconds, though workers of their group stood idle.
    for (workers, moves) in [(2, true), (1, false)] {
        let mut rig = Rig::new(settings(vec![keyed(DeduplicationScope::Cell)]), workers);
        rig.list(ListUpdateKind::Incremental, vec![listing(4)]);
        let mut sent = pushes(&rig.job(1, 0, 1.0));
        let mut id = 1;
        while sent[0].1 == WorkerId(4) {
            rig.started(id, 0, WorkerId(4));
            rig.ended(id, 0, WorkerId(4), Outcome::Done);
            id += 1;
            sent = pushes(&rig.job(id, 0, 1.0));
        }
        let mut called_off = Vec::new();
        for _ in 0..200 {
            called_off.extend(cancels(&rig.after(MS)));
        }
        assert_eq!(called_off.first().copied(), moves.then_some((id, 0)));
        if moves {
            let next = pushes(&rig.ended(id, 0, sent[0].1, Outcome::Cancelled));
            assert_eq!(
                next[0].1 .0,
                1 - sent[0].1 .0,
                "the other worker of its cell"
            );
        }
    }
}

#[test]
fn error_answers_in_a_row_feed_the_backoff_and_single_ones_do_not() {
    // Found in an incident: workers that failed every job at once always had room and drew all traffic.
    let mut rig = Rig::new(settings(vec![safe()]), 2);
    let mut at_bad = 0;
    for id in 0..200 {
        rig.after(20 * MS);
        let mut sent = pushes(&rig.job(id, 0, 1.0));
        let mut attempt = 0;
        while let Some((_, worker)) = sent.first().copied() {
            rig.started(id, attempt, worker);
            rig.now += MS;
            if worker == WorkerId(0) {
                at_bad += 1;
                sent = pushes(&rig.ended(id, attempt, worker, Outcome::Error));
            } else {
                rig.ended(id, attempt, worker, Outcome::Done);
                break;
            }
            attempt += 1;
        }
    }
    // Without it, 175.
    assert!(at_bad < 70, "{at_bad} attempts went to the failing worker");
}

#[test]
fn a_job_handed_back_is_still_refused_when_its_time_to_start_is_up() {
    // The timer of a pushed job was dropped as idle; a job held again must have it back.
    let mut class = safe();
    class.late_value_share = 0.0;
    let mut rig = Rig::new(settings(vec![class]), 1);
    let (_, worker) = pushes(&rig.job(1, 0, 1.0))[0];
    rig.after(10 * MS);
    assert!(pushes(&rig.ended(1, 0, worker, Outcome::Rejected)).is_empty());
    rig.list(
        ListUpdateKind::Incremental,
        vec![WorkerEntry {
            status: WorkerStatus::Removed,
            ..listing(0)
        }],
    );
    let mut refused = Vec::new();
    while rig.now < START + 1_000 * MS {
        refused.extend(answers(&rig.after(2 * MS)));
    }
    assert_eq!(refused, vec![(1, true)]);
}

#[test]
fn a_held_job_takes_the_worker_with_news_and_is_not_looked_for_everywhere_at_each_event() {
    // Ninety workers gone through at every event of a busy dispatcher cost more time than it had.
    let mut rig = Rig::new(settings(vec![safe()]), 2);
    let mut last = WorkerId(0);
    for id in 0..8 {
        last = pushes(&rig.job(id, 0, 1.0))[0].1;
        rig.started(id, 0, last);
    }
    rig.job(8, 0, 1.0);
    let mut wakes = 0;
    for _ in 0..100 {
        wakes += rig
            .after(MS)
            .iter()
            .filter(|a| matches!(a, Action::WakeAt(_)))
            .count();
    }
    // A full look every fiftieth of a mean run, here 8 ms.
    assert!((2..=14).contains(&wakes), "{wakes} looks in 100 ms");
    let freed = rig.ended(7, 0, last, Outcome::Done);
    assert_eq!(
        pushes(&freed),
        vec![(8, last)],
        "the slot that an outcome freed is taken at once"
    );
}

/// Settings of two dispatchers that may talk.
fn talking() -> Settings {
    let mut s = settings(vec![safe()]);
    (s.dispatchers, s.limits.probe) = (2, false);
    (s.limits.tell, s.limits.peer_price) = (50, 0.0002);
    s
}

fn told(rig: &mut Rig, held: Vec<(WorkerId, u32)>) -> Vec<Action> {
    rig.event(Event::PeerLoad { from: 1, held })
}

#[test]
fn own_load_is_told_with_a_push_where_dispatchers_may_talk_and_only_there() {
    for (tell, expected) in [(50, vec![(WorkerId(0), 2)]), (0, vec![])] {
        let mut s = talking();
        s.limits.tell = tell;
        let mut rig = Rig::new(s, 1);
        let mut said = Vec::new();
        for action in rig.job(1, 0, 2.0) {
            if let Action::PublishLoad { held } = action {
                said = held;
            }
        }
        assert_eq!(said, expected);
    }
}

#[test]
fn what_another_dispatcher_tells_of_decides_the_pick_before_any_report() {
    // Two dispatchers crowded the same workers: each knew of the other by reports a mean run old.
    let mut rig = Rig::new(talking(), 2);
    told(&mut rig, vec![(WorkerId(0), 4), (WorkerId(1), 0)]);
    for id in 0..3 {
        assert_eq!(pushes(&rig.job(id, 0, 1.0)), vec![(id, WorkerId(1))]);
    }
}

#[test]
fn absurd_or_dead_talk_does_not_shut_a_worker_for_good() {
    let mut rig = Rig::new(talking(), 1);
    told(&mut rig, vec![(WorkerId(0), u32::MAX), (WorkerId(99), 3)]);
    assert!(pushes(&rig.job(1, 0, 1.0)).is_empty(), "believed at first");
    let mut sent = Vec::new();
    while sent.is_empty() && rig.now < START + 4_000 * MS {
        sent = pushes(&rig.after(10 * MS));
    }
    assert_eq!(sent, vec![(1, WorkerId(0))]);
}

#[test]
fn an_overdue_start_with_all_full_leaves_the_others_a_turn_and_only_them() {
    // In common slowness every dispatcher went on filling the queues of slow workers.
    for (dispatchers, pushed) in [(1, true), (2, false)] {
        let mut s = settings(vec![safe()]);
        (s.dispatchers, s.limits.probe) = (dispatchers, false);
        let mut rig = Rig::new(s, 1);
        let (_, worker) = pushes(&rig.job(1, 0, 1.0))[0];
        let overdue = rig.after(201 * MS);
        assert!(overdue.contains(&Action::CancelAttempt {
            job: JobId(1),
            attempt: 0
        }));
        let next = pushes(&rig.ended(1, 0, worker, Outcome::Cancelled));
        assert_eq!(!next.is_empty(), pushed, "{dispatchers} dispatchers");
    }
}

#[test]
fn while_paying_jobs_go_late_slots_are_kept_from_what_brings_less() {
    // In overload late jobs took every slot that freed, and whatever came next went late as well.
    let cheap = JobClass {
        job_value: 0.1,
        ..safe()
    };
    let mut rig = Rig::new(settings(vec![safe(), cheap]), 1);
    for id in 0..4 {
        rig.job(id, 0, 1.0);
        rig.started(id, 0, WorkerId(0));
    }
    for id in 10..60 {
        rig.job(id, 0, 1.0);
    }
    rig.after(1_000 * MS);
    rig.job(100, 1, 1.0);
    let mut sent = Vec::new();
    for id in 0..4 {
        sent.extend(pushes(&rig.ended(id, 0, WorkerId(0), Outcome::Done)));
    }
    assert!(sent.iter().all(|(job, _)| *job != 100), "{sent:?}");
    assert!(
        !sent.is_empty(),
        "a dispatcher with nothing out is not barred"
    );
}

/// Listings in two zones: even numbers in the own one.
fn two_zones(workers: u32) -> Vec<WorkerEntry> {
    (0..workers)
        .map(|w| WorkerEntry {
            zone: w % 2,
            ..listing(w)
        })
        .collect()
}

#[test]
fn workers_that_cost_no_crossing_and_no_new_connection_are_asked_and_taken_first() {
    // Found on full-size days: picks over the whole fleet crossed zones and opened connections with nearly every job.
    let mut config = many(50, LoadReporting::Outcomes, 0.002);
    (config.limits.cross_zone_price, config.limits.connect_price) = (0.05, 0.08);
    let mut rig = Rig::new(config, 0);
    rig.list(ListUpdateKind::Full, two_zones(40));
    let mut used = std::collections::BTreeSet::new();
    for id in 0..60 {
        rig.now += 500 * MS;
        let taken = rig.job(id, 0, 1.0);
        let sent = pushes(&answer_probes(&mut rig, taken, |_| 4.0).1);
        let (_, worker) = sent[0];
        used.insert(worker);
        rig.ended(id, 0, worker, Outcome::Done);
    }
    assert!(
        used.iter().all(|w| w.0 % 2 == 0),
        "none in the other zone: {used:?}"
    );
    assert!(used.len() <= 3, "connections are used again: {used:?}");
    // With no room near, the other zone is found.
    rig.now += 60_000 * MS;
    let mut actions = rig.job(100, 0, 1.0);
    let mut found = vec![];
    for _ in 0..20 {
        let (_, done) = answer_probes(&mut rig, actions, |w: WorkerId| {
            if w.0.is_multiple_of(2) {
                0.0
            } else {
                4.0
            }
        });
        found.extend(pushes(&done));
        actions = rig.after(20 * MS);
    }
    assert!(found.iter().any(|(_, w)| w.0 % 2 == 1), "{found:?}");
}

#[test]
fn a_connection_that_has_idled_is_renewed_where_that_costs_less_than_it_may_lose() {
    // Found where idle connections were dropped unseen: what was sent on one got no answer to its deadline.
    for (price, renewed) in [(0.0, false), (0.02, true), (0.08, false)] {
        let mut config = settings(vec![safe()]);
        config.limits.connect_price = price;
        let mut rig = Rig::new(config, 1);
        let closes = |actions: &[Action]| {
            actions
                .iter()
                .any(|a| matches!(a, Action::CloseIdleConnections { .. }))
        };
        let first = rig.job(1, 0, 1.0);
        assert!(!closes(&first), "there is none yet");
        rig.ended(1, 0, WorkerId(0), Outcome::Done);
        rig.now += 20 * MS;
        assert!(!closes(&rig.job(2, 0, 1.0)), "in use a moment ago");
        rig.ended(2, 0, WorkerId(0), Outcome::Done);
        rig.now += 2_000 * MS;
        let actions = rig.job(3, 0, 1.0);
        assert_eq!(
            (closes(&actions), pushes(&actions).len()),
            (renewed, 1),
            "at a price of {price}"
        );
    }
}

#[test]
fn without_start_notices_a_worker_with_own_jobs_out_is_not_taken_for_blocked() {
    // Found where no start is told: one job out closed a worker after the grace, and runs were never learned.
    let mut config = settings(vec![safe()]);
    config.start_notices = false;
    let mut rig = Rig::new(config.clone(), 1);
    assert_eq!(pushes(&rig.job(1, 0, 1.0)).len(), 1);
    rig.now += 200 * MS;
    assert_eq!(
        pushes(&rig.job(2, 0, 1.0)).len(),
        1,
        "it has three more slots"
    );
    // Progress, where told, shows a job alive; what stays silent past it closes the worker and moves.
    config.progress_every = Some(1_000 * MS);
    let mut rig = Rig::new(config, 2);
    let (_, silent) = pushes(&rig.job(1, 0, 1.0))[0];
    let mut called_off = vec![];
    for _ in 0..150 {
        called_off.extend(cancels(&rig.after(10 * MS)));
    }
    assert_eq!(called_off, vec![(1, 0)]);
    rig.ended(1, 0, silent, Outcome::Cancelled);
    assert!(rig.now < START + 1_600 * MS);
}

#[test]
fn probing_ends_where_there_is_nobody_to_ask() {
    // Found in a test: with credit for probes and nobody to draw, the search for one went on without end.
    let mut config = many(50, LoadReporting::Outcomes, 0.002);
    config.limits.connect_price = 0.08;
    let mut rig = Rig::new(config, 0);
    assert!(pushes(&rig.job(1, 0, 1.0)).is_empty());
    let actions = rig.list(ListUpdateKind::Full, vec![listing(0)]);
    assert!(actions.len() < 5, "{actions:?}");
    rig.after(20 * MS);
    assert!(pushes(&rig.after(400 * MS)).len() + pushes(&rig.after(400 * MS)).len() <= 1);
}
