//! What is read off the decisions' figures.

use crate::spec::{Gauge, Spec};
use dispatch_api::{Micros, PolicyMetrics};
use std::collections::{BTreeMap, VecDeque};

/// How much of the program's own limits is in use, each a share of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Open flows.
    pub flows: f64,
    /// Resident memory.
    pub memory: f64,
    /// Descriptors.
    pub descriptors: f64,
}

/// One reading of all gauges. A share that rests on too few answers is none.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Readings {
    /// Held work as a wait, in milliseconds.
    pub wait: f64,
    /// Share of the usual capacity that is lost.
    pub lost: f64,
    /// By class, the share not served in time: over the short window, and over the long one.
    pub late: Vec<(Option<f64>, Option<f64>)>,
    /// Share of attempts turned away, likewise.
    pub refused: (Option<f64>, Option<f64>),
    /// The program's own limits.
    pub usage: Usage,
    /// Slots of all targets that answer, as believed.
    pub capacity: f64,
    /// Targets that are listed as ready and do not answer.
    pub silent: f64,
}

impl Readings {
    /// What counts for entering a level: shares must be reached over both windows, so that neither a short burst
    /// nor what is long over counts.
    pub fn entering(&self, gauge: Gauge) -> Option<f64> {
        let both = |(short, long): (Option<f64>, Option<f64>)| Some(short?.min(long?));
        match gauge {
            Gauge::Late(class) => both(*self.late.get(class)?),
            Gauge::Refused => both(self.refused),
            _ => self.now(gauge),
        }
    }

    /// What counts for leaving a level: the latest alone.
    pub fn now(&self, gauge: Gauge) -> Option<f64> {
        match gauge {
            Gauge::Wait => Some(self.wait),
            Gauge::Lost => Some(self.lost),
            Gauge::Late(class) => self.late.get(class)?.0,
            Gauge::Refused => self.refused.0,
            Gauge::Flows => Some(self.usage.flows),
            Gauge::Memory => Some(self.usage.memory),
            Gauge::Descriptors => Some(self.usage.descriptors),
        }
    }
}

/// Counts at one time.
#[derive(Debug, Clone, Default)]
struct Counts {
    at: Micros,
    /// Over, and in time, by class.
    classes: Vec<(u64, u64)>,
    sent: u64,
    refused: u64,
}

/// Makes readings of figures.
#[derive(Debug, Default)]
pub struct Gauges {
    /// By kind, how many targets usually answer; one that is cold counts by its share.
    usual: BTreeMap<u32, f64>,
    /// Since when a list of targets is fresh.
    fresh_since: Option<Micros>,
    /// The latest are at the back; none is older than the long window.
    counts: VecDeque<Counts>,
    read_at: Option<Micros>,
}

impl Gauges {
    /// A list that is not an old copy has come.
    pub fn listed(&mut self, now: Micros) {
        self.fresh_since.get_or_insert(now);
    }

    /// Whether enough is known for a change of level.
    pub fn settled(&self, spec: &Spec, now: Micros) -> bool {
        self.fresh_since
            .is_some_and(|since| now >= since + spec.settle_in)
    }

    /// Reads the figures; the time never runs back, but may stand still.
    pub fn read(
        &mut self,
        spec: &Spec,
        dispatchers: u32,
        now: Micros,
        figures: &PolicyMetrics,
        usage: Usage,
    ) -> Readings {
        let passed = self.read_at.map_or(0, |t| now.saturating_sub(t));
        self.read_at = Some(self.read_at.map_or(now, |t| t.max(now)));
        self.follow_usual(spec, now, passed, figures);
        let slots_of = |kind: u32| {
            figures
                .kinds
                .iter()
                .find(|k| k.kind == kind)
                .map_or(1.0, |k| k.slots)
        };
        let capacity: f64 = figures.kinds.iter().map(|k| k.responsive * k.slots).sum();
        let usual: f64 = self
            .usual
            .iter()
            .map(|(kind, count)| count * slots_of(*kind))
            .sum();
        let lost = if usual > 0.0 {
            (1.0 - capacity / usual).max(0.0)
        } else {
            0.0
        };
        // What this dispatcher gets of the capacity: an even part, or more where it holds more.
        let part = (capacity / f64::from(dispatchers.max(1)))
            .max(figures.own)
            .max(1.0);
        let counts = self.count(spec, now, figures);
        let long_ago = self.counts.front().cloned().unwrap_or_default();
        let short_ago = self
            .counts
            .iter()
            .rev()
            .find(|c| c.at + spec.short <= now)
            .unwrap_or(&long_ago);
        let share =
            |bad: u64, all: u64| (all >= spec.least.max(1)).then(|| bad as f64 / all as f64);
        let late = |class: usize, since: &Counts| {
            let (over, in_time) = counts.classes[class];
            let (over_then, in_time_then) = since.classes.get(class).copied().unwrap_or_default();
            let (over, in_time) = (
                over.saturating_sub(over_then),
                in_time.saturating_sub(in_time_then),
            );
            share(over.saturating_sub(in_time), over)
        };
        let refused = |since: &Counts| {
            share(
                counts.refused.saturating_sub(since.refused),
                counts.sent.saturating_sub(since.sent),
            )
        };
        Readings {
            wait: figures.held.max(0.0) / part / 1_000.0,
            lost,
            late: (0..counts.classes.len())
                .map(|c| (late(c, short_ago), late(c, &long_ago)))
                .collect(),
            refused: (refused(short_ago), refused(&long_ago)),
            usage,
            capacity,
            silent: figures.kinds.iter().map(|k| k.unresponsive).sum(),
        }
    }

    /// The usual count follows upwards at once and downwards by half-lives, so that a loss shows for as long as it
    /// is news. While a start settles in, what is listed is all that is usual.
    fn follow_usual(&mut self, spec: &Spec, now: Micros, passed: Micros, figures: &PolicyMetrics) {
        let kept = 0.5_f64.powf(passed as f64 / spec.usual_half_life as f64);
        let settled = self.settled(spec, now);
        for usual in self.usual.values_mut() {
            *usual = if settled { *usual * kept } else { 0.0 };
        }
        for kind in &figures.kinds {
            let usual = self.usual.entry(kind.kind).or_default();
            // Before it was multiplied away, what is there now was part of it.
            *usual = (*usual + kind.responsive * (1.0 - kept)).max(kind.responsive);
        }
        self.usual.retain(|_, usual| *usual > 0.01);
    }

    fn count(&mut self, spec: &Spec, now: Micros, figures: &PolicyMetrics) -> Counts {
        let classes = figures
            .classes
            .iter()
            .map(|c| (c.over, c.in_time))
            .collect();
        let counts = Counts {
            at: now,
            classes,
            sent: figures.sent,
            refused: figures.refused,
        };
        while self.counts.get(1).is_some_and(|c| c.at + spec.long <= now) {
            self.counts.pop_front();
        }
        // Looks can come closer together than asked for, and must not grow the window for it.
        if self.counts.back().is_none_or(|c| now >= c.at + spec.look) {
            self.counts.push_back(counts.clone());
        }
        counts
    }
}
