//! The rule by which the next view of the keepers follows from what is seen of the machines. Pure.

use chain::{next_view, Member, Ms, Seen};

use crate::wire::KeeperView;

/// An acceptor that is silent for so long is replaced by a spare. Its disk may well come back: a machine that was cut
/// off or lost power returns within seconds, and a majority goes on without it. Replacing it sooner would move the
/// vote to and fro with each short cut; much later, a second loss would meet a group that is still one short.
pub const DEAD_FOR_MS: Ms = 5_000;

/// The next view by rule: the chain by [`chain::next_view`], and at most one acceptor changed. None if nothing is to
/// change or nothing can.
///
/// An acceptor whose machine lost its disk (another id is alive at its address) is replaced by that newcomer at once;
/// one that is being retired, by a spare at once; one that has been dead for [`DEAD_FOR_MS`], by a spare. The number
/// of acceptors stays as it was founded; an even number grows by one where a spare is there.
///
/// The owner proposes what comes of it only if [`chain::stays_on_fresh_word`] agrees.
pub fn next_keeper_view(
    current: &KeeperView,
    seen: &[Seen],
    wanted_len: usize,
    least_len: usize,
    dead_for_ms: &dyn Fn(&Member) -> Ms,
) -> Option<KeeperView> {
    let chain = next_view(&current.view, seen, wanted_len, least_len);
    let acceptors = next_acceptors(current, seen, dead_for_ms);
    if chain.is_none() && acceptors.is_none() {
        return None;
    }
    let mut view = chain.unwrap_or_else(|| current.view.clone());
    view.number = current.number() + 1;
    Some(KeeperView { view, acceptors: acceptors.unwrap_or_else(|| current.acceptors.clone()) })
}

fn next_acceptors(
    current: &KeeperView,
    seen: &[Seen],
    dead_for_ms: &dyn Fn(&Member) -> Ms,
) -> Option<Vec<Member>> {
    let since = current.number() + 1;
    let with = |at: usize, seen: &Seen| {
        let mut acceptors = current.acceptors.clone();
        if let Some(place) = acceptors.get_mut(at) {
            *place = Member { since, ..seen.member.clone() };
        }
        Some(acceptors)
    };
    let newcomer =
        |a: &Member| seen.iter().find(|s| s.alive && s.member.addr == a.addr && s.member.id != a.id);
    for (at, acceptor) in current.acceptors.iter().enumerate() {
        if let Some(newcomer) = newcomer(acceptor) {
            return with(at, newcomer);
        }
    }
    let sees = |a: &Member| seen.iter().find(|s| s.member.is(a));
    let gone = |a: &Member| match sees(a) {
        Some(s) if s.unwanted => true,
        Some(s) if s.alive => false,
        _ => dead_for_ms(a) > DEAD_FOR_MS,
    };
    let at = current.acceptors.iter().position(gone);
    if at.is_none() && current.acceptors.len() % 2 == 1 {
        return None;
    }
    // A spare: one that holds the table first, then one of another zone than the acceptors that stay.
    let zones: Vec<u64> = current
        .acceptors
        .iter()
        .enumerate()
        .filter(|(place, _)| Some(*place) != at)
        .filter_map(|(_, a)| sees(a))
        .map(|s| s.zone)
        .collect();
    let spare = seen
        .iter()
        .filter(|s| s.alive && !s.leaving && !s.unwanted)
        .filter(|s| !current.acceptors.iter().any(|a| a.addr == s.member.addr))
        .min_by_key(|s| (zones.contains(&s.zone), current.view.place(&s.member).is_none()))?;
    match at {
        Some(at) => with(at, spare),
        None => {
            let mut acceptors = current.acceptors.clone();
            acceptors.push(Member { since, ..spare.member.clone() });
            Some(acceptors)
        }
    }
}
