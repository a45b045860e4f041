//! The bytes of each message between a parent and a child of the tree, exactly, written and read.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use bytes::Bytes;
use relay_tree::{Follow, Message, Role, Stamp, StateTable, Subscribe, Update};
use std::net::SocketAddr;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    (0..text.len() / 2)
        .map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).unwrap())
        .collect()
}

fn holds(message: &Message, expected: &str) {
    assert_eq!(hex(&message.encode()), expected);
    assert_eq!(
        &Message::decode(&Bytes::from(from_hex(expected))).unwrap(),
        message
    );
}

fn subscribe() -> Subscribe {
    Subscribe {
        incarnation: 0x0102_0304_0506_0708,
        id: 0x1112_1314_1516_1718,
        parent_incarnation: 0x2122_2324_2526_2728,
        received_seq: 0x3132_3334_3536_3738,
        received_bytes: 0x4142_4344,
        subtree_received_seq: 0x5152_5354_5556_5758,
        descendants: 0x6162_6364,
        sent_at: 0x7172_7374_7576_7778,
        epoch: 0x8182_8384,
        received_serial: 0x9192_9394,
        flags: 0b1_0111,
        digest: Vec::new(),
    }
}

const SUBSCRIBE: &str = "0108070605040302011817161514131211282726252423222138373635343332314443424158575655545352516463626178777675747372718483828194939291170000";

#[test]
fn a_subscription_has_these_bytes() {
    holds(&Message::Subscribe(subscribe()), SUBSCRIBE);
}

/// With a digest: its length in the last two bytes, and 256 sums behind them.
#[test]
fn a_subscription_with_a_digest_has_these_bytes() {
    let digest: Vec<u64> = (0..256)
        .map(|bucket| bucket << 56 | 0x00a1_a2a3_a4a5_a600 | bucket)
        .collect();
    let sums: Vec<u8> = digest.iter().flat_map(|sum| sum.to_le_bytes()).collect();
    let expected = format!("{}0001{}", &SUBSCRIBE[..SUBSCRIBE.len() - 4], hex(&sums));
    holds(
        &Message::Subscribe(Subscribe {
            digest,
            ..subscribe()
        }),
        &expected,
    );
    // Any other number of sums is refused.
    assert!(Message::decode(&Bytes::from(from_hex(&expected[..expected.len() - 16]))).is_err());
}

#[test]
fn an_unsubscribe_has_these_bytes() {
    holds(
        &Message::Unsubscribe {
            incarnation: 0x0102_0304_0506_0708,
        },
        "030807060504030201",
    );
}

/// All that stands before the entries, and no entry: a heartbeat.
#[test]
fn the_header_of_an_update_has_these_bytes() {
    const BYTES: &str = "02\
        0807060504030201\
        1817161514131211\
        24232221\
        34333231\
        4847464544434241\
        54535251\
        6867666564636261\
        74737271\
        8887868584838281\
        94939291\
        a4a3a2a1\
        b8b7b6b5b4b3b2b1\
        c4c3c2c1\
        0c\
        00000000";
    let message = Message::decode(&Bytes::from(from_hex(BYTES))).unwrap();
    assert_eq!(hex(&message.encode()), BYTES);
    let Message::Update(Update { header, body }) = message else {
        panic!("another message")
    };
    assert_eq!(
        (header.incarnation, header.to_incarnation),
        (0x0102_0304_0506_0708, 0x1112_1314_1516_1718)
    );
    assert_eq!((header.epoch, header.serial), (0x2122_2324, 0x3132_3334));
    assert_eq!(
        (header.from_seq, header.from_bytes),
        (0x4142_4344_4546_4748, 0x5152_5354)
    );
    assert_eq!(
        (header.to_seq, header.to_bytes),
        (0x6162_6364_6566_6768, 0x7172_7374)
    );
    assert_eq!(
        (
            header.newest_seq,
            header.staleness_ms,
            header.root_contact_ms
        ),
        (0x8182_8384_8586_8788, 0x9192_9394, 0xa1a2_a3a4)
    );
    assert_eq!(
        (header.echo, header.echo_delay_ms),
        (0xb1b2_b3b4_b5b6_b7b8, 0xc1c2_c3c4)
    );
    assert_eq!((header.flags, header.entry_count, body.len()), (0x0c, 0, 0));
}

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

/// The first messages between a child and a parent: a value, a tombstone and a value in chunks.
fn first_exchange(child: &mut StateTable) -> Vec<Message> {
    let mut parent = StateTable::new(5, addr(1), Follow::All, Role::Root);
    parent.report_quorum_contact(1_000, 10);
    child.set_parents(1_000, vec![addr(1)]);
    parent.set(
        1_000,
        "runner/a",
        Stamp(1, 2),
        Some(Bytes::from_static(b"value")),
    );
    parent.set(1_000, "runner/b", Stamp(3, 4), None);
    parent.set(
        1_000,
        "config/next",
        Stamp(5, 6),
        Some((0..300_000u32).map(|n| n as u8).collect()),
    );
    let mut sent_messages = Vec::new();
    for _ in 0..6 {
        for (_, message) in child.take_messages() {
            sent_messages.push(message.clone());
            parent.handle_message(1_010, addr(2), message);
        }
        for (_, message) in parent.take_messages() {
            sent_messages.push(message.clone());
            child.handle_message(1_020, addr(1), message);
        }
    }
    sent_messages
}

/// The beginning of a message, its length, and a sum of it (FNV-1a).
fn outline(message: &Message) -> String {
    let bytes = message.encode();
    let sum = bytes.iter().fold(0xcbf2_9ce4_8422_2325_u64, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    format!(
        "{} {} {sum:016x}",
        hex(&bytes[..bytes.len().min(210)]),
        bytes.len()
    )
}

const PLAY: &[&str] = &[
    "01060000000000000006000000000000000000000000000000000000000000000000000000000000000000000000000000e8030000000000000000000000000000000000 68 d458bce0c9ed93e7",
    "0205000000000000000600000000000000010000000100000000000000000000000000000002000000000000000000000003000000000000001400000014000000e8030000000000000000000000020000000872756e6e65722f6101000000000000000200000000000000010500000076616c75650872756e6e65722f62030000000000000004000000000000000000000000 147 a21f5b3c0a40d712",
    "0205000000000000000600000000000000010000000200000002000000000000000000000002000000000000000000020003000000000000001400000014000000e8030000000000000000000000010000000b636f6e6669672f6e6578740500000000000000060000000000000002e09304000000000000000200000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f202122232425262728292a2b2c2d2e2f303132333435363738393a3b3c3d3e3f404142434445464748494a4b4c4d4e4f50515253545556 131195 1c3608e820cbf61d",
    "0205000000000000000600000000000000010000000300000002000000000000000000020002000000000000000000040003000000000000001400000014000000e8030000000000000000000000010000000b636f6e6669672f6e6578740500000000000000060000000000000002e09304000000020000000200000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f202122232425262728292a2b2c2d2e2f303132333435363738393a3b3c3d3e3f404142434445464748494a4b4c4d4e4f50515253545556 131195 3d09c164b01a46ca",
    "0205000000000000000600000000000000010000000400000002000000000000000000040003000000000000000000000003000000000000001400000014000000e8030000000000000000000000010000000b636f6e6669672f6e6578740500000000000000060000000000000002e093040000000400e0930000000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f202122232425262728292a2b2c2d2e2f303132333435363738393a3b3c3d3e3f404142434445464748494a4b4c4d4e4f50515253545556 37979 54e1c80287221a27",
    "01060000000000000006000000000000000500000000000000030000000000000000000000030000000000000000000000fc030000000000000100000004000000000000 68 c5fa3ae68505141b",
];

#[test]
fn the_first_exchange_of_parent_and_child_has_these_bytes() {
    let mut child = StateTable::new(6, addr(2), Follow::First, Role::Relay);
    let sent_messages: Vec<String> = first_exchange(&mut child).iter().map(outline).collect();
    assert_eq!(sent_messages, PLAY);
}

/// Entries written by hand, byte for byte: taken in by a child as they stand there.
#[test]
fn entries_of_each_kind_are_read_from_these_bytes() {
    // Key, stamp, kind; then for a piece the length of the whole and the place; then the length and
    // the bytes.
    let whole = "0872756e6e65722f61 0100000000000000 0200000000000000 01 05000000 76616c7565";
    let gone = "0872756e6e65722f62 0300000000000000 0400000000000000 00 00000000";
    let first = "0163 0500000000000000 0600000000000000 02 06000000 00000000 04000000 61626364";
    let rest = "0163 0500000000000000 0600000000000000 02 06000000 04000000 02000000 6566";
    let head = |serial: u32, from: u64, from_part: u32, to: u64, to_part: u32, count: u32| {
        let mut bytes = vec![2];
        bytes.extend_from_slice(&5u64.to_le_bytes());
        bytes.extend_from_slice(&6u64.to_le_bytes());
        bytes.extend_from_slice(&1u32.to_le_bytes());
        bytes.extend_from_slice(&serial.to_le_bytes());
        bytes.extend_from_slice(&from.to_le_bytes());
        bytes.extend_from_slice(&from_part.to_le_bytes());
        bytes.extend_from_slice(&to.to_le_bytes());
        bytes.extend_from_slice(&to_part.to_le_bytes());
        bytes.extend_from_slice(&3u64.to_le_bytes());
        bytes.extend_from_slice(&[0; 8]);
        bytes.extend_from_slice(&[0; 12]);
        bytes.push(0);
        bytes.extend_from_slice(&count.to_le_bytes());
        bytes
    };
    let body = |items: &[&str]| from_hex(&items.concat().replace(' ', ""));
    let messages = [
        [head(1, 0, 0, 2, 4, 3), body(&[whole, gone, first])].concat(),
        [head(2, 2, 4, 3, 0, 1), body(&[rest])].concat(),
    ];
    let mut child = StateTable::new(6, addr(2), Follow::First, Role::Relay);
    child.set_parents(1_000, vec![addr(1)]);
    child.tick(1_000);
    for bytes in messages {
        let message = Message::decode(&Bytes::from(bytes.clone())).unwrap();
        assert_eq!(message.encode(), bytes);
        child.handle_message(1_010, addr(1), message);
    }
    let entry = |key: &str| {
        child
            .get(key)
            .map(|entry| (entry.stamp, entry.value.clone()))
    };
    assert_eq!(
        entry("runner/a"),
        Some((Stamp(1, 2), Some(Bytes::from_static(b"value"))))
    );
    assert_eq!(entry("runner/b"), Some((Stamp(3, 4), None)));
    assert_eq!(
        entry("c"),
        Some((Stamp(5, 6), Some(Bytes::from_static(b"abcdef"))))
    );
}
