//! Calls that move a service to another version.

use super::outcome::{unclear, COMMIT_TIMEOUT};
use super::{under_repair, Answer, ChainEnd, Outcome};
use crate::call::Response;
use crate::control_state::{Command, RolloutOrder, RolloutRecord, MAX_ROLLOUTS};
use crate::core::pending::{Condition, ReadQuery};
use crate::core::publishing::ACTIVATION_TIMEOUT;
use crate::core::ControllerCore;
use chain_replication::Millis;
use jzon::object;
use replicated_state::{rollout_key, RolloutState};
use route_config::Config;
use slog::info;

/// Longest name of a service or a version, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Longest time that a roll-out may be given, in seconds: a day.
const MAX_OVER_S: f64 = 86_400.0;
/// So many times `AckMs` after its deadline an order may still arrive again.
const REPEAT_ACK_TIMES: u64 = 2;

/// An order as it was sent.
struct BeginRequest {
    service: String,
    target: String,
    over_ms: u64,
}

impl BeginRequest {
    /// Reads the body; none if it is no order.
    fn parse(body: &[u8]) -> Option<Self> {
        let json = jzon::parse(std::str::from_utf8(body).ok()?).ok()?;
        let members = json.as_object()?;
        let name = |key| {
            let name = members.get(key)?.as_str()?;
            let fits = !name.is_empty() && name.len() <= MAX_NAME_BYTES;
            let is_plain = !name.chars().any(char::is_control);
            (fits && is_plain).then(|| name.to_owned())
        };
        let over_s = members.get("OverS")?.as_f64()?;
        let is_possible = over_s > 0.0 && over_s <= MAX_OVER_S;
        Some(BeginRequest {
            service: name("Svc")?,
            target: name("Target")?,
            over_ms: is_possible.then_some((over_s * 1_000.0) as u64)?,
        })
    }
}

/// What an order is beside the newest roll-out of its service.
enum OrderKind {
    /// It begins another one.
    New,
    /// It was taken before, or what it asks for is there already.
    Repeated,
    /// Another one is under way.
    Conflicting,
}

impl ControllerCore {
    pub(super) fn begin_rollout(&mut self, now: Millis, body: &[u8]) -> Answer {
        let Some(request) = BeginRequest::parse(body) else {
            let message = "no order with Svc, Target and OverS above 0";
            return Err(Response::error(400, 1350, message));
        };
        self.require_end(now, ChainEnd::Head, "/-/rollouts/begin")?;
        if !self.can_commit() || !self.may_wait() {
            return Err(under_repair());
        }
        let BeginRequest {
            service,
            target,
            over_ms,
        } = request;
        let known = self.chain.state_machine().rollout(&service);
        let number = match self.kind_of_order(known, &target) {
            OrderKind::Conflicting => {
                let message = "another roll-out of the service is under way";
                return Err(Response::error(409, 1352, message));
            }
            OrderKind::Repeated => self.chain.last_received(),
            OrderKind::New => {
                self.check_service(&service)?;
                let order = RolloutOrder {
                    service: service.clone().into_bytes(),
                    target: target.clone().into_bytes(),
                    over_ms,
                    begun_unix_ms: self.unix_ms,
                };
                let command = Command::BeginRollout { order };
                let proposed = self.chain.propose(command.encode());
                info!(self.log, "rollout proposed"; "svc" => &service, "target" => &target,
                    "over_ms" => over_ms);
                proposed.ok_or_else(under_repair)?
            }
        };
        Ok(Outcome::WaitFor(Condition::RolloutBegun {
            service,
            target,
            number,
        }))
    }

    fn kind_of_order(&self, known: Option<&RolloutRecord>, target: &str) -> OrderKind {
        let Some(record) = known else {
            return OrderKind::New;
        };
        let is_same = record.order.target == target.as_bytes();
        let slack = REPEAT_ACK_TIMES * self.settings.bounds.ack_ms;
        let repeats_until = record.order.begun_unix_ms + record.order.over_ms + slack;
        match record.state {
            RolloutState::Rolling if !is_same => OrderKind::Conflicting,
            RolloutState::Rolling | RolloutState::Complete if is_same => OrderKind::Repeated,
            RolloutState::Reverted if is_same && self.unix_ms <= repeats_until => {
                OrderKind::Repeated
            }
            _ => OrderKind::New,
        }
    }

    fn check_service(&self, service: &str) -> Result<(), Response> {
        let state = self.chain.state_machine();
        let Some((_, body)) = &state.config else {
            return Err(Response::error(503, 1355, "there is no configuration yet"));
        };
        let known = Config::read(body).is_ok_and(|config| config.service(service).is_some());
        if !known {
            return Err(Response::error(404, 1351, "no service of that name"));
        }
        if state.rollout(service).is_none() && state.rollouts.len() >= MAX_ROLLOUTS {
            return Err(Response::error(
                503,
                1354,
                "too many services were rolled out",
            ));
        }
        Ok(())
    }

    /// The answer to an order; none while it is open. It is on enough disks, and the gateways in
    /// contact know it: new runners, which start once it is acknowledged, get no more than their
    /// share.
    pub(super) fn rollout_begun_response(
        &self,
        service: &str,
        target: &str,
        number: u64,
        waited_ms: Millis,
    ) -> Option<Response> {
        let record = self.chain.state_machine().rollout(service);
        let record = record.filter(|record| record.order.target == target.as_bytes());
        let key = rollout_key(service);
        let published = self.state_table.get(&key);
        let published = published.filter(|entry| record.is_some_and(|r| entry.stamp.0 >= r.id));
        let is_committed = self.acknowledgeable() >= number && record.is_some();
        if let Some(entry) = published.filter(|_| is_committed && self.chain.is_head()) {
            let acks = self.state_table.acknowledged(&key, entry.stamp);
            let all_have = acks.acknowledged >= acks.subscribers
                && acks.peer_subtrees_acknowledged >= acks.peers;
            return (all_have || waited_ms > ACTIVATION_TIMEOUT).then(Response::ok);
        }
        let is_lost = record.is_none() && self.chain.last_received() >= number;
        (is_lost || !self.chain.is_head() || waited_ms > COMMIT_TIMEOUT).then(unclear)
    }

    pub(super) fn get_rollout(&mut self, now: Millis, service: String) -> Answer {
        let path = format!("/-/rollouts/{service}/get");
        self.require_end(now, ChainEnd::Tail, &path)?;
        if !self.may_wait() || !self.chain.is_active() {
            return Err(under_repair());
        }
        let token = self.agreement.confirm_view(now);
        let number = self.chain.last_received();
        Ok(Outcome::WaitFor(Condition::ReadConfirmed {
            query: ReadQuery::Rollout(service),
            token,
            confirmed: false,
            number,
        }))
    }

    pub(super) fn rollout_response(&self, service: &str) -> Response {
        let Some(record) = self.chain.state_machine().rollout(service) else {
            return Response::error(404, 1353, "no roll-out of this service was ordered");
        };
        let state = match record.state {
            RolloutState::Rolling => "rolling",
            RolloutState::Complete => "complete",
            RolloutState::Reverted => "reverted",
        };
        let target = String::from_utf8_lossy(&record.order.target).into_owned();
        Response::json(object! { "State": state, "Target": target }.dump())
    }
}
