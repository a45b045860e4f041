//! What goes to stdout.

use super::error::TierError;
use std::io::Write;

/// Prints all of it at once.
pub fn print(text: impl AsRef<[u8]>) -> Result<(), TierError> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_ref())
        .and_then(|()| out.flush())
        .map_err(TierError::Program)
}
