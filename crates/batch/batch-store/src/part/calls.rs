//! What gateways ask of a partition.

use super::{unsure, ParkedRead, Part, Turn, Wait, MOST_PACED_MS, MOST_WAITING};
use crate::answer::Answer;
use batch::wire::{
    CompleteResponse, Completion, EndRequest, EndResponse, ItemBodyRequest, ItemBodyResponse,
    LeaseRef, Message, Outcome, ReadRequest, ReadResponse, SubmitRequest, SubmitResponse,
    MAX_READ_BYTES, MAX_WAIT_MS,
};
use batch::{EndDecision, QuotaState, SubmitDecision};
use chain_replication::Millis;

/// Results are proposed in pieces of about so many bytes.
const PIECE: usize = 512 << 10;
/// A chain that was not whole for so long takes no batch jobs: their clients find another store's partition no faster,
/// but know at once that nothing was taken.
const UNREADY_MS: Millis = 1_000;

impl<R: Answer> Part<R> {
    /// A batch job for the head.
    pub fn submit(&mut self, turn: Turn, call: SubmitRequest, reply: R) {
        let unready = self
            .unready_since
            .is_some_and(|since| turn.now.saturating_sub(since) >= UNREADY_MS);
        if unready || self.is_stalled(turn.now) || self.is_full() || !self.enough(turn) {
            // `Busy` promises that nothing of it runs, which can't be said of a batch job that is in the table.
            let known = self
                .node
                .state_machine()
                .batch_job(&call.batch_job)
                .is_some();
            let answer = if known {
                SubmitResponse::Indeterminate
            } else {
                SubmitResponse::Unavailable
            };
            return reply.answer(answer.encode());
        }
        let quota = if turn.by_job {
            QuotaState::Unreserved
        } else {
            QuotaState::Local
        };
        self.submit_under(turn, call, reply, quota);
        self.settle(turn);
    }

    /// A batch job for the head, once it is known who holds the quota for it.
    pub(super) fn submit_under(
        &mut self,
        turn: Turn,
        call: SubmitRequest,
        reply: R,
        quota: QuotaState,
    ) {
        let Some(head) = self.head.as_mut() else {
            return reply.answer(SubmitResponse::Unavailable.encode());
        };
        let batch_job = call.batch_job.clone();
        match head
            .owner
            .submit(turn.now, self.node.state_machine(), call, turn.room, quota)
        {
            SubmitDecision::Reserve(call, tokens) => self.reserve(turn, call, tokens, reply),
            SubmitDecision::Answer(answer) => reply.answer(answer.encode()),
            SubmitDecision::Known => self.wait(
                turn,
                Wait::Submit {
                    reply,
                    batch_job,
                    fresh: false,
                },
            ),
            SubmitDecision::Propose(command) => {
                if self.propose(turn, vec![command]) {
                    self.wait(
                        turn,
                        Wait::Submit {
                            reply,
                            batch_job,
                            fresh: true,
                        },
                    );
                } else {
                    reply.answer(SubmitResponse::Unavailable.encode());
                }
            }
        }
    }

    /// The end of a batch job, for the head.
    pub fn end(&mut self, turn: Turn, call: &EndRequest, reply: R) {
        let full = self.is_full();
        let Some(head) = self.head.as_mut().filter(|_| !full) else {
            return reply.answer(EndResponse::Indeterminate.encode());
        };
        match head.owner.end(
            turn.now,
            self.node.state_machine(),
            &call.host,
            &call.batch_job,
        ) {
            // Only the tail knows for certain that there is none: this head may have been left behind.
            EndDecision::Unknown if turn.leased => reply.answer(EndResponse::NotFound.encode()),
            EndDecision::Unknown => reply.answer(EndResponse::Indeterminate.encode()),
            EndDecision::Known => self.wait(turn, Wait::End { reply }),
            EndDecision::Propose(command) => {
                if self.propose(turn, vec![command]) {
                    self.wait(turn, Wait::End { reply });
                } else {
                    reply.answer(EndResponse::Indeterminate.encode());
                }
            }
        }
        self.settle(turn);
    }

    /// What became of items, for the head. True if some wait again.
    pub fn done(&mut self, turn: Turn, holder: u64, results: Vec<Completion>, reply: R) -> bool {
        let mut results = results.into_iter().peekable();
        let mut taken = true;
        while taken && results.peek().is_some() {
            let full = self.is_full();
            let Some(head) = self.head.as_mut().filter(|_| !full) else {
                taken = false;
                break;
            };
            let mut piece = Vec::new();
            let mut bytes = 0;
            while bytes < PIECE {
                let Some(done) = results.next() else { break };
                bytes += 64 + done.batch_job.len();
                if let Outcome::Complete { text } = &done.outcome {
                    bytes += text.len();
                }
                piece.push(done);
            }
            let commands = head.owner.done(turn.now, holder, piece);
            taken = self.propose(turn, commands);
        }
        if taken {
            self.wait(turn, Wait::Complete { reply });
        } else {
            reply.answer(CompleteResponse::Indeterminate.encode());
        }
        self.settle(turn);
        self.head
            .as_ref()
            .is_some_and(|head| head.owner.waiting() > 0)
    }

    /// A read, for the tail.
    pub fn read(&mut self, turn: Turn, call: ReadRequest, reply: R) {
        let until = turn.now + u64::from(call.wait_ms.min(MAX_WAIT_MS));
        self.wait(turn, Wait::Read { reply, call, until });
    }

    pub(super) fn read_now(&mut self, turn: Turn, reply: R, call: ReadRequest, until: Millis) {
        if !turn.leased {
            return reply.answer(ReadResponse::Unavailable.encode());
        }
        let batch_jobs = self.node.state_machine();
        let may_grow = turn.now < until && self.reads.len() < MOST_WAITING;
        if may_grow
            && batch_jobs
                .listed(&call.host, &call.batch_job)
                .is_some_and(|listed| listed <= call.start_after)
        {
            let over = batch_jobs
                .batch_job(&call.batch_job)
                .is_none_or(|batch_job| batch_job.over());
            if !over {
                self.reads.push(ParkedRead { reply, call, until });
                return;
            }
        }
        if !self.pace.borrow().allows(turn.now) {
            return self.wait_for_the_link(turn, Wait::Read { reply, call, until });
        }
        let answer = self.found(&call).encode();
        self.pace.borrow_mut().spend(turn.now, answer.len());
        reply.answer(answer);
    }

    fn wait_for_the_link(&mut self, turn: Turn, wait: Wait<R>) {
        if self.paced.len() < MOST_WAITING {
            self.paced.push_back((turn.now, wait));
        } else {
            unsure(wait);
        }
    }

    /// Answers reads and bodies that waited for the link, as far as it has room now.
    pub(super) fn answer_paced(&mut self, turn: Turn) {
        while self.pace.borrow().allows(turn.now) {
            let Some((since, wait)) = self.paced.pop_front() else {
                return;
            };
            if turn.now.saturating_sub(since) >= MOST_PACED_MS {
                unsure(wait);
            } else {
                // The chain may have gone on meanwhile: it waits for the commit of what the answer shows.
                self.wait(turn, wait);
            }
        }
    }

    fn found(&self, call: &ReadRequest) -> ReadResponse {
        match self.node.state_machine().read(
            &call.host,
            &call.batch_job,
            call.start_after,
            MAX_READ_BYTES,
        ) {
            Some(found) => ReadResponse::Found {
                total: found.total,
                next: found.next,
                results: found.results,
            },
            None => ReadResponse::NotFound,
        }
    }

    /// Answers parked reads for which there is a result now, or whose time is over.
    pub(super) fn look_at_reads(&mut self, turn: Turn, time: bool) {
        let mut at = 0;
        while let Some(read) = self.reads.get(at) {
            let call = &read.call;
            let batch_jobs = self.node.state_machine();
            let grown = batch_jobs
                .listed(&call.host, &call.batch_job)
                .is_none_or(|listed| listed > call.start_after);
            let over = time && turn.now >= read.until
                || batch_jobs
                    .batch_job(&call.batch_job)
                    .is_none_or(|batch_job| batch_job.over());
            if !grown && !over {
                at += 1;
                continue;
            }
            let read = self.reads.swap_remove(at);
            // At a tail that is also the head the table may be ahead of the disk.
            self.wait(
                turn,
                Wait::Read {
                    reply: read.reply,
                    call: read.call,
                    until: 0,
                },
            );
        }
    }

    /// A call for a body, for the tail.
    pub fn body(&mut self, turn: Turn, call: ItemBodyRequest, reply: R) {
        self.wait(turn, Wait::Body { reply, call });
    }

    pub(super) fn body_now(&mut self, turn: Turn, reply: R, call: ItemBodyRequest) {
        if turn.leased && !self.pace.borrow().allows(turn.now) {
            return self.wait_for_the_link(turn, Wait::Body { reply, call });
        }
        let answer = if !turn.leased {
            ItemBodyResponse::Unavailable
        } else {
            match self
                .node
                .state_machine()
                .body(&call.host, &call.batch_job, &call.item)
            {
                Some(body) => ItemBodyResponse::Found { body },
                None => ItemBodyResponse::NotFound,
            }
        };
        let answer = answer.encode();
        self.pace.borrow_mut().spend(turn.now, answer.len());
        reply.answer(answer);
    }

    /// What of its holdings a holder must drop; none if this store can't say.
    pub fn hold(&mut self, turn: Turn, holder: u64, held: &[LeaseRef]) -> Option<Vec<LeaseRef>> {
        let head = self.head.as_mut().filter(|_| turn.leased)?;
        Some(
            head.owner
                .hold(turn.now, self.node.state_machine(), holder, held),
        )
    }
}
