//! Invalid input at a store: frames that can't be read, leases of unknown senders, messages of
//! chains that it is not in. It is rejected, and the store's state is as before.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use batch::wire::*;
use batch_store::{Effect, FrameError, Responder, Store, StoreConfig};
use bytes::Bytes;
use chain_replication::{LogRecord, Member, View};
use proptest::prelude::*;
use slog::{o, Discard, Logger};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use write_ahead_log::DiskStatus;

/// Partitions of the map.
const PARTITIONS: usize = 16;

const HOST: &str = "h.example";

/// Counts answers.
#[derive(Clone, Default)]
struct ResponseCounter(Rc<Cell<u32>>);

impl Responder for ResponseCounter {
    fn respond(self, _: Bytes) {
        self.0.set(self.0.get() + 1);
    }
}

fn addr(n: u8) -> SocketAddr {
    ([10, 0, 0, n], 7_662).into()
}

fn controller(n: u8) -> SocketAddr {
    ([10, 0, 1, n], 7_660).into()
}

/// A store that is alone in all its chains, with a lease until 1,700.
fn store() -> Store<ResponseCounter> {
    let config = StoreConfig {
        addr: addr(1),
        incarnation: 77,
        id: 1,
        node: "s-1".into(),
        zone: "z".into(),
        poll_ms: 120_000,
        min_members: 1,
        max_bytes: 100_000,
        response_bytes_per_ms: 1_000_000,
    };
    let mut store = Store::new(config, Vec::new(), Logger::root(Discard, o!()));
    store.set_controllers(vec![controller(1)]);
    store.update_health(
        1,
        DiskStatus {
            preallocated: true,
            ..DiskStatus::default()
        },
    );
    let member = Member {
        id: 1,
        addr: addr(1),
        since: 1,
    };
    let view = View {
        number: 1,
        members: vec![member],
        joining: vec![],
    };
    store.apply_map(
        300,
        PlacementMap {
            number: 1,
            partitions: vec![view; PARTITIONS],
            stores: vec![],
            placement: Placement::ByJob,
        },
    );
    sync_all(&mut store, 300);
    store.tick(900);
    grant(&mut store, controller(1), 1_000, 700).unwrap();
    sync_all(&mut store, 1_000);
    store
}

fn grant(
    store: &mut Store<ResponseCounter>,
    from: SocketAddr,
    sent_ms: u64,
    lease_ms: u64,
) -> Result<(), FrameError> {
    store.handle_message(
        1_000,
        from,
        LEASE_GRANT,
        &LeaseGrant {
            sent_ms,
            lease_ms,
            map: 1,
        }
        .encode(),
    )
}

/// On a disk that syncs at once; what it wanted done.
fn sync_all(store: &mut Store<ResponseCounter>, now: u64) -> Vec<Effect> {
    let mut all = Vec::new();
    loop {
        let effects = store.take_effects();
        if effects.is_empty() {
            return all;
        }
        for effect in &effects {
            if let Effect::Write {
                partition, ticket, ..
            } = effect
            {
                store.handle_synced(now, *partition, *ticket);
            }
        }
        store.finish_synced(now);
        all.extend(effects);
    }
}

fn state(store: &Store<ResponseCounter>) -> Vec<(u16, Vec<LogRecord>)> {
    store
        .replicas()
        .map(|(part, node)| (part, node.snapshot_records()))
        .collect()
}

/// Whether a read at the tail is answered from its copy, which takes a lease.
fn reads(store: &mut Store<ResponseCounter>, now: u64) -> bool {
    let responses = ResponseCounter::default();
    let call = ReadRequest {
        host: HOST.into(),
        batch_job: "none".into(),
        start_after: 0,
        wait_ms: 2_000,
    };
    store
        .handle_request(now, READ, &call.encode(), responses.clone())
        .unwrap();
    sync_all(store, now);
    responses.0.get() == 1
}

#[test]
fn a_lease_is_accepted_from_controllers_alone_and_within_the_maximum() {
    let mut plain = store();
    assert!(reads(&mut plain, 1_600), "within its lease");
    let late = reads(&mut plain, 5_000);
    for (from, lease_ms) in [
        (addr(7), 700),
        (addr(7), 100_000),
        (controller(1), 100_000),
        (controller(1), u64::MAX),
    ] {
        let mut store = store();
        assert!(
            matches!(
                grant(&mut store, from, 1_000, lease_ms),
                Err(FrameError::InvalidLease(_))
            ),
            "{from} {lease_ms}"
        );
        assert_eq!(
            reads(&mut store, 5_000),
            late,
            "the lease of {from} for {lease_ms} ms was taken"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever an unknown sender sends: no record, no response to it, and every chain is as
    /// before.
    #[test]
    fn frames_of_unknown_senders_change_no_chain(
        kind in prop_oneof![Just(CHAIN), Just(LEASE_GRANT), any::<u16>()], body in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut store = store();
        let before = state(&store);
        let _ = store.handle_message(1_100, addr(9), kind, &body.into());
        prop_assert!(sync_all(&mut store, 1_100).is_empty());
        prop_assert_eq!(state(&store), before);
    }

    /// A call that was cut, changed or doubled: refused and not answered, or it was a call all the
    /// same. A batch job that is refused is in no chain.
    #[test]
    fn a_corrupt_submission_is_accepted_whole_or_not_at_all(
        at in any::<prop::sample::Index>(), byte in any::<u8>(), cut in any::<prop::sample::Index>(), how in 0u8..3,
    ) {
        let item = |n: u8| Item { id: format!("i-{n}").into(), path: "/p".into(), headers: vec![], body: vec![n; 9].into(), tokens: 9 };
        let call = SubmitRequest {
            host: HOST.into(), route: "r".into(), batch_job: "l".into(), age_ms: 0, due_ms: 60_000, retain_ms: 120_000,
            max_queued: 0, excess_permille: 0, max_failures: 3, items: vec![item(1), item(2)],
        };
        let mut bytes = call.encode().to_vec();
        match how {
            0 => { let at = at.index(bytes.len()); bytes[at] = byte; }
            1 => bytes.truncate(cut.index(bytes.len())),
            _ => { let again = bytes.clone(); bytes.extend(again); }
        }
        let mut store = store();
        let before = state(&store);
        let responses = ResponseCounter::default();
        let taken = store.handle_request(1_100, SUBMIT, &bytes.into(), responses.clone());
        sync_all(&mut store, 1_100);
        if taken.is_err() {
            prop_assert_eq!(responses.0.get(), 0);
            prop_assert_eq!(state(&store), before);
        } else {
            prop_assert_eq!(how, 0, "cut or doubled, and taken");
        }
    }
}
