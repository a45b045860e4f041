//! Why a command failed.

use route_config::ConfigError;
use tier_settings::SettingsError;

/// The codes of the command's own errors, each with its name and what it means.
pub const CODES: &[(u16, &str, &str)] = &[
    (301, "not-reached", "No address answered, and nothing was done."),
    (
        302,
        "unclear",
        "There was no clear answer: what was asked for may have been done. Ask again unchanged, or look.",
    ),
    (
        303,
        "another-version",
        "Another version is current than the one the configuration builds on (412).",
    ),
    (304, "invalid", "What was sent is invalid or too large (400, 413, 422)."),
    (305, "unknown", "There is no such thing (404, 410)."),
    (306, "conflict", "It is under way already, or too few machines would be left (409)."),
    (307, "refused", "Refused with another status."),
    (308, "unreadable", "The answer can't be read."),
    (309, "no-file", "A file can't be read."),
    (310, "not-now", "Refused for now at every try (408, 421, 429)."),
    (311, "not-all", "Not every address answered."),
    (312, "program", "The program itself could not go on."),
    (313, "reverted", "The new version was found to be bad: all traffic goes to the old one."),
];

/// Why a command failed. The texts are those that the operators' pages give.
#[derive(Debug, thiserror::Error)]
pub enum TierError {
    /// No address answered.
    #[error("O301 not-reached: {0}")]
    NotReached(String),
    /// The outcome of an operation is unknown.
    #[error("O302 unclear: {0}")]
    Unknown(String),
    /// The answer was an error status.
    #[error("O{code} {name}: {text}", code = code_of(*.status), name = name_of(code_of(*.status)))]
    Refused {
        /// The status.
        status: u16,
        /// Which address answered what.
        text: String,
        /// An attempt with an unknown outcome came before it, so that it may be about what that
        /// attempt did.
        after_unknown: bool,
    },
    /// An answer that can't be decoded.
    #[error("O308 unreadable: {0}")]
    Unreadable(String),
    /// A file that can't be read.
    #[error("O309 no-file: {0}")]
    NoFile(String),
    /// Some addresses did not answer.
    #[error("O311 not-all: {0}")]
    NotAll(String),
    /// What the system says.
    #[error("O312 program: {0}")]
    Program(#[source] std::io::Error),
    /// A roll-out that was followed was taken back.
    #[error("O313 reverted: version {0} was found to be bad")]
    Reverted(String),
    /// An invalid configuration.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// Invalid settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The code of an error status.
fn code_of(status: u16) -> u16 {
    match status {
        412 => 303,
        400 | 413 | 422 => 304,
        404 | 410 => 305,
        409 => 306,
        408 | 421 | 429 => 310,
        _ => 307,
    }
}

fn name_of(code: u16) -> &'static str {
    CODES
        .iter()
        .find(|(known, ..)| *known == code)
        .map_or("", |(_, name, _)| name)
}
