//! What happens on the rig, drawn from the seed.

use super::{Terms, SECOND};
use dispatch_api::Micros;
use rand::seq::index::sample;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

/// Something that happens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It is killed outright.
    Kill(usize),
    /// It is started again.
    Start(usize),
    /// It is stopped.
    Pause(usize),
    /// It goes on.
    Resume(usize),
    /// It is told to stop, and says so to the others.
    Leave(usize),
    /// What these send does not reach those, by sender and receiver; in a word, which of the hard cases it is.
    OneSided(Case, Vec<(usize, usize)>),
    /// All ways carry again.
    Open,
    /// These hear nothing of the others.
    Split(Vec<usize>),
    /// All hear each other.
    Heal,
}

/// How ways may be closed in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Case {
    /// One hears nobody.
    Deaf,
    /// Nobody hears one.
    Mute,
    /// One does not hear one other.
    Pair,
    /// Two do not hear each other.
    BothWays,
    /// One half is not heard by the other.
    HalfMute,
    /// One in twenty ways is closed.
    SomeWays,
}

impl Case {
    const ALL: [Case; 6] = [
        Case::Deaf,
        Case::Mute,
        Case::Pair,
        Case::BothWays,
        Case::HalfMute,
        Case::SomeWays,
    ];

    fn ways(self, count: usize, rng: &mut Pcg64Mcg) -> Vec<(usize, usize)> {
        let all: Vec<(usize, usize)> = (0..count)
            .flat_map(|a| (0..count).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
            .collect();
        let (a, b) = all[rng.random_range(0..all.len())];
        let half: Vec<usize> = sample(rng, count, count / 2).into_iter().collect();
        let closed = |way: &(usize, usize)| match self {
            Case::Deaf => way.1 == a,
            Case::Mute => way.0 == a,
            Case::Pair => *way == (a, b),
            Case::BothWays => *way == (a, b) || *way == (b, a),
            Case::HalfMute => half.contains(&way.0) && !half.contains(&way.1),
            Case::SomeWays => rng.random_range(0..20) == 0,
        };
        let mut closed = closed;
        all.into_iter().filter(|way| closed(way)).collect()
    }
}

/// What happens, drawn from the seed; nothing of it in the first and the last part of the run.
pub(super) fn drawn(terms: &Terms, rng: &mut Pcg64Mcg) -> Vec<(Micros, Fault)> {
    let (from, to) = (
        0,
        (terms.seconds * SECOND).saturating_sub(6 * SECOND).max(1),
    );
    let mut faults = vec![];
    // Each dispatcher suffers once at most, so that what is drawn is what happens.
    let hit = (terms.kills + terms.leaves + terms.pauses).min(terms.dispatchers);
    let hit: Vec<usize> = sample(rng, terms.dispatchers, hit).into_iter().collect();
    for (n, which) in hit.into_iter().enumerate() {
        let at = rng.random_range(from..to);
        if n < terms.kills {
            faults.push((at, Fault::Kill(which)));
            faults.push((
                at + rng.random_range(SECOND..4 * SECOND),
                Fault::Start(which),
            ));
        } else if n < terms.kills + terms.leaves {
            faults.push((at, Fault::Leave(which)));
            faults.push((
                at + rng.random_range(4 * SECOND..6 * SECOND),
                Fault::Start(which),
            ));
        } else {
            faults.push((at, Fault::Pause(which)));
            faults.push((
                at + rng.random_range(2 * SECOND..5 * SECOND),
                Fault::Resume(which),
            ));
        }
    }
    for n in 0..terms.splits as Micros {
        // One after the other, in parts of the run of their own.
        let part = to / terms.splits as Micros;
        let at = n * part + rng.random_range(0..part.max(2) / 2);
        let size = rng.random_range(1..terms.dispatchers.max(2));
        faults.push((
            at,
            Fault::Split(sample(rng, terms.dispatchers, size).into_iter().collect()),
        ));
        faults.push((
            at + rng.random_range(part / 4..=part / 2).min(6 * SECOND),
            Fault::Heal,
        ));
    }
    for n in 0..terms.one_sided as Micros {
        let part = to / terms.one_sided as Micros;
        let at = n * part + rng.random_range(0..part.max(2) / 2);
        let case = Case::ALL[rng.random_range(0..Case::ALL.len())];
        faults.push((at, Fault::OneSided(case, case.ways(terms.dispatchers, rng))));
        faults.push((
            at + rng.random_range(part / 4..=part / 2).min(8 * SECOND),
            Fault::Open,
        ));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}
