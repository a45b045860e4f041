//! The JSON of clients' calls about batch jobs: reads what a client submits, writes the response to
//! a read.
//!
//! What a client submits is checked here so far that an item can be sent to a runner as it is: ids,
//! paths, header names and values, bodies. Unknown keys are ignored.

use crate::codes;
use crate::wire::{
    Header, Item, ResultEntry, MAX_BODY, MAX_HEADERS, MAX_ITEMS, MAX_NAME, MAX_VALUE,
};
use base64::engine::general_purpose::{GeneralPurpose, GeneralPurposeConfig};
use base64::engine::DecodePaddingMode;
use base64::{alphabet, Engine};
use bytes::Bytes;
use compact_str::CompactString;
use serde::de::{Deserializer, MapAccess, Visitor};
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::HashSet;
use std::fmt;

/// Why a batch job is rejected for good.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{code}: {text}{}", position(.item))]
pub struct InvalidBatchJob {
    /// One of [`codes::CODES`].
    pub code: u16,
    /// What that means.
    pub text: &'static str,
    /// Which item, from 0.
    pub item: Option<usize>,
}

fn position(item: &Option<usize>) -> String {
    item.map(|index| format!(" (item {index})"))
        .unwrap_or_default()
}

impl InvalidBatchJob {
    /// The error with one of [`codes::CODES`], at an item if it is the fault of one.
    pub fn new(code: u16, item: Option<usize>) -> Self {
        let found = codes::CODES.iter().find(|known| known.number == code);
        let text = found.map_or("refused", |found| found.description);
        Self { code, text, item }
    }
}

/// Clients leave padding out or not; the bytes are the same.
const BASE64: GeneralPurpose = GeneralPurpose::new(
    &alphabet::STANDARD,
    GeneralPurposeConfig::new().with_decode_padding_mode(DecodePaddingMode::Indifferent),
);

/// Headers of an item that are dropped: they concern one connection (RFC 9110, 7.6.1), or the tier
/// itself sets them in its request to a runner.
const DROPPED_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "fordrelay-attempt-id",
    "fordrelay-want-runner",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

#[derive(Deserialize)]
struct RawBatchJob<'a> {
    #[serde(borrow, rename = "Requests")]
    requests: Vec<RawItem<'a>>,
}

#[derive(Deserialize)]
struct RawItem<'a> {
    #[serde(borrow, rename = "Id")]
    id: Cow<'a, str>,
    #[serde(borrow, rename = "Path")]
    path: Cow<'a, str>,
    #[serde(borrow, rename = "Headers", default)]
    headers: RawHeaders<'a>,
    #[serde(borrow, rename = "Body", default)]
    body: Cow<'a, str>,
    #[serde(rename = "Tokens", default)]
    tokens: u64,
}

/// Names and values in the client's order, which a map would lose.
#[derive(Default)]
struct RawHeaders<'a>(Vec<(Cow<'a, str>, Cow<'a, str>)>);

#[derive(Deserialize)]
struct RawText<'a>(#[serde(borrow)] Cow<'a, str>);

impl<'de: 'a, 'a> Deserialize<'de> for RawHeaders<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Pairs;
        impl<'de> Visitor<'de> for Pairs {
            type Value = RawHeaders<'de>;

            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object of header names and values")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut pairs = Vec::new();
                while let Some((name, value)) = map.next_entry::<RawText<'de>, RawText<'de>>()? {
                    // One more than is allowed is enough to reject the item.
                    if pairs.len() <= MAX_HEADERS + DROPPED_HEADERS.len() {
                        pairs.push((name.0, value.0));
                    }
                }
                Ok(RawHeaders(pairs))
            }
        }
        deserializer.deserialize_map(Pairs)
    }
}

/// Whether a text may be the id of a batch job or an item: visible ASCII, since it becomes the
/// value of a header and part of a path.
fn is_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= MAX_NAME
        && id
            .bytes()
            .all(|b| b.is_ascii_graphic() && b != b'/' && b != b'?')
}

fn is_token(name: &str) -> bool {
    let token = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(token)
}

fn is_value(value: &str) -> bool {
    value.len() <= MAX_VALUE
        && value
            .bytes()
            .all(|b| b == b'\t' || (b >= b' ' && b != 0x7f))
}

fn is_path(path: &str) -> bool {
    path.starts_with('/')
        && path.len() <= MAX_VALUE
        && path.bytes().all(|b| b.is_ascii_graphic() && b != b'#')
}

/// Checks a client's id for a batch job.
///
/// # Errors
/// [`codes::BAD_BATCH_JOB_ID`].
pub fn check_batch_job_id(id: &str) -> Result<(), InvalidBatchJob> {
    if is_id(id) {
        Ok(())
    } else {
        Err(InvalidBatchJob::new(codes::BAD_BATCH_JOB_ID, None))
    }
}

/// Reads the body of a submission: all of its items.
///
/// # Errors
/// One of [`codes::CODES`]: then none of the items is accepted.
pub fn read_submit(body: &[u8]) -> Result<Vec<Item>, InvalidBatchJob> {
    let raw: RawBatchJob =
        serde_json::from_slice(body).map_err(|_| InvalidBatchJob::new(codes::UNREADABLE, None))?;
    if raw.requests.is_empty() {
        return Err(InvalidBatchJob::new(codes::NO_ITEMS, None));
    }
    if raw.requests.len() > MAX_ITEMS {
        return Err(InvalidBatchJob::new(codes::TOO_MANY_ITEMS, None));
    }
    let mut items = Vec::with_capacity(raw.requests.len());
    for (index, item) in raw.requests.into_iter().enumerate() {
        items.push(read_item(index, item)?);
    }
    let mut ids = HashSet::with_capacity(items.len());
    for (index, item) in items.iter().enumerate() {
        if !ids.insert(item.id.as_str()) {
            return Err(InvalidBatchJob::new(codes::SAME_ITEM_ID, Some(index)));
        }
    }
    Ok(items)
}

fn read_item(index: usize, raw: RawItem) -> Result<Item, InvalidBatchJob> {
    let invalid = |code| InvalidBatchJob::new(code, Some(index));
    if !is_id(&raw.id) {
        return Err(invalid(codes::BAD_ITEM_ID));
    }
    if !is_path(&raw.path) {
        return Err(invalid(codes::BAD_PATH));
    }
    let mut headers = Vec::with_capacity(raw.headers.0.len());
    for (name, value) in raw.headers.0 {
        if !is_token(&name) {
            return Err(invalid(codes::BAD_HEADER_NAME));
        }
        if !is_value(&value) {
            return Err(invalid(codes::BAD_HEADER_VALUE));
        }
        if DROPPED_HEADERS
            .iter()
            .any(|dropped| name.eq_ignore_ascii_case(dropped))
        {
            continue;
        }
        if headers.len() >= MAX_HEADERS {
            return Err(invalid(codes::TOO_MANY_HEADERS));
        }
        headers.push(Header {
            name: CompactString::from(name),
            value: CompactString::from(value),
        });
    }
    Ok(Item {
        id: CompactString::from(raw.id),
        path: CompactString::from(raw.path),
        headers,
        body: read_body(&raw.body).ok_or_else(|| invalid(codes::BAD_BODY))?,
        tokens: raw.tokens,
    })
}

fn read_body(text: &str) -> Option<Bytes> {
    // Base64 that is too long for a body is rejected before it is decoded.
    if text.len() / 4 > MAX_BODY / 3 {
        return None;
    }
    let body = BASE64.decode(text.as_bytes()).ok()?;
    (body.len() <= MAX_BODY).then(|| Bytes::from(body))
}

/// Writes the response to a read: `total` items in the job, the position `next` after the last of
/// `results`.
pub fn write_read(total: u32, next: u32, results: &[ResultEntry]) -> Vec<u8> {
    let size = results
        .iter()
        .map(|r| r.text.len() + r.text.len() / 8 + r.id.len() + 56)
        .sum::<usize>();
    let mut out = Vec::with_capacity(size + 64);
    out.extend_from_slice(
        format!("{{\"Total\":{total},\"NextCursor\":{next},\"Results\":[").as_bytes(),
    );
    for (at, result) in results.iter().enumerate() {
        out.extend_from_slice(if at == 0 { b"{\"Id\":" } else { b",{\"Id\":" });
        put_string(&mut out, result.id.as_bytes());
        out.extend_from_slice(b",\"State\":\"");
        out.extend_from_slice(result.status.name().as_bytes());
        out.extend_from_slice(b"\",\"Message\":");
        put_string(&mut out, &result.text);
        out.push(b'}');
    }
    out.extend_from_slice(b"]}");
    out
}

/// The length of a text as a JSON string, without its quotes, in bytes.
pub fn escaped_len(text: &[u8]) -> usize {
    text.iter().fold(0, |sum, byte| {
        sum + match byte {
            b'"' | b'\\' | b'\n' | b'\r' | b'\t' => 2,
            0..=0x1f => 6,
            _ => 1,
        }
    })
}

fn put_string(out: &mut Vec<u8>, text: &[u8]) {
    // A store never sends bytes that are no UTF-8; in a response they would make the JSON invalid.
    match std::str::from_utf8(text) {
        Ok(text) => put_utf8(out, text.as_bytes()),
        Err(_) => put_utf8(out, String::from_utf8_lossy(text).as_bytes()),
    }
}

fn put_utf8(out: &mut Vec<u8>, text: &[u8]) {
    out.push(b'"');
    let mut from = 0;
    for (at, byte) in text.iter().enumerate() {
        if *byte >= b' ' && *byte != b'"' && *byte != b'\\' {
            continue;
        }
        out.extend_from_slice(text.get(from..at).unwrap_or_default());
        from = at + 1;
        match byte {
            b'"' => out.extend_from_slice(b"\\\""),
            b'\\' => out.extend_from_slice(b"\\\\"),
            b'\n' => out.extend_from_slice(b"\\n"),
            b'\r' => out.extend_from_slice(b"\\r"),
            b'\t' => out.extend_from_slice(b"\\t"),
            other => out.extend_from_slice(format!("\\u{other:04x}").as_bytes()),
        }
    }
    out.extend_from_slice(text.get(from..).unwrap_or_default());
    out.push(b'"');
}
