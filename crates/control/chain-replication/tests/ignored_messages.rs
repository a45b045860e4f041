//! Messages of strangers, of older views and for others are ignored, whatever their content.

#[expect(dead_code, reason = "each test file uses a part")]
mod support;

use bytes::Bytes;
use chain_replication::{
    Acknowledgement, AppendEntries, ChunkAcknowledgement, Entry, LogRecord, Message, MessageBody,
    SnapshotChunk, SnapshotId,
};
use proptest::prelude::*;
use std::net::SocketAddr;
use support::*;

/// Three members in view 2 that hold three commands.
fn chain_of_three() -> Cluster {
    let mut cluster = Cluster::new(3);
    let members = [(1, 1), (2, 1), (3, 1)];
    cluster.install_view(&view(1, &members, &[]));
    cluster.deliver_all();
    for word in ["a", "b", "c"] {
        cluster.propose(1, word);
        cluster.deliver_all();
    }
    cluster.install_view(&view(2, &members, &[]));
    cluster.deliver_all();
    cluster.advance(500);
    cluster.in_flight.clear();
    cluster
}

fn stands(cluster: &mut Cluster, n: u64) -> (Vec<LogRecord>, Commands, u64, bool) {
    let node = cluster.node(n);
    (
        node.snapshot_records(),
        node.state_machine().clone(),
        node.committed(),
        node.is_head(),
    )
}

/// A message for an identity that this member doesn't have says nothing about its view: the machine
/// at this address was another one then, or will be.
#[test]
fn message_for_another_identity_deposes_no_head() {
    let mut cluster = chain_of_three();
    let before = stands(&mut cluster, 1);
    assert!(before.3, "the first is head");
    let message = Message {
        view: u64::MAX,
        from: 9,
        to: 7,
        body: MessageBody::RequestPosition,
    };
    let now = cluster.now;
    cluster
        .node(1)
        .handle_message(now, member(9, 0).addr, message);
    cluster.drain(1);
    assert_eq!(stands(&mut cluster, 1), before);
    assert!(cluster.propose(1, "d").is_some(), "it goes on as head");
}

fn snapshot_id() -> impl Strategy<Value = SnapshotId> {
    (0u64..9, 0u64..4, 0u32..40, any::<u32>()).prop_map(|(number, last_view, total, digest)| {
        SnapshotId {
            number,
            last_view,
            total_bytes: total,
            crc32: digest,
        }
    })
}

fn body() -> impl Strategy<Value = MessageBody> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..20).prop_map(Bytes::from);
    let entries = proptest::collection::vec((0u64..4, bytes()), 0..4);
    prop_oneof![
        (0u64..6, 0u64..4)
            .prop_map(|(number, last_view)| MessageBody::LogPosition { number, last_view }),
        Just(MessageBody::RequestPosition),
        ([0u64..6, 0..4, 0..6, 0..8, 0..8], entries).prop_map(
            |([previous, previous_view, catch_up_target, newest_synced, committed], entries)| {
                let entries = entries
                    .into_iter()
                    .map(|(view, command)| Entry { view, command })
                    .collect();
                MessageBody::AppendEntries(AppendEntries {
                    previous,
                    previous_view,
                    catch_up_target,
                    newest_synced,
                    committed,
                    entries,
                })
            }
        ),
        (0u64..8, 0u64..8, any::<bool>()).prop_map(|(synced, committed, in_sync)| {
            MessageBody::Acknowledge(Acknowledgement {
                synced,
                committed,
                in_sync,
            })
        }),
        (snapshot_id(), 0u32..40, bytes())
            .prop_map(|(id, offset, bytes)| MessageBody::snapshot_chunk(id, offset, bytes)),
        (snapshot_id(), 0u32..40, any::<u32>(), bytes()).prop_map(
            |(id, offset, checksum, bytes)| MessageBody::SnapshotChunk(SnapshotChunk {
                id,
                offset,
                checksum,
                bytes
            })
        ),
        (snapshot_id(), 0u32..40, any::<u8>()).prop_map(|(id, offset, received_beyond)| {
            MessageBody::ChunkAcknowledgement(ChunkAcknowledgement {
                id,
                offset,
                received_beyond,
            })
        }),
        (0u64..6, 0u64..4, snapshot_id(), 0u32..40).prop_map(|(number, last_view, id, offset)| {
            MessageBody::ResumeSnapshot {
                number,
                last_view,
                id,
                offset,
            }
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// From an address or an identity that is not in the view, from an older view, or for another
    /// else: no answer, no write, and all stands as before.
    #[test]
    fn messages_of_strangers_and_of_older_views_change_nothing(n in 1u64..4, which in 0u8..4, body in body()) {
        let mut cluster = chain_of_three();
        let before = stands(&mut cluster, n);
        let neighbour = if n == 1 { 2 } else { n - 1 };
        let good = Message { view: 2, from: neighbour, to: n, body };
        let addr = member(neighbour, 0).addr;
        let (from, message) = match which {
            0 => (addr, Message { view: 1, ..good }),
            1 => (addr, Message { from: 8, ..good }),
            2 => (SocketAddr::from(([10, 0, 0, 9], 7000)), good),
            _ => (addr, Message { to: 8, view: 3, ..good }),
        };
        let now = cluster.now;
        let passed_over = cluster.node(n).ignored_messages();
        cluster.node(n).handle_message(now, from, message);
        prop_assert_eq!(cluster.node(n).ignored_messages(), passed_over + 1);
        prop_assert_eq!(cluster.node(n).take_effects(), vec![]);
        prop_assert_eq!(stands(&mut cluster, n), before);
    }
}
