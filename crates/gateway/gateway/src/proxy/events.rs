//! Server-sent events, as bytes: where one ends, what its id is, and which of a taken-up stream have been passed on already.
//!
//! Only whole events leave [`Events`]: what is held of one that broke off is forgotten when the stream is taken up at another
//! runner, so that no client gets a piece twice.

use bytes::{Bytes, BytesMut};

/// The longest event: one far longer than any answer of a runner's batch step is no event.
const LONGEST_EVENT: usize = 1 << 20;

/// An event that does not end.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("an event of a stream is longer than 1 MiB")]
pub struct TooLong;

/// A stream's events so far.
#[derive(Debug, Default)]
pub struct Events {
    /// What has come of the event that has not ended.
    kept: BytesMut,
    last_id: Option<Bytes>,
    /// The stream was taken up behind this id: what comes again up to it is left out.
    last_event_id: Option<u64>,
}

impl Events {
    /// Bytes have come: the whole events among them and what was held, perhaps none.
    ///
    /// # Errors
    /// The event that is held has grown beyond all bounds.
    pub fn take(&mut self, data: Bytes) -> Result<Bytes, TooLong> {
        let whole = if self.kept.is_empty() {
            // The usual case: what comes is whole, and nothing is copied.
            let end = whole_until(&data, 0);
            self.kept.extend_from_slice(&data[end..]);
            data.slice(..end)
        } else {
            // The blank line may begin in what was held.
            let from = self.kept.len().saturating_sub(3);
            self.kept.extend_from_slice(&data);
            let end = whole_until(&self.kept, from);
            self.kept.split_to(end).freeze()
        };
        if self.kept.len() > LONGEST_EVENT {
            return Err(TooLong);
        }
        let whole = if self.last_event_id.is_some() {
            self.without_known(whole)
        } else {
            whole
        };
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Ok(whole)
    }

    /// The id of the last whole event that had one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Whether something is held of an event that has not ended.
    pub fn is_amid(&self) -> bool {
        !self.kept.is_empty()
    }

    /// What is held of an event that has not ended; it is no longer held.
    pub fn rest(&mut self) -> Bytes {
        std::mem::take(&mut self.kept).freeze()
    }

    /// The stream goes on with bytes of another runner, asked for what follows this id. What was held of an event is
    /// forgotten.
    pub fn resumed_after(&mut self, last_event_id: &[u8]) {
        self.kept.clear();
        self.last_id = Some(Bytes::copy_from_slice(last_event_id));
        self.last_event_id = number(last_event_id);
    }

    /// Leaves out events up to the id behind which the stream was taken up. The first one above it ends that.
    fn without_known(&mut self, whole: Bytes) -> Bytes {
        let mut from = 0;
        while let (Some(last_event_id), true) = (self.last_event_id, from < whole.len()) {
            let end = from + first_event(&whole[from..]);
            match last_id(&whole.slice(from..end)).and_then(|id| number(&id)) {
                Some(id) if id <= last_event_id => from = end,
                // Without an id it can't be told, and what was asked for is what comes.
                _ => self.last_event_id = None,
            }
        }
        whole.slice(from..)
    }
}

/// Up to where there are whole events; no blank line ends before `from`.
fn whole_until(bytes: &[u8], from: usize) -> usize {
    let mut at = bytes.len();
    while at > from {
        if bytes[at - 1] == b'\n' && is_blank(bytes, at) {
            return at;
        }
        at -= 1;
    }
    0
}

/// Whether the line that ends at `at` (behind its line feed) is blank.
fn is_blank(bytes: &[u8], at: usize) -> bool {
    let line = &bytes[..at - 1];
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    line.last().is_none_or(|b| *b == b'\n')
}

/// The length of the first event of some that are whole.
fn first_event(whole: &[u8]) -> usize {
    let mut at = 0;
    while let Some(end) = whole[at..].iter().position(|b| *b == b'\n') {
        at += end + 1;
        if is_blank(whole, at) {
            return at;
        }
    }
    whole.len()
}

/// The lines of some events, without their ends.
fn lines(whole: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    whole
        .split(|b| *b == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// The id of the last of some events that has one.
fn last_id(whole: &Bytes) -> Option<Bytes> {
    lines(whole)
        .rev()
        .find_map(|line| field(line, b"id"))
        .map(|id| whole.slice_ref(id.trim_ascii()))
}

/// Adds the data of whole events to a text, separated by line feeds.
pub fn add_data(text: &mut Vec<u8>, any: &mut bool, whole: &[u8]) {
    for data in lines(whole).filter_map(|line| field(line, b"data")) {
        if std::mem::replace(any, true) {
            text.push(b'\n');
        }
        text.extend_from_slice(data);
    }
}

/// The ids of a stream rise as numbers.
pub fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
