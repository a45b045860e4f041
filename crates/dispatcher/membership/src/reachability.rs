//! Who was heard directly, and whom this member's datagrams reach: a path may be broken in one
//! direction only.
//!
//! That another member is heard shows by its datagrams. That it does not hear this one shows by what
//! it says: its datagrams say first that the receiver is suspected or dead, if it believes so. A
//! refutation normally reaches it, directly or through others; if it goes on saying so, none does.

use dispatch_api::Micros;
use std::collections::BTreeMap;

/// Periods in a row without any datagram after which a member takes itself to be isolated.
const ISOLATED_PERIODS: u32 = 4;
/// Accusations of one member in a row that are proof. With a fifth of datagrams lost a ping and its
/// answer fail with probability 0.36, three times in a row with 0.05 (more than half of a hundred
/// members said so once in twenty minutes), six times with 0.002.
const ACCUSATIONS: u32 = 6;

/// A member that says that this one is suspected or dead.
#[derive(Debug, Clone, Copy)]
struct Accuser {
    since: Micros,
    last: Micros,
    accusations: u32,
    /// It has accused for long enough to count, and that was reported.
    reported: bool,
    /// It no longer accuses.
    retracted: bool,
}

impl Accuser {
    /// An accusation may cross the refutation on its way; one that is repeated for so long does not.
    fn counts(&self, patience: Micros) -> bool {
        let lasts = self.last >= self.since.saturating_add(patience);
        !self.retracted && self.accusations >= ACCUSATIONS && lasts
    }
}

/// A change in whether this member's datagrams reach another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ReachabilityChange {
    pub member: u16,
    pub reachable: bool,
}

/// What one member knows of the paths to the others.
#[derive(Debug)]
pub(crate) struct Reachability {
    /// The last datagram of each, by number.
    last_received: Vec<Option<Micros>>,
    /// When each was last notified that others accuse it.
    last_notified: Vec<Option<Micros>>,
    /// Members that accuse this one.
    accusers: BTreeMap<u16, Accuser>,
    /// Periods in a row without any datagram.
    silent_periods: u32,
}

impl Reachability {
    pub fn new(members: u16) -> Self {
        let none = vec![None; usize::from(members)];
        Reachability {
            last_received: none.clone(),
            last_notified: none,
            accusers: BTreeMap::new(),
            silent_periods: 0,
        }
    }

    /// A datagram of the member's living process has come.
    pub fn record_received(&mut self, member: u16, now: Micros) {
        if let Some(at) = self.last_received.get_mut(usize::from(member)) {
            *at = Some(now);
        }
        self.silent_periods = 0;
    }

    /// A period has ended in which any datagram came, or none.
    pub fn period_ended(&mut self, received_any: bool) {
        self.silent_periods = if received_any {
            0
        } else {
            self.silent_periods.saturating_add(1)
        };
    }

    /// Nothing at all was received for some periods: this member itself is likely at fault.
    pub fn is_isolated(&self) -> bool {
        self.silent_periods >= ISOLATED_PERIODS
    }

    /// Whether a member was heard within so many microseconds.
    pub fn received_within(&self, member: u16, now: Micros, within: Micros) -> bool {
        let at = self.last_received.get(usize::from(member)).copied();
        let at = at.flatten();
        at.is_some_and(|at| now < at.saturating_add(within))
    }

    /// A member's datagram accuses this member.
    pub fn record_accusation(&mut self, by: u16, now: Micros) {
        let accuser = self.accusers.entry(by).or_insert(Accuser {
            since: now,
            last: now,
            accusations: 0,
            reported: false,
            retracted: false,
        });
        accuser.last = now;
        accuser.accusations = accuser.accusations.saturating_add(1);
        accuser.retracted = false;
    }

    /// A member's datagram does not accuse this member.
    pub fn record_no_accusation(&mut self, by: u16) {
        match self.accusers.get_mut(&by) {
            // Left to `take_changes`, which reports that it is over.
            Some(accuser) if accuser.reported => accuser.retracted = true,
            _ => drop(self.accusers.remove(&by)),
        }
    }

    /// Whether this member's datagrams reach another one: they do not if it has accused this member
    /// for so long, microseconds.
    pub fn reaches(&self, member: u16, patience: Micros) -> bool {
        let accuser = self.accusers.get(&member);
        !accuser.is_some_and(|a| a.counts(patience))
    }

    /// What has changed in that since the last call.
    pub fn take_changes(&mut self, patience: Micros) -> Vec<ReachabilityChange> {
        let mut changes = vec![];
        self.accusers.retain(|&member, accuser| {
            if accuser.retracted {
                let reachable = true;
                changes.push(ReachabilityChange { member, reachable });
            } else if !accuser.reported && accuser.counts(patience) {
                accuser.reported = true;
                let reachable = false;
                changes.push(ReachabilityChange { member, reachable });
            }
            !accuser.retracted
        });
        changes
    }

    /// Whether a member may be notified now that others accuse it: once in so many microseconds.
    pub fn may_notify(&mut self, member: u16, now: Micros, interval: Micros) -> bool {
        let Some(last) = self.last_notified.get_mut(usize::from(member)) else {
            return false;
        };
        let may = last.is_none_or(|at| now >= at.saturating_add(interval));
        if may {
            *last = Some(now);
        }
        may
    }
}
