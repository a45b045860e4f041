//! One controller's state in the agreement: what it has promised, accepted and learnt.
//!
//! Guarantees the order of records and messages: a message that depends on a record is sent only
//! after the owner has reported that record as synced ([`Agreement::handle_synced`]). Holds no
//! socket, file or clock: each call is given the time and queues [`Effect`]s for the owner.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use chain_replication::{Member, Millis};

use crate::controller_view::ControllerView;
use crate::effect::Effect;
use crate::message::{Message, MessageBody};
use crate::proposal::{Proposal, ProposalId, ProposalNumber};
use crate::proposer::Proposer;
use crate::quorum_check::QuorumChecks;
use crate::record::{Record, RecoveredAcceptor};

/// Messages that may wait for a sync: far more than come up while a disk stalls for seconds; beyond
/// it they are dropped, as a network may drop them.
const MAX_AWAITING_SYNC: usize = 1_024;

/// The bootstrap view, until its record is on disk.
#[derive(Debug)]
struct Bootstrap {
    ticket: u64,
    view: ControllerView,
}

/// A message that is sent once a ticket is synced.
#[derive(Debug)]
struct AwaitingSync {
    ticket: u64,
    to: SocketAddr,
    message: Message,
}

/// One controller's state in the agreement.
#[derive(Debug)]
pub struct Agreement {
    pub(crate) me: Member,
    pub(crate) current: Option<ControllerView>,
    bootstrap: Option<Bootstrap>,
    /// For the view after the current one.
    pub(crate) promised: Option<ProposalNumber>,
    pub(crate) accepted: Option<Proposal>,
    /// When it was accepted here, or found on disk.
    pub(crate) accepted_at: Option<Millis>,
    pub(crate) proposer: Option<Proposer>,
    pub(crate) quorum_checks: QuorumChecks,
    last_ticket: u64,
    synced_ticket: u64,
    disk_writable: bool,
    awaiting_sync: VecDeque<AwaitingSync>,
    ignored_messages: u64,
    pub(crate) effects: Vec<Effect>,
}

impl Agreement {
    /// Starts with what the disk holds, all of it synced.
    ///
    /// An initial member gives the bootstrap view, which counts only if nothing is on its disk: its
    /// record is written before anything is sent.
    pub fn new(
        me: Member,
        bootstrap: Option<ControllerView>,
        recovered: RecoveredAcceptor,
    ) -> Self {
        let next = recovered.chosen.as_ref().map(|chosen| chosen.number() + 1);
        let is_next = |promised: &ProposalId| Some(promised.view_number) == next;
        let mut agreement = Agreement {
            me,
            bootstrap: None,
            promised: recovered
                .promised
                .filter(is_next)
                .map(|promised| promised.proposal_number),
            accepted: recovered
                .accepted
                .filter(|accepted| Some(accepted.value.number()) == next),
            accepted_at: None,
            current: recovered.chosen,
            proposer: None,
            quorum_checks: QuorumChecks::default(),
            last_ticket: 0,
            synced_ticket: 0,
            disk_writable: true,
            awaiting_sync: VecDeque::new(),
            ignored_messages: 0,
            effects: Vec::new(),
        };
        match (&agreement.current, bootstrap) {
            (Some(current), _) => agreement.effects.push(Effect::ViewChosen(current.clone())),
            (None, Some(view)) => {
                let ticket = agreement.write(&Record::Chosen {
                    value: view.clone(),
                });
                agreement.bootstrap = Some(Bootstrap { ticket, view });
            }
            (None, None) => {}
        }
        agreement
    }

    /// Tells whether the disk takes records. While it doesn't, this controller neither votes nor
    /// proposes; chosen views are still learnt and quorum checks answered, as neither needs the
    /// disk.
    pub fn set_disk_writable(&mut self, writable: bool) {
        self.disk_writable = writable;
        if !writable {
            self.proposer = None;
        }
    }

    pub(crate) fn disk_writable(&self) -> bool {
        self.disk_writable
    }

    /// The newest view known.
    pub fn current_view(&self) -> Option<&ControllerView> {
        self.current.as_ref()
    }

    /// Its number, 0 if none is known.
    pub(crate) fn current_number(&self) -> u64 {
        self.current.as_ref().map_or(0, ControllerView::number)
    }

    /// Asks a peer for the newest view: for a controller that knows none, or whose acceptors are
    /// all gone.
    pub fn request_view(&mut self, to: SocketAddr) {
        self.send(
            to,
            MessageBody::RequestView {
                newest_known: self.current_number(),
            },
        );
    }

    /// Handles a message of a peer.
    pub fn handle_message(&mut self, now: Millis, from: SocketAddr, message: Message) {
        let sender = Member {
            id: message.from,
            addr: from,
            since: 0,
        };
        self.ignored_messages += u64::from(self.is_stale(&sender, &message.body));
        match message.body {
            MessageBody::Prepare { proposal } => self.handle_prepare(from, proposal),
            MessageBody::Promise { promised, accepted } => {
                self.handle_promise(now, &sender, promised, accepted);
            }
            MessageBody::Rejected { promised } => self.handle_rejected(now, promised),
            MessageBody::Accept { proposal } => self.handle_accept(now, from, proposal),
            MessageBody::Accepted { accepted } => self.handle_accepted(now, &sender, accepted),
            MessageBody::Chosen { value } => self.learn(now, value),
            MessageBody::RequestView { newest_known } => self.send_if_newer(from, newest_known),
            MessageBody::QuorumCheck { view_number, round } => {
                self.handle_quorum_check(from, view_number, round);
            }
            MessageBody::QuorumCheckReply {
                view_number,
                round,
                undecided,
            } => {
                if !undecided {
                    self.handle_quorum_vote(&sender, view_number, round);
                }
            }
        }
        self.release_synced(now);
    }

    /// Whether a message is about a superseded view, or the vote of a process that has none.
    fn is_stale(&self, sender: &Member, body: &MessageBody) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        match body {
            MessageBody::Prepare { proposal } => proposal.view_number <= current.number(),
            MessageBody::Accept { proposal } => proposal.value.number() <= current.number(),
            MessageBody::Chosen { value } => value.number() < current.number(),
            MessageBody::Promise {
                promised: voted, ..
            }
            | MessageBody::Accepted { accepted: voted } => {
                voted.view_number <= current.number() || !current.is_acceptor(sender)
            }
            MessageBody::QuorumCheckReply { .. } => !current.is_acceptor(sender),
            MessageBody::Rejected { .. }
            | MessageBody::RequestView { .. }
            | MessageBody::QuorumCheck { .. } => false,
        }
    }

    /// Messages ignored since the start: about superseded views, or votes of processes without one.
    pub fn ignored_messages(&self) -> u64 {
        self.ignored_messages
    }

    /// Sends the current view to a peer that knows an older one.
    pub(crate) fn send_if_newer(&mut self, to: SocketAddr, newest_known: u64) {
        if let Some(value) = self
            .current
            .clone()
            .filter(|current| current.number() > newest_known)
        {
            self.send(to, MessageBody::Chosen { value });
        }
    }

    /// Learns a view that was chosen.
    pub(crate) fn learn(&mut self, now: Millis, value: ControllerView) {
        if value.number() <= self.current_number() {
            return;
        }
        self.bootstrap = None;
        self.write(&Record::Chosen {
            value: value.clone(),
        });
        self.install(now, value);
    }

    /// Makes a chosen view the current one. Promises and acceptances were for its number, and end.
    fn install(&mut self, now: Millis, value: ControllerView) {
        self.current = Some(value.clone());
        self.promised = None;
        self.accepted = None;
        self.accepted_at = None;
        self.proposer = None;
        self.end_quorum_checks();
        self.effects.push(Effect::ViewChosen(value));
        self.check_quorum(now);
    }

    /// All records up to this ticket are on disk.
    pub fn handle_synced(&mut self, now: Millis, ticket: u64) {
        // A ticket of an earlier incarnation covers nothing of this one.
        self.synced_ticket = self.synced_ticket.max(ticket.min(self.last_ticket));
        if let Some(bootstrap) = self
            .bootstrap
            .take_if(|bootstrap| bootstrap.ticket <= ticket)
        {
            self.install(now, bootstrap.view);
        }
        while let Some(message) = self.next_synced_message() {
            self.release(now, message);
        }
    }

    fn next_synced_message(&mut self) -> Option<AwaitingSync> {
        let synced = self.awaiting_sync.front()?.ticket <= self.synced_ticket;
        if synced {
            self.awaiting_sync.pop_front()
        } else {
            None
        }
    }

    /// Sends what waits for no sync any more.
    pub(crate) fn release_synced(&mut self, now: Millis) {
        self.handle_synced(now, self.synced_ticket);
    }

    fn release(&mut self, now: Millis, AwaitingSync { to, message, .. }: AwaitingSync) {
        if to == self.me.addr {
            self.handle_message(now, to, message);
        } else {
            self.effects.push(Effect::Send { to, message });
        }
    }

    /// Resends and expires what is due; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: Millis) {
        self.tick_proposal(now);
        self.tick_quorum_checks(now);
    }

    /// What the owner is to carry out. Messages of this controller to itself are handled by then.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        self.quorum_checks.effects_taken();
        std::mem::take(&mut self.effects)
    }

    /// Records that hold the whole state, for a log that is begun anew.
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
        if let Some(proposal_number) = self.promised {
            let promised = ProposalId {
                view_number: self.current_number() + 1,
                proposal_number,
            };
            records.push(Record::Promised { promised }.encode());
        }
        records
    }

    pub(crate) fn write(&mut self, record: &Record) -> u64 {
        self.last_ticket += 1;
        self.effects.push(Effect::Write {
            ticket: self.last_ticket,
            record: record.encode(),
        });
        self.last_ticket
    }

    /// Sends a message that holds whatever is on disk.
    pub(crate) fn send(&mut self, to: SocketAddr, body: MessageBody) {
        if to != self.me.addr {
            self.effects.push(Effect::Send {
                to,
                message: Message {
                    from: self.me.id,
                    body,
                },
            });
        }
    }

    /// Sends a message, to this controller too, once all that was written so far is on disk.
    pub(crate) fn send_after_sync(&mut self, to: SocketAddr, body: MessageBody) {
        if self.awaiting_sync.len() < MAX_AWAITING_SYNC {
            let message = Message {
                from: self.me.id,
                body,
            };
            self.awaiting_sync.push_back(AwaitingSync {
                ticket: self.last_ticket,
                to,
                message,
            });
        }
    }
}
