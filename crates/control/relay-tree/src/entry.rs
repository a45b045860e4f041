//! The unit of replication: a key, a stamp and a value.

use bytes::Bytes;
use compact_str::CompactString;

/// Longest key, in bytes: its length is encoded in one byte.
pub const MAX_KEY_BYTES: usize = 255;
/// Largest value, in bytes: a configuration of 4 MiB and room for its envelope.
pub const MAX_VALUE_BYTES: usize = 5 * 1024 * 1024;
/// So many first bytes of a value go into its hash.
const HASHED_VALUE_BYTES: usize = 256;

/// The version of an entry, compared by the first number and then by the second; the greater one
/// wins, whoever sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stamp(pub u64, pub u64);

/// The newest known state of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateEntry {
    /// What the entry is about, at most [`MAX_KEY_BYTES`] long.
    pub key: CompactString,
    /// Its version.
    pub stamp: Stamp,
    /// The value; `None` is a tombstone, kept for a while so that a late older update has no
    /// effect.
    pub value: Option<Bytes>,
}

impl StateEntry {
    /// Whether this entry replaces the other one of its key.
    ///
    /// Of two with one stamp the greater value wins, and a tombstone over any value, so that all
    /// tables converge whatever the order of arrival.
    pub(crate) fn supersedes(&self, other: &StateEntry) -> bool {
        match self.stamp.cmp(&other.stamp) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => match (&self.value, &other.value) {
                (None, Some(_)) => true,
                (Some(new), Some(old)) => new > old,
                _ => false,
            },
        }
    }

    /// Whether key and value are within their limits.
    pub(crate) fn is_within_limits(&self) -> bool {
        !self.key.is_empty()
            && self.key.len() <= MAX_KEY_BYTES
            && self
                .value
                .as_ref()
                .is_none_or(|value| value.len() <= MAX_VALUE_BYTES)
    }

    /// Bytes of the value; 0 for a tombstone.
    pub(crate) fn value_len(&self) -> usize {
        self.value.as_ref().map_or(0, Bytes::len)
    }

    /// About how many bytes the entry takes in a message.
    pub(crate) fn approximate_size(&self) -> usize {
        32 + self.key.len() + self.value_len()
    }

    /// A hash of key, stamp and the beginning of the value: equal sums of these mean equal sets of
    /// entries.
    pub(crate) fn hash(&self) -> u64 {
        let mut hash = key_hash(&self.key);
        hash = mix(hash ^ self.stamp.0);
        hash = mix(hash.wrapping_add(self.stamp.1));
        if let Some(value) = &self.value {
            hash = mix(hash ^ value.len() as u64);
            hash = fnv1a(hash, value.get(..HASHED_VALUE_BYTES).unwrap_or(value));
        }
        mix(hash)
    }
}

/// The hash that assigns a key to its bucket of the digest.
pub(crate) fn key_hash(key: &str) -> u64 {
    mix(fnv1a(0xcbf2_9ce4_8422_2325, key.as_bytes()))
}

/// FNV-1a over the bytes, going on from a state (Fowler, Noll, Vo).
fn fnv1a(state: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(state, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Spreads each bit over the whole number: the finalizer of splitmix64 (Steele, Lea, Flood: Fast
/// Splittable Pseudorandom Number Generators, 2014).
pub(crate) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
