//! LOST: streams whose runner pauses, at a gateway that is stopped.

use crate::http::request;
use crate::rig::{Record, Rig};
use crate::runner::{Answers, Runner};
use crate::Verdict;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::Duration;

const CONFIG: &str = r#"{"Gen":1,"Routes":[{"Name":"r-notes","Host":"club.example","Prefix":"/notes/","Kind":"streaming","TimeoutMs":6000,"TargetMs":200,"Prio":0,"Svc":"sensei","Tries":2,"Sticky":true,"Resumable":true,"gap_aim_ms":250}],"Svcs":[{"Name":"sensei","HealthPath":"/healthz","MaxConns":220,"Proto":"h1","Tls":false,"Backend":{"Slots":24,"KvCapacity":400843,"KvTokenBytes":327680,"LinkMbps":2200000.0,"stride":16,"Models":[{"Name":"m"}]}}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;
const EVENTS: u32 = 4;
const STREAMS: usize = 12;

/// How a stream ended at its client.
struct Ended {
    id: String,
    /// The end of the body came.
    whole: bool,
    events: usize,
    at: u64,
}

/// A client that reads a stream to its end.
fn client(record: &Record, to: SocketAddr, n: usize) -> JoinHandle<Ended> {
    let record = record.clone();
    spawn(move || {
        let id = format!("{n:016x}");
        let headers = [
            ("Host", "club.example".to_owned()),
            ("Fordrelay-Attempt-Id", id.clone()),
            ("Fordrelay-Deadline-Ms", "6000".to_owned()),
            ("Fordrelay-Model", "m".to_owned()),
            ("Fordrelay-Tokens", "540,80".to_owned()),
            ("Fordrelay-Prompt-Prefix", format!("9c2e41:300,{n:x}:240")),
        ];
        let path = format!("/notes/{n}");
        record.line(format!("client {id} sends to {to}"));
        let mut bytes = Vec::new();
        if let Ok(mut stream) = TcpStream::connect(to) {
            let _ = stream.set_read_timeout(Some(Duration::from_millis(6_500)));
            let _ = stream.write_all(&request(to, "POST", &path, &headers, b"{}"));
            let mut buffer = [0; 4_096];
            while let Ok(read) = stream.read(&mut buffer) {
                if read == 0 {
                    break;
                }
                bytes.extend_from_slice(&buffer[..read]);
                if bytes.ends_with(b"\r\n0\r\n\r\n") {
                    break;
                }
            }
        }
        let text = String::from_utf8_lossy(&bytes);
        let whole = text.starts_with("HTTP/1.1 200") && text.ends_with("\r\n0\r\n\r\n");
        let events = text.matches("data: token").count();
        let at = record.now();
        let status = text.lines().next().unwrap_or_default().to_owned();
        record.line(format!(
            "client {id}: {status:?}, {events} events, {}",
            if whole { "whole" } else { "cut" }
        ));
        Ended {
            id,
            whole,
            events,
            at,
        }
    })
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let mut rig = Rig::start(record.clone(), 3, 0);
    if rig.put_config(0, CONFIG, Duration::from_secs(15)).is_none() {
        return Verdict::CouldNotRun("the first configuration was not taken");
    }
    // Clients give a stream up after a silence of 2 s.
    let gap_ms = if trouble { 1_100 } else { 150 };
    let answers = Answers::Stream {
        events: EVENTS,
        gap_ms,
    };
    let ctls = rig.ctls();
    let runners: Vec<Arc<Runner>> = (1..=3)
        .map(|n| {
            let addr = rig.next_addr();
            let id = format!("i-sensei-{n}");
            let runner = Runner::start(record, &id, "sensei", addr, 24, answers, 1);
            runner.first_event_ms.store(100, Ordering::SeqCst);
            runner.send_heartbeats(ctls.clone());
            runner
        })
        .collect();
    if !rig.wait_ready(Duration::from_secs(10)) {
        return Verdict::CouldNotRun("a gateway isn't ready");
    }
    sleep(Duration::from_millis(4_000));
    let gateway = rig.gateways()[0];
    let clients: Vec<_> = (0..STREAMS).map(|n| client(record, gateway, n)).collect();
    sleep(Duration::from_millis(300));
    let stopped = record.now();
    rig.terminate("gateway", 0);
    let ended: Vec<Ended> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let gone = rig.wait_ended("gateway", 0, Duration::from_secs(10));
    // Requests that were passed on, and that no runner broke off: runners here never do.
    let reached = |id: &str| {
        runners.iter().any(|runner| {
            let runs = runner.runs.lock().expect("no panic holds it");
            runs.iter().any(|run| run.id == id)
        })
    };
    let cut: Vec<&Ended> = ended
        .iter()
        .filter(|e| !e.whole && reached(&e.id))
        .collect();
    for one in &cut {
        record.line(format!(
            "{} was cut {} ms after the SIGTERM, with {} of {EVENTS} events",
            one.id,
            one.at.saturating_sub(stopped),
            one.events
        ));
    }
    record.say(format!(
        "{} of {STREAMS} streams were whole, {} were cut; the pause between events is {gap_ms} ms",
        ended.iter().filter(|e| e.whole).count(),
        cut.len()
    ));
    if !rig.all_run() || !gone || ended.len() != STREAMS {
        return Verdict::CouldNotRun("the deployment was not sound");
    }
    // Each would have been whole well before its deadline, and before the last sixth of `GraceS`.
    if cut.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
