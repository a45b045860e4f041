//! Appenders, the writer's thread and the one that closes, in the interleavings that the scheduler
//! may choose: no LSN is reported as durable before its write is, and closing leaves nothing
//! behind.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use shuttle::sync::{Condvar, Mutex};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex as Plain};
use support::{record, MemoryDisk, Rng};
use write_ahead_log::{
    prepare, Monitor, Options, PreparedLog, SharedState, StdMonitor, WriteAheadLog,
};

const OPTIONS: Options = Options {
    segment_bytes: 16 << 10,
    max_segments: 3,
};

struct Played<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T: Send + 'static> Monitor<T> for Played<T> {
    fn new(value: T) -> Self {
        Self {
            value: Mutex::new(value),
            changed: Condvar::new(),
        }
    }

    fn with<R>(&self, act: impl FnOnce(&mut T) -> R) -> R {
        act(&mut self.value.lock().unwrap())
    }

    fn wait<R>(&self, mut act: impl FnMut(&mut T) -> Option<R>) -> R {
        let mut value = self.value.lock().unwrap();
        loop {
            if let Some(result) = act(&mut value) {
                return result;
            }
            value = self.changed.wait(value).unwrap();
        }
    }

    fn wake(&self) {
        self.changed.notify_one();
    }
}

type TestLog = WriteAheadLog<Played<SharedState>>;

/// What the log reports as durable is recovered if the power fails now.
fn holds(log: &TestLog, disk: &MemoryDisk) {
    let reported = *log.synced_lsn().borrow();
    let found: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(disk.after_power_loss(&mut Rng::new(reported)), OPTIONS, 0).unwrap();
    // The first LSN is the opening record's.
    let back = found
        .records
        .iter()
        .filter(|(lsn, _)| *lsn <= reported)
        .count() as u64;
    assert_eq!(
        back + 1,
        reported.max(1),
        "{reported} are reported as durable"
    );
}

fn play(appenders: u64, each: u64) {
    let disk = MemoryDisk::default();
    let PreparedLog {
        log, mut writer, ..
    } = prepare::<_, Played<SharedState>>(disk.clone(), OPTIONS, 1).unwrap();
    // The second segment is preallocated first, or its steps would multiply the interleavings of
    // one appender; several appenders race with it.
    while appenders == 1 && writer.has_work() {
        writer.step();
    }
    let log = Arc::new(log);
    let writer = shuttle::thread::spawn(move || writer.run());
    let taken = Arc::new(Plain::new(0));
    let threads: Vec<_> = (0..appenders)
        .map(|appender| {
            let (log, disk, taken) = (log.clone(), disk.clone(), taken.clone());
            shuttle::thread::spawn(move || {
                let mut last = 0;
                for number in 0..each {
                    // An append after the close is refused, not lost.
                    if let Ok(lsn) = log.append(record(appender * 100 + number, 20)) {
                        assert!(lsn > last, "LSNs rise");
                        last = lsn;
                        *taken.lock().unwrap() += 1;
                    }
                    holds(&log, &disk);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let log = Arc::into_inner(log).expect("the appenders are gone");
    let synced = log.synced_lsn();
    log.close();
    writer.join().unwrap();
    let taken = *taken.lock().unwrap();
    assert_eq!(
        *synced.borrow(),
        taken + 1,
        "all accepted records are durable at the end"
    );
    let found: PreparedLog<_, StdMonitor<SharedState>> =
        prepare(disk.after_power_loss(&mut Rng::new(0)), OPTIONS, 0).unwrap();
    assert_eq!(found.records.len() as u64, taken);
}

#[test]
fn one_appender_in_all_interleavings() {
    const MOST: usize = 100_000;
    static PLAYED: AtomicUsize = AtomicUsize::new(0);
    shuttle::check_dfs(
        || {
            PLAYED.fetch_add(1, Ordering::Relaxed);
            play(1, 1);
        },
        Some(MOST),
    );
    println!("{} orders", PLAYED.load(Ordering::Relaxed));
}

#[test]
fn several_appenders_in_many_interleavings() {
    shuttle::check_random(|| play(2, 3), 400);
    shuttle::check_pct(|| play(3, 2), 400, 3);
}

/// Closing while others append: each append either gets an LSN that is durable in the end, or an
/// error.
#[test]
fn closing_races_with_appends() {
    shuttle::check_random(
        || {
            let disk = MemoryDisk::default();
            let PreparedLog { log, writer, .. } =
                prepare::<_, Played<SharedState>>(disk.clone(), OPTIONS, 1).unwrap();
            let writer = shuttle::thread::spawn(move || writer.run());
            let synced = log.synced_lsn();
            let log = Arc::new(Mutex::new(Some(log)));
            let appender = {
                let log = log.clone();
                shuttle::thread::spawn(move || {
                    let append = |number| {
                        log.lock()
                            .unwrap()
                            .as_ref()
                            .and_then(|log| log.append(record(number, 9)).ok())
                    };
                    (0..4).filter_map(append).max()
                })
            };
            let log = log.lock().unwrap().take();
            log.expect("it is closed only here").close();
            let last = appender.join().unwrap().unwrap_or(1);
            writer.join().unwrap();
            assert_eq!(*synced.borrow(), last);
        },
        1000,
    );
}

/// An append reaches the disk by itself, also after a release, which wakes nobody.
#[test]
fn appends_wake_the_writer() {
    let append_and_wait = || {
        let disk = MemoryDisk::default();
        let PreparedLog { log, writer, .. } =
            prepare::<_, Played<SharedState>>(disk, OPTIONS, 1).unwrap();
        let writer = shuttle::thread::spawn(move || writer.run());
        let synced = log.synced_lsn();
        for number in 0..3 {
            let lsn = log.append(record(number, 9)).unwrap();
            // The scheduler's limit of steps fails the test if this never happens.
            while *synced.borrow() < lsn {
                shuttle::thread::yield_now();
            }
            log.release_before(lsn);
        }
        log.close();
        writer.join().unwrap();
        assert!(synced.has_changed().is_err(), "the thread is gone");
    };
    shuttle::check_random(append_and_wait, 1000);
}
