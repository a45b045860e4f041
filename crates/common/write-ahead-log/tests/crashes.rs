//! Whatever the power or the process does: what was said to be on disk comes back, in order, with nothing else but a
//! beginning of what wasn't.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use support::{record, Lie, MemoryDisk, Rng};
use write_ahead_log::{prepare, DiskError, Options, Prepared, Record, Shared, StdMonitor};

type Ring = Prepared<MemoryDisk, StdMonitor<Shared>>;

const OPTIONS: Options = Options {
    file_bytes: 16 << 10,
    files_most: 4,
};

/// Histories that are played; each is one of a dozen starts. 100,000 were played when the format was made.
const SEEDS: u64 = 250;

/// What should be on the disk.
#[derive(Default)]
struct Model {
    identity: Option<u64>,
    appended: Vec<(u64, Record)>,
    synced: u64,
    /// What was on disk before the last write.
    witnessed: u64,
    low: u64,
    number: u64,
    returned: u64,
    full: u64,
    torn: u64,
}

impl Model {
    fn check(&mut self, found: &Ring, seed: u64) {
        if let Some(identity) = self.identity {
            assert!(!found.fresh, "seed {seed}: a ring became a newcomer");
            assert_eq!(found.identity, identity, "seed {seed}");
        }
        self.identity = Some(found.identity);
        let owed = self
            .appended
            .iter()
            .filter(|(ticket, _)| *ticket <= self.synced && *ticket >= self.low);
        for (ticket, record) in owed {
            let back = found
                .records
                .binary_search_by_key(ticket, |(ticket, _)| *ticket);
            let back = back.ok().map(|at| &found.records[at].1);
            assert_eq!(
                back,
                Some(record),
                "seed {seed}: ticket {ticket} of {}",
                self.synced
            );
        }
        // What came back is one piece of what was appended.
        let from = found
            .records
            .first()
            .and_then(|(first, _)| self.appended.iter().position(|(t, _)| t == first));
        let known = from.map(|from| &self.appended[from..]).unwrap_or_default();
        assert!(
            found.records.len() <= known.len(),
            "seed {seed}: something that was never appended came back"
        );
        assert_eq!(found.records, known[..found.records.len()], "seed {seed}");
        self.returned += found.records.len() as u64;
        self.torn += u64::from(found.torn);
        self.appended = found.records.clone();
        self.synced = found.records.last().map_or(0, |(ticket, _)| *ticket);
    }

    /// Appends and releases until the power goes or the steps are done.
    fn play(&mut self, ring: &mut Ring, rng: &mut Rng, steps: u64) {
        let synced = ring.ring.synced();
        for _ in 0..steps {
            match rng.below(8) {
                0..=4 => {
                    let len = match rng.below(4) {
                        0 => rng.below(4000),
                        1 => 0,
                        _ => rng.below(300),
                    };
                    let record = record(self.number, len as usize);
                    match ring.ring.append(record.clone()) {
                        Ok(ticket) => {
                            self.number += 1;
                            assert!(self.appended.last().is_none_or(|(last, _)| *last < ticket));
                            self.appended.push((ticket, record));
                        }
                        Err(DiskError::Full) => {
                            self.full += 1;
                            self.release(ring, rng);
                        }
                        Err(error) => panic!("{error}"),
                    }
                }
                5 => self.release(ring, rng),
                _ => {
                    if ring.writer.has_work() && !self.step(ring) {
                        break;
                    }
                }
            }
            self.synced = self.synced.max(*synced.borrow());
        }
        self.synced = self.synced.max(*synced.borrow());
    }

    fn step(&mut self, ring: &mut Ring) -> bool {
        let synced = ring.ring.synced();
        let before = *synced.borrow();
        let goes_on = ring.writer.step();
        if *synced.borrow() != before {
            self.witnessed = before;
        }
        goes_on
    }

    /// Only what is on disk is replaced by something else, as those who release do it.
    fn release(&mut self, ring: &Ring, rng: &mut Rng) {
        let tickets: Vec<u64> = self.appended.iter().map(|(ticket, _)| *ticket).collect();
        if let Some(ticket) = tickets.get(rng.below(tickets.len().max(1) as u64) as usize) {
            ring.ring.release_before(*ticket);
            self.low = self.low.max(*ticket);
        }
    }
}

fn crashes(seed: u64) -> Model {
    let mut rng = Rng::new(seed);
    let mut disk = MemoryDisk::default();
    let mut model = Model::default();
    for start in 0..12 {
        // The power may go while the ring is being opened.
        if rng.one_in(4) {
            disk.power_goes_after(rng.below(12));
        }
        let opened = prepare::<_, StdMonitor<Shared>>(disk.clone(), OPTIONS, seed * 100 + start);
        match opened {
            // Opened, but nothing of it is known to be on disk: what it holds is as unsure as before.
            Ok(ring) if *ring.ring.synced().borrow() == 0 => {
                assert!(
                    !disk.has_power(),
                    "seed {seed}, start {start}: {:?}",
                    ring.ring.trouble()
                );
                disk = disk.after_power_loss(&mut rng);
            }
            Ok(mut ring) => {
                model.check(&ring, seed);
                if rng.one_in(2) {
                    disk.power_goes_after(rng.below(60));
                }
                let steps = rng.below(400);
                model.play(&mut ring, &mut rng, steps);
                if rng.one_in(4) {
                    while ring.writer.has_work() && ring.writer.step() {}
                }
                disk = if rng.one_in(4) {
                    disk.after_kill()
                } else {
                    disk.after_power_loss(&mut rng)
                };
            }
            Err(error) => {
                assert!(!disk.has_power(), "seed {seed}, start {start}: {error}");
                disk = disk.after_power_loss(&mut rng);
            }
        }
    }
    model
}

#[test]
fn nothing_synced_is_lost_and_nothing_else_comes_back() {
    let (mut returned, mut torn, mut full) = (0, 0, 0);
    for seed in 0..SEEDS {
        let model = crashes(seed);
        returned += model.returned;
        torn += model.torn;
        full += model.full;
    }
    // The seeds reach what they are for.
    assert!(
        returned > 30 * SEEDS && torn > SEEDS / 3 && full > SEEDS / 3,
        "{returned} returned, {torn} torn, {full} full"
    );
}

/// A bad byte is told, or was in what may be torn: never is anything changed or left out in the middle.
#[test]
fn a_bad_byte_is_told_or_cut_off_with_the_tail() {
    let (mut told, mut same) = (0, 0);
    for seed in 0..SEEDS {
        let mut rng = Rng::new(seed);
        let disk = MemoryDisk::default();
        let mut model = Model::default();
        for start in 0..3 {
            let mut ring: Ring = prepare(disk.clone(), OPTIONS, start).unwrap();
            model.check(&ring, seed);
            let steps = 50 + rng.below(250);
            model.play(&mut ring, &mut rng, steps);
            while ring.writer.has_work() {
                model.step(&mut ring);
            }
            model.synced = *ring.ring.synced().borrow();
        }
        let slots = disk.slots();
        let slot = slots[rng.below(slots.len() as u64) as usize];
        let at = if rng.one_in(8) {
            rng.below(64)
        } else {
            rng.below(16 << 10)
        } as usize;
        disk.change(slot, |bytes| bytes[at] ^= 1 << rng.below(8));
        match prepare::<_, StdMonitor<Shared>>(disk.clone(), OPTIONS, 9) {
            Err(DiskError::Corrupt { .. }) => told += 1,
            Err(error) => panic!("seed {seed}: {error}"),
            Ok(found) => {
                same += 1;
                assert!(!found.fresh, "seed {seed}");
                // Only the records of the last write have no witness that they were on disk.
                let owed = model
                    .appended
                    .iter()
                    .filter(|(t, _)| (model.low..=model.witnessed).contains(t));
                for (ticket, record) in owed {
                    let back = found.records.iter().find(|(back, _)| back == ticket);
                    assert_eq!(
                        back.map(|(_, back)| back),
                        Some(record),
                        "seed {seed}: ticket {ticket}"
                    );
                }
                // And nothing else comes back than one piece of what was appended.
                let first = found.records.first().map_or(0, |(first, _)| *first);
                let from = model
                    .appended
                    .iter()
                    .position(|(ticket, _)| *ticket >= first)
                    .unwrap_or(0);
                let known = &model.appended[from..];
                assert_eq!(found.records, known[..found.records.len()], "seed {seed}");
            }
        }
    }
    assert!(
        told > SEEDS / 6 && same > SEEDS / 6,
        "{told} told, {same} the same"
    );
}

/// A write whose beginning was lost: what is left of it must not come back once the log has grown up to it again.
#[test]
fn what_was_cut_off_stays_cut_off() {
    let disk = MemoryDisk::default();
    let mut ring: Ring = prepare(disk.clone(), OPTIONS, 1).unwrap();
    ring.ring.append(record(0, 8)).unwrap();
    ring.writer.step();
    let end = 64 + 48 + 56;
    for number in 1..4 {
        // As long as the record that the next start writes.
        ring.ring.append(record(number, 0)).unwrap();
    }
    // Two operations: the write, and a sync that doesn't come to its end.
    disk.power_goes_after(1);
    // Nothing of it is said to be on disk.
    assert!(
        ring.writer.step() && ring.ring.trouble().is_some() && *ring.ring.synced().borrow() == 2
    );
    disk.change(0, |bytes| bytes[end..end + 48].fill(0));
    let disk = disk.after_kill();
    for start in 0..3 {
        let ring: Ring = prepare(disk.clone(), OPTIONS, 1).unwrap();
        assert_eq!(ring.records, [(2, record(0, 8))], "start {start}");
        assert_eq!(ring.torn, start == 0, "start {start}");
    }
}

/// Refusals, failing writes and syncs, and a full disk, each for a while, with crashes between them: what was said to
/// be synced is there, in order and once; and with room again all that was taken is synced.
fn troubled(seed: u64, lie: Option<Lie>) -> (u64, u64) {
    let mut rng = Rng::new(seed);
    let mut disk = MemoryDisk::default();
    let mut model = Model::default();
    let (mut failed, mut recovered) = (0, 0);
    for start in 0..8 {
        if let Some(lie) = lie {
            disk.lies(lie);
        }
        disk.refuses(rng.one_in(6));
        let mut ring: Ring = prepare(disk.clone(), OPTIONS, seed * 100 + start).unwrap();
        if *ring.ring.synced().borrow() > 0 {
            model.check(&ring, seed);
        }
        for _ in 0..rng.below(8) {
            // Without a sync at this start, nothing that was read is certain.
            if *ring.ring.synced().borrow() == 0 {
                disk.refuses(false);
                while *ring.ring.synced().borrow() == 0 {
                    ring.writer.step();
                }
                model.check(&ring, seed);
            }
            match rng.below(3) {
                0 => disk.refuses(true),
                1 => disk.fails(10 + rng.below(80), rng.below(1 << 40)),
                _ => disk.room(rng.below(70 << 10)),
            }
            for _ in 0..rng.below(30) {
                model.play(&mut ring, &mut rng, 4);
                ring.writer.pause().is_some().then(|| model.step(&mut ring));
            }
            model.synced = *ring.ring.synced().borrow();
            if rng.one_in(3) {
                break;
            }
            disk.refuses(false);
            disk.fails(0, 0);
            disk.room(1 << 40);
            recovered += u64::from(ring.ring.trouble().is_some());
            while ring.ring.trouble().is_some() || ring.writer.has_work() {
                assert!(model.step(&mut ring), "seed {seed}");
            }
            let last = model.appended.last().map_or(0, |(ticket, _)| *ticket);
            model.synced = *ring.ring.synced().borrow();
            assert!(
                model.synced >= last,
                "seed {seed}: {last} was taken, {} is synced",
                model.synced
            );
        }
        failed += disk.failed();
        disk = if rng.one_in(3) {
            disk.after_kill()
        } else {
            disk.after_power_loss(&mut rng)
        };
        disk.refuses(false);
        disk.room(1 << 40);
    }
    (failed, recovered)
}

#[test]
fn a_disk_that_refuses_loses_nothing_and_doubles_nothing() {
    let (mut failed, mut recovered) = (0, 0);
    for seed in 0..SEEDS {
        let (of_seed, times) = troubled(seed, None);
        failed += of_seed;
        recovered += times;
    }
    assert!(
        failed > 30 * SEEDS && recovered > SEEDS,
        "{failed} failed, {recovered} recovered"
    );
}

/// The check above finds a failed write, or a failed sync, that counts as done.
#[test]
fn a_failed_write_or_sync_that_counts_as_done_is_found() {
    for lie in [Lie::Write, Lie::Sync] {
        let played = |seed| std::panic::catch_unwind(|| troubled(seed, Some(lie))).is_err();
        let found = (0..40).filter(|seed| played(*seed)).count();
        assert!(found > 20, "{lie:?} is found by {found} seeds of 40");
    }
}
