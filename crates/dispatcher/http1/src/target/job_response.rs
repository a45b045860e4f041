//! What a target says of a job, line by line.

use super::exchange::ExchangeResult;
use super::exchange_error::ExchangeError;
use bytes::Bytes;
use dispatch_api::Outcome;
use dispatcher_settings::report::ReportNames;
use dispatcher_state::{ConnId, Input};
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use tracing::warn;

/// One line of a target about a job.
#[derive(Debug, Deserialize)]
struct Line<'a> {
    id: &'a str,
    state: &'a str,
    #[serde(default)]
    share: f64,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    load: Option<Map<String, Value>>,
}

/// What a line says.
pub(super) enum JobUpdate {
    /// The job goes on.
    Progress(Input),
    /// The job has ended.
    Ended(ExchangeResult),
}

/// The lines about one job.
pub(super) struct JobResponse<'a> {
    id: &'a Bytes,
    report_names: &'a ReportNames,
    has_ended: bool,
}

impl<'a> JobResponse<'a> {
    /// The lines about the job with this id.
    pub(super) fn new(id: &'a Bytes, report_names: &'a ReportNames) -> Self {
        JobResponse {
            id,
            report_names,
            has_ended: false,
        }
    }

    /// Whether the last line was read; nothing that a target sends after it counts.
    pub(super) fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Reads a line; none if it says nothing.
    ///
    /// # Errors
    /// The line is malformed, or about another job.
    pub(super) fn read(
        &mut self,
        connection: ConnId,
        line: &[u8],
    ) -> Result<Option<JobUpdate>, ExchangeError> {
        if self.has_ended {
            return Ok(None);
        }
        let line: Line = serde_json::from_slice(line)?;
        if self.id != line.id.as_bytes() {
            return Err(ExchangeError::Foreign);
        }
        let report = line.load.map(|fields| self.report_names.read(&fields));
        let outcome = match line.state {
            "started" => return Ok(Some(JobUpdate::Progress(Input::JobStarted(connection)))),
            "running" => {
                let progress = Input::JobProgress(connection, line.share);
                return Ok(Some(JobUpdate::Progress(progress)));
            }
            "done" => Outcome::Done,
            "failed" => Outcome::Error,
            "returned" => Outcome::Rejected,
            "lost" => Outcome::Reset,
            other => {
                warn!(
                    conn = connection.0,
                    state = other,
                    "line with an unknown state ignored"
                );
                return Ok(None);
            }
        };
        self.has_ended = true;
        let result = line.result.filter(|_| outcome == Outcome::Done);
        Ok(Some(JobUpdate::Ended(ExchangeResult {
            outcome,
            result: result.map(result_bytes),
            report,
        })))
    }
}

/// A result that is a text is that text; any other one is its JSON.
fn result_bytes(raw: &RawValue) -> Bytes {
    match serde_json::from_str::<String>(raw.get()) {
        Ok(text) => Bytes::from(text),
        Err(_) => Bytes::copy_from_slice(raw.get().as_bytes()),
    }
}
