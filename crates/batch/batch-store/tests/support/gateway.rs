//! Gateways and their clients: submit, read, end, fetch, run, hand over, hold. They are always in
//! touch.

use super::{World, CANCEL_MS, UNKNOWN_MS};
use batch::wire::*;
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

pub const HOSTS: [&str; 3] = ["one.example", "two.example", "three.example"];
const HOLDERS: u64 = 2;
/// As the gateways tell clients that find no store.
const BUSY_AGAIN: u64 = 250;
/// And up to so much longer.
const BUSY_SPREAD: u64 = 1_500;
/// Of each item.
const TOKENS: u64 = 100;

#[derive(Clone)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "what a client knows, each independent of the others"
)]
pub struct BatchJob {
    pub host: String,
    pub items: usize,
    pub taken_at: Option<u64>,
    pub end_asked: bool,
    pub ended_at: Option<u64>,
    /// A call about it is on its way.
    open: bool,
    /// Some try got no promise.
    unclear: bool,
    refused: bool,
    /// When it was last answered.
    answered_at: Option<u64>,
    /// A client that was sent away waits until then.
    again_at: u64,
    /// When it was first sent.
    asked_at: Option<u64>,
    /// When it was last refused for want of tokens.
    pub full_at: Option<u64>,
    /// Items that a runner has finished, and those whose results a store has taken.
    pub finished: BTreeSet<u32>,
    pub handed: BTreeMap<u32, u64>,
    call: Bytes,
}

enum PendingCall {
    Submit {
        batch_job: String,
    },
    Read {
        batch_job: String,
        start: u32,
        sent: u64,
    },
    Body {
        batch_job: String,
        item: String,
        sent: u64,
    },
    End {
        batch_job: String,
    },
    Fetch {
        holder: u64,
        to: std::net::SocketAddr,
    },
    Complete {
        holder: u64,
        partition: u16,
        results: Vec<Completion>,
    },
    Renew {
        holder: u64,
    },
}

struct RunningItem {
    leased: LeasedItem,
    ready_at: u64,
}

#[derive(Default)]
struct Gateway {
    held: BTreeMap<(String, u32, u64), RunningItem>,
    results: BTreeMap<u16, Vec<Completion>>,
    fetching: Vec<std::net::SocketAddr>,
    handing: Vec<u16>,
    held_at: u64,
}

#[derive(Default)]
pub struct Gateways {
    pub map: Option<PlacementMap>,
    pub batch_jobs: BTreeMap<String, BatchJob>,
    /// No more batch jobs are sent.
    pub quiet: bool,
    calls: BTreeMap<u64, PendingCall>,
    next: u64,
    holders: BTreeMap<u64, Gateway>,
}

fn text(batch_job: &str, index: u32) -> Bytes {
    Bytes::from(format!(
        "{batch_job}/{index}\n{}",
        "x".repeat(index as usize * 7 % 90)
    ))
}

impl BatchJob {
    pub fn tokens(&self) -> u64 {
        self.items as u64 * TOKENS
    }

    /// Since when it waits for a response to its submission.
    pub fn waits_since(&self) -> Option<u64> {
        let waits = self.taken_at.is_none() && !self.refused && !self.end_asked;
        self.asked_at
            .filter(|_| waits)
            .max(self.full_at.filter(|_| waits))
    }

    /// Tokens that certainly wait: it was acknowledged, and no runner has finished them.
    pub fn surely_waiting(&self) -> u64 {
        let waits = self.taken_at.is_some() && !self.end_asked;
        if waits {
            (self.items - self.finished.len()) as u64 * TOKENS
        } else {
            0
        }
    }

    /// Tokens that may have waited since then, by what stores can know.
    pub fn perhaps_waiting(&self, since: u64) -> u64 {
        let lately = |at: Option<u64>| at.is_some_and(|at| at >= since);
        let may_be =
            self.taken_at.is_some() || self.open || self.unclear || lately(self.answered_at);
        if !may_be || self.ended_at.is_some_and(|at| at < since) {
            return 0;
        }
        let handed = self.handed.values().filter(|at| **at < since).count();
        (self.items - handed) as u64 * TOKENS
    }
}

impl Gateways {
    fn call(
        world: &mut World,
        to: std::net::SocketAddr,
        kind: u16,
        body: Bytes,
        what: PendingCall,
    ) {
        world.gateways.next += 1;
        // The store's place is in the number, so that its answer takes its links.
        let place = match to.ip() {
            std::net::IpAddr::V4(ip) => u64::from(ip.octets()[3]) - 1,
            std::net::IpAddr::V6(_) => 0,
        };
        let call = world.gateways.next * 1_000 + place;
        world.gateways.calls.insert(call, what);
        world.call(to, kind, body, call);
    }

    pub fn tick(world: &mut World) {
        let Some(map) = world.gateways.map.clone() else {
            return;
        };
        if !world.gateways.quiet && world.below(4) == 0 {
            let name = format!("lot{}", world.gateways.batch_jobs.len());
            Self::new_batch_job(world, &name);
        }
        let names: Vec<String> = world.gateways.batch_jobs.keys().cloned().collect();
        for name in &names {
            Self::submit(world, &map, name);
        }
        if !names.is_empty() {
            for _ in 0..3 {
                let name = names[world.below(names.len() as u64) as usize].clone();
                Self::read(world, &map, &name);
            }
            let name = names[world.below(names.len() as u64) as usize].clone();
            if world.below(60) == 0 {
                Self::end(world, &map, &name);
            }
            if world.below(5) == 0 {
                Self::body(world, &map, &name);
            }
        }
        for holder in 0..HOLDERS {
            Self::work(world, &map, holder);
        }
    }

    fn new_batch_job(world: &mut World, name: &str) {
        // Where messages about reservations are lost, most batch jobs ask for the same few tokens.
        let crowd = world.faults.quota_messages && world.below(4) > 0;
        let host = if crowd {
            HOSTS[0]
        } else {
            HOSTS[world.below(3) as usize]
        };
        let items = 1 + world.below(12) as usize;
        let item = |n: usize| Item {
            id: format!("{name}-{n}").into(),
            path: "/p/x".into(),
            headers: vec![Header {
                name: "Fordrelay-Model".into(),
                value: "m".into(),
            }],
            body: Bytes::from(format!("body of {name}-{n}")),
            tokens: TOKENS,
        };
        let call = SubmitRequest {
            host: host.into(),
            route: "r".into(),
            batch_job: name.into(),
            age_ms: 0,
            due_ms: 10_000,
            retain_ms: 600_000,
            max_queued: super::quota::limit(host),
            excess_permille: super::quota::EXCESS_PERMILLE,
            max_failures: 1_000,
            items: (0..items).map(item).collect(),
        };
        let batch_job = BatchJob {
            host: host.into(),
            items,
            taken_at: None,
            end_asked: false,
            ended_at: None,
            open: false,
            unclear: false,
            refused: false,
            asked_at: None,
            again_at: 0,
            full_at: None,
            finished: BTreeSet::new(),
            handed: BTreeMap::new(),
            answered_at: None,
            call: call.encode(),
        };
        world.gateways.batch_jobs.insert(name.to_owned(), batch_job);
    }

    fn submit(world: &mut World, map: &PlacementMap, name: &str) {
        let Some(batch_job) = world.gateways.batch_jobs.get_mut(name) else {
            return;
        };
        if batch_job.open
            || batch_job.taken_at.is_some()
            || batch_job.refused
            || batch_job.again_at > world.now
        {
            return;
        }
        batch_job.open = true;
        batch_job.asked_at.get_or_insert(world.now);
        let Some(to) = map.head_of(&batch_job.host, name) else {
            return;
        };
        let body = batch_job.call.clone();
        Self::call(
            world,
            to,
            SUBMIT,
            body,
            PendingCall::Submit {
                batch_job: name.to_owned(),
            },
        );
    }

    fn read(world: &mut World, map: &PlacementMap, name: &str) {
        let Some(batch_job) = world.gateways.batch_jobs.get(name) else {
            return;
        };
        let Some(tail) = map.tail_of(&batch_job.host, name) else {
            return;
        };
        let seen = world.seen.get(name).map_or(0, Vec::len) as u32;
        let host = batch_job.host.clone();
        let back = world.below(3) as u32;
        let start = seen.saturating_sub(if back == 0 { seen } else { 0 });
        // Some ask a store that is not the tail any more, or never was.
        let stale = world.below(8) == 0;
        let to = if stale {
            super::addr(world.below(4) as usize)
        } else {
            tail
        };
        let wait_ms = if world.below(2) == 0 { 1_000 } else { 0 };
        let call = ReadRequest {
            host: host.into(),
            batch_job: name.into(),
            start_after: start,
            wait_ms,
        };
        let what = PendingCall::Read {
            batch_job: name.to_owned(),
            start,
            sent: world.now,
        };
        Self::call(world, to, READ, call.encode(), what);
    }

    fn body(world: &mut World, map: &PlacementMap, name: &str) {
        let Some(batch_job) = world.gateways.batch_jobs.get(name) else {
            return;
        };
        let Some(to) = map.tail_of(&batch_job.host, name) else {
            return;
        };
        let item = format!("{name}-{}", batch_job.items - 1);
        let call = ItemBodyRequest {
            host: batch_job.host.as_str().into(),
            batch_job: name.into(),
            item: item.as_str().into(),
        };
        let what = PendingCall::Body {
            batch_job: name.to_owned(),
            item,
            sent: world.now,
        };
        Self::call(world, to, BODY, call.encode(), what);
    }

    fn end(world: &mut World, map: &PlacementMap, name: &str) {
        let Some(batch_job) = world.gateways.batch_jobs.get_mut(name) else {
            return;
        };
        let Some(to) = map.head_of(&batch_job.host, name) else {
            return;
        };
        batch_job.end_asked = true;
        let call = EndRequest {
            host: batch_job.host.as_str().into(),
            batch_job: name.into(),
        };
        Self::call(
            world,
            to,
            END,
            call.encode(),
            PendingCall::End {
                batch_job: name.to_owned(),
            },
        );
    }

    fn work(world: &mut World, map: &PlacementMap, holder: u64) {
        Self::finish_runs(world, map, holder);
        Self::send_completions(world, map, holder);
        Self::renew_leases(world, map, holder);
        Self::fetch_items(world, map, holder);
    }

    /// Runs that are over get an outcome.
    fn finish_runs(world: &mut World, map: &PlacementMap, holder: u64) {
        let now = world.now;
        let mine = world.gateways.holders.entry(holder).or_default();
        let ready: Vec<_> = mine
            .held
            .iter()
            .filter(|(_, h)| h.ready_at <= now)
            .map(|(k, _)| k.clone())
            .collect();
        let mut outcomes = Vec::new();
        for key in ready {
            let kind = world.below(10);
            let mine = world.gateways.holders.entry(holder).or_default();
            let Some(holding) = mine.held.get_mut(&key) else {
                continue;
            };
            holding.ready_at = u64::MAX;
            let outcome = match kind {
                0 => Outcome::Failed,
                1 => Outcome::Released,
                _ => Outcome::Complete {
                    text: text(&key.0, key.1),
                },
            };
            if let (Outcome::Complete { .. }, Some(batch_job)) =
                (&outcome, world.gateways.batch_jobs.get_mut(&key.0))
            {
                batch_job.finished.insert(key.1);
            }
            let mine = world.gateways.holders.entry(holder).or_default();
            let Some(holding) = mine.held.get_mut(&key) else {
                continue;
            };
            let partition =
                map.partition_of(&holding.leased.host, &holding.leased.key.batch_job) as u16;
            outcomes.push((
                partition,
                Completion {
                    key: LeaseKey {
                        batch_job: key.0.into(),
                        index: key.1,
                        lease: key.2,
                    },
                    outcome,
                },
            ));
        }
        let mine = world.gateways.holders.entry(holder).or_default();
        for (partition, done) in outcomes {
            mine.results.entry(partition).or_default().push(done);
        }
    }

    fn send_completions(world: &mut World, map: &PlacementMap, holder: u64) {
        let mine = world.gateways.holders.entry(holder).or_default();
        let hand: Vec<u16> = mine
            .results
            .keys()
            .filter(|p| !mine.handing.contains(p))
            .copied()
            .collect();
        for partition in hand {
            let mine = world.gateways.holders.entry(holder).or_default();
            let Some(results) = mine.results.remove(&partition).filter(|r| !r.is_empty()) else {
                continue;
            };
            mine.handing.push(partition);
            let Some(to) = map.partitions[usize::from(partition)]
                .members
                .first()
                .map(|m| m.addr)
            else {
                continue;
            };
            let call = CompleteRequest {
                holder,
                partition,
                results: results.clone(),
            };
            Self::call(
                world,
                to,
                COMPLETE,
                call.encode(),
                PendingCall::Complete {
                    holder,
                    partition,
                    results,
                },
            );
        }
    }

    fn renew_leases(world: &mut World, map: &PlacementMap, holder: u64) {
        let now = world.now;
        let mine = world.gateways.holders.entry(holder).or_default();
        if now < mine.held_at + LEASE_RENEWAL_INTERVAL_MS {
            return;
        }
        mine.held_at = now;
        let mut by_head: BTreeMap<std::net::SocketAddr, BTreeMap<u16, Vec<LeaseKey>>> =
            BTreeMap::new();
        for (key, holding) in &mine.held {
            let partition =
                map.partition_of(&holding.leased.host, &holding.leased.key.batch_job) as u16;
            let Some(to) = map.head(usize::from(partition)) else {
                continue;
            };
            let held = LeaseKey {
                batch_job: key.0.as_str().into(),
                index: key.1,
                lease: key.2,
            };
            by_head
                .entry(to)
                .or_default()
                .entry(partition)
                .or_default()
                .push(held);
        }
        for (to, parts) in by_head {
            let parts = parts
                .into_iter()
                .map(|(partition, held)| PartitionLeases {
                    partition,
                    leases: held,
                })
                .collect();
            Self::call(
                world,
                to,
                RENEW,
                RenewRequest {
                    holder,
                    partitions: parts,
                }
                .encode(),
                PendingCall::Renew { holder },
            );
        }
    }

    fn fetch_items(world: &mut World, map: &PlacementMap, holder: u64) {
        let mine = world.gateways.holders.entry(holder).or_default();
        if mine.held.len() >= 20 {
            return;
        }
        let mut by_head: BTreeMap<std::net::SocketAddr, Vec<RouteDemand>> = BTreeMap::new();
        for host in HOSTS {
            for to in map
                .heads_of(host)
                .into_iter()
                .filter(|to| !mine.fetching.contains(to))
            {
                let want = RouteDemand {
                    host: host.into(),
                    route: "r".into(),
                    max_items: 4,
                };
                by_head.entry(to).or_default().push(want);
            }
        }
        for (to, wants) in by_head {
            world
                .gateways
                .holders
                .entry(holder)
                .or_default()
                .fetching
                .push(to);
            let call = FetchRequest {
                holder,
                wait_ms: 500,
                demands: wants,
            };
            Self::call(
                world,
                to,
                FETCH,
                call.encode(),
                PendingCall::Fetch { holder, to },
            );
        }
    }

    pub fn answered(world: &mut World, call: u64, body: Option<Bytes>) {
        let Some(what) = world.gateways.calls.remove(&call) else {
            return;
        };
        match what {
            PendingCall::Submit { batch_job } => Self::submitted(world, &batch_job, body),
            PendingCall::Read {
                batch_job,
                start,
                sent,
            } => Self::read_answered(world, &batch_job, start, sent, body),
            PendingCall::Body {
                batch_job,
                item,
                sent,
            } => Self::body_answered(world, &batch_job, &item, sent, body),
            PendingCall::End { batch_job } => Self::end_answered(world, &batch_job, body),
            PendingCall::Fetch { holder, to } => Self::fetched(world, holder, to, body),
            PendingCall::Complete {
                holder,
                partition,
                results,
            } => Self::completed(world, holder, partition, results, body),
            PendingCall::Renew { holder } => Self::renewed(world, holder, body),
        }
    }

    fn read_answered(
        world: &mut World,
        batch_job: &str,
        start: u32,
        sent: u64,
        body: Option<Bytes>,
    ) {
        let answer = body.and_then(|body| ReadResponse::decode(&body).ok());
        match answer {
            Some(ReadResponse::Found { total, results, .. }) => {
                assert_eq!(total as usize, world.gateways.batch_jobs[batch_job].items);
                for result in &results {
                    let index = result.id.rsplit('-').next().unwrap().parse().unwrap();
                    assert_eq!(result.id, format!("{batch_job}-{index}"));
                    assert_eq!(
                        (result.status, &result.text),
                        (ResultStatus::Complete, &text(batch_job, index))
                    );
                }
                world.read(batch_job, sent, start, Some(results));
            }
            Some(ReadResponse::NotFound) => {
                let taken = world.gateways.batch_jobs[batch_job].taken_at;
                assert!(
                    taken.is_none_or(|at| at + UNKNOWN_MS >= sent),
                    "{batch_job}: 404 at {}, taken {taken:?}",
                    world.now
                );
                world.read(batch_job, sent, start, None);
            }
            _ => world.sum.unsure_reads += 1,
        }
    }

    fn body_answered(
        world: &mut World,
        batch_job: &str,
        item: &str,
        sent: u64,
        body: Option<Bytes>,
    ) {
        if let Some(Ok(answer)) = body.map(|body| ItemBodyResponse::decode(&body)) {
            let found = &world.gateways.batch_jobs[batch_job];
            let old = found.taken_at.is_some_and(|at| at + UNKNOWN_MS < sent) && !found.end_asked;
            match answer {
                ItemBodyResponse::Found { body } => {
                    assert_eq!(body, format!("body of {item}"));
                    world.sum.bodies += 1;
                }
                ItemBodyResponse::NotFound => assert!(
                    !old || world.is_listed(&found.host, batch_job, item),
                    "{item}: no body at {}, asked {sent}, taken {:?}, {}",
                    world.now,
                    found.taken_at,
                    world.places(world.part_of(&found.host, batch_job))
                ),
                _ => {}
            }
        }
    }

    fn end_answered(world: &mut World, batch_job: &str, body: Option<Bytes>) {
        if let Some(Ok(EndResponse::Ended)) = body.map(|body| EndResponse::decode(&body)) {
            let now = world.now;
            let batch_job = world.gateways.batch_jobs.get_mut(batch_job).unwrap();
            assert!(
                batch_job.taken_at.is_some() || batch_job.unclear || batch_job.open,
                "ended, and never taken"
            );
            if batch_job.ended_at.is_none() {
                batch_job.ended_at = Some(now);
                world.sum.ended += 1;
            }
        }
    }

    fn completed(
        world: &mut World,
        holder: u64,
        partition: u16,
        results: Vec<Completion>,
        body: Option<Bytes>,
    ) {
        let now = world.now;
        let answer = body.and_then(|body| CompleteResponse::decode(&body).ok());
        let mine = world.gateways.holders.entry(holder).or_default();
        mine.handing.retain(|p| *p != partition);
        if answer == Some(CompleteResponse::Accepted) {
            for done in &results {
                mine.held.remove(&(
                    done.key.batch_job.to_string(),
                    done.key.index,
                    done.key.lease,
                ));
            }
            for done in results
                .iter()
                .filter(|d| matches!(d.outcome, Outcome::Complete { .. }))
            {
                if let Some(batch_job) = world
                    .gateways
                    .batch_jobs
                    .get_mut(done.key.batch_job.as_str())
                {
                    batch_job.handed.entry(done.key.index).or_insert(now);
                }
                let host = &world.gateways.batch_jobs[done.key.batch_job.as_str()].host;
                let kept = world
                    .kept(host, &done.key.batch_job)
                    .map(|batch_jobs| batch_jobs.batch_job(&done.key.batch_job));
                let item = |batch_job: &batch::BatchJob| {
                    batch_job.items[done.key.index as usize].request().is_none()
                };
                assert!(
                    kept.is_none_or(|batch_job| batch_job.is_none_or(item)),
                    "{}: a result is lost",
                    done.key.batch_job
                );
            }
        } else {
            mine.results.entry(partition).or_default().extend(results);
        }
    }

    fn renewed(world: &mut World, holder: u64, body: Option<Bytes>) {
        let Some(Ok(answer)) = body.map(|body| RenewResponse::decode(&body)) else {
            return;
        };
        let mine = world.gateways.holders.entry(holder).or_default();
        for part in answer.partitions {
            if let RenewOutcome::Revoke { leases } = part.outcome {
                for one in leases {
                    // What is on its way to the store stays until it is answered.
                    let key = (one.batch_job.to_string(), one.index, one.lease);
                    if mine.held.get(&key).is_some_and(|h| h.ready_at < u64::MAX) {
                        mine.held.remove(&key);
                    }
                }
            }
        }
    }

    fn submitted(world: &mut World, batch_job: &str, body: Option<Bytes>) {
        let now = world.now;
        let answer = body.and_then(|body| SubmitResponse::decode(&body).ok());
        let Some(found) = world.gateways.batch_jobs.get_mut(batch_job) else {
            return;
        };
        found.open = false;
        found.answered_at = Some(now);
        match answer {
            Some(SubmitResponse::Accepted) => {
                found.taken_at = Some(now);
                world.sum.taken += 1;
                let host = found.host.clone();
                world.check_quota(&host);
                if world.losses.slow_copies {
                    world.check_taken(batch_job);
                }
            }
            Some(SubmitResponse::QuotaExceeded) => {
                world.sum.full += 1;
                found.full_at = Some(now);
                if !found.unclear && now.is_multiple_of(3) {
                    found.refused = true;
                }
                let (host, tokens) = (found.host.clone(), found.tokens());
                world.check_full(batch_job, &host, tokens);
            }
            Some(SubmitResponse::Unavailable) => {
                world.sum.busy += 1;
                found.again_at = now + BUSY_AGAIN + now % BUSY_SPREAD;
                // Some clients give up: then nothing of it may ever run.
                if !found.unclear && now.is_multiple_of(3) {
                    found.refused = true;
                }
            }
            Some(SubmitResponse::Redirect { .. }) => {}
            Some(SubmitResponse::Indeterminate) | None => {
                world.sum.unsure += 1;
                found.unclear = true;
            }
            Some(other) => panic!("{batch_job}: {other:?}"),
        }
    }

    fn fetched(world: &mut World, holder: u64, to: std::net::SocketAddr, body: Option<Bytes>) {
        let now = world.now;
        let answer = body.and_then(|body| FetchResponse::decode(&body).ok());
        let mine = world.gateways.holders.entry(holder).or_default();
        mine.fetching.retain(|at| *at != to);
        for leased in answer.map(|answer| answer.items).unwrap_or_default() {
            let took = 50 + world.below(1_500);
            let batch_job = &world.gateways.batch_jobs[leased.key.batch_job.as_str()];
            assert!(
                !batch_job.refused,
                "{} runs, and every try was refused",
                leased.key.batch_job
            );
            assert!(
                batch_job.ended_at.is_none_or(|at| now <= at + CANCEL_MS),
                "{} runs long after its end",
                leased.key.batch_job
            );
            let kept = world
                .kept(&batch_job.host, &leased.key.batch_job)
                .map(|batch_jobs| batch_jobs.batch_job(&leased.key.batch_job).is_some());
            assert!(
                kept.unwrap_or(true),
                "{} runs, and is not kept",
                leased.key.batch_job
            );
            assert_eq!(
                leased.item.id,
                format!("{}-{}", leased.key.batch_job, leased.key.index)
            );
            assert_eq!(leased.item.body, format!("body of {}", leased.item.id));
            let key = (
                leased.key.batch_job.to_string(),
                leased.key.index,
                leased.key.lease,
            );
            let mine = world.gateways.holders.entry(holder).or_default();
            mine.held.insert(
                key,
                RunningItem {
                    leased,
                    ready_at: now + took,
                },
            );
        }
    }
}
