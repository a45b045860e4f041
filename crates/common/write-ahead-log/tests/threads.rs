//! Appenders, the disk's thread and the one who closes, in the orders that the scheduler may give them: no ticket is
//! said to be on disk before its write is, and closing leaves nothing behind.

#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod support;

use shuttle::sync::{Condvar, Mutex};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex as Plain};
use support::{record, MemoryDisk, Rng};
use write_ahead_log::{prepare, DiskRing, Monitor, Options, Prepared, Shared, StdMonitor};

const OPTIONS: Options = Options {
    file_bytes: 16 << 10,
    files_most: 3,
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

type Ring = DiskRing<Played<Shared>>;

/// What the ring says is on disk is there if the power goes now.
fn holds(ring: &Ring, disk: &MemoryDisk) {
    let said = *ring.synced().borrow();
    let found: Prepared<_, StdMonitor<Shared>> =
        prepare(disk.after_power_loss(&mut Rng::new(said)), OPTIONS, 0).unwrap();
    // The first ticket is the ring's own.
    let back = found
        .records
        .iter()
        .filter(|(ticket, _)| *ticket <= said)
        .count() as u64;
    assert_eq!(back + 1, said.max(1), "{said} are said to be on disk");
}

fn play(appenders: u64, each: u64) {
    let disk = MemoryDisk::default();
    let Prepared {
        ring, mut writer, ..
    } = prepare::<_, Played<Shared>>(disk.clone(), OPTIONS, 1).unwrap();
    // The second file is made first, or its steps would multiply the orders of one appender; others meet it.
    while appenders == 1 && writer.has_work() {
        writer.step();
    }
    let ring = Arc::new(ring);
    let writer = shuttle::thread::spawn(move || writer.run());
    let taken = Arc::new(Plain::new(0));
    let threads: Vec<_> = (0..appenders)
        .map(|appender| {
            let (ring, disk, taken) = (ring.clone(), disk.clone(), taken.clone());
            shuttle::thread::spawn(move || {
                let mut last = 0;
                for number in 0..each {
                    // One that comes after the end is refused, not lost.
                    if let Ok(ticket) = ring.append(record(appender * 100 + number, 20)) {
                        assert!(ticket > last, "tickets rise");
                        last = ticket;
                        *taken.lock().unwrap() += 1;
                    }
                    holds(&ring, &disk);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let ring = Arc::into_inner(ring).expect("the appenders are gone");
    let synced = ring.synced();
    ring.close();
    writer.join().unwrap();
    let taken = *taken.lock().unwrap();
    assert_eq!(
        *synced.borrow(),
        taken + 1,
        "all that was taken is on disk at the end"
    );
    let found: Prepared<_, StdMonitor<Shared>> =
        prepare(disk.after_power_loss(&mut Rng::new(0)), OPTIONS, 0).unwrap();
    assert_eq!(found.records.len() as u64, taken);
}

#[test]
fn one_appender_in_all_orders() {
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
fn two_appenders_in_many_orders() {
    shuttle::check_random(|| play(2, 3), 400);
    shuttle::check_pct(|| play(3, 2), 400, 3);
}

/// Closing while others append: each either gets a ticket that is on disk in the end, or a refusal.
#[test]
fn closing_between_appends() {
    shuttle::check_random(
        || {
            let disk = MemoryDisk::default();
            let Prepared { ring, writer, .. } =
                prepare::<_, Played<Shared>>(disk.clone(), OPTIONS, 1).unwrap();
            let writer = shuttle::thread::spawn(move || writer.run());
            let synced = ring.synced();
            let ring = Arc::new(Mutex::new(Some(ring)));
            let appender = {
                let ring = ring.clone();
                shuttle::thread::spawn(move || {
                    let append = |number| {
                        ring.lock()
                            .unwrap()
                            .as_ref()
                            .and_then(|ring| ring.append(record(number, 9)).ok())
                    };
                    (0..4).filter_map(append).max()
                })
            };
            let ring = ring.lock().unwrap().take();
            ring.expect("it is closed only here").close();
            let last = appender.join().unwrap().unwrap_or(1);
            writer.join().unwrap();
            assert_eq!(*synced.borrow(), last);
        },
        1000,
    );
}

/// An append gets to the disk by itself, also after a release, which wakes nobody.
#[test]
fn appends_wake_the_thread() {
    let append_and_wait = || {
        let disk = MemoryDisk::default();
        let Prepared { ring, writer, .. } = prepare::<_, Played<Shared>>(disk, OPTIONS, 1).unwrap();
        let writer = shuttle::thread::spawn(move || writer.run());
        let synced = ring.synced();
        for number in 0..3 {
            let ticket = ring.append(record(number, 9)).unwrap();
            // Fails by the number of its steps if this never happens.
            while *synced.borrow() < ticket {
                shuttle::thread::yield_now();
            }
            ring.release_before(ticket);
        }
        ring.close();
        writer.join().unwrap();
        assert!(synced.has_changed().is_err(), "the thread is gone");
    };
    shuttle::check_random(append_and_wait, 1000);
}
