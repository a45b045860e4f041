//! Kinds of the frames between controllers; [`replicated_state`] and [`batch::wire`] name those
//! that other processes send too.

/// Messages of the agreement on views.
pub const VIEW_AGREEMENT: u16 = 0x0101;
/// Messages of the chain.
pub const CHAIN_REPLICATION: u16 = 0x0102;
/// A controller's heartbeat.
pub const CONTROLLER_HEARTBEAT: u16 = 0x0103;
/// Messages of the bootstrap.
pub const BOOTSTRAP: u16 = 0x0104;
/// Records of runs: to be written, and that they are.
pub const RUN_RECORDS: u16 = 0x0107;
