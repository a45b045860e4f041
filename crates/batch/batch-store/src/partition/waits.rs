//! Requests and messages that wait until all is committed that this store had received when they
//! came.

use super::{Context, Partition, PartitionEffect, MAX_WAITING};
use crate::responder::Responder;
use batch::wire::{
    AuditResponse, CompleteResponse, EndResponse, ItemBodyRequest, ItemBodyResponse, Message as _,
    ReadRequest, ReadResponse, ReserveResponse, SubmitResponse, AUDIT_RESPONSE, RESERVE_RESPONSE,
};
use chain_replication::Millis;
use compact_str::CompactString;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// What waits for a commit.
pub(super) enum Wait<R> {
    /// A batch job whose command was proposed (`is_new`), or which was in the table.
    Submit {
        reply: R,
        batch_job: CompactString,
        is_new: bool,
    },
    End {
        reply: R,
    },
    Complete {
        reply: R,
    },
    Read {
        reply: R,
        request: ReadRequest,
        until: Millis,
    },
    Body {
        reply: R,
        request: ItemBodyRequest,
    },
    /// Tokens that were reserved here.
    Reserve {
        to: SocketAddr,
        response: ReserveResponse,
    },
    /// The state of batch jobs when their home partition audited them.
    Audit {
        to: SocketAddr,
        response: AuditResponse,
    },
}

pub(super) struct Waiting<R> {
    /// The entry that is to be committed.
    pub number: u64,
    pub wait: Wait<R>,
}

impl<R: Responder> Wait<R> {
    /// Answers that nothing is known of what was asked.
    pub fn refuse(self) {
        match self {
            Wait::Submit { reply, .. } => reply.respond(SubmitResponse::Indeterminate.encode()),
            Wait::End { reply } => reply.respond(EndResponse::Indeterminate.encode()),
            Wait::Complete { reply } => reply.respond(CompleteResponse::Indeterminate.encode()),
            Wait::Read { reply, .. } => reply.respond(ReadResponse::Unavailable.encode()),
            Wait::Body { reply, .. } => reply.respond(ItemBodyResponse::Unavailable.encode()),
            // No caller waits for these: they are requested again.
            Wait::Reserve { .. } | Wait::Audit { .. } => {}
        }
    }
}

impl<R: Responder> Partition<R> {
    /// Waits until all is committed that this store has received, which may be at once.
    pub(super) fn wait(&mut self, context: Context, wait: Wait<R>) {
        let number = self.replica.last_received();
        if number <= self.replica.committed() {
            self.release_one(context, number, wait);
        } else if self.waiting.len() >= MAX_WAITING {
            wait.refuse();
        } else {
            self.waiting.push_back(Waiting { number, wait });
        }
    }

    /// Answers those that can't be answered here any more.
    pub(super) fn refuse_waiting(&mut self, is_refused: impl Fn(&Wait<R>) -> bool) {
        let mut rest = VecDeque::new();
        for waiting in self.waiting.drain(..) {
            if is_refused(&waiting.wait) {
                waiting.wait.refuse();
            } else {
                rest.push_back(waiting);
            }
        }
        self.waiting = rest;
    }

    /// Answers what waited for what is committed now.
    pub(super) fn release(&mut self, context: Context) {
        let committed = self.replica.committed();
        while let Some(front) = self.uncommitted.front() {
            if front.number > committed {
                break;
            }
            self.uncommitted_bytes -= front.bytes;
            self.uncommitted.pop_front();
        }
        while self
            .waiting
            .front()
            .is_some_and(|waiting| waiting.number <= committed)
        {
            if let Some(Waiting { number, wait }) = self.waiting.pop_front() {
                self.release_one(context, number, wait);
            }
        }
        self.answer_parked_reads(context, super::reads::Deadlines::Ignored);
    }

    fn release_one(&mut self, context: Context, number: u64, wait: Wait<R>) {
        // What counts is the length of the view of the commit: one of a shorter view before may be
        // answered only now.
        let is_enough = number <= self.replica.committed_with_members(context.min_members);
        match wait {
            Wait::Submit {
                reply,
                batch_job,
                is_new,
            } => {
                if let (true, Some(head)) = (is_new, self.head.as_mut()) {
                    head.leader
                        .accepted(self.replica.state_machine(), &batch_job);
                }
                let response = if is_enough {
                    SubmitResponse::Accepted
                } else {
                    SubmitResponse::Indeterminate
                };
                reply.respond(response.encode());
            }
            Wait::End { reply } if is_enough => reply.respond(EndResponse::Ended.encode()),
            Wait::Complete { reply } if is_enough => {
                reply.respond(CompleteResponse::Accepted.encode());
            }
            Wait::End { .. } | Wait::Complete { .. } => wait.refuse(),
            Wait::Read {
                reply,
                request,
                until,
            } => self.read_committed(context, reply, request, until),
            Wait::Body { reply, request } => self.body_committed(context, reply, request),
            Wait::Reserve { to, response } if is_enough => {
                self.effects.push(PartitionEffect::Send {
                    to,
                    kind: RESERVE_RESPONSE,
                    body: response.encode(),
                });
            }
            // What might be lost with fewer disks than are enough is not acknowledged; it is
            // requested again.
            Wait::Reserve { .. } => {}
            Wait::Audit { to, response } => self.effects.push(PartitionEffect::Send {
                to,
                kind: AUDIT_RESPONSE,
                body: response.encode(),
            }),
        }
    }
}
