//! The list as discovery writes it, mapped to the endpoints that the reducer takes.

use crate::ListRecord;
use dispatch_api::load_exchange::name_hash;
use dispatch_api::{ListUpdateKind, WorkerStatus};
use dispatcher_settings::list::{ListedTarget, TargetList, TargetState};
use dispatcher_state::{Endpoint, Input};
use event_loop::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Where a list comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListSource {
    /// From discovery.
    Discovery,
    /// From an earlier process of this dispatcher; it may be old.
    Predecessor,
}

/// Maps lists: the names in them are numbers for the reducer.
#[derive(Debug, Clone)]
pub struct EndpointMapper {
    /// Names of the zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Names of the machine kinds, likewise.
    pub kinds: Vec<String>,
    /// The dispatcher's clock, on which start times are told.
    pub clock: Clock,
    /// Where lists are recorded for a successor process; none where there will be none.
    pub record: Option<Rc<RefCell<ListRecord>>>,
}

impl EndpointMapper {
    /// The input that a list comes to. `from` is the address of the discovery that sent it, or that is
    /// to be believed to have sent it.
    pub fn input(&self, list: TargetList, source: ListSource, from: SocketAddr) -> Input {
        if let Some(record) = &self.record {
            record.borrow_mut().update(&list, from);
        }
        let kind = match (source, list.full) {
            (ListSource::Predecessor, _) => ListUpdateKind::Inherited,
            (ListSource::Discovery, true) => ListUpdateKind::Full,
            (ListSource::Discovery, false) => ListUpdateKind::Incremental,
        };
        let entries = list.servers.into_iter().map(|entry| self.endpoint(entry));
        Input::EndpointsUpdated {
            kind,
            version: Some(list.version),
            entries: entries.collect(),
        }
    }

    fn endpoint(&self, entry: ListedTarget) -> Endpoint {
        Endpoint {
            zone: number(&self.zones, &entry.zone),
            kind: number(&self.kinds, &entry.kind),
            name: entry.id,
            addr: entry.addr,
            cell: entry.cell,
            status: match entry.state {
                TargetState::Ready => WorkerStatus::Ready,
                TargetState::Draining => WorkerStatus::Draining,
                TargetState::Gone => WorkerStatus::Removed,
            },
            weight: entry.weight,
            started: (entry.started_ms > 0.0).then(|| self.clock.at_unix_ms(entry.started_ms)),
        }
    }
}

/// The number of a zone or kind. Names that the settings do not know are locations, too, and different
/// ones, since workers of one location share idempotency keys: they are numbered by their hash.
fn number(names: &[String], name: &str) -> u32 {
    let known = names.iter().position(|n| n == name);
    known.map_or_else(|| name_hash(name) | 1 << 31, |number| number as u32)
}
