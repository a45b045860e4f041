//! The rule by which the next view of the controllers follows from what is observed of the
//! machines. Pure.

use std::borrow::Cow;

use chain_replication::{next_view, Member, Millis, Observation};

use crate::controller_view::ControllerView;
use crate::electorate::{is_available, members_in_fullest_zones, Electorate};
use crate::sizing::Sizing;

/// The next view by rule: the chain by [`chain_replication::next_view`], and the acceptors. None if
/// nothing is to change or nothing can.
///
/// An acceptor whose machine lost its disk (another id is alive at its address) is replaced by that
/// newcomer at once; one that drains or that can't keep its promises on disk, by a spare at once;
/// one that has been unreachable for [`Sizing::replace_after_ms`], by a spare. Where there are
/// fewer acceptors than [`Sizing::acceptors`], spares are added, to an odd number. A majority of
/// the new acceptors were acceptors before and are reachable now: a view in which they have to
/// decide never waits for a machine that has only just learnt of it.
///
/// Where whole zones may fail ([`Sizing::zone_failures`]), acceptors of the fullest zone are
/// replaced by spares of emptier ones until such a failure leaves a majority, and a chain in too
/// few zones takes in a member of another one and then drops one of the fullest. Both end where
/// there are no spares of other zones.
///
/// `unreachable_ms` is how long a member has been unreachable, in milliseconds. The owner proposes
/// the result only if [`chain_replication::remaining_members_recently_seen`] agrees.
pub fn next_controller_view(
    current: &ControllerView,
    observations: &[Observation],
    sizing: Sizing,
    unreachable_ms: &dyn Fn(&Member) -> Millis,
) -> Option<ControllerView> {
    let spread = spread_chain_over_zones(current, observations, sizing);
    let chain = next_view(
        &current.view,
        &spread,
        sizing.chain_len,
        sizing.min_chain_len,
    );
    let acceptors = next_acceptors(current, observations, sizing, unreachable_ms);
    if chain.is_none() && acceptors.is_none() {
        return None;
    }
    let mut view = chain.unwrap_or_else(|| current.view.clone());
    view.number = current.number() + 1;
    Some(ControllerView {
        view,
        acceptors: acceptors.unwrap_or_else(|| current.acceptors.clone()),
    })
}

/// The observations, with the member marked as retiring that is to make room for one of another
/// zone, if any. By the rule of the chain a retiring member goes only once enough others are in
/// sync.
fn spread_chain_over_zones<'a>(
    current: &ControllerView,
    observations: &'a [Observation],
    sizing: Sizing,
) -> Cow<'a, [Observation]> {
    let members = &current.view.members;
    let find = |member: &Member| {
        observations
            .iter()
            .position(|o| is_available(o) && o.member.is_same_process(member))
    };
    let positions: Vec<usize> = members.iter().filter_map(find).collect();
    let zone_at = |position: &usize| observations.get(*position).map(|o| o.zone);
    let zones: Vec<u64> = positions.iter().filter_map(zone_at).collect();
    let too_few_zones = members_in_fullest_zones(&zones, sizing.zone_failures) == zones.len();
    let is_spare = |o: &Observation| is_available(o) && !zones.contains(&o.zone);
    let makes_room =
        too_few_zones && observations.iter().any(is_spare) || members.len() > sizing.chain_len;
    // The last of those that are not alone in their zone.
    let shares_zone = |zone: u64| zones.iter().filter(|z| **z == zone).count() > 1;
    let dropped = positions
        .iter()
        .rev()
        .copied()
        .find(|position| zone_at(position).is_some_and(shares_zone));
    let mut spread = Cow::Borrowed(observations);
    if let Some(position) = dropped.filter(|_| sizing.zone_failures > 0 && makes_room) {
        if let Some(observation) = spread.to_mut().get_mut(position) {
            observation.retiring = true;
        }
    }
    spread
}

fn next_acceptors(
    current: &ControllerView,
    observations: &[Observation],
    sizing: Sizing,
    unreachable_ms: &dyn Fn(&Member) -> Millis,
) -> Option<Vec<Member>> {
    let mut electorate = Electorate::new(current, observations);
    for (position, acceptor) in current.acceptors.iter().enumerate() {
        if let Some(newcomer) = electorate.newcomer_at(acceptor) {
            electorate.replace(position, newcomer);
        }
    }
    for (position, acceptor) in current.acceptors.iter().enumerate() {
        let is_gone = match electorate.observation(acceptor) {
            Some(o) if o.retiring || o.draining => true,
            Some(o) if o.alive => false,
            _ => unreachable_ms(acceptor) > sizing.replace_after_ms,
        };
        if !is_gone || !electorate.keeps(position, acceptor) {
            continue;
        }
        if let Some(spare) = electorate.spare(Some(position)) {
            electorate.replace(position, spare);
        }
    }
    electorate.grow(sizing.acceptors);
    if sizing.zone_failures > 0 {
        electorate.spread_over_zones(sizing.zone_failures);
    }
    let acceptors = electorate.into_acceptors();
    (acceptors != current.acceptors).then_some(acceptors)
}
