//! A server that gives each call a prepared answer.

use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::JoinHandle;

/// Answers so many calls, one a connection, and records the requests.
pub struct StubServer {
    pub addr: SocketAddr,
    calls: JoinHandle<Vec<String>>,
}

/// The answer to a call.
pub enum Answer {
    /// A status, further header lines, and a body.
    Status(&'static str, String, String),
    /// The connection ends without an answer, once the call was read.
    Disconnect,
}

/// A status and a body.
pub fn respond(status: &'static str, body: &str) -> Answer {
    Answer::Status(status, String::new(), body.to_owned())
}

/// A redirect to another server.
pub fn redirect_to(addr: SocketAddr, path: &str) -> Answer {
    Answer::Status(
        "307 Temporary Redirect",
        format!("Location: http://{addr}{path}\r\n"),
        String::new(),
    )
}

impl StubServer {
    pub fn new(answers: Vec<Answer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let calls = std::thread::spawn(move || {
            answers
                .iter()
                .map(|answer| serve(&listener, answer))
                .collect()
        });
        StubServer { addr, calls }
    }

    /// The requests, once all answers are given: method and path, the relevant headers, the body.
    pub fn requests(self) -> Vec<String> {
        self.calls.join().unwrap()
    }
}

fn serve(listener: &TcpListener, answer: &Answer) -> String {
    let (mut stream, _) = listener.accept().unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let (mut requests, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        assert!(
            reader.read_line(&mut line).unwrap() > 0,
            "a call that ends within its head"
        );
        let line = line.trim_end();
        let (name, value) = line.split_once(": ").unwrap_or(("", line));
        match name {
            "" if line.is_empty() => break,
            "" => requests.push_str(line.trim_end_matches(" HTTP/1.1")),
            "content-length" => length = value.parse().unwrap(),
            "host" => requests.push_str(
                &format!(" host={value}")
                    .replace(&listener.local_addr().unwrap().to_string(), "ADDR"),
            ),
            name if name.starts_with("fordrelay-") => {
                requests.push_str(&format!(" {name}={value}"))
            }
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    if let Answer::Status(status, headers, body) = answer {
        let length = body.len();
        write!(
            stream,
            "HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
        )
        .unwrap();
    }
    format!("{requests} {}", String::from_utf8(body).unwrap())
        .trim_end()
        .to_owned()
}

/// An address that refuses connections, reserved meanwhile.
pub struct ClosedPort {
    pub addr: SocketAddr,
    _held: Socket,
}

impl ClosedPort {
    pub fn new() -> Self {
        let held = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        held.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        ClosedPort {
            addr: held.local_addr().unwrap().as_socket().unwrap(),
            _held: held,
        }
    }
}
