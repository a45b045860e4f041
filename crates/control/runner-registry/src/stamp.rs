//! The stamps of runners' entries: they order all that is said of one runner id.
//!
//! A run is one process under an id. Its stamps rise with its sequence numbers; draining outranks
//! every heartbeat that says `up`, and leaving outranks all of the run. A run that a controller
//! declares gone has the minor part 1: above the call before it and below the next one.
//!
//! Stamps of the first run have the sequence number in their major part, with [`DRAINING_BIT`] set
//! once it drains. A later run under the same id has a higher *generation*. All of its stamps are
//! above [`LEFT_STAMP`], with the largest major part, and keep the same order in their minor part.

use relay_tree::Stamp;

/// In the major part of a stamp of the first run: it drains. Above all sequence numbers, which end
/// at 2^53.
const DRAINING_BIT: u64 = 1 << 62;
/// The stamp of a first run that left: it outranks all others of that run.
pub const LEFT_STAMP: Stamp = Stamp(u64::MAX, 1);
/// The highest generation; a process that starts under an id after it isn't distinguished from the
/// one before.
pub(crate) const MAX_GENERATION: u8 = u8::MAX;

/// In the minor part of a stamp of a later run, where its generation begins.
const GENERATION_SHIFT: u32 = 56;
/// In the minor part of a stamp of a later run: it drains.
const LATER_DRAINING_BIT: u64 = 1 << 55;
/// In the minor part of a stamp of a later run, where its sequence number begins.
const LATER_SEQNO_SHIFT: u32 = 1;
/// In the minor part of a stamp of a later run that left: all below the generation.
const LATER_LEFT: u64 = (1 << GENERATION_SHIFT) - 1;

/// The stamp of what a run said.
pub(crate) fn said(generation: u8, seqno: u64, draining: bool) -> Stamp {
    if generation == 0 {
        return Stamp(seqno | if draining { DRAINING_BIT } else { 0 }, 0);
    }
    let draining = if draining { LATER_DRAINING_BIT } else { 0 };
    Stamp(
        u64::MAX,
        generation_bits(generation) | draining | seqno << LATER_SEQNO_SHIFT,
    )
}

/// The stamp of a run that was timed out: above all that it said up to this sequence number, below
/// all that it may still say.
pub(crate) fn timed_out(generation: u8, seqno: u64, draining: bool) -> Stamp {
    let Stamp(major, minor) = said(generation, seqno, draining);
    Stamp(major, minor | 1)
}

/// The stamp of a run that left.
pub(crate) fn left(generation: u8) -> Stamp {
    if generation == 0 {
        return LEFT_STAMP;
    }
    Stamp(u64::MAX, generation_bits(generation) | LATER_LEFT)
}

fn generation_bits(generation: u8) -> u64 {
    u64::from(generation) << GENERATION_SHIFT
}

/// The generation of the run that a stamp is of.
pub(crate) fn generation(stamp: Stamp) -> u8 {
    if stamp.0 == u64::MAX {
        (stamp.1 >> GENERATION_SHIFT) as u8
    } else {
        0
    }
}

/// Whether the stamp is of a run that left.
pub(crate) fn is_left(stamp: Stamp) -> bool {
    stamp == left(generation(stamp))
}

/// Whether the stamp is of a run that drains or left.
pub(crate) fn is_draining(stamp: Stamp) -> bool {
    if generation(stamp) == 0 {
        return stamp.0 >= DRAINING_BIT;
    }
    stamp.1 & LATER_DRAINING_BIT != 0
}

/// The sequence number in a stamp; `u64::MAX` in that of a run that left.
pub(crate) fn seqno(stamp: Stamp) -> u64 {
    if is_left(stamp) {
        return u64::MAX;
    }
    if generation(stamp) == 0 {
        return stamp.0 & !DRAINING_BIT;
    }
    (stamp.1 & (LATER_DRAINING_BIT - 1)) >> LATER_SEQNO_SHIFT
}
