//! The level of service as JSON and as text.

use super::ms;
use degradation::{LevelChange, LevelStatus, Metric, Status};
use serde::{Deserialize, Serialize};
use std::fmt;

/// `GET /levels`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Levels {
    /// The name of the level in force; `full` is full service.
    pub level: String,
    /// Its place among `levels`, from 0.
    pub rank: usize,
    /// The names of all, from the mildest to the severest.
    pub levels: Vec<String>,
    /// Now.
    pub now_ms: u64,
    /// Since when it is in force; 0 for since the start.
    pub since_ms: u64,
    /// Until when operators have forced it.
    pub forced_until_ms: Option<u64>,
    /// How long its condition for leaving must hold.
    pub leave_for_ms: u64,
    /// Every figure that a condition bounds.
    pub figures: Vec<Figure>,
    /// Slots of all targets that answer, as believed.
    pub capacity_slots: f64,
    /// Targets that are listed as ready and do not answer.
    pub silent_targets: f64,
    /// The last changes, the latest first.
    pub changes: Vec<Changed>,
}

/// One figure, against the bounds that matter next.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Its key in the operators' file.
    pub figure: String,
    /// The class that it is of, if it is of one.
    pub class: Option<String>,
    /// What it reads now; none where there are too few answers to say.
    pub value: Option<f64>,
    /// At this the next level is entered.
    pub enter: Option<f64>,
    /// Down to this the level in force is left.
    pub leave: Option<f64>,
}

/// One change of the level in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Changed {
    /// When.
    pub at_ms: u64,
    /// The level before.
    pub from: String,
    /// The level after.
    pub to: String,
    /// Why, in a word: `reached`, `kept`, `forced`, `released`, `expired` or `replaced`.
    pub cause: String,
    /// The figure, where one was the cause.
    pub figure: Option<String>,
    /// The class that it is of, if it is of one.
    pub class: Option<String>,
    /// What it read.
    pub value: Option<f64>,
    /// Its bound.
    pub bound: Option<f64>,
}

fn class_of(metric: Metric, classes: &[String]) -> Option<String> {
    match metric {
        Metric::MissedDeadlines(class) => classes.get(class).cloned(),
        _ => None,
    }
}

impl Changed {
    fn new(change: &LevelChange, classes: &[String]) -> Self {
        let measured = change.cause.measurement();
        Changed {
            at_ms: ms(change.at),
            from: change.from.clone(),
            to: change.to.clone(),
            cause: change.cause.word().to_owned(),
            figure: measured.map(|m| m.metric.key().to_owned()),
            class: measured.and_then(|m| class_of(m.metric, classes)),
            value: measured.map(|m| m.value),
            bound: measured.map(|m| m.bound),
        }
    }
}

impl Levels {
    /// What a status shows, with classes of these names; none where there are no levels.
    pub fn new(status: &Status, classes: &[String]) -> Option<Self> {
        let levels = status.levels.as_ref()?;
        let LevelStatus {
            config, readings, ..
        } = levels;
        let here = levels
            .rank
            .checked_sub(1)
            .and_then(|at| config.levels.get(at));
        let next = config.levels.get(levels.rank);
        let mut metrics: Vec<Metric> = vec![];
        for threshold in config.levels.iter().flat_map(|l| &l.enter.0) {
            if !metrics.contains(&threshold.metric) {
                metrics.push(threshold.metric);
            }
        }
        let figure = |metric: Metric| Figure {
            figure: metric.key().to_owned(),
            class: class_of(metric, classes),
            value: readings.now(metric),
            enter: next.and_then(|l| l.enter.get(metric)),
            leave: here.and_then(|l| l.leave.get(metric)),
        };
        Some(Levels {
            level: levels.level.clone(),
            rank: levels.rank,
            levels: (0..=config.levels.len())
                .map(|at| config.name(at).to_owned())
                .collect(),
            now_ms: ms(status.now),
            since_ms: ms(levels.since),
            forced_until_ms: levels.forced_until.map(ms),
            leave_for_ms: ms(levels.hold),
            figures: metrics.into_iter().map(figure).collect(),
            capacity_slots: readings.capacity,
            silent_targets: readings.unresponsive,
            changes: levels
                .changes
                .iter()
                .map(|c| Changed::new(c, classes))
                .collect(),
        })
    }
}

fn name(figure: &str, class: &Option<String>) -> String {
    class
        .as_ref()
        .map_or(figure.to_owned(), |class| format!("{figure}.{class}"))
}

fn span(ms: u64) -> String {
    match ms / 1_000 {
        s if s < 120 => format!("{:.1} s", ms as f64 / 1_000.0),
        s if s < 7_200 => format!("{} min", s / 60),
        s => format!("{} h {} min", s / 3_600, s / 60 % 60),
    }
}

impl fmt::Display for Changed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} -> {} ({}", self.from, self.to, self.cause)?;
        if let (Some(figure), Some(value), Some(bound)) = (&self.figure, self.value, self.bound) {
            write!(
                f,
                ": {} {value:.3}, bound {bound}",
                name(figure, &self.class)
            )?;
        }
        write!(f, ")")
    }
}

impl fmt::Display for Levels {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let since = match self.since_ms {
            0 => "since the start".to_owned(),
            since => format!("for {}", span(self.now_ms.saturating_sub(since))),
        };
        writeln!(
            f,
            "level {} ({} of {}) {since}",
            self.level,
            self.rank,
            self.levels.len() - 1
        )?;
        if let Some(until) = self.forced_until_ms {
            writeln!(
                f,
                "  forced for {} more",
                span(until.saturating_sub(self.now_ms))
            )?;
        } else if self.rank > 0 {
            writeln!(
                f,
                "  left once its figures have kept to their bounds for {}",
                span(self.leave_for_ms)
            )?;
        }
        writeln!(
            f,
            "  capacity {:.1} slots, {} silent targets",
            self.capacity_slots, self.silent_targets
        )?;
        for figure in &self.figures {
            let value = figure
                .value
                .map_or("too few to say".to_owned(), |v| format!("{v:.3}"));
            write!(f, "  {:<18} {value}", name(&figure.figure, &figure.class))?;
            if let Some(bound) = figure.leave {
                write!(f, ", left at {bound}")?;
            }
            if let Some(bound) = figure.enter {
                write!(f, ", next at {bound}")?;
            }
            writeln!(f)?;
        }
        for change in &self.changes {
            writeln!(
                f,
                "  {} ago: {change}",
                span(self.now_ms.saturating_sub(change.at_ms))
            )?;
        }
        Ok(())
    }
}
