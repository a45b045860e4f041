//! Which version a request goes to while a roll-out is under way, and what counts against it.

use gateway::proxy::in_flight::AttemptOutcome;
use gateway::selection::versions::{DrawnRequest, VersionPool, VersionRollouts};
use relay_tree::Stamp;
use replicated_state::{
    runner_hash, AnswerCounts, RolloutEntry, RolloutState, FULL_SHARE, ROLLOUT_LEASE_MS,
};
use runner_registry::{Runner, RunnerState};

const SERVICE: &str = "s";
const NOW: u64 = 1_000;

fn entry(state: RolloutState, share: u32) -> RolloutEntry {
    RolloutEntry {
        target: "v2".into(),
        state,
        share,
        max_runner_hash: u64::MAX / 2,
        report_to: ([10, 0, 0, 1], 7_660).into(),
    }
}

fn rollouts(state: RolloutState, share: u32) -> VersionRollouts {
    let mut rollouts = VersionRollouts::default();
    assert!(rollouts.apply(NOW, SERVICE, Stamp(4, 2), entry(state, share)));
    rollouts
}

fn runner(id: &str, version: &str) -> Runner {
    Runner {
        id: id.into(),
        service: SERVICE.into(),
        addr: ([10, 9, 0, 1], 80).into(),
        zone: "z".into(),
        software_version: version.into(),
        slots: 8,
        state: RunnerState::Up,
        warmup_left_ms: 0,
        phase: "both".into(),
        models: Vec::new(),
        seqno: 1,
        owner: 1,
    }
}

fn target_share(rollouts: &VersionRollouts, now: u64, is_first_attempt: bool) -> f64 {
    let requests = 20_000;
    let to_target = (0..requests).filter(|number| {
        let id = format!("{number:016x}");
        let request = DrawnRequest {
            id: id.as_bytes(),
            is_first_attempt,
        };
        let pool = rollouts.pool_for(now, SERVICE, request, |_| true);
        pool == VersionPool::Target
    });
    to_target.count() as f64 / f64::from(requests)
}

#[test]
fn requests_follow_the_share_and_each_one_its_own_draw() {
    for share in [0.0, 0.06, 0.2, 0.5, 1.0] {
        let millionths = (share * f64::from(FULL_SHARE)) as u32;
        let rollouts = rollouts(RolloutState::Rolling, millionths);
        let drawn = target_share(&rollouts, NOW, true);
        assert!((drawn - share).abs() < 0.01, "{share}: {drawn}");
        assert_eq!(drawn, target_share(&rollouts, NOW, true));
    }
}

#[test]
fn what_was_attempted_before_goes_to_the_old_version() {
    let rollouts = rollouts(RolloutState::Rolling, FULL_SHARE / 2);
    assert_eq!(target_share(&rollouts, NOW, false), 0.0);
}

#[test]
fn a_gateway_that_hears_nothing_sends_nothing_to_the_new_version() {
    let rollouts = rollouts(RolloutState::Rolling, FULL_SHARE - 1);
    assert!(target_share(&rollouts, NOW + ROLLOUT_LEASE_MS, true) > 0.99);
    assert_eq!(
        target_share(&rollouts, NOW + ROLLOUT_LEASE_MS + 1, true),
        0.0
    );
}

/// Guards against requests at old runners that were stopped: the end was committed and read, and its
/// head killed before a gateway heard of it.
#[test]
fn a_full_share_stays_until_the_end_is_heard_of() {
    let rollouts = rollouts(RolloutState::Rolling, FULL_SHARE);
    let late = NOW + 100 * ROLLOUT_LEASE_MS;
    assert_eq!(target_share(&rollouts, late, false), 1.0);
}

#[test]
fn an_end_needs_no_renewal() {
    let late = NOW + 100 * ROLLOUT_LEASE_MS;
    let complete = rollouts(RolloutState::Complete, FULL_SHARE);
    assert_eq!(target_share(&complete, late, false), 1.0);
    let reverted = rollouts(RolloutState::Reverted, 0);
    assert_eq!(target_share(&reverted, late, true), 0.0);
}

/// Guards against EXPOSURE: a version got more than its share once the old runners were gone.
#[test]
fn a_new_version_gets_no_more_than_its_share_when_the_old_runners_are_gone() {
    let pool = |rollouts: &VersionRollouts, present: VersionPool| {
        let request = DrawnRequest {
            id: b"any",
            is_first_attempt: false,
        };
        rollouts.pool_for(NOW, SERVICE, request, |pool| pool == present)
    };
    let canary = rollouts(RolloutState::Rolling, FULL_SHARE / 10);
    assert_eq!(pool(&canary, VersionPool::Target), VersionPool::Base);
    let complete = rollouts(RolloutState::Complete, FULL_SHARE);
    assert_eq!(pool(&complete, VersionPool::Target), VersionPool::Target);
    assert_eq!(pool(&complete, VersionPool::Base), VersionPool::Base);
}

#[test]
fn an_older_entry_changes_nothing() {
    let mut rollouts = rollouts(RolloutState::Reverted, 0);
    let older = entry(RolloutState::Rolling, FULL_SHARE);
    assert!(!rollouts.apply(NOW, SERVICE, Stamp(4, 1), older.clone()));
    assert!(!rollouts.apply(NOW, SERVICE, Stamp(3, 9), older));
    assert_eq!(rollouts.share(NOW, SERVICE), 0);
}

#[test]
fn runners_of_the_new_version_take_part_in_the_stated_order() {
    let rolling = rollouts(RolloutState::Rolling, 1);
    for number in 0..200 {
        let id = format!("i-{number}");
        let takes_part = runner_hash(&id) <= u64::MAX / 2;
        let pool = if takes_part {
            VersionPool::Target
        } else {
            VersionPool::Standby
        };
        assert_eq!(rolling.pool_of(&runner(&id, "v2")), pool);
        assert_eq!(rolling.pool_of(&runner(&id, "v1")), VersionPool::Base);
    }
    let of = |state| rollouts(state, 0).pool_of(&runner("i", "v2"));
    assert_eq!(of(RolloutState::Complete), VersionPool::Target);
    assert_eq!(of(RolloutState::Reverted), VersionPool::Standby);
}

/// Records an answer of a stream of 100 tokens that begins after 20 ms.
fn answer(rollouts: &mut VersionRollouts, pool: VersionPool, took: u64, outcome: AttemptOutcome) {
    let observed = rollouts.observe(NOW, SERVICE, "r", pool, 100);
    let mut observed = observed.expect("a roll-out under way");
    observed.first_event(NOW + 20);
    rollouts.record(NOW + took, &observed, outcome);
}

fn seen(rollouts: &VersionRollouts) -> (AnswerCounts, AnswerCounts) {
    let (_, report) = rollouts.reports(NOW, |_| 0).pop().expect("a report");
    report
        .routes
        .first()
        .map(|route| (route.old, route.new))
        .unwrap_or_default()
}

#[test]
fn failures_and_slow_answers_count_against_a_version() {
    let mut rollouts = rollouts(RolloutState::Rolling, 1);
    for _ in 0..20 {
        answer(
            &mut rollouts,
            VersionPool::Base,
            220,
            AttemptOutcome::Completed,
        );
    }
    for (took, outcome) in [
        (220, AttemptOutcome::Completed),
        (400, AttemptOutcome::Completed),
        (1_620, AttemptOutcome::Completed),
        (30, AttemptOutcome::Failed),
        (30, AttemptOutcome::Broken),
        (30, AttemptOutcome::TimedOut),
    ] {
        answer(&mut rollouts, VersionPool::Target, took, outcome);
    }
    let (old, new) = seen(&rollouts);
    assert_eq!(
        old,
        AnswerCounts {
            answers: 20,
            bad: 0
        }
    );
    assert_eq!(new, AnswerCounts { answers: 6, bad: 4 });
}

#[test]
fn what_says_nothing_of_a_version_is_not_counted() {
    let mut rollouts = rollouts(RolloutState::Rolling, 1);
    for outcome in [
        AttemptOutcome::Rejected,
        AttemptOutcome::Misdirected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::NotSent,
        AttemptOutcome::Abandoned,
    ] {
        answer(&mut rollouts, VersionPool::Target, 30, outcome);
    }
    assert_eq!(seen(&rollouts), Default::default());
}

#[test]
fn answers_of_an_earlier_rollout_are_not_counted() {
    let mut rollouts = rollouts(RolloutState::Rolling, 1);
    let observed = rollouts.observe(NOW, SERVICE, "r", VersionPool::Target, 100);
    assert!(rollouts.apply(NOW, SERVICE, Stamp(5, 1), entry(RolloutState::Rolling, 1)));
    rollouts.record(NOW + 30, &observed.expect("one"), AttemptOutcome::Failed);
    assert_eq!(seen(&rollouts), Default::default());
}
