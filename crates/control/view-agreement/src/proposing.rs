//! A controller as a proposer: when it begins an attempt, and what it sends.
//!
//! Liveness is by timing alone (`docs/control-state.md`): attempts are repeated and staggered by
//! the position among the acceptors, so that two proposers do not go on overtaking each other.

use chain_replication::{Member, Millis};

use crate::agreement::Agreement;
use crate::controller_view::ControllerView;
use crate::message::MessageBody;
use crate::proposal::{Proposal, ProposalId, ProposalNumber};
use crate::proposer::Proposer;

/// An attempt without a quorum is repeated after this: some syncs and round trips of slow machines.
const ATTEMPT_MS: Millis = 400;
/// From a rejected attempt to the next, and on top of it for each position among the acceptors.
const AFTER_REJECTION_MS: Millis = 60;
const STAGGER_MS: Millis = 120;
/// A proposal that was not chosen within this is given up: by then the owner sees other machines
/// alive.
const GIVE_UP_MS: Millis = 3_000;
/// An accepted value that was not learnt to be chosen within this is proposed by its acceptors: its
/// proposer may be gone, and until it is decided no quorum check of the present view can succeed.
const FINISH_AFTER_MS: Millis = 600;

impl Agreement {
    /// Proposes this as the view after the current one. The view that is chosen may be another
    /// proposer's, or one that was accepted before. Does nothing while a proposal is under way,
    /// while the disk takes nothing, or if the number is not the next.
    pub fn propose(&mut self, now: Millis, next: ControllerView) {
        if !self.disk_writable()
            || self.current.is_none()
            || next.number() != self.current_number() + 1
            || self.proposer.is_some()
        {
            return;
        }
        let number = self.proposal_number_above(0);
        self.proposer = Some(Proposer::new(now, next, number));
        self.start_attempt(now);
    }

    /// Whether a proposal of this controller is under way.
    pub fn is_proposing(&self) -> bool {
        self.proposer.is_some()
    }

    /// A number of our own above this round, and above all that we have promised or used.
    fn proposal_number_above(&self, round: u64) -> ProposalNumber {
        let promised = self.promised.map_or(0, |promised| promised.round);
        ProposalNumber {
            round: promised.max(round) + 1,
            proposer_id: self.me.id,
            proposer_addr: self.me.addr,
        }
    }

    fn acceptors(&self) -> Vec<Member> {
        self.current
            .as_ref()
            .map_or(Vec::new(), |current| current.acceptors.clone())
    }

    /// How much later than the first acceptor this one acts.
    fn stagger(&self) -> Millis {
        let acceptors = self.current.iter().flat_map(|current| &current.acceptors);
        let position = acceptors
            .into_iter()
            .position(|acceptor| acceptor.is_same_process(&self.me));
        position.unwrap_or_default() as u64 * STAGGER_MS
    }

    fn start_attempt(&mut self, now: Millis) {
        let used = self
            .proposer
            .as_ref()
            .map_or(0, |proposer| proposer.number.round.saturating_sub(1));
        let number = self.proposal_number_above(used);
        let next_attempt_at = now + ATTEMPT_MS + self.stagger();
        let Some(proposer) = self.proposer.as_mut() else {
            return;
        };
        let proposal = proposer.start_attempt(number, next_attempt_at);
        // Our own number is on disk before it is sent: after a restart it is not used twice.
        self.promise(proposal);
        for acceptor in self.acceptors() {
            self.send_after_sync(acceptor.addr, MessageBody::Prepare { proposal });
        }
        self.release_synced(now);
    }

    pub(crate) fn handle_promise(
        &mut self,
        now: Millis,
        voter: &Member,
        promised: ProposalId,
        accepted: Option<Proposal>,
    ) {
        let Some(quorum) = self.quorum_with(voter) else {
            return;
        };
        let Some(proposer) = self.proposer.as_mut() else {
            return;
        };
        let Some(proposal) = proposer.add_promise(voter, promised, accepted, quorum) else {
            return;
        };
        for acceptor in self.acceptors() {
            self.send_after_sync(
                acceptor.addr,
                MessageBody::Accept {
                    proposal: proposal.clone(),
                },
            );
        }
        self.release_synced(now);
    }

    pub(crate) fn handle_rejected(&mut self, now: Millis, promised: ProposalId) {
        let next_attempt_at = now + AFTER_REJECTION_MS + self.stagger();
        if let Some(proposer) = self.proposer.as_mut() {
            proposer.reject(promised, next_attempt_at);
        }
    }

    pub(crate) fn handle_accepted(&mut self, now: Millis, voter: &Member, accepted: ProposalId) {
        let Some(quorum) = self.quorum_with(voter) else {
            return;
        };
        let Some(proposer) = self.proposer.as_mut() else {
            return;
        };
        let Some(value) = proposer.add_acceptance(voter, accepted, quorum) else {
            return;
        };
        for learner in self.learners(&value) {
            self.send(
                learner.addr,
                MessageBody::Chosen {
                    value: value.clone(),
                },
            );
        }
        self.learn(now, value);
    }

    /// The size of a quorum, if this process has a vote.
    fn quorum_with(&self, voter: &Member) -> Option<usize> {
        let current = self.current.as_ref()?;
        current.is_acceptor(voter).then(|| current.quorum())
    }

    /// All processes of this view and of the chosen one; one that misses the message finds out by
    /// its quorum checks.
    fn learners(&self, chosen: &ControllerView) -> Vec<Member> {
        let view = &chosen.view;
        let before = self
            .current
            .iter()
            .flat_map(|current| current.view.members.iter().chain(&current.view.joining));
        let all = self.current.iter().flat_map(|current| &current.acceptors);
        let all = all
            .chain(&chosen.acceptors)
            .chain(&view.members)
            .chain(&view.joining)
            .chain(before);
        let mut learners: Vec<Member> = Vec::new();
        for member in all {
            if !learners.iter().any(|learner| learner.addr == member.addr) {
                learners.push(member.clone());
            }
        }
        learners
    }

    /// Repeats or gives up our own proposal, or finishes another's that was accepted here.
    pub(crate) fn tick_proposal(&mut self, now: Millis) {
        if let Some(proposer) = &self.proposer {
            if now.saturating_sub(proposer.started_at) >= GIVE_UP_MS {
                self.proposer = None;
            } else if now >= proposer.next_attempt_at {
                self.start_attempt(now);
            }
            return;
        }
        let Some(accepted) = &self.accepted else {
            return;
        };
        let value = accepted.value.clone();
        let accepted_at = *self.accepted_at.get_or_insert(now);
        if now.saturating_sub(accepted_at) >= FINISH_AFTER_MS + self.stagger() {
            self.accepted_at = Some(now);
            self.propose(now, value);
        }
    }
}
