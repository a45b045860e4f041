//! What a level of degraded service admits (crate `degradation`).

use crate::Micros;

/// What a level of degraded service admits of the jobs of one class. The rest is rejected at once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassAdmission {
    /// Share of its new jobs that is admitted, 0 to 1.
    pub admitted_share: f64,
    /// Slots that a job may occupy at the most.
    pub max_slots: f64,
    /// Attempts of one job, the first included, within the bound of the site.
    pub max_attempts: u32,
    /// A job that has never been sent is rejected after this, microseconds; none for no bound.
    pub max_hold: Option<Micros>,
    /// Slots that a job leaves free besides its own at a worker of a kind that another class is
    /// dedicated to.
    pub reserved_slots: f64,
}

impl Default for ClassAdmission {
    /// Full service.
    fn default() -> Self {
        ClassAdmission {
            admitted_share: 1.0,
            max_slots: f64::INFINITY,
            max_attempts: u32::MAX,
            max_hold: None,
            reserved_slots: 0.0,
        }
    }
}

/// What a level of degraded service admits.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionPolicy {
    /// By class; a class beyond the end has full service.
    pub classes: Vec<ClassAdmission>,
    /// Jobs that may be open at a time.
    pub max_open_jobs: usize,
    /// New jobs are rejected only while the queued work would take at least this long,
    /// microseconds: with less, a level that is still in force costs nothing.
    pub min_backlog: Micros,
    /// Advice to the rejected, microseconds, before it is spread; bounded by
    /// [`crate::Limits::retry_after`].
    pub retry_after: Micros,
}

impl AdmissionPolicy {
    /// What applies to a class.
    pub fn class(&self, class: usize) -> ClassAdmission {
        self.classes.get(class).copied().unwrap_or_default()
    }
}
