//! HTTP/1.1 towards clients and towards targets.

mod client;
mod guard;
mod head;
mod io;
mod listener;
mod target;

pub use listener::{Listener, Phase, Terms};
pub use target::connection;

use api::Micros;

/// A span in seconds, as the headers have it.
fn seconds(span: Micros) -> String {
    format!("{:.3}", span as f64 / 1.0e6)
}
