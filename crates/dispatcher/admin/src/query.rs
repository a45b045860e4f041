//! Queries of calls.

use dispatcher_state::PlanRequest;
use percent_encoding::percent_decode_str;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

/// The keys of a plan.
const PLAN_KEYS: [&str; 7] = [
    "targets", "out", "zone", "share", "drain_ms", "out_ms", "id",
];

/// What is wrong with a query.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum QueryError {
    #[error("{key}: is none of {}", PLAN_KEYS.join(", "))]
    UnknownKey { key: String },
    #[error("{key}: {text:?}: {reason}")]
    BadValue {
        key: &'static str,
        text: String,
        reason: String,
    },
    #[error("targets is missing, as in targets=s-1,s-2")]
    NoTargets,
}

/// The decoded pairs of a query.
pub(crate) struct Query(BTreeMap<String, String>);

impl Query {
    pub fn parse(text: &str) -> Self {
        let decoded = |part: &str| percent_decode_str(part).decode_utf8_lossy().into_owned();
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        Query(
            pairs
                .map(|(key, value)| (decoded(key), decoded(value)))
                .collect(),
        )
    }

    pub fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(String::as_str)
    }

    fn read<T: FromStr<Err: fmt::Display>>(
        &self,
        key: &'static str,
        default: T,
    ) -> Result<T, QueryError> {
        let Some(text) = self.get(key) else {
            return Ok(default);
        };
        text.parse().map_err(|error: T::Err| QueryError::BadValue {
            key,
            text: text.to_owned(),
            reason: error.to_string(),
        })
    }

    /// The plan that the query describes.
    pub fn plan(&self) -> Result<PlanRequest, QueryError> {
        let unknown = |key: &&String| !PLAN_KEYS.contains(&key.as_str());
        if let Some(key) = self.0.keys().find(unknown) {
            return Err(QueryError::UnknownKey { key: key.clone() });
        }
        let targets = self.get("targets").ok_or(QueryError::NoTargets)?;
        let targets = targets.split(',').filter(|target| !target.is_empty());
        let out = self.read("out", 1)?;
        Ok(PlanRequest {
            targets: targets.map(str::to_owned).collect(),
            out,
            zone: self.read("zone", out)?,
            share: self.read("share", 1.0)?,
            drain_ms: self.read("drain_ms", 10_000)?,
            out_ms: self.read("out_ms", 600_000)?,
            id: self.read("id", 1)?,
        })
    }
}
