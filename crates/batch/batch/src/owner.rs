//! What the head of a partition knows beyond the table: which items wait for a gateway, who holds which, how often
//! an item failed, and when something is to be given up or forgotten.
//!
//! All of it is soft: a new head makes it anew from the table, and what gateways hold they tell it themselves. For
//! [`TAKEOVER_GRACE_MS`] it gives out nothing, so that they come first; an item given out twice all the same runs
//! twice at worst, and is listed once.

mod time;

use crate::codec::Message;
use crate::codes;
use crate::command::{content, Command, ItemResult, Take};
use crate::leases::{Leases, Place};
use crate::route_queue::{RouteQueue, Urgency};
use crate::table::{BatchJob, BatchJobTable, ItemState};
use crate::wire::{
    Completion, LeaseRef, LeasedItem, Outcome, ResultStatus, RouteDemand, SubmitRequest,
    SubmitResponse, MAX_FETCH_BYTES, MAX_ITEMS,
};
use bytes::Bytes;
use chain_replication::{Millis, MAX_COMMAND_BYTES};
use compact_str::CompactString;
use std::collections::{BTreeSet, HashMap};

/// A new head gives out no items for so long: gateways say every 500 ms what they hold.
pub const TAKEOVER_GRACE_MS: u64 = 600;
/// Bits of a lease number that count within a view; the view is above them.
const VIEW_SHIFT: u32 = 32;
/// Results are put together up to about so many bytes.
const RESULTS_BYTES: usize = 1 << 20;

/// What becomes of a submitted batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitDecision {
    /// To be answered so at once.
    Answer(SubmitResponse),
    /// It is in the table: [`SubmitResponse::Accepted`] once all that the head has received is committed.
    Known,
    /// To be proposed; once it is committed: [`PartitionLeader::taken`], then [`SubmitResponse::Accepted`].
    Propose(Bytes),
    /// So many tokens are to be reserved for it at its host's home partition first; then it is to be submitted again.
    Reserve(SubmitRequest, u64),
}

/// Who holds a route's `MaxQueued` for a batch job that is submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaState {
    /// This partition: it keeps all batch jobs of the host.
    Local,
    /// The head of the host's home partition, which has not granted anything yet.
    Unreserved,
    /// The head of the host's home partition, which has granted the batch job's tokens.
    Reserved,
}

/// What becomes of a call that ends a batch job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndDecision {
    /// There is no such batch job.
    Unknown,
    /// It was ended before: answered once all that the head has received is committed.
    Known,
    /// To be proposed, and answered once it is committed.
    Propose(Bytes),
}

fn tokens_of(items: &[crate::wire::Item]) -> u64 {
    items
        .iter()
        .fold(0, |sum, item| sum.saturating_add(item.tokens))
}

/// The most tokens that may wait on a route; without a limit (0) there is none.
pub fn max_queued_tokens(max_queued: u64, excess_permille: u32) -> u64 {
    if max_queued == 0 {
        return u64::MAX;
    }
    let excess = u128::from(max_queued) * u128::from(excess_permille) / 1000;
    u64::try_from(u128::from(max_queued) + excess).unwrap_or(u64::MAX)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stand {
    Waiting,
    Held { holder: u64, lease: u64 },
    Over,
}

#[derive(Clone, Copy, Debug)]
struct SoftItem {
    stand: Stand,
    fails: u32,
    /// The newest lease that its holder has ended by a failure or a release; 0 if none. It may not be taken up again.
    ended: u64,
}

#[derive(Debug)]
struct SoftBatchJob {
    id: CompactString,
    route: usize,
    taken: u64,
    due: u64,
    give_up: u64,
    tries: u32,
    items: Vec<SoftItem>,
    left: usize,
}

/// The soft state of a partition's head.
#[derive(Debug)]
pub struct PartitionLeader {
    poll_ms: u64,
    started: Millis,
    clock_at_start: u64,
    clock_said: u64,
    swept: Millis,
    next_lease: u64,
    next_key: u64,
    keys: HashMap<CompactString, u64>,
    batch_jobs: HashMap<u64, SoftBatchJob>,
    routes: Vec<RouteQueue>,
    route_of: HashMap<(CompactString, CompactString), usize>,
    leases: Leases,
    /// (clock, batch job's key): when the rest of a batch job may be given up.
    give_up: BTreeSet<(u64, u64)>,
    /// (clock, batch job's id): when a batch job may be forgotten.
    forget: BTreeSet<(u64, CompactString)>,
    /// The one entry of a batch job in `forget`.
    forget_at: HashMap<CompactString, u64>,
    turn: usize,
}

impl PartitionLeader {
    /// The head's state of a view, made from the table as it stands. `poll_ms` is the users' `PollS`.
    pub fn new(now: Millis, view: u64, batch_jobs: &BatchJobTable, poll_ms: u64) -> Self {
        let mut owner = Self {
            poll_ms,
            started: now,
            clock_at_start: batch_jobs.clock(),
            clock_said: batch_jobs.clock(),
            swept: now,
            // Leases of different heads never have the same number: views are numbered.
            next_lease: view << VIEW_SHIFT,
            next_key: 0,
            keys: HashMap::new(),
            batch_jobs: HashMap::new(),
            routes: Vec::new(),
            route_of: HashMap::new(),
            leases: Leases::default(),
            give_up: BTreeSet::new(),
            forget: BTreeSet::new(),
            forget_at: HashMap::new(),
            turn: 0,
        };
        for (id, batch_job) in batch_jobs.iter() {
            owner.add(id, batch_job);
        }
        owner
    }

    /// The head's clock: the table's when it became head, and the time since.
    pub fn clock(&self, now: Millis) -> u64 {
        self.clock_at_start
            .saturating_add(now.saturating_sub(self.started))
    }

    /// Whether the time is over in which gateways say what they hold.
    pub fn open(&self, now: Millis) -> bool {
        now.saturating_sub(self.started) >= TAKEOVER_GRACE_MS
    }

    /// How many items wait for a gateway.
    pub fn waiting(&self) -> usize {
        self.routes.iter().map(RouteQueue::len).sum()
    }

    /// How many items of a route wait for a gateway.
    pub fn waiting_of(&self, host: &str, route: &str) -> usize {
        self.queue_of(host, route)
            .and_then(|at| self.routes.get(at))
            .map_or(0, RouteQueue::len)
    }

    /// How many items gateways hold.
    pub fn held(&self) -> usize {
        self.leases.count()
    }

    /// Whether there is nothing to do at all, however much time goes by.
    pub fn idle(&self) -> bool {
        self.batch_jobs.is_empty() && self.forget.is_empty()
    }

    fn queue_of(&self, host: &str, route: &str) -> Option<usize> {
        self.route_of
            .get(&(CompactString::from(host), CompactString::from(route)))
            .copied()
    }

    fn add(&mut self, id: &CompactString, batch_job: &BatchJob) {
        if batch_job.over() {
            self.plan_forgetting(id, batch_job.taken);
        }
        if batch_job.over() || self.keys.contains_key(id) {
            return;
        }
        let route = match self.queue_of(&batch_job.host, &batch_job.route) {
            Some(route) => route,
            None => {
                self.routes.push(RouteQueue::new(
                    batch_job.host.clone(),
                    batch_job.route.clone(),
                ));
                self.route_of.insert(
                    (batch_job.host.clone(), batch_job.route.clone()),
                    self.routes.len() - 1,
                );
                self.routes.len() - 1
            }
        };
        let key = self.next_key;
        self.next_key += 1;
        let due = batch_job.sent.saturating_add(batch_job.due_ms);
        // Counted from the taking, which is no earlier than the sending: never too soon.
        let give_up = if batch_job.retain_ms == 0 {
            u64::MAX
        } else {
            batch_job.taken.saturating_add(batch_job.retain_ms)
        };
        let mut items = Vec::with_capacity(batch_job.items.len());
        for (item, index) in batch_job.items.iter().zip(0u16..) {
            let waits = matches!(item.state, ItemState::Pending { .. });
            if let (true, Some(queue)) = (waits, self.routes.get_mut(route)) {
                queue.push((due, key, index));
            }
            items.push(SoftItem {
                stand: if waits { Stand::Waiting } else { Stand::Over },
                fails: 0,
                ended: 0,
            });
        }
        let left = items
            .iter()
            .filter(|item| item.stand != Stand::Over)
            .count();
        if give_up < u64::MAX {
            self.give_up.insert((give_up, key));
        }
        self.keys.insert(id.clone(), key);
        let tries = batch_job.tries.max(1);
        let soft = SoftBatchJob {
            id: id.clone(),
            route,
            taken: batch_job.taken,
            due,
            give_up,
            tries,
            items,
            left,
        };
        self.batch_jobs.insert(key, soft);
    }

    /// A batch job is submitted. `room`: whether memory and disk have room for one more.
    pub fn submit(
        &mut self,
        now: Millis,
        batch_jobs: &BatchJobTable,
        call: SubmitRequest,
        room: bool,
        quota: QuotaState,
    ) -> SubmitDecision {
        let digest = content(&call.host.to_ascii_lowercase(), &call.items);
        if let Some(known) = batch_jobs.batch_job(&call.batch_job) {
            if known.content != digest {
                return SubmitDecision::Answer(SubmitResponse::Invalid {
                    code: codes::OTHER_CONTENT,
                });
            }
            return SubmitDecision::Known;
        }
        if call.items.is_empty() || call.items.len() > MAX_ITEMS {
            let code = if call.items.is_empty() {
                codes::NO_ITEMS
            } else {
                codes::TOO_MANY_ITEMS
            };
            return SubmitDecision::Answer(SubmitResponse::Invalid { code });
        }
        if call.max_queued > 0 && quota == QuotaState::Local {
            let most = max_queued_tokens(call.max_queued, call.excess_permille);
            if batch_jobs
                .waiting(&call.host, &call.route)
                .saturating_add(tokens_of(&call.items))
                > most
            {
                return SubmitDecision::Answer(SubmitResponse::QuotaExceeded);
            }
        }
        if !room {
            return SubmitDecision::Answer(SubmitResponse::Unavailable);
        }
        // Also without a limit: the next configuration may set one, and what waits then counts.
        if quota == QuotaState::Unreserved {
            let tokens = tokens_of(&call.items);
            return SubmitDecision::Reserve(call, tokens);
        }
        let clock = self.clock(now);
        let take = Take {
            clock,
            batch_job: call.batch_job,
            host: call.host,
            route: call.route,
            content: digest,
            sent: clock.saturating_sub(call.age_ms),
            due_ms: call.due_ms,
            retain_ms: call.retain_ms,
            tries: call.tries,
            items: call.items,
        };
        let command = self.command(&Command::Accept(take));
        if command.is_empty() || command.len() > MAX_COMMAND_BYTES {
            return SubmitDecision::Answer(SubmitResponse::Invalid {
                code: codes::TOO_LARGE,
            });
        }
        SubmitDecision::Propose(command)
    }

    /// A batch job's taking is committed: from now on its items are given out. Never before: nothing of a batch job may run
    /// that might still turn out not to be taken.
    pub fn taken(&mut self, batch_jobs: &BatchJobTable, batch_job: &str) {
        if let Some((id, batch_job)) = batch_jobs
            .batch_job(batch_job)
            .map(|found| (CompactString::from(batch_job), found))
        {
            self.add(&id, batch_job);
        }
    }

    /// Gives items to a gateway: for each route at most what it wants and at most `share` (so that others who wait
    /// get some), the routes in turn.
    pub fn fetch(
        &mut self,
        now: Millis,
        batch_jobs: &BatchJobTable,
        holder: u64,
        wants: &[RouteDemand],
        share: usize,
    ) -> Vec<LeasedItem> {
        let mut leased = Vec::new();
        if !self.open(now) {
            return leased;
        }
        let mut left = Vec::new();
        for want in wants {
            if let Some(route) = self.queue_of(&want.host, &want.route) {
                left.push((route, (want.want as usize).min(share)));
            }
        }
        if left.is_empty() {
            return leased;
        }
        self.turn = self.turn.wrapping_add(1);
        let start = self.turn % left.len();
        left.rotate_left(start);
        let mut bytes = 0;
        while bytes < MAX_FETCH_BYTES {
            let before = leased.len();
            for (route, want) in &mut left {
                if *want == 0 || bytes >= MAX_FETCH_BYTES {
                    continue;
                }
                match self.lease_next(now, batch_jobs, holder, *route) {
                    Some(item) => {
                        *want -= 1;
                        let lines = |h: &crate::wire::Header| h.name.len() + h.value.len() + 8;
                        bytes += 200
                            + item.item.body.len()
                            + item.item.headers.iter().map(lines).sum::<usize>();
                        leased.push(item);
                    }
                    None => *want = 0,
                }
            }
            if leased.len() == before {
                break;
            }
        }
        leased
    }

    fn lease_next(
        &mut self,
        now: Millis,
        batch_jobs: &BatchJobTable,
        holder: u64,
        route: usize,
    ) -> Option<LeasedItem> {
        let clock = self.clock(now);
        loop {
            let queue = self.routes.get_mut(route)?;
            let (due, key, index) = queue.pop(clock)?;
            let soft = self.batch_jobs.get_mut(&key);
            let Some((soft, item)) = soft.and_then(|soft| {
                let request = batch_jobs
                    .batch_job(&soft.id)?
                    .items
                    .get(usize::from(index))?
                    .request()?;
                Some((soft, request))
            }) else {
                continue;
            };
            let Some(place) = soft.items.get_mut(usize::from(index)) else {
                continue;
            };
            self.next_lease += 1;
            place.stand = Stand::Held {
                holder,
                lease: self.next_lease,
            };
            self.leases.grant(now, holder, (key, index));
            let give_up = soft.give_up;
            return Some(LeasedItem {
                host: queue.host.clone(),
                route: queue.route.clone(),
                batch_job: soft.id.clone(),
                index: u32::from(index),
                lease: self.next_lease,
                due_in_ms: due.saturating_sub(clock),
                retain_in_ms: if give_up == u64::MAX {
                    u64::MAX
                } else {
                    give_up.saturating_sub(clock)
                },
                tries_left: soft.tries.saturating_sub(place.fails),
                item,
            });
        }
    }

    /// A gateway says what it holds; the answer is what it must drop. What nobody else holds it holds on, also when
    /// another head gave it.
    pub fn hold(
        &mut self,
        now: Millis,
        batch_jobs: &BatchJobTable,
        holder: u64,
        held: &[LeaseRef],
    ) -> Vec<LeaseRef> {
        let mut drop = Vec::new();
        for one in held {
            if !self.holds_on(now, batch_jobs, holder, one) {
                drop.push(one.clone());
            }
        }
        drop
    }

    fn holds_on(
        &mut self,
        now: Millis,
        batch_jobs: &BatchJobTable,
        holder: u64,
        one: &LeaseRef,
    ) -> bool {
        let Some((place, soft)) = self.soft(one.batch_job.as_str(), one.index) else {
            // A batch job that is taken and not yet committed has no leases; anything else that isn't known is over.
            return false;
        };
        let Some(item) = soft.items.get_mut(usize::from(place.1)) else {
            return false;
        };
        match item.stand {
            Stand::Held { holder: by, lease } if by == holder && lease == one.lease => {
                self.leases.renew(now, holder, place);
                true
            }
            // A lease that was ended already is dropped: its holder has not heard that its word was taken, and would
            // end it a second time.
            Stand::Waiting
                if one.lease > item.ended && batch_jobs.batch_job(&one.batch_job).is_some() =>
            {
                item.stand = Stand::Held {
                    holder,
                    lease: one.lease,
                };
                let waiting = (soft.due, place.0, place.1);
                let route = soft.route;
                if let Some(queue) = self.routes.get_mut(route) {
                    queue.remove(&waiting);
                }
                self.leases.grant(now, holder, place);
                self.pass_over(one.lease);
                true
            }
            Stand::Waiting | Stand::Held { .. } | Stand::Over => false,
        }
    }

    /// A lease of this view that is held already is not given again: a head that begins anew within its view counts from
    /// the start, and a holder's word on the older lease must not count for the newer one.
    fn pass_over(&mut self, lease: u64) {
        if lease >> VIEW_SHIFT == self.next_lease >> VIEW_SHIFT {
            self.next_lease = self.next_lease.max(lease);
        }
    }

    fn soft(&mut self, batch_job: &str, index: u32) -> Option<(Place, &mut SoftBatchJob)> {
        let key = *self.keys.get(batch_job)?;
        let soft = self.batch_jobs.get_mut(&key)?;
        Some(((key, u16::try_from(index).ok()?), soft))
    }

    /// What became of leased items. The commands are to be proposed; the call is answered once they, and all
    /// before them, are committed.
    pub fn done(&mut self, now: Millis, holder: u64, results: Vec<Completion>) -> Vec<Bytes> {
        let mut listed = Vec::new();
        for done in results {
            if let Some(result) = self.done_one(now, holder, done) {
                listed.push(result);
            }
        }
        self.results(now, listed)
    }

    fn done_one(&mut self, now: Millis, holder: u64, done: Completion) -> Option<ItemResult> {
        let (place, soft) = self.soft(&done.batch_job, done.index)?;
        let (tries, due, route) = (soft.tries, soft.due, soft.route);
        let item = soft.items.get_mut(usize::from(place.1))?;
        let own = match item.stand {
            Stand::Over => return None,
            Stand::Held { holder: by, lease } => by == holder && lease == done.lease,
            Stand::Waiting => false,
        };
        let (state, text) = match done.outcome {
            // Whoever holds it now: the output is whole, and need not be made again.
            Outcome::Complete { text } => (ResultStatus::Complete, text),
            Outcome::Unprocessable => (ResultStatus::Abandoned, Bytes::new()),
            Outcome::Failed if own => {
                item.fails = item.fails.saturating_add(1);
                item.ended = done.lease;
                if item.fails < tries {
                    self.put_back(place);
                    return None;
                }
                (ResultStatus::Abandoned, Bytes::new())
            }
            Outcome::Released if own => {
                item.ended = done.lease;
                self.put_back(place);
                return None;
            }
            // The word of one who holds it no more: a failure that was told twice must not count twice.
            Outcome::Failed | Outcome::Released => return None,
        };
        match item.stand {
            Stand::Held { holder: by, .. } => {
                let lease = self.leases.take(by, place);
                if let (Some(lease), true, Some(queue)) = (lease, own, self.routes.get_mut(route)) {
                    queue.ran(now.saturating_sub(lease.granted));
                }
            }
            Stand::Waiting | Stand::Over => {
                if let Some(queue) = self.routes.get_mut(route) {
                    queue.remove(&(due, place.0, place.1));
                }
            }
        }
        self.over(place);
        Some(ItemResult {
            batch_job: done.batch_job,
            index: done.index,
            state,
            text,
        })
    }

    /// A held item waits again.
    fn put_back(&mut self, place: Place) {
        let Some(soft) = self.batch_jobs.get_mut(&place.0) else {
            return;
        };
        let Some(item) = soft.items.get_mut(usize::from(place.1)) else {
            return;
        };
        if let Stand::Held { holder, .. } = item.stand {
            self.leases.take(holder, place);
            item.stand = Stand::Waiting;
            if let Some(queue) = self.routes.get_mut(soft.route) {
                queue.push((soft.due, place.0, place.1));
            }
        }
    }

    /// An item is on its way to its position; a batch job without others is done.
    fn over(&mut self, place: Place) {
        let Some(soft) = self.batch_jobs.get_mut(&place.0) else {
            return;
        };
        let Some(item) = soft.items.get_mut(usize::from(place.1)) else {
            return;
        };
        if item.stand != Stand::Over {
            item.stand = Stand::Over;
            soft.left = soft.left.saturating_sub(1);
        }
        if soft.left == 0 {
            self.drop_batch_job(place.0);
        }
    }

    fn drop_batch_job(&mut self, key: u64) {
        let Some(soft) = self.batch_jobs.remove(&key) else {
            return;
        };
        self.plan_forgetting(&soft.id, soft.taken);
        self.keys.remove(&soft.id);
        self.give_up.remove(&(soft.give_up, key));
        for (item, index) in soft.items.iter().zip(0u16..) {
            match item.stand {
                Stand::Waiting => {
                    if let Some(queue) = self.routes.get_mut(soft.route) {
                        queue.remove(&(soft.due, key, index));
                    }
                }
                Stand::Held { holder, .. } => {
                    self.leases.take(holder, (key, index));
                }
                Stand::Over => {}
            }
        }
    }

    /// Commands for results, each of a bounded size.
    fn results(&mut self, now: Millis, results: Vec<ItemResult>) -> Vec<Bytes> {
        let mut commands = Vec::new();
        let mut part = Vec::new();
        let mut bytes = 0;
        for result in results {
            bytes += result.text.len() + result.batch_job.len() + 16;
            part.push(result);
            if bytes >= RESULTS_BYTES {
                bytes = 0;
                let results = std::mem::take(&mut part);
                commands.push(self.command(&Command::RecordResults {
                    clock: self.clock(now),
                    results,
                }));
            }
        }
        if !part.is_empty() {
            commands.push(self.command(&Command::RecordResults {
                clock: self.clock(now),
                results: part,
            }));
        }
        commands
    }

    /// A command that changes nothing: once it is committed, so is all that the head had received when it was proposed,
    /// and no head of a later view had begun before.
    pub fn barrier(&mut self, now: Millis) -> Bytes {
        self.command(&Command::AdvanceClock {
            clock: self.clock(now),
        })
    }

    pub(crate) fn command(&mut self, command: &Command) -> Bytes {
        match command {
            Command::Accept(Take { clock, .. })
            | Command::RecordResults { clock, .. }
            | Command::End { clock, .. }
            | Command::Delete { clock, .. }
            | Command::Reserve { clock, .. }
            | Command::UpdateReservations { clock, .. }
            | Command::AdvanceClock { clock } => self.clock_said = self.clock_said.max(*clock),
        }
        command.encode()
    }

    /// A client ends a batch job. From now on none of its items is given out, and holders are told to drop theirs.
    pub fn end(
        &mut self,
        now: Millis,
        batch_jobs: &BatchJobTable,
        host: &str,
        batch_job: &str,
    ) -> EndDecision {
        match batch_jobs
            .batch_job(batch_job)
            .filter(|found| found.host.eq_ignore_ascii_case(host))
        {
            None => EndDecision::Unknown,
            Some(found) if found.ended => EndDecision::Known,
            Some(found) => {
                let id = CompactString::from(batch_job);
                self.plan_forgetting(&id, found.taken);
                if let Some(key) = self.keys.get(batch_job).copied() {
                    self.drop_batch_job(key);
                }
                let command = Command::End {
                    clock: self.clock(now),
                    batch_job: id,
                };
                EndDecision::Propose(self.command(&command))
            }
        }
    }

    /// How urgent the most urgent item is of the routes that are wanted; none if no item waits of them.
    pub fn urgency(&self, now: Millis, wants: &[RouteDemand]) -> Option<Urgency> {
        let clock = self.clock(now);
        let queue = |want: &RouteDemand| {
            self.queue_of(&want.host, &want.route)
                .and_then(|at| self.routes.get(at))
        };
        let wanted = wants.iter().filter(|want| want.want > 0);
        wanted.filter_map(|want| queue(want)?.urgency(clock)).min()
    }

    /// Whether an item waits of a route that is wanted.
    pub fn has_for(&self, now: Millis, wants: &[RouteDemand]) -> bool {
        let waits = |want: &RouteDemand| {
            let queue = self
                .queue_of(&want.host, &want.route)
                .and_then(|at| self.routes.get(at));
            want.want > 0 && queue.is_some_and(|queue| !queue.is_empty())
        };
        self.open(now) && wants.iter().any(waits)
    }
}
