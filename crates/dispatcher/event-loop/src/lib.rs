//! The loop that feeds the dispatcher's reducer and carries out its effects, and what the protocol
//! crates share: the flows that wait for their answers, and the clock.
//!
//! The crate knows no protocol: each one reports inputs through the [`LoopHandle`] and gets its
//! commands from [`run`] by way of the [`IoBackend`]. All but the [`OperatorHandle`] stays on one
//! thread.

mod clock;
mod flows;
mod handle;
mod io;
mod log_limiter;
mod operator;
mod run;

pub use clock::Clock;
pub use flows::{FlowLimits, FlowReservation, ForwardedRequest, PendingFlow, ReservationError};
pub use handle::LoopHandle;
pub use io::{ConnectionCommand, IoBackend, SaveWhen};
pub use log_limiter::LogRateLimiter;
pub use operator::{OperatorHandle, OperatorRequest};
pub use run::{run, LoopInputs};
