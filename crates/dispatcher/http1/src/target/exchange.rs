//! One exchange with a target: a request and its response, to the end of the body.

use super::exchange_error::ExchangeError;
use super::job_response::{JobResponse, JobUpdate};
use crate::seconds;
use bytes::{Bytes, BytesMut};
use dispatch_api::{LoadReport, Micros, Outcome};
use dispatcher_settings::report::ReportNames;
use dispatcher_state::{ConnId, Input};
use event_loop::{ConnectionCommand, ForwardedRequest, LoopHandle};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::http::uri::PathAndQuery;
use hyper::http::HeaderValue;
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde_json::{Map, Value};
use tracing::warn;

/// Bytes of the longest response that a target may give; a result of 64 KiB fits even if each byte is escaped.
pub(super) const MAX_RESPONSE_BYTES: usize = 512 * 1024;

/// How an exchange ended.
pub(super) struct ExchangeResult {
    pub(super) outcome: Outcome,
    pub(super) result: Option<Bytes>,
    pub(super) report: Option<LoadReport>,
}

impl ExchangeResult {
    /// One without a result.
    pub(super) fn without_result(outcome: Outcome, report: Option<LoadReport>) -> Self {
        ExchangeResult {
            outcome,
            result: None,
            report,
        }
    }

    /// What the state machine learns of it.
    pub(super) fn into_input(self, conn: ConnId) -> Input {
        Input::ExchangeEnded {
            conn,
            outcome: self.outcome,
            result: self.result,
            report: self.report,
        }
    }
}

/// Whether a response named its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseNaming {
    /// It did, or was a probe's, which can't be taken for a rejection of a job.
    Named,
    /// It did not: should it come twice, the second one could be taken for the response to the next request.
    Unnamed,
}

/// Carries out a command: one request and its response, to the end of the body.
pub(super) async fn exchange(
    connection: ConnId,
    command: ConnectionCommand,
    sender: &mut SendRequest<Full<Bytes>>,
    loop_handle: &LoopHandle,
) -> Result<ResponseNaming, ExchangeError> {
    let result = match &command {
        ConnectionCommand::Job { request, wait, .. } => {
            job(connection, request, *wait, sender, loop_handle).await
        }
        ConnectionCommand::Probe => probe(connection, sender, loop_handle)
            .await
            .map(|()| ResponseNaming::Named),
    };
    if let Err(error) = &result {
        if error.is_malformed() {
            warn!(
                conn = connection.0,
                "malformed response of a target: {error}"
            );
            let failed = ExchangeResult::without_result(Outcome::Error, None);
            loop_handle.send_input(failed.into_input(connection));
        }
    }
    result
}

fn job_request(
    forwarded: &ForwardedRequest,
    wait: Micros,
) -> Result<Request<Full<Bytes>>, ExchangeError> {
    let path = PathAndQuery::from_maybe_shared(forwarded.path.clone())?;
    let id = HeaderValue::from_maybe_shared(forwarded.id.clone())?;
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(Uri::from(path))
        .header("host", "target")
        .header("req-id", id)
        .header("req-deadline", seconds(wait));
    if let Some(key) = &forwarded.key {
        let key = HeaderValue::from_maybe_shared(key.clone())?;
        request = request.header("idempotency-key", key);
    }
    Ok(request.body(Full::new(forwarded.body.clone()))?)
}

async fn job(
    connection: ConnId,
    forwarded: &ForwardedRequest,
    wait: Micros,
    sender: &mut SendRequest<Full<Bytes>>,
    loop_handle: &LoopHandle,
) -> Result<ResponseNaming, ExchangeError> {
    let request = job_request(forwarded, wait)?;
    let response = sender.send_request(request).await?;
    let header_report = header_report(&response, loop_handle.report_names());
    if response.status() != StatusCode::OK {
        loop_handle.send_input(rejected_job(connection, &response, header_report));
        collect(response.into_body()).await?;
        return Ok(ResponseNaming::Unnamed);
    }
    let mut lines = JobResponse::new(&forwarded.id, loop_handle.report_names());
    for_each_line(response.into_body(), |line| {
        match lines.read(connection, line)? {
            Some(JobUpdate::Progress(input)) => loop_handle.send_input(input),
            Some(JobUpdate::Ended(mut result)) => {
                result.report = result.report.or(header_report);
                loop_handle.send_input(result.into_input(connection));
            }
            None => {}
        }
        Ok(lines.has_ended())
    })
    .await?;
    Ok(ResponseNaming::Named)
}

/// What a response means that is no success.
fn rejected_job(
    connection: ConnId,
    response: &Response<Incoming>,
    report: Option<LoadReport>,
) -> Input {
    let declined = response.headers().get("srv-declined");
    let is_declined = declined.is_some_and(|value| value.as_bytes() == b"1");
    let outcome = match response.status() {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => {
            Outcome::Rejected
        }
        // The request is at fault, not the target.
        status if status.is_client_error() => {
            return Input::RequestUnusable {
                conn: connection,
                report,
            };
        }
        _ => Outcome::Error,
    };
    ExchangeResult::without_result(outcome, report).into_input(connection)
}

fn header_report(response: &Response<Incoming>, names: &ReportNames) -> Option<LoadReport> {
    let text = response.headers().get("srv-load")?.to_str().ok()?;
    let fields: Map<String, Value> = serde_json::from_str(text).ok()?;
    Some(names.read(&fields))
}

/// Hands over each line of a body; fails if it ends before one that was the last.
async fn for_each_line(
    mut body: Incoming,
    mut read: impl FnMut(&[u8]) -> Result<bool, ExchangeError>,
) -> Result<(), ExchangeError> {
    let (mut unread, mut total, mut has_ended) = (BytesMut::new(), 0, false);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        total += data.len();
        if total > MAX_RESPONSE_BYTES {
            return Err(ExchangeError::TooLong);
        }
        unread.extend_from_slice(&data);
        while let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
            let line = unread.split_to(end + 1);
            if !line.trim_ascii().is_empty() {
                has_ended = read(line.trim_ascii())?;
            }
        }
    }
    // The last line may lack its end.
    if !unread.trim_ascii().is_empty() {
        has_ended = read(unread.trim_ascii())?;
    }
    if has_ended {
        Ok(())
    } else {
        Err(ExchangeError::Truncated)
    }
}

async fn probe(
    connection: ConnId,
    sender: &mut SendRequest<Full<Bytes>>,
    loop_handle: &LoopHandle,
) -> Result<(), ExchangeError> {
    let request = Request::builder()
        .method(Method::GET)
        .uri("/status/load")
        .header("host", "target")
        .body(Full::new(Bytes::new()))?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let mut report = header_report(&response, loop_handle.report_names());
    let text = collect(response.into_body()).await?;
    let outcome = match status {
        StatusCode::OK => Outcome::Done,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
        _ => Outcome::Error,
    };
    if status == StatusCode::OK && !text.trim_ascii().is_empty() {
        let fields: Map<String, Value> = serde_json::from_slice(&text)?;
        report = Some(loop_handle.report_names().read(&fields));
    }
    let result = ExchangeResult::without_result(outcome, report);
    loop_handle.send_input(result.into_input(connection));
    Ok(())
}

async fn collect(mut body: Incoming) -> Result<Bytes, ExchangeError> {
    let mut text = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        text.extend_from_slice(&data);
        if text.len() > MAX_RESPONSE_BYTES {
            return Err(ExchangeError::TooLong);
        }
    }
    Ok(text.freeze())
}
