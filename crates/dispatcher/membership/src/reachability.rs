//! Who can be heard, and who hears this member: a way may be closed in one direction only.
//!
//! That another is heard shows by its datagrams. That another does not hear this member shows by its own word: what it sends
//! here says first that it takes the receiver for gone, if it does. An answer to that normally reaches it, directly or through
//! others; if the word stays the same, none does.

use dispatch_api::Micros;
use std::collections::BTreeMap;

/// Periods in a row without a datagram of anybody, after which a member takes itself for deaf.
const DEAF: u32 = 4;

/// Who says that this member is gone: since when, and until when as far as was heard.
#[derive(Debug, Clone, Copy)]
struct Accuser {
    since: Micros,
    last: Micros,
    words: u32,
    /// It was said for long enough to count, and that was told.
    counted: bool,
    /// It says so no more.
    over: bool,
}

impl Accuser {
    /// A word that was on its way, or an answer that is, is no proof; one that is said again after so long is.
    fn counts(&self, patience: Micros) -> bool {
        !self.over && self.words >= WORDS && self.last >= self.since.saturating_add(patience)
    }
}

/// Words of one accuser in a row that are proof: with a fifth of datagrams lost a ping and its answer fail with 0.36, three
/// times in a row with 0.05 (more than half of a hundred members said so once in twenty minutes), six times with 0.002.
const WORDS: u32 = 6;

/// What one member has heard.
#[derive(Debug)]
pub(crate) struct Reachability {
    /// The last datagram of each, by number.
    from: Vec<Option<Micros>>,
    /// When each was last told that it is taken for gone.
    told: Vec<Option<Micros>>,
    /// Who says that this member is gone.
    accused: BTreeMap<u16, Accuser>,
    silent: u32,
}

impl Reachability {
    pub fn new(members: u16) -> Self {
        let none = vec![None; usize::from(members)];
        Reachability {
            from: none.clone(),
            told: none,
            accused: BTreeMap::new(),
            silent: 0,
        }
    }

    /// A datagram of a member's living process has come.
    pub fn from(&mut self, member: u16, now: Micros) {
        self.from
            .get_mut(usize::from(member))
            .into_iter()
            .for_each(|at| *at = Some(now));
        self.silent = 0;
    }

    /// A period is over, with or without a datagram of anybody.
    pub fn period(&mut self, heard: bool) {
        self.silent = if heard {
            0
        } else {
            self.silent.saturating_add(1)
        };
    }

    /// Nobody at all was heard for some periods.
    pub fn deaf(&self) -> bool {
        self.silent >= DEAF
    }

    /// Whether a member was heard within so long.
    pub fn heard(&self, member: u16, now: Micros, within: Micros) -> bool {
        let at = self.from.get(usize::from(member)).copied().flatten();
        at.is_some_and(|at| now < at.saturating_add(within))
    }

    /// A member's datagram says, or does not say, that this one is gone.
    pub fn accused(&mut self, by: u16, accused: bool, now: Micros) {
        match (accused, self.accused.get_mut(&by)) {
            (true, Some(a)) => (a.last, a.words, a.over) = (now, a.words.saturating_add(1), false),
            (true, None) => {
                let accuser = Accuser {
                    since: now,
                    last: now,
                    words: 1,
                    counted: false,
                    over: false,
                };
                self.accused.insert(by, accuser);
            }
            // One that was counted is left to `changes`, which says that it is over.
            (false, Some(accuser)) if accuser.counted => accuser.over = true,
            (false, _) => drop(self.accused.remove(&by)),
        }
    }

    /// Whether a member hears this one; it does not if it has said so for this long.
    pub fn by(&self, member: u16, patience: Micros) -> bool {
        !self
            .accused
            .get(&member)
            .is_some_and(|a| a.counts(patience))
    }

    /// What has changed in that since the last call.
    pub fn changes(&mut self, patience: Micros) -> Vec<(u16, bool)> {
        let mut changes = vec![];
        self.accused.retain(|member, accuser| {
            if accuser.over {
                changes.push((*member, true));
            } else if !accuser.counted && accuser.counts(patience) {
                accuser.counted = true;
                changes.push((*member, false));
            }
            !accuser.over
        });
        changes
    }

    /// Whether a member may be told now that others take it for gone, once in so long.
    pub fn may_tell(&mut self, member: u16, now: Micros, every: Micros) -> bool {
        let Some(told) = self.told.get_mut(usize::from(member)) else {
            return false;
        };
        let may = told.is_none_or(|at| now >= at.saturating_add(every));
        if may {
            *told = Some(now);
        }
        may
    }
}
