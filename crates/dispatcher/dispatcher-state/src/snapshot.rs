//! What operators can see of the state.

use crate::{JobCounters, MaintenanceStatus};
use degradation::Status;
use dispatch_api::Micros;
use membership::{MemberUpdate, Swim};

/// What can be seen of the state from outside.
#[derive(Debug, Clone)]
pub struct StateSnapshot {
    /// What the policy believes and counts, and the levels of degraded service.
    pub status: Status,
    /// What has become of the jobs.
    pub counts: JobCounters,
    /// Targets in the endpoint list, draining ones included.
    pub listed: usize,
    /// Of these, the targets that get no new work for now: disabled by operators or a plan, or
    /// ejected by the policy.
    pub ejected: usize,
    /// What is believed of each dispatcher, where they watch each other.
    pub members: Option<MembershipSnapshot>,
    /// The maintenance plan, where one is known.
    pub maintenance: Option<MaintenanceStatus>,
}

/// What is believed of all dispatchers.
#[derive(Debug, Clone)]
pub struct MembershipSnapshot {
    /// By number.
    pub members: Vec<MemberSnapshot>,
    /// A hash of the members that are present: the same at all dispatchers that believe the same.
    pub view: u32,
}

/// What is believed of one dispatcher.
#[derive(Debug, Clone, Copy)]
pub struct MemberSnapshot {
    /// Its number, incarnation and state.
    pub update: MemberUpdate,
    /// A datagram of it was received directly lately.
    pub received_lately: bool,
    /// Datagrams of this dispatcher reach it, as far as it says.
    pub reachable: bool,
}

impl MembershipSnapshot {
    pub(crate) fn of(swim: &Swim, now: Micros) -> Self {
        let member = |update: MemberUpdate| {
            let connectivity = swim.connectivity(update.member, now);
            MemberSnapshot {
                update,
                received_lately: connectivity.received_lately,
                reachable: connectivity.reachable,
            }
        };
        MembershipSnapshot {
            members: swim.members().into_iter().map(member).collect(),
            view: swim.view_hash(),
        }
    }
}
