//! Processes, their disks and the links between them.

use std::collections::BTreeSet;

use chain_replication::{Effect, Member, Message, MessageBody, Replica};
use rand_pcg::rand_core::RngCore as _;

use super::events::Event;
use super::table::Table;
use super::{kind_of, new_disk, size_of, spoil, Process, Us, World, LINK_QUEUE_BYTES, MS};

impl World {
    pub fn start(&mut self, seat: usize) {
        let now = self.now;
        let s = &mut self.seats[seat];
        s.starts_at = None;
        s.incarnation += 1;
        let recovered = s.disk.start();
        let me = Member {
            id: s.id,
            addr: s.addr,
            since: 0,
        };
        let table = Table {
            filler: self.terms.filler,
            ..Table::default()
        };
        s.process = Some(Process {
            node: Replica::new(me, table, recovered),
            waiting: BTreeSet::new(),
        });
        s.heard_at = now;
        s.in_sync_checked = 0;
        if let Some(what) = self.seats[seat].disk.broken() {
            self.broke(format!("disk of {seat}: {what}"));
        }
        self.disturbed(seat);
        self.begin_sync(seat);
        self.drain(seat);
    }

    /// The process ends; with `power` what was not synced is gone.
    pub fn stop(&mut self, seat: usize, power: bool, back_after: Option<Us>) {
        let now = self.now;
        let s = &mut self.seats[seat];
        s.process = None;
        s.incarnation += 1;
        s.starts_at = back_after.map(|after| now + after);
        if power {
            let dice = self.dice.next_u64();
            s.disk.lose_power(dice);
        } else {
            s.disk.lose_process(0);
        }
        self.disturbed(seat);
    }

    pub fn wipe(&mut self, seat: usize, back_after: Us) {
        self.stop(seat, true, Some(back_after));
        self.next_id += 1;
        self.seats[seat].id = self.next_id;
        self.seats[seat].disk = new_disk(self.next_id, &self.terms, self.faults);
        self.seats[seat].joining = None;
    }

    pub fn cut_off(&mut self, seat: usize, for_us: Us) {
        self.seats[seat].cut_until = self.now + for_us;
        self.disturbed(seat);
    }

    /// The clocks of those who depend on this machine begin anew; so do those of all when the view
    /// changes. A tail copies only once all before it are in sync, so a joiner depends on all
    /// members.
    pub(super) fn disturbed(&mut self, seat: usize) {
        let now = self.now;
        let until = now
            .max(self.seats[seat].cut_until)
            .max(self.seats[seat].starts_at.unwrap_or(0));
        let member = self
            .view
            .members
            .iter()
            .any(|m| m.addr == self.seats[seat].addr);
        for (at, s) in self.seats.iter_mut().enumerate() {
            if let Some(joining) = s.joining.as_mut().filter(|_| member || at == seat) {
                joining.disturbed = joining.disturbed.max(until);
            }
        }
    }

    pub(super) fn synced(&mut self, seat: usize, incarnation: u64) {
        let now = self.now;
        let s = &mut self.seats[seat];
        if s.incarnation != incarnation {
            return;
        }
        let ticket = s.disk.end_sync();
        let Some(process) = s.process.as_mut() else {
            return;
        };
        if let Some(ticket) = ticket {
            process.node.handle_synced(now / MS, ticket);
        }
        self.drain(seat);
        let s = &mut self.seats[seat];
        if let (Some(process), false) = (s.process.as_ref(), self.faults.never_compacts) {
            self.figures.compactions += u64::from(s.disk.compact(&process.node));
        }
        self.figures.largest_ring = self.figures.largest_ring.max(s.disk.used());
        if let Some(what) = s.disk.broken() {
            self.broke(format!("disk of {seat}: {what}"));
        }
        self.begin_sync(seat);
    }

    pub(super) fn begin_sync(&mut self, seat: usize) {
        let s = &mut self.seats[seat];
        let Some(takes) = s.disk.begin_sync() else {
            return;
        };
        let incarnation = s.incarnation;
        self.later(takes, Event::Synced { seat, incarnation });
    }

    pub(super) fn drain(&mut self, seat: usize) {
        loop {
            let now = self.now;
            let Some(process) = self.seats[seat].process.as_mut() else {
                return;
            };
            let effects = process.node.take_effects();
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                match effect {
                    Effect::Send { to, message } => self.send(seat, self.seat_of(to), message),
                    Effect::Write { ticket, record } => {
                        let early = self.faults.synced_early;
                        let s = &mut self.seats[seat];
                        s.disk.write(ticket, record);
                        if let (true, Some(process)) = (early, s.process.as_mut()) {
                            process.node.handle_synced(now / MS, ticket);
                        }
                        self.begin_sync(seat);
                    }
                    Effect::Committed { .. } => {}
                    Effect::SnapshotInstalled => self.figures.snapshots += 1,
                }
            }
        }
        self.acknowledge(seat);
        self.check_in_sync(seat);
    }

    pub(super) fn send(&mut self, from: usize, to: usize, mut message: Message) {
        let bytes = size_of(&message);
        self.figures.bytes += bytes;
        if std::env::var("CATCH_UP_TRACE").is_ok() {
            println!(
                "{} {from}>{to} v{} {}",
                self.now / MS,
                message.view,
                kind_of(&message.body)
            );
        }
        if let Some(joining) = self.seats[to].joining.as_mut() {
            joining.bytes += bytes;
        }
        let part = matches!(message.body, MessageBody::SnapshotChunk(_));
        if self.cut(from) || self.cut(to) || part && self.faults.no_snapshots {
            return;
        }
        let free = self
            .free_at
            .get(&(from, to))
            .copied()
            .unwrap_or(0)
            .max(self.now);
        let queued = (free - self.now) * self.terms.link_rate;
        if queued > 0 && queued + bytes > LINK_QUEUE_BYTES || self.below(1_000) < self.terms.lost {
            return;
        }
        if part && self.terms.spoilt > 0 && self.below(1_000) < self.terms.spoilt {
            spoil(&mut message);
        }
        let arrives = free + bytes / self.terms.link_rate;
        self.free_at.insert((from, to), arrives);
        let jitter = 100 + self.below(600);
        if self.below(1_000) < self.terms.doubled {
            let late = 5_000 + self.below(3_000_000);
            self.later(
                arrives + late - self.now,
                Event::Message {
                    from,
                    to,
                    message: message.clone(),
                },
            );
        }
        self.later(
            arrives + jitter - self.now,
            Event::Message { from, to, message },
        );
    }
}
