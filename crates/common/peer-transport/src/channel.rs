//! What waits to be written on one connection, and the loop that writes it.

use crate::frame::{Frame, FrameType};
use crate::limits::MAX_TOTAL_QUEUED_BYTES;
use bytes::{Buf, Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io::{self, IoSlice};
use std::rc::Rc;
use std::task::Poll;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::Notify;

/// How much is taken from the queue for a write; what stays in the queue can still be taken back.
const BATCH_BYTES: usize = 128 << 10;
/// Longer bodies are written from where they are, others are gathered in one buffer.
const MIN_UNGATHERED_BYTES: usize = 4 << 10;
/// Buffers handed to the system in one write.
const MAX_SLICES: usize = 32;

/// Bytes that are queued over all connections.
#[derive(Default)]
pub(crate) struct TotalQueued {
    pub bytes: Cell<usize>,
    /// Notified when nothing is queued any more.
    pub drained: Notify,
}

impl TotalQueued {
    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn sub(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
        if self.bytes.get() == 0 {
            self.drained.notify_waiters();
        }
    }
}

/// The frames that wait for one connection.
pub(crate) struct Channel {
    queue: RefCell<Queue>,
    wake: Notify,
    total: Rc<TotalQueued>,
}

#[derive(Default)]
struct Queue {
    frames: VecDeque<Frame>,
    /// Bytes of frames that aren't completely written yet.
    bytes: usize,
    /// Calls taken for writing.
    taken_calls: VecDeque<TakenCall>,
    taken_bytes: u64,
    written_bytes: u64,
}

/// A call taken for writing.
struct TakenCall {
    call_id: u32,
    /// Where its frame ends, in bytes of the connection.
    end: u64,
}

/// What was lost with a connection.
pub(crate) struct Unsent {
    /// The ids of calls that weren't completely written, sorted.
    pub calls: Vec<u32>,
    /// How many one-way messages weren't taken for writing.
    pub messages: u64,
}

impl Channel {
    pub fn new(total: Rc<TotalQueued>) -> Self {
        Self {
            queue: RefCell::default(),
            wake: Notify::new(),
            total,
        }
    }

    /// Queues the frame if no more than `most` bytes are queued then, or if it is the only one.
    pub fn push(&self, frame: Frame, most: usize) -> bool {
        let len = frame.len();
        let mut queue = self.queue.borrow_mut();
        let fits = queue.bytes == 0 || queue.bytes + len <= most;
        if !fits || self.total.bytes.get() + len > MAX_TOTAL_QUEUED_BYTES {
            return false;
        }
        queue.bytes += len;
        queue.frames.push_back(frame);
        self.total.add(len);
        self.wake.notify_one();
        true
    }

    /// Takes back a call that isn't being written yet.
    pub fn take_back(&self, call_id: u32) -> bool {
        let mut queue = self.queue.borrow_mut();
        let is_call =
            |frame: &Frame| frame.frame_type == FrameType::Call && frame.call_id == call_id;
        let Some(at) = queue.frames.iter().position(is_call) else {
            return false;
        };
        let Some(frame) = queue.frames.remove(at) else {
            return false;
        };
        queue.bytes -= frame.len();
        self.total.sub(frame.len());
        true
    }

    /// Ends a connection: drops what is queued.
    pub fn clear(&self) -> Unsent {
        let mut queue = self.queue.borrow_mut();
        self.total.sub(queue.bytes);
        let queue = std::mem::take(&mut *queue);
        let mut calls: Vec<u32> = queue.taken_calls.iter().map(|call| call.call_id).collect();
        let queued = |frame_type| {
            queue
                .frames
                .iter()
                .filter(move |frame| frame.frame_type == frame_type)
        };
        calls.extend(queued(FrameType::Call).map(|frame| frame.call_id));
        calls.sort_unstable();
        Unsent {
            calls,
            messages: queued(FrameType::OneWay).count() as u64,
        }
    }

    /// Waits until there is something to be written, and then once more round the queue of tasks,
    /// so that all tasks that are ready now have sent what they have.
    pub async fn wait_for_frames(&self) {
        while self.queue.borrow().frames.is_empty() {
            self.wake.notified().await;
        }
        let mut yielded = false;
        poll_fn(|context| {
            if yielded {
                return Poll::Ready(());
            }
            yielded = true;
            context.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }

    /// Writes all that is queued now.
    pub async fn write(
        &self,
        batch: &mut Batch,
        to: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<()> {
        while self.fill(batch) {
            let len = batch.frame_bytes;
            while let Some(first) = batch.buffers.front() {
                let written = if batch.buffers.len() == 1 {
                    to.write(first).await?
                } else {
                    let mut slices = [IoSlice::new(&[]); MAX_SLICES];
                    let mut count = 0;
                    for (slice, buffer) in slices.iter_mut().zip(&batch.buffers) {
                        *slice = IoSlice::new(buffer);
                        count += 1;
                    }
                    to.write_vectored(slices.get(..count).unwrap_or_default())
                        .await?
                };
                if written == 0 {
                    return Err(io::ErrorKind::WriteZero.into());
                }
                batch.advance(written);
                self.count_written(written);
            }
            self.queue.borrow_mut().bytes -= len;
            self.total.sub(len);
        }
        Ok(())
    }

    /// Moves frames to the batch; false if there is nothing to write.
    fn fill(&self, batch: &mut Batch) -> bool {
        let mut queue = self.queue.borrow_mut();
        let queue = &mut *queue;
        batch.frame_bytes = 0;
        while batch.frame_bytes < BATCH_BYTES {
            let Some(frame) = queue.frames.pop_front() else {
                break;
            };
            batch.frame_bytes += frame.len();
            queue.taken_bytes += frame.len() as u64;
            if frame.frame_type == FrameType::Call {
                let end = queue.taken_bytes;
                queue.taken_calls.push_back(TakenCall {
                    call_id: frame.call_id,
                    end,
                });
            }
            batch.add(frame);
        }
        batch.seal_gathered();
        !batch.buffers.is_empty()
    }

    fn count_written(&self, bytes: usize) {
        let mut queue = self.queue.borrow_mut();
        queue.written_bytes += bytes as u64;
        while queue
            .taken_calls
            .front()
            .is_some_and(|call| call.end <= queue.written_bytes)
        {
            queue.taken_calls.pop_front();
        }
    }

    /// Counts bytes that go out before the first frame.
    pub fn count_hello(&self, bytes: usize) {
        self.queue.borrow_mut().taken_bytes += bytes as u64;
    }
}

/// The bytes that are being written.
pub(crate) struct Batch {
    buffers: VecDeque<Bytes>,
    /// Frames that are gathered in one buffer.
    gathered: BytesMut,
    frame_bytes: usize,
}

impl Batch {
    /// Begins with a hello.
    pub fn new(hello: Bytes) -> Self {
        Self {
            buffers: VecDeque::from([hello]),
            gathered: BytesMut::new(),
            frame_bytes: 0,
        }
    }

    fn add(&mut self, frame: Frame) {
        self.gathered.extend_from_slice(&frame.header());
        if frame.body.len() < MIN_UNGATHERED_BYTES {
            self.gathered.extend_from_slice(&frame.body);
        } else {
            self.seal_gathered();
            self.buffers.push_back(frame.body);
        }
    }

    fn seal_gathered(&mut self) {
        if !self.gathered.is_empty() {
            self.buffers.push_back(self.gathered.split().freeze());
        }
    }

    fn advance(&mut self, mut bytes: usize) {
        while let Some(first) = self.buffers.front_mut() {
            if first.len() > bytes {
                first.advance(bytes);
                return;
            }
            bytes -= first.len();
            self.buffers.pop_front();
        }
    }
}
