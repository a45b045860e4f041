//! Members that lag far behind: copies that were overtaken, parts that are old, doubled or
//! unreadable, large entries.

#[expect(dead_code, reason = "each test file uses a part")]
mod support;

use bytes::Bytes;
use chain_replication::{
    AppendEntries, ChunkAcknowledgement, Message, MessageBody, SnapshotChunk, SnapshotId,
    MAX_COMMAND_BYTES,
};
use support::{member, view, Net};

/// Three members whose log has let its beginning go, and a machine that joins.
fn late_joiner(changes: u32) -> Net {
    let mut net = Net::new(4);
    net.enter(&view(1, &[(1, 1), (2, 1), (3, 1)], &[]));
    net.settle();
    net.pass(500);
    for n in 0..changes {
        change(&mut net, n);
        net.settle();
    }
    net.said.clear();
    net
}

/// A change of 300 kB.
fn change(net: &mut Net, n: u32) {
    let mut command = vec![b'x'; 300_000];
    command[..10].copy_from_slice(format!("{n:010}").as_bytes());
    assert!(
        net.propose_bytes(1, Bytes::from(command)).is_some(),
        "change {n}"
    );
}

fn join(net: &mut Net) {
    net.enter(&view(2, &[(1, 1), (2, 1), (3, 1)], &[4]));
}

/// Hands over all mail but for the joiner's, which is held back.
fn settle_but_for_joiner(net: &mut Net) -> Vec<(u64, u64, Message)> {
    let mut held = Vec::new();
    while let Some(mail) = net.mail.pop_front() {
        if mail.1 == 4 {
            held.push(mail);
        } else {
            net.mail.push_front(mail);
            net.step();
        }
    }
    held
}

/// Goes on until the first parts are on their way to the joiner; these are handed over.
fn until_parts(net: &mut Net) {
    while !net
        .mail
        .iter()
        .any(|(_, to, message)| *to == 4 && matches!(message.body, MessageBody::SnapshotChunk(_)))
    {
        assert!(net.step(), "no part was sent");
    }
}

#[test]
fn joiner_whose_snapshot_is_outdated_receives_a_new_one() {
    let mut net = late_joiner(60);
    // A long table: its snapshot comes in many parts.
    join(&mut net);
    until_parts(&mut net);
    // The link to the joiner stands still while 45 MB of changes are committed: more than is kept
    // for a copy.
    let mut held = Vec::new();
    for n in 60..210 {
        change(&mut net, n);
        held.extend(settle_but_for_joiner(&mut net));
    }
    net.mail.extend(held);
    net.settle();
    net.pass(3_000);
    assert_eq!(net.words(4), net.words(3));
    assert!(net.node(4).status().caught_up);
}

#[test]
fn entries_committed_during_a_snapshot_transfer_are_kept() {
    let mut net = late_joiner(60);
    join(&mut net);
    until_parts(&mut net);
    // 15 MB: more than is kept without a copy, less than with one.
    let mut held = Vec::new();
    for n in 60..110 {
        change(&mut net, n);
        held.extend(settle_but_for_joiner(&mut net));
    }
    net.mail.extend(held);
    // Changes go on without pause while the entries go over.
    for n in 110..160 {
        for _ in 0..12 {
            net.step();
        }
        change(&mut net, n);
    }
    net.settle();
    net.pass(1_000);
    assert_eq!(net.words(4), net.words(3));
    assert_eq!(net.seat(4).resets, 1, "one snapshot is enough");
}

#[test]
fn unreadable_snapshot_is_not_resent_without_pause() {
    let mut net = late_joiner(60);
    join(&mut net);
    let mut parts = 0;
    for _ in 0..40 {
        net.now += 50;
        for n in 1..=4 {
            let now = net.now;
            net.node(n).tick(now);
            net.drain(n);
        }
        let mut turns = 0;
        while let Some((from, to, mut message)) = net.mail.pop_front() {
            if let MessageBody::SnapshotChunk(SnapshotChunk {
                id, offset, bytes, ..
            }) = &message.body
            {
                // Whole and of the right name, and yet no table.
                assert!(
                    id.total_bytes as usize == bytes.len(),
                    "one part is all of it"
                );
                let bytes = Bytes::from(vec![0xFF; bytes.len()]);
                let id = SnapshotId::of(id.number, id.last_view, &bytes);
                message.body = MessageBody::snapshot_chunk(id, *offset, bytes);
                parts += 1;
            }
            net.mail.push_front((from, to, message));
            net.step();
            turns += 1;
            assert!(turns < 2_000, "the same snapshot goes round for ever");
        }
    }
    assert!(parts < 30, "{parts} parts in 2 s");
    assert_eq!(
        (net.words(4), net.seat(4).resets),
        (String::new(), 0),
        "its own state stays as it was"
    );
    // Once it comes unspoilt, the joiner goes on.
    net.pass(1_000);
    assert_eq!(net.words(4), net.words(3));
}

#[test]
fn member_with_an_unreadable_snapshot_neither_leads_nor_is_in_sync() {
    for n in [1, 2, 3] {
        let mut net = late_joiner(60);
        let writes = net.node(n).snapshot_records();
        let mut disk = chain_replication::RecoveredLog::default();
        writes.into_iter().for_each(|write| disk.replay(write));
        disk.snapshot = disk.snapshot.map(|old| chain_replication::StateSnapshot {
            state: vec![0xFF; old.state.len()],
            ..old
        });
        let words = net.words(n % 3 + 1);
        net.seat(n).disk = disk;
        net.down(n);
        net.back(n);
        net.pass(2_000);
        assert!(
            !net.node(n).is_head() && !net.node(n).is_active(),
            "member {n}"
        );
        assert_eq!(net.propose(n, "from nothing"), None);
        assert_eq!(net.node(n).status().in_sync_view, 0);
        for other in (1..=3).filter(|other| *other != n) {
            assert_eq!(net.words(other), words, "member {other} holds what it held");
        }
        // Left out and joined anew, it holds all again.
        let rest: Vec<(u64, u64)> = (1..=3)
            .filter(|other| *other != n)
            .map(|other| (other, 1))
            .collect();
        net.enter(&view(2, &rest, &[n]));
        net.settle();
        net.pass(1_000);
        assert_eq!(net.words(n), words);
        assert!(net.node(n).status().caught_up);
    }
}

#[test]
fn large_entry_is_not_resent_while_it_may_be_in_flight() {
    let mut net = late_joiner(0);
    net.propose_bytes(1, Bytes::from(vec![b'x'; MAX_COMMAND_BYTES]));
    let sent = |net: &Net| {
        net.said
            .iter()
            .filter(|s| s.starts_with("1>2 Entries"))
            .count()
    };
    let frame = net.mail.pop_front().expect("a frame");
    let tick = |net: &mut Net, ms: u64| {
        for _ in 0..ms / 50 {
            net.now += 50;
            let now = net.now;
            net.node(1).tick(now);
            net.drain(1);
        }
    };
    // 4 MiB take 420 ms over 10 MB a second.
    tick(&mut net, 800);
    assert_eq!(sent(&net), 1);
    tick(&mut net, 1_200);
    assert!(sent(&net) >= 2, "a lost one is sent again");
    net.mail.push_back(frame);
    net.settle();
    net.pass(1_000);
    assert_eq!(net.seat(1).committed, 1);
}

#[test]
fn joiner_that_lacks_many_large_entries_has_not_caught_up() {
    let mut net = late_joiner(20);
    join(&mut net);
    net.settle();
    net.pass(500);
    assert!(net.node(4).status().caught_up);
    let mut held = Vec::new();
    for n in 20..60 {
        change(&mut net, n);
        held.extend(settle_but_for_joiner(&mut net));
    }
    // It hears how far the others are while the entries are still on their way: it lacks 12 MB.
    let frame = MessageBody::AppendEntries(AppendEntries {
        previous: net.node(4).last_received(),
        previous_view: 1,
        catch_up_target: 20,
        newest_synced: net.node(3).last_received(),
        committed: 20,
        entries: Vec::new(),
    });
    let now = net.now;
    net.node(4).handle_message(
        now,
        member(3, 0).addr,
        Message {
            view: 2,
            from: 3,
            to: 4,
            body: frame,
        },
    );
    net.drain(4);
    assert!(
        !net.node(4).status().caught_up,
        "40 changes of 300 kB behind"
    );
    net.mail.extend(held);
    net.settle();
    net.pass(2_000);
    assert!(net.node(4).status().caught_up);
    assert_eq!(net.words(4), net.words(3));
}

#[test]
fn stalled_snapshot_restarts_at_a_joiner_that_was_in_step() {
    let mut net = late_joiner(0);
    // Enough of them that a snapshot has several parts.
    for n in 0..9_000 {
        net.propose(1, &format!("{n:016}"));
        if n % 1_000 == 0 {
            net.settle();
        }
    }
    net.settle();
    join(&mut net);
    net.settle();
    net.pass(500);
    for n in 0..180 {
        change(&mut net, n);
        settle_but_for_joiner(&mut net);
    }
    // It lags behind the log by now; the first part of its copy comes, and then nothing for two
    // seconds.
    let mut taken = 0;
    for _ in 0..2_000 {
        if net.mail.is_empty() {
            net.now += 50;
            let now = net.now;
            net.node(3).tick(now);
            net.drain(3);
        }
        let Some(mail) = net.mail.pop_front() else {
            continue;
        };
        if let MessageBody::ChunkAcknowledgement(ChunkAcknowledgement { offset, .. }) = &mail.2.body
        {
            taken = *offset;
        }
        let part = matches!(mail.2.body, MessageBody::SnapshotChunk(_));
        net.mail.push_front(mail);
        net.step();
        if part {
            net.mail
                .retain(|(_, _, message)| !matches!(message.body, MessageBody::SnapshotChunk(_)));
        }
        if taken > 0 {
            break;
        }
    }
    assert!(taken > 0);
    for _ in 0..40 {
        net.now += 50;
        let now = net.now;
        net.node(4).tick(now);
        net.drain(4);
        net.mail.clear();
    }
    net.pass(4_000);
    assert_eq!(net.words(4), net.words(3));
}

#[test]
fn duplicate_reordered_and_stale_chunks_are_harmless() {
    let mut net = late_joiner(60);
    join(&mut net);
    let mut old = Vec::new();
    let mut turn = 0;
    while let Some(mail) = net.mail.pop_front() {
        turn += 1;
        if matches!(mail.2.body, MessageBody::SnapshotChunk(_)) {
            old.push(mail.clone());
            if turn % 3 == 0 {
                // It comes a second time, and after the next.
                net.mail.push_back(mail.clone());
            }
        }
        net.mail.push_front(mail);
        net.step();
        assert!(turn < 10_000, "it goes round for ever");
    }
    net.pass(1_000);
    assert_eq!((net.words(4), net.seat(4).resets), (net.words(3), 1));
    // The same parts again, in a view that came after, when more is known.
    change(&mut net, 60);
    net.settle();
    net.pass(500);
    net.enter(&view(3, &[(1, 1), (2, 1), (3, 1), (4, 3)], &[]));
    net.settle();
    net.pass(500);
    net.mail.extend(old);
    net.settle();
    net.pass(500);
    assert_eq!((net.words(4), net.seat(4).resets), (net.words(3), 1));
    assert!(net.node(1).is_ready());
}

/// On a link that is full each copy of the same frames delays what would answer them.
#[test]
fn resends_back_off() {
    let mut net = late_joiner(0);
    net.propose(1, "a");
    let frame = net.mail.pop_front().expect("a frame");
    let tick = |net: &mut Net, ms: u64| {
        let before = net
            .said
            .iter()
            .filter(|s| s.starts_with("1>2 Entries"))
            .count();
        for _ in 0..ms / 50 {
            net.now += 50;
            let now = net.now;
            net.node(1).tick(now);
            net.drain(1);
        }
        net.said
            .iter()
            .filter(|s| s.starts_with("1>2 Entries"))
            .count()
            - before
    };
    let (first, later) = (tick(&mut net, 10_000), tick(&mut net, 10_000));
    assert!((4..=8).contains(&first), "{first} in the first ten seconds");
    assert!(
        (3..=5).contains(&later),
        "{later} in the next ten, one every 2.4 s"
    );
    // The answer of the neighbour brings the usual pace back.
    net.mail.clear();
    net.mail.push_back(frame);
    net.settle();
    net.pass(1_000);
    assert_eq!(net.seat(1).committed, 1);
    net.propose(1, "b");
    net.mail.clear();
    assert_eq!(tick(&mut net, 400), 1);
}
