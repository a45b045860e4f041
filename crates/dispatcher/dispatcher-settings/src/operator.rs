//! The operators' file: HCL, with what is this program's own. Every key is checked, and an error names file, line
//! and key and says what would be right.

use degradation::{DegradationConfig, Level, Metric, Threshold, Thresholds};
use dispatch_api::{AdmissionPolicy, ClassAdmission, Micros};
use hcl_edit::structure::{Body, Structure};
use hcl_edit::Span;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The file as it is written, with defaults for what it does not say.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// What is logged.
    pub log: Log,
    /// The listener for operators; none, and there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub admin: Option<Admin>,
    /// Watching the other dispatchers; none, and they are not watched.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub membership: Option<Membership>,
    /// What passes from one process of this dispatcher to the next; none, and only an inherited socket has it passed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub handover: Option<Handover>,
    /// Levels of reduced service; none, and there are none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub levels: Option<Levels>,
}

/// Watching the other dispatchers: who of them is alive. Counts from the start only; to be set alike at all of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// One of them is pinged in each, 50 to 60000.
    #[serde(default = "period_ms")]
    pub period_ms: u64,
}

fn period_ms() -> u64 {
    500
}

/// What passes from one process of this dispatcher to the next. Counts from the start only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Handover {
    /// Where it is kept, an absolute path; a folder for this dispatcher is made in it.
    pub folder: PathBuf,
}

/// What is logged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// One line of text or one JSON object for each event. Counts from the start only.
    pub format: Format,
    /// What is logged: `error`, `warn`, `info`, `debug` or `trace`, or by part, as in `info,http1=debug`.
    pub level: String,
}

/// How a line of the log is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    Text,
    /// For machines.
    Json,
}

impl Default for Log {
    fn default() -> Self {
        Log {
            format: Format::Text,
            level: "info".into(),
        }
    }
}

/// The listener for operators. Counts from the start only.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Admin {
    /// Where it listens; keep it where no client reaches it, since it asks nobody who they are.
    pub listen: SocketAddr,
    /// Connections that may be open together, 1 to 256.
    #[serde(default = "connections")]
    pub connections: usize,
    /// A request must have come whole within so long, 1 to 60000.
    #[serde(default = "request_ms")]
    pub request_ms: u64,
}

fn connections() -> usize {
    8
}

fn request_ms() -> u64 {
    2_000
}

/// Levels of reduced service. Spans are milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Levels {
    /// Whether they are watched at all.
    pub enabled: bool,
    /// How often the figures are read.
    pub look_ms: u64,
    /// No change before a list of targets has been fresh for so long.
    pub settle_in_ms: u64,
    /// The usual capacity follows a lasting loss by half in this time.
    pub usual_half_life_ms: u64,
    /// Shares are taken over this ...
    pub short_ms: u64,
    /// ... and, to enter a level, over this as well.
    pub long_ms: u64,
    /// Shares of fewer answers or attempts say nothing.
    pub least_answers: u64,
    /// Between two steps up lies at least this, unless capacity vanishes.
    pub step_ms: u64,
    /// A level entered again within this after it was left is held twice as long.
    pub relapse_ms: u64,
    /// Half of that is forgiven in this.
    pub forgive_ms: u64,
    /// The longest that `leave.for_ms` can become by that.
    pub hold_most_ms: u64,
    /// Changes that are kept to be shown.
    pub history: usize,
    /// The longest that a level can be forced for.
    pub force_most_ms: u64,
    /// The levels, from the mildest to the severest.
    pub level: IndexMap<String, LevelBlock>,
}

impl Default for Levels {
    fn default() -> Self {
        Levels {
            enabled: true,
            look_ms: 100,
            settle_in_ms: 10_000,
            usual_half_life_ms: 600_000,
            short_ms: 2_000,
            long_ms: 8_000,
            least_answers: 20,
            step_ms: 12_000,
            relapse_ms: 60_000,
            forgive_ms: 300_000,
            hold_most_ms: 120_000,
            history: 32,
            force_most_ms: 3_600_000,
            level: IndexMap::new(),
        }
    }
}

/// One level.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LevelBlock {
    /// Any of these enters it.
    pub enter: BoundsBlock,
    /// All of these leave it; a bound that is not given is half of the one for entering.
    pub leave: BoundsBlock,
    /// What it does with a class; one that is not named has full service.
    pub class: IndexMap<String, ClassBlock>,
    /// Flows that may be open together.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_flows: Option<usize>,
    /// Nothing new is turned away while held work would take less than this; 0, and it always is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub while_wait_ms: Option<u64>,
    /// Advice to those turned away, before it is spread from half to one and a half times.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Bounds on figures.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundsBlock {
    /// For so long without a break; 500 to enter and 22000 to leave where it is not given.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_ms: Option<u64>,
    /// Held work, as a wait.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<f64>,
    /// Share of the usual capacity that is lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lost: Option<f64>,
    /// By class, the share not served in time.
    #[serde(skip_serializing_if = "IndexMap::is_empty")]
    pub late: IndexMap<String, f64>,
    /// Share of attempts turned away.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refused: Option<f64>,
    /// Open flows, as a share of their limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub flows: Option<f64>,
    /// Memory, as a share of its limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub memory: Option<f64>,
    /// Descriptors, as a share of their limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<f64>,
}

/// What a level does with a class.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClassBlock {
    /// Which new jobs are taken: `"all"`, `"none"` or a share.
    pub admit: Admit,
    /// No jobs of more slots.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub largest_slots: Option<f64>,
    /// Attempts for one job, the first included.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub attempts: Option<u32>,
    /// Turned away unless sent within this.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hold_ms: Option<u64>,
    /// Slots that a job leaves free beside its own.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub headroom: Option<f64>,
}

/// Which new jobs are taken.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(
    untagged,
    expecting = "\"all\", \"none\" or a share from 0 to 1 is wanted"
)]
pub enum Admit {
    /// Each or none.
    Word(AdmitWord),
    /// So large a share.
    Share(f64),
}

/// Each or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdmitWord {
    /// Every job.
    All,
    /// No job.
    None,
}

impl Default for Admit {
    fn default() -> Self {
        Admit::Word(AdmitWord::All)
    }
}

impl Admit {
    fn share(self) -> f64 {
        match self {
            Admit::Word(AdmitWord::All) => 1.0,
            Admit::Word(AdmitWord::None) => 0.0,
            Admit::Share(share) => share,
        }
    }
}

/// Why the operators' file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// It can't be read.
    #[error("can't read {path}: {error}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system says.
        error: std::io::Error,
    },
    /// A line is wrong.
    #[error("{}", place(path, *line, key, fault))]
    Fault {
        /// The file.
        path: PathBuf,
        /// The line, from 1, where it is known.
        line: Option<usize>,
        /// The key, with those of the blocks around it.
        key: String,
        /// What is wrong, and what would be right.
        fault: String,
    },
}

fn place(path: &Path, line: Option<usize>, key: &str, fault: &str) -> String {
    let line = line.map_or(String::new(), |line| format!(":{line}"));
    let key = if key.is_empty() {
        String::new()
    } else {
        format!("{key}: ")
    };
    format!("{}{line}: {key}{fault}", path.display())
}

/// The text of an operators' file, which its faults are found in.
#[derive(Debug, Clone)]
pub struct Source {
    path: PathBuf,
    text: String,
}

impl Source {
    /// A text and the name that it goes by.
    pub fn new(path: &Path, text: &str) -> Self {
        Source {
            path: path.to_path_buf(),
            text: text.to_owned(),
        }
    }

    /// A fault at a key, as in `levels.level.trim.enter.wait_ms`.
    pub fn fault(&self, key: &str, fault: impl fmt::Display) -> OperatorError {
        let body = hcl_edit::parser::parse_body(&self.text).ok();
        let offset = body.and_then(|body| offset(&body, &key.split('.').collect::<Vec<_>>()));
        let line = offset.map(|at| self.text.as_bytes()[..at.min(self.text.len())].iter());
        let line = line.map(|bytes| 1 + bytes.filter(|b| **b == b'\n').count());
        OperatorError::Fault {
            path: self.path.clone(),
            line,
            key: key.to_owned(),
            fault: fault.to_string(),
        }
    }
}

/// Where a key stands: as near to it as the text has it.
fn offset(body: &Body, keys: &[&str]) -> Option<usize> {
    let (first, rest) = keys.split_first()?;
    body.iter().find_map(|structure| match structure {
        Structure::Attribute(a) if a.key.as_str() == *first => a.span().map(|s| s.start),
        Structure::Block(b) if b.ident.as_str() == *first => {
            let labelled = b
                .labels
                .iter()
                .zip(rest)
                .all(|(label, key)| label.as_str() == *key);
            let inner = rest.get(b.labels.len()..).unwrap_or_default();
            let here = b.span().map(|s| s.start);
            labelled.then(|| offset(&b.body, inner).or(here))?
        }
        _ => None,
    })
}

/// The key that a fault of serde's is in; it names one that is missing or unknown only in its words.
pub(crate) fn named(path: &str, fault: &str) -> String {
    let field = ["missing field `", "unknown field `"]
        .iter()
        .find_map(|start| {
            let (_, rest) = fault.split_once(start)?;
            rest.split_once('`').map(|(name, _)| name)
        });
    let path = if path == "." { "" } else { path };
    match field {
        Some(field) if path.is_empty() => field.to_owned(),
        Some(field) if path.rsplit('.').next() != Some(field) => format!("{path}.{field}"),
        _ => path.to_owned(),
    }
}

impl Operator {
    /// Reads a file.
    ///
    /// # Errors
    /// The first fault, with the line and the key that it is in.
    pub fn load(path: &Path) -> Result<(Self, Source), OperatorError> {
        let text = std::fs::read_to_string(path).map_err(|error| OperatorError::Read {
            path: path.to_path_buf(),
            error,
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
        let operator: Operator = serde_path_to_error::deserialize(body).map_err(|e| {
            let fault = e.inner().to_string();
            source.fault(&named(&e.path().to_string(), &fault), fault)
        })?;
        if let Some(admin) = &operator.admin {
            if !(1..=256).contains(&admin.connections) {
                return Err(source.fault("admin.connections", "must be 1 to 256"));
            }
            if !(1..=60_000).contains(&admin.request_ms) {
                return Err(source.fault("admin.request_ms", "must be 1 to 60000"));
            }
        }
        if operator
            .membership
            .as_ref()
            .is_some_and(|m| !(50..=60_000).contains(&m.period_ms))
        {
            return Err(source.fault("membership.period_ms", "must be 50 to 60000"));
        }
        if operator
            .handover
            .as_ref()
            .is_some_and(|h| !h.folder.is_absolute())
        {
            return Err(source.fault(
                "handover.folder",
                "must be an absolute path, as in \"/var/lib/fordrelay\"",
            ));
        }
        Ok((operator, source))
    }

    /// The levels for classes of these names, if there are any and they are enabled.
    ///
    /// # Errors
    /// The first fault, with the line and the key that it is in.
    pub fn spec(
        &self,
        classes: &[String],
        source: &Source,
    ) -> Result<Option<DegradationConfig>, OperatorError> {
        let Some(levels) = self.levels.as_ref().filter(|l| l.enabled) else {
            return Ok(None);
        };
        if levels.level.is_empty() {
            return Err(source.fault(
                "levels",
                "needs a level at least, as in level \"trim\" { ... }",
            ));
        }
        let resolve = |(name, level): (&String, &LevelBlock)| level.resolve(name, classes, source);
        let spec = DegradationConfig {
            poll_interval: micros(levels.look_ms),
            startup_grace: micros(levels.settle_in_ms),
            baseline_half_life: micros(levels.usual_half_life_ms),
            short_window: micros(levels.short_ms),
            long_window: micros(levels.long_ms),
            min_samples: levels.least_answers,
            step_interval: micros(levels.step_ms),
            relapse_window: micros(levels.relapse_ms),
            relapse_half_life: micros(levels.forgive_ms),
            max_hold: micros(levels.hold_most_ms),
            history: levels.history,
            max_forced: micros(levels.force_most_ms),
            levels: levels.level.iter().map(resolve).collect::<Result<_, _>>()?,
        };
        spec.check()
            .map_err(|e| source.fault(&format!("levels.{}", e.key), e.fault))?;
        Ok(Some(spec))
    }
}

impl Source {
    fn unreadable(&self, error: &hcl::Error) -> OperatorError {
        let line = match error {
            hcl::Error::Parse(e) => Some(e.location().line()),
            _ => None,
        };
        // The parser draws the line under its words; the line's number is said already.
        let text = match error {
            hcl::Error::Parse(e) => e.message().to_owned(),
            other => other.to_string(),
        };
        OperatorError::Fault {
            path: self.path.clone(),
            line,
            key: String::new(),
            fault: text,
        }
    }
}

fn micros(ms: u64) -> Micros {
    ms.saturating_mul(1_000)
}

const ENTER_FOR_MS: u64 = 500;
const LEAVE_FOR_MS: u64 = 22_000;
/// A bound for leaving that is not given, as a share of the one for entering.
const LEAVE_SHARE: f64 = 0.5;
const RETRY_AFTER_MS: u64 = 1_000;

fn class(name: &str, classes: &[String]) -> Result<usize, String> {
    let known = classes.iter().position(|c| c == name);
    known.ok_or_else(|| {
        format!(
            "no class is called {name:?}; there are {}",
            classes.join(", ")
        )
    })
}

impl LevelBlock {
    fn resolve(
        &self,
        name: &str,
        classes: &[String],
        source: &Source,
    ) -> Result<Level, OperatorError> {
        let at = |key: &str| format!("levels.level.{name}.{key}");
        let enter = self
            .enter
            .resolve(classes)
            .map_err(|(k, e)| source.fault(&at(&format!("enter.{k}")), e))?;
        let mut leave = self
            .leave
            .resolve(classes)
            .map_err(|(k, e)| source.fault(&at(&format!("leave.{k}")), e))?;
        for Threshold { metric, bound } in &enter.0 {
            if leave.get(*metric).is_none() {
                let (metric, bound) = (*metric, bound * LEAVE_SHARE);
                leave.0.push(Threshold { metric, bound });
            }
        }
        let mut terms = vec![ClassAdmission::default(); classes.len()];
        for (name, block) in &self.class {
            let key = |key: &str| {
                at(&format!(
                    "class.{name}{}{key}",
                    if key.is_empty() { "" } else { "." }
                ))
            };
            let class = class(name, classes).map_err(|e| source.fault(&key(""), e))?;
            let share = block.admit.share();
            if !(0.0..=1.0).contains(&share) {
                return Err(source.fault(
                    &key("admit"),
                    "must be \"all\", \"none\" or a share from 0 to 1",
                ));
            }
            if block
                .largest_slots
                .is_some_and(|s| !(s.is_finite() && s >= 0.0))
            {
                return Err(source.fault(&key("largest_slots"), "must be 0 or more"));
            }
            if block.attempts == Some(0) {
                return Err(source.fault(
                    &key("attempts"),
                    "must be 1 or more; to take none, say admit = \"none\"",
                ));
            }
            if block
                .headroom
                .is_some_and(|s| !(0.0..=1_000.0).contains(&s))
            {
                return Err(source.fault(&key("headroom"), "must be 0 to 1000 slots"));
            }
            terms[class] = ClassAdmission {
                admitted_share: share,
                max_slots: block.largest_slots.unwrap_or(f64::INFINITY),
                max_attempts: block.attempts.unwrap_or(u32::MAX),
                max_hold: block.hold_ms.map(micros),
                reserved_slots: block.headroom.unwrap_or(0.0),
            };
        }
        Ok(Level {
            name: name.to_owned(),
            enter,
            enter_for: micros(self.enter.for_ms.unwrap_or(ENTER_FOR_MS)),
            leave,
            leave_for: micros(self.leave.for_ms.unwrap_or(LEAVE_FOR_MS)),
            admission: AdmissionPolicy {
                classes: terms,
                max_open_jobs: self.open_flows.unwrap_or(usize::MAX),
                min_backlog: micros(self.while_wait_ms.unwrap_or(0)),
                retry_after: micros(self.retry_after_ms.unwrap_or(RETRY_AFTER_MS)),
            },
        })
    }
}

impl BoundsBlock {
    fn resolve(&self, classes: &[String]) -> Result<Thresholds, (String, String)> {
        let plain = [
            (Metric::QueueingDelay, self.wait_ms),
            (Metric::LostCapacity, self.lost),
            (Metric::RejectedAttempts, self.refused),
            (Metric::OpenFlows, self.flows),
            (Metric::Memory, self.memory),
            (Metric::Descriptors, self.descriptors),
        ];
        let mut bounds: Vec<_> = plain
            .into_iter()
            .filter_map(|(metric, bound)| {
                Some(Threshold {
                    metric,
                    bound: bound?,
                })
            })
            .collect();
        for (name, bound) in &self.late {
            let class = class(name, classes).map_err(|e| (format!("late.{name}"), e))?;
            bounds.push(Threshold {
                metric: Metric::MissedDeadlines(class),
                bound: *bound,
            });
        }
        Ok(Thresholds(bounds))
    }
}
