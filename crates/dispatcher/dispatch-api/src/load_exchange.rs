//! The datagrams in which dispatchers tell each other of the slots that their jobs hold.
//!
//! A datagram is a sequence of entries of five bytes: the hash of a worker's name, big-endian, and the
//! slots held there, up to 255. Datagrams of membership and maintenance share the port; their length
//! is never a multiple of [`ENTRY_BYTES`].

use crate::hash::mix;

/// Longest datagram between dispatchers, bytes.
pub const MESSAGE_BYTES: usize = 256;
/// Length of one entry, bytes.
pub const ENTRY_BYTES: usize = 5;

/// What dispatchers call a worker among themselves: the 32-bit FNV-1a hash of its name.
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |hash: u32, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}

/// Weight of a worker for a key in rendezvous hashing (Thaler, Ravishankar, 1998): the workers with
/// the highest weights are the key's home workers, in the same order at every dispatcher. The keys of
/// a worker that is lost spread over many others.
pub fn rendezvous_weight(key: u64, name_hash: u32) -> u64 {
    mix(key, u64::from(name_hash))
}

/// The bytes of one entry.
pub fn encode_entry(name_hash: u32, slots: u32) -> [u8; ENTRY_BYTES] {
    let [a, b, c, d] = name_hash.to_be_bytes();
    [a, b, c, d, slots.min(255) as u8]
}

/// The entries of a datagram, as name hash and slots; an entry that is cut short is left out.
pub fn decode_entries(message: &[u8]) -> impl Iterator<Item = (u32, u32)> + '_ {
    message.chunks_exact(ENTRY_BYTES).filter_map(|e| match *e {
        [a, b, c, d, slots] => Some((u32::from_be_bytes([a, b, c, d]), u32::from(slots))),
        _ => None,
    })
}
