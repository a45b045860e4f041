//! Messages: there and back, bounded, and no bytes that make a reader panic.

use batch::command::Command;
use batch::wire::*;
use batch::BatchJobTable;
use bytes::Bytes;
use chain_replication::{Member, ReplicaStatus, View};
use proptest::prelude::*;
use std::fmt::Debug;

fn header(name: &str, value: &str) -> Header {
    Header {
        name: name.into(),
        value: value.into(),
    }
}

fn item(id: &str, body: &[u8]) -> Item {
    Item {
        id: id.into(),
        path: "/p/1".into(),
        headers: vec![header("Fordrelay-Model", "m"), header("X", "ü")],
        body: Bytes::copy_from_slice(body),
        tokens: 940,
    }
}

fn back<T: Message + PartialEq + Debug>(message: T) {
    let bytes = message.encode();
    assert!(!bytes.is_empty());
    assert_eq!(T::decode(&bytes), Ok(message));
    for cut in 0..bytes.len() {
        assert!(
            T::decode(&bytes[..cut]).is_err(),
            "cut at {cut} of {}",
            bytes.len()
        );
    }
    let mut longer = bytes.to_vec();
    longer.push(0);
    assert_eq!(T::decode(&longer), Err(DecodeError::TrailingBytes(1)));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case after the other")]
fn every_message_round_trips_and_no_truncated_one_decodes() {
    let to = "10.1.0.38:7662".parse().unwrap();
    let v6 = "[::1]:7662".parse().unwrap();
    back(SubmitRequest {
        host: "h.example".into(),
        route: "r".into(),
        batch_job: "l".into(),
        age_ms: 1,
        due_ms: 2,
        retain_ms: 3,
        max_queued: 4,
        excess_permille: 5,
        max_failures: 6,
        items: vec![item("a", b"body"), item("b", b"")],
    });
    for answer in [
        SubmitResponse::Accepted,
        SubmitResponse::QuotaExceeded,
        SubmitResponse::Unavailable,
        SubmitResponse::Redirect { to },
        SubmitResponse::Invalid { code: 712 },
        SubmitResponse::Indeterminate,
    ] {
        back(answer);
    }
    back(ReadRequest {
        host: "h".into(),
        batch_job: "l".into(),
        start_after: 3,
        wait_ms: 1000,
    });
    let results = vec![
        ResultEntry {
            id: "a".into(),
            status: ResultStatus::Complete,
            text: Bytes::from_static(b"x\ny"),
        },
        ResultEntry {
            id: "b".into(),
            status: ResultStatus::Abandoned,
            text: Bytes::new(),
        },
    ];
    for answer in [
        ReadResponse::Found {
            total: 7,
            next: 2,
            results,
        },
        ReadResponse::NotFound,
        ReadResponse::Unavailable,
        ReadResponse::Redirect { to: v6 },
    ] {
        back(answer);
    }
    back(ItemBodyRequest {
        host: "h".into(),
        batch_job: "l".into(),
        item: "i".into(),
    });
    for answer in [
        ItemBodyResponse::Found {
            body: Bytes::from_static(b"b"),
        },
        ItemBodyResponse::NotFound,
        ItemBodyResponse::Unavailable,
        ItemBodyResponse::Redirect { to },
    ] {
        back(answer);
    }
    back(EndRequest {
        host: "h".into(),
        batch_job: "l".into(),
    });
    for answer in [
        EndResponse::Ended,
        EndResponse::NotFound,
        EndResponse::Indeterminate,
        EndResponse::Redirect { to },
    ] {
        back(answer);
    }
    back(FetchRequest {
        holder: 9,
        wait_ms: 500,
        demands: vec![RouteDemand {
            host: "h".into(),
            route: "r".into(),
            max_items: 3,
        }],
    });
    back(FetchResponse {
        items: vec![LeasedItem {
            host: "h".into(),
            route: "r".into(),
            key: LeaseKey {
                batch_job: "l".into(),
                index: 1,
                lease: 2,
            },
            due_in_ms: 3,
            retain_in_ms: 4,
            failures_left: 5,
            item: item("a", b"body"),
        }],
        redirects: vec![PartitionRedirect { partition: 4, to }],
    });
    let done = |outcome| Completion {
        key: LeaseKey {
            batch_job: "l".into(),
            index: 1,
            lease: 2,
        },
        outcome,
    };
    back(CompleteRequest {
        holder: 1,
        partition: 2,
        results: vec![
            done(Outcome::Complete {
                text: Bytes::from_static(b"t"),
            }),
            done(Outcome::Failed),
            done(Outcome::Unprocessable),
            done(Outcome::Released),
        ],
    });
    for answer in [
        CompleteResponse::Accepted,
        CompleteResponse::Indeterminate,
        CompleteResponse::Redirect { to },
    ] {
        back(answer);
    }
    back(ReserveRequest {
        job: JobKey {
            host: "h".into(),
            route: "r".into(),
            batch_job: "l".into(),
        },
        partition: 3,
        reply_to: to,
        incarnation: 4,
        nonce: 5,
        tokens: 6,
        max_tokens: 7,
    });
    back(ReserveProgress {
        attempt: ReserveAttempt {
            partition: 3,
            batch_job: "l".into(),
            incarnation: 4,
            nonce: 5,
        },
        soon: true,
    });
    back(ReserveResponse {
        attempt: ReserveAttempt {
            partition: 3,
            batch_job: "l".into(),
            incarnation: 4,
            nonce: 5,
        },
        granted: true,
    });
    let batch_jobs = vec![JobKey {
        host: "h".into(),
        route: "r".into(),
        batch_job: "l".into(),
    }];
    back(AuditRequest {
        home: 1,
        partition: 2,
        reply_to: v6,
        incarnation: 3,
        audit: 4,
        jobs: batch_jobs,
    });
    let batch_jobs = vec![RemainingTokens {
        job: JobKey {
            host: "h".into(),
            route: "r".into(),
            batch_job: "l".into(),
        },
        tokens: 9,
    }];
    back(AuditResponse {
        home: 1,
        partition: 2,
        incarnation: 3,
        audit: 4,
        jobs: batch_jobs,
    });
    let held = vec![LeaseKey {
        batch_job: "l".into(),
        index: 1,
        lease: 2,
    }];
    back(RenewRequest {
        holder: 1,
        partitions: vec![PartitionLeases {
            partition: 2,
            leases: held.clone(),
        }],
    });
    let part = |outcome| PartitionRenewal {
        partition: 1,
        outcome,
    };
    back(RenewResponse {
        partitions: vec![
            part(RenewOutcome::Revoke { leases: held }),
            part(RenewOutcome::Unavailable),
            part(RenewOutcome::Redirect { to }),
        ],
    });
    let member = |id| Member {
        id,
        addr: to,
        since: 3,
    };
    let view = View {
        number: 4,
        members: vec![member(1), member(2)],
        joining: vec![member(3)],
    };
    let map = PlacementMap {
        number: 5,
        partitions: vec![view; 48],
        stores: vec![StoreInfo {
            node: "s-1".into(),
            addr: to,
            id: 1,
            zone: "z".into(),
            state: StoreState::Retiring,
        }],
        placement: Placement::ByJob,
    };
    assert_eq!(map.head_of("any.example", "a-job"), Some(to));
    assert_eq!(map.heads_of("any.example"), [to]);
    back(map.clone());
    back(PlacementMap {
        placement: Placement::ByHost,
        ..map
    });
    back(Heartbeat {
        addr: to,
        id: 1,
        node: "s-1".into(),
        zone: "z".into(),
        sent_ms: 2,
        map: 3,
        statuses: vec![PartitionStatus {
            partition: 1,
            status: ReplicaStatus::default(),
            batch_jobs: 4,
            bytes: 9,
        }],
        disk_used: 5,
        disk_size: 6,
        leaving: true,
        capacity: 7,
        stalled: true,
        answered_ms: 8,
    });
    back(LeaseGrant {
        sent_ms: 1,
        lease_ms: 2,
        map: 3,
    });
    back(ChainFrame {
        partition: 1,
        body: Bytes::from_static(b"m"),
    });
}

#[test]
fn a_message_over_a_bound_is_not_encoded() {
    let call = |items| SubmitRequest {
        host: "h".into(),
        route: "r".into(),
        batch_job: "l".into(),
        age_ms: 0,
        due_ms: 0,
        retain_ms: 0,
        max_queued: 0,
        excess_permille: 0,
        max_failures: 1,
        items,
    };
    assert!(!call(vec![item("a", b""); MAX_ITEMS]).encode().is_empty());
    assert!(call(vec![item("a", b""); MAX_ITEMS + 1])
        .encode()
        .is_empty());
    let mut long = item("a", b"");
    long.path = "/".repeat(MAX_VALUE + 1).into();
    assert!(call(vec![long]).encode().is_empty());
    let mut many = item("a", b"");
    many.headers = vec![header("a", "b"); MAX_HEADERS + 1];
    assert!(call(vec![many]).encode().is_empty());
    // A length that is announced over its bound is refused before anything is read.
    assert!(ChainFrame::decode(&[0, 0, 0xff, 0xff, 0xff, 0xff]).is_err());
}

#[test]
fn the_home_partition_of_a_host_never_changes() {
    let hosts = [
        "ficu95.example",
        "FICU95.Example",
        "ficu95.example:8080",
        "",
        "a",
        "b",
        "vonu12.example",
    ];
    let parts: Vec<usize> = hosts.iter().map(|host| home_partition(host, 16)).collect();
    insta::assert_debug_snapshot!(parts, @r#"
    [
        9,
        9,
        9,
        1,
        0,
        9,
        6,
    ]
    "#);
    let mut used = [false; 16];
    for n in 0..500 {
        used[home_partition(&format!("host{n}.example"), 16)] = true;
    }
    assert!(used.iter().all(|used| *used));
}

#[test]
fn the_partition_of_a_job_never_changes_and_a_host_uses_all_partitions_evenly() {
    let parts: Vec<usize> = [
        ("ficu95.example", "a"),
        ("FICU95.Example:80", "a"),
        ("ficu95.example", "b"),
    ]
    .map(|(host, batch_job)| partition_of(host, batch_job, 32))
    .to_vec();
    assert_eq!(parts[0], parts[1], "however the host is written");
    insta::assert_debug_snapshot!(parts, @r#"
    [
        1,
        1,
        20,
    ]
    "#);
    let mut used = [0; 32];
    for n in 0..3_200 {
        used[partition_of("ficu95.example", &format!("lot-{n}"), 32)] += 1;
    }
    let (least, most) = (used.iter().min().unwrap(), used.iter().max().unwrap());
    assert!(*least > 60 && *most < 150, "{used:?}");
}

#[test]
fn a_placement_map_of_the_version_before_places_by_host() {
    let member = Member {
        id: 1,
        addr: "127.0.0.1:7".parse().unwrap(),
        since: 3,
    };
    let view = View {
        number: 4,
        members: vec![member],
        joining: vec![],
    };
    let by_host = PlacementMap {
        number: 5,
        partitions: vec![view; 16],
        stores: vec![],
        placement: Placement::ByHost,
    };
    let bytes = by_host.encode();
    let read = PlacementMap::decode(&bytes).unwrap();
    assert_eq!(read.placement, Placement::ByHost);
    assert_eq!(
        read.partition_of("h.example", "a"),
        read.partition_of("h.example", "b")
    );
    assert_eq!(read.heads_of("h.example").len(), 1);
    let by_job = PlacementMap {
        placement: Placement::ByJob,
        ..by_host
    };
    let spread = PlacementMap::decode(&by_job.encode()).unwrap();
    assert_eq!((spread.number, spread.placement), (5, Placement::ByJob));
    // As the version before wrote it: the number in the first eight bytes, and nothing of
    // placement.
    assert_eq!(bytes[..8], 5u64.to_le_bytes());
    assert_eq!(by_job.encode()[8..], bytes[8..]);
}

fn decode_all(bytes: &[u8]) {
    let _ = SubmitRequest::decode(bytes);
    let _ = SubmitResponse::decode(bytes);
    let _ = ReadRequest::decode(bytes);
    let _ = ReadResponse::decode(bytes);
    let _ = ItemBodyRequest::decode(bytes);
    let _ = ItemBodyResponse::decode(bytes);
    let _ = EndRequest::decode(bytes);
    let _ = EndResponse::decode(bytes);
    let _ = FetchRequest::decode(bytes);
    let _ = FetchResponse::decode(bytes);
    let _ = CompleteRequest::decode(bytes);
    let _ = CompleteResponse::decode(bytes);
    let _ = RenewRequest::decode(bytes);
    let _ = RenewResponse::decode(bytes);
    let _ = PlacementMap::decode(bytes);
    let _ = Heartbeat::decode(bytes);
    let _ = LeaseGrant::decode(bytes);
    let _ = ChainFrame::decode(bytes);
    let _ = Command::decode(bytes);
    let mut batch_jobs = BatchJobTable::new();
    chain_replication::StateMachine::apply(&mut batch_jobs, 1, bytes);
    if chain_replication::StateMachine::restore(&mut batch_jobs, bytes).is_err() {
        assert!(batch_jobs.is_empty() || Command::decode(bytes).is_ok());
    }
}

proptest! {
    #[test]
    fn decoding_any_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        decode_all(&bytes);
    }

    #[test]
    fn decoding_changed_messages_does_not_panic(at in 0usize..400, to in any::<u8>(), cut in 0usize..400) {
        let call = SubmitRequest {
            host: "h.example".into(),
            route: "r".into(),
            batch_job: "l".into(),
            age_ms: 1,
            due_ms: 2,
            retain_ms: 3,
            max_queued: 4,
            excess_permille: 0,
            max_failures: 6,
            items: vec![item("a", b"body"), item("b", b"")],
        };
        let mut bytes = call.encode().to_vec();
        if let Some(byte) = bytes.get_mut(at) {
            *byte = to;
        }
        decode_all(&bytes);
        bytes.truncate(cut);
        decode_all(&bytes);
    }
}
