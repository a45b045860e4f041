//! What dispatchers tell each other: entries of a worker's mark and the slots held there.

/// Longest message between dispatchers.
pub const MESSAGE_BYTES: usize = 256;
/// One entry of it: a worker's mark, then slots up to 255.
pub const ENTRY_BYTES: usize = 5;

/// What dispatchers call a worker among themselves: 32 bits of FNV-1a over its name.
pub fn name_hash(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |h: u32, b| {
        (h ^ u32::from(b)).wrapping_mul(0x0100_0193)
    })
}

/// How much a worker is meant for a key, in an order that is the same at every dispatcher. A worker that is lost
/// leaves its keys to many others.
pub fn rendezvous_weight(key: u64, name_hash: u32) -> u64 {
    let mixed = (key ^ u64::from(name_hash).rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 29)
}

/// One entry as it is sent.
pub fn encode_entry(name_hash: u32, slots: u32) -> [u8; ENTRY_BYTES] {
    let [a, b, c, d] = name_hash.to_be_bytes();
    [a, b, c, d, slots.min(255) as u8]
}

/// The entries of a message; what is cut short is left out.
pub fn decode_entries(message: &[u8]) -> impl Iterator<Item = (u32, u32)> + '_ {
    message.chunks_exact(ENTRY_BYTES).filter_map(|e| match *e {
        [a, b, c, d, slots] => Some((u32::from_be_bytes([a, b, c, d]), u32::from(slots))),
        _ => None,
    })
}
