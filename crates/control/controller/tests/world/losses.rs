//! Losses in a row: each as early as the budget allows after the one before it, `SyncS` after that
//! one was made good.

use super::{Event, World, SYNC};

/// The ways in which a controller is lost in these days.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Cut off in one of the ways of [`World::cut_off`].
    Cut(u64),
    /// Cut off, with a disk that is full or stalls for a part of that time.
    CutAndDisk {
        full: bool,
    },
    Killed,
    PowerOff,
    WipedDisk,
    /// Gone; an empty machine takes its place later.
    Replaced,
    /// Gone once an empty machine has been there for `SyncS`.
    ReplacedAsPlanned,
    FullDisk,
    StalledDisk,
    Frozen,
    /// All of its zone: cut off, killed, or without power.
    Zone {
        how: u64,
    },
}

const WAYS: [Way; 10] = [
    Way::Cut(0),
    Way::CutAndDisk { full: true },
    Way::Killed,
    Way::PowerOff,
    Way::WipedDisk,
    Way::Replaced,
    Way::ReplacedAsPlanned,
    Way::FullDisk,
    Way::StalledDisk,
    Way::Frozen,
];

/// Shortest and longest span of a loss that isn't a long cut, in ms.
const SPAN: (u64, u64) = (400, 6_000);
/// In so many of a thousand a cut lasts for twenty seconds and more.
const LONG_CUT: u64 = 300;

impl World {
    /// Looks whether another controller may be lost now, and if so loses one.
    pub fn next_loss(&mut self) {
        let way = self.draw_way();
        let Some(n) = self.draw_victim() else {
            // None may be lost yet.
            self.faults_left += 1;
            self.checker.faults -= 1;
            return self.after(50, Event::Fault);
        };
        if let Way::Zone { how } = way {
            if !self.is_within_budget(&self.zone_and_counted(n)) {
                self.faults_left += 1;
                self.checker.faults -= 1;
                return self.after(50, Event::Fault);
            }
            self.lose_zone(n, how);
        } else {
            self.lose(n, way);
        }
        let soon = if self.dice.permille(500) {
            self.dice.below(50)
        } else {
            self.dice.below(2_500)
        };
        self.after(soon, Event::Fault);
    }

    fn draw_way(&mut self) -> Way {
        if self.plan.budget.zones > 0 && self.dice.permille(400) {
            return Way::Zone {
                how: self.dice.below(3),
            };
        }
        match *self.dice.pick(&WAYS) {
            Way::Cut(_) => Way::Cut(*self.dice.pick(&[0, 1, 2, 3, 6])),
            Way::CutAndDisk { .. } => Way::CutAndDisk {
                full: self.dice.permille(500),
            },
            way => way,
        }
    }

    /// A controller that is well and may be lost beside those that are; mostly a member of the
    /// chain or an acceptor.
    fn draw_victim(&mut self) -> Option<usize> {
        let counted = self.counted();
        let mut well: Vec<usize> = (0..self.controllers.len())
            .filter(|n| self.controllers[*n].is_up() && self.controllers[*n].has_disk)
            .filter(|n| !counted.contains(n) && !self.is_being_replaced(*n))
            .collect();
        well.retain(|n| {
            let mut lost = counted.clone();
            lost.push(*n);
            self.is_within_budget(&lost)
        });
        if well.is_empty() {
            return None;
        }
        let view = self.checker.view.as_ref();
        let named: Vec<usize> = view
            .iter()
            .flat_map(|v| v.view.members.iter().chain(&v.acceptors))
            .filter_map(|m| well.iter().copied().find(|n| self.controllers[*n].is(m)))
            .collect();
        let of = if named.is_empty() || self.dice.permille(150) {
            well
        } else {
            named
        };
        Some(*self.dice.pick(&of))
    }

    /// A successor is there for it already, and it gets SIGTERM soon.
    fn is_being_replaced(&self, n: usize) -> bool {
        self.controllers.iter().any(|k| k.replaces == Some(n)) || self.controllers[n].leaves
    }

    fn zone_of(&self, n: usize) -> Vec<usize> {
        let zone = &self.controllers[n].zone;
        let of_zone =
            |m: &usize| self.controllers[*m].is_up() && self.controllers[*m].zone == *zone;
        (0..self.controllers.len()).filter(of_zone).collect()
    }

    fn zone_and_counted(&self, n: usize) -> Vec<usize> {
        let mut lost = self.counted();
        lost.extend(
            self.zone_of(n)
                .into_iter()
                .filter(|m| self.controllers[*m].has_disk),
        );
        lost.sort_unstable();
        lost.dedup();
        lost
    }

    fn lose_zone(&mut self, n: usize, how: u64) {
        let span = self.dice.between(SPAN.0, SPAN.1);
        self.note(|| format!("the zone of controller {n} is lost ({how}) for {span}"));
        if how == 0 {
            let long = self.dice.between(20_000, 24_000);
            return self.cut_zone(n, self.now + long);
        }
        for m in self.zone_of(n) {
            let back = span + self.dice.below(300);
            if how == 1 {
                self.kill_controller(m, back);
            } else {
                self.power_off(m, back);
            }
        }
    }

    fn lose(&mut self, n: usize, way: Way) {
        let span = self.dice.between(SPAN.0, SPAN.1);
        let cut = if self.dice.permille(LONG_CUT) {
            self.dice.between(20_000, 24_000)
        } else {
            span
        };
        self.note(|| format!("controller {n} is lost: {way:?}, {span} or {cut}"));
        match way {
            Way::Cut(how) => self.cut_off(n, how, cut),
            Way::CutAndDisk { full } => {
                self.cut_off(n, 0, cut);
                self.disk_fault(n, cut * 2 / 3, full);
            }
            Way::Killed => self.kill_controller(n, span),
            Way::PowerOff => self.power_off(n, span),
            Way::WipedDisk => self.wipe(n, span),
            Way::Replaced => self.replace(n, span),
            Way::ReplacedAsPlanned => {
                let late = self.successor(n);
                self.controllers[late].replaces = None;
                self.controllers[n].leaves = true;
                self.start_controller(late);
                self.after(SYNC, Event::Leave { controller: n });
            }
            Way::FullDisk => self.disk_fault(n, span, true),
            Way::StalledDisk => self.disk_fault(n, span, false),
            Way::Frozen => self.freeze(n, span),
            Way::Zone { how } => self.lose_zone(n, how),
        }
    }
}
