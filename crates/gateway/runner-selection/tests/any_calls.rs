//! Whatever is called in whatever order: nothing panics, nothing that is gone is chosen, counts come back
//! to nothing.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

#[expect(dead_code, reason = "each test file uses a part")]
mod support;

use proptest::prelude::*;
use runner_registry::RunnerState;
use runner_selection::{
    AttemptId, Balancer, Choice, LoadReport, Outcome, RequestProfile, RunnerKey, RunnerLoad,
    ServiceTerms,
};
use support::{listed, llm, plain, traffic};

#[derive(Debug, Clone)]
enum Call {
    Runner(usize, u8, u32),
    Remove(usize),
    Choose(RequestProfile),
    Item(RequestProfile),
    Sent(usize, RequestProfile, bool),
    First(usize),
    Ended(usize, u8),
    Load(usize, u32, u32, u32),
    LoadReport(usize, u64, u64),
    Look,
    Share(u32),
    Pass(u64),
}

fn some_want() -> impl Strategy<Value = RequestProfile> {
    let tokens = prop_oneof![0u32..20_000, Just(u32::MAX)];
    let part = (0u64..20, prop_oneof![0u32..20_000, Just(u32::MAX)]);
    (
        prop::collection::vec(part, 0..4),
        tokens,
        any::<u32>(),
        0u32..600,
        0u32..6_000,
        any::<bool>(),
        0u8..3,
    )
        .prop_map(
            |(prefix, tokens_in, tokens_out, target_ms, left_ms, repeatable, svc)| RequestProfile {
                service: ["lm", "plain", "nowhere"][usize::from(svc)].into(),
                prompt_parts: prefix,
                prompt_tokens: tokens_in,
                max_output_tokens: tokens_out,
                target_ms,
                remaining_ms: left_ms,
                retryable: repeatable,
                waited_ms: left_ms % 100,
                ..RequestProfile::default()
            },
        )
}

fn calls() -> impl Strategy<Value = Vec<Call>> {
    let call = prop_oneof![
        2 => (0usize..12, 0u8..6, 0u32..40).prop_map(|(n, s, slots)| Call::Runner(n, s, slots)),
        1 => (0usize..12).prop_map(Call::Remove),
        4 => some_want().prop_map(Call::Choose),
        2 => some_want().prop_map(Call::Item),
        6 => (0usize..12, some_want(), any::<bool>()).prop_map(|(n, w, i)| Call::Sent(n, w, i)),
        4 => (0usize..40).prop_map(Call::First),
        5 => (0usize..40, 0u8..9).prop_map(|(n, e)| Call::Ended(n, e)),
        3 => (0usize..12, any::<u32>(), 0u32..60, 0u32..60).prop_map(|(n, a, b, c)| Call::Load(n, a, b, c)),
        1 => (0usize..12, any::<u64>(), any::<u64>()).prop_map(|(n, a, b)| Call::LoadReport(n, a, b)),
        1 => Just(Call::Look),
        1 => (0u32..400).prop_map(Call::Share),
        4 => (0u64..3_000).prop_map(Call::Pass),
    ];
    prop::collection::vec(call, 1..200)
}

const ENDS: [Outcome; 9] = [
    Outcome::Completed,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::ConnectionLost,
    Outcome::ServerError,
    Outcome::NotRun,
    Outcome::Misdirected,
    Outcome::TimedOut,
    Outcome::ClientDisconnected,
];

fn terms(n: usize) -> (&'static str, ServiceTerms) {
    if n.is_multiple_of(2) {
        ("lm", llm(50, 100_000))
    } else {
        ("plain", plain(50))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_calls_neither_panic_nor_select_a_removed_runner(seed in any::<u64>(), calls in calls()) {
        let mut balancer = Balancer::new(seed, "z0");
        let (mut now, mut sends): (u64, Vec<AttemptId>) = (1, Vec::new());
        let mut keys: Vec<RunnerKey> = vec![RunnerKey(0); 12];
        for call in calls {
            match call {
                Call::Runner(n, state, slots) => {
                    let (svc, terms) = terms(n);
                    let mut runner = listed(n, svc, slots);
                    runner.state = match state {
                        0 => RunnerState::Draining,
                        1 => RunnerState::Gone,
                        _ => RunnerState::Up,
                    };
                    balancer.update_runner(now, &runner, terms);
                    keys[n] = balancer.runner_key(&runner.id).unwrap_or(keys[n]);
                }
                Call::Remove(n) => balancer.remove_runner(&format!("i-{n:08x}")),
                Call::Choose(want) => match balancer.choose(now, &want) {
                    Choice::Send { runner } => prop_assert!(balancer.is_up(runner)),
                    Choice::Wait { until } => prop_assert!(until > now && until <= now + 1_000),
                    Choice::Reject { retry_after_ms } => prop_assert!(retry_after_ms <= 5_000),
                },
                Call::Item(want) => {
                    let chosen = balancer.choose_item(now, &want);
                    prop_assert!(chosen.is_none_or(|key| balancer.is_up(key)));
                    prop_assert!(balancer.item_capacity(now, want.service.as_str()) <= 12 * 60);
                }
                Call::Sent(n, want, item) => sends.push(balancer.attempt_started(now, keys[n], &want, traffic(item))),
                Call::First(n) => sends.get(n).into_iter().for_each(|s| balancer.first_token_received(now, *s)),
                Call::Ended(n, end) if n < sends.len() => {
                    let send = sends.swap_remove(n);
                    balancer.attempt_ended(now, send, ENDS[usize::from(end)]);
                }
                Call::Ended(..) => {}
                Call::Load(n, running, waiting, slots) => balancer.load_reported(now, keys[n], RunnerLoad { running, waiting, slots }),
                Call::LoadReport(n, kv_in_use, kv_size) => {
                    let report = LoadReport { queued: 1, active: 2, kv_in_use, kv_size };
                    balancer.report_received(now, keys[n], report);
                }
                Call::Look => {
                    balancer.overdue_attempts(now);
                    balancer.runners_to_probe(now);
                }
                Call::Share(dispatchers) => balancer.set_dispatcher_count(dispatchers),
                Call::Pass(ms) => now += ms,
            }
        }
        for send in sends {
            balancer.attempt_ended(now, send, Outcome::Completed);
        }
        // Whatever was learned is a figure.
        for svc in ["lm", "plain"] {
            if let Some(l) = balancer.service_estimates(svc) {
                let all = [l.base_ms, l.per_token_ms, l.first_token_ms, l.run_ms, l.home_hit_rate, l.load_by_others, l.late_share, l.item_reserve];
                prop_assert!(all.iter().all(|v| v.is_finite() && *v >= 0.0), "{l:?}");
            }
        }
    }
}
