//! The bytes of each frame, of each command of the replicated table and of its snapshots, encoded
//! and decoded: a program of an earlier version on the other side, or on the disk, reads and writes
//! exactly these.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use batch::command::{AcceptedJob, Command, ItemResult};
use batch::wire::*;
use batch::{content_digest, BatchJobTable, ItemState};
use bytes::Bytes;
use chain_replication::{Member, ReplicaStatus, StateMachine, View};
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::net::SocketAddr;

/// A label and the bytes in hexadecimal a line, as the program before the renaming of 2026 wrote
/// them.
const RECORDED: &str = include_str!("fixtures/frames.txt");

fn hex(bytes: &[u8]) -> String {
    let mut out = String::new();
    for byte in bytes {
        write!(out, "{byte:02x}").unwrap();
    }
    out
}

fn from_hex(text: &str) -> Vec<u8> {
    assert_eq!(text.len() % 2, 0);
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).unwrap())
        .collect()
}

/// The recorded bytes, from which each case is taken out once.
struct Recorded {
    lines: BTreeMap<String, String>,
    differences: String,
}

impl Recorded {
    fn new() -> Recorded {
        let lines = RECORDED.lines().filter(|line| !line.starts_with('#'));
        let lines = lines.map(|line| line.split_once(": ").expect("a label and bytes"));
        let lines = lines
            .map(|(label, bytes)| (label.to_owned(), bytes.to_owned()))
            .collect();
        Recorded {
            lines,
            differences: String::new(),
        }
    }

    fn bytes(&mut self, label: &str, bytes: &[u8]) {
        assert!(!bytes.is_empty(), "{label}");
        let (written, recorded) = (hex(bytes), self.lines.remove(label).unwrap_or_default());
        if written != recorded {
            writeln!(self.differences, "{label}: {written}").unwrap();
        }
    }

    /// A message encodes to the recorded bytes, and they decode to the message.
    fn message<T: Message + PartialEq + Debug>(&mut self, label: &str, message: &T) {
        let recorded = from_hex(self.lines.get(label).map_or("", String::as_str));
        self.bytes(label, &message.encode());
        if !recorded.is_empty() {
            assert_eq!(T::decode(&recorded).as_ref(), Ok(message), "{label}");
        }
    }

    fn finish(self, prefix: &str) {
        assert!(
            self.differences.is_empty(),
            "bytes other than the recorded ones:\n{}",
            self.differences
        );
        let left: Vec<&String> = self
            .lines
            .keys()
            .filter(|label| label.starts_with(prefix))
            .collect();
        assert!(left.is_empty(), "recorded and never checked: {left:?}");
    }
}

fn v4() -> SocketAddr {
    "10.1.0.38:7662".parse().unwrap()
}

fn v6() -> SocketAddr {
    "[fd00::1:2]:7662".parse().unwrap()
}

fn item(id: &str, body: &'static [u8]) -> Item {
    Item {
        id: id.into(),
        path: "/v1/complete?x=1".into(),
        headers: vec![
            Header {
                name: "Fordrelay-Model".into(),
                value: "m".into(),
            },
            Header {
                name: "X".into(),
                value: "ü\t".into(),
            },
        ],
        body: Bytes::from_static(body),
        tokens: 0x0102_0304_0506_0708,
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case after the other")]
fn client_calls_and_their_answers_keep_their_bytes() {
    let mut recorded = Recorded::new();
    let submit = SubmitRequest {
        host: "h.example".into(),
        route: "r".into(),
        batch_job: "job-1".into(),
        age_ms: 1,
        due_ms: 0x0203,
        retain_ms: 0x0304_0506,
        max_queued: u64::MAX,
        excess_permille: 250,
        max_failures: 6,
        items: vec![item("a", b"body"), item("b", b"")],
    };
    recorded.message("gateway submit call", &submit);
    recorded.message("gateway submit answer taken", &SubmitResponse::Accepted);
    recorded.message("gateway submit answer full", &SubmitResponse::QuotaExceeded);
    recorded.message("gateway submit answer busy", &SubmitResponse::Unavailable);
    recorded.message(
        "gateway submit answer moved",
        &SubmitResponse::Redirect { to: v4() },
    );
    recorded.message(
        "gateway submit answer bad",
        &SubmitResponse::Invalid { code: 712 },
    );
    recorded.message(
        "gateway submit answer unsure",
        &SubmitResponse::Indeterminate,
    );
    let call = ReadRequest {
        host: "h".into(),
        batch_job: "l".into(),
        start_after: 3,
        wait_ms: 1000,
    };
    recorded.message("gateway read call", &call);
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
    recorded.message(
        "gateway read answer found",
        &ReadResponse::Found {
            total: 7,
            next: 2,
            results,
        },
    );
    recorded.message("gateway read answer unknown", &ReadResponse::NotFound);
    recorded.message("gateway read answer unsure", &ReadResponse::Unavailable);
    recorded.message(
        "gateway read answer moved",
        &ReadResponse::Redirect { to: v6() },
    );
    let call = ItemBodyRequest {
        host: "h".into(),
        batch_job: "l".into(),
        item: "i".into(),
    };
    recorded.message("gateway body call", &call);
    let found = ItemBodyResponse::Found {
        body: Bytes::from_static(b"\x00\xff"),
    };
    recorded.message("gateway body answer found", &found);
    recorded.message("gateway body answer unknown", &ItemBodyResponse::NotFound);
    recorded.message("gateway body answer unsure", &ItemBodyResponse::Unavailable);
    recorded.message(
        "gateway body answer moved",
        &ItemBodyResponse::Redirect { to: v4() },
    );
    recorded.message(
        "gateway end call",
        &EndRequest {
            host: "h".into(),
            batch_job: "l".into(),
        },
    );
    recorded.message("gateway end answer ended", &EndResponse::Ended);
    recorded.message("gateway end answer unknown", &EndResponse::NotFound);
    recorded.message("gateway end answer unsure", &EndResponse::Indeterminate);
    recorded.message(
        "gateway end answer moved",
        &EndResponse::Redirect { to: v6() },
    );
    recorded.finish("gateway ");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case after the other")]
fn item_calls_and_their_answers_keep_their_bytes() {
    let mut recorded = Recorded::new();
    let demands = vec![
        RouteDemand {
            host: "h".into(),
            route: "r".into(),
            max_items: 3,
        },
        RouteDemand {
            host: "i".into(),
            route: "s".into(),
            max_items: 0,
        },
    ];
    recorded.message(
        "items fetch call",
        &FetchRequest {
            holder: 9,
            wait_ms: 500,
            demands,
        },
    );
    let leased = LeasedItem {
        host: "h".into(),
        route: "r".into(),
        key: LeaseKey {
            batch_job: "l".into(),
            index: 1,
            lease: 0x0002_0000_0003,
        },
        due_in_ms: 3,
        retain_in_ms: u64::MAX,
        failures_left: 5,
        item: item("a", b"body"),
    };
    let elsewhere = vec![
        PartitionRedirect {
            partition: 4,
            to: v4(),
        },
        PartitionRedirect {
            partition: 511,
            to: v6(),
        },
    ];
    recorded.message(
        "items fetch answer",
        &FetchResponse {
            items: vec![leased],
            redirects: elsewhere,
        },
    );
    let result = |outcome| Completion {
        key: LeaseKey {
            batch_job: "l".into(),
            index: 1,
            lease: 2,
        },
        outcome,
    };
    let results = vec![
        result(Outcome::Complete {
            text: Bytes::from_static(b"t"),
        }),
        result(Outcome::Failed),
        result(Outcome::Unprocessable),
        result(Outcome::Released),
    ];
    recorded.message(
        "items done call",
        &CompleteRequest {
            holder: 1,
            partition: 2,
            results,
        },
    );
    recorded.message("items done answer accepted", &CompleteResponse::Accepted);
    recorded.message("items done answer unsure", &CompleteResponse::Indeterminate);
    recorded.message(
        "items done answer moved",
        &CompleteResponse::Redirect { to: v4() },
    );
    let held = vec![LeaseKey {
        batch_job: "l".into(),
        index: 1,
        lease: 2,
    }];
    let parts = vec![
        PartitionLeases {
            partition: 2,
            leases: held.clone(),
        },
        PartitionLeases {
            partition: 3,
            leases: Vec::new(),
        },
    ];
    recorded.message(
        "items hold call",
        &RenewRequest {
            holder: 1,
            partitions: parts,
        },
    );
    let parts = vec![
        PartitionRenewal {
            partition: 1,
            outcome: RenewOutcome::Revoke { leases: held },
        },
        PartitionRenewal {
            partition: 2,
            outcome: RenewOutcome::Unavailable,
        },
        PartitionRenewal {
            partition: 3,
            outcome: RenewOutcome::Redirect { to: v6() },
        },
    ];
    recorded.message("items hold answer", &RenewResponse { partitions: parts });
    recorded.finish("items ");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case after the other")]
fn quota_messages_keep_their_bytes() {
    let mut recorded = Recorded::new();
    let call = ReserveRequest {
        job: JobKey {
            host: "h".into(),
            route: "r".into(),
            batch_job: "l".into(),
        },
        partition: 3,
        reply_to: v4(),
        incarnation: 4,
        nonce: 5,
        tokens: 6,
        max_tokens: u64::MAX,
    };
    recorded.message("quota reserve", &call);
    for (label, soon) in [
        ("quota reserve note soon", true),
        ("quota reserve note late", false),
    ] {
        let note = ReserveProgress {
            attempt: ReserveAttempt {
                partition: 3,
                batch_job: "l".into(),
                incarnation: 4,
                nonce: 5,
            },
            soon,
        };
        recorded.message(label, &note);
    }
    for (label, granted) in [("quota granted", true), ("quota refused", false)] {
        let word = ReserveResponse {
            attempt: ReserveAttempt {
                partition: 3,
                batch_job: "l".into(),
                incarnation: 4,
                nonce: 5,
            },
            granted,
        };
        recorded.message(label, &word);
    }
    let batch_jobs = vec![JobKey {
        host: "h".into(),
        route: "r".into(),
        batch_job: "l".into(),
    }];
    let audit = AuditRequest {
        home: 1,
        partition: 2,
        reply_to: v6(),
        incarnation: 3,
        audit: 4,
        jobs: batch_jobs,
    };
    recorded.message("quota audit", &audit);
    let batch_jobs = vec![
        RemainingTokens {
            job: JobKey {
                host: "h".into(),
                route: "r".into(),
                batch_job: "l".into(),
            },
            tokens: 9,
        },
        RemainingTokens {
            job: JobKey {
                host: "h".into(),
                route: "r".into(),
                batch_job: "m".into(),
            },
            tokens: 0,
        },
    ];
    let left = AuditResponse {
        home: 1,
        partition: 2,
        incarnation: 3,
        audit: 4,
        jobs: batch_jobs,
    };
    recorded.message("quota left", &left);
    recorded.finish("quota ");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case after the other")]
fn placement_map_heartbeat_lease_and_chain_frames_keep_their_bytes() {
    let mut recorded = Recorded::new();
    let member = |id, addr| Member { id, addr, since: 3 };
    let views = vec![
        View {
            number: 4,
            members: vec![member(1, v4()), member(2, v6())],
            joining: vec![member(3, v4())],
        },
        View {
            number: 5,
            members: vec![member(2, v6())],
            joining: vec![],
        },
    ];
    let store = |id: u64, state| StoreInfo {
        node: format!("s-{id}").into(),
        addr: v4(),
        id,
        zone: "z".into(),
        state,
    };
    let map = PlacementMap {
        number: 5,
        partitions: views,
        stores: vec![
            store(1, StoreState::Up),
            store(2, StoreState::Retiring),
            store(3, StoreState::Retired),
            store(4, StoreState::Gone),
        ],
        placement: Placement::ByJob,
    };
    recorded.message("stores map by job", &map);
    recorded.message(
        "stores map by host",
        &PlacementMap {
            placement: Placement::ByHost,
            ..map
        },
    );
    let status = ReplicaStatus {
        id: 1,
        view: 2,
        in_sync_view: 3,
        last_received: 4,
        caught_up: true,
    };
    let heartbeat = Heartbeat {
        addr: v4(),
        id: 1,
        node: "s-1".into(),
        zone: "z".into(),
        sent_ms: 2,
        map: 3,
        statuses: vec![PartitionStatus {
            partition: 1,
            status,
            batch_jobs: 4,
            bytes: 9,
        }],
        disk_used: 5,
        disk_size: 6,
        leaving: true,
        capacity: 7,
        stalled: false,
        answered_ms: 8,
    };
    recorded.message("stores heartbeat leaving", &heartbeat);
    let stalled = Heartbeat {
        leaving: false,
        stalled: true,
        statuses: Vec::new(),
        ..heartbeat
    };
    recorded.message("stores heartbeat stalled", &stalled);
    recorded.message(
        "stores lease",
        &LeaseGrant {
            sent_ms: 1,
            lease_ms: 700,
            map: 3,
        },
    );
    let frame = ChainFrame {
        partition: 258,
        body: Bytes::from_static(b"message"),
    };
    recorded.message("stores chain frame", &frame);
    assert_eq!(ChainFrame::decode_shared(&frame.encode()), Some(frame));
    recorded.finish("stores ");
}

fn take() -> AcceptedJob {
    AcceptedJob {
        clock: 0x0a0b,
        batch_job: "job-1".into(),
        host: "h.example".into(),
        route: "r".into(),
        content: 0x1122_3344_5566_7788,
        sent: 3,
        due_ms: 4,
        retain_ms: 5,
        max_failures: 6,
        items: vec![
            item("a", b"body"),
            item("b", b""),
            item("c", b"c"),
            item("d", b"d"),
        ],
    }
}

fn reserve(batch_job: &str, partition: u16, tokens: u64) -> Command {
    let (host, route) = ("h.example".into(), "r".into());
    Command::Reserve {
        clock: 12,
        job: JobKey {
            host,
            route,
            batch_job: batch_job.into(),
        },
        partition,
        tokens,
    }
}

fn result(index: u32, state: ResultStatus, text: &'static [u8]) -> ItemResult {
    ItemResult {
        batch_job: "job-1".into(),
        index,
        status: state,
        text: Bytes::from_static(text),
    }
}

#[test]
fn commands_keep_their_bytes() {
    let mut recorded = Recorded::new();
    recorded.message("command take", &Command::Accept(take()));
    let results = vec![
        result(2, ResultStatus::Complete, b"out\nput"),
        result(0, ResultStatus::Abandoned, b""),
    ];
    recorded.message(
        "command results",
        &Command::RecordResults { clock: 7, results },
    );
    recorded.message(
        "command end",
        &Command::End {
            clock: 8,
            batch_job: "job-1".into(),
        },
    );
    recorded.message(
        "command forget",
        &Command::Delete {
            clock: 9,
            batch_job: "job-1".into(),
        },
    );
    recorded.message("command clock", &Command::AdvanceClock { clock: 10 });
    recorded.message("command reserve", &reserve("job-1", 3, 14));
    let left = |batch_job: &str, tokens| {
        let (host, route) = ("h.example".into(), "r".into());
        RemainingTokens {
            job: JobKey {
                host,
                route,
                batch_job: batch_job.into(),
            },
            tokens,
        }
    };
    let batch_jobs = vec![left("job-1", 5), left("job-2", 0)];
    recorded.message(
        "command left",
        &Command::UpdateReservations {
            clock: 11,
            jobs: batch_jobs,
        },
    );
    recorded.finish("command ");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one case after the other")]
fn snapshots_keep_their_bytes() {
    let mut recorded = Recorded::new();
    let mut table = BatchJobTable::new();
    recorded.bytes("snapshot empty", &table.snapshot());
    let results = vec![
        result(2, ResultStatus::Complete, b"out\nput"),
        result(0, ResultStatus::Abandoned, b""),
    ];
    let ended = AcceptedJob {
        batch_job: "job-2".into(),
        ..take()
    };
    let commands = [
        Command::Accept(take()),
        Command::RecordResults { clock: 7, results },
        Command::Accept(ended),
        Command::End {
            clock: 0x0a0c,
            batch_job: "job-2".into(),
        },
    ];
    for (number, command) in (1..).zip(&commands) {
        table.apply(number, &command.encode());
    }
    recorded.bytes("snapshot of jobs", &table.snapshot());
    table.apply(5, &reserve("job-1", 3, 14).encode());
    table.apply(6, &reserve("job-3", 511, u64::MAX).encode());
    recorded.bytes("snapshot with reservations", &table.snapshot());
    recorded.finish("snapshot ");
    // And back, from the recorded bytes.
    let mut read = BatchJobTable::new();
    read.restore(&from_hex(
        &Recorded::new().lines["snapshot with reservations"],
    ))
    .unwrap();
    assert_eq!(read, table);
    assert_eq!((read.clock(), read.len()), (0x0a0c, 2));
    let job = read.batch_job("job-1").unwrap();
    assert_eq!(
        (job.order.as_slice(), job.ended, job.max_failures),
        (&[2, 0][..], false, 6)
    );
    assert!(
        matches!(&job.items[1].state, ItemState::Pending { path, .. } if path == "/v1/complete?x=1")
    );
    let listed = ItemState::Finished {
        status: ResultStatus::Complete,
        text: Bytes::from_static(b"out\nput"),
    };
    assert_eq!(job.items[2].state, listed);
    let ended = read.batch_job("job-2").unwrap();
    assert!(
        ended.ended
            && ended
                .items
                .iter()
                .all(|item| item.state == ItemState::Ended)
    );
    assert_eq!(
        read.reserved()
            .of("h.example", "r", "job-1")
            .map(|r| (r.partition, r.tokens)),
        Some((3, 14))
    );
    let job = read.reserved().of("h.example", "r", "job-3");
    assert_eq!(job.map(|r| (r.partition, r.tokens)), Some((511, u64::MAX)));
    let mut read = BatchJobTable::new();
    read.restore(&from_hex(&Recorded::new().lines["snapshot of jobs"]))
        .unwrap();
    assert!(read.reserved().is_empty());
    assert_eq!(read.len(), 2);
}

/// Kept in the table: a job that is submitted again after an upgrade must be known as the same.
#[test]
fn the_digest_of_a_job_keeps_its_value() {
    assert_eq!(content_digest("h.example", &[]), 0xa0f5_8aa7_19d1_daa6);
    assert_eq!(
        content_digest("h.example", &[item("a", b"body")]),
        0xb81f_b933_dc92_1ec5
    );
    assert_eq!(
        content_digest("h.example", &[item("a", b"body"), item("b", b"")]),
        0x9a8d_231f_961d_eb4c
    );
}

#[test]
fn kinds_of_frames_and_bounds_keep_their_values() {
    let kinds = [
        ("submit", SUBMIT),
        ("read", READ),
        ("body", BODY),
        ("end", END),
        ("fetch", FETCH),
        ("done", COMPLETE),
        ("hold", RENEW),
        ("heartbeat", HEARTBEAT),
        ("grant", LEASE_GRANT),
        ("chain", CHAIN),
        ("reserve", RESERVE),
        ("granted", RESERVE_RESPONSE),
        ("audit", AUDIT),
        ("left", AUDIT_RESPONSE),
        ("reserve note", RESERVE_PROGRESS),
    ];
    let mut said = String::new();
    for (name, kind) in kinds {
        writeln!(said, "{kind:#06x} {name}").unwrap();
    }
    insta::assert_snapshot!(said, @r#"
    0x0301 submit
    0x0302 read
    0x0303 body
    0x0304 end
    0x0305 fetch
    0x0306 done
    0x0307 hold
    0x0310 heartbeat
    0x0311 grant
    0x0312 chain
    0x0313 reserve
    0x0314 granted
    0x0315 audit
    0x0316 left
    0x0317 reserve note
    "#);
    let sizes = [
        MAX_PARTITIONS,
        MAX_READ_BYTES,
        MAX_FETCH_BYTES,
        MAX_ITEMS,
        MAX_HEADERS,
        MAX_NAME,
    ];
    assert_eq!(sizes, [512, 900_000, 1_048_576, 200, 64, 256]);
    assert_eq!(
        [MAX_VALUE, MAX_BODY, MAX_LIST, MAX_LEASES],
        [16_384, 4_194_304, 4_096, 65_536]
    );
    let times = [
        LEASE_RENEWAL_INTERVAL_MS,
        LEASE_TIMEOUT_MS,
        HEARTBEAT_INTERVAL_MS,
        u64::from(MAX_WAIT_MS),
    ];
    assert_eq!(times, [500, 2_500, 300, 2_000]);
}
