//! A folder that was made for another machine, or for another role: refused with an error, and left as it is.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use support::{record, MemoryDisk};
use write_ahead_log::{
    holder, open, open_for, prepare_for, DiskError, Opened, Options, Prepared, Shared, StdMonitor,
};

const OPTIONS: Options = Options {
    file_bytes: 16 << 10,
    files_most: 4,
};

/// An empty folder of this test alone.
fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("holder-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

/// Opens it, writes so many records and closes it.
fn used(path: &Path, holder: u64, records: u64) -> Opened {
    let opened = open_for(path, OPTIONS, 7, holder).unwrap();
    for number in 0..records {
        opened.ring.append(record(number, 500)).unwrap();
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
    let Err(error) = open_for(path, OPTIONS, 8, holder) else {
        panic!("it was opened")
    };
    assert!(matches!(error, DiskError::Foreign { .. }), "{error}");
    assert_eq!(content(path), before, "something was touched");
    error
        .to_string()
        .replace(&path.display().to_string(), "...")
}

#[test]
fn a_copied_folder_is_refused_and_left_as_it_is() {
    let path = folder("copied");
    let (mine, role, machine) = (
        holder("edge-1", "controller"),
        holder("edge-1", "store"),
        holder("edge-2", "controller"),
    );
    used(&path, mine, 60).ring.close();
    insta::assert_snapshot!(refused(&path, machine), @".../ring-0000 belongs to another machine or to another role; nothing was touched");
    refused(&path, role);
    let again = open_for(&path, OPTIONS, 8, mine).unwrap();
    assert_eq!(
        (again.identity, again.records.len(), again.fresh),
        (7, 60, false)
    );
    again.ring.close();
    std::fs::remove_dir_all(path).unwrap();
}

/// One file of another's ring among the own ones: nothing is begun anew for it.
#[test]
fn a_single_file_of_another_ring_is_refused_too() {
    let (path, other) = (folder("mixed"), folder("mixed-other"));
    used(&path, 1, 20).ring.close();
    used(&other, 2, 20).ring.close();
    std::fs::copy(other.join("ring-0000"), path.join("ring-0003")).unwrap();
    refused(&path, 1);
    std::fs::remove_file(path.join("ring-0003")).unwrap();
    open_for(&path, OPTIONS, 8, 1).unwrap().ring.close();
    std::fs::remove_dir_all(path).unwrap();
    std::fs::remove_dir_all(other).unwrap();
}

/// A ring from before holders were noted belongs to whoever opens it; it is noted with its next file.
#[test]
fn a_ring_without_a_holder_is_taken_over() {
    let path = folder("taken-over");
    used(&path, 0, 10).ring.close();
    used(&path, 1, 60).ring.close();
    refused(&path, 2);
    assert_eq!(open(&path, OPTIONS, 8).unwrap().records.len(), 70);
    // Whoever doesn't say who it is changes nothing of that.
    used(&path, 0, 20).ring.close();
    refused(&path, 2);
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_disk_that_loses_power_keeps_its_holder() {
    let disk = MemoryDisk::default();
    let open = |disk: MemoryDisk, holder| -> Result<Prepared<_, StdMonitor<Shared>>, DiskError> {
        prepare_for(disk, OPTIONS, 7, holder)
    };
    let mut first = open(disk.clone(), 1).unwrap();
    first.writer.step();
    let after = disk.after_power_loss(&mut support::Rng::new(1));
    assert!(matches!(
        open(after.clone(), 2),
        Err(DiskError::Foreign { .. })
    ));
    assert!(open(after, 1).is_ok());
}

#[test]
fn holders_differ_by_machine_and_role() {
    let all = [
        ("a", "bc"),
        ("ab", "c"),
        ("a", "b"),
        ("a", "c"),
        ("b", "b"),
        ("", "ab"),
    ];
    let numbers: std::collections::BTreeSet<u64> =
        all.iter().map(|(node, role)| holder(node, role)).collect();
    assert!(numbers.len() == all.len() && !numbers.contains(&0));
}
