//! What fordrelay is tried with: a model of engine boxes, stand-ins on loopback sockets, clients, a checker of the
//! rules, a model of the whole in virtual time, and experiments. Nothing here is part of the program.

pub mod calls;
pub mod checker;
pub mod cut;
pub mod dispatcher;
pub mod engine;
pub mod fleet;
pub mod load;
pub mod load_sweep;
pub mod log_audit;
pub mod members;
pub mod model;
pub mod records;
pub mod registry;
pub mod relay;
pub mod rig;
pub mod scale_model;
pub mod scenario;
pub mod sockets;
pub mod up;
pub mod upgrade;
