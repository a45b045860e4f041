//! The model of an engine box: slots, queue, slow start, hangs.

use testbed::engine::{Engine, Health, Order, Shape, Task, Word};

fn shape() -> Shape {
    Shape {
        kind: 0,
        zone: 0,
        cores: 4.0,
        speed: 1.0,
        slots: 4.0,
        queue: 2,
        order: Order::Fifo,
        cold_for: 20_000_000,
        start_capacity: 0.1,
        tip_multiple: 3.0,
        tip_window: 1_000_000,
        kept_keys: 1,
        fetch: 50_000,
        probe_work: 4_000,
        note_every: 1_000_000,
        stops_running: true,
        connections: 64,
        handshake_work: 4_000,
    }
}

fn task(id: u64, slots: f64) -> Task {
    Task {
        id,
        class: 0,
        kind: None,
        priority: 0,
        slots,
        work: 100_000,
        key: None,
        informed: true,
    }
}

#[test]
fn what_fits_runs_what_does_not_waits_and_what_finds_no_place_is_turned_away() {
    let mut engine = Engine::new(shape());
    assert_eq!(engine.arrive(0, task(1, 3.0)), [Word::Started(1)]);
    assert_eq!(engine.arrive(0, task(2, 2.0)), []);
    assert_eq!(
        engine.arrive(0, task(3, 1.0)),
        [],
        "the head waits, and all others behind it"
    );
    assert_eq!(engine.arrive(0, task(4, 1.0)), [Word::Declined(4)]);
    assert_eq!(engine.load(), (1.0, 3));
    assert_eq!(
        engine.advance(100_000),
        [Word::Done(1), Word::Started(2), Word::Started(3)]
    );
    assert_eq!(engine.advance(200_000), [Word::Done(2), Word::Done(3)]);
    assert_eq!(engine.next(), None);
}

#[test]
fn a_cold_box_is_slow_and_falls_when_it_is_sent_too_much() {
    let mut engine = Engine::new(shape());
    engine.kill(0);
    engine.start(0);
    engine.arrive(0, task(1, 1.0));
    assert_eq!(engine.advance(200_000), []);
    assert!(engine.advance(1_500_000).contains(&Word::Done(1)));
    let words: Vec<Word> = (2..20)
        .flat_map(|id| engine.arrive(1_500_000, task(id, 4.0)))
        .collect();
    assert_eq!(engine.health(), Health::Fallen);
    assert!(words.contains(&Word::Lost(2)), "{words:?}");
}

#[test]
fn a_hung_box_takes_all_and_says_nothing_until_it_is_up_again() {
    let mut engine = Engine::new(shape());
    engine.arrive(0, task(1, 1.0));
    engine.set_health(50_000, Health::Hung);
    assert_eq!(
        (2..50)
            .flat_map(|id| engine.arrive(60_000, task(id, 1.0)))
            .count(),
        0
    );
    assert_eq!(engine.advance(10_000_000), []);
    engine.set_health(10_000_000, Health::Up);
    assert!(engine.advance(10_050_000).contains(&Word::Done(1)));
}
