//! What fordrelay is tried with: a model of engine boxes, stand-ins on loopback sockets, clients, a checker of the
//! rules, a model of the whole in virtual time, and experiments. Nothing here is part of the program.

pub mod checker;
pub mod engine;
pub mod model;
pub mod scenario;
pub mod swings;
