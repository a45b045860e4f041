//! After any power loss or crash, the synced records are recovered, in order, followed by nothing
//! but a prefix of those that weren't synced.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use support::{record, MemoryDisk, PlantedFault, Rng};
use write_ahead_log::{prepare, LogError, Options, PreparedLog, Record, SharedState, StdMonitor};

type TestLog = PreparedLog<MemoryDisk, StdMonitor<SharedState>>;

const OPTIONS: Options = Options {
    segment_bytes: 16 << 10,
    max_segments: 4,
};

/// Seeds that are played; each is a history of a dozen starts. 100,000 were played when the format
/// was made.
const SEEDS: u64 = 250;

/// What the log must recover.
#[derive(Default)]
struct Model {
    identity: Option<u64>,
    appended: Vec<(u64, Record)>,
    synced: u64,
    /// What was durable before the last write.
    witnessed: u64,
    low: u64,
    number: u64,
    returned: u64,
    full: u64,
    torn: u64,
}

impl Model {
    fn check(&mut self, found: &TestLog, seed: u64) {
        if let Some(identity) = self.identity {
            assert!(!found.is_new, "seed {seed}: a log was taken for a new one");
            assert_eq!(found.identity, identity, "seed {seed}");
        }
        self.identity = Some(found.identity);
        let owed = self
            .appended
            .iter()
            .filter(|(lsn, _)| *lsn <= self.synced && *lsn >= self.low);
        for (lsn, record) in owed {
            let back = found.records.binary_search_by_key(lsn, |(lsn, _)| *lsn);
            let back = back.ok().map(|at| &found.records[at].1);
            assert_eq!(
                back,
                Some(record),
                "seed {seed}: LSN {lsn} of {}",
                self.synced
            );
        }
        // What was recovered is one contiguous run of what was appended.
        let from = found
            .records
            .first()
            .and_then(|(first, _)| self.appended.iter().position(|(t, _)| t == first));
        let known = from.map(|from| &self.appended[from..]).unwrap_or_default();
        assert!(
            found.records.len() <= known.len(),
            "seed {seed}: a record was recovered that was never appended"
        );
        assert_eq!(found.records, known[..found.records.len()], "seed {seed}");
        self.returned += found.records.len() as u64;
        self.torn += u64::from(found.torn);
        self.appended = found.records.clone();
        self.synced = found.records.last().map_or(0, |(lsn, _)| *lsn);
    }

    /// Appends and releases until the power fails or the steps are done.
    fn play(&mut self, prepared: &mut TestLog, rng: &mut Rng, steps: u64) {
        let synced = prepared.log.synced_lsn();
        for _ in 0..steps {
            match rng.below(8) {
                0..=4 => {
                    let len = match rng.below(4) {
                        0 => rng.below(4000),
                        1 => 0,
                        _ => rng.below(300),
                    };
                    let record = record(self.number, len as usize);
                    match prepared.log.append(record.clone()) {
                        Ok(lsn) => {
                            self.number += 1;
                            assert!(self.appended.last().is_none_or(|(last, _)| *last < lsn));
                            self.appended.push((lsn, record));
                        }
                        Err(LogError::Full) => {
                            self.full += 1;
                            self.release(prepared, rng);
                        }
                        Err(error) => panic!("{error}"),
                    }
                }
                5 => self.release(prepared, rng),
                _ => {
                    if prepared.writer.has_work() && !self.step(prepared) {
                        break;
                    }
                }
            }
            self.synced = self.synced.max(*synced.borrow());
        }
        self.synced = self.synced.max(*synced.borrow());
    }

    fn step(&mut self, prepared: &mut TestLog) -> bool {
        let synced = prepared.log.synced_lsn();
        let before = *synced.borrow();
        let goes_on = prepared.writer.step();
        if *synced.borrow() != before {
            self.witnessed = before;
        }
        goes_on
    }

    /// Releases only what is durable, as the users of a log do.
    fn release(&mut self, prepared: &TestLog, rng: &mut Rng) {
        let lsns: Vec<u64> = self.appended.iter().map(|(lsn, _)| *lsn).collect();
        if let Some(lsn) = lsns.get(rng.below(lsns.len().max(1) as u64) as usize) {
            prepared.log.release_before(*lsn);
            self.low = self.low.max(*lsn);
        }
    }
}

fn crashes(seed: u64) -> Model {
    let mut rng = Rng::new(seed);
    let mut disk = MemoryDisk::default();
    let mut model = Model::default();
    for start in 0..12 {
        // The power may fail while the log is being opened.
        if rng.one_in(4) {
            disk.lose_power_after(rng.below(12));
        }
        let opened =
            prepare::<_, StdMonitor<SharedState>>(disk.clone(), OPTIONS, seed * 100 + start);
        match opened {
            // Opened, but nothing of it is known to be durable: what it holds is as uncertain as
            // before.
            Ok(prepared) if *prepared.log.synced_lsn().borrow() == 0 => {
                assert!(
                    !disk.has_power(),
                    "seed {seed}, start {start}: {:?}",
                    prepared.log.fault()
                );
                disk = disk.after_power_loss(&mut rng);
            }
            Ok(mut prepared) => {
                model.check(&prepared, seed);
                if rng.one_in(2) {
                    disk.lose_power_after(rng.below(60));
                }
                let steps = rng.below(400);
                model.play(&mut prepared, &mut rng, steps);
                if rng.one_in(4) {
                    while prepared.writer.has_work() && prepared.writer.step() {}
                }
                disk = if rng.one_in(4) {
                    disk.after_crash()
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
fn synced_records_survive_crashes_and_nothing_else_is_recovered() {
    let (mut returned, mut torn, mut full) = (0, 0, 0);
    for seed in 0..SEEDS {
        let model = crashes(seed);
        returned += model.returned;
        torn += model.torn;
        full += model.full;
    }
    // The seeds cover the cases they are for.
    assert!(
        returned > 30 * SEEDS && torn > SEEDS / 3 && full > SEEDS / 3,
        "{returned} recovered, {torn} torn, {full} full"
    );
}

/// A corrupt byte is reported, or was in what may be torn: nothing is ever changed or left out in
/// the middle.
#[test]
fn a_corrupt_byte_is_reported_or_cut_off_with_the_tail() {
    let (mut reported, mut same) = (0, 0);
    for seed in 0..SEEDS {
        let mut rng = Rng::new(seed);
        let disk = MemoryDisk::default();
        let mut model = Model::default();
        for start in 0..3 {
            let mut prepared: TestLog = prepare(disk.clone(), OPTIONS, start).unwrap();
            model.check(&prepared, seed);
            let steps = 50 + rng.below(250);
            model.play(&mut prepared, &mut rng, steps);
            while prepared.writer.has_work() {
                model.step(&mut prepared);
            }
            model.synced = *prepared.log.synced_lsn().borrow();
        }
        let slots = disk.slots();
        let slot = slots[rng.below(slots.len() as u64) as usize];
        let at = if rng.one_in(8) {
            rng.below(64)
        } else {
            rng.below(16 << 10)
        } as usize;
        disk.change(slot, |bytes| bytes[at] ^= 1 << rng.below(8));
        match prepare::<_, StdMonitor<SharedState>>(disk.clone(), OPTIONS, 9) {
            Err(LogError::Corrupt { .. }) => reported += 1,
            Err(error) => panic!("seed {seed}: {error}"),
            Ok(found) => {
                same += 1;
                assert!(!found.is_new, "seed {seed}");
                // Only the records of the last write have no later record that proves them durable.
                let owed = model
                    .appended
                    .iter()
                    .filter(|(t, _)| (model.low..=model.witnessed).contains(t));
                for (lsn, record) in owed {
                    let back = found.records.iter().find(|(back, _)| back == lsn);
                    assert_eq!(
                        back.map(|(_, back)| back),
                        Some(record),
                        "seed {seed}: LSN {lsn}"
                    );
                }
                // And nothing else is recovered than one contiguous run of what was appended.
                let first = found.records.first().map_or(0, |(first, _)| *first);
                let from = model
                    .appended
                    .iter()
                    .position(|(lsn, _)| *lsn >= first)
                    .unwrap_or(0);
                let known = &model.appended[from..];
                assert_eq!(found.records, known[..found.records.len()], "seed {seed}");
            }
        }
    }
    assert!(
        reported > SEEDS / 6 && same > SEEDS / 6,
        "{reported} reported, {same} the same"
    );
}

/// A write whose beginning was lost: what is left of it must not be recovered once the log has
/// grown up to it again.
#[test]
fn a_truncated_torn_write_never_comes_back() {
    let disk = MemoryDisk::default();
    let mut prepared: TestLog = prepare(disk.clone(), OPTIONS, 1).unwrap();
    prepared.log.append(record(0, 8)).unwrap();
    prepared.writer.step();
    let end = 64 + 48 + 56;
    for number in 1..4 {
        // As long as the opening record of the next start.
        prepared.log.append(record(number, 0)).unwrap();
    }
    // Two operations: the write, and a sync that doesn't complete.
    disk.lose_power_after(1);
    // Nothing of it is reported as durable.
    assert!(
        prepared.writer.step()
            && prepared.log.fault().is_some()
            && *prepared.log.synced_lsn().borrow() == 2
    );
    disk.change(0, |bytes| bytes[end..end + 48].fill(0));
    let disk = disk.after_crash();
    for start in 0..3 {
        let prepared: TestLog = prepare(disk.clone(), OPTIONS, 1).unwrap();
        assert_eq!(prepared.records, [(2, record(0, 8))], "start {start}");
        assert_eq!(prepared.torn, start == 0, "start {start}");
    }
}

/// Ends all faults of the disk and has everything synced; gives whether there was a fault.
fn repair(disk: &MemoryDisk, prepared: &mut TestLog, model: &mut Model, seed: u64) -> bool {
    disk.fail_writes(false);
    disk.fail_randomly(0, 0);
    disk.set_capacity(1 << 40);
    let had_fault = prepared.log.fault().is_some();
    while prepared.log.fault().is_some() || prepared.writer.has_work() {
        assert!(model.step(prepared), "seed {seed}");
    }
    let last = model.appended.last().map_or(0, |(lsn, _)| *lsn);
    model.synced = *prepared.log.synced_lsn().borrow();
    assert!(
        model.synced >= last,
        "seed {seed}: {last} was accepted, {} is synced",
        model.synced
    );
    had_fault
}

/// Failing writes and syncs and a full disk, each for a while, with crashes between them: synced
/// records are there, in order and once; and once the disk works again, all accepted records are
/// synced.
fn play_faults(seed: u64, planted_fault: Option<PlantedFault>) -> (u64, u64) {
    let mut rng = Rng::new(seed);
    let mut disk = MemoryDisk::default();
    let mut model = Model::default();
    let (mut failed, mut recovered) = (0, 0);
    for start in 0..8 {
        if let Some(planted_fault) = planted_fault {
            disk.plant_fault(planted_fault);
        }
        disk.fail_writes(rng.one_in(6));
        let mut prepared: TestLog = prepare(disk.clone(), OPTIONS, seed * 100 + start).unwrap();
        if *prepared.log.synced_lsn().borrow() > 0 {
            model.check(&prepared, seed);
        }
        for _ in 0..rng.below(8) {
            // Without a sync since this start, nothing that was read is certain.
            if *prepared.log.synced_lsn().borrow() == 0 {
                disk.fail_writes(false);
                while *prepared.log.synced_lsn().borrow() == 0 {
                    prepared.writer.step();
                }
                model.check(&prepared, seed);
            }
            match rng.below(3) {
                0 => disk.fail_writes(true),
                1 => disk.fail_randomly(10 + rng.below(80), rng.below(1 << 40)),
                _ => disk.set_capacity(rng.below(70 << 10)),
            }
            for _ in 0..rng.below(30) {
                model.play(&mut prepared, &mut rng, 4);
                prepared
                    .writer
                    .retry_delay()
                    .is_some()
                    .then(|| model.step(&mut prepared));
            }
            model.synced = *prepared.log.synced_lsn().borrow();
            if rng.one_in(3) {
                break;
            }
            recovered += u64::from(repair(&disk, &mut prepared, &mut model, seed));
        }
        failed += disk.failed();
        disk = if rng.one_in(3) {
            disk.after_crash()
        } else {
            disk.after_power_loss(&mut rng)
        };
        disk.fail_writes(false);
        disk.set_capacity(1 << 40);
    }
    (failed, recovered)
}

#[test]
fn a_failing_disk_neither_loses_nor_duplicates_records() {
    let (mut failed, mut recovered) = (0, 0);
    for seed in 0..SEEDS {
        let (of_seed, times) = play_faults(seed, None);
        failed += of_seed;
        recovered += times;
    }
    assert!(
        failed > 30 * SEEDS && recovered > SEEDS,
        "{failed} failed, {recovered} recovered"
    );
}

/// The check above detects a failed write, or a failed sync, that counts as done.
#[test]
fn a_failed_write_or_sync_that_counts_as_done_is_detected() {
    for planted_fault in [PlantedFault::Write, PlantedFault::Sync] {
        let played =
            |seed| std::panic::catch_unwind(|| play_faults(seed, Some(planted_fault))).is_err();
        let found = (0..40).filter(|seed| played(*seed)).count();
        assert!(
            found > 20,
            "{planted_fault:?} is detected by {found} seeds of 40"
        );
    }
}
