//! How the tier stands, as this controller sees it, for operators.

use crate::op::Answer;
use crate::owner::Owner;
use batch::wire::StoreState;
use chain_replication::Millis;
use jzon::{object, JsonValue};
use runner_registry::{Runner, RunnerState};

/// The answer to `GET /-/status`.
pub fn answer(owner: &Owner, now: Millis) -> Answer {
    let view = owner.agreement.current_view();
    let address = |m: Option<&chain_replication::Member>| {
        m.map_or(JsonValue::Null, |m| m.addr.to_string().into())
    };
    let chain = view.map(|v| v.view.members.as_slice()).unwrap_or_default();
    let names = |list: &[chain_replication::Member]| {
        list.iter()
            .map(|m| m.addr.to_string().into())
            .collect::<Vec<JsonValue>>()
    };
    let (mut up, mut draining) = (0, 0);
    for runner in owner
        .state_table
        .with_prefix("runner/")
        .filter_map(|f| Runner::read(f).ok())
    {
        match runner.state {
            RunnerState::Up => up += 1,
            RunnerState::Draining => draining += 1,
            RunnerState::Gone => {}
        }
    }
    let dispatchers: Vec<JsonValue> = owner
        .state_table
        .with_prefix(replicated_state::DISPATCHER_KEY_PREFIX)
        .filter(|f| f.value.is_some())
        .map(|f| {
            f.key
                .trim_start_matches(replicated_state::DISPATCHER_KEY_PREFIX)
                .into()
        })
        .collect();
    let mut stores = Vec::new();
    if let Some(map) = &owner.map {
        for (node, state, heard) in owner.stores.told(now, map) {
            let state = match state {
                StoreState::Up => "up",
                StoreState::Retiring => "retiring",
                StoreState::Retired => "retired",
                StoreState::Gone => "gone",
            };
            stores.push(object! { "Node": node.as_str(), "State": state, "Heard": heard });
        }
    }
    let active = owner
        .state_table
        .get("config/active")
        .map_or(0, |f| f.stamp.0);
    let (used, room) = owner.room;
    let rejected = owner.state_table.rejected();
    let passed_over = owner.passed_over();
    let body = object! {
        "Node": owner.settings.node.as_str(),
        "View": view.map_or(0, |v| v.view.number),
        "Chain": names(chain),
        "Acceptors": names(view.map(|v| v.acceptors.as_slice()).unwrap_or_default()),
        "Head": address(chain.first()),
        "Tail": address(chain.last()),
        "Ready": owner.node.is_ready(),
        "MajorityMsAgo": owner.agreement.quorum_contact_age(now),
        "Stale": !owner.contact.holds(now),
        "Config": object! { "Gen": owner.node.state_machine().gen(), "Active": active },
        "Map": owner.map.as_ref().map_or(0, |m| m.number),
        "Runners": object! { "Up": up, "Draining": draining },
        "Dispatchers": dispatchers,
        "Stores": stores,
        "Lag": Vec::<JsonValue>::new(),
        "Disk": object! { "Used": used, "Capacity": room },
        "Refused": object! {
            "Frames": owner.refused.frames,
            "Dropped": owner.refused.dropped.get(),
            "Connections": owner.refused.connections,
            "StateEntries": rejected.entries,
            "Relay": rejected.messages,
            "Calls": owner.refused.calls,
            "ChainPassedOver": passed_over.chain,
            "ViewPassedOver": passed_over.view,
            "RelayPassedOver": passed_over.relay,
        },
    };
    Answer::body(body.dump())
}
