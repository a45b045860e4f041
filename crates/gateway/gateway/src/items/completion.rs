//! What became of items is handed over to the stores that keep them, several at once.

use crate::counters::increment;
use crate::gateway::Gateway;
use crate::items::CALL_WITHIN;
use batch::wire::{
    CompleteRequest, CompleteResponse, Completion, LeaseKey, Message, Outcome, PlacementMap,
    COMPLETE,
};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{sleep, Duration};

/// Results are gathered for so long, so that one write of the store's disk serves several.
const BATCHING_DELAY: Duration = Duration::from_millis(15);
/// Results, and their bytes, in one call at most.
const MAX_BATCH_RESULTS: usize = 256;
const MAX_BATCH_BYTES: usize = 2 << 20;
/// A call about results that failed is made again after this; after each further one in a row after twice as long.
const AGAIN: Duration = Duration::from_millis(100);
/// So many times it doubles: up to 0.8 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// An item's outcome is handed over with others of its partition.
pub fn finish(gateway: &Rc<Gateway>, key: &LeaseKey, outcome: Outcome) {
    let items = &gateway.items;
    let Some(partition) = items.held.borrow().get(key).map(|h| h.partition) else {
        return;
    };
    increment(if outcome == Outcome::Released {
        &gateway.counts.released
    } else {
        &gateway.counts.done
    });
    let done = Completion {
        key: key.clone(),
        outcome,
    };
    items
        .results
        .borrow_mut()
        .entry(partition)
        .or_default()
        .push(done);
    if items.sending_results.borrow_mut().insert(partition) {
        let gateway = Rc::clone(gateway);
        spawn_local(async move {
            send_results(&gateway, partition).await;
            gateway
                .items
                .sending_results
                .borrow_mut()
                .remove(&partition);
        });
    }
}

async fn send_results(gateway: &Rc<Gateway>, partition: u16) {
    let items = &gateway.items;
    let mut moved: Option<SocketAddr> = None;
    let mut failures = 0;
    sleep(BATCHING_DELAY).await;
    loop {
        let results = {
            let mut all = items.results.borrow_mut();
            let waiting = all.entry(partition).or_default();
            // What was dropped meanwhile is the store's no more to hear.
            waiting.retain(|d| items.is_held(&d.key));
            // A store that could not take the last ones is asked with one result: all gateways that send it all they have
            // would fill its link, and its chain could not go on.
            let count = if failures == 0 {
                batch(waiting)
            } else {
                waiting.len().min(1)
            };
            waiting.iter().take(count).cloned().collect::<Vec<_>>()
        };
        if results.is_empty() {
            return;
        }
        let keys: Vec<LeaseKey> = results.iter().map(|d| d.key.clone()).collect();
        let head = |map: &PlacementMap| {
            map.partitions
                .get(usize::from(partition))?
                .members
                .first()
                .map(|m| m.addr)
        };
        let named = gateway.map().as_deref().and_then(head);
        let to = moved.take().or(named);
        let call = CompleteRequest {
            holder: gateway.id,
            partition,
            results,
        }
        .encode();
        let answer = match to {
            Some(to) => tokio::select! {
                biased;
                answer = gateway.links.call(to, COMPLETE, call, CALL_WITHIN) => answer.ok(),
                // A store that is gone is not waited for once another is in its place.
                () = gateway.moved(|map| head(map).filter(|_| named == Some(to)), to) => None,
            },
            None => None,
        };
        match answer.and_then(|body| CompleteResponse::decode(&body).ok()) {
            Some(CompleteResponse::Accepted) => {
                failures = 0;
                if let Some(waiting) = items.results.borrow_mut().get_mut(&partition) {
                    waiting.retain(|d| !keys.contains(&d.key));
                }
                keys.iter().for_each(|key| items.drop_one(key));
            }
            Some(CompleteResponse::Redirect { to: other }) if Some(other) != to => {
                moved = Some(other)
            }
            _ => {
                increment(&gateway.counts.unsure);
                sleep(AGAIN * (1 << failures.min(MAX_BACKOFF_DOUBLINGS))).await;
                failures += 1;
            }
        }
    }
}

/// How many of these results go into one call.
fn batch(results: &[Completion]) -> usize {
    let mut bytes = 0;
    let fits = |done: &&Completion| {
        bytes += 64
            + match &done.outcome {
                Outcome::Complete { text } => text.len(),
                _ => 0,
            };
        bytes <= MAX_BATCH_BYTES
    };
    results
        .iter()
        .take(MAX_BATCH_RESULTS)
        .take_while(fits)
        .count()
        .max(1)
        .min(results.len())
}
