//! One controller's part in the agreement: as an acceptor, and what it knows to be chosen.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use chain_replication::{Member, Millis};

use crate::propose::Proposer;
use crate::pulse::Pulse;
use crate::records::{Record, RecoveredAcceptor};
use crate::wire::{ControllerView, Message, MessageBody, Proposal, ProposalNumber};

/// Words that wait for a sync at most: far more than a disk's stall of seconds makes; beyond it they are dropped, as
/// a network may drop them.
const MOST_HELD: usize = 1_024;

/// What the owner is to do, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Tell a peer; may be lost.
    Send {
        /// Its peer address.
        to: SocketAddr,
        /// What is said.
        message: Message,
    },
    /// Write and sync, in order; then `Agreement::handle_synced(ticket)`, which covers all tickets up to it.
    Write {
        /// Rises by one a record.
        ticket: u64,
        /// The record.
        record: Bytes,
    },
    /// This view is the newest known.
    ViewChosen(ControllerView),
    /// The answer to `confirm_view`.
    ViewConfirmed {
        /// What `confirm_view` gave.
        token: u64,
        /// A majority said, after the question, that the view was still the newest.
        is_current: bool,
    },
}

/// One controller's part.
#[derive(Debug)]
pub struct Agreement {
    pub(crate) me: Member,
    pub(crate) current: Option<ControllerView>,
    /// The founding view, until its record is on disk.
    founding: Option<(u64, ControllerView)>,
    /// For the view after the current one.
    pub(crate) promised: Option<ProposalNumber>,
    pub(crate) accepted: Option<Proposal>,
    /// When it was accepted here, or found on disk.
    pub(crate) accepted_at: Option<Millis>,
    pub(crate) proposal: Option<Proposer>,
    pub(crate) pulse: Pulse,
    ticket: u64,
    synced: u64,
    /// The disk takes nothing: no vote is given and no view proposed.
    suspended: bool,
    /// Words that wait until a ticket is synced.
    held: VecDeque<(u64, SocketAddr, Message)>,
    /// Words of views that are over, and votes of strangers.
    passed_over: u64,
    pub(crate) out: Vec<Effect>,
}

impl Agreement {
    /// With what its disk holds, all of it synced. A founder gives the founding view, which counts only if nothing is
    /// on its disk; its record is written before anything is said.
    pub fn new(me: Member, founding: Option<ControllerView>, recovered: RecoveredAcceptor) -> Self {
        let next = recovered.chosen.as_ref().map(|c| c.number() + 1);
        let mut agreement = Agreement {
            me,
            founding: None,
            promised: recovered
                .promised
                .filter(|p| Some(p.0) == next)
                .map(|p| p.1),
            accepted: recovered
                .accepted
                .filter(|a| Some(a.value.number()) == next),
            accepted_at: None,
            current: recovered.chosen,
            proposal: None,
            pulse: Pulse::default(),
            ticket: 0,
            synced: 0,
            suspended: false,
            held: VecDeque::new(),
            passed_over: 0,
            out: Vec::new(),
        };
        match (&agreement.current, founding) {
            (Some(current), _) => agreement.out.push(Effect::ViewChosen(current.clone())),
            (None, Some(founding)) => {
                let ticket = agreement.write(&Record::Chosen {
                    value: founding.clone(),
                });
                agreement.founding = Some((ticket, founding));
            }
            (None, None) => {}
        }
        agreement
    }

    /// Whether the disk takes what is written. While it doesn't, votes are neither given nor asked for; what others
    /// have chosen is still learnt, and pings are answered, as neither needs the disk.
    pub fn set_disk_writable(&mut self, able: bool) {
        self.suspended = !able;
        if self.suspended {
            self.proposal = None;
        }
    }

    pub(crate) fn suspended(&self) -> bool {
        self.suspended
    }

    /// The newest view known.
    pub fn current_view(&self) -> Option<&ControllerView> {
        self.current.as_ref()
    }

    /// Its number, 0 if none is known.
    pub(crate) fn number(&self) -> u64 {
        self.current.as_ref().map_or(0, ControllerView::number)
    }

    /// Asks a peer for the newest view: for those who know none, or whose acceptors are all gone.
    pub fn request_view(&mut self, _now: Millis, to: SocketAddr) {
        self.send(
            to,
            MessageBody::RequestView {
                newest_known: self.number(),
            },
        );
    }

    /// Takes a word of a peer.
    pub fn handle_message(&mut self, now: Millis, from: SocketAddr, msg: Message) {
        let sender = Member {
            id: msg.from,
            addr: from,
            since: 0,
        };
        self.passed_over += u64::from(self.counts_for_nothing(&sender, &msg.body));
        match msg.body {
            MessageBody::Prepare {
                view_number: number,
                proposal_number: ballot,
            } => {
                if self.deciding(now, from, number) {
                    self.prepare(from, number, ballot);
                }
            }
            MessageBody::Accept { proposal } => {
                if self.deciding(now, from, proposal.value.number()) {
                    self.accept(now, from, proposal);
                }
            }
            MessageBody::Promise {
                view_number: number,
                proposal_number: ballot,
                accepted,
            } => {
                self.promised(now, &sender, number, ballot, accepted);
            }
            MessageBody::Rejected {
                view_number: number,
                promised,
            } => self.refused(now, number, promised),
            MessageBody::Accepted {
                view_number: number,
                proposal_number: ballot,
            } => self.accepted_by(now, &sender, number, ballot),
            MessageBody::Chosen { value } => self.chosen(now, value),
            MessageBody::RequestView { newest_known: have } => self.tell_newer(from, have),
            MessageBody::QuorumCheck {
                view_number: view,
                round,
            } => self.pinged(from, view, round),
            MessageBody::QuorumCheckReply {
                view_number: view,
                round,
                undecided: unsure,
            } => self.ponged(&sender, view, round, unsure),
        }
        self.release_held(now);
    }

    /// Whether a word is of a view that is over, or the vote of one who has none.
    fn counts_for_nothing(&self, sender: &Member, body: &MessageBody) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        match body {
            MessageBody::Prepare {
                view_number: number,
                ..
            } => *number <= current.number(),
            MessageBody::Accept { proposal } => proposal.value.number() <= current.number(),
            MessageBody::Chosen { value } => value.number() < current.number(),
            MessageBody::Promise {
                view_number: number,
                ..
            }
            | MessageBody::Accepted {
                view_number: number,
                ..
            } => *number <= current.number() || !current.is_acceptor(sender),
            MessageBody::QuorumCheckReply { .. } => !current.is_acceptor(sender),
            MessageBody::Rejected { .. }
            | MessageBody::RequestView { .. }
            | MessageBody::QuorumCheck { .. } => false,
        }
    }

    /// Words that counted for nothing since the start: of views that are over, or votes of strangers.
    pub fn ignored_messages(&self) -> u64 {
        self.passed_over
    }

    /// Whether this controller decides on the view of this number now; if not, the two tell each other why.
    fn deciding(&mut self, now: Millis, from: SocketAddr, number: u64) -> bool {
        let Some(current) = &self.current else {
            self.request_view(now, from);
            return false;
        };
        if number <= current.number() {
            self.tell_newer(from, number.saturating_sub(1));
            return false;
        }
        if number > current.number() + 1 {
            self.request_view(now, from);
            return false;
        }
        !self.suspended && current.is_acceptor(&self.me)
    }

    pub(crate) fn tell_newer(&mut self, to: SocketAddr, have: u64) {
        if let Some(value) = self.current.clone().filter(|c| c.number() > have) {
            self.send(to, MessageBody::Chosen { value });
        }
    }

    fn prepare(&mut self, from: SocketAddr, number: u64, ballot: ProposalNumber) {
        if let Some(promised) = self.promised.filter(|p| *p > ballot) {
            self.send(
                from,
                MessageBody::Rejected {
                    view_number: number,
                    promised,
                },
            );
            return;
        }
        self.promise(number, ballot);
        let accepted = self.accepted.clone();
        self.send_after_sync(
            from,
            MessageBody::Promise {
                view_number: number,
                proposal_number: ballot,
                accepted,
            },
        );
    }

    /// Notes a try as the highest heeded; on disk too, where it is new.
    pub(crate) fn promise(&mut self, number: u64, ballot: ProposalNumber) {
        if self.promised != Some(ballot) {
            self.promised = Some(ballot);
            self.write(&Record::Promised {
                view_number: number,
                proposal_number: ballot,
            });
        }
    }

    fn accept(&mut self, now: Millis, from: SocketAddr, proposal: Proposal) {
        let (number, ballot) = (proposal.value.number(), proposal.number);
        if let Some(promised) = self.promised.filter(|p| *p > ballot) {
            self.send(
                from,
                MessageBody::Rejected {
                    view_number: number,
                    promised,
                },
            );
            return;
        }
        if self.accepted.as_ref() != Some(&proposal) {
            self.promised = Some(ballot);
            self.write(&Record::Accepted {
                proposal: proposal.clone(),
            });
            self.accepted = Some(proposal);
            self.accepted_at = Some(now);
        }
        self.send_after_sync(
            from,
            MessageBody::Accepted {
                view_number: number,
                proposal_number: ballot,
            },
        );
    }

    /// Takes a view that was chosen.
    pub(crate) fn chosen(&mut self, now: Millis, value: ControllerView) {
        if value.number() <= self.number() {
            return;
        }
        self.founding = None;
        self.write(&Record::Chosen {
            value: value.clone(),
        });
        self.take_up(now, value);
    }

    fn take_up(&mut self, now: Millis, value: ControllerView) {
        self.current = Some(value.clone());
        self.promised = None;
        self.accepted = None;
        self.accepted_at = None;
        self.proposal = None;
        self.pulse_ended();
        self.out.push(Effect::ViewChosen(value));
        self.ping_all(now);
    }

    /// All records up to this ticket are on disk.
    pub fn handle_synced(&mut self, now: Millis, ticket: u64) {
        // A ticket of an earlier incarnation covers nothing of this one.
        self.synced = self.synced.max(ticket.min(self.ticket));
        if let Some((_, value)) = self.founding.take_if(|(t, _)| *t <= ticket) {
            self.take_up(now, value);
        }
        while self.held.front().is_some_and(|(t, _, _)| *t <= self.synced) {
            let Some((_, to, msg)) = self.held.pop_front() else {
                break;
            };
            self.release(now, to, msg);
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Millis) {
        self.tick_proposal(now);
        self.tick_pulse(now);
    }

    /// What the owner is to do. Words of this controller to itself have been taken by then.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.pulse.taken();
        std::mem::take(&mut self.out)
    }

    /// Records that hold all that is known, for a file begun anew.
    pub fn snapshot_records(&self) -> Vec<Bytes> {
        let mut records = Vec::new();
        if let Some(value) = &self.current {
            records.push(
                Record::Chosen {
                    value: value.clone(),
                }
                .encode(),
            );
        }
        if let Some(accepted) = &self.accepted {
            records.push(
                Record::Accepted {
                    proposal: accepted.clone(),
                }
                .encode(),
            );
        }
        if let Some(ballot) = self.promised {
            records.push(
                Record::Promised {
                    view_number: self.number() + 1,
                    proposal_number: ballot,
                }
                .encode(),
            );
        }
        records
    }

    fn write(&mut self, record: &Record) -> u64 {
        self.ticket += 1;
        self.out.push(Effect::Write {
            ticket: self.ticket,
            record: record.encode(),
        });
        self.ticket
    }

    /// Says something that is true whatever the disk holds.
    pub(crate) fn send(&mut self, to: SocketAddr, body: MessageBody) {
        if to != self.me.addr {
            self.out.push(Effect::Send {
                to,
                message: Message {
                    from: self.me.id,
                    body,
                },
            });
        }
    }

    /// Says something once all that was written so far is on disk; to itself too.
    pub(crate) fn send_after_sync(&mut self, to: SocketAddr, body: MessageBody) {
        if self.held.len() < MOST_HELD {
            self.held.push_back((
                self.ticket,
                to,
                Message {
                    from: self.me.id,
                    body,
                },
            ));
        }
    }

    /// Lets go what waits for nothing any more.
    pub(crate) fn release_held(&mut self, now: Millis) {
        self.handle_synced(now, self.synced);
    }

    fn release(&mut self, now: Millis, to: SocketAddr, msg: Message) {
        if to == self.me.addr {
            self.handle_message(now, to, msg);
        } else {
            self.out.push(Effect::Send { to, message: msg });
        }
    }
}
