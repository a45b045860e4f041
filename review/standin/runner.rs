//! A runner: serves requests over HTTP/1.1 as the protocol page says, and tells controllers of itself by heartbeats.

use crate::net::{call, read_body, read_head, Message};
use crate::record::Record;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How a runner treats a request that it has read whole.
#[derive(Clone)]
pub struct Manner {
    /// How long it works before the first event or the body.
    pub first_ms: u64,
    /// Events of a stream.
    pub events: u64,
    /// Pause between events.
    pub gap_ms: u64,
    /// Requests of which it declines the rest, as full.
    pub slots: u64,
}

impl Default for Manner {
    fn default() -> Self {
        Manner { first_ms: 20, events: 8, gap_ms: 20, slots: 24 }
    }
}

/// One request that reached the runner.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    pub path: String,
    pub last_event_id: Option<String>,
    pub ran: bool,
}

pub struct Shared {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub streams: bool,
    pub manner: Mutex<Manner>,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub seqno: AtomicU64,
    pub active: AtomicU64,
    pub beats: AtomicBool,
    pub ended: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    record: Record,
}

pub struct Runner {
    pub shared: Arc<Shared>,
}

fn pseudo(seed: &str) -> u64 {
    seed.bytes().fold(0xcbf2_9ce4_8422_2325, |hash: u64, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3))
}

/// The data of an event: the same at every runner.
pub fn event_data(attempt: &str, number: u64) -> String {
    format!("{:016x}", pseudo(&format!("{attempt}/{number}")))
}

impl Runner {
    /// Starts to serve and to send heartbeats.
    pub fn start(record: &Record, id: &str, service: &str, zone: &str, ip: &str, streams: bool, ctl: Vec<SocketAddr>) -> Runner {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a port of a runner");
        let shared = Arc::new(Shared {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            addr: listener.local_addr().expect("its address"),
            streams,
            manner: Mutex::new(Manner::default()),
            arrivals: Mutex::default(),
            seqno: AtomicU64::new(0),
            active: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            ended: AtomicBool::new(false),
            open: Mutex::default(),
            record: record.clone(),
        });
        let serving = Arc::clone(&shared);
        thread::spawn(move || serving.accept(&listener));
        let beating = Arc::clone(&shared);
        thread::spawn(move || beating.beat_on(&ctl));
        Runner { shared }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }

    /// The body of its next heartbeat.
    pub fn next_beat(&self, state: &str) -> String {
        self.shared.beat_body(state)
    }

    /// Sends no more heartbeats.
    pub fn stop_beats(&self) {
        self.shared.beats.store(false, Ordering::SeqCst);
    }

    /// Ends: its connections break off, its port is closed to new ones.
    pub fn end(&self) {
        self.shared.ended.store(true, Ordering::SeqCst);
        self.stop_beats();
        for open in self.shared.open.lock().unwrap().drain(..) {
            let _ = open.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the listener, which sees that it is over.
        let _ = TcpStream::connect(self.shared.addr);
    }
}

impl Shared {
    fn beat_body(&self, state: &str) -> String {
        let seqno = self.seqno.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"Svc\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Gen\":\"v1\",\"Slots\":24,\"State\":\"{state}\",\
             \"ColdLeftMs\":0,\"Phase\":\"both\",\"Models\":[{{\"Name\":\"m\",\"Gen\":1,\"Loras\":[]}}],\"Seqno\":{seqno}}}",
            self.service, self.addr, self.zone
        )
    }

    /// A heartbeat about every 1.2 s; to the next controller where there is no acknowledgement.
    fn beat_on(&self, ctl: &[SocketAddr]) {
        let mut at = pseudo(&self.id) as usize;
        let mut named: Option<SocketAddr> = None;
        while self.beats.load(Ordering::SeqCst) {
            let body = self.beat_body("up");
            for _ in 0..ctl.len() {
                if !self.beats.load(Ordering::SeqCst) {
                    return;
                }
                let to = named.take().unwrap_or(ctl[at % ctl.len()]);
                let path = format!("/-/runners/{}/beat", self.id);
                let answer = call(to, "POST", &path, &[("Content-Type", "application/json".into())], body.as_bytes(), Duration::from_secs(1));
                match answer {
                    Ok(answer) if (200..300).contains(&answer.status()) => {
                        let text = answer.text();
                        let url = text.split("\"BeatUrl\":\"").nth(1).and_then(|rest| rest.split('"').next());
                        named = url.and_then(|url| url.trim_start_matches("http://").split('/').next()?.parse().ok()).or(Some(to));
                        break;
                    }
                    _ => at += 1,
                }
            }
            thread::sleep(Duration::from_millis(1_100));
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = stream else { continue };
            let _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.open.lock().unwrap().push(copy);
            }
            let shared = Arc::clone(self);
            thread::spawn(move || {
                let _ = shared.serve(&stream);
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    }

    fn serve(&self, stream: &TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request, false)?;
            self.answer(stream, &request)?;
        }
        Ok(())
    }

    fn answer(&self, mut stream: &TcpStream, request: &Message) -> std::io::Result<()> {
        let mut words = request.start.split(' ');
        let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or("").to_owned());
        if method == "GET" && path == "/-/report" {
            let body = format!(
                "{{\"Phase\":\"both\",\"Models\":[{{\"Name\":\"m\",\"Gen\":1,\"Loras\":[]}}],\"Load\":false,\"Seqno\":0,\"Queued\":0,\
                 \"Active\":{},\"KvInUse\":1000,\"KvSize\":400843,\"Sessions\":0}}",
                self.active.load(Ordering::SeqCst)
            );
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
        if method == "GET" && path == "/healthz" {
            return write!(stream, "HTTP/1.1 200 OK\r\nFordrelay-Runner: {}\r\nContent-Length: 0\r\n\r\n", self.id);
        }
        let attempt = request.header("Fordrelay-Attempt-Id").unwrap_or("").to_owned();
        let manner = self.manner.lock().unwrap().clone();
        let misdirected = request.header("Fordrelay-Want-Runner").is_some_and(|wanted| wanted != self.id);
        let full = self.active.load(Ordering::SeqCst) >= manner.slots;
        let last_event_id = request.header("Last-Event-Id").map(str::to_owned);
        let arrival = Arrival {
            at: Instant::now(),
            attempt: attempt.clone(),
            path: path.clone(),
            last_event_id: last_event_id.clone(),
            ran: !misdirected && !full,
        };
        self.arrivals.lock().unwrap().push(arrival);
        let ids = format!("Fordrelay-Attempt-Id: {attempt}\r\nFordrelay-Runner: {}\r\n", self.id);
        if misdirected {
            self.record.line(&format!("runner {}: {attempt} {path} 421, another runner is meant", self.id));
            return write!(stream, "HTTP/1.1 421 Misdirected Request\r\n{ids}Fordrelay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        }
        if full {
            self.record.line(&format!("runner {}: {attempt} {path} 503, full", self.id));
            return write!(stream, "HTTP/1.1 503 Service Unavailable\r\n{ids}Fordrelay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        }
        self.active.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("runner {}: {attempt} {path} runs{}", self.id, last_event_id.as_deref().map_or(String::new(), |id| format!(" from event {id} on"))));
        let done = self.run(stream, &attempt, &manner, last_event_id, &ids);
        self.active.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn run(&self, mut stream: &TcpStream, attempt: &str, manner: &Manner, last: Option<String>, ids: &str) -> std::io::Result<()> {
        let ids = format!("{ids}Fordrelay-Seal: {:016x}\r\nFordrelay-Runner-Load: {},0,24\r\n", pseudo(attempt), self.active.load(Ordering::SeqCst));
        if !self.streams {
            thread::sleep(Duration::from_millis(manner.first_ms));
            let body = event_data(attempt, 0);
            return write!(stream, "HTTP/1.1 200 OK\r\n{ids}Content-Length: {}\r\n\r\n{body}", body.len());
        }
        write!(stream, "HTTP/1.1 200 OK\r\n{ids}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        thread::sleep(Duration::from_millis(manner.first_ms));
        let from = last.and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        for number in from + 1..=manner.events {
            let event = format!("id: {number}\ndata: {}\n\n", event_data(attempt, number));
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            if number < manner.events {
                thread::sleep(Duration::from_millis(manner.gap_ms));
            }
        }
        write!(stream, "0\r\n\r\n")
    }
}
