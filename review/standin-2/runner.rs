//! A runner: takes requests, answers them as its service does, and keeps a list of what reached it.

use crate::http::{call, Message, Reader};
use crate::rig::{ctl_call, Record};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How a runner answers.
#[derive(Debug, Clone, Copy)]
pub enum Answers {
    /// One body after so many milliseconds.
    Unary { work_ms: u64 },
    /// So many events, so many milliseconds apart.
    Stream { events: u32, gap_ms: u64 },
}

/// A request that reached a runner and was run.
#[derive(Debug, Clone)]
pub struct Run {
    /// When it came.
    pub at: u64,
    /// When its answer ended; 0 while it runs, or if it broke off.
    pub ended: u64,
    /// Its `Fordrelay-Attempt-Id`.
    pub id: String,
}

pub struct Runner {
    pub id: String,
    pub svc: String,
    pub addr: SocketAddr,
    pub slots: u32,
    pub answers: Answers,
    pub runs: Mutex<Vec<Run>>,
    pub draining: AtomicBool,
    pub ended: AtomicBool,
    /// The first event of a fresh stream comes after so long; 0: after a usual pause.
    pub first_event_ms: AtomicU64,
    /// The version of its software: `Gen` of its heartbeats.
    pub version: Mutex<&'static str>,
    /// Every so many-th request is answered with 500; 0: none.
    pub fail_every: AtomicU64,
    seqno: AtomicU64,
    running: AtomicU32,
    record: Record,
}

impl Runner {
    /// A runner that listens from now on. Its calls count from `first_seqno`.
    pub fn start(
        record: &Record,
        id: &str,
        svc: &str,
        addr: SocketAddr,
        slots: u32,
        answers: Answers,
        first_seqno: u64,
    ) -> Arc<Self> {
        let runner = Arc::new(Runner {
            id: id.to_owned(),
            svc: svc.to_owned(),
            addr,
            slots,
            answers,
            runs: Mutex::default(),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            first_event_ms: AtomicU64::new(0),
            version: Mutex::new("v1"),
            fail_every: AtomicU64::new(0),
            seqno: AtomicU64::new(first_seqno),
            running: AtomicU32::new(0),
            record: record.clone(),
        });
        let listener = TcpListener::bind(addr).expect("a free address");
        let shared = Arc::clone(&runner);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = Arc::clone(&shared);
                spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// The body of its next call, and the call's number.
    pub fn beat(&self) -> (u64, String) {
        let seqno = self.seqno.fetch_add(1, Ordering::SeqCst);
        let state = if self.draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "up"
        };
        let body = format!(
            "{{\"Svc\":\"{}\",\"Address\":\"{}\",\"Zone\":\"north\",\"Gen\":\"{}\",\"Slots\":{},\"State\":\"{state}\",\
             \"ColdLeftMs\":0,\"Phase\":\"both\",\"Models\":[{{\"Name\":\"m\",\"Gen\":1,\"Loras\":[]}}],\"Seqno\":{seqno}}}",
            self.svc,
            self.addr,
            self.version.lock().expect("no panic holds it"),
            self.slots
        );
        (seqno, body)
    }

    pub fn beat_path(&self) -> String {
        format!("/-/runners/{}/beat", self.id)
    }

    /// One call to one controller: whether it was acknowledged, and the address for later ones.
    pub fn call_ctl(&self, to: SocketAddr) -> Option<Option<SocketAddr>> {
        let (seqno, body) = self.beat();
        let json = [("Content-Type", "application/json".to_owned())];
        let answer = ctl_call(to, "POST", &self.beat_path(), &json, body.as_bytes());
        let status = answer.as_ref().map_or(0, Message::status);
        let drains = self.draining.load(Ordering::SeqCst);
        self.record.line(format!(
            "{} calls {to}: Seqno {seqno}{} answered {status}",
            self.id,
            if drains { " draining" } else { "" }
        ));
        let answer = answer.ok().filter(|_| (200..300).contains(&status))?;
        let text = answer.text();
        let named = text.split("\"BeatUrl\":\"").nth(1);
        let named = named.and_then(|rest| rest.split('"').next()?.parse().ok());
        Some(named)
    }

    /// Calls at once, at the next controller where one fails, until one acknowledges; then the
    /// address for later calls.
    pub fn call_until_acknowledged(
        &self,
        ctls: &[SocketAddr],
        home: &mut Option<SocketAddr>,
    ) -> Option<u64> {
        for turn in 0..3 * ctls.len() {
            let to = home.take().unwrap_or(ctls[turn % ctls.len()]);
            if let Some(named) = self.call_ctl(to) {
                *home = Some(named.unwrap_or(to));
                return Some(self.record.now());
            }
        }
        None
    }

    /// Sends heartbeats as a runner does, for as long as it lives.
    pub fn send_heartbeats(self: &Arc<Self>, ctls: Vec<SocketAddr>) {
        let runner = Arc::clone(self);
        spawn(move || {
            let mut home = None;
            while !runner.ended.load(Ordering::SeqCst) {
                runner.call_until_acknowledged(&ctls, &mut home);
                sleep(Duration::from_millis(1_200));
            }
        });
    }

    /// Says that it ends, until a controller acknowledges.
    pub fn leave(&self, ctls: &[SocketAddr]) -> Option<u64> {
        let path = format!("/-/runners/{}/leave", self.id);
        for turn in 0..3 * ctls.len() {
            let to = ctls[turn % ctls.len()];
            let answer = call(to, "POST", &path, &[], b"", Duration::from_secs(1));
            let status = answer.map_or(0, |answer| answer.status());
            self.record
                .line(format!("{} leaves at {to}: answered {status}", self.id));
            if (200..300).contains(&status) {
                return Some(self.record.now());
            }
        }
        None
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.message(false) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let mut words = request.line.split(' ');
        let (method, path) = (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        );
        if method == "GET" {
            return self.answer_probe(path, writer);
        }
        let id = request.header("fordrelay-attempt-id").unwrap_or_default();
        let wanted = request.header("fordrelay-want-runner");
        let own = format!(
            "Fordrelay-Attempt-Id: {id}\r\nFordrelay-Runner: {}\r\nFordrelay-Runner-Load: {}\r\n",
            self.id,
            self.load()
        );
        if wanted.is_some_and(|wanted| wanted != self.id) {
            return writer.write_all(
                format!("HTTP/1.1 421 Misdirected Request\r\n{own}Fordrelay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                    .as_bytes(),
            );
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return writer.write_all(
                format!(
                    "HTTP/1.1 503 Service Unavailable\r\n{own}Fordrelay-Not-Run: 1\r\nRetry-After: 0.2\r\n\
                     Content-Length: 0\r\n\r\n"
                )
                .as_bytes(),
            );
        }
        let at = self.record.now();
        self.record.line(format!("{} runs {id} {path}", self.id));
        let place = {
            let mut runs = self.runs.lock().expect("no panic holds it");
            runs.push(Run {
                at,
                ended: 0,
                id: id.to_owned(),
            });
            runs.len() - 1
        };
        let every = self.fail_every.load(Ordering::SeqCst);
        let done = if every > 0 && place as u64 % every == every - 1 {
            sleep(Duration::from_millis(15));
            writer.write_all(
                format!("HTTP/1.1 500 Internal Server Error\r\n{own}Content-Length: 0\r\n\r\n")
                    .as_bytes(),
            )
        } else {
            self.run(request, &own, writer)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        if done.is_ok() {
            let mut runs = self.runs.lock().expect("no panic holds it");
            runs[place].ended = self.record.now();
        }
        done
    }

    fn run(&self, request: &Message, own: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let seal = "Fordrelay-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
        match self.answers {
            Answers::Unary { work_ms } => {
                sleep(Duration::from_millis(work_ms));
                let body = "{\"rating\":1500}";
                writer.write_all(
                    format!(
                        "HTTP/1.1 200 OK\r\n{own}{seal}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                        body.len()
                    )
                    .as_bytes(),
                )
            }
            Answers::Stream { events, gap_ms } => {
                let after = request.header("last-event-id");
                let from = after
                    .and_then(|n| n.parse::<u32>().ok())
                    .map_or(0, |n| n + 1);
                writer.write_all(
                    format!(
                        "HTTP/1.1 200 OK\r\n{own}{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                    )
                    .as_bytes(),
                )?;
                for n in from..events {
                    let first = self.first_event_ms.load(Ordering::SeqCst);
                    let fresh = n == 0 && first > 0;
                    sleep(Duration::from_millis(if fresh { first } else { gap_ms }));
                    let event = format!("id: {n}\ndata: token {n}\n\n");
                    writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
                }
                writer.write_all(b"0\r\n\r\n")
            }
        }
    }

    fn answer_probe(&self, path: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let (status, body) = match path {
            "/-/report" => {
                let active = self.running.load(Ordering::SeqCst);
                (
                    "200 OK",
                    format!(
                        "{{\"Phase\":\"both\",\"Models\":[{{\"Name\":\"m\",\"Gen\":1,\"Loras\":[]}}],\"Load\":false,\
                         \"Seqno\":0,\"Queued\":0,\"Active\":{active},\"KvInUse\":{},\"KvSize\":400843,\"Sessions\":0}}",
                        active * 1_000
                    ),
                )
            }
            "/healthz" => ("200 OK", String::new()),
            _ => ("404 Not Found", String::new()),
        };
        writer.write_all(
            format!(
                "HTTP/1.1 {status}\r\nFordrelay-Runner: {}\r\nFordrelay-Runner-Load: {}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                self.id,
                self.load(),
                body.len()
            )
            .as_bytes(),
        )
    }
}
