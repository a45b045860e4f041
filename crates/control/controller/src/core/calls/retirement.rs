//! Calls that have a store machine emptied.

use super::{under_repair, Answer, ChainEnd, Outcome};
use crate::call::Response;
use crate::core::pending::Condition;
use crate::core::ControllerCore;
use crate::placement::RetireError;
use batch::wire::StoreState;
use chain_replication::Millis;
use slog::info;

fn unknown_store() -> Response {
    Response::error(404, 1330, "no store machine of that name")
}

fn no_map() -> Response {
    Response::error(503, 1310, "no map of stores yet")
}

impl ControllerCore {
    pub(super) fn retire_store(&mut self, now: Millis, node: &str) -> Answer {
        self.require_end(now, ChainEnd::Head, &format!("/-/retire/{node}/begin"))?;
        let (Some(map), true) = (&self.placement, self.can_commit()) else {
            let message = "the chain is being repaired, or no map of stores yet";
            return Err(Response::error(503, 1310, message));
        };
        match self.stores.retire(now, map, node, self.chain_lengths()) {
            Err(RetireError::UnknownStore) => Err(unknown_store()),
            Err(RetireError::TooFewRemaining) => Err(Response::error(
                409,
                1331,
                "too few store machines would remain",
            )),
            Ok(None) => Ok(Outcome::Respond(Response::ok())),
            Ok(Some(next)) => {
                let number = next.number;
                info!(self.log, "store retirement started"; "store" => node, "map" => number);
                if !self.propose_placement(&next) {
                    return Err(under_repair());
                }
                Ok(Outcome::WaitFor(Condition::PlacementCommitted { number }))
            }
        }
    }

    pub(super) fn get_retirement(&mut self, now: Millis, node: &str) -> Answer {
        self.require_end(now, ChainEnd::Head, &format!("/-/retire/{node}/get"))?;
        // The map as committed, never as proposed only: at `complete` the machine is taken away at
        // once.
        let map = self.placement.as_ref();
        let store = map.and_then(|map| map.stores.iter().find(|store| store.node == node));
        // A head that has just begun may not have read the newest map yet, and denies nothing by
        // the one before.
        let is_newest =
            map.map_or(0, |map| map.number) == self.chain.state_machine().placement_number;
        match store.map(|store| store.state) {
            Some(StoreState::Retired) => {
                Ok(Outcome::Respond(Response::json("{\"State\":\"complete\"}")))
            }
            Some(StoreState::Retiring) => {
                Ok(Outcome::Respond(Response::json("{\"State\":\"rolling\"}")))
            }
            _ if !is_newest => {
                let message = "a newer map of stores is being put in force";
                Err(Response::error(503, 1310, message))
            }
            Some(_) => Err(Response::error(404, 1332, "it is not being emptied")),
            None if map.is_none() => Err(no_map()),
            None => Err(unknown_store()),
        }
    }
}
