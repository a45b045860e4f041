//! The rule by which the next view follows from what is seen of the machines. Pure.

use crate::types::{Member, Millis, ReplicaStatus, View};

/// Joiners at a time: each costs the tail a copy of the whole table.
pub const MAX_JOINING: usize = 2;

/// Who was heard within so long is surely there: some heartbeats, and far less than the silence that makes one dead.
pub const RECENT_CONTACT_MS: Millis = 400;

/// What is seen of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observation {
    /// Its id and address; `since` is not heeded.
    pub member: Member,
    /// It is there.
    pub alive: bool,
    /// What it last said of itself.
    pub status: Option<ReplicaStatus>,
    /// Its zone, as a number.
    pub zone: u64,
    /// It is about to stop: it goes to the end, or out.
    pub draining: bool,
    /// It is being retired: it goes out once enough others are in sync.
    pub retiring: bool,
}

/// A member of the present view with what is seen of it.
struct Standing<'a> {
    member: &'a Member,
    seen: &'a Observation,
    /// It holds all that was ever acknowledged.
    entitled: bool,
    /// It is in sync in the present view.
    in_sync: bool,
}

impl Standing<'_> {
    fn stays(&self) -> bool {
        !self.seen.draining && !self.seen.retiring
    }
}

/// The next view by rule, or none if nothing is to change or nothing can.
///
/// A member that is not among `seen` counts as dead, and so does one at whose address another id is alive: that
/// machine has lost its disk. A dead one is dropped, however few remain, if one remains that holds all that was
/// acknowledged; the first such is the head.
pub fn next_view(
    now_view: &View,
    seen: &[Observation],
    wanted_len: usize,
    least_len: usize,
) -> Option<View> {
    let find = |member: &Member| {
        let replaced =
            |s: &Observation| s.alive && s.member.addr == member.addr && s.member.id != member.id;
        if seen.iter().any(replaced) {
            return None;
        }
        seen.iter()
            .find(|s| s.alive && s.member.is_same_process(member))
    };
    let mut standing: Vec<Standing> = now_view
        .members
        .iter()
        .filter_map(|member| {
            let seen = find(member)?;
            let in_sync_view = seen.status.map_or(0, |s| s.in_sync_view);
            Some(Standing {
                member,
                seen,
                entitled: in_sync_view > 0 && in_sync_view >= member.since,
                in_sync: in_sync_view >= now_view.number,
            })
        })
        .collect();
    // The head of a founding view has nothing to hold yet, and one that has said nothing yet was entitled when it was
    // made head. One that says that it no longer holds what it must has lost it.
    let head_there = standing.first().is_some_and(|s| {
        now_view
            .members
            .first()
            .is_some_and(|m| m.is_same_process(s.member))
    });
    if let (true, Some(head)) = (head_there, standing.first_mut()) {
        head.entitled |= head.seen.status.is_none() || head.member.since == now_view.number;
    }

    // Who is retired or about to stop goes once enough others hold all.
    let usable = seen
        .iter()
        .filter(|s| s.alive && !s.draining && !s.retiring)
        .count();
    let enough = usable.clamp(least_len.min(wanted_len), wanted_len).max(1);
    let staying = standing
        .iter()
        .filter(|s| s.stays() && s.in_sync && s.entitled)
        .count();
    standing.retain(|s| {
        let out =
            s.seen.retiring && staying >= enough || s.seen.draining && staying >= least_len.max(1);
        !out
    });
    // One too many, after one about to stop came back: the last goes.
    if staying > wanted_len.max(1) {
        standing.pop();
    }
    // The rest of those about to stop goes to the end, so that the head stays when they stop.
    let could_lead = standing.iter().any(|s| s.entitled && !s.seen.draining);
    if could_lead {
        standing.sort_by_key(|s| s.seen.draining);
    }
    let head = standing.iter().position(|s| s.entitled)?;
    let head = standing.remove(head);
    standing.insert(0, head);

    let number = now_view.number + 1;
    let mut members: Vec<Member> = standing.iter().map(|s| s.member.clone()).collect();
    let mut zones: Vec<u64> = standing
        .iter()
        .filter(|s| s.stays())
        .map(|s| s.seen.zone)
        .collect();
    let mut room = wanted_len.saturating_sub(zones.len());

    let mut joining = Vec::new();
    for joiner in &now_view.joining {
        let Some(seen) = find(joiner).filter(|s| !s.draining && !s.retiring) else {
            continue;
        };
        if room == 0 {
            break;
        }
        room -= 1;
        zones.push(seen.zone);
        let caught_up = seen
            .status
            .is_some_and(|s| s.caught_up && s.view == now_view.number);
        if caught_up {
            members.push(Member {
                since: number,
                ..joiner.clone()
            });
        } else {
            joining.push(joiner.clone());
        }
    }
    while room > 0 && joining.len() < MAX_JOINING {
        let fit = |s: &&Observation| {
            s.alive
                && !s.draining
                && !s.retiring
                && !members
                    .iter()
                    .chain(&joining)
                    .any(|m| m.addr == s.member.addr)
                && !now_view
                    .members
                    .iter()
                    .any(|m| m.is_same_process(&s.member))
        };
        // Another zone first, then the order in which they were given.
        let Some(best) = seen
            .iter()
            .filter(fit)
            .min_by_key(|s| zones.contains(&s.zone))
        else {
            break;
        };
        room -= 1;
        zones.push(best.zone);
        joining.push(Member {
            since: number,
            ..best.member.clone()
        });
    }
    let next = View {
        number,
        members,
        joining,
    };
    let same = next.members == now_view.members
        && next.joining.len() == now_view.joining.len()
        && next
            .joining
            .iter()
            .zip(&now_view.joining)
            .all(|(a, b)| a.is_same_process(b));
    (!same).then_some(next)
}

/// Whether all who stay in the chain were heard of late, where one is dropped. Who falls silent is not yet known to be
/// gone when another is dropped for a silence that began a little earlier: the table must not be left to the disk of
/// one that is going too. If this is false, wait: the next word, or a longer silence, decides.
///
/// `silent_for_ms` is how long ago a member was there for certain, dated by the question that it answered, not by the
/// arrival of a word that may have been long on its way; 0 for oneself.
pub fn remaining_members_recently_seen(
    now_view: &View,
    next: &View,
    silent_for_ms: &dyn Fn(&Member) -> Millis,
) -> bool {
    let dropped = now_view.members.iter().any(|m| next.position(m).is_none());
    let head_changes = match (now_view.members.first(), next.members.first()) {
        (Some(old), Some(new)) => !old.is_same_process(new),
        _ => false,
    };
    !(dropped || head_changes)
        || next
            .members
            .iter()
            .all(|m| silent_for_ms(m) <= RECENT_CONTACT_MS)
}
