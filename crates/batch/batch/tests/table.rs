//! The replicated table: any commands in any order, twice over, and through snapshots.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use batch::command::{AcceptedJob, Command, ItemResult};
use batch::wire::{Item, Message, ResultEntry, ResultStatus, MAX_READ_BYTES};
use batch::{BatchJobTable, ItemState};
use bytes::Bytes;
use chain_replication::StateMachine;
use proptest::prelude::*;
use std::collections::BTreeMap;

const HOSTS: [&str; 2] = ["a.example", "b.example"];

fn batch_job_id(n: u8) -> String {
    format!("lot{}", n % 5)
}

fn take(n: u8, items: u8, clock: u64) -> Command {
    let item = |at: u8| Item {
        id: format!("{n}-{at}").into(),
        path: "/p".into(),
        headers: vec![],
        body: Bytes::from(vec![at; usize::from(at)]),
        tokens: u64::from(at) * 10,
    };
    Command::Accept(AcceptedJob {
        clock,
        batch_job: batch_job_id(n).into(),
        host: HOSTS[usize::from(n % 2)].into(),
        route: "r".into(),
        content: u64::from(n),
        sent: clock,
        due_ms: 100,
        retain_ms: 1000,
        max_failures: 2,
        items: (0..items).map(item).collect(),
    })
}

fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        (any::<u8>(), 1u8..6, 0u64..1000).prop_map(|(n, items, clock)| take(n, items, clock)),
        (
            prop::collection::vec((any::<u8>(), 0u32..7, any::<bool>(), any::<u8>()), 0..6),
            0u64..1000
        )
            .prop_map(|(results, clock)| {
                let result = |(n, index, complete, text): (u8, u32, bool, u8)| ItemResult {
                    batch_job: batch_job_id(n).into(),
                    index,
                    status: if complete {
                        ResultStatus::Complete
                    } else {
                        ResultStatus::Abandoned
                    },
                    text: Bytes::from(vec![b'a' + text % 20; 10]),
                };
                Command::RecordResults {
                    clock,
                    results: results.into_iter().map(result).collect(),
                }
            }),
        (any::<u8>(), 0u64..1000).prop_map(|(n, clock)| Command::End {
            clock,
            batch_job: batch_job_id(n).into()
        }),
        (any::<u8>(), 0u64..1000).prop_map(|(n, clock)| Command::Delete {
            clock,
            batch_job: batch_job_id(n).into()
        }),
        (0u64..1000).prop_map(|clock| Command::AdvanceClock { clock }),
    ]
}

fn read(table: &BatchJobTable, id: &str) -> Option<Vec<ResultEntry>> {
    let batch_job = table.batch_job(id)?;
    let found = table.read(&batch_job.host, id, 0, MAX_READ_BYTES).unwrap();
    assert_eq!(found.total as usize, batch_job.items.len());
    assert_eq!(found.next as usize, found.results.len());
    Some(found.results)
}

fn copy(table: &BatchJobTable) -> BatchJobTable {
    let mut copy = BatchJobTable::new();
    copy.restore(&table.snapshot()).unwrap();
    copy
}

/// The tokens that wait, counted anew.
fn waiting(table: &BatchJobTable, host: &str) -> u64 {
    let of_host = table.iter().filter(|(_, batch_job)| batch_job.host == host);
    let items = of_host.flat_map(|(_, batch_job)| &batch_job.items);
    items
        .filter(|i| matches!(i.state, ItemState::Pending { .. }))
        .map(|i| i.tokens)
        .sum()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(600))]

    #[test]
    fn positions_never_change_and_replicas_are_equal(commands in prop::collection::vec(command(), 0..60), at in 0usize..60) {
        let mut table = BatchJobTable::new();
        let mut other = BatchJobTable::new();
        let mut seen: BTreeMap<String, Vec<ResultEntry>> = BTreeMap::new();
        for (number, command) in commands.iter().enumerate() {
            let bytes = command.encode();
            prop_assert!(!bytes.is_empty());
            table.apply(number as u64 + 1, &bytes);
            if number == at {
                // One that took a snapshot midway is the same as one that took every command.
                other = copy(&table);
            } else {
                other.apply(number as u64 + 1, &bytes);
            }
            prop_assert_eq!(&table, &other);
            for n in 0..5 {
                let id = batch_job_id(n);
                let now = read(&table, &id);
                let forgotten = matches!(command, Command::Delete { batch_job, .. } if *batch_job == id);
                if forgotten {
                    prop_assert_eq!(now, None);
                    seen.remove(&id);
                    continue;
                }
                if let Some(before) = seen.get(&id) {
                    let now = now.clone().unwrap_or_default();
                    prop_assert!(now.len() >= before.len());
                    prop_assert_eq!(&now[..before.len()], &before[..]);
                }
                if let Some(now) = now {
                    let mut ids: Vec<_> = now.iter().map(|l| l.id.clone()).collect();
                    ids.sort();
                    ids.dedup();
                    prop_assert_eq!(ids.len(), now.len(), "an item has two positions");
                    seen.insert(id, now);
                }
            }
            for host in HOSTS {
                prop_assert_eq!(table.queued_tokens(host, "r"), waiting(&table, host));
            }
            prop_assert_eq!(table.bytes() == 0, table.is_empty());
        }
        prop_assert_eq!(copy(&table), table);
    }

    #[test]
    fn commands_are_idempotent(commands in prop::collection::vec(command(), 0..40)) {
        let (mut once, mut twice) = (BatchJobTable::new(), BatchJobTable::new());
        for (number, command) in commands.iter().enumerate() {
            let bytes = command.encode();
            once.apply(number as u64 + 1, &bytes);
            twice.apply(number as u64 + 1, &bytes);
            twice.apply(number as u64 + 1, &bytes);
            prop_assert_eq!(once.iter().collect::<Vec<_>>(), twice.iter().collect::<Vec<_>>());
            prop_assert_eq!(once.bytes(), twice.bytes());
        }
    }

    #[test]
    fn a_corrupt_snapshot_is_rejected_or_consistent(
        commands in prop::collection::vec(command(), 0..20), at in any::<prop::sample::Index>(), to in any::<u8>(),
    ) {
        let mut table = BatchJobTable::new();
        for (number, command) in commands.iter().enumerate() {
            table.apply(number as u64 + 1, &command.encode());
        }
        let whole = table.snapshot();
        let mut changed = whole.clone();
        let at = at.index(changed.len());
        changed[at] = to;
        let before = table.clone();
        let mut other = table.clone();
        if other.restore(&changed).is_err() {
            prop_assert_eq!(&other, &before);
        } else {
            for n in 0..5 {
                read(&other, &batch_job_id(n));
            }
            prop_assert_eq!(copy(&other), other);
        }
        prop_assert!(table.restore(&whole[..at]).is_err());
        prop_assert_eq!(table, before);
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn ending_a_job_keeps_its_results_and_drops_the_rest() {
    let mut table = BatchJobTable::new();
    table.apply(1, &take(0, 4, 5).encode());
    assert_eq!(table.queued_tokens("a.example", "r"), 60);
    assert_eq!(
        table.item_body("a.example", "lot0", "0-3").unwrap().len(),
        3
    );
    assert_eq!(
        table.item_body("b.example", "lot0", "0-3"),
        None,
        "another host's batch job"
    );
    let result = |index| ItemResult {
        batch_job: "lot0".into(),
        index,
        status: ResultStatus::Complete,
        text: Bytes::from_static(b"out"),
    };
    table.apply(
        2,
        &Command::RecordResults {
            clock: 6,
            results: vec![result(3), result(1), result(9)],
        }
        .encode(),
    );
    assert_eq!(table.rejected(), 1, "no such item");
    assert_eq!(
        table.item_body("a.example", "lot0", "0-3"),
        None,
        "it is listed"
    );
    table.apply(
        3,
        &Command::End {
            clock: 7,
            batch_job: "lot0".into(),
        }
        .encode(),
    );
    assert_eq!(table.queued_tokens("a.example", "r"), 0);
    assert_eq!(
        table.item_body("a.example", "lot0", "0-0"),
        None,
        "it is ended"
    );
    table.apply(
        4,
        &Command::RecordResults {
            clock: 8,
            results: vec![result(0)],
        }
        .encode(),
    );
    let ids: Vec<_> = read(&table, "lot0")
        .unwrap()
        .into_iter()
        .map(|l| l.id)
        .collect();
    assert_eq!(ids, ["0-3", "0-1"]);
    // The same batch job sent again changes nothing.
    table.apply(5, &take(0, 4, 9).encode());
    assert_eq!(read(&table, "lot0").unwrap().len(), 2);
    assert_eq!(table.clock(), 9);
}

#[test]
fn a_read_is_bounded_and_returns_at_least_one_result() {
    let mut table = BatchJobTable::new();
    table.apply(1, &take(0, 5, 5).encode());
    let result = |index| ItemResult {
        batch_job: "lot0".into(),
        index,
        status: ResultStatus::Complete,
        text: Bytes::from(vec![b'\n'; 400_000]),
    };
    table.apply(
        2,
        &Command::RecordResults {
            clock: 6,
            results: (0..4).map(result).collect(),
        }
        .encode(),
    );
    let next = |start| {
        table
            .read("a.example", "lot0", start, MAX_READ_BYTES)
            .unwrap()
            .next
    };
    assert_eq!(
        (next(0), next(1), next(3), next(4), next(77)),
        (1, 2, 4, 4, 77)
    );
    assert_eq!(table.read("a.example", "lot1", 0, 1), None);
}
