//! One dispatcher's part: it sends heartbeats, it watches, it votes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::hash_ring::HashRing;
use crate::message::Message;
use crate::{
    Dispatcher, Ms, CONFIRM_AFTER_MS, DEFER_MS, HEARTBEAT_MS, PROBE_AFTER_MS, STALL_MS,
    SUSPECT_AFTER_MS, VOTE_TIMEOUT_MS,
};

/// A verdict that stands is reported again after this time: the controller that got it may have
/// failed.
const REPORT_INTERVAL_MS: Ms = 2_000;
/// A verdict needs two votes at least, however few watchers there are.
const MIN_VOTES: usize = 2;

/// What most watchers of a dispatcher agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The dispatcher.
    pub id: u64,
    /// The last heartbeat received: a verdict on a later heartbeat replaces this one.
    pub heartbeat: u64,
    /// It has failed; or, after that was reported, it is alive after all.
    pub failed: bool,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send this to another dispatcher.
    Send {
        /// Its address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Report this to a controller. Several watchers report the same.
    Report(Verdict),
}

/// Another watcher of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Watcher {
    id: u64,
    addr: SocketAddr,
}

/// A suspicion of this watcher.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Ms,
    last_sent: Ms,
}

/// A dispatcher that this one watches.
#[derive(Debug)]
struct Watched {
    id: u64,
    addr: SocketAddr,
    other_watchers: Vec<Watcher>,
    /// The newest heartbeat that is known.
    heartbeat: u64,
    last_received: Option<Ms>,
    /// Since when this watcher listens without a stall.
    listening_since: Ms,
    last_probe: Ms,
    suspicion: Option<Suspicion>,
    /// Another watcher receives heartbeats: no suspicion before this time.
    deferred_until: Ms,
    /// When each other watcher last voted that it has failed.
    votes: BTreeMap<u64, Ms>,
    /// When its failure was last reported, if that stands.
    reported: Option<Ms>,
}

/// One dispatcher's failure detector.
#[derive(Debug)]
pub struct FailureDetector {
    me: u64,
    ring: HashRing,
    list: Vec<Dispatcher>,
    watched: BTreeMap<u64, Watched>,
    watchers: Vec<SocketAddr>,
    heartbeat: u64,
    next_heartbeat: Ms,
    last_tick: Option<Ms>,
    effects: Vec<Effect>,
}

impl FailureDetector {
    /// The detector of the dispatcher with this id, which must be in the list of members like all
    /// others.
    pub fn new(me: u64) -> Self {
        FailureDetector {
            me,
            ring: HashRing::default(),
            list: Vec::new(),
            watched: BTreeMap::new(),
            watchers: Vec::new(),
            heartbeat: 0,
            next_heartbeat: 0,
            last_tick: None,
            effects: Vec::new(),
        }
    }

    /// Sets the members. Those that are watched already go on as they were; new ones have a full
    /// time-out to send something.
    pub fn set_members(&mut self, now: Ms, list: &[Dispatcher]) {
        if list == self.list {
            return;
        }
        self.list = list.to_vec();
        self.ring = HashRing::new(list);
        self.watchers = self
            .ring
            .watchers(self.me)
            .iter()
            .map(|one| one.addr)
            .collect();
        let mut old = std::mem::take(&mut self.watched);
        for one in self.ring.watched_by(self.me) {
            let others = self.ring.watchers(one.id);
            let others = others.iter().filter(|other| other.id != self.me);
            let others = others.map(|other| Watcher {
                id: other.id,
                addr: other.addr,
            });
            let others = others.collect::<Vec<_>>();
            let mut watched = old
                .remove(&one.id)
                .unwrap_or_else(|| Watched::new(one, now));
            watched.addr = one.addr;
            watched
                .votes
                .retain(|by, _| others.iter().any(|other| other.id == *by));
            watched.other_watchers = others;
            self.watched.insert(one.id, watched);
        }
    }

    /// The ids of the dispatchers that this one watches, in order.
    pub fn watches(&self) -> impl Iterator<Item = u64> + '_ {
        self.watched.keys().copied()
    }

    /// Handles a message of another dispatcher; one that doesn't fit the list is ignored.
    pub fn handle_message(&mut self, now: Ms, from: SocketAddr, message: Message) {
        match message {
            Message::Heartbeat { id, heartbeat } => {
                let watched = self.watched.get_mut(&id);
                if let Some(watched) = watched.filter(|watched| watched.addr == from) {
                    watched.handle_heartbeat(now, heartbeat, &mut self.effects);
                }
            }
            // Whoever probes gets a reply: its list may be newer than ours.
            Message::Probe { of, .. } => {
                if of == self.me {
                    let message = self.next_heartbeat_message();
                    self.effects.push(Effect::Send { to: from, message });
                }
            }
            Message::Suspect { by, of, heartbeat } => {
                let Some(watched) = self.watched.get_mut(&of) else {
                    return;
                };
                let watcher = Watcher { id: by, addr: from };
                if watched.other_watchers.contains(&watcher) {
                    let reply = watched.handle_suspicion(now, self.me, watcher, heartbeat);
                    self.effects.extend(reply);
                }
            }
            Message::Alive {
                by,
                of,
                heartbeat,
                age_ms,
            } => {
                let Some(watched) = self.watched.get_mut(&of) else {
                    return;
                };
                let watcher = Watcher { id: by, addr: from };
                if watched.other_watchers.contains(&watcher) && heartbeat > watched.heartbeat {
                    watched.votes.remove(&by);
                    let received = now.saturating_sub(Ms::from(age_ms));
                    watched.handle_alive(now, received, heartbeat, &mut self.effects);
                }
            }
        }
    }

    /// Lets time pass; to be called every 50 to 100 ms.
    pub fn tick(&mut self, now: Ms) {
        let stalled = self
            .last_tick
            .is_some_and(|last| now.saturating_sub(last) > STALL_MS);
        self.last_tick = Some(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_MS;
            let message = self.next_heartbeat_message();
            let sends = self
                .watchers
                .iter()
                .map(|to| Effect::Send { to: *to, message });
            self.effects.extend(sends);
        }
        for watched in self.watched.values_mut() {
            if stalled {
                // Messages may lie unread: listen for a full time-out first.
                watched.listening_since = now;
                watched.suspicion = None;
                watched.votes.clear();
            }
            watched.tick(now, self.me, &mut self.effects);
        }
    }

    /// Takes what is to be done.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    fn next_heartbeat_message(&mut self) -> Message {
        self.heartbeat += 1;
        Message::Heartbeat {
            id: self.me,
            heartbeat: self.heartbeat,
        }
    }
}

impl Watched {
    fn new(dispatcher: &Dispatcher, now: Ms) -> Self {
        Watched {
            id: dispatcher.id,
            addr: dispatcher.addr,
            other_watchers: Vec::new(),
            heartbeat: 0,
            last_received: None,
            listening_since: now,
            last_probe: 0,
            suspicion: None,
            deferred_until: 0,
            votes: BTreeMap::new(),
            reported: None,
        }
    }

    fn silent_since(&self) -> Ms {
        self.last_received
            .map_or(self.listening_since, |at| at.max(self.listening_since))
    }

    fn handle_heartbeat(&mut self, now: Ms, heartbeat: u64, effects: &mut Vec<Effect>) {
        self.last_received = Some(now);
        self.heartbeat = self.heartbeat.max(heartbeat);
        self.suspicion = None;
        self.votes.clear();
        self.revoke(effects);
    }

    /// Another watcher suspects: its vote counts, unless this one received a newer heartbeat
    /// lately.
    fn handle_suspicion(
        &mut self,
        now: Ms,
        me: u64,
        watcher: Watcher,
        heartbeat: u64,
    ) -> Option<Effect> {
        let age = self
            .last_received
            .map_or(Ms::MAX, |at| now.saturating_sub(at));
        if self.heartbeat <= heartbeat || age >= SUSPECT_AFTER_MS {
            self.votes.insert(watcher.id, now);
            return None;
        }
        self.votes.remove(&watcher.id);
        let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
        let heartbeat = self.heartbeat;
        let message = Message::Alive {
            by: me,
            of: self.id,
            heartbeat,
            age_ms,
        };
        Some(Effect::Send {
            to: watcher.addr,
            message,
        })
    }

    /// Another watcher received a newer heartbeat: that defers the suspicion, but not for ever,
    /// since this watcher still receives nothing itself.
    fn handle_alive(&mut self, now: Ms, received: Ms, heartbeat: u64, effects: &mut Vec<Effect>) {
        let latest = self.silent_since() + SUSPECT_AFTER_MS + DEFER_MS;
        let until = (received + DEFER_MS).min(latest);
        self.deferred_until = self.deferred_until.max(until);
        if self.deferred_until > now {
            self.suspicion = None;
            self.heartbeat = heartbeat;
            self.revoke(effects);
        }
    }

    fn tick(&mut self, now: Ms, me: u64, effects: &mut Vec<Effect>) {
        let silent = now.saturating_sub(self.silent_since());
        let may_probe = now.saturating_sub(self.last_probe) >= HEARTBEAT_MS;
        if silent >= PROBE_AFTER_MS && may_probe {
            self.last_probe = now;
            let message = Message::Probe {
                by: me,
                of: self.id,
            };
            effects.push(Effect::Send {
                to: self.addr,
                message,
            });
        }
        if silent < SUSPECT_AFTER_MS || now < self.deferred_until {
            self.suspicion = None;
            return;
        }
        let since = self.send_suspicion(now, me, effects);
        self.votes
            .retain(|_, at| now.saturating_sub(*at) <= VOTE_TIMEOUT_MS);
        let votes = 1 + self.votes.len();
        let watchers = self.other_watchers.len() + 1;
        let needed = (watchers / 2 + 1).max(MIN_VOTES);
        let confirmed = now.saturating_sub(since) >= CONFIRM_AFTER_MS && votes >= needed;
        let due = self
            .reported
            .is_none_or(|at| now.saturating_sub(at) >= REPORT_INTERVAL_MS);
        if confirmed && due {
            self.reported = Some(now);
            effects.push(Effect::Report(self.verdict(true)));
        }
    }

    /// Sends the suspicion to the other watchers if it is new or due again; gives since when it
    /// lasts.
    fn send_suspicion(&mut self, now: Ms, me: u64, effects: &mut Vec<Effect>) -> Ms {
        let Suspicion { since, last_sent } = self.suspicion.unwrap_or(Suspicion {
            since: now,
            last_sent: 0,
        });
        let due = self.suspicion.is_none() || now.saturating_sub(last_sent) >= HEARTBEAT_MS;
        let last_sent = if due { now } else { last_sent };
        self.suspicion = Some(Suspicion { since, last_sent });
        if due {
            let message = Message::Suspect {
                by: me,
                of: self.id,
                heartbeat: self.heartbeat,
            };
            let others = self.other_watchers.iter();
            effects.extend(others.map(|other| Effect::Send {
                to: other.addr,
                message,
            }));
        }
        since
    }

    /// Revokes a verdict that was reported.
    fn revoke(&mut self, effects: &mut Vec<Effect>) {
        if self.reported.take().is_some() {
            effects.push(Effect::Report(self.verdict(false)));
        }
    }

    fn verdict(&self, failed: bool) -> Verdict {
        Verdict {
            id: self.id,
            heartbeat: self.heartbeat,
            failed,
        }
    }
}
