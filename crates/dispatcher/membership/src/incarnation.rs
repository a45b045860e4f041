//! Incarnations: numbers of 24 bits that go round, compared as serial numbers are (RFC 1982). 0 is that of a member nobody
//! has heard of, older than all.

/// Incarnations are below this.
pub const INCARNATIONS: u32 = 1 << 24;
/// Seconds that one step of [`at`] stands for: a process that is started again within it needs a note of the last one.
const STEP: u64 = 8;

/// Whether `a` is later than `b`.
pub fn is_newer(a: u32, b: u32) -> bool {
    let ahead = a.wrapping_sub(b) % INCARNATIONS;
    a != b && a != 0 && (b == 0 || ahead < INCARNATIONS / 2)
}

/// The one after it.
pub fn successor(incarnation: u32) -> u32 {
    match (incarnation + 1) % INCARNATIONS {
        0 => 1,
        next => next,
    }
}

/// That of a process which starts at this Unix time, in seconds, and has no note of one before it: later than that of any
/// that started before, for half of the 4.2 years in which they go round.
pub fn from_unix_seconds(unix_seconds: u64) -> u32 {
    let steps = (unix_seconds / STEP) % u64::from(INCARNATIONS);
    (steps as u32).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn incarnations_wrap_around_and_zero_is_older_than_all() {
        let last = INCARNATIONS - 1;
        assert!(is_newer(2, 1) && !is_newer(1, 2) && !is_newer(1, 1));
        assert!(is_newer(1, last) && !is_newer(last, 1), "round");
        assert!(is_newer(1, 0) && is_newer(last, 0) && !is_newer(0, last) && !is_newer(0, 0));
        assert_eq!((successor(last), successor(1)), (1, 2));
        assert!(is_newer(
            from_unix_seconds(1_800_000_008),
            from_unix_seconds(1_800_000_000)
        ));
    }
}
