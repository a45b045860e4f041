//! Processes that exchange frames over the loopback.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use bytes::Bytes;
use peer_transport::frame::{Frame, FrameType, Item, HEADER_BYTES};
use peer_transport::{CallError, MAX_BODY_BYTES, MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGE_BYTES};
use std::time::Duration;
use support::*;
use tokio::task::spawn_local;

fn number(number: u32) -> Bytes {
    Bytes::copy_from_slice(&number.to_le_bytes())
}

#[test]
fn messages_arrive_in_order_with_their_sender() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        for at in 0..5000u32 {
            // Long bodies between short ones: they aren't gathered.
            let body = if at % 100 == 7 {
                [&at.to_le_bytes()[..], &[1; 9000]].concat().into()
            } else {
                number(at)
            };
            one.transport.send(other.addr, 5, body);
        }
        other
            .received
            .until(|received| received.messages.borrow().len() == 5000)
            .await;
        for (at, (from, kind, body)) in other.received.messages.borrow().iter().enumerate() {
            assert_eq!((&body[..4], *kind), (&(at as u32).to_le_bytes()[..], 5));
            assert_eq!(
                (from.addr, from.id, &*from.node, &*from.zone),
                (one.addr, 1, "node-1", "zone")
            );
        }
        assert_eq!(one.transport.counters().messages_dropped, 0);
        assert_eq!(one.transport.queued_bytes(), 0);
        assert_eq!(one.transport.peer(other.addr).unwrap().id, 2);
    });
}

#[test]
fn each_call_gets_its_own_reply() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        let calls: Vec<_> = (0..500)
            .map(|at| {
                let (transport, to) = (one.transport.clone(), other.addr);
                spawn_local(async move { transport.call(to, ECHO, number(at), LONG).await })
            })
            .collect();
        for (at, call) in calls.into_iter().enumerate() {
            assert_eq!(call.await.unwrap(), Ok(number(at as u32)));
        }
        // The other direction, on a connection of its own.
        assert_eq!(
            other.transport.call(one.addr, ECHO, number(9), LONG).await,
            Ok(number(9))
        );
        let longest = Bytes::from(vec![3; MAX_BODY_BYTES]);
        assert_eq!(
            one.transport
                .call(other.addr, ECHO, longest.clone(), LONG)
                .await,
            Ok(longest)
        );
        let longer = Bytes::from(vec![3; MAX_BODY_BYTES + 1]);
        assert_eq!(
            one.transport.call(other.addr, ECHO, longer, LONG).await,
            Err(CallError::NotSent)
        );
    });
}

#[test]
fn a_dropped_reply_ends_the_call_at_once() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        assert_eq!(
            one.transport.call(other.addr, DROP, number(1), LONG).await,
            Err(CallError::Unknown)
        );
        // A reply that is too long counts as none.
        let much = number(MAX_BODY_BYTES as u32 + 1);
        assert_eq!(
            one.transport.call(other.addr, MUCH, much, LONG).await,
            Err(CallError::Unknown)
        );
        // The connection still works.
        assert_eq!(
            one.transport.call(other.addr, ECHO, number(2), LONG).await,
            Ok(number(2))
        );
        assert!(one.events.borrow().is_empty());
    });
}

#[test]
fn replies_may_come_out_of_order() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        let calls: Vec<_> = (0..3)
            .map(|at| {
                let (transport, to) = (one.transport.clone(), other.addr);
                spawn_local(async move { transport.call(to, DEFER, number(at), LONG).await })
            })
            .collect();
        other
            .received
            .until(|received| received.replies.borrow().len() == 3)
            .await;
        let kept = other.received.replies.take();
        for (at, reply) in kept.into_iter().enumerate().rev() {
            reply.send(number(10 + at as u32));
        }
        for (at, call) in calls.into_iter().enumerate() {
            assert_eq!(call.await.unwrap(), Ok(number(10 + at as u32)));
        }
    });
}

#[test]
fn a_peer_that_dies_in_a_call_leaves_its_outcome_unknown() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        let call = {
            let (transport, to) = (one.transport.clone(), other.addr);
            spawn_local(async move { transport.call(to, DEFER, number(1), LONG).await })
        };
        other
            .received
            .until(|received| !received.replies.borrow().is_empty())
            .await;
        other.serving.abort();
        assert_eq!(call.await.unwrap(), Err(CallError::Unknown));
        // A reply to an ended call is ignored.
        other
            .received
            .replies
            .take()
            .into_iter()
            .for_each(|reply| reply.send(number(2)));
    });
}

#[test]
fn a_refused_connection_is_not_sent_and_backs_off() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        drop(listener);
        assert_eq!(
            one.transport.call(addr, ECHO, number(1), LONG).await,
            Err(CallError::NotSent)
        );
        assert_eq!(one.events.borrow().len(), 1);
        // In the backoff nothing is tried.
        assert_eq!(
            one.transport.call(addr, ECHO, number(1), LONG).await,
            Err(CallError::NotSent)
        );
        one.transport.send(addr, 5, number(1));
        assert_eq!(one.events.borrow().len(), 1);
        assert_eq!(one.transport.counters().messages_dropped, 1);
        assert_eq!(one.transport.counters().calls_rejected, 1);
    });
}

#[test]
fn an_unsupported_version_is_rejected_by_both_sides() {
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
            let transport = one.transport.clone();
            async move { transport.call(addr, ECHO, number(1), LONG).await }
        });
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        assert!(raw.frame().await.is_some());
        raw.send(&newer).await;
        assert_eq!(call.await.unwrap(), Err(CallError::Unknown));
        let events = one.events.borrow();
        assert_eq!(events.len(), 2);
        for event in &*events {
            assert!(
                event.ends_with("unsupported protocol version 7, expected 1"),
                "{event}"
            );
        }
        assert!(one.received.messages.borrow().is_empty());
    });
}

#[test]
fn an_oversized_frame_ends_the_connection_with_a_reason() {
    run(async {
        let one = process(1).await;
        let (_listener, addr) = listener().await;
        let mut raw = Raw::connect(one.addr).await;
        raw.send(&hello(9, addr).encode()).await;
        let message = Frame {
            frame_type: FrameType::OneWay,
            kind: 5,
            call_id: 0,
            body: number(1),
        };
        raw.send(&frame_bytes(&message)).await;
        let mut head = message.header();
        head[..4].copy_from_slice(&(MAX_BODY_BYTES as u32 + 1).to_le_bytes());
        raw.send(&head[..HEADER_BYTES]).await;
        assert!(raw.frame().await.is_none());
        // The complete frame before it counts.
        assert_eq!(one.received.messages.borrow().len(), 1);
        let reason = format!(
            "connection with {addr} rejected: frame body of 8388609 bytes exceeds the limit of 8388608"
        );
        assert_eq!(*one.events.borrow(), [reason]);
    });
}

#[test]
fn frames_in_the_wrong_direction_end_the_connection() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        let mut raw = Raw::connect(one.addr).await;
        raw.send(&hello(9, addr).encode()).await;
        raw.send(&frame_bytes(&Frame {
            frame_type: FrameType::Reply,
            kind: 0,
            call_id: 3,
            body: Bytes::new(),
        }))
        .await;
        assert!(raw.frame().await.is_none());

        one.transport.send(addr, 5, number(1));
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        raw.send(&hello(9, addr).encode()).await;
        assert!(raw.frame().await.is_some());
        raw.send(&frame_bytes(&Frame {
            frame_type: FrameType::OneWay,
            kind: 5,
            call_id: 0,
            body: Bytes::new(),
        }))
        .await;
        assert!(raw.frame().await.is_none());
        assert_eq!(one.events.borrow().len(), 2);
    });
}

/// A peer that reads nothing fills its own queue; others are reached as before.
#[test]
fn a_peer_that_never_reads_blocks_no_other() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        let (deaf, addr) = listener().await;
        let body = Bytes::from(vec![1; 100_000]);
        for _ in 0..20 {
            one.transport.send(addr, 5, body.clone());
        }
        let _held = deaf.accept().await.unwrap();
        let mut sent = 20;
        while one.transport.counters().messages_dropped == 0 {
            one.transport.send(addr, 5, body.clone());
            sent += 1;
            assert_eq!(
                one.transport
                    .call(other.addr, ECHO, number(sent), LONG)
                    .await,
                Ok(number(sent))
            );
            assert!(one.transport.queued_bytes() <= MAX_QUEUED_MESSAGE_BYTES);
        }
        // A call that is queued behind them was certainly not sent.
        let short = Duration::from_millis(1);
        assert_eq!(
            one.transport.call(addr, ECHO, number(1), short).await,
            Err(CallError::NotSent)
        );
    });
}

/// Replies that nobody reads don't fill the memory: those that don't fit are replaced by no reply.
#[test]
fn queued_replies_are_bounded() {
    run(async {
        let one = process(1).await;
        let (_listener, addr) = listener().await;
        let mut raw = Raw::connect(one.addr).await;
        raw.send(&hello(9, addr).encode()).await;
        for call_id in 0..8 {
            let body = number(MAX_BODY_BYTES as u32);
            raw.send(&frame_bytes(&Frame {
                frame_type: FrameType::Call,
                kind: MUCH,
                call_id,
                body,
            }))
            .await;
        }
        one.received
            .until(|received| received.called.borrow().len() == 8)
            .await;
        assert!(one.transport.queued_bytes() <= MAX_QUEUED_BYTES);
        let mut answers = Vec::new();
        while answers.len() < 8 {
            let Some(frame) = raw.frame().await else {
                break;
            };
            answers.push((frame.call_id, frame.frame_type, frame.body.len()));
        }
        // A machine that is too busy to read for a second is disconnected, and only then some may
        // be missing.
        assert!(
            answers.len() == 8 || one.events.borrow()[0].contains("timed out"),
            "{answers:?}"
        );
        for (call, (number, frame_type, len)) in answers.into_iter().enumerate() {
            let expected = if call < 2 {
                (FrameType::Reply, MAX_BODY_BYTES)
            } else {
                (FrameType::NoReply, 0)
            };
            assert_eq!(
                (number as usize, frame_type, len),
                (call, expected.0, expected.1)
            );
        }
    });
}

#[test]
fn a_late_reply_to_an_abandoned_call_is_ignored() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        assert_eq!(
            one.transport.call(other.addr, ECHO, number(1), LONG).await,
            Ok(number(1))
        );
        let short = Duration::from_millis(20);
        assert_eq!(
            one.transport
                .call(other.addr, DEFER, number(1), short)
                .await,
            Err(CallError::Unknown)
        );
        other
            .received
            .replies
            .take()
            .into_iter()
            .for_each(|reply| reply.send(number(2)));
        assert_eq!(
            one.transport.call(other.addr, ECHO, number(3), LONG).await,
            Ok(number(3))
        );
    });
}

/// A peer that restarts with another identity is known by it from its first hello on.
#[test]
fn a_restarted_peer_is_known_by_its_new_identity() {
    run(async {
        let one = process(1).await;
        let (_listener, addr) = listener().await;
        let message = |at| {
            frame_bytes(&Frame {
                frame_type: FrameType::OneWay,
                kind: 5,
                call_id: 0,
                body: number(at),
            })
        };
        let mut before = Raw::connect(one.addr).await;
        before
            .send(&[&hello(8, addr).encode()[..], &message(1)].concat())
            .await;
        one.received
            .until(|received| received.messages.borrow().len() == 1)
            .await;
        let mut after = Raw::connect(one.addr).await;
        after
            .send(&[&hello(9, addr).encode()[..], &message(2)].concat())
            .await;
        one.received
            .until(|received| received.messages.borrow().len() == 2)
            .await;
        // The older connection is closed.
        assert!(before.frame().await.is_none());
        let ids: Vec<u64> = one
            .received
            .messages
            .borrow()
            .iter()
            .map(|(from, ..)| from.id)
            .collect();
        assert_eq!(ids, [8, 9]);
        assert_eq!(one.transport.peer(addr).unwrap().id, 9);
    });
}

#[test]
fn messages_and_calls_to_itself_reach_the_own_handler() {
    run(async {
        let one = process(1).await;
        assert!(one.transport.is_local(one.addr));
        assert_eq!(
            one.transport.call(one.addr, ECHO, number(1), LONG).await,
            Ok(number(1))
        );
        assert_eq!(
            one.transport.call(one.addr, DROP, number(1), LONG).await,
            Err(CallError::Unknown)
        );
        for at in 0..100 {
            one.transport.send(one.addr, 5, number(at));
        }
        assert!(
            one.received.messages.borrow().is_empty(),
            "the handler isn't entered from within send"
        );
        one.received
            .until(|received| received.messages.borrow().len() == 100)
            .await;
        let told = one.received.messages.borrow();
        assert!(told
            .iter()
            .enumerate()
            .all(|(at, (from, _, body))| *body == number(at as u32) && from.id == 1));
    });
}

/// Everything that is queued in a turn of the event loop goes out together.
#[test]
fn frames_queued_in_a_turn_go_out_in_one_write() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        for at in 0..100 {
            one.transport.send(addr, 5, number(at));
        }
        let stream = listener.accept().await.unwrap().0;
        let mut buffer = vec![0; 64 << 10];
        let read = loop {
            stream.readable().await.unwrap();
            if let Ok(read) = stream.try_read(&mut buffer) {
                break read;
            }
        };
        let expected = hello(1, one.addr).encode().len() + "node-1".len() - "raw".len()
            + 100 * (HEADER_BYTES + 4);
        assert_eq!(read, expected);
    });
}

#[test]
fn flush_waits_until_all_is_written() {
    run(async {
        let (one, other) = (process(1).await, process(2).await);
        for _ in 0..1000 {
            one.transport
                .send(other.addr, 5, Bytes::from(vec![0; 2000]));
        }
        assert!(one.transport.queued_bytes() > 0);
        assert!(one.transport.flush(LONG).await);
        assert_eq!(one.transport.queued_bytes(), 0);
        other
            .received
            .until(|received| received.messages.borrow().len() == 1000)
            .await;
        assert!(one.transport.flush(Duration::ZERO).await);
    });
}

/// Dropping the transport ends its connections.
#[test]
fn a_dropped_transport_closes_its_connections() {
    run(async {
        let other = process(2).await;
        let (_listener, addr) = listener().await;
        let me = peer_transport::Peer {
            addr,
            id: 1,
            node: "node-1".into(),
            zone: "zone".into(),
        };
        let transport = peer_transport::Transport::new(me);
        transport.send(other.addr, 5, number(1));
        other
            .received
            .until(|received| received.messages.borrow().len() == 1)
            .await;
        assert_eq!(other.transport.peer(addr).unwrap().id, 1);
        drop(transport);
        // A new connection is the only one then.
        let mut raw = Raw::connect(other.addr).await;
        raw.send(&hello(3, addr).encode()).await;
        assert!(matches!(raw.next().await, Some(Item::Hello(_))));
    });
}

/// A call and the other end of its connection, which is driven by the test and has read the call.
async fn open_call(
    one: &Process,
    listener: &tokio::net::TcpListener,
    body: Bytes,
) -> (
    tokio::task::JoinHandle<Result<Bytes, CallError>>,
    Raw,
    Frame,
) {
    let (transport, to) = (one.transport.clone(), listener.local_addr().unwrap());
    let call = spawn_local(async move { transport.call(to, ECHO, body, LONG).await });
    let mut raw = Raw::new(listener.accept().await.unwrap().0);
    raw.send(&hello(9, to).encode()).await;
    let frame = raw.frame().await.unwrap();
    (call, raw, frame)
}

fn reply(call_id: u32, body: Bytes) -> Vec<u8> {
    frame_bytes(&Frame {
        frame_type: FrameType::Reply,
        kind: 0,
        call_id,
        body,
    })
}

/// Calls once more, after the backoff that follows a failure.
async fn call_again(
    one: &Process,
    to: std::net::SocketAddr,
    body: Bytes,
) -> Result<Bytes, CallError> {
    for _ in 0..500 {
        match one.transport.call(to, ECHO, body.clone(), LONG).await {
            Err(CallError::NotSent) => tokio::time::sleep(Duration::from_millis(5)).await,
            said => return said,
        }
    }
    Err(CallError::NotSent)
}

/// The peer replies twice, replies to a call that nobody made, and out of order: each caller gets
/// its own reply.
#[test]
fn surplus_replies_are_ignored() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        let (first, mut raw, frame) = open_call(&one, &listener, number(1)).await;
        let surplus = reply(frame.call_id, number(99));
        raw.send(
            &[
                &reply(frame.call_id, number(11))[..],
                &surplus,
                &surplus,
                &reply(77, number(98)),
            ]
            .concat(),
        )
        .await;
        assert_eq!(first.await.unwrap(), Ok(number(11)));
        let transport = one.transport.clone();
        let second = spawn_local(async move { transport.call(addr, ECHO, number(2), LONG).await });
        let frame = raw.frame().await.unwrap();
        raw.send(&[&surplus[..], &reply(frame.call_id, number(12))].concat())
            .await;
        assert_eq!(second.await.unwrap(), Ok(number(12)));
    });
}

/// A peer shuts its sending side, restarts at its address, and the new one replies to the id of a
/// call to the old one.
#[test]
fn a_reply_to_a_call_of_an_earlier_connection_is_ignored() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        let (first, mut raw, before) = open_call(&one, &listener, number(1)).await;
        tokio::io::AsyncWriteExt::shutdown(&mut raw.stream)
            .await
            .unwrap();
        assert_eq!(
            first.await.unwrap(),
            Err(CallError::Unknown),
            "it was written, and may have been acted on"
        );
        let answer = async {
            let mut raw = Raw::new(listener.accept().await.unwrap().0);
            raw.send(&hello(10, addr).encode()).await;
            let frame = raw.frame().await.unwrap();
            assert_ne!(frame.call_id, before.call_id, "an id is given once");
            raw.send(
                &[
                    reply(before.call_id, number(99)),
                    reply(frame.call_id, number(12)),
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

/// A reset while one call is completely written and another partly: only the second has certainly
/// not been received.
#[test]
fn a_partly_written_call_is_not_sent_and_a_completely_written_one_is_unknown() {
    run(async {
        let one = process(1).await;
        let (listener, addr) = listener().await;
        let (whole, raw, _) = open_call(&one, &listener, number(1)).await;
        let transport = one.transport.clone();
        let body = Bytes::from(vec![7; MAX_BODY_BYTES]);
        let part = spawn_local(async move { transport.call(addr, ECHO, body, LONG).await });
        // Nothing more is read here: the system takes far less than all of it.
        while one.transport.queued_bytes() == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        socket2::SockRef::from(&raw.stream)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        drop(raw);
        assert_eq!(whole.await.unwrap(), Err(CallError::Unknown));
        assert_eq!(part.await.unwrap(), Err(CallError::NotSent));
        assert_eq!(one.transport.queued_bytes(), 0);
    });
}

// Regression: when everything starts at once, a process that was refused by one that came later
// waited for the end of its backoff, though the other one had connected to it by then.
#[test]
fn a_backoff_ends_when_the_peer_connects() {
    run(async {
        let one = process(1).await;
        let (nobody, addr) = listener().await;
        drop(nobody);
        // The backoff grows.
        while one.transport.counters().calls_rejected < 20 {
            let refused = one.transport.call(addr, ECHO, Bytes::new(), LONG).await;
            assert_eq!(refused, Err(CallError::NotSent));
            tokio::task::yield_now().await;
        }
        let other = start(2, tokio::net::TcpListener::bind(addr).await.unwrap(), addr);
        assert_eq!(
            one.transport.call(addr, ECHO, Bytes::new(), LONG).await,
            Err(CallError::NotSent),
            "a backoff"
        );
        other.transport.send(one.addr, 5, Bytes::new());
        one.received
            .until(|received| !received.messages.borrow().is_empty())
            .await;
        assert_eq!(
            one.transport.call(addr, ECHO, Bytes::from("x"), LONG).await,
            Ok(Bytes::from("x"))
        );
    });
}

// Regression: the first packet of a connection to a machine without power is lost, and the system
// repeats it only after a second. Here a listener with a full backlog stands for that machine.
#[test]
fn an_unanswered_connection_attempt_is_hedged() {
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
        let transport = one.transport.clone();
        let call = async move { transport.call(addr, ECHO, Bytes::from("x"), LONG).await };
        let call = tokio::task::spawn_local(call);
        tokio::task::yield_now().await;
        // From now on the backlog has room for the next packet.
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

/// Rejected connections are counted: a stranger's, of another version, with a frame in the wrong
/// direction. Complete frames before the rejected bytes were delivered, once; nothing after them
/// is.
#[test]
fn rejected_connections_are_counted_and_deliver_complete_frames_only() {
    run(async {
        let process = process(1).await;
        let hello = hello(2, "127.0.0.1:1".parse().unwrap()).encode();
        let message = frame_bytes(&Frame {
            frame_type: FrameType::OneWay,
            kind: 5,
            call_id: 0,
            body: number(7),
        });
        let reply = frame_bytes(&Frame {
            frame_type: FrameType::Reply,
            kind: 0,
            call_id: 3,
            body: number(8),
        });
        let mut newer = hello.to_vec();
        newer[4] = newer[4].wrapping_add(1);
        let mut unknown = message.clone();
        unknown[6] = 9;
        let mut long = message.clone();
        long[..4].copy_from_slice(&u32::MAX.to_le_bytes());
        let corrupt: [Vec<u8>; 5] = [
            b"GET / HTTP/1.1\r\n\r\n".to_vec(),
            newer,
            [&hello[..], &message, &unknown, &message].concat(),
            [&hello[..], &message, &long, &message].concat(),
            [&hello[..], &message, &reply, &message].concat(),
        ];
        for (refused, bytes) in (1u64..).zip(corrupt) {
            let mut peer = Raw::connect(process.addr).await;
            peer.send(&bytes).await;
            // The connection is closed on it.
            while peer.next().await.is_some() {}
            assert_eq!(process.transport.counters().connections_rejected, refused);
        }
        assert_eq!(
            process.received.messages.borrow().len(),
            3,
            "one of each that began correctly"
        );
    });
}
