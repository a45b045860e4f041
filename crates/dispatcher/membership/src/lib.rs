//! Membership of the dispatchers of one tier, by SWIM with Lifeguard's local health (design: `docs/maintenance.md`).
//! Free of I/O, clock and randomness: a datagram or a time goes in, datagrams and changes of the view come out.

mod hearing;
pub mod serial;
mod swim;
mod wire;

pub use swim::{Effect, Swim, Terms, MOST_MEMBERS};
pub use wire::{Change, Kind, Message, State, WireError, LARGEST, MOST_CHANGES};
