//! The datagram: what is encoded decodes to itself, and any bytes are decoded or refused with a
//! named field, never with a panic.

use membership::{
    MemberState, MemberUpdate, Message, MessageKind, WireError, MAX_DATAGRAM_BYTES, MAX_UPDATES,
};
use proptest::prelude::*;

fn change() -> impl Strategy<Value = MemberUpdate> {
    let state = prop_oneof![
        Just(MemberState::Alive),
        Just(MemberState::Suspect),
        Just(MemberState::Dead)
    ];
    (any::<u16>(), 0..1u32 << 24, state).prop_map(|(member, incarnation, state)| MemberUpdate {
        member,
        incarnation,
        state,
    })
}

fn message() -> impl Strategy<Value = Message> {
    let kind = prop_oneof![
        Just(MessageKind::Ping),
        Just(MessageKind::Ack),
        Just(MessageKind::PingReq)
    ];
    let updates = proptest::collection::vec(change(), 0..=MAX_UPDATES);
    (
        kind,
        any::<u16>(),
        0..1u32 << 24,
        any::<u16>(),
        any::<u16>(),
        updates,
    )
        .prop_map(
            |(kind, from, incarnation, sequence, target, updates)| Message {
                kind,
                from,
                incarnation,
                sequence,
                target,
                updates,
            },
        )
}

proptest! {
    #[test]
    fn an_encoded_message_fits_a_datagram_and_decodes_to_itself(message in message()) {
        let bytes = message.encode().unwrap();
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        prop_assert_eq!(Message::decode(&bytes).unwrap(), message);
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok(message) = Message::decode(&bytes) {
            prop_assert_eq!(message.encode().unwrap(), bytes);
        }
    }
}

#[test]
fn decode_errors_name_the_field() {
    let ping = Message {
        kind: MessageKind::Ping,
        from: 1,
        incarnation: 2,
        sequence: 3,
        target: 0,
        updates: vec![],
    };
    let mut bytes = ping.encode().unwrap();
    assert_eq!(Message::decode(&bytes[..11]), Err(WireError::Short(11)));
    bytes[1] = 9;
    assert_eq!(Message::decode(&bytes), Err(WireError::Kind(9)));
    bytes[1] = 1;
    bytes[4] = 1;
    assert_eq!(
        Message::decode(&bytes),
        Err(WireError::Sender((1 << 24) + 2))
    );
    let dead = MemberUpdate {
        member: 4,
        incarnation: 1 << 24,
        state: MemberState::Dead,
    };
    let too_old = Message {
        updates: vec![dead],
        ..ping.clone()
    };
    assert_eq!(too_old.encode(), Err(WireError::Incarnation(0, 1 << 24)));
    let many = Message {
        updates: vec![
            MemberUpdate {
                incarnation: 0,
                ..dead
            };
            MAX_UPDATES + 1
        ],
        ..ping
    };
    assert_eq!(many.encode(), Err(WireError::Updates(MAX_UPDATES + 1)));
    assert_eq!(Message::decode(&[1; 257]), Err(WireError::Long(257)));
}
