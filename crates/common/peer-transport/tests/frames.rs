//! The bytes of a connection, without one.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use bytes::Bytes;
use insta::assert_snapshot;
use peer_transport::frame::{Decoder, Frame, FrameError, Hello, Item, Use, HEAD, VERSION};
use proptest::prelude::*;
use std::net::SocketAddr;

const MOST: usize = 1 << 20;

fn hello() -> impl Strategy<Value = Hello> {
    (any::<SocketAddr>(), any::<u64>(), ".{0,40}", ".{0,40}").prop_map(|(addr, id, node, zone)| {
        Hello {
            // Scope and flow of an IPv6 address aren't told.
            addr: SocketAddr::new(addr.ip(), addr.port()),
            id,
            node: node.as_str().into(),
            zone: zone.as_str().into(),
        }
    })
}

fn frame() -> impl Strategy<Value = Frame> {
    let used = prop::sample::select(vec![Use::Tell, Use::Call, Use::Reply, Use::Unanswered]);
    // Bodies on both sides of the length from which they aren't copied.
    let len = prop_oneof![0..200usize, 4000..4200usize, 10_000..50_000usize];
    (used, any::<u16>(), any::<u32>(), len, any::<u8>()).prop_map(
        |(used, kind, call, len, byte)| Frame {
            used,
            kind,
            call,
            body: Bytes::from(vec![byte; len]),
        },
    )
}

fn bytes(hello: &Hello, frames: &[Frame]) -> Vec<u8> {
    let mut bytes = hello.encode().to_vec();
    for frame in frames {
        bytes.extend_from_slice(&frame.head());
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
    fn any_split_of_the_bytes_gives_the_same(
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
    fn one_byte_at_a_time_gives_the_same(hello in hello(), frames in prop::collection::vec(frame(), 0..2)) {
        let mut decoder = Decoder::new(MOST);
        let mut items = Vec::new();
        for byte in bytes(&hello, &frames) {
            decoder.push(&[byte]);
            items.extend(all(&mut decoder).unwrap());
        }
        prop_assert_eq!(items.len(), frames.len() + 1);
    }

    #[test]
    fn any_bytes_are_taken(
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
    fn a_changed_hello_is_refused_or_read(hello in hello(), at in any::<prop::sample::Index>(), byte: u8) {
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
fn what_is_refused_says_why() {
    assert_snapshot!(refused(b"GET / HTTP/1.1\r\n"), @"not a peer of the tier: the connection doesn't begin with a hello");
    // Three bytes are enough to see it.
    assert_snapshot!(refused(b"GET"), @"not a peer of the tier: the connection doesn't begin with a hello");
    assert_snapshot!(refused(b"FRP"), @"0 items");
    let mut newer = some_hello().encode().to_vec();
    newer[4] = VERSION as u8 + 1;
    // The version is seen before the rest is there.
    assert_snapshot!(refused(&newer[..8]), @"the peer speaks version 2 of the frames, this program speaks 1");
    let mut bad = some_hello().encode().to_vec();
    bad[16] = 5;
    assert_snapshot!(refused(&bad), @"the hello can't be read");
    let mut long = some_hello().encode().to_vec();
    long[7] = 255;
    assert_snapshot!(refused(&long), @"the hello can't be read");
    let frame = |len| Frame {
        used: Use::Tell,
        kind: 1,
        call: 0,
        body: Bytes::from(vec![0; len]),
    };
    assert_snapshot!(refused(&bytes(&some_hello(), &[frame(1000)])), @"2 items");
    assert_snapshot!(refused(&bytes(&some_hello(), &[frame(1001)])), @"a frame of 1001 bytes is announced, 1000 are the most");
    let mut unknown = bytes(&some_hello(), &[frame(0)]);
    let flags = unknown.len() - HEAD + 6;
    unknown[flags] = 9;
    assert_snapshot!(refused(&unknown), @"a frame has the unknown use 9");
}

/// Names that are too long are cut between characters.
#[test]
fn long_names_are_cut() {
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

/// A hello may say more than this program knows.
#[test]
fn what_comes_after_the_known_fields_of_a_hello_is_passed_over() {
    let mut bytes = some_hello().encode().to_vec();
    let len = bytes.len() - 8 + 5;
    bytes[6] = len as u8;
    bytes.extend_from_slice(b"later");
    let mut decoder = Decoder::new(MOST);
    decoder.push(&bytes);
    assert_eq!(decoder.next_item(), Ok(Some(Item::Hello(some_hello()))));
    assert_eq!(decoder.next_item(), Ok(None));
}

/// A small body that is kept doesn't keep the buffer it came in.
#[test]
fn small_bodies_are_copied_and_long_ones_are_not() {
    let frame = |len| Frame {
        used: Use::Tell,
        kind: 1,
        call: 0,
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
