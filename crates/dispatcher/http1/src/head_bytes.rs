//! The bytes of a request's head, kept until the request is handed over.
//!
//! hyper drops a `Content-Length` that follows `Transfer-Encoding` and shows neither that nor the bytes. A request with
//! both may hide another in its body, so the bytes are looked at once more, with the parser that hyper has. Where the
//! head began is known only on a new connection and after a response: of requests sent behind others without waiting
//! for their responses the bytes are not told apart, and none of these counts as valid.

/// The largest head, and what is kept.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Headers of a request at most; hyper takes as many.
const MAX_HEADERS: usize = 100;

/// What was received since the last response.
#[derive(Debug)]
pub struct HeadBytes {
    bytes: Vec<u8>,
    is_in_head: bool,
}

impl Default for HeadBytes {
    fn default() -> Self {
        HeadBytes {
            bytes: vec![],
            is_in_head: true,
        }
    }
}

impl HeadBytes {
    /// A response was given: what is received from now on begins a request.
    pub fn begin(&mut self) {
        self.bytes.clear();
        self.is_in_head = true;
    }

    /// The rest is no head.
    pub fn stop(&mut self) {
        self.bytes.clear();
        self.is_in_head = false;
    }

    /// These bytes were received.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.is_in_head {
            let left = MAX_HEAD_BYTES.saturating_sub(self.bytes.len());
            self.bytes
                .extend_from_slice(&bytes[..left.min(bytes.len())]);
        }
    }

    /// Whether they begin with a complete head that says once that the body is in chunks, and nothing of a length.
    pub fn is_chunked_only(&self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let is_complete = request
            .parse(&self.bytes)
            .is_ok_and(|status| status.is_complete());
        if !is_complete {
            return false;
        }
        let named = |name: &'static str| {
            let headers = request.headers.iter();
            headers.filter(move |header| header.name.eq_ignore_ascii_case(name))
        };
        let mut encodings = named("transfer-encoding").map(|header| header.value.trim_ascii());
        let is_chunked = encodings
            .next()
            .is_some_and(|value| value.eq_ignore_ascii_case(b"chunked"));
        is_chunked && encodings.next().is_none() && named("content-length").next().is_none()
    }
}
