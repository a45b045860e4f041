//! The messages of the batch plane: between gateways and stores, between stores, and between stores
//! and controllers. One type for each request, response and one-way message.
//!
//! Every message is decoded with bounds on its lengths, as a whole or not at all. `encode` of a
//! message with a field over its bound gives no bytes, which no reader accepts. The layouts are the
//! interface between versions: see `docs/peer-frames.md`.

mod client;
mod item;
mod kinds;
mod lease;
mod limits;
mod partitioning;
mod placement;
mod quota;
mod store;

pub use crate::codec::{DecodeError, Message};
pub use client::{
    EndRequest, EndResponse, ItemBodyRequest, ItemBodyResponse, ReadRequest, ReadResponse,
    SubmitRequest, SubmitResponse,
};
pub use item::{Header, Item, ResultEntry, ResultStatus};
pub use kinds::{
    AUDIT, AUDIT_RESPONSE, BODY, CHAIN, COMPLETE, END, FETCH, HEARTBEAT, LEASE_GRANT, READ, RENEW,
    RESERVE, RESERVE_PROGRESS, RESERVE_RESPONSE, SUBMIT,
};
pub use lease::{
    CompleteRequest, CompleteResponse, Completion, FetchRequest, FetchResponse, LeaseKey,
    LeasedItem, Outcome, PartitionLeases, PartitionRedirect, PartitionRenewal, RenewOutcome,
    RenewRequest, RenewResponse, RouteDemand,
};
pub use limits::{
    HEARTBEAT_INTERVAL_MS, LEASE_RENEWAL_INTERVAL_MS, LEASE_TIMEOUT_MS, MAX_BODY, MAX_FETCH_BYTES,
    MAX_HEADERS, MAX_ITEMS, MAX_LEASES, MAX_LIST, MAX_NAME, MAX_PARTITIONS, MAX_READ_BYTES,
    MAX_VALUE, MAX_WAIT_MS,
};
pub use partitioning::{home_partition, partition_of};
pub use placement::{Placement, PlacementMap, StoreInfo, StoreState};
pub use quota::{
    AuditRequest, AuditResponse, JobKey, RemainingTokens, ReserveAttempt, ReserveProgress,
    ReserveRequest, ReserveResponse,
};
pub use store::{ChainFrame, Heartbeat, LeaseGrant, PartitionStatus};
