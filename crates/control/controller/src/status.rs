//! The state of the tier as this controller sees it, for operators: the answer to `GET /-/status`.

use crate::call::Response;
use crate::core::ControllerCore;
use crate::peers::FAILURE_TIMEOUT;
use batch::wire::StoreState;
use chain_replication::{Member, Millis};
use jzon::{object, JsonValue};
use replicated_state::DISPATCHER_KEY_PREFIX;
use runner_registry::{Runner, RunnerState};

/// The answer. Its keys are those of the users' page; a test holds them.
pub fn respond(core: &ControllerCore, now: Millis) -> Response {
    let view = core.agreement.current_view();
    let chain = view.map(|v| v.view.members.as_slice()).unwrap_or_default();
    let acceptors = view.map(|v| v.acceptors.as_slice()).unwrap_or_default();
    let body = object! {
        "Node": core.settings.node.as_str(),
        "View": view.map_or(0, |v| v.view.number),
        "Chain": addresses(chain),
        "Acceptors": addresses(acceptors),
        "Head": address(chain.first()),
        "Tail": address(chain.last()),
        "Ready": core.chain.is_ready(),
        "MajorityMsAgo": core.agreement.quorum_contact_age(now),
        "Stale": !core.quorum_contact.holds(now),
        "Config": object! {
            "Gen": core.chain.state_machine().config_version(),
            "Active": core.active_config_version(),
        },
        "Map": core.placement.as_ref().map_or(0, |map| map.number),
        "Runners": runners(core),
        "Dispatchers": dispatchers(core),
        "Stores": stores(core, now),
        "Lag": lag(core, now),
        "Disk": object! {
            "Used": core.disk_usage.used_bytes,
            "Capacity": core.disk_usage.capacity_bytes,
        },
        "Refused": rejections(core),
    };
    Response::json(body.dump())
}

fn address(member: Option<&Member>) -> JsonValue {
    member.map_or(JsonValue::Null, |m| m.addr.to_string().into())
}

fn addresses(members: &[Member]) -> Vec<JsonValue> {
    members.iter().map(|m| address(Some(m))).collect()
}

fn runners(core: &ControllerCore) -> JsonValue {
    let (mut up, mut draining) = (0, 0);
    for runner in core
        .state_table
        .with_prefix("runner/")
        .filter_map(|entry| Runner::read(entry).ok())
    {
        match runner.state {
            RunnerState::Up => up += 1,
            RunnerState::Draining => draining += 1,
            RunnerState::Gone => {}
        }
    }
    object! { "Up": up, "Draining": draining }
}

fn dispatchers(core: &ControllerCore) -> Vec<JsonValue> {
    let entries = core.state_table.with_prefix(DISPATCHER_KEY_PREFIX);
    let present = entries.filter(|entry| entry.value.is_some());
    present
        .map(|entry| entry.key.trim_start_matches(DISPATCHER_KEY_PREFIX).into())
        .collect()
}

fn stores(core: &ControllerCore, now: Millis) -> Vec<JsonValue> {
    let Some(map) = &core.placement else {
        return Vec::new();
    };
    let statuses = core.stores.statuses(now, map).into_iter();
    let json = statuses.map(|store| {
        let state = match store.state {
            StoreState::Up => "up",
            StoreState::Retiring => "retiring",
            StoreState::Retired => "retired",
            StoreState::Gone => "gone",
        };
        object! { "Node": store.node.as_str(), "State": state, "Heard": store.alive }
    });
    json.collect()
}

/// The controllers of the view that lag, in the order of the chain, joining ones last: silent, not in
/// sync, or without entries that another one has. Each as of its last heartbeat.
fn lag(core: &ControllerCore, now: Millis) -> Vec<JsonValue> {
    let Some(view) = core.agreement.current_view().map(|v| &v.view) else {
        return Vec::new();
    };
    let all = || view.members.iter().chain(&view.joining);
    let status_of = |m: &Member| {
        if m.addr == core.me.addr {
            return Some(core.chain.status());
        }
        let status = core.peers.replica_status(m.addr)?;
        Some(status).filter(|status| status.id == m.id)
    };
    let newest = all().filter_map(status_of).map(|s| s.last_received).max();
    let newest = newest.unwrap_or_default();
    let entry = |m: &Member| {
        let status = status_of(m).unwrap_or_default();
        let silent_ms = if m.addr == core.me.addr {
            Some(0)
        } else {
            core.peers.silent_for(now, m.addr)
        };
        let entries = newest.saturating_sub(status.last_received);
        let in_sync = status.in_sync_view == view.number;
        let is_silent = silent_ms.is_none_or(|silent_ms| silent_ms >= FAILURE_TIMEOUT);
        let lags = entries > 0 || !in_sync || is_silent;
        lags.then(|| {
            object! {
                "Addr": address(Some(m)),
                "Entries": entries,
                "InSync": in_sync,
                "SilentMs": silent_ms,
            }
        })
    };
    all().filter_map(entry).collect()
}

fn rejections(core: &ControllerCore) -> JsonValue {
    let rejected = core.state_table.rejected();
    let stale = core.stale_messages();
    object! {
        "Frames": core.rejections.frames,
        "Dropped": core.rejections.dropped_frames.get(),
        "Connections": core.rejections.connections,
        "StateEntries": rejected.entries,
        "Relay": rejected.messages,
        "Calls": core.rejections.calls,
        "ChainPassedOver": stale.chain,
        "ViewPassedOver": stale.view,
        "RelayPassedOver": stale.relay,
    }
}
