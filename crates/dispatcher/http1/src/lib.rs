//! HTTP/1.1 towards clients and towards targets.

#![expect(clippy::too_many_lines, reason = "not revised yet")]

mod connections;
mod guard;
mod head;
mod io;
mod listener;
mod socket;
mod target;

pub use connections::{Answers, Asked, Connections, Phase, Reading};
pub use guard::{Guard, Guards, Waits};
pub use io::Observer;
pub use listener::{Listener, Terms};
pub use socket::{Socket, SocketIo};
pub use target::connection;

use dispatch_api::Micros;

/// A span in seconds, as the headers have it.
fn seconds(span: Micros) -> String {
    format!("{:.3}", span as f64 / 1.0e6)
}
