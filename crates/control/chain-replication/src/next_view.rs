//! The rule by which the next view follows from what is observed of the machines. Pure.
//!
//! Guarantees that the head of the next view holds everything that was acknowledged, and that a
//! member is dropped for another only once enough others hold everything.

use crate::status::ReplicaStatus;
use crate::time::Millis;
use crate::view::{Member, View};

/// Joiners at a time: each costs the tail a copy of the full state.
pub const MAX_JOINING: usize = 2;

/// A process heard from within this is certainly there, in milliseconds: some heartbeats, and far
/// less than the failure time-out.
pub const RECENT_CONTACT_MS: Millis = 400;

/// What is observed of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Its id and address; `since` is ignored.
    pub member: Member,
    /// It is reachable.
    pub alive: bool,
    /// What it last reported of itself.
    pub status: Option<ReplicaStatus>,
    /// Its zone, as a number.
    pub zone: u64,
    /// It is about to stop: it goes to the end of the chain, or out of it.
    pub draining: bool,
    /// It is being decommissioned: it goes out of the chain once enough others are in sync.
    pub retiring: bool,
}

impl Observation {
    /// Whether it may get or keep a part in the view.
    fn stays(&self) -> bool {
        !self.draining && !self.retiring
    }
}

/// A member of the present view that is reachable, with what is observed of it.
struct Candidate<'a> {
    member: &'a Member,
    observation: &'a Observation,
    /// It holds everything that was ever acknowledged.
    may_lead: bool,
    /// It is in sync in the present view.
    in_sync: bool,
}

/// The next view by rule, or none if nothing is to change or nothing can.
///
/// `wanted_len` is the length of the chain where there are machines; `min_len` the length without
/// which nothing is acknowledged. A member that is not observed counts as dead, and so does one at
/// whose address another id is alive: that machine has lost its disk. A dead member is dropped,
/// however few remain, if one remains that holds everything that was acknowledged; the first such
/// is the head.
pub fn next_view(
    current: &View,
    observations: &[Observation],
    wanted_len: usize,
    min_len: usize,
) -> Option<View> {
    let mut remaining = candidates(current, observations);
    drop_leaving(&mut remaining, observations, wanted_len, min_len);
    let remaining = with_head_first(remaining)?;

    let number = current.number + 1;
    let mut members: Vec<Member> = remaining.iter().map(|c| c.member.clone()).collect();
    let staying = remaining.iter().filter(|c| c.observation.stays());
    let mut joiners = Joiners {
        zones: staying.map(|c| c.observation.zone).collect(),
        wanted_len,
        joining: Vec::new(),
    };
    members.extend(joiners.promote_or_keep(current, observations));
    joiners.admit(current, observations, &members);

    let next = View {
        number,
        members,
        joining: joiners.joining,
    };
    let is_same_joiner = |(a, b): (&Member, &Member)| a.is_same_process(b);
    let is_unchanged = next.members == current.members
        && next.joining.len() == current.joining.len()
        && next
            .joining
            .iter()
            .zip(&current.joining)
            .all(is_same_joiner);
    (!is_unchanged).then_some(next)
}

/// What is observed of a member that is alive and has its disk.
fn observation_of<'a>(observations: &'a [Observation], member: &Member) -> Option<&'a Observation> {
    let is_replaced =
        |o: &Observation| o.alive && o.member.addr == member.addr && o.member.id != member.id;
    if observations.iter().any(is_replaced) {
        return None;
    }
    observations
        .iter()
        .find(|o| o.alive && o.member.is_same_process(member))
}

/// The members of the view that are reachable, in its order.
fn candidates<'a>(current: &'a View, observations: &'a [Observation]) -> Vec<Candidate<'a>> {
    let mut candidates: Vec<Candidate> = current
        .members
        .iter()
        .filter_map(|member| {
            let observation = observation_of(observations, member)?;
            let in_sync_view = observation.status.map_or(0, |status| status.in_sync_view);
            Some(Candidate {
                member,
                observation,
                may_lead: in_sync_view > 0 && in_sync_view >= member.since,
                in_sync: in_sync_view >= current.number,
            })
        })
        .collect();
    // The head of a bootstrap view has nothing to hold yet, and one that has reported nothing yet
    // was allowed to lead when it was made head. One that reports that it no longer holds what it
    // must has lost it.
    if let (Some(head), Some(candidate)) = (current.members.first(), candidates.first_mut()) {
        if head.is_same_process(candidate.member) {
            candidate.may_lead |=
                candidate.observation.status.is_none() || head.since == current.number;
        }
    }
    candidates
}

/// Drops members that drain or retire once enough others hold everything, and one beyond the wanted
/// length.
fn drop_leaving(
    remaining: &mut Vec<Candidate>,
    observations: &[Observation],
    wanted_len: usize,
    min_len: usize,
) {
    let available = observations.iter().filter(|o| o.alive && o.stays()).count();
    let enough = available.clamp(min_len.min(wanted_len), wanted_len).max(1);
    let is_complete = |c: &&Candidate| c.observation.stays() && c.in_sync && c.may_lead;
    let complete = remaining.iter().filter(is_complete).count();
    remaining.retain(|c| {
        let is_dropped = c.observation.retiring && complete >= enough
            || c.observation.draining && complete >= min_len.max(1);
        !is_dropped
    });
    // One too many, after one that was draining came back: the last is dropped.
    if complete > wanted_len.max(1) {
        remaining.pop();
    }
}

/// Puts a member that may lead first, and those that drain last; none if no member may lead.
fn with_head_first(mut remaining: Vec<Candidate>) -> Option<Vec<Candidate>> {
    // So the head stays when they stop.
    if remaining
        .iter()
        .any(|c| c.may_lead && !c.observation.draining)
    {
        remaining.sort_by_key(|c| c.observation.draining);
    }
    let head = remaining.iter().position(|c| c.may_lead)?;
    let head = remaining.remove(head);
    remaining.insert(0, head);
    Some(remaining)
}

/// The processes that join, as long as the chain is shorter than wanted.
struct Joiners {
    /// The zones of all that stay or join.
    zones: Vec<u64>,
    wanted_len: usize,
    joining: Vec<Member>,
}

impl Joiners {
    fn has_room(&self) -> bool {
        self.zones.len() < self.wanted_len
    }

    /// Keeps the joiners of the present view; returns those that have caught up, as members.
    fn promote_or_keep(&mut self, current: &View, observations: &[Observation]) -> Vec<Member> {
        let mut promoted = Vec::new();
        for joiner in &current.joining {
            let Some(observation) = observation_of(observations, joiner).filter(|o| o.stays())
            else {
                continue;
            };
            if !self.has_room() {
                break;
            }
            self.zones.push(observation.zone);
            let has_caught_up = observation
                .status
                .is_some_and(|s| s.caught_up && s.view == current.number);
            if has_caught_up {
                promoted.push(Member {
                    since: current.number + 1,
                    ..joiner.clone()
                });
            } else {
                self.joining.push(joiner.clone());
            }
        }
        promoted
    }

    /// Adds processes that have no part in the view: of another zone first, then in the order in
    /// which they were given.
    fn admit(&mut self, current: &View, observations: &[Observation], members: &[Member]) {
        while self.has_room() && self.joining.len() < MAX_JOINING {
            let is_free = |o: &&Observation| {
                o.alive
                    && o.stays()
                    && !members
                        .iter()
                        .chain(&self.joining)
                        .any(|m| m.addr == o.member.addr)
                    && !current.members.iter().any(|m| m.is_same_process(&o.member))
            };
            let in_zone = |o: &&Observation| self.zones.contains(&o.zone);
            let Some(best) = observations.iter().filter(is_free).min_by_key(in_zone) else {
                break;
            };
            self.zones.push(best.zone);
            self.joining.push(Member {
                since: current.number + 1,
                ..best.member.clone()
            });
        }
    }
}

/// Whether all that stay in the chain were reachable recently, where one is dropped or the head
/// changes.
///
/// A member that falls silent is not yet known to be gone when another is dropped for a silence
/// that began a little earlier: the state must not be left to the disk of one that is going too. If
/// this is false, wait: the next message, or a longer silence, decides.
///
/// `silent_for_ms` is how long ago a member was there for certain, in milliseconds, dated by the
/// question that it answered and not by the arrival of a message that may have been long in flight;
/// 0 for this process.
pub fn remaining_members_recently_seen(
    current: &View,
    next: &View,
    silent_for_ms: &dyn Fn(&Member) -> Millis,
) -> bool {
    let one_is_dropped = current
        .members
        .iter()
        .any(|member| next.position(member).is_none());
    let head_changes = match (current.members.first(), next.members.first()) {
        (Some(old), Some(new)) => !old.is_same_process(new),
        _ => false,
    };
    let all_recent = || {
        next.members
            .iter()
            .all(|m| silent_for_ms(m) <= RECENT_CONTACT_MS)
    };
    !(one_is_dropped || head_changes) || all_recent()
}
