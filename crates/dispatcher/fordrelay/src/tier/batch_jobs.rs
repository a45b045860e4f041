//! Batch jobs: results, cancellation, bodies of items.

use super::args::{BatchJob, Wait};
use super::client::{Answered, Call};
use super::error::TierError;
use super::output::print;
use bytes::Bytes;
use hyper::Method;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::time::Duration;

/// How long a call is retried.
const TIMEOUT: Duration = Duration::from_secs(10);
/// How long a dispatcher may hold an answer back until there is a result.
const LONG_POLL: Duration = Duration::from_millis(1_000);
/// Delay before the next call where nothing is new.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A page of results.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Page {
    total: u64,
    next_cursor: u64,
    results: Vec<Box<RawValue>>,
}

impl Page {
    /// Whether the page can be the one behind this cursor.
    fn continues(&self, cursor: u64) -> bool {
        self.next_cursor == cursor.saturating_add(self.results.len() as u64)
            && self.next_cursor <= self.total
    }
}

fn encoded(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

/// Prints the results from a position on, a line each.
pub async fn read(job: &BatchJob, start: u64, wait: Wait) -> Result<(), TierError> {
    let follow = wait == Wait::UntilComplete;
    let mut cursor = start;
    loop {
        let path = format!("/-/lots/{}?StartAfter={cursor}", encoded(&job.id));
        let mut call = Call::get(path, TIMEOUT).host(&job.host);
        if follow {
            let held_ms = LONG_POLL.as_millis().to_string();
            call = call
                .header("fordrelay-wait-ms", held_ms)
                .long_poll(LONG_POLL);
        }
        let Answered { by, answer, .. } = call.send_to_any(&job.edge).await?;
        let unreadable = |what: &dyn std::fmt::Display| {
            TierError::Unreadable(format!("results by {by}: {what}"))
        };
        let page: Page = serde_json::from_slice(&answer.body).map_err(|e| unreadable(&e))?;
        if !page.continues(cursor) {
            return Err(unreadable(
                &"NextCursor is not StartAfter and the count of the results",
            ));
        }
        // One line each, however it was formatted.
        let line = |result: &RawValue| result.get().replace(['\n', '\r'], " ") + "\n";
        print(
            page.results
                .iter()
                .map(|result| line(result))
                .collect::<String>(),
        )?;
        let progressed = page.next_cursor > cursor;
        cursor = page.next_cursor;
        if cursor >= page.total || (!progressed && !follow) {
            eprintln!("{cursor} of {} results", page.total);
            return Ok(());
        }
        if !progressed {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Cancels the job.
pub async fn cancel(job: &BatchJob) -> Result<(), TierError> {
    let path = format!("/-/lots/{}", encoded(&job.id));
    let call = Call::change(Method::DELETE, path, Bytes::new(), TIMEOUT);
    let Answered { by, .. } = call.host(&job.host).send_to_any(&job.edge).await?;
    print(format!("ended, by {by}\n"))
}

/// Prints the body of an item.
pub async fn item_body(job: &BatchJob, item: &str) -> Result<(), TierError> {
    let path = format!("/-/items/{}?Id={}", encoded(&job.id), encoded(item));
    let call = Call::get(path, TIMEOUT).host(&job.host);
    let Answered { answer, .. } = call.send_to_any(&job.edge).await?;
    print(&answer.body)
}
