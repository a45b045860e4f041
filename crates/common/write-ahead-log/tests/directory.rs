//! The log in a real directory, and the errors that it reports.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use bytes::Bytes;
use insta::assert_snapshot;
use std::path::PathBuf;
use support::{record, MemoryDisk};
use write_ahead_log::{
    open, open_each, prepare, LogDirectory, LogError, OpenAs, Options, PreparedLog, SharedState,
    StdMonitor, Storage, WriteAheadLog,
};

const OPTIONS: Options = Options {
    segment_bytes: 64 << 10,
    max_segments: 4,
};

/// An empty directory of this test alone.
fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("disk-ring-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

async fn on_disk(log: &WriteAheadLog, lsn: u64) {
    log.synced_lsn()
        .wait_for(|synced| *synced >= lsn)
        .await
        .expect("the disk works");
}

#[tokio::test]
async fn appended_records_are_recovered() {
    let path = directory("comes-back");
    let opened = open(&path, OPTIONS, 77).unwrap();
    assert!(opened.is_new && !opened.torn && opened.identity == 77 && opened.records.is_empty());
    let mut appended = Vec::new();
    for number in 0..200 {
        let record = record(number, 300);
        appended.push((opened.log.append(record.clone()).unwrap(), record));
    }
    on_disk(&opened.log, appended.last().unwrap().0).await;
    assert!(
        opened.log.used_bytes() > 64 << 10 && opened.log.used_bytes() < opened.log.capacity_bytes()
    );
    opened.log.release_before(appended[195].0);
    assert!(opened.log.used_bytes() < 64 << 10);
    opened.log.close();

    let again = open(&path, OPTIONS, 78).unwrap();
    assert!(!again.is_new && !again.torn && again.identity == 77);
    assert_eq!(again.records, appended[195..]);
    drop(again);
    std::fs::remove_dir_all(path).unwrap();
}

#[tokio::test]
async fn a_full_log_refuses_appends_until_records_are_released() {
    let path = directory("full");
    let log = open(&path, OPTIONS, 1).unwrap().log;
    let body = Bytes::from(vec![1; 10_000]);
    let filled = |number| write_ahead_log::Record {
        kind: 0,
        group: 0,
        number,
        body: body.clone(),
    };
    let mut lsns = Vec::new();
    let error = loop {
        match log.append(filled(lsns.len() as u64)) {
            Ok(lsn) => lsns.push(lsn),
            Err(error) => break error,
        }
    };
    assert_snapshot!(error, @"the log is full");
    assert_eq!(lsns.len(), 24);
    // A full log can still be opened many times.
    log.close();
    for _ in 0..50 {
        open(&path, OPTIONS, 1).unwrap().log.close();
    }
    let opened = open(&path, OPTIONS, 1).unwrap();
    assert_eq!(opened.records.len(), 24);
    assert!(matches!(opened.log.append(filled(0)), Err(LogError::Full)));
    opened.log.release_before(lsns[12]);
    for number in 0..6 {
        on_disk(&opened.log, opened.log.append(filled(number)).unwrap()).await;
    }
    let error = opened.log.append(write_ahead_log::Record {
        body: Bytes::from(vec![0; 64 << 10]),
        ..filled(0)
    });
    assert_snapshot!(error.unwrap_err(), @"a record of 65536 bytes exceeds the limit of 61536");
    opened.log.close();
    assert_eq!(std::fs::read_dir(&path).unwrap().count(), 4);
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_newer_format_version_is_left_unchanged() {
    let path = directory("newer");
    open(&path, OPTIONS, 1).unwrap().log.close();
    let file = path.join("ring-0000");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[8] = 2;
    let crc = {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&bytes[..12]);
        hasher.update(&bytes[16..64]);
        hasher.finalize()
    };
    bytes[12..16].copy_from_slice(&crc.to_le_bytes());
    std::fs::write(&file, &bytes).unwrap();
    let Err(error) = open(&path, OPTIONS, 1) else {
        panic!("it was opened")
    };
    let said = error
        .to_string()
        .replace(&path.display().to_string(), "...");
    assert_snapshot!(said, @".../ring-0000 has format version 2, supported up to 1; nothing was changed");
    assert_eq!(std::fs::read(&file).unwrap(), bytes);
    std::fs::remove_dir_all(path).unwrap();
}

/// A log of two segments in memory, of which the first is full.
fn two_segments() -> MemoryDisk {
    let disk = MemoryDisk::default();
    let options = Options {
        segment_bytes: 16 << 10,
        max_segments: 4,
    };
    let mut prepared: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(disk.clone(), options, 1).unwrap();
    for number in 0..40 {
        prepared.log.append(record(number, 500)).unwrap();
        prepared.writer.step();
    }
    disk
}

fn refused(disk: MemoryDisk) -> String {
    let options = Options {
        segment_bytes: 16 << 10,
        max_segments: 4,
    };
    match prepare::<_, StdMonitor<SharedState>>(disk, options, 1) {
        Ok(_) => "opened".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn corruption_is_reported_with_file_and_offset() {
    let disk = two_segments();
    disk.change(0, |bytes| bytes[5000] ^= 1);
    assert_snapshot!(refused(disk), @"ring-0000 is corrupt at byte 4528: a synced record can't be read");
    let disk = two_segments();
    disk.change(0, |bytes| bytes[30] ^= 1);
    assert_snapshot!(refused(disk), @"ring-0000 is corrupt at byte 0: a synced header can't be read");
    let disk = two_segments();
    disk.change(1, |bytes| bytes[30] ^= 1);
    assert_snapshot!(refused(disk), @"ring-0001 is corrupt at byte 0: a synced header can't be read");
    let disk = two_segments();
    disk.remove_file(0);
    assert_snapshot!(refused(disk), @"ring-0001 is corrupt at byte 0: the segment before it is missing, with records that aren't released");
}

#[test]
fn invalid_options_are_refused() {
    let options = Options {
        segment_bytes: 1000,
        max_segments: 4,
    };
    let refused = prepare::<_, StdMonitor<SharedState>>(MemoryDisk::default(), options, 1)
        .err()
        .unwrap();
    assert_snapshot!(refused, @"a log needs at least 2 segments of 16384 bytes");
}

/// After a failed write or sync nothing more is reported as durable until all of it was written and
/// synced again; the log reports the fault, accepts more up to its limit, and ends only when it is
/// closed.
#[test]
fn a_failed_disk_is_retried_with_backoff() {
    for operations in [0, 1] {
        let disk = MemoryDisk::default();
        let mut prepared: PreparedLog<_, StdMonitor<SharedState>> =
            prepare(disk.clone(), OPTIONS, 1).unwrap();
        while prepared.writer.has_work() {
            prepared.writer.step();
        }
        let synced = prepared.log.synced_lsn();
        assert_eq!(*synced.borrow(), 1);
        disk.lose_power_after(operations);
        prepared.log.append(record(0, 10)).unwrap();
        assert!(prepared.writer.step());
        assert_eq!(prepared.log.fault(), Some(std::io::ErrorKind::Other));
        assert_eq!(prepared.log.append(record(1, 10)).unwrap(), 3);
        let mut pauses = Vec::new();
        for _ in 0..6 {
            assert!(prepared.writer.step() && !prepared.writer.has_work() && *synced.borrow() == 1);
            pauses.push(prepared.writer.retry_delay().unwrap().as_millis());
        }
        assert_eq!(pauses, [100, 200, 400, 400, 400, 400]);
        disk.restore_power();
        assert!(prepared.writer.step() && *synced.borrow() == 2 && prepared.log.fault().is_none());
        assert!(
            prepared.writer.step()
                && *synced.borrow() == 3
                && prepared.writer.retry_delay().is_none()
        );
        let found = prepare::<_, StdMonitor<SharedState>>(disk.after_crash(), OPTIONS, 1).unwrap();
        assert_eq!(found.records, [(2, record(0, 10)), (3, record(1, 10))]);
    }
}

/// The queue for a failing disk is bounded in bytes and in records, and no accepted record is lost.
#[test]
fn the_queue_is_bounded_while_the_disk_fails() {
    let options = Options {
        segment_bytes: 8 << 20,
        max_segments: 4,
    };
    for len in [0, 1 << 20] {
        let disk = MemoryDisk::default();
        let mut prepared: PreparedLog<_, StdMonitor<SharedState>> =
            prepare(disk.clone(), options, 1).unwrap();
        while prepared.writer.has_work() {
            prepared.writer.step();
        }
        disk.fail_writes(true);
        let (mut taken, mut last) = (0, 0);
        while let Ok(lsn) = prepared.log.append(record(taken, len)) {
            taken += 1;
            last = lsn;
            if taken % 7 == 0 {
                assert!(prepared.writer.step());
            }
        }
        // What the writer had taken before the first failure, and a full queue.
        let most = 7 + if len == 0 {
            write_ahead_log::MAX_QUEUED_RECORDS as u64
        } else {
            16
        };
        assert!(taken <= most, "{taken} of {len} bytes wait");
        disk.fail_writes(false);
        while prepared.log.fault().is_some() || prepared.writer.has_work() {
            prepared.writer.step();
        }
        assert_eq!(*prepared.log.synced_lsn().borrow(), last);
        let found = prepare::<_, StdMonitor<SharedState>>(disk.after_crash(), options, 1).unwrap();
        assert_eq!(found.records.len() as u64, taken);
    }
}

/// A log whose disk is full at the start opens, recovers what was there, and reports nothing as
/// synced.
#[test]
fn a_log_on_a_full_disk_opens_and_recovers() {
    let disk = two_segments();
    let options = Options {
        segment_bytes: 16 << 10,
        max_segments: 4,
    };
    disk.fail_writes(true);
    let mut prepared: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(disk.clone(), options, 9).unwrap();
    assert_eq!(
        (
            prepared.records.len(),
            prepared.identity,
            *prepared.log.synced_lsn().borrow()
        ),
        (40, 1, 0)
    );
    let lsn = prepared.log.append(record(40, 10)).unwrap();
    assert!(
        prepared.writer.step() && prepared.log.fault() == Some(std::io::ErrorKind::StorageFull)
    );
    disk.fail_writes(false);
    while *prepared.log.synced_lsn().borrow() < lsn {
        assert!(prepared.writer.step());
    }
    assert!(prepared.log.fault().is_none() && prepared.log.is_preallocated());
    // The same with an empty disk: it counts as preallocated only with two complete segments.
    let disk = MemoryDisk::default();
    disk.set_capacity(24 << 10);
    let mut prepared: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(disk.clone(), options, 9).unwrap();
    for _ in 0..3 {
        prepared.writer.step();
    }
    assert!(
        !prepared.log.is_preallocated()
            && prepared.log.fault().is_some()
            && *prepared.log.synced_lsn().borrow() == 1
    );
    disk.set_capacity(40 << 10);
    prepared.writer.step();
    assert!(prepared.log.is_preallocated() && prepared.log.fault().is_none());
}

/// All queued records go to the disk with one write and one sync.
#[test]
fn queued_records_share_one_write_and_one_sync() {
    let disk = MemoryDisk::default();
    let mut prepared: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(disk.clone(), OPTIONS, 1).unwrap();
    while prepared.writer.has_work() {
        prepared.writer.step();
    }
    let before = disk.counts();
    for number in 0..100 {
        prepared.log.append(record(number, 100)).unwrap();
    }
    assert!(prepared.writer.step());
    let after = disk.counts();
    assert_eq!((after.0 - before.0, after.1 - before.1), (1, 1));
    assert_eq!(*prepared.log.synced_lsn().borrow(), 101);
}

/// The second segment is preallocated at once, so that a disk that fills up leaves enough to go on;
/// further ones before they are needed, while nothing waits, and not earlier than useful.
#[test]
fn segments_are_preallocated() {
    let disk = MemoryDisk::default();
    let mut prepared: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(disk.clone(), OPTIONS, 1).unwrap();
    assert!(
        prepared.writer.has_work() && !prepared.log.is_preallocated(),
        "one segment isn't enough"
    );
    while prepared.writer.has_work() {
        prepared.writer.step();
    }
    assert_eq!(
        (disk.slots(), prepared.log.is_preallocated()),
        (vec![0, 1], true)
    );
    assert_eq!(disk.bytes(1), vec![0; 64 << 10]);
    let mut taken = 0;
    while disk.slots().len() == 2 {
        taken += 1;
        prepared.log.append(record(taken, 1_000)).unwrap();
        while prepared.writer.has_work() {
            prepared.writer.step();
        }
    }
    // A segment and a quarter.
    assert!((76..=80).contains(&taken), "{taken}");
    assert_eq!(disk.bytes(2), vec![0; 64 << 10]);
}

/// A log that can't preallocate a segment goes on in those that it has, and grows again later.
#[test]
fn a_full_disk_limits_the_number_of_segments() {
    let disk = MemoryDisk::default();
    let mut prepared: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(disk.clone(), OPTIONS, 1).unwrap();
    disk.set_capacity(150 << 10);
    let mut taken = 0;
    while prepared.log.append(record(taken, 3000)).is_ok() {
        taken += 1;
        while prepared.writer.has_work() {
            assert!(prepared.writer.step());
        }
    }
    assert_eq!(prepared.log.fault(), None);
    assert_eq!(
        (taken, disk.slots(), prepared.log.capacity_bytes()),
        (41, vec![0, 1], 128 << 10)
    );
    // The refused append triggers another attempt, without success; with capacity the next one
    // succeeds.
    assert!(prepared.writer.step() && prepared.log.append(record(taken, 3000)).is_err());
    disk.set_capacity(400 << 10);
    assert!(prepared.writer.step());
    while prepared.writer.has_work() {
        assert!(prepared.writer.step());
    }
    assert_eq!(
        (disk.slots(), prepared.log.capacity_bytes()),
        (vec![0, 1, 2], 256 << 10)
    );
    assert!(prepared.log.append(record(taken, 3000)).is_ok());
}

#[test]
fn other_files_in_the_directory_are_left_alone() {
    let path = directory("others");
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("lost+found"), "x").unwrap();
    std::fs::write(path.join("ring-old"), "x").unwrap();
    // Without a writer thread, which may preallocate the second segment before the log is closed.
    let prepared: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(LogDirectory::new(&path).unwrap(), OPTIONS, 5).unwrap();
    assert!(prepared.is_new);
    drop(prepared);
    assert_eq!(
        LogDirectory::new(&path).unwrap().files().unwrap(),
        [(0, 64 << 10)]
    );
    assert_eq!(std::fs::read(path.join("ring-old")).unwrap(), b"x");
    // With the thread: it leaves them alone, too.
    let opened = open(&path, OPTIONS, 5).unwrap();
    assert!(!opened.is_new);
    opened.log.close();
    let files = LogDirectory::new(&path).unwrap().files().unwrap();
    assert_eq!(files.first(), Some(&(0, 64 << 10)));
    assert_eq!(std::fs::read(path.join("ring-old")).unwrap(), b"x");
    assert_eq!(std::fs::read(path.join("lost+found")).unwrap(), b"x");
    std::fs::remove_dir_all(path).unwrap();
}

/// A log that exists keeps the length of its segments; their number follows from the capacity.
#[test]
fn other_options_keep_the_segment_length() {
    let disk = two_segments();
    let options = Options {
        segment_bytes: 64 << 10,
        max_segments: 3,
    };
    let opened: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(disk.clone(), options, 2).unwrap();
    assert_eq!(
        (opened.records.len(), opened.identity, opened.is_new),
        (40, 1, false)
    );
    assert_eq!(opened.log.capacity_bytes(), 192 << 10);
    assert_eq!(
        opened.log.max_body_bytes(),
        (16 << 10) - 64 - 48 - 48 - 80 * 48
    );
    let smaller = Options {
        segment_bytes: 16 << 10,
        max_segments: 2,
    };
    let opened: PreparedLog<_, StdMonitor<SharedState>> = prepare(disk, smaller, 2).unwrap();
    assert_eq!(
        (opened.records.len(), opened.log.capacity_bytes()),
        (40, 32 << 10)
    );
}

/// A restarted process counts as preallocated from the first moment, as the preallocated segment is
/// complete. Regression: it was preallocated once more, 8 MB of a controller, and the process was
/// no member of anything meanwhile.
#[test]
fn a_preallocated_segment_is_recognized_after_a_restart() {
    let path = directory("made-ahead");
    let begin = || {
        prepare::<_, StdMonitor<SharedState>>(LogDirectory::new(&path).unwrap(), OPTIONS, 1)
            .unwrap()
    };
    let mut prepared = begin();
    assert!(!prepared.log.is_preallocated());
    while prepared.writer.has_work() {
        prepared.writer.step();
    }
    assert!(prepared.log.is_preallocated());
    drop(prepared);
    let prepared = begin();
    assert!(
        prepared.log.is_preallocated() && !prepared.writer.has_work(),
        "recognized"
    );
    drop(prepared);
    // Neither a file that is too short counts, nor one whose bytes have no blocks on the disk.
    let made_ahead = std::fs::OpenOptions::new()
        .write(true)
        .open(path.join("ring-0001"))
        .unwrap();
    for lengths in [
        vec![OPTIONS.segment_bytes - 4_096],
        vec![0, OPTIONS.segment_bytes],
    ] {
        lengths
            .into_iter()
            .for_each(|length| made_ahead.set_len(length).unwrap());
        assert!(!begin().log.is_preallocated());
    }
    let mut prepared = begin();
    while prepared.writer.has_work() {
        prepared.writer.step();
    }
    assert!(prepared.log.is_preallocated());
    drop(prepared);
    std::fs::remove_dir_all(path).unwrap();
}

#[tokio::test]
async fn streamed_recovery_gives_the_same_records() {
    let path = directory("one-by-one");
    let log = open(&path, OPTIONS, 1).unwrap().log;
    let mut lsns = Vec::new();
    for number in 0..500 {
        lsns.push(log.append(record(number, 300)).unwrap());
    }
    on_disk(&log, *lsns.last().unwrap()).await;
    assert!(
        log.used_bytes() > 2 * OPTIONS.segment_bytes,
        "several segments"
    );
    log.release_before(lsns[20]);
    log.close();
    let all = open(&path, OPTIONS, 1).unwrap();
    assert_eq!(all.records.len(), 480);
    all.log.close();
    let mut one_by_one = Vec::new();
    let opened = open_each(
        &path,
        OPTIONS,
        OpenAs {
            new_identity: 1,
            owner: 0,
        },
        &mut |lsn, record| one_by_one.push((lsn, record)),
    )
    .unwrap();
    assert!(opened.records.is_empty() && !opened.is_new && opened.identity == 1);
    assert!(one_by_one == all.records, "the same, in order");
    opened.log.close();

    // What was read before the corrupt byte was given out; the error makes it void.
    let file = path.join("ring-0001");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[1_000] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    let mut given = 0;
    let error = open_each(
        &path,
        OPTIONS,
        OpenAs {
            new_identity: 1,
            owner: 0,
        },
        &mut |_, _| given += 1,
    )
    .err()
    .unwrap();
    assert!(
        matches!(error, LogError::Corrupt { .. }) && given > 0,
        "{error}, {given} given out"
    );
    std::fs::remove_dir_all(path).unwrap();
}
