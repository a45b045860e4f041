//! What the audit of the logs finds of planted faults, and what it explains.

use dispatch_api::Micros;
use testbed::log_audit::{Closed, Down, Witness, Word};

const SECOND: Micros = 1_000_000;

fn word(at: Micros, by: usize, member: usize, state: &str) -> Word {
    Word {
        at: at * SECOND,
        by,
        member,
        state: state.to_owned(),
    }
}

/// Each planted fault is seen, and what a fault explains is none.
#[test]
fn a_false_death_and_a_leaving_that_nobody_heard_of_are_seen() {
    let down = [Down {
        dispatcher: 1,
        from: 100 * SECOND,
        to: 110 * SECOND,
        left: true,
    }];
    let closed = [Closed {
        from: 200 * SECOND,
        to: 210 * SECOND,
        split: false,
        ways: vec![(3, 0), (3, 1), (3, 2)],
    }];
    let words = vec![
        word(50, 0, 2, "dead"),
        word(105, 0, 1, "dead"),
        word(208, 0, 3, "dead"),
    ];
    let witness = Witness {
        words,
        ..Witness::default()
    };
    assert_eq!(
        witness.false_deaths(4, &down, &closed, 5 * SECOND),
        1,
        "the first; the others were down and mute"
    );
    assert_eq!(witness.left_suspected(&down, &closed), 1);
    assert_eq!(witness.left_known(4, &down, &closed), 6 * SECOND, "never");
    let words = (0..4).map(|by| word(101, by, 1, "left")).collect();
    let heard = Witness {
        words,
        ..Witness::default()
    };
    assert_eq!(
        (
            heard.left_known(4, &down, &closed),
            heard.left_suspected(&down, &closed)
        ),
        (SECOND, 0)
    );
}

/// One closed way leaves another through a third.
#[test]
fn a_pair_that_reaches_each_other_through_a_third_may_take_nobody_for_dead() {
    let closed = |ways: Vec<(usize, usize)>| {
        [Closed {
            from: 0,
            to: 99 * SECOND,
            split: false,
            ways,
        }]
    };
    let witness = Witness {
        words: vec![word(50, 0, 1, "dead")],
        ..Witness::default()
    };
    assert_eq!(
        witness.false_deaths(3, &[], &closed(vec![(1, 0)]), SECOND),
        1
    );
    assert_eq!(
        witness.false_deaths(3, &[], &closed(vec![(1, 0), (1, 2)]), SECOND),
        0
    );
}
