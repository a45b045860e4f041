//! The operator: configurations, sent until they are taken.

use crate::net::call;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub const HOST: &str = "ficu95.example";
pub const STREAM: &str = "huvo11a";
pub const PLAIN: &str = "wuno96b";

/// A configuration like the one of the protocol page: a resumable stream, a stream that isn't, a request that may be
/// repeated, and batch jobs.
pub fn configuration(gen: u64) -> String {
    let route = |name: &str, prefix: &str, rest: &str| format!("{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"Prefix\":\"{prefix}\",{rest}}}");
    let routes = [
        route("r-note", "/lohu930/", &format!("\"Kind\":\"streaming\",\"TimeoutMs\":6000,\"TargetMs\":200,\"Prio\":0,\"Svc\":\"{STREAM}\",\"Tries\":2,\"Sticky\":true,\"Resumable\":true,\"gap_aim_ms\":250")),
        route("r-review", "/pufi791/", &format!("\"Kind\":\"streaming\",\"TimeoutMs\":4000,\"TargetMs\":300,\"Prio\":0,\"Svc\":\"{STREAM}\",\"Tries\":1,\"Sticky\":true,\"Resumable\":false,\"gap_aim_ms\":250")),
        route("r-fetch", "/puxa403/", &format!("\"Kind\":\"idempotent\",\"TimeoutMs\":4000,\"TargetMs\":300,\"Prio\":2,\"Svc\":\"{PLAIN}\",\"Tries\":2")),
        route("r-check", "/pule252/", &format!("\"Kind\":\"bulk\",\"TimeoutMs\":8000,\"TargetMs\":400,\"Prio\":2,\"Svc\":\"{STREAM}\",\"Tries\":3,\"Resumable\":true,\"gap_aim_ms\":250,\"DueMs\":10000,\"RetainS\":40,\"MaxQueued\":1400000")),
    ];
    let services = format!(
        "{{\"Name\":\"{STREAM}\",\"HealthPath\":\"/healthz\",\"MaxConns\":220,\"Proto\":\"h1\",\"Tls\":false,\"Backend\":{{\"Slots\":24,\
         \"KvCapacity\":400843,\"KvTokenBytes\":327680,\"LinkMbps\":2200000.0,\"stride\":16,\"Models\":[{{\"Name\":\"m\"}}]}}}},\
         {{\"Name\":\"{PLAIN}\",\"HealthPath\":\"/healthz\",\"MaxConns\":120,\"Proto\":\"h1\",\"Tls\":false}}"
    );
    format!(
        "{{\"Gen\":{gen},\"Routes\":[{}],\"Svcs\":[{services}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// A call to `ctl`: 307 is followed twice, and the next controller is asked after a failure or a 5xx.
pub fn order(ctl: &[SocketAddr], method: &str, path: &str, headers: &[(&str, String)], body: &str, until: Instant) -> Option<(u16, String)> {
    let mut at = 0;
    while Instant::now() < until {
        let mut to = ctl[at % ctl.len()];
        at += 1;
        for _ in 0..3 {
            let Ok(answer) = call(to, method, path, headers, body.as_bytes(), Duration::from_secs(1)) else { break };
            match answer.status() {
                307 => {
                    let location = answer.header("Location").unwrap_or("").trim_start_matches("http://").to_owned();
                    match location.split('/').next().and_then(|addr| addr.parse().ok()) {
                        Some(next) => to = next,
                        None => break,
                    }
                }
                408 | 429 | 500..=599 => break,
                status => return Some((status, answer.text())),
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    None
}

/// Sends a configuration until it is acknowledged.
pub fn put(record: &Record, ctl: &[SocketAddr], base: u64, gen: u64, within: Duration) -> bool {
    let headers = [("Content-Type", "application/json".to_owned()), ("Fordrelay-Base-Version", base.to_string())];
    let answer = order(ctl, "POST", "/-/config/replace", &headers, &configuration(gen), Instant::now() + within);
    record.line(&format!("operator: configuration {gen} on {base}: {answer:?}"));
    matches!(answer, Some((200, _)))
}
