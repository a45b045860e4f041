//! Order, acknowledgement and repair among a few members.

mod support;

use bytes::Bytes;
use chain_replication::{Message, MessageBody, MAX_COMMAND_BYTES};
use support::{member, view, Net};

fn three() -> Net {
    let mut net = Net::new(4);
    net.enter(&view(1, &[(1, 1), (2, 1), (3, 1)], &[]));
    net.settle();
    net.pass(500);
    assert!(net.node(1).is_ready());
    net.said.clear();
    net
}

#[test]
fn command_is_forwarded_once_and_its_commit_is_acknowledged_back() {
    let mut net = three();
    assert_eq!(net.propose(1, "a"), Some(1));
    net.settle();
    insta::assert_snapshot!(net.said.join("\n"), @r"
    1>2 Entries(0+1)
    2>3 Entries(0+1)
    3>2 Ack(1,1)
    2>1 Ack(1,1)
    ");
    assert_eq!((net.seat(1).committed, net.words(3)), (1, "a".to_owned()));
    net.said.clear();
    net.pass(2_000);
    assert_eq!(
        net.said,
        Vec::<String>::new(),
        "nothing is said while nothing is to do"
    );
}

#[test]
fn head_forwards_nothing_that_its_disk_does_not_hold() {
    let mut net = three();
    net.seat(1).syncs = false;
    net.propose(1, "a");
    net.settle();
    net.pass(1_000);
    assert_eq!(
        (net.words(1), net.words(2)),
        ("a".to_owned(), String::new())
    );
    net.down(1);
    net.back(1);
    assert_eq!(
        net.propose(1, "b"),
        Some(1),
        "the number is used again: nobody heard of the first"
    );
    net.seat(1).syncs = true;
    net.sync(1);
    net.settle();
    net.pass(500);
    assert_eq!((net.words(3), net.seat(1).committed), ("b".to_owned(), 1));
}

#[test]
fn commands_of_one_sync_are_batched_into_one_frame() {
    let mut net = three();
    net.seat(1).syncs = false;
    for n in 0..200 {
        net.propose(1, &format!("w{n}"));
    }
    net.sync(1);
    net.settle();
    assert_eq!(
        net.said
            .iter()
            .filter(|s| s.starts_with("1>2 Entries"))
            .count(),
        1
    );
    assert_eq!(net.seat(1).committed, 200);
}

#[test]
fn frames_are_bounded_and_pipelined() {
    let mut net = three();
    for n in 0..300u32 {
        let mut command = vec![b'x'; 10_000];
        command[..4].copy_from_slice(&n.to_be_bytes());
        net.propose_bytes(1, Bytes::from(command));
    }
    net.settle();
    assert_eq!(net.seat(1).committed, 300);
    assert!(net.largest < 80_000, "{}", net.largest);
}

#[test]
fn head_bounds_uncommitted_commands() {
    let mut net = three();
    net.down(3);
    let command = Bytes::from(vec![b'x'; 100_000]);
    let taken = (0..1_000)
        .take_while(|_| net.propose_bytes(1, command.clone()).is_some())
        .count();
    assert!((40..45).contains(&taken), "{taken}");
    let mut net = three();
    assert_eq!(
        net.propose_bytes(1, Bytes::from(vec![0; MAX_COMMAND_BYTES + 1])),
        None
    );
    assert_eq!(net.propose(2, "not the head"), None);
}

#[test]
fn lost_messages_are_resent() {
    for lost in 0..4 {
        let mut net = three();
        net.propose(1, "a");
        for _ in 0..lost {
            net.step();
        }
        net.mail.clear();
        net.pass(1_500);
        assert_eq!(net.seat(1).committed, 1, "lost the word after {lost}");
        assert_eq!(net.words(3), "a");
    }
}

#[test]
fn gap_is_reported_at_once() {
    let mut net = three();
    net.propose(1, "a");
    net.mail.clear();
    net.now += 60;
    net.propose(1, "b");
    net.settle();
    assert_eq!(net.words(3), "a b");
    assert_eq!(net.seat(1).committed, 2);
}

#[test]
fn each_member_recovers_from_power_loss_in_the_same_view() {
    for n in 1..=3 {
        let mut net = three();
        net.propose(1, "a");
        net.settle();
        net.propose(1, "b");
        net.step();
        net.down(n);
        net.pass(500);
        net.back(n);
        net.pass(1_000);
        assert!(net.node(1).is_ready(), "member {n}");
        assert_eq!(net.propose(1, "c"), Some(3));
        net.settle();
        net.pass(500);
        assert_eq!(net.seat(1).committed, 3, "member {n}");
        assert_eq!(net.words(3), "a b c");
    }
}

#[test]
fn next_head_holds_every_acknowledged_entry() {
    let mut net = three();
    net.propose(1, "a");
    net.settle();
    net.seat(3).syncs = false;
    net.propose(1, "b");
    net.settle();
    net.down(1);
    net.enter(&view(2, &[(2, 1), (3, 1)], &[]));
    net.seat(3).syncs = true;
    net.sync(3);
    net.settle();
    net.pass(500);
    assert!(net.node(2).is_head() && net.node(2).is_ready());
    assert_eq!(net.propose(2, "c"), Some(3));
    net.settle();
    assert_eq!(
        (net.words(3), net.seat(2).committed),
        ("a b c".to_owned(), 3)
    );
}

#[test]
fn removed_head_neither_commits_nor_keeps_unacknowledged_entries() {
    let mut net = three();
    net.propose(1, "a");
    net.settle();
    // 1 is cut off and goes on proposing.
    net.propose(1, "lost");
    net.mail.clear();
    let next = view(2, &[(2, 1), (3, 1)], &[]);
    let now = net.now;
    for n in [2, 3] {
        net.node(n).install_view(now, next.clone());
        net.drain(n);
    }
    net.settle();
    net.propose(1, "lost too");
    net.propose(2, "b");
    net.settle();
    net.pass(1_000);
    assert_eq!(net.seat(1).committed, 1, "the others are of another view");
    // It hears of a newer view and takes nothing more; then it learns the view and joins again.
    let heard = Message {
        view: 2,
        from: 2,
        to: 1,
        body: MessageBody::RequestPosition,
    };
    net.node(1).handle_message(now, member(2, 0).addr, heard);
    assert!(!net.node(1).is_head());
    assert_eq!(net.propose(1, "no"), None);
    let next = view(3, &[(2, 1), (3, 1)], &[1]);
    net.enter(&next);
    net.settle();
    net.pass(1_000);
    assert_eq!((net.words(1), net.seat(1).resets), ("a b".to_owned(), 1));
    assert!(net.node(1).status().caught_up);
    // Its disk says the same after a loss of power.
    net.down(1);
    net.back(1);
    assert_eq!(net.words(1), "a b");
}

#[test]
fn joiner_receives_the_log_and_does_not_block_commits() {
    let mut net = three();
    net.propose(1, "a");
    net.settle();
    net.down(4);
    net.enter(&view(2, &[(1, 1), (2, 1), (3, 1)], &[4]));
    net.settle();
    net.pass(500);
    net.propose(1, "b");
    net.settle();
    assert_eq!(net.seat(1).committed, 2, "4 is down");
    net.back(4);
    let now = net.now;
    net.node(4)
        .install_view(now, view(2, &[(1, 1), (2, 1), (3, 1)], &[4]));
    net.drain(4);
    net.settle();
    assert_eq!(net.words(4), "a b");
    let status = net.node(4).status();
    assert!(status.caught_up && status.in_sync_view == 0);
    net.enter(&view(3, &[(1, 1), (2, 1), (3, 1), (4, 3)], &[]));
    net.settle();
    net.pass(500);
    assert_eq!(net.node(4).status().in_sync_view, 3);
    net.propose(1, "c");
    net.settle();
    assert_eq!(
        (net.words(4), net.seat(1).committed),
        ("a b c".to_owned(), 3)
    );
}

/// A joiner so late that the log before it was let go.
fn late_joiner() -> (Net, chain_replication::View) {
    let mut net = three();
    for n in 0..300u32 {
        let mut command = vec![b'x'; 60_000];
        command[..10].copy_from_slice(format!("{n:010}").as_bytes());
        net.propose_bytes(1, Bytes::from(command));
        net.settle();
    }
    let next = view(2, &[(1, 1), (2, 1), (3, 1)], &[4]);
    (net, next)
}

#[test]
fn late_joiner_receives_a_snapshot() {
    let (mut net, next) = late_joiner();
    net.enter(&next);
    net.settle();
    net.pass(1_000);
    assert_eq!(net.words(4), net.words(3));
    assert_eq!(net.seat(4).resets, 1);
    assert!(net.node(4).status().caught_up);
    assert!(net.said.iter().any(|s| s.contains("3>4 Part")));
}

#[test]
fn snapshot_survives_lost_chunks_and_a_receiver_restart() {
    let (mut net, next) = late_joiner();
    net.enter(&next);
    let mut dropped = 0;
    while let Some((_, _, message)) = net.mail.front() {
        if matches!(message.body, MessageBody::SnapshotChunk(_)) && dropped < 1 {
            net.mail.pop_front();
            dropped += 1;
            continue;
        }
        net.step();
    }
    net.down(4);
    net.back(4);
    net.pass(3_000);
    assert_eq!(net.words(4), net.words(3));
}

#[test]
fn lagging_middle_member_catches_up_before_it_acknowledges() {
    let mut net = three();
    net.propose(1, "a");
    net.settle();
    // 2 was a joiner that was nearly caught up: it comes before 3, which holds more.
    let mut net2 = Net::new(3);
    net2.enter(&view(1, &[(1, 1), (3, 1)], &[]));
    net2.settle();
    net2.pass(500);
    net2.propose(1, "a");
    net2.settle();
    net2.propose(1, "b");
    net2.settle();
    net2.down(1);
    net2.enter(&view(2, &[(1, 1), (2, 2), (3, 1)], &[]));
    net2.settle();
    net2.pass(1_000);
    assert_eq!(
        net2.words(3),
        "a b",
        "2 holds nothing and takes nothing from 3"
    );
    assert_eq!(net2.node(3).status().in_sync_view, 1);
    net2.back(1);
    let now = net2.now;
    net2.node(1)
        .install_view(now, view(2, &[(1, 1), (2, 2), (3, 1)], &[]));
    net2.drain(1);
    net2.settle();
    net2.pass(1_000);
    assert_eq!(
        (net2.words(2), net2.words(3)),
        ("a b".to_owned(), "a b".to_owned())
    );
    assert!(net2.node(1).is_ready());
}

#[test]
fn messages_for_another_id_or_of_another_view_are_ignored() {
    let mut net = three();
    net.propose(1, "a");
    let frame = net.mail.pop_front().map(|m| m.2).expect("a frame");
    let now = net.now;
    for wrong in [
        Message {
            to: 9,
            ..frame.clone()
        },
        Message {
            from: 9,
            ..frame.clone()
        },
        Message {
            view: 0,
            ..frame.clone()
        },
    ] {
        net.node(2).handle_message(now, member(1, 0).addr, wrong);
    }
    net.node(2)
        .handle_message(now, member(3, 0).addr, frame.clone());
    net.drain(2);
    assert_eq!(net.node(2).last_received(), 0);
    net.node(2).handle_message(now, member(1, 0).addr, frame);
    assert_eq!(net.node(2).last_received(), 1);
}

#[test]
fn snapshot_records_restore_the_same_state() {
    let mut net = three();
    for word in ["a", "b", "c"] {
        net.propose(1, word);
        net.settle();
    }
    for n in 1..=3 {
        let mut disk = chain_replication::RecoveredLog::default();
        for write in net.node(n).snapshot_records() {
            disk.replay(write);
        }
        net.seat(n).disk = disk;
        net.down(n);
    }
    for n in 1..=3 {
        net.back(n);
    }
    net.pass(1_000);
    assert_eq!(net.propose(1, "d"), Some(4));
    net.settle();
    net.pass(500);
    assert_eq!(
        (net.words(1), net.words(3)),
        ("a b c d".to_owned(), "a b c d".to_owned())
    );
    assert_eq!(net.seat(1).committed, 4);
}

#[test]
fn entries_committed_by_one_count_for_two_only_once_two_hold_them() {
    let mut net = Net::new(3);
    net.enter(&view(1, &[(1, 1)], &[2, 3]));
    net.settle();
    net.propose(1, "a");
    net.settle();
    net.pass(500);
    assert_eq!(
        (
            net.seat(1).committed,
            net.node(1).committed_with_members(1),
            net.node(1).committed_with_members(2)
        ),
        (1, 1, 0)
    );
    // 3 is away: 2 is in sync and knows of the commit, but not all of this view have it.
    net.down(3);
    net.enter(&view(2, &[(1, 1), (2, 2), (3, 2)], &[]));
    net.settle();
    net.pass(500);
    assert_eq!(net.node(2).status().in_sync_view, 2);
    assert_eq!(
        (
            net.node(1).committed_with_members(2),
            net.node(1).is_ready()
        ),
        (0, false)
    );
    net.back(3);
    let now = net.now;
    net.node(3)
        .install_view(now, view(2, &[(1, 1), (2, 2), (3, 2)], &[]));
    net.drain(3);
    net.settle();
    net.pass(500);
    assert_eq!(
        (
            net.node(1).committed_with_members(3),
            net.node(1).committed_with_members(4),
            net.node(1).is_ready()
        ),
        (1, 0, true)
    );
}
