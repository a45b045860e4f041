//! Which keeper a runner's beats go to.

use std::net::SocketAddr;

/// The keeper that a runner's later beats are to go to: each runner has its own order of all keepers, so they spread
/// evenly, and when one keeper goes or comes only the runners of that one move.
pub fn home(id: &str, keepers: &[SocketAddr]) -> Option<SocketAddr> {
    keepers.iter().copied().max_by_key(|keeper| (weight(id, keeper), *keeper))
}

fn weight(id: &str, keeper: &SocketAddr) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    let mut eat = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
    id.bytes().for_each(&mut eat);
    match keeper {
        SocketAddr::V4(addr) => addr.ip().octets().into_iter().for_each(&mut eat),
        SocketAddr::V6(addr) => addr.ip().octets().into_iter().for_each(&mut eat),
    }
    keeper.port().to_be_bytes().into_iter().for_each(&mut eat);
    // Without this the last bytes, which tell the keepers apart, would hardly reach the high bits.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
