//! Encoding and decoding the bytes of a connection.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use bytes::Bytes;
use insta::assert_snapshot;
use peer_transport::frame::{
    Decoder, Frame, FrameError, FrameType, Hello, Item, HEADER_BYTES, VERSION,
};
use proptest::prelude::*;
use std::net::SocketAddr;

const MOST: usize = 1 << 20;

fn hello() -> impl Strategy<Value = Hello> {
    (any::<SocketAddr>(), any::<u64>(), ".{0,40}", ".{0,40}").prop_map(|(addr, id, node, zone)| {
        Hello {
            // Scope and flow of an IPv6 address aren't encoded.
            addr: SocketAddr::new(addr.ip(), addr.port()),
            id,
            node: node.as_str().into(),
            zone: zone.as_str().into(),
        }
    })
}

fn frame() -> impl Strategy<Value = Frame> {
    let frame_type = prop::sample::select(vec![
        FrameType::OneWay,
        FrameType::Call,
        FrameType::Reply,
        FrameType::NoReply,
    ]);
    // Bodies on both sides of the length from which they aren't copied.
    let len = prop_oneof![0..200usize, 4000..4200usize, 10_000..50_000usize];
    (frame_type, any::<u16>(), any::<u32>(), len, any::<u8>()).prop_map(
        |(frame_type, kind, call_id, len, byte)| Frame {
            frame_type,
            kind,
            call_id,
            body: Bytes::from(vec![byte; len]),
        },
    )
}

fn bytes(hello: &Hello, frames: &[Frame]) -> Vec<u8> {
    let mut bytes = hello.encode().to_vec();
    for frame in frames {
        bytes.extend_from_slice(&frame.header());
        bytes.extend_from_slice(&frame.body);
    }
    bytes
}

fn all(decoder: &mut Decoder) -> Result<Vec<Item>, FrameError> {
    let mut items = Vec::new();
    while let Some(item) = decoder.next_item()? {
        items.push(item);
    }
    Ok(items)
}

fn some_hello() -> Hello {
    Hello {
        addr: "10.1.0.35:7660".parse().unwrap(),
        id: 7,
        node: "edge-1".into(),
        zone: "patan".into(),
    }
}

proptest! {
    #[test]
    fn any_split_of_the_bytes_decodes_the_same(
        hello in hello(),
        frames in prop::collection::vec(frame(), 0..8),
        reads in prop::collection::vec(1..20_000usize, 1..20),
    ) {
        let bytes = bytes(&hello, &frames);
        let mut decoder = Decoder::new(MOST);
        let mut items = Vec::new();
        let mut rest = &bytes[..];
        for read in reads.iter().cycle() {
            let (now, later) = rest.split_at((*read).min(rest.len()));
            decoder.push(now);
            items.extend(all(&mut decoder).unwrap());
            rest = later;
            if rest.is_empty() {
                break;
            }
        }
        let mut expected = vec![Item::Hello(hello)];
        expected.extend(frames.into_iter().map(Item::Frame));
        prop_assert_eq!(items, expected);
    }

    #[test]
    fn byte_by_byte_decodes_the_same(hello in hello(), frames in prop::collection::vec(frame(), 0..2)) {
        let mut decoder = Decoder::new(MOST);
        let mut items = Vec::new();
        for byte in bytes(&hello, &frames) {
            decoder.push(&[byte]);
            items.extend(all(&mut decoder).unwrap());
        }
        prop_assert_eq!(items.len(), frames.len() + 1);
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(
        greeted: bool,
        bytes in prop::collection::vec(any::<u8>(), 0..500),
        reads in prop::collection::vec(1..100usize, 1..20),
    ) {
        let mut decoder = Decoder::new(MOST);
        if greeted {
            decoder.push(&some_hello().encode());
        }
        let mut rest = &bytes[..];
        for read in reads {
            let (now, later) = rest.split_at(read.min(rest.len()));
            decoder.push(now);
            if all(&mut decoder).is_err() {
                break;
            }
            rest = later;
        }
    }

    #[test]
    fn a_changed_hello_is_decoded_or_rejected(hello in hello(), at in any::<prop::sample::Index>(), byte: u8) {
        let mut bytes = hello.encode().to_vec();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let mut decoder = Decoder::new(MOST);
        decoder.push(&bytes);
        let _ = all(&mut decoder);
    }
}

fn refused(bytes: &[u8]) -> String {
    let mut decoder = Decoder::new(1000);
    decoder.push(bytes);
    match all(&mut decoder) {
        Ok(items) => format!("{} items", items.len()),
        Err(error) => error.to_string(),
    }
}

#[test]
fn rejections_say_why() {
    assert_snapshot!(refused(b"GET / HTTP/1.1\r\n"), @"not a peer of the tier: the connection doesn't begin with a hello");
    // Three bytes are enough to tell.
    assert_snapshot!(refused(b"GET"), @"not a peer of the tier: the connection doesn't begin with a hello");
    assert_snapshot!(refused(b"FRP"), @"0 items");
    let mut newer = some_hello().encode().to_vec();
    newer[4] = VERSION as u8 + 1;
    // The version is checked before the rest is there.
    assert_snapshot!(refused(&newer[..8]), @"unsupported protocol version 2, expected 1");
    let mut bad = some_hello().encode().to_vec();
    bad[16] = 5;
    assert_snapshot!(refused(&bad), @"malformed hello");
    let mut long = some_hello().encode().to_vec();
    long[7] = 255;
    assert_snapshot!(refused(&long), @"malformed hello");
    let frame = |len| Frame {
        frame_type: FrameType::OneWay,
        kind: 1,
        call_id: 0,
        body: Bytes::from(vec![0; len]),
    };
    assert_snapshot!(refused(&bytes(&some_hello(), &[frame(1000)])), @"2 items");
    assert_snapshot!(refused(&bytes(&some_hello(), &[frame(1001)])), @"frame body of 1001 bytes exceeds the limit of 1000");
    let mut unknown = bytes(&some_hello(), &[frame(0)]);
    let flags = unknown.len() - HEADER_BYTES + 6;
    unknown[flags] = 9;
    assert_snapshot!(refused(&unknown), @"unexpected frame type 9");
}

/// Names that are too long are truncated between characters.
#[test]
fn long_names_are_truncated() {
    let hello = Hello {
        node: "ä".repeat(200).as_str().into(),
        ..some_hello()
    };
    let mut decoder = Decoder::new(MOST);
    decoder.push(&hello.encode());
    let Ok(Some(Item::Hello(back))) = decoder.next_item() else {
        panic!("no hello")
    };
    assert_eq!(back.node, "ä".repeat(127));
}

/// A hello may have more fields than this program knows.
#[test]
fn unknown_fields_of_a_hello_are_ignored() {
    let mut bytes = some_hello().encode().to_vec();
    let len = bytes.len() - 8 + 5;
    bytes[6] = len as u8;
    bytes.extend_from_slice(b"later");
    let mut decoder = Decoder::new(MOST);
    decoder.push(&bytes);
    assert_eq!(decoder.next_item(), Ok(Some(Item::Hello(some_hello()))));
    assert_eq!(decoder.next_item(), Ok(None));
}

/// A small body that is kept doesn't keep the buffer that it came in.
#[test]
fn small_bodies_are_copied_and_long_ones_are_not() {
    let frame = |len| Frame {
        frame_type: FrameType::OneWay,
        kind: 1,
        call_id: 0,
        body: Bytes::from(vec![1; len]),
    };
    let mut decoder = Decoder::new(MOST);
    decoder.push(&some_hello().encode());
    all(&mut decoder).unwrap();
    for (len, in_place) in [(100, false), (100_000, true)] {
        decoder.push(&bytes(&some_hello(), &[frame(len)])[some_hello().encode().len()..]);
        let buffer = decoder.buffer().as_ptr_range();
        let Ok(Some(Item::Frame(frame))) = decoder.next_item() else {
            panic!("no frame")
        };
        assert_eq!(buffer.contains(&frame.body.as_ptr()), in_place, "{len}");
    }
}
