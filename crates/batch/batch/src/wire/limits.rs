//! Bounds of the messages and the intervals that both sides rely on.

/// The most partitions of a placement map, each with a chain of stores of its own: a bound for
/// readers. The controllers choose how many there are when they make the first map.
pub const MAX_PARTITIONS: usize = 512;
/// How often a gateway renews its leases.
pub const LEASE_RENEWAL_INTERVAL_MS: u64 = 500;
/// A gateway that has renewed nothing for so long loses its leases. It must exceed several renewal
/// intervals: a renewal may be lost, or late while a partition changes its head.
pub const LEASE_TIMEOUT_MS: u64 = 2_500;
/// How often a store sends its heartbeat to the controllers.
pub const HEARTBEAT_INTERVAL_MS: u64 = 300;
/// The longest time for which a store may hold a request until there is something to answer.
pub const MAX_WAIT_MS: u32 = 2_000;
/// The most bytes of results in one response to a read (but at least one result, of whatever size).
pub const MAX_READ_BYTES: usize = 900_000;
/// The most bytes of items in one response to a fetch (but at least one item).
pub const MAX_FETCH_BYTES: usize = 1 << 20;

/// The most items of a batch job, as the users' page says.
pub const MAX_ITEMS: usize = 200;
/// The most headers of an item.
pub const MAX_HEADERS: usize = 64;
/// The longest name of a batch job, an item, a route, a host or a header, in bytes.
pub const MAX_NAME: usize = 256;
/// The longest path or header value of an item, in bytes.
pub const MAX_VALUE: usize = 16 << 10;
/// The longest body of an item, or text of its result, in bytes.
pub const MAX_BODY: usize = 4 << 20;
/// The most routes in one fetch, partitions in one list, or stores in the placement map.
pub const MAX_LIST: usize = 4_096;
/// The most leases of one gateway, results in one request or items in one response.
pub const MAX_LEASES: usize = 65_536;
