//! Agreement on the view of the controllers: a number, the chain, the acceptors. No I/O, no clock,
//! no randomness.
//!
//! View `n + 1` is one value, chosen by one instance of single-decree Paxos (Lamport, "Paxos made
//! simple", 2001) among the acceptors of view `n`. Names are those of the paper; the order of disk
//! and network is in `docs/control-state.md`. The invariants, and what upholds each:
//!
//! - *At most one view is chosen for a number.* An acceptor promises and accepts by the rules of
//!   the paper, and both are on its disk before the proposer learns of them, so neither a loss of
//!   power nor a restart makes it answer in two ways.
//! - *No proposal number is used twice.* A proposer syncs its own number before it sends it, and
//!   breaks ties by its id and address, since all initial members have the id 0.
//! - *A majority that decides next can decide now.* A majority of the new acceptors were acceptors
//!   before and are reachable (see [`next_controller_view`]).
//! - *A shrunken chain does not shrink the quorum.* The number of acceptors follows from the faults
//!   to be tolerated (see [`Sizing`]), not from the length of the chain.
//!
//! A controller that knows an older view gets the newest one in full and installs it: it was
//! chosen.

mod acceptor;
mod agreement;
mod controller_view;
mod effect;
mod electorate;
mod message;
mod next_view;
mod proposal;
mod proposer;
mod proposing;
mod quorum_check;
mod record;
mod sizing;
mod view_confirmation;

pub use agreement::Agreement;
pub use controller_view::{ControllerView, MAX_ACCEPTORS};
pub use effect::Effect;
pub use message::{Message, MessageBody};
pub use next_view::next_controller_view;
pub use proposal::{Proposal, ProposalId, ProposalNumber};
pub use record::{Record, RecoveredAcceptor};
pub use sizing::Sizing;
