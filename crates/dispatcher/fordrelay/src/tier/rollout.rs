//! Moving a service to another version.

use super::args::{Rollout, RolloutOrder, Wait};
use super::client::{Answered, Call};
use super::error::TierError;
use super::output::print;
use bytes::Bytes;
use hyper::Method;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How long the order is retried: the same order sent again begins nothing.
const BEGIN_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a query of the progress is retried.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the queries.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The order as it is sent.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Order<'a> {
    svc: &'a str,
    target: &'a str,
    over_s: f64,
}

/// How far it is.
#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "PascalCase")]
struct Progress {
    state: String,
    target: String,
}

/// Begins it if a version is given, and prints how far it is.
pub async fn rollout(args: &Rollout) -> Result<(), TierError> {
    if let Some(order) = &args.order {
        begin(order, args).await?;
        if args.wait == Wait::No {
            return Ok(());
        }
    }
    let service = utf8_percent_encode(&args.service, NON_ALPHANUMERIC);
    let service = service.to_string().replace("%2D", "-");
    let call = Call::get(format!("/-/rollouts/{service}/get"), READ_TIMEOUT);
    let mut last = None;
    loop {
        let Answered { by, answer, .. } = call.send_to_any(&args.ctl).await?;
        let read = serde_json::from_slice::<Progress>(&answer.body);
        let progress =
            read.map_err(|e| TierError::Unreadable(format!("how far it is, by {by}: {e}")))?;
        let Progress { state, target } = &progress;
        if last.as_ref() != Some(&progress) {
            print(format!("{state}, to {target}, by {by}\n"))?;
        }
        if args.wait == Wait::No || state == "complete" {
            return Ok(());
        }
        if state == "reverted" {
            return Err(TierError::Reverted(target.clone()));
        }
        last = Some(progress);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn begin(order: &RolloutOrder, args: &Rollout) -> Result<(), TierError> {
    let order = Order {
        svc: &args.service,
        target: &order.target,
        over_s: order.over_s,
    };
    let unreadable = |e: serde_json::Error| TierError::Unreadable(format!("the order: {e}"));
    let body = Bytes::from(serde_json::to_vec(&order).map_err(unreadable)?);
    let call = Call::change(
        Method::POST,
        "/-/rollouts/begin".into(),
        body,
        BEGIN_TIMEOUT,
    );
    let Answered { by, .. } = call.send_to_any(&args.ctl).await?;
    print(format!("begun, by {by}\n"))
}
