//! Items are fetched from the stores that keep them, for the room that the choice sees.

use crate::gateway::Gateway;
use crate::items::{begin, partition_of, CALL_WITHIN, MAX_CONCURRENT_FETCHES};
use batch::wire::{FetchRequest, FetchResponse, Message, PlacementMap, RouteDemand, FETCH};
use route_config::{Config, Route, RouteKind};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{Duration, Instant};

/// How long a store may hold a fetch until there is an item: what is wanted changes with the live load.
const FETCH_WAIT_MS: u32 = 500;
/// An answer without an item that comes sooner than this was not held.
const AT_ONCE: Duration = Duration::from_millis(50);
/// Items held here at most; far beyond the room that a process has for them.
const MOST: usize = 2_048;

/// What is wanted of which store.
pub fn wants(
    gateway: &Gateway,
    config: &Config,
    map: &PlacementMap,
    now: u64,
) -> BTreeMap<SocketAddr, Vec<RouteDemand>> {
    let mut by_svc: HashMap<&str, Vec<&Route>> = HashMap::new();
    for route in config
        .routes
        .iter()
        .filter(|route| route.kind == RouteKind::Bulk)
    {
        for target in route.targets.iter().filter(|target| target.weight > 0.0) {
            let svc = &target.service;
            by_svc.entry(svc.as_str()).or_default().push(route);
        }
    }
    let mut all: BTreeMap<SocketAddr, Vec<RouteDemand>> = BTreeMap::new();
    if by_svc.is_empty() || gateway.items.len() >= MOST {
        return all;
    }
    let waiting = gateway.items.waiting();
    for (svc, routes) in by_svc {
        let room = gateway
            .selector
            .item_capacity(now, svc)
            .saturating_sub(waiting);
        let each = room / routes.len() as u32;
        // What doesn't divide goes to another route each time.
        let odd = (room as usize) % routes.len();
        for (place, route) in routes.iter().enumerate() {
            let more = u32::from((place + now as usize / 100) % routes.len() < odd);
            let heads = if each + more > 0 {
                map.heads_of(&route.host)
            } else {
                Vec::new()
            };
            // The room is shared by those that are asked at once.
            let want = (each + more).div_ceil(heads.len().clamp(1, MAX_CONCURRENT_FETCHES) as u32);
            for head in heads {
                all.entry(head).or_default().push(RouteDemand {
                    host: route.host.clone(),
                    route: route.name.clone(),
                    max_items: want,
                });
            }
        }
    }
    all
}

/// Fetches from a store for as long as there is room, and nothing for others to be asked.
pub async fn fetch_all(gateway: &Rc<Gateway>, head: SocketAddr) {
    loop {
        let now = gateway.clock.now();
        let (Some(config), Some(map)) = (gateway.config(), gateway.map()) else {
            return;
        };
        let mut all = wants(gateway, &config, &map, now);
        let others = all.len() > MAX_CONCURRENT_FETCHES;
        let Some(wants) = all.remove(&head) else {
            return;
        };
        if gateway.stopping() {
            return;
        }
        let call = FetchRequest {
            holder: gateway.id,
            wait_ms: FETCH_WAIT_MS,
            demands: wants,
        }
        .encode();
        let within = Duration::from_millis(FETCH_WAIT_MS.into()) + CALL_WITHIN;
        let asked = Instant::now();
        let Ok(answer) = gateway.links.call(head, FETCH, call, within).await else {
            return;
        };
        let Ok(answer) = FetchResponse::decode(&answer) else {
            return;
        };
        // A store that has nothing and doesn't wait either is asked again with the next tick; where there are more than are
        // asked at once, the turn is another's.
        let nothing = answer.items.is_empty();
        if nothing && (others || !answer.redirects.is_empty() || asked.elapsed() < AT_ONCE) {
            return;
        }
        for leased in answer.items {
            if let Some(partition) = partition_of(gateway, &leased) {
                gateway.items.confirm(partition, now);
            }
            begin(gateway, leased);
        }
    }
}
