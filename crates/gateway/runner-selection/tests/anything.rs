//! Whatever is called in whatever order: nothing panics, nothing that is gone is chosen, counts come back
//! to nothing.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use common::{listed, llm, plain};
use proptest::prelude::*;
use runner_registry::RunnerState;
use runner_selection::{Choice, End, Engines, Report, RunnerKey, SendId, SvcTerms, Want};

#[derive(Debug, Clone)]
enum Call {
    Runner(usize, u8, u32),
    Remove(usize),
    Choose(Want),
    Item(Want),
    Sent(usize, Want, bool),
    First(usize),
    Ended(usize, u8),
    Load(usize, u32, u32, u32),
    Report(usize, u64, u64),
    Look,
    Share(u32),
    Pass(u64),
}

fn some_want() -> impl Strategy<Value = Want> {
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
            |(prefix, tokens_in, tokens_out, target_ms, left_ms, repeatable, svc)| Want {
                svc: ["lm", "plain", "nowhere"][usize::from(svc)].into(),
                prefix,
                tokens_in,
                tokens_out,
                target_ms,
                left_ms,
                repeatable,
                waited_ms: left_ms % 100,
                ..Want::default()
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
        1 => (0usize..12, any::<u64>(), any::<u64>()).prop_map(|(n, a, b)| Call::Report(n, a, b)),
        1 => Just(Call::Look),
        1 => (0u32..400).prop_map(Call::Share),
        4 => (0u64..3_000).prop_map(Call::Pass),
    ];
    prop::collection::vec(call, 1..200)
}

const ENDS: [End; 9] = [
    End::Ok,
    End::Refused,
    End::ConnectFailed,
    End::Broken,
    End::Failed,
    End::NotRun,
    End::WrongRunner,
    End::TimedOut,
    End::ClientLeft,
];

fn terms(n: usize) -> (&'static str, SvcTerms) {
    if n.is_multiple_of(2) {
        ("lm", llm(50, 100_000))
    } else {
        ("plain", plain(50))
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn nothing_panics_and_nothing_that_is_gone_is_chosen(seed in any::<u64>(), calls in calls()) {
        let mut engines = Engines::new(seed, "z0");
        let (mut now, mut sends): (u64, Vec<SendId>) = (1, Vec::new());
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
                    engines.runner(now, &runner, terms);
                    keys[n] = engines.key(&runner.id).unwrap_or(keys[n]);
                }
                Call::Remove(n) => engines.remove(&format!("i-{n:08x}")),
                Call::Choose(want) => match engines.choose(now, &want) {
                    Choice::Send { runner } => prop_assert!(engines.usable(runner)),
                    Choice::Wait { until } => prop_assert!(until > now && until <= now + 1_000),
                    Choice::Refuse { retry_after_ms } => prop_assert!(retry_after_ms <= 5_000),
                },
                Call::Item(want) => {
                    let chosen = engines.choose_item(now, &want);
                    prop_assert!(chosen.is_none_or(|key| engines.usable(key)));
                    prop_assert!(engines.item_room(now, want.svc.as_str()) <= 12 * 60);
                }
                Call::Sent(n, want, item) => sends.push(engines.sent(now, keys[n], &want, item)),
                Call::First(n) => sends.get(n).into_iter().for_each(|s| engines.first_token(now, *s)),
                Call::Ended(n, end) if n < sends.len() => {
                    let send = sends.swap_remove(n);
                    engines.ended(now, send, ENDS[usize::from(end)]);
                }
                Call::Ended(..) => {}
                Call::Load(n, running, waiting, slots) => engines.load(now, keys[n], running, waiting, slots),
                Call::Report(n, kv_in_use, kv_size) => {
                    let report = Report { queued: 1, active: 2, kv_in_use, kv_size };
                    engines.report(now, keys[n], report);
                }
                Call::Look => {
                    engines.overdue(now);
                    engines.ask_reports(now);
                }
                Call::Share(dispatchers) => engines.share(dispatchers),
                Call::Pass(ms) => now += ms,
            }
        }
        for send in sends {
            engines.ended(now, send, End::Ok);
        }
        // Whatever was learned is a figure.
        for svc in ["lm", "plain"] {
            if let Some(l) = engines.learned(svc) {
                let all = [l.base_ms, l.per_token_ms, l.first_ms, l.run_ms, l.home_sure, l.others, l.late, l.reserve];
                prop_assert!(all.iter().all(|v| v.is_finite() && *v >= 0.0), "{l:?}");
            }
        }
    }
}
