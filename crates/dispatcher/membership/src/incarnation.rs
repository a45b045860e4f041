//! Incarnation numbers: 24 bits that wrap around and are compared as serial numbers (RFC 1982). 0 is
//! that of a member of which nothing was ever heard, older than all others.

/// Incarnations are below this.
pub const INCARNATIONS: u32 = 1 << 24;
/// Seconds that one step of [`from_unix_seconds`] stands for: a process that is restarted within it
/// needs a record of the last incarnation.
const STEP_SECONDS: u64 = 8;

/// Whether `a` is later than `b`.
pub fn is_newer(a: u32, b: u32) -> bool {
    let ahead = a.wrapping_sub(b) % INCARNATIONS;
    a != b && a != 0 && (b == 0 || ahead < INCARNATIONS / 2)
}

/// The incarnation after this one.
pub fn successor(incarnation: u32) -> u32 {
    match (incarnation + 1) % INCARNATIONS {
        0 => 1,
        next => next,
    }
}

/// The incarnation of a process that starts at this Unix time, in seconds, without a record of one
/// before it. It is later than that of any process that started earlier, for half of the 4.2 years in
/// which incarnations wrap around.
pub fn from_unix_seconds(unix_seconds: u64) -> u32 {
    let steps = (unix_seconds / STEP_SECONDS) % u64::from(INCARNATIONS);
    (steps as u32).max(1)
}
