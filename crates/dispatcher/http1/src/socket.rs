//! A socket that hyper holds and another looks at: a client's is read ahead while its response is made, so that
//! it is noticed when the client leaves; a target's is looked at before something is sent on it.
//!
//! hyper looks for the end of a busy connection only as long as nothing was received behind the request: one that sends more
//! and goes would be waited for, and its job forwarded for nobody. What is received meanwhile is kept for hyper, up to a
//! bound; what is beyond it is discarded, and the connection ends with the response.
//!
//! A client that ends its sending has gone as one that closes has: the protocol knows no half of a close for requests (a
//! dispatcher gives an attempt up "by closing its connection or by ending its sending on it"), and neither can be told from
//! the other by what arrives.

use crate::observed_stream::Observer;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are kept of what is received behind a request: with hyper's buffer and the bytes of the head, what the
/// settings reserve for a connection.
const MAX_READ_AHEAD_BYTES: usize = 16 * 1024;
/// Bytes that are read and discarded beyond it. Of who sends still more nothing is read.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Bytes that are read at a time.
const READ_BYTES: usize = 4 * 1024;

/// The socket, held by hyper and by the one who looks for its end.
pub struct Socket<O> {
    stream: RefCell<TcpStream>,
    observer: O,
    read_ahead: RefCell<Vec<u8>>,
    discarded: Cell<usize>,
    /// It has ended its sending, or its connection is broken.
    gone: Cell<bool>,
}

impl<O: Observer> Socket<O> {
    /// The observer is given the other side's bytes as hyper gets them.
    pub fn new(stream: TcpStream, observer: O) -> Rc<Self> {
        let (read_ahead, discarded, gone) = Default::default();
        Rc::new(Socket {
            stream: RefCell::new(stream),
            observer,
            read_ahead,
            discarded,
            gone,
        })
    }

    /// Ready once the client has gone. To be called only while its response is made.
    pub fn poll_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        let gone = self.read_to_end(|buffer_bytes| {
            let mut buffer = ReadBuf::new(buffer_bytes);
            let read = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, &mut buffer);
            read.map(|result| result.map(|()| buffer.filled().len()))
        });
        if gone {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    }

    /// Whether the client has gone by now. The system itself is asked: after a read that did not fill its buffer tokio takes
    /// the socket for drained until the next event, and an end that arrived with the request would not be seen.
    pub fn has_gone(&self) -> bool {
        self.read_to_end(|buffer_bytes| {
            let stream = self.stream.borrow();
            let read = (&*SockRef::from(&*stream)).read(buffer_bytes);
            match read {
                Err(e) if e.kind() == ErrorKind::WouldBlock => Poll::Pending,
                read => Poll::Ready(read),
            }
        })
    }

    /// Whether something was received that was not read: what is about to be closed may have a request in it.
    pub fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        !self.read_ahead.borrow().is_empty() || peeked.is_ok_and(|bytes| bytes > 0)
    }

    /// Keeps what can be read now, and tells whether the end was among it.
    fn read_to_end(&self, mut read: impl FnMut(&mut [u8]) -> Poll<Result<usize>>) -> bool {
        let mut buffer_bytes = [0; READ_BYTES];
        while !self.gone.get() {
            let held = self.read_ahead.borrow().len() + self.discarded.get();
            let room = (MAX_READ_AHEAD_BYTES + MAX_DISCARDED_BYTES)
                .saturating_sub(held)
                .min(READ_BYTES);
            if room == 0 {
                return false;
            }
            match read(&mut buffer_bytes[..room]) {
                Poll::Pending => return false,
                Poll::Ready(Ok(read)) if read > 0 => self.keep(&buffer_bytes[..read]),
                Poll::Ready(_) => self.gone.set(true),
            }
        }
        true
    }

    /// Whether nothing was received and the other side is still there: the system itself is asked, nothing is read.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.stream.borrow()).peek(&mut byte);
        matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
    }

    /// More was received than is kept: what follows is no complete request.
    pub fn has_discarded(&self) -> bool {
        self.discarded.get() > 0
    }

    fn keep(&self, bytes: &[u8]) {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let kept = if self.has_discarded() {
            0
        } else {
            MAX_READ_AHEAD_BYTES
                .saturating_sub(read_ahead.len())
                .min(bytes.len())
        };
        read_ahead.extend_from_slice(&bytes[..kept]);
        self.discarded
            .set(self.discarded.get() + bytes.len() - kept);
    }

    fn count(&self, result: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &result {
            self.observer.wrote(*bytes);
        }
        result
    }

    fn poll_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let mut read_ahead = self.read_ahead.borrow_mut();
        let result = if read_ahead.is_empty() {
            Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
        } else {
            let taken = read_ahead.len().min(buf.remaining());
            buf.put_slice(&read_ahead[..taken]);
            read_ahead.drain(..taken);
            Poll::Ready(Ok(()))
        };
        if buf.filled().len() > before {
            self.observer.read(&buf.filled()[before..]);
        }
        result
    }
}

/// hyper's side of it.
pub struct SocketIo<O>(pub Rc<Socket<O>>);

impl<O: Observer> AsyncRead for SocketIo<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.0.poll_read(cx, buf)
    }
}

impl<O: Observer> AsyncWrite for SocketIo<O> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let result = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write(cx, buf);
        self.0.count(result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut *self.0.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.0.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let result = Pin::new(&mut *self.0.stream.borrow_mut()).poll_flush(cx);
        // hyper flushes once nothing of an answer is left to be written.
        if matches!(result, Poll::Ready(Ok(()))) {
            self.0.observer.flushed();
        }
        result
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut *self.0.stream.borrow_mut()).poll_shutdown(cx)
    }
}
