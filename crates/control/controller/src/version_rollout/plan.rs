//! The steps of a roll-out: a canary, then more, then all, then the end.

use super::evidence::{Evidence, Judgement};
use chain_replication::Millis;

/// Of what a bad version may get, the canary takes this part: draws of single requests scatter, and
/// what follows the canary may turn out bad, too.
const CANARY_PART: f64 = 0.6;
/// The canary lasts so long at least, as a share of the time allowed: versions may turn bad late.
const CANARY_TIME_SHARE: f64 = 0.45;
/// The canary of a version with too few answers or a suspect one lasts so long at most.
const MAX_CANARY_TIME_SHARE: f64 = 0.6;
/// However late it is, each step lasts so long at least, in milliseconds.
const MIN_CANARY_MS: Millis = 2_000;
const MIN_STEP_MS: Millis = 700;
/// Answers without which the canary goes on.
const MIN_ANSWERS: u64 = 100;
/// What follows the canary: shares, and for which part of the time allowed.
const PARTIAL_SHARES: [f64; 2] = [0.2, 0.5];
const PARTIAL_TIME_SHARES: [f64; 2] = [0.1, 0.08];
/// The new runners' slots have to be this part of those that their share of the load needs.
const NEEDED_SLOTS: f64 = 0.6;
/// Requests at old runners have so long to end, as a share of the time allowed, and at least so many
/// milliseconds.
const DRAIN_TIME_SHARE: f64 = 0.25;
const MIN_DRAIN_MS: Millis = 3_000;

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A few requests, at a few runners.
    Canary,
    /// A larger share, by its index.
    Partial(usize),
    /// All of them; the requests at old runners end.
    Full,
}

/// What a roll-out has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on.
    Undecided,
    /// Nothing is at old runners any more, or has had its time.
    Complete,
    /// The new version is bad.
    Reverted,
}

/// What is known at a moment.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// Time since the order, in milliseconds.
    pub elapsed_ms: Millis,
    /// Slots of runners of the new version that take requests.
    pub new_slots: u64,
    /// Slots of all others.
    pub old_slots: u64,
    /// What all gateways saw.
    pub evidence: &'a Evidence,
    /// All gateways send everything to the new version, and have nothing at old runners.
    pub old_is_idle: bool,
}

/// One roll-out, as the controller that leads it knows it. The order and its end are kept by the
/// chain; another leader resumes at the share that was published last.
#[derive(Debug, Clone)]
pub struct RolloutPlan {
    over_ms: Millis,
    canary_share: f64,
    step: Step,
    /// Since when it is in this step. None: there was no runner of the new version yet.
    since: Option<Millis>,
    verdict: Verdict,
}

impl RolloutPlan {
    /// One that has just begun. `over_ms`: the time allowed. `canary_share`: the share of a service's
    /// requests that a bad version may get.
    pub fn new(over_ms: Millis, canary_share: f64) -> Self {
        RolloutPlan {
            over_ms,
            canary_share: canary_share * CANARY_PART,
            step: Step::Canary,
            since: None,
            verdict: Verdict::Undecided,
        }
    }

    /// Goes on in the step of this share, which another leader published: it had reason to. Nothing
    /// follows before this leader has seen the answers itself.
    #[must_use]
    pub fn resume(mut self, now: Millis, share: f64) -> Self {
        let partial = PARTIAL_SHARES.iter().rposition(|partial| share >= *partial);
        let step = match partial {
            _ if share >= 1.0 => Step::Full,
            Some(index) => Step::Partial(index),
            None => return self,
        };
        (self.step, self.since) = (step, Some(now));
        self
    }

    /// How far it is.
    pub fn step(&self) -> Step {
        self.step
    }

    /// What it has come to.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// The share of requests for the new version now.
    pub fn share(&self) -> f64 {
        match (self.verdict, self.since, self.step) {
            (Verdict::Reverted, ..) | (_, None, _) => 0.0,
            (_, _, Step::Canary) => self.canary_share,
            (_, _, Step::Partial(index)) => PARTIAL_SHARES[index],
            (_, _, Step::Full) => 1.0,
        }
    }

    /// Takes in what is known now.
    pub fn advance(&mut self, now: Millis, observed: &Observation<'_>) {
        if self.verdict != Verdict::Undecided {
            return;
        }
        let judgement = observed.evidence.judge();
        if judgement == Judgement::Bad {
            self.verdict = Verdict::Reverted;
            return;
        }
        if observed.new_slots == 0 {
            // They are gone, or not there yet: all begins anew.
            (self.step, self.since) = (Step::Canary, None);
            return;
        }
        let since = *self.since.get_or_insert(now);
        let in_step_ms = now.saturating_sub(since);
        match self.step {
            Step::Canary => {
                if self.canary_is_over(in_step_ms, judgement, observed) {
                    self.enter(now, Step::Partial(0), observed);
                }
            }
            Step::Partial(index) => {
                let lasts = self.part(PARTIAL_TIME_SHARES[index]).max(MIN_STEP_MS);
                if in_step_ms >= lasts && judgement == Judgement::Sound {
                    let next = index + 1;
                    let is_last = next >= PARTIAL_SHARES.len();
                    let next = if is_last {
                        Step::Full
                    } else {
                        Step::Partial(next)
                    };
                    self.enter(now, next, observed);
                }
            }
            Step::Full => {
                let drained = observed.old_is_idle && in_step_ms >= MIN_STEP_MS;
                let longest = self.part(DRAIN_TIME_SHARE).max(MIN_DRAIN_MS);
                if drained || in_step_ms >= longest {
                    self.verdict = Verdict::Complete;
                }
            }
        }
    }

    fn canary_is_over(
        &self,
        in_step_ms: Millis,
        judgement: Judgement,
        observed: &Observation<'_>,
    ) -> bool {
        if in_step_ms < MIN_CANARY_MS || judgement == Judgement::Suspect {
            return false;
        }
        let is_late = observed.elapsed_ms >= self.part(MAX_CANARY_TIME_SHARE);
        let has_answers = observed.evidence.total().new_answers >= MIN_ANSWERS;
        let has_lasted = observed.elapsed_ms >= self.part(CANARY_TIME_SHARE);
        has_lasted && (has_answers || is_late)
    }

    /// Enters a step if the new runners have room for its share.
    fn enter(&mut self, now: Millis, step: Step, observed: &Observation<'_>) {
        let share = match step {
            Step::Canary => self.canary_share,
            Step::Partial(index) => PARTIAL_SHARES[index],
            Step::Full => 1.0,
        };
        let needed = NEEDED_SLOTS * share * observed.old_slots as f64;
        if observed.new_slots as f64 >= needed {
            (self.step, self.since) = (step, Some(now));
        }
    }

    fn part(&self, share: f64) -> Millis {
        (self.over_ms as f64 * share) as Millis
    }
}
