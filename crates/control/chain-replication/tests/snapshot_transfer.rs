//! A copy goes on from where it was: broken off at each part, over a restart of either end, in a
//! new view, with words and parts that are lost, doubled, late, spoilt or of another snapshot.

#[expect(dead_code, reason = "each test file uses a part")]
mod support;

use bytes::Bytes;
use chain_replication::{
    ChunkAcknowledgement, Message, MessageBody, RecoveredLog, SnapshotChunk, StateSnapshot,
    CHUNKS_IN_FLIGHT, CHUNK_BYTES,
};
use support::{member, view, Net};

/// Words of the table that is copied, and bytes of each in a snapshot.
const WORDS: u64 = 40_000;
const WORD_BYTES: usize = 17;
/// Parts of its snapshot.
const PARTS: usize = (WORDS as usize * WORD_BYTES - 1).div_ceil(CHUNK_BYTES);
const TAIL: u64 = 3;
const JOINER: u64 = 4;

/// What is done to the words between a tail and its joiner, to see that it shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The taker never says which parts it holds.
    ForgetsParts,
    /// The sender never hears which parts came beyond a lost one.
    HearsOfNoGap,
}

/// Three members that hold a long table and no log, and a machine that is about to join.
fn three_with_a_long_table() -> Net {
    let text: Vec<String> = (0..WORDS).map(|n| format!("{n:016}")).collect();
    let founded = view(1, &[(1, 1), (2, 1), (3, 1)], &[]);
    let disk = RecoveredLog {
        view: Some(founded),
        in_sync_view: 1,
        snapshot: Some(StateSnapshot {
            view: 1,
            number: WORDS,
            state: text.join("\n").into_bytes(),
        }),
        entries: Vec::new(),
    };
    let mut net = Net::new(4);
    for n in 1..=TAIL {
        net.seat(n).disk = disk.clone();
        net.down(n);
        net.back(n);
    }
    net.pass(1_000);
    assert!(net.node(1).is_ready());
    net.said.clear();
    net
}

fn join(net: &mut Net) {
    net.enter(&view(2, &[(1, 1), (2, 1), (3, 1)], &[JOINER]));
}

fn is_part(message: &Message) -> bool {
    matches!(message.body, MessageBody::SnapshotChunk(_))
}

/// Parts that members have sent to the joiner.
fn parts_sent(net: &Net) -> usize {
    net.said
        .iter()
        .filter(|said| said.contains(">4 Part("))
        .count()
}

/// Where the parts began that were sent after the first `from` words.
fn places_since(net: &Net, from: usize) -> Vec<usize> {
    let parts = net.said[from..]
        .iter()
        .filter_map(|said| said.split_once(">4 Part("));
    parts
        .map(|(_, place)| place.trim_end_matches(')').parse().expect("a place"))
        .collect()
}

/// Hands words over until the joiner holds so many parts; what is still on its way stays in the
/// mail.
fn until_it_holds(net: &mut Net, parts: usize, fault: Fault) {
    let mut came = 0;
    while came < parts {
        let mail = net.mail.front_mut().expect("the copy goes on");
        came += usize::from(mail.1 == JOINER && is_part(&mail.2));
        spoil(&mut mail.2, fault);
        net.step();
    }
}

fn spoil(message: &mut Message, fault: Fault) {
    match (&mut message.body, fault) {
        (
            MessageBody::ResumeSnapshot {
                number, last_view, ..
            },
            Fault::ForgetsParts,
        ) => {
            message.body = MessageBody::LogPosition {
                number: *number,
                last_view: *last_view,
            };
        }
        (
            MessageBody::ChunkAcknowledgement(ChunkAcknowledgement {
                received_beyond, ..
            }),
            Fault::HearsOfNoGap,
        ) => *received_beyond = 0,
        _ => {}
    }
}

/// All that is on its way from and to the joiner is lost.
fn cut(net: &mut Net) {
    net.mail
        .retain(|(from, to, _)| *from != JOINER && *to != JOINER);
}

/// Time passes, and the joiner hears nothing and is not heard.
fn pass_cut_off(net: &mut Net, ms: u64) {
    for _ in 0..ms / 50 {
        net.now += 50;
        for n in 1..=4 {
            if !net.seat(n).up {
                continue;
            }
            let now = net.now;
            net.node(n).tick(now);
            net.drain(n);
        }
        cut(net);
        net.settle();
    }
}

/// Time passes, with a fault on the words.
fn pass(net: &mut Net, ms: u64, fault: Fault) {
    for _ in 0..ms / 50 {
        net.now += 50;
        for n in 1..=4 {
            let now = net.now;
            net.node(n).tick(now);
            net.drain(n);
        }
        while let Some(mail) = net.mail.front_mut() {
            spoil(&mut mail.2, fault);
            net.step();
        }
    }
}

/// The joiner holds all, by one snapshot.
fn assert_copied(net: &mut Net, what: &str) {
    let whole = net.words(1);
    assert_eq!(net.words(JOINER).len(), whole.len(), "{what}");
    assert!(net.words(JOINER) == whole, "{what}");
    assert_eq!(net.seat(JOINER).resets, 1, "{what}");
    assert!(net.node(JOINER).status().caught_up, "{what}");
}

#[test]
fn undisturbed_snapshot_is_sent_once() {
    let mut net = three_with_a_long_table();
    join(&mut net);
    net.settle();
    net.pass(500);
    assert_copied(&mut net, "calm");
    assert_eq!(parts_sent(&net), PARTS);
}

/// Breaks the link after so many parts, for some seconds; returns where the parts began that were
/// sent afterwards.
fn broken_off_after(parts: usize, fault: Fault) -> Vec<usize> {
    let mut net = three_with_a_long_table();
    join(&mut net);
    until_it_holds(&mut net, parts, fault);
    cut(&mut net);
    pass_cut_off(&mut net, 2_000);
    let before = net.said.len();
    pass(&mut net, 4_000, fault);
    assert_copied(&mut net, &format!("after {parts} parts, {fault:?}"));
    places_since(&net, before)
}

#[test]
fn interrupted_snapshot_resumes_at_any_chunk() {
    for parts in 1..PARTS {
        let places = broken_off_after(parts, Fault::None);
        let lowest = places.iter().min().copied();
        assert!(
            lowest >= Some(parts * CHUNK_BYTES),
            "{parts} parts had come: {places:?}"
        );
        // One may be sent by the sender's own time and by the taker's word.
        assert!(
            places.len() <= PARTS - parts + 2,
            "{parts} parts had come: {places:?}"
        );
    }
}

#[test]
fn restarted_receiver_starts_over_and_takes_nothing_twice() {
    for parts in [1, PARTS / 2, PARTS - 1] {
        let mut net = three_with_a_long_table();
        join(&mut net);
        until_it_holds(&mut net, parts, Fault::None);
        net.down(JOINER);
        net.back(JOINER);
        let now = net.now;
        net.node(JOINER)
            .install_view(now, view(2, &[(1, 1), (2, 1), (3, 1)], &[JOINER]));
        net.drain(JOINER);
        let before = net.said.len();
        net.pass(3_000);
        assert_copied(&mut net, &format!("taker restarted after {parts} parts"));
        let places = places_since(&net, before);
        let bound = PARTS..=PARTS + CHUNKS_IN_FLIGHT;
        assert!(
            bound.contains(&places.len()),
            "{parts} parts had come: {places:?}"
        );
    }
}

/// Where the parts begin that are sent in a new view, when six had come in the one before and the
/// table has changed since.
fn sent_in_a_new_view(fault: Fault) -> Vec<usize> {
    let mut net = three_with_a_long_table();
    join(&mut net);
    until_it_holds(&mut net, 6, fault);
    cut(&mut net);
    for n in 0..3 {
        assert!(net.propose(1, &format!("newer{n}")).is_some());
        pass_cut_off(&mut net, 50);
    }
    let before = net.said.len();
    net.enter(&view(3, &[(1, 1), (2, 1), (3, 1)], &[JOINER]));
    pass(&mut net, 2_000, fault);
    assert_copied(&mut net, &format!("new view, {fault:?}"));
    places_since(&net, before)
}

#[test]
fn snapshot_that_the_log_continues_is_kept_in_a_new_view() {
    let places = sent_in_a_new_view(Fault::None);
    assert_eq!(
        (places.len(), places.first()),
        (PARTS - 6, Some(&(6 * CHUNK_BYTES))),
        "{places:?}"
    );
}

#[test]
fn detects_a_receiver_that_forgets_its_chunks() {
    assert!(sent_in_a_new_view(Fault::ForgetsParts).len() > PARTS - 6);
}

#[test]
fn restarted_sender_resumes_the_same_snapshot() {
    for parts in 1..PARTS {
        let mut net = three_with_a_long_table();
        join(&mut net);
        until_it_holds(&mut net, parts, Fault::None);
        net.down(TAIL);
        pass_cut_off(&mut net, 1_000);
        net.back(TAIL);
        let before = net.said.len();
        net.pass(3_000);
        assert_copied(&mut net, &format!("sender restarted after {parts} parts"));
        let places = places_since(&net, before);
        assert!(
            places.iter().all(|at| *at >= parts * CHUNK_BYTES),
            "{parts} parts had come: {places:?}"
        );
    }
}

#[test]
fn restarted_sender_starts_over_with_another_snapshot() {
    for parts in [1, PARTS / 2, PARTS - 1] {
        let mut net = three_with_a_long_table();
        join(&mut net);
        until_it_holds(&mut net, parts, Fault::None);
        let late: Vec<_> = net
            .mail
            .iter()
            .filter(|mail| is_part(&mail.2))
            .cloned()
            .collect();
        cut(&mut net);
        // The joiner's link stands still; the table changes, and the tail comes back with it in its
        // snapshot.
        assert!(net.propose(1, "newer").is_some());
        pass_cut_off(&mut net, 500);
        let mut disk = RecoveredLog::default();
        net.node(TAIL)
            .snapshot_records()
            .into_iter()
            .for_each(|write| disk.replay(write));
        net.seat(TAIL).disk = disk;
        net.down(TAIL);
        net.back(TAIL);
        let before = net.said.len();
        // Late parts of the snapshot that is no more.
        net.mail.extend(late);
        net.pass(3_000);
        assert_eq!(net.words(JOINER), net.words(1));
        // The late parts may have made the old one whole.
        assert!(net.seat(JOINER).resets <= 2 && net.node(JOINER).status().caught_up);
        assert!(places_since(&net, before).contains(&0));
    }
}

#[test]
fn snapshot_resumes_in_a_new_view_with_the_same_and_another_sender() {
    for parts in 1..PARTS {
        for members in [
            vec![(1, 1), (2, 1), (3, 1)],
            vec![(1, 1), (2, 1)],
            vec![(3, 1), (1, 1)],
        ] {
            let mut net = three_with_a_long_table();
            join(&mut net);
            until_it_holds(&mut net, parts, Fault::None);
            let late: Vec<_> = net
                .mail
                .iter()
                .filter(|mail| is_part(&mail.2))
                .cloned()
                .collect();
            cut(&mut net);
            let before = net.said.len();
            net.enter(&view(3, &members, &[JOINER]));
            // What was on its way in the old view comes late, and counts for nothing.
            net.mail.extend(late);
            net.pass(3_000);
            let what = format!("{parts} parts, then {members:?}");
            assert_copied(&mut net, &what);
            let places = places_since(&net, before);
            assert_eq!(places.len(), PARTS - parts, "{what}: {places:?}");
        }
    }
}

#[test]
fn snapshot_is_dropped_by_a_process_that_left() {
    let mut net = three_with_a_long_table();
    join(&mut net);
    until_it_holds(&mut net, 6, Fault::None);
    cut(&mut net);
    // Left out, and joined again by another view: it begins anew, with one that holds what came
    // since.
    net.enter(&view(3, &[(1, 1), (2, 1), (3, 1)], &[]));
    net.settle();
    net.pass(500);
    assert!(net.propose(1, "newer").is_some());
    net.settle();
    net.pass(500);
    let before = net.said.len();
    net.enter(&view(4, &[(1, 1), (2, 1), (3, 1)], &[JOINER]));
    net.settle();
    net.pass(2_000);
    assert_copied(&mut net, "joined again");
    assert_eq!(places_since(&net, before).len(), PARTS);
}

/// Loses one part on its way; returns how many parts were sent in all.
fn sent_with_one_lost(lost: usize, fault: Fault) -> usize {
    let mut net = three_with_a_long_table();
    join(&mut net);
    let mut is_lost = false;
    let mut turns = 0;
    while turns < 400 {
        turns += 1;
        if net.mail.is_empty() {
            pass(&mut net, 50, fault);
            continue;
        }
        let mail = net.mail.front_mut().expect("a word");
        spoil(&mut mail.2, fault);
        let here = matches!(mail.2.body, MessageBody::SnapshotChunk(SnapshotChunk { offset, .. }) if offset as usize == lost * CHUNK_BYTES);
        if here && !is_lost {
            is_lost = true;
            net.mail.pop_front();
        } else {
            net.step();
        }
    }
    assert_copied(&mut net, &format!("part {lost} was lost"));
    parts_sent(&net)
}

#[test]
fn only_the_lost_chunk_is_resent() {
    for lost in 1..PARTS {
        assert_eq!(
            sent_with_one_lost(lost, Fault::None),
            PARTS + 1,
            "part {lost}"
        );
    }
    // Without the first one nothing says that there is a copy: those in flight with it are sent
    // again.
    assert!(sent_with_one_lost(0, Fault::None) <= PARTS + CHUNKS_IN_FLIGHT);
}

#[test]
fn detects_a_sender_that_ignores_gaps() {
    assert!((1..PARTS).any(|lost| sent_with_one_lost(lost, Fault::HearsOfNoGap) > PARTS + 1));
}

#[test]
fn duplicate_and_late_messages_start_nothing_twice() {
    let mut net = three_with_a_long_table();
    join(&mut net);
    let mut late: Vec<(u64, u64, Message)> = Vec::new();
    let mut turns = 0u64;
    while let Some(mail) = net.mail.front().cloned() {
        turns += 1;
        assert!(turns < 5_000, "it goes round for ever");
        net.step();
        if mail.0 != JOINER && mail.1 != JOINER {
            continue;
        }
        // All of it a second time, some at once, some much later.
        late.push(mail);
        if turns.is_multiple_of(3) {
            net.mail
                .push_back(late.swap_remove(turns as usize % late.len()));
        }
        if turns.is_multiple_of(40) {
            net.now += 50;
            for n in 1..=4 {
                let now = net.now;
                net.node(n).tick(now);
                net.drain(n);
            }
        }
    }
    net.pass(2_000);
    assert_copied(&mut net, "doubled");
    let sent = parts_sent(&net);
    // Each of the joiner's first words may have one part sent again, and what had come late some
    // more.
    assert!(sent <= PARTS + CHUNKS_IN_FLIGHT, "{sent} parts of {PARTS}");
    // And once more when all is there.
    net.mail.extend(late);
    net.pass(2_000);
    assert_copied(&mut net, "late");
    assert_eq!(parts_sent(&net), sent, "nothing is begun by what is late");
}

#[test]
fn chunks_in_flight_stay_within_the_window() {
    let mut net = three_with_a_long_table();
    join(&mut net);
    let mut most = 0;
    while net.step() {
        most = most.max(net.mail.iter().filter(|mail| is_part(&mail.2)).count());
    }
    assert_eq!(most, CHUNKS_IN_FLIGHT);
    // And to one that says again and again where its log ends, no more than to one that says it
    // once.
    let mut net = three_with_a_long_table();
    join(&mut net);
    let word = net
        .mail
        .iter()
        .find(|(from, _, _)| *from == JOINER)
        .cloned()
        .expect("what it has");
    while net.step() {
        net.mail.retain(|mail| !is_part(&mail.2));
    }
    assert_eq!(parts_sent(&net), CHUNKS_IN_FLIGHT);
    for _ in 0..20 {
        net.mail.push_back(word.clone());
        net.step();
    }
    assert_eq!(parts_sent(&net), CHUNKS_IN_FLIGHT);
}

#[test]
fn corrupt_chunk_counts_as_lost() {
    let mut net = three_with_a_long_table();
    join(&mut net);
    let mut spoilt = 0;
    let mut turns = 0;
    while turns < 600 {
        turns += 1;
        let Some((_, _, message)) = net.mail.front_mut() else {
            net.pass(50);
            continue;
        };
        if let MessageBody::SnapshotChunk(SnapshotChunk { offset, bytes, .. }) = &mut message.body {
            if *offset as usize / CHUNK_BYTES % 4 == 1 && spoilt < PARTS / 4 {
                let mut other = bytes.to_vec();
                other[100] ^= 1;
                *bytes = Bytes::from(other);
                spoilt += 1;
            }
        }
        net.step();
    }
    assert!(spoilt > 0);
    assert_copied(&mut net, "spoilt parts");
    assert!(parts_sent(&net) <= PARTS + spoilt);
}

/// A sender that names one snapshot and sends parts of another, each with a right checksum.
#[test]
fn chunks_of_two_snapshots_are_never_combined() {
    let mut net = three_with_a_long_table();
    join(&mut net);
    let mut turns = 0;
    let mut changed = false;
    while turns < 400 {
        turns += 1;
        let Some((_, _, message)) = net.mail.front_mut() else {
            net.pass(50);
            continue;
        };
        if let MessageBody::SnapshotChunk(SnapshotChunk {
            id, offset, bytes, ..
        }) = &message.body
        {
            if !changed && *offset as usize == 3 * CHUNK_BYTES {
                changed = true;
                let mut other = bytes.to_vec();
                other[..WORD_BYTES].copy_from_slice(b"other\nother\nother");
                message.body = MessageBody::snapshot_chunk(*id, *offset, Bytes::from(other));
            }
        }
        net.step();
    }
    assert!(changed);
    assert_copied(&mut net, "mixed");
    assert!(!net.words(JOINER).contains("other"));
}

/// Parts that no sender of ours sends: past the end, of another length, from the middle of a part.
#[test]
fn chunks_that_do_not_fit_their_snapshot_are_dropped() {
    let mut net = three_with_a_long_table();
    join(&mut net);
    until_it_holds(&mut net, 2, Fault::None);
    let first = net
        .mail
        .iter()
        .find_map(|(_, _, message)| match &message.body {
            MessageBody::SnapshotChunk(SnapshotChunk { id, bytes, .. }) => {
                Some((*id, bytes.clone()))
            }
            _ => None,
        });
    let (id, bytes) = first.expect("a part on its way");
    let held = net.words(JOINER);
    let all = u32::try_from(CHUNK_BYTES).expect("a part fits");
    let odd = [
        (2 * all + 1, bytes.clone()),
        (2 * all, bytes.slice(..100)),
        (2 * all, Bytes::from(vec![0; 2 * CHUNK_BYTES])),
        (id.total_bytes, Bytes::new()),
        (u32::MAX - 1, bytes.clone()),
        (id.total_bytes / all * all, bytes),
    ];
    for (offset, bytes) in odd {
        let now = net.now;
        let message = Message {
            view: 2,
            from: TAIL,
            to: JOINER,
            body: MessageBody::snapshot_chunk(id, offset, bytes),
        };
        net.node(JOINER)
            .handle_message(now, member(TAIL, 0).addr, message);
        net.drain(JOINER);
    }
    assert_eq!(net.words(JOINER), held);
    net.settle();
    net.pass(2_000);
    assert_copied(&mut net, "odd parts");
}
