//! Hot restart: two processes of one dispatcher during an upgrade.
//!
//! [`ProcessRole`] says what a process may do while another one is alive, and [`HandoverFile`] is the
//! file by which each tells the others what it knows. Nothing here reads a clock or touches a file or a
//! socket.

mod file;
mod process_role;

pub use file::{HandoverError, HandoverFile, SavedOverride, MAX_BYTES, VERSION};
pub use process_role::{Event, ProcessRole, Stage};
