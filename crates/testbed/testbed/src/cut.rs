//! Connections that break at a random point of a message: after a number of bytes drawn from a seed, what is on its way
//! is cut there, and the connection is reset or closed.

use rand::Rng;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A cut falls within so many bytes: a few requests with their answers, the first ones more often than the later ones.
const WITHIN: f64 = 4_096.0;

/// Draws where connections are cut.
#[derive(Debug)]
pub struct Cutter {
    share: f64,
    rng: RefCell<Pcg64Mcg>,
    cuts: Cell<u64>,
}

impl Cutter {
    /// So large a share of connections is cut.
    pub fn new(share: f64, seed: u64) -> Rc<Self> {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ 0xc07));
        Rc::new(Cutter {
            share,
            rng,
            cuts: Cell::new(0),
        })
    }

    /// Connections that were cut so far.
    pub fn cuts(&self) -> u64 {
        self.cuts.get()
    }

    /// A connection, to be cut or not.
    pub fn wrap(self: &Rc<Self>, inner: TcpStream) -> Cut {
        let mut rng = self.rng.borrow_mut();
        let left =
            (rng.random::<f64>() < self.share).then(|| WITHIN.powf(rng.random::<f64>()) as usize);
        let resets = rng.random();
        let cut = Rc::new(Cell::new(false));
        Cut {
            inner,
            left,
            resets,
            cut,
            cutter: Rc::clone(self),
        }
    }
}

/// A connection.
#[derive(Debug)]
pub struct Cut {
    inner: TcpStream,
    /// Bytes of both directions that still pass; none, and all do.
    left: Option<usize>,
    resets: bool,
    cut: Rc<Cell<bool>>,
    cutter: Rc<Cutter>,
}

impl Cut {
    /// Tells whether it has been cut, also once it is gone.
    pub fn was_cut(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.cut)
    }

    /// An error once no more may pass.
    fn check(&self) -> io::Result<()> {
        if self.left.is_none_or(|left| left > 0) {
            return Ok(());
        }
        if !self.cut.replace(true) {
            self.cutter.cuts.set(self.cutter.cuts.get() + 1);
            if self.resets {
                self.inner.set_zero_linger()?;
            }
        }
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    fn passed(&mut self, bytes: usize) {
        if let Some(left) = &mut self.left {
            *left -= bytes;
        }
    }
}

impl AsyncRead for Cut {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check()?;
        let before = buf.filled().len();
        std::task::ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        let passes = self.left.map_or(read, |left| read.min(left));
        buf.set_filled(before + passes);
        self.passed(passes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Cut {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let passes = self.left.map_or(bytes.len(), |left| bytes.len().min(left));
        let written =
            std::task::ready!(Pin::new(&mut self.inner).poll_write(cx, &bytes[..passes]))?;
        self.passed(written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
