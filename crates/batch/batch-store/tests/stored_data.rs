//! A disk that an earlier version of the program wrote: the present one reads it to the last
//! value, starts on it and goes on writing. `fixtures/stored-data.md` says what is on it and how it
//! was made.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use batch::wire::*;
use batch::{BatchJobTable, ItemState};
use batch_store::journal::{Journal, Recovery, SyncedTicket};
use batch_store::{Effect, Responder, Store, StoreConfig};
use bytes::Bytes;
use chain_replication::{Member, View};
use flate2::read::GzDecoder;
use slog::{o, Discard, Logger};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use write_ahead_log::{Options, Record};

/// What the disk holds, as text: written with it.
const EXPECTED: &str = include_str!("fixtures/stored-data.txt");
/// As a store of a small machine has it, with fewer files.
const RING: Options = Options {
    segment_bytes: 4 << 20,
    max_segments: 4,
};
const IDENTITY: u64 = 0x0057_0e01;
const HOST: &str = "h.example";
const PARTITIONS: u16 = 8;
/// From the second view on it has another member, which never answers: no more is committed there.
const UNCOMMITTED: u16 = 6;
/// Left before the end: all its records are void.
const LEFT_PARTITION: u16 = 7;

/// A directory of the test's own, removed at its end.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Directory {
        let path =
            std::env::temp_dir().join(format!("fordrelay-stored-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        Directory(path)
    }

    /// With the files of the fixture.
    fn of_fixture(name: &str) -> Directory {
        let directory = Directory::new(name);
        let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/stored-data");
        let mut files = 0;
        for file in std::fs::read_dir(from).unwrap() {
            let path = file.unwrap().path();
            let mut bytes = Vec::new();
            GzDecoder::new(std::fs::File::open(&path).unwrap())
                .read_to_end(&mut bytes)
                .unwrap();
            std::fs::write(directory.0.join(path.file_stem().unwrap()), bytes).unwrap();
            files += 1;
        }
        assert_eq!(files, RING.max_segments);
        directory
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Keeps the answer to a call.
#[derive(Clone, Default)]
struct Answered(Rc<RefCell<Option<Bytes>>>);

impl Responder for Answered {
    fn respond(self, body: Bytes) {
        *self.0.borrow_mut() = Some(body);
    }
}

fn addr(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 7_662).into()
}

fn controller() -> SocketAddr {
    ([10, 0, 1, 1], 7_660).into()
}

/// A store on a real disk, in a time of the test's own.
struct StoreOnDisk {
    store: Store<Answered>,
    journal: Journal,
    now: u64,
    map: u64,
    /// The ticket of the first record on the disk, and the kinds of all records.
    first_ticket: u64,
    kinds: BTreeSet<u8>,
    identity: u64,
}

impl StoreOnDisk {
    fn open(path: &Path) -> StoreOnDisk {
        let (mut back, mut first_ticket, mut kinds) = (Recovery::default(), 0, BTreeSet::new());
        let mut take = |ticket, record: Record| {
            if first_ticket == 0 {
                first_ticket = ticket;
            }
            kinds.insert(record.kind);
            back.replay(ticket, record).unwrap();
        };
        let holder = write_ahead_log::owner_id("s-1", "store");
        let opened = write_ahead_log::open_each(
            path,
            RING,
            write_ahead_log::OpenAs {
                new_identity: IDENTITY,
                owner: holder,
            },
            &mut take,
        )
        .unwrap();
        assert!(!opened.torn);
        let bytes = back.bytes();
        let config = StoreConfig {
            addr: addr(1),
            id: opened.identity,
            node: "s-1".into(),
            zone: "z-1".into(),
            poll_ms: 20_000,
            min_members: 1,
            max_bytes: 100_000_000,
            incarnation: 77,
            response_bytes_per_ms: 1_000_000,
        };
        let mut store = Store::new(config, back.finish().unwrap(), Logger::root(Discard, o!()));
        store.set_controllers(vec![controller()]);
        let live = store
            .replicas()
            .map(|(_, node)| node.state_machine().bytes() as u64)
            .sum();
        let journal = Journal::new(opened.log, bytes, live);
        let identity = opened.identity;
        StoreOnDisk {
            store,
            journal,
            now: 1,
            map: 0,
            first_ticket,
            kinds,
            identity,
        }
    }

    fn apply_effects(&mut self) {
        self.journal.set_now(self.now);
        for effect in self.store.take_effects() {
            match effect {
                Effect::Write {
                    partition,
                    ticket,
                    record,
                } => self.journal.write(partition, ticket, &record),
                Effect::Discard { partition } => self.journal.discard(partition),
                Effect::Send { .. } => {}
            }
        }
    }

    /// What a store's process does every 50 ms, and a lease.
    fn tick(&mut self, ms: u64) {
        self.now += ms;
        let now = self.now;
        if self.map > 0 {
            let grant = LeaseGrant {
                sent_ms: now,
                lease_ms: 2_000,
                map: self.map,
            };
            self.store
                .handle_message(now, controller(), LEASE_GRANT, &grant.encode())
                .unwrap();
        }
        self.journal.set_now(now);
        let synced = *self.journal.watch().borrow();
        let done = self.journal.synced(synced);
        for SyncedTicket {
            partition: part,
            ticket,
        } in done
        {
            self.store.handle_synced(now, part, ticket);
        }
        self.store.finish_synced(now);
        self.journal.tick(self.store.replicas());
        self.store.update_disk(now, self.journal.disk());
        self.store.update_health(now, self.journal.status());
        self.store.tick(now);
        self.apply_effects();
    }

    /// Lets time pass until something holds.
    fn until(&mut self, what: &str, holds: impl Fn(&StoreOnDisk) -> bool) {
        let began = Instant::now();
        while !holds(self) {
            assert!(began.elapsed() < Duration::from_secs(20), "never: {what}");
            self.tick(2);
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Until all that was handed over is on the disk.
    fn settle(&mut self) {
        self.until("all is on the disk", |disk| {
            let committed = |(part, node): (u16, &chain_replication::Replica<BatchJobTable>)| {
                part == UNCOMMITTED || node.committed() == node.last_received() && node.is_active()
            };
            !disk.journal.disk().is_behind && disk.store.replicas().all(committed)
        });
    }

    fn wait(&mut self, ms: u64) {
        (0..ms / 50).for_each(|_| self.tick(50));
        self.settle();
    }

    /// The next map of the stores, in which this one is alone in its chains but for the two of
    /// their own kind.
    fn enter(&mut self, number: u64, without: &[u16]) {
        self.until("the disk is prepared", |disk| {
            disk.journal.status().preallocated
        });
        let member = |id: u64| Member {
            id: if id == 1 { IDENTITY } else { id },
            addr: addr(id as u8),
            since: 1,
        };
        let view = |part: u16| match part {
            UNCOMMITTED if number > 1 => View {
                number,
                members: vec![member(1), member(2)],
                joining: vec![],
            },
            part if without.contains(&part) => View {
                number,
                members: vec![member(2)],
                joining: vec![],
            },
            _ => View {
                number,
                members: vec![member(1)],
                joining: vec![],
            },
        };
        let partitions = (0..PARTITIONS).map(view).collect();
        let map = PlacementMap {
            number,
            partitions,
            stores: vec![],
            placement: Placement::ByJob,
        };
        self.store.apply_map(self.now, map);
        self.map = number;
        self.apply_effects();
        self.settle();
        self.wait(1_000);
    }

    fn call<C: Message>(&mut self, kind: u16, call: &C) -> Answered {
        let answered = Answered::default();
        self.store
            .handle_request(self.now, kind, &call.encode(), answered.clone())
            .unwrap();
        self.apply_effects();
        answered
    }

    fn ask<C: Message, A: Message>(&mut self, kind: u16, call: &C) -> A {
        let answered = self.call(kind, call);
        self.until("there is an answer", |_| answered.0.borrow().is_some());
        let body = answered.0.borrow_mut().take().unwrap();
        A::decode(&body).unwrap()
    }

    /// Submits as a client does: again while the store is busy.
    fn submit(&mut self, call: &SubmitRequest) -> SubmitResponse {
        for _ in 0..50 {
            match self.ask(SUBMIT, call) {
                SubmitResponse::Unavailable | SubmitResponse::Indeterminate => self.wait(500),
                answer => return answer,
            }
        }
        panic!(
            "busy for long: {:?} {:?}",
            self.journal.disk(),
            self.journal.status()
        )
    }

    fn close(self) {
        self.journal.close();
    }
}

/// A job with this many items of so many bytes.
fn submit(host: &str, route: &str, job: &str, items: usize, bytes: usize) -> SubmitRequest {
    let text = format!("{job}: a body of many equal parts. ");
    let item = |n: usize| Item {
        id: format!("{job}-item-{n}").into(),
        path: format!("/v1/complete/{n}").into(),
        headers: vec![
            Header {
                name: "Fordrelay-Model".into(),
                value: "model-a".into(),
            },
            Header {
                name: "X-Note".into(),
                value: format!("é {n}").into(),
            },
        ],
        body: Bytes::from(text.bytes().cycle().take(bytes + n).collect::<Vec<u8>>()),
        tokens: 100 + n as u64,
    };
    SubmitRequest {
        host: host.into(),
        route: route.into(),
        batch_job: job.into(),
        age_ms: 40,
        due_ms: 5_000,
        retain_ms: 3_600_000,
        max_queued: 100_000,
        excess_permille: 250,
        max_failures: 2,
        items: (0..items).map(item).collect(),
    }
}

fn fetch(host: &str, route: &str, want: u32) -> FetchRequest {
    FetchRequest {
        holder: 9,
        wait_ms: 0,
        demands: vec![RouteDemand {
            host: host.into(),
            route: route.into(),
            max_items: want,
        }],
    }
}

fn partition_of_job(host: &str, job: &str) -> u16 {
    partition_of(host, job, usize::from(PARTITIONS)) as u16
}

fn done(leased: &LeasedItem, outcome: Outcome) -> CompleteRequest {
    let partition = partition_of_job(&leased.host, &leased.key.batch_job);
    let key = leased.key.clone();
    CompleteRequest {
        holder: 9,
        partition,
        results: vec![Completion { key, outcome }],
    }
}

/// A digest of bytes too long to be written out.
fn digest(bytes: &[u8]) -> String {
    let hash = bytes.iter().fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    format!("{} bytes {hash:016x}", bytes.len())
}

/// All that the store has of each partition, value for value.
#[expect(clippy::too_many_lines, reason = "one value after the other")]
fn written_out(disk: &StoreOnDisk) -> String {
    let mut out = String::new();
    let line = &mut out;
    for (part, node) in disk.store.replicas() {
        let (table, status) = (node.state_machine(), node.status());
        writeln!(
            line,
            "partition {part}: in sync in view {}, entry {}, clock {}, jobs {}, bytes {}, refused {}",
            status.in_sync_view,
            status.last_received,
            table.clock(),
            table.len(),
            table.bytes(),
            table.rejected()
        )
        .unwrap();
        for (id, job) in table.iter() {
            writeln!(
                line,
                "  job {id}: host {} route {} content {:016x} sent {} taken {} due {} retain {} tries {} ended {} order {:?}",
                job.host, job.route, job.content, job.sent, job.accepted, job.due_ms, job.retain_ms, job.max_failures,
                job.ended, job.order
            )
            .unwrap();
            for item in &job.items {
                let state = match &item.state {
                    ItemState::Pending {
                        path,
                        headers,
                        body,
                    } => {
                        let headers = headers.iter().map(|h| format!("{}={}", h.name, h.value));
                        let headers = headers.collect::<Vec<_>>().join(";");
                        format!("waiting {path} {headers} {}", digest(body))
                    }
                    ItemState::Finished { status, text } => {
                        let text = match std::str::from_utf8(text) {
                            Ok(text) if text.len() <= 60 => format!("{text:?}"),
                            _ => digest(text),
                        };
                        format!("{} {text}", status.name())
                    }
                    ItemState::Ended => "ended".to_owned(),
                };
                writeln!(line, "    item {} tokens {}: {state}", item.id, item.tokens).unwrap();
            }
        }
        let reserved = table.reserved();
        for (host, route) in reserved.routes() {
            writeln!(
                line,
                "  reserved on {host} {route}: {}",
                reserved.sum(host, route)
            )
            .unwrap();
            for (job, reservation) in reserved.on(host, route) {
                let (partition, tokens) = (reservation.partition, reservation.tokens);
                writeln!(line, "    job {job}: partition {partition} tokens {tokens}").unwrap();
            }
        }
    }
    out
}

#[test]
fn a_disk_of_an_earlier_version_is_read_to_the_last_value() {
    let directory = Directory::of_fixture("read");
    let disk = StoreOnDisk::open(&directory.0);
    assert_eq!(disk.identity, IDENTITY);
    assert!(
        disk.first_ticket > 1_000,
        "the ring was used more than once round: {}",
        disk.first_ticket
    );
    let kinds: Vec<u8> = disk.kinds.iter().copied().collect();
    assert_eq!(
        kinds,
        [1, 2, 3, 4, 5],
        "whole writes, the pieces of long ones, and a void partition"
    );
    assert_eq!(written_out(&disk), EXPECTED);
    assert!(
        disk.store.replica(usize::from(LEFT_PARTITION)).is_none(),
        "it was left"
    );
    disk.close();
}

#[test]
fn a_store_starts_on_a_disk_of_an_earlier_version_and_goes_on_writing() {
    let directory = Directory::of_fixture("goes-on");
    let mut disk = StoreOnDisk::open(&directory.0);
    disk.enter(10, &[LEFT_PARTITION]);
    // A job that is kept is known as the same, and as another.
    let known = submit(HOST, "r", "open-1", 4, 300);
    assert_eq!(disk.submit(&known), SubmitResponse::Accepted);
    let other = submit(HOST, "r", "open-1", 4, 301);
    let code = batch::codes::OTHER_CONTENT;
    assert_eq!(disk.submit(&other), SubmitResponse::Invalid { code });
    // Its items that waited or were held run, once each.
    let mut ran = Vec::new();
    for route in ["r", "q", "h", "e"] {
        loop {
            let answer: FetchResponse = disk.ask(FETCH, &fetch(HOST, route, 50));
            if answer.items.is_empty() {
                break;
            }
            for leased in &answer.items {
                ran.push(leased.item.id.to_string());
                let outcome = Outcome::Complete {
                    text: Bytes::from_static(b"after the upgrade"),
                };
                assert_eq!(
                    disk.ask::<_, CompleteResponse>(COMPLETE, &done(leased, outcome)),
                    CompleteResponse::Accepted
                );
            }
        }
    }
    let open = ["open-1-item-1", "open-1-item-2", "open-1-item-3"];
    let failed_once = ["open-4-item-0", "open-4-item-1", "open-4-item-2"];
    let leased_before = ["held-3-item-0", "held-3-item-1"];
    assert_eq!(ran, [&open[..], &failed_once, &leased_before].concat());
    // A new one is taken, and read.
    let new = submit(HOST, "r", "new-2", 2, 500);
    assert_eq!(disk.submit(&new), SubmitResponse::Accepted);
    let read = ReadRequest {
        host: HOST.into(),
        batch_job: "open-1".into(),
        start_after: 0,
        wait_ms: 0,
    };
    let ReadResponse::Found { total, next, .. } = disk.ask(READ, &read) else {
        panic!("not found")
    };
    assert_eq!((total, next), (4, 4));
    // More than the ring holds, so that what was on it is written again.
    write_round(&mut disk, 100);
    let before = written_out(&disk);
    disk.close();
    let again = StoreOnDisk::open(&directory.0);
    assert_eq!(written_out(&again), before);
    again.close();
}

/// Jobs of 200 kB that come, run in part, end and are forgotten.
fn write_round(disk: &mut StoreOnDisk, jobs: usize) {
    for n in 0..jobs {
        let job = format!("passing-{}-{n}", disk.map);
        if [UNCOMMITTED, LEFT_PARTITION].contains(&partition_of_job(HOST, &job)) {
            continue;
        }
        let call = SubmitRequest {
            max_queued: 0,
            ..submit(HOST, "s", &job, 2, 100_000)
        };
        assert_eq!(disk.submit(&call), SubmitResponse::Accepted, "{job}");
        let answer: FetchResponse = disk.ask(FETCH, &fetch(HOST, "s", 1));
        for leased in &answer.items {
            let text = leased.item.body.slice(..40_000);
            let _: CompleteResponse = disk.ask(COMPLETE, &done(leased, Outcome::Complete { text }));
        }
        let end = EndRequest {
            host: HOST.into(),
            batch_job: job.into(),
        };
        assert_eq!(disk.ask::<_, EndResponse>(END, &end), EndResponse::Ended);
        disk.wait(500);
    }
}

/// What a version before is to read again if an upgrade is taken back.
#[test]
fn records_of_the_journal_keep_their_kinds_and_pieces() {
    let directory = Directory::new("records");
    let opened = write_ahead_log::open(&directory.0, RING, IDENTITY).unwrap();
    let mut journal = Journal::new(opened.log, 0, 0);
    let entry = |number, bytes: usize| {
        let command = (0..bytes).map(|n| n as u8).collect::<Vec<u8>>().into();
        chain_replication::LogRecord::Entry {
            view: 1,
            number,
            command,
        }
    };
    let (short, long) = (entry(1, 3), entry(2, 300_000));
    journal.write(3, 1, &short);
    journal.write(511, 2, &long);
    journal.discard(2);
    journal.close();
    let (short, long) = (short.encode(), long.encode());
    assert_eq!(
        short[..],
        [3, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 3, 0, 1, 2]
    );
    let expected = [
        (1, 3, short),
        (2, 511, long.slice(..131_072)),
        (3, 511, long.slice(131_072..262_144)),
        (4, 511, long.slice(262_144..)),
        (5, 2, Bytes::new()),
    ];
    let opened = write_ahead_log::open(&directory.0, RING, IDENTITY).unwrap();
    let records: Vec<_> = opened
        .records
        .into_iter()
        .map(|(_, record)| record)
        .collect();
    let expected = expected.map(|(kind, group, body)| Record {
        kind,
        group,
        number: 0,
        body,
    });
    assert!(
        records == expected,
        "{:?}",
        records
            .iter()
            .map(|r| (r.kind, r.body.len()))
            .collect::<Vec<_>>()
    );
    opened.log.close();
}
