//! Messages of other tables: subscriptions from below, updates from above.

use std::net::SocketAddr;

use crate::anti_entropy::{decode_equal_buckets, EQUAL_BUCKETS_KEY};
use crate::message::{
    Item, Message, Position, Subscribe, Update, UpdateHeader, FULL_COPY, FULL_COPY_END, REPLY_NOW,
};
use crate::parent::Urgency;
use crate::state_table::{Follow, Role, StateTable};
use crate::subscriber::Subscriber;
use crate::table::{bucket, Origin, Sender, TableEntry};
use crate::{Ms, HEARTBEAT_MS, MAX_STALENESS_MS, MAX_SUBSCRIBERS};

/// How an update stands to what was received before.
#[derive(Clone, Copy)]
struct Arrival {
    from: SocketAddr,
    header: UpdateHeader,
    /// Up to where the parent's changes had arrived before it.
    before: Position,
    /// It is of the newest epoch.
    current: bool,
    /// The full copy that it is part of; 0 for none.
    copy: u32,
}

impl StateTable {
    /// Handles a message of another table, whatever it holds.
    pub fn handle_message(&mut self, now: Ms, from: SocketAddr, message: Message) {
        self.advance_clock(now);
        if from == self.me || self.closed {
            return;
        }
        match message {
            Message::Subscribe(subscribe) => self.handle_subscribe(now, from, &subscribe),
            Message::Update(update) => self.handle_update(now, from, &update),
            Message::Unsubscribe { incarnation } => {
                let known = self.subscribers.get(&from);
                if known.is_some_and(|subscriber| subscriber.incarnation == incarnation) {
                    self.subscribers.remove(&from);
                }
            }
        }
    }

    fn handle_subscribe(&mut self, now: Ms, from: SocketAddr, subscribe: &Subscribe) {
        if !self.subscribers.contains_key(&from) && self.subscribers.len() >= MAX_SUBSCRIBERS {
            return;
        }
        let status = self.status(now);
        let subscriber = self.subscribers.entry(from).or_insert_with(Subscriber::new);
        let grown = subscriber.renew(&status, &self.table, &mut self.epochs, subscribe);
        subscriber.heartbeat_due |= subscribe.has(REPLY_NOW);
        if grown {
            for link in &mut self.links {
                link.pending.raise(Urgency::NextTick);
            }
        }
    }

    fn handle_update(&mut self, now: Ms, from: SocketAddr, update: &Update) {
        let Ok(items) = update.items() else {
            self.malformed_messages += 1;
            return;
        };
        let header = update.header;
        let followed = self.follows(from);
        let link = self.links.iter_mut().find(|link| link.addr == from);
        let Some(link) = link.filter(|_| header.to_incarnation == self.incarnation) else {
            self.ignored_messages += 1;
            return;
        };
        let (root_contact_age, staleness) = (link.root_contact_age(now), link.staleness(now));
        let current = link.handle_header(now, &header);
        if current && header.has(FULL_COPY) && header.from() == Position::default() {
            self.copies = self.copies.wrapping_add(1).max(1);
            link.copy = self.copies;
        }
        let copy = if header.has(FULL_COPY) { link.copy } else { 0 };
        let arrival = Arrival {
            from,
            header,
            before: link.position(),
            current,
            copy,
        };
        let any = !items.is_empty();
        self.merge_items(now, &arrival, items);
        let Some(link) = self.links.iter_mut().find(|link| link.addr == from) else {
            return;
        };
        if header.to_seq < header.newest_seq {
            link.pending.raise(Urgency::Now);
        } else if any {
            if self.follow == Follow::All {
                link.pending.raise(Urgency::Now);
            }
            link.pending.raise(Urgency::NextTick);
        }
        // Fresh state goes on down at once, so that staleness doesn't add up level by level; and so
        // does the first fresh state after none, for which those below wait.
        let good = followed && link.is_fresh(now);
        let late = now + HEARTBEAT_MS >= self.next_heartbeat + HEARTBEAT_MS * 4 / 5;
        let recovered = root_contact_age > MAX_STALENESS_MS
            || staleness > MAX_STALENESS_MS && link.staleness(now) <= MAX_STALENESS_MS;
        if good && self.role == Role::Relay && (late || recovered) {
            self.heartbeat_all(now);
        }
    }

    /// Merges the entries of an update and advances the position in the parent's changes.
    fn merge_items(&mut self, now: Ms, arrival: &Arrival, items: Vec<Item>) {
        let Arrival {
            from,
            header,
            before,
            current,
            copy,
        } = *arrival;
        let Some(link) = self.links.iter_mut().find(|link| link.addr == from) else {
            return;
        };
        let origin = Origin::Received(Sender {
            addr: from,
            incarnation: header.incarnation,
        });
        // Chunks behind a gap would count as bytes of a value that comes earlier.
        let contiguous = current && header.from() <= before;
        let mut missing = false;
        for item in items {
            if item.key == EQUAL_BUCKETS_KEY {
                link.equal_buckets = item.value.as_deref().and_then(decode_equal_buckets);
                continue;
            }
            let value = match item.chunk {
                None => item.value.clone(),
                Some(chunk) if contiguous => match link.append_chunk(&item, chunk) {
                    Ok(Some(value)) => Some(value),
                    Ok(None) => continue,
                    Err(_) => {
                        missing = true;
                        continue;
                    }
                },
                Some(_) => continue,
            };
            self.table.merge(now, item.into_entry(value), origin, copy);
        }
        if missing {
            link.pending.gap = true;
            link.pending.raise(Urgency::Now);
        } else if current {
            link.advance(before, &header, self.table.seq());
            if header.has(FULL_COPY_END) && !link.pending.gap && copy != 0 {
                self.finish_copy(now, arrival);
            }
        }
    }

    /// A full copy has arrived: what it doesn't name, the parent doesn't know.
    fn finish_copy(&mut self, now: Ms, arrival: &Arrival) {
        let link = self.links.iter_mut().find(|link| link.addr == arrival.from);
        let Some(link) = link else { return };
        let settled_seq = self.anti_entropy.settled_seq(now);
        match (link.comparing, link.equal_buckets.take()) {
            (false, _) => self.table.remove_unnamed(arrival.copy, |_| false),
            (true, Some(equal)) => {
                let same = |known: &TableEntry| {
                    equal.get(bucket(&known.entry.key)).copied().unwrap_or(true)
                };
                let keep = |known: &TableEntry| same(known) || known.seq > settled_seq;
                self.table.remove_unnamed(arrival.copy, keep);
            }
            // A parent that doesn't know comparisons has sent everything, as to a table that was
            // out of contact.
            (true, None) => {}
        }
        link.end_comparison();
    }
}
