//! Troubles at random: ends, losses of power, cuts, wiped disks.

use super::{World, LEAST, MS};

impl World {
    /// A disk is taken, or a machine goes, only while two others are in sync: the budget is one
    /// machine.
    pub(super) fn safe_to_lose(&self, seat: usize) -> bool {
        let others = (0..self.seats.len())
            .filter(|s| *s != seat && self.is_member(*s))
            .filter(|s| {
                let fine = !self.cut(*s) && self.now - self.seats[*s].heard_at < 300 * MS;
                fine && self
                    .process(*s)
                    .is_some_and(|p| p.node.status().in_sync_view == self.view.number)
            });
        let away = (0..self.seats.len())
            .filter(|s| self.is_member(*s) && (self.process(*s).is_none() || self.cut(*s)))
            .count();
        others.count() >= LEAST && away == 0
    }

    pub(super) fn trouble(&mut self) {
        let seat = self.below(self.seats.len() as u64) as usize;
        if self.process(seat).is_none() || self.cut(seat) {
            return;
        }
        let safe = self.safe_to_lose(seat);
        let back = (50 + self.below(6_000)) * MS;
        match self.below(10) {
            0..=2 => self.stop(seat, false, Some(back)),
            3 | 4 => self.stop(seat, true, Some(back)),
            5 | 6 => self.cut_off(seat, back),
            7 | 8 if safe => self.wipe(seat, back / 4),
            9 => {
                for seat in 0..self.seats.len() {
                    let back = (200 + self.below(400)) * MS;
                    if self.process(seat).is_some() {
                        self.stop(seat, true, Some(back));
                    }
                }
            }
            _ => {}
        }
    }
}
