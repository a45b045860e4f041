//! What a dispatcher is configured with from outside: read, checked and given defaults in one
//! place.
//!
//! [`platform`] is the platform's JSON with the settings object ([`settings_object`]) and the list
//! as discovery writes it ([`list`]); [`operator`] is the operators' HCL; [`report`] tells how load
//! reports are read.

pub mod list;
pub mod operator;
pub mod platform;
pub mod report;
pub mod settings_object;
