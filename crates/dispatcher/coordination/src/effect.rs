//! What coordination asks for.

use maintenance::{PlanError, TargetState};
use membership::MemberUpdate;

/// One effect.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a datagram to another dispatcher.
    Send {
        /// Its number.
        to: u32,
        /// The datagram.
        message: Vec<u8>,
    },
    /// Take a target out of service, or have it back.
    SetOutOfService {
        /// The hash of its name.
        name_hash: u32,
        /// Out, as opposed to back.
        out: bool,
    },
    /// This process represents its dispatcher among the members from now on.
    Joined {
        /// Its number.
        me: u16,
        /// How many members there are.
        members: u16,
        /// Its incarnation.
        incarnation: u32,
    },
    /// What is believed of another dispatcher has changed.
    MemberChanged(MemberUpdate),
    /// Whether datagrams of this dispatcher reach another one has changed.
    ReachabilityChanged {
        /// Its number.
        member: u16,
        /// They do.
        reachable: bool,
    },
    /// The state of a target of the plan has changed here.
    TargetStateChanged {
        /// The hash of its name.
        name_hash: u32,
        /// Its state.
        state: TargetState,
        /// It changed because a time limit passed.
        forced: bool,
    },
    /// A plan can't be followed.
    PlanRejected(PlanError),
    /// A plan is cancelled.
    PlanCancelled {
        /// One was active.
        was_active: bool,
    },
    /// A datagram can't be decoded, or was sent in another dispatcher's name.
    MalformedDatagram,
}

impl Effect {
    /// The effect that one of membership comes to; none if its datagram can't be encoded.
    pub(crate) fn from_membership(effect: membership::Effect) -> Option<Self> {
        Some(match effect {
            membership::Effect::Send { to, message } => Effect::Send {
                to: u32::from(to),
                message: message.encode().ok()?,
            },
            membership::Effect::MemberChanged(update) => Effect::MemberChanged(update),
            membership::Effect::ReachabilityChanged { member, reachable } => {
                Effect::ReachabilityChanged { member, reachable }
            }
        })
    }
}

impl From<maintenance::Effect> for Effect {
    fn from(effect: maintenance::Effect) -> Self {
        match effect {
            maintenance::Effect::Send { to, message } => Effect::Send {
                to: u32::from(to),
                message: message.encode(),
            },
            maintenance::Effect::SetOutOfService { name_hash, out } => {
                Effect::SetOutOfService { name_hash, out }
            }
            maintenance::Effect::TargetStateChanged {
                name_hash,
                state,
                forced,
            } => Effect::TargetStateChanged {
                name_hash,
                state,
                forced,
            },
        }
    }
}
