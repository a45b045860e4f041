//! Outcomes of items, sent to the stores that keep their batch jobs, several in one call.

use crate::counters::increment;
use crate::gateway::Gateway;
use crate::items::{Items, CALL_WITHIN};
use batch::wire::{
    CompleteRequest, CompleteResponse, Completion, LeaseKey, Message, Outcome, PlacementMap,
    COMPLETE,
};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::spawn_local;
use tokio::time::{sleep, Duration};

/// Results are collected for this long, so that one write of the store's disk serves several.
const BATCHING_DELAY: Duration = Duration::from_millis(15);
/// Results in one call at most, and their bytes.
const MAX_BATCH_RESULTS: usize = 256;
const MAX_BATCH_BYTES: usize = 2 << 20;
/// Pause after a call that failed; each further failure in a row doubles it.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The pause doubles this many times: up to 0.8 s.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Queues the outcome of an item, to be sent with others of its partition.
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

/// Sends the results of a partition until none is left.
async fn send_results(gateway: &Rc<Gateway>, partition: u16) {
    let mut redirect: Option<SocketAddr> = None;
    let mut failures = 0;
    sleep(BATCHING_DELAY).await;
    loop {
        let results = next_batch(&gateway.items, partition, failures);
        if results.is_empty() {
            return;
        }
        let keys: Vec<LeaseKey> = results.iter().map(|done| done.key.clone()).collect();
        let head = gateway.map().and_then(|map| head_of(&map, partition));
        let to = redirect.take().or(head);
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
                // A store that is gone is not waited for once another has taken its place.
                () = gateway.moved(|map| head_of(map, partition).filter(|_| head == Some(to)), to) => None,
            },
            None => None,
        };
        match answer.and_then(|body| CompleteResponse::decode(&body).ok()) {
            Some(CompleteResponse::Accepted) => {
                failures = 0;
                acknowledge(&gateway.items, partition, &keys);
            }
            Some(CompleteResponse::Redirect { to: other }) if Some(other) != to => {
                redirect = Some(other);
            }
            _ => {
                increment(&gateway.counts.unsure);
                sleep(RETRY_INTERVAL * (1 << failures.min(MAX_BACKOFF_DOUBLINGS))).await;
                failures += 1;
            }
        }
    }
}

fn head_of(map: &PlacementMap, partition: u16) -> Option<SocketAddr> {
    let chain = map.partitions.get(usize::from(partition))?;
    chain.members.first().map(|member| member.addr)
}

/// The results of the next call. After a failure it is one: all gateways that send all they have would fill the link of a store
/// that could not take the last ones, and its chain could not make progress.
fn next_batch(items: &Items, partition: u16, failures: u32) -> Vec<Completion> {
    let mut all = items.results.borrow_mut();
    let waiting = all.entry(partition).or_default();
    // Items whose lease was revoked meanwhile are not reported.
    waiting.retain(|done| items.is_held(&done.key));
    let count = if failures == 0 {
        batch(waiting)
    } else {
        waiting.len().min(1)
    };
    waiting.iter().take(count).cloned().collect()
}

/// The store has these results: they and their items are dropped here.
fn acknowledge(items: &Items, partition: u16, keys: &[LeaseKey]) {
    if let Some(waiting) = items.results.borrow_mut().get_mut(&partition) {
        waiting.retain(|done| !keys.contains(&done.key));
    }
    keys.iter().for_each(|key| items.drop_one(key));
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
