//! A controller's part as a proposer.

use chain_replication::{Member, Millis};

use crate::agreement::Agreement;
use crate::wire::{ControllerView, MessageBody, Proposal, ProposalNumber};

/// A try that got no majority for so long is made anew: some syncs and round trips of slow machines.
const TRY_MS: Millis = 400;
/// Between a refused try and the next: so much, and so much more a place in the list of acceptors, so that two
/// proposers do not go on overtaking each other.
const AFTER_REFUSAL_MS: Millis = 60;
const STAGGER_MS: Millis = 120;
/// A proposal that was not chosen for so long is given up: by then the owner sees other machines alive.
const GIVE_UP_MS: Millis = 3_000;
/// What was accepted and not heard to be chosen for so long is proposed by those who accepted it: its proposer may be
/// gone, and until it is settled nobody can say that the present view is the newest.
const FINISH_AFTER_MS: Millis = 600;

/// A try under way.
#[derive(Debug)]
pub(crate) struct Proposer {
    number: u64,
    /// What we would have chosen, if nothing was accepted before.
    wish: ControllerView,
    ballot: ProposalNumber,
    /// Who promised; the newest that any of them had accepted.
    promises: Vec<Member>,
    found: Option<Proposal>,
    /// What was sent to be accepted, and who accepted it.
    sent: bool,
    accepts: Vec<Member>,
    begun_at: Millis,
    next_try_at: Millis,
}

impl Agreement {
    /// Tries to have this chosen as the view after the current one. What is chosen may be another's, or one that was
    /// accepted before. Does nothing while a try is under way, or if the number is not the next.
    pub fn propose(&mut self, now: Millis, next: ControllerView) {
        if self.suspended()
            || self.current.is_none()
            || next.number() != self.number() + 1
            || self.proposal.is_some()
        {
            return;
        }
        let ballot = self.ballot(0);
        self.proposal = Some(Proposer {
            number: next.number(),
            wish: next,
            ballot,
            promises: Vec::new(),
            found: None,
            sent: false,
            accepts: Vec::new(),
            begun_at: now,
            next_try_at: now,
        });
        self.begin_try(now);
    }

    /// Whether a proposal of ours is under way.
    pub fn is_proposing(&self) -> bool {
        self.proposal.is_some()
    }

    /// A try of ours above this round, and above all that we have heeded or used.
    fn ballot(&self, above: u64) -> ProposalNumber {
        let heeded = self.promised.map_or(0, |p| p.round);
        ProposalNumber {
            round: heeded.max(above) + 1,
            proposer_id: self.me.id,
            proposer_addr: self.me.addr,
        }
    }

    fn acceptors(&self) -> Vec<Member> {
        self.current
            .as_ref()
            .map_or(Vec::new(), |c| c.acceptors.clone())
    }

    fn begin_try(&mut self, now: Millis) {
        let used = self
            .proposal
            .as_ref()
            .map_or(0, |p| p.ballot.round.saturating_sub(1));
        let ballot = self.ballot(used);
        let place = self
            .acceptors()
            .iter()
            .position(|a| a.is_same_process(&self.me))
            .unwrap_or_default() as u64;
        let Some(proposal) = self.proposal.as_mut() else {
            return;
        };
        proposal.ballot = ballot;
        proposal.promises.clear();
        proposal.accepts.clear();
        proposal.found = None;
        proposal.sent = false;
        proposal.next_try_at = now + TRY_MS + place * STAGGER_MS;
        let number = proposal.number;
        // Our own round is on disk before anybody hears of it: after a restart we shall not use it twice.
        self.promise(number, ballot);
        for acceptor in self.acceptors() {
            self.send_after_sync(
                acceptor.addr,
                MessageBody::Prepare {
                    view_number: number,
                    proposal_number: ballot,
                },
            );
        }
        self.release_held(now);
    }

    pub(crate) fn promised(
        &mut self,
        now: Millis,
        sender: &Member,
        number: u64,
        ballot: ProposalNumber,
        accepted: Option<Proposal>,
    ) {
        let Some(current) = &self.current else { return };
        let (majority, valid) = (current.quorum(), current.is_acceptor(sender));
        let Some(proposal) = self.proposal.as_mut() else {
            return;
        };
        let ours = proposal.number == number && proposal.ballot == ballot && !proposal.sent;
        if !ours || !valid || proposal.promises.iter().any(|m| m.is_same_process(sender)) {
            return;
        }
        proposal.promises.push(sender.clone());
        if let Some(accepted) = accepted.filter(|a| a.value.number() == number) {
            if proposal
                .found
                .as_ref()
                .is_none_or(|f| f.number < accepted.number)
            {
                proposal.found = Some(accepted);
            }
        }
        if proposal.promises.len() < majority {
            return;
        }
        proposal.sent = true;
        let value = proposal
            .found
            .as_ref()
            .map_or(&proposal.wish, |f| &f.value)
            .clone();
        let proposal = Proposal {
            number: ballot,
            value,
        };
        for acceptor in self.acceptors() {
            self.send_after_sync(
                acceptor.addr,
                MessageBody::Accept {
                    proposal: proposal.clone(),
                },
            );
        }
        self.release_held(now);
    }

    pub(crate) fn refused(&mut self, now: Millis, number: u64, promised: ProposalNumber) {
        let place = self
            .acceptors()
            .iter()
            .position(|a| a.is_same_process(&self.me))
            .unwrap_or_default() as u64;
        let Some(proposal) = self.proposal.as_mut() else {
            return;
        };
        if proposal.number == number && promised > proposal.ballot {
            // The next try is above it; this one can't win any more at that acceptor, but may at the others.
            proposal.ballot.round = promised.round + 1;
            proposal.sent = true;
            proposal.next_try_at = now + AFTER_REFUSAL_MS + place * STAGGER_MS;
        }
    }

    pub(crate) fn accepted_by(
        &mut self,
        now: Millis,
        sender: &Member,
        number: u64,
        ballot: ProposalNumber,
    ) {
        let Some(current) = &self.current else { return };
        let (majority, valid) = (current.quorum(), current.is_acceptor(sender));
        let Some(proposal) = self.proposal.as_mut() else {
            return;
        };
        let ours = proposal.number == number && proposal.ballot == ballot && proposal.sent;
        if !ours || !valid || proposal.accepts.iter().any(|m| m.is_same_process(sender)) {
            return;
        }
        proposal.accepts.push(sender.clone());
        if proposal.accepts.len() < majority {
            return;
        }
        let value = proposal
            .found
            .as_ref()
            .map_or(&proposal.wish, |f| &f.value)
            .clone();
        // All who are or were concerned hear of it at once; whoever misses it finds out by the pings.
        let mut concerned: Vec<Member> = Vec::new();
        let view = &value.view;
        let all = self
            .acceptors()
            .into_iter()
            .chain(value.acceptors.iter().cloned());
        let before = self
            .current
            .iter()
            .flat_map(|c| c.view.members.iter().chain(&c.view.joining));
        let all = all
            .chain(view.members.iter().chain(&view.joining).cloned())
            .chain(before.cloned());
        for member in all {
            if !concerned.iter().any(|m| m.addr == member.addr) {
                concerned.push(member);
            }
        }
        for member in concerned {
            self.send(
                member.addr,
                MessageBody::Chosen {
                    value: value.clone(),
                },
            );
        }
        self.chosen(now, value);
    }

    pub(crate) fn tick_proposal(&mut self, now: Millis) {
        if let Some(proposal) = &self.proposal {
            if now.saturating_sub(proposal.begun_at) >= GIVE_UP_MS {
                self.proposal = None;
            } else if now >= proposal.next_try_at {
                self.begin_try(now);
            }
            return;
        }
        let Some(accepted) = &self.accepted else {
            return;
        };
        let value = accepted.value.clone();
        let place = self
            .acceptors()
            .iter()
            .position(|a| a.is_same_process(&self.me))
            .unwrap_or_default() as u64;
        let since = *self.accepted_at.get_or_insert(now);
        if now.saturating_sub(since) >= FINISH_AFTER_MS + place * STAGGER_MS {
            self.accepted_at = Some(now);
            self.propose(now, value);
        }
    }
}
