//! The operators' file: HCL, with what is this program's own. Every key is checked, and an error
//! names file, line and key, and says what is expected.

mod degradation;
mod levels;
mod source;

use ::degradation::DegradationConfig;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

pub use levels::{Admit, AdmitWord, BoundsBlock, ClassBlock, LevelBlock, Levels};
pub(crate) use source::faulty_key;
pub use source::{OperatorError, Source};

/// The file as it is written, with defaults for omitted keys.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OperatorConfig {
    /// The log.
    pub log: LogSettings,
    /// The listener for operators; `None`: there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admin: Option<AdminSettings>,
    /// The failure detection of other dispatchers; `None`: they are not watched.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub membership: Option<MembershipSettings>,
    /// What passes from one process of this dispatcher to the next; none, and only an inherited
    /// socket has it passed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub handover: Option<HotRestart>,
    /// The levels of degradation; `None`: there are none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub levels: Option<Levels>,
}

/// The failure detection of other dispatchers. Applied at the start only; to be set
/// alike at all of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MembershipSettings {
    /// The protocol period: one of them is pinged in each, 50 to 60000 ms.
    #[serde(default = "period_ms")]
    pub period_ms: u64,
}

fn period_ms() -> u64 {
    500
}

/// What a process of this dispatcher hands to the next one. Applied at the start only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotRestart {
    /// Where it is kept: an absolute path, in which a directory for this dispatcher is made.
    pub folder: PathBuf,
}

/// What is logged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// One line of text or one JSON object for each event. Applied at the start only.
    pub format: LogFormat,
    /// What is logged: `error`, `warn`, `info`, `debug` or `trace`, or by part, as in
    /// `info,http1=debug`.
    pub level: String,
}

/// How a line of the log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text, for people.
    Text,
    /// JSON, for machines.
    Json,
}

impl Default for LogSettings {
    fn default() -> Self {
        LogSettings {
            format: LogFormat::Text,
            level: "info".into(),
        }
    }
}

/// The listener for operators. Applied at the start only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Where it listens. It authenticates nobody, so no client must reach it.
    pub listen: SocketAddr,
    /// Connections that may be open together, 1 to 256.
    #[serde(default = "connections")]
    pub connections: usize,
    /// The time-out for receiving a request, 1 to 60000 ms.
    #[serde(default = "request_ms")]
    pub request_ms: u64,
}

fn connections() -> usize {
    8
}

fn request_ms() -> u64 {
    2_000
}

impl OperatorConfig {
    /// Reads a file.
    ///
    /// # Errors
    /// The first fault, with the line and the key that it is in.
    pub fn load(path: &Path) -> Result<(Self, Source), OperatorError> {
        let text = std::fs::read_to_string(path).map_err(|source| OperatorError::Read {
            path: path.to_path_buf(),
            source,
        })?;
        Self::parse(path, &text)
    }

    /// Reads a text that goes by this name.
    ///
    /// # Errors
    /// The first fault, with the line and the key that it is in.
    pub fn parse(path: &Path, text: &str) -> Result<(Self, Source), OperatorError> {
        let source = Source::new(path, text);
        let body = hcl::de::Deserializer::from_str(text).map_err(|e| source.unreadable(&e))?;
        let operator: OperatorConfig = serde_path_to_error::deserialize(body).map_err(|e| {
            let fault = e.inner().to_string();
            source.fault(&faulty_key(&e.path().to_string(), &fault), fault)
        })?;
        operator.check(&source)?;
        Ok((operator, source))
    }

    fn check(&self, source: &Source) -> Result<(), OperatorError> {
        if let Some(admin) = &self.admin {
            if !(1..=256).contains(&admin.connections) {
                return Err(source.fault("admin.connections", "must be 1 to 256"));
            }
            if !(1..=60_000).contains(&admin.request_ms) {
                return Err(source.fault("admin.request_ms", "must be 1 to 60000"));
            }
        }
        if let Some(membership) = &self.membership {
            if !(50..=60_000).contains(&membership.period_ms) {
                return Err(source.fault("membership.period_ms", "must be 50 to 60000"));
            }
        }
        if let Some(handover) = &self.handover {
            if !handover.folder.is_absolute() {
                return Err(source.fault(
                    "handover.folder",
                    "must be an absolute path, as in \"/var/lib/fordrelay\"",
                ));
            }
        }
        Ok(())
    }

    /// The degradation for classes of these names; `None` if there are no levels, or they are not
    /// enabled.
    ///
    /// # Errors
    /// The first fault, with the line and the key that it is in.
    pub fn degradation(
        &self,
        classes: &[String],
        source: &Source,
    ) -> Result<Option<DegradationConfig>, OperatorError> {
        let levels = self.levels.as_ref().filter(|levels| levels.enabled);
        levels
            .map(|levels| levels.resolve(classes, source))
            .transpose()
    }
}
