//! The choice of the next view: the real rule, over what was last heard of each machine.

use chain_replication::{next_view, remaining_members_recently_seen, Member, Observation, View};

use super::{Joining, World, FAILURE_TIMEOUT, KEPT_LOG_BYTES, LEAST, MS, WANTED};

impl World {
    pub(super) fn tick(&mut self) {
        for seat in 0..self.seats.len() {
            let now = self.now;
            if self.seats[seat].starts_at.is_some_and(|at| at <= now) {
                self.start(seat);
            }
            let current = self.view.clone();
            let cut = self.cut(seat);
            let Some(process) = self.seats[seat].process.as_mut() else {
                continue;
            };
            process.node.tick(now / MS);
            if !cut
                && process
                    .node
                    .view()
                    .is_none_or(|v| v.number < current.number)
            {
                process.node.install_view(now / MS, current);
            }
            self.drain(seat);
        }
        self.check();
        self.choose_view();
        for seat in 0..self.seats.len() {
            if self.cut(seat) {
                continue;
            }
            let now = self.now;
            let s = &mut self.seats[seat];
            if let Some(process) = &s.process {
                s.heard_at = now;
                s.status = process.node.status();
            }
        }
    }

    /// The rule is the real one; what it sees is a tick old.
    pub(super) fn choose_view(&mut self) {
        let Some(next) = next_view(&self.view, &self.seen(), WANTED, LEAST) else {
            return;
        };
        let silent = |m: &Member| (self.now - self.seats[self.seat_of(m.addr)].heard_at) / MS;
        if !remaining_members_recently_seen(&self.view, &next, &silent) {
            return;
        }
        let acked = self.acked.last_key_value().map_or(0, |(number, _)| *number);
        self.acked_at_view.insert(next.number, acked);
        self.figures.views += 1;
        self.note_joiners(&next);
        let before = std::mem::replace(&mut self.view, next);
        if self.terms.strikes_at_promotion && self.troubles {
            self.strike_all_but_the_promoted(&before);
        }
    }

    fn seen(&self) -> Vec<Observation> {
        let seats = self.seats.iter().enumerate();
        seats
            .map(|(zone, s)| {
                let mut status = s.status;
                if self.faults.claims_entitled {
                    status.in_sync_view = u64::MAX;
                }
                Observation {
                    member: Member {
                        id: s.id,
                        addr: s.addr,
                        since: 0,
                    },
                    alive: self.now - s.heard_at <= FAILURE_TIMEOUT && s.id == status.id,
                    status: Some(status).filter(|status| status.id == s.id),
                    zone: zone as u64,
                    draining: false,
                    retiring: false,
                }
            })
            .collect()
    }

    /// Who joins by the next view, and who has been made a member: in what time, and with how many
    /// bytes.
    fn note_joiners(&mut self, next: &View) {
        let (now, proposed_bytes) = (self.now, self.proposed_bytes);
        let snapshot = (self.terms.change_bytes + self.terms.filler) as u64;
        let mut too_much = None;
        for s in &mut self.seats {
            let is = |m: &&Member| m.addr == s.addr && m.id == s.id;
            let promoted = next.members.iter().any(|m| is(&m));
            if let (true, Some(joined)) = (promoted, s.joining) {
                // A snapshot, or the log that is kept; the changes since; all of it perhaps twice,
                // where frames were lost.
                let most = 2 * (snapshot + KEPT_LOG_BYTES + proposed_bytes - joined.proposed_bytes);
                if joined.disturbed == joined.since && joined.bytes > most {
                    let (who, sent) = (s.addr, joined.bytes);
                    too_much = Some(format!(
                        "{who} was sent {sent} bytes to catch up, {most} are enough"
                    ));
                }
                let took = now.saturating_sub(joined.disturbed);
                self.figures.caught_up += 1;
                self.figures.longest_catch_up = self.figures.longest_catch_up.max(took);
                self.figures.most_catch_up_bytes =
                    self.figures.most_catch_up_bytes.max(joined.bytes);
            }
            s.joining = match (next.joining.iter().any(|m| is(&m)), s.joining) {
                (true, None) => Some(Joining {
                    since: now,
                    disturbed: now,
                    bytes: 0,
                    proposed_bytes,
                }),
                (true, Some(joining)) => Some(Joining {
                    disturbed: joining.disturbed.max(now),
                    ..joining
                }),
                (false, _) => None,
            };
        }
        if let Some(what) = too_much {
            self.broke(what);
        }
    }

    /// All members lose power but for those that the present view has just made members.
    fn strike_all_but_the_promoted(&mut self, before: &View) {
        let was_joining = |s: &usize| {
            let seat = &self.seats[*s];
            before
                .joining
                .iter()
                .any(|m| m.addr == seat.addr && m.id == seat.id)
        };
        let members = (0..self.seats.len()).filter(|s| self.is_member(*s));
        let (promoted, others): (Vec<usize>, Vec<usize>) = members.partition(was_joining);
        if promoted.is_empty() {
            return;
        }
        for seat in others {
            let back = (3_000 + self.below(2_000)) * MS;
            self.stop(seat, true, Some(back));
        }
    }
}
