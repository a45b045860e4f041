//! Items of batch jobs: the sleepers say when, a draw weighted by room says where.

use crate::constants::{
    HURRY_MS, ITEMS_LEAST, ITEM_CONNS, ITEM_SCAN, LATE_BORNE, LATE_SPAN, MAX_TRIED, RELAXED_MS,
    RESERVE_GROWTH, RESERVE_LEAST, RESERVE_MOST, ROOM_FLOOR, SCAN, WAIT_MOST_MS,
};
use crate::engines::Engines;
use crate::health::Fit;
use crate::runner::Runner;
use crate::service::Svc;
use crate::{Ms, RunnerKey, Want};

impl Engines {
    /// Where an item goes now; none: hold it.
    pub fn choose_item(&mut self, now: Ms, want: &Want) -> Option<RunnerKey> {
        let at = self.svc_at(want.svc.as_str())?;
        let pool = self.drawn(at, ITEM_SCAN + want.tried.len().min(MAX_TRIED));
        self.look(now, &pool);
        let svc = self.svcs.get(at)?;
        let reserve = self.reserve(svc) * (f64::from(want.left_ms) / HURRY_MS).min(1.0);
        let open = |key: &&RunnerKey| {
            self.item_open(now, svc, **key).is_some() && !want.tried.contains(key)
        };
        let mut open: Vec<RunnerKey> = pool.iter().filter(open).copied().collect();
        if open.is_empty() {
            open = pool
                .iter()
                .filter(|key| self.item_open(now, svc, **key).is_some())
                .copied()
                .collect();
        }
        let tokens = svc.whole(want);
        let rooms = self.rooms(now, svc, reserve, &open, tokens);
        let all: f64 = rooms.iter().map(|(_, room)| room).sum();
        let mut drawn = self.unit() * all;
        let mut last = None;
        for (key, room) in rooms {
            drawn -= room;
            last = Some(key);
            if drawn <= 0.0 {
                break;
            }
        }
        last
    }

    /// How many items it would be sensible to fetch now for that service: this dispatcher's share of the
    /// room.
    pub fn item_room(&self, now: Ms, svc: &str) -> u32 {
        let Some(svc) = self.svc_at(svc).and_then(|at| self.svcs.get(at)) else {
            return 0;
        };
        let reserve = self.reserve(svc);
        if self.items_give_way(now, svc, reserve) {
            return 0;
        }
        // In a large fleet a part of it speaks for all; which part changes with time.
        let len = svc.members.len();
        let looked = len.min(SCAN);
        let from = if len > SCAN {
            (now / WAIT_MOST_MS) as usize % len
        } else {
            0
        };
        let members = svc.members.iter().cycle().skip(from).take(looked).copied();
        let open: Vec<RunnerKey> = members
            .filter(|k| self.item_open(now, svc, *k).is_some())
            .collect();
        let rooms = self.rooms(now, svc, reserve, &open, svc.tokens);
        let room: f64 = rooms.iter().map(|(_, room)| room.floor()).sum();
        let whole = room * len as f64 / looked.max(1) as f64;
        // The others push as this dispatcher does, and what they pushed just now is not told yet.
        let unseen = (self.dispatchers - 1.0) * svc.items_unread;
        let fair = (whole - unseen) / self.dispatchers;
        // Nor do they all at once keep the runners reading.
        let unread = svc.items_unread_most(
            self.dispatchers,
            open.len() as f64 * len as f64 / looked.max(1) as f64,
        );
        let more = fair.min(unread - svc.items_unread);
        // One at a time where a share is less than one, and where none has said anything lately: its
        // answer tells.
        let old = rooms.iter().any(|(_, room)| *room <= ROOM_FLOOR);
        match more < 1.0 {
            true => u32::from((whole >= 1.0 || old) && svc.items_unread < 1.0),
            false => more as u32,
        }
    }

    /// Whether items wait because the whole fleet is full and they have time to spare: a live request that comes would
    /// wait behind them. The nearer they are due, the more of the reserve they may use.
    fn items_give_way(&self, now: Ms, svc: &Svc, reserve: f64) -> bool {
        let slack = svc.item_slack(now);
        let most = 1.0 - reserve * (slack / RELAXED_MS).min(1.0);
        slack >= HURRY_MS && svc.usage(now).is_some_and(|usage| usage >= most)
    }

    /// A runner that an item may be pushed to by its sleeper, its health and its connections.
    fn item_open(&self, now: Ms, svc: &Svc, key: RunnerKey) -> Option<&Runner> {
        let r = self.at(key).filter(|r| r.up && r.sleeper.open(now))?;
        let conns = f64::from(self.connections(key));
        let most_items = (conns * ITEM_CONNS).max(1.0);
        // One that says nothing of itself yet gets one: a dispatcher that starts must not flood.
        let unheard = r.told.is_none() && r.own_items > 0;
        let fits = matches!(r.health.fit(now), Fit::Yes | Fit::Trial) && !r.hangs(now) && !unheard;
        let fits = fits && r.busy_until - now as f64 <= svc.patience(svc.first.mean);
        (fits && f64::from(r.own) < conns && f64::from(r.own_items) < most_items).then_some(r)
    }

    /// The room of each, of those that have some.
    fn rooms(
        &self,
        now: Ms,
        svc: &Svc,
        reserve: f64,
        open: &[RunnerKey],
        tokens: f64,
    ) -> Vec<(RunnerKey, f64)> {
        let give = 1.0 - ((svc.late - LATE_BORNE) / LATE_SPAN).clamp(0.0, 1.0 - ITEMS_LEAST);
        let mut rooms = Vec::with_capacity(open.len());
        let (mut told, mut many) = (0.0, 0.0);
        for (key, r) in open.iter().filter_map(|k| Some((*k, self.at(*k)?))) {
            if r.told.is_none() {
                rooms.push((key, None));
                continue;
            }
            let room = (r.slots * (1.0 - reserve) - r.load(now, svc)) * give;
            told += room.max(0.0);
            many += 1.0;
            // No more than the free slots told; an old word keeps it in the draw.
            let fits = room >= 1.0 && r.memory(now, svc, tokens) <= 1.0;
            match (fits, r.fresh(now, svc)) {
                (true, _) => rooms.push((key, Some(room))),
                (false, false) if r.own_items == 0 => rooms.push((key, Some(ROOM_FLOOR))),
                (false, _) => {}
            }
        }
        let mean = if many > 0.0 {
            f64::max(told / many, ROOM_FLOOR)
        } else {
            1.0
        };
        rooms
            .into_iter()
            .map(|(key, room)| (key, room.unwrap_or(mean)))
            .collect()
    }

    /// Share of the slots that items leave to live requests.
    pub(crate) fn reserve(&self, svc: &Svc) -> f64 {
        let live = svc.live_mean * self.dispatchers / svc.slots.max(1.0);
        (RESERVE_LEAST + RESERVE_GROWTH * live).min(RESERVE_MOST)
    }
}
