//! Runners' reports of themselves, asked for where the choice finds them worth their price.

use crate::connection::upstream::Upstream;
use crate::counters::increment;
use crate::gateway::Gateway;
use crate::selection::selector::Key;
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode, Uri};
use runner_selection::LoadReport;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{timeout, Duration};

/// A runner that lives answers within this: it needs no slot for it.
const WITHIN: Duration = Duration::from_millis(500);
/// The longest report.
const LONGEST: usize = 64 * 1024;

/// Asks a runner, and tells the choice.
pub async fn fetch_report(gateway: Rc<Gateway>, key: Key, addr: SocketAddr) {
    let report = timeout(WITHIN, fetch(&gateway, key, addr))
        .await
        .ok()
        .flatten();
    gateway.selector.reported(key, report);
}

async fn fetch(gateway: &Rc<Gateway>, key: Key, addr: SocketAddr) -> Option<LoadReport> {
    let mut upstream = match gateway.selector.idle(key) {
        Some(upstream) => upstream,
        None if !gateway.selector.may_open(key) => return None,
        None => {
            increment(&gateway.counts.opened);
            Upstream::open(
                addr,
                gateway.selector.count_connection(key),
                gateway.selector.connect_timeout(),
            )
            .await
            .ok()?
        }
    };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static("/-/report");
    request
        .headers_mut()
        .insert(HOST, HeaderValue::try_from(addr.to_string()).ok()?);
    let (head, mut body) = upstream.send(request).await.ok()?.into_parts();
    let mut text = BytesMut::new();
    while let Some(data) = upstream.data(&mut body).await {
        text.extend_from_slice(&data.ok()?);
        if text.len() > LONGEST {
            return None;
        }
    }
    let report = (head.status == StatusCode::OK)
        .then(|| read(&text))
        .flatten();
    // Something else than a report may be another request's answer that came late.
    report?;
    if let Some(upstream) = upstream.rest(&head.headers) {
        gateway.selector.keep(key, upstream);
    }
    report
}

/// What a report says.
pub fn read(text: &[u8]) -> Option<LoadReport> {
    let value: Value = serde_json::from_slice(text).ok()?;
    let figure = |name: &str| value.get(name).and_then(Value::as_u64);
    let small = |name: &str| figure(name).map(|n| u32::try_from(n).unwrap_or(u32::MAX));
    Some(LoadReport {
        queued: small("Queued")?,
        active: small("Active")?,
        kv_in_use: figure("KvInUse").unwrap_or(0),
        kv_size: figure("KvSize").unwrap_or(0),
    })
}
