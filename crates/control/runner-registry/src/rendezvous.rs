//! Which controller a runner sends its heartbeats to, by rendezvous hashing (Thaler and
//! Ravishankar, "A name-based mapping scheme for rendezvous", 1996). All processes must agree on
//! it: the weights never change.

use std::net::SocketAddr;

/// FNV-1a, 64 bits: offset basis and prime.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The controller that a runner's later heartbeats go to; none if there are no controllers. Runners
/// spread evenly, and when a controller comes or goes only its own runners move.
pub fn home_controller(id: &str, controllers: &[SocketAddr]) -> Option<SocketAddr> {
    controllers
        .iter()
        .copied()
        .max_by_key(|controller| (weight(id, controller), *controller))
}

fn weight(id: &str, controller: &SocketAddr) -> u64 {
    let mut hash = FNV_OFFSET_BASIS;
    let mut add = |byte: u8| hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    id.bytes().for_each(&mut add);
    match controller {
        SocketAddr::V4(addr) => addr.ip().octets().into_iter().for_each(&mut add),
        SocketAddr::V6(addr) => addr.ip().octets().into_iter().for_each(&mut add),
    }
    controller
        .port()
        .to_be_bytes()
        .into_iter()
        .for_each(&mut add);
    // The finalizer of SplitMix64: without it the last bytes, which tell the controllers apart,
    // would hardly reach the high bits.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
