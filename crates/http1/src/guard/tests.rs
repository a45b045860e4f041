//! What each client's connection waits for.

use super::*;
use std::future::Future;
use std::task::Context;
use tokio::time::advance;

fn is_cut(guard: &Guard) -> bool {
    let waker = std::task::Waker::noop();
    std::pin::pin!(guard.cut()).poll(&mut Context::from_waker(waker)).is_ready()
}

/// Guards against a usual client that is cut between its requests or amid one.
#[tokio::test(start_paused = true)]
async fn only_a_request_that_does_not_come_ends_a_connection() {
    let guards = Guards::default();
    let [asking, answering, idle, again] = [(); 4].map(|()| guards.enter().1);
    answering.answering();
    idle.idle();
    advance(REQUEST_WAIT).await;
    again.idle();
    again.heard(b"P");
    advance(LATER).await;
    guards.sweep();
    assert_eq!([&asking, &answering, &idle, &again].map(|g| is_cut(g)), [true, false, false, false]);
    advance(REQUEST_WAIT).await;
    guards.sweep();
    assert!(is_cut(&again) && !is_cut(&idle));
}

/// Guards against room made at the cost of a request, or of an answer that is still being written.
#[tokio::test(start_paused = true)]
async fn room_is_made_by_those_that_nobody_waits_for() {
    let guards = Guards::default();
    let [asking, idle, answering] = [(); 3].map(|()| guards.enter());
    answering.1.answering();
    idle.1.idle();
    assert_eq!(guards.make_room(), Room::Later, "all may ask in a moment");
    advance(YOUNG).await;
    assert_eq!(guards.make_room(), Room::Soon);
    assert!(is_cut(&asking.1));
    guards.leave(asking.0);
    assert_eq!(guards.make_room(), Room::Soon);
    assert!(is_cut(&idle.1));
    guards.leave(idle.0);
    assert_eq!((guards.make_room(), guards.len()), (Room::None, 1));
    assert!(!is_cut(&answering.1));
}
