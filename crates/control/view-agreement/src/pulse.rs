//! Whether the current view is still the newest, by a majority of its acceptors.

use std::collections::VecDeque;
use std::net::SocketAddr;

use chain_replication::{Member, Millis};

use crate::agreement::{Agreement, Effect};
use crate::wire::MessageBody;

/// Between rounds of pings: a fraction of the shortest bound that is judged by it.
const PING_MS: Millis = 200;
/// A round that has no majority by then has failed.
const ROUND_MS: Millis = 1_000;
/// Rounds under way at most: pings of a second and a confirmation every few milliseconds.
const MOST_ROUNDS: usize = 64;

#[derive(Debug)]
struct Round {
    number: u64,
    sent_at: Millis,
    sure: Vec<Member>,
    tokens: Vec<u64>,
}

/// The rounds of pings.
#[derive(Debug, Default)]
pub(crate) struct Pulse {
    rounds: VecDeque<Round>,
    round: u64,
    token: u64,
    pinged_at: Option<Millis>,
    /// When the newest round was sent that a majority answered, in this view.
    majority_at: Option<Millis>,
    /// The round whose pings the owner has not taken yet: whoever asks now may share it.
    untaken: Option<u64>,
}

impl Pulse {
    /// The owner has taken what was to be sent.
    pub(crate) fn taken(&mut self) {
        self.untaken = None;
    }
}

impl Agreement {
    /// Asks a majority of the acceptors whether the view is still the newest; the answer comes as
    /// [`Effect::ViewConfirmed`] with this token. Nothing that was committed in a newer view before the question can be
    /// missing at this view's tail if the answer is `ok` (and the tail was in sync).
    pub fn confirm_view(&mut self, now: Millis) -> u64 {
        self.pulse.token += 1;
        let token = self.pulse.token;
        if self.current.is_none() {
            self.out.push(Effect::ViewConfirmed {
                token,
                is_current: false,
            });
            return token;
        }
        if self.pulse.untaken.is_none() {
            self.ping_all(now);
        }
        let newest = self.pulse.round;
        match self.pulse.rounds.iter_mut().find(|r| r.number == newest) {
            Some(round) => round.tokens.push(token),
            // A majority is this controller alone, and it has just said so.
            None => {
                let ok = self.accepted.is_none();
                self.out.push(Effect::ViewConfirmed {
                    token,
                    is_current: ok,
                });
            }
        }
        token
    }

    /// Begins a round of pings at once, without waiting for the next one that is due: somebody has come whose answer may
    /// make up the majority.
    pub fn check_quorum(&mut self, now: Millis) {
        self.ping_all(now);
    }

    /// How long ago a majority of the acceptors last held this view to be the newest, counted from the question.
    pub fn quorum_contact_age(&self, now: Millis) -> Option<Millis> {
        self.pulse.majority_at.map(|at| now.saturating_sub(at))
    }

    /// Begins a round of pings.
    pub(crate) fn ping_all(&mut self, now: Millis) {
        let Some(current) = &self.current else { return };
        let view = current.number();
        let to: Vec<SocketAddr> = current.acceptors.iter().map(|a| a.addr).collect();
        self.pulse.round += 1;
        let round = self.pulse.round;
        while self.pulse.rounds.len() >= MOST_ROUNDS {
            self.fail_oldest();
        }
        self.pulse.pinged_at = Some(now);
        self.pulse.rounds.push_back(Round {
            number: round,
            sent_at: now,
            sure: Vec::new(),
            tokens: Vec::new(),
        });
        for addr in to {
            self.send(
                addr,
                MessageBody::QuorumCheck {
                    view_number: view,
                    round,
                },
            );
        }
        self.pulse.untaken = Some(round);
        let me = self.me.clone();
        let unsure = self.accepted.is_some();
        self.ponged(&me, view, round, unsure);
    }

    pub(crate) fn pinged(&mut self, from: SocketAddr, view: u64, round: u64) {
        let own = self.number();
        if own > view {
            self.tell_newer(from, view);
        } else if own < view {
            self.send(from, MessageBody::RequestView { newest_known: own });
        } else {
            self.send(
                from,
                MessageBody::QuorumCheckReply {
                    view_number: view,
                    round,
                    undecided: self.accepted.is_some(),
                },
            );
        }
    }

    pub(crate) fn ponged(&mut self, sender: &Member, view: u64, round: u64, unsure: bool) {
        let Some(current) = &self.current else { return };
        let majority = current.quorum();
        if unsure || current.number() != view || !current.is_acceptor(sender) {
            return;
        }
        let Some(at) = self.pulse.rounds.iter().position(|r| r.number == round) else {
            return;
        };
        let Some(entry) = self.pulse.rounds.get_mut(at) else {
            return;
        };
        if !entry.sure.iter().any(|m| m.is_same_process(sender)) {
            entry.sure.push(sender.clone());
        }
        if entry.sure.len() < majority {
            return;
        }
        let Some(entry) = self.pulse.rounds.remove(at) else {
            return;
        };
        self.pulse.majority_at = self.pulse.majority_at.max(Some(entry.sent_at));
        self.out
            .extend(entry.tokens.into_iter().map(|token| Effect::ViewConfirmed {
                token,
                is_current: true,
            }));
    }

    fn fail_oldest(&mut self) {
        if let Some(round) = self.pulse.rounds.pop_front() {
            self.out
                .extend(round.tokens.into_iter().map(|token| Effect::ViewConfirmed {
                    token,
                    is_current: false,
                }));
        }
    }

    /// The view is not the newest any more.
    pub(crate) fn pulse_ended(&mut self) {
        while !self.pulse.rounds.is_empty() {
            self.fail_oldest();
        }
        self.pulse.majority_at = None;
        self.pulse.pinged_at = None;
    }

    pub(crate) fn tick_pulse(&mut self, now: Millis) {
        while self
            .pulse
            .rounds
            .front()
            .is_some_and(|r| now.saturating_sub(r.sent_at) >= ROUND_MS)
        {
            self.fail_oldest();
        }
        if self
            .pulse
            .pinged_at
            .is_none_or(|at| now.saturating_sub(at) >= PING_MS)
        {
            self.ping_all(now);
        }
    }
}
