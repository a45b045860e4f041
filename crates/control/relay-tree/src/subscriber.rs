//! The sending side of one subscription: what the subscriber has, what is in flight to it, what it
//! gets next.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;

use crate::anti_entropy::{encode_equal_buckets, EQUAL_BUCKETS_KEY};
use crate::entry::{Stamp, StateEntry};
use crate::message::{
    Item, Message, Position, Subscribe, Update, UpdateHeader, BUCKETS, FULL_COPY, FULL_COPY_END,
    GAP, PEER,
};
use crate::table::{bucket, Origin, Sender, Table, TableEntry};
use crate::{Ms, CHUNK_BYTES, SEND_WINDOW_BYTES, SUBSCRIBER_TIMEOUT_MS};

/// A table that has run for less than this gives no full copies: it may not have received
/// everything yet.
const FULL_COPY_AFTER_MS: Ms = 10_000;
/// Bytes of a message beside its entries, for the send window.
const MESSAGE_OVERHEAD_BYTES: usize = 64;

#[derive(Debug)]
pub(crate) struct Subscriber {
    pub incarnation: u64,
    pub id: u64,
    pub peer: bool,
    pub last_received: Ms,
    /// The newest `sent_at` of its subscriptions, by its clock.
    sent_at: u64,
    /// When that subscription came.
    sent_at_received: Ms,
    pub descendants: u32,
    /// All changes up to this sequence number of this table have arrived at it.
    pub received_seq: u64,
    /// And at all tables below it.
    pub subtree_received_seq: u64,
    /// `subtree_received_seq` below this number doesn't count: chunks were sent from a table that
    /// had newer changes already.
    subtree_valid_from: u64,
    sent: Position,
    /// The sequence number of the value that is being sent in chunks.
    chunked_seq: u64,
    epoch: u32,
    serial: u32,
    /// Serial and bytes of the messages that aren't acknowledged yet.
    in_flight: VecDeque<(u32, usize)>,
    in_flight_bytes: usize,
    copy: CopyState,
    pub heartbeat_due: bool,
}

/// The copy of what a table held when the subscriber began at its first sequence number.
#[derive(Debug, Default)]
struct CopyState {
    /// Buckets that the subscriber holds already, for sequence numbers up to `end_seq`.
    equal_buckets: Option<Box<[bool; BUCKETS]>>,
    /// Which these are is still to be sent: the subscriber compares all that it holds.
    send_equal_buckets: bool,
    /// It names everything, so that the subscriber can remove the rest.
    full: bool,
    /// The newest sequence number that belongs to it.
    end_seq: u64,
}

/// What the table says about itself in each message.
#[derive(Clone, Copy)]
pub(crate) struct TableStatus {
    pub now: Ms,
    pub started_at: Ms,
    pub incarnation: u64,
    pub staleness: Ms,
    pub root_contact_age: Ms,
}

/// Encoded entries of a message.
#[derive(Clone)]
struct Entries {
    count: u32,
    body: Bytes,
}

/// Entries that several subscribers at the same position get alike.
struct SharedEntries {
    from_seq: u64,
    to_seq: u64,
    entries: Entries,
}

/// The entries that were encoded for other subscribers in the same turn.
#[derive(Default)]
pub(crate) struct SharedBodies(Vec<SharedEntries>);

impl Subscriber {
    pub(crate) fn new() -> Self {
        Subscriber {
            incarnation: 0,
            id: 0,
            peer: false,
            last_received: 0,
            sent_at: 0,
            sent_at_received: 0,
            descendants: 0,
            received_seq: 0,
            subtree_received_seq: 0,
            subtree_valid_from: 0,
            sent: Position::default(),
            chunked_seq: 0,
            epoch: 0,
            serial: 0,
            in_flight: VecDeque::new(),
            in_flight_bytes: 0,
            copy: CopyState::default(),
            heartbeat_due: true,
        }
    }

    pub(crate) fn is_timed_out(&self, now: Ms) -> bool {
        now.saturating_sub(self.last_received) > SUBSCRIBER_TIMEOUT_MS
    }

    /// Takes a subscription in; true if what its subtree has received has grown. `epochs`: the
    /// newest epoch of the table.
    pub(crate) fn renew(
        &mut self,
        status: &TableStatus,
        table: &Table,
        epochs: &mut u32,
        msg: &Subscribe,
    ) -> bool {
        let known = msg.incarnation == self.incarnation && msg.incarnation != 0;
        if known && msg.sent_at < self.sent_at {
            // An older one that was delayed.
            return false;
        }
        if !known {
            *self = Subscriber {
                incarnation: msg.incarnation,
                heartbeat_due: true,
                ..Subscriber::new()
            };
        }
        self.last_received = status.now;
        (self.sent_at, self.sent_at_received) = (msg.sent_at, status.now);
        self.peer = msg.has(PEER);
        self.id = msg.id;
        self.descendants = msg.descendants;
        let ours = msg.parent_incarnation == status.incarnation;
        let received_seq = if ours {
            msg.received_seq.min(table.seq())
        } else {
            0
        };
        // Tombstones expire: who has received too little for them begins anew.
        let from = if received_seq < table.expired_seq() {
            Position::default()
        } else {
            let bytes = if ours { msg.received_bytes } else { 0 };
            Position {
                seq: received_seq,
                bytes,
            }
        };
        let gap = msg.has(GAP) && msg.epoch == self.epoch;
        if !known || gap || (!ours && self.received_seq > 0) {
            self.restart(status, table, epochs, msg, from);
        } else if self.sent.seq < table.expired_seq() && self.sent.seq >= self.copy.end_seq {
            self.restart(status, table, epochs, msg, Position::default());
        }
        if msg.epoch == self.epoch {
            self.acknowledge(msg.received_serial);
        }
        self.received_seq = received_seq;
        let subtree = if ours {
            msg.subtree_received_seq.min(received_seq)
        } else {
            0
        };
        self.update_subtree(subtree)
    }

    /// Takes in what the subtree has received; true if that has grown.
    fn update_subtree(&mut self, seq: u64) -> bool {
        let grown = seq > self.subtree_received_seq && seq >= self.subtree_valid_from;
        if seq >= self.subtree_valid_from {
            self.subtree_received_seq = seq;
        } else if seq < self.subtree_received_seq {
            // A new table hangs below it, and such a number says nothing certain about that one.
            self.subtree_received_seq = 0;
        }
        grown
    }

    /// Sends on from a position, in a new epoch.
    fn restart(
        &mut self,
        status: &TableStatus,
        table: &Table,
        epochs: &mut u32,
        msg: &Subscribe,
        from: Position,
    ) {
        *epochs = epochs.wrapping_add(1);
        self.epoch = *epochs;
        self.serial = 0;
        self.in_flight.clear();
        self.in_flight_bytes = 0;
        self.sent = from;
        self.chunked_seq = 0;
        self.heartbeat_due = true;
        self.subtree_valid_from = table.seq();
        if from.bytes > 0 {
            // The value must still be the next one, else it is sent from its beginning.
            match table
                .after(from.seq)
                .find(|known| known.entry.value_len() > CHUNK_BYTES)
            {
                Some(known) => self.chunked_seq = known.seq,
                None => self.sent.bytes = 0,
            }
        }
        if from.seq != 0 {
            return;
        }
        self.subtree_received_seq = 0;
        self.copy.end_seq = table.seq();
        let old_enough = status.now.saturating_sub(status.started_at) >= FULL_COPY_AFTER_MS;
        self.copy.full = msg.has(FULL_COPY) && old_enough && self.copy.end_seq > 0;
        self.copy.send_equal_buckets = self.copy.full && !msg.digest.is_empty();
        self.copy.equal_buckets = (!msg.digest.is_empty()).then(|| {
            let mut equal = Box::new([false; BUCKETS]);
            for ((equal, theirs), ours) in equal.iter_mut().zip(&msg.digest).zip(table.sums()) {
                *equal = theirs == ours;
            }
            equal
        });
    }

    /// The messages up to this serial have arrived.
    fn acknowledge(&mut self, received_serial: u32) {
        while let Some((serial, bytes)) = self.in_flight.front().copied() {
            if serial > received_serial {
                break;
            }
            self.in_flight.pop_front();
            self.in_flight_bytes = self.in_flight_bytes.saturating_sub(bytes);
        }
    }

    /// The next message, if one is due.
    pub(crate) fn next_message(
        &mut self,
        addr: SocketAddr,
        status: &TableStatus,
        table: &Table,
        shared: &mut SharedBodies,
    ) -> Option<Message> {
        let newest_seq = table.seq();
        let has_window = self.in_flight_bytes < SEND_WINDOW_BYTES;
        let has_more = self.sent.seq < newest_seq && has_window;
        if !has_more && !self.heartbeat_due {
            return None;
        }
        self.heartbeat_due = false;
        let from = self.sent;
        let Entries { count, body } = if has_more {
            self.next_entries(addr, table, shared)
        } else {
            Entries {
                count: 0,
                body: Bytes::new(),
            }
        };
        let copying = self.copy.full && from.seq < self.copy.end_seq;
        let mut flags = if copying { FULL_COPY } else { 0 };
        if copying && self.sent.seq >= self.copy.end_seq {
            flags |= FULL_COPY_END;
        }
        if self.sent.seq >= self.copy.end_seq {
            self.copy.equal_buckets = None;
        }
        if self.sent.seq < newest_seq {
            self.subtree_valid_from = newest_seq;
        }
        if self.sent != from {
            let bytes = body.len() + MESSAGE_OVERHEAD_BYTES;
            self.serial = self.serial.saturating_add(1);
            self.in_flight.push_back((self.serial, bytes));
            self.in_flight_bytes += bytes;
        }
        let header = self.header(status, from, newest_seq, flags);
        let header = UpdateHeader {
            entry_count: count,
            ..header
        };
        Some(Message::Update(Update { header, body }))
    }

    /// The header of a message that leads from there to what is sent now, without entries.
    fn header(
        &self,
        status: &TableStatus,
        from: Position,
        newest_seq: u64,
        flags: u8,
    ) -> UpdateHeader {
        UpdateHeader {
            incarnation: status.incarnation,
            to_incarnation: self.incarnation,
            epoch: self.epoch,
            serial: self.serial,
            from_seq: from.seq,
            from_bytes: from.bytes,
            to_seq: self.sent.seq,
            to_bytes: self.sent.bytes,
            newest_seq,
            staleness_ms: saturating_u32(status.staleness),
            root_contact_ms: saturating_u32(status.root_contact_age),
            echo: self.sent_at,
            echo_delay_ms: saturating_u32(status.now.saturating_sub(self.sent_at_received)),
            flags,
            entry_count: 0,
        }
    }

    /// Whether the subscriber needs this entry: not what it sent itself, nor what it holds by its
    /// digest.
    fn needs(&self, addr: SocketAddr, known: &TableEntry) -> bool {
        let itself = Origin::Received(Sender {
            addr,
            incarnation: self.incarnation,
        });
        if known.origin == itself && !self.copy.full {
            return false;
        }
        match &self.copy.equal_buckets {
            Some(equal) if known.seq <= self.copy.end_seq => !equal
                .get(bucket(&known.entry.key))
                .copied()
                .unwrap_or(false),
            _ => true,
        }
    }

    /// The entries from the position on, up to a chunk's size; moves on behind them.
    fn next_entries(
        &mut self,
        addr: SocketAddr,
        table: &Table,
        shared: &mut SharedBodies,
    ) -> Entries {
        let from = self.sent;
        // What others got from the same position is the same, unless something is left out for this
        // one.
        let shareable = !self.peer && self.copy.equal_buckets.is_none() && from.bytes == 0;
        if !shareable {
            return self.encode_entries(addr, table);
        }
        if let Some(known) = shared.0.iter().find(|known| known.from_seq == from.seq) {
            self.sent = Position {
                seq: known.to_seq,
                bytes: 0,
            };
            return known.entries.clone();
        }
        let entries = self.encode_entries(addr, table);
        // A first chunk of a large value isn't shared: it ends within the value.
        if self.sent.bytes == 0 {
            let (to_seq, entries) = (self.sent.seq, entries.clone());
            shared.0.push(SharedEntries {
                from_seq: from.seq,
                to_seq,
                entries,
            });
        }
        entries
    }

    fn encode_entries(&mut self, addr: SocketAddr, table: &Table) -> Entries {
        let mut body = Vec::new();
        let mut count = 0;
        let mut to_seq = self.sent.seq;
        let mut all = true;
        if std::mem::take(&mut self.copy.send_equal_buckets) {
            let equal = self.copy.equal_buckets.as_deref();
            let value = equal.map(|equal| encode_equal_buckets(equal).into());
            let key = EQUAL_BUCKETS_KEY.into();
            Item::encode(
                &StateEntry {
                    key,
                    stamp: Stamp::default(),
                    value,
                },
                None,
                &mut body,
            );
            count += 1;
        }
        for known in table.after(self.sent.seq) {
            if !self.needs(addr, known) {
                to_seq = known.seq;
                continue;
            }
            let large = known.entry.value_len() > CHUNK_BYTES;
            let fits = body.len() + known.entry.approximate_size() <= CHUNK_BYTES;
            if !body.is_empty() && (large || !fits) {
                all = false;
                break;
            }
            if large {
                return self.next_chunk(known, to_seq);
            }
            Item::encode(&known.entry, None, &mut body);
            count += 1;
            to_seq = known.seq;
        }
        if all {
            to_seq = table.seq();
        }
        self.sent = Position {
            seq: to_seq,
            bytes: 0,
        };
        Entries {
            count,
            body: Bytes::from(body),
        }
    }

    /// Encodes a chunk of a large value; all entries before it, up to `before_seq`, are sent.
    fn next_chunk(&mut self, known: &TableEntry, before_seq: u64) -> Entries {
        let (entry, seq) = (&known.entry, known.seq);
        let len = entry.value_len();
        // Another value than the one begun was superseded meanwhile: this one is sent from its
        // beginning.
        let start = if self.chunked_seq == seq {
            (self.sent.bytes as usize).min(len)
        } else {
            0
        };
        let end = (start + CHUNK_BYTES).min(len);
        let mut body = Vec::with_capacity(end - start + MESSAGE_OVERHEAD_BYTES + entry.key.len());
        Item::encode(entry, Some(&(start..end)), &mut body);
        self.chunked_seq = seq;
        self.sent = if end >= len {
            Position { seq, bytes: 0 }
        } else {
            Position {
                seq: before_seq,
                bytes: end as u32,
            }
        };
        Entries {
            count: 1,
            body: Bytes::from(body),
        }
    }
}

fn saturating_u32(ms: Ms) -> u32 {
    u32::try_from(ms).unwrap_or(u32::MAX)
}
