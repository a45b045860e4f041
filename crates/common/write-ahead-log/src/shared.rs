//! What the users of a log and its thread share.

use crate::placement::{Placement, WriteJob};
use std::io;

/// What the users of a log and its thread share, behind a [`crate::Monitor`].
pub struct SharedState {
    pub(crate) placement: Placement,
    pub(crate) jobs: Vec<WriteJob>,
    /// Bytes of the bodies in `jobs`.
    pub(crate) queued_bytes: u64,
    /// There is something that can't wait for the next append.
    pub(crate) urgent: bool,
    pub(crate) closing: bool,
    /// An append found the log full: a segment that couldn't be preallocated is to be tried again.
    pub(crate) wants_segment: bool,
    pub(crate) disk: DiskView,
}

/// How the disk is, as the writer has last seen it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DiskView {
    /// The last write, sync or required preallocation failed; it is retried.
    pub fault: Option<io::ErrorKind>,
    /// As many segments as required are preallocated.
    pub preallocated: bool,
}

impl SharedState {
    pub(crate) fn new(placement: Placement) -> Self {
        SharedState {
            placement,
            jobs: Vec::new(),
            queued_bytes: 0,
            urgent: false,
            closing: false,
            wants_segment: false,
            disk: DiskView::default(),
        }
    }
}
