//! The state of each controller.

use super::args::Format;
use super::client::{reason, refused, Call};
use super::error::TierError;
use super::output::print;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Each controller gets one attempt: who does not answer is a part of the result.
const NO_RETRY: Duration = Duration::ZERO;

/// Prints the state of the controller at each address.
pub async fn status(ctl: &[SocketAddr], format: Format) -> Result<(), TierError> {
    let call = Call::get("/-/status".to_owned(), NO_RETRY);
    let mut failed = Vec::new();
    for addr in ctl {
        match read(&call, *addr).await {
            Ok(state) if format == Format::Json => print(format!("{state}\n"))?,
            Ok(state) => print(table(*addr, &state))?,
            Err(error) => {
                eprintln!("{addr}: {error}");
                failed.push(addr.to_string());
            }
        }
    }
    match failed.is_empty() {
        true => Ok(()),
        false => Err(TierError::NotAll(failed.join(", "))),
    }
}

async fn read(call: &Call, addr: SocketAddr) -> Result<Value, TierError> {
    let (by, answer) = call
        .send_to(addr)
        .await
        .map_err(|e| TierError::NotReached(reason(&e)))?;
    if !answer.status.is_success() {
        return Err(refused(by, &answer, false));
    }
    serde_json::from_slice(&answer.body).map_err(|e| TierError::Unreadable(e.to_string()))
}

/// A row of the table.
struct Row {
    key: String,
    value: String,
}

/// One controller's state, a line for each key.
fn table(addr: SocketAddr, state: &Value) -> String {
    let mut rows = Vec::new();
    flatten("", state, &mut rows);
    let width = rows.iter().map(|row| row.key.len()).max().unwrap_or(0);
    let line = |Row { key, value }: &Row| format!("  {key:width$} = {value}\n");
    let lines: String = rows.iter().map(line).collect();
    format!("{addr}\n{lines}")
}

/// Names within names with a point between them; lists of plain values on one line, others an entry
/// a line.
fn flatten(key: &str, value: &Value, rows: &mut Vec<Row>) {
    let mut row = |key: String, value: String| rows.push(Row { key, value });
    match value {
        Value::Object(members) => {
            for (name, value) in members {
                let key = if key.is_empty() {
                    name.clone()
                } else {
                    format!("{key}.{name}")
                };
                flatten(&key, value, rows);
            }
        }
        Value::Array(list) if list.iter().any(Value::is_object) => {
            for (n, entry) in list.iter().enumerate() {
                let mut inner = Vec::new();
                flatten("", entry, &mut inner);
                let pair = |Row { key, value }: Row| format!("{key}={value}");
                let pairs: Vec<String> = inner.into_iter().map(pair).collect();
                row(format!("{key}[{n}]"), pairs.join(" "));
            }
        }
        Value::Array(list) if list.is_empty() => row(key.to_owned(), "none".to_owned()),
        Value::Array(list) => {
            let list: Vec<String> = list.iter().map(plain).collect();
            row(key.to_owned(), list.join(","));
        }
        value => row(key.to_owned(), plain(value)),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
