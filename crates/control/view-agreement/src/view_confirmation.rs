//! Whether the current view is still the newest, by a majority of its acceptors.
//!
//! This is what Raft calls ReadIndex (Ongaro, "Consensus: bridging theory and practice", 6.4):
//! before a read is answered, a majority confirms that no newer view was chosen when the read was
//! asked. An acceptor that has accepted a proposal for the next view doesn't confirm: that may be
//! chosen.

use std::net::SocketAddr;

use chain_replication::{Member, Millis};

use crate::agreement::Agreement;
use crate::effect::Effect;
use crate::message::MessageBody;

impl Agreement {
    /// Asks a majority of the acceptors whether the view is still the newest. The answer comes as
    /// [`Effect::ViewConfirmed`] with the returned token. If it is current, and the tail of this
    /// view was in sync, the tail holds everything that was committed before the question.
    pub fn confirm_view(&mut self, now: Millis) -> u64 {
        let token = self.quorum_checks.next_token();
        if self.current.is_none() {
            self.report(vec![token], false);
            return token;
        }
        if !self.quorum_checks.newest_is_unsent() {
            self.check_quorum(now);
        }
        if !self.quorum_checks.wait_for_newest(token) {
            // A majority is this controller alone, and it has just confirmed.
            let is_current = self.accepted.is_none();
            self.report(vec![token], is_current);
        }
        token
    }

    /// How long ago a majority of the acceptors last confirmed this view, in milliseconds counted
    /// from the question; none if that has not happened in this view.
    pub fn quorum_contact_age(&self, now: Millis) -> Option<Millis> {
        self.quorum_checks.contact_age(now)
    }

    /// Begins a round of checks now, without waiting for the next one that is due: an acceptor may
    /// have come back whose answer makes up the majority.
    pub fn check_quorum(&mut self, now: Millis) {
        let Some(current) = &self.current else {
            return;
        };
        let view_number = current.number();
        let acceptors: Vec<SocketAddr> = current
            .acceptors
            .iter()
            .map(|acceptor| acceptor.addr)
            .collect();
        let failed = self.quorum_checks.make_room();
        self.report(failed, false);
        let round = self.quorum_checks.begin_round(now);
        for acceptor in acceptors {
            self.send(acceptor, MessageBody::QuorumCheck { view_number, round });
        }
        if self.accepted.is_none() {
            let me = self.me.clone();
            self.handle_quorum_vote(&me, view_number, round);
        }
    }

    /// Answers a check, or brings whichever of the two is behind up to date.
    pub(crate) fn handle_quorum_check(&mut self, from: SocketAddr, view_number: u64, round: u64) {
        let own = self.current_number();
        if own > view_number {
            self.send_if_newer(from, view_number);
        } else if own < view_number {
            self.send(from, MessageBody::RequestView { newest_known: own });
        } else {
            let undecided = self.accepted.is_some();
            self.send(
                from,
                MessageBody::QuorumCheckReply {
                    view_number,
                    round,
                    undecided,
                },
            );
        }
    }

    /// An acceptor confirms that the view is the newest it knows and that it has accepted no next
    /// one.
    pub(crate) fn handle_quorum_vote(&mut self, voter: &Member, view_number: u64, round: u64) {
        let Some(current) = &self.current else {
            return;
        };
        if current.number() == view_number && current.is_acceptor(voter) {
            let confirmed = self.quorum_checks.add_vote(voter, round, current.quorum());
            self.report(confirmed, true);
        }
    }

    /// The view is not the newest any more.
    pub(crate) fn end_quorum_checks(&mut self) {
        let failed = self.quorum_checks.end();
        self.report(failed, false);
    }

    pub(crate) fn tick_quorum_checks(&mut self, now: Millis) {
        let failed = self.quorum_checks.expire(now);
        self.report(failed, false);
        if self.quorum_checks.is_due(now) {
            self.check_quorum(now);
        }
    }

    fn report(&mut self, tokens: Vec<u64>, is_current: bool) {
        let reports = tokens
            .into_iter()
            .map(|token| Effect::ViewConfirmed { token, is_current });
        self.effects.extend(reports);
    }
}
