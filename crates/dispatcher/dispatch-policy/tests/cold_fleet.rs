//! What a cold worker is sent by all dispatchers together: within what it stands, N in each window, and chance.

mod common;

use common::*;
use dispatch_api::*;
use rstest::rstest;
use std::collections::BTreeMap;

const WORK: Micros = 100 * MS;
const TICK: Micros = 10 * MS;

/// How the dispatchers of one play differ.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    /// Those that send.
    alive: u32,
    /// Those that each of them counts on.
    known: u32,
    /// One in so many is restarted each second, and knows nothing but the list.
    restarts: u32,
    /// Whether a failed attempt is repeated, which goes out as any other does.
    repeats: bool,
}

struct One {
    rig: Rig,
    /// Jobs a second; some get several times the mean.
    rate: f64,
    due: f64,
    out: Vec<(u64, u32, WorkerId)>,
    /// Attempts of each job that is not over.
    attempts: BTreeMap<u64, u32>,
}

fn one(fleet: Fleet, started: Micros, now: Micros, n: u32, life: u32) -> One {
    let mut s = settings(vec![safe()]);
    (s.dispatchers, s.reports, s.limits.probe) = (fleet.known, LoadReporting::None, false);
    let mut rig = Rig::seeded(s, 0, u64::from(n) << 8 | u64::from(life));
    (rig.now, rig.work) = (now, Some(WORK));
    rig.list(ListUpdateKind::Inherited, vec![]);
    rig.list(
        ListUpdateKind::Incremental,
        vec![WorkerEntry {
            started: Some(started),
            ..listing(0)
        }],
    );
    let rate = if n.is_multiple_of(7) { 12.0 } else { 3.0 };
    One {
        rig,
        rate,
        due: f64::from(n % 10) / 10.0,
        out: vec![],
        attempts: BTreeMap::new(),
    }
}

/// The times at which the worker was sent something, by all.
fn play(fleet: Fleet) -> Vec<Micros> {
    let started = START;
    let mut all: Vec<One> = (0..fleet.alive)
        .map(|n| one(fleet, started, started, n, 0))
        .collect();
    let (mut sent, mut job) = (vec![], 0);
    for tick in 1..=(15_000 * MS / TICK) {
        let now = started + tick * TICK;
        for (n, at) in (0..).zip(&mut all) {
            let second = tick / 100;
            if fleet.restarts > 0
                && tick.is_multiple_of(100)
                && (u64::from(n) + second).is_multiple_of(u64::from(fleet.restarts))
            {
                *at = one(fleet, started, now, n, second as u32);
                continue;
            }
            at.rig.now = now;
            let mut actions = vec![];
            for (id, attempt, worker) in std::mem::take(&mut at.out) {
                at.rig.started(id, attempt, worker);
                let lost = fleet.repeats && attempt == 0 && id.is_multiple_of(3);
                let outcome = if lost { Outcome::Reset } else { Outcome::Done };
                actions.extend(at.rig.ended(id, attempt, worker, outcome));
            }
            actions.extend(at.rig.after(0));
            at.due += at.rate * TICK as f64 / 1.0e6;
            while at.due >= 1.0 {
                at.due -= 1.0;
                job += 1;
                actions.extend(at.rig.job(job, 0, 1.0));
            }
            for (id, worker) in pushes(&actions) {
                sent.push(now);
                let again = at.out.iter().any(|(other, ..)| *other == id);
                assert!(!again, "two attempts of one job out at once");
                let attempt = at.attempts.entry(id).and_modify(|n| *n += 1).or_insert(0);
                at.out.push((id, *attempt, worker));
            }
        }
    }
    sent
}

/// The operators' term: beyond N only twice its root and two are put down to chance, with one process and with hundreds, with
/// uneven traffic, repeats, processes that start anew, and more of them than each counts on. A worker of four slots (as much as
/// is believed before anything is known) stands three times its capacity, which rises evenly from a fifth within 20 s.
#[rstest]
#[case::alone(Fleet { alive: 1, known: 1, restarts: 0, repeats: false })]
#[case::two(Fleet { alive: 2, known: 2, restarts: 0, repeats: true })]
#[case::five(Fleet { alive: 5, known: 5, restarts: 3, repeats: true })]
#[case::twenty(Fleet { alive: 20, known: 20, restarts: 0, repeats: true })]
#[case::thirty(Fleet { alive: 30, known: 30, restarts: 0, repeats: false })]
#[case::thirty_restarted(Fleet { alive: 30, known: 30, restarts: 3, repeats: true })]
#[case::twice_as_many_as_known(Fleet { alive: 30, known: 15, restarts: 0, repeats: true })]
#[case::half_as_many_as_known(Fleet { alive: 15, known: 30, restarts: 5, repeats: true })]
#[case::hundreds(Fleet { alive: 300, known: 300, restarts: 10, repeats: true })]
fn all_together_keep_within_what_a_cold_worker_stands(#[case] fleet: Fleet) {
    let sent = play(fleet);
    let (slots, multiple, least, warm) = (4.0, 3.0, 0.2, 20_000_000.0);
    for (n, from) in sent.iter().enumerate() {
        let window = sent[n..]
            .iter()
            .take_while(|at| **at < from + 1_000 * MS)
            .count() as f64;
        // As at the window's beginning, which is less than at any time in it.
        let age = (from - START) as f64;
        let share = least + (1.0 - least) * age / warm;
        let stands = multiple * slots * share * 1.0e6 / WORK as f64;
        let most = stands + 2.0 * stands.sqrt() + 2.0;
        assert!(
            window <= most,
            "{window} in the second from {age} us, {stands} stood: {fleet:?}"
        );
    }
    assert!(sent.len() >= 30, "and it gets work: {}", sent.len());
}
