//! Zones that can't be reached.

use discovery_pacing::ZoneReachability;

#[test]
fn a_zone_is_untrusted_after_two_failures_and_trusted_again_after_successes() {
    let mut reach = ZoneReachability::default();
    assert!(reach.is_trusted(1) && reach.trust(1) == 1.0);
    reach.record_failure(1);
    assert!(reach.is_trusted(1), "any connection may fail");
    reach.record_failure(1);
    assert!(
        !reach.is_trusted(1) && reach.is_trusted(0),
        "the other zone is not at fault"
    );
    (0..100).for_each(|_| reach.record_failure(1));
    assert!(reach.trust(1) > 0.0, "it is still asked now and then");
    reach.record_success(1);
    assert!(reach.is_trusted(1));
}

#[test]
fn any_number_of_zones_takes_bounded_memory() {
    let mut reach = ZoneReachability::default();
    (0..100_000).for_each(|zone| reach.record_failure(zone));
    assert!(reach.trust(99_999) == 1.0 && reach.trust(0) < 1.0);
}
