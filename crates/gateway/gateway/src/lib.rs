//! The data plane of the tier: carries requests from clients to runners, and runs the items of batch jobs in the room that
//! requests leave.
//!
//! One thread. What the control plane tells comes down the tree of relays ([`control`]); clients' requests come in by
//! [`front`], find a runner by [`forward`] and [`choice`], and go out on the connections of [`upstream`].

#![expect(
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

pub mod answer;
pub mod ask;
pub mod batch_front;
pub mod choice;
pub mod codes;
pub mod connect_wait;
pub mod control;
pub mod counts;
pub mod events;
pub mod exchange;
pub mod forward;
pub mod front;
pub mod gateway;
pub mod items;
pub mod items_done;
pub mod items_fetch;
pub mod limits;
pub mod memory;
pub mod pool;
pub mod queue;
pub mod ready;
pub mod report;
pub mod request;
mod run;
pub mod sending;
pub mod source;
pub mod stop;
pub mod stream;
pub mod upstream;
pub mod verdict;

pub use run::{main, Process, StartError};
