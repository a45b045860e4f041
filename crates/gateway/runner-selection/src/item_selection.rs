//! Items of batch jobs: the backoff of each runner says when, a draw weighted by free slots says
//! where.
//!
//! Items leave a reserve of the slots to live requests, and give way while these are late.

use crate::balancer::Balancer;
use crate::constants::{
    ITEMS_MIN_SHARE, ITEM_CONNS, ITEM_SCAN, LATE_SPAN, LATE_TOLERATED, MAX_ATTEMPTED, MAX_SCANNED,
    MAX_WAIT_MS, MIN_FREE_SLOTS, RELAXED_MS, RESERVE_GROWTH, RESERVE_MAX, RESERVE_MIN, URGENT_MS,
};
use crate::health::Availability;
use crate::runner::Runner;
use crate::service::Service;
use crate::{Millis, RequestProfile, RunnerKey};

impl Balancer {
    /// Where an item goes now; none: it is held back.
    pub fn choose_item(&mut self, now: Millis, request: &RequestProfile) -> Option<RunnerKey> {
        let at = self.service_index(request.service.as_str())?;
        let pool = self.sample(at, ITEM_SCAN + request.attempted.len().min(MAX_ATTEMPTED));
        self.eject_hung(now, &pool);
        let service = self.services.get(at)?;
        let reserve =
            self.item_reserve(service) * (f64::from(request.remaining_ms) / URGENT_MS).min(1.0);
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
        let free = self.free_slots_of(now, service, reserve, &open, tokens);
        let all: f64 = free.iter().map(|(_, slots)| slots).sum();
        let mut drawn = self.uniform() * all;
        let mut last = None;
        for (key, slots) in free {
            drawn -= slots;
            last = Some(key);
            if drawn <= 0.0 {
                break;
            }
        }
        last
    }

    /// How many items are worth fetching now for that service: this dispatcher's share of the free
    /// slots.
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
        // In a large fleet a part of it stands for all; which part changes with time.
        let len = service.members.len();
        let looked = len.min(MAX_SCANNED);
        let from = if len > MAX_SCANNED {
            (now / MAX_WAIT_MS) as usize % len
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
        let free = self.free_slots_of(now, service, reserve, &open, service.tokens);
        let slots: f64 = free.iter().map(|(_, slots)| slots.floor()).sum();
        let all_free = slots * len as f64 / looked.max(1) as f64;
        // Other dispatchers push as this one does, and what they pushed just now is not reported
        // yet.
        let unreported = (self.dispatchers - 1.0) * service.items_in_prefill;
        let fair = (all_free - unreported) / self.dispatchers;
        // Nor may they all at once keep the runners in prefill.
        let max_in_prefill = service.max_items_in_prefill(
            self.dispatchers,
            open.len() as f64 * len as f64 / looked.max(1) as f64,
        );
        let more = fair.min(max_in_prefill - service.items_in_prefill);
        // One at a time where a share is less than one, and where no runner has reported lately:
        // its answer will.
        let old = free.iter().any(|(_, slots)| *slots <= MIN_FREE_SLOTS);
        match more < 1.0 {
            true => u32::from((all_free >= 1.0 || old) && service.items_in_prefill < 1.0),
            false => more as u32,
        }
    }

    /// Whether items wait since the fleet is full and they have time to spare: a live request would
    /// queue behind them. The nearer they are due, the more of the reserve they may use.
    fn items_give_way(&self, now: Millis, service: &Service, reserve: f64) -> bool {
        let slack = service.item_slack(now);
        let most = 1.0 - reserve * (slack / RELAXED_MS).min(1.0);
        slack >= URGENT_MS && service.usage(now).is_some_and(|usage| usage >= most)
    }

    /// The runner, if an item may go there by its backoff, its health and its connections.
    fn accepts_item(&self, now: Millis, service: &Service, key: RunnerKey) -> Option<&Runner> {
        let runner = self
            .get(key)
            .filter(|runner| runner.up && runner.backoff.is_open(now))?;
        let conns = f64::from(self.connection_limit(key));
        let most_items = (conns * ITEM_CONNS).max(1.0);
        // One that has reported nothing yet gets one item: a dispatcher that starts must not flood.
        let is_unreported = runner.reported.is_none() && runner.items_in_flight > 0;
        let fits = matches!(
            runner.health.availability(now),
            Availability::Healthy | Availability::Probe
        ) && !runner.is_hung(now)
            && !is_unreported;
        let fits = fits
            && runner.prefill_until - now as f64
                <= service.hung_after_ms(service.first_token_ms.mean);
        (fits
            && f64::from(runner.in_flight) < conns
            && f64::from(runner.items_in_flight) < most_items)
            .then_some(runner)
    }

    /// The free slots of each runner that has some.
    fn free_slots_of(
        &self,
        now: Millis,
        service: &Service,
        reserve: f64,
        open: &[RunnerKey],
        tokens: f64,
    ) -> Vec<(RunnerKey, f64)> {
        let give = 1.0
            - ((service.late_share - LATE_TOLERATED) / LATE_SPAN).clamp(0.0, 1.0 - ITEMS_MIN_SHARE);
        let mut free = Vec::with_capacity(open.len());
        let (mut reported, mut count) = (0.0, 0.0);
        for (key, runner) in open.iter().filter_map(|k| Some((*k, self.get(*k)?))) {
            if runner.reported.is_none() {
                free.push((key, None));
                continue;
            }
            let slots = (runner.slots * (1.0 - reserve) - runner.load(now, service)) * give;
            reported += slots.max(0.0);
            count += 1.0;
            // No more than the reported free slots; an old report keeps it in the draw.
            let fits = slots >= 1.0 && runner.memory_share(now, service, tokens) <= 1.0;
            match (fits, runner.report_is_fresh(now, service)) {
                (true, _) => free.push((key, Some(slots))),
                (false, false) if runner.items_in_flight == 0 => {
                    free.push((key, Some(MIN_FREE_SLOTS)))
                }
                (false, _) => {}
            }
        }
        let mean = if count > 0.0 {
            f64::max(reported / count, MIN_FREE_SLOTS)
        } else {
            1.0
        };
        free.into_iter()
            .map(|(key, slots)| (key, slots.unwrap_or(mean)))
            .collect()
    }

    /// Share of the slots that items leave to live requests.
    pub(crate) fn item_reserve(&self, service: &Service) -> f64 {
        let live = service.mean_live_in_flight * self.dispatchers / service.slots.max(1.0);
        (RESERVE_MIN + RESERVE_GROWTH * live).min(RESERVE_MAX)
    }
}
