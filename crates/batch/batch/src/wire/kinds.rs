//! The kinds of the batch plane's frames: the number before a frame's body.

/// Request of a gateway to a partition's head: [`SubmitRequest`](super::SubmitRequest), answered by
/// [`SubmitResponse`](super::SubmitResponse).
pub const SUBMIT: u16 = 0x0301;
/// Request of a gateway to a partition's tail: [`ReadRequest`](super::ReadRequest), answered by
/// [`ReadResponse`](super::ReadResponse).
pub const READ: u16 = 0x0302;
/// Request of a gateway to a partition's tail: [`ItemBodyRequest`](super::ItemBodyRequest),
/// answered by [`ItemBodyResponse`](super::ItemBodyResponse).
pub const BODY: u16 = 0x0303;
/// Request of a gateway to a partition's head: [`EndRequest`](super::EndRequest), answered by
/// [`EndResponse`](super::EndResponse).
pub const END: u16 = 0x0304;
/// Request of a gateway to a store that is head of some partitions:
/// [`FetchRequest`](super::FetchRequest), answered by [`FetchResponse`](super::FetchResponse).
pub const FETCH: u16 = 0x0305;
/// Request of a gateway to a partition's head: [`CompleteRequest`](super::CompleteRequest),
/// answered by [`CompleteResponse`](super::CompleteResponse).
pub const COMPLETE: u16 = 0x0306;
/// Request of a gateway to a store that is head of some partitions:
/// [`RenewRequest`](super::RenewRequest), answered by [`RenewResponse`](super::RenewResponse).
pub const RENEW: u16 = 0x0307;
/// One-way message of a store to the controllers: [`Heartbeat`](super::Heartbeat).
pub const HEARTBEAT: u16 = 0x0310;
/// One-way message of the leading controller to a store: [`LeaseGrant`](super::LeaseGrant).
pub const LEASE_GRANT: u16 = 0x0311;
/// One-way message between the stores of one partition: [`ChainFrame`](super::ChainFrame).
pub const CHAIN: u16 = 0x0312;
/// One-way message of the head of a job's partition to the head of its host's home partition:
/// [`ReserveRequest`](super::ReserveRequest), answered by [`RESERVE_RESPONSE`].
pub const RESERVE: u16 = 0x0313;
/// One-way message of a home partition's head to the head that reserves:
/// [`ReserveResponse`](super::ReserveResponse).
pub const RESERVE_RESPONSE: u16 = 0x0314;
/// One-way message of a home partition's head to the heads of partitions with reservations:
/// [`AuditRequest`](super::AuditRequest), answered by [`AUDIT_RESPONSE`].
pub const AUDIT: u16 = 0x0315;
/// One-way message of a partition's head to the home partition's head:
/// [`AuditResponse`](super::AuditResponse).
pub const AUDIT_RESPONSE: u16 = 0x0316;
/// One-way message of a home partition's head to the head that reserves:
/// [`ReserveProgress`](super::ReserveProgress).
pub const RESERVE_PROGRESS: u16 = 0x0317;
