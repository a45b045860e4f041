//! What operators write of levels, in the units of the decisions, and the checks on it.

use dispatch_api::{AdmissionPolicy, Micros};
use std::collections::BTreeSet;
use std::fmt;

/// A figure that a condition bounds. More is worse for each of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Gauge {
    /// How long held work would take at this dispatcher's part of the capacity, in milliseconds.
    Wait,
    /// Share of the usual capacity that is not ready or does not answer, 0 to 1.
    Lost,
    /// Share of a class's jobs that were not served in time, 0 to 1.
    Late(usize),
    /// Share of the attempts that targets turned away or could not be reached for, 0 to 1.
    Refused,
    /// Open flows, as a share of their limit.
    Flows,
    /// Resident memory, as a share of its limit.
    Memory,
    /// Descriptors in use, as a share of their limit.
    Descriptors,
}

impl Gauge {
    /// The key that it has in the operators' file; a class is named beside it.
    pub fn key(self) -> &'static str {
        match self {
            Gauge::Wait => "wait_ms",
            Gauge::Lost => "lost",
            Gauge::Late(_) => "late",
            Gauge::Refused => "refused",
            Gauge::Flows => "flows",
            Gauge::Memory => "memory",
            Gauge::Descriptors => "descriptors",
        }
    }

    /// What it measures, in words.
    pub fn words(self, classes: &[String]) -> String {
        match self {
            Gauge::Wait => "held work, as a wait in ms".into(),
            Gauge::Lost => "share of the usual capacity that is lost".into(),
            Gauge::Late(class) => {
                let name = classes.get(class).map_or("?", String::as_str);
                format!("share of {name} not served in time")
            }
            Gauge::Refused => "share of attempts turned away".into(),
            Gauge::Flows => "share of the flows allowed that is open".into(),
            Gauge::Memory => "share of the memory allowed that is in use".into(),
            Gauge::Descriptors => "share of the descriptors allowed that is in use".into(),
        }
    }

    /// What vanishes at once justifies more than one step at a time.
    fn sudden(self) -> bool {
        matches!(self, Gauge::Lost | Gauge::Memory | Gauge::Descriptors)
    }
}

/// Bounds on figures, in a fixed order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Bounds(pub Vec<(Gauge, f64)>);

impl Bounds {
    /// The bound on one figure.
    pub fn get(&self, gauge: Gauge) -> Option<f64> {
        self.0
            .iter()
            .find(|(g, _)| *g == gauge)
            .map(|(_, bound)| *bound)
    }

    /// Those that justify more than one step at a time.
    pub(crate) fn sudden(&self) -> impl Iterator<Item = &(Gauge, f64)> {
        self.0.iter().filter(|(gauge, _)| gauge.sudden())
    }
}

/// One level of reduced service.
#[derive(Debug, Clone, PartialEq)]
pub struct Level {
    /// Its name.
    pub name: String,
    /// It is entered once any of these has been reached for as long as `enter_for` without a break.
    pub enter: Bounds,
    /// See `enter`.
    pub enter_for: Micros,
    /// It is left once all of these have been kept for as long as `leave_for` without a break.
    pub leave: Bounds,
    /// See `leave`; longer for a level that is entered again soon after it was left.
    pub leave_for: Micros,
    /// What it asks.
    pub terms: AdmissionPolicy,
}

/// All levels, from the mildest to the severest, and how they are watched.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// How often the figures are read.
    pub look: Micros,
    /// No level is entered or left before a list of targets has been fresh for so long.
    pub settle_in: Micros,
    /// The usual capacity follows a lasting loss by half in this time.
    pub usual_half_life: Micros,
    /// Shares are taken over this ...
    pub short: Micros,
    /// ... and, to enter a level, over this as well.
    pub long: Micros,
    /// Shares of fewer answers or attempts than this say nothing.
    pub least: u64,
    /// Between two steps up lies at least this, unless capacity vanishes.
    pub step: Micros,
    /// A level entered again within this after it was left is held twice as long, and so on.
    pub relapse: Micros,
    /// ... and half of that is forgiven in this.
    pub forgive: Micros,
    /// The longest that `leave_for` can become by that.
    pub hold_most: Micros,
    /// Changes that are kept to be shown.
    pub history: usize,
    /// The longest that operators can force a level for.
    pub force_most: Micros,
    /// The levels.
    pub levels: Vec<Level>,
}

/// What is wrong with a specification: the key within `levels`, and why.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {fault}")]
pub struct SpecError {
    /// The key, as in `level.trim.leave.wait_ms`.
    pub key: String,
    /// What is wrong, and what would be right.
    pub fault: String,
}

/// Most levels that a specification may have: what a person can hold in mind amid trouble.
const MOST_LEVELS: usize = 8;

impl Spec {
    /// Tells whether it can be used.
    ///
    /// # Errors
    /// The first fault found.
    pub fn check(&self) -> Result<(), SpecError> {
        let fault = |key: String, fault: String| Err(SpecError { key, fault });
        for (key, span) in [
            ("look_ms", self.look),
            ("short_ms", self.short),
            ("long_ms", self.long),
            ("usual_half_life_ms", self.usual_half_life),
            ("forgive_ms", self.forgive),
            ("force_most_ms", self.force_most),
        ] {
            if span == 0 {
                return fault(key.into(), "must be more than 0".into());
            }
        }
        if self.long < self.short || self.short < self.look {
            return fault(
                "long_ms".into(),
                "look_ms, short_ms and long_ms must not fall in this order".into(),
            );
        }
        if self.long / self.look > 10_000 {
            return fault(
                "long_ms".into(),
                "must be no more than 10000 times look_ms".into(),
            );
        }
        if self.levels.len() > MOST_LEVELS {
            return fault(
                "level".into(),
                format!("at most {MOST_LEVELS} levels, not {}", self.levels.len()),
            );
        }
        if self.history > 1_000 {
            return fault("history".into(), "must be no more than 1000".into());
        }
        let mut names = BTreeSet::new();
        for level in &self.levels {
            let at = |key: &str| format!("level.{}.{key}", level.name);
            if matches!(level.name.as_str(), "" | "full" | "auto") || !names.insert(&level.name) {
                let text = format!("{:?} can't name a level, or names two of them", level.name);
                return fault("level".into(), text);
            }
            if level.enter.0.is_empty() {
                return fault(
                    at("enter"),
                    "needs a bound at least, as in wait_ms = 300".into(),
                );
            }
            if level.leave_for < self.hold_most.min(self.look) || level.leave_for > self.hold_most {
                let text = format!(
                    "must lie between look_ms and hold_most_ms ({})",
                    self.hold_most / 1_000
                );
                return fault(at("leave.for_ms"), text);
            }
            for (gauge, bound) in &level.enter.0 {
                let most = if *gauge == Gauge::Wait { 1.0e6 } else { 1.0 };
                if !(*bound > 0.0 && *bound <= most) {
                    return fault(
                        at(&format!("enter.{}", gauge.key())),
                        format!("must be over 0 and up to {most}"),
                    );
                }
            }
            for (gauge, bound) in &level.leave.0 {
                let key = at(&format!("leave.{}", gauge.key()));
                match level.enter.get(*gauge) {
                    None => return fault(key, "bounds a figure that enter does not".into()),
                    Some(enter) if !(*bound >= 0.0 && *bound < enter) => {
                        return fault(
                            key,
                            format!("must be below the bound for entering, which is {enter}"),
                        );
                    }
                    Some(_) => {}
                }
            }
        }
        Ok(())
    }

    /// A level's name; 0 is full service.
    pub fn name(&self, level: usize) -> &str {
        level
            .checked_sub(1)
            .and_then(|at| self.levels.get(at))
            .map_or("full", |l| &l.name)
    }

    /// The level of a name.
    pub fn find(&self, name: &str) -> Option<usize> {
        (0..=self.levels.len()).find(|at| self.name(*at) == name)
    }

    /// The conditions and what they lead to, in words.
    pub fn explain(&self, classes: &[String]) -> String {
        Explained {
            spec: self,
            classes,
        }
        .to_string()
    }
}

struct Explained<'a> {
    spec: &'a Spec,
    classes: &'a [String],
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1.0e6
}

impl fmt::Display for Explained<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let bounds = |bounds: &Bounds, relation: &str, join: &str| {
            let one = |(gauge, bound): &(Gauge, f64)| {
                format!("{} {relation} {bound}", gauge.words(self.classes))
            };
            bounds.0.iter().map(one).collect::<Vec<_>>().join(join)
        };
        writeln!(f, "full: every job is taken")?;
        for level in &self.spec.levels {
            writeln!(f, "{}:", level.name)?;
            let enter = bounds(&level.enter, "at least", ", or ");
            writeln!(
                f,
                "  entered after {} s of: {enter}",
                seconds(level.enter_for)
            )?;
            let leave = bounds(&level.leave, "at most", ", and ");
            writeln!(f, "  left after {} s of: {leave}", seconds(level.leave_for))?;
            for (class, name) in self.classes.iter().enumerate() {
                let terms = level.terms.class(class);
                let mut asks = match terms.admitted_share {
                    a if a <= 0.0 => vec!["no new job is taken".to_owned()],
                    a if a >= 1.0 => vec![],
                    a => vec![format!("{:.0} % of new jobs are taken", a * 100.0)],
                };
                if terms.admitted_share > 0.0 {
                    if terms.max_slots.is_finite() {
                        asks.push(format!("none of more than {} slots", terms.max_slots));
                    }
                    if let Some(hold) = terms.max_hold {
                        asks.push(format!(
                            "turned away unless sent within {} s",
                            seconds(hold)
                        ));
                    }
                    if terms.reserved_slots > 0.0 {
                        asks.push(format!(
                            "{} slots left free where another class is bound to",
                            terms.reserved_slots
                        ));
                    }
                    if terms.max_attempts < u32::MAX {
                        asks.push(format!("{} attempt(s) each", terms.max_attempts));
                    }
                }
                let asks = if asks.is_empty() {
                    "as at full service".into()
                } else {
                    asks.join("; ")
                };
                writeln!(f, "  {name}: {asks}")?;
            }
            if level.terms.min_backlog > 0 {
                let wait = seconds(level.terms.min_backlog);
                writeln!(
                    f,
                    "  new jobs are turned away only while held work would take {wait} s or more"
                )?;
            }
            if level.terms.max_open_jobs < usize::MAX {
                writeln!(
                    f,
                    "  no more than {} flows are open together",
                    level.terms.max_open_jobs
                )?;
            }
        }
        Ok(())
    }
}
