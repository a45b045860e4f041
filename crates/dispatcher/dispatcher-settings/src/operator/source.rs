//! The text of the operators' file, and the faults that are found in it: each names file, line and
//! key.

use hcl_edit::structure::{Body, Structure};
use hcl_edit::Span;
use std::fmt;
use std::path::{Path, PathBuf};

/// Why the operators' file can't be used.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// It can't be read.
    #[error("can't read {path}: {source}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A line is wrong.
    #[error("{}", located(path, *line, key, fault))]
    Fault {
        /// The file.
        path: PathBuf,
        /// The line, from 1, where it is known.
        line: Option<usize>,
        /// The key, with those of the blocks around it.
        key: String,
        /// What was found, and what is expected.
        fault: String,
    },
}

fn located(path: &Path, line: Option<usize>, key: &str, fault: &str) -> String {
    let line = line.map_or(String::new(), |line| format!(":{line}"));
    let key = if key.is_empty() {
        String::new()
    } else {
        format!("{key}: ")
    };
    format!("{}{line}: {key}{fault}", path.display())
}

/// The text of an operators' file, in which the lines of faults are looked up.
#[derive(Debug, Clone)]
pub struct Source {
    path: PathBuf,
    text: String,
}

impl Source {
    /// A text and the path that errors name.
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

/// The offset of a key in the text, or of the innermost block around it.
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

/// The key that an error of serde is about. A missing or unknown field is named in its message
/// alone.
pub(crate) fn faulty_key(path: &str, fault: &str) -> String {
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

impl Source {
    /// The text can't be parsed.
    pub(super) fn unreadable(&self, error: &hcl::Error) -> OperatorError {
        let line = match error {
            hcl::Error::Parse(e) => Some(e.location().line()),
            _ => None,
        };
        // The parser's text draws the line under its message; the number of the line is enough.
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
