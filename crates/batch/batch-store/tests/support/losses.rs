//! Losses in a row, the next as early as the platform may bring it: no more machines than the
//! budget are lost at once, and a machine is lost while it is down, cut off, frozen or its disk
//! stands still, and for `SyncS` after that; one that is replaced, until its successor was there
//! for so long.

use super::{addr, Disk, Event, Process, World};
use batch::BatchJobTable;
use chain_replication::{LogRecord, Member, RecoveredLog, Replica};
use rand_pcg::rand_core::RngCore;

/// `SyncS` of the deployment with the shortest one.
pub const SYNC: u64 = 5_000;
/// A process that is shut down ends after so long at the latest (`GraceS` less a margin), and
/// at the earliest.
const GRACE: (u64, u64) = (1_200, 6_500);
/// Where enough stores are there, work is taken again within `RecoveryS` of the shortest site.
const SERVED_AGAIN: u64 = 12_000;

/// An answer is on its way for so long at most.
const ANSWERED: u64 = 1_600;
/// A disk is stalled for so much longer than two seconds at most.
const STALLED: u64 = 18_000;

/// A fault of the system itself that the checker has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Work is acknowledged once one disk has it.
    AcknowledgedByOneDisk,
    /// Disks say that something is on them before it is.
    SyncedBeforeItIs,
    /// One that gets a copy counts as in sync from the start.
    JoinerCountsAtOnce,
    /// A machine is released as soon as it is to be emptied.
    RetiredAtOnce,
    /// A store with a stalled disk stays in its chains.
    StalledDiskIsWaitedFor,
    /// A grant of an earlier asking counts for a later one.
    GrantOfAnyAsking,
    /// A response to an earlier audit counts as one to the newest: what it releases is released
    /// again.
    WordOnAnyAudit,
    /// The audit responses of one partition report that nothing is queued there.
    PartitionForgotten,
}

/// How a play of losses is set up.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub stores: usize,
    /// Machines that may be lost at once.
    pub budget: usize,
    /// Machines that may be added.
    pub spare: usize,
    pub planted: Option<Planted>,
}

impl Process {
    /// Whether a batch job is on its disk, synced.
    fn has_synced(&self, part: usize, batch_job: &str) -> bool {
        let synced = self.disk.records.iter().take(self.disk.synced).rev();
        for (_, record) in synced.filter(|(p, _)| usize::from(*p) == part) {
            match record {
                Some(LogRecord::Entry { command, .. }) if holds_name(command, batch_job) => {
                    return true
                }
                Some(LogRecord::Snapshot { body, .. }) => return holds_name(body, batch_job),
                Some(_) => {}
                None => return false,
            }
        }
        false
    }

    /// Whether it has a batch job, or its disk does where it is down.
    fn has(&self, part: usize, batch_job: &str) -> bool {
        if let Some(store) = &self.store {
            return store
                .replica(part)
                .is_some_and(|node| node.state_machine().batch_job(batch_job).is_some());
        }
        let mut recovered = RecoveredLog::default();
        for (_, record) in self
            .disk
            .records
            .iter()
            .filter(|(p, _)| usize::from(*p) == part)
        {
            match record {
                Some(write) => recovered.replay(write.clone()),
                None => recovered = RecoveredLog::default(),
            }
        }
        let me = Member {
            id: self.id,
            addr: self.addr,
            since: 0,
        };
        Replica::new(me, BatchJobTable::new(), recovered)
            .state_machine()
            .batch_job(batch_job)
            .is_some()
    }
}

/// Whether these bytes contain a name, and not only a longer one that begins with it.
fn holds_name(bytes: &[u8], name: &str) -> bool {
    let mut found = bytes
        .windows(name.len())
        .enumerate()
        .filter(|(_, window)| *window == name.as_bytes());
    found.any(|(at, _)| !bytes.get(at + name.len()).is_some_and(u8::is_ascii_digit))
}

/// PendingCall has been lost, and until when.
#[derive(Default)]
pub struct Losses {
    lost: Vec<(usize, u64)>,
    /// Machines that are shutting down: since when, and whether they come back.
    leaving: Vec<(usize, u64, u64, bool)>,
    spare: usize,
    pub(super) slow_copies: bool,
    served_at: [u64; HOSTS.len()],
    able_since: u64,
    wiped_at: Vec<u64>,
}

const HOSTS: [&str; 3] = super::gateway::HOSTS;

impl World {
    pub fn begin_losses(&mut self, setup: Setup) {
        self.losses.spare = setup.spare;
        self.losses.slow_copies = true;
        self.at(4_500, Event::Loss);
    }

    fn lost(&mut self, store: usize, until: u64) {
        self.losses.lost.retain(|(s, _)| *s != store);
        self.losses.lost.push((store, until + SYNC));
    }

    /// A machine that is there, and of which nothing is lost.
    fn sound(&mut self) -> Option<usize> {
        let lost = |store: &usize| self.losses.lost.iter().any(|(s, _)| s == store);
        let leaving = |store: &usize| self.losses.leaving.iter().any(|(s, ..)| s == store);
        let sound: Vec<usize> = (0..self.processes.len())
            .filter(|s| {
                !lost(s)
                    && !leaving(s)
                    && !self.processes[*s].gone
                    && self.processes[*s].store.is_some()
            })
            .collect();
        let at = self.below(sound.len() as u64) as usize;
        sound.get(at).copied()
    }

    pub(super) fn loss(&mut self) {
        self.end_leaving();
        self.release();
        self.check_service();
        if self.healing {
            self.at(50, Event::Loss);
            return;
        }
        let now = self.now;
        self.losses.lost.retain(|(_, until)| *until > now);
        if self.losses.lost.len() < self.budget && self.below(4) == 0 {
            if let Some(store) = self.sound() {
                self.sum.faults += 1;
                self.lose(store);
            }
        }
        if self.below(150) == 0 {
            if let Some(store) = self.sound() {
                self.controller.retire(now, addr(store));
            }
        }
        if self.below(400) == 0 {
            self.all_power_off();
        }
        self.at(50, Event::Loss);
    }

    fn lose(&mut self, store: usize) {
        let now = self.now;
        let most = if self.below(5) == 0 { 10_000 } else { 1_500 };
        let long = 100 + self.below(most);
        match self.below(10) {
            0 => self.processes[store].cut = (now + long, now + long),
            1 => {
                self.processes[store].cut = if long.is_multiple_of(2) {
                    (now + long, 0)
                } else {
                    (0, now + long)
                }
            }
            2 => self.processes[store].cut_off = now + long,
            3 => self.processes[store].frozen_until = now + long,
            4 => {
                self.kill(store);
                self.at(long, Event::Start { store });
            }
            5 => {
                self.power_off(store);
                self.at(long, Event::Start { store });
            }
            6 => {
                self.wipe(store);
                self.at(long, Event::Start { store });
            }
            7 => {
                // The disk is stalled, or full.
                let long = 2_000 + self.below(STALLED);
                let disk = &mut self.processes[store].disk;
                disk.busy_until = disk.busy_until.max(now) + long;
                self.processes[store].stalled_until = now + long;
                return self.lost(store, now + long);
            }
            8 => return self.replace(store, long),
            _ => return self.tell_to_end(store, long),
        }
        self.lost(store, now + long);
    }

    /// Gone for good; an empty machine comes at another address, where there is one.
    fn replace(&mut self, store: usize, long: u64) {
        if self.losses.spare == 0 {
            self.wipe(store);
            self.at(long, Event::Start { store });
            return self.lost(store, self.now + long);
        }
        self.losses.spare -= 1;
        self.wipe(store);
        self.processes[store].gone = true;
        let pause = 100 + self.below(1_500);
        self.add_machine(pause);
        self.lost(store, self.now + pause);
    }

    /// As planned: the new machine is there first; or the same one comes back with its disk.
    fn tell_to_end(&mut self, store: usize, long: u64) {
        let now = self.now;
        let comes_back = self.losses.spare == 0 || long.is_multiple_of(2);
        let mut at = now;
        let mut until = now + GRACE.1 + long;
        if !comes_back {
            self.losses.spare -= 1;
            self.add_machine(1);
            at = now + 500 + self.below(1_500);
            until = now + 1;
        }
        self.losses.leaving.push((store, at, long, comes_back));
        self.lost(store, until);
    }

    fn add_machine(&mut self, delay: u64) {
        let store = self.processes.len();
        let id = self.random.next_u64();
        self.processes.push(Process::new(store, id));
        self.at(delay, Event::Start { store });
    }

    /// Machines that are shutting down end once no chain counts on them, or their time is over.
    fn end_leaving(&mut self) {
        let now = self.now;
        for (store, at, long, comes_back) in std::mem::take(&mut self.losses.leaving) {
            let empty = self.processes[store].store.as_mut().is_none_or(|found| {
                if now >= at {
                    found.start_leaving(now);
                }
                found.is_empty()
            });
            self.apply_effects(store);
            if now < at + GRACE.0 || !empty && now < at + GRACE.1 {
                self.losses.leaving.push((store, at, long, comes_back));
                continue;
            }
            if comes_back {
                self.kill(store);
                self.at(long, Event::Start { store });
            } else {
                self.let_go(store);
            }
        }
    }

    /// Machines that were emptied go at once, with their disks.
    fn release(&mut self) {
        for addr in self.controller.retired() {
            if let Some(store) = self
                .processes
                .iter()
                .position(|p| p.addr == addr && !p.gone)
            {
                self.sum.released += 1;
                self.check_release(store);
                self.let_go(store);
            }
        }
    }

    /// PendingCall is acknowledged is on so many disks that it bears the loss of as many as the
    /// budget says.
    pub(super) fn check_taken(&self, name: &str) {
        let part = self.part_of(&self.gateways.batch_jobs[name].host, name);
        let on = self
            .processes
            .iter()
            .filter(|p| p.has_synced(part, name))
            .count();
        // A disk may have gone between the commit and the answer.
        let wiped = self
            .losses
            .wiped_at
            .iter()
            .filter(|at| *at + ANSWERED >= self.now)
            .count();
        assert!(
            on + wiped > self.budget,
            "{name}: acknowledged, and on {on} disks"
        );
    }

    fn let_go(&mut self, store: usize) {
        self.wipe(store);
        self.processes[store].gone = true;
        self.losses.leaving.retain(|(s, ..)| *s != store);
    }

    /// Whatever was acknowledged is on the disks of so many others that it bears the losses that
    /// may come.
    fn check_release(&self, store: usize) {
        let lost = self.losses.lost.iter().filter(|(s, _)| *s != store).count();
        let there = |(at, p): &(usize, &Process)| *at != store && p.is_able(self.now);
        for view in self.controller.map.iter().flat_map(|map| &map.partitions) {
            let counts_on = view
                .members
                .iter()
                .chain(&view.joining)
                .any(|m| m.addr == addr(store));
            assert!(
                !counts_on,
                "{}: released, and a chain counts on it: {view:?}",
                addr(store)
            );
        }
        let others = self.processes.iter().enumerate().filter(there).count();
        let needed = others.min(self.budget + 2).saturating_sub(lost).max(1);
        for (name, batch_job) in &self.gateways.batch_jobs {
            if batch_job.taken_at.is_none() || batch_job.end_asked {
                continue;
            }
            let part = self.part_of(&batch_job.host, name);
            let holds = |(at, p): (usize, &Process)| at != store && !p.gone && p.has(part, name);
            let on = self
                .processes
                .iter()
                .enumerate()
                .filter(|(at, p)| holds((*at, p)))
                .count();
            assert!(
                on >= needed,
                "{name}: released, and only {on} others have it, {needed} are needed"
            );
        }
    }

    /// Where enough stores are there, work is taken again within a bound.
    #[expect(clippy::too_many_lines, reason = "one check, from top to bottom")]
    fn check_service(&mut self) {
        let now = self.now;
        let able = self.processes.iter().filter(|p| p.is_able(now)).count() > self.budget;
        if !able || now < 6_000 {
            self.losses.able_since = now;
        }
        let mut overdue = None;
        for (host, served) in HOSTS.iter().zip(&mut self.losses.served_at) {
            let batch_jobs = self
                .gateways
                .batch_jobs
                .values()
                .filter(|batch_job| batch_job.host == *host);
            *served = batch_jobs
                .filter_map(|batch_job| batch_job.taken_at.max(batch_job.full_at))
                .max()
                .unwrap_or(0)
                .max(*served);
            let late = now.saturating_sub((*served).max(self.losses.able_since));
            if !self.gateways.quiet {
                self.sum.latest_service = self.sum.latest_service.max(late);
            }
            if !self.gateways.quiet && late > SERVED_AGAIN {
                overdue = Some((*host, late));
            }
        }
        for (name, batch_job) in &self.gateways.batch_jobs {
            let late = now.saturating_sub(
                batch_job
                    .waits_since()
                    .unwrap_or(now)
                    .max(self.losses.able_since),
            );
            if !self.gateways.quiet && late > SERVED_AGAIN {
                let view = &self.controller.map.as_ref().expect("a map").partitions
                    [self.part_of(&batch_job.host, name)];
                panic!(
                    "{name} is not answered at {now}, for {late} ms: {view:?}; {:?}",
                    self.losses.lost
                );
            }
        }
        if let Some((host, late)) = overdue {
            let home = self
                .controller
                .map
                .as_ref()
                .map_or(0, |map| map.home_partition(host));
            let view = self
                .controller
                .map
                .as_ref()
                .map(|map| map.partitions[home].clone());
            let off: Vec<_> = self
                .processes
                .iter()
                .filter(|p| !p.is_able(now))
                .map(|p| (p.addr, p.gone))
                .collect();
            let (places, lost) = (self.places(home), &self.losses.lost);
            panic!(
                "{host}: no work is taken at {now}, for {late} ms: {view:?}; {places}; off {off:?}; {lost:?}"
            );
        }
    }

    fn power_off(&mut self, store: usize) {
        self.kill(store);
        let disk = &mut self.processes[store].disk;
        disk.records.truncate(disk.synced);
    }

    fn wipe(&mut self, store: usize) {
        self.kill(store);
        let id = self.random.next_u64();
        self.processes[store].disk = Disk::default();
        self.processes[store].id = id;
        self.losses.wiped_at.push(self.now);
    }

    fn all_power_off(&mut self) {
        let mut room = self.budget.saturating_sub(self.losses.lost.len());
        for store in 0..self.processes.len() {
            if self.processes[store].store.is_none() || self.processes[store].gone {
                continue;
            }
            let delay = 200 + self.below(1_000);
            let lost = self.losses.lost.iter().any(|(s, _)| *s == store);
            if room > 0 && !lost && self.below(3) == 0 {
                room -= 1;
                self.wipe(store);
            } else {
                self.power_off(store);
            }
            self.lost(store, self.now + delay);
            self.at(delay, Event::Start { store });
        }
    }
}
