//! The figures that operators are shown: one set, counted where the reducer ends a flow or learns that an attempt is
//! out whole.
//!
//! `taken = ended + active` at every moment, and each flow that has ended stands under exactly one of `ok`, `shed`,
//! `errors` and `gone`.

use super::Answer;

/// The jobs of one class, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounters {
    /// Taken, or turned back before they were.
    pub taken: u64,
    /// Served.
    pub ok: u64,
    /// Refused: by the decisions, or since there was no room for them.
    pub shed: u64,
    /// Failed: any other answer.
    pub errors: u64,
    /// Ended by their clients, who left before an answer.
    pub gone: u64,
    /// Attempts whose last byte is out.
    pub tries: u64,
}

impl ClassCounters {
    /// Those that have ended.
    pub fn ended(&self) -> u64 {
        self.ok + self.shed + self.errors + self.gone
    }
}

/// What is odd about something from outside that the program can read, or drops: each has a name and is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Anomaly {
    /// A whole list leaves no target.
    EmptyList,
    /// A whole list leaves less than half of the targets.
    ShrunkenList,
    /// A list has a lower version than the one before.
    OlderList,
    /// A list names a target twice; the last line counts.
    RepeatedTarget,
    /// Two targets of a list have one address.
    SharedAddress,
    /// A zone or kind that the settings don't name; it counts as one of its own.
    UnknownPlace,
    /// A weight that is no size; it counts as none.
    Weight,
    /// A datagram longer than dispatchers send; dropped.
    LongDatagram,
    /// A datagram that ends amid an entry; what is whole counts.
    CutDatagram,
    /// A datagram from an address that is no dispatcher's; dropped.
    Stranger,
}

impl Anomaly {
    /// All of them.
    pub const ALL: [Anomaly; 10] = [
        Anomaly::EmptyList,
        Anomaly::ShrunkenList,
        Anomaly::OlderList,
        Anomaly::RepeatedTarget,
        Anomaly::SharedAddress,
        Anomaly::UnknownPlace,
        Anomaly::Weight,
        Anomaly::LongDatagram,
        Anomaly::CutDatagram,
        Anomaly::Stranger,
    ];

    /// Its name in figures and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Anomaly::EmptyList => "empty-list",
            Anomaly::ShrunkenList => "shrunken-list",
            Anomaly::OlderList => "older-list",
            Anomaly::RepeatedTarget => "repeated-target",
            Anomaly::SharedAddress => "shared-address",
            Anomaly::UnknownPlace => "unknown-place",
            Anomaly::Weight => "weight",
            Anomaly::LongDatagram => "long-datagram",
            Anomaly::CutDatagram => "cut-datagram",
            Anomaly::Stranger => "stranger",
        }
    }
}

/// All classes, by position, and what was odd.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct JobCounters {
    /// By class.
    pub classes: Vec<ClassCounters>,
    anomalies: [u64; Anomaly::ALL.len()],
}

impl JobCounters {
    pub(super) fn new(classes: usize) -> Self {
        JobCounters {
            classes: vec![ClassCounters::default(); classes],
            ..JobCounters::default()
        }
    }

    /// Jobs taken and not yet ended.
    pub fn active(&self) -> u64 {
        self.classes.iter().map(|c| c.taken - c.ended()).sum()
    }

    /// How often something was odd.
    pub fn anomalies(&self, what: Anomaly) -> u64 {
        self.anomalies[what as usize]
    }

    pub(super) fn count_anomaly(&mut self, what: Anomaly, times: u64) {
        self.anomalies[what as usize] += times;
    }

    fn class(&mut self, class: usize, count: impl FnOnce(&mut ClassCounters)) {
        if let Some(counts) = self.classes.get_mut(class) {
            count(counts);
        }
    }

    pub(super) fn taken(&mut self, class: usize) {
        self.class(class, |c| c.taken += 1);
    }

    pub(super) fn answered(&mut self, class: usize, answer: &Answer) {
        self.class(class, |c| match answer {
            Answer::Served(_) => c.ok += 1,
            Answer::Rejected { .. } => c.shed += 1,
            Answer::Failed | Answer::Unprocessable => c.errors += 1,
        });
    }

    pub(super) fn gone(&mut self, class: usize) {
        self.class(class, |c| c.gone += 1);
    }

    pub(super) fn sent(&mut self, class: usize) {
        self.class(class, |c| c.tries += 1);
    }
}
