//! EXPOSURE: a version that was taken back, while the next one is rolled out.

use crate::http::{call, Message};
use crate::rig::{ctl_call, Record, Rig};
use crate::runner::{Answers, Runner};
use crate::Verdict;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The page's bounds.
const CANARY_SHARE: f64 = 0.1;
const CANARY_SLACK: f64 = 50.0;
const ROLLBACK_MS: u64 = 5_000;
/// What an order allows, in seconds.
const OVER_S: u64 = 10;
/// The runners of a version that was taken back drain "a few seconds later".
const DRAINS_AFTER: Duration = Duration::from_millis(4_500);
/// Runners of each version.
const RUNNERS: usize = 3;
const CLIENTS: u64 = 16;

const CONFIG: &str = r#"{"Gen":1,"Routes":[{"Name":"r-rating","Host":"club.example","Prefix":"/rating/","Kind":"idempotent","TimeoutMs":4000,"TargetMs":300,"Prio":0,"Svc":"ledger","Tries":2}],"Svcs":[{"Name":"ledger","HealthPath":"/healthz","MaxConns":120,"Proto":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// Clients that send a request every few milliseconds, each on a connection of its own.
fn clients(record: &Record, gateways: &[SocketAddr], stop: &Arc<AtomicBool>) -> Arc<AtomicU64> {
    let served = Arc::new(AtomicU64::new(0));
    for client in 0..CLIENTS {
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
                sleep(Duration::from_millis(20));
            }
        });
    }
    served
}

/// Runners of one version, from now on.
fn runners(
    rig: &mut Rig,
    record: &Record,
    version: &'static str,
    fail_every: u64,
) -> Vec<Arc<Runner>> {
    let ctls = rig.ctls();
    (1..=RUNNERS)
        .map(|n| {
            let addr = rig.next_addr();
            let id = format!("i-{version}-{n}");
            let answers = Answers::Unary { work_ms: 15 };
            let runner = Runner::start(record, &id, "ledger", addr, 6, answers, 1);
            *runner.version.lock().expect("no panic holds it") = version;
            runner.fail_every.store(fail_every, Ordering::SeqCst);
            runner.send_heartbeats(ctls.clone());
            runner
        })
        .collect()
}

/// The operator orders a version; when that was acknowledged.
fn order(record: &Record, ctls: &[SocketAddr], version: &str) -> Option<u64> {
    let body = format!("{{\"Svc\":\"ledger\",\"Target\":\"{version}\",\"OverS\":{OVER_S}}}");
    let json = [("Content-Type", "application/json".to_owned())];
    for turn in 0..20 {
        let to = ctls[turn % ctls.len()];
        let answer = ctl_call(to, "POST", "/-/rollouts/begin", &json, body.as_bytes());
        let status = answer.as_ref().map_or(0, Message::status);
        record.say(format!(
            "operator: roll-out to {version} ordered at {to}, answered {status}"
        ));
        if status == 200 {
            return Some(record.now());
        }
        sleep(Duration::from_millis(200));
    }
    None
}

/// What the operator reads of the roll-out.
fn state(record: &Record, ctls: &[SocketAddr]) -> String {
    let answer = ctl_call(ctls[0], "GET", "/-/rollouts/ledger/get", &[], b"");
    let text = answer.map(|answer| answer.text()).unwrap_or_default();
    record.line(format!("operator: {text}"));
    text
}

/// The platform ends the runners of a version: they drain, then leave.
fn end(runners: &[Arc<Runner>], ctls: &[SocketAddr]) -> bool {
    for runner in runners {
        runner.draining.store(true, Ordering::SeqCst);
    }
    let mut acknowledged = true;
    for runner in runners {
        acknowledged &= runner.call_until_acknowledged(ctls, &mut None).is_some();
    }
    sleep(Duration::from_millis(1_500));
    for runner in runners {
        runner.ended.store(true, Ordering::SeqCst);
        acknowledged &= runner.leave(ctls).is_some();
    }
    acknowledged
}

/// Ids of the requests that reached these runners in a span.
fn reached(runners: &[Arc<Runner>], from: u64, to: u64) -> HashSet<String> {
    let mut ids = HashSet::new();
    for runner in runners {
        let runs = runner.runs.lock().expect("no panic holds it");
        let in_span = runs.iter().filter(|run| run.at >= from && run.at <= to);
        ids.extend(in_span.map(|run| run.id.clone()));
    }
    ids
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut rig = Rig::start_with_rollouts(record.clone(), 3);
    if rig.put_config(0, CONFIG, Duration::from_secs(15)).is_none() {
        return Verdict::CouldNotRun("the first configuration was not taken");
    }
    let ctls = rig.ctls();
    let old = runners(&mut rig, record, "v1", 0);
    if !rig.wait_ready(Duration::from_secs(10)) {
        return Verdict::CouldNotRun("a gateway isn't ready");
    }
    let stop = Arc::new(AtomicBool::new(false));
    let served = clients(record, &rig.gateways(), &stop);
    // All is calm for `ContactMs` and more.
    sleep(Duration::from_millis(5_000));

    let ordered = record.now();
    if order(record, &ctls, "v2").is_none() {
        return Verdict::CouldNotRun("the first order was not acknowledged");
    }
    // Half of its answers fail.
    let bad = runners(&mut rig, record, "v2", 2);
    let give_up = ordered + OVER_S * 1_000;
    while !state(record, &ctls).contains("reverted") {
        if record.now() > give_up {
            return Verdict::CouldNotRun("the bad version was not taken back");
        }
        sleep(Duration::from_millis(200));
    }
    let reverted = record.now();
    let before = reached(&bad, ordered, reverted).len();
    record.say(format!(
        "v2 is reverted {} ms after the order; {before} requests had reached it",
        reverted - ordered
    ));
    let ending = {
        let (bad, ctls) = (bad.clone(), ctls.clone());
        spawn(move || {
            sleep(DRAINS_AFTER);
            end(&bad, &ctls)
        })
    };
    // The next version; without the disruption once the runners of v2 are gone.
    let mut ending = Some(ending);
    let mut ended = None;
    if !trouble {
        ended = ending.take().and_then(|ending| ending.join().ok());
    }
    if order(record, &ctls, "v3").is_none() {
        return Verdict::CouldNotRun("the second order was not acknowledged");
    }
    let next = runners(&mut rig, record, "v3", 0);
    if let Some(ending) = ending {
        ended = ending.join().ok();
    }
    let deadline = ordered + OVER_S * 1_000;
    sleep(Duration::from_millis(
        (deadline + 500).saturating_sub(record.now()),
    ));
    stop.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(500));

    let at_bad = reached(&bad, ordered, deadline);
    let mut all = reached(&old, ordered, deadline);
    all.extend(at_bad.iter().cloned());
    all.extend(reached(&next, ordered, deadline));
    let most = CANARY_SHARE * all.len() as f64 + CANARY_SLACK;
    // Its bad answers, by when they were given.
    let mut bad_answers: Vec<u64> = Vec::new();
    for runner in &bad {
        let runs = runner.runs.lock().expect("no panic holds it");
        bad_answers.extend(runs.iter().skip(1).step_by(2).map(|run| run.at));
    }
    bad_answers.sort_unstable();
    let late = bad_answers.get(49).map_or(0, |at| {
        reached(&bad, at + ROLLBACK_MS + 200, u64::MAX).len()
    });
    record.say(format!(
        "{} of {} requests that reached the service between the order and its deadline reached v2, {before} of them before it \
         was reverted; at most {most:.0} may; {late} were later than RollbackMs after its 50th bad answer; {} were served",
        at_bad.len(),
        all.len(),
        served.load(Ordering::SeqCst)
    ));
    if !rig.all_run() || ended != Some(true) || before == 0 || served.load(Ordering::SeqCst) < 500 {
        return Verdict::CouldNotRun("the deployment was not sound");
    }
    if at_bad.len() as f64 > most || late > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
