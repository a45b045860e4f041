//! A small HTTP/1.1 client and server side, enough for the stand-ins: one request at a time on a
//! connection, bodies with a length, in chunks, or up to the end of the connection.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A head and a body, of a request or of an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body came to its declared end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head; none at the end of the connection.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message. `to_end`: without a length it goes on to the end of the connection.
pub fn read_body(from: &mut impl BufRead, message: &mut Message, to_end: bool) -> io::Result<()> {
    let chunked = message
        .header("Transfer-Encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        let mut line = String::new();
        loop {
            line.clear();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                message.whole = true;
                return Ok(());
            }
            chunk.truncate(size);
            message.body.extend_from_slice(&chunk);
        }
    }
    match message.header("Content-Length").and_then(|n| n.parse::<usize>().ok()) {
        Some(length) => {
            message.body = vec![0; length];
            from.read_exact(&mut message.body)?;
            message.whole = true;
        }
        None if to_end => {
            from.read_to_end(&mut message.body)?;
        }
        None => message.whole = true,
    }
    Ok(())
}

/// Sends one request on a connection of its own and reads the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, within)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(within))?;
    stream.set_write_timeout(Some(within))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("Host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("Connection: close\r\n\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(&stream);
    loop {
        let Some(mut answer) = read_head(&mut reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        if (100..200).contains(&answer.status()) {
            continue;
        }
        if let Err(error) = read_body(&mut reader, &mut answer, true) {
            // What came of it is handed over, as not whole.
            if answer.body.is_empty() {
                return Err(error);
            }
        }
        return Ok(answer);
    }
}
