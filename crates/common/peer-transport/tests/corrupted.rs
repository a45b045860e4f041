//! A stream of frames that was changed, truncated, or of which a part came twice: complete items
//! before that stay as they were, what is decoded of the rest is bounded by what came, and nothing
//! panics.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use bytes::Bytes;
use peer_transport::frame::{Decoder, Frame, FrameType, Hello, Item, HEADER_BYTES};
use proptest::prelude::*;

const MOST: usize = 4_000;
/// What a decoder allocates beside a frame and what has come.
const READ_AHEAD: usize = 64 << 10;

fn hello() -> Hello {
    Hello {
        addr: "10.0.0.1:7660".parse().unwrap(),
        id: 5,
        node: "edge-1".into(),
        zone: "north".into(),
    }
}

fn frame() -> impl Strategy<Value = Frame> {
    let frame_type = prop_oneof![
        Just(FrameType::OneWay),
        Just(FrameType::Call),
        Just(FrameType::Reply),
        Just(FrameType::NoReply)
    ];
    (
        frame_type,
        any::<u16>(),
        any::<u32>(),
        prop::collection::vec(any::<u8>(), 0..300),
    )
        .prop_map(|(frame_type, kind, call_id, body)| Frame {
            frame_type,
            kind,
            call_id,
            body: Bytes::from(body),
        })
}

/// The bytes of a connection, and where each item ends.
fn stream(frames: &[Frame]) -> (Vec<u8>, Vec<usize>) {
    let mut bytes = hello().encode().to_vec();
    let mut ends = vec![bytes.len()];
    for frame in frames {
        bytes.extend_from_slice(&frame.header());
        bytes.extend_from_slice(&frame.body);
        ends.push(bytes.len());
    }
    (bytes, ends)
}

/// What is decoded until the first rejection, reading so many bytes at a time.
fn read(bytes: &[u8], at_once: usize) -> (Vec<Item>, bool) {
    let (mut decoder, mut items) = (Decoder::new(MOST), Vec::new());
    for piece in bytes.chunks(at_once) {
        decoder.push(piece);
        loop {
            match decoder.next_item() {
                Ok(Some(item)) => items.push(item),
                Ok(None) => break,
                Err(_) => return (items, true),
            }
        }
        assert!(
            decoder.buffer().capacity() <= HEADER_BYTES + MOST + READ_AHEAD,
            "more than a frame is allocated"
        );
    }
    (items, false)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn complete_items_before_the_corrupt_byte_are_unchanged(
        frames in prop::collection::vec(frame(), 0..6),
        at in any::<prop::sample::Index>(),
        len in 0usize..40,
        how in 0u8..4,
        with in any::<u8>(),
        at_once in 1usize..200,
    ) {
        let (good, ends) = stream(&frames);
        let at = at.index(good.len());
        let end = (at + len).min(good.len());
        let mut bytes = good.clone();
        match how {
            0 => bytes[at] = with,
            1 => bytes.truncate(at),
            2 => { bytes.splice(at..at, good[at..end].iter().copied()); }
            _ => { bytes.drain(at..end); }
        }
        let (items, refused) = read(&bytes, at_once);
        let whole = ends.iter().filter(|end| **end <= at).count();
        let mut expected = vec![Item::Hello(hello())];
        expected.extend(frames.iter().cloned().map(Item::Frame));
        prop_assert!(items.len() >= whole, "{} of {} complete ones", items.len(), whole);
        prop_assert_eq!(&items[..whole], &expected[..whole]);
        // Each frame has a header that came: no more frames than that are decoded.
        prop_assert!(items.len() <= 1 + bytes.len() / HEADER_BYTES);
        if how == 1 {
            prop_assert!(!refused && items.len() == whole, "a truncated frame is not decoded");
        }
    }

    /// The announced length of a frame allocates no more than the limit, however often it comes.
    #[test]
    fn announced_lengths_are_bounded(len in any::<u32>(), heads in 1usize..4) {
        let mut bytes = hello().encode().to_vec();
        for _ in 0..heads {
            let mut head = Frame { frame_type: FrameType::OneWay, kind: 1, call_id: 0, body: Bytes::new() }.header();
            head[..4].copy_from_slice(&len.to_le_bytes());
            bytes.extend_from_slice(&head);
        }
        let (_, refused) = read(&bytes, 7);
        prop_assert_eq!(refused, len as usize > MOST);
    }
}
