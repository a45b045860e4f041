//! Faults of the program that a day can be given, to see that the checks find them. They are
//! planted around the core: in what it is asked, what it answers, and which of its frames go out.

use super::World;
use bytes::Bytes;
use controller::call::{Call, Response};
use controller::control_state::digest;
use controller::frame_kind::{CHAIN_REPLICATION, VIEW_AGREEMENT};

/// A fault of the program that the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Planted {
    /// A write that the disk refuses counts as synced.
    SyncedThoughRefused,
    /// One whose disk takes nothing goes on as if it were well.
    StaysIn,
    /// Views are never changed.
    NoViewChange,
    /// One that was cut off says nothing in the chain any more, and leads again as if it did.
    MuteAfterCut,
    /// An order is acknowledged as soon as the head has taken it.
    AcknowledgedUnkept,
    /// An order is refused as soon as the head has taken another one.
    RefusedUnkept,
    /// Of the orders that were taken the newest alone is remembered.
    RemembersOneOrder,
    /// A read is answered by whoever is asked, with what it has.
    ReadsAnywhere,
    /// Heartbeats of runners are acknowledged whoever else knows of them.
    AcknowledgesAllHeartbeats,
    /// The settings name no zones, though whole zones are lost.
    ZonesNotNamed,
}

impl World {
    fn has(&self, planted: Planted) -> bool {
        self.plan.planted == Some(planted)
    }

    /// The settings' own idea of the disk: with a fault of that kind each takes its own for well.
    pub fn disk_counts_as_well(&self) -> bool {
        self.has(Planted::SyncedThoughRefused) || self.has(Planted::StaysIn)
    }

    /// Whether a refused write counts as synced.
    pub fn syncs_though_refused(&self) -> bool {
        self.has(Planted::SyncedThoughRefused)
    }

    /// Whether a frame of this kind of this controller never goes out.
    pub fn withholds(&self, n: usize, kind: u16, body: &Bytes) -> bool {
        if kind == VIEW_AGREEMENT && self.has(Planted::NoViewChange) {
            let msg = view_agreement::Message::decode(body).map(|msg| msg.body);
            let decides = |body| {
                matches!(
                    body,
                    view_agreement::MessageBody::Prepare { .. }
                        | view_agreement::MessageBody::Accept { .. }
                )
            };
            return self.checker.view.is_some() && msg.is_ok_and(decides);
        }
        let was_cut = self.controllers[n]
            .cut
            .is_some_and(|(_, until)| until <= self.now);
        kind == CHAIN_REPLICATION && was_cut && self.has(Planted::MuteAfterCut)
    }

    /// The answer that a planted fault gives in the core's place.
    pub fn planted_answer(&self, n: usize, ask: &Call) -> Option<Response> {
        let control = self.controllers[n].core()?.chain().state_machine();
        let head = self.controllers[n].core()?.chain().is_head();
        match ask {
            Call::GetConfig if self.has(Planted::ReadsAnywhere) => {
                let (_, body) = control.config.as_ref()?;
                Some(Response::json(body.clone()))
            }
            Call::ReplaceConfig {
                base_version: base,
                body,
            } if head => {
                let taken = control.accepted_version(*base, &digest(body));
                let newest = control.config.as_ref().map(|(change, _)| change.digest);
                let refused = || Response::error(412, 1312, "planted");
                match taken {
                    Some(_) if self.has(Planted::AcknowledgedUnkept) => Some(Response::ok()),
                    None if self.has(Planted::RefusedUnkept)
                        && control.config_version() != *base =>
                    {
                        Some(refused())
                    }
                    Some(_)
                        if self.has(Planted::RemembersOneOrder) && newest != Some(digest(body)) =>
                    {
                        Some(refused())
                    }
                    _ => None,
                }
            }
            _ => None,
        }
    }

    /// What becomes of the core's answer to a runner.
    pub fn planted_reply(&self, is_runner: bool, answer: Response) -> Response {
        if is_runner && answer.status == 503 && self.has(Planted::AcknowledgesAllHeartbeats) {
            return Response::ok();
        }
        answer
    }
}
