//! Which parent a table follows: it stays with a good one, leaves a bad one, and returns to the
//! preferred one without a gap.

use std::net::SocketAddr;

use crate::entry::mix;
use crate::message::Message;
use crate::parent::ParentLink;
use crate::state_table::{Follow, StateTable};
use crate::{Ms, MAX_PARENTS, MAX_STALENESS_MS, PARENT_ATTEMPT_MS};

/// Longest that one parent is tried when all were tried without success: then probably all are out
/// of contact.
const LONG_ATTEMPT_MS: Ms = 1_000;
/// Pause before the preferred parent is tried again while another one serves; doubled after each
/// trial in vain.
const TRIAL_BACKOFF_MIN_MS: Ms = 5_000;
/// The longest such pause.
const TRIAL_BACKOFF_MAX_MS: Ms = 80_000;
/// How long the preferred parent is tried then, while the other one goes on serving.
const TRIAL_MS: Ms = 1_500;
/// A table whose parent is far down a new list tries the preferred one within this time.
const SOON_MS: Ms = 1_000;

/// The preferred parent, tried while another one serves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trial {
    pub addr: SocketAddr,
    since: Ms,
}

/// The parents of a table and the choice among them.
#[derive(Debug)]
pub(crate) struct ParentChoice {
    /// In order of preference.
    list: Vec<SocketAddr>,
    /// The parent that is followed, with [`Follow::First`].
    pub current: Option<SocketAddr>,
    /// Since when it is followed, or judged anew.
    pub current_since: Ms,
    /// How many were given up since the last good one.
    given_up: u32,
    pub trial: Option<Trial>,
    next_trial_at: Ms,
    trial_backoff_ms: Ms,
}

impl ParentChoice {
    pub(crate) fn new() -> Self {
        ParentChoice {
            list: Vec::new(),
            current: None,
            current_since: 0,
            given_up: 0,
            trial: None,
            next_trial_at: 0,
            trial_backoff_ms: TRIAL_BACKOFF_MIN_MS,
        }
    }

    fn is_on_trial(&self, addr: SocketAddr) -> bool {
        self.trial.is_some_and(|trial| trial.addr == addr)
    }

    /// Whether the parent is followed or on trial.
    pub(crate) fn uses(&self, addr: SocketAddr) -> bool {
        self.current == Some(addr) || self.is_on_trial(addr)
    }
}

/// How a parent on trial does.
#[derive(Clone, Copy)]
struct TrialState {
    trial: Trial,
    fresh: bool,
    /// It can replace the current one without a gap.
    ready: bool,
}

impl StateTable {
    /// Sets the parents in order of preference. The same list again changes nothing.
    pub fn set_parents(&mut self, now: Ms, list: Vec<SocketAddr>) {
        self.advance_clock(now);
        let mut new = Vec::with_capacity(list.len().min(MAX_PARENTS));
        for addr in list {
            if addr != self.me && !new.contains(&addr) && new.len() < MAX_PARENTS {
                new.push(addr);
            }
        }
        if new == self.choice.list {
            return;
        }
        self.choice.list = new;
        match self.follow {
            Follow::All => self.follow_all(now),
            Follow::First => self.follow_listed(now),
        }
    }

    fn follow_all(&mut self, now: Ms) {
        let list = std::mem::take(&mut self.choice.list);
        let left = self
            .links
            .iter()
            .map(|link| link.addr)
            .filter(|addr| !list.contains(addr));
        for addr in left.collect::<Vec<_>>() {
            self.links.retain(|link| link.addr != addr);
            self.queue_unsubscribe(addr);
        }
        for addr in &list {
            if !self.links.iter().any(|link| link.addr == *addr) {
                self.open_link(now, *addr);
            }
        }
        self.choice.list = list;
    }

    fn follow_listed(&mut self, now: Ms) {
        let preferred = self.choice.list.first().copied();
        if self
            .choice
            .trial
            .is_some_and(|trial| preferred != Some(trial.addr))
        {
            self.end_trial();
        }
        let current = self.choice.current;
        let place =
            current.and_then(|current| self.choice.list.iter().position(|addr| *addr == current));
        match (place, preferred) {
            (None, Some(first)) => self.switch(now, first),
            (None, None) => self.leave_current(),
            // Far down the list: to the preferred one soon, but not all tables at once.
            (Some(2..), _) => {
                self.choice.trial_backoff_ms = TRIAL_BACKOFF_MIN_MS;
                let soon = now + self.jitter(now, SOON_MS);
                self.choice.next_trial_at = self.choice.next_trial_at.min(soon);
            }
            _ => {}
        }
    }

    pub(crate) fn follows(&self, addr: SocketAddr) -> bool {
        self.follow == Follow::All || self.choice.uses(addr)
    }

    fn open_link(&mut self, now: Ms, addr: SocketAddr) {
        if let Some(link) = self.links.iter_mut().find(|link| link.addr == addr) {
            link.resume(now);
            return;
        }
        if self.links.len() >= MAX_PARENTS {
            let choice = &self.choice;
            let unused =
                |link: &ParentLink| !choice.list.contains(&link.addr) && !choice.uses(link.addr);
            let spare = self.links.iter().position(unused);
            self.links.remove(spare.unwrap_or(0));
        }
        self.links.push(ParentLink::new(addr));
    }

    fn suspend_link(&mut self, addr: SocketAddr) {
        if let Some(link) = self.links.iter_mut().find(|link| link.addr == addr) {
            link.suspend();
        }
        self.queue_unsubscribe(addr);
    }

    fn queue_unsubscribe(&mut self, addr: SocketAddr) {
        self.queued.push((
            addr,
            Message::Unsubscribe {
                incarnation: self.incarnation,
            },
        ));
    }

    fn leave_current(&mut self) {
        if let Some(old) = self.choice.current.take() {
            self.suspend_link(old);
        }
    }

    fn end_trial(&mut self) {
        if let Some(trial) = self.choice.trial.take() {
            if self.choice.current != Some(trial.addr) {
                self.suspend_link(trial.addr);
            }
        }
    }

    fn switch(&mut self, now: Ms, to: SocketAddr) {
        let on_trial = self.choice.is_on_trial(to);
        if on_trial {
            self.choice.trial = None;
        }
        if self.choice.current != Some(to) {
            self.leave_current();
            self.choice.current = Some(to);
            if !on_trial {
                self.open_link(now, to);
            }
        }
        self.choice.current_since = now;
        self.postpone_comparison(now);
        self.schedule_trial(now);
    }

    fn schedule_trial(&mut self, now: Ms) {
        let jitter = self.jitter(now, TRIAL_BACKOFF_MIN_MS);
        self.choice.next_trial_at = now + self.choice.trial_backoff_ms + jitter;
    }

    fn link_to(&self, addr: SocketAddr) -> Option<&ParentLink> {
        self.links.iter().find(|link| link.addr == addr)
    }

    fn trial_state(&self, now: Ms) -> Option<TrialState> {
        let trial = self.choice.trial?;
        let link = self.link_to(trial.addr);
        let fresh = link.is_some_and(|link| link.is_fresh(now));
        let complete =
            |link: &ParentLink| link.is_in_sync() && link.staleness(now) <= MAX_STALENESS_MS;
        Some(TrialState {
            trial,
            fresh,
            ready: fresh && link.is_some_and(complete),
        })
    }

    /// Stays with a good parent, leaves a bad one, and returns to the first of the list without a
    /// gap.
    pub(crate) fn choose_parent(&mut self, now: Ms) {
        let Some(preferred) = self.choice.list.first().copied() else {
            return;
        };
        let Some(current) = self.choice.current else {
            return self.switch(now, preferred);
        };
        let fresh = self.link_to(current).is_some_and(|link| link.is_fresh(now));
        let trial = self.trial_state(now);
        if fresh {
            self.choice.given_up = 0;
            self.try_preferred(now, preferred, current, trial);
        } else {
            self.replace_current(now, current, trial);
        }
    }

    /// The current parent is good: tries the preferred one beside it now and then.
    fn try_preferred(
        &mut self,
        now: Ms,
        preferred: SocketAddr,
        current: SocketAddr,
        trial: Option<TrialState>,
    ) {
        match trial {
            Some(TrialState {
                trial, ready: true, ..
            }) => {
                self.choice.trial_backoff_ms = TRIAL_BACKOFF_MIN_MS;
                self.switch(now, trial.addr);
            }
            Some(TrialState { trial, .. }) if now.saturating_sub(trial.since) >= TRIAL_MS => {
                self.end_trial();
                let doubled = self.choice.trial_backoff_ms * 2;
                self.choice.trial_backoff_ms = doubled.min(TRIAL_BACKOFF_MAX_MS);
                self.schedule_trial(now);
            }
            None if current != preferred && now >= self.choice.next_trial_at => {
                self.choice.trial = Some(Trial {
                    addr: preferred,
                    since: now,
                });
                self.open_link(now, preferred);
            }
            _ => {}
        }
    }

    /// The current parent isn't good: after a while another one is tried.
    fn replace_current(&mut self, now: Ms, current: SocketAddr, trial: Option<TrialState>) {
        let all_tried = self.choice.given_up as usize >= self.choice.list.len();
        let attempt = if all_tried {
            LONG_ATTEMPT_MS
        } else {
            PARENT_ATTEMPT_MS
        };
        if now.saturating_sub(self.choice.current_since) < attempt {
            return;
        }
        if let Some(TrialState {
            trial, fresh: true, ..
        }) = trial
        {
            return self.switch(now, trial.addr);
        }
        let list = &self.choice.list;
        let place = list.iter().position(|addr| *addr == current);
        let next = place.map_or(0, |place| (place + 1) % list.len());
        if let Some(next) = list.get(next).copied() {
            self.choice.given_up = self.choice.given_up.saturating_add(1);
            self.switch(now, next);
        }
    }

    /// Up to `most` ms, another for each process and time, without a random draw.
    pub(crate) fn jitter(&self, now: Ms, most: Ms) -> Ms {
        mix(self.incarnation ^ now) % most.max(1)
    }
}
