//! Entries round-trip, and decoding accepts any input without a panic.

use proptest::prelude::*;
use replicated_state::{
    decode_addresses, encode_addresses, Dispatcher, RolloutEntry, RolloutReport,
};

proptest! {
    #[test]
    fn a_list_of_addresses_round_trips(list in proptest::collection::vec(any::<std::net::SocketAddr>(), 0..50)) {
        let plain: Vec<_> = list.iter().map(|a| std::net::SocketAddr::new(a.ip().to_canonical(), a.port())).collect();
        prop_assert_eq!(decode_addresses(&encode_addresses(&plain)).expect("a list"), plain);
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes: Vec<u8>) {
        let _ = decode_addresses(&bytes);
        let _ = Dispatcher::decode(&bytes);
        let _ = RolloutEntry::decode(&bytes);
        let _ = RolloutReport::decode(&bytes);
    }
}
