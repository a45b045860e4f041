//! Loads as the live weights of lists tell them.

use discovery_pacing::{outstanding_per_core, FleetLoad, KindCapacity};

#[test]
fn a_live_weight_tells_the_outstanding_requests_per_core() {
    assert_eq!(outstanding_per_core(7.5, 7.5), Some(0.0));
    assert_eq!(outstanding_per_core(7.5, 2.5), Some(2.0));
    assert_eq!(
        outstanding_per_core(7.5, 8.0),
        Some(0.0),
        "never less than nothing"
    );
    for bad in [0.0, -1.0, f64::NAN, f64::INFINITY, 1.0e300] {
        assert_eq!(outstanding_per_core(7.5, bad), None);
        assert_eq!(outstanding_per_core(bad, 7.5), None);
        assert_eq!(KindCapacity::default().record_weight(bad), None);
    }
}

#[test]
fn the_fill_level_rises_with_the_age_of_the_loads() {
    let loads = FleetLoad {
        held: 180.0,
        slots: 360.0,
        loose: 200.0,
        at: 0,
    };
    assert_eq!(
        loads.fill_level(0, 500_000.0),
        1.5,
        "half is held, and a second is two runs"
    );
    assert_eq!(loads.fill_level(1_000_000, 500_000.0), 2.5);
    assert_eq!(
        FleetLoad { held: 1.0, ..loads }.fill_level(0, 500_000.0),
        1.0,
        "a free slot is as good as another"
    );
    assert!(
        loads.fill_level(u64::MAX, 1.0) <= 16.0,
        "bounded, whatever is told"
    );
    assert_eq!(
        FleetLoad {
            held: f64::NAN,
            ..loads
        }
        .fill_level(0, 1.0),
        1.0
    );
}

#[test]
fn the_listed_size_stands_for_the_slots_until_reports_say_more() {
    let mut kind = KindCapacity::default();
    assert_eq!(kind.slots(), 4.0);
    assert_eq!(kind.record_weight(7.5), Some(0.0));
    assert_eq!((kind.slots(), kind.certain_slots()), (8.0, 7.5));
    kind.record_weight(2.5);
    assert_eq!(kind.slots(), 8.0, "a busy worker is no smaller");
    kind.record_running(9.0);
    assert_eq!(kind.slots(), 9.0);
}

#[test]
fn jobs_with_a_choice_leave_a_dedicated_kind_alone_while_the_rest_has_capacity() {
    let spare = |held, loose| {
        FleetLoad {
            held,
            slots: 360.0,
            loose,
            at: 0,
        }
        .keep_off_share()
    };
    assert_eq!(
        [spare(50.0, 200.0), spare(300.0, 200.0)],
        [1.0, 1.0],
        "the rest bears it"
    );
    assert_eq!(spare(350.0, 200.0), 0.5);
    assert_eq!(
        [spare(400.0, 200.0), spare(900.0, 200.0)],
        [0.0, 0.0],
        "all are needed"
    );
    assert_eq!(
        [spare(0.0, 0.0), spare(f64::NAN, 1.0)],
        [0.0, 0.0],
        "there is no rest"
    );
}
