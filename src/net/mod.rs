//! The dispatcher on real sockets, around the decisions of [`crate::decide`].
//!
//! [`state`] is what is kept, changed by one reducer that does no I/O; [`wire`] is what is spoken, and carries
//! out what the reducer asks for; [`lifecycle`] is configuration, start and stop.

pub mod lifecycle;
pub mod state;
pub mod wire;
