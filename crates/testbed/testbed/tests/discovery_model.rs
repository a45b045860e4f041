//! The model of discovery: calls take turns, also those that are given up.

use discovery_pacing::{ANSWER_TIMEOUT, QUEUE_TIMEOUT};
use testbed::registry::{Called, Registry};

#[test]
fn calls_take_turns_also_those_that_are_given_up() {
    let mut registry = Registry::new(2, 50_000);
    let answered = (0..100)
        .filter(|_| matches!(registry.call(0), Called::Answered(_)))
        .count();
    assert_eq!(
        answered, 55,
        "as many as fit into the time that a caller waits"
    );
    assert_eq!(
        registry.call(2_200_000),
        Called::Fails(2_200_000 + QUEUE_TIMEOUT + ANSWER_TIMEOUT),
        "the given up ones are still in the way"
    );
    assert_eq!(
        (
            registry.asked.calls,
            registry.asked.failed,
            registry.asked.worst_second()
        ),
        (101, 46, 100)
    );
    registry.changed([1]);
    assert_eq!(
        (
            registry.news(Some(1)),
            registry.news(Some(2)),
            registry.news(None).len()
        ),
        (vec![1], vec![], 2)
    );
}
