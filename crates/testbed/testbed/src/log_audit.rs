//! What the processes of a fleet wrote of each other in their logs, held against what really happened. Times are Unix time in
//! microseconds.

use dispatch_api::Micros;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::UNIX_EPOCH;

/// What a fault leaves behind: a process that starts or is reached again hears of all within this.
const AFTER: Micros = 3_000_000;

#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    member: usize,
    #[serde(default)]
    state: String,
    #[serde(default)]
    heard: bool,
}

/// A dispatcher was killed, stopped or told to stop.
#[derive(Debug, Clone, Copy)]
pub struct Down {
    /// Which.
    pub dispatcher: usize,
    /// From then on.
    pub from: Micros,
    /// Until it was started again, or went on.
    pub to: Micros,
    /// It was told to stop, and could say so.
    pub left: bool,
}

/// Ways that carried nothing.
#[derive(Debug, Clone)]
pub struct Closed {
    /// From then on.
    pub from: Micros,
    /// Until then.
    pub to: Micros,
    /// By a partition.
    pub split: bool,
    /// By sender and receiver.
    pub ways: Vec<(usize, usize)>,
}

/// One dispatcher's word on another.
#[derive(Debug, Clone, PartialEq)]
pub struct Word {
    /// When.
    pub at: Micros,
    /// Who said so.
    pub by: usize,
    /// Of whom.
    pub member: usize,
    /// What it is believed to be.
    pub state: String,
}

/// All that they wrote.
#[derive(Debug, Clone, Default)]
pub struct Witness {
    /// In the order of the logs.
    pub words: Vec<Word>,
    /// Who said that somebody does not hear it.
    pub unheard: BTreeSet<usize>,
}

impl Witness {
    /// Reads the log of one process.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn read(&mut self, by: usize, log: &Path) -> std::io::Result<()> {
        for line in std::fs::read_to_string(log)?.lines() {
            let Ok(Line {
                timestamp,
                message,
                member,
                state,
                heard,
            }) = serde_json::from_str(line)
            else {
                continue;
            };
            let Ok(time) = humantime::parse_rfc3339_weak(&timestamp) else {
                continue;
            };
            let at = time
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_micros() as Micros);
            match message.as_str() {
                "member state changed" => self.words.push(Word {
                    at,
                    by,
                    member,
                    state,
                }),
                "member reachability changed" if !heard => drop(self.unheard.insert(by)),
                _ => {}
            }
        }
        Ok(())
    }

    /// Dispatchers that said that somebody does not hear them.
    pub fn unheard(&self) -> usize {
        self.unheard.len()
    }

    /// Deaths that were none: for all of the time that a suspect has, the member ran, and it and whoever took it for dead
    /// could reach each other, directly or through one other.
    pub fn false_deaths(
        &self,
        count: usize,
        down: &[Down],
        closed: &[Closed],
        suspicion: Micros,
    ) -> usize {
        let dead = self.words.iter().filter(|w| w.state == "dead");
        let untrue = |w: &&Word| {
            let since = w.at.saturating_sub(suspicion + AFTER);
            !was_down(down, w.member, since, w.at)
                && !was_down(down, w.by, since, w.at)
                && reached(count, closed, w.by, w.member, since, w.at)
        };
        dead.filter(untrue).count()
    }

    /// The longest until a process that could hear of it knew that another had left.
    pub fn left_known(&self, count: usize, down: &[Down], closed: &[Closed]) -> Micros {
        let known = |(d, by): (&Down, usize)| {
            let until = d.from + AFTER;
            let quiet = !was_down(down, by, d.from.saturating_sub(AFTER), until)
                && still(closed, d.from, until);
            if by == d.dispatcher || !quiet {
                return 0;
            }
            let heard = self
                .words
                .iter()
                .filter(|w| w.by == by && w.member == d.dispatcher && w.state == "left");
            let first = heard
                .map(|w| w.at)
                .filter(|at| *at + AFTER > d.from && *at < d.to)
                .min();
            first.map_or(d.to.min(until + AFTER), |at| at.max(d.from)) - d.from
        };
        let left = down.iter().filter(|d| d.left);
        left.flat_map(|d| (0..count).map(move |by| (d, by)))
            .map(known)
            .max()
            .unwrap_or(0)
    }

    /// Words that suspected one that had left, of processes that could have heard of it.
    pub fn left_suspected(&self, down: &[Down], closed: &[Closed]) -> usize {
        let after = |d: &Down, w: &Word| {
            w.member == d.dispatcher
                && d.from < w.at
                && w.at < d.to
                && matches!(w.state.as_str(), "suspect" | "dead")
                && !was_down(down, w.by, d.from.saturating_sub(AFTER), w.at)
                && still(closed, d.from, w.at)
        };
        let left = down.iter().filter(|d| d.left);
        left.map(|d| self.words.iter().filter(|w| after(d, w)).count())
            .sum()
    }
}

fn was_down(down: &[Down], dispatcher: usize, from: Micros, to: Micros) -> bool {
    down.iter()
        .any(|d| d.dispatcher == dispatcher && d.from <= to && from <= d.to.saturating_add(AFTER))
}

fn still(closed: &[Closed], from: Micros, to: Micros) -> bool {
    !closed
        .iter()
        .any(|c| c.from <= to && from <= c.to.saturating_add(AFTER))
}

fn reached(count: usize, closed: &[Closed], a: usize, b: usize, from: Micros, to: Micros) -> bool {
    let then = closed
        .iter()
        .filter(|c| c.from <= to && from <= c.to.saturating_add(AFTER));
    let shut: BTreeSet<(usize, usize)> = then.flat_map(|c| c.ways.iter().copied()).collect();
    let open = |a: usize, b: usize| !shut.contains(&(a, b));
    let way = |a: usize, b: usize| open(a, b) || (0..count).any(|x| open(a, x) && open(x, b));
    way(a, b) && way(b, a)
}
