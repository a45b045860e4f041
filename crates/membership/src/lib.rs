//! Membership of the dispatchers of one tier, by SWIM with Lifeguard's local health (design: `docs/maintenance.md`).
//! Free of I/O, clock and randomness. So far: the datagram that carries it.

mod wire;

pub use wire::{Change, Kind, Message, State, WireError, LARGEST, MOST_CHANGES};
