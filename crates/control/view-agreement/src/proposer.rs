//! A proposer's attempt to have a view chosen: its phase, and the votes of the current attempt.
//!
//! Counts votes and picks the value by the rules of Paxos; sends nothing and reads no clock.

use chain_replication::{Member, Millis};

use crate::controller_view::ControllerView;
use crate::proposal::{Proposal, ProposalId, ProposalNumber};

/// The phase of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Promises are collected.
    Prepare,
    /// A value was sent to be accepted, or a rejection ended the attempt: no promise counts any
    /// more.
    Accept,
}

/// A proposal under way. Each attempt has a new number and starts over with the votes.
#[derive(Debug)]
pub(crate) struct Proposer {
    view_number: u64,
    /// Proposed unless some acceptor has accepted another value before.
    preferred: ControllerView,
    pub number: ProposalNumber,
    phase: Phase,
    promises: Vec<Member>,
    /// Of what the promising acceptors had accepted, the proposal with the highest number.
    highest_accepted: Option<Proposal>,
    acceptances: Vec<Member>,
    pub started_at: Millis,
    pub next_attempt_at: Millis,
}

impl Proposer {
    pub fn new(now: Millis, preferred: ControllerView, number: ProposalNumber) -> Self {
        Proposer {
            view_number: preferred.number(),
            preferred,
            number,
            phase: Phase::Prepare,
            promises: Vec::new(),
            highest_accepted: None,
            acceptances: Vec::new(),
            started_at: now,
            next_attempt_at: now,
        }
    }

    /// Begins an attempt under a new number.
    pub fn start_attempt(&mut self, number: ProposalNumber, next_attempt_at: Millis) -> ProposalId {
        self.number = number;
        self.promises.clear();
        self.acceptances.clear();
        self.highest_accepted = None;
        self.phase = Phase::Prepare;
        self.next_attempt_at = next_attempt_at;
        self.id()
    }

    /// The proposal of the current attempt.
    pub fn id(&self) -> ProposalId {
        ProposalId {
            view_number: self.view_number,
            proposal_number: self.number,
        }
    }

    /// Phase 2a's value: the accepted one with the highest number among the promises, else our own.
    pub fn value(&self) -> ControllerView {
        self.highest_accepted
            .as_ref()
            .map_or(&self.preferred, |accepted| &accepted.value)
            .clone()
    }

    /// Counts a promise; gives the proposal to send once a quorum has promised.
    pub fn add_promise(
        &mut self,
        voter: &Member,
        promised: ProposalId,
        accepted: Option<Proposal>,
        quorum: usize,
    ) -> Option<Proposal> {
        let counts = promised == self.id() && self.phase == Phase::Prepare;
        if !counts
            || self
                .promises
                .iter()
                .any(|other| other.is_same_process(voter))
        {
            return None;
        }
        self.promises.push(voter.clone());
        if let Some(accepted) =
            accepted.filter(|accepted| accepted.value.number() == self.view_number)
        {
            if self
                .highest_accepted
                .as_ref()
                .is_none_or(|highest| highest.number < accepted.number)
            {
                self.highest_accepted = Some(accepted);
            }
        }
        if self.promises.len() < quorum {
            return None;
        }
        self.phase = Phase::Accept;
        Some(Proposal {
            number: self.number,
            value: self.value(),
        })
    }

    /// Counts an acceptance; gives the chosen view once a quorum has accepted.
    pub fn add_acceptance(
        &mut self,
        voter: &Member,
        accepted: ProposalId,
        quorum: usize,
    ) -> Option<ControllerView> {
        let counts = accepted == self.id() && self.phase == Phase::Accept;
        if !counts
            || self
                .acceptances
                .iter()
                .any(|other| other.is_same_process(voter))
        {
            return None;
        }
        self.acceptances.push(voter.clone());
        (self.acceptances.len() >= quorum).then(|| self.value())
    }

    /// An acceptor has promised a higher number: the next attempt has to be above that.
    pub fn reject(&mut self, promised: ProposalId, next_attempt_at: Millis) {
        if self.view_number == promised.view_number && promised.proposal_number > self.number {
            // Other acceptors could still make up a quorum, but an attempt above both is surer.
            self.number.round = promised.proposal_number.round + 1;
            self.phase = Phase::Accept;
            self.next_attempt_at = next_attempt_at;
        }
    }
}
