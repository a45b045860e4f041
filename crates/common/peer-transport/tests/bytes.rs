//! The bytes of a hello and of each frame type, exactly, encoded and decoded. The page is
//! docs/peer-frames.md.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use bytes::Bytes;
use peer_transport::frame::{Decoder, Frame, FrameType, Hello, Item, HEADER_BYTES, VERSION};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).unwrap())
        .collect()
}

fn decoded(bytes: &[u8]) -> Vec<Item> {
    let mut decoder = Decoder::new(1 << 20);
    decoder.push(bytes);
    let mut items = Vec::new();
    while let Some(item) = decoder.next_item().unwrap() {
        items.push(item);
    }
    items
}

fn hello(addr: &str, node: &str, zone: &str) -> Hello {
    Hello {
        addr: addr.parse().unwrap(),
        id: 0x0102_0304_0506_0708,
        node: node.into(),
        zone: zone.into(),
    }
}

const HELLO: &str = "4652504c01001c000807060504030201040a010023ec1d06656467652d3105706174616e";

#[test]
fn a_hello_has_these_bytes() {
    let cases = [
        (hello("10.1.0.35:7660", "edge-1", "patan"), HELLO),
        (
            hello("[2001:db8::35]:65535", "k\u{e9}", ""),
            "4652504c0100200008070605040302010620010db8000000000000000000000035ffff036bc3a900",
        ),
        (
            hello("0.0.0.0:0", "", ""),
            "4652504c010011000807060504030201040000000000000000",
        ),
    ];
    for (hello, expected) in cases {
        assert_eq!(hex(&hello.encode()), expected);
        assert_eq!(decoded(&from_hex(expected)), [Item::Hello(hello)]);
    }
}

#[test]
fn each_kind_of_frame_has_these_bytes() {
    let frame = |frame_type, kind, call_id, body| Frame {
        frame_type,
        kind,
        call_id,
        body: Bytes::from_static(body),
    };
    let cases = [
        (
            frame(FrameType::OneWay, 0x0203, 0, b"tell"),
            "040000000302000000000074656c6c",
        ),
        (
            frame(FrameType::Call, 0xfffe, 0x0a0b_0c0d, b""),
            "00000000feff010d0c0b0a",
        ),
        (
            frame(FrameType::Reply, 0, 0x0a0b_0c0d, b"\x00\xff"),
            "020000000000020d0c0b0a00ff",
        ),
        (
            frame(FrameType::NoReply, 0, u32::MAX, b""),
            "00000000000003ffffffff",
        ),
    ];
    for (frame, expected) in cases {
        let bytes = [&frame.header()[..], &frame.body].concat();
        assert_eq!(hex(&bytes), expected, "{frame:?}");
        assert_eq!(frame.len(), bytes.len());
        let whole = from_hex(&[HELLO, expected].concat());
        assert_eq!(decoded(&whole)[1..], [Item::Frame(frame)]);
    }
    assert_eq!((HEADER_BYTES, VERSION), (11, 1));
}
