//! A stream whose observer is told what passes through it.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Learns what passes through a stream.
pub trait Observer: Unpin {
    /// These bytes were received.
    fn read(&self, _bytes: &[u8]) {}
    /// The system took so many bytes.
    fn wrote(&self, _bytes: usize) {}
    /// The system took all that there was to write.
    fn flushed(&self) {}
}

/// A TCP stream and its observer.
pub(super) struct ObservedStream<O> {
    stream: TcpStream,
    observer: O,
}

impl<O: Observer> ObservedStream<O> {
    pub fn new(stream: TcpStream, observer: O) -> Self {
        ObservedStream { stream, observer }
    }

    fn count(&self, result: Poll<Result<usize>>) -> Poll<Result<usize>> {
        if let Poll::Ready(Ok(n)) = &result {
            self.observer.wrote(*n);
        }
        result
    }
}

impl<O: Observer> AsyncRead for ObservedStream<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.observer.read(&buf.filled()[before..]);
        }
        result
    }
}

impl<O: Observer> AsyncWrite for ObservedStream<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.observer.flushed();
        }
        result
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
