//! What the programs of the tier do first, so that nothing that comes amid a start ends them.
//!
//! Owns the signal handlers of a process and the opening of its listening sockets. It guarantees
//! that a signal that comes after [`Signals::install`] is kept until it is received, and that an
//! address which a predecessor still holds is waited for. What a signal means is its caller's.

mod listener;
mod signals;

pub use listener::{listen, ListenError};
pub use signals::Signals;
