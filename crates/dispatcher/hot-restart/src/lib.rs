//! Two processes of one dispatcher, as while a new version is brought in: who may do what, and what passes between
//! them. Nothing here reads a clock, touches a file or a socket.

mod note;
mod place;

pub use note::{Note, NoteError, Word, LARGEST, VERSION};
pub use place::{Event, Place, Stage};
