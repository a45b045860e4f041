//! A large fleet in virtual time: what it costs by size, and what whole failures of it come to.

use crate::model::{self, Outcomes};
use crate::registry::Service;
use crate::scenario::{Fault, Scenario, SECOND};
use dispatch_api::Micros;
use dispatcher_settings::platform::ConfigError;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// When what goes wrong does; before it the fleet comes to its usual state.
const WHEN: Micros = 5 * SECOND;

/// What goes wrong with the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Story {
    /// Nothing.
    Calm,
    /// Nine in ten dispatchers are killed and are back within a second, from the list of the start; discovery refuses for
    /// the second after that.
    Herd,
    /// Discovery falls silent for 8 s, then all callers wait for it.
    Silence,
    /// A zone can't be reached for 5 s, then its boxes are back, cold.
    Zone,
    /// Six in ten boxes are replaced within 7 s; of the new ones one in six hangs, and one in six is gone at once.
    Join,
    /// Each box takes fewer connections than dispatchers come.
    Crowded,
    /// The list has 4,000 lines, most of them of boxes that are long gone.
    Ghosts,
}

impl Story {
    /// All of them.
    pub const ALL: [(&'static str, Story); 7] = [
        ("calm", Story::Calm),
        ("herd", Story::Herd),
        ("silence", Story::Silence),
        ("zone", Story::Zone),
        ("join", Story::Join),
        ("crowded", Story::Crowded),
        ("ghosts", Story::Ghosts),
    ];
}

impl FromStr for Story {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let names = || Self::ALL.map(|(name, _)| name).join(", ");
        let story = Self::ALL.iter().find(|(name, _)| *name == text);
        story
            .map(|(_, story)| *story)
            .ok_or_else(|| format!("{text:?} is none of {}", names()))
    }
}

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Terms {
    /// What goes wrong.
    pub story: Story,
    /// Dispatchers.
    pub dispatchers: u32,
    /// Boxes.
    pub boxes: usize,
    /// Load, as a share of the capacity of the boxes that are there at the start.
    pub load: f64,
    /// How long clients ask.
    pub seconds: u64,
    /// For all that is drawn.
    pub seed: u64,
}

impl Terms {
    fn scenario(&self) -> Scenario {
        let mut scenario = Scenario::vast(self.dispatchers, self.boxes);
        // Of a join only the old boxes are there at the start.
        let there = if self.story == Story::Join {
            self.boxes * 10 / 16
        } else {
            self.boxes
        };
        let load = self.load * there as f64 / self.boxes.max(1) as f64;
        (scenario.load, scenario.end) = (vec![(0, load)], self.seconds * SECOND);
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ 0xfa17);
        let mut faults = vec![];
        let Some(vast) = &mut scenario.vast else {
            return scenario;
        };
        match self.story {
            Story::Calm => {}
            Story::Herd => {
                for which in 0..self.dispatchers as usize * 9 / 10 {
                    let at = WHEN + rng.random_range(0..SECOND / 2);
                    vast.restarts
                        .push((which, at, at + rng.random_range(SECOND / 4..SECOND / 2)));
                }
                vast.discovery = vec![(WHEN, Service::Refuses), (WHEN + 2 * SECOND, Service::Up)];
            }
            Story::Silence => {
                vast.discovery = vec![(WHEN, Service::Silent), (WHEN + 8 * SECOND, Service::Up)];
            }
            Story::Zone => {
                for (at, _) in scenario
                    .boxes
                    .iter()
                    .enumerate()
                    .filter(|(_, b)| b.zone == 1)
                {
                    faults.extend([(WHEN, at, Fault::Cut), (WHEN + 5 * SECOND, at, Fault::Kill)]);
                    faults.extend([
                        (WHEN + 5 * SECOND + 1, at, Fault::Join),
                        (WHEN + 5 * SECOND + 2, at, Fault::Start),
                    ]);
                }
            }
            Story::Join => {
                // The old ones are the first, so that new ones of the same kinds come in their places.
                vast.absent = (there..self.boxes).collect();
                let mut old: Vec<usize> = (0..there).collect();
                old.shuffle(&mut rng);
                for (new, old) in (there..self.boxes).zip(old) {
                    let at = WHEN + rng.random_range(0..7 * SECOND);
                    faults.extend([(at, new, Fault::Start), (at, old, Fault::Drain)]);
                    faults.push((at + 6 * SECOND, old, Fault::Kill));
                    match rng.random_range(0..6) {
                        0 => faults.push((at + SECOND / 2, new, Fault::Hang)),
                        1 => faults.push((at + SECOND / 2, new, Fault::Kill)),
                        _ => {}
                    }
                }
            }
            Story::Crowded => scenario.boxes.iter_mut().for_each(|b| b.connections = 12),
            Story::Ghosts => vast.ghosts = 4_000 - self.boxes.min(4_000),
        }
        scenario.faults = faults;
        scenario
    }

    /// Plays it.
    ///
    /// # Errors
    /// The scenario makes no usable configuration.
    pub fn play(&self) -> Result<Row, ConfigError> {
        let scenario = self.scenario();
        let outcomes = model::run(&scenario, None, self.seed, 0, &[])?;
        Ok(self.row(&outcomes))
    }

    fn row(&self, outcomes: &Outcomes) -> Row {
        let sums = &outcomes.sums;
        let (jobs, seconds) = (sums.jobs.max(1) as f64, self.seconds.max(1) as f64);
        let (boxes, dispatchers) = (self.boxes.max(1) as f64, f64::from(self.dispatchers.max(1)));
        let reducing = sums.reducing.as_secs_f64() * 1.0e6;
        Row {
            story: self.story,
            dispatchers: self.dispatchers,
            boxes: self.boxes,
            seed: self.seed,
            jobs: sums.jobs,
            worth: outcomes.worth,
            in_time: outcomes.classes.iter().map(|c| c.in_time).sum::<u64>() as f64 / jobs,
            cpu_us_per_job: reducing / jobs,
            cpu_us_per_input: reducing / outcomes.inputs.max(1) as f64,
            attempts_per_job: sums.attempts as f64 / jobs,
            calls: sums.discovery.calls,
            calls_failed: sums.discovery.failed,
            calls_worst_second: sums.discovery.worst_second(),
            lines_per_job: sums.discovery.lines as f64 / jobs,
            connections_per_box_s: sums.opened as f64 / boxes / seconds,
            crowded: sums.crowded,
            probes_per_box_s: sums.probes as f64 / boxes / seconds,
            datagram_bytes_per_dispatcher_s: sums.bytes as f64 / dispatchers / seconds,
            nobody: sums.nobody,
            cut_off: sums.cut_off,
            stale_for_ms: sums.stale_for / 1_000,
            never_told: sums.never_told,
            fell_untold: sums.fell_untold,
            rules_broken: outcomes.broken.0,
            words: outcomes.broken.1.clone(),
        }
    }
}

/// What one size of a fleet came to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Row {
    /// What went wrong.
    pub story: Story,
    /// Dispatchers.
    pub dispatchers: u32,
    /// Boxes.
    pub boxes: usize,
    /// The seed that all was drawn from.
    pub seed: u64,
    /// Jobs asked for.
    pub jobs: u64,
    /// Worth served over worth asked for.
    pub worth: f64,
    /// Share of jobs that were served in time.
    pub in_time: f64,
    /// Processor time of the reducers, microseconds for a job ...
    pub cpu_us_per_job: f64,
    /// ... and for one input.
    pub cpu_us_per_input: f64,
    /// Attempts that reached a box.
    pub attempts_per_job: f64,
    /// New watches and whole lists that were asked of discovery.
    pub calls: u64,
    /// ... that failed.
    pub calls_failed: u64,
    /// ... in the second with most of them.
    pub calls_worst_second: u64,
    /// Lines of lists.
    pub lines_per_job: f64,
    /// Connections asked of a box, a second.
    pub connections_per_box_s: f64,
    /// Connections that a box had no room for.
    pub crowded: u64,
    /// Probes, a second.
    pub probes_per_box_s: f64,
    /// Bytes of datagrams that reach other dispatchers, a second.
    pub datagram_bytes_per_dispatcher_s: f64,
    /// Tries that found no dispatcher.
    pub nobody: u64,
    /// Tries that a killed dispatcher took with it.
    pub cut_off: u64,
    /// The longest time from a dispatcher's start to its first news of the list.
    pub stale_for_ms: u64,
    /// Dispatchers that never had any after their last start.
    pub never_told: usize,
    /// Cold boxes pushed over mostly by dispatchers that could not know of their start yet.
    pub fell_untold: u64,
    /// Rules broken, and the first in words.
    pub rules_broken: u64,
    /// ... of these.
    pub words: Vec<String>,
}

/// Rows, as they are printed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Summary(pub Vec<Row>);

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for r in &self.0 {
            writeln!(
                f,
                "{:?}, {} dispatchers, {} boxes, seed {}:",
                r.story, r.dispatchers, r.boxes, r.seed
            )?;
            writeln!(
                f,
                "  {} jobs, {:.3} of their worth, {:.3} in time, {:.2} attempts each, {} cut off, {} found nobody",
                r.jobs, r.worth, r.in_time, r.attempts_per_job, r.cut_off, r.nobody
            )?;
            writeln!(
                f,
                "  reducer: {:.1} us a job, {:.2} us an input; datagrams: {:.0} bytes/s a dispatcher",
                r.cpu_us_per_job, r.cpu_us_per_input, r.datagram_bytes_per_dispatcher_s
            )?;
            writeln!(
                f,
                "  discovery: {} calls ({} failed, {} in the worst second), {:.0} lines a job, news after {} ms at the \
                 latest, {} never told",
                r.calls, r.calls_failed, r.calls_worst_second, r.lines_per_job, r.stale_for_ms, r.never_told
            )?;
            writeln!(
                f,
                "  a box: {:.2} new connections/s ({} found no room), {:.2} probes/s, {} fell unknown as cold; {} rules broken",
                r.connections_per_box_s, r.crowded, r.probes_per_box_s, r.fell_untold, r.rules_broken
            )?;
            r.words
                .iter()
                .try_for_each(|word| writeln!(f, "    {word}"))?;
        }
        Ok(())
    }
}
