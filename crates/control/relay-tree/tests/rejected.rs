//! Undecodable messages, and those of strangers, for an earlier incarnation or duplicated, leave a
//! table as it was.

use bytes::Bytes;
use proptest::prelude::*;
use relay_tree::{Follow, Message, Rejected, Role, Stamp, StateEntry, StateTable, Update};
use std::net::SocketAddr;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, n], 7_000))
}

/// A child that is in sync with its parent, and the parent's update with one more entry.
fn child() -> (StateTable, Vec<Message>) {
    let mut parent = StateTable::new(5, addr(1), Follow::All, Role::Root);
    let mut child = StateTable::new(6, addr(2), Follow::First, Role::Relay);
    parent.report_quorum_contact(1_000, 10);
    parent.set(
        1_000,
        "runner/a",
        Stamp(1, 0),
        Some(Bytes::from_static(b"value")),
    );
    child.set_parents(1_000, vec![addr(1)]);
    for _ in 0..6 {
        child
            .take_messages()
            .into_iter()
            .for_each(|(_, message)| parent.handle_message(1_010, addr(2), message));
        parent
            .take_messages()
            .into_iter()
            .for_each(|(_, message)| child.handle_message(1_020, addr(1), message));
    }
    assert!(child.get("runner/a").is_some());
    parent.set(
        1_030,
        "runner/b",
        Stamp(2, 0),
        Some(Bytes::from_static(b"other")),
    );
    parent.tick(1_030);
    let sent_messages: Vec<Message> = parent
        .take_messages()
        .into_iter()
        .map(|(_, message)| message)
        .filter(|message| matches!(message, Message::Update(_)))
        .collect();
    assert!(!sent_messages.is_empty(), "the parent sends nothing");
    child.take_messages();
    (child, sent_messages)
}

fn all(state_table: &StateTable) -> Vec<StateEntry> {
    state_table.with_prefix("").cloned().collect()
}

#[test]
fn duplicate_updates_are_applied_once() {
    let (mut state_table, sent_messages) = child();
    for _ in 0..3 {
        sent_messages
            .iter()
            .for_each(|message| state_table.handle_message(1_040, addr(1), message.clone()));
        assert_eq!(all(&state_table).len(), 2);
    }
    assert_eq!(
        state_table.rejected(),
        Rejected {
            entries: 0,
            messages: 0
        }
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// Updates cut short, doubled or with a surplus: counted, and none of their entries is merged,
    /// not even those before the bad byte.
    #[test]
    fn undecodable_updates_are_not_applied_in_part(
        cut in any::<prop::sample::Index>(), doubled in any::<bool>(),
    ) {
        let (mut state_table, sent_messages) = child();
        let before = all(&state_table);
        for message in sent_messages {
            let Message::Update(Update { header, body }) = message else { continue };
            if body.is_empty() {
                continue;
            }
            let spoilt = if doubled { [&body[..], &body[..]].concat() } else { body[..cut.index(body.len())].to_vec() };
            state_table.handle_message(1_040, addr(1), Message::Update(Update { header, body: spoilt.into() }));
        }
        prop_assert_eq!(all(&state_table), before);
        prop_assert!(state_table.rejected().messages > 0, "it is not counted");
    }

    /// Updates of a sender that is no parent, or for an earlier incarnation of this table.
    #[test]
    fn updates_of_strangers_are_ignored(other in 3u8..9, to_incarnation in any::<u64>(), stranger in any::<bool>()) {
        let (mut state_table, sent_messages) = child();
        let before = all(&state_table);
        let many = sent_messages.len() as u64;
        for message in sent_messages {
            let Message::Update(mut state_entries) = message else { continue };
            if stranger {
                state_table.handle_message(1_040, addr(other), Message::Update(state_entries));
            } else {
                state_entries.header.to_incarnation = if to_incarnation == 6 { 7 } else { to_incarnation };
                state_table.handle_message(1_040, addr(1), Message::Update(state_entries));
            }
        }
        prop_assert_eq!(state_table.ignored_messages(), many);
        prop_assert_eq!(all(&state_table), before);
    }
}
