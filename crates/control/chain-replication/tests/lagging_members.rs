//! Members that lag far behind: snapshots that are outdated, chunks that are old, doubled or
//! unreadable, large entries.

#[expect(dead_code, reason = "each test file uses a part")]
mod support;

use bytes::Bytes;
use chain_replication::{
    AppendEntries, ChunkAcknowledgement, Message, MessageBody, SnapshotChunk, SnapshotId,
    MAX_COMMAND_BYTES,
};
use support::{member, view, Cluster};

/// Three members whose log has dropped its beginning, and a machine that joins.
fn late_joiner(changes: u32) -> Cluster {
    let mut cluster = Cluster::new(4);
    cluster.install_view(&view(1, &[(1, 1), (2, 1), (3, 1)], &[]));
    cluster.deliver_all();
    cluster.advance(500);
    for n in 0..changes {
        change(&mut cluster, n);
        cluster.deliver_all();
    }
    cluster.sent.clear();
    cluster
}

/// A change of 300 kB.
fn change(cluster: &mut Cluster, n: u32) {
    let mut command = vec![b'x'; 300_000];
    command[..10].copy_from_slice(format!("{n:010}").as_bytes());
    assert!(
        cluster.propose_bytes(1, Bytes::from(command)).is_some(),
        "change {n}"
    );
}

fn join(cluster: &mut Cluster) {
    cluster.install_view(&view(2, &[(1, 1), (2, 1), (3, 1)], &[4]));
}

/// Delivers all messages but those to the joiner, which are held back.
fn deliver_all_but_to_joiner(cluster: &mut Cluster) -> Vec<(u64, u64, Message)> {
    let mut held = Vec::new();
    while let Some(in_flight) = cluster.in_flight.pop_front() {
        if in_flight.1 == 4 {
            held.push(in_flight);
        } else {
            cluster.in_flight.push_front(in_flight);
            cluster.step();
        }
    }
    held
}

/// Goes on until the first chunks are in flight to the joiner; these are delivered.
fn until_chunks(cluster: &mut Cluster) {
    while !cluster
        .in_flight
        .iter()
        .any(|(_, to, message)| *to == 4 && matches!(message.body, MessageBody::SnapshotChunk(_)))
    {
        assert!(cluster.step(), "no part was sent");
    }
}

#[test]
fn joiner_whose_snapshot_is_outdated_receives_a_new_one() {
    let mut cluster = late_joiner(60);
    // A large state: its snapshot comes in many chunks.
    join(&mut cluster);
    until_chunks(&mut cluster);
    // The link to the joiner stalls while 45 MB of changes are committed: more than is kept
    // for a snapshot transfer.
    let mut held = Vec::new();
    for n in 60..210 {
        change(&mut cluster, n);
        held.extend(deliver_all_but_to_joiner(&mut cluster));
    }
    cluster.in_flight.extend(held);
    cluster.deliver_all();
    cluster.advance(3_000);
    assert_eq!(cluster.commands(4), cluster.commands(3));
    assert!(cluster.node(4).status().caught_up);
}

#[test]
fn entries_committed_during_a_snapshot_transfer_are_kept() {
    let mut cluster = late_joiner(60);
    join(&mut cluster);
    until_chunks(&mut cluster);
    // 15 MB: more than is kept without a transfer, less than with one.
    let mut held = Vec::new();
    for n in 60..110 {
        change(&mut cluster, n);
        held.extend(deliver_all_but_to_joiner(&mut cluster));
    }
    cluster.in_flight.extend(held);
    // Changes go on without pause while the entries are sent.
    for n in 110..160 {
        for _ in 0..12 {
            cluster.step();
        }
        change(&mut cluster, n);
    }
    cluster.deliver_all();
    cluster.advance(1_000);
    assert_eq!(cluster.commands(4), cluster.commands(3));
    assert_eq!(cluster.machine(4).resets, 1, "one snapshot is enough");
}

#[test]
fn unreadable_snapshot_is_not_resent_without_pause() {
    let mut cluster = late_joiner(60);
    join(&mut cluster);
    let mut chunks = 0;
    for _ in 0..40 {
        cluster.now += 50;
        for n in 1..=4 {
            let now = cluster.now;
            cluster.node(n).tick(now);
            cluster.drain(n);
        }
        let mut turns = 0;
        while let Some((from, to, mut message)) = cluster.in_flight.pop_front() {
            if let MessageBody::SnapshotChunk(SnapshotChunk {
                id, offset, bytes, ..
            }) = &message.body
            {
                // Complete and of the right identity, and yet no state.
                assert!(
                    id.total_bytes as usize == bytes.len(),
                    "one part is all of it"
                );
                let bytes = Bytes::from(vec![0xFF; bytes.len()]);
                let id = SnapshotId::of(id.number, id.last_view, &bytes);
                message.body = MessageBody::snapshot_chunk(id, *offset, bytes);
                chunks += 1;
            }
            cluster.in_flight.push_front((from, to, message));
            cluster.step();
            turns += 1;
            assert!(turns < 2_000, "the same snapshot goes round for ever");
        }
    }
    assert!(chunks < 30, "{chunks} parts in 2 s");
    assert_eq!(
        (cluster.commands(4), cluster.machine(4).resets),
        (String::new(), 0),
        "its own state stays as it was"
    );
    // Once it comes intact, the joiner goes on.
    cluster.advance(1_000);
    assert_eq!(cluster.commands(4), cluster.commands(3));
}

#[test]
fn member_with_an_unreadable_snapshot_neither_leads_nor_is_in_sync() {
    for n in [1, 2, 3] {
        let mut cluster = late_joiner(60);
        let writes = cluster.node(n).snapshot_records();
        let mut disk = chain_replication::RecoveredLog::default();
        writes.into_iter().for_each(|write| disk.replay(write));
        disk.snapshot = disk.snapshot.map(|old| chain_replication::StateSnapshot {
            state: vec![0xFF; old.state.len()],
            ..old
        });
        let words = cluster.commands(n % 3 + 1);
        cluster.machine(n).disk = disk;
        cluster.power_off(n);
        cluster.restart(n);
        cluster.advance(2_000);
        assert!(
            !cluster.node(n).is_head() && !cluster.node(n).is_active(),
            "member {n}"
        );
        assert_eq!(cluster.propose(n, "from nothing"), None);
        assert_eq!(cluster.node(n).status().in_sync_view, 0);
        for other in (1..=3).filter(|other| *other != n) {
            assert_eq!(
                cluster.commands(other),
                words,
                "member {other} holds what it held"
            );
        }
        // Removed and joined again, it holds everything again.
        let rest: Vec<(u64, u64)> = (1..=3)
            .filter(|other| *other != n)
            .map(|other| (other, 1))
            .collect();
        cluster.install_view(&view(2, &rest, &[n]));
        cluster.deliver_all();
        cluster.advance(1_000);
        assert_eq!(cluster.commands(n), words);
        assert!(cluster.node(n).status().caught_up);
    }
}

#[test]
fn large_entry_is_not_resent_while_it_may_be_in_flight() {
    let mut cluster = late_joiner(0);
    cluster.propose_bytes(1, Bytes::from(vec![b'x'; MAX_COMMAND_BYTES]));
    let sent = |cluster: &Cluster| {
        cluster
            .sent
            .iter()
            .filter(|s| s.starts_with("1>2 Entries"))
            .count()
    };
    let frame = cluster.in_flight.pop_front().expect("a frame");
    let tick = |cluster: &mut Cluster, ms: u64| {
        for _ in 0..ms / 50 {
            cluster.now += 50;
            let now = cluster.now;
            cluster.node(1).tick(now);
            cluster.drain(1);
        }
    };
    // 4 MiB take 420 ms over 10 MB a second.
    tick(&mut cluster, 800);
    assert_eq!(sent(&cluster), 1);
    tick(&mut cluster, 1_200);
    assert!(sent(&cluster) >= 2, "a lost one is sent again");
    cluster.in_flight.push_back(frame);
    cluster.deliver_all();
    cluster.advance(1_000);
    assert_eq!(cluster.machine(1).committed, 1);
}

#[test]
fn joiner_that_lacks_many_large_entries_has_not_caught_up() {
    let mut cluster = late_joiner(20);
    join(&mut cluster);
    cluster.deliver_all();
    cluster.advance(500);
    assert!(cluster.node(4).status().caught_up);
    let mut held = Vec::new();
    for n in 20..60 {
        change(&mut cluster, n);
        held.extend(deliver_all_but_to_joiner(&mut cluster));
    }
    // It learns how far the others are while the entries are still in flight: it lacks 12 MB.
    let frame = MessageBody::AppendEntries(AppendEntries {
        previous: cluster.node(4).last_received(),
        previous_view: 1,
        catch_up_target: 20,
        newest_synced: cluster.node(3).last_received(),
        committed: 20,
        entries: Vec::new(),
    });
    let now = cluster.now;
    cluster.node(4).handle_message(
        now,
        member(3, 0).addr,
        Message {
            view: 2,
            from: 3,
            to: 4,
            body: frame,
        },
    );
    cluster.drain(4);
    assert!(
        !cluster.node(4).status().caught_up,
        "40 changes of 300 kB behind"
    );
    cluster.in_flight.extend(held);
    cluster.deliver_all();
    cluster.advance(2_000);
    assert!(cluster.node(4).status().caught_up);
    assert_eq!(cluster.commands(4), cluster.commands(3));
}

#[test]
fn stalled_snapshot_restarts_at_a_joiner_that_was_in_step() {
    let mut cluster = late_joiner(0);
    // Enough of them that a snapshot has several chunks.
    for n in 0..9_000 {
        cluster.propose(1, &format!("{n:016}"));
        if n % 1_000 == 0 {
            cluster.deliver_all();
        }
    }
    cluster.deliver_all();
    join(&mut cluster);
    cluster.deliver_all();
    cluster.advance(500);
    for n in 0..180 {
        change(&mut cluster, n);
        deliver_all_but_to_joiner(&mut cluster);
    }
    // It lags behind the log by now; the first chunk of its snapshot comes, and then nothing for
    // two seconds.
    let mut taken = 0;
    for _ in 0..2_000 {
        if cluster.in_flight.is_empty() {
            cluster.now += 50;
            let now = cluster.now;
            cluster.node(3).tick(now);
            cluster.drain(3);
        }
        let Some(in_flight) = cluster.in_flight.pop_front() else {
            continue;
        };
        if let MessageBody::ChunkAcknowledgement(ChunkAcknowledgement { offset, .. }) =
            &in_flight.2.body
        {
            taken = *offset;
        }
        let chunk = matches!(in_flight.2.body, MessageBody::SnapshotChunk(_));
        cluster.in_flight.push_front(in_flight);
        cluster.step();
        if chunk {
            cluster
                .in_flight
                .retain(|(_, _, message)| !matches!(message.body, MessageBody::SnapshotChunk(_)));
        }
        if taken > 0 {
            break;
        }
    }
    assert!(taken > 0);
    for _ in 0..40 {
        cluster.now += 50;
        let now = cluster.now;
        cluster.node(4).tick(now);
        cluster.drain(4);
        cluster.in_flight.clear();
    }
    cluster.advance(4_000);
    assert_eq!(cluster.commands(4), cluster.commands(3));
}

#[test]
fn duplicate_reordered_and_stale_chunks_are_harmless() {
    let mut cluster = late_joiner(60);
    join(&mut cluster);
    let mut old = Vec::new();
    let mut turn = 0;
    while let Some(in_flight) = cluster.in_flight.pop_front() {
        turn += 1;
        if matches!(in_flight.2.body, MessageBody::SnapshotChunk(_)) {
            old.push(in_flight.clone());
            if turn % 3 == 0 {
                // It comes a second time, and after the next.
                cluster.in_flight.push_back(in_flight.clone());
            }
        }
        cluster.in_flight.push_front(in_flight);
        cluster.step();
        assert!(turn < 10_000, "it goes round for ever");
    }
    cluster.advance(1_000);
    assert_eq!(
        (cluster.commands(4), cluster.machine(4).resets),
        (cluster.commands(3), 1)
    );
    // The same chunks again, in a later view, when more is known.
    change(&mut cluster, 60);
    cluster.deliver_all();
    cluster.advance(500);
    cluster.install_view(&view(3, &[(1, 1), (2, 1), (3, 1), (4, 3)], &[]));
    cluster.deliver_all();
    cluster.advance(500);
    cluster.in_flight.extend(old);
    cluster.deliver_all();
    cluster.advance(500);
    assert_eq!(
        (cluster.commands(4), cluster.machine(4).resets),
        (cluster.commands(3), 1)
    );
    assert!(cluster.node(1).is_ready());
}

/// On a link that is full each resent frame delays what would answer it.
#[test]
fn resends_back_off() {
    let mut cluster = late_joiner(0);
    cluster.propose(1, "a");
    let frame = cluster.in_flight.pop_front().expect("a frame");
    let tick = |cluster: &mut Cluster, ms: u64| {
        let before = cluster
            .sent
            .iter()
            .filter(|s| s.starts_with("1>2 Entries"))
            .count();
        for _ in 0..ms / 50 {
            cluster.now += 50;
            let now = cluster.now;
            cluster.node(1).tick(now);
            cluster.drain(1);
        }
        cluster
            .sent
            .iter()
            .filter(|s| s.starts_with("1>2 Entries"))
            .count()
            - before
    };
    let (first, later) = (tick(&mut cluster, 10_000), tick(&mut cluster, 10_000));
    assert!((4..=8).contains(&first), "{first} in the first ten seconds");
    assert!(
        (3..=5).contains(&later),
        "{later} in the next ten, one every 2.4 s"
    );
    // The answer of the neighbour restores the usual pace.
    cluster.in_flight.clear();
    cluster.in_flight.push_back(frame);
    cluster.deliver_all();
    cluster.advance(1_000);
    assert_eq!(cluster.machine(1).committed, 1);
    cluster.propose(1, "b");
    cluster.in_flight.clear();
    assert_eq!(tick(&mut cluster, 400), 1);
}
