//! A stream of events as it comes from one runner: the next complete events, or why there are no more.

use crate::proxy::attempt::{ResponseStart, RouteTerms};
use crate::proxy::events::Events;
use crate::proxy::in_flight::AttemptOutcome;
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::HeaderMap;
use std::future::Future;
use std::pin::pin;
use std::task::Poll;
use tokio::time::{sleep_until, Duration, Instant, Sleep};

/// A runner that sends nothing for so many of the pauses that clients accept, and for at least [`MIN_IDLE_TIMEOUT`], counts
/// as failed where its stream can be resumed at another. Clients give up after eight such pauses or two seconds.
const IDLE_TIMEOUT_GAPS: u64 = 3;
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(750);
/// After a pause this long, runner selection learns that the runner makes progress.
const PROGRESS_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Why no more events arrive from one runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The body is complete.
    Complete,
    /// The connection ended.
    Broken,
    /// Nothing arrived for too long.
    IdleTimeout,
    /// The request's deadline passed.
    DeadlineExceeded,
    /// The runner seems to hang, and has sent nothing yet.
    RunnerOverdue,
}

impl StreamEnd {
    /// The end where the head of the response gives no length: the end of the connection is then no end of a response.
    pub fn without_explicit_end(self) -> Self {
        if self == StreamEnd::Complete {
            StreamEnd::Broken
        } else {
            self
        }
    }

    /// The outcome of the attempt.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            StreamEnd::Complete => AttemptOutcome::Completed,
            StreamEnd::Broken => AttemptOutcome::Broken,
            StreamEnd::IdleTimeout | StreamEnd::DeadlineExceeded => AttemptOutcome::TimedOut,
            StreamEnd::RunnerOverdue => AttemptOutcome::Abandoned,
        }
    }
}

/// A stream as it arrives from a runner.
pub struct EventSource {
    /// The response that carries it.
    pub started: ResponseStart,
    /// Its events so far.
    pub events: Events,
    /// The request's deadline.
    pub until: Instant,
    /// The longest silence, if the stream can be resumed elsewhere.
    pub idle_timeout: Option<Duration>,
    /// When the last event arrived.
    pub last_event_at: Instant,
}

impl EventSource {
    /// The first complete events. `again`: a runner that seems to hang before it is left.
    ///
    /// # Errors
    /// There are none.
    pub async fn first(&mut self, again: bool) -> Result<Bytes, StreamEnd> {
        let mut timer = pin!(sleep_until(self.until));
        loop {
            let (upstream, body) = (&mut self.started.upstream, &mut self.started.body);
            let data = tokio::select! {
                biased;
                data = upstream.data(body) => data,
                () = self.started.in_flight.overdue(), if again => return Err(StreamEnd::RunnerOverdue),
                () = &mut timer => return Err(StreamEnd::DeadlineExceeded),
            };
            let Some(data) = data else {
                return Err(StreamEnd::Complete);
            };
            let complete = self
                .events
                .take(&data.map_err(|_| StreamEnd::Broken)?)
                .map_err(|_| StreamEnd::Broken)?;
            if !complete.is_empty() {
                self.last_event_at = Instant::now();
                return Ok(complete);
            }
        }
    }

    /// The next complete events.
    ///
    /// # Errors
    /// There are none.
    pub async fn next(
        &mut self,
        timer: &mut std::pin::Pin<&mut Sleep>,
    ) -> Result<Bytes, StreamEnd> {
        loop {
            let (upstream, body) = (&mut self.started.upstream, &mut self.started.body);
            let data = std::future::poll_fn(|cx| {
                if let Poll::Ready(data) = upstream.poll_data(cx, body) {
                    return Poll::Ready(Some(data));
                }
                // The timer is moved only when it fires: an event costs none.
                while timer.as_mut().poll(cx).is_ready() {
                    let due = self.idle_timeout.map_or(self.until, |most| {
                        (self.last_event_at + most).min(self.until)
                    });
                    if due <= Instant::now() {
                        return Poll::Ready(None);
                    }
                    timer.as_mut().reset(due);
                }
                Poll::Pending
            })
            .await;
            match data {
                None if Instant::now() >= self.until => return Err(StreamEnd::DeadlineExceeded),
                None => return Err(StreamEnd::IdleTimeout),
                Some(None) => return Err(StreamEnd::Complete),
                Some(Some(Err(_))) => return Err(StreamEnd::Broken),
                Some(Some(Ok(data))) => {
                    let complete = self.events.take(&data).map_err(|_| StreamEnd::Broken)?;
                    if !complete.is_empty() {
                        let now = Instant::now();
                        if now.duration_since(self.last_event_at) >= PROGRESS_REPORT_INTERVAL {
                            self.started.in_flight.event();
                        }
                        self.last_event_at = now;
                        return Ok(complete);
                    }
                }
            }
        }
    }
}

/// The longest silence amid a stream that can be resumed elsewhere.
pub fn idle_timeout(terms: &RouteTerms) -> Option<Duration> {
    let most = Duration::from_millis(terms.gap_ms.unwrap_or(0).saturating_mul(IDLE_TIMEOUT_GAPS));
    terms.resumable.then(|| most.max(MIN_IDLE_TIMEOUT))
}

/// Whether the end of a body can be told from a connection that broke.
pub fn has_explicit_end(head: &HeaderMap) -> bool {
    head.contains_key(TRANSFER_ENCODING) || head.contains_key(CONTENT_LENGTH)
}
