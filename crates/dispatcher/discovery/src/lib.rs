//! The client of service discovery: it watches the endpoint list and reports each update to the event
//! loop.
//!
//! A watch is a chain of calls, each of which discovery answers when the list has changed or a time
//! has passed. When a watch fails, the dispatch policy decides when the next one starts
//! (`discovery_pacing`). The list is taken as it is, since discovery alone knows the fleet; what is
//! unusual about it is logged and counted.

mod client;
mod endpoint_mapper;
mod list_check;
mod list_record;
mod list_watch;

pub use client::Delivery;
pub use endpoint_mapper::{EndpointMapper, ListSource};
pub use list_check::{Finding, Findings, ListCheck};
pub use list_record::ListRecord;
pub use list_watch::ListWatch;
