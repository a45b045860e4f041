//! Requests of gateways: handed to the partition that they concern, or redirected.

use super::{FrameError, Lifecycle, Store};
use crate::fetch_queue::{fair_share, PendingFetch};
use crate::partition::{Context, Partition};
use crate::responder::Responder;
use batch::wire::{
    CompleteRequest, CompleteResponse, EndRequest, EndResponse, FetchRequest, FetchResponse,
    ItemBodyRequest, ItemBodyResponse, LeasedItem, Message as _, PartitionLeases,
    PartitionRedirect, PartitionRenewal, Placement, ReadRequest, ReadResponse, RenewOutcome,
    RenewRequest, RenewResponse, RouteDemand, SubmitRequest, SubmitResponse, BODY, COMPLETE, END,
    FETCH, MAX_FETCH_BYTES, READ, RENEW, SUBMIT,
};
use batch::Fetch;
use bytes::Bytes;
use chain_replication::Millis;
use std::net::SocketAddr;

impl<R: Responder> Store<R> {
    /// A frame that is to be answered.
    ///
    /// # Errors
    /// The frame can't be read; it gets no response, and the store's state is as before.
    pub fn handle_request(
        &mut self,
        now: Millis,
        kind: u16,
        body: &Bytes,
        reply: R,
    ) -> Result<(), FrameError> {
        if self.lifecycle == Lifecycle::Closed {
            // Dropped, the caller asks again elsewhere; only a batch job is certainly not accepted.
            if kind == SUBMIT {
                reply.respond(SubmitResponse::Unavailable.encode());
            }
            return Ok(());
        }
        let context = self.context(now);
        match kind {
            SUBMIT => self.submit(context, SubmitRequest::decode(body)?, reply),
            READ => self.read(context, ReadRequest::decode(body)?, reply),
            BODY => self.item_body(context, ItemBodyRequest::decode(body)?, reply),
            END => self.end(context, &EndRequest::decode(body)?, reply),
            FETCH => self.fetch(context, FetchRequest::decode(body)?, reply),
            COMPLETE => self.complete(context, CompleteRequest::decode(body)?, reply),
            RENEW => self.renew(context, &RenewRequest::decode(body)?, reply),
            _ => return Err(FrameError::UnknownKind),
        }
        Ok(())
    }

    /// The partition of a batch job; one that does not exist while this store has no map.
    fn partition_of(&self, host: &str, batch_job: &str) -> usize {
        self.map
            .as_ref()
            .map_or(usize::MAX, |map| map.partition_of(host, batch_job))
    }

    /// The head of a partition, if it is another store.
    fn other_head(&self, partition: usize) -> Option<SocketAddr> {
        let head = self.map.as_ref()?.head(partition)?;
        (head != self.config.addr).then_some(head)
    }

    /// The tail of a partition, if it is another store.
    fn other_tail(&self, partition: usize) -> Option<SocketAddr> {
        let tail = self.map.as_ref()?.tail(partition)?;
        (tail != self.config.addr).then_some(tail)
    }

    pub(super) fn head_mut(&mut self, partition: usize) -> Option<&mut Partition<R>> {
        self.partition_mut(partition)
            .filter(|partition| partition.is_head())
    }

    fn tail_mut(&mut self, partition: usize) -> Option<&mut Partition<R>> {
        self.partition_mut(partition)
            .filter(|partition| partition.is_tail())
    }

    fn submit(&mut self, context: Context, request: SubmitRequest, reply: R) {
        let number = self.partition_of(&request.host, &request.batch_job);
        let Some(partition) = self.head_mut(number) else {
            let response = match self.other_head(number) {
                Some(to) => SubmitResponse::Redirect { to },
                None => SubmitResponse::Unavailable,
            };
            return reply.respond(response.encode());
        };
        partition.submit(context, request, reply);
        self.collect_effects(context, number);
        self.serve_fetches(context);
    }

    fn read(&mut self, context: Context, request: ReadRequest, reply: R) {
        let number = self.partition_of(&request.host, &request.batch_job);
        if let Some(partition) = self.tail_mut(number) {
            return partition.read(context, request, reply);
        }
        let response = match self.other_tail(number) {
            Some(to) => ReadResponse::Redirect { to },
            None => ReadResponse::Unavailable,
        };
        reply.respond(response.encode());
    }

    fn item_body(&mut self, context: Context, request: ItemBodyRequest, reply: R) {
        let number = self.partition_of(&request.host, &request.batch_job);
        if let Some(partition) = self.tail_mut(number) {
            return partition.item_body(context, request, reply);
        }
        let response = match self.other_tail(number) {
            Some(to) => ItemBodyResponse::Redirect { to },
            None => ItemBodyResponse::Unavailable,
        };
        reply.respond(response.encode());
    }

    fn end(&mut self, context: Context, request: &EndRequest, reply: R) {
        let number = self.partition_of(&request.host, &request.batch_job);
        let Some(partition) = self.head_mut(number) else {
            let response = match self.other_head(number) {
                Some(to) => EndResponse::Redirect { to },
                None => EndResponse::Indeterminate,
            };
            return reply.respond(response.encode());
        };
        partition.end(context, request, reply);
        self.collect_effects(context, number);
    }

    fn complete(&mut self, context: Context, request: CompleteRequest, reply: R) {
        let number = usize::from(request.partition);
        let Some(partition) = self.head_mut(number) else {
            let response = match self.other_head(number) {
                Some(to) => CompleteResponse::Redirect { to },
                None => CompleteResponse::Indeterminate,
            };
            return reply.respond(response.encode());
        };
        let has_queued = partition.complete(context, request.holder, request.results, reply);
        self.collect_effects(context, number);
        if has_queued {
            self.serve_fetches(context);
        }
    }

    fn renew(&mut self, context: Context, request: &RenewRequest, reply: R) {
        let partitions = request
            .partitions
            .iter()
            .map(|leases| self.renew_partition(context, request.holder, leases))
            .collect();
        reply.respond(RenewResponse { partitions }.encode());
        self.serve_fetches(context);
    }

    fn renew_partition(
        &mut self,
        context: Context,
        holder: u64,
        leases: &PartitionLeases,
    ) -> PartitionRenewal {
        let number = usize::from(leases.partition);
        let void = self
            .head_mut(number)
            .map(|partition| partition.renew(context, holder, &leases.leases));
        let outcome = match (void, self.other_head(number)) {
            (Some(Some(leases)), _) => RenewOutcome::Revoke { leases },
            (None, Some(to)) => RenewOutcome::Redirect { to },
            (Some(None), _) | (None, None) => RenewOutcome::Unavailable,
        };
        PartitionRenewal {
            partition: leases.partition,
            outcome,
        }
    }

    fn fetch(&mut self, context: Context, request: FetchRequest, reply: R) {
        let fetch = PendingFetch {
            reply,
            request,
            until: 0,
        };
        let Some(fetch) = self.try_fetch(context, fetch, usize::MAX) else {
            return;
        };
        let redirects = self.redirects(&fetch.request);
        if !redirects.is_empty() {
            let items = Vec::new();
            let response = FetchResponse { items, redirects };
            return fetch.reply.respond(response.encode());
        }
        self.fetches.push(context.now, fetch.request, fetch.reply);
    }

    /// The partitions among the demands that have another head.
    pub(super) fn redirects(&self, request: &FetchRequest) -> Vec<PartitionRedirect> {
        let mut redirects: Vec<PartitionRedirect> = Vec::new();
        let map = self.map.as_ref();
        let Some(map) = map.filter(|map| map.placement == Placement::ByHost) else {
            return redirects;
        };
        for demand in &request.demands {
            let home = map.home_partition(&demand.host);
            let is_head = self
                .partitions
                .get(home)
                .and_then(Option::as_ref)
                .is_some_and(Partition::is_head);
            let is_known = redirects
                .iter()
                .any(|redirect| usize::from(redirect.partition) == home);
            if is_known || is_head {
                continue;
            }
            if let Some(to) = self.other_head(home) {
                let partition = home as u16;
                redirects.push(PartitionRedirect { partition, to });
            }
        }
        redirects
    }

    /// The partitions with items that are wanted, the one with the most urgent item first.
    fn by_urgency(&mut self, context: Context, demands: &[RouteDemand]) -> Vec<usize> {
        let mut found = Vec::new();
        for (number, partition) in self.partitions.iter_mut().enumerate() {
            let leader = partition
                .as_mut()
                .and_then(|partition| partition.open_leader(context));
            if let Some(urgency) =
                leader.and_then(|(leader, _)| leader.urgency(context.now, demands))
            {
                found.push((urgency, number));
            }
        }
        found.sort_unstable();
        found.into_iter().map(|(_, number)| number).collect()
    }

    /// Leases items to a gateway, at most so many of a route; gives the fetch back if there are
    /// none.
    fn try_fetch(
        &mut self,
        context: Context,
        fetch: PendingFetch<R>,
        max_per_route: usize,
    ) -> Option<PendingFetch<R>> {
        // On a link that is full an item would arrive late, be given up, and be fetched again.
        if !self.shared.pacer.borrow().allows(context.now) {
            return Some(fetch);
        }
        let items = self.lease_items(context, &fetch.request, max_per_route);
        if items.is_empty() {
            return Some(fetch);
        }
        let redirects = self.redirects(&fetch.request);
        let response = FetchResponse { items, redirects }.encode();
        self.shared
            .pacer
            .borrow_mut()
            .spend(context.now, response.len());
        fetch.reply.respond(response);
        None
    }

    fn lease_items(
        &mut self,
        context: Context,
        request: &FetchRequest,
        max_per_route: usize,
    ) -> Vec<LeasedItem> {
        let mut demands = request.demands.clone();
        let max_items = u32::try_from(max_per_route).unwrap_or(u32::MAX);
        for demand in &mut demands {
            demand.max_items = demand.max_items.min(max_items);
        }
        let mut items = Vec::new();
        let mut bytes = 0;
        for number in self.by_urgency(context, &demands) {
            if bytes >= MAX_FETCH_BYTES {
                break;
            }
            let partition = self.partition_mut(number);
            let Some((leader, table)) =
                partition.and_then(|partition| partition.open_leader(context))
            else {
                continue;
            };
            if !leader.has_items_for(context.now, &demands) {
                continue;
            }
            let fetch = Fetch {
                holder: request.holder,
                demands: &demands,
                max_per_route,
            };
            let found = leader.fetch(context.now, table, fetch);
            for leased in &found {
                bytes += leased.item.body.len();
                let is_of = |demand: &&mut RouteDemand| {
                    demand.host == leased.host && demand.route == leased.route
                };
                if let Some(demand) = demands.iter_mut().find(is_of) {
                    demand.max_items = demand.max_items.saturating_sub(1);
                }
            }
            items.extend(found);
        }
        items
    }

    /// Leases items that were queued meanwhile to the gateways with pending fetches.
    pub(super) fn serve_fetches(&mut self, context: Context) {
        if self.fetches.is_empty() {
            return;
        }
        let mut queued = 0;
        for partition in self.partitions.iter_mut().flatten() {
            let leader = partition.open_leader(context);
            queued += leader.map_or(0, |(leader, _)| leader.queued());
        }
        if queued == 0 {
            return;
        }
        let fetches = self.fetches.len();
        let share = fair_share(queued, fetches);
        for _ in 0..fetches {
            let Some(fetch) = self.fetches.pop() else {
                break;
            };
            if let Some(fetch) = self.try_fetch(context, fetch, share) {
                self.fetches.put_back(fetch);
            }
        }
    }
}
