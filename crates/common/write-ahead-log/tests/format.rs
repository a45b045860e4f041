//! The bytes of the files.

use bytes::Bytes;
use proptest::prelude::*;
use write_ahead_log::format::{
    decode_start, stored_len, Decoded, Header, NewHeader, RecordType, SegmentStart, StoredRecord,
    HEADER_BYTES,
};
use write_ahead_log::Record;

fn stored() -> impl Strategy<Value = StoredRecord> {
    let record_type = prop::sample::select(vec![
        RecordType::Data,
        RecordType::Opening,
        RecordType::Watermark,
        RecordType::SegmentEnd,
    ]);
    let record = (
        any::<u8>(),
        any::<u32>(),
        any::<u64>(),
        prop::collection::vec(any::<u8>(), 0..300),
    );
    (
        any::<u64>(),
        any::<u64>(),
        any::<u32>(),
        record_type,
        record,
    )
        .prop_map(
            |(lsn, synced_lsn, incarnation, record_type, (kind, group, number, body))| {
                StoredRecord {
                    lsn,
                    synced_lsn,
                    incarnation,
                    record_type,
                    record: Record {
                        kind,
                        group,
                        number,
                        body: Bytes::from(body),
                    },
                }
            },
        )
}

proptest! {
    #[test]
    fn records_round_trip_in_sequence(all in prop::collection::vec(stored(), 0..20)) {
        let mut bytes = Vec::new();
        for one in &all {
            let before = bytes.len();
            one.encode(&mut bytes);
            prop_assert_eq!(bytes.len() - before, stored_len(one.record.body.len()));
        }
        let mut offset = 0;
        for one in &all {
            let Decoded { stored: back, next_offset: next } = StoredRecord::decode(&bytes, offset).unwrap();
            prop_assert_eq!(&back, one);
            offset = next;
        }
        prop_assert_eq!(offset, bytes.len());
        prop_assert!(StoredRecord::decode(&bytes, offset).is_none());
    }

    #[test]
    fn a_changed_or_truncated_record_is_not_decoded(one in stored(), at in any::<prop::sample::Index>(), bit in 0..8u32) {
        let mut bytes = Vec::new();
        one.encode(&mut bytes);
        let at = at.index(bytes.len());
        prop_assert!(StoredRecord::decode(&bytes[..at], 0).is_none());
        bytes[at] ^= 1u8 << bit;
        prop_assert!(StoredRecord::decode(&bytes, 0).is_none());
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300), offset in 0..400usize) {
        StoredRecord::decode(&bytes, offset);
        StoredRecord::seems_to_begin(&bytes, offset, 0, 0);
        decode_start(&bytes);
    }

    #[test]
    fn arbitrary_bytes_after_the_magic_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..100)) {
        let mut file = b"FRDSKRNG".to_vec();
        file.extend_from_slice(&bytes);
        prop_assert!(matches!(decode_start(&file), SegmentStart::Invalid));
        let mut record = 0x5244_5246u32.to_le_bytes().to_vec();
        record.extend_from_slice(&bytes);
        prop_assert!(StoredRecord::decode(&record, 0).is_none());
    }

    #[test]
    fn headers_round_trip(incarnation: u32, units: u32, identity: u64, seq: u64, first: u64, low: u64, at in 0..HEADER_BYTES) {
        let header = Header::from(NewHeader { incarnation, segment_bytes: u64::from(units) * 8, identity, seq, first_lsn: first, low_watermark: low, owner: 0 });
        let mut bytes = Vec::new();
        header.encode(&mut bytes);
        prop_assert_eq!(bytes.len(), HEADER_BYTES);
        match decode_start(&bytes) {
            SegmentStart::Header(back) => {
                prop_assert_eq!(
                    (back.incarnation, back.segment_bytes(), back.identity, back.seq, back.first_lsn, back.low_watermark),
                    (incarnation, u64::from(units) * 8, identity, seq, first, low)
                );
            }
            other => prop_assert!(false, "{:?}", other),
        }
        bytes[at] ^= 1;
        prop_assert_eq!(decode_start(&bytes), SegmentStart::Invalid);
    }
}

#[test]
fn zeros_are_a_blank_segment() {
    assert_eq!(decode_start(&[0; 100]), SegmentStart::Blank);
    assert_eq!(decode_start(&[]), SegmentStart::Blank);
    assert_eq!(decode_start(&[1; 100]), SegmentStart::Invalid);
}
