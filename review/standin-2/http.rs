//! A small HTTP/1.1 client and server side over blocking sockets, for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head and body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body, whole.
    pub body: Vec<u8>,
}

impl Message {
    /// The first header of this name (in lower case).
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection one after the other.
pub struct Reader {
    stream: TcpStream,
    held: Vec<u8>,
}

fn bad(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader {
            stream,
            held: Vec::new(),
        }
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let read = self.stream.read(&mut buffer)?;
        self.held.extend_from_slice(&buffer[..read]);
        Ok(read)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.held.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.held.drain(..=end).collect();
                let line = String::from_utf8_lossy(&line);
                return Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if self.more()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.held.len() < bytes {
            if self.more()? == 0 {
                return Err(bad("ended amid a body"));
            }
        }
        Ok(self.held.drain(..bytes).collect())
    }

    /// The next message; none at a clean end. `to_end`: a body without a length lasts to the end of
    /// the connection.
    pub fn message(&mut self, to_end: bool) -> io::Result<Option<Message>> {
        let Some(line) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            line,
            ..Message::default()
        };
        loop {
            let line = self.line()?.ok_or_else(|| bad("ended amid a head"))?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or_else(|| bad("no header"))?;
            let header = (name.trim().to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = message.header("content-length").map(str::to_owned);
        if chunked {
            loop {
                let size = self.line()?.ok_or_else(|| bad("ended amid chunks"))?;
                let size = size.split(';').next().unwrap_or_default().trim().to_owned();
                let size = usize::from_str_radix(&size, 16).map_err(|_| bad("no chunk"))?;
                if size == 0 {
                    while !self.line()?.ok_or_else(|| bad("ended"))?.is_empty() {}
                    break;
                }
                let data = self.exactly(size)?;
                message.body.extend(data);
                self.line()?;
            }
        } else if let Some(length) = length {
            let length = length.parse().map_err(|_| bad("no length"))?;
            message.body = self.exactly(length)?;
        } else if to_end {
            while self.more()? > 0 {}
            message.body = std::mem::take(&mut self.held);
        }
        Ok(Some(message))
    }
}

/// Sends a request on a new connection and reads its response whole.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    within: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&to, within)?;
    let left = until.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.set_nodelay(true)?;
    stream.write_all(&request(to, method, path, headers, body))?;
    let mut reader = Reader::new(stream);
    reader.message(true)?.ok_or_else(|| bad("no response"))
}

/// The bytes of a request that is the only one on its connection.
pub fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
