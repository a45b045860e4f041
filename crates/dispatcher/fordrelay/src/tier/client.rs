//! Calls to any of several addresses, with retries and redirects as `docs/serving-tier.md` says.

use super::error::TierError;
use admin::{Answer, CallLimits, ClientError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::LOCATION;
use hyper::{Method, Request, StatusCode, Uri};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// An address that sends nothing for this long is left for the next; a large body has longer.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// How much longer for each byte that is sent: a second for a megabyte.
const TIMEOUT_PER_BYTE: Duration = Duration::from_micros(1);
/// Largest answer: a whole configuration, or a page of results, with room.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// The delay before the first retry; it doubles up to the longest.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// The longest delay between retries.
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// How many redirects of a call are followed.
const MAX_REDIRECTS: usize = 2;
/// The attempt at which a refusal ends the call, where another address might still accept it.
const MAX_REFUSALS: usize = 3;
/// Most characters of an answer's text that an error repeats.
const MAX_REPEATED_CHARS: usize = 400;

/// Whether a call changes anything, so that no answer leaves its outcome unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Effect {
    Reads,
    Changes,
}

/// A call.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    host: Option<String>,
    header: Option<(&'static str, String)>,
    body: Bytes,
    /// How long an address may send nothing.
    attempt_timeout: Duration,
    /// How long it is retried in all.
    timeout: Duration,
    effect: Effect,
}

/// The answer to a call.
#[derive(Debug)]
pub struct Answered {
    /// The address that gave it.
    pub by: SocketAddr,
    /// The answer.
    pub answer: Answer,
    /// How many attempts there were before it.
    pub attempts: usize,
}

impl Call {
    /// A call that changes nothing, retried for as long as this.
    pub fn get(path: String, timeout: Duration) -> Self {
        Call {
            method: Method::GET,
            path,
            host: None,
            header: None,
            body: Bytes::new(),
            attempt_timeout: ATTEMPT_TIMEOUT,
            timeout,
            effect: Effect::Reads,
        }
    }

    /// A call that changes something.
    pub fn change(method: Method, path: String, body: Bytes, timeout: Duration) -> Self {
        let bytes = u32::try_from(body.len()).unwrap_or(u32::MAX);
        Call {
            method,
            body,
            attempt_timeout: ATTEMPT_TIMEOUT + TIMEOUT_PER_BYTE * bytes,
            effect: Effect::Changes,
            ..Call::get(path, timeout)
        }
    }

    /// With another host than the address.
    pub fn host(self, host: &str) -> Self {
        Call {
            host: Some(host.to_owned()),
            ..self
        }
    }

    /// With a header.
    pub fn header(self, name: &'static str, value: String) -> Self {
        Call {
            header: Some((name, value)),
            ..self
        }
    }

    /// Answers may be held back for this long.
    pub fn long_poll(self, held: Duration) -> Self {
        Call {
            attempt_timeout: self.attempt_timeout + held,
            ..self
        }
    }

    /// One attempt at an address and those that it redirects to.
    pub async fn send_to(&self, addr: SocketAddr) -> Result<(SocketAddr, Answer), ClientError> {
        let mut at = addr;
        let mut path = self.path.clone();
        for _ in 0..MAX_REDIRECTS {
            let answer = self.send_once(at, &path).await?;
            let Some((next, there)) = redirect(&answer) else {
                return Ok((at, answer));
            };
            (at, path) = (next, there);
        }
        Ok((at, self.send_once(at, &path).await?))
    }

    async fn send_once(&self, addr: SocketAddr, path: &str) -> Result<Answer, ClientError> {
        let host = self.host.clone().unwrap_or_else(|| addr.to_string());
        let mut request = Request::builder()
            .method(&self.method)
            .uri(path)
            .header("host", host);
        if !self.body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        if let Some((name, value)) = &self.header {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(self.body.clone()));
        let request = request.map_err(|e| ClientError::NoAnswer(addr, e.to_string()))?;
        let limits = CallLimits {
            timeout: self.attempt_timeout,
            max_answer_bytes: MAX_ANSWER_BYTES,
        };
        admin::send(addr, request, limits).await
    }

    /// Sends to the addresses in turn, until one succeeds, a refusal is final, or the time is over.
    ///
    /// # Errors
    /// The final refusal; else the last error, as [`TierError::Unknown`] if the call may have
    /// changed something.
    pub async fn send_to_any(&self, addrs: &[SocketAddr]) -> Result<Answered, TierError> {
        let until = Instant::now() + self.timeout;
        let mut backoff = BACKOFF_MIN;
        let mut failures = Failures::new(addrs.len());
        for (attempts, addr) in addrs.iter().cycle().enumerate() {
            match self.send_to(*addr).await {
                Ok((by, answer)) if answer.status.is_success() => {
                    return Ok(Answered {
                        by,
                        answer,
                        attempts,
                    });
                }
                Ok((by, answer)) => failures.add_answer(by, &answer)?,
                Err(error) => failures.add_error(&error),
            }
            if Instant::now() + backoff >= until {
                break;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
        match failures.outcome_unknown && self.effect == Effect::Changes {
            true => Err(TierError::Unknown(failures.last.to_string())),
            false => Err(failures.last),
        }
    }
}

/// The failed attempts of a call.
struct Failures {
    max_refusals: usize,
    /// An attempt may have had an effect.
    outcome_unknown: bool,
    refusals: usize,
    last: TierError,
}

impl Failures {
    fn new(addrs: usize) -> Self {
        Failures {
            max_refusals: MAX_REFUSALS.min(addrs),
            outcome_unknown: false,
            refusals: 0,
            last: TierError::NotReached("no address is given".to_owned()),
        }
    }

    /// Adds an error status.
    ///
    /// # Errors
    /// The refusal is final.
    fn add_answer(&mut self, by: SocketAddr, answer: &Answer) -> Result<(), TierError> {
        let error = refused(by, answer, self.outcome_unknown);
        match answer.status.as_u16() {
            400 | 409 | 412 | 413 | 422 => return Err(error),
            408 | 421 | 429 => {}
            500.. => self.outcome_unknown = true,
            _ => {
                self.refusals += 1;
                if self.refusals >= self.max_refusals {
                    return Err(error);
                }
            }
        }
        self.last = error;
        Ok(())
    }

    fn add_error(&mut self, error: &ClientError) {
        self.outcome_unknown |= !matches!(error, ClientError::Connect { .. });
        self.last = TierError::NotReached(reason(error));
    }
}

/// Why there is no answer, without the hint at the operators' file, which the tier doesn't have.
pub fn reason(error: &ClientError) -> String {
    match error {
        ClientError::Connect { addr, source } => format!("can't reach {addr}: {source}"),
        error => error.to_string(),
    }
}

/// An error status as an error, with the address that gave it; `after_unknown`: an attempt with an
/// unknown outcome came before it.
pub fn refused(by: SocketAddr, answer: &Answer, after_unknown: bool) -> TierError {
    let text = String::from_utf8_lossy(&answer.body);
    let printable = |c: char| if c.is_control() { ' ' } else { c };
    let text: String = text
        .trim()
        .chars()
        .take(MAX_REPEATED_CHARS)
        .map(printable)
        .collect();
    let status = answer.status;
    let text = match text.is_empty() {
        true => format!("{by} answers {status}"),
        false => format!("{by} answers {status}: {text}"),
    };
    TierError::Refused {
        status: status.as_u16(),
        text,
        after_unknown,
    }
}

/// Where an answer redirects the caller.
fn redirect(answer: &Answer) -> Option<(SocketAddr, String)> {
    if answer.status != StatusCode::TEMPORARY_REDIRECT {
        return None;
    }
    let there: Uri = answer.headers.get(LOCATION)?.to_str().ok()?.parse().ok()?;
    let addr = match there.port() {
        Some(_) => there.authority()?.as_str().parse().ok()?,
        None => SocketAddr::new(there.host()?.parse().ok()?, 80),
    };
    Some((addr, there.path_and_query()?.to_string()))
}
