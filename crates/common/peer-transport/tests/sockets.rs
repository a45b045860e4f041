//! Processes that speak with each other over the loopback.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use bytes::Bytes;
use peer_transport::frame::{Frame, Item, Use, HEAD};
use peer_transport::{CallError, MOST_BODY, MOST_QUEUED, MOST_QUEUED_TELLS};
use std::time::Duration;
use support::*;
use tokio::task::spawn_local;

fn number(number: u32) -> Bytes {
    Bytes::copy_from_slice(&number.to_le_bytes())
}

#[test]
fn tells_come_in_order_and_say_whom_they_are_from() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        for at in 0..5000u32 {
            // Long ones between short ones: they are written from another place.
            let body = if at % 100 == 7 {
                [&at.to_le_bytes()[..], &[1; 9000]].concat().into()
            } else {
                number(at)
            };
            one.links.tell(other.addr, 5, body);
        }
        other
            .notes
            .until(|notes| notes.told.borrow().len() == 5000)
            .await;
        for (at, (from, kind, body)) in other.notes.told.borrow().iter().enumerate() {
            assert_eq!((&body[..4], *kind), (&(at as u32).to_le_bytes()[..], 5));
            assert_eq!(
                (from.addr, from.id, &*from.node, &*from.zone),
                (one.addr, 1, "node-1", "zone")
            );
        }
        assert_eq!(one.links.counters().tells_dropped, 0);
        assert_eq!(one.links.waiting(), 0);
        assert_eq!(one.links.peer(other.addr).unwrap().id, 2);
    });
}

#[test]
fn calls_are_answered_each_with_its_own() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        let calls: Vec<_> = (0..500)
            .map(|at| {
                let (links, to) = (one.links.clone(), other.addr);
                spawn_local(async move { links.call(to, ECHO, number(at), LONG).await })
            })
            .collect();
        for (at, call) in calls.into_iter().enumerate() {
            assert_eq!(call.await.unwrap(), Ok(number(at as u32)));
        }
        // Both ways at once, on a connection for each.
        assert_eq!(
            other.links.call(one.addr, ECHO, number(9), LONG).await,
            Ok(number(9))
        );
        let longest = Bytes::from(vec![3; MOST_BODY]);
        assert_eq!(
            one.links
                .call(other.addr, ECHO, longest.clone(), LONG)
                .await,
            Ok(longest)
        );
        let longer = Bytes::from(vec![3; MOST_BODY + 1]);
        assert_eq!(
            one.links.call(other.addr, ECHO, longer, LONG).await,
            Err(CallError::NotSent)
        );
    });
}

#[test]
fn a_dropped_reply_is_told_at_once() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        assert_eq!(
            one.links.call(other.addr, DROP, number(1), LONG).await,
            Err(CallError::Unclear)
        );
        // An answer that is too long is none.
        let much = number(MOST_BODY as u32 + 1);
        assert_eq!(
            one.links.call(other.addr, MUCH, much, LONG).await,
            Err(CallError::Unclear)
        );
        // The connection is as good as before.
        assert_eq!(
            one.links.call(other.addr, ECHO, number(2), LONG).await,
            Ok(number(2))
        );
        assert!(one.events.borrow().is_empty());
    });
}

#[test]
fn answers_may_come_in_any_order_and_late() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        let calls: Vec<_> = (0..3)
            .map(|at| {
                let (links, to) = (one.links.clone(), other.addr);
                spawn_local(async move { links.call(to, KEEP, number(at), LONG).await })
            })
            .collect();
        other
            .notes
            .until(|notes| notes.kept.borrow().len() == 3)
            .await;
        let kept = other.notes.kept.take();
        for (at, reply) in kept.into_iter().enumerate().rev() {
            reply.send(number(10 + at as u32));
        }
        for (at, call) in calls.into_iter().enumerate() {
            assert_eq!(call.await.unwrap(), Ok(number(10 + at as u32)));
        }
    });
}

#[test]
fn a_peer_that_dies_in_a_call_leaves_it_unclear() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        let call = {
            let (links, to) = (one.links.clone(), other.addr);
            spawn_local(async move { links.call(to, KEEP, number(1), LONG).await })
        };
        other
            .notes
            .until(|notes| !notes.kept.borrow().is_empty())
            .await;
        other.serving.abort();
        assert_eq!(call.await.unwrap(), Err(CallError::Unclear));
        // A reply that comes too late goes nowhere.
        other
            .notes
            .kept
            .take()
            .into_iter()
            .for_each(|reply| reply.send(number(2)));
    });
}

#[test]
fn nobody_there_is_not_sent_and_pauses() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        drop(listener);
        assert_eq!(
            one.links.call(addr, ECHO, number(1), LONG).await,
            Err(CallError::NotSent)
        );
        assert_eq!(one.events.borrow().len(), 1);
        // Within the pause nothing is tried.
        assert_eq!(
            one.links.call(addr, ECHO, number(1), LONG).await,
            Err(CallError::NotSent)
        );
        one.links.tell(addr, 5, number(1));
        assert_eq!(one.events.borrow().len(), 1);
        assert_eq!(one.links.counters().tells_dropped, 1);
        assert_eq!(one.links.counters().calls_refused, 1);
    });
}

#[test]
fn an_unknown_version_is_refused_by_both_sides() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        let mut newer = hello(9, addr).encode().to_vec();
        newer[4] = 7;

        let mut raw = Raw::connect(one.addr).await;
        raw.send(&newer).await;
        assert!(matches!(raw.next().await, Some(Item::Hello(_))));
        assert!(raw.next().await.is_none());

        let call = spawn_local({
            let links = one.links.clone();
            async move { links.call(addr, ECHO, number(1), LONG).await }
        });
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        assert!(raw.frame().await.is_some());
        raw.send(&newer).await;
        assert_eq!(call.await.unwrap(), Err(CallError::Unclear));
        let events = one.events.borrow();
        assert_eq!(events.len(), 2);
        for event in &*events {
            assert!(
                event.ends_with("the peer speaks version 7 of the frames, this program speaks 1"),
                "{event}"
            );
        }
        assert!(one.notes.told.borrow().is_empty());
    });
}

#[test]
fn an_oversized_frame_ends_the_connection_with_a_reason() {
    run(async {
        let one = process(1).await;
        let (_listener, addr) = listener().await;
        let mut raw = Raw::connect(one.addr).await;
        raw.send(&hello(9, addr).encode()).await;
        let tell = Frame {
            used: Use::Tell,
            kind: 5,
            call: 0,
            body: number(1),
        };
        raw.send(&frame_bytes(&tell)).await;
        let mut head = tell.head();
        head[..4].copy_from_slice(&(MOST_BODY as u32 + 1).to_le_bytes());
        raw.send(&head[..HEAD]).await;
        assert!(raw.frame().await.is_none());
        // What came whole before it counts.
        assert_eq!(one.notes.told.borrow().len(), 1);
        let reason = format!(
            "connection with {addr} refused: a frame of 8388609 bytes is announced, 8388608 are the most"
        );
        assert_eq!(*one.events.borrow(), [reason]);
    });
}

#[test]
fn answers_on_the_wrong_side_end_the_connection() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        let mut raw = Raw::connect(one.addr).await;
        raw.send(&hello(9, addr).encode()).await;
        raw.send(&frame_bytes(&Frame {
            used: Use::Reply,
            kind: 0,
            call: 3,
            body: Bytes::new(),
        }))
        .await;
        assert!(raw.frame().await.is_none());

        one.links.tell(addr, 5, number(1));
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        raw.send(&hello(9, addr).encode()).await;
        assert!(raw.frame().await.is_some());
        raw.send(&frame_bytes(&Frame {
            used: Use::Tell,
            kind: 5,
            call: 0,
            body: Bytes::new(),
        }))
        .await;
        assert!(raw.frame().await.is_none());
        assert_eq!(one.events.borrow().len(), 2);
    });
}

/// One peer that reads nothing fills its own queue; others are spoken to as before.
#[test]
fn a_peer_that_never_reads_blocks_nobody() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        let (deaf, addr) = listener().await;
        let body = Bytes::from(vec![1; 100_000]);
        for _ in 0..20 {
            one.links.tell(addr, 5, body.clone());
        }
        let _held = deaf.accept().await.unwrap();
        let mut sent = 20;
        while one.links.counters().tells_dropped == 0 {
            one.links.tell(addr, 5, body.clone());
            sent += 1;
            assert_eq!(
                one.links.call(other.addr, ECHO, number(sent), LONG).await,
                Ok(number(sent))
            );
            assert!(one.links.waiting() <= MOST_QUEUED_TELLS);
        }
        // A call that waits behind them was certainly not sent.
        let short = Duration::from_millis(1);
        assert_eq!(
            one.links.call(addr, ECHO, number(1), short).await,
            Err(CallError::NotSent)
        );
    });
}

/// Answers that nobody reads don't fill the memory: those without room are told as none.
#[test]
fn answers_wait_within_bounds() {
    run(async {
        let one = process(1).await;
        let (_listener, addr) = listener().await;
        let mut raw = Raw::connect(one.addr).await;
        raw.send(&hello(9, addr).encode()).await;
        for call in 0..8 {
            let body = number(MOST_BODY as u32);
            raw.send(&frame_bytes(&Frame {
                used: Use::Call,
                kind: MUCH,
                call,
                body,
            }))
            .await;
        }
        one.notes
            .until(|notes| notes.called.borrow().len() == 8)
            .await;
        assert!(one.links.waiting() <= MOST_QUEUED);
        let mut answers = Vec::new();
        while answers.len() < 8 {
            let Some(frame) = raw.frame().await else {
                break;
            };
            answers.push((frame.call, frame.used, frame.body.len()));
        }
        // A machine that is too busy to read for a second is cut off, and only then some may be missing.
        assert!(
            answers.len() == 8 || one.events.borrow()[0].contains("timed out"),
            "{answers:?}"
        );
        for (call, (number, used, len)) in answers.into_iter().enumerate() {
            let expected = if call < 2 {
                (Use::Reply, MOST_BODY)
            } else {
                (Use::Unanswered, 0)
            };
            assert_eq!((number as usize, used, len), (call, expected.0, expected.1));
        }
    });
}

#[test]
fn a_call_that_is_given_up_may_be_answered_later() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        assert_eq!(
            one.links.call(other.addr, ECHO, number(1), LONG).await,
            Ok(number(1))
        );
        let short = Duration::from_millis(20);
        assert_eq!(
            one.links.call(other.addr, KEEP, number(1), short).await,
            Err(CallError::Unclear)
        );
        other
            .notes
            .kept
            .take()
            .into_iter()
            .for_each(|reply| reply.send(number(2)));
        assert_eq!(
            one.links.call(other.addr, ECHO, number(3), LONG).await,
            Ok(number(3))
        );
    });
}

/// A peer that comes back with another identity is known by it from its first hello on.
#[test]
fn a_restarted_peer_is_known_by_its_new_identity() {
    run(async {
        let one = process(1).await;
        let (_listener, addr) = listener().await;
        let tell = |at| {
            frame_bytes(&Frame {
                used: Use::Tell,
                kind: 5,
                call: 0,
                body: number(at),
            })
        };
        let mut before = Raw::connect(one.addr).await;
        before
            .send(&[&hello(8, addr).encode()[..], &tell(1)].concat())
            .await;
        one.notes
            .until(|notes| notes.told.borrow().len() == 1)
            .await;
        let mut after = Raw::connect(one.addr).await;
        after
            .send(&[&hello(9, addr).encode()[..], &tell(2)].concat())
            .await;
        one.notes
            .until(|notes| notes.told.borrow().len() == 2)
            .await;
        // The older connection is over.
        assert!(before.frame().await.is_none());
        let ids: Vec<u64> = one
            .notes
            .told
            .borrow()
            .iter()
            .map(|(from, ..)| from.id)
            .collect();
        assert_eq!(ids, [8, 9]);
        assert_eq!(one.links.peer(addr).unwrap().id, 9);
    });
}

#[test]
fn tells_and_calls_to_oneself_go_the_same_way() {
    run(async {
        let one = process(1).await;
        assert!(one.links.local(one.addr));
        assert_eq!(
            one.links.call(one.addr, ECHO, number(1), LONG).await,
            Ok(number(1))
        );
        assert_eq!(
            one.links.call(one.addr, DROP, number(1), LONG).await,
            Err(CallError::Unclear)
        );
        for at in 0..100 {
            one.links.tell(one.addr, 5, number(at));
        }
        assert!(
            one.notes.told.borrow().is_empty(),
            "the handler isn't entered from within a tell"
        );
        one.notes
            .until(|notes| notes.told.borrow().len() == 100)
            .await;
        let told = one.notes.told.borrow();
        assert!(told
            .iter()
            .enumerate()
            .all(|(at, (from, _, body))| *body == number(at as u32) && from.id == 1));
    });
}

/// Everything that is queued in a turn goes out together.
#[test]
fn what_is_queued_in_a_turn_comes_in_one_piece() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        for at in 0..100 {
            one.links.tell(addr, 5, number(at));
        }
        let stream = listener.accept().await.unwrap().0;
        let mut buffer = vec![0; 64 << 10];
        let read = loop {
            stream.readable().await.unwrap();
            if let Ok(read) = stream.try_read(&mut buffer) {
                break read;
            }
        };
        let expected =
            hello(1, one.addr).encode().len() + "node-1".len() - "raw".len() + 100 * (HEAD + 4);
        assert_eq!(read, expected);
    });
}

#[test]
fn flush_waits_until_all_is_written() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        for _ in 0..1000 {
            one.links.tell(other.addr, 5, Bytes::from(vec![0; 2000]));
        }
        assert!(one.links.waiting() > 0);
        assert!(one.links.flush(LONG).await);
        assert_eq!(one.links.waiting(), 0);
        other
            .notes
            .until(|notes| notes.told.borrow().len() == 1000)
            .await;
        assert!(one.links.flush(Duration::ZERO).await);
    });
}

/// Dropping the links ends the connections; calls that are under way end with it.
#[test]
fn dropped_links_leave_nothing_behind() {
    run(async {
        let other = process(2).await;
        let (_listener, addr) = listener().await;
        let me = peer_transport::Me {
            addr,
            id: 1,
            node: "node-1".into(),
            zone: "zone".into(),
        };
        let links = peer_transport::Links::new(me);
        links.tell(other.addr, 5, number(1));
        other
            .notes
            .until(|notes| notes.told.borrow().len() == 1)
            .await;
        assert_eq!(other.links.peer(addr).unwrap().id, 1);
        drop(links);
        // A new connection is the only one then.
        let mut raw = Raw::connect(other.addr).await;
        raw.send(&hello(3, addr).encode()).await;
        assert!(matches!(raw.next().await, Some(Item::Hello(_))));
    });
}

/// A call and the other end of its connection, which is driven by hand and has read the call.
async fn called_by_hand(
    one: &Process,
    listener: &tokio::net::TcpListener,
    body: Bytes,
) -> (
    tokio::task::JoinHandle<Result<Bytes, CallError>>,
    Raw,
    Frame,
) {
    let (links, to) = (one.links.clone(), listener.local_addr().unwrap());
    let call = spawn_local(async move { links.call(to, ECHO, body, LONG).await });
    let mut raw = Raw::new(listener.accept().await.unwrap().0);
    raw.send(&hello(9, to).encode()).await;
    let frame = raw.frame().await.unwrap();
    (call, raw, frame)
}

fn reply(call: u32, body: Bytes) -> Vec<u8> {
    frame_bytes(&Frame {
        used: Use::Reply,
        kind: 0,
        call,
        body,
    })
}

/// Calls once more, after the pause that follows a failure.
async fn call_again(
    one: &Process,
    to: std::net::SocketAddr,
    body: Bytes,
) -> Result<Bytes, CallError> {
    for _ in 0..500 {
        match one.links.call(to, ECHO, body.clone(), LONG).await {
            Err(CallError::NotSent) => tokio::time::sleep(Duration::from_millis(5)).await,
            said => return said,
        }
    }
    Err(CallError::NotSent)
}

/// The peer answers a call twice, answers one that nobody made, and answers out of turn: each caller gets its own.
#[test]
fn surplus_answers_and_those_to_no_call_reach_nobody() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        let (first, mut raw, frame) = called_by_hand(&one, &listener, number(1)).await;
        let surplus = reply(frame.call, number(99));
        raw.send(
            &[
                &reply(frame.call, number(11))[..],
                &surplus,
                &surplus,
                &reply(77, number(98)),
            ]
            .concat(),
        )
        .await;
        assert_eq!(first.await.unwrap(), Ok(number(11)));
        let links = one.links.clone();
        let second = spawn_local(async move { links.call(addr, ECHO, number(2), LONG).await });
        let frame = raw.frame().await.unwrap();
        raw.send(&[&surplus[..], &reply(frame.call, number(12))].concat())
            .await;
        assert_eq!(second.await.unwrap(), Ok(number(12)));
    });
}

/// A peer ends its sending, is started again at its address, and the new one answers the number of a call to the old one.
#[test]
fn an_answer_to_a_call_of_an_earlier_connection_reaches_nobody() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        let (first, mut raw, before) = called_by_hand(&one, &listener, number(1)).await;
        tokio::io::AsyncWriteExt::shutdown(&mut raw.stream)
            .await
            .unwrap();
        assert_eq!(
            first.await.unwrap(),
            Err(CallError::Unclear),
            "it was written, and may have been acted on"
        );
        let answer = async {
            let mut raw = Raw::new(listener.accept().await.unwrap().0);
            raw.send(&hello(10, addr).encode()).await;
            let frame = raw.frame().await.unwrap();
            assert_ne!(frame.call, before.call, "a number is given once");
            raw.send(
                &[
                    reply(before.call, number(99)),
                    reply(frame.call, number(12)),
                ]
                .concat(),
            )
            .await;
            raw
        };
        let (said, _raw) = tokio::join!(call_again(&one, addr, number(2)), answer);
        assert_eq!(said, Ok(number(12)));
    });
}

/// A reset while one call is written whole and another in part: only the second has certainly not been received.
#[test]
fn a_call_that_was_written_in_part_is_not_sent_and_one_that_was_written_whole_is_unclear() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        let (whole, raw, _) = called_by_hand(&one, &listener, number(1)).await;
        let links = one.links.clone();
        let body = Bytes::from(vec![7; MOST_BODY]);
        let part = spawn_local(async move { links.call(addr, ECHO, body, LONG).await });
        // Nothing more is read here: what the system takes of it is far less than the whole.
        while one.links.waiting() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        socket2::SockRef::from(&raw.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(raw);
        assert_eq!(whole.await.unwrap(), Err(CallError::Unclear));
        assert_eq!(part.await.unwrap(), Err(CallError::NotSent));
        assert_eq!(one.links.waiting(), 0);
    });
}

// Everything starts at once: a process that was refused by one that came later waited for the end of its pause, though the
// other one had spoken to it by then.
#[test]
fn a_pause_ends_when_the_peer_shows_that_it_is_up() {
    run(async {
        let one = process(1).await;
        let (nobody, addr) = listener().await;
        drop(nobody);
        // The pauses grow.
        while one.links.counters().calls_refused < 20 {
            let refused = one.links.call(addr, ECHO, Bytes::new(), LONG).await;
            assert_eq!(refused, Err(CallError::NotSent));
            tokio::task::yield_now().await;
        }
        let other = start(2, tokio::net::TcpListener::bind(addr).await.unwrap(), addr);
        assert_eq!(
            one.links.call(addr, ECHO, Bytes::new(), LONG).await,
            Err(CallError::NotSent),
            "a pause"
        );
        other.links.tell(one.addr, 5, Bytes::new());
        one.notes
            .until(|notes| !notes.told.borrow().is_empty())
            .await;
        assert_eq!(
            one.links.call(addr, ECHO, Bytes::from("x"), LONG).await,
            Ok(Bytes::from("x"))
        );
    });
}

// The first packet of a connection that goes to a machine without power is lost, and the system repeats it only after a
// second. Here a listener with no room for it stands for that machine.
#[test]
fn an_attempt_that_gets_no_answer_has_another_one_beside_it() {
    run(async {
        let one = process(1).await;
        let full = tokio::net::TcpSocket::new_v4().unwrap();
        full.set_reuseaddr(true).unwrap();
        full.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let full = full.listen(1).unwrap();
        let addr = full.local_addr().unwrap();
        let fill = (0..4).map(|_| tokio::task::spawn_local(tokio::net::TcpStream::connect(addr)));
        let fill: Vec<_> = fill.collect();
        while fill.iter().filter(|stream| stream.is_finished()).count() < 2 {
            tokio::task::yield_now().await;
        }
        let links = one.links.clone();
        let call = async move { links.call(addr, ECHO, Bytes::from("x"), LONG).await };
        let call = tokio::task::spawn_local(call);
        tokio::task::yield_now().await;
        // From now on there is room for the next packet.
        drop(full);
        let listener = tokio::net::TcpSocket::new_v4().unwrap();
        listener.set_reuseaddr(true).unwrap();
        listener.bind(addr).unwrap();
        let other = start(2, listener.listen(64).unwrap(), addr);
        let began = std::time::Instant::now();
        assert_eq!(call.await.unwrap(), Ok(Bytes::from("x")));
        assert!(
            began.elapsed() < std::time::Duration::from_millis(900),
            "{:?}",
            began.elapsed()
        );
        drop((other, fill));
    });
}

/// What is refused is counted, whoever said it: a stranger, one of another version, one that answers where it should ask. What
/// came whole before it was handed over, once; what comes after it is nobody's.
#[test]
fn connections_that_are_refused_are_counted_and_give_nothing_half() {
    run(async {
        let process = process(1).await;
        let hello = hello(2, "127.0.0.1:1".parse().unwrap()).encode();
        let tell = frame_bytes(&Frame {
            used: Use::Tell,
            kind: 5,
            call: 0,
            body: number(7),
        });
        let reply = frame_bytes(&Frame {
            used: Use::Reply,
            kind: 0,
            call: 3,
            body: number(8),
        });
        let mut newer = hello.to_vec();
        newer[4] = newer[4].wrapping_add(1);
        let mut unknown = tell.clone();
        unknown[6] = 9;
        let mut long = tell.clone();
        long[..4].copy_from_slice(&u32::MAX.to_le_bytes());
        let spoilt: [Vec<u8>; 5] = [
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            newer,
            [&hello[..], &tell, &unknown, &tell].concat(),
            [&hello[..], &tell, &long, &tell].concat(),
            [&hello[..], &tell, &reply, &tell].concat(),
        ];
        for (refused, bytes) in (1u64..).zip(spoilt) {
            let mut peer = Raw::connect(process.addr).await;
            peer.send(&bytes).await;
            // Its end: the connection is closed on it.
            while peer.next().await.is_some() {}
            assert_eq!(process.links.counters().connections_refused, refused);
        }
        assert_eq!(
            process.notes.told.borrow().len(),
            3,
            "one of each that spoke well at first"
        );
    });
}
