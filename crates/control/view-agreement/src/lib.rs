//! The agreed view of the controllers' chain: a number, the chain, the acceptors. No I/O, no clock, no randomness.
//!
//! View `n + 1` is one value, chosen by one round of single-decree Paxos among the acceptors of view `n`. What an
//! acceptor promises or accepts is on its disk before it is spoken, and so is the round that a proposer uses, so
//! neither a loss of power nor a restart makes anybody say two things. Whoever knows an older view is told the newest
//! one whole, and believes it: it was chosen.
//!
//! The acceptors' number follows from the losses to be survived, not from the chain's length (see [`Sizing`]), so a chain
//! that has shrunk never shrinks the majority; and they change only so that a majority of the new ones were acceptors
//! before and are there now (see [`next_controller_view`]).

#![expect(clippy::missing_errors_doc, reason = "not revised yet")]

mod agreement;
mod next;
mod propose;
mod pulse;
mod records;
mod wire;

pub use agreement::{Agreement, Effect};
pub use next::{next_controller_view, Sizing};
pub use records::{Record, RecoveredAcceptor};
pub use wire::{ControllerView, Message, MessageBody, Proposal, ProposalNumber, MAX_ACCEPTORS};
