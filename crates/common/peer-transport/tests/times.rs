//! Pauses, idleness and deadlines, with a clock that jumps to the next timer when there is nothing to do.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use bytes::Bytes;
use peer_transport::frame::{Frame, Item, Use};
use peer_transport::{
    CallError, Links, Me, CONNECT_WITHIN, HELLO_WITHIN, IDLE_CLOSE, LEAST_PAUSE, MOST_PAUSE,
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

/// Links that listen nowhere, and how many connections of theirs were lost.
fn caller() -> (Rc<Links>, Rc<Cell<usize>>) {
    let lost = Rc::new(Cell::new(0));
    let me = Me {
        addr: "127.0.0.1:1".parse().unwrap(),
        id: 1,
        node: "one".into(),
        zone: "zone".into(),
    };
    let count = lost.clone();
    (
        Links::with_events(me, move |_| count.set(count.get() + 1)),
        lost,
    )
}

/// How long nothing is tried after a connection has just been lost.
async fn pause(links: &Links, lost: &Cell<usize>, to: SocketAddr) -> Duration {
    let (start, before) = (Instant::now(), lost.get());
    loop {
        assert_eq!(
            links.call(to, ECHO, Bytes::new(), LONG).await,
            Err(CallError::NotSent)
        );
        if lost.get() > before {
            return start.elapsed();
        }
        advance(STEP).await;
    }
}

#[test]
fn pauses_grow_and_start_anew_after_a_success() {
    run_paused(async {
        let (links, lost) = caller();
        let (nobody, addr) = listener().await;
        drop(nobody);
        links
            .call(addr, ECHO, Bytes::new(), LONG)
            .await
            .unwrap_err();
        let mut pauses = Vec::new();
        for _ in 0..10 {
            pauses.push(pause(&links, &lost, addr).await);
        }
        for (failures, pause) in pauses.iter().enumerate() {
            let most = (LEAST_PAUSE + LEAST_PAUSE * (1 << failures)).min(MOST_PAUSE) + STEP;
            assert!(
                *pause >= LEAST_PAUSE && *pause <= most,
                "{pause:?} after {failures} more"
            );
        }
        assert!(
            pauses.iter().any(|pause| *pause > MOST_PAUSE / 2),
            "{pauses:?}"
        );

        let other = start(2, tokio::net::TcpListener::bind(addr).await.unwrap(), addr);
        advance(MOST_PAUSE).await;
        assert_eq!(
            links.call(addr, ECHO, Bytes::new(), LONG).await,
            Ok(Bytes::new())
        );
        other.serving.abort();
        let _ = other.serving.await;
        // The connection ends, and the next one can't be opened.
        while links.call(addr, ECHO, Bytes::new(), LONG).await != Err(CallError::NotSent) {}
        let pause = pause(&links, &lost, addr).await;
        assert!(pause <= 2 * LEAST_PAUSE + STEP, "{pause:?}");
    });
}

#[test]
fn an_idle_connection_is_closed_and_opened_again() {
    run_paused(async {
        let (links, lost) = caller();
        let (listener, addr) = listener().await;
        links.tell(addr, 5, Bytes::new());
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        raw.send(&hello(2, addr).encode()).await;
        let start = Instant::now();
        assert!(raw.frame().await.is_some());
        assert!(raw.frame().await.is_none());
        assert!(start.elapsed() >= IDLE_CLOSE && start.elapsed() <= IDLE_CLOSE * 3 / 2 + STEP);
        assert_eq!(lost.get(), 0);
        // There is no pause after that.
        links.tell(addr, 5, Bytes::new());
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        assert!(raw.frame().await.is_some());
        assert_eq!(links.counters().tells_dropped, 0);
    });
}

#[test]
fn a_connection_with_an_open_call_is_not_idle() {
    run_paused(async {
        let (links, _) = caller();
        let (listener, addr) = listener().await;
        let call = spawn_local({
            let links = links.clone();
            async move { links.call(addr, ECHO, Bytes::new(), 10 * IDLE_CLOSE).await }
        });
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        raw.send(&hello(2, addr).encode()).await;
        let Some(Frame { call: number, .. }) = raw.frame().await else {
            panic!("no call")
        };
        tokio::time::sleep(5 * IDLE_CLOSE).await;
        raw.send(&frame_bytes(&Frame {
            used: Use::Reply,
            kind: 0,
            call: number,
            body: Bytes::from("x"),
        }))
        .await;
        assert_eq!(call.await.unwrap(), Ok(Bytes::from("x")));
    });
}

#[test]
fn calls_end_at_their_time() {
    run_paused(async {
        let (links, lost) = caller();
        let (listener, addr) = listener().await;
        let within = Duration::from_millis(700);
        let start = Instant::now();
        // The other end takes it and says nothing.
        assert_eq!(
            links.call(addr, ECHO, Bytes::new(), within).await,
            Err(CallError::Unclear)
        );
        assert!(
            start.elapsed() >= within && start.elapsed() <= within + 2 * STEP,
            "{:?}",
            start.elapsed()
        );
        assert_eq!(lost.get(), 0);
        let mut raw = Raw::new(listener.accept().await.unwrap().0);
        // An answer that comes too late is passed over.
        raw.send(&hello(2, addr).encode()).await;
        let late = Frame {
            used: Use::Reply,
            kind: 0,
            call: raw.frame().await.unwrap().call,
            body: Bytes::new(),
        };
        raw.send(&frame_bytes(&late)).await;
        let call = spawn_local(async move { links.call(addr, ECHO, Bytes::new(), within).await });
        let number = raw.frame().await.unwrap().call;
        raw.send(&frame_bytes(&Frame {
            used: Use::Unanswered,
            kind: 0,
            call: number,
            body: Bytes::new(),
        }))
        .await;
        assert_eq!(call.await.unwrap(), Err(CallError::Unclear));
        assert_eq!(lost.get(), 0);
    });
}

/// A full queue of new connections says nothing to the first packet, as a machine behind a cut.
#[test]
fn a_connection_that_does_not_open_is_given_up() {
    run_paused(async {
        let (links, lost) = caller();
        let (listener, addr) = listener().await;
        // A queue of connections that is full drops the opening packet.
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
            links.call(addr, ECHO, Bytes::new(), LONG).await,
            Err(CallError::NotSent)
        );
        assert!(start.elapsed() >= CONNECT_WITHIN && start.elapsed() <= CONNECT_WITHIN + 2 * STEP);
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
fn a_connection_without_a_hello_is_ended() {
    run_paused(async {
        let one = process(1).await;
        let mut raw = Raw::connect(one.addr).await;
        assert!(matches!(raw.next().await, Some(Item::Hello(_))));
        let start = Instant::now();
        assert!(raw.next().await.is_none());
        assert!(start.elapsed() <= HELLO_WITHIN + STEP);
        assert!(one.events.borrow()[0].ends_with("no hello came"));
    });
}
