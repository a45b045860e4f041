//! The figures that operators are shown: one set, counted where the reducer ends a flow or learns that an attempt is
//! out whole.
//!
//! `taken = ended + active` at every moment, and each flow that has ended stands under exactly one of `ok`, `shed`,
//! `errors` and `gone`.

use super::Answer;

/// The jobs of one class, since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClassCounts {
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

impl ClassCounts {
    /// Those that have ended.
    pub fn ended(&self) -> u64 {
        self.ok + self.shed + self.errors + self.gone
    }
}

/// All classes, by position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// By class.
    pub classes: Vec<ClassCounts>,
}

impl Counts {
    pub(super) fn new(classes: usize) -> Self {
        Counts { classes: vec![ClassCounts::default(); classes] }
    }

    /// Jobs taken and not yet ended.
    pub fn active(&self) -> u64 {
        self.classes.iter().map(|c| c.taken - c.ended()).sum()
    }

    fn class(&mut self, class: usize, count: impl FnOnce(&mut ClassCounts)) {
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
            Answer::Refused { .. } => c.shed += 1,
            Answer::Failed | Answer::Unusable => c.errors += 1,
        });
    }

    pub(super) fn gone(&mut self, class: usize) {
        self.class(class, |c| c.gone += 1);
    }

    pub(super) fn sent(&mut self, class: usize) {
        self.class(class, |c| c.tries += 1);
    }
}
