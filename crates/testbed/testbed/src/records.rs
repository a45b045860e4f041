//! What the processes of a fleet wrote of maintenance in their logs, put together: who had which target out, and when.

use dispatch_api::Micros;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::time::UNIX_EPOCH;

/// Nothing new goes to a target later than this after a process had it out; a part of it covers the way there.
const WITHIN: Micros = 300_000;

/// A line of the structured log, as far as it is of maintenance.
#[derive(Debug, Deserialize)]
struct Line {
    timestamp: String,
    message: String,
    #[serde(default)]
    target: String,
    #[serde(default)]
    standing: String,
    #[serde(default)]
    forced: bool,
}

/// One target out at one process. Times are Unix time in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct Ban {
    /// The dispatcher.
    pub dispatcher: usize,
    /// The target's name.
    pub target: String,
    /// From then on.
    pub from: Micros,
    /// Until then.
    pub to: Micros,
}

/// All that was out.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// Each target at each process.
    pub bans: Vec<Ban>,
    /// Targets whose time to drain or to be out was up.
    pub forced: u64,
}

impl Records {
    /// Reads the log of one process, which ended then.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn read(&mut self, dispatcher: usize, log: &Path, ended: Micros) -> std::io::Result<()> {
        let mut out: BTreeMap<String, Micros> = BTreeMap::new();
        for line in std::fs::read_to_string(log)?.lines() {
            let Ok(line) = serde_json::from_str::<Line>(line) else {
                continue;
            };
            if line.message != "maintenance target state changed" {
                continue;
            }
            let Ok(time) = humantime::parse_rfc3339_weak(&line.timestamp) else {
                continue;
            };
            let at = time
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_micros() as Micros);
            self.forced += u64::from(line.forced);
            if line.standing != "back" {
                out.entry(line.target).or_insert(at);
            } else if let Some(from) = out.remove(&line.target) {
                self.bans.push(Ban {
                    dispatcher,
                    target: line.target,
                    from,
                    to: at,
                });
            }
        }
        self.bans.extend(out.into_iter().map(|(target, from)| Ban {
            dispatcher,
            target,
            from,
            to: ended,
        }));
        Ok(())
    }

    /// The most targets that were out at any instant, summed over all processes but for those that had started less than
    /// `young` before.
    pub fn most_out(&self, starts: &[(usize, Micros)], young: Micros) -> usize {
        let counted = |ban: &Ban| -> Option<(Micros, Micros)> {
            let started = starts
                .iter()
                .filter(|(d, at)| *d == ban.dispatcher && *at <= ban.from)
                .map(|(_, at)| at);
            let from = ban.from.max(started.max().map_or(0, |at| at + young));
            (from < ban.to).then_some((from, ban.to))
        };
        let named = |ban| counted(ban).map(|(from, to)| (from, to, ban.target.as_str()));
        let bans: Vec<(Micros, Micros, &str)> = self.bans.iter().filter_map(named).collect();
        let out_at = |at: Micros| {
            let there = bans.iter().filter(|(from, to, _)| *from <= at && at < *to);
            there
                .map(|(.., target)| target)
                .collect::<BTreeSet<_>>()
                .len()
        };
        bans.iter()
            .map(|(from, ..)| out_at(*from))
            .max()
            .unwrap_or(0)
    }

    /// Attempts that a process sent to a target that it had out.
    pub fn late_sends<'a>(&self, sends: impl Iterator<Item = (Micros, &'a str, usize)>) -> usize {
        let late = |(at, target, dispatcher): &(Micros, &str, usize)| {
            self.bans.iter().any(|ban| {
                ban.dispatcher == *dispatcher
                    && ban.target == *target
                    && ban.from + WITHIN < *at
                    && *at < ban.to
            })
        };
        sends.filter(late).count()
    }

    /// Targets that were out at all.
    pub fn targets(&self) -> usize {
        self.bans
            .iter()
            .map(|b| &b.target)
            .collect::<BTreeSet<_>>()
            .len()
    }
}
