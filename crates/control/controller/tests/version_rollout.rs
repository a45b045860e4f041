//! The steps of a roll-out and the verdict on a version, by themselves.

use controller::version_rollout::{
    Evidence, Judgement, Observation, RolloutPlan, RouteCounts, Step, Verdict,
};
use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use replicated_state::AnswerCounts;

const OVER_MS: u64 = 16_000;
const CANARY_SHARE: f64 = 0.1;
const TICK: u64 = 100;

fn counts(answers: u32, bad: u32) -> AnswerCounts {
    AnswerCounts { answers, bad }
}

fn evidence(routes: &[(&str, AnswerCounts, AnswerCounts)]) -> Evidence {
    let mut evidence = Evidence::default();
    for (route, old, new) in routes {
        evidence.add(route, *old, *new);
    }
    evidence
}

/// A fleet of which both versions have the same slots.
fn observation(elapsed_ms: u64, evidence: &Evidence, old_is_idle: bool) -> Observation<'_> {
    Observation {
        elapsed_ms,
        new_slots: 100,
        old_slots: 100,
        evidence,
        old_is_idle,
    }
}

/// Plays a roll-out; the share at each tick, and the plan at the end.
fn play(until: u64, mut seen: impl FnMut(u64, f64) -> (Evidence, bool)) -> (Vec<f64>, RolloutPlan) {
    let mut plan = RolloutPlan::new(OVER_MS, CANARY_SHARE);
    let mut shares = Vec::new();
    for now in (0..until).step_by(TICK as usize) {
        let (evidence, idle) = seen(now, plan.share());
        plan.advance(now, &observation(now, &evidence, idle));
        shares.push(plan.share());
    }
    (shares, plan)
}

#[test]
fn a_good_version_is_complete_before_its_deadline_and_its_share_never_falls() {
    let sound = evidence(&[("r", counts(10_000, 200), counts(1_000, 20))]);
    let (shares, plan) = play(OVER_MS, |_, share| (sound.clone(), share >= 1.0));
    assert_eq!(plan.verdict(), Verdict::Complete);
    assert!(shares.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(shares[0] > 0.0 && shares[0] < CANARY_SHARE);
}

#[test]
fn a_good_version_is_complete_even_if_old_requests_never_end() {
    let sound = evidence(&[("r", counts(10_000, 200), counts(1_000, 20))]);
    let (_, plan) = play(OVER_MS, |_, _| (sound.clone(), false));
    assert_eq!(plan.verdict(), Verdict::Complete);
}

/// What a bad version may get is a share of all requests until the deadline, whenever it shows.
#[test]
fn whenever_a_version_turns_bad_it_has_got_less_than_it_may() {
    let sound = evidence(&[("r", counts(10_000, 100), counts(1_000, 10))]);
    let bad = evidence(&[("r", counts(10_000, 100), counts(1_000, 400))]);
    // Where all gateways send all to it, the step before the end has begun.
    let full_at = play(OVER_MS, |_, _| (sound.clone(), false)).0;
    let full_at = full_at
        .iter()
        .position(|share| *share >= 1.0)
        .expect("a full step") as u64;
    for turns_bad_at in (0..full_at * TICK).step_by(200) {
        let (shares, plan) = play(OVER_MS, |now, _| {
            let turned = now >= turns_bad_at;
            (if turned { bad.clone() } else { sound.clone() }, false)
        });
        assert_eq!(plan.verdict(), Verdict::Reverted, "{turns_bad_at}");
        let exposed = shares.iter().sum::<f64>() / shares.len() as f64;
        assert!(exposed <= CANARY_SHARE, "{turns_bad_at}: {exposed}");
        assert_eq!(plan.share(), 0.0);
    }
}

#[test]
fn a_verdict_is_final() {
    let bad = evidence(&[("r", counts(1_000, 0), counts(100, 90))]);
    let sound = evidence(&[("r", counts(1_000, 0), counts(1_000, 0))]);
    let mut plan = RolloutPlan::new(OVER_MS, CANARY_SHARE);
    plan.advance(100, &observation(100, &bad, false));
    plan.advance(200, &observation(200, &sound, true));
    assert_eq!((plan.verdict(), plan.share()), (Verdict::Reverted, 0.0));
}

#[test]
fn without_runners_of_the_new_version_nothing_begins() {
    let none = Evidence::default();
    let mut plan = RolloutPlan::new(OVER_MS, CANARY_SHARE);
    for now in (0..OVER_MS * 2).step_by(100) {
        let observed = Observation {
            new_slots: 0,
            ..observation(now, &none, true)
        };
        plan.advance(now, &observed);
        assert_eq!((plan.share(), plan.verdict()), (0.0, Verdict::Undecided));
    }
}

#[test]
fn no_step_is_entered_without_room_for_its_share() {
    let sound = evidence(&[("r", counts(10_000, 0), counts(1_000, 0))]);
    let mut plan = RolloutPlan::new(OVER_MS, CANARY_SHARE);
    for now in (0..OVER_MS).step_by(100) {
        let observed = Observation {
            new_slots: 40,
            ..observation(now, &sound, true)
        };
        plan.advance(now, &observed);
    }
    assert_eq!((plan.step(), plan.share()), (Step::Partial(1), 0.5));
}

#[test]
fn the_canary_goes_on_without_answers_and_is_not_endless() {
    let (shares, _) = play(OVER_MS, |_, _| (Evidence::default(), false));
    let canary = shares.iter().filter(|share| **share < CANARY_SHARE).count() as u64 * TICK;
    assert!(
        canary > OVER_MS * 55 / 100 && canary < OVER_MS * 65 / 100,
        "{canary}"
    );
}

#[test]
fn another_leader_resumes_at_the_published_share_and_not_further() {
    for (share, step) in [
        (0.0, Step::Canary),
        (0.06, Step::Canary),
        (0.2, Step::Partial(0)),
        (0.5, Step::Partial(1)),
        (1.0, Step::Full),
    ] {
        let plan = RolloutPlan::new(OVER_MS, CANARY_SHARE).resume(5_000, share);
        assert_eq!(plan.step(), step, "{share}");
        assert!(plan.share() <= share, "{share}");
    }
    let bad = evidence(&[("r", counts(1_000, 0), counts(100, 50))]);
    let mut plan = RolloutPlan::new(OVER_MS, CANARY_SHARE).resume(5_000, 1.0);
    plan.advance(5_100, &observation(15_000, &bad, true));
    assert_eq!(plan.verdict(), Verdict::Reverted);
}

#[test]
fn one_route_alone_condemns_a_version() {
    let sound = ("a", counts(9_000, 90), counts(900, 9));
    let failing = ("b", counts(400, 4), counts(30, 15));
    assert_eq!(evidence(&[sound]).judge(), Judgement::Sound);
    assert_eq!(evidence(&[sound, failing]).judge(), Judgement::Bad);
}

#[test]
fn what_troubles_both_versions_condemns_none() {
    for share in [0.05, 0.2, 0.4] {
        let both = RouteCounts {
            old_answers: 4_000,
            old_bad: (4_000.0 * share) as u64,
            new_answers: 400,
            new_bad: (400.0 * share) as u64,
        };
        assert_ne!(both.judge(), Judgement::Bad, "{share}");
    }
}

#[test]
fn routes_are_bounded() {
    let mut evidence = Evidence::default();
    for number in 0..5_000 {
        evidence.add(&format!("r{number}"), counts(0, 0), counts(1, 0));
    }
    assert_eq!(evidence.total().new_answers, 1_024);
}

#[test]
fn a_few_bad_answers_condemn_none() {
    let few = RouteCounts {
        old_answers: 100,
        old_bad: 0,
        new_answers: 5,
        new_bad: 5,
    };
    assert_ne!(few.judge(), Judgement::Bad);
}

/// Plays a version whose answers are bad with a probability; after how many of its answers it is
/// condemned, if it is.
fn condemned_after(
    rng: &mut Pcg64Mcg,
    old_share: f64,
    new_share: f64,
    answers: u64,
) -> Option<u64> {
    let mut seen = RouteCounts::default();
    let mut is_bad = |share: f64| (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64 <= share;
    for answer in 1..=answers {
        // The old version answers ten times as often.
        for _ in 0..10 {
            seen.old_answers += 1;
            seen.old_bad += u64::from(is_bad(old_share));
        }
        seen.new_answers += 1;
        seen.new_bad += u64::from(is_bad(new_share));
        if seen.judge() == Judgement::Bad {
            return Some(answer);
        }
    }
    None
}

/// The stated rates: of good versions at most 1 in 200 is condemned over 1,000 answers, of those with
/// 40 bad answers in 100 or more none is missed, and the 50th bad answer is never reached.
#[test]
fn over_ten_thousand_drawn_versions_the_stated_rates_hold() {
    let mut rng = Pcg64Mcg::seed_from_u64(63);
    let (mut condemned, mut latest) = (0, 0);
    const EACH: u32 = 5_000;
    for drawn in 0..EACH {
        let usual = f64::from(drawn % 8) * 0.01;
        condemned += u32::from(condemned_after(&mut rng, usual, usual, 1_000).is_some());
        let bad = 0.4 + f64::from(drawn % 6) * 0.1;
        let after = condemned_after(&mut rng, usual, bad, 1_000);
        let after = after.unwrap_or_else(|| panic!("missed: {bad} beside {usual}"));
        latest = latest.max((after as f64 * bad) as u64);
    }
    println!("{condemned} of {EACH} good ones condemned, {latest} bad answers at most");
    assert!(
        condemned * 200 <= EACH,
        "{condemned} good versions were condemned"
    );
    assert!(latest < 50, "{latest} bad answers before the verdict");
}
