//! Membership of the dispatchers of one tier, by SWIM with Lifeguard's local health (design:
//! `docs/maintenance.md`).
//!
//! A datagram or a time goes in; datagrams and changes of the member list come out. The crate does no
//! I/O, reads no clock and draws no random number.

pub mod incarnation;
mod message;
mod reachability;
mod swim;

pub use message::{
    MemberState, MemberUpdate, Message, MessageKind, WireError, MAX_DATAGRAM_BYTES, MAX_UPDATES,
};
pub use swim::{Config, Connectivity, Effect, Swim, MAX_MEMBERS};
