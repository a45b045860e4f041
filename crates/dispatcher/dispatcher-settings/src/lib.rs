//! What a dispatcher is told from outside: read, checked and given defaults in one place.
//!
//! [`platform`] is the platform's JSON with the settings object ([`facts`]) and the list as discovery writes it
//! ([`list`]); [`operator`] is the operators' HCL; [`report`] says how load reports are read.

#![expect(
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    reason = "not revised yet"
)]

pub mod facts;
pub mod list;
pub mod operator;
pub mod platform;
pub mod report;
