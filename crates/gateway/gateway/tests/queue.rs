//! Who waits for a runner is called in order.

use gateway::selection::queue::{Place, Queue, ITEMS};
use std::future::Future;
use std::task::{Context, Waker};

fn is_called(place: &Place) -> bool {
    std::pin::pin!(place.turn())
        .poll(&mut Context::from_waker(Waker::noop()))
        .is_ready()
}

#[test]
fn by_rank_then_by_age_and_items_last() {
    let queue = Queue::default();
    let item = queue.enter("s".into(), ITEMS, 1);
    let low = queue.enter("s".into(), 3, 2);
    let late = queue.enter("s".into(), 0, 9);
    let early = queue.enter("s".into(), 0, 8);
    let other = queue.enter("t".into(), 0, 0);
    queue.call("s", 1);
    assert_eq!(
        [&early, &late, &low, &item, &other].map(is_called),
        [true, false, false, false, false]
    );
    drop(early);
    queue.call("s", 2);
    assert_eq!(
        [&late, &low, &item, &other].map(is_called),
        [true, true, false, false]
    );
    drop((late, low));
    queue.call("s", 1);
    assert!(is_called(&item) && !is_called(&other));
    queue.call_all();
    assert!(is_called(&item) && is_called(&other));
    drop(item);
    assert_eq!(queue.len(), 1);
    drop(other);
    assert!(queue.is_empty());
}
