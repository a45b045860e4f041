//! PendingCall befalls the stores.

use super::{Disk, Event, Faults, World, RECOVERY_MS};
use rand_pcg::rand_core::RngCore;

impl World {
    /// The process ends without a message; of what was not synced, some is there.
    pub(super) fn kill(&mut self, store: usize) {
        let more = self.processes[store].disk.records.len() - self.processes[store].disk.synced;
        let kept = self.below(more as u64 + 1) as usize;
        let process = &mut self.processes[store];
        process.store = None;
        process.incarnation += 1;
        process.frozen_until = 0;
        process.disk.records.truncate(process.disk.synced + kept);
        process.disk.waiting.clear();
        process.disk.busy_until = 0;
        // Nobody hears of the calls that were open; the callers' time runs out.
        self.answers.borrow_mut().clear();
    }

    #[expect(clippy::too_many_lines, reason = "one arm a kind of fault")]
    pub(super) fn fault(&mut self) {
        if self.healing {
            return;
        }
        let pause = 300 + self.below(2_000);
        self.at(pause, Event::Fault);
        if self.now < self.calm_at {
            return;
        }
        let store = self.below(self.processes.len() as u64) as usize;
        if self.processes[store].gone {
            return;
        }
        let kinds: Vec<u8> = [
            (self.faults.kills, 0),
            (self.faults.disks, 1),
            (self.faults.cuts, 2),
            (self.faults.cuts, 3),
            (self.faults.cuts, 4),
            (self.faults.cuts, 8),
            (self.faults.all_off, 5),
            (self.faults.retire, 6),
            (self.faults.kills, 7),
            (self.faults.full, 9),
            (self.faults.full, 10),
        ]
        .iter()
        .filter(|(on, _)| *on)
        .map(|(_, kind)| *kind)
        .collect();
        if kinds.is_empty() {
            return;
        }
        self.sum.faults += 1;
        let kind = kinds[self.below(kinds.len() as u64) as usize];
        let long = 100 + self.below(4_000);
        match kind {
            0 => {
                self.kill(store);
                self.at(long, Event::Start { store });
            }
            1 => {
                self.kill(store);
                let id = self.random.next_u64();
                let process = &mut self.processes[store];
                process.disk = Disk::default();
                process.id = id;
                self.at(long, Event::Start { store });
            }
            2 => self.processes[store].cut = (self.now + long, self.now + long),
            3 => {
                let one_way = if self.below(2) == 0 {
                    (self.now + long, 0)
                } else {
                    (0, self.now + long)
                };
                self.processes[store].cut = one_way;
            }
            4 => self.processes[store].frozen_until = self.now + long,
            9 | 10 => {
                let disk = &mut self.processes[store].disk;
                disk.faulty_until = self.now + long + 2_000;
                disk.refuses = kind == 9;
                // With the planted fault the power goes too, or nothing would come of it.
                if self.faults.lies || self.below(4) == 0 {
                    self.at(long + 1_000, Event::Kill { store });
                }
            }
            8 => self.processes[store].cut_off = self.now + long,
            5 => {
                for store in 0..self.processes.len() {
                    if self.processes[store].store.is_some() {
                        self.kill(store);
                        let delay = 100 + self.below(1_500);
                        self.at(delay, Event::Start { store });
                    }
                }
            }
            6 => {
                if self.processes.iter().filter(|p| !p.gone).count() > 3 {
                    self.controller.retire(self.now, self.processes[store].addr);
                }
            }
            _ => {
                // Told to end, it is restarted after a while.
                let now = self.now;
                if let Some(found) = self.processes[store].store.as_mut() {
                    found.start_leaving(now);
                }
                self.apply_effects(store);
                self.run_on_and_kill(store, long);
            }
        }
        for addr in self.controller.retired() {
            // Its machine goes at once, with its disk.
            if let Some(store) = self
                .processes
                .iter()
                .position(|p| p.addr == addr && !p.gone)
            {
                self.kill(store);
                self.processes[store].gone = true;
                self.processes[store].disk = Disk::default();
            }
        }
        self.calm_at = self.now + long + RECOVERY_MS;
    }

    fn run_on_and_kill(&mut self, store: usize, long: u64) {
        // The process ends a second after the signal; it serves its chains meanwhile.
        let incarnation = self.processes[store].incarnation;
        let until = self.now + 1_000;
        let fault = self.faults;
        self.faults = Faults::default();
        self.calm_at = until + 1;
        self.run(until);
        self.faults = fault;
        if self.processes[store].incarnation == incarnation {
            self.kill(store);
            self.at(long, Event::Start { store });
        }
    }
}
