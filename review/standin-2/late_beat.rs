//! DRAIN: a heartbeat that comes five seconds late, while its runner drains.

use crate::http::{call, request, Message};
use crate::rig::{Record, Rig};
use crate::runner::{Answers, Runner};
use crate::Verdict;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The page's bound, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// So late the one heartbeat is.
const LATE: Duration = Duration::from_millis(5_100);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

const CONFIG: &str = r#"{"Gen":1,"Routes":[{"Name":"r-rating","Host":"club.example","Prefix":"/rating/","Kind":"idempotent","TimeoutMs":4000,"TargetMs":300,"Prio":0,"Svc":"ledger","Tries":2}],"Svcs":[{"Name":"ledger","HealthPath":"/healthz","MaxConns":120,"Proto":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// A proxy that hands everything on after a delay.
fn slow_path(record: &Record, at: SocketAddr, to: SocketAddr, delay: Duration) {
    let listener = TcpListener::bind(at).expect("a free address");
    let record = record.clone();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = record.clone();
            spawn(move || {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
                let mut bytes = Vec::new();
                let mut buffer = [0; 4_096];
                while let Ok(read) = stream.read(&mut buffer) {
                    if read == 0 {
                        break;
                    }
                    bytes.extend_from_slice(&buffer[..read]);
                }
                sleep(delay.saturating_sub(Duration::from_millis(300)));
                let Ok(mut onward) = TcpStream::connect(to) else {
                    return;
                };
                record.say("the late heartbeat reaches its controller");
                let _ = onward.write_all(&bytes);
                let _ = onward.set_read_timeout(Some(Duration::from_secs(2)));
                let mut answer = Vec::new();
                let _ = onward.read_to_end(&mut answer);
                let line = String::from_utf8_lossy(&answer);
                let line = line.lines().next().unwrap_or_default().to_owned();
                record.line(format!("the late heartbeat is answered: {line}"));
                let _ = stream.write_all(&answer);
            });
        }
    });
}

/// Clients that send a request every few milliseconds, each on a connection of its own.
fn clients(record: &Record, gateways: &[SocketAddr], stop: &Arc<AtomicBool>) -> Arc<AtomicU64> {
    let served = Arc::new(AtomicU64::new(0));
    for client in 0..6_u64 {
        let (record, gateways) = (record.clone(), gateways.to_vec());
        let (stop, served) = (Arc::clone(stop), Arc::clone(&served));
        spawn(move || {
            for n in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{client:04x}{n:012x}");
                let headers = [
                    ("Host", "club.example".to_owned()),
                    ("Fordrelay-Attempt-Id", id.clone()),
                    ("Fordrelay-Deadline-Ms", "4000".to_owned()),
                ];
                let to = gateways[((client + n) % gateways.len() as u64) as usize];
                let path = format!("/rating/{n}");
                let within = Duration::from_secs(4);
                let answer = call(to, "POST", &path, &headers, b"{}", within);
                let status = answer.as_ref().map_or(0, Message::status);
                record.line(format!("client {id} at {to} answered {status}"));
                served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                sleep(Duration::from_millis(25));
            }
        });
    }
    served
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut rig = Rig::start(record.clone(), 3, 0);
    if rig.put_config(0, CONFIG, Duration::from_secs(15)).is_none() {
        return Verdict::CouldNotRun("the first configuration was not taken");
    }
    let ctls = rig.ctls();
    let answers = Answers::Unary { work_ms: 15 };
    for n in 1..=2 {
        let addr = rig.next_addr();
        let runner = Runner::start(
            record,
            &format!("i-stays-{n}"),
            "ledger",
            addr,
            6,
            answers,
            0,
        );
        runner.send_heartbeats(ctls.clone());
    }
    if !rig.wait_ready(Duration::from_secs(10)) {
        return Verdict::CouldNotRun("a gateway isn't ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = clients(record, &rig.gateways(), &stop);
    // All is calm for `ContactMs` and more.
    sleep(Duration::from_millis(4_000));

    // The runner that will leave: its calls are numbered 0, 1, 2, ...
    let addr = rig.next_addr();
    let runner = Runner::start(record, "i-leaves", "ledger", addr, 6, answers, 0);
    let mut home = None;
    if runner.call_until_acknowledged(&ctls, &mut home).is_none() {
        return Verdict::CouldNotRun("the first heartbeat was not acknowledged");
    }
    sleep(HEARTBEAT);
    if trouble {
        // The second call: its way is slow, there is no answer within a second.
        let to = home.take().unwrap_or(ctls[1]);
        let proxy = rig.next_addr();
        slow_path(record, proxy, to, LATE);
        let (seqno, body) = runner.beat();
        let json = [("Content-Type", "application/json".to_owned())];
        record.say(format!(
            "i-leaves calls {to} over a slow way: Seqno {seqno}"
        ));
        let bytes = request(to, "POST", &runner.beat_path(), &json, body.as_bytes());
        let Ok(mut stream) = TcpStream::connect(proxy) else {
            return Verdict::CouldNotRun("no proxy");
        };
        let _ = stream.write_all(&bytes);
        sleep(Duration::from_secs(1));
        // The caller gives up, and calls the next controller.
        drop(stream);
        let next = ctls.iter().copied().find(|ctl| *ctl != to);
        home = next;
    }
    if runner.call_until_acknowledged(&ctls, &mut home).is_none() {
        return Verdict::CouldNotRun("a heartbeat was not acknowledged");
    }
    sleep(HEARTBEAT);
    if !trouble {
        // As many calls as with the disruption.
        runner.call_until_acknowledged(&ctls, &mut home);
    }
    runner.call_until_acknowledged(&ctls, &mut home);
    sleep(Duration::from_millis(200));
    let reached_before = runner.runs.lock().expect("no panic holds it").len();

    runner.draining.store(true, Ordering::SeqCst);
    let Some(acknowledged) = runner.call_until_acknowledged(&ctls, &mut home) else {
        return Verdict::CouldNotRun("draining was not acknowledged");
    };
    record.say(format!(
        "draining acknowledged; {reached_before} requests had reached the runner"
    ));
    // It serves on, and goes on with its heartbeats.
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        sleep(HEARTBEAT);
        runner.call_until_acknowledged(&ctls, &mut home);
    }
    let left = runner.leave(&ctls);
    runner.ended.store(true, Ordering::SeqCst);
    stop.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(500));

    let runs = runner.runs.lock().expect("no panic holds it").clone();
    let late: Vec<u64> = runs
        .iter()
        .map(|run| run.at.saturating_sub(acknowledged))
        .filter(|after| *after > DRAIN_MS)
        .collect();
    record.say(format!(
        "{} requests served; {} reached i-leaves, {} of them later than {DRAIN_MS} ms after its draining was acknowledged",
        served.load(Ordering::SeqCst),
        runs.len(),
        late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        record.say(format!(
            "from {first} to {last} ms after the acknowledgement"
        ));
    }
    if !rig.all_run()
        || left.is_none()
        || reached_before == 0
        || served.load(Ordering::SeqCst) < 100
    {
        return Verdict::CouldNotRun("the deployment was not sound");
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
