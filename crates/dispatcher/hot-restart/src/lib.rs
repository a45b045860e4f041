//! Two processes of one dispatcher, as while a new version is brought in: who may do what, and what passes between
//! them. Nothing here reads a clock, touches a file or a socket.

mod file;
mod process_role;

pub use file::{HandoverError, HandoverFile, SavedOverride, MAX_BYTES, VERSION};
pub use process_role::{Event, ProcessRole, Stage};
