//! Membership of the dispatchers of one tier, by SWIM with Lifeguard's local health (design: `docs/maintenance.md`).
//! Free of I/O, clock and randomness: a datagram or a time goes in, datagrams and changes of the view come out.

pub mod incarnation;
mod reachability;
mod swim;
mod wire;

pub use swim::{Config, Connectivity, Effect, Swim, MAX_MEMBERS};
pub use wire::{
    MemberState, MemberUpdate, Message, MessageKind, WireError, MAX_DATAGRAM_BYTES, MAX_UPDATES,
};
