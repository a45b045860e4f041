//! Machines that are lost in a row: as many at once as are to be survived, and the next ones as
//! soon as the platform may take them, which is [`SYNC_MS`] after the ones before were made good.

use chain_replication::Millis;

use super::controller::Disk;
use super::world::{World, SYNC_MS};

/// The bootstrap, and the growth of the acceptors to their number, are over by then.
const FIRST_LOSS_MS: Millis = 9_000;
/// A process that is told to stop is killed after so long at the latest.
const GRACE_MS: Millis = 4_000;
/// A process that nobody can replace ends by itself after so long.
const STOPPING_MS: Millis = 1_200;

/// A machine that is told to stop.
#[derive(Debug, Clone)]
struct Stopping {
    machine: usize,
    since: Millis,
}

/// What is lost, and what comes next.
#[derive(Debug)]
pub struct Losses {
    /// Machines that the platform runs or brings back.
    pub running: Vec<usize>,
    /// The next machine that was never there.
    unused: usize,
    next_at: Millis,
    /// Machines to be told to stop, once their successors have had [`SYNC_MS`].
    planned: Vec<(Millis, usize)>,
    stopping: Vec<Stopping>,
}

impl Losses {
    pub fn new(now: Millis, count: usize) -> Losses {
        let running = (0..count).collect();
        let next_at = now + FIRST_LOSS_MS;
        Losses {
            running,
            unused: count,
            next_at,
            planned: Vec::new(),
            stopping: Vec::new(),
        }
    }

    /// One millisecond.
    pub fn step(&mut self, world: &mut World, tolerated: usize) {
        self.stop_planned(world);
        if world.now < self.next_at || !self.planned.is_empty() || !self.stopping.is_empty() {
            return;
        }
        let count = 1 + world.dice.below(tolerated as u64) as usize;
        let mut good_at = world.now;
        let mut victims: Vec<usize> = Vec::new();
        let planned = world.dice.permille(200);
        while victims.len() < count.min(self.running.len()) {
            let victim = self.draw(world);
            if victims.contains(&victim) {
                continue;
            }
            victims.push(victim);
            let ends = if planned {
                self.plan(world, victim)
            } else {
                self.lose(world, victim)
            };
            good_at = good_at.max(ends);
        }
        let power_off = !planned && world.dice.permille(150);
        if power_off {
            good_at = good_at.max(self.power_off(world, &victims));
        }
        // One that is replaced as planned counts no more once its process is told to stop: its
        // successor has had its time.
        let pause = if planned { 0 } else { SYNC_MS };
        self.next_at = good_at + pause + world.dice.below(400);
    }

    /// A machine to be lost: most often one of the acceptors.
    fn draw(&self, world: &mut World) -> usize {
        let acceptors = world.acceptors();
        let among: Vec<usize> = self
            .running
            .iter()
            .copied()
            .filter(|n| acceptors.contains(n))
            .collect();
        let drawn = if among.is_empty() || world.dice.permille(300) {
            &self.running
        } else {
            &among
        };
        drawn[world.dice.below(drawn.len() as u64) as usize]
    }

    fn stop_planned(&mut self, world: &mut World) {
        let now = world.now;
        let due: Vec<usize> = self
            .planned
            .iter()
            .filter(|p| p.0 <= now)
            .map(|p| p.1)
            .collect();
        self.planned.retain(|p| p.0 > now);
        for machine in due {
            if let Some(process) = world.controllers[machine].process.as_mut() {
                process.leaving = true;
            }
            self.stopping.push(Stopping {
                machine,
                since: now,
            });
        }
        let (mut ended, mut left) = (Vec::new(), Vec::new());
        for stopping in self.stopping.drain(..) {
            let process = world.controllers[stopping.machine].process.as_ref();
            let lasted = now - stopping.since;
            // The real process ends sooner where nobody can take its place; here a successor always
            // can.
            let replaced = process.is_none_or(|p| p.replaced()) && lasted > STOPPING_MS / 4;
            if replaced || lasted > GRACE_MS {
                ended.push(stopping.machine);
            } else {
                left.push(stopping);
            }
        }
        self.stopping = left;
        for machine in ended {
            self.take_away(world, machine);
        }
    }

    /// A successor starts now; the machine is told to stop when that one has had its time.
    fn plan(&mut self, world: &mut World, machine: usize) -> Millis {
        let now = world.now;
        self.start_successor(world, now + 1);
        let stops_at = now + 1 + SYNC_MS;
        self.planned.push((stops_at, machine));
        stops_at
    }

    fn start_successor(&mut self, world: &mut World, at: Millis) {
        if let Some(successor) = world.controllers.get_mut(self.unused) {
            successor.starts_at = Some(at);
            self.running.push(self.unused);
            self.unused += 1;
        }
    }

    fn take_away(&mut self, world: &mut World, machine: usize) {
        let controller = &mut world.controllers[machine];
        controller.process = None;
        controller.inbox.clear();
        controller.disk = Disk::default();
        controller.starts_at = None;
        self.running.retain(|n| *n != machine);
    }

    /// Loses one machine; gives when it is made good.
    fn lose(&mut self, world: &mut World, victim: usize) -> Millis {
        let now = world.now;
        let restart = now + world.dice.between(50, 2_500);
        let long = now + world.dice.between(500, 10_000);
        match world.dice.below(10) {
            0 => {
                world.controllers[victim].kill(&mut world.dice);
                world.controllers[victim].starts_at = Some(restart);
                restart
            }
            1 => {
                world.controllers[victim].lose_power(&mut world.dice);
                world.controllers[victim].starts_at = Some(restart);
                restart
            }
            2 => {
                world.cut_off(victim, long, true, true);
                long
            }
            3 => {
                let out = world.dice.permille(500);
                world.cut_off(victim, long, out, !out);
                long
            }
            4 => {
                world.controllers[victim].frozen_until = long;
                long
            }
            5 => {
                world.controllers[victim].slow_until = long;
                long
            }
            6 | 7 if self.unused < world.controllers.len() => {
                self.take_away(world, victim);
                self.start_successor(world, restart);
                restart
            }
            _ => {
                world.checker.wipes += 1;
                let faults = world.planted();
                world.controllers[victim].wipe(faults);
                world.controllers[victim].starts_at = Some(restart);
                restart
            }
        }
    }

    /// All others lose power at the same time.
    fn power_off(&mut self, world: &mut World, victims: &[usize]) -> Millis {
        let mut last = world.now;
        for &machine in self.running.iter().filter(|n| !victims.contains(n)) {
            if world.controllers[machine].process.is_none() {
                continue;
            }
            world.controllers[machine].lose_power(&mut world.dice);
            let restart = world.now + world.dice.between(20, 1_500);
            world.controllers[machine].starts_at = Some(restart);
            last = last.max(restart);
        }
        last
    }
}
