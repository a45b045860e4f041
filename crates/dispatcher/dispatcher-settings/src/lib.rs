//! What a dispatcher is told from outside: read, checked and given defaults in one place.
//!
//! [`platform`] is the platform's JSON with the settings object ([`facts`]) and the list as discovery writes it
//! ([`list`]); [`operator`] is the operators' HCL; [`report`] says how load reports are read.

pub mod facts;
pub mod list;
pub mod operator;
pub mod platform;
pub mod report;
