//! The bytes of a membership datagram, both ways: dispatchers of different versions talk to each other.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use membership::{MemberState, MemberUpdate, Message, MessageKind};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(u8::is_ascii_hexdigit).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

fn holds(message: &Message, written: &str) {
    assert_eq!(hex(&message.encode().unwrap()), hex(&bytes(written)));
    assert_eq!(&Message::decode(&bytes(written)).unwrap(), message);
}

#[test]
fn a_ping_without_updates_is_a_header_of_twelve_bytes() {
    let ping = Message {
        kind: MessageKind::Ping,
        from: 1,
        incarnation: 2,
        sequence: 0x0304,
        target: 0,
        updates: vec![],
    };
    holds(&ping, "01 01 0001 00000002 0304 0000");
}

#[test]
fn an_ack_of_a_length_that_is_a_multiple_of_five_ends_in_a_zero_byte() {
    let updates = vec![
        MemberUpdate {
            member: 5,
            incarnation: 0,
            state: MemberState::Suspect,
        },
        MemberUpdate {
            member: 0x03ff,
            incarnation: 0x00ff_ffff,
            state: MemberState::Left,
        },
        MemberUpdate {
            member: 0,
            incarnation: 1,
            state: MemberState::Dead,
        },
    ];
    let ack = Message {
        kind: MessageKind::Ack,
        from: 0x0102,
        incarnation: 0x00ab_cdef,
        sequence: 0xfffe,
        target: 0,
        updates,
    };
    holds(
        &ack,
        "01 02 0102 00abcdef fffe 0000 0005 000000 01 03ff ffffff 03 0000 000001 02 00",
    );
}

#[test]
fn a_ping_request_names_the_member_to_be_pinged() {
    let alive = MemberUpdate {
        member: 7,
        incarnation: 0x0001_0203,
        state: MemberState::Alive,
    };
    let request = Message {
        kind: MessageKind::PingReq,
        from: 9,
        incarnation: 1,
        sequence: 10,
        target: 0x0011,
        updates: vec![alive],
    };
    holds(&request, "01 03 0009 00000001 000a 0011 0007 010203 00");
}
