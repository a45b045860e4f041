//! Load in swings, with levels and without on the same arrivals, and what comes of it.

use crate::dispatcher::DispatcherError;
use crate::model::{self, LevelChange, Outcomes};
use crate::scenario::{Scenario, SECOND};
use crate::sockets;
use degradation::DegradationConfig;
use dispatch_api::Micros;
use dispatcher_settings::platform::ConfigError;
use rayon::prelude::*;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// What is played.
#[derive(Debug, Clone)]
pub struct Swings {
    /// Boxes.
    pub boxes: usize,
    /// Dispatchers.
    pub dispatchers: u32,
    /// Share of capacity in the lower half of a swing.
    pub low: f64,
    /// ... and in the upper half.
    pub high: f64,
    /// How long a swing takes.
    pub period: Micros,
    /// How many there are.
    pub count: u64,
    /// Seeds of the arrivals, one a pair of runs.
    pub seeds: Vec<u64>,
}

/// One of the three runs of a pair.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Variant {
    On,
    Off,
    Again,
}

/// One run of a sweep on sockets.
#[derive(Debug, Clone, Copy)]
struct Case {
    seed: u64,
    dies: bool,
    variant: Variant,
}

/// Three runs on the same arrivals.
struct Runs {
    on: sockets::Run,
    off: sockets::Run,
    again: sockets::Run,
}

/// The first swing begins then.
pub const LEAD: Micros = 10 * SECOND;

/// What one run with levels and one without came to, on the same arrivals.
#[derive(Debug, Clone, Serialize)]
pub struct Pair {
    /// The seed of the arrivals.
    pub seed: u64,
    /// A quarter of the boxes died.
    pub quarter_dies: bool,
    /// Changes of level, at all dispatchers.
    pub level_changes: usize,
    /// The most at one dispatcher in one swing.
    pub most_changes_in_a_swing: usize,
    /// Worth-weighted service with levels, 0 to 1.
    pub worth_on: f64,
    /// ... and without.
    pub worth_off: f64,
    /// ... and without once more, all but the arrivals drawn anew: how far runs differ by chance.
    pub worth_off_again: f64,
    /// Share in time by class, with levels.
    pub in_time_on: BTreeMap<String, f64>,
    /// ... and without.
    pub in_time_off: BTreeMap<String, f64>,
    /// Broken rules, in all three runs.
    pub rules_broken: u64,
    /// The first of them in words.
    pub broken: Vec<String>,
    /// Every change of level.
    pub changes: Vec<Changed>,
    /// On sockets: processor time of the dispatchers for each job, microseconds, with levels.
    pub cpu_us_per_job_on: Option<f64>,
    /// ... and without, over both runs.
    pub cpu_us_per_job_off: Option<f64>,
    /// On sockets: how late the latest client of the three runs asked, microseconds.
    pub latest_us: Option<u64>,
}

/// One change of level, in seconds from the start of the run.
#[derive(Debug, Clone, Serialize)]
pub struct Changed {
    at_s: f64,
    dispatcher: u32,
    from: String,
    to: String,
    why: String,
}

/// All pairs together.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// `model` or `sockets`.
    pub played_on: &'static str,
    /// Swings of one run.
    pub swings: u64,
    /// Changes of level in all runs.
    pub level_changes: usize,
    /// The most at one dispatcher in one swing of any run.
    pub most_changes_in_a_swing: usize,
    /// The mean with levels.
    pub worth_on: f64,
    /// The mean without.
    pub worth_off: f64,
    /// The least and the most that levels brought on one seed.
    pub worth_gain: (f64, f64),
    /// Two runs without levels on the same arrivals differ by so much, by their mean square.
    pub noise: f64,
    /// The mean by class with levels.
    pub in_time_on: BTreeMap<String, f64>,
    /// ... and without.
    pub in_time_off: BTreeMap<String, f64>,
    /// Broken rules.
    pub rules_broken: u64,
    /// On sockets: processor time of the dispatchers for each job, microseconds, with levels.
    pub cpu_us_per_job_on: Option<f64>,
    /// ... and without.
    pub cpu_us_per_job_off: Option<f64>,
    /// Each pair.
    pub runs: Vec<Pair>,
}

impl Swings {
    /// The scenario of one run.
    pub fn scenario(&self, seed: u64, quarter_dies: bool) -> Scenario {
        let scenario = Scenario::league(self.boxes, self.dispatchers);
        let scenario = scenario.swing(self.low, self.high, self.period, self.count);
        if !quarter_dies {
            return scenario;
        }
        // In the upper half of the third swing, and back cold before the last but two.
        let at = LEAD + self.count.min(3).saturating_sub(1) * self.period + self.period * 6 / 10;
        scenario.quarter_dies(at, 12 * SECOND, seed)
    }

    /// Plays all pairs in virtual time.
    ///
    /// # Errors
    /// The scenario makes no usable configuration.
    pub fn model(
        &self,
        spec: &Arc<DegradationConfig>,
        quarter_dies: &[bool],
    ) -> Result<Summary, ConfigError> {
        let all: Vec<(u64, bool)> = quarter_dies
            .iter()
            .flat_map(|dies| self.seeds.iter().map(|seed| (*seed, *dies)))
            .collect();
        let pairs: Result<Vec<Pair>, ConfigError> = all
            .into_par_iter()
            .map(|(seed, dies)| {
                let scenario = self.scenario(seed, dies);
                let on = model::run(&scenario, Some(spec), seed, 0, &[])?;
                let off = model::run(&scenario, None, seed, 0, &[])?;
                let again = model::run(&scenario, None, seed, 1, &[])?;
                Ok(self.pair(&scenario, seed, dies, &on, &off, &again))
            })
            .collect();
        Ok(self.summary("model", pairs?))
    }

    /// Plays all pairs on sockets, `lanes` runs at a time; their files and logs stand below `folder`. `operator` is
    /// the text of the operators' file, without `admin`.
    ///
    /// # Errors
    /// The stand-ins or the dispatchers could not be had.
    pub fn sockets(
        &self,
        operator: &str,
        quarter_dies: &[bool],
        lanes: usize,
        folder: &Path,
    ) -> Result<Summary, DispatcherError> {
        let (waiting, done) = (
            Mutex::new(self.cases(quarter_dies)),
            Mutex::new(BTreeMap::new()),
        );
        let lane = || loop {
            let next = waiting.lock().map_or(None, |mut w| w.pop_front());
            let Some(Case {
                seed,
                dies,
                variant,
            }) = next
            else {
                return;
            };
            let scenario = self.scenario(seed, dies);
            let folder = folder.join(format!("{seed}-{dies}-{variant:?}").to_lowercase());
            let (text, draw) = match variant {
                Variant::On => (operator, seed),
                Variant::Off => ("", seed),
                Variant::Again => ("", seed + 1_000_003),
            };
            let run = sockets::run(&scenario, text, seed, draw, &folder);
            if let Ok(mut done) = done.lock() {
                done.insert((dies, seed, variant), run);
            }
        };
        std::thread::scope(|scope| {
            for _ in 0..lanes.max(1) {
                scope.spawn(lane);
            }
        });
        let mut done = done.into_inner().unwrap_or_default();
        let mut pairs = vec![];
        for dies in quarter_dies {
            for seed in &self.seeds {
                let mut take = |variant| {
                    let missing = || std::io::Error::other("a run ended without a word").into();
                    done.remove(&(*dies, *seed, variant))
                        .unwrap_or_else(|| Err(missing()))
                };
                let runs = Runs {
                    on: take(Variant::On)?,
                    off: take(Variant::Off)?,
                    again: take(Variant::Again)?,
                };
                pairs.push(self.pair_on_sockets(*seed, *dies, &runs));
            }
        }
        Ok(self.summary("sockets", pairs))
    }

    /// All runs. On and off come in turn, so that what changes on the machine meanwhile meets both.
    fn cases(&self, quarter_dies: &[bool]) -> VecDeque<Case> {
        let mut cases = VecDeque::new();
        for dies in quarter_dies {
            for seed in &self.seeds {
                cases.extend(
                    [Variant::On, Variant::Off, Variant::Again].map(|variant| Case {
                        seed: *seed,
                        dies: *dies,
                        variant,
                    }),
                );
            }
        }
        cases
    }

    /// What three runs on sockets came to, with their processor time.
    fn pair_on_sockets(&self, seed: u64, dies: bool, runs: &Runs) -> Pair {
        let Runs { on, off, again } = runs;
        let asked: u64 = on.outcomes.classes.iter().map(|c| c.asked).sum();
        let jobs = asked.max(1) as f64;
        let scenario = self.scenario(seed, dies);
        Pair {
            cpu_us_per_job_on: Some(on.cpu as f64 / jobs),
            cpu_us_per_job_off: Some((off.cpu + again.cpu) as f64 / 2.0 / jobs),
            latest_us: Some(on.latest.max(off.latest).max(again.latest)),
            ..self.pair(
                &scenario,
                seed,
                dies,
                &on.outcomes,
                &off.outcomes,
                &again.outcomes,
            )
        }
    }

    /// What three runs on the same arrivals came to.
    pub fn pair(
        &self,
        scenario: &Scenario,
        seed: u64,
        quarter_dies: bool,
        on: &Outcomes,
        off: &Outcomes,
        again: &Outcomes,
    ) -> Pair {
        let shares = |o: &Outcomes| {
            let each = scenario.classes.iter().zip(&o.classes);
            each.map(|(class, score)| (class.name.to_owned(), score.share()))
                .collect()
        };
        let broken = [on, off, again]
            .into_iter()
            .flat_map(|o| o.broken.1.iter().cloned());
        let changed = |c: &LevelChange| Changed {
            at_s: c.at as f64 / 1.0e6,
            dispatcher: c.dispatcher,
            from: c.from.clone(),
            to: c.to.clone(),
            why: c.why.clone(),
        };
        Pair {
            seed,
            quarter_dies,
            level_changes: on.changes.len(),
            most_changes_in_a_swing: self.most_in_a_swing(&on.changes),
            worth_on: on.worth,
            worth_off: off.worth,
            worth_off_again: again.worth,
            in_time_on: shares(on),
            in_time_off: shares(off),
            rules_broken: on.broken.0 + off.broken.0 + again.broken.0,
            broken: broken.take(5).collect(),
            changes: on.changes.iter().map(changed).collect(),
            cpu_us_per_job_on: None,
            cpu_us_per_job_off: None,
            latest_us: None,
        }
    }

    fn most_in_a_swing(&self, changes: &[LevelChange]) -> usize {
        let mut counts: BTreeMap<(u32, u64), usize> = BTreeMap::new();
        for change in changes {
            let swing = change.at.saturating_sub(LEAD) / self.period.max(1);
            *counts.entry((change.dispatcher, swing)).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }

    /// All pairs together.
    pub fn summary(&self, played_on: &'static str, runs: Vec<Pair>) -> Summary {
        let count = runs.len().max(1) as f64;
        let mean = |of: fn(&Pair) -> f64| runs.iter().map(of).sum::<f64>() / count;
        let by_class = |of: fn(&Pair) -> &BTreeMap<String, f64>| {
            let mut sums: BTreeMap<String, f64> = BTreeMap::new();
            for (class, share) in runs.iter().flat_map(of) {
                *sums.entry(class.clone()).or_default() += share / count;
            }
            sums
        };
        let gains = || runs.iter().map(|r| r.worth_on - r.worth_off);
        Summary {
            played_on,
            swings: self.count,
            level_changes: runs.iter().map(|r| r.level_changes).sum(),
            most_changes_in_a_swing: runs
                .iter()
                .map(|r| r.most_changes_in_a_swing)
                .max()
                .unwrap_or(0),
            worth_on: mean(|r| r.worth_on),
            worth_off: mean(|r| r.worth_off),
            worth_gain: (
                gains().fold(f64::INFINITY, f64::min),
                gains().fold(f64::NEG_INFINITY, f64::max),
            ),
            noise: mean(|r| (r.worth_off - r.worth_off_again).powi(2)).sqrt(),
            in_time_on: by_class(|r| &r.in_time_on),
            in_time_off: by_class(|r| &r.in_time_off),
            rules_broken: runs.iter().map(|r| r.rules_broken).sum(),
            cpu_us_per_job_on: mean_of(runs.iter().filter_map(|r| r.cpu_us_per_job_on)),
            cpu_us_per_job_off: mean_of(runs.iter().filter_map(|r| r.cpu_us_per_job_off)),
            runs,
        }
    }
}

fn mean_of(values: impl Iterator<Item = f64>) -> Option<f64> {
    let all: Vec<f64> = values.collect();
    (!all.is_empty()).then(|| all.iter().sum::<f64>() / all.len() as f64)
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(
            f,
            "seed  quarter  worth on  off    again  changes  in a swing  in time on/off by class"
        )?;
        for r in &self.runs {
            let classes: Vec<String> = (r.in_time_on.iter())
                .map(|(class, on)| {
                    format!(
                        "{class} {on:.3}/{:.3}",
                        r.in_time_off.get(class).unwrap_or(&0.0)
                    )
                })
                .collect();
            writeln!(
                f,
                "{:<5} {:<8} {:.4}    {:.4} {:.4} {:<8} {:<11} {}",
                r.seed,
                if r.quarter_dies { "dies" } else { "-" },
                r.worth_on,
                r.worth_off,
                r.worth_off_again,
                r.level_changes,
                r.most_changes_in_a_swing,
                classes.join(", ")
            )?;
            for broken in &r.broken {
                writeln!(f, "      BROKEN {broken}")?;
            }
        }
        writeln!(
            f,
            "mean: worth {:.4} with levels, {:.4} without (gain {:.4} to {:.4}, noise {:.4}), rules broken {}",
            self.worth_on, self.worth_off, self.worth_gain.0, self.worth_gain.1, self.noise, self.rules_broken
        )
    }
}
