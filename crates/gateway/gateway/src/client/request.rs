//! A client's request, read whole, and what of it is passed on.

use batch::wire::Item;
use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::header::{
    HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{HeaderMap, Method, Uri};
use std::cell::RefCell;

/// The id of a try.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("fordrelay-attempt-id");
/// What is left of the client's patience.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("fordrelay-deadline-ms");
/// Which runner is meant.
pub const WANT_RUNNER: HeaderName = HeaderName::from_static("fordrelay-want-runner");
/// Set on an answer that says that the request has not run.
pub const NOT_RUN: HeaderName = HeaderName::from_static("fordrelay-not-run");
/// Which runner says so.
pub const RUNNER: HeaderName = HeaderName::from_static("fordrelay-runner");
/// The runner's stamp.
pub const SEAL: HeaderName = HeaderName::from_static("fordrelay-seal");
/// A runner's load, on its answers.
pub const RUNNER_LOAD: HeaderName = HeaderName::from_static("fordrelay-runner-load");
/// Behind which event a stream goes on.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The model that is asked for.
pub const MODEL: HeaderName = HeaderName::from_static("fordrelay-model");
/// Tokens of the prompt, and the most to be sent out.
pub const TOKENS: HeaderName = HeaderName::from_static("fordrelay-tokens");
/// The parts of the prompt.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("fordrelay-prompt-prefix");
/// For how long an answer may be held.
pub const WAIT_MS: HeaderName = HeaderName::from_static("fordrelay-wait-ms");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only, or that are written anew.
const HOP_BY_HOP: [HeaderName; 12] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
    EXPECT,
    WANT_RUNNER,
];
/// The most parts of a prompt that are looked at, and the longest that such a list may be.
const MAX_PARTS: usize = 64;
/// The longest deadline that can be meant, a day: beyond it a client waits for as long as the route allows.
const MAX_DEADLINE_MS: f64 = 86_400_000.0;

/// A part of a prompt: its id and its tokens.
pub type Part = (u64, u32);

/// A request that has come whole.
#[derive(Debug)]
pub struct Request {
    /// Its method.
    pub method: Method,
    /// Its path and query, unchanged.
    pub target: PathAndQuery,
    /// Its host, without a port and in lower case.
    pub host: CompactString,
    /// What is passed on of its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The id of this try.
    pub attempt: HeaderValue,
    /// When it came, in milliseconds of the process's clock.
    pub came: u64,
    /// For how long its client waits from then on.
    pub deadline_ms: Option<u64>,
    /// Tokens of its prompt, and the most to be sent out.
    pub tokens: Option<(u64, u64)>,
    /// The parts of its prompt.
    pub parts: Vec<Part>,
    /// The service that was drawn for it.
    pub svc: RefCell<Option<CompactString>>,
}

/// The host that a request names: without a port, in lower case.
pub fn host(parts: &Parts) -> Option<CompactString> {
    let named = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = match parts.uri.authority() {
        // Said in the request line, it goes before the header.
        Some(authority) => authority.host(),
        None => named?,
    };
    let end = match host.rfind(']') {
        // An address of the sixth version has colons of its own.
        Some(end) => end + 1,
        None => host.find(':').unwrap_or(host.len()),
    };
    let name = host.get(..end)?.trim();
    (!name.is_empty()).then(|| {
        let mut name = CompactString::from(name);
        name.make_ascii_lowercase();
        name
    })
}

/// Takes out of a head what concerns one connection only.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    // What `Connection` names goes with it; usually that is `close` or `keep-alive`, and no header is called so.
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|token| HeaderName::try_from(token.trim()).ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

impl Request {
    /// Reads a head; the body came with it. None where it has no id or no target that can be passed on.
    pub fn new(parts: Parts, host: CompactString, body: Bytes, came: u64) -> Option<Self> {
        let Parts {
            method,
            uri,
            mut headers,
            ..
        } = parts;
        let target = uri.path_and_query()?.clone();
        let attempt = headers.get(ATTEMPT_ID)?.clone();
        strip_hop_by_hop(&mut headers);
        let deadline_ms = headers
            .remove(DEADLINE_MS)
            .and_then(|value| milliseconds(&value));
        let (tokens, parts) = prompt(&headers);
        Some(Request {
            method,
            target,
            host,
            headers,
            body,
            attempt,
            came,
            deadline_ms,
            tokens,
            parts,
            svc: RefCell::default(),
        })
    }

    /// The request that an item of a batch job is. None where something of it can't stand in a request.
    pub fn of_item(item: &Item, host: &str, came: u64) -> Option<Self> {
        let mut headers = HeaderMap::new();
        for header in &item.headers {
            let name = HeaderName::try_from(header.name.as_str()).ok()?;
            headers.append(name, HeaderValue::try_from(header.value.as_str()).ok()?);
        }
        strip_hop_by_hop(&mut headers);
        let attempt = HeaderValue::try_from(item.id.as_str()).ok()?;
        headers.insert(HOST, HeaderValue::try_from(host).ok()?);
        headers.insert(ATTEMPT_ID, attempt.clone());
        let (tokens, parts) = prompt(&headers);
        let target = PathAndQuery::try_from(item.path.as_str()).ok()?;
        let (method, host, body) = (Method::POST, host.into(), item.body.clone());
        let (deadline_ms, svc) = (None, RefCell::default());
        Some(Request {
            method,
            target,
            host,
            headers,
            body,
            attempt,
            came,
            deadline_ms,
            tokens,
            parts,
            svc,
        })
    }

    /// What is left at this moment, where the route allows so long.
    pub fn left_ms(&self, now: u64, timeout_ms: u64) -> u64 {
        let whole = self
            .deadline_ms
            .map_or(timeout_ms, |deadline| deadline.min(timeout_ms));
        whole.saturating_sub(now.saturating_sub(self.came))
    }

    /// The request as it is sent to a runner.
    pub fn for_runner(
        &self,
        runner: &HeaderValue,
        left_ms: Option<u64>,
        last_event_id: Option<&HeaderValue>,
    ) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(WANT_RUNNER, runner.clone());
        if let Some(left) = left_ms {
            headers.insert(DEADLINE_MS, HeaderValue::from(left));
        }
        if let Some(id) = last_event_id {
            headers.insert(LAST_EVENT_ID, id.clone());
        }
        request
    }
}

/// The tokens and the parts of a prompt, from the headers that tell them.
fn prompt(headers: &HeaderMap) -> (Option<(u64, u64)>, Vec<Part>) {
    let tokens = headers.get(TOKENS).and_then(|value| {
        let (prompt, output) = value.to_str().ok()?.split_once(',')?;
        Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
    });
    let parts = headers
        .get(PROMPT_PREFIX)
        .map(|value| prompt_parts(value.as_bytes()))
        .unwrap_or_default();
    (tokens, parts)
}

/// A span as headers have it; whole numbers are usual.
pub fn milliseconds(value: &HeaderValue) -> Option<u64> {
    let ms: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (ms >= 0.0).then(|| ms.min(MAX_DEADLINE_MS) as u64)
}

/// The parts of a prompt in order: ID:TOKENS, the ids in hex. What can't be read ends the list.
pub fn prompt_parts(text: &[u8]) -> Vec<Part> {
    let Ok(text) = std::str::from_utf8(text) else {
        return vec![];
    };
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((part_id(id.trim()), tokens.trim().parse().ok()?))
    };
    text.split(',').take(MAX_PARTS).map_while(part).collect()
}

/// A part's id as a number; one that is longer than a number, or none, is mixed into one.
fn part_id(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_| {
        id.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
    })
}
