//! Controllers in virtual time: the real agreement and chain over a network and disks that
//! misbehave by a seed.

pub mod checker;
pub mod controller;
pub mod losses;
pub mod world;

use rand_pcg::rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Numbers drawn from a seed.
pub struct Dice(Pcg64Mcg);

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice(Pcg64Mcg::seed_from_u64(seed))
    }

    /// Below `n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n.max(1)
    }

    pub fn between(&mut self, least: u64, most: u64) -> u64 {
        least + self.below(most - least + 1)
    }

    /// True in so many of a thousand.
    pub fn permille(&mut self, n: u64) -> bool {
        self.below(1_000) < n
    }
}

/// Faults planted in the harness, to see that the checker finds them.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each planted fault is a switch of its own"
)]
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Records count as synced as soon as they are given to the disk.
    pub synced_early: bool,
    /// `InSync` is claimed for any view that was entered.
    pub claims_in_sync: bool,
    /// A joiner claims to hold all, whatever it holds.
    pub claims_caught_up: bool,
    /// A machine that lost its disk comes back under its old id.
    pub keeps_id: bool,
    /// The head acknowledges as soon as it has proposed.
    pub acknowledges_early: bool,
    /// Reads are answered without asking a majority.
    pub reads_unconfirmed: bool,
    /// `InSync` is not written, but counts as synced.
    pub drops_in_sync: bool,
    /// Whoever is about to stop stays an acceptor until it has been silent for long.
    pub leaving_keeps_vote: bool,
    /// Silent acceptors are replaced only after the next loss may have come.
    pub replaces_late: bool,
    /// Three acceptors, however many losses are to be survived.
    pub three_acceptors: bool,
}
