//! The decisions, and the levels that watch over them.

use crate::change::{Cause, LevelChange};
use crate::config::DegradationConfig;
use crate::meter::Meter;
use crate::readings::{Readings, Usage};
use crate::selector::{ForcedLevel, LevelSelector};
use dispatch_api::{
    Action, Event, JobId, ListUpdateKind, Micros, PolicyMetrics, PolicySnapshot, Settings,
    SettingsError, WorkerId,
};
use dispatch_policy::Dispatcher;
use std::sync::Arc;

/// The decisions with the levels before them, or without any. It is handled as the decisions are.
#[derive(Debug)]
pub struct DegradingDispatcher {
    dispatcher: Dispatcher,
    /// How many dispatchers share the targets.
    dispatchers: u32,
    now: Micros,
    /// When the first list came that is not an old copy.
    first_fresh_list_at: Option<Micros>,
    monitor: Option<Monitor>,
    changes: Vec<LevelChange>,
}

#[derive(Debug)]
struct Monitor {
    config: Arc<DegradationConfig>,
    meter: Meter,
    selector: LevelSelector,
    readings: Readings,
    usage: Usage,
    /// When the metrics are read next.
    next_poll_at: Micros,
    /// A wake-up for it has been asked for.
    is_armed: bool,
}

/// The level that applies, for those who look.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelStatus {
    /// The name of the level that applies.
    pub level: String,
    /// Its rank, 0 for full service.
    pub rank: usize,
    /// How many levels there are beside full service.
    pub levels: usize,
    /// Since when.
    pub since: Micros,
    /// Why, where there has been a change.
    pub cause: Option<Cause>,
    /// Until when it is forced.
    pub forced_until: Option<Micros>,
    /// How long its condition for leaving must hold.
    pub hold: Micros,
    /// The last changes, the latest first.
    pub changes: Vec<LevelChange>,
    /// The last readings.
    pub readings: Readings,
    /// The configuration that applies.
    pub config: Arc<DegradationConfig>,
}

/// What can be seen of the decisions from outside.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Now.
    pub now: Micros,
    /// What the decisions believe and count.
    pub figures: PolicyMetrics,
    /// The levels, where there are any.
    pub levels: Option<LevelStatus>,
}

impl DegradingDispatcher {
    /// Decisions that know nothing yet, with or without levels.
    ///
    /// # Errors
    /// What makes the settings unusable.
    pub fn new(
        settings: Settings,
        seed: u64,
        config: Option<Arc<DegradationConfig>>,
    ) -> Result<Self, SettingsError> {
        let dispatchers = settings.dispatchers;
        Ok(DegradingDispatcher {
            dispatcher: Dispatcher::new(settings, seed)?,
            dispatchers,
            now: 0,
            first_fresh_list_at: None,
            monitor: config.map(|config| Monitor::new(config, None)),
            changes: vec![],
        })
    }

    /// Takes the time and one event, and appends what to do.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if let Event::WorkersUpdated { kind, .. } = &event {
            if *kind != ListUpdateKind::Inherited {
                let first = *self.first_fresh_list_at.get_or_insert(self.now);
                if let Some(monitor) = &mut self.monitor {
                    monitor.meter.note_fresh_list(first);
                }
            }
        }
        self.dispatcher.handle(self.now, event, out);
        self.poll(out);
    }

    /// Whether the job's last attempt can be sent to the worker now, as [`Dispatcher::may_start`]
    /// says.
    pub fn may_start(&mut self, now: Micros, job: JobId, worker: WorkerId) -> bool {
        self.now = self.now.max(now);
        self.dispatcher.may_start(self.now, job, worker)
    }

    /// What a successor can use.
    pub fn known(&self) -> PolicySnapshot {
        self.dispatcher.snapshot()
    }

    /// Takes over what a predecessor knew.
    pub fn recall(&mut self, now: Micros, known: &PolicySnapshot) {
        self.now = self.now.max(now);
        self.dispatcher.restore(self.now, known);
    }

    /// So many processes of this dispatcher live, as [`Dispatcher::set_process_count`] takes it.
    pub fn share_among(&mut self, processes: u32) {
        self.dispatcher.set_process_count(processes);
    }

    /// Takes note of the use of the program's own limits; it counts from the next poll on.
    pub fn set_usage(&mut self, usage: Usage) {
        if let Some(monitor) = &mut self.monitor {
            monitor.usage = usage;
        }
    }

    /// The operators ask for a level, or for what the metrics say.
    pub fn force(&mut self, now: Micros, level: Option<ForcedLevel>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let Some(monitor) = &mut self.monitor else {
            return;
        };
        let change = monitor.selector.force(&monitor.config, self.now, level);
        if let Some(change) = change {
            self.apply(change, out);
        }
    }

    /// Another configuration applies from now on, or none. Nothing changes for levels that both
    /// have.
    pub fn replace_config(
        &mut self,
        now: Micros,
        config: Option<Arc<DegradationConfig>>,
        out: &mut Vec<Action>,
    ) {
        self.now = self.now.max(now);
        let was = self.monitor.as_ref().map_or(0, |m| m.selector.current());
        match (&mut self.monitor, config) {
            (Some(monitor), Some(config)) => {
                let selector = &mut monitor.selector;
                let change = selector.replace_config(&monitor.config, &config, self.now);
                monitor.config = config;
                match change {
                    Some(change) => self.apply(change, out),
                    // What the level admits may be another thing now.
                    None if was > 0 => self.set_admission(out),
                    None => {}
                }
            }
            (None, Some(config)) => {
                self.monitor = Some(Monitor::new(config, self.first_fresh_list_at));
                self.poll(out);
            }
            (Some(_), None) => {
                self.monitor = None;
                if was > 0 {
                    self.set_admission(out);
                }
            }
            (None, None) => {}
        }
    }

    /// The changes of level since the last call, the earliest first.
    pub fn take_changes(&mut self) -> Vec<LevelChange> {
        std::mem::take(&mut self.changes)
    }

    /// The name of the level that applies, where there are any, and the last change.
    pub fn level(&self) -> Option<(&str, Option<&LevelChange>)> {
        let monitor = self.monitor.as_ref()?;
        let name = monitor.config.name(monitor.selector.current());
        Some((name, monitor.selector.changes().next()))
    }

    /// What can be seen from outside.
    pub fn status(&self) -> Status {
        Status {
            now: self.now,
            figures: self.dispatcher.metrics(),
            levels: self
                .monitor
                .as_ref()
                .map(|monitor| monitor.status(self.now)),
        }
    }

    /// Reads the metrics if that is due, and asks for a wake-up for the next time.
    fn poll(&mut self, out: &mut Vec<Action>) {
        let Some(monitor) = &mut self.monitor else {
            return;
        };
        if self.now >= monitor.next_poll_at {
            monitor.next_poll_at = self.now + monitor.config.poll_interval;
            monitor.is_armed = false;
            let metrics = self.dispatcher.metrics();
            if let Some(change) = monitor.read(self.dispatchers, self.now, &metrics) {
                self.apply(change, out);
            }
        }
        let Some(monitor) = &mut self.monitor else {
            return;
        };
        if !std::mem::replace(&mut monitor.is_armed, true) {
            out.push(Action::WakeAt(monitor.next_poll_at));
        }
    }

    fn apply(&mut self, change: LevelChange, out: &mut Vec<Action>) {
        self.changes.push(change);
        self.set_admission(out);
    }

    /// Tells the decisions what the level that applies admits.
    fn set_admission(&mut self, out: &mut Vec<Action>) {
        let monitor = self.monitor.as_ref();
        let level = monitor.and_then(|m| m.config.level(m.selector.current()));
        let admission = level.map(|level| Arc::new(level.admission.clone()));
        let event = Event::AdmissionChanged(admission);
        self.dispatcher.handle(self.now, event, out);
    }
}

impl Monitor {
    fn new(config: Arc<DegradationConfig>, first_fresh_list_at: Option<Micros>) -> Self {
        let mut meter = Meter::default();
        if let Some(at) = first_fresh_list_at {
            meter.note_fresh_list(at);
        }
        Monitor {
            config,
            meter,
            selector: LevelSelector::default(),
            readings: Readings::default(),
            usage: Usage::default(),
            next_poll_at: 0,
            is_armed: false,
        }
    }

    /// Reads the metrics; the change of level that follows, if any.
    fn read(
        &mut self,
        dispatchers: u32,
        now: Micros,
        metrics: &PolicyMetrics,
    ) -> Option<LevelChange> {
        let config = &self.config;
        self.readings = self
            .meter
            .read(config, dispatchers, now, metrics, self.usage);
        let settled = self.meter.is_settled(config, now);
        let readings = settled.then_some(&self.readings);
        self.selector.update(config, now, readings)
    }

    fn status(&self, now: Micros) -> LevelStatus {
        let Monitor {
            config, selector, ..
        } = self;
        LevelStatus {
            level: config.name(selector.current()).to_owned(),
            rank: selector.current(),
            levels: config.levels.len(),
            since: selector.since(),
            cause: selector.changes().next().map(|c| c.cause.clone()),
            forced_until: selector.forced_until(),
            hold: selector.hold(config, now),
            changes: selector.changes().cloned().collect(),
            readings: self.readings.clone(),
            config: Arc::clone(config),
        }
    }
}
