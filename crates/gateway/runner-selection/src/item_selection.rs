//! Items of batch jobs: the backoffs say when, a draw weighted by room says where.

use crate::balancer::Balancer;
use crate::constants::{
    HURRY_MS, ITEMS_LEAST, ITEM_CONNS, ITEM_SCAN, LATE_BORNE, LATE_SPAN, MAX_TRIED, RELAXED_MS,
    RESERVE_GROWTH, RESERVE_LEAST, RESERVE_MOST, ROOM_FLOOR, SCAN, WAIT_MOST_MS,
};
use crate::health::Availability;
use crate::runner::Runner;
use crate::service::Service;
use crate::{Millis, RequestProfile, RunnerKey};

impl Balancer {
    /// Where an item goes now; none: hold it.
    pub fn choose_item(&mut self, now: Millis, request: &RequestProfile) -> Option<RunnerKey> {
        let at = self.service_index(request.service.as_str())?;
        let pool = self.sample(at, ITEM_SCAN + request.attempted.len().min(MAX_TRIED));
        self.eject_hung(now, &pool);
        let service = self.services.get(at)?;
        let reserve =
            self.item_reserve(service) * (f64::from(request.remaining_ms) / HURRY_MS).min(1.0);
        let open = |key: &&RunnerKey| {
            self.accepts_item(now, service, **key).is_some() && !request.attempted.contains(key)
        };
        let mut open: Vec<RunnerKey> = pool.iter().filter(open).copied().collect();
        if open.is_empty() {
            open = pool
                .iter()
                .filter(|key| self.accepts_item(now, service, **key).is_some())
                .copied()
                .collect();
        }
        let tokens = service.total_tokens(request);
        let rooms = self.item_rooms(now, service, reserve, &open, tokens);
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
    pub fn item_capacity(&self, now: Millis, service: &str) -> u32 {
        let Some(service) = self
            .service_index(service)
            .and_then(|at| self.services.get(at))
        else {
            return 0;
        };
        let reserve = self.item_reserve(service);
        if self.items_give_way(now, service, reserve) {
            return 0;
        }
        // In a large fleet a part of it speaks for all; which part changes with time.
        let len = service.members.len();
        let looked = len.min(SCAN);
        let from = if len > SCAN {
            (now / WAIT_MOST_MS) as usize % len
        } else {
            0
        };
        let members = service
            .members
            .iter()
            .cycle()
            .skip(from)
            .take(looked)
            .copied();
        let open: Vec<RunnerKey> = members
            .filter(|k| self.accepts_item(now, service, *k).is_some())
            .collect();
        let rooms = self.item_rooms(now, service, reserve, &open, service.tokens);
        let room: f64 = rooms.iter().map(|(_, room)| room.floor()).sum();
        let whole = room * len as f64 / looked.max(1) as f64;
        // The others push as this dispatcher does, and what they pushed just now is not told yet.
        let unseen = (self.dispatchers - 1.0) * service.items_in_prefill;
        let fair = (whole - unseen) / self.dispatchers;
        // Nor do they all at once keep the runners reading.
        let unread = service.max_items_in_prefill(
            self.dispatchers,
            open.len() as f64 * len as f64 / looked.max(1) as f64,
        );
        let more = fair.min(unread - service.items_in_prefill);
        // One at a time where a share is less than one, and where none has said anything lately: its
        // answer tells.
        let old = rooms.iter().any(|(_, room)| *room <= ROOM_FLOOR);
        match more < 1.0 {
            true => u32::from((whole >= 1.0 || old) && service.items_in_prefill < 1.0),
            false => more as u32,
        }
    }

    /// Whether items wait because the whole fleet is full and they have time to spare: a live request that comes would
    /// wait behind them. The nearer they are due, the more of the reserve they may use.
    fn items_give_way(&self, now: Millis, service: &Service, reserve: f64) -> bool {
        let slack = service.item_slack(now);
        let most = 1.0 - reserve * (slack / RELAXED_MS).min(1.0);
        slack >= HURRY_MS && service.usage(now).is_some_and(|usage| usage >= most)
    }

    /// A runner that an item may be pushed to by its backoff, its health and its connections.
    fn accepts_item(&self, now: Millis, service: &Service, key: RunnerKey) -> Option<&Runner> {
        let runner = self
            .get(key)
            .filter(|runner| runner.up && runner.backoff.is_open(now))?;
        let conns = f64::from(self.connection_limit(key));
        let most_items = (conns * ITEM_CONNS).max(1.0);
        // One that says nothing of itself yet gets one: a dispatcher that starts must not flood.
        let unheard = runner.reported.is_none() && runner.items_in_flight > 0;
        let fits = matches!(
            runner.health.availability(now),
            Availability::Healthy | Availability::Probe
        ) && !runner.is_hung(now)
            && !unheard;
        let fits = fits
            && runner.prefill_until - now as f64
                <= service.hung_after_ms(service.first_token_ms.mean);
        (fits
            && f64::from(runner.in_flight) < conns
            && f64::from(runner.items_in_flight) < most_items)
            .then_some(runner)
    }

    /// The room of each, of those that have some.
    fn item_rooms(
        &self,
        now: Millis,
        service: &Service,
        reserve: f64,
        open: &[RunnerKey],
        tokens: f64,
    ) -> Vec<(RunnerKey, f64)> {
        let give =
            1.0 - ((service.late_share - LATE_BORNE) / LATE_SPAN).clamp(0.0, 1.0 - ITEMS_LEAST);
        let mut rooms = Vec::with_capacity(open.len());
        let (mut told, mut many) = (0.0, 0.0);
        for (key, runner) in open.iter().filter_map(|k| Some((*k, self.get(*k)?))) {
            if runner.reported.is_none() {
                rooms.push((key, None));
                continue;
            }
            let room = (runner.slots * (1.0 - reserve) - runner.load(now, service)) * give;
            told += room.max(0.0);
            many += 1.0;
            // No more than the free slots told; an old word keeps it in the draw.
            let fits = room >= 1.0 && runner.memory_share(now, service, tokens) <= 1.0;
            match (fits, runner.report_is_fresh(now, service)) {
                (true, _) => rooms.push((key, Some(room))),
                (false, false) if runner.items_in_flight == 0 => {
                    rooms.push((key, Some(ROOM_FLOOR)))
                }
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
    pub(crate) fn item_reserve(&self, service: &Service) -> f64 {
        let live = service.mean_live_in_flight * self.dispatchers / service.slots.max(1.0);
        (RESERVE_LEAST + RESERVE_GROWTH * live).min(RESERVE_MOST)
    }
}
