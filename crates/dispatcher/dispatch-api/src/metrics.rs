//! What the policy believes and counts, for operators and the levels of degraded service.

/// What the policy believes of one machine kind.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KindMetrics {
    /// The kind, by number.
    pub kind: u32,
    /// Slots of a worker of this kind after its slow start.
    pub slots: f64,
    /// Ready workers that respond; one in slow start counts by the share of its capacity.
    pub responsive: f64,
    /// Ready workers that have stopped responding, or can't be connected to.
    pub unresponsive: f64,
}

/// What became of the jobs of one class, counted since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Jobs that have ended, without those that a level rejected on arrival.
    pub over: u64,
    /// Of these, served in time.
    pub in_time: u64,
    /// Jobs that a level of degraded service rejected.
    pub rejected_by_level: u64,
}

impl ClassMetrics {
    /// Counts one more job that has ended.
    pub fn count(&mut self, in_time: bool) {
        // A job that is not to count was subtracted before: that may have wrapped.
        self.over = self.over.wrapping_add(1);
        self.in_time += u64::from(in_time);
    }
}

/// What the policy can tell of the service, for operators and the levels of degraded service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PolicyMetrics {
    /// By kind of worker.
    pub kinds: Vec<KindMetrics>,
    /// By class.
    pub classes: Vec<ClassMetrics>,
    /// Queued work, in slots times microseconds at the mean run time of its class.
    pub held: f64,
    /// Slots that this dispatcher's jobs hold at workers.
    pub own: f64,
    /// Jobs that are open.
    pub open: usize,
    /// Attempts sent since the start.
    pub sent: u64,
    /// Of these, rejected by their workers, or not connected.
    pub refused: u64,
    /// Workers that are ready by the list and get nothing for now (outlier ejection).
    pub ejected: usize,
}
