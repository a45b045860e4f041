//! The acceptor's rules of Paxos: promise, accept, or reject.
//!
//! Every answer that grants something is sent only after its record is on disk.

use std::net::SocketAddr;

use chain_replication::Millis;

use crate::agreement::Agreement;
use crate::message::MessageBody;
use crate::proposal::{Proposal, ProposalId, ProposalNumber};
use crate::record::Record;

impl Agreement {
    /// Phase 1b: promises to accept nothing below this number, unless a higher one was promised.
    pub(crate) fn handle_prepare(&mut self, from: SocketAddr, proposal: ProposalId) {
        if !self.votes_on(from, proposal.view_number) || self.reject_lower(from, proposal) {
            return;
        }
        self.promise(proposal);
        let accepted = self.accepted.clone();
        let promised = proposal;
        self.send_after_sync(from, MessageBody::Promise { promised, accepted });
    }

    /// Phase 2b: accepts a proposal, unless a higher number was promised.
    pub(crate) fn handle_accept(&mut self, now: Millis, from: SocketAddr, proposal: Proposal) {
        let accepted = proposal.id();
        if !self.votes_on(from, accepted.view_number) || self.reject_lower(from, accepted) {
            return;
        }
        if self.accepted.as_ref() != Some(&proposal) {
            self.promised = Some(proposal.number);
            self.write(&Record::Accepted {
                proposal: proposal.clone(),
            });
            self.accepted = Some(proposal);
            self.accepted_at = Some(now);
        }
        self.send_after_sync(from, MessageBody::Accepted { accepted });
    }

    /// Makes this number the highest promised one; recorded where it is new.
    pub(crate) fn promise(&mut self, promised: ProposalId) {
        if self.promised != Some(promised.proposal_number) {
            self.promised = Some(promised.proposal_number);
            self.write(&Record::Promised { promised });
        }
    }

    /// Rejects a proposal below the promised number; whether it did.
    fn reject_lower(&mut self, from: SocketAddr, proposal: ProposalId) -> bool {
        let is_higher = |promised: &ProposalNumber| *promised > proposal.proposal_number;
        let Some(proposal_number) = self.promised.filter(is_higher) else {
            return false;
        };
        let promised = ProposalId {
            proposal_number,
            ..proposal
        };
        self.send(from, MessageBody::Rejected { promised });
        true
    }

    /// Whether this controller votes on the view of this number now. If the two know different
    /// views, the one that is behind gets the newer view.
    fn votes_on(&mut self, from: SocketAddr, view_number: u64) -> bool {
        let Some(current) = &self.current else {
            self.send(from, MessageBody::RequestView { newest_known: 0 });
            return false;
        };
        let number = current.number();
        if view_number <= number {
            self.send_if_newer(from, view_number.saturating_sub(1));
            return false;
        }
        if view_number > number + 1 {
            self.send(
                from,
                MessageBody::RequestView {
                    newest_known: number,
                },
            );
            return false;
        }
        self.disk_writable() && current.is_acceptor(&self.me)
    }
}
