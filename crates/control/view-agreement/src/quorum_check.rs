//! Rounds of quorum checks: which acceptors have answered each, and who waits for its result.
//!
//! Counts votes only; sends nothing. A round succeeds once a majority of the acceptors has
//! confirmed the view after the round was sent, and fails when it expires or the view ends.

use std::collections::VecDeque;

use chain_replication::{Member, Millis};

/// Between rounds: a fraction of the shortest bound that is judged by them.
const INTERVAL_MS: Millis = 200;
/// A round without a majority by then has failed.
const ROUND_TIMEOUT_MS: Millis = 1_000;
/// Rounds under way at most: those of a second, and a confirmation every few milliseconds.
const MAX_ROUNDS: usize = 64;

#[derive(Debug)]
struct Round {
    number: u64,
    sent_at: Millis,
    confirmed_by: Vec<Member>,
    /// Confirmations that wait for this round.
    tokens: Vec<u64>,
}

/// The rounds under way, and when a majority last confirmed the view.
#[derive(Debug, Default)]
pub(crate) struct QuorumChecks {
    rounds: VecDeque<Round>,
    last_round: u64,
    last_token: u64,
    last_sent_at: Option<Millis>,
    /// When the newest round was sent that a majority answered, in this view.
    quorum_contact_at: Option<Millis>,
    /// The owner has not taken the messages of the newest round yet: a confirmation may share it.
    newest_is_unsent: bool,
}

impl QuorumChecks {
    /// The owner has taken what was to be sent.
    pub fn effects_taken(&mut self) {
        self.newest_is_unsent = false;
    }

    pub fn newest_is_unsent(&self) -> bool {
        self.newest_is_unsent
    }

    /// A token for one confirmation; never used twice.
    pub fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Lets a confirmation wait for the newest round; false if that has succeeded already.
    pub fn wait_for_newest(&mut self, token: u64) -> bool {
        let newest = self.last_round;
        let Some(round) = self.rounds.iter_mut().find(|round| round.number == newest) else {
            return false;
        };
        round.tokens.push(token);
        true
    }

    /// Ends the oldest rounds until there is room for one more; their confirmations have failed.
    pub fn make_room(&mut self) -> Vec<u64> {
        let mut failed = Vec::new();
        while self.rounds.len() >= MAX_ROUNDS {
            failed.extend(
                self.rounds
                    .pop_front()
                    .into_iter()
                    .flat_map(|round| round.tokens),
            );
        }
        failed
    }

    /// Begins a round; its number.
    pub fn begin_round(&mut self, now: Millis) -> u64 {
        self.last_round += 1;
        self.last_sent_at = Some(now);
        self.newest_is_unsent = true;
        self.rounds.push_back(Round {
            number: self.last_round,
            sent_at: now,
            confirmed_by: Vec::new(),
            tokens: Vec::new(),
        });
        self.last_round
    }

    /// Counts a vote; once a quorum has voted, the confirmations that have succeeded.
    pub fn add_vote(&mut self, voter: &Member, round: u64, quorum: usize) -> Vec<u64> {
        let Some(at) = self.rounds.iter().position(|other| other.number == round) else {
            return Vec::new();
        };
        let Some(round) = self.rounds.get_mut(at) else {
            return Vec::new();
        };
        if !round
            .confirmed_by
            .iter()
            .any(|other| other.is_same_process(voter))
        {
            round.confirmed_by.push(voter.clone());
        }
        if round.confirmed_by.len() < quorum {
            return Vec::new();
        }
        let Some(round) = self.rounds.remove(at) else {
            return Vec::new();
        };
        self.quorum_contact_at = self.quorum_contact_at.max(Some(round.sent_at));
        round.tokens
    }

    /// Ends the rounds that have timed out; their confirmations have failed.
    pub fn expire(&mut self, now: Millis) -> Vec<u64> {
        let mut failed = Vec::new();
        let has_expired = |round: &Round| now.saturating_sub(round.sent_at) >= ROUND_TIMEOUT_MS;
        while self.rounds.front().is_some_and(has_expired) {
            failed.extend(
                self.rounds
                    .pop_front()
                    .into_iter()
                    .flat_map(|round| round.tokens),
            );
        }
        failed
    }

    /// Ends all rounds with the view; their confirmations have failed.
    pub fn end(&mut self) -> Vec<u64> {
        self.quorum_contact_at = None;
        self.last_sent_at = None;
        self.rounds
            .drain(..)
            .flat_map(|round| round.tokens)
            .collect()
    }

    /// Whether the next round is due.
    pub fn is_due(&self, now: Millis) -> bool {
        self.last_sent_at
            .is_none_or(|at| now.saturating_sub(at) >= INTERVAL_MS)
    }

    /// How long ago the newest round was sent that a majority answered.
    pub fn contact_age(&self, now: Millis) -> Option<Millis> {
        self.quorum_contact_at.map(|at| now.saturating_sub(at))
    }
}
