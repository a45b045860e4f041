//! Discovery in virtual time: one service for all dispatchers, which takes their calls in turn. A call whose caller has
//! stopped waiting takes its turn all the same; a watch that is kept up takes none. No I/O, clock or randomness.

use discovery_pacing::{ANSWER_TIMEOUT, QUEUE_TIMEOUT};
use dispatch_api::Micros;
use std::collections::BTreeMap;

/// How discovery is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Service {
    /// It answers.
    Up,
    /// It answers 503 at once.
    Refuses,
    /// It answers nothing.
    Silent,
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Called {
    /// It is answered then.
    Answered(Micros),
    /// Its caller gives it up, or hears a 503, then.
    Fails(Micros),
}

/// What discovery was asked, counted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Asked {
    /// New watches and whole lists.
    pub calls: u64,
    /// ... that failed.
    pub failed: u64,
    /// Lines of lists that were told.
    pub lines: u64,
    /// Calls by second.
    by_second: BTreeMap<Micros, u64>,
}

impl Asked {
    /// Calls in the second with most of them.
    pub fn worst_second(&self) -> u64 {
        self.by_second.values().copied().max().unwrap_or(0)
    }
}

/// Discovery.
#[derive(Debug)]
pub struct Registry {
    turn: Micros,
    /// All turns that were asked for are over by then.
    free_at: Micros,
    service: Service,
    version: u64,
    /// Since which version each line stands so.
    since: Vec<u64>,
    /// What was asked.
    pub asked: Asked,
}

impl Registry {
    /// With so many lines and a turn of this length.
    pub fn new(lines: usize, turn: Micros) -> Self {
        let (version, since) = (1, vec![1; lines]);
        Registry {
            turn,
            free_at: 0,
            service: Service::Up,
            version,
            since,
            asked: Asked::default(),
        }
    }

    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How it is.
    pub fn service(&self) -> Service {
        self.service
    }

    /// It is so from now on.
    pub fn becomes(&mut self, service: Service) {
        self.service = service;
    }

    /// Lines change together.
    pub fn changed(&mut self, lines: impl IntoIterator<Item = usize>) {
        self.version += 1;
        for line in lines {
            if let Some(since) = self.since.get_mut(line) {
                *since = self.version;
            }
        }
    }

    /// A call that starts a watch, or asks for the whole list, arrives.
    pub fn call(&mut self, now: Micros) -> Called {
        self.asked.calls += 1;
        *self.asked.by_second.entry(now / 1_000_000).or_default() += 1;
        let wait = QUEUE_TIMEOUT + ANSWER_TIMEOUT;
        let called = match self.service {
            Service::Refuses => Called::Fails(now + 1),
            Service::Silent => Called::Fails(now + wait),
            Service::Up => {
                self.free_at = self.free_at.max(now) + self.turn;
                match self.free_at - now <= wait {
                    true => Called::Answered(self.free_at),
                    false => Called::Fails(now + wait),
                }
            }
        };
        self.asked.failed += u64::from(matches!(called, Called::Fails(_)));
        called
    }

    /// The lines that are news after this version; all of them without one.
    pub fn news(&mut self, after: Option<u64>) -> Vec<usize> {
        let new = |since: &u64| after.is_none_or(|after| *since > after);
        let lines: Vec<usize> = (0..)
            .zip(&self.since)
            .filter(|(_, s)| new(s))
            .map(|(n, _)| n)
            .collect();
        self.asked.lines += lines.len() as u64;
        lines
    }
}
