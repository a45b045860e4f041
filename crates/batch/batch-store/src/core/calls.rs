//! What gateways ask of a store: handed to the partition that it concerns, or sent on.

use super::{Odd, Store};
use crate::answer::Answer;
use crate::fetches::{share, Fetch};
use crate::part::{Part, Turn};
use batch::wire::{
    CompleteRequest, CompleteResponse, EndRequest, EndResponse, FetchRequest, FetchResponse,
    ItemBodyRequest, ItemBodyResponse, Message, PartitionLeases, PartitionRedirect,
    PartitionRenewal, Placement, ReadRequest, ReadResponse, RenewOutcome, RenewRequest,
    RenewResponse, RouteDemand, SubmitRequest, SubmitResponse, BODY, COMPLETE, END, FETCH,
    MAX_FETCH_BYTES, READ, RENEW, SUBMIT,
};
use bytes::Bytes;
use chain_replication::Millis;
use std::net::SocketAddr;

impl<R: Answer> Store<R> {
    /// A frame that is to be answered.
    pub fn called(&mut self, now: Millis, kind: u16, body: &Bytes, reply: R) -> Result<(), Odd> {
        if self.closed {
            // Dropped, the caller asks again elsewhere; only a batch job is certainly not taken.
            if kind == SUBMIT {
                reply.answer(SubmitResponse::Unavailable.encode());
            }
            return Ok(());
        }
        let turn = self.turn(now);
        match kind {
            SUBMIT => self.submit(turn, SubmitRequest::decode(body)?, reply),
            READ => self.read(turn, ReadRequest::decode(body)?, reply),
            BODY => self.body(turn, ItemBodyRequest::decode(body)?, reply),
            END => self.end(turn, &EndRequest::decode(body)?, reply),
            FETCH => self.fetch(turn, FetchRequest::decode(body)?, reply),
            COMPLETE => self.done(turn, CompleteRequest::decode(body)?, reply),
            RENEW => self.hold(turn, &RenewRequest::decode(body)?, reply),
            _ => return Err(Odd::Kind),
        }
        Ok(())
    }

    /// The partition of a batch job; one that is not there as long as this store knows no map.
    fn place_of(&self, host: &str, batch_job: &str) -> usize {
        self.map
            .as_ref()
            .map_or(usize::MAX, |map| map.partition_of(host, batch_job))
    }

    /// Another store that the map names as the head (or tail) of a partition.
    fn named(&self, partition: usize, head: bool) -> Option<SocketAddr> {
        let view = self.map.as_ref()?.partitions.get(partition)?;
        let member = if head {
            view.members.first()
        } else {
            view.members.last()
        };
        member
            .map(|member| member.addr)
            .filter(|addr| *addr != self.terms.addr)
    }

    pub(super) fn head(&mut self, partition: usize) -> Option<&mut Part<R>> {
        self.parts
            .get_mut(partition)
            .and_then(Option::as_mut)
            .filter(|part| part.is_head())
    }

    fn tail(&mut self, partition: usize) -> Option<&mut Part<R>> {
        self.parts
            .get_mut(partition)
            .and_then(Option::as_mut)
            .filter(|part| part.is_tail())
    }

    fn submit(&mut self, turn: Turn, call: SubmitRequest, reply: R) {
        let partition = self.place_of(&call.host, &call.batch_job);
        let Some(part) = self.head(partition) else {
            let answer = self
                .named(partition, true)
                .map_or(SubmitResponse::Unavailable, |to| SubmitResponse::Redirect {
                    to,
                });
            return reply.answer(answer.encode());
        };
        part.submit(turn, call, reply);
        self.after(turn, partition);
        self.serve(turn);
    }

    fn read(&mut self, turn: Turn, call: ReadRequest, reply: R) {
        let partition = self.place_of(&call.host, &call.batch_job);
        match self.tail(partition) {
            Some(part) => part.read(turn, call, reply),
            None => {
                let answer = self
                    .named(partition, false)
                    .map_or(ReadResponse::Unavailable, |to| ReadResponse::Redirect {
                        to,
                    });
                reply.answer(answer.encode());
            }
        }
    }

    fn body(&mut self, turn: Turn, call: ItemBodyRequest, reply: R) {
        let partition = self.place_of(&call.host, &call.batch_job);
        match self.tail(partition) {
            Some(part) => part.body(turn, call, reply),
            None => {
                let answer = self
                    .named(partition, false)
                    .map_or(ItemBodyResponse::Unavailable, |to| {
                        ItemBodyResponse::Redirect { to }
                    });
                reply.answer(answer.encode());
            }
        }
    }

    fn end(&mut self, turn: Turn, call: &EndRequest, reply: R) {
        let partition = self.place_of(&call.host, &call.batch_job);
        let Some(part) = self.head(partition) else {
            let answer = self
                .named(partition, true)
                .map_or(EndResponse::Indeterminate, |to| EndResponse::Redirect {
                    to,
                });
            return reply.answer(answer.encode());
        };
        part.end(turn, call, reply);
        self.after(turn, partition);
    }

    fn done(&mut self, turn: Turn, call: CompleteRequest, reply: R) {
        let partition = usize::from(call.partition);
        let Some(part) = self.head(partition) else {
            let answer = self
                .named(partition, true)
                .map_or(CompleteResponse::Indeterminate, |to| {
                    CompleteResponse::Redirect { to }
                });
            return reply.answer(answer.encode());
        };
        let some_wait = part.done(turn, call.holder, call.results, reply);
        self.after(turn, partition);
        if some_wait {
            self.serve(turn);
        }
    }

    fn hold(&mut self, turn: Turn, call: &RenewRequest, reply: R) {
        let parts = call
            .parts
            .iter()
            .map(|held| self.hold_part(turn, call.holder, held))
            .collect();
        reply.answer(RenewResponse { parts }.encode());
        self.serve(turn);
    }

    fn hold_part(&mut self, turn: Turn, holder: u64, held: &PartitionLeases) -> PartitionRenewal {
        let partition = usize::from(held.partition);
        let drop = self
            .head(partition)
            .map(|part| part.hold(turn, holder, &held.held));
        let answer = match drop {
            Some(Some(leases)) => RenewOutcome::Revoke { leases },
            Some(None) => RenewOutcome::Unavailable,
            None => self
                .named(partition, true)
                .map_or(RenewOutcome::Unavailable, |to| RenewOutcome::Redirect {
                    to,
                }),
        };
        PartitionRenewal {
            partition: held.partition,
            answer,
        }
    }

    fn fetch(&mut self, turn: Turn, call: FetchRequest, reply: R) {
        let fetch = Fetch {
            reply,
            call,
            until: 0,
        };
        let Some(fetch) = self.try_fetch(turn, fetch, usize::MAX) else {
            return;
        };
        let elsewhere = self.elsewhere(&fetch.call);
        if !elsewhere.is_empty() {
            return fetch.reply.answer(
                FetchResponse {
                    items: Vec::new(),
                    elsewhere,
                }
                .encode(),
            );
        }
        if let Some(reply) = self.fetches.push(turn.now, fetch.call, fetch.reply) {
            drop(reply);
        }
    }

    /// Partitions among the wants that have another head.
    pub(super) fn elsewhere(&mut self, call: &FetchRequest) -> Vec<PartitionRedirect> {
        let mut elsewhere: Vec<PartitionRedirect> = Vec::new();
        let Some(map) = self
            .map
            .as_ref()
            .filter(|map| map.placement == Placement::ByHost)
        else {
            return elsewhere;
        };
        let homes: Vec<usize> = call
            .wants
            .iter()
            .map(|want| map.home_partition(&want.host))
            .collect();
        for partition in homes {
            let known = elsewhere
                .iter()
                .any(|e| usize::from(e.partition) == partition);
            if !known && self.head(partition).is_none() {
                if let Some(to) = self.named(partition, true) {
                    elsewhere.push(PartitionRedirect {
                        partition: partition as u16,
                        to,
                    });
                }
            }
        }
        elsewhere
    }

    /// The partitions with items that are wanted, the one with the most urgent item first.
    fn by_urgency(&mut self, turn: Turn, wants: &[RouteDemand]) -> Vec<usize> {
        let mut found = Vec::new();
        for (number, part) in self.parts.iter_mut().enumerate() {
            let owner = part.as_mut().and_then(|part| part.open(turn));
            if let Some(urgency) = owner.and_then(|(owner, _)| owner.urgency(turn.now, wants)) {
                found.push((urgency, number));
            }
        }
        found.sort_unstable();
        found.into_iter().map(|(_, number)| number).collect()
    }

    /// Gives items to one that asks; given back if there are none.
    fn try_fetch(&mut self, turn: Turn, fetch: Fetch<R>, most: usize) -> Option<Fetch<R>> {
        // On a link that is full an item would come late, be given up, and be fetched again.
        if !self.pace.borrow().allows(turn.now) {
            return Some(fetch);
        }
        let mut items = Vec::new();
        let mut wants = fetch.call.wants.clone();
        for want in &mut wants {
            want.want = want.want.min(u32::try_from(most).unwrap_or(u32::MAX));
        }
        let mut bytes = 0;
        for number in self.by_urgency(turn, &wants) {
            if bytes >= MAX_FETCH_BYTES {
                break;
            }
            let Some(part) = self.parts.get_mut(number).and_then(Option::as_mut) else {
                continue;
            };
            let Some((owner, batch_jobs)) = part.open(turn) else {
                continue;
            };
            if !owner.has_for(turn.now, &wants) {
                continue;
            }
            let found = owner.fetch(turn.now, batch_jobs, fetch.call.holder, &wants, most);
            for leased in &found {
                bytes += leased.item.body.len();
                let of = |want: &&mut RouteDemand| {
                    want.host == leased.host && want.route == leased.route
                };
                if let Some(want) = wants.iter_mut().find(of) {
                    want.want = want.want.saturating_sub(1);
                }
            }
            items.extend(found);
        }
        if items.is_empty() {
            return Some(fetch);
        }
        let elsewhere = self.elsewhere(&fetch.call);
        let answer = FetchResponse { items, elsewhere }.encode();
        self.pace.borrow_mut().spend(turn.now, answer.len());
        fetch.reply.answer(answer);
        None
    }

    /// Gives items that have come to those who wait.
    pub(super) fn serve(&mut self, turn: Turn) {
        if self.fetches.is_empty() {
            return;
        }
        let mut waiting = 0;
        for part in self.parts.iter_mut().flatten() {
            waiting += part.open(turn).map_or(0, |(owner, _)| owner.waiting());
        }
        if waiting == 0 {
            return;
        }
        let asking = self.fetches.len();
        let most = share(waiting, asking);
        for _ in 0..asking {
            let Some(fetch) = self.fetches.pop() else {
                break;
            };
            if let Some(fetch) = self.try_fetch(turn, fetch, most) {
                self.fetches.put_back(fetch);
            }
        }
    }
}
