//! Items of batch jobs: the sleepers say when, a draw weighted by room says where.

use crate::constants::{
    HURRY_MS, ITEMS_LEAST, ITEM_CONNS, ITEM_SCAN, LATE_BORNE, LATE_SPAN, MAX_TRIED, RELAXED_MS,
    RESERVE_GROWTH, RESERVE_LEAST, RESERVE_MOST, ROOM_FLOOR, SCAN, WAIT_MOST_MS,
};
use crate::engines::Balancer;
use crate::health::Availability;
use crate::runner::Runner;
use crate::service::Service;
use crate::{Millis, RequestProfile, RunnerKey};

impl Balancer {
    /// Where an item goes now; none: hold it.
    pub fn choose_item(&mut self, now: Millis, want: &RequestProfile) -> Option<RunnerKey> {
        let at = self.service_index(want.service.as_str())?;
        let pool = self.sample(at, ITEM_SCAN + want.attempted.len().min(MAX_TRIED));
        self.eject_hung(now, &pool);
        let svc = self.services.get(at)?;
        let reserve = self.item_reserve(svc) * (f64::from(want.remaining_ms) / HURRY_MS).min(1.0);
        let open = |key: &&RunnerKey| {
            self.accepts_item(now, svc, **key).is_some() && !want.attempted.contains(key)
        };
        let mut open: Vec<RunnerKey> = pool.iter().filter(open).copied().collect();
        if open.is_empty() {
            open = pool
                .iter()
                .filter(|key| self.accepts_item(now, svc, **key).is_some())
                .copied()
                .collect();
        }
        let tokens = svc.total_tokens(want);
        let rooms = self.item_rooms(now, svc, reserve, &open, tokens);
        let all: f64 = rooms.iter().map(|(_, room)| room).sum();
        let mut drawn = self.uniform() * all;
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
    pub fn item_capacity(&self, now: Millis, svc: &str) -> u32 {
        let Some(svc) = self.service_index(svc).and_then(|at| self.services.get(at)) else {
            return 0;
        };
        let reserve = self.item_reserve(svc);
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
            .filter(|k| self.accepts_item(now, svc, *k).is_some())
            .collect();
        let rooms = self.item_rooms(now, svc, reserve, &open, svc.tokens);
        let room: f64 = rooms.iter().map(|(_, room)| room.floor()).sum();
        let whole = room * len as f64 / looked.max(1) as f64;
        // The others push as this dispatcher does, and what they pushed just now is not told yet.
        let unseen = (self.dispatchers - 1.0) * svc.items_in_prefill;
        let fair = (whole - unseen) / self.dispatchers;
        // Nor do they all at once keep the runners reading.
        let unread = svc.max_items_in_prefill(
            self.dispatchers,
            open.len() as f64 * len as f64 / looked.max(1) as f64,
        );
        let more = fair.min(unread - svc.items_in_prefill);
        // One at a time where a share is less than one, and where none has said anything lately: its
        // answer tells.
        let old = rooms.iter().any(|(_, room)| *room <= ROOM_FLOOR);
        match more < 1.0 {
            true => u32::from((whole >= 1.0 || old) && svc.items_in_prefill < 1.0),
            false => more as u32,
        }
    }

    /// Whether items wait because the whole fleet is full and they have time to spare: a live request that comes would
    /// wait behind them. The nearer they are due, the more of the reserve they may use.
    fn items_give_way(&self, now: Millis, svc: &Service, reserve: f64) -> bool {
        let slack = svc.item_slack(now);
        let most = 1.0 - reserve * (slack / RELAXED_MS).min(1.0);
        slack >= HURRY_MS && svc.usage(now).is_some_and(|usage| usage >= most)
    }

    /// A runner that an item may be pushed to by its sleeper, its health and its connections.
    fn accepts_item(&self, now: Millis, svc: &Service, key: RunnerKey) -> Option<&Runner> {
        let r = self.get(key).filter(|r| r.up && r.backoff.open(now))?;
        let conns = f64::from(self.connection_limit(key));
        let most_items = (conns * ITEM_CONNS).max(1.0);
        // One that says nothing of itself yet gets one: a dispatcher that starts must not flood.
        let unheard = r.reported.is_none() && r.items_in_flight > 0;
        let fits = matches!(
            r.health.availability(now),
            Availability::Healthy | Availability::Probe
        ) && !r.is_hung(now)
            && !unheard;
        let fits =
            fits && r.prefill_until - now as f64 <= svc.hung_after_ms(svc.first_token_ms.mean);
        (fits && f64::from(r.in_flight) < conns && f64::from(r.items_in_flight) < most_items)
            .then_some(r)
    }

    /// The room of each, of those that have some.
    fn item_rooms(
        &self,
        now: Millis,
        svc: &Service,
        reserve: f64,
        open: &[RunnerKey],
        tokens: f64,
    ) -> Vec<(RunnerKey, f64)> {
        let give = 1.0 - ((svc.late_share - LATE_BORNE) / LATE_SPAN).clamp(0.0, 1.0 - ITEMS_LEAST);
        let mut rooms = Vec::with_capacity(open.len());
        let (mut told, mut many) = (0.0, 0.0);
        for (key, r) in open.iter().filter_map(|k| Some((*k, self.get(*k)?))) {
            if r.reported.is_none() {
                rooms.push((key, None));
                continue;
            }
            let room = (r.slots * (1.0 - reserve) - r.load(now, svc)) * give;
            told += room.max(0.0);
            many += 1.0;
            // No more than the free slots told; an old word keeps it in the draw.
            let fits = room >= 1.0 && r.memory_share(now, svc, tokens) <= 1.0;
            match (fits, r.report_is_fresh(now, svc)) {
                (true, _) => rooms.push((key, Some(room))),
                (false, false) if r.items_in_flight == 0 => rooms.push((key, Some(ROOM_FLOOR))),
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
    pub(crate) fn item_reserve(&self, svc: &Service) -> f64 {
        let live = svc.mean_live_in_flight * self.dispatchers / svc.slots.max(1.0);
        (RESERVE_LEAST + RESERVE_GROWTH * live).min(RESERVE_MOST)
    }
}
