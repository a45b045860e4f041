//! The program on loopback, against scripted targets and a scripted discovery.

#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

/// One request or answer: its first line, its header lines in lower case, its body.
#[derive(Debug, Clone)]
pub struct Message {
    pub first: String,
    pub headers: Vec<String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find_map(|h| h.strip_prefix(name)?.strip_prefix(": "))
    }

    pub fn status(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// The next message; none once the other side has closed.
pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = || {
        let mut text = String::new();
        stream
            .read_line(&mut text)
            .ok()
            .filter(|n| *n > 0)
            .map(|_| text.trim_end().to_owned())
    };
    let first = line()?;
    let mut headers = vec![];
    loop {
        match line()? {
            text if text.is_empty() => break,
            text => headers.push(text.split_once(':').map_or(text.clone(), |(name, value)| {
                format!("{}: {}", name.to_lowercase(), value.trim())
            })),
        }
    }
    let mut message = Message {
        first,
        headers,
        body: vec![],
    };
    let length = message
        .header("content-length")
        .map_or(0, |l| l.parse().expect("a length"));
    message.body = vec![0; length];
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// A peer that answers each request as its script says; `None` closes the connection.
pub struct Peer {
    pub addr: SocketAddr,
    /// Each request with the number of its connection; none once that connection is closed.
    pub seen: Receiver<(usize, Option<Message>)>,
}

type Seen = (usize, Option<Message>);

/// A peer that serves each connection in a thread of its own, by its number.
pub fn listening(serve: impl Fn(usize, TcpStream, &Sender<Seen>) + Send + Sync + 'static) -> Peer {
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = socket.local_addr().unwrap();
    let (sender, seen) = channel();
    let serve = std::sync::Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in socket.incoming().flatten().enumerate() {
            let (sender, serve) = (sender.clone(), std::sync::Arc::clone(&serve));
            thread::spawn(move || serve(number, stream, &sender));
        }
    });
    Peer { addr, seen }
}

pub fn peer(script: impl Fn(&Message) -> Option<String> + Send + Sync + Clone + 'static) -> Peer {
    listening(move |number, stream, seen| talk(number, stream, seen, script.clone()))
}

pub fn talk(
    number: usize,
    stream: TcpStream,
    seen: &Sender<(usize, Option<Message>)>,
    script: impl Fn(&Message) -> Option<String>,
) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read(&mut stream) {
        let _ = seen.send((number, Some(message.clone())));
        match script(&message) {
            Some(text) => match stream.get_mut().write_all(text.as_bytes()) {
                Ok(()) if !text.contains("Connection: close") => {}
                _ => return,
            },
            None => return,
        }
    }
    let _ = seen.send((number, None));
}

/// A peer that never answers where its script says nothing, and keeps that connection open.
pub fn silent_peer(script: impl Fn(&Message) -> Option<String> + Send + Sync + 'static) -> Peer {
    listening(move |number, stream, seen| {
        let mut stream = BufReader::new(stream);
        while let Some(message) = read(&mut stream) {
            let _ = seen.send((number, Some(message.clone())));
            if let Some(text) = script(&message) {
                let _ = stream.get_mut().write_all(text.as_bytes());
            }
        }
        let _ = seen.send((number, None));
    })
}

pub fn plain(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A target's answer: each line a chunk, with `ID` standing for the request's id.
pub fn lines(request: &Message, lines: &[&str]) -> String {
    let chunk = |line: &&str| {
        let line = line.replace("ID", request.header("req-id").unwrap_or(""));
        format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
    };
    let chunks: String = lines.iter().map(chunk).collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n")
}

pub const STARTED: &str = r#"{"id":"ID","from":"s","state":"started"}"#;
pub const DONE: &str = r#"{"id":"ID","from":"s","state":"done","result":"r\u00fcn"}"#;

pub fn serving() -> Peer {
    peer(|m| Some(lines(m, &[STARTED, DONE])))
}

pub fn list(version: u64, full: bool, servers: &[(SocketAddr, &str)]) -> String {
    let server = |(n, (addr, state)): (usize, &(SocketAddr, &str))| {
        format!(
            r#"{{"id":"s-{n}","addr":"{addr}","zone":"a","kind":"k","cell":0,"state":"{state}","started_ms":0}}"#
        )
    };
    let servers: Vec<String> = servers.iter().enumerate().map(server).collect();
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        servers.join(",")
    )
}

/// A discovery that gives each call the next text, and then nothing more.
pub fn discovery(answers: Vec<String>) -> (SocketAddr, Receiver<(usize, Option<Message>)>) {
    let next = std::sync::Arc::new(std::sync::Mutex::new(answers.into_iter()));
    let peer = peer(move |_| Some(next.lock().unwrap().next().unwrap_or_default()));
    (peer.addr, peer.seen)
}

/// The program, with a configuration of its own.
pub struct Program {
    pub child: Child,
    pub addr: SocketAddr,
    /// Its second address.
    pub admin: SocketAddr,
    pub log: BufReader<std::process::ChildStderr>,
    pub config: PathBuf,
}

impl Program {
    pub fn start(known: &str, discovery: SocketAddr, sockets: usize) -> Self {
        Program::limited(known, discovery, sockets, 1_024)
    }

    /// With so many descriptors, whatever the configuration says.
    pub fn limited(known: &str, discovery: SocketAddr, sockets: usize, descriptors: usize) -> Self {
        Program::told(known, discovery, (sockets, descriptors), &[])
    }

    /// With other settings: each text in the configuration is replaced by the one beside it.
    pub fn told(
        known: &str,
        discovery: SocketAddr,
        (sockets, descriptors): (usize, usize),
        other: &[(&str, &str)],
    ) -> Self {
        let class = |name: &str, effect: &str| {
            format!(
                r#"{{"name":"{name}","effect":"{effect}","group":"zone","slo-ms":4000,"hard-limit-ms":60000,
                "memory-span-ms":60000,"points":1,"late-worth":0.3}}"#
            )
        };
        let text = format!(
            r#"{{"name":"t","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"2a",
            "limits":{{"sockets":{sockets}}},"known":{known},"settings":{{"allowed":{{"attempts-cap":3,
            "may-cancel":true,"retry-after":true,"max-retry-after-ms":2000}},"classes":[{},{}],
            "goal":{{"whole":1}},"discovery":"on_request","peers-total":1,"zones":["a"],"models":["k"],
            "rules":{{"cold-ms":1,"fall-ms":1,"start-capacity":1,"tip-multiple":3}},
            "specifics":{{"tells-start":true}},"tick-ms":5}}}}"#,
            class("watch", "pure"),
            class("settle", "side_effect")
        );
        let text = other
            .iter()
            .fold(text, |text, (from, to)| text.replacen(from, to, 1));
        let unique = format!("fordrelay-{}-{}.json", std::process::id(), discovery.port());
        let config = std::env::temp_dir().join(unique);
        std::fs::write(&config, text).unwrap();
        let mut child = Command::new("sh")
            .args([
                "-c",
                &format!("ulimit -n {descriptors} && exec \"$0\" serve --config \"$1\""),
            ])
            .arg(env!("CARGO_BIN_EXE_fordrelay"))
            .arg(&config)
            .env("ROUTER_ADMIN_ADDR", "127.0.0.1:0")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut said = |text: &str| loop {
            let mut line = String::new();
            assert!(
                log.read_line(&mut line).unwrap() > 0,
                "the program ended before it served"
            );
            if let Some((_, addr)) = line.trim().split_once(text) {
                break addr.split(' ').next().unwrap().parse().unwrap();
            }
        };
        let (admin, addr) = (said("calls are answered on "), said("serving on "));
        Program {
            child,
            addr,
            admin,
            log,
            config,
        }
    }

    /// Reads the log until a line holds the text.
    pub fn wait_for(&mut self, text: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "the program ended before it said {text:?}"
            );
        }
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
    }

    /// Has it stand still, and comes back once it does.
    pub fn stop(&self) {
        self.signal("STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {}
    }

    pub fn connect(&self) -> BufReader<TcpStream> {
        BufReader::new(TcpStream::connect(self.addr).unwrap())
    }

    /// A call on the second address: its status, and all that came.
    pub fn call(&self, method: &str, path: &str) -> (String, String) {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: h\r\n\r\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        (text.split(' ').nth(1).unwrap_or("").to_owned(), text)
    }

    pub fn ask(&self, class: &str) -> Message {
        let mut client = self.connect();
        client.get_mut().write_all(job(class).as_bytes()).unwrap();
        read(&mut client).expect("an answer")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub fn job(class: &str) -> String {
    format!(
        "POST /a%2Fb?sid=7f&x=%20 HTTP/1.1\r\nHost: h\r\nReq-Id: 9b1f\r\nReq-Kind: {class}\r\nReq-Deadline: 50\r\n\
        Idempotency-Key: kE\r\nContent-Length: 3\r\n\r\n\x01{{ "
    )
}

/// Longer than anything that is waited for here; it is reached only where a test fails.
pub const NEVER: Duration = Duration::from_secs(10);

pub fn with_id(class: &str, id: &str) -> String {
    job(class).replace("9b1f", id)
}

/// The ids of the jobs that a target has seen.
pub fn ids(target: &Receiver<(usize, Option<Message>)>) -> Vec<String> {
    let seen = target.try_iter().filter_map(|(_, message)| message);
    seen.filter_map(|m| m.header("req-id").map(str::to_owned))
        .collect()
}

/// One target, known from the start, and a discovery that has nothing to add.
pub fn with_target(target: &Peer) -> (Program, Receiver<(usize, Option<Message>)>) {
    let (addr, calls) = discovery(vec![]);
    (
        Program::start(&list(1, true, &[(target.addr, "ready")]), addr, 1_024),
        calls,
    )
}
