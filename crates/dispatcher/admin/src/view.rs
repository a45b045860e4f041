//! What operators are shown, as JSON. Times are Unix time in milliseconds.

mod levels;
mod maintenance;
mod members;

pub use levels::{Changed, Figure, Levels};
pub use maintenance::{Maintenance, MaintenanceTarget};
pub use members::Member;

use dispatch_api::Micros;

fn ms(time: Micros) -> u64 {
    time / 1_000
}
