//! Whether answers of the new version are worse than those of the old one.
//!
//! A sequential probability ratio test (Wald, Sequential Tests of Statistical Hypotheses, 1945) for
//! each route and for all together: that the new version's share of bad answers is what the old
//! one's allows, against that it is clearly higher. The old version is measured in the same
//! seconds, so what troubles both condemns none.

use replicated_state::{AnswerCounts, RolloutReport};
use std::collections::BTreeMap;

/// ln(1 / share of good versions condemned by one of the tests).
const CONDEMN_AT: f64 = 8.0;
/// Beyond this a route is looked at for longer before more traffic follows.
const SUSPECT_AT: f64 = 3.0;
/// No version is condemned for fewer bad answers on a route: a few connections may break together.
const MIN_BAD: u64 = 6;
/// Bad answers of the new version count as usual up to so many times the old one's share ...
const USUAL_FACTOR: f64 = 2.0;
/// ... and this.
const USUAL_MARGIN: f64 = 0.025;
/// The share of a bad version: at least this, and so much above what is usual.
const BAD_SHARE: f64 = 0.25;
const BAD_MARGIN: f64 = 0.2;
/// The most that either share may be, so that logarithms stay finite.
const MAX_USUAL_SHARE: f64 = 0.6;
/// The old version is taken for sound until so many of its answers have come: a few bad ones at the
/// begin excuse nothing.
const PRIOR_ANSWERS: f64 = 20.0;

/// Answers of both versions, over all gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Answers of the old version.
    pub old_answers: u64,
    /// Bad ones of them.
    pub old_bad: u64,
    /// Answers of the new version.
    pub new_answers: u64,
    /// Bad ones of them.
    pub new_bad: u64,
}

/// What the answers say of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// Nothing against it.
    Sound,
    /// More bad answers than is usual, and not enough to condemn it.
    Suspect,
    /// It is bad.
    Bad,
}

/// Routes that are told apart at most: those of reports beyond them are not counted.
const MAX_ROUTES: usize = 1_024;

/// What all gateways saw, by route.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    routes: BTreeMap<String, RouteCounts>,
}

impl RouteCounts {
    fn add(&mut self, old: AnswerCounts, new: AnswerCounts) {
        self.old_answers += u64::from(old.answers);
        self.old_bad += u64::from(old.bad.min(old.answers));
        self.new_answers += u64::from(new.answers);
        self.new_bad += u64::from(new.bad.min(new.answers));
    }

    /// The logarithm of the ratio of both hypotheses' likelihoods.
    fn log_likelihood_ratio(&self) -> f64 {
        let old_share = self.old_bad as f64 / (self.old_answers as f64 + PRIOR_ANSWERS);
        let usual = (USUAL_FACTOR * old_share + USUAL_MARGIN).min(MAX_USUAL_SHARE);
        let bad = BAD_SHARE.max(usual + BAD_MARGIN);
        let good_answers = self.new_answers.saturating_sub(self.new_bad);
        self.new_bad as f64 * (bad / usual).ln()
            + good_answers as f64 * ((1.0 - bad) / (1.0 - usual)).ln()
    }

    /// What this says by itself.
    pub fn judge(&self) -> Judgement {
        let ratio = self.log_likelihood_ratio();
        if ratio >= CONDEMN_AT && self.new_bad >= MIN_BAD {
            Judgement::Bad
        } else if ratio >= SUSPECT_AT {
            Judgement::Suspect
        } else {
            Judgement::Sound
        }
    }
}

impl Evidence {
    /// Adds what one gateway saw on a route.
    pub fn add(&mut self, route: &str, old: AnswerCounts, new: AnswerCounts) {
        if !self.routes.contains_key(route) && self.routes.len() < MAX_ROUTES {
            self.routes.insert(route.to_owned(), RouteCounts::default());
        }
        if let Some(counts) = self.routes.get_mut(route) {
            counts.add(old, new);
        }
    }

    /// Adds all that one gateway reported.
    pub fn add_report(&mut self, report: &RolloutReport) {
        for route in &report.routes {
            self.add(&route.route, route.old, route.new);
        }
    }

    /// All routes together.
    pub fn total(&self) -> RouteCounts {
        let mut total = RouteCounts::default();
        for counts in self.routes.values() {
            total.old_answers += counts.old_answers;
            total.old_bad += counts.old_bad;
            total.new_answers += counts.new_answers;
            total.new_bad += counts.new_bad;
        }
        total
    }

    /// The worst that any route, or all together, say of the new version.
    pub fn judge(&self) -> Judgement {
        let routes = self.routes.values().map(RouteCounts::judge);
        let judgements: Vec<Judgement> = routes.chain([self.total().judge()]).collect();
        if judgements.contains(&Judgement::Bad) {
            Judgement::Bad
        } else if judgements.contains(&Judgement::Suspect) {
            Judgement::Suspect
        } else {
            Judgement::Sound
        }
    }
}
