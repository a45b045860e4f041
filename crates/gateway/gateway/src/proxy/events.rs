//! Server-sent events, as bytes: where one ends, what its id is, and which of a resumed stream were forwarded already.
//!
//! Only complete events leave [`Events`]: the part of one that broke off is dropped when the stream is resumed at another
//! runner, so that no client gets any part twice.

use bytes::{Bytes, BytesMut};

/// The longest event: far longer than what any runner sends in one.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event that does not end.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
#[error("an event of a stream is longer than 1 MiB")]
pub struct TooLong;

/// A stream's events so far.
#[derive(Debug, Default)]
pub struct Events {
    /// The beginning of an event that has not ended.
    partial: BytesMut,
    last_id: Option<Bytes>,
    /// The stream was resumed after this id: events up to it are left out.
    resumed_after: Option<u64>,
}

impl Events {
    /// Takes bytes of the stream, and returns the events that are complete with them, perhaps none.
    ///
    /// # Errors
    /// An event is longer than 1 MiB.
    pub fn take(&mut self, data: &Bytes) -> Result<Bytes, TooLong> {
        let complete = if self.partial.is_empty() {
            // The usual case: what comes is complete, and nothing is copied.
            let end = complete_until(data, 0);
            self.partial.extend_from_slice(&data[end..]);
            data.slice(..end)
        } else {
            // The blank line may begin in what was held.
            let from = self.partial.len().saturating_sub(3);
            self.partial.extend_from_slice(data);
            let end = complete_until(&self.partial, from);
            self.partial.split_to(end).freeze()
        };
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        let complete = if self.resumed_after.is_some() {
            self.without_known(&complete)
        } else {
            complete
        };
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        Ok(complete)
    }

    /// The id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Takes out the beginning of an event that has not ended.
    pub fn rest(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }

    /// The stream continues with bytes of another runner, which was asked for the events after this id. The beginning of an
    /// event is dropped.
    pub fn resumed_after(&mut self, last_event_id: &[u8]) {
        self.partial.clear();
        self.last_id = Some(Bytes::copy_from_slice(last_event_id));
        self.resumed_after = number(last_event_id);
    }

    /// Leaves out events up to the id after which the stream was resumed. The first one above it ends that.
    fn without_known(&mut self, complete: &Bytes) -> Bytes {
        let mut from = 0;
        while let (Some(last_known), true) = (self.resumed_after, from < complete.len()) {
            let end = from + first_event(&complete[from..]);
            match last_id(&complete.slice(from..end)).and_then(|id| number(&id)) {
                Some(id) if id <= last_known => from = end,
                // Without an id it can't be told, and what was asked for is what comes.
                _ => self.resumed_after = None,
            }
        }
        complete.slice(from..)
    }
}

/// Up to where there are complete events; no blank line ends before `from`.
fn complete_until(bytes: &[u8], from: usize) -> usize {
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

/// The length of the first event of some that are complete.
fn first_event(complete: &[u8]) -> usize {
    let mut at = 0;
    while let Some(end) = complete[at..].iter().position(|b| *b == b'\n') {
        at += end + 1;
        if is_blank(complete, at) {
            return at;
        }
    }
    complete.len()
}

/// The lines of some events, without their ends.
fn lines(complete: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    complete
        .split(|b| *b == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// The id of the last of some events that has one.
fn last_id(complete: &Bytes) -> Option<Bytes> {
    lines(complete)
        .rev()
        .find_map(|line| field(line, b"id"))
        .map(|id| complete.slice_ref(id.trim_ascii()))
}

/// Adds the data of complete events to a text, separated by line feeds.
pub fn add_data(text: &mut Vec<u8>, any: &mut bool, complete: &[u8]) {
    for data in lines(complete).filter_map(|line| field(line, b"data")) {
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
