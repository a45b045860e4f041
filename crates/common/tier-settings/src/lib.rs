//! The settings file of a process of the tier: read, checked and given defaults in one place.
//!
//! The file is TOML; [`ENV_VAR`] holds its path. An unknown key is ignored, a missing one gets its
//! default unless it is required, and every error has a code ([`CODES`]) and names its key and
//! line. A file that changed is read by another [`Settings::load`]; [`Settings::reload`] says what
//! of it takes effect.

mod bounds;
mod error;
mod limits;
mod ports;
mod reader;
mod reload;
mod settings;

pub use bounds::{BoundKey, Bounds};
pub use error::{Address, Fault, SettingsError, Type, CODES};
pub use limits::{FaultBudget, Limits};
pub use ports::{PeerRole, PortRange};
pub use reload::Reload;
pub use settings::Settings;

/// The environment variable with the path of the file.
pub const ENV_VAR: &str = "FORDRELAY_BOOT";
/// Longest file that is read, in bytes: one of a thousand zones is far shorter.
pub const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Most entries of a list or a table: zones, peers, guarantees.
pub const MAX_ENTRIES: usize = 4_096;
