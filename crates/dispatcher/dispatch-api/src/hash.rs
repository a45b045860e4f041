//! Hash functions that every dispatcher, of whatever version, computes alike.

/// A well-mixed 64-bit number for a seed and a salt: the same for the same two. The multipliers are
/// those of SplitMix64 (Steele, Lea, Flood, OOPSLA 2014); it is not a cryptographic hash.
pub fn mix(seed: u64, salt: u64) -> u64 {
    let mixed = (seed ^ salt.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 29)
}
