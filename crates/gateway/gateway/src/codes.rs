//! The numbered lines of the log that tell of something odd. The table also stands in the docs.

/// The process can't start.
pub const CANT_START: u16 = 2_100;
/// A frame of an unknown kind came from another process.
pub const UNKNOWN_FRAME: u16 = 2_101;
/// A frame came that can't be read.
pub const UNREADABLE_FRAME: u16 = 2_102;
/// The entry of a runner can't be read.
pub const UNREADABLE_RUNNER: u16 = 2_103;
/// The map of the stores can't be read.
pub const UNREADABLE_MAP: u16 = 2_104;
/// A configuration was told under another number than its own.
pub const OTHER_NUMBER: u16 = 2_105;
/// A configuration that was told can't be read.
pub const UNREADABLE_CONFIG: u16 = 2_106;
/// The settings file could not be read again.
pub const SETTINGS_KEPT: u16 = 2_107;
/// The process ended while something was open.
pub const ENDED_OPEN: u16 = 2_108;
/// Keys of the settings file have changed that are read at the start only.
pub const AT_NEXT_START: u16 = 2_109;
/// A connection of another process was refused.
pub const CONNECTION_REFUSED: u16 = 2_110;
/// The entry of a roll-out can't be read.
pub const UNREADABLE_ROLLOUT: u16 = 2_112;
/// An address is still in use, probably by a predecessor that is being stopped; it is waited for.
pub const ADDRESS_IN_USE: u16 = 2_111;
/// A runner's answer can't be passed on.
pub const UNEXPECTED_RESPONSE: u16 = 2_301;

/// All codes with their short names and what they mean.
pub const CODES: &[(u16, &str, &str)] = &[
    (CANT_START, "cant-start", "the process can't start; the line says why (settings, address)"),
    (
        UNKNOWN_FRAME,
        "unknown-frame",
        "a frame of an unknown kind came from another process; it is passed over",
    ),
    (UNREADABLE_FRAME, "unreadable-frame", "a frame came that can't be read; it is passed over"),
    (UNREADABLE_RUNNER, "unreadable-runner", "the entry of a runner can't be read; the runner is as before"),
    (UNREADABLE_MAP, "unreadable-map", "the map of the stores can't be read; the one before holds"),
    (
        OTHER_NUMBER,
        "other-number",
        "a configuration was told under another number than its own; it is not used",
    ),
    (UNREADABLE_CONFIG, "unreadable-config", "a configuration that was told can't be read; it is not used"),
    (
        SETTINGS_KEPT,
        "settings-kept",
        "the settings file could not be read again, or is not this process's or not whole; all stays as it was",
    ),
    (ENDED_OPEN, "ended-open", "the process ended at the end of its grace while something was open"),
    (
        AT_NEXT_START,
        "at-next-start",
        "keys of the settings file have changed that take effect at the next start only",
    ),
    (
        CONNECTION_REFUSED,
        "connection-refused",
        "a connection with another process ended, since its bytes were refused, no hello came, or too many are open",
    ),
    (
        ADDRESS_IN_USE,
        "address-in-use",
        "an address is still in use, probably by a predecessor that is being stopped; it is waited for",
    ),
    (
        UNREADABLE_ROLLOUT,
        "unreadable-rollout",
        "the entry of a roll-out can't be read; the roll-out is as before",
    ),
    (
        UNEXPECTED_RESPONSE,
        "odd-answer",
        "a runner's answer can't be passed on: it is another request's, or has no stamp",
    ),
];
