//! The law of the backoffs that both programs share.

use dispatch_policy::{AdaptiveBackoff, BackoffConfig};
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

const TERMS: BackoffConfig = BackoffConfig {
    initial: 100.0,
    max: 3_000.0,
    increase_factor: 2.0,
    decrease_factor: 0.5,
    successes_to_decrease: 3,
    jitter: 0.3,
    max_jitter: 400.0,
};

fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

#[test]
fn backoff_starts_at_the_initial_interval_and_grows_to_the_maximum() {
    for seed in 0..200 {
        let (mut backoff, mut rng) = (AdaptiveBackoff::default(), rng(seed));
        assert!(backoff.is_open(0));
        backoff.record_failure(1_000, &TERMS, &mut rng);
        assert_eq!(backoff.interval, TERMS.initial);
        assert!(!backoff.is_open(1_099) && backoff.is_open(1_100));
        for _ in 0..12 {
            let before = backoff.interval;
            backoff.record_failure(5_000, &TERMS, &mut rng);
            let v = before * TERMS.increase_factor;
            let delta = (TERMS.jitter * v).min(TERMS.max_jitter);
            let least = (v - delta).min(TERMS.max);
            assert!(
                backoff.interval >= least - 1.0e-9,
                "{before} -> {}",
                backoff.interval
            );
            assert!(
                backoff.interval <= (v + delta).min(TERMS.max) + 1.0e-9,
                "{before} -> {}",
                backoff.interval
            );
            assert_eq!(backoff.open_at, 5_000 + backoff.interval as u64);
        }
        assert_eq!(backoff.interval, TERMS.max);
    }
}

#[test]
fn backoff_shrinks_with_every_third_success_to_zero() {
    for seed in 0..200 {
        let (mut backoff, mut rng) = (AdaptiveBackoff::default(), rng(seed));
        backoff.record_success(&TERMS, &mut rng);
        (0..8).for_each(|_| backoff.record_failure(0, &TERMS, &mut rng));
        let mut rounds = 0;
        while backoff.interval > 0.0 {
            let before = backoff.interval;
            backoff.record_success(&TERMS, &mut rng);
            backoff.record_success(&TERMS, &mut rng);
            assert_eq!(backoff.interval, before, "two successes change nothing");
            backoff.record_success(&TERMS, &mut rng);
            let v = before * TERMS.decrease_factor;
            let delta = (TERMS.jitter * v).min(TERMS.max_jitter);
            let near =
                backoff.interval >= v - delta - 1.0e-9 && backoff.interval <= v + delta + 1.0e-9;
            let zero = backoff.interval == 0.0 && v - delta < TERMS.initial;
            assert!(
                near && backoff.interval >= TERMS.initial || zero,
                "{before} -> {}",
                backoff.interval
            );
            rounds += 1;
        }
        assert!((3..=12).contains(&rounds), "{rounds}");
        assert!(backoff.is_open(0));
    }
}

#[test]
fn backoffs_of_dispatchers_rejected_together_are_spread() {
    let mut opens: Vec<u64> = (0..50)
        .map(|seed| {
            let (mut backoff, mut rng) = (AdaptiveBackoff::default(), rng(seed));
            (0..3).for_each(|_| backoff.record_failure(0, &TERMS, &mut rng));
            backoff.open_at
        })
        .collect();
    opens.sort_unstable();
    opens.dedup();
    assert!(opens.len() >= 40, "{} different times of 50", opens.len());
    assert!(opens[opens.len() - 1] - opens[0] >= 200);
}
