//! The bytes of the files, exactly: a header and each record type, encoded and decoded; and a log
//! written by the program of format version 1, read to its last record and appended to.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use bytes::Bytes;
use std::collections::BTreeSet;
use std::io::Read;
use std::path::{Path, PathBuf};
use write_ahead_log::format::{
    decode_start, Decoded, Header, NewHeader, RecordType, SegmentStart, StoredRecord,
};
use write_ahead_log::{open_for, owner_id, OpenAs, OpenedLog, Options, Record};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).unwrap())
        .collect()
}

const HEADER: &str = "465244534b524e47010040005431b35c030000000008000088776655443322110900000000000000e903000000000000de0300000000000001ffeeddccbbaa99";

#[test]
fn a_header_has_these_bytes() {
    let header = Header::from(NewHeader {
        incarnation: 3,
        segment_bytes: 16 << 10,
        identity: 0x1122_3344_5566_7788,
        seq: 9,
        first_lsn: 1_001,
        low_watermark: 990,
        owner: 0x99aa_bbcc_ddee_ff01,
    });
    let mut bytes = Vec::new();
    header.encode(&mut bytes);
    assert_eq!(hex(&bytes), HEADER);
    let SegmentStart::Header(back) = decode_start(&from_hex(HEADER)) else {
        panic!("no header")
    };
    assert_eq!(
        (back.version, back.len, back.incarnation, back.segment_units),
        (1, 64, 3, 2_048)
    );
    assert_eq!((back.identity, back.seq), (0x1122_3344_5566_7788, 9));
    assert_eq!(
        (back.first_lsn, back.low_watermark, back.owner),
        (1_001, 990, 0x99aa_bbcc_ddee_ff01)
    );
    assert_eq!(back.segment_bytes(), 16 << 10);
}

#[test]
fn a_header_without_an_owner_has_these_bytes() {
    const BYTES: &str = "465244534b524e4701004000a4ef64d7010000000000040007000000000000000100000000000000010000000000000000000000000000000000000000000000";
    let mut bytes = Vec::new();
    Header::from(NewHeader {
        incarnation: 1,
        segment_bytes: 2 << 20,
        identity: 7,
        seq: 1,
        first_lsn: 1,
        low_watermark: 0,
        owner: 0,
    })
    .encode(&mut bytes);
    assert_eq!(hex(&bytes), BYTES);
    let SegmentStart::Header(back) = decode_start(&from_hex(BYTES)) else {
        panic!("no header")
    };
    assert_eq!(
        (
            back.incarnation,
            back.segment_bytes(),
            back.identity,
            back.owner
        ),
        (1, 2 << 20, 7, 0)
    );
}

/// The header of a later format version, with a correct checksum, is told apart from an invalid
/// one.
#[test]
fn a_header_of_a_newer_version_is_recognized() {
    const BYTES: &str = "465244534b524e4702004000d34f48d1010000000008000007000000000000000100000000000000010000000000000000000000000000000000000000000000";
    assert_eq!(
        decode_start(&from_hex(BYTES)),
        SegmentStart::UnsupportedVersion(2)
    );
    let mut bad = from_hex(BYTES);
    bad[63] ^= 1;
    assert_eq!(decode_start(&bad), SegmentStart::Invalid);
}

#[test]
fn each_kind_of_record_has_these_bytes() {
    let record = |kind, group, number, body| Record {
        kind,
        group,
        number,
        body: Bytes::from_static(body),
    };
    let cases = [
        (RecordType::Data, record(5, 0xa1b2_c3d4, 0x0102_0304_0506_0708, b"eleven byte"), "46524452d3a0a5cb0b00000003000000d204000000000000ce0400000000000000050000d4c3b2a10807060504030201656c6576656e20627974650000000000"),
        (RecordType::Data, record(255, 7, 2, b""), "46524452c18d462f0000000003000000d204000000000000ce0400000000000000ff0000070000000200000000000000"),
        (RecordType::Opening, record(0, 0, 17, b""), "465244529d2ad11b0000000003000000d204000000000000ce0400000000000001000000000000001100000000000000"),
        (RecordType::Watermark, record(0, 0, 42, b""), "4652445244d1beea0000000003000000d204000000000000ce0400000000000002000000000000002a00000000000000"),
        (RecordType::SegmentEnd, record(0, 0, 43, b""), "465244524b407c880000000003000000d204000000000000ce0400000000000003000000000000002b00000000000000"),
    ];
    for (record_type, record, expected) in cases {
        let stored = StoredRecord {
            lsn: 1_234,
            synced_lsn: 1_230,
            incarnation: 3,
            record_type,
            record,
        };
        let mut bytes = Vec::new();
        stored.encode(&mut bytes);
        assert_eq!(hex(&bytes), expected, "{record_type:?}");
        let bytes = from_hex(expected);
        assert_eq!(
            StoredRecord::decode(&bytes, 0),
            Some(Decoded {
                stored,
                next_offset: bytes.len()
            })
        );
    }
}

#[test]
fn the_owner_id_of_a_machine_and_a_role_is_this_number() {
    assert_eq!(owner_id("edge-a-1", "controller"), OWNER_ID);
    assert_eq!(owner_id("", ""), 0xaf63_bd4c_8601_b7df);
}

const OWNER_ID: u64 = 9_931_911_994_562_480_488;
const IDENTITY: u64 = 0x1122_3344_5566_7788;
const OPTIONS: Options = Options {
    segment_bytes: 16 << 10,
    max_segments: 4,
};

/// Each record of the fixture was appended with the next number, from 0 on; 390 at the first three
/// of four starts.
fn record(number: u64) -> Record {
    let len = (number * 37 % 600) as usize;
    let body: Vec<u8> = (0..len)
        .map(|at| (number as usize * 31 + at) as u8)
        .collect();
    Record {
        kind: number as u8,
        group: number as u32 ^ 7,
        number,
        body: Bytes::from(body),
    }
}

/// The four files of the fixture, one behind the other, as format version 1 wrote them: used again
/// several times in a circle, started four times, released up to the record with number 341.
fn fixture() -> Vec<u8> {
    let packed = include_bytes!("fixtures/wrapped-log.gz");
    let mut files = Vec::new();
    flate2::read::GzDecoder::new(&packed[..])
        .read_to_end(&mut files)
        .unwrap();
    assert_eq!(files.len(), 4 * (16 << 10));
    files
}

/// A directory of this test alone with the files of the fixture in it.
fn unpacked(name: &str, files: &[u8]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("fixture-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).unwrap();
    for (slot, file) in files.chunks(16 << 10).enumerate() {
        std::fs::write(path.join(format!("ring-{slot:04}")), file).unwrap();
    }
    path
}

fn open(path: &Path) -> OpenedLog {
    open_for(
        path,
        OPTIONS,
        OpenAs {
            new_identity: 99,
            owner: owner_id("edge-a-1", "controller"),
        },
    )
    .unwrap()
}

/// LSNs and records of the fixture: the log's own records have LSNs too.
fn expected() -> Vec<(u64, Record)> {
    let own = [393, 404, 407, 416, 427];
    let lsns = (383..=436).filter(|lsn| !own.contains(lsn));
    lsns.zip((341..=389).map(record)).collect()
}

#[test]
fn the_fixture_holds_all_record_types_and_reused_segments() {
    let files = fixture();
    let (mut record_types, mut starts) = (BTreeSet::new(), Vec::new());
    for file in files.chunks(16 << 10) {
        let SegmentStart::Header(header) = decode_start(file) else {
            panic!("no header")
        };
        starts.push((
            header.seq,
            header.incarnation,
            header.owner,
            header.identity,
        ));
        let mut offset = 64;
        while let Some(Decoded {
            stored,
            next_offset: next,
        }) = StoredRecord::decode(file, offset)
        {
            record_types.insert(file[offset + 32]);
            assert!((1..=4).contains(&stored.incarnation));
            offset = next;
        }
    }
    assert_eq!(record_types.into_iter().collect::<Vec<_>>(), [0, 1, 2, 3]);
    let seqs: Vec<u64> = starts.iter().map(|(seq, ..)| *seq).collect();
    assert_eq!(seqs, SEQS);
    assert!(starts
        .iter()
        .all(|(.., holder, identity)| (*holder, *identity) == (OWNER_ID, IDENTITY)));
}

const SEQS: [u64; 4] = [9, 6, 7, 8];

#[tokio::test]
async fn a_wrapped_log_of_format_version_1_is_read_to_its_last_record_and_appended_to() {
    let path = unpacked("append", &fixture());
    let opened = open(&path);
    assert!(!opened.is_new && !opened.torn && opened.identity == IDENTITY);
    assert_eq!(opened.records, expected());
    let mut all = opened.records.clone();
    for number in 390..420 {
        let lsn = opened.log.append(record(number)).unwrap();
        all.push((lsn, record(number)));
        opened
            .log
            .synced_lsn()
            .wait_for(|synced| *synced >= lsn)
            .await
            .unwrap();
    }
    assert_eq!(all.last().map(|(lsn, _)| *lsn), Some(LAST_TICKET));
    let released = all[30].0;
    opened.log.release_before(released);
    opened.log.append(record(420)).unwrap();
    opened.log.close();
    let again = open(&path);
    assert!(!again.is_new && !again.torn && again.identity == IDENTITY);
    assert_eq!(again.records[..again.records.len() - 1], all[30..]);
    assert_eq!(
        again.records.last().map(|(_, record)| record.number),
        Some(420)
    );
    drop(again);
    std::fs::remove_dir_all(path).unwrap();
}

const LAST_TICKET: u64 = 469;

/// Another owner is refused, and the files stay as they are.
#[test]
fn a_log_of_format_version_1_refuses_another_owner() {
    let files = fixture();
    let path = unpacked("holder", &files);
    let Err(error) = open_for(
        &path,
        OPTIONS,
        OpenAs {
            new_identity: 99,
            owner: owner_id("edge-a-2", "controller"),
        },
    ) else {
        panic!("opened")
    };
    let text = error.to_string();
    assert!(
        text.ends_with("belongs to another machine or role; nothing was changed"),
        "{text}"
    );
    let slot = |slot: usize| std::fs::read(path.join(format!("ring-{slot:04}"))).unwrap();
    assert_eq!((0..4).flat_map(slot).collect::<Vec<u8>>(), files);
    std::fs::remove_dir_all(path).unwrap();
}

/// The last appended record is torn and nothing behind it has reached the disk: it is cut off, and
/// all before it is recovered.
#[test]
fn a_torn_end_of_a_log_of_format_version_1_is_cut_off() {
    let mut files = fixture();
    let last = (0..files.len()).step_by(8).find(|at| {
        let stored = StoredRecord::decode(&files, *at);
        stored.is_some_and(|Decoded { stored, .. }| {
            stored.record_type == RecordType::Data && stored.record.number == 389
        })
    });
    let last = last.unwrap();
    let file_end = (last / (16 << 10) + 1) * (16 << 10);
    files[last + 40..file_end].fill(0);
    let path = unpacked("torn", &files);
    let opened = open(&path);
    assert!(opened.torn && !opened.is_new);
    let mut kept = expected();
    kept.pop();
    assert_eq!(opened.records, kept);
    drop(opened);
    std::fs::remove_dir_all(path).unwrap();
}
