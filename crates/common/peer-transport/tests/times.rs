//! Backoff, idleness and time-outs, with a clock that jumps to the next timer when there is nothing
//! to do.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use bytes::Bytes;
use peer_transport::frame::{Frame, FrameType, Item};
use peer_transport::{
    CallError, Peer, Transport, CONNECT_TIMEOUT, HELLO_TIMEOUT, IDLE_TIMEOUT,
    RECONNECT_BACKOFF_MAX, RECONNECT_BACKOFF_MIN,
};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::*;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{advance, Instant};

const STEP: Duration = Duration::from_millis(1);

fn run_paused(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(test));
}

/// A transport that listens nowhere, and how many of its connections were lost.
fn caller() -> (Rc<Transport>, Rc<Cell<usize>>) {
    let lost = Rc::new(Cell::new(0));
    let me = Peer {
        addr: "127.0.0.1:1".parse().unwrap(),
        id: 1,
        node: "one".into(),
        zone: "zone".into(),
    };
    let count = lost.clone();
    (
        Transport::with_events(me, move |_| count.set(count.get() + 1)),
        lost,
    )
}

/// How long nothing is tried after a connection has just been lost.
async fn backoff(transport: &Transport, lost: &Cell<usize>, to: SocketAddr) -> Duration {
    let (start, before) = (Instant::now(), lost.get());
    loop {
        assert_eq!(
            transport.call(to, ECHO, Bytes::new(), LONG).await,
            Err(CallError::NotSent)
        );
        if lost.get() > before {
            return start.elapsed();
        }
        advance(STEP).await;
    }
}

#[test]
fn backoff_grows_and_resets_after_a_success() {
    run_paused(async {
        let (transport, lost) = caller();
        let (nobody, addr) = listener().await;
        drop(nobody);
        transport
            .call(addr, ECHO, Bytes::new(), LONG)
            .await
            .unwrap_err();
        let mut backoffs = Vec::new();
        for _ in 0..10 {
            backoffs.push(backoff(&transport, &lost, addr).await);
        }
        for (failures, backoff) in backoffs.iter().enumerate() {
            let most = (RECONNECT_BACKOFF_MIN + RECONNECT_BACKOFF_MIN * (1 << failures))
                .min(RECONNECT_BACKOFF_MAX)
                + STEP;
            assert!(
                *backoff >= RECONNECT_BACKOFF_MIN && *backoff <= most,
                "{backoff:?} after {failures} more"
            );
        }
        assert!(
            backoffs
                .iter()
                .any(|backoff| *backoff > RECONNECT_BACKOFF_MAX / 2),
            "{backoffs:?}"
        );

        let other = start(2, tokio::net::TcpListener::bind(addr).await.unwrap(), addr);
        advance(RECONNECT_BACKOFF_MAX).await;
        assert_eq!(
            transport.call(addr, ECHO, Bytes::new(), LONG).await,
            Ok(Bytes::new())
        );
        other.serving.abort();
        let _ = other.serving.await;
        // The connection ends, and the next one can't be opened.
        while transport.call(addr, ECHO, Bytes::new(), LONG).await != Err(CallError::NotSent) {}
        let backoff = backoff(&transport, &lost, addr).await;
        assert!(backoff <= 2 * RECONNECT_BACKOFF_MIN + STEP, "{backoff:?}");
    });
}

#[test]
fn an_idle_connection_is_closed_and_opened_again() {
    run_paused(async {
        let (transport, lost) = caller();
        let (listener, addr) = listener().await;
        transport.send(addr, 5, Bytes::new());
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        raw.send(&hello(2, addr).encode()).await;
        let start = Instant::now();
        assert!(raw.frame().await.is_some());
        assert!(raw.frame().await.is_none());
        assert!(start.elapsed() >= IDLE_TIMEOUT && start.elapsed() <= IDLE_TIMEOUT * 3 / 2 + STEP);
        assert_eq!(lost.get(), 0);
        // There is no backoff after that.
        transport.send(addr, 5, Bytes::new());
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        assert!(raw.frame().await.is_some());
        assert_eq!(transport.counters().messages_dropped, 0);
    });
}

#[test]
fn a_connection_with_an_open_call_is_not_idle() {
    run_paused(async {
        let (transport, _) = caller();
        let (listener, addr) = listener().await;
        let call = spawn_local({
            let transport = transport.clone();
            async move {
                transport
                    .call(addr, ECHO, Bytes::new(), 10 * IDLE_TIMEOUT)
                    .await
            }
        });
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        raw.send(&hello(2, addr).encode()).await;
        let Some(Frame {
            call_id: number, ..
        }) = raw.frame().await
        else {
            panic!("no call")
        };
        tokio::time::sleep(5 * IDLE_TIMEOUT).await;
        raw.send(&frame_bytes(&Frame {
            frame_type: FrameType::Reply,
            kind: 0,
            call_id: number,
            body: Bytes::from("x"),
        }))
        .await;
        assert_eq!(call.await.unwrap(), Ok(Bytes::from("x")));
    });
}

#[test]
fn calls_time_out() {
    run_paused(async {
        let (transport, lost) = caller();
        let (listener, addr) = listener().await;
        let within = Duration::from_millis(700);
        let start = Instant::now();
        // The other end receives it and sends nothing.
        assert_eq!(
            transport.call(addr, ECHO, Bytes::new(), within).await,
            Err(CallError::Unknown)
        );
        assert!(
            start.elapsed() >= within && start.elapsed() <= within + 2 * STEP,
            "{:?}",
            start.elapsed()
        );
        assert_eq!(lost.get(), 0);
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        // A reply that comes too late is ignored.
        raw.send(&hello(2, addr).encode()).await;
        let late = Frame {
            frame_type: FrameType::Reply,
            kind: 0,
            call_id: raw.frame().await.unwrap().call_id,
            body: Bytes::new(),
        };
        raw.send(&frame_bytes(&late)).await;
        let call =
            spawn_local(async move { transport.call(addr, ECHO, Bytes::new(), within).await });
        let number = raw.frame().await.unwrap().call_id;
        raw.send(&frame_bytes(&Frame {
            frame_type: FrameType::NoReply,
            kind: 0,
            call_id: number,
            body: Bytes::new(),
        }))
        .await;
        assert_eq!(call.await.unwrap(), Err(CallError::Unknown));
        assert_eq!(lost.get(), 0);
    });
}

/// A full backlog doesn't answer the first packet, like a machine behind a partition.
#[test]
fn connecting_times_out() {
    run_paused(async {
        let (transport, lost) = caller();
        let (listener, addr) = listener().await;
        // A full backlog drops the opening packet.
        let mut held = Vec::new();
        drop(listener);
        let full = std::net::TcpListener::from(small_queue(addr));
        loop {
            let connect = tokio::net::TcpStream::connect(addr);
            match tokio::time::timeout(Duration::from_millis(200), connect).await {
                Ok(stream) => held.push(stream.unwrap()),
                Err(_) => break,
            }
        }
        let start = Instant::now();
        assert_eq!(
            transport.call(addr, ECHO, Bytes::new(), LONG).await,
            Err(CallError::NotSent)
        );
        assert!(
            start.elapsed() >= CONNECT_TIMEOUT && start.elapsed() <= CONNECT_TIMEOUT + 2 * STEP
        );
        assert_eq!(lost.get(), 1);
        drop(full);
    });
}

fn small_queue(addr: SocketAddr) -> socket2::Socket {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&addr.into()).unwrap();
    socket.listen(0).unwrap();
    socket
}

#[test]
fn a_connection_without_a_hello_times_out() {
    run_paused(async {
        let one = process(1).await;
        let mut raw = Raw::connect(one.addr).await;
        assert!(matches!(raw.next().await, Some(Item::Hello(_))));
        let start = Instant::now();
        assert!(raw.next().await.is_none());
        assert!(start.elapsed() <= HELLO_TIMEOUT + STEP);
        assert!(one.events.borrow()[0].ends_with("no hello received"));
    });
}
