//! Single choices, of what is known.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

#[expect(dead_code, reason = "each test file uses a part")]
mod support;

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use runner_registry::RunnerState;
use runner_selection::{
    Balancer, Choice, LoadReport, Outcome, RequestProfile, RunnerKey, RunnerLoad, Traffic,
};
use std::collections::HashMap;
use support::{balancer, listed, llm, plain, traffic, unit, want, SVC};

fn keys(balancer: &Balancer, many: usize) -> Vec<RunnerKey> {
    (0..many)
        .map(|n| balancer.runner_key(&format!("i-{n:08x}")).unwrap())
        .collect()
}

fn sent_to(choice: Choice) -> RunnerKey {
    match choice {
        Choice::Send { runner } => runner,
        other => panic!("{other:?}"),
    }
}

#[test]
fn never_rejected_while_a_slot_is_known_to_be_free() {
    for seed in 0..400 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (runners, slots) = (
            2 + (rng.next_u64() % 20) as usize,
            4 + (rng.next_u64() % 44) as u32,
        );
        let terms = if seed % 2 == 0 {
            llm(200, 10_000_000)
        } else {
            plain(200)
        };
        let mut balancer = balancer(seed, runners, slots, terms, 1 + (seed % 12) as u32);
        let keys = keys(&balancer, runners);
        let free = (rng.next_u64() % runners as u64) as usize;
        for (n, key) in keys.iter().enumerate() {
            let (running, waiting) = if n == free {
                (slots - 2, 0)
            } else {
                (slots, (unit(&mut rng) * 50.0) as u32)
            };
            balancer.load_reported(
                1_000,
                *key,
                RunnerLoad {
                    running,
                    waiting,
                    slots,
                },
            );
        }
        for _ in 0..20 {
            let left_ms = 1 + (rng.next_u64() % 5_000) as u32;
            let wanted = RequestProfile {
                remaining_ms: left_ms,
                target_ms: 1 + (rng.next_u64() % 500) as u32,
                ..want(2_000, 200)
            };
            let choice = balancer.choose(1_000, &wanted);
            assert!(
                !matches!(choice, Choice::Reject { .. }),
                "{seed}: {choice:?} with {left_ms} ms left"
            );
        }
    }
}

#[test]
fn rejected_at_once_where_all_are_full_and_the_target_would_be_missed() {
    let mut balancer = balancer(3, 8, 10, llm(200, 1_000_000), 4);
    for key in keys(&balancer, 8) {
        balancer.load_reported(
            1_000,
            key,
            RunnerLoad {
                running: 10,
                waiting: 200,
                slots: 10,
            },
        );
    }
    let wanted = RequestProfile {
        remaining_ms: 1_500,
        ..want(600, 200)
    };
    let Choice::Reject { retry_after_ms } = balancer.choose(1_000, &wanted) else {
        panic!("not refused")
    };
    assert!(
        (50..=500).contains(&retry_after_ms),
        "a third of what is left at most: {retry_after_ms}"
    );
    // Those refused together don't come back together.
    let mut times: Vec<u64> = (0..40)
        .map(|_| {
            match balancer.choose(
                1_000,
                &RequestProfile {
                    remaining_ms: 60_000,
                    ..wanted.clone()
                },
            ) {
                Choice::Reject { retry_after_ms } => retry_after_ms,
                other => panic!("{other:?}"),
            }
        })
        .collect();
    times.sort_unstable();
    assert!(times.iter().all(|t| *t <= 2_000));
}

#[test]
fn rejected_by_all_it_waits_for_the_first_backoff_within_its_wait_bound() {
    let mut balancer = balancer(3, 3, 6, plain(100), 4);
    let mut wanted = RequestProfile {
        target_ms: 300,
        remaining_ms: 4_000,
        ..want(0, 0)
    };
    for _ in 0..3 {
        let key = sent_to(balancer.choose(1_000, &wanted));
        assert!(!wanted.attempted.contains(&key), "another one each time");
        let send = balancer.attempt_started(1_000, key, &wanted, Traffic::Live);
        balancer.attempt_ended(1_000, send, Outcome::Rejected);
        wanted.attempted.push(key);
    }
    let Choice::Wait { until } = balancer.choose(1_000, &wanted) else {
        panic!("no wait")
    };
    assert!((1_001..=1_050).contains(&until));
    let again = balancer.choose(until + 50, &wanted);
    assert!(
        matches!(again, Choice::Send { .. }),
        "the interval has passed: {again:?}"
    );
    // Never offered and waiting for too long already: a later refusal would be priced.
    let late = RequestProfile {
        waited_ms: 70,
        attempted: Vec::new(),
        ..wanted
    };
    assert!(matches!(
        balancer.choose(1_000, &late),
        Choice::Reject { .. }
    ));
}

#[test]
fn load_reported_after_a_rejection_overrides_the_backoff() {
    let mut balancer = balancer(3, 1, 6, plain(100), 4);
    let wanted = want(0, 0);
    let key = sent_to(balancer.choose(1_000, &wanted));
    for _ in 0..5 {
        let send = balancer.attempt_started(1_000, key, &wanted, Traffic::Live);
        balancer.attempt_ended(1_000, send, Outcome::Rejected);
    }
    let held = balancer.choose(1_001, &wanted);
    assert!(matches!(held, Choice::Wait { .. }), "{held:?}");
    balancer.load_reported(
        1_002,
        key,
        RunnerLoad {
            running: 1,
            waiting: 0,
            slots: 6,
        },
    );
    assert_eq!(sent_to(balancer.choose(1_003, &wanted)), key);
    assert_eq!(
        balancer.choose_item(1_003, &wanted),
        None,
        "an item waits out the interval"
    );
}

#[test]
fn draining_and_removed_runners_get_nothing_new() {
    let mut balancer = balancer(9, 4, 8, llm(200, 1_000_000), 2);
    let keys = keys(&balancer, 4);
    let send = balancer.attempt_started(10, keys[0], &want(100, 10), Traffic::Live);
    let mut draining = listed(0, SVC, 8);
    draining.state = RunnerState::Draining;
    balancer.update_runner(10, &draining, llm(200, 1_000_000));
    let mut gone = listed(1, SVC, 8);
    gone.state = RunnerState::Gone;
    balancer.update_runner(10, &gone, llm(200, 1_000_000));
    balancer.remove_runner("i-00000002");
    assert!(!balancer.is_up(keys[0]) && !balancer.is_up(keys[1]) && !balancer.is_up(keys[2]));
    assert_eq!(balancer.runner_id(keys[1]), "");
    for now in 20..220 {
        assert_eq!(sent_to(balancer.choose(now, &want(100, 10))), keys[3]);
        assert!(balancer
            .choose_item(now, &want(100, 10))
            .is_none_or(|k| k == keys[3]));
    }
    // What is under way ends as ever.
    balancer.first_token_received(30, send);
    balancer.attempt_ended(40, send, Outcome::Completed);
    balancer.remove_runner("i-00000003");
    assert!(matches!(
        balancer.choose(300, &want(100, 10)),
        Choice::Wait { .. }
    ));
    let waited = RequestProfile {
        waited_ms: 100,
        ..want(100, 10)
    };
    assert!(matches!(
        balancer.choose(300, &waited),
        Choice::Reject { .. }
    ));
}

#[test]
fn keys_are_never_reused_and_attempts_at_removed_runners_end() {
    let mut balancer = balancer(9, 1, 8, plain(100), 1);
    let old = balancer.runner_key("i-00000000").unwrap();
    let send = balancer.attempt_started(0, old, &want(0, 0), Traffic::Live);
    for n in 1..2_000 {
        balancer.remove_runner(&format!("i-{:08x}", n - 1));
        balancer.update_runner(n as u64, &listed(n, SVC, 8), plain(100));
        assert_ne!(balancer.runner_key(&format!("i-{n:08x}")), Some(old));
        assert!(!balancer.is_up(old));
    }
    balancer.first_token_received(3_000, send);
    balancer.attempt_ended(3_000, send, Outcome::Completed);
    balancer.attempt_ended(3_000, send, Outcome::Completed);
    balancer.load_reported(
        3_000,
        old,
        RunnerLoad {
            running: 1,
            waiting: 1,
            slots: 1,
        },
    );
    balancer.report_received(3_000, old, LoadReport::default());
}

#[test]
fn dispatchers_with_the_same_knowledge_spread_their_requests() {
    // The empty one in the own zone, and in another.
    for empty in [4, 5] {
        let mut at = HashMap::new();
        for seed in 0..10 {
            let mut balancer = balancer(seed, 10, 24, llm(220, 400_000), 10);
            let keys = keys(&balancer, 10);
            for (n, key) in keys.iter().enumerate() {
                balancer.load_reported(
                    1_000,
                    *key,
                    RunnerLoad {
                        running: if n == empty { 0 } else { 20 },
                        waiting: 0,
                        slots: 24,
                    },
                );
            }
            for _ in 0..3 {
                let key = sent_to(balancer.choose(1_001, &want(500, 100)));
                balancer.attempt_started(1_001, key, &want(500, 100), Traffic::Live);
                *at.entry(key).or_insert(0) += 1;
            }
        }
        let most = at.values().max().unwrap();
        assert!(*most <= 24, "all that find it empty would fill it: {at:?}");
        assert!(at.len() >= 3, "{at:?}");
    }
}

#[test]
fn equal_runners_are_drawn_with_the_own_zone_preferred() {
    let mut balancer = balancer(5, 12, 24, llm(220, 400_000), 10);
    let keys = keys(&balancer, 12);
    let (mut near, mut all) = (0, vec![0; 12]);
    for n in 0..1_200 {
        let key = sent_to(balancer.choose(n, &want(500, 100)));
        let at = keys.iter().position(|k| *k == key).unwrap();
        near += u32::from(at % 4 == 0);
        all[at] += 1;
    }
    assert!(
        (500..1_150).contains(&near),
        "{near} of 1,200 in the own zone"
    );
    assert!(all.iter().all(|n| *n >= 10), "{all:?}");
}

#[test]
fn long_parts_have_the_same_home_everywhere_and_short_ones_have_none() {
    let long = RequestProfile {
        prompt_parts: vec![(77, 14_000), (78, 900)],
        prompt_tokens: 14_900,
        ..want(0, 100)
    };
    let short = RequestProfile {
        prompt_parts: vec![(79, 150), (80, 500)],
        prompt_tokens: 650,
        ..want(0, 100)
    };
    let (mut homes, mut others) = (HashMap::new(), HashMap::new());
    for seed in 0..40 {
        let mut balancer = balancer(seed, 16, 24, llm(220, 400_000), 10);
        *homes
            .entry(sent_to(balancer.choose(1_000, &long)))
            .or_insert(0) += 1;
        *others
            .entry(sent_to(balancer.choose(1_000, &short)))
            .or_insert(0) += 1;
    }
    assert_eq!(homes.len(), 1, "{homes:?}");
    assert!(others.len() >= 4, "{others:?}");
}

#[test]
fn overloaded_home_is_skipped_for_the_next_one() {
    let long = RequestProfile {
        prompt_parts: vec![(77, 14_000), (78, 900)],
        prompt_tokens: 14_900,
        ..want(0, 100)
    };
    let mut next = HashMap::new();
    for seed in 0..20 {
        let mut balancer = balancer(seed, 16, 24, llm(220, 400_000), 10);
        let home = sent_to(balancer.choose(1_000, &long));
        for key in keys(&balancer, 16) {
            balancer.load_reported(
                1_000,
                key,
                RunnerLoad {
                    running: if key == home { 24 } else { 6 },
                    waiting: if key == home { 10 } else { 0 },
                    slots: 24,
                },
            );
        }
        let other = sent_to(balancer.choose(1_001, &long));
        assert_ne!(other, home);
        *next.entry(other).or_insert(0) += 1;
    }
    assert_eq!(next.len(), 1, "the same one at every dispatcher: {next:?}");
}

#[test]
fn session_returns_to_the_runner_that_has_its_part() {
    let mut balancer = balancer(2, 16, 24, llm(220, 400_000), 1);
    let first = RequestProfile {
        prompt_parts: vec![(1, 100), (42, 6_000)],
        prompt_tokens: 6_100,
        ..want(0, 100)
    };
    let key = sent_to(balancer.choose(1_000, &first));
    let send = balancer.attempt_started(1_000, key, &first, Traffic::Live);
    balancer.first_token_received(1_060, send);
    balancer.attempt_ended(1_500, send, Outcome::Completed);
    for n in 0..20 {
        assert_eq!(sent_to(balancer.choose(2_000 + n, &first)), key);
    }
}

#[test]
fn unreachable_runner_is_ejected_ever_longer_and_probed_by_retryable_requests_only() {
    let mut balancer = balancer(4, 4, 24, plain(220), 1);
    let keys = keys(&balancer, 4);
    let (mut now, mut spans) = (1_000, Vec::new());
    for _ in 0..5 {
        let send = balancer.attempt_started(now, keys[1], &want(0, 0), Traffic::Live);
        balancer.attempt_ended(now, send, Outcome::ConnectFailed);
        let from = now;
        let once = want(0, 0);
        let again = RequestProfile {
            retryable: true,
            ..want(0, 0)
        };
        while !balancer.is_healthy(now, keys[1]) {
            now += 1;
            assert_ne!(
                sent_to(balancer.choose(now, &once)),
                keys[1],
                "one that can't be repeated"
            );
            if (0..8).any(|_| sent_to(balancer.choose(now, &again)) == keys[1]) {
                break;
            }
        }
        spans.push(now - from);
    }
    assert!(spans[0] >= 140 && spans[0] < 600, "{spans:?}");
    assert!(
        spans
            .windows(2)
            .all(|w| w[1] as f64 > 1.2 * w[0] as f64 || w[1] >= 2_000),
        "{spans:?}"
    );
    let send = balancer.attempt_started(now, keys[1], &want(0, 0), Traffic::Live);
    balancer.attempt_ended(now + 10, send, Outcome::Completed);
    assert!(balancer.is_healthy(now + 10, keys[1]), "an answer ends it");
}

#[test]
fn ejected_runners_are_used_when_all_are_ejected() {
    let mut balancer = balancer(4, 3, 24, llm(220, 400_000), 1);
    for key in keys(&balancer, 3) {
        let send = balancer.attempt_started(1_000, key, &want(100, 10), Traffic::Live);
        balancer.attempt_ended(1_000, send, Outcome::ConnectionLost);
    }
    let waited = RequestProfile {
        waited_ms: 60,
        ..want(100, 10)
    };
    sent_to(balancer.choose(1_001, &waited));
    let fresh = balancer.choose(1_002, &want(100, 10));
    assert!(
        matches!(fresh, Choice::Wait { until } if until <= 1_051),
        "{fresh:?}"
    );
}

#[test]
fn overdue_attempts_are_reported_once_where_retryable() {
    let mut balancer = balancer(4, 3, 24, llm(220, 400_000), 1);
    let keys = keys(&balancer, 3);
    let again = RequestProfile {
        retryable: true,
        ..want(100, 10)
    };
    let first = balancer.attempt_started(1_000, keys[0], &again, Traffic::Live);
    balancer.attempt_started(1_000, keys[0], &want(100, 10), Traffic::Live);
    let alive = balancer.attempt_started(1_000, keys[1], &again, Traffic::Live);
    balancer.event_received(1_400, alive);
    assert!(balancer.overdue_attempts(1_200).is_empty());
    assert_eq!(balancer.overdue_attempts(1_500), vec![first]);
    assert!(balancer.overdue_attempts(1_600).is_empty());
    assert!(!balancer.is_healthy(1_600, keys[0]));
    assert!(
        balancer.is_healthy(1_600, keys[1]),
        "it has shown a sign of life"
    );
}

#[test]
fn answered_probe_ends_an_ejection_and_probes_are_rate_limited() {
    let mut balancer = balancer(4, 50, 24, llm(220, 400_000), 1);
    let keys = keys(&balancer, 50);
    for key in &keys {
        let send = balancer.attempt_started(1_000, *key, &want(100, 10), Traffic::Live);
        balancer.attempt_ended(1_000, send, Outcome::TimedOut);
    }
    assert!(
        balancer.runners_to_probe(1_010).is_empty(),
        "they are to be left alone for a while"
    );
    let asked = balancer.runners_to_probe(1_600);
    assert!(!asked.is_empty() && asked.len() <= 4, "{asked:?}");
    let report = LoadReport {
        queued: 1,
        active: 3,
        kv_in_use: 1_000,
        kv_size: 400_000,
    };
    balancer.report_received(1_650, asked[0], report);
    assert!(balancer.is_healthy(1_650, asked[0]));
    balancer.report_failed(1_650, asked[1]);
    assert!(!balancer.is_healthy(1_650, asked[1]));
    let mut many = 0;
    for now in (1_700..11_700).step_by(100) {
        many += balancer.runners_to_probe(now).len();
    }
    assert!(many <= 25, "two a second at most: {many}");
}

#[test]
fn rejection_of_an_oversized_request_starts_no_backoff() {
    let mut balancer = balancer(4, 1, 24, llm(220, 10_000), 1);
    let key = balancer.runner_key("i-00000000").unwrap();
    let send = balancer.attempt_started(1_000, key, &want(20_000, 100), Traffic::Live);
    balancer.attempt_ended(1_001, send, Outcome::Rejected);
    assert_eq!(sent_to(balancer.choose(1_002, &want(100, 10))), key);
}

#[test]
fn connections_are_limited_to_the_share_of_a_dispatcher() {
    let mut balancer = balancer(4, 2, 24, llm(220, 400_000), 10);
    let keys = keys(&balancer, 2);
    assert_eq!(balancer.connection_limit(keys[0]), 22);
    balancer.set_dispatcher_count(400);
    assert_eq!(balancer.connection_limit(keys[0]), 2);
    balancer.attempt_started(0, keys[0], &want(100, 10), Traffic::Live);
    balancer.attempt_started(0, keys[0], &want(100, 10), Traffic::Live);
    for now in 1..50 {
        assert_eq!(
            sent_to(balancer.choose(now, &want(100, 10))),
            keys[1],
            "no connection is left there"
        );
    }
}

#[test]
fn items_are_drawn_by_free_slots_and_an_unreported_runner_gets_one() {
    let mut balancer = balancer(6, 3, 20, llm(220, 4_000_000), 1);
    let keys = keys(&balancer, 3);
    let item = RequestProfile {
        retryable: true,
        remaining_ms: 10_000,
        ..want(300, 100)
    };
    // Nobody has said anything: one each.
    let mut firsts = Vec::new();
    while let Some(key) = balancer.choose_item(1_000, &item) {
        firsts.push((
            key,
            balancer.attempt_started(1_000, key, &item, Traffic::Item),
        ));
        assert!(firsts.len() <= 3);
    }
    assert_eq!(firsts.len(), 3);
    for (key, send) in firsts {
        balancer.first_token_received(1_010, send);
        balancer.attempt_ended(1_020, send, Outcome::Completed);
        balancer.load_reported(
            1_020,
            key,
            RunnerLoad {
                running: if key == keys[0] {
                    4
                } else if key == keys[1] {
                    12
                } else {
                    20
                },
                waiting: 0,
                slots: 20,
            },
        );
    }
    let mut got = HashMap::new();
    for _ in 0..1_000 {
        *got.entry(balancer.choose_item(1_021, &item).unwrap())
            .or_insert(0) += 1;
    }
    assert_eq!(got.get(&keys[2]), None, "it has no free slot");
    let (wide, narrow) = (got[&keys[0]] as f64, got[&keys[1]] as f64);
    assert!(wide / narrow > 1.6 && wide / narrow < 3.5, "{got:?}");
    assert!(balancer.item_capacity(1_021, SVC) >= 1);
    // Full everywhere: hold it.
    keys.iter().for_each(|key| {
        balancer.load_reported(
            1_030,
            *key,
            RunnerLoad {
                running: 20,
                waiting: 5,
                slots: 20,
            },
        )
    });
    assert_eq!(balancer.choose_item(1_031, &item), None);
    assert_eq!(balancer.item_capacity(1_031, SVC), 0);
}

/// A fleet of eight runners, all full but one, and an item on its way that is due so long after its sending.
fn nearly_full_fleet(item_left_ms: u32) -> Balancer {
    let mut balancer = balancer(6, 8, 10, llm(220, 4_000_000), 1);
    let keys = keys(&balancer, 8);
    let item = RequestProfile {
        retryable: true,
        remaining_ms: item_left_ms,
        ..want(300, 100)
    };
    let send = balancer.attempt_started(1_000, keys[0], &item, Traffic::Item);
    balancer.first_token_received(1_010, send);
    for now in 1_010..1_060 {
        for key in &keys {
            let (running, waiting) = if *key == keys[7] { (4, 0) } else { (10, 2) };
            balancer.load_reported(
                now,
                *key,
                RunnerLoad {
                    running,
                    waiting,
                    slots: 10,
                },
            );
        }
    }
    balancer
}

#[test]
fn item_with_time_to_spare_waits_while_the_fleet_is_full() {
    assert_eq!(
        nearly_full_fleet(20_000).item_capacity(1_060, SVC),
        0,
        "one runner has room, the fleet has none"
    );
    assert!(
        nearly_full_fleet(2_000).item_capacity(1_060, SVC) >= 1,
        "it is due soon"
    );
    let mut unheard = nearly_full_fleet(20_000);
    assert!(
        unheard.item_capacity(4_000, SVC) >= 1,
        "what was said long ago is no reason to wait"
    );
    for now in 4_000..4_050 {
        keys(&unheard, 8).into_iter().for_each(|key| {
            unheard.load_reported(
                now,
                key,
                RunnerLoad {
                    running: 4,
                    waiting: 0,
                    slots: 10,
                },
            )
        });
    }
    assert!(
        unheard.item_capacity(4_050, SVC) >= 1,
        "there is room again"
    );
}

#[test]
fn items_use_more_of_the_reserve_the_nearer_they_are_due() {
    let is_open = |item_left_ms| {
        let mut balancer = balancer(6, 8, 100, llm(2_200, 40_000_000), 1);
        let keys = keys(&balancer, 8);
        let item = RequestProfile {
            retryable: true,
            remaining_ms: item_left_ms,
            ..want(300, 100)
        };
        let send = balancer.attempt_started(1_000, keys[0], &item, Traffic::Item);
        balancer.first_token_received(1_010, send);
        for now in 1_010..1_060 {
            for key in &keys {
                balancer.load_reported(
                    now,
                    *key,
                    RunnerLoad {
                        running: if *key == keys[7] { 68 } else { 100 },
                        waiting: 0,
                        slots: 100,
                    },
                );
            }
        }
        balancer.item_capacity(1_060, SVC) > 0
    };
    assert!(
        !is_open(60_000) && is_open(4_000),
        "0.96 full, of which six hundredths are kept for live requests"
    );
}

#[test]
fn items_wait_out_the_backoff_of_a_runner_that_rejected_one() {
    let mut balancer = balancer(6, 1, 20, llm(220, 4_000_000), 1);
    let key = balancer.runner_key("i-00000000").unwrap();
    let item = RequestProfile {
        retryable: true,
        remaining_ms: 10_000,
        ..want(300, 100)
    };
    let mut now = 1_000;
    let mut spans = Vec::new();
    for _ in 0..6 {
        balancer.load_reported(
            now,
            key,
            RunnerLoad {
                running: 1,
                waiting: 0,
                slots: 20,
            },
        );
        assert_eq!(balancer.choose_item(now, &item), Some(key));
        let send = balancer.attempt_started(now, key, &item, Traffic::Item);
        balancer.attempt_ended(now, send, Outcome::Rejected);
        let from = now;
        loop {
            now += 1;
            balancer.load_reported(
                now,
                key,
                RunnerLoad {
                    running: 1,
                    waiting: 0,
                    slots: 20,
                },
            );
            if balancer.choose_item(now, &item).is_some() {
                break;
            }
        }
        spans.push(now - from);
    }
    assert!(spans.windows(2).all(|w| w[1] > w[0]), "{spans:?}");
}

#[test]
fn item_that_is_due_soon_uses_the_reserve() {
    let mut balancer = balancer(6, 1, 20, llm(220, 4_000_000), 1);
    let key = balancer.runner_key("i-00000000").unwrap();
    balancer.load_reported(
        1_000,
        key,
        RunnerLoad {
            running: 19,
            waiting: 0,
            slots: 20,
        },
    );
    let item = |left_ms| RequestProfile {
        retryable: true,
        remaining_ms: left_ms,
        ..want(300, 100)
    };
    assert_eq!(balancer.choose_item(1_000, &item(10_000)), None);
    assert_eq!(balancer.choose_item(1_000, &item(0)), Some(key));
}

#[test]
fn thousands_of_runners_and_parts_are_bounded() {
    let mut balancer = Balancer::new(1, "z0");
    balancer.set_dispatcher_count(300);
    for n in 0..10_000 {
        balancer.update_runner(0, &listed(n, SVC, 24), llm(2_200, 400_000));
    }
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let mut homes: HashMap<u64, RunnerKey> = HashMap::new();
    let mut at_home = 0;
    for n in 0..3_000u64 {
        let part = rng.next_u64() % 50;
        let prefix = vec![(part, 14_000), (rng.next_u64(), 900)];
        let wanted = RequestProfile {
            prompt_parts: prefix,
            prompt_tokens: 14_900,
            ..want(0, 100)
        };
        let now = 1_000 + n * 20;
        let key = sent_to(balancer.choose(now, &wanted));
        at_home += u32::from(*homes.entry(part).or_insert(key) == key);
        let send = balancer.attempt_started(now, key, &wanted, Traffic::Live);
        balancer.first_token_received(now + 20, send);
        balancer.attempt_ended(now + 200, send, Outcome::Completed);
    }
    assert!(
        at_home > 2_800,
        "{at_home} of 3,000 where the part was first"
    );
}

#[test]
fn same_seed_and_calls_give_the_same_selections() {
    let play = || {
        let mut balancer = balancer(11, 9, 12, llm(90, 300_000), 3);
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut said = String::new();
        let mut sends = Vec::new();
        for now in 0..3_000u64 {
            let wanted = RequestProfile {
                retryable: now % 3 == 0,
                ..want((rng.next_u64() % 9_000) as u32, 100)
            };
            match balancer.choose(now, &wanted) {
                Choice::Send { runner } => sends.push(balancer.attempt_started(
                    now,
                    runner,
                    &wanted,
                    traffic(now % 7 == 0),
                )),
                other => said += &format!("{other:?}"),
            }
            if !sends.is_empty() && rng.next_u64() % 100 < 97 {
                let send = sends.swap_remove((rng.next_u64() % sends.len() as u64) as usize);
                let ends = [
                    Outcome::Completed,
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::ConnectionLost,
                    Outcome::ServerError,
                    Outcome::NotRun,
                ];
                let more = [
                    Outcome::Misdirected,
                    Outcome::TimedOut,
                    Outcome::ClientDisconnected,
                    Outcome::Completed,
                    Outcome::Completed,
                    Outcome::Completed,
                ];
                balancer.first_token_received(now, send);
                balancer.attempt_ended(
                    now,
                    send,
                    *ends
                        .iter()
                        .chain(&more)
                        .nth((rng.next_u64() % 12) as usize)
                        .unwrap(),
                );
            }
            said += &format!("{:?}", balancer.choose_item(now, &wanted));
            said += &format!("{:?}", balancer.runners_to_probe(now));
            said += &format!("{:?}", balancer.overdue_attempts(now));
        }
        said
    };
    assert_eq!(play(), play());
}

#[test]
fn old_reports_are_no_reason_to_reject_or_to_hold_back() {
    let mut balancer = balancer(6, 6, 20, llm(220, 4_000_000), 10);
    let keys = keys(&balancer, 6);
    for now in 0..50 {
        keys.iter().for_each(|key| {
            balancer.load_reported(
                1_000 + now,
                *key,
                RunnerLoad {
                    running: 20,
                    waiting: 60,
                    slots: 20,
                },
            )
        });
    }
    let item = RequestProfile {
        retryable: true,
        remaining_ms: 10_000,
        ..want(300, 100)
    };
    assert!(matches!(
        balancer.choose(1_060, &want(300, 100)),
        Choice::Reject { .. }
    ));
    assert_eq!(
        (
            balancer.item_capacity(1_060, SVC),
            balancer.choose_item(1_060, &item)
        ),
        (0, None)
    );
    // All were refused, so nothing was heard. The first to come shows how it is by now.
    let key = sent_to(balancer.choose(4_000, &want(300, 100)));
    assert!(balancer.item_capacity(4_000, SVC) >= 1);
    assert!(balancer.choose_item(4_000, &item).is_some());
    for key in &keys {
        balancer.load_reported(
            4_010,
            *key,
            RunnerLoad {
                running: 20,
                waiting: 60,
                slots: 20,
            },
        );
    }
    let send = balancer.attempt_started(4_000, key, &want(300, 100), Traffic::Live);
    balancer.attempt_ended(4_010, send, Outcome::Rejected);
    assert!(matches!(
        balancer.choose(4_020, &want(300, 100)),
        Choice::Reject { .. }
    ));
}

#[test]
fn item_reserve_follows_the_live_load_up_and_down() {
    let mut balancer = balancer(6, 4, 20, llm(220, 4_000_000), 2);
    let key = keys(&balancer, 4)[0];
    let reserve = |e: &Balancer| e.service_estimates(SVC).unwrap().item_reserve;
    let least = reserve(&balancer);
    let live: Vec<_> = (0..40)
        .map(|n| balancer.attempt_started(1_000 + n, key, &want(300, 100), Traffic::Live))
        .collect();
    for _ in 0..100 {
        let item = balancer.attempt_started(1_050, key, &want(300, 100), Traffic::Item);
        balancer.attempt_ended(1_060, item, Outcome::Completed);
    }
    let busy = reserve(&balancer);
    assert!(busy > 2.0 * least, "{least} {busy}");
    live.into_iter()
        .for_each(|send| balancer.attempt_ended(1_100, send, Outcome::Completed));
    for _ in 0..200 {
        let item = balancer.attempt_started(1_200, key, &want(300, 100), Traffic::Item);
        balancer.attempt_ended(1_210, item, Outcome::Completed);
    }
    assert!(
        reserve(&balancer) < 1.1 * least,
        "{least} {}",
        reserve(&balancer)
    );
}

#[test]
fn unreported_pushes_of_other_dispatchers_reduce_the_capacity() {
    let mut balancer = balancer(6, 1, 40, llm(220, 4_000_000), 2);
    let key = keys(&balancer, 1)[0];
    let item = RequestProfile {
        retryable: true,
        remaining_ms: 10_000,
        ..want(20, 10)
    };
    // So small, beside so slow an objective, that what they take to read is no bound.
    for now in 0..200 {
        balancer.choose(
            now,
            &RequestProfile {
                target_ms: 5_000,
                ..want(20, 10)
            },
        );
        let send = balancer.attempt_started(now, key, &item, Traffic::Item);
        balancer.attempt_ended(now + 1, send, Outcome::Completed);
    }
    balancer.load_reported(
        1_000,
        key,
        RunnerLoad {
            running: 0,
            waiting: 0,
            slots: 40,
        },
    );
    for sent in 0..12u32 {
        let room = balancer.item_capacity(1_000, SVC);
        assert!(
            2 * (room + sent) <= 40,
            "two dispatchers with {sent} sent and {room} more each"
        );
        balancer.attempt_started(1_000, key, &item, Traffic::Item);
    }
}

#[test]
fn items_in_prefill_are_bounded_by_the_live_target() {
    let mut balancer = balancer(6, 12, 24, llm(220, 4_000_000), 10);
    let keys = keys(&balancer, 12);
    // Each prompt is its own: nothing of it was read before.
    let item = |n| RequestProfile {
        retryable: true,
        prompt_parts: vec![(n, 5_000)],
        remaining_ms: 10_000,
        ..want(5_000, 100)
    };
    for now in 0..200 {
        let send = balancer.attempt_started(now, keys[0], &item(now), Traffic::Item);
        balancer.attempt_ended(now + 60, send, Outcome::Completed);
    }
    keys.iter().for_each(|key| {
        balancer.load_reported(
            1_000,
            *key,
            RunnerLoad {
                running: 0,
                waiting: 0,
                slots: 24,
            },
        )
    });
    // Some 270 free slots are 27 for each of ten; but each item takes fifty milliseconds to read.
    assert!(
        (1..=3).contains(&balancer.item_capacity(1_000, SVC)),
        "{}",
        balancer.item_capacity(1_000, SVC)
    );
    balancer.attempt_started(1_000, keys[0], &item(1_000), Traffic::Item);
    balancer.attempt_started(1_000, keys[1], &item(1_001), Traffic::Item);
    assert_eq!(
        balancer.item_capacity(1_000, SVC),
        0,
        "until these have been read"
    );
}

/// What a runner says of its slots counts for its service as long as it is there, and is taken off with it.
#[test]
fn reported_slots_leave_with_their_runner() {
    for slots in [1, 48] {
        let mut balancer = balancer(3, 3, 6, plain(100), 4);
        let keys = keys(&balancer, 3);
        balancer.load_reported(
            1_000,
            keys[0],
            RunnerLoad {
                running: 0,
                waiting: 0,
                slots,
            },
        );
        balancer.remove_runner("i-00000000");
        let choice = balancer.choose(1_100, &want(0, 0));
        assert!(
            matches!(choice, Choice::Send { .. }),
            "two with 6 slots are up: {choice:?}"
        );
        // And none is left over when the last has gone.
        balancer.remove_runner("i-00000001");
        balancer.remove_runner("i-00000002");
        let choice = balancer.choose(
            1_200,
            &RequestProfile {
                target_ms: 1,
                remaining_ms: 10,
                ..want(0, 0)
            },
        );
        assert!(
            matches!(choice, Choice::Reject { .. }),
            "nobody is up: {choice:?}"
        );
    }
}
