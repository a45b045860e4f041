//! Clients' calls about batch jobs: forwarded to the store that keeps the job, and its answer returned.
//!
//! Nothing is promised that a store has not answered. A call without a clear answer is repeated while the client waits; after
//! that the client gets a 504.

use crate::client::request::{self, Request, WAIT_MS};
use crate::client::response::{
    json_response, local_response, rejection, ClientResponse, ResponseBody,
};
use crate::counters::increment;
use crate::gateway::Gateway;
use batch::codes::BAD_BATCH_JOB_ID;
use batch::json::{check_batch_job_id, read_submit, write_read, InvalidBatchJob};
use batch::wire::{
    EndRequest, EndResponse, Item, ItemBodyRequest, ItemBodyResponse, Message, PlacementMap,
    ReadRequest, ReadResponse, SubmitRequest, SubmitResponse, BODY, END, MAX_WAIT_MS, READ, SUBMIT,
};
use bytes::Bytes;
use compact_str::CompactString;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use peer_transport::CallError;
use percent_encoding::percent_decode_str;
use route_config::{Route, RouteKind};
use slog::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{sleep_until, timeout_at, Duration, Instant};

/// How long a client is answered after the time that it allows: it waits 1.5 s beyond.
const READ_WITHIN: Duration = Duration::from_millis(1_200);
/// Clients take other calls for lost after this.
const CALL_WITHIN: Duration = Duration::from_millis(1_200);
/// One store is waited for this long before the map is asked for another.
const ONE_STORE: Duration = Duration::from_millis(700);
/// How long is waited before the same store is asked again.
const AGAIN: Duration = Duration::from_millis(60);
/// Each further time in a row it is twice as long, so many times: a batch job that is sent again and again with all its items
/// would fill the link of the store that can't take it just now.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// When a client may come again that was refused for want of room, and for want of a store.
const FULL_RETRY_AFTER_MS: u64 = 500;
const BUSY_RETRY_AFTER_MS: u64 = 250;
/// ... and one whose batch job no store could take: a chain that lost a store is whole again after a little more than a second, and
/// a client that comes back too early may have no further try.
const NO_STORE_RETRY_AFTER_MS: u64 = 1_000;
/// The least that a submission is given, whatever its route says.
const SUBMIT_LEAST_MS: u64 = 500;

/// Whether a path is a call about batch jobs, whatever its host's routes.
pub fn is_call(path: &str) -> bool {
    path.starts_with("/-/lots/") || path.starts_with("/-/items/")
}

/// Answers a call about a batch job.
pub async fn answer(
    gateway: &Rc<Gateway>,
    head: &Parts,
    host: &CompactString,
    came: u64,
) -> ClientResponse {
    let mut segments = head.uri.path().split('/').skip(2);
    let (room, id, end) = (segments.next(), segments.next(), segments.next());
    let batch_job = id
        .filter(|_| end.is_none())
        .and_then(decoded)
        .filter(|id| check_batch_job_id(id).is_ok());
    let Some(batch_job) = batch_job else {
        return local_response(StatusCode::NOT_FOUND, "no batch job has such an id\n");
    };
    let query = head.uri.query().unwrap_or_default();
    let asked = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .and_then(|(_, value)| decoded(value))
    };
    let wait_ms = head
        .headers
        .get(WAIT_MS)
        .and_then(request::milliseconds)
        .unwrap_or(0);
    let call = Call {
        gateway,
        host,
        batch_job: &batch_job,
        came,
    };
    match (&head.method, room) {
        (&Method::GET, Some("lots")) => {
            let start_after = asked("StartAfter").map_or(Some(0), |n| n.parse().ok());
            match start_after {
                Some(start_after) => call.read(batch_job.clone(), start_after, wait_ms).await,
                None => local_response(StatusCode::BAD_REQUEST, "StartAfter is a number\n"),
            }
        }
        (&Method::GET, Some("items")) => match asked("Id") {
            Some(item) => call.body(batch_job.clone(), item).await,
            None => local_response(StatusCode::BAD_REQUEST, "Id is missing\n"),
        },
        (&Method::DELETE, Some("lots")) => call.end(batch_job.clone()).await,
        _ => {
            let mut answer = local_response(
                StatusCode::METHOD_NOT_ALLOWED,
                "nothing is done so with batch jobs\n",
            );
            answer
                .headers_mut()
                .insert(ALLOW, HeaderValue::from_static("GET, DELETE"));
            answer
        }
    }
}

/// A segment of a path or a value of a query as it is meant.
fn decoded(text: &str) -> Option<CompactString> {
    percent_decode_str(text)
        .decode_utf8()
        .ok()
        .map(CompactString::from)
}

/// Which end of a chain is asked.
#[derive(Clone, Copy)]
enum ChainEnd {
    /// The head, for changes.
    Head,
    /// The tail, for what is kept.
    Tail,
}

/// What a store's answer means to whoever asks.
enum StoreAnswer<A> {
    /// The store's answer.
    Final(A),
    /// Another store is to be called.
    Redirect(SocketAddr),
    /// The store does not know.
    Indeterminate,
}

struct Call<'a> {
    gateway: &'a Rc<Gateway>,
    host: &'a CompactString,
    /// With the host it names the partition, whichever gateway is asked.
    batch_job: &'a str,
    came: u64,
}

impl Call<'_> {
    /// Asks stores until one says, or the time is over. Tells beside it whether some store may have acted unheard.
    async fn call_store<A>(
        &self,
        who: ChainEnd,
        kind: u16,
        call: Bytes,
        until: Instant,
        hold: Duration,
        read: impl Fn(&Bytes) -> Option<StoreAnswer<A>>,
    ) -> (Option<A>, bool) {
        let mut unclear = false;
        let mut moved: Option<SocketAddr> = None;
        let mut failures = 0;
        loop {
            let changed = self.gateway.changed.notified();
            let map = self.gateway.map();
            let named = map
                .as_deref()
                .and_then(|map| at(map, self.host, self.batch_job, who));
            let Some(to) = moved.take().or(named) else {
                if timeout_at(until, changed).await.is_err() {
                    return (None, unclear);
                }
                continue;
            };
            let within = until
                .saturating_duration_since(Instant::now())
                .min(hold + ONE_STORE);
            if within.is_zero() {
                return (None, unclear);
            }
            // A map that names another one meanwhile is heeded at once; one that was named by a store is newer than the map.
            let elsewhere = self.gateway.moved(
                |map| at(map, self.host, self.batch_job, who).filter(|_| Some(to) == named),
                to,
            );
            let answer = tokio::select! {
                biased;
                answer = self.gateway.links.call(to, kind, call.clone(), within) => answer,
                () = elsewhere => Err(CallError::Unknown),
            };
            match answer.map(|body| read(&body)) {
                Ok(Some(StoreAnswer::Final(answer))) => return (Some(answer), unclear),
                Ok(Some(StoreAnswer::Redirect(to))) => {
                    // Followed at once; who is sent on in a circle waits a little.
                    if named != Some(to) {
                        moved = Some(to);
                    }
                }
                Ok(Some(StoreAnswer::Indeterminate) | None) | Err(CallError::Unknown) => {
                    unclear = true
                }
                Err(CallError::NotSent) => {}
            }
            let again = Instant::now() + AGAIN * (1 << failures.min(MAX_BACKOFF_DOUBLINGS));
            if again >= until {
                return (None, unclear);
            }
            if moved.is_none() {
                failures += 1;
                sleep_until(again).await;
            }
        }
    }

    fn until(&self, ms: u64) -> Instant {
        self.gateway.clock.instant(self.came + ms)
    }

    fn unsure(&self) -> ClientResponse {
        increment(&self.gateway.counts.unsure);
        rejection(
            StatusCode::SERVICE_UNAVAILABLE,
            "no store can say for sure\n",
            BUSY_RETRY_AFTER_MS,
        )
    }

    async fn read(
        &self,
        batch_job: CompactString,
        start_after: u32,
        wait_ms: u64,
    ) -> ClientResponse {
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX).min(MAX_WAIT_MS);
        let call = ReadRequest {
            host: self.host.clone(),
            batch_job,
            start_after,
            wait_ms,
        }
        .encode();
        let hold = Duration::from_millis(wait_ms.into());
        let until = self.until(u64::from(wait_ms) + READ_WITHIN.as_millis() as u64);
        let (answer, _) = self
            .call_store(ChainEnd::Tail, READ, call, until, hold, |body| {
                Some(match ReadResponse::decode(body).ok()? {
                    ReadResponse::Redirect { to } => StoreAnswer::Redirect(to),
                    ReadResponse::Unavailable => StoreAnswer::Indeterminate,
                    said => StoreAnswer::Final(said),
                })
            })
            .await;
        match answer {
            Some(ReadResponse::Found {
                total,
                next,
                results,
            }) => json_response(StatusCode::OK, write_read(total, next, &results).into()),
            Some(ReadResponse::NotFound) => {
                local_response(StatusCode::NOT_FOUND, "there is no such batch job\n")
            }
            _ => self.unsure(),
        }
    }

    async fn body(&self, batch_job: CompactString, item: CompactString) -> ClientResponse {
        let call = ItemBodyRequest {
            host: self.host.clone(),
            batch_job,
            item,
        }
        .encode();
        let until = self.until(CALL_WITHIN.as_millis() as u64);
        let (answer, _) = self
            .call_store(ChainEnd::Tail, BODY, call, until, Duration::ZERO, |body| {
                Some(match ItemBodyResponse::decode(body).ok()? {
                    ItemBodyResponse::Redirect { to } => StoreAnswer::Redirect(to),
                    ItemBodyResponse::Unavailable => StoreAnswer::Indeterminate,
                    said => StoreAnswer::Final(said),
                })
            })
            .await;
        match answer {
            Some(ItemBodyResponse::Found { body }) => {
                let mut answer = Response::new(ResponseBody::Full(Some(body)));
                let bytes = HeaderValue::from_static("application/octet-stream");
                answer.headers_mut().insert(CONTENT_TYPE, bytes);
                answer
            }
            Some(ItemBodyResponse::NotFound) => {
                local_response(StatusCode::NOT_FOUND, "there is no such item\n")
            }
            _ => self.unsure(),
        }
    }

    async fn end(&self, batch_job: CompactString) -> ClientResponse {
        let call = EndRequest {
            host: self.host.clone(),
            batch_job,
        }
        .encode();
        let until = self.until(CALL_WITHIN.as_millis() as u64);
        let (answer, _) = self
            .call_store(ChainEnd::Head, END, call, until, Duration::ZERO, |body| {
                Some(match EndResponse::decode(body).ok()? {
                    EndResponse::Redirect { to } => StoreAnswer::Redirect(to),
                    EndResponse::Indeterminate => StoreAnswer::Indeterminate,
                    said => StoreAnswer::Final(said),
                })
            })
            .await;
        match answer {
            Some(EndResponse::Ended) => json_response(StatusCode::OK, Bytes::from_static(b"{}")),
            Some(EndResponse::NotFound) => {
                local_response(StatusCode::NOT_FOUND, "there is no such batch job\n")
            }
            _ => self.unsure(),
        }
    }
}

fn at(map: &PlacementMap, host: &str, batch_job: &str, who: ChainEnd) -> Option<SocketAddr> {
    match who {
        ChainEnd::Head => map.head_of(host, batch_job),
        ChainEnd::Tail => map.tail_of(host, batch_job),
    }
}

/// Takes a batch job, if the store that keeps it says so.
pub async fn submit(gateway: &Rc<Gateway>, request: &Request) -> ClientResponse {
    let Some(config) = gateway.config() else {
        return rejection(
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is in force here yet\n",
            BUSY_RETRY_AFTER_MS,
        );
    };
    let route = config
        .route(&request.host, request.target.path())
        .filter(|route| route.kind == RouteKind::Bulk);
    let Some(route) = route else {
        return local_response(StatusCode::NOT_FOUND, "no route leads there\n");
    };
    if request.method != Method::POST {
        return local_response(StatusCode::METHOD_NOT_ALLOWED, "batch jobs come by POST\n");
    }
    let (batch_job, items) = match read_submission(request) {
        Ok(submission) => submission,
        Err(error) => return invalid(gateway, "the batch job can't be read", &error),
    };
    let (answer, unclear) = send_submission(gateway, request, route, batch_job, items).await;
    match answer {
        Some(SubmitResponse::Accepted) => {
            increment(&gateway.counts.batch_jobs);
            json_response(StatusCode::ACCEPTED, Bytes::from_static(b"{}"))
        }
        Some(SubmitResponse::Invalid { code }) if !unclear => {
            let error = InvalidBatchJob::new(code, None);
            invalid(gateway, "the batch job can't be taken", &error)
        }
        Some(SubmitResponse::QuotaExceeded) if !unclear => rejection(
            StatusCode::TOO_MANY_REQUESTS,
            "no more tokens may wait on this route\n",
            FULL_RETRY_AFTER_MS,
        ),
        // An earlier call may have had an effect: nothing can be promised.
        _ if unclear => {
            increment(&gateway.counts.unsure);
            local_response(StatusCode::GATEWAY_TIMEOUT, "no store can say for sure\n")
        }
        _ => rejection(
            StatusCode::SERVICE_UNAVAILABLE,
            "no store takes batch jobs just now\n",
            NO_STORE_RETRY_AFTER_MS,
        ),
    }
}

/// The id and the items of a batch job that a client submits.
fn read_submission(request: &Request) -> Result<(&str, Vec<Item>), InvalidBatchJob> {
    let bad_id = |_| InvalidBatchJob::new(BAD_BATCH_JOB_ID, None);
    let batch_job = request.attempt.to_str().map_err(bad_id)?;
    check_batch_job_id(batch_job)?;
    Ok((batch_job, read_submit(&request.body)?))
}

/// A batch job that is rejected for good: client and log get its result code, of those in `docs/result-codes.md`.
fn invalid(gateway: &Gateway, what: &str, error: &InvalidBatchJob) -> ClientResponse {
    gateway.log_rate_limited("batch job rejected", |left_out| {
        warn!(gateway.log, "batch job rejected"; "code" => error.code, "why" => %error, "left_out" => left_out);
    });
    local_response(StatusCode::BAD_REQUEST, format!("{what}: {error}\n"))
}

/// Sends a submission to the head of its partition, until a store answers clearly or half of the client's time is over. The
/// flag tells whether an earlier call had no clear answer, and may have had an effect.
async fn send_submission(
    gateway: &Rc<Gateway>,
    request: &Request,
    route: &Route,
    batch_job: &str,
    items: Vec<Item>,
) -> (Option<SubmitResponse>, bool) {
    let excess = gateway.settings.borrow().bounds.quota_excess;
    let now = gateway.clock.now();
    let call = SubmitRequest {
        host: route.host.clone(),
        route: route.name.clone(),
        batch_job: batch_job.into(),
        age_ms: now.saturating_sub(request.came),
        due_ms: route.due_ms,
        retain_ms: route.retain_ms,
        max_queued: route.max_queued,
        excess_permille: (excess.clamp(0.0, 1_000.0) * 1_000.0) as u32,
        max_failures: route.max_attempts,
        items,
    };
    let patience = request
        .deadline_ms
        .unwrap_or(route.timeout_ms)
        .min(route.timeout_ms)
        / 2;
    let call_at = Call {
        gateway,
        host: &route.host,
        batch_job,
        came: request.came,
    };
    let until = call_at.until(patience.max(SUBMIT_LEAST_MS));
    call_at
        .call_store(
            ChainEnd::Head,
            SUBMIT,
            call.encode(),
            until,
            Duration::ZERO,
            |body| {
                Some(match SubmitResponse::decode(body).ok()? {
                    SubmitResponse::Redirect { to } => StoreAnswer::Redirect(to),
                    SubmitResponse::Indeterminate => StoreAnswer::Indeterminate,
                    said => StoreAnswer::Final(said),
                })
            },
        )
        .await
}
