//! How long a process takes to recover from a full log, and the most memory that it has meanwhile.
//! By hand, outside CI:
//!
//! ```text
//! cargo run --release -p fordrelay-batch-store --example recovery -- fill DIR MEGABYTES PARTITIONS [LIVE]
//! cargo run --release -p fordrelay-batch-store --example recovery -- open DIR MEGABYTES
//! cargo run --release -p fordrelay-batch-store --example recovery -- hold DIR MEGABYTES
//! ```
//!
//! `fill` makes a log for a disk of so many megabytes and writes entries of 60 kB to it until it is
//! full, for so many partitions; before them, if `LIVE` is given, a state of so many megabytes a
//! partition. `open` does what a store does at its start; `hold` what a controller does, which has
//! one partition and holds all records until its member is made. They are processes of their own,
//! since the most memory is counted over a process.

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
/// The share of the disk that the log may use, as in a store.
const DISK_SHARE: f64 = 0.9;
const ENTRY_BYTES: usize = 60_000;
/// The kinds of a store's journal: a whole write, and the chunks of one.
const WHOLE: u8 = 1;
const FIRST: u8 = 2;
const MIDDLE: u8 = 3;
const LAST: u8 = 4;
const CHUNK_BYTES: usize = 128 << 10;

type Failure = Box<dyn std::error::Error>;

fn options(megabytes: &str) -> Result<Options, Failure> {
    let bytes = megabytes.parse::<f64>()? * 1.0e6 * DISK_SHARE;
    Ok(Options {
        segment_bytes: FILE_BYTES,
        max_segments: ((bytes / FILE_BYTES as f64) as usize).max(2),
    })
}

/// Appends a write, waiting for the disk; false if the log is full.
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

/// The command that accepts a job.
fn job(name: &str, bytes: usize) -> Bytes {
    Command::Accept(AcceptedJob {
        clock: 1,
        batch_job: name.into(),
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

fn fill(
    directory: &Path,
    options: Options,
    partitions: u32,
    live_megabytes: usize,
) -> Result<(), Failure> {
    let log = open(directory, options, 7)?.log;
    let mut number = 0;
    if live_megabytes > 0 {
        number = append_state(&log, partitions, live_megabytes);
    }
    // The same job again and again: each is an entry, and the table stays small.
    let command = job("job0", ENTRY_BYTES);
    let mut entries = 0u64;
    'full: loop {
        number += 1;
        for partition in 0..partitions {
            let entry = LogRecord::Entry {
                view: 1,
                number,
                command: command.clone(),
            };
            if !append(&log, partition, &entry)? {
                break 'full;
            }
            entries += 1;
        }
    }
    println!(
        "{entries} entries, {} of {} bytes used",
        log.used_bytes(),
        log.capacity_bytes()
    );
    log.close();
    Ok(())
}

/// Appends a snapshot of each partition, in chunks as a store writes it; returns the number of its
/// last entry.
fn append_state(log: &WriteAheadLog, partitions: u32, megabytes: usize) -> u64 {
    let mut table = BatchJobTable::new();
    let mut number = 0;
    for n in 0..megabytes * 1_000_000 / ENTRY_BYTES {
        number += 1;
        table.apply(number, &job(&format!("job{n}"), ENTRY_BYTES));
    }
    let body = Bytes::from(table.snapshot());
    println!("a state of {} bytes", body.len());
    for group in 0..partitions {
        let body = body.clone();
        let view = 1;
        let write = LogRecord::Snapshot { view, number, body }.encode();
        let starts = (0..write.len()).step_by(CHUNK_BYTES);
        let chunks: Vec<Bytes> = starts
            .map(|start| write.slice(start..write.len().min(start + CHUNK_BYTES)))
            .collect();
        for (at, body) in chunks.iter().enumerate() {
            let kind = match at {
                0 => FIRST,
                at if at + 1 == chunks.len() => LAST,
                _ => MIDDLE,
            };
            let record = Record {
                kind,
                group,
                number: 0,
                body: body.clone(),
            };
            while log.append(record.clone()).is_err() {
                std::thread::yield_now();
            }
        }
    }
    number
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

fn recover(directory: &Path, options: Options) -> Result<(), Failure> {
    let began = Instant::now();
    let (mut recovery, mut failed) = (Recovery::default(), None);
    let opened = open_each(
        directory,
        options,
        write_ahead_log::OpenAs {
            new_identity: 7,
            owner: 0,
        },
        &mut |ticket, record| {
            if failed.is_none() {
                failed = recovery.replay(ticket, record).err();
            }
        },
    )?;
    println!(
        "opened after {:?}: {} records; {}",
        began.elapsed(),
        recovery.records(),
        peak()?
    );
    if let Some(failed) = failed {
        return Err(failed.into());
    }
    let found = recovery.finish()?;
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
fn recover_in_memory(directory: &Path, options: Options) -> Result<(), Failure> {
    let began = Instant::now();
    let opened = open(directory, options, 7)?;
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
        ["fill", directory, megabytes, partitions] => fill(
            Path::new(directory),
            options(megabytes)?,
            partitions.parse()?,
            0,
        ),
        ["fill", directory, megabytes, partitions, live] => fill(
            Path::new(directory),
            options(megabytes)?,
            partitions.parse()?,
            live.parse()?,
        ),
        ["open", directory, megabytes] => recover(Path::new(directory), options(megabytes)?),
        ["hold", directory, megabytes] => {
            recover_in_memory(Path::new(directory), options(megabytes)?)
        }
        _ => Err("fill DIR MEGABYTES PARTITIONS [LIVE], or open|hold DIR MEGABYTES".into()),
    }
}
