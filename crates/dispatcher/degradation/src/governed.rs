//! The decisions, and the levels that watch over them.

use crate::gauges::{Gauges, Readings, Usage};
use crate::ladder::{Cause, Change, Ladder};
use crate::spec::Spec;
use dispatch_api::{
    Action, Event, JobId, ListUpdateKind, Micros, PolicySnapshot, Settings, SettingsError, WorkerId,
};
use dispatch_policy::Dispatcher;
use std::sync::Arc;

/// The decisions with the levels before them, or without any. It is handled as the decisions are.
#[derive(Debug)]
pub struct Governed {
    dispatcher: Dispatcher,
    dispatchers: u32,
    now: Micros,
    /// A list that is not an old copy came first then.
    fresh: Option<Micros>,
    watch: Option<Watch>,
    changes: Vec<Change>,
}

#[derive(Debug)]
struct Watch {
    spec: Arc<Spec>,
    gauges: Gauges,
    ladder: Ladder,
    readings: Readings,
    usage: Usage,
    /// When the figures are read next.
    look_at: Micros,
    /// A wake-up for it has been asked for.
    armed: bool,
}

/// The level in force, for those who look.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelStatus {
    /// The name of the level in force.
    pub level: String,
    /// Its place, 0 for full service.
    pub rank: usize,
    /// How many levels there are beside full service.
    pub of: usize,
    /// Since when.
    pub since: Micros,
    /// Why, where there has been a change.
    pub cause: Option<Cause>,
    /// Until when it is forced.
    pub forced_until: Option<Micros>,
    /// How long its condition for leaving must hold.
    pub hold: Micros,
    /// The last changes, the latest first.
    pub changes: Vec<Change>,
    /// The last readings.
    pub readings: Readings,
    /// The specification in force.
    pub spec: Arc<Spec>,
}

/// What can be seen of the decisions from outside.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Now.
    pub now: Micros,
    /// What the decisions believe and count.
    pub figures: dispatch_api::PolicyMetrics,
    /// The levels, where there are any.
    pub levels: Option<LevelStatus>,
}

impl Governed {
    /// Decisions that know nothing yet, with or without levels.
    ///
    /// # Errors
    /// What makes the settings unusable.
    pub fn new(
        settings: Settings,
        seed: u64,
        spec: Option<Arc<Spec>>,
    ) -> Result<Self, SettingsError> {
        let dispatchers = settings.dispatchers;
        let dispatcher = Dispatcher::new(settings, seed)?;
        let mut governed = Governed {
            dispatcher,
            dispatchers,
            now: 0,
            fresh: None,
            watch: None,
            changes: vec![],
        };
        governed.watch = spec.map(|spec| Watch::new(spec, None));
        Ok(governed)
    }

    /// Takes the time and one event, and appends what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if let Event::WorkersUpdated { kind, .. } = &event {
            if *kind != ListUpdateKind::Inherited {
                let fresh = *self.fresh.get_or_insert(self.now);
                self.watch.iter_mut().for_each(|w| w.gauges.listed(fresh));
            }
        }
        self.dispatcher.handle(self.now, event, out);
        self.look(out);
    }

    /// Whether the job's last attempt can be sent to the worker now, as [`Dispatcher::may_start`] says.
    pub fn may_start(&mut self, now: Micros, job: JobId, worker: WorkerId) -> bool {
        self.now = self.now.max(now);
        self.dispatcher.may_start(self.now, job, worker)
    }

    /// What a successor can use.
    pub fn known(&self) -> PolicySnapshot {
        self.dispatcher.known()
    }

    /// Takes over what a predecessor knew.
    pub fn recall(&mut self, now: Micros, known: &PolicySnapshot) {
        self.now = self.now.max(now);
        self.dispatcher.recall(self.now, known);
    }

    /// So many processes of this dispatcher live, as [`Dispatcher::share_among`] takes it.
    pub fn share_among(&mut self, processes: u32) {
        self.dispatcher.share_among(processes);
    }

    /// Takes note of the use of the program's own limits; it counts from the next look on.
    pub fn used(&mut self, usage: Usage) {
        self.watch.iter_mut().for_each(|w| w.usage = usage);
    }

    /// The operators ask for a level for so long, or for what the figures say.
    pub fn force(&mut self, now: Micros, level: Option<(usize, Micros)>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let Some(watch) = &mut self.watch else { return };
        if let Some(change) = watch.ladder.force(&watch.spec, self.now, level) {
            self.apply(change, out);
        }
    }

    /// Another specification is in force from now on, or none. Nothing changes for levels that both have.
    pub fn replace(&mut self, now: Micros, spec: Option<Arc<Spec>>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let was = self.watch.as_ref().map_or(0, |w| w.ladder.in_force());
        match (&mut self.watch, spec) {
            (Some(watch), Some(spec)) => {
                let change = watch.ladder.replace(&watch.spec, &spec, self.now);
                watch.spec = spec;
                match change {
                    Some(change) => self.apply(change, out),
                    // What the level asks may be another thing now.
                    None if was > 0 => self.order(out),
                    None => {}
                }
            }
            (None, Some(spec)) => {
                self.watch = Some(Watch::new(spec, self.fresh));
                self.look(out);
            }
            (Some(_), None) => {
                self.watch = None;
                if was > 0 {
                    self.order(out);
                }
            }
            (None, None) => {}
        }
    }

    /// The changes of level since the last call, the earliest first.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The name of the level in force, where there are any, and the last change.
    pub fn level(&self) -> Option<(&str, Option<&Change>)> {
        let watch = self.watch.as_ref()?;
        Some((
            watch.spec.name(watch.ladder.in_force()),
            watch.ladder.changes().next(),
        ))
    }

    /// What can be seen from outside.
    pub fn status(&self) -> Status {
        let levels = self.watch.as_ref().map(|w| LevelStatus {
            level: w.spec.name(w.ladder.in_force()).to_owned(),
            rank: w.ladder.in_force(),
            of: w.spec.levels.len(),
            since: w.ladder.since(),
            cause: w.ladder.changes().next().map(|c| c.cause.clone()),
            forced_until: w.ladder.forced_until(),
            hold: w.ladder.hold(&w.spec, self.now),
            changes: w.ladder.changes().cloned().collect(),
            readings: w.readings.clone(),
            spec: Arc::clone(&w.spec),
        });
        Status {
            now: self.now,
            figures: self.dispatcher.figures(),
            levels,
        }
    }

    fn look(&mut self, out: &mut Vec<Action>) {
        let Some(watch) = &mut self.watch else { return };
        if self.now >= watch.look_at {
            (watch.look_at, watch.armed) = (self.now + watch.spec.look, false);
            let (spec, figures) = (&watch.spec, self.dispatcher.figures());
            watch.readings =
                watch
                    .gauges
                    .read(spec, self.dispatchers, self.now, &figures, watch.usage);
            let settled = watch.gauges.settled(spec, self.now);
            let readings = settled.then_some(&watch.readings);
            if let Some(change) = watch.ladder.read(spec, self.now, readings) {
                self.apply(change, out);
            }
        }
        let Some(watch) = &mut self.watch else { return };
        if !std::mem::replace(&mut watch.armed, true) {
            out.push(Action::WakeAt(watch.look_at));
        }
    }

    fn apply(&mut self, change: Change, out: &mut Vec<Action>) {
        self.changes.push(change);
        self.order(out);
    }

    /// Tells the decisions what the level in force asks.
    fn order(&mut self, out: &mut Vec<Action>) {
        let level = self.watch.as_ref().and_then(|w| {
            let at = w.ladder.in_force().checked_sub(1)?;
            w.spec.levels.get(at)
        });
        let terms = level.map(|level| Arc::new(level.terms.clone()));
        self.dispatcher
            .handle(self.now, Event::AdmissionChanged(terms), out);
    }
}

impl Watch {
    fn new(spec: Arc<Spec>, fresh: Option<Micros>) -> Self {
        let mut gauges = Gauges::default();
        fresh.into_iter().for_each(|at| gauges.listed(at));
        let (ladder, readings, usage) = Default::default();
        Watch {
            spec,
            gauges,
            ladder,
            readings,
            usage,
            look_at: 0,
            armed: false,
        }
    }
}
