//! Reads of results and bodies at the tail: parked until there is a result, and paced to the link.

use super::waits::Wait;
use super::{Context, Partition, MAX_WAITING};
use crate::responder::Responder;
use batch::wire::{
    ItemBodyRequest, ItemBodyResponse, Message as _, ReadRequest, ReadResponse, MAX_READ_BYTES,
    MAX_WAIT_MS,
};
use chain_replication::Millis;

/// A read that has waited so long for the link is refused: its caller, which waits 700 ms, is about
/// to ask again.
const MAX_PACED_MS: Millis = 500;

/// A read that waits for a result.
pub(super) struct ParkedRead<R> {
    reply: R,
    request: ReadRequest,
    until: Millis,
}

/// A read or a body that waits until the link has carried more of what was sent.
pub(super) struct PacedRead<R> {
    since: Millis,
    wait: Wait<R>,
}

/// Whether parked reads end at their deadlines in this call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Deadlines {
    Checked,
    Ignored,
}

impl<R: Responder> Partition<R> {
    /// A read, for the tail.
    pub fn read(&mut self, context: Context, request: ReadRequest, reply: R) {
        let until = context.now + u64::from(request.wait_ms.min(MAX_WAIT_MS));
        let wait = Wait::Read {
            reply,
            request,
            until,
        };
        self.wait(context, wait);
    }

    /// A request for an item's body, for the tail.
    pub fn item_body(&mut self, context: Context, request: ItemBodyRequest, reply: R) {
        self.wait(context, Wait::Body { reply, request });
    }

    /// A read whose table is committed.
    pub(super) fn read_committed(
        &mut self,
        context: Context,
        reply: R,
        request: ReadRequest,
        until: Millis,
    ) {
        if !context.has_lease {
            return reply.respond(ReadResponse::Unavailable.encode());
        }
        let may_park = context.now < until && self.parked_reads.len() < MAX_WAITING;
        if may_park && self.waits_for_result(&request) {
            self.parked_reads.push(ParkedRead {
                reply,
                request,
                until,
            });
            return;
        }
        if !self.shared.pacer.borrow().allows(context.now) {
            let wait = Wait::Read {
                reply,
                request,
                until,
            };
            return self.wait_for_link(context, wait);
        }
        let response = self.read_results(&request).encode();
        self.shared
            .pacer
            .borrow_mut()
            .spend(context.now, response.len());
        reply.respond(response);
    }

    /// Whether a batch job has no result at the requested position yet and may still get one.
    fn waits_for_result(&self, request: &ReadRequest) -> bool {
        let table = self.replica.state_machine();
        let results = table.result_count(&request.host, &request.batch_job);
        let job = table.batch_job(&request.batch_job);
        results.is_some_and(|count| count <= request.start_after)
            && job.is_some_and(|job| !job.is_finished())
    }

    fn read_results(&self, request: &ReadRequest) -> ReadResponse {
        let table = self.replica.state_machine();
        let page = table.read(
            &request.host,
            &request.batch_job,
            request.start_after,
            MAX_READ_BYTES,
        );
        match page {
            Some(page) => ReadResponse::Found {
                total: page.total,
                next: page.next,
                results: page.results,
            },
            None => ReadResponse::NotFound,
        }
    }

    /// A request for a body whose table is committed.
    pub(super) fn body_committed(&mut self, context: Context, reply: R, request: ItemBodyRequest) {
        if context.has_lease && !self.shared.pacer.borrow().allows(context.now) {
            return self.wait_for_link(context, Wait::Body { reply, request });
        }
        let response = if context.has_lease {
            let table = self.replica.state_machine();
            match table.item_body(&request.host, &request.batch_job, &request.item) {
                Some(body) => ItemBodyResponse::Found { body },
                None => ItemBodyResponse::NotFound,
            }
        } else {
            ItemBodyResponse::Unavailable
        };
        let response = response.encode();
        self.shared
            .pacer
            .borrow_mut()
            .spend(context.now, response.len());
        reply.respond(response);
    }

    fn wait_for_link(&mut self, context: Context, wait: Wait<R>) {
        if self.paced.len() < MAX_WAITING {
            let since = context.now;
            self.paced.push_back(PacedRead { since, wait });
        } else {
            wait.refuse();
        }
    }

    /// Answers reads and bodies that waited for the link, as far as it has room now.
    pub(super) fn answer_paced(&mut self, context: Context) {
        while self.shared.pacer.borrow().allows(context.now) {
            let Some(PacedRead { since, wait }) = self.paced.pop_front() else {
                return;
            };
            if context.now.saturating_sub(since) >= MAX_PACED_MS {
                wait.refuse();
            } else {
                // The chain may have gone on meanwhile: it waits for the commit of what the
                // response shows.
                self.wait(context, wait);
            }
        }
    }

    /// Answers parked reads for which there is a result now, or none will come, or whose time is
    /// over.
    pub(super) fn answer_parked_reads(&mut self, context: Context, deadlines: Deadlines) {
        let mut at = 0;
        while let Some(read) = self.parked_reads.get(at) {
            let is_late = deadlines == Deadlines::Checked && context.now >= read.until;
            if !is_late && self.waits_for_result(&read.request) {
                at += 1;
                continue;
            }
            let ParkedRead { reply, request, .. } = self.parked_reads.swap_remove(at);
            // At a tail that is also the head the table may be ahead of the disk.
            let wait = Wait::Read {
                reply,
                request,
                until: 0,
            };
            self.wait(context, wait);
        }
    }

    /// Refuses all reads and requests for bodies: this store is not the tail any more.
    pub(super) fn refuse_reads(&mut self) {
        for read in self.paced.drain(..) {
            read.wait.refuse();
        }
        self.refuse_waiting(|wait| matches!(wait, Wait::Read { .. } | Wait::Body { .. }));
        for read in self.parked_reads.drain(..) {
            read.reply.respond(ReadResponse::Unavailable.encode());
        }
    }
}
