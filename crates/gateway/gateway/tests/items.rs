//! Items of batch jobs: fetched, run, and their results handed over.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod common;

use batch::wire::{
    partition_of, CompleteRequest, CompleteResponse, Completion, FetchRequest, FetchResponse,
    Header, Item, LeaseKey, LeasedItem, Message, Outcome, PartitionRenewal, RenewOutcome,
    RenewRequest, RenewResponse, COMPLETE, FETCH, RENEW,
};
use common::store::{map, tell_map, Say, Store, PARTITIONS};
use common::*;
use runner_registry::RunnerState;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::Notify;

fn leased(index: u32) -> LeasedItem {
    let header = |name: &str, value: &str| Header {
        name: name.into(),
        value: value.into(),
    };
    let headers = vec![
        header("Fordrelay-Tokens", "540,400"),
        header("Fordrelay-Prompt-Prefix", "9c:300,5d:240"),
    ];
    LeasedItem {
        host: "h.example".into(),
        route: "bulk".into(),
        key: LeaseKey {
            batch_job: "lot-1".into(),
            index,
            lease: 100 + u64::from(index),
        },
        due_in_ms: 10_000,
        retain_in_ms: 60_000,
        failures_left: 2,
        item: Item {
            id: format!("item-{index}").into(),
            path: "/bulk/3/91c4".into(),
            headers,
            body: "the body".into(),
            tokens: 940,
        },
    }
}

/// A store that gives these items, one a fetch, and takes all results; what is to be dropped is asked of a function.
async fn store(
    items: Vec<LeasedItem>,
    drops: impl Fn(&RenewRequest) -> RenewOutcome + 'static,
) -> Rc<Store> {
    let items = RefCell::new(VecDeque::from(items));
    Store::new(1, move |kind, body| {
        Say::This(match kind {
            FETCH => {
                let call = FetchRequest::decode(body).unwrap();
                assert!(call
                    .demands
                    .iter()
                    .all(|want| want.route == "bulk" && want.max_items > 0));
                let items = items
                    .borrow_mut()
                    .pop_front()
                    .into_iter()
                    .collect::<Vec<_>>();
                if items.is_empty() {
                    return Say::Silence;
                }
                FetchResponse {
                    items,
                    redirects: vec![],
                }
                .encode()
            }
            COMPLETE => CompleteResponse::Accepted.encode(),
            RENEW => {
                let call = RenewRequest::decode(body).unwrap();
                let answer = drops(&call);
                let partition = call.partitions[0].partition;
                RenewResponse {
                    partitions: vec![PartitionRenewal {
                        partition,
                        outcome: answer,
                    }],
                }
                .encode()
            }
            other => panic!("asked {other:#x}"),
        })
    })
    .await
}

fn none(_: &RenewRequest) -> RenewOutcome {
    RenewOutcome::Revoke { leases: vec![] }
}

fn results(store: &Store) -> Vec<Completion> {
    let calls: Vec<CompleteRequest> = store
        .of(COMPLETE)
        .iter()
        .map(|body| CompleteRequest::decode(body).unwrap())
        .collect();
    assert!(calls
        .iter()
        .all(|call| usize::from(call.partition) == partition_of("h.example", "lot-1", PARTITIONS)));
    calls.into_iter().flat_map(|call| call.results).collect()
}

async fn rig(store: &Store, runners: &[&StandIn]) -> Rig {
    let rig = Rig::new(CONFIG, runners).await;
    tell_map(&rig.process.gateway, map(1, &[store.addr]));
    rig
}

fn text(outcome: &Outcome) -> &str {
    match outcome {
        Outcome::Complete { text } => std::str::from_utf8(text).unwrap(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_item_is_run_as_a_request_and_its_events_are_its_result() {
    run(async {
        let runner = StandIn::new("i-1", |_, _| {
            vec![stream_head(), event(1), event(2), last_chunk()]
        })
        .await;
        let store = store(vec![leased(0), leased(1)], none).await;
        let rig = rig(&store, &[&runner]).await;
        store.until(|s| results(s).len() == 2).await;
        let seen = runner.seen.borrow()[0].clone();
        assert!(seen.head.starts_with("POST /bulk/3/91c4 HTTP/1.1\r\n"));
        assert_eq!(seen.body, b"the body");
        assert_eq!(seen.header("host"), Some("h.example"));
        assert!(seen
            .header("fordrelay-attempt-id")
            .unwrap()
            .starts_with("item-"));
        assert_eq!(seen.header("fordrelay-want-runner"), Some("i-1"));
        assert_eq!(seen.header("fordrelay-tokens"), Some("540,400"));
        assert_eq!(seen.header("fordrelay-deadline-ms"), None);
        for done in results(&store) {
            assert_eq!(done.key.lease, 100 + u64::from(done.key.index));
            assert_eq!(text(&done.outcome), "piece 1\npiece 2");
        }
        while !rig.process.gateway.items.is_empty() {
            tokio::task::yield_now().await;
        }
    });
}

/// An item that was started leaves room for the next at once: no tick of the clock is waited for.
#[test]
fn the_next_item_is_fetched_as_soon_as_one_has_begun() {
    run_paused(async {
        let Act::Write(head) = stream_head() else {
            panic!("a head is written")
        };
        // A runner that doesn't say what room it has gets one item only.
        let head = head.replacen("\r\n", "\r\nFordrelay-Runner-Load: 0,0,20\r\n", 1);
        let script = move |_: &Seen, _: usize| {
            vec![
                write(head.clone()),
                event(1),
                Act::Hang(Rc::new(Notify::new())),
            ]
        };
        let runner = StandIn::new("i-1", script).await;
        let store = store((0..6).map(leased).collect(), none).await;
        let rig = rig(&store, &[&runner]).await;
        while runner.count() == 0 {
            tokio::time::advance(std::time::Duration::from_millis(10)).await;
            tokio::task::yield_now().await;
        }
        // The clock stands still while there is something to be done, as there always is here.
        let began = rig.process.gateway.clock.now();
        for _ in 0..1_000_000 {
            if runner.count() == 6 {
                break;
            }
            tokio::task::yield_now().await;
        }
        assert_eq!(runner.count(), 6);
        assert!(rig.process.gateway.clock.now() < began + 100);
    });
}

#[test]
fn an_item_that_breaks_off_goes_on_where_it_was() {
    run(async {
        let script = |seen: &Seen, n: usize| match (seen.header("last-event-id"), n) {
            (None, _) => vec![
                stream_head(),
                event(1),
                chunk("id: 2\ndata: pie"),
                Act::Close,
            ],
            (Some("1"), 1) => vec![declined()],
            (Some("1"), _) => vec![stream_head(), event(2), event(3), Act::Close],
            (Some("3"), _) => vec![stream_head(), event(4), last_chunk()],
            other => panic!("{other:?}"),
        };
        let runner = StandIn::new("i-1", script).await;
        let store = store(vec![leased(0)], none).await;
        let _rig = rig(&store, &[&runner]).await;
        store.until(|s| !results(s).is_empty()).await;
        assert_eq!(
            text(&results(&store)[0].outcome),
            "piece 1\npiece 2\npiece 3\npiece 4"
        );
    });
}

#[test]
fn what_a_runner_says_of_an_item_is_told() {
    run(async {
        for (status, outcome) in [
            ("500 Internal Server Error", Outcome::Failed),
            ("422 Unprocessable Content", Outcome::Unprocessable),
        ] {
            let runner = StandIn::new("i-1", move |_, _| vec![whole(status, SEAL, "no")]).await;
            let store = store(vec![leased(0)], none).await;
            let _rig = rig(&store, &[&runner]).await;
            store.until(|s| !results(s).is_empty()).await;
            assert_eq!(results(&store)[0].outcome, outcome);
            assert_eq!(runner.count(), 1);
        }
    });
}

#[test]
fn an_item_that_no_runner_takes_is_held_and_never_refused() {
    run(async {
        let runner = StandIn::new("i-1", |_, n| match n {
            0..=3 => vec![declined()],
            _ => vec![stream_head(), event(1), last_chunk()],
        })
        .await;
        let store = store(vec![leased(0)], none).await;
        let _rig = rig(&store, &[&runner]).await;
        store.until(|s| !results(s).is_empty()).await;
        assert_eq!(
            (results(&store).len(), text(&results(&store)[0].outcome)),
            (1, "piece 1")
        );
        assert_eq!(runner.count(), 5);
    });
}

#[test]
fn an_item_that_is_to_be_dropped_ends_at_its_runner_and_says_nothing() {
    run(async {
        let gone = Rc::new(Notify::new());
        let called = gone.clone();
        let runner = StandIn::new("i-1", move |_, _| {
            vec![stream_head(), event(1), Act::Hang(called.clone())]
        })
        .await;
        let store = store(vec![leased(0)], |call| RenewOutcome::Revoke {
            leases: call.partitions[0].leases.clone(),
        })
        .await;
        let rig = rig(&store, &[&runner]).await;
        gone.notified().await;
        assert!(rig.process.gateway.items.is_empty());
        assert!(results(&store).is_empty());
    });
}

#[test]
fn a_process_that_stops_hands_back_what_has_not_begun() {
    run(async {
        let runner = StandIn::new("i-1", |_, _| vec![declined()]).await;
        let store = store(vec![leased(0)], none).await;
        let rig = rig(&store, &[&runner]).await;
        runner.until(|r| r.count() > 0).await;
        let gateway = rig.process.gateway.clone();
        gateway.stopped.set(Some(gateway.clock.now()));
        store.until(|s| !results(s).is_empty()).await;
        assert_eq!(results(&store)[0].outcome, Outcome::Released);
        let fetched = store.of(FETCH).len();
        rig.tell(&runner.runner("s", RunnerState::Up));
        store.until(|s| s.of(COMPLETE).len() == 1).await;
        assert_eq!(store.of(FETCH).len(), fetched);
    });
}

/// Results are said again until a store has them: to the one that it names, and to the one that the map names.
#[test]
fn results_reach_the_head_of_their_partition_wherever_it_goes() {
    run_paused(async {
        let runner = StandIn::new("i-1", |_, _| vec![stream_head(), event(1), last_chunk()]).await;
        let takes = |kind, _: &bytes::Bytes| match kind {
            COMPLETE => Say::This(CompleteResponse::Accepted.encode()),
            FETCH => Say::Silence,
            _ => Say::Nothing,
        };
        let last = Store::new(3, takes).await;
        let dark = Store::new(2, |_, _| Say::Silence).await;
        let (items, to) = (RefCell::new(vec![leased(0)]), dark.addr);
        let answers = RefCell::new(VecDeque::from([
            CompleteResponse::Indeterminate,
            CompleteResponse::Redirect { to },
        ]));
        let first = Store::new(1, move |kind, _| match kind {
            FETCH => {
                let items = std::mem::take(&mut *items.borrow_mut());
                Say::This(
                    FetchResponse {
                        items,
                        redirects: vec![],
                    }
                    .encode(),
                )
            }
            COMPLETE => answers
                .borrow_mut()
                .pop_front()
                .map_or(Say::Silence, |a| Say::This(a.encode())),
            _ => Say::Nothing,
        })
        .await;
        let rig = rig(&first, &[&runner]).await;
        dark.until(|s| !s.of(COMPLETE).is_empty()).await;
        assert_eq!(first.of(COMPLETE).len(), 2);
        tell_map(&rig.process.gateway, map(2, &[last.addr]));
        last.until(|s| !s.of(COMPLETE).is_empty()).await;
        assert_eq!(text(&results(&last)[0].outcome), "piece 1");
        while !rig.process.gateway.items.is_empty() {
            tokio::task::yield_now().await;
        }
        assert_eq!((runner.count(), results(&last).len()), (1, 1));
    });
}

/// All gateways that send it all their results again and again would fill the link of a store whose chain stands still.
#[test]
fn a_store_that_can_not_take_results_is_asked_with_one_and_ever_more_rarely() {
    run_paused(async {
        let runner = StandIn::new("i-1", |_, _| vec![stream_head(), event(1), last_chunk()]).await;
        let items = RefCell::new((0..4).map(leased).collect::<Vec<_>>());
        let store = Store::new(1, move |kind, _| match kind {
            FETCH => {
                let items = std::mem::take(&mut *items.borrow_mut());
                if items.is_empty() {
                    return Say::Silence;
                }
                Say::This(
                    FetchResponse {
                        items,
                        redirects: vec![],
                    }
                    .encode(),
                )
            }
            COMPLETE => Say::This(CompleteResponse::Indeterminate.encode()),
            _ => Say::Nothing,
        })
        .await;
        let _rig = rig(&store, &[&runner]).await;
        store.until(|s| s.of(COMPLETE).len() >= 2).await;
        let began = tokio::time::Instant::now();
        store.until(|s| s.of(COMPLETE).len() >= 7).await;
        let sizes: Vec<usize> = store
            .of(COMPLETE)
            .iter()
            .map(|body| CompleteRequest::decode(body).unwrap().results.len())
            .collect();
        assert!(sizes[1..].iter().all(|results| *results == 1), "{sizes:?}");
        // After 0.2, 0.4, 0.8, 0.8 and 0.8 s.
        assert!(
            began.elapsed() >= std::time::Duration::from_millis(2_500),
            "{:?}",
            began.elapsed()
        );
    });
}

/// A store that is not heard from may have ended the batch job: nothing of it is sent any more.
#[test]
fn an_item_is_not_sent_once_its_store_is_out_of_touch() {
    run_paused(async {
        let runner = StandIn::new("i-1", |_, n| {
            if n == 0 {
                vec![declined()]
            } else {
                vec![done("no")]
            }
        })
        .await;
        let items = RefCell::new(vec![leased(0)]);
        let store = Store::new(1, move |kind, _| match kind {
            FETCH => {
                let items = std::mem::take(&mut *items.borrow_mut());
                if items.is_empty() {
                    return Say::Silence;
                }
                Say::This(
                    FetchResponse {
                        items,
                        redirects: vec![],
                    }
                    .encode(),
                )
            }
            _ => Say::Silence,
        })
        .await;
        let rig = rig(&store, &[]).await;
        let gateway = rig.process.gateway.clone();
        // No runner is there while the store is in touch, and one comes when it no longer is.
        rig.tell(&runner.runner("s", RunnerState::Up));
        store.until(|s| !s.of(FETCH).is_empty()).await;
        while gateway.items.is_empty() {
            tokio::task::yield_now().await;
        }
        rig.tell(&runner.runner("s", RunnerState::Draining));
        let began = gateway.clock.now();
        while gateway.clock.now() < began + 4_000 {
            store.until(|_| true).await;
            tokio::task::yield_now().await;
            tokio::time::advance(std::time::Duration::from_millis(50)).await;
        }
        let before = runner.count();
        assert!(before <= 1);
        rig.tell(&runner.runner("s", RunnerState::Up));
        for _ in 0..100 {
            tokio::time::advance(std::time::Duration::from_millis(50)).await;
            tokio::task::yield_now().await;
        }
        assert_eq!((runner.count(), gateway.items.len()), (before, 1));
    });
}
