//! Data that a controller stored before stays readable, and it goes on from there.
//!
//! `fixtures/changed/` holds the disks of three controllers: a configuration changed forty times
//! amid changes of the view, on a log that has gone round and begins with a snapshot; the last
//! view was agreed on after it. `fixtures/bootstrapped/` holds those of a first start.
//! [`write_disks`] writes such disks; with `WRITE_FIXTURES` set they take the place of the stored
//! ones, and the expected values below are to be taken over from them.

#[path = "support/cluster.rs"]
#[expect(dead_code, reason = "each test file uses a part")]
mod cluster;
#[path = "support/hex.rs"]
#[expect(dead_code, reason = "this file only encodes")]
mod hex;

use cluster::{addr, config_body, new_identity, records, Cluster, CONTROLLERS};
use controller::call::Call;
use flate2::{read::GzDecoder, write::GzEncoder, Compression};
use hex::hex;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

const CHANGES: u64 = 40;
/// A configuration changed forty times.
const CHANGED: &str = "changed";
/// A first start.
const BOOTSTRAPPED: &str = "bootstrapped";

fn fixtures(which: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(which)
}

fn scratch(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("controller-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("a directory");
    let mut files: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .collect();
    files.sort();
    files
}

/// Unpacks stored disks.
fn stored(which: &str, name: &str) -> PathBuf {
    let directory = scratch(name);
    for index in 0..CONTROLLERS {
        let node = cluster::node_name(index);
        std::fs::create_dir_all(directory.join(&node)).expect("a directory");
        for file in files(&fixtures(which).join(&node)) {
            let mut bytes = Vec::new();
            let packed = std::fs::read(&file).expect("a fixture");
            GzDecoder::new(&packed[..])
                .read_to_end(&mut bytes)
                .expect("a packed file");
            std::fs::write(
                directory
                    .join(&node)
                    .join(file.file_stem().expect("a name")),
                bytes,
            )
            .expect("a file");
        }
    }
    directory
}

fn bootstrap(directory: &Path) -> Cluster {
    let mut cluster = Cluster::start(directory, 1_000);
    cluster.run(3_000);
    cluster
}

/// Plays what the stored disks are from: forty changes, while one controller after another ends and
/// comes back.
fn write_disks(directory: &Path) {
    let mut cluster = bootstrap(directory);
    for gen in 1..=CHANGES {
        match gen {
            10 | 20 | 30 | 37 => cluster.kill(gen as usize / 10 % CONTROLLERS),
            13 | 23 | 33 | 39 => cluster.start_one(gen as usize / 10 % CONTROLLERS),
            _ => {}
        }
        if matches!(gen, 10 | 13 | 20 | 23 | 30 | 33 | 37 | 39) {
            cluster.run(6_000);
        }
        cluster.configure(gen - 1, gen);
        cluster.run(100);
    }
    cluster.run(1_000);
}

fn pack(directory: &Path, which: &str) {
    for index in 0..CONTROLLERS {
        let node = cluster::node_name(index);
        std::fs::create_dir_all(fixtures(which).join(&node)).expect("a directory");
        for file in files(&directory.join(&node)) {
            let mut packed = GzEncoder::new(Vec::new(), Compression::best());
            packed
                .write_all(&std::fs::read(&file).expect("a file"))
                .expect("memory");
            let name = format!(
                "{}.gz",
                file.file_name().expect("a name").to_str().expect("ASCII")
            );
            std::fs::write(
                fixtures(which).join(&node).join(name),
                packed.finish().expect("memory"),
            )
            .expect("a file");
        }
    }
}

/// Which segment of the log this is, as its header says (docs/disk-files.md).
fn sequence(file: &Path) -> u64 {
    let bytes = std::fs::read(file).expect("a file");
    u64::from_le_bytes(bytes[32..40].try_into().expect("eight bytes"))
}

/// What a disk holds: each record by kind, length and the first of its digest.
fn listed(directory: &Path, index: usize) -> String {
    let line = |record: &write_ahead_log::Record| {
        let digest = hex(&blake3::hash(&record.body).as_bytes()[..8]);
        format!("{} {} {digest}", record.kind, record.body.len())
    };
    records(&directory.join(cluster::node_name(index)), index)
        .iter()
        .map(line)
        .collect::<Vec<_>>()
        .join("\n")
}

/// The records of the agreement on views, of which a vote depends, byte for byte.
fn votes(directory: &Path, index: usize) -> String {
    let path = directory.join(cluster::node_name(index));
    let votes = records(&path, index)
        .into_iter()
        .filter(|record| record.kind == 1);
    votes
        .map(|record| hex(&record.body))
        .collect::<Vec<_>>()
        .join("\n")
}

/// All records, byte for byte.
fn whole(directory: &Path, index: usize) -> String {
    let records = records(&directory.join(cluster::node_name(index)), index);
    let lines = records
        .iter()
        .map(|record| format!("{} {}", record.kind, hex(&record.body)));
    lines.collect::<Vec<_>>().join("\n")
}

/// What a controller knows from its disk alone, at its start.
fn recovered(cluster: &Cluster, index: usize) -> String {
    let process = cluster.process(index);
    let view = process.core.view().expect("a view");
    let members = |list: &[chain_replication::Member]| {
        list.iter()
            .map(|m| format!("{:x}@{} since {}", m.id, m.addr, m.since))
            .collect::<Vec<_>>()
            .join(", ")
    };
    let node = process.core.chain();
    let status = node.status();
    let control = node.state_machine();
    let (change, body) = control.config.as_ref().expect("a configuration");
    let taken: Vec<(u64, u64)> = control
        .accepted_changes
        .iter()
        .map(|change| (change.base_version, change.version))
        .collect();
    assert_eq!(
        taken,
        (1..=CHANGES).map(|gen| (gen - 1, gen)).collect::<Vec<_>>()
    );
    assert!(control
        .accepted_changes
        .iter()
        .all(|c| c.digest == *blake3::hash(config_body(c.version).as_bytes()).as_bytes()));
    assert_eq!(body, config_body(CHANGES).as_bytes());
    format!(
        "identity {:x}\nview {}: {}; acceptors {}; joining {}\nin sync in {}, entered {}, received {}, applied {}\n\
         configuration {} on {}, {} bytes; map {}",
        process.identity,
        view.view.number,
        members(&view.view.members),
        members(&view.acceptors),
        members(&view.view.joining),
        status.in_sync_view,
        status.view,
        status.last_received,
        node.applied(),
        change.version,
        change.base_version,
        body.len(),
        control.placement_number,
    )
}

#[test]
#[expect(clippy::too_many_lines, reason = "the records of three disks")]
fn the_records_of_stored_disks_are_read_to_the_last() {
    let directory = stored(CHANGED, "listed");
    for index in 0..CONTROLLERS {
        let order = files(&directory.join(cluster::node_name(index)));
        let order: Vec<u64> = order.iter().map(|file| sequence(file)).collect();
        assert_eq!(order, [5, 2, 3, 4], "the log has gone round");
    }
    insta::assert_snapshot!(listed(&directory, 0), @"
    3 58 dc7e5a958205d188
    1 159 63a0ad3fbb7ea77b
    2 86 770c5f5cbcb81185
    2 4922 e07e01f63249ae94
    2 9 3e52b4e108c03b0e
    2 3274 35d9fc20c9aa5947
    1 136 12111b10e6be8982
    2 63 df3b18e215fd5434
    1 32 91aeee6fd40a91a2
    1 182 c13cf2605d8a3882
    1 159 2a7580a9cfbe9861
    2 86 1ad50a24a7d25848
    2 3274 3de856398fb6abb4
    2 3274 1262a12b9c5fa549
    1 32 dfe43ad07cceb7d6
    1 32 a5c3896e704042cc
    1 182 354b13b139cec718
    1 159 64def42659279f52
    2 86 e0f678bbb4128c4c
    2 9 5fbd566716b93033
    2 3274 ac10f4baeb37006f
    2 3274 41d21021a8c150e7
    ");
    insta::assert_snapshot!(listed(&directory, 1), @"
    3 58 dc7e5a958205d188
    1 159 63a0ad3fbb7ea77b
    2 86 770c5f5cbcb81185
    2 4922 e07e01f63249ae94
    2 9 3e52b4e108c03b0e
    2 3274 35d9fc20c9aa5947
    1 32 c7bffb31dfecfb0d
    1 159 34f2af8b9e91c026
    1 136 12111b10e6be8982
    2 63 df3b18e215fd5434
    2 9 e377a440c5a9e95f
    2 3274 3de856398fb6abb4
    2 3274 1262a12b9c5fa549
    1 32 91aeee6fd40a91a2
    1 182 c13cf2605d8a3882
    1 159 2a7580a9cfbe9861
    2 86 1ad50a24a7d25848
    2 9 15cc1fe5f33b1c83
    1 32 dfe43ad07cceb7d6
    1 32 a5c3896e704042cc
    1 182 354b13b139cec718
    1 159 64def42659279f52
    2 86 e0f678bbb4128c4c
    2 9 5fbd566716b93033
    2 3274 ac10f4baeb37006f
    2 3274 41d21021a8c150e7
    ");
    insta::assert_snapshot!(listed(&directory, 2), @"
    3 58 dc7e5a958205d188
    1 159 63a0ad3fbb7ea77b
    2 86 770c5f5cbcb81185
    2 4922 e07e01f63249ae94
    2 9 3e52b4e108c03b0e
    2 3274 35d9fc20c9aa5947
    1 32 c7bffb31dfecfb0d
    1 159 34f2af8b9e91c026
    1 136 12111b10e6be8982
    2 63 df3b18e215fd5434
    2 9 e377a440c5a9e95f
    2 3274 3de856398fb6abb4
    2 3274 1262a12b9c5fa549
    1 32 91aeee6fd40a91a2
    1 182 c13cf2605d8a3882
    1 159 2a7580a9cfbe9861
    2 86 1ad50a24a7d25848
    2 9 15cc1fe5f33b1c83
    1 32 a5c3896e704042cc
    1 182 354b13b139cec718
    1 159 64def42659279f52
    2 86 e0f678bbb4128c4c
    2 9 5fbd566716b93033
    2 3274 ac10f4baeb37006f
    2 3274 41d21021a8c150e7
    ");
    insta::assert_snapshot!(votes(&directory, 0), @"
    01000000000000000a000000030000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec00000000000000070000000000001000040a0000011dec000000000000000a00000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    01000000000000000b000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec000000000000000700000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    02000000000000000c00000000000000010000000000001001040a0000021dec
    0300000000000000010000000000001001040a0000021dec000000000000000c000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec0000000000000007000000010000000000001000040a0000011dec000000000000000c000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    01000000000000000c000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec0000000000000007000000010000000000001000040a0000011dec000000000000000c000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    02000000000000000d00000000000000010000000000001001040a0000021dec
    02000000000000000d00000000000000010000000000001002040a0000031dec
    0300000000000000010000000000001002040a0000031dec000000000000000d000000030000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec00000000000000070000000000001000040a0000011dec000000000000000d00000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    01000000000000000d000000030000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec00000000000000070000000000001000040a0000011dec000000000000000d00000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    ");
    insta::assert_snapshot!(votes(&directory, 1), @"
    01000000000000000a000000030000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec00000000000000070000000000001000040a0000011dec000000000000000a00000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    02000000000000000b00000000000000010000000000001001040a0000021dec
    0300000000000000010000000000001001040a0000021dec000000000000000b000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec000000000000000700000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    01000000000000000b000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec000000000000000700000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    02000000000000000c00000000000000010000000000001001040a0000021dec
    0300000000000000010000000000001001040a0000021dec000000000000000c000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec0000000000000007000000010000000000001000040a0000011dec000000000000000c000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    01000000000000000c000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec0000000000000007000000010000000000001000040a0000011dec000000000000000c000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    02000000000000000d00000000000000010000000000001001040a0000021dec
    02000000000000000d00000000000000010000000000001002040a0000031dec
    0300000000000000010000000000001002040a0000031dec000000000000000d000000030000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec00000000000000070000000000001000040a0000011dec000000000000000d00000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    01000000000000000d000000030000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec00000000000000070000000000001000040a0000011dec000000000000000d00000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    ");
    insta::assert_snapshot!(votes(&directory, 2), @"
    01000000000000000a000000030000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec00000000000000070000000000001000040a0000011dec000000000000000a00000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    02000000000000000b00000000000000010000000000001001040a0000021dec
    0300000000000000010000000000001001040a0000021dec000000000000000b000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec000000000000000700000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    01000000000000000b000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec000000000000000700000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    02000000000000000c00000000000000010000000000001001040a0000021dec
    0300000000000000010000000000001001040a0000021dec000000000000000c000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec0000000000000007000000010000000000001000040a0000011dec000000000000000c000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    01000000000000000c000000020000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec0000000000000007000000010000000000001000040a0000011dec000000000000000c000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    02000000000000000d00000000000000010000000000001002040a0000031dec
    0300000000000000010000000000001002040a0000031dec000000000000000d000000030000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec00000000000000070000000000001000040a0000011dec000000000000000d00000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    01000000000000000d000000030000000000001001040a0000021dec00000000000000040000000000001002040a0000031dec00000000000000070000000000001000040a0000011dec000000000000000d00000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    ");
    std::fs::remove_dir_all(directory).expect("a directory");
}

#[test]
fn controllers_recover_all_from_stored_disks() {
    let directory = stored(CHANGED, "recovered");
    let cluster = Cluster::start(&directory, 1_000_000);
    insta::assert_snapshot!(recovered(&cluster, 0), @"
    identity 1000
    view 13: 1001@10.0.0.2:7660 since 4, 1002@10.0.0.3:7660 since 7, 1000@10.0.0.1:7660 since 13; acceptors 1000@10.0.0.1:7660 since 1, 1001@10.0.0.2:7660 since 1, 1002@10.0.0.3:7660 since 1; joining 
    in sync in 13, entered 13, received 40, applied 40
    configuration 40 on 39, 3200 bytes; map 0
    ");
    insta::assert_snapshot!(recovered(&cluster, 1), @"
    identity 1001
    view 13: 1001@10.0.0.2:7660 since 4, 1002@10.0.0.3:7660 since 7, 1000@10.0.0.1:7660 since 13; acceptors 1000@10.0.0.1:7660 since 1, 1001@10.0.0.2:7660 since 1, 1002@10.0.0.3:7660 since 1; joining 
    in sync in 13, entered 13, received 40, applied 40
    configuration 40 on 39, 3200 bytes; map 0
    ");
    insta::assert_snapshot!(recovered(&cluster, 2), @"
    identity 1002
    view 13: 1001@10.0.0.2:7660 since 4, 1002@10.0.0.3:7660 since 7, 1000@10.0.0.1:7660 since 13; acceptors 1000@10.0.0.1:7660 since 1, 1001@10.0.0.2:7660 since 1, 1002@10.0.0.3:7660 since 1; joining 
    in sync in 13, entered 13, received 40, applied 40
    configuration 40 on 39, 3200 bytes; map 0
    ");
    drop(cluster);
    std::fs::remove_dir_all(directory).expect("a directory");
}

#[test]
fn controllers_start_on_stored_disks_and_go_on_writing() {
    let directory = stored(CHANGED, "goes-on");
    let mut cluster = Cluster::start(&directory, 1_000_000);
    let view = cluster.process(0).core.view().expect("a view").view.number;
    cluster.run(3_000);
    assert_eq!(
        cluster.configuration().body,
        config_body(CHANGES).as_bytes()
    );
    // An order that was taken is known when it is sent again, also the first of all.
    cluster.configure(0, 1);
    for gen in CHANGES + 1..=2 * CHANGES {
        cluster.configure(gen - 1, gen);
    }
    // A view after the stored one is agreed on, and the one left out comes back.
    cluster.kill(0);
    cluster.run(6_000);
    cluster.configure(2 * CHANGES, 2 * CHANGES + 1);
    assert!(cluster
        .process(1)
        .core
        .view()
        .is_some_and(|now| now.view.number > view));
    cluster.start_one(0);
    cluster.run(6_000);
    drop(cluster);
    let mut again = Cluster::start(&directory, 2_000_000);
    for index in 0..CONTROLLERS {
        let process = again.process(index);
        assert_eq!(process.identity, new_identity(index));
        assert_eq!(
            process.core.chain().state_machine().config_version(),
            2 * CHANGES + 1
        );
        assert_eq!(
            process.core.chain().state_machine().accepted_changes.len() as u64,
            2 * CHANGES + 1
        );
        assert!(process.core.view().is_some_and(|v| v
            .view
            .members
            .iter()
            .any(|m| m.addr == addr(index))));
    }
    again.run(3_000);
    assert_eq!(
        again.configuration().body,
        config_body(2 * CHANGES + 1).as_bytes()
    );
    let status = again.call(0, Call::GetStatus);
    assert_eq!(status.status, 200);
    drop(again);
    std::fs::remove_dir_all(directory).expect("a directory");
}

/// Disks as the stored ones, written by this version, are read by it; the way to new fixtures.
#[test]
fn disks_that_this_version_writes_are_read_back() {
    let directory = scratch("written");
    write_disks(&directory);
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        pack(&directory, CHANGED);
    }
    let before = stored(CHANGED, "written-before");
    for index in 0..CONTROLLERS {
        assert_eq!(
            whole(&directory, index),
            whole(&before, index),
            "records as those that were stored"
        );
    }
    std::fs::remove_dir_all(before).expect("a directory");
    let cluster = Cluster::start(&directory, 1_000_000);
    for index in 0..CONTROLLERS {
        let text = recovered(&cluster, index);
        assert!(
            text.contains(&format!("identity {:x}", new_identity(index))),
            "{text}"
        );
    }
    drop(cluster);
    std::fs::remove_dir_all(directory).expect("a directory");
}

#[test]
fn the_disks_of_a_first_start_are_read_to_the_last() {
    let directory = stored(BOOTSTRAPPED, "bootstrapped");
    insta::assert_snapshot!(whole(&directory, 0), @"
    3 0300000000000000000000000000ffff0a000001ec1d00000000000000000000ffff0a000002ec1d00000000000000000000ffff0a000003ec1d
    4 010000000000000000000000030000000000000000040a0000011dec00000000000000000000000000000000040a0000021dec00000000000000000000000000000000040a0000031dec000000000000000000000000000000030000000000000000040a0000011dec00000000000000000000000000000000040a0000021dec00000000000000000000000000000000040a0000031dec0000000000000000
    4 02000000000000000100000000000000010000000000000000040a0000011dec
    4 0300000000000000010000000000000000040a0000011dec0000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    4 010000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    1 010000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    2 010000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000
    2 020000000000000001
    ");
    insta::assert_snapshot!(whole(&directory, 1), @"
    3 0300000000000000000000000000ffff0a000001ec1d00000000000000000000ffff0a000002ec1d00000000000000000000ffff0a000003ec1d
    4 010000000000000000000000030000000000000000040a0000011dec00000000000000000000000000000000040a0000021dec00000000000000000000000000000000040a0000031dec000000000000000000000000000000030000000000000000040a0000011dec00000000000000000000000000000000040a0000021dec00000000000000000000000000000000040a0000031dec0000000000000000
    4 02000000000000000100000000000000010000000000000000040a0000011dec
    4 0300000000000000010000000000000000040a0000011dec0000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    4 010000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    1 010000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    2 010000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000
    2 020000000000000001
    ");
    insta::assert_snapshot!(whole(&directory, 2), @"
    3 0300000000000000000000000000ffff0a000001ec1d00000000000000000000ffff0a000002ec1d00000000000000000000ffff0a000003ec1d
    4 010000000000000000000000030000000000000000040a0000011dec00000000000000000000000000000000040a0000021dec00000000000000000000000000000000040a0000031dec000000000000000000000000000000030000000000000000040a0000011dec00000000000000000000000000000000040a0000021dec00000000000000000000000000000000040a0000031dec0000000000000000
    4 02000000000000000100000000000000010000000000000000040a0000011dec
    4 0300000000000000010000000000000000040a0000011dec0000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    4 010000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    1 010000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec0000000000000001
    2 010000000000000001000000030000000000001000040a0000011dec00000000000000010000000000001001040a0000021dec00000000000000010000000000001002040a0000031dec000000000000000100000000
    2 020000000000000001
    ");
    let mut cluster = Cluster::start(&directory, 1_000_000);
    for index in 0..CONTROLLERS {
        let process = cluster.process(index);
        assert_eq!(process.identity, new_identity(index));
        assert!(process
            .core
            .view()
            .is_some_and(|view| view.view.number == 1 && view.acceptors.len() == 3));
    }
    cluster.run(3_000);
    cluster.configure(0, 1);
    assert_eq!(cluster.configuration().body, config_body(1).as_bytes());
    drop(cluster);
    std::fs::remove_dir_all(directory).expect("a directory");
}

/// The disks of a first start, written by this version, hold byte for byte what the stored ones
/// hold.
#[test]
fn the_disks_of_a_first_start_are_written_as_before() {
    let directory = scratch("first");
    drop(bootstrap(&directory));
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        pack(&directory, BOOTSTRAPPED);
    }
    let before = stored(BOOTSTRAPPED, "first-before");
    for index in 0..CONTROLLERS {
        assert_eq!(whole(&directory, index), whole(&before, index));
    }
    std::fs::remove_dir_all(directory).expect("a directory");
    std::fs::remove_dir_all(before).expect("a directory");
}
