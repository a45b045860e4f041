//! The configured levels in words, for operators.

use crate::config::{DegradationConfig, Level};
use crate::metric::Thresholds;
use dispatch_api::{ClassAdmission, Micros};
use std::fmt;

impl DegradationConfig {
    /// The conditions and what they lead to, for classes of these names.
    pub fn explain(&self, classes: &[String]) -> String {
        Explanation {
            config: self,
            classes,
        }
        .to_string()
    }
}

struct Explanation<'a> {
    config: &'a DegradationConfig,
    classes: &'a [String],
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1.0e6
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "full: every job is taken")?;
        for level in &self.config.levels {
            writeln!(f, "{}:", level.name)?;
            self.conditions(level, f)?;
            self.consequences(level, f)?;
        }
        Ok(())
    }
}

impl Explanation<'_> {
    fn conditions(&self, level: &Level, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |thresholds: &Thresholds, relation: &str, separator: &str| {
            let one = thresholds.0.iter().map(|t| {
                let metric = t.metric.describe(self.classes);
                format!("{metric} {relation} {}", t.bound)
            });
            one.collect::<Vec<_>>().join(separator)
        };
        let enter = list(&level.enter, "at least", ", or ");
        let after = seconds(level.enter_for);
        writeln!(f, "  entered after {after} s of: {enter}")?;
        let leave = list(&level.leave, "at most", ", and ");
        writeln!(f, "  left after {} s of: {leave}", seconds(level.leave_for))
    }

    fn consequences(&self, level: &Level, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (class, name) in self.classes.iter().enumerate() {
            let restrictions = restrictions(&level.admission.class(class));
            let restrictions = if restrictions.is_empty() {
                "as at full service".into()
            } else {
                restrictions.join("; ")
            };
            writeln!(f, "  {name}: {restrictions}")?;
        }
        if level.admission.min_backlog > 0 {
            let wait = seconds(level.admission.min_backlog);
            writeln!(
                f,
                "  new jobs are turned away only while held work would take {wait} s or more"
            )?;
        }
        if level.admission.max_open_jobs < usize::MAX {
            let most = level.admission.max_open_jobs;
            writeln!(f, "  no more than {most} flows are open together")?;
        }
        Ok(())
    }
}

/// What a level asks of one class.
fn restrictions(admission: &ClassAdmission) -> Vec<String> {
    let mut list = match admission.admitted_share {
        share if share <= 0.0 => return vec!["no new job is taken".to_owned()],
        share if share >= 1.0 => vec![],
        share => vec![format!("{:.0} % of new jobs are taken", share * 100.0)],
    };
    if admission.max_slots.is_finite() {
        list.push(format!("none of more than {} slots", admission.max_slots));
    }
    if let Some(hold) = admission.max_hold {
        let within = seconds(hold);
        list.push(format!("turned away unless sent within {within} s"));
    }
    if admission.reserved_slots > 0.0 {
        list.push(format!(
            "{} slots left free where another class is bound to",
            admission.reserved_slots
        ));
    }
    if admission.max_attempts < u32::MAX {
        list.push(format!("{} attempt(s) each", admission.max_attempts));
    }
    list
}
