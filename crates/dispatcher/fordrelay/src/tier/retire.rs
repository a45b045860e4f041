//! Retiring storage machines.

use super::args::{Retire, Wait};
use super::client::{Answered, Call};
use super::error::TierError;
use super::output::print;
use bytes::Bytes;
use hyper::Method;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::Deserialize;
use std::time::Duration;

/// How long the order to begin is retried.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a query of the progress is retried.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the queries.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// How far it is.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Progress {
    state: String,
}

/// Begins it if a time is given, and prints how far it is.
pub async fn retire(args: &Retire) -> Result<(), TierError> {
    let node = utf8_percent_encode(&args.node, NON_ALPHANUMERIC)
        .to_string()
        .replace("%2D", "-");
    if let Some(over_s) = args.over_s {
        begin(&node, over_s, args).await?;
        if args.wait == Wait::No {
            return Ok(());
        }
    }
    let call = Call::get(format!("/-/retire/{node}/get"), READ_TIMEOUT);
    let mut last = String::new();
    loop {
        let Answered { by, answer, .. } = call.send_to_any(&args.ctl).await?;
        let read = serde_json::from_slice::<Progress>(&answer.body);
        let Progress { state } =
            read.map_err(|e| TierError::Unreadable(format!("how far it is, by {by}: {e}")))?;
        if state != last {
            print(format!("{state}, by {by}\n"))?;
        }
        if args.wait == Wait::No || state == "complete" {
            return Ok(());
        }
        last = state;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn begin(node: &str, over_s: f64, args: &Retire) -> Result<(), TierError> {
    let body = Bytes::from(format!("{{\"OverS\":{over_s}}}"));
    let path = format!("/-/retire/{node}/begin");
    let call = Call::change(Method::POST, path, body, BEGIN_TIMEOUT);
    match call.send_to_any(&args.ctl).await {
        Ok(Answered { by, .. }) => print(format!("begun, by {by}\n")),
        // The attempt with the unknown outcome was accepted.
        Err(TierError::Refused {
            status: 409,
            after_unknown: true,
            ..
        }) => print("begun, by a try without an answer\n"),
        Err(error) => Err(error),
    }
}
