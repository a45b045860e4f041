//! What must hold at every moment, and in the calm at the end.

use super::{World, MS, WANTED};

impl World {
    pub(super) fn check(&mut self) {
        self.check_head();
        self.check_joiners();
    }

    /// Whoever leads the newest view holds all that was acknowledged.
    pub(super) fn check_head(&mut self) {
        let Some((number, digest)) = self.acked.last_key_value().map(|(n, d)| (*n, *d)) else {
            return;
        };
        let Some(head) = self.view.members.first().map(|m| self.seat_of(m.addr)) else {
            return;
        };
        let Some(process) = self.process(head) else {
            return;
        };
        let entered = process
            .node
            .view()
            .is_some_and(|v| v.number == self.view.number);
        if !entered || !process.node.is_head() {
            return;
        }
        let found = process
            .node
            .state_machine()
            .digests
            .get(number as usize - 1)
            .copied();
        if found != Some(digest) {
            let held = process.node.state_machine().digests.len();
            self.broke(format!(
                "{head} leads view {} with {held} changes, {number} were acknowledged",
                self.view.number
            ));
        }
    }

    /// Whoever says that it is in sync in a view has on its disk all that was acknowledged when the
    /// view was chosen.
    pub(super) fn check_in_sync(&mut self, seat: usize) {
        let Some(process) = self.process(seat) else {
            return;
        };
        let claimed = process.node.status().in_sync_view;
        if claimed <= self.seats[seat].in_sync_checked {
            return;
        }
        self.seats[seat].in_sync_checked = claimed;
        let number = self.acked_at_view.get(&claimed).copied().unwrap_or(0);
        let Some(digest) = self.acked.get(&number).copied() else {
            return;
        };
        let held = self.seats[seat].disk.safe_table();
        if held.digests.get(number as usize - 1).copied() != Some(digest) {
            let held = held.digests.len();
            self.broke(format!(
                "{seat} is in sync in view {claimed} and its disk holds {held} of {number}"
            ));
        }
    }

    /// Whoever joins gets there in time, with no more bytes than that takes.
    pub(super) fn check_joiners(&mut self) {
        let away = |w: &World, s: usize| w.process(s).is_none() || w.cut(s);
        let waits = (0..self.seats.len()).any(|s| self.is_member(s) && away(self, s));
        for seat in 0..self.seats.len() {
            let (now, disturbed) = (self.now, waits || away(self, seat));
            if let Some(joining) = self.seats[seat].joining.as_mut().filter(|_| disturbed) {
                joining.disturbed = now;
            }
            let Some(joining) = self.seats[seat].joining else {
                continue;
            };
            let undisturbed = self.now.saturating_sub(joining.disturbed);
            if undisturbed > self.terms.catch_up_within {
                let node = self
                    .process(seat)
                    .map(|p| (p.node.status(), p.node.view().map(|v| v.number)));
                let members: Vec<_> = (0..self.seats.len())
                    .filter(|s| self.is_member(*s))
                    .map(|s| {
                        (
                            s,
                            self.process(s)
                                .map(|p| (p.node.status(), p.node.is_ready())),
                        )
                    })
                    .collect();
                let (view, ms) = (self.view.number, undisturbed / MS);
                self.broke(format!(
                    "{seat} joins view {view} for {ms} ms: {node:?}; members {members:?}"
                ));
            }
        }
    }

    /// Calm: all are back, the chain is whole, all members hold the same.
    pub fn settle(&mut self) {
        self.troubles = false;
        self.proposing = false;
        let now = self.now;
        for s in &mut self.seats {
            s.cut_until = s.cut_until.min(now);
            s.starts_at = s.starts_at.map(|_| now);
        }
        let whole = |w: &World| {
            let tables: Vec<&Vec<u64>> = (0..w.seats.len())
                .filter(|s| w.is_member(*s))
                .filter_map(|s| w.process(s))
                .filter(|p| p.node.is_active() && p.node.committed() == p.node.last_received())
                .map(|p| &p.node.state_machine().digests)
                .collect();
            w.view.members.len() == WANTED
                && w.view.joining.is_empty()
                && tables.len() == WANTED
                && tables.windows(2).all(|pair| pair[0] == pair[1])
        };
        if !self.until(15_000 * MS, whole) && self.broken.is_none() {
            let states: Vec<_> = (0..self.seats.len())
                .map(|s| self.process(s).map(|p| p.node.status()))
                .collect();
            self.broke(format!("not whole in the calm: {:?} {states:?}", self.view));
        }
        self.check();
    }
}
