//! What can be wrong with a settings file.

use crate::ports::PeerRole;
use compact_str::CompactString;
use std::fmt;

/// The numbers of the faults, as the operators' page of result codes lists them.
mod code {
    pub const VARIABLE: u16 = 101;
    pub const FILE: u16 = 102;
    pub const SIZE: u16 = 103;
    pub const TOML: u16 = 104;
    pub const MISSING: u16 = 105;
    pub const TYPE: u16 = 106;
    pub const TEXT: u16 = 107;
    pub const ADDRESS: u16 = 108;
    pub const PORTS: u16 = 109;
    pub const RANGE: u16 = 110;
    pub const MANY: u16 = 111;
    pub const OTHER_PROCESS: u16 = 112;
    pub const CUT_SHORT: u16 = 113;
}

/// All codes in rising order: each with its name and what it means.
pub const CODES: &[(u16, &str, &str)] = &[
    (code::VARIABLE, "no-variable", "The variable FORDRELAY_BOOT names no file."),
    (code::FILE, "unreadable", "The file can't be read; the line says why."),
    (code::SIZE, "too-large", "The file is longer than 1 MiB."),
    (code::TOML, "not-toml", "The file is no TOML, or no text in UTF-8."),
    (code::MISSING, "missing", "A key without which nothing can be done is missing."),
    (code::TYPE, "wrong-type", "The value is of another type than the key takes."),
    (
        code::TEXT,
        "bad-text",
        "A text is empty, longer than 1,024 bytes, or holds control characters.",
    ),
    (code::ADDRESS, "bad-address", "The value is no IP number, or no IP number with a port."),
    (
        code::PORTS,
        "bad-ports",
        "The range of ports is not two ports in rising order, or has no room for the role.",
    ),
    (code::RANGE, "out-of-range", "A figure is below or above what the key takes."),
    (code::MANY, "too-many", "A list or a table has more than 4,096 entries."),
    (
        code::OTHER_PROCESS,
        "another-process",
        "Read again: the file is another process's, by Node, Role, Ip or PortRange. Nothing of it is taken.",
    ),
    (
        code::CUT_SHORT,
        "cut-short",
        "Read again: a key that may change is gone, Peers is empty, or the last line has no end: the file isn't whole. \
         Nothing of it is taken.",
    ),
];

/// What is wrong with a value or a file. The texts are those that the operators' pages give.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum Fault {
    /// The variable isn't set.
    #[error("names no file")]
    NoFileNamed,
    /// The file can't be read; what the system says.
    #[error("{0}")]
    Unreadable(String),
    /// The file is longer than [`crate::MAX_FILE_BYTES`].
    #[error("is longer than 1 MiB")]
    FileTooLarge,
    /// The file isn't UTF-8.
    #[error("is no text in UTF-8")]
    NotUtf8,
    /// The file isn't TOML; what the parser says.
    #[error("is no TOML: {0}")]
    NotToml(String),
    /// A required key is missing.
    #[error("is missing")]
    Missing,
    /// The value is of another type.
    #[error("must be {0}")]
    WrongType(Type),
    /// A text that must not be empty is.
    #[error("is empty")]
    EmptyText,
    /// A text is too long.
    #[error("is longer than 1,024 bytes")]
    TextTooLong,
    /// A text holds control characters.
    #[error("holds control characters")]
    ControlCharacters,
    /// The text isn't an address.
    #[error("{text:?} is no {expected}")]
    BadAddress {
        /// The text.
        text: CompactString,
        /// What it should be.
        expected: Address,
    },
    /// The value isn't a range of ports.
    #[error("must be two ports, from 1 to 65,535, the first not above the last")]
    BadPortRange,
    /// The range of ports is too short for the role.
    #[error("has no port for a {0:?}")]
    NoPort(PeerRole),
    /// A number is out of the range of its key.
    #[error("must be from {min} to {max}, but is {found}")]
    OutOfRange {
        /// The least value.
        min: f64,
        /// The greatest value.
        max: f64,
        /// The value.
        found: f64,
    },
    /// A list or a table has more than [`crate::MAX_ENTRIES`] entries.
    #[error("has more than 4,096 entries")]
    TooManyEntries,
    /// A reloaded file is another process's.
    #[error("is another process's")]
    OtherProcess,
    /// A reloaded file lacks a key that it had.
    #[error("stood in the file before, and is missing")]
    KeyRemoved,
    /// A reloaded file has no peers any more.
    #[error("names nobody any more")]
    NoPeersLeft,
    /// A reloaded file ends amid a line.
    #[error("has no end to its last line")]
    NoLineEnd,
}

/// The type of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Type {
    /// A table.
    Table,
    /// A string.
    Text,
    /// A boolean.
    Flag,
    /// An array.
    List,
    /// An integer or a float, finite.
    Number,
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Type::Table => "a table",
            Type::Text => "a text",
            Type::Flag => "true or false",
            Type::List => "a list",
            Type::Number => "a figure",
        })
    }
}

/// The kind of an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Address {
    /// An IP address alone.
    Ip,
    /// An IP address with a port.
    Socket,
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Address::Ip => "IP number",
            Address::Socket => "IP number with a port",
        })
    }
}

impl Fault {
    fn code(&self) -> u16 {
        match self {
            Fault::NoFileNamed => code::VARIABLE,
            Fault::Unreadable(_) => code::FILE,
            Fault::FileTooLarge => code::SIZE,
            Fault::NotUtf8 | Fault::NotToml(_) => code::TOML,
            Fault::Missing => code::MISSING,
            Fault::WrongType(_) => code::TYPE,
            Fault::EmptyText | Fault::TextTooLong | Fault::ControlCharacters => code::TEXT,
            Fault::BadAddress { .. } => code::ADDRESS,
            Fault::BadPortRange | Fault::NoPort(_) => code::PORTS,
            Fault::OutOfRange { .. } => code::RANGE,
            Fault::TooManyEntries => code::MANY,
            Fault::OtherProcess => code::OTHER_PROCESS,
            Fault::KeyRemoved | Fault::NoPeersLeft | Fault::NoLineEnd => code::CUT_SHORT,
        }
    }
}

/// What is wrong with a settings file: the fault, the key, and the line where it is known.
/// Displayed with an `S` and the code at the beginning.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub struct SettingsError {
    key: CompactString,
    line: Option<usize>,
    fault: Fault,
}

/// Stands for the key where the fault is the file's.
pub(crate) const FILE: &str = "the file";

impl SettingsError {
    pub(crate) fn new(key: &str, fault: Fault) -> Self {
        SettingsError {
            key: key.into(),
            line: None,
            fault,
        }
    }

    /// Adds the line of the byte at this offset.
    pub(crate) fn at(mut self, text: &str, offset: usize) -> Self {
        let before = text.as_bytes().iter().take(offset);
        self.line = Some(1 + before.filter(|byte| **byte == b'\n').count());
        self
    }

    /// The text isn't TOML.
    pub(crate) fn not_toml(text: &str, error: &toml::de::Error) -> Self {
        let printable = |c: char| if c.is_control() { ' ' } else { c };
        let message = error.message().chars().take(200).map(printable).collect();
        let error_of_file = SettingsError::new(FILE, Fault::NotToml(message));
        match error.span() {
            Some(span) => error_of_file.at(text, span.start),
            None => error_of_file,
        }
    }

    /// Its code, as in [`CODES`].
    pub fn code(&self) -> u16 {
        self.fault.code()
    }

    /// What is wrong.
    pub fn fault(&self) -> &Fault {
        &self.fault
    }

    /// The key, with its table before it.
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The line, where it is known.
    pub fn line(&self) -> Option<usize> {
        self.line
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "S{} {}", self.code(), self.key)?;
        if let Some(line) = self.line {
            write!(f, " (line {line})")?;
        }
        write!(f, ": {}", self.fault)
    }
}
