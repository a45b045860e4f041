//! How long a process takes to read back a full ring, and the most memory that it has meanwhile. By hand, outside CI:
//!
//! ```text
//! cargo run --release -p fordrelay-batch-store --example recovery -- fill FOLDER MEGABYTES PARTITIONS [LIVE]
//! cargo run --release -p fordrelay-batch-store --example recovery -- open FOLDER MEGABYTES
//! cargo run --release -p fordrelay-batch-store --example recovery -- hold FOLDER MEGABYTES
//! ```
//!
//! `fill` makes a ring for a disk of so many megabytes and writes entries of 60 kB to it until it is full, for so many
//! partitions; before them, if `LIVE` is given, a state of so many megabytes a partition. `open` does what a store does at
//! its start; `hold` what a controller does, which has one partition and holds all records until its member is made. They are processes of their own, since the most memory is counted over a process.

#![expect(
    clippy::needless_pass_by_value,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

use std::path::Path;
use std::time::Instant;

use batch::command::{AcceptedJob, Command};
use batch::wire::{Item, Message as _};
use batch::BatchJobTable;
use batch_store::journal::Recovery;
use bytes::Bytes;
use chain_replication::{LogRecord, Member, RecoveredLog, Replica, StateMachine};
use write_ahead_log::{open, open_each, LogError, Options, Record, WriteAheadLog};

const FILE_BYTES: u64 = 4 << 20;
/// Of the disk so much is the ring's, as in a store.
const DISK_SHARE: f64 = 0.9;
const ENTRY_BYTES: usize = 60_000;
/// The kind of a whole write in a store's journal.
const WHOLE: u8 = 1;

type Failure = Box<dyn std::error::Error>;

fn options(megabytes: &str) -> Result<Options, Failure> {
    let bytes = megabytes.parse::<f64>()? * 1.0e6 * DISK_SHARE;
    Ok(Options {
        segment_bytes: FILE_BYTES,
        max_segments: ((bytes / FILE_BYTES as f64) as usize).max(2),
    })
}

/// Appends a write, waiting for the disk; false if the ring is full.
fn append(ring: &WriteAheadLog, part: u32, write: &LogRecord) -> Result<bool, Failure> {
    let record = Record {
        kind: WHOLE,
        group: part,
        number: 0,
        body: write.encode(),
    };
    loop {
        let waits = ring.synced_lsn();
        let before = ring.used_bytes();
        match ring.append(record.clone()) {
            Ok(_) => return Ok(true),
            Err(LogError::Full) if before + 2 * FILE_BYTES > ring.capacity_bytes() => {
                return Ok(false)
            }
            Err(LogError::Full) => {
                let at = *waits.borrow();
                while *waits.borrow() == at && ring.fault().is_none() {
                    std::thread::yield_now();
                }
            }
            Err(other) => return Err(other.into()),
        }
    }
}

fn item(bytes: usize) -> Item {
    Item {
        id: "i".into(),
        path: "/p".into(),
        headers: vec![],
        body: Bytes::from(vec![7; bytes]),
        tokens: 1,
    }
}

/// A job that is kept.
fn job(name: String, bytes: usize) -> Bytes {
    Command::Accept(AcceptedJob {
        clock: 1,
        batch_job: name.as_str().into(),
        host: "h".into(),
        route: "r".into(),
        content: 1,
        sent: 1,
        due_ms: 1,
        retain_ms: 1,
        max_failures: 1,
        items: vec![item(bytes)],
    })
    .encode()
}

fn fill(folder: &Path, options: Options, parts: u32, live: usize) -> Result<(), Failure> {
    let ring = open(folder, options, 7)?.log;
    let mut number = 0;
    if live > 0 {
        let mut table = BatchJobTable::new();
        for n in 0..live * 1_000_000 / ENTRY_BYTES {
            number += 1;
            table.apply(number, &job(format!("job{n}"), ENTRY_BYTES));
        }
        let body = Bytes::from(table.snapshot());
        println!("a state of {} bytes", body.len());
        for part in 0..parts {
            // As one record only where it fits; a store cuts it into pieces.
            let write = LogRecord::Snapshot {
                view: 1,
                number,
                body: body.clone(),
            }
            .encode();
            let pieces: Vec<Bytes> = (0..write.len())
                .step_by(128 << 10)
                .map(|at| write.slice(at..write.len().min(at + (128 << 10))))
                .collect();
            for (at, piece) in pieces.iter().enumerate() {
                let kind = if at == 0 {
                    2
                } else if at + 1 == pieces.len() {
                    4
                } else {
                    3
                };
                let record = Record {
                    kind,
                    group: part,
                    number: 0,
                    body: piece.clone(),
                };
                while ring.append(record.clone()).is_err() {
                    std::thread::yield_now();
                }
            }
        }
    }
    // The same job again and again: each is an entry, and the table stays small.
    let command = job("job0".to_owned(), ENTRY_BYTES);
    let mut entries = 0u64;
    'full: loop {
        number += 1;
        for part in 0..parts {
            if !append(
                &ring,
                part,
                &LogRecord::Entry {
                    view: 1,
                    number,
                    command: command.clone(),
                },
            )? {
                break 'full;
            }
            entries += 1;
        }
    }
    println!(
        "{entries} entries, {} of {} bytes used",
        ring.used_bytes(),
        ring.capacity_bytes()
    );
    ring.close();
    Ok(())
}

/// The most memory that this process had, in kilobytes.
fn peak() -> Result<String, Failure> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = |name: &str| {
        status
            .lines()
            .find(|line| line.starts_with(name))
            .unwrap_or_default()
            .to_owned()
    };
    Ok(format!("{} {}", line("VmHWM"), line("VmRSS")).replace('\t', " "))
}

fn recover(folder: &Path, options: Options) -> Result<(), Failure> {
    let began = Instant::now();
    let (mut back, mut bad) = (Recovery::default(), None);
    let opened = open_each(
        folder,
        options,
        write_ahead_log::OpenAs {
            new_identity: 7,
            owner: 0,
        },
        &mut |ticket, record| {
            if bad.is_none() {
                bad = back.replay(ticket, record).err();
            }
        },
    )?;
    println!(
        "opened after {:?}: {} records; {}",
        began.elapsed(),
        back.records(),
        peak()?
    );
    if let Some(bad) = bad {
        return Err(bad.into());
    }
    let found = back.finish()?;
    println!("read back after {:?}; {}", began.elapsed(), peak()?);
    let me = Member {
        id: 7,
        addr: ([10, 0, 0, 1], 7_662).into(),
        since: 1,
    };
    let nodes: Vec<Replica<BatchJobTable>> = found
        .into_iter()
        .map(|(_, found)| Replica::new(me.clone(), BatchJobTable::new(), found))
        .collect();
    let bytes: usize = nodes.iter().map(|node| node.state_machine().bytes()).sum();
    println!(
        "{} members with {bytes} bytes after {:?}; {}",
        nodes.len(),
        began.elapsed(),
        peak()?
    );
    opened.log.close();
    Ok(())
}

/// As a controller: with all records in memory.
fn recover_holding(folder: &Path, options: Options) -> Result<(), Failure> {
    let began = Instant::now();
    let opened = open(folder, options, 7)?;
    println!(
        "opened after {:?}: {} records; {}",
        began.elapsed(),
        opened.records.len(),
        peak()?
    );
    let mut found = RecoveredLog::default();
    for (_, record) in &opened.records {
        found.replay(LogRecord::decode(&record.body)?);
    }
    let me = Member {
        id: 7,
        addr: ([10, 0, 0, 1], 7_662).into(),
        since: 1,
    };
    let node = Replica::new(me, BatchJobTable::new(), found);
    println!(
        "a member at {} after {:?}; {}",
        node.applied(),
        began.elapsed(),
        peak()?
    );
    drop(opened.records);
    println!("without the records; {}", peak()?);
    opened.log.close();
    Ok(())
}

fn main() -> Result<(), Failure> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["fill", folder, megabytes, parts] => {
            fill(Path::new(folder), options(megabytes)?, parts.parse()?, 0)
        }
        ["fill", folder, megabytes, parts, live] => fill(
            Path::new(folder),
            options(megabytes)?,
            parts.parse()?,
            live.parse()?,
        ),
        ["open", folder, megabytes] => recover(Path::new(folder), options(megabytes)?),
        ["hold", folder, megabytes] => recover_holding(Path::new(folder), options(megabytes)?),
        _ => Err("fill FOLDER MEGABYTES PARTITIONS [LIVE], or open|hold FOLDER MEGABYTES".into()),
    }
}
