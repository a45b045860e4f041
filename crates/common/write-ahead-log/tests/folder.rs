//! The ring on a real folder, and what it says when something is wrong.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use bytes::Bytes;
use insta::assert_snapshot;
use std::path::PathBuf;
use support::{record, MemoryDisk};
use write_ahead_log::{
    open, open_each, prepare, Disk, DiskError, DiskRing, Folder, Options, Prepared, Shared,
    StdMonitor,
};

const OPTIONS: Options = Options {
    file_bytes: 64 << 10,
    files_most: 4,
};

/// An empty folder of this test alone.
fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("disk-ring-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

async fn on_disk(ring: &DiskRing, ticket: u64) {
    ring.synced()
        .wait_for(|synced| *synced >= ticket)
        .await
        .expect("the disk works");
}

#[tokio::test]
async fn what_was_appended_comes_back() {
    let path = folder("comes-back");
    let opened = open(&path, OPTIONS, 77).unwrap();
    assert!(opened.fresh && !opened.torn && opened.identity == 77 && opened.records.is_empty());
    let mut appended = Vec::new();
    for number in 0..200 {
        let record = record(number, 300);
        appended.push((opened.ring.append(record.clone()).unwrap(), record));
    }
    on_disk(&opened.ring, appended.last().unwrap().0).await;
    assert!(opened.ring.used() > 64 << 10 && opened.ring.used() < opened.ring.capacity());
    opened.ring.release_before(appended[195].0);
    assert!(opened.ring.used() < 64 << 10);
    opened.ring.close();

    let again = open(&path, OPTIONS, 78).unwrap();
    assert!(!again.fresh && !again.torn && again.identity == 77);
    assert_eq!(again.records, appended[195..]);
    drop(again);
    std::fs::remove_dir_all(path).unwrap();
}

#[tokio::test]
async fn a_full_ring_refuses_until_something_is_released() {
    let path = folder("full");
    let ring = open(&path, OPTIONS, 1).unwrap().ring;
    let body = Bytes::from(vec![1; 10_000]);
    let filled = |number| write_ahead_log::Record {
        kind: 0,
        group: 0,
        number,
        body: body.clone(),
    };
    let mut tickets = Vec::new();
    let error = loop {
        match ring.append(filled(tickets.len() as u64)) {
            Ok(ticket) => tickets.push(ticket),
            Err(error) => break error,
        }
    };
    assert_snapshot!(error, @"the ring is full");
    assert_eq!(tickets.len(), 24);
    // A full ring can be opened many times all the same.
    ring.close();
    for _ in 0..50 {
        open(&path, OPTIONS, 1).unwrap().ring.close();
    }
    let opened = open(&path, OPTIONS, 1).unwrap();
    assert_eq!(opened.records.len(), 24);
    assert!(matches!(
        opened.ring.append(filled(0)),
        Err(DiskError::Full)
    ));
    opened.ring.release_before(tickets[12]);
    for number in 0..6 {
        on_disk(&opened.ring, opened.ring.append(filled(number)).unwrap()).await;
    }
    let error = opened.ring.append(write_ahead_log::Record {
        body: Bytes::from(vec![0; 64 << 10]),
        ..filled(0)
    });
    assert_snapshot!(error.unwrap_err(), @"a record of 65536 bytes doesn't fit in a file of the ring");
    opened.ring.close();
    assert_eq!(std::fs::read_dir(&path).unwrap().count(), 4);
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_newer_version_is_left_untouched() {
    let path = folder("newer");
    open(&path, OPTIONS, 1).unwrap().ring.close();
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
    assert_snapshot!(said, @".../ring-0000 has format version 2, this program knows up to 1; nothing was touched");
    assert_eq!(std::fs::read(&file).unwrap(), bytes);
    std::fs::remove_dir_all(path).unwrap();
}

/// A ring of two files in memory, of which the first is full.
fn two_files() -> MemoryDisk {
    let disk = MemoryDisk::default();
    let options = Options {
        file_bytes: 16 << 10,
        files_most: 4,
    };
    let mut ring: Prepared<_, StdMonitor<Shared>> = prepare(disk.clone(), options, 1).unwrap();
    for number in 0..40 {
        ring.ring.append(record(number, 500)).unwrap();
        ring.writer.step();
    }
    disk
}

fn refused(disk: MemoryDisk) -> String {
    let options = Options {
        file_bytes: 16 << 10,
        files_most: 4,
    };
    match prepare::<_, StdMonitor<Shared>>(disk, options, 1) {
        Ok(_) => "opened".into(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn corruption_names_the_place() {
    let disk = two_files();
    disk.change(0, |bytes| bytes[5000] ^= 1);
    assert_snapshot!(refused(disk), @"ring-0000 is corrupt at 4528: a record was on disk and can't be read");
    let disk = two_files();
    disk.change(0, |bytes| bytes[30] ^= 1);
    assert_snapshot!(refused(disk), @"ring-0000 is corrupt at 0: its header was on disk and can't be read");
    let disk = two_files();
    disk.change(1, |bytes| bytes[30] ^= 1);
    assert_snapshot!(refused(disk), @"ring-0001 is corrupt at 0: its header was on disk and can't be read");
    let disk = two_files();
    disk.remove_file(0);
    assert_snapshot!(refused(disk), @"ring-0001 is corrupt at 0: the file before it is missing, with what isn't released");
}

#[test]
fn options_that_cannot_be_served() {
    let options = Options {
        file_bytes: 1000,
        files_most: 4,
    };
    let refused = prepare::<_, StdMonitor<Shared>>(MemoryDisk::default(), options, 1)
        .err()
        .unwrap();
    assert_snapshot!(refused, @"a ring needs two files of 16384 bytes each at least");
}

/// After a failed write or sync nothing more is said to be on disk until all of it was written and synced again; the
/// ring says what is wrong, takes more up to its bound, and ends by itself only when it is closed.
#[test]
fn a_failed_disk_is_tried_again() {
    for operations in [0, 1] {
        let disk = MemoryDisk::default();
        let mut ring: Prepared<_, StdMonitor<Shared>> = prepare(disk.clone(), OPTIONS, 1).unwrap();
        while ring.writer.has_work() {
            ring.writer.step();
        }
        let synced = ring.ring.synced();
        assert_eq!(*synced.borrow(), 1);
        disk.power_goes_after(operations);
        ring.ring.append(record(0, 10)).unwrap();
        assert!(ring.writer.step());
        assert_eq!(ring.ring.trouble(), Some(std::io::ErrorKind::Other));
        assert_eq!(ring.ring.append(record(1, 10)).unwrap(), 3);
        let mut pauses = Vec::new();
        for _ in 0..6 {
            assert!(ring.writer.step() && !ring.writer.has_work() && *synced.borrow() == 1);
            pauses.push(ring.writer.pause().unwrap().as_millis());
        }
        assert_eq!(pauses, [100, 200, 400, 400, 400, 400]);
        disk.power_is_back();
        assert!(ring.writer.step() && *synced.borrow() == 2 && ring.ring.trouble().is_none());
        assert!(ring.writer.step() && *synced.borrow() == 3 && ring.writer.pause().is_none());
        let found = prepare::<_, StdMonitor<Shared>>(disk.after_kill(), OPTIONS, 1).unwrap();
        assert_eq!(found.records, [(2, record(0, 10)), (3, record(1, 10))]);
    }
}

/// What waits for a disk that refuses is bounded in bytes and in records, and nothing that was taken is lost.
#[test]
fn the_queue_is_bounded_while_the_disk_refuses() {
    let options = Options {
        file_bytes: 8 << 20,
        files_most: 4,
    };
    for len in [0, 1 << 20] {
        let disk = MemoryDisk::default();
        let mut ring: Prepared<_, StdMonitor<Shared>> = prepare(disk.clone(), options, 1).unwrap();
        while ring.writer.has_work() {
            ring.writer.step();
        }
        disk.refuses(true);
        let (mut taken, mut last) = (0, 0);
        while let Ok(ticket) = ring.ring.append(record(taken, len)) {
            taken += 1;
            last = ticket;
            if taken % 7 == 0 {
                assert!(ring.writer.step());
            }
        }
        // What the thread had taken before the first failure, and a full queue.
        let most = 7 + if len == 0 {
            write_ahead_log::MOST_QUEUED_RECORDS as u64
        } else {
            16
        };
        assert!(taken <= most, "{taken} of {len} bytes wait");
        disk.refuses(false);
        while ring.ring.trouble().is_some() || ring.writer.has_work() {
            ring.writer.step();
        }
        assert_eq!(*ring.ring.synced().borrow(), last);
        let found = prepare::<_, StdMonitor<Shared>>(disk.after_kill(), options, 1).unwrap();
        assert_eq!(found.records.len() as u64, taken);
    }
}

/// A ring whose disk is full at the start opens all the same, holds what was there, and says nothing is synced.
#[test]
fn a_full_disk_at_the_start() {
    let disk = two_files();
    let options = Options {
        file_bytes: 16 << 10,
        files_most: 4,
    };
    disk.refuses(true);
    let mut ring: Prepared<_, StdMonitor<Shared>> = prepare(disk.clone(), options, 9).unwrap();
    assert_eq!(
        (
            ring.records.len(),
            ring.identity,
            *ring.ring.synced().borrow()
        ),
        (40, 1, 0)
    );
    let ticket = ring.ring.append(record(40, 10)).unwrap();
    assert!(ring.writer.step() && ring.ring.trouble() == Some(std::io::ErrorKind::StorageFull));
    disk.refuses(false);
    while *ring.ring.synced().borrow() < ticket {
        assert!(ring.writer.step());
    }
    assert!(ring.ring.trouble().is_none() && ring.ring.prepared());
    // The same with an empty disk: it counts as prepared only with two whole files.
    let disk = MemoryDisk::default();
    disk.room(24 << 10);
    let mut ring: Prepared<_, StdMonitor<Shared>> = prepare(disk.clone(), options, 9).unwrap();
    for _ in 0..3 {
        ring.writer.step();
    }
    assert!(
        !ring.ring.prepared() && ring.ring.trouble().is_some() && *ring.ring.synced().borrow() == 1
    );
    disk.room(40 << 10);
    ring.writer.step();
    assert!(ring.ring.prepared() && ring.ring.trouble().is_none());
}

/// All that waits goes to the disk with one write and one sync.
#[test]
fn one_write_and_one_sync_for_all_that_waits() {
    let disk = MemoryDisk::default();
    let mut ring: Prepared<_, StdMonitor<Shared>> = prepare(disk.clone(), OPTIONS, 1).unwrap();
    while ring.writer.has_work() {
        ring.writer.step();
    }
    let before = disk.counts();
    for number in 0..100 {
        ring.ring.append(record(number, 100)).unwrap();
    }
    assert!(ring.writer.step());
    let after = disk.counts();
    assert_eq!((after.0 - before.0, after.1 - before.1), (1, 1));
    assert_eq!(*ring.ring.synced().borrow(), 101);
}

/// The second file is made at once, so that a disk that fills up leaves room to go on; further ones before they are
/// needed, while nothing waits, and not earlier than is of use.
#[test]
fn files_are_made_ahead() {
    let disk = MemoryDisk::default();
    let mut ring: Prepared<_, StdMonitor<Shared>> = prepare(disk.clone(), OPTIONS, 1).unwrap();
    assert!(
        ring.writer.has_work() && !ring.ring.prepared(),
        "one file isn't enough"
    );
    while ring.writer.has_work() {
        ring.writer.step();
    }
    assert_eq!((disk.slots(), ring.ring.prepared()), (vec![0, 1], true));
    assert_eq!(disk.bytes(1), vec![0; 64 << 10]);
    let mut taken = 0;
    while disk.slots().len() == 2 {
        taken += 1;
        ring.ring.append(record(taken, 1_000)).unwrap();
        while ring.writer.has_work() {
            ring.writer.step();
        }
    }
    // A file and a quarter.
    assert!((76..=80).contains(&taken), "{taken}");
    assert_eq!(disk.bytes(2), vec![0; 64 << 10]);
}

/// Without room for a file that was to be made ahead, the ring stays as it is, goes on in it, and grows again later.
#[test]
fn a_disk_without_room_caps_the_ring() {
    let disk = MemoryDisk::default();
    let mut ring: Prepared<_, StdMonitor<Shared>> = prepare(disk.clone(), OPTIONS, 1).unwrap();
    disk.room(150 << 10);
    let mut taken = 0;
    while ring.ring.append(record(taken, 3000)).is_ok() {
        taken += 1;
        while ring.writer.has_work() {
            assert!(ring.writer.step());
        }
    }
    assert_eq!(ring.ring.trouble(), None);
    assert_eq!(
        (taken, disk.slots(), ring.ring.capacity()),
        (41, vec![0, 1], 128 << 10)
    );
    // The refused append had it tried again, without success; with room the next one has the file made.
    assert!(ring.writer.step() && ring.ring.append(record(taken, 3000)).is_err());
    disk.room(400 << 10);
    assert!(ring.writer.step());
    while ring.writer.has_work() {
        assert!(ring.writer.step());
    }
    assert_eq!(
        (disk.slots(), ring.ring.capacity()),
        (vec![0, 1, 2], 256 << 10)
    );
    assert!(ring.ring.append(record(taken, 3000)).is_ok());
}

#[test]
fn other_files_of_the_folder_are_left_alone() {
    let path = folder("others");
    std::fs::create_dir_all(&path).unwrap();
    std::fs::write(path.join("lost+found"), "x").unwrap();
    std::fs::write(path.join("ring-old"), "x").unwrap();
    let opened = open(&path, OPTIONS, 5).unwrap();
    assert!(opened.fresh);
    opened.ring.close();
    assert_eq!(
        Folder::new(&path).unwrap().files().unwrap(),
        [(0, 64 << 10)]
    );
    assert_eq!(std::fs::read(path.join("ring-old")).unwrap(), b"x");
    std::fs::remove_dir_all(path).unwrap();
}

/// A ring that exists keeps the length of its files; how many there may be follows from the room.
#[test]
fn other_options_keep_the_files_as_they_are() {
    let disk = two_files();
    let options = Options {
        file_bytes: 64 << 10,
        files_most: 3,
    };
    let opened: Prepared<_, StdMonitor<Shared>> = prepare(disk.clone(), options, 2).unwrap();
    assert_eq!(
        (opened.records.len(), opened.identity, opened.fresh),
        (40, 1, false)
    );
    assert_eq!(opened.ring.capacity(), 192 << 10);
    assert_eq!(opened.ring.longest(), (16 << 10) - 64 - 48 - 48 - 80 * 48);
    let smaller = Options {
        file_bytes: 16 << 10,
        files_most: 2,
    };
    let opened: Prepared<_, StdMonitor<Shared>> = prepare(disk, smaller, 2).unwrap();
    assert_eq!(
        (opened.records.len(), opened.ring.capacity()),
        (40, 32 << 10)
    );
}

/// A process that starts again on its disk counts as prepared from the first moment, as the file that was made ahead is
/// there in full. It wrote it through once more before, 8 MB of a controller, and was no member of anything meanwhile.
#[test]
fn a_file_that_was_made_ahead_is_known_again() {
    let path = folder("made-ahead");
    let begin =
        || prepare::<_, StdMonitor<Shared>>(Folder::new(&path).unwrap(), OPTIONS, 1).unwrap();
    let mut ring = begin();
    assert!(!ring.ring.prepared());
    while ring.writer.has_work() {
        ring.writer.step();
    }
    assert!(ring.ring.prepared());
    drop(ring);
    let ring = begin();
    assert!(
        ring.ring.prepared() && !ring.writer.has_work(),
        "known again"
    );
    drop(ring);
    // Neither one that is too short counts, nor one whose bytes have no room on the disk.
    let made_ahead = std::fs::OpenOptions::new()
        .write(true)
        .open(path.join("ring-0001"))
        .unwrap();
    for lengths in [
        vec![OPTIONS.file_bytes - 4_096],
        vec![0, OPTIONS.file_bytes],
    ] {
        lengths
            .into_iter()
            .for_each(|length| made_ahead.set_len(length).unwrap());
        assert!(!begin().ring.prepared());
    }
    let mut ring = begin();
    while ring.writer.has_work() {
        ring.writer.step();
    }
    assert!(ring.ring.prepared());
    drop(ring);
    std::fs::remove_dir_all(path).unwrap();
}

#[tokio::test]
async fn records_that_are_read_one_by_one_are_the_same() {
    let path = folder("one-by-one");
    let ring = open(&path, OPTIONS, 1).unwrap().ring;
    let mut tickets = Vec::new();
    for number in 0..500 {
        tickets.push(ring.append(record(number, 300)).unwrap());
    }
    on_disk(&ring, *tickets.last().unwrap()).await;
    assert!(ring.used() > 2 * OPTIONS.file_bytes, "several files");
    ring.release_before(tickets[20]);
    ring.close();
    let all = open(&path, OPTIONS, 1).unwrap();
    assert_eq!(all.records.len(), 480);
    all.ring.close();
    let mut one_by_one = Vec::new();
    let opened = open_each(&path, OPTIONS, 1, 0, &mut |ticket, record| {
        one_by_one.push((ticket, record))
    })
    .unwrap();
    assert!(opened.records.is_empty() && !opened.fresh && opened.identity == 1);
    assert!(one_by_one == all.records, "the same, in order");
    opened.ring.close();

    // What was read before a place that is corrupt was given out, and the error says that it is void.
    let file = path.join("ring-0001");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[1_000] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    let mut given = 0;
    let error = open_each(&path, OPTIONS, 1, 0, &mut |_, _| given += 1)
        .err()
        .unwrap();
    assert!(
        matches!(error, DiskError::Corrupt { .. }) && given > 0,
        "{error}, {given} given out"
    );
    std::fs::remove_dir_all(path).unwrap();
}
