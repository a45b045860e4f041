//! The rules, checked from outside: what each client was answered, and what each box was sent.

use crate::scenario::{Arrival, JobClass};
use dispatch_api::Micros;
use std::collections::BTreeMap;

/// How a client was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// Served.
    Served,
    /// Not served, and trying again is harmless.
    Refused,
    /// Not served.
    Failed,
}

/// How much later than its deadline a final answer still counts as given while the client waits.
const ANSWER_SLACK: Micros = 70_000;
/// Nothing new later than this after a dispatcher was told of a drain; a further part covers the way there.
const DRAIN_WITHIN: Micros = 300_000;
/// What was told this long before a process was stopped it may not have read.
const READ_WITHIN: Micros = 100_000;
/// Broken rules that are kept in words.
const KEPT: usize = 20;

/// What one class came to.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassScore {
    /// Jobs asked for.
    pub asked: u64,
    /// Served within their wanted time.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
}

impl ClassScore {
    /// Share served in time; 1 where none was asked for.
    pub fn share(&self) -> f64 {
        if self.asked == 0 {
            1.0
        } else {
            self.in_time as f64 / self.asked as f64
        }
    }
}

#[derive(Debug)]
struct Open {
    class: usize,
    deadline: Micros,
    out: Option<u64>,
    /// An attempt may have run.
    exposed: bool,
    answered: bool,
}

/// Watches a run. A try is one request of a client; its retries belong to the first.
#[derive(Debug)]
pub struct Checker {
    classes: Vec<JobClass>,
    scores: Vec<ClassScore>,
    tries: BTreeMap<u64, Open>,
    /// Runs of what must never run twice, by job.
    runs: BTreeMap<u64, u32>,
    /// When each dispatcher was told that a box takes nothing new, by box and dispatcher.
    shut: BTreeMap<(usize, u32), Micros>,
    /// Boxes that operators have left out, since when.
    out: BTreeMap<usize, Micros>,
    late_sends: u64,
    /// Every attempt that reached a box: when, which box, from which dispatcher; where they are wanted.
    sends: Option<Vec<(Micros, usize, u32)>>,
    broken: Vec<String>,
    count: u64,
}

impl Checker {
    /// A checker for jobs of these classes.
    pub fn new(classes: &[JobClass]) -> Self {
        let (tries, runs, shut, out, late_sends, sends) = Default::default();
        let scores = vec![ClassScore::default(); classes.len()];
        let (classes, broken) = (classes.to_vec(), vec![]);
        Checker {
            classes,
            scores,
            tries,
            runs,
            shut,
            out,
            late_sends,
            sends,
            broken,
            count: 0,
        }
    }

    fn broke(&mut self, now: Micros, what: &str) {
        self.count += 1;
        if self.broken.len() < KEPT {
            self.broken
                .push(format!("{:.3} s: {what}", now as f64 / 1.0e6));
        }
    }

    /// A rule that something else has seen broken.
    pub fn other(&mut self, now: Micros, what: &str) {
        self.broke(now, what);
    }

    /// A job is asked for the first time.
    pub fn asked(&mut self, arrival: &Arrival) {
        self.scores[arrival.class].asked += 1;
    }

    /// A dispatcher has taken a try.
    pub fn taken(&mut self, id: u64, class: usize, deadline: Micros) {
        self.tries.insert(
            id,
            Open {
                class,
                deadline,
                out: None,
                exposed: false,
                answered: false,
            },
        );
    }

    /// From now on every attempt is kept, for [`Checker::sends`].
    pub fn keep_sends(&mut self) {
        self.sends = Some(vec![]);
    }

    /// Attempts that were kept: when, at which box, from which dispatcher.
    pub fn sends(&self) -> &[(Micros, usize, u32)] {
        self.sends.as_deref().unwrap_or_default()
    }

    /// An attempt of a try reached a box.
    pub fn sent(&mut self, now: Micros, id: u64, attempt: u64, at: usize, dispatcher: u32) {
        self.sends
            .iter_mut()
            .for_each(|sends| sends.push((now, at, dispatcher)));
        if let Some(told) = self
            .shut
            .get(&(at, dispatcher))
            .filter(|told| now > **told + DRAIN_WITHIN)
        {
            let late = now - told;
            self.broke(
                now,
                &format!(
                    "box {at} was sent try {id} {late} us after {dispatcher} was told it is shut"
                ),
            );
        }
        if let Some(since) = self
            .out
            .get(&at)
            .filter(|since| now > **since + DRAIN_WITHIN)
        {
            let late = now - since;
            self.late_sends += 1;
            self.broke(
                now,
                &format!("box {at} was sent try {id} {late} us after it was left out"),
            );
        }
        let Some(open) = self.tries.get_mut(&id) else {
            return self.broke(
                now,
                &format!("box {at} was sent try {id}, which nobody asked for"),
            );
        };
        let repeats = self.classes[open.class].effect == "side_effect" && open.exposed;
        let doubled = open.out.replace(attempt).is_some();
        if doubled {
            self.broke(now, &format!("two attempts of try {id} are out"));
        }
        if repeats {
            self.broke(
                now,
                &format!("try {id} may have run and must not run twice, and was sent again"),
            );
        }
    }

    /// A box began to run an attempt.
    pub fn ran(&mut self, now: Micros, id: u64, job: u64) {
        let Some(open) = self.tries.get_mut(&id) else {
            return;
        };
        open.exposed = true;
        if self.classes[open.class].effect == "side_effect" {
            let runs = self.runs.entry(job).or_default();
            *runs += 1;
            if *runs > 1 {
                let runs = *runs;
                self.broke(
                    now,
                    &format!("job {job} must not run twice, and ran {runs} times"),
                );
            }
        }
    }

    /// An attempt is out no more.
    pub fn back(&mut self, id: u64, attempt: u64) {
        if let Some(open) = self.tries.get_mut(&id) {
            if open.out == Some(attempt) {
                open.out = None;
            }
        }
        self.forget(id);
    }

    /// A dispatcher that was stopped since then goes on: what it was told meanwhile, or a moment before, it reads from now on.
    pub fn goes_on(&mut self, now: Micros, since: Micros, dispatcher: u32) {
        let unread = |(at, told): &(&(usize, u32), &mut Micros)| {
            at.1 == dispatcher && **told + READ_WITHIN >= since
        };
        self.shut
            .iter_mut()
            .filter(unread)
            .for_each(|(_, told)| *told = now);
    }

    /// A client has its answer; `first_asked` is when the job was first asked for.
    pub fn answered(
        &mut self,
        now: Micros,
        id: u64,
        reply: Reply,
        first_asked: Micros,
        work: Micros,
    ) {
        let Some(open) = self.tries.get_mut(&id) else {
            return self.broke(now, &format!("try {id} was answered and not asked"));
        };
        let (class, deadline, exposed) = (open.class, open.deadline, open.exposed);
        if std::mem::replace(&mut open.answered, true) {
            self.broke(now, &format!("try {id} was answered twice"));
        }
        if now > deadline + ANSWER_SLACK {
            self.broke(
                now,
                &format!(
                    "try {id} was answered {} us after its deadline",
                    now - deadline
                ),
            );
        }
        let terms = self.classes[class].clone();
        if reply == Reply::Refused && exposed && terms.effect != "pure" {
            self.broke(
                now,
                &format!("try {id} was refused as harmless, and may have run"),
            );
        }
        if reply == Reply::Served {
            let wanted = first_asked + terms.aim + (terms.stretch * work as f64) as Micros;
            let score = &mut self.scores[class];
            match now <= wanted {
                true => score.in_time += 1,
                false => score.late += 1,
            }
        }
        self.forget(id);
    }

    /// A client has left; nobody owes it anything.
    pub fn left(&mut self, id: u64) {
        if let Some(open) = self.tries.get_mut(&id) {
            open.answered = true;
        }
        self.forget(id);
    }

    fn forget(&mut self, id: u64) {
        if self
            .tries
            .get(&id)
            .is_some_and(|o| o.answered && o.out.is_none())
        {
            self.tries.remove(&id);
        }
    }

    /// A dispatcher was told that a box takes nothing new, or that it does again.
    pub fn told(&mut self, now: Micros, at: usize, dispatcher: u32, ready: bool) {
        if ready {
            self.shut.remove(&(at, dispatcher));
        } else {
            self.shut.entry((at, dispatcher)).or_insert(now);
        }
    }

    /// Operators have left a box out.
    pub fn banned(&mut self, now: Micros, at: usize) {
        self.out.entry(at).or_insert(now);
    }

    /// Operators have called a box back.
    pub fn called_back(&mut self, at: usize) {
        self.out.remove(&at);
    }

    /// Attempts that reached a box which was left out.
    pub fn late_sends(&self) -> u64 {
        self.late_sends
    }

    /// Everything is over: what was not answered by now never will be. Returns how many.
    pub fn end(&mut self, now: Micros) -> u64 {
        let lost: Vec<u64> = self
            .tries
            .iter()
            .filter(|(_, o)| !o.answered)
            .map(|(id, _)| *id)
            .collect();
        for id in &lost {
            self.broke(now, &format!("try {id} was never answered"));
        }
        lost.len() as u64
    }

    /// By class, what it came to.
    pub fn scores(&self) -> &[ClassScore] {
        &self.scores
    }

    /// Worth served over worth asked for; late answers count by their share.
    pub fn worth(&self) -> f64 {
        let of = |served: fn(&JobClass, &ClassScore) -> f64| -> f64 {
            self.classes
                .iter()
                .zip(&self.scores)
                .map(|(c, s)| c.worth * served(c, s))
                .sum()
        };
        let asked = of(|_, s| s.asked as f64);
        of(|c, s| s.in_time as f64 + c.late_worth * s.late as f64) / asked.max(1.0e-9)
    }

    /// How many rules were broken, and the first of them in words.
    pub fn broken(&self) -> (u64, &[String]) {
        (self.count, &self.broken)
    }
}
