//! Messages to other tables: updates to subscribers, subscriptions to parents.

use std::net::SocketAddr;

use crate::message::{Message, Subscribe, FULL_COPY, GAP, PEER, REPLY_NOW};
use crate::parent::{ParentLink, Urgency, REMEMBER_MS};
use crate::state_table::{Follow, Role, StateTable};
use crate::subscriber::SharedBodies;
use crate::{Ms, HEARTBEAT_MS};

/// Interval of a subscription until the parent sends something for the first time: a parent that
/// starts together with this process missed what was sent before it listened.
const UNANSWERED_INTERVAL_MS: Ms = 50;
/// From so many entries on, a digest (2 KiB) is sent before everything is copied.
const MIN_DIGEST_ENTRIES: usize = 64;

/// The tables below this one.
struct Subtree {
    descendants: u32,
    /// What all of them have received, in this table's sequence numbers; `None`: there is nobody.
    received_seq: Option<u64>,
}

/// What a subscription says for all parents alike.
struct Subscription {
    now: Ms,
    incarnation: u64,
    id: u64,
    subtree: Subtree,
    /// The sender is a controller.
    peer: bool,
    /// What is held is too old to be compared.
    outdated: bool,
    live_entries: usize,
}

impl StateTable {
    /// Takes the messages that are to be sent now.
    pub fn take_messages(&mut self) -> Vec<(SocketAddr, Message)> {
        let mut messages = std::mem::take(&mut self.queued);
        if self.closed {
            return messages;
        }
        let now = self.now;
        self.subscribe(now, &mut messages);
        let status = self.status(now);
        let mut shared = SharedBodies::default();
        for (addr, subscriber) in &mut self.subscribers {
            while let Some(message) =
                subscriber.next_message(*addr, &status, &self.table, &mut shared)
            {
                messages.push((*addr, message));
            }
        }
        messages
    }

    fn subtree(&self) -> Subtree {
        let children = self
            .subscribers
            .values()
            .filter(|subscriber| !subscriber.peer);
        let none = Subtree {
            descendants: 0,
            received_seq: None,
        };
        children.fold(none, |subtree, child| {
            let seq = child.subtree_received_seq;
            Subtree {
                descendants: subtree
                    .descendants
                    .saturating_add(1)
                    .saturating_add(child.descendants),
                received_seq: Some(subtree.received_seq.map_or(seq, |least| least.min(seq))),
            }
        })
    }

    fn subscribe(&mut self, now: Ms, messages: &mut Vec<(SocketAddr, Message)>) {
        let subscription = Subscription {
            now,
            incarnation: self.incarnation,
            id: self.id,
            subtree: self.subtree(),
            peer: self.follow == Follow::All,
            outdated: self.role == Role::Relay && self.staleness(now) > REMEMBER_MS,
            live_entries: self.table.live(),
        };
        for link in &mut self.links {
            let followed = subscription.peer || self.choice.uses(link.addr);
            let unanswered = link.last_received.is_none();
            let interval = if unanswered {
                UNANSWERED_INTERVAL_MS
            } else {
                HEARTBEAT_MS
            };
            let due = link
                .last_subscribed
                .is_none_or(|at| now.saturating_sub(at) >= interval);
            // Not before the next tick after the last one, so that many changes are acknowledged
            // together.
            let soon = link.pending.urgency >= Urgency::NextTick && self.last_tick == Some(now);
            if followed && (due || soon || link.pending.urgency == Urgency::Now) {
                let message = subscription.to(link, self.table.sums());
                messages.push((link.addr, Message::Subscribe(message)));
            }
        }
    }
}

impl Subscription {
    /// The subscription to one parent.
    fn to(&self, link: &mut ParentLink, sums: &[u64]) -> Subscribe {
        let position = link.position();
        let first = position.seq == 0 && position.bytes == 0;
        let full_copy = first && (self.outdated || link.comparing) && self.live_entries > 0;
        let many = self.live_entries >= MIN_DIGEST_ENTRIES;
        let digest = first && (link.comparing || !full_copy && many);
        let pending = std::mem::take(&mut link.pending);
        let flags = [
            (self.peer, PEER),
            (pending.gap, GAP),
            (full_copy, FULL_COPY),
            (pending.request_reply, REPLY_NOW),
        ];
        link.last_subscribed = Some(self.now);
        Subscribe {
            incarnation: self.incarnation,
            id: self.id,
            parent_incarnation: link.incarnation,
            received_seq: position.seq,
            received_bytes: position.bytes,
            subtree_received_seq: link.subtree_received_seq(self.subtree.received_seq),
            descendants: self.subtree.descendants,
            sent_at: self.now,
            epoch: link.epoch,
            received_serial: link.received_serial,
            flags: flags
                .iter()
                .filter(|(set, _)| *set)
                .map(|(_, flag)| flag)
                .sum(),
            digest: if digest { sums.to_vec() } else { Vec::new() },
        }
    }
}
