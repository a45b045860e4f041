//! Entries come back as they went, and no bytes do harm.

use proptest::prelude::*;
use replicated_state::{decode_addresses, encode_addresses, Dispatcher};

proptest! {
    #[test]
    fn addresses_come_back(list in proptest::collection::vec(any::<std::net::SocketAddr>(), 0..50)) {
        let plain: Vec<_> = list.iter().map(|a| std::net::SocketAddr::new(a.ip().to_canonical(), a.port())).collect();
        prop_assert_eq!(decode_addresses(&encode_addresses(&plain)), plain);
    }

    #[test]
    fn any_bytes_do_no_harm(bytes: Vec<u8>) {
        let _ = decode_addresses(&bytes);
        let _ = Dispatcher::decode(&bytes);
    }
}
