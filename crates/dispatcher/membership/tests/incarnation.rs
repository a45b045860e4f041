//! The order of incarnation numbers.

use membership::incarnation::{from_unix_seconds, is_newer, successor, INCARNATIONS};

#[test]
fn incarnations_wrap_around_and_zero_is_older_than_all() {
    let last = INCARNATIONS - 1;
    assert!(is_newer(2, 1) && !is_newer(1, 2) && !is_newer(1, 1));
    assert!(is_newer(1, last) && !is_newer(last, 1), "wrapped around");
    assert!(is_newer(1, 0) && is_newer(last, 0) && !is_newer(0, last) && !is_newer(0, 0));
    assert_eq!((successor(last), successor(1)), (1, 2));
    assert!(is_newer(
        from_unix_seconds(1_800_000_008),
        from_unix_seconds(1_800_000_000)
    ));
}
