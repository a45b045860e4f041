//! Calls of runners and operators: what is answered at once, and what waits until it is true.

use super::{Out, Owner, STALE};
use crate::control::{digest, Change, Command};
use crate::op::{Answer, Ask};
use crate::plan::NotRetired;
use batch::wire::StoreState;
use chain_replication::{Member, Millis};
use relay_tree::Stamp;
use route_config::Config;
use slog::{info, warn};

/// The status of a call whose content is refused.
const INVALID: u16 = 400;
/// A caller that has waited so long asks elsewhere; well below `AckMs` and beyond one change of the view.
const WAITING_MOST: Millis = 3_500;
/// A runner gives a call up after a second, and goes to the next controller.
const DRAIN_WITHIN: Millis = 700;
/// What waits for its answer at most.
const PENDING_MOST: usize = 4_096;
/// Younger than this, a controller takes heartbeats without having heard others: all of them may have just started.
const YOUNG: Millis = 4_000;

/// What waits for something to become true.
pub(crate) enum Pending {
    /// A configuration, until it is in force. `number` is its place in the chain, or a later one.
    Put {
        change: Change,
        number: u64,
        call: u64,
        since: Millis,
    },
    /// A reader at the tail, until a majority has said that its view is the newest and all it saw is kept.
    Get {
        token: u64,
        sure: bool,
        number: u64,
        call: u64,
        since: Millis,
    },
    /// The operator's order lost: another configuration is in place. Refused only once that one is kept, for the order may
    /// have been sent elsewhere too, and could still be taken there if what it lost to were lost itself.
    Lost {
        base: u64,
        digest: [u8; 32],
        number: u64,
        call: u64,
        since: Millis,
    },
    /// A runner that drains or leaves, until a majority of the controllers know.
    Drain {
        key: String,
        stamp: Stamp,
        call: u64,
        since: Millis,
    },
    /// A map that an operator asked for, until it is kept.
    Retire {
        number: u64,
        call: u64,
        since: Millis,
    },
}

fn out_of_touch() -> Answer {
    Answer::refused(503, 1312, "out of touch with the other controllers")
}

fn repaired() -> Answer {
    Answer::refused(503, 1310, "the chain is being repaired")
}

impl Owner {
    /// A call that came to this controller. The answer comes as [`Out::Reply`] with the same number, perhaps later.
    pub fn asked(&mut self, now: Millis, unix: u64, call: u64, ask: Ask) {
        self.unix = unix;
        let answer = match ask {
            Ask::Put { base, body } => self.put(now, base, &body, call),
            Ask::Get => self.get(now, call),
            Ask::Heartbeat { id, body } => self.heartbeat(now, &id, &body, call),
            Ask::Leave { id } => self.leave(now, &id, call),
            Ask::RetireBegin { node } => self.retire_begin(now, &node, call),
            Ask::RetireGet { node } => Some(self.retire_get(now, &node)),
            Ask::Status => Some(crate::status::answer(self, now)),
        };
        if let Some(answer) = answer {
            self.reply(call, answer);
        }
        self.work(now);
    }

    fn reply(&mut self, call: u64, answer: Answer) {
        self.refused.calls += u64::from(answer.status == INVALID);
        self.out.push(Out::Reply { call, answer });
    }

    fn put(&mut self, now: Millis, base: u64, body: &[u8], call: u64) -> Option<Answer> {
        if !self.node.is_head() || !self.in_touch(now) {
            return Some(self.pass_on(now, "/-/config/replace", true));
        }
        if !self.persistence.is_writable() {
            return Some(Answer::refused(503, 1316, "the disk here takes no writes"));
        }
        if !self.can_commit() || self.pending.len() >= PENDING_MOST {
            return Some(repaired());
        }
        let digest = digest(body);
        let control = self.node.state_machine();
        if let Some(gen) = control.took(base, &digest) {
            let change = Change { base, gen, digest };
            let number = self.node.last_received();
            self.pending.push(Pending::Put {
                change,
                number,
                call,
                since: now,
            });
            return None;
        }
        if !control.remembers(base) {
            let what = "the version that it builds on is too old to say whether it was taken";
            return Some(Answer::refused(503, 1315, what));
        }
        if base != control.gen() {
            let number = self.node.last_received();
            self.pending.push(Pending::Lost {
                base,
                digest,
                number,
                call,
                since: now,
            });
            return None;
        }
        let checked = Config::read(body)
            .and_then(|config| config.check_follows(control.gen()).map(|()| config));
        let config = match checked {
            Ok(config) => config,
            Err(e) => {
                info!(self.log, "configuration refused"; "code" => e.code(), "why" => %e);
                return Some(Answer::refused(400, e.code(), &e.to_string()));
            }
        };
        let change = Change {
            base,
            gen: config.gen,
            digest,
        };
        let command = Command::Config {
            change,
            body: body.to_vec(),
        }
        .encode();
        let Some(number) = self.node.propose(now, command) else {
            return Some(repaired());
        };
        info!(self.log, "configuration ordered"; "gen" => config.gen, "base" => base, "number" => number);
        self.pending.push(Pending::Put {
            change,
            number,
            call,
            since: now,
        });
        None
    }

    /// Sends the caller to the head or the tail, if that is another one, and tells it to come again otherwise.
    fn pass_on(&self, now: Millis, path: &str, head: bool) -> Answer {
        let members = self
            .node
            .view()
            .map(|v| v.members.as_slice())
            .unwrap_or_default();
        let other = if head {
            members.first()
        } else {
            members.last()
        };
        let other = other.filter(|m| m.addr != self.me.addr);
        // A member of the view that this one itself does not hear is no help.
        let heard = |m: &&Member| {
            self.controllers
                .silent(now, m.addr)
                .is_some_and(|s| s < STALE)
        };
        match other.filter(heard) {
            Some(member) => Answer::elsewhere(self.ctl_of(member.addr), path),
            None => out_of_touch(),
        }
    }

    fn get(&mut self, now: Millis, call: u64) -> Option<Answer> {
        if !self.node.is_tail() || !self.in_touch(now) {
            return Some(self.pass_on(now, "/-/config/get", false));
        }
        if self.pending.len() >= PENDING_MOST || !self.node.is_active() {
            return Some(repaired());
        }
        let token = self.agreement.confirm_view(now);
        let number = self.node.last_received();
        self.pending.push(Pending::Get {
            token,
            sure: false,
            number,
            call,
            since: now,
        });
        None
    }

    fn heartbeat(&mut self, now: Millis, id: &str, body: &[u8], call: u64) -> Option<Answer> {
        let taken = match self.registry.heartbeat(now, id, body) {
            Ok(taken) => taken,
            Err(e) => {
                if let Some(left_out) = self.refused.lines.now(now, "heartbeat") {
                    warn!(self.log, "heartbeat refused"; "code" => 1320, "runner" => id, "why" => %e,
                        "left_out" => left_out);
                }
                return Some(Answer::refused(400, 1320, &e.to_string()));
            }
        };
        if let Some(state_entry) = taken.publish {
            info!(self.log, "runner told"; "runner" => id, "draining" => taken.draining);
            self.state_table
                .set(now, &state_entry.key, state_entry.stamp, state_entry.value);
        }
        if !self.takes_runners(now) {
            return Some(out_of_touch());
        }
        if taken.draining {
            return self.acknowledge_end(now, id, taken.stamp, call);
        }
        Some(Answer::ok())
    }

    /// Whether runners may rely on this controller. One without a majority notes what they say, for those that follow it,
    /// but acknowledges nothing: a runner that is refused goes on to a controller in contact, where all learn of it.
    fn takes_runners(&self, now: Millis) -> bool {
        self.contact.holds(now) || self.ticked <= YOUNG
    }

    fn leave(&mut self, now: Millis, id: &str, call: u64) -> Option<Answer> {
        if let Some(state_entry) = self.registry.leave(now, id) {
            info!(self.log, "runner left"; "runner" => id);
            self.state_table
                .set(now, &state_entry.key, state_entry.stamp, state_entry.value);
        }
        if !self.takes_runners(now) {
            return Some(out_of_touch());
        }
        self.acknowledge_end(now, id, runner_registry::LEFT_STAMP, call)
    }

    /// Acknowledges that a runner drains or has left once enough know it. Said again, it waits again: the first time may
    /// have found too few.
    fn acknowledge_end(
        &mut self,
        now: Millis,
        id: &str,
        stamp: Stamp,
        call: u64,
    ) -> Option<Answer> {
        if self.pending.len() >= PENDING_MOST {
            return Some(repaired());
        }
        let key = runner_registry::entry_key(id).to_string();
        self.pending.push(Pending::Drain {
            key,
            stamp,
            call,
            since: now,
        });
        None
    }

    fn retire_begin(&mut self, now: Millis, node: &str, call: u64) -> Option<Answer> {
        if !self.node.is_head() || !self.in_touch(now) {
            return Some(self.pass_on(now, &format!("/-/retire/{node}/begin"), true));
        }
        let (Some(map), true) = (&self.map, self.can_commit()) else {
            return Some(Answer::refused(
                503,
                1310,
                "the chain is being repaired, or no map of stores yet",
            ));
        };
        match self.stores.retire(now, map, node, self.lengths()) {
            Err(NotRetired::Unknown) => {
                Some(Answer::refused(404, 1330, "no store machine of that name"))
            }
            Err(NotRetired::TooFew) => Some(Answer::refused(
                409,
                1331,
                "too few store machines would remain",
            )),
            Ok(None) => Some(Answer::ok()),
            Ok(Some(next)) => {
                let number = next.number;
                info!(self.log, "store to be emptied"; "store" => node, "map" => number);
                if !self.order_map(now, &next) {
                    return Some(repaired());
                }
                self.pending.push(Pending::Retire {
                    number,
                    call,
                    since: now,
                });
                None
            }
        }
    }

    fn retire_get(&self, now: Millis, node: &str) -> Answer {
        if !self.node.is_head() || !self.in_touch(now) {
            return self.pass_on(now, &format!("/-/retire/{node}/get"), true);
        }
        // The map as committed, never as ordered only: at `complete` the machine is taken away at once.
        let state = self
            .map
            .as_ref()
            .and_then(|m| m.stores.iter().find(|s| s.node == node))
            .map(|s| s.state);
        // A head that has just begun may not have read the newest map yet, and denies nothing by the one before.
        let newest =
            self.map.as_ref().map_or(0, |m| m.number) == self.node.state_machine().map_number;
        match state {
            Some(StoreState::Retired) => Answer::body("{\"State\":\"complete\"}"),
            Some(StoreState::Retiring) => Answer::body("{\"State\":\"rolling\"}"),
            _ if !newest => {
                Answer::refused(503, 1310, "a newer map of stores is being put in force")
            }
            Some(_) => Answer::refused(404, 1332, "it is not being emptied"),
            None if self.map.is_none() => Answer::refused(503, 1310, "no map of stores yet"),
            None => Answer::refused(404, 1330, "no store machine of that name"),
        }
    }

    pub(super) fn confirmed(&mut self, of: u64, ok: bool) {
        for pending in &mut self.pending {
            if let Pending::Get {
                token, sure, since, ..
            } = pending
            {
                if *token == of {
                    *sure = ok;
                    // A no is answered at once, as what has waited too long is.
                    *since = if ok { *since } else { 0 };
                }
            }
        }
    }

    /// What the view before was sure of is not known of the next one.
    pub(super) fn unsure(&mut self) {
        for pending in &mut self.pending {
            if let Pending::Get { sure, since, .. } = pending {
                (*sure, *since) = (false, 0);
            }
        }
    }

    /// Answers those for whom what they wait for has become true, or too late.
    pub(super) fn answer(&mut self, now: Millis) {
        if self.pending.is_empty() {
            return;
        }
        for pending in std::mem::take(&mut self.pending) {
            match self.outcome(now, &pending) {
                None => self.pending.push(pending),
                Some(answer) => {
                    let (Pending::Put { call, .. }
                    | Pending::Get { call, .. }
                    | Pending::Lost { call, .. }
                    | Pending::Drain { call, .. }
                    | Pending::Retire { call, .. }) = pending;
                    self.reply(call, answer);
                }
            }
        }
    }

    /// The answer to an order that lost; none while what it lost to is not kept yet.
    fn lost(
        &self,
        now: Millis,
        base: u64,
        digest: &[u8; 32],
        number: u64,
        since: Millis,
    ) -> Option<Answer> {
        let control = self.node.state_machine();
        let taken = control.took(base, digest).is_some() || control.gen() == base;
        let leads = self.can_commit();
        if leads && !taken && self.node.committed_with_members(self.least()) >= number {
            let what = format!("version {} is in place, not {base}", control.gen());
            return Some(Answer::refused(412, 1311, &what));
        }
        let over = taken || !self.node.is_head() || now > since + WAITING_MOST;
        over.then(|| {
            Answer::refused(
                503,
                1313,
                "whether it was taken is open: send it again unchanged",
            )
        })
    }

    /// The answer to what waits; none while it is open.
    fn outcome(&self, now: Millis, pending: &Pending) -> Option<Answer> {
        match pending {
            Pending::Put {
                change,
                number,
                since,
                ..
            } => {
                let active = self
                    .state_table
                    .get("config/active")
                    .map_or(0, |f| f.stamp.0);
                let leads = self.node.is_head();
                let taken =
                    self.node.state_machine().took(change.base, &change.digest) == Some(change.gen);
                // That its number is in force says nothing by itself: another controller may lead by now, and may have taken
                // another change under the same number.
                let kept = self.node.committed_with_members(self.least()) >= *number;
                if active >= change.gen && taken && kept && leads {
                    return Some(Answer::ok());
                }
                let over = !taken || !leads || now > since + WAITING_MOST;
                let what = "whether it was taken is open: send it again unchanged";
                over.then(|| Answer::refused(503, 1313, what))
            }
            Pending::Get {
                sure,
                number,
                since,
                ..
            } => {
                let held = self.node.committed() >= *number.max(&self.node.last_received());
                if *sure && held && self.node.is_tail() {
                    return Some(match &self.node.state_machine().config {
                        Some((_, body)) => Answer::body(body.clone()),
                        None => Answer::refused(404, 1314, "there is no configuration yet"),
                    });
                }
                let over = !self.node.is_tail() || now > since + STALE;
                over.then(out_of_touch)
            }
            Pending::Lost {
                base,
                digest,
                number,
                since,
                ..
            } => self.lost(now, *base, digest, *number, *since),
            Pending::Drain {
                key, stamp, since, ..
            } => {
                if self.majority_has(key, *stamp) {
                    return Some(Answer::ok());
                }
                let over = now > since + DRAIN_WITHIN;
                over.then(|| Answer::refused(503, 1321, "too few other controllers know of it yet"))
            }
            Pending::Retire { number, since, .. } => {
                if self.map.as_ref().is_some_and(|m| m.number >= *number) {
                    return Some(Answer::ok());
                }
                let over = now > since + WAITING_MOST;
                over.then(|| {
                    Answer::refused(503, 1313, "whether it was taken is open: send it again")
                })
            }
        }
    }
}
