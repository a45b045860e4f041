//! Encoding of messages, and that no bytes make a table fail.

use std::net::SocketAddr;

use bytes::Bytes;
use proptest::prelude::*;
use relay_tree::{Follow, Message, Role, Stamp, StateTable, Subscribe, Update};

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7000))
}

/// The first messages between a child and a parent.
fn exchange() -> Vec<Message> {
    let mut parent = StateTable::new(5, addr(1), Follow::All, Role::Root);
    let mut child = StateTable::new(6, addr(2), Follow::First, Role::Relay);
    parent.report_quorum_contact(1_000, 10);
    child.set_parents(1_000, vec![addr(1)]);
    parent.set(
        1_000,
        "runner/a",
        Stamp(1, 0),
        Some(Bytes::from_static(b"value")),
    );
    parent.set(1_000, "runner/b", Stamp(2, 1), None);
    parent.set(
        1_000,
        "config/next",
        Stamp(3, 0),
        Some(vec![7; 300_000].into()),
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
    assert_eq!(
        child
            .get("config/next")
            .and_then(|state_entry| state_entry.value.clone())
            .map(|value| value.len()),
        Some(300_000)
    );
    sent_messages.push(Message::Unsubscribe { incarnation: 6 });
    sent_messages
}

#[test]
fn messages_round_trip() {
    for message in exchange() {
        assert_eq!(Message::decode(&message.encode()), Ok(message));
    }
}

#[test]
fn heartbeats_and_renewals_are_small() {
    let mut parent = StateTable::new(5, addr(1), Follow::All, Role::Root);
    let mut child = StateTable::new(6, addr(2), Follow::First, Role::Relay);
    child.set_parents(1_000, vec![addr(1)]);
    let mut sizes = Vec::new();
    for now in [1_000, 1_300, 1_600] {
        child.tick(now);
        parent.tick(now);
        for (_, message) in child.take_messages() {
            sizes.push(("renewal", message.encode().len()));
            parent.handle_message(now, addr(2), message);
        }
        for (_, message) in parent.take_messages() {
            sizes.push(("heartbeat", message.encode().len()));
            child.handle_message(now, addr(1), message);
        }
    }
    sizes.sort_unstable();
    sizes.dedup();
    insta::assert_snapshot!(format!("{sizes:?}"), @r#"[("heartbeat", 82), ("renewal", 68)]"#);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(kind in 0u8..5, rest in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut bytes = vec![kind];
        bytes.extend(rest);
        let _ = Message::decode(&Bytes::from(bytes));
    }

    #[test]
    fn corrupted_messages_are_harmless(which in 0usize..64, place in 0usize..4_000, bit in 0u8..8, cut in prop::option::of(0usize..400)) {
        let sent_messages = exchange();
        let mut bytes = sent_messages[which % sent_messages.len()].encode().to_vec();
        let place = place % bytes.len();
        bytes[place] ^= 1 << bit;
        if let Some(cut) = cut {
            bytes.truncate(cut);
        }
        if let Ok(message) = Message::decode(&Bytes::from(bytes)) {
            for follow in [Follow::All, Follow::First] {
                let mut state_table = StateTable::new(6, addr(2), follow, Role::Relay);
                state_table.set_parents(1_000, vec![addr(1)]);
                state_table.set(1_000, "k", Stamp(1, 0), Some(Bytes::from_static(b"v")));
                state_table.tick(1_000);
                state_table.handle_message(1_010, addr(1), message.clone());
                state_table.handle_message(1_010, addr(3), message.clone());
                state_table.tick(1_300);
                // One send window a subscriber at most, whatever it claims.
                prop_assert!(state_table.take_messages().len() < 20);
            }
        }
    }
}

#[test]
fn extreme_numbers_are_harmless() {
    let edge = [0, 1, u64::MAX - 1, u64::MAX];
    for a in edge {
        for b in edge {
            let mut state_table = StateTable::new(6, addr(2), Follow::First, Role::Relay);
            state_table.set_parents(1_000, vec![addr(1)]);
            state_table.set(
                1_000,
                "k",
                Stamp(u64::MAX, u64::MAX),
                Some(Bytes::from_static(b"v")),
            );
            let most = u32::MAX;
            let subscribe = Subscribe {
                incarnation: a,
                id: b,
                parent_incarnation: 6,
                received_seq: a,
                received_bytes: most,
                subtree_received_seq: b,
                descendants: most,
                sent_at: a,
                epoch: most,
                received_serial: most,
                flags: 255,
                digest: Vec::new(),
            };
            state_table.handle_message(1_010, addr(1), Message::Subscribe(subscribe.clone()));
            state_table.handle_message(1_010, addr(3), Message::Subscribe(subscribe));
            for message in exchange() {
                let Message::Update(Update { mut header, body }) = message else {
                    continue;
                };
                (
                    header.to_incarnation,
                    header.from_seq,
                    header.to_seq,
                    header.newest_seq,
                    header.echo,
                ) = (6, a, b, a, b);
                (
                    header.epoch,
                    header.serial,
                    header.echo_delay_ms,
                    header.staleness_ms,
                    header.root_contact_ms,
                ) = (most, most, most, most, most - 1);
                state_table.handle_message(
                    1_020,
                    addr(1),
                    Message::Update(Update { header, body }),
                );
                state_table.tick(1_300);
                state_table.take_messages();
            }
            let count = state_table.acknowledged("k", Stamp(1, 0));
            assert_eq!((count.subscribers, count.peers), (0, 2), "{a} {b}");
        }
    }
}
