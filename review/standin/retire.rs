//! LOST: two store machines have been replaced by empty ones at other addresses, and a further machine was added. Later
//! the two are to be emptied. Both are `complete` at once, though they keep what they hold, and are taken away with their
//! disks; one other machine loses its disk right after.

use crate::batch::Job;
use crate::cluster::{Cluster, Role};
use crate::operator::{order, put};
use crate::record::Record;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const SYNC_S: u64 = 6;
const RECOVERY_S: u64 = 12;
const EDGES: usize = 3;
const JOBS: u64 = 40;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> i32 {
    // Three store machines at the start. The others are started later: one is added, two take the places of others.
    let mut cluster = Cluster::new(folder, EDGES, 6);
    let replaced = [EDGES, EDGES + 1];
    let (other, added) = (EDGES + 2, EDGES + 3);
    let spares = [EDGES + 4, EDGES + 5];
    // A machine that takes the place of another one has its name. `NAMES=new`: it has a name of its own.
    let keeps_name = std::env::var("NAMES").map_or(true, |value| value != "new");
    let names = if trouble && !keeps_name { spares } else { replaced };
    let names = names.map(|machine| cluster.process(Role::Store, machine).node.clone());
    if keeps_name {
        for (spare, name) in spares.iter().zip(&names) {
            cluster.rename(*spare, name);
        }
    }
    for at in 0..cluster.processes.len() {
        if cluster.processes[at].machine < added {
            cluster.processes[at].start();
        }
    }
    let (ctl, gateways) = (cluster.controllers(), cluster.gateways());
    if !put(record, &ctl, 0, 3, Duration::from_secs(15)) || !cluster.wait_ready(Duration::from_secs(15)) {
        record.say("no configuration was taken, or the gateways are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));

    let mut jobs: Vec<Job> = Vec::new();
    let mut submit = |from: u64, to: u64| {
        for number in from..to {
            let job = Job::new(number, 6);
            match job.submit(&gateways, number as usize, Duration::from_secs(8)) {
                Some(_) => {
                    record.line(&format!("client: batch job {} accepted (202)", job.id));
                    jobs.push(job);
                }
                None => record.line(&format!("client: batch job {} not accepted", job.id)),
            }
        }
    };
    submit(0, JOBS / 2);
    let mut machines = replaced;
    if trouble {
        for at in 0..2 {
            record.line(&format!("platform: store machine {} is gone for good", replaced[at]));
            cluster.process(Role::Store, replaced[at]).kill();
            cluster.wipe(replaced[at]);
            thread::sleep(Duration::from_secs(2));
            cluster.write_settings_again(spares[at]);
            cluster.process(Role::Store, spares[at]).start();
            record.line(&format!("platform: an empty machine takes its place, at another address: {}", names[at]));
            machines[at] = spares[at];
            // Calm for longer than SyncS: it does not count as lost any more.
            thread::sleep(Duration::from_secs(SYNC_S + 3));
        }
    }
    cluster.write_settings_again(added);
    cluster.process(Role::Store, added).start();
    record.line("platform: a store machine is added");
    submit(JOBS / 2, JOBS);
    thread::sleep(Duration::from_secs(SYNC_S + 2));

    let headers = [("Content-Type", "application/json".to_owned())];
    let asked = Instant::now();
    for name in &names {
        let path = format!("/-/retire/{name}/begin");
        let begun = order(&ctl, "POST", &path, &headers, "{\"OverS\":9}", asked + Duration::from_secs(4));
        record.line(&format!("operator: POST {path}: {begun:?}"));
        if !matches!(begun, Some((200, _))) {
            record.say("an order was not acknowledged");
            return 2;
        }
    }
    let mut left: Vec<usize> = vec![0, 1];
    while !left.is_empty() {
        left.retain(|at| {
            let path = format!("/-/retire/{}/get", names[*at]);
            let state = order(&ctl, "GET", &path, &[], "", Instant::now() + Duration::from_secs(4));
            let complete = matches!(&state, Some((200, text)) if text.contains("complete"));
            if complete {
                // At `complete` the machine is taken away at once, with its disk.
                cluster.process(Role::Store, machines[*at]).kill();
                cluster.wipe(machines[*at]);
                record.line(&format!("operator: GET {path}: {state:?}"));
                record.say(&format!("{} is `complete` {:.1} s after the order, and taken away with its disk", names[*at], asked.elapsed().as_secs_f64()));
            }
            !complete
        });
        if asked.elapsed() > Duration::from_secs(40) {
            record.say("the machines were not emptied in 40 s");
            return 2;
        }
        thread::sleep(Duration::from_millis(100));
    }
    // Right after it one other machine loses its disk.
    cluster.process(Role::Store, other).kill();
    cluster.wipe(other);
    record.line("platform: another store machine loses its disk");
    thread::sleep(Duration::from_secs(2));
    cluster.write_settings_again(other);
    cluster.process(Role::Store, other).start();
    record.line("platform: it is back, with an empty disk");
    thread::sleep(Duration::from_secs(RECOVERY_S));

    // All are read, again after each failure, eight times at most.
    let readers: Vec<_> = jobs
        .iter()
        .cloned()
        .map(|job| {
            let (record, gateways) = (record.clone(), gateways.clone());
            thread::spawn(move || {
                let mut answers = Vec::new();
                let found = (0..8).any(|at| {
                    let answer = job.read(gateways[at % gateways.len()], 0);
                    let found = matches!(&answer, Some((200, text)) if text.contains("\"Total\":6"));
                    answers.push(answer.map_or_else(|| "none".into(), |(status, _)| status.to_string()));
                    if !found {
                        thread::sleep(Duration::from_millis(500));
                    }
                    found
                });
                record.line(&format!("client: batch job {}: read {}", job.id, answers.join(" ")));
                found
            })
        })
        .collect();
    let lost = readers.into_iter().map(|reader| reader.join().unwrap_or(false)).filter(|found| !found).count();
    record.say(&format!("{} batch jobs were accepted with 202; {lost} of them can't be read {RECOVERY_S} s after the machine is back", jobs.len()));
    let alive = [Role::Controller, Role::Gateway].into_iter().all(|role| (0..EDGES).all(|m| !cluster.process(role, m).has_ended()));
    if jobs.len() < 10 || !alive {
        record.say("too few batch jobs were accepted, or a process ended by itself");
        return 2;
    }
    i32::from(lost > 0)
}
