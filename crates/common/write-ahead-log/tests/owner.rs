//! A log of another machine or role is refused with an error and left unchanged.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use support::{record, MemoryDisk};
use write_ahead_log::{
    open, open_for, owner_id, prepare_for, LogError, OpenAs, OpenedLog, Options, PreparedLog,
    SharedState, StdMonitor,
};

const OPTIONS: Options = Options {
    segment_bytes: 16 << 10,
    max_segments: 4,
};

/// An empty directory of this test alone.
fn directory(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("holder-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Opens the log and appends so many records.
fn used(path: &Path, holder: u64, records: u64) -> OpenedLog {
    let opened = open_for(
        path,
        OPTIONS,
        OpenAs {
            new_identity: 7,
            owner: holder,
        },
    )
    .unwrap();
    for number in 0..records {
        opened.log.append(record(number, 500)).unwrap();
    }
    opened
}

fn content(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let files = std::fs::read_dir(path).unwrap().map(|entry| entry.unwrap());
    files
        .map(|file| {
            (
                file.file_name().into_string().unwrap(),
                std::fs::read(file.path()).unwrap(),
            )
        })
        .collect()
}

fn refused(path: &Path, holder: u64) -> String {
    let before = content(path);
    let Err(error) = open_for(
        path,
        OPTIONS,
        OpenAs {
            new_identity: 8,
            owner: holder,
        },
    ) else {
        panic!("it was opened")
    };
    assert!(matches!(error, LogError::WrongOwner { .. }), "{error}");
    assert_eq!(content(path), before, "something was changed");
    error
        .to_string()
        .replace(&path.display().to_string(), "...")
}

#[test]
fn a_copied_directory_is_refused_and_left_unchanged() {
    let path = directory("copied");
    let (mine, role, machine) = (
        owner_id("edge-1", "controller"),
        owner_id("edge-1", "store"),
        owner_id("edge-2", "controller"),
    );
    used(&path, mine, 60).log.close();
    insta::assert_snapshot!(refused(&path, machine), @".../ring-0000 belongs to another machine or role; nothing was changed");
    refused(&path, role);
    let again = open_for(
        &path,
        OPTIONS,
        OpenAs {
            new_identity: 8,
            owner: mine,
        },
    )
    .unwrap();
    assert_eq!(
        (again.identity, again.records.len(), again.is_new),
        (7, 60, false)
    );
    again.log.close();
    std::fs::remove_dir_all(path).unwrap();
}

/// One segment of another owner's log among the own ones: no new log is begun for it.
#[test]
fn a_single_segment_of_another_log_is_refused() {
    let (path, other) = (directory("mixed"), directory("mixed-other"));
    used(&path, 1, 20).log.close();
    used(&other, 2, 20).log.close();
    std::fs::copy(other.join("ring-0000"), path.join("ring-0003")).unwrap();
    refused(&path, 1);
    std::fs::remove_file(path.join("ring-0003")).unwrap();
    open_for(
        &path,
        OPTIONS,
        OpenAs {
            new_identity: 8,
            owner: 1,
        },
    )
    .unwrap()
    .log
    .close();
    std::fs::remove_dir_all(path).unwrap();
    std::fs::remove_dir_all(other).unwrap();
}

/// A log without an owner belongs to whoever opens it; the owner is noted with its next segment.
#[test]
fn a_log_without_an_owner_is_adopted() {
    let path = directory("taken-over");
    used(&path, 0, 10).log.close();
    used(&path, 1, 60).log.close();
    refused(&path, 2);
    assert_eq!(open(&path, OPTIONS, 8).unwrap().records.len(), 70);
    // Opening it for no owner changes nothing of that.
    used(&path, 0, 20).log.close();
    refused(&path, 2);
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_power_loss_keeps_the_owner() {
    let disk = MemoryDisk::default();
    let open =
        |disk: MemoryDisk, holder| -> Result<PreparedLog<_, StdMonitor<SharedState>>, LogError> {
            prepare_for(
                disk,
                OPTIONS,
                OpenAs {
                    new_identity: 7,
                    owner: holder,
                },
            )
        };
    let mut first = open(disk.clone(), 1).unwrap();
    first.writer.step();
    let after = disk.after_power_loss(&mut support::Rng::new(1));
    assert!(matches!(
        open(after.clone(), 2),
        Err(LogError::WrongOwner { .. })
    ));
    assert!(open(after, 1).is_ok());
}

#[test]
fn owner_ids_differ_by_machine_and_role() {
    let all = [
        ("a", "bc"),
        ("ab", "c"),
        ("a", "b"),
        ("a", "c"),
        ("b", "b"),
        ("", "ab"),
    ];
    let numbers: std::collections::BTreeSet<u64> = all
        .iter()
        .map(|(node, role)| owner_id(node, role))
        .collect();
    assert!(numbers.len() == all.len() && !numbers.contains(&0));
}
