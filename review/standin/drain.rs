//! DRAIN: a runner's leave is acknowledged, then every process is killed and comes back; a heartbeat that the runner
//! had sent before it left arrives late.

use crate::cluster::{Cluster, ZONES};
use crate::net::call;
use crate::operator::{order, put, HOST, PLAIN, STREAM};
use crate::record::Record;
use crate::runner::{Manner, Runner};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

pub fn run(record: &Record, folder: &Path, trouble: bool) -> i32 {
    let mut cluster = Cluster::new(folder, 3, 0);
    cluster.start_all();
    let ctl = cluster.controllers();
    if !put(record, &ctl, 0, 3, Duration::from_secs(15)) {
        record.say("no configuration was taken");
        return 2;
    }
    let ip = |n: usize| format!("127.{}.{}.1", cluster.plan.http(0).ip().to_string().split('.').nth(1).unwrap(), 100 + n);
    let runners: Vec<Runner> = (0..4)
        .map(|n| Runner::start(record, &format!("i-stream{n}"), STREAM, ZONES[n % 3], &ip(n), true, ctl.clone()))
        .collect();
    for runner in &runners {
        // Streams of less than a second, as long as the site's.
        *runner.shared.manner.lock().unwrap() = Manner { first_ms: 60, events: 18, gap_ms: 40, slots: 24 };
    }
    let plain: Vec<Runner> = (0..2)
        .map(|n| Runner::start(record, &format!("i-plain{n}"), PLAIN, ZONES[n % 3], &ip(10 + n), false, ctl.clone()))
        .collect();
    if !cluster.wait_ready(Duration::from_secs(15)) {
        record.say("the gateways are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(4));

    // Clients: some requests a second to each gateway.
    let over = Arc::new(AtomicBool::new(false));
    let ending = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = cluster
        .gateways()
        .into_iter()
        .cycle()
        .take(12)
        .enumerate()
        .map(|(n, gateway)| {
            let (over, ending) = (Arc::clone(&over), Arc::clone(&ending));
            let (sent, record) = (Arc::clone(&sent), record.clone());
            thread::spawn(move || {
                let (mut served, mut cut) = (0, 0);
                while !over.load(Ordering::SeqCst) {
                    let number = sent.fetch_add(1, Ordering::SeqCst);
                    let attempt = format!("{:016x}", 0xa000_0000_0000_0000_u64 + number);
                    let headers = [
                        ("Host", HOST.to_owned()),
                        ("Fordrelay-Attempt-Id", attempt.clone()),
                        ("Fordrelay-Model", "m".to_owned()),
                        ("Fordrelay-Tokens", "540,16".to_owned()),
                        ("Fordrelay-Deadline-Ms", "4000".to_owned()),
                    ];
                    let answer = call(gateway, "POST", "/pufi791/2f", &headers, b"position", Duration::from_secs(4));
                    let said = match answer {
                        Ok(answer) if answer.whole => {
                            served += u64::from(answer.status() == 200);
                            answer.status().to_string()
                        }
                        Ok(answer) => {
                            cut += u64::from(ending.load(Ordering::SeqCst));
                            format!("{} cut", answer.status())
                        }
                        Err(error) => error.to_string(),
                    };
                    record.line(&format!("client {n}: {attempt} {said}"));
                    thread::sleep(Duration::from_millis(60));
                }
                (served, cut)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    // One runner leaves without having said that it drains. A heartbeat that it has just sent is still on its way.
    let leaving = &runners[0];
    leaving.stop_beats();
    thread::sleep(Duration::from_millis(1_200));
    let late = leaving.next_beat("up");
    let path = format!("/-/runners/{}/leave", leaving.shared.id);
    let acknowledged = order(&ctl, "POST", &path, &[], "", Instant::now() + Duration::from_secs(4));
    let left_at = Instant::now();
    record.line(&format!("runner {}: leave {acknowledged:?}", leaving.shared.id));
    if !matches!(acknowledged, Some((200, _))) {
        record.say("the leave was not acknowledged");
        return 2;
    }
    if trouble {
        record.line("every process is killed");
        for process in &mut cluster.processes {
            process.kill();
        }
        thread::sleep(Duration::from_millis(800));
        for at in 0..cluster.processes.len() {
            cluster.write_settings(&cluster.processes[at], false);
            cluster.processes[at].start();
        }
        record.line("every process is started again");
    } else {
        thread::sleep(Duration::from_millis(800));
    }
    let back_at = Instant::now();
    // The heartbeat arrives, 5 s late.
    thread::sleep((left_at + Duration::from_secs(5)).saturating_duration_since(Instant::now()));
    let path = format!("/-/runners/{}/beat", leaving.shared.id);
    for to in &ctl {
        let answer = call(*to, "POST", &path, &[("Content-Type", "application/json".into())], late.as_bytes(), Duration::from_secs(1));
        record.line(&format!("runner {}: the late heartbeat at {to}: {:?}", leaving.shared.id, answer.as_ref().map(|a| a.status())));
        if answer.is_ok_and(|a| a.status() == 200) {
            break;
        }
    }
    // It serves on for some seconds, and ends.
    thread::sleep((left_at + Duration::from_millis(8_700)).saturating_duration_since(Instant::now()));
    ending.store(true, Ordering::SeqCst);
    leaving.end();
    record.line(&format!("runner {}: ends", leaving.shared.id));
    thread::sleep(Duration::from_secs(1));
    over.store(true, Ordering::SeqCst);
    let counts = clients.into_iter().map(|client| client.join().unwrap_or((0, 0)));
    let (served, cut) = counts.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));

    // In touch: untroubled for ContactMs, or for twice that after a fault that took most of the core.
    let in_touch = if trouble { back_at + Duration::from_millis(2 * CONTACT_MS) } else { left_at };
    let bound = left_at + Duration::from_millis(DRAIN_MS);
    let late_runs: Vec<_> = leaving.arrivals().into_iter().filter(|a| a.ran && a.at > bound && a.at > in_touch).collect();
    let all_late = leaving.arrivals().into_iter().filter(|a| a.ran && a.at > bound).count();
    record.say(&format!(
        "leave acknowledged at {:.3} s; requests that reached the runner later than DrainMs after that: {all_late}, of these sent on by machines in touch: {}; served in all: {served}; answers cut when the runner ended: {cut}",
        record.seconds(left_at),
        late_runs.len()
    ));
    for run in late_runs.iter().take(5) {
        record.say(&format!("  {:.3} s  {} {} runs at the runner that has left", record.seconds(run.at), run.attempt, run.path));
    }
    let ended_by_itself = cluster.processes.iter_mut().any(|p| p.has_ended());
    drop(plain);
    if ended_by_itself || served == 0 {
        record.say("a process ended by itself, or nothing was served");
        return 2;
    }
    i32::from(!late_runs.is_empty())
}
