//! What can be wrong with a configuration.
//!
//! The numbers and names are part of the public answers and of the operators' pages: they stay.

use compact_str::CompactString;

/// The kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigFault {
    /// The body takes too many bytes, or too much memory to read.
    TooLarge = 201,
    /// The body is not UTF-8.
    NotUtf8 = 202,
    /// The body is not JSON.
    NotJson = 203,
    /// Lists and objects are nested too deep.
    TooDeep = 204,
    /// An object has too many members.
    TooManyMembers = 205,
    /// An object has a member twice.
    DuplicateMember = 206,
    /// A member is of another type.
    WrongType = 207,
    /// A required member is missing or empty.
    Missing = 208,
    /// A number is out of range.
    BadNumber = 209,
    /// A text is too long or malformed.
    BadName = 210,
    /// A list has too many entries.
    TooManyEntries = 211,
    /// A prefix does not start and end with a slash.
    BadPrefix = 212,
    /// The kind of a route is unknown.
    UnknownKind = 213,
    /// The time-out of a route is 0.
    ZeroTimeout = 214,
    /// A route leads to a service that is not there.
    UnknownService = 215,
    /// The weights of a route are unusable.
    BadWeights = 216,
    /// Two routes match the same requests.
    DuplicateRoute = 217,
    /// Two services have the same name.
    DuplicateService = 218,
    /// The version is not above the current one.
    OldVersion = 219,
}

impl ConfigFault {
    /// Its number, as in [`CODES`].
    pub const fn code(self) -> u16 {
        self as u16
    }
}

/// All numbers: each with its name and what it means.
pub const CODES: &[(u16, &str, &str)] = &[
    (ConfigFault::TooLarge.code(), "too-large", "The body is longer than 4 MiB, or takes more than 64 MiB of memory to read."),
    (ConfigFault::NotUtf8.code(), "not-utf-8", "The body is no text in UTF-8."),
    (ConfigFault::NotJson.code(), "not-json", "The body is no JSON, or not whole."),
    (ConfigFault::TooDeep.code(), "too-deep", "Lists and objects are nested more than 64 deep."),
    (ConfigFault::TooManyMembers.code(), "too-many-members", "An object has more than 1,024 members."),
    (ConfigFault::DuplicateMember.code(), "member-twice", "An object has a member twice, so that it can't be said what is meant."),
    (ConfigFault::WrongType.code(), "wrong-type", "A member is of another type than it has to be."),
    (ConfigFault::Missing.code(), "missing", "A member without which the configuration says nothing is missing or empty."),
    (ConfigFault::BadNumber.code(), "bad-figure", "A figure is below 0, above what the member takes, or not finite."),
    (ConfigFault::BadName.code(), "bad-name", "A text is too long or holds control characters, or a HealthPath does not start with a slash or holds spaces."),
    (ConfigFault::TooManyEntries.code(), "too-many", "There are more than 10,000 routes, 1,000 services, 100 targets of a route or 1,000 models of a service."),
    (ConfigFault::BadPrefix.code(), "bad-prefix", "A prefix does not start and end with a slash."),
    (ConfigFault::UnknownKind.code(), "unknown-kind", "The kind of a route is none of streaming, idempotent, mutating and bulk."),
    (ConfigFault::ZeroTimeout.code(), "no-time", "The TimeoutMs of a route is 0."),
    (ConfigFault::UnknownService.code(), "unknown-service", "A route names a service that the configuration does not have."),
    (ConfigFault::BadWeights.code(), "no-weight", "The weights of a route add up to 0, or one is below 0 or no number."),
    (ConfigFault::DuplicateRoute.code(), "route-twice", "Two routes have the same host and prefix."),
    (ConfigFault::DuplicateService.code(), "service-twice", "Two services have the same name."),
    (ConfigFault::OldVersion.code(), "old-version", "The Gen is not above that of the current configuration."),
];

/// What is wrong with a configuration, and where. Written with a `C` before the number.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("C{} {path}: {detail}", fault.code())]
pub struct ConfigError {
    fault: ConfigFault,
    path: CompactString,
    detail: String,
}

impl ConfigError {
    pub(crate) fn new(fault: ConfigFault, path: &str, detail: impl Into<String>) -> Self {
        ConfigError {
            fault,
            path: path.into(),
            detail: detail.into(),
        }
    }

    /// Its kind.
    pub fn fault(&self) -> ConfigFault {
        self.fault
    }

    /// Its number, as in [`CODES`].
    pub fn code(&self) -> u16 {
        self.fault.code()
    }

    /// The path of the member, as in `Routes[3].Svc`; `the body` if it is none.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The HTTP status of the answer to a call with this fault.
    pub fn status(&self) -> u16 {
        match self.fault {
            ConfigFault::TooLarge => 413,
            _ => 400,
        }
    }
}
